package main

import (
	"context"

	"github.com/jessevdk/go-flags"

	"lacewingspoke.org/lacewingspoke/operator"
)

// statusCommand prints the state of nodes and groups.
type statusCommand struct {
	connectionOptions
}

func addStatusCommand(parser *flags.Parser) error {
	return addCommand(parser, "status", "Print the state of nodes and groups",
		"Asks every node for its view. Exit code 1 when a node does not answer or nodes hold different configurations.",
		&statusCommand{})
}

// Execute prints the state.
func (command *statusCommand) Execute([]string) error {
	return command.runOperator(storeOptional, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Status(ctx)
	})
}
