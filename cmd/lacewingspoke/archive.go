package main

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/operator"
)

// archiveArgument is the directory to which bodies are written.
type archiveArgument struct {
	Directory string `positional-arg-name:"DIR" required:"yes" description:"existing directory for the files"`
}

// archiveCommand moves the bodies of old generations, which are their audit
// entries, from the store to files.
type archiveCommand struct {
	connectionOptions
	authorOptions
	Keep     int             `long:"keep" default:"10000" value-name:"NUMBER" description:"newest generations that stay in the store"`
	Argument archiveArgument `positional-args:"yes"`
}

func addArchiveCommand(parser *flags.Parser) error {
	return addCommand(parser, "archive", "Move old configurations from the store to files",
		"Writes the bodies of old generations, which are their audit entries, to files and removes them from the store.",
		&archiveCommand{})
}

// Execute moves the bodies.
func (command *archiveCommand) Execute([]string) error {
	author, err := command.author()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.ArchiveRequest{
		Directory: command.Argument.Directory,
		Keep:      command.Keep,
		Author:    author,
		Reason:    command.Reason,
		Time:      time.Now(),
	}
	return command.runOperator(storeRequired, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Archive(ctx, request)
	})
}
