package main

import (
	"context"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/operator"
)

// targetArgument is the target to drain.
type targetArgument struct {
	Target string `positional-arg-name:"TARGET" description:"name of a VM, or IP:PORT of a service runner"`
}

// drainCommand stops new work for a target.
type drainCommand struct {
	connectionOptions
	authorOptions
	Argument targetArgument `positional-args:"yes" required:"yes"`
}

func addDrainCommand(parser *flags.Parser) error {
	return addCommand(parser, "drain", "Stop new work for a target",
		"Tells the nodes that a target gets no new work. Requests in progress at the target go on.", &drainCommand{})
}

// Execute drains the target.
func (command *drainCommand) Execute([]string) error {
	author, err := command.author()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.DrainRequest{Target: command.Argument.Target, Author: author, Reason: command.Reason}
	return command.runOperator(storeOptional, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Drain(ctx, request)
	})
}
