// Package operator carries out the operators' commands.
//
// A command prints its result for people, one fact a line, and returns an
// exit code for scripts. Commands that write are safe to repeat: a write
// whose answer was lost is resolved by reading the key back.
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
	// ExitDone says that the command did what it was asked.
	ExitDone ExitCode = 0

	// ExitFailed says that the command could not be carried out and changed
	// nothing, or that a configuration was accepted but was not in force
	// everywhere within the wait.
	ExitFailed ExitCode = 1

	// ExitRejected says that the input has faults.
	ExitRejected ExitCode = 2

	// ExitLost says that another operator's change came first.
	ExitLost ExitCode = 3

	// ExitUnknown says that the outcome is unknown.
	ExitUnknown ExitCode = 4
)

// Config holds what an Operator needs.
type Config struct {
	// Store is nil when no store is given.
	Store kvstore.Store

	// Nodes are admin addresses, IP:port, in addition to those in the store.
	Nodes  []string
	Timers *timer.Service
	Output io.Writer
	Errors io.Writer
}

// An Operator carries out commands.
type Operator struct {
	store  kvstore.Store
	nodes  []string
	timers *timer.Service
	caller *httpsend.Client
	output io.Writer
	errors io.Writer
}

// New returns an operator.
func New(config Config) *Operator {
	return &Operator{
		store:  config.Store,
		nodes:  config.Nodes,
		timers: config.Timers,
		caller: httpsend.New(httpsend.Config{DialTimeout: nodeTimeout}),
		output: config.Output,
		errors: config.Errors,
	}
}

// Close closes idle connections to nodes.
func (operator *Operator) Close() { operator.caller.Close() }

// print prints a line of the result. The terminal is the only reader, so a
// failed write has nobody to be reported to.
func (operator *Operator) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(operator.output, format+"\n", arguments...)
}

// warn prints a line about a fault.
func (operator *Operator) warn(format string, arguments ...any) {
	_, _ = fmt.Fprintf(operator.errors, format+"\n", arguments...)
}

// formatTime returns a time in the form of audit entries.
func formatTime(moment time.Time) string { return moment.UTC().Format(time.RFC3339) }
