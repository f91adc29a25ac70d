// Package outcome holds what a caller is told about its request and the rules
// that lead to it.
//
// An outcome is Complete, NotRun or Unknown. An Attempt collects what is known
// of one try at one target: whether a byte may have been written, whether the
// target refused it before running it, whether its whole answer arrived. The
// outcome of an attempt follows from these facts alone, so that a request that
// may have reached a target is never reported as not run.
//
// An Assembler joins the pieces of a generated answer over several attempts.
//
// The package does no input or output and reads no clock.
//
// # Usage
//
//	attempt := outcome.NewAttempt("attempt-1")
//	attempt = attempt.Apply(outcome.Sent{})
//	attempt = attempt.Apply(outcome.Broken{Reason: "connection reset"})
//	switch result := attempt.Outcome().(type) {
//	case outcome.NotRun:
//		// Safe to try another target.
//	case outcome.Unknown:
//		// Safe to try another target only if the request is repeatable.
//	}
package outcome

import "time"

// Header is the response header, or trailer of a stream, that carries the
// outcome.
const Header = "Lacewingspoke-Outcome"

// An Outcome is Complete, NotRun or Unknown.
type Outcome interface {
	// String returns the value of the outcome header.
	String() string

	outcome()
}

// Complete says that the caller has the whole answer of its request.
type Complete struct{}

// NotRun says that no target ran the request.
type NotRun struct {
	Reason string

	// RetryAfter is how long the caller is asked to wait, 0 for no advice.
	RetryAfter time.Duration

	// Invalid is true when a target found the request itself at fault, so that
	// no target would run it.
	Invalid bool
}

// Unknown says that a target may have run the request, in whole or in part.
type Unknown struct {
	Reason string

	// TimedOut is true when the request ran out of time.
	TimedOut bool
}

func (Complete) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// String returns "complete".
func (Complete) String() string { return "complete" }

// String returns "not-run".
func (NotRun) String() string { return "not-run" }

// String returns "unknown".
func (Unknown) String() string { return "unknown" }

// IsComplete reports whether result is Complete.
func IsComplete(result Outcome) bool {
	_, complete := result.(Complete)
	return complete
}
