package booking

import (
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Step is the next action for the owner of a Ticket. It is Send, Read,
// CreateAgain, Reply or Reject while the claim is created, Done, Read,
// FinishAgain or Lost while it is completed, and Done or Remove while it is
// removed.
type Step interface{ step() }

// Send means that the claim is stored and belongs to this attempt, so the
// request may be sent.
type Send struct{}

// Read means that the owner must read the claim to find out whether a write
// took effect.
type Read struct{}

// CreateAgain means that the claim is not stored and must be created again.
type CreateAgain struct{}

// Reply means that the key is claimed by an earlier request, whose state is
// returned to the caller instead.
type Reply struct{ Reply EarlierReply }

// Reject means that the request was not sent and must not be sent.
type Reject struct{ Err error }

// Done means that no further store call is needed: the completion is stored,
// or there is no claim to remove.
type Done struct{}

// FinishAgain means that the completion is not stored and must be written
// again.
type FinishAgain struct{}

// Lost means that the claim no longer belongs to the attempt, for example
// because an operator settled it.
type Lost struct{}

// Remove means that the request of the stored claim was not sent, and that the
// claim must be deleted on condition of the revision.
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

// An EarlierReply is the reply to a request whose key was used before. It is
// Replay, InProgress, Unresolved, Settled or Mismatch.
type EarlierReply interface{ earlierReply() }

// Replay means that the first request finished with the answer.
type Replay struct{ Answer Answer }

// InProgress means that the first request has neither finished nor expired.
type InProgress struct{}

// Unresolved means that the first request expired unfinished. Its outcome is
// Unknown until an operator settles it.
type Unresolved struct{}

// Settled means that an operator recorded whether the first request ran.
type Settled struct{ Settlement Settlement }

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

func (Replay) earlierReply()     {}
func (InProgress) earlierReply() {}
func (Unresolved) earlierReply() {}
func (Settled) earlierReply()    {}
func (Mismatch) earlierReply()   {}

// TicketConfig describes the booking of a Ticket.
type TicketConfig struct {
	Workspace      string
	IdempotencyKey string
	Route          string
	Node           string
	Attempt        string
	RequestDigest  string

	// Validity is the time that the request may take. When it ends, the claim
	// expires and the request must no longer be sent.
	Validity time.Duration
}

// phase is the owner's progress with a claim.
type phase int

const (
	phaseNew phase = iota
	phaseClaimed
	phaseSending
	phaseFinished
)

// A Ticket is the state that the owner of a claim keeps in memory. It is not
// safe for concurrent use.
type Ticket struct {
	key      string
	claim    Claim
	revision uint64
	expires  time.Time
	phase    phase

	// mayBeStored is true if the claim is stored or if a create had an unknown
	// effect.
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

// Revision returns the revision of the stored claim, or 0 before the claim is
// known to be stored.
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
		ticket.markClaimed(put.Revision)
		return Send{}
	case kvstore.Refused:
		return Reject{Err: errors.Annotate(put.Err, "claim not stored")}
	case kvstore.Unknown:
		ticket.mayBeStored = true
		return Read{}
	default:
		// The conflicting claim may be this ticket's own, from an earlier create
		// whose response was lost.
		return Read{}
	}
}

// AfterRead returns the step after the claim was read to determine the effect
// of a create. found is false if the key does not exist.
func (ticket *Ticket) AfterRead(entry kvstore.Entry, found bool, now time.Time) Step {
	if !found {
		return CreateAgain{}
	}
	stored, err := Decode(entry.Value)
	if err != nil {
		return Reject{Err: errors.Annotate(err, "stored claim")}
	}
	if stored.Attempt == ticket.claim.Attempt && stored.State == StateClaimed {
		ticket.markClaimed(entry.Revision)
		return Send{}
	}
	return Reply{Reply: earlierReplyFor(stored, ticket.claim.RequestDigest, now)}
}

func earlierReplyFor(stored Claim, digest string, now time.Time) EarlierReply {
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

func (ticket *Ticket) markClaimed(revision uint64) {
	ticket.revision = revision
	ticket.phase = phaseClaimed
	ticket.mayBeStored = true
}

// MaySend reports whether the owner may send at the time now: the claim is
// stored and has not expired on the owner's monotonic clock. The owner calls it
// with a fresh clock reading immediately before the first byte, so that a node
// that was paused after the create does not send a request whose claim other
// nodes already read as Unknown.
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

// AfterFinishRead returns the step after the claim was read to determine the
// effect of a completion.
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

// MayRemove reports whether the owner may delete a claim whose request did not
// reach a target, so that the caller can use its key again. An expired claim is
// kept, because other nodes already read it as Unknown.
func (ticket *Ticket) MayRemove(now time.Time) bool {
	return ticket.mayBeStored && ticket.phase != phaseFinished && now.Before(ticket.expires)
}

// AfterRemoveRead returns the step after the claim was read for its removal.
// Every removal starts with a read, because the revision is unknown after a
// create whose response was lost.
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
