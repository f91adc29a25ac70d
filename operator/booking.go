package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxSettleRounds bounds the number of times a settlement reads the claim and
// tries to write it.
const maxSettleRounds = 5

// SettleRequest holds the parameters of SettleBooking.
type SettleRequest struct {
	Workspace string

	// Key is the caller's idempotency key.
	Key string

	// Ran is the operator's finding: true if the request ran.
	Ran    bool
	Author string
	Reason string
}

// SettleBooking records an operator's decision whether the request of a claim
// with an unknown outcome ran.
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

// settler writes one settlement. Each round reads the claim first: if the
// response to a write was lost, the next round finds out whether the write took
// effect.
type settler struct {
	operator  *Operator
	key       string
	decision  booking.Settlement
	now       time.Time
	retention time.Duration

	// uncertain is true after a write whose response was lost.
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
	return settler.reportFailure()
}

// settle writes the settlement into the claim that was read, unless the claim is
// already settled. Done is false if another round is needed.
func (settler *settler) settle(ctx context.Context, entry kvstore.Entry) (code ExitCode, done bool) {
	claim, err := booking.Decode(entry.Value)
	if err != nil {
		settler.operator.warn("not settled: %v", err)
		return ExitFailed, true
	}
	if claim.State == booking.StateSettled {
		return settler.compareStored(*claim.Settlement), true
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
	return settler.handlePutOutcome(outcome)
}

func (settler *settler) handlePutOutcome(outcome kvstore.PutOutcome) (code ExitCode, done bool) {
	switch outcome := outcome.(type) {
	case kvstore.Written:
		settler.operator.print("settled: %s", outcomeText(settler.decision.Ran))
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

// compareStored compares the settlement found in the store with the one to be
// written. They are equal if an earlier write took effect but its response was
// lost; otherwise another operator has settled the claim.
func (settler *settler) compareStored(stored booking.Settlement) ExitCode {
	own := settler.decision
	own.SettledMillis = stored.SettledMillis
	if stored == own {
		settler.operator.print("settled: %s", outcomeText(stored.Ran))
		return ExitDone
	}
	settler.operator.warn("already settled as %s by %s at %s: %s", outcomeText(stored.Ran), stored.Author,
		formatTime(time.UnixMilli(stored.SettledMillis)), stored.Reason)
	return ExitConflict
}

func (settler *settler) reportFailure() ExitCode {
	if settler.uncertain {
		settler.operator.warn("outcome unknown: %v", settler.lastErr)
		settler.operator.warn("repeat the command to find out and complete it")
		return ExitUnknown
	}
	settler.operator.warn("not settled: %v", settler.lastErr)
	return ExitFailed
}

func outcomeText(ran bool) string {
	if ran {
		return "ran"
	}
	return "not run"
}
