// Package operator implements the operators' commands: check, apply, status,
// audit, archive, drain and the settlement of bookings.
//
// A command prints its result for people, one fact per line, and returns an
// exit code for scripts. Results go to Config.Output, warnings and errors to
// Config.Errors.
//
// Commands that write to the store are safe to repeat. If the response to a
// write is lost, the command reads the key again to find out whether the write
// took effect.
//
// # Usage
//
//	commands := operator.New(operator.Config{
//		Store:  client,
//		Nodes:  []string{"127.0.0.1:8082"},
//		Timers: timers,
//		Output: os.Stdout,
//		Errors: os.Stderr,
//	})
//	code := commands.Apply(ctx, operator.ApplyRequest{
//		Directory: "examples/folder",
//		Author:    "mirela",
//		Reason:    "first configuration",
//	})
//	os.Exit(int(code))
package operator

import (
	"fmt"
	"io"
	"time"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/timer"
)

// An ExitCode is the result of a command for scripts.
type ExitCode int

// The exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone ExitCode = 0

	// ExitFailed means that the command could not be carried out and changed
	// nothing, or that a configuration was accepted but did not reach all nodes
	// within the requested wait.
	ExitFailed ExitCode = 1

	// ExitRejected means that the input has faults.
	ExitRejected ExitCode = 2

	// ExitConflict means that another operator's change was accepted first.
	ExitConflict ExitCode = 3

	// ExitUnknown means that the response to a write was lost and the command
	// could not find out whether the write took effect.
	ExitUnknown ExitCode = 4
)

// Config is the configuration of an Operator.
type Config struct {
	// Store is nil if the command runs without a store.
	Store kvstore.Store

	// Nodes are the admin addresses (IP:port) of nodes, in addition to those
	// listed in the store.
	Nodes  []string
	Timers *timer.Service
	Output io.Writer
	Errors io.Writer
}

// An Operator carries out the commands of one operator.
type Operator struct {
	store  kvstore.Store
	nodes  []string
	timers *timer.Service
	client *httpsend.Client
	output io.Writer
	errors io.Writer
}

// New returns an operator.
func New(config Config) *Operator {
	return &Operator{
		store:  config.Store,
		nodes:  config.Nodes,
		timers: config.Timers,
		client: httpsend.New(httpsend.Config{DialTimeout: nodeTimeout}),
		output: config.Output,
		errors: config.Errors,
	}
}

// Close closes idle connections to nodes.
func (operator *Operator) Close() { operator.client.Close() }

// print prints a line of the result. Write errors are ignored: if the output
// is broken, there is no other place to report that.
func (operator *Operator) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(operator.output, format+"\n", arguments...)
}

// warn prints a warning or an error as one line.
func (operator *Operator) warn(format string, arguments ...any) {
	_, _ = fmt.Fprintf(operator.errors, format+"\n", arguments...)
}

// formatTime formats a time for audit entries, as RFC 3339 in UTC.
func formatTime(moment time.Time) string { return moment.UTC().Format(time.RFC3339) }
