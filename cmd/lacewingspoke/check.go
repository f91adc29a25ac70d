package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"lacewingspoke.org/lacewingspoke/operator"
)

// directoryArgument is the operators' folder, a directory of INI files.
type directoryArgument struct {
	Directory string `positional-arg-name:"DIR" description:"folder of INI files"`
}

// checkCommand prints the faults of a folder without a store or nodes.
type checkCommand struct {
	Explain  bool              `long:"explain" description:"print the file and line that set each effective key"`
	Argument directoryArgument `positional-args:"yes" required:"yes"`
}

func addCheckCommand(parser *flags.Parser) error {
	return addCommand(parser, "check", "Check a folder of INI files",
		"Prints every fault of a folder as file:line: key: problem. Exit code 2 when there is one.", &checkCommand{})
}

// Execute checks the folder.
func (command *checkCommand) Execute([]string) error {
	commands := operator.New(operator.Config{Output: os.Stdout, Errors: os.Stderr})
	return asError(commands.Check(operator.CheckRequest{
		Directory: command.Argument.Directory,
		Explain:   command.Explain,
	}))
}
