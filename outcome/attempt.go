package outcome

// An Event is a fact about an attempt. It is Sent, Refused, Answered or
// Broken.
type Event interface{ event() }

// Sent says that a byte of the request may have been written to a target.
type Sent struct{}

// Refused says that the target itself answered that it did not run the
// request.
type Refused struct {
	Reason string

	// Invalid is true when the target found the request itself at fault.
	Invalid bool
}

// Answered says that the whole answer arrived.
type Answered struct{}

// Broken says that the attempt ended without a whole answer.
type Broken struct {
	Reason   string
	TimedOut bool
}

func (Sent) event()     {}
func (Refused) event()  {}
func (Answered) event() {}
func (Broken) event()   {}

// An Attempt is what is known of one try at one target. It is a value; Apply
// returns the next one.
type Attempt struct {
	id       string
	sent     bool
	refused  bool
	invalid  bool
	answered bool
	timedOut bool
	reason   string
}

// NewAttempt returns an attempt of which nothing was sent.
func NewAttempt(id string) Attempt { return Attempt{id: id} }

// ID returns the attempt's id.
func (attempt Attempt) ID() string { return attempt.id }

// Apply returns the attempt after an event. A refusal after an answer, or an
// answer after a refusal, does not change the attempt: the target's
// first statement counts.
func (attempt Attempt) Apply(event Event) Attempt {
	switch event := event.(type) {
	case Sent:
		attempt.sent = true
	case Refused:
		if !attempt.answered {
			attempt.refused = true
			attempt.invalid = event.Invalid
			attempt.reason = event.Reason
		}
	case Answered:
		if !attempt.refused {
			attempt.answered = true
		}
	case Broken:
		if !attempt.answered && !attempt.refused {
			attempt.reason = event.Reason
			attempt.timedOut = event.TimedOut
		}
	}
	return attempt
}

// Outcome returns what the facts so far allow to say.
func (attempt Attempt) Outcome() Outcome {
	switch {
	case attempt.answered:
		return Complete{}
	case attempt.refused:
		return NotRun{Reason: attempt.reason, Invalid: attempt.invalid}
	case attempt.sent:
		return Unknown{Reason: attempt.reason, TimedOut: attempt.timedOut}
	default:
		return NotRun{Reason: attempt.reason}
	}
}

// Combine returns the outcome of a request after one more attempt. Once an
// attempt is unknown, a later attempt that was not run does not make the
// request not run.
func Combine(earlier, latest Outcome) Outcome {
	if IsComplete(latest) {
		return latest
	}
	if unknown, isUnknown := earlier.(Unknown); isUnknown {
		if _, notRun := latest.(NotRun); notRun {
			return unknown
		}
	}
	return latest
}

// Nature is what may be done again with a request.
type Nature int

// The natures of a request.
const (
	// RunOnce is a request that must not run twice, such as a booking.
	RunOnce Nature = iota + 1

	// Repeatable is a request that may run more than once.
	Repeatable

	// Resumable is a draft: it may run more than once and can go on from the
	// last delivered piece.
	Resumable
)

// MayRetry reports whether a request whose attempts led to result may be sent
// to another target.
func MayRetry(nature Nature, result Outcome) bool {
	switch result := result.(type) {
	case NotRun:
		return !result.Invalid
	case Unknown:
		return nature != RunOnce
	default:
		return false
	}
}

// MayResume reports whether a request that delivered pieces may go on at
// another target.
func MayResume(nature Nature, result Outcome) bool {
	return nature == Resumable && MayRetry(nature, result)
}
