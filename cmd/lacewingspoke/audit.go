package main

import (
	"context"

	"github.com/jessevdk/go-flags"

	"lacewingspoke.org/lacewingspoke/operator"
)

// generationArgument is the generation to print. If it is 0 or missing, the
// command lists the generations.
type generationArgument struct {
	Generation uint64 `positional-arg-name:"GENERATION" description:"print this generation and what it changed"`
}

// auditCommand prints audit entries.
type auditCommand struct {
	connectionOptions
	Limit    int                `long:"limit" default:"20" value-name:"NUMBER" description:"generations to list, newest first"`
	Drains   bool               `long:"drains" description:"list drains in place of generations"`
	Argument generationArgument `positional-args:"yes"`
}

func addAuditCommand(parser *flags.Parser) error {
	return addCommand(parser, "audit", "Print who changed what and why",
		"Lists the accepted configurations, or prints one generation with every key that it changed.", &auditCommand{})
}

// Execute prints the entries.
func (command *auditCommand) Execute([]string) error {
	request := operator.AuditRequest{
		Generation: command.Argument.Generation,
		Limit:      command.Limit,
		Drains:     command.Drains,
	}
	return command.runOperator(storeRequired, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Audit(ctx, request)
	})
}
