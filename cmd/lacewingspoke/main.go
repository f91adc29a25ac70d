// Command lacewingspoke contains the daemon of an entry VM and the operators'
// commands in one binary.
//
// # Usage
//
// The daemon runs until SIGTERM or SIGINT. It reads its settings file again on
// SIGHUP and at regular intervals.
//
//	lacewingspoke node --settings node.ini
//
// The operators' commands other than check connect to the store and to nodes.
// The addresses come from --store and --node, or from LACEWINGSPOKE_STORE and
// LACEWINGSPOKE_NODE.
//
//	lacewingspoke check examples/folder
//	lacewingspoke apply examples/folder --reason 'first configuration' --wait 10s
//	lacewingspoke status
//	lacewingspoke audit 2
//	lacewingspoke archive DIR --reason 'space'
//	lacewingspoke drain vm-7 --reason 'bad disk'
//	lacewingspoke explain --path /v1/completions --workspace farul
//	lacewingspoke booking settle --workspace farul --key key-1 --outcome not-run --reason 'no receipt'
//
// Exit code 0 means success, 1 a failure or wrong usage, 2 input with faults,
// 3 that another operator's change was accepted first, and 4 an unknown outcome.
// Package operator defines the codes in full.
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
		addReleaseCommand,
		addExplainCommand,
		addBookingCommand,
	} {
		if err := add(parser); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// exitCodeOf returns the exit code for the error of a command. It prints the
// error unless the command has already printed it. A request for help is a
// success.
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
