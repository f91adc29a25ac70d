package outcome

// An Event is something that happened to an attempt. It is Sent, Refused,
// Answered or Broken.
type Event interface{ event() }

// Sent means that a byte of the request may have been written to a target.
type Sent struct{}

// Refused means that the target itself responded that it did not run the request.
type Refused struct {
	Reason string

	// Invalid is true when the target rejected the request as invalid.
	Invalid bool
}

// Answered means that the whole answer arrived.
type Answered struct{}

// Broken means that the attempt ended without a whole answer.
type Broken struct {
	Reason   string
	TimedOut bool
}

func (Sent) event()     {}
func (Refused) event()  {}
func (Answered) event() {}
func (Broken) event()   {}

// An Attempt is the state of one try at one target. It is immutable: Apply
// returns a new Attempt.
type Attempt struct {
	id       string
	sent     bool
	refused  bool
	invalid  bool
	answered bool
	timedOut bool
	reason   string
}

// NewAttempt returns an attempt without events, of which nothing was sent.
func NewAttempt(id string) Attempt { return Attempt{id: id} }

// ID returns the attempt's id.
func (attempt Attempt) ID() string { return attempt.id }

// Apply returns the attempt after an event. Of a refusal and an answer, only the
// first counts: the other one does not change the attempt.
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

// Outcome returns the outcome that follows from the events applied so far.
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

// Combine returns the outcome of a request after one more attempt: earlier is
// the outcome of the request before that attempt and latest the outcome of the
// attempt. If earlier is Unknown, a latest of NotRun does not change it, because
// an earlier attempt may have run the request.
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

// RetryClass states whether a request may be retried and resumed.
type RetryClass int

// The retry classes of requests.
const (
	// RunOnce means that the request must not run twice, such as a booking.
	RunOnce RetryClass = iota + 1

	// Repeatable means that the request may run more than once.
	Repeatable

	// Resumable means that the request is a draft: it may run more than once,
	// and another attempt can continue after the last delivered piece.
	Resumable
)

// MayRetry reports whether a request with the outcome result may be sent to
// another target.
func MayRetry(class RetryClass, result Outcome) bool {
	switch result := result.(type) {
	case NotRun:
		return !result.Invalid
	case Unknown:
		return class != RunOnce
	default:
		return false
	}
}

// MayResume reports whether a request of which pieces were delivered may be
// continued at another target.
func MayResume(class RetryClass, result Outcome) bool {
	return class == Resumable && MayRetry(class, result)
}
