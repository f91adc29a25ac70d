// Command lacewingspoke is the daemon of an entry VM and the operators'
// commands in one binary.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// exitFailed is the exit code for a usage error and for a command that could
// not be carried out and changed nothing.
const exitFailed = 1

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit code.
func run(arguments []string) int {
	parser := flags.NewNamedParser("lacewingspoke", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(os.Stderr, "lacewingspoke:", err)
		return exitFailed
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return exitCodeOf(err)
	}
	return 0
}

func addCommands(parser *flags.Parser) error {
	for _, add := range []func(*flags.Parser) error{
		addNodeCommand,
		addCheckCommand,
		addApplyCommand,
		addStatusCommand,
		addAuditCommand,
		addArchiveCommand,
		addDrainCommand,
		addBookingCommand,
	} {
		if err := add(parser); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// exitCodeOf returns the exit code of a command's error and prints the error
// unless the command has. Help is a success.
func exitCodeOf(err error) int {
	if status, ok := errors.AsType[exitStatus](err); ok {
		return int(status)
	}
	if problem, ok := errors.AsType[*flags.Error](err); ok && problem.Type == flags.ErrHelp {
		fmt.Println(problem.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "lacewingspoke:", err)
	return exitFailed
}
