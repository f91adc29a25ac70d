package booking

import (
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Step is what the owner of a Ticket does next. It is Send, Read,
// CreateAgain, Reply or Reject for a claim, and Done, Read, FinishAgain or
// Lost for its completion.
type Step interface{ step() }

// Send says that the claim is stored and belongs to this attempt.
type Send struct{}

// Read says that the claim is to be read to find out whether a write took
// effect.
type Read struct{}

// CreateAgain says that the claim is absent.
type CreateAgain struct{}

// Reply says that an earlier request holds the claim.
type Reply struct{ Reply EarlierReply }

// Reject says that the request must not be sent, and was not.
type Reject struct{ Err error }

// Done says that the completion is stored.
type Done struct{}

// FinishAgain says that the completion is not stored yet.
type FinishAgain struct{}

// Lost says that the claim no longer belongs to the attempt, for example
// because an operator settled it.
type Lost struct{}

// Remove says that the stored claim was not sent under and is deleted at the
// revision.
type Remove struct{ Revision uint64 }

func (Remove) step()      {}
func (Send) step()        {}
func (Read) step()        {}
func (CreateAgain) step() {}
func (Reply) step()       {}
func (Reject) step()      {}
func (Done) step()        {}
func (FinishAgain) step() {}
func (Lost) step()        {}

// An EarlierReply is what a repeated request is told. It is Replay,
// InProgress, Unresolved, Settled or Mismatch.
type EarlierReply interface{ earlierReply() }

// Replay is the first answer.
type Replay struct{ Answer Answer }

// InProgress says that the first request has not finished.
type InProgress struct{}

// Unresolved says that the first request's outcome is Unknown until an
// operator settles it.
type Unresolved struct{}

// Settled is an operator's decision.
type Settled struct{ Settlement Settlement }

// Mismatch says that the key was used for a different request.
type Mismatch struct{}

func (Replay) earlierReply()     {}
func (InProgress) earlierReply() {}
func (Unresolved) earlierReply() {}
func (Settled) earlierReply()    {}
func (Mismatch) earlierReply()   {}

// TicketConfig describes one booking.
type TicketConfig struct {
	Workspace      string
	IdempotencyKey string
	Route          string
	Node           string
	Attempt        string
	RequestDigest  string

	// Validity is how long the request may take.
	Validity time.Duration
}

// phase is what a Ticket's owner has done.
type phase int

const (
	phaseNew phase = iota
	phaseClaimed
	phaseSending
	phaseFinished
)

// A Ticket is the owner's side of one claim. It belongs to one goroutine.
type Ticket struct {
	key      string
	claim    Claim
	revision uint64
	expires  time.Time
	phase    phase

	// mayBeStored is true when the claim is stored or a create with an unknown
	// effect was made.
	mayBeStored bool
}

// NewTicket returns a ticket whose claim is not stored yet.
func NewTicket(config TicketConfig, now time.Time) *Ticket {
	expires := now.Add(config.Validity)
	return &Ticket{
		key:     Key(config.Workspace, config.IdempotencyKey),
		expires: expires,
		claim: Claim{
			State:         StateClaimed,
			Attempt:       config.Attempt,
			Node:          config.Node,
			Route:         config.Route,
			RequestDigest: config.RequestDigest,
			CreatedMillis: now.UnixMilli(),
			ExpiresMillis: expires.UnixMilli(),
		},
	}
}

// Key returns the claim's store key.
func (ticket *Ticket) Key() string { return ticket.key }

// Revision returns the revision of the stored claim, 0 before it is known.
func (ticket *Ticket) Revision() uint64 { return ticket.revision }

// CreateRequest returns the write that stores the claim.
func (ticket *Ticket) CreateRequest() kvstore.PutRequest {
	return kvstore.PutRequest{
		Key:    ticket.key,
		Value:  ticket.claim.Encode(),
		Expect: kvstore.ExpectAbsent(),
	}
}

// AfterCreate returns the step after the write of CreateRequest.
func (ticket *Ticket) AfterCreate(put kvstore.PutOutcome) Step {
	switch put := put.(type) {
	case kvstore.Written:
		ticket.own(put.Revision)
		return Send{}
	case kvstore.Refused:
		return Reject{Err: errors.Annotate(put.Err, "claim not stored")}
	case kvstore.Unknown:
		ticket.mayBeStored = true
		return Read{}
	default:
		// The claim found may be this ticket's own, from a create whose answer
		// was lost.
		return Read{}
	}
}

// AfterRead returns the step after the claim was read to resolve a create.
// found is false when the key does not exist.
func (ticket *Ticket) AfterRead(entry kvstore.Entry, found bool, now time.Time) Step {
	if !found {
		return CreateAgain{}
	}
	stored, err := Decode(entry.Value)
	if err != nil {
		return Reject{Err: errors.Annotate(err, "stored claim")}
	}
	if stored.Attempt == ticket.claim.Attempt && stored.State == StateClaimed {
		ticket.own(entry.Revision)
		return Send{}
	}
	return Reply{Reply: earlier(stored, ticket.claim.RequestDigest, now)}
}

func earlier(stored Claim, digest string, now time.Time) EarlierReply {
	switch {
	case stored.RequestDigest != digest:
		return Mismatch{}
	case stored.State == StateFinished:
		return Replay{Answer: *stored.Answer}
	case stored.State == StateSettled:
		return Settled{Settlement: *stored.Settlement}
	case now.UnixMilli() > stored.ExpiresMillis:
		return Unresolved{}
	default:
		return InProgress{}
	}
}

func (ticket *Ticket) own(revision uint64) {
	ticket.revision = revision
	ticket.phase = phaseClaimed
	ticket.mayBeStored = true
}

// MaySend reports whether the owner may send at now: the claim is stored and
// has not expired on the owner's monotonic clock. The owner calls it with a
// fresh reading right before the first byte, so that a node that was paused
// in between does not send under a claim that others already read as Unknown.
func (ticket *Ticket) MaySend(now time.Time) bool {
	if ticket.phase != phaseClaimed && ticket.phase != phaseSending {
		return false
	}
	if !now.Before(ticket.expires) {
		return false
	}
	ticket.phase = phaseSending
	return true
}

// FinishRequest returns the write that completes the claim with an answer.
func (ticket *Ticket) FinishRequest(answer Answer, now time.Time, retention time.Duration) kvstore.PutRequest {
	finished := ticket.claim
	finished.State = StateFinished
	finished.Answer = &answer
	finished.RemoveMillis = now.Add(retention).UnixMilli()
	return kvstore.PutRequest{
		Key:    ticket.key,
		Value:  finished.Encode(),
		Expect: kvstore.ExpectRevision(ticket.revision),
	}
}

// AfterFinish returns the step after the write of FinishRequest.
func (ticket *Ticket) AfterFinish(put kvstore.PutOutcome) Step {
	switch put.(type) {
	case kvstore.Written:
		ticket.phase = phaseFinished
		return Done{}
	case kvstore.Refused:
		return FinishAgain{}
	default:
		return Read{}
	}
}

// AfterFinishRead returns the step after the claim was read to resolve a
// completion.
func (ticket *Ticket) AfterFinishRead(entry kvstore.Entry, found bool) Step {
	if !found {
		return Lost{}
	}
	stored, err := Decode(entry.Value)
	if err != nil || stored.Attempt != ticket.claim.Attempt {
		return Lost{}
	}
	switch stored.State {
	case StateFinished:
		ticket.phase = phaseFinished
		return Done{}
	case StateClaimed:
		ticket.revision = entry.Revision
		return FinishAgain{}
	default:
		return Lost{}
	}
}

// MayRemove reports whether the owner may delete a claim under which nothing
// reached a target, so that the caller can use its key again. After the
// expiry others read the claim as Unknown, and it stays.
func (ticket *Ticket) MayRemove(now time.Time) bool {
	return ticket.mayBeStored && ticket.phase != phaseFinished && now.Before(ticket.expires)
}

// AfterRemoveRead returns the step after the claim was read for its removal.
// A create whose answer was lost has no known revision, so that every removal
// starts with a read.
func (ticket *Ticket) AfterRemoveRead(entry kvstore.Entry, found bool) Step {
	if !found {
		return Done{}
	}
	stored, err := Decode(entry.Value)
	if err != nil || stored.Attempt != ticket.claim.Attempt || stored.State != StateClaimed {
		return Done{}
	}
	return Remove{Revision: entry.Revision}
}
