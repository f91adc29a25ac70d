package booking_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

func newTicket(attempt string) *booking.Ticket {
	return booking.NewTicket(booking.TicketConfig{
		Workspace: "w", IdempotencyKey: "k", Attempt: attempt, RequestDigest: "d", Validity: time.Minute,
	}, start)
}

// Guards against an accidental change of the stored form, which nodes of
// different versions read from each other.
func TestClaimStoredFormIsStable(t *testing.T) {
	ticket := newTicket("a")
	require.Equal(t, "booking/w/8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a", ticket.Key())
	require.Equal(t, kvstore.ExpectAbsent(), ticket.CreateRequest().Expect)
	require.Equal(t, `{"state":"claimed","attempt":"a","node":"","route":"","request-digest":"d",`+
		`"created-unix-ms":1796356800000,"expires-unix-ms":1796356860000}`, string(ticket.CreateRequest().Value))
	for _, data := range []string{``, `{}`, `{"state":"claimed"}`, `{"state":"finished","attempt":"a"}`, `{"state":"claimed","attempt":"a","x":1}`} {
		_, err := booking.Decode([]byte(data))
		require.ErrorIs(t, err, errors.NotValid, data)
	}
}

// Guards against confusing the own claim with that of another attempt when the
// response to a create was lost.
func TestReadResolvesUncertainCreate(t *testing.T) {
	own, other := newTicket("own"), newTicket("other")
	require.Equal(t, booking.Read{}, own.AfterCreate(kvstore.Unknown{}))
	require.False(t, own.MaySend(start))
	require.Equal(t, booking.CreateAgain{}, own.AfterRead(kvstore.Entry{}, false, start))
	stored := kvstore.Entry{Value: own.CreateRequest().Value, Revision: 7}
	require.Equal(t, booking.Reply{Reply: booking.InProgress{}}, other.AfterRead(stored, true, start))
	require.Equal(t, booking.Reply{Reply: booking.Unresolved{}}, other.AfterRead(stored, true, start.Add(time.Hour)))
	require.False(t, other.MaySend(start))
	require.Equal(t, booking.Send{}, own.AfterRead(stored, true, start))
	require.True(t, own.MaySend(start))
	require.False(t, own.MaySend(start.Add(time.Minute)), "expired")
	require.IsType(t, booking.Reject{}, own.AfterRead(kvstore.Entry{Value: []byte("x")}, true, start))
}

// Guards against a repeated request that does not receive the first answer, and
// against a settlement that the owner overwrites or that is made too early.
func TestRepeatReceivesAnswerOrSettlement(t *testing.T) {
	own, repeat := newTicket("own"), newTicket("repeat")
	own.AfterCreate(kvstore.Written{Revision: 3})
	answer := booking.NewAnswer(http.StatusCreated, http.Header{"Content-Type": {"text/plain"}}, []byte("r"))
	request := own.FinishRequest(answer, start, time.Hour)
	require.Equal(t, kvstore.ExpectRevision(3), request.Expect)
	require.Equal(t, booking.Read{}, own.AfterFinish(kvstore.Unknown{}))
	claimed := kvstore.Entry{Value: own.CreateRequest().Value, Revision: 3}
	require.Equal(t, booking.FinishAgain{}, own.AfterFinishRead(claimed, true))
	finished := kvstore.Entry{Value: request.Value, Revision: 4}
	require.Equal(t, booking.Reply{Reply: booking.Replay{Answer: answer}}, repeat.AfterRead(finished, true, start))

	claim, err := booking.Decode(claimed.Value)
	require.NoError(t, err)
	_, err = claim.Settle(booking.Settlement{}, start.Add(time.Minute), time.Hour)
	require.ErrorIs(t, err, errors.NotValid)
	later := start.Add(time.Minute + booking.SettleMargin + time.Second)
	settled, err := claim.Settle(booking.Settlement{Author: "ana", Reason: "checked"}, later, time.Hour)
	require.NoError(t, err)
	require.False(t, settled.Removable(later))
	require.True(t, settled.Removable(later.Add(2*time.Hour)))
	entry := kvstore.Entry{Value: settled.Encode(), Revision: 5}
	require.Equal(t, booking.Lost{}, own.AfterFinishRead(entry, true))
	require.IsType(t, booking.Settled{}, repeat.AfterRead(entry, true, start).(booking.Reply).Reply)
	require.Equal(t, booking.Done{}, own.AfterFinishRead(finished, true))
	_, err = settled.Settle(booking.Settlement{}, later, time.Hour)
	require.ErrorIs(t, err, errors.NotValid)
}

