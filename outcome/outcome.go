// Package outcome defines the outcomes that are reported to callers and the
// rules that derive them.
//
// An outcome is Complete, NotRun or Unknown. An Attempt records the events of
// one try at one target: whether a byte of the request may have been written,
// whether the target refused the request before running it, and whether the
// whole answer arrived. The outcome of an attempt follows from these events
// alone, so that a request that may have reached a target is never reported as
// not run.
//
// An Assembler joins the pieces of a generated answer over several attempts.
//
// The package performs no input or output and reads no clock.
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

// Header is the name of the response header, or of the trailer of a stream,
// that carries the outcome.
const Header = "Lacewingspoke-Outcome"

// An Outcome is Complete, NotRun or Unknown.
type Outcome interface {
	// String returns the value of the outcome header.
	String() string

	outcome()
}

// Complete means that the caller has the whole answer to its request.
type Complete struct{}

// NotRun means that no target ran the request.
type NotRun struct {
	Reason string

	// RetryAfter is the time that the caller should wait before it retries; 0
	// means no recommendation.
	RetryAfter time.Duration

	// Invalid is true when a target rejected the request as invalid. Other
	// targets would reject it as well.
	Invalid bool
}

// Unknown means that a target may have run the request, completely or in part.
type Unknown struct {
	Reason string

	// TimedOut is true when the deadline of the request has passed.
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
