package main

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/operator"
)

// applyCommand makes a folder of INI files the configuration of all nodes.
type applyCommand struct {
	connectionOptions
	authorOptions
	Base     *uint64           `long:"base" value-name:"GENERATION" description:"apply only on this generation"`
	Change   string            `long:"change" value-name:"GENERATION/ID" description:"complete an earlier apply with an unknown outcome"`
	Wait     time.Duration     `long:"wait" value-name:"DURATION" description:"wait until the configuration is in force on every node"`
	Argument directoryArgument `positional-args:"yes" required:"yes"`
}

func addApplyCommand(parser *flags.Parser) error {
	return addCommand(parser, "apply", "Bring a folder of INI files into force",
		"Checks a folder and makes it the configuration of all nodes. Exit code 0: accepted, and with --wait in "+
			"force; 1: not applied, or not in force within --wait; 2: rejected by checks; 3: another change came "+
			"first; 4: outcome unknown, safe to repeat with --change.", &applyCommand{})
}

// Execute applies the folder.
func (command *applyCommand) Execute([]string) error {
	author, err := command.author()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.ApplyRequest{
		Directory: command.Argument.Directory,
		Author:    author,
		Reason:    command.Reason,
		Change:    command.Change,
		Wait:      command.Wait,
	}
	if command.Base != nil {
		request.Based = true
		request.Base = *command.Base
	}
	return command.runOperator(storeRequired, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Apply(ctx, request)
	})
}