// Guards against an owner that removes or completes the claim of another
// attempt, for example after an operator removed the owner's claim.
func TestOwnerDoesNotChangeClaimOfOtherAttempt(t *testing.T) {
	own, other := newTicket("own"), newTicket("other")
	own.AfterCreate(kvstore.Written{Revision: 3})
	claimed := kvstore.Entry{Value: other.CreateRequest().Value, Revision: 4}
	require.Equal(t, booking.Done{}, own.AfterRemoveRead(claimed, true))
	require.Equal(t, booking.Lost{}, own.AfterFinishRead(claimed, true))
	finished := other.FinishRequest(booking.NewAnswer(http.StatusCreated, nil, nil), start, time.Hour)
	require.Equal(t, booking.Lost{}, own.AfterFinishRead(kvstore.Entry{Value: finished.Value, Revision: 5}, true))
	ownFinished := own.FinishRequest(booking.NewAnswer(http.StatusCreated, nil, nil), start, time.Hour)
	require.Equal(t, booking.Done{}, own.AfterRemoveRead(kvstore.Entry{Value: ownFinished.Value, Revision: 5}, true), "a finished claim is not removed")
	require.True(t, own.MayRemove(start))
	require.False(t, own.MayRemove(start.Add(time.Minute)), "other nodes read an expired claim as Unknown")
}

// Guards against replying to a request with the answer to a different request
// that used the same key.
func TestReusedKeyOfDifferentRequestIsMismatch(t *testing.T) {
	own := newTicket("own")
	different := booking.NewTicket(booking.TicketConfig{
		Workspace: "w", IdempotencyKey: "k", Attempt: "different", RequestDigest: "e", Validity: time.Minute,
	}, start)
	stored := kvstore.Entry{Value: own.CreateRequest().Value, Revision: 7}
	require.Equal(t, booking.Reply{Reply: booking.Mismatch{}}, different.AfterRead(stored, true, start))
}

// A node is one owner in the model of TestAtMostOneSendPerKey.
type node struct {
	ticket *booking.Ticket
	step   booking.Step

	// delayed is true while the store has not applied the node's create yet.
	delayed bool
	sent    bool
}

// Guards against two sends for one key, for any order of creates, lost
// responses, delayed writes, deletions of unsent claims and node failures.
func TestAtMostOneSendPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored *kvstore.Entry
		revision := uint64(0)
		nodes := make([]*node, 3)
		for index := range nodes {
			nodes[index] = &node{ticket: newTicket(fmt.Sprint(index)), step: booking.CreateAgain{}}
		}
		apply := func(request kvstore.PutRequest) kvstore.PutOutcome {
			if stored != nil {
				return kvstore.Conflict{Revision: stored.Revision}
			}
			revision++
			stored = &kvstore.Entry{Value: request.Value, Revision: revision}
			return kvstore.Written{Revision: revision}
		}
		sends := 0
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			actor := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if actor.delayed && rapid.Bool().Draw(t, "late-effect") {
				apply(actor.ticket.CreateRequest())
				actor.delayed = false
			}
			switch actor.step.(type) {
			case booking.CreateAgain:
				switch rapid.IntRange(0, 2).Draw(t, "store") {
				case 0:
					actor.step = actor.ticket.AfterCreate(apply(actor.ticket.CreateRequest()))
				case 1:
					apply(actor.ticket.CreateRequest())
					actor.step = actor.ticket.AfterCreate(kvstore.Unknown{})
				default:
					actor.delayed = true
					actor.step = actor.ticket.AfterCreate(kvstore.Unknown{})
				}
			case booking.Read:
				if stored == nil {
					actor.step = actor.ticket.AfterRead(kvstore.Entry{}, false, start)
				} else {
					actor.step = actor.ticket.AfterRead(*stored, true, start)
				}
			case booking.Send:
				if actor.sent || !actor.ticket.MaySend(start) {
					continue
				}
				if rapid.Bool().Draw(t, "reaches-target") {
					actor.sent = true
					sends++
					continue
				}
				// Nothing reached the target, so the owner removes the claim.
				remove, isRemove := actor.ticket.AfterRemoveRead(*stored, true).(booking.Remove)
				require.True(t, isRemove)
				require.Equal(t, stored.Revision, remove.Revision)
				stored = nil
				actor.step = booking.Done{}
			}
		}
		require.LessOrEqual(t, sends, 1)
	})
}
