package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxSettleRounds bounds the reads and writes of one settlement.
const maxSettleRounds = 5

// SettleRequest holds the parameters of SettleBooking.
type SettleRequest struct {
	Workspace string

	// Key is the caller's idempotency key.
	Key string

	// Ran says whether the operator found that the request ran.
	Ran    bool
	Author string
	Reason string
}

// SettleBooking records an operator's decision about a claim whose outcome is
// Unknown.
func (operator *Operator) SettleBooking(ctx context.Context, request SettleRequest) ExitCode {
	retention, err := operator.bookingRetention(ctx)
	if err != nil {
		operator.warn("not settled: retention is not known: %v", err)
		return ExitFailed
	}
	settler := &settler{
		operator:  operator,
		key:       booking.Key(request.Workspace, request.Key),
		decision:  booking.Settlement{Ran: request.Ran, Author: request.Author, Reason: request.Reason},
		now:       operator.timers.Now(),
		retention: retention,
	}
	return settler.run(ctx)
}

func (operator *Operator) bookingRetention(ctx context.Context) (time.Duration, error) {
	head, err := operator.currentHead(ctx)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if head.Generation == 0 {
		return 0, errors.NotFoundf("configuration")
	}
	body, err := operator.getBody(ctx, head.BodyKey())
	if err != nil {
		return 0, errors.Trace(err)
	}
	return body.Folder().Policy().BookingRetention, nil
}

// settler writes one settlement. Each round reads the claim first, so that a
// write whose answer was lost is resolved by the next round.
type settler struct {
	operator  *Operator
	key       string
	decision  booking.Settlement
	now       time.Time
	retention time.Duration

	// uncertain is true after a write whose answer was lost.
	uncertain bool
	lastErr   error
}

func (settler *settler) run(ctx context.Context) ExitCode {
	for round := range maxSettleRounds {
		if round > 0 {
			settler.operator.pause(ctx, pollInterval)
		}
		entry, err := settler.operator.store.Get(ctx, settler.key)
		if errors.Is(err, errors.NotFound) {
			settler.operator.warn("there is no booking with this key")
			return ExitRejected
		}
		if err != nil {
			settler.lastErr = err
			continue
		}
		if code, done := settler.settle(ctx, entry); done {
			return code
		}
	}
	return settler.giveUp()
}

// settle decides about the claim as it was read. Done is false when another
// round is needed.
func (settler *settler) settle(ctx context.Context, entry kvstore.Entry) (code ExitCode, done bool) {
	claim, err := booking.Decode(entry.Value)
	if err != nil {
		settler.operator.warn("not settled: %v", err)
		return ExitFailed, true
	}
	if claim.State == booking.StateSettled {
		return settler.alreadySettled(*claim.Settlement), true
	}
	settled, err := claim.Settle(settler.decision, settler.now, settler.retention)
	if err != nil {
		settler.operator.warn("not settled: %v", err)
		return ExitRejected, true
	}
	outcome := settler.operator.store.Put(ctx, kvstore.PutRequest{
		Key:    settler.key,
		Value:  settled.Encode(),
		Expect: kvstore.ExpectRevision(entry.Revision),
	})
	return settler.afterPut(outcome)
}

func (settler *settler) afterPut(outcome kvstore.PutOutcome) (code ExitCode, done bool) {
	switch outcome := outcome.(type) {
	case kvstore.Written:
		settler.operator.print("settled: %s", ranText(settler.decision.Ran))
		return ExitDone, true
	case kvstore.Unknown:
		settler.uncertain = true
		settler.lastErr = outcome.Err
	case kvstore.Refused:
		settler.lastErr = outcome.Err
	case kvstore.Conflict:
		settler.lastErr = errors.Errorf("claim changed to revision %d", outcome.Revision)
	}
	return ExitFailed, false
}

// alreadySettled compares a stored settlement with this one, which the store
// holds when an earlier write took effect without an answer.
func (settler *settler) alreadySettled(stored booking.Settlement) ExitCode {
	own := settler.decision
	own.SettledMillis = stored.SettledMillis
	if stored == own {
		settler.operator.print("settled: %s", ranText(stored.Ran))
		return ExitDone
	}
	settler.operator.warn("already settled as %s by %s at %s: %s", ranText(stored.Ran), stored.Author,
		formatTime(time.UnixMilli(stored.SettledMillis)), stored.Reason)
	return ExitLost
}

func (settler *settler) giveUp() ExitCode {
	if settler.uncertain {
		settler.operator.warn("outcome unknown: %v", settler.lastErr)
		settler.operator.warn("repeat the command to find out and complete it")
		return ExitUnknown
	}
	settler.operator.warn("not settled: %v", settler.lastErr)
	return ExitFailed
}

func ranText(ran bool) string {
	if ran {
		return "ran"
	}
	return "not run"
}
