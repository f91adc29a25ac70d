package main

import (
	"context"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/operator"
)

// partArgument is the part to release.
type partArgument struct {
	Part string `positional-arg-name:"PART" description:"name of the part, as the nodes log it"`
}

// releaseCommand ends the quarantine of a part.
type releaseCommand struct {
	connectionOptions
	authorOptions
	Argument partArgument `positional-args:"yes" required:"yes"`
}

func addReleaseCommand(parser *flags.Parser) error {
	return addCommand(parser, "release", "End the quarantine of a part of prompts",
		"Lets requests with the part reach targets again, for example after the engines that it ended were mended.", &releaseCommand{})
}

// Execute releases the part.
func (command *releaseCommand) Execute([]string) error {
	author, err := command.author()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.ReleaseRequest{Part: command.Argument.Part, Author: author, Reason: command.Reason}
	return command.runOperator(storeOptional, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Release(ctx, request)
	})
}
