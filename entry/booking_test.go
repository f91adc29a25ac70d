package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

func (built *harness) book(key string) reply {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return built.do(http.MethodPost, "/bookings", `{"plank":"a"}`, header)
}

// cut ends the connection after the service ran the request.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var errLost = errors.New("answer lost")

// Guards against a second run, or a lost booking, when the store loses the
// answer of a write that took effect or of one that did not.
func TestBookingLostStoreAnswers(t *testing.T) {
	for _, takesEffect := range []bool{true, false} {
		built := newHarness(t, nil)
		target := newFakeService(t)
		built.addService(target.address())
		built.store.replace = true
		built.store.onPut = func(call int, request kvstore.PutRequest) kvstore.PutOutcome {
			// Every first try of a write loses its answer.
			if call%2 == 0 {
				return built.store.apply(request)
			}
			if takesEffect {
				built.store.apply(request)
			}
			return kvstore.Unknown{Err: errLost}
		}
		first := built.book("k")
		require.Equal(t, http.StatusCreated, first.status)
		eventually(t, func() bool { return built.server.InFlight() == 0 })
		second := built.book("k")
		require.Equal(t, first.body, second.body)
		require.Equal(t, "true", second.header.Get("Lacewingspoke-Replay"))
		require.EqualValues(t, 1, target.runs.Load())
	}
}

// Guards against a keyed booking that is sent while its claim cannot be
// stored.
func TestBookingWithoutStore(t *testing.T) {
	built := newHarness(t, func(config *entry.Config) { config.StoreTimeout = 10 * time.Millisecond })
	target := newFakeService(t)
	built.addService(target.address())
	outcomes := []kvstore.PutOutcome{kvstore.Refused{Err: errLost}, kvstore.Unknown{Err: errLost}}
	built.store.replace = true
	built.store.getErr = errLost
	for _, seen := range outcomes {
		built.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome { return seen }
		got := built.do(http.MethodPost, "/bookings", "", map[string]string{
			"Idempotency-Key": "k", "Lacewingspoke-Deadline": "150ms",
		})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "not-run", got.outcome())
	}
	require.Zero(t, target.runs.Load())
	require.Equal(t, http.StatusCreated, built.book("").status)
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against a second run after the death of the node that claimed the
// booking, whether it died before or after it sent.
func TestBookingNodeDeath(t *testing.T) {
	built := newHarness(t, nil)
	target := newFakeService(t)
	built.addService(target.address())
	claim := func(key string, validity time.Duration) {
		dead := booking.NewTicket(booking.TicketConfig{
			Workspace: "zarnesti", IdempotencyKey: key, Node: "entry-2", Attempt: "attempt-of-entry-2",
			RequestDigest: booking.RequestDigest(http.MethodPost, "/bookings", []byte(`{"plank":"a"}`)), Validity: validity,
		}, time.Now())
		require.IsType(t, kvstore.Written{}, built.store.apply(dead.CreateRequest()))
	}
	claim("before expiry", time.Hour)
	got := built.book("before expiry")
	require.Equal(t, http.StatusConflict, got.status)
	require.Contains(t, got.body, "in progress")
	require.Equal(t, "unknown", got.outcome())
	claim("past expiry", -time.Second)
	got = built.book("past expiry")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.Zero(t, target.runs.Load())

	target.answer = cut
	got = built.book("sent")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.Equal(t, http.StatusConflict, built.book("sent").status)
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against a booking that is sent by a node that was paused between the
// claim and the send until others read the claim as Unknown.
func TestBookingPausedNodeDoesNotSend(t *testing.T) {
	var paused atomic.Int64
	built := newHarness(t, func(config *entry.Config) {
		config.Now = func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
	})
	target := newFakeService(t)
	built.addService(target.address())
	built.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome {
		paused.Store(int64(time.Hour))
		return nil
	}
	got := built.book("k")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	// The claim stays: others may have reported it as Unknown.
	require.Equal(t, http.StatusBadGateway, built.book("k").status)
	require.Zero(t, target.runs.Load())
}

// Guards against a key that stays blocked although nothing was sent, and a
// runner that refuses or cannot be reached and ends the booking.
func TestBookingMovesOnWhenNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	built := newHarness(t, nil)
	built.addService(closed.Addr().String())
	got := built.book("k")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	refusing, working := newFakeService(t), newFakeService(t)
	refusing.answer = func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }
	built.addService(refusing.address())
	built.addService(working.address())
	require.Equal(t, http.StatusCreated, built.book("k").status)
	require.EqualValues(t, 1, working.runs.Load())
}

// Guards against a repeat on another runner of a booking without a key.
func TestBookingWithoutKeyHasOneAttempt(t *testing.T) {
	built := newHarness(t, nil)
	first, second := newFakeService(t), newFakeService(t)
	first.answer, second.answer = cut, cut
	built.addService(first.address())
	built.addService(second.address())
	got := built.book("")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.EqualValues(t, 1, first.runs.Load()+second.runs.Load())
	got = built.do(http.MethodGet, "/planks/1", "", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 3, first.runs.Load()+second.runs.Load(), "an idempotent request is tried on both")
}

// Guards against two runs when the same booking arrives many times at once.
func TestBookingConcurrentRepeats(t *testing.T) {
	built := newHarness(t, nil)
	target := newFakeService(t)
	built.addService(target.address())
	var callers sync.WaitGroup
	var created atomic.Int64
	for range 20 {
		callers.Go(func() {
			got := built.book("k")
			if got.status == http.StatusCreated {
				created.Add(1)
			} else if got.status != http.StatusConflict {
				t.Errorf("status %d: %s", got.status, got.body)
			}
		})
	}
	callers.Wait()
	require.EqualValues(t, 1, target.runs.Load())
	require.Positive(t, created.Load())
}

// Guards against a long answer that is replayed cut or as if it were whole.
func TestBookingLongAnswer(t *testing.T) {
	built := newHarness(t, nil)
	target := newFakeService(t)
	target.answer = func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat("x", booking.MaxAnswerBytes+1))
	}
	built.addService(target.address())
	require.Len(t, built.book("k").body, booking.MaxAnswerBytes+1)
	repeat := built.book("k")
	require.Equal(t, http.StatusOK, repeat.status)
	require.Empty(t, repeat.body)
	require.Contains(t, repeat.header.Get("Lacewingspoke-Body-Digest"), "sha-256=")
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against finished claims that fill the store, against an unfinished
// claim that is removed, and against an expired lease that keeps answers from
// being stored.
func TestClaimsAreRemovedWithLease(t *testing.T) {
	built := newHarness(t, nil)
	target := newFakeService(t)
	built.addService(target.address())
	key := func(name string) string { return booking.Key("zarnesti", name) }
	require.Equal(t, http.StatusCreated, built.book("a").status)
	require.Equal(t, http.StatusCreated, built.book("b").status)
	require.Equal(t, "lease-1-25h0m0s", built.store.entries[key("a")].Lease)
	require.Equal(t, "lease-1-25h0m0s", built.store.entries[key("b")].Lease)
	built.store.replace = true
	built.store.onPut = func(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
		if request.Lease != "" {
			return kvstore.Refused{Err: errLost}
		}
		return built.store.apply(request)
	}
	require.Equal(t, http.StatusCreated, built.book("c").status)
	eventually(t, func() bool { return built.server.InFlight() == 0 })
	require.Equal(t, "true", built.book("c").header.Get("Lacewingspoke-Replay"))
	target.answer = cut
	require.Equal(t, http.StatusBadGateway, built.book("d").status)
	require.Empty(t, built.store.entries[key("d")].Lease)
}

// Guards against lookups that all wait for a runner that has gone silent.
func TestLookupLeavesSilentRunner(t *testing.T) {
	built := newHarness(t, func(config *entry.Config) { config.AttemptTimeout = 100 * time.Millisecond })
	silent, working := newFakeService(t), newFakeService(t)
	silent.answer = func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	built.addService(silent.address())
	built.addService(working.address())
	for range 10 {
		require.Equal(t, http.StatusCreated, built.do(http.MethodGet, "/planks/1", "", nil).status)
	}
	require.LessOrEqual(t, silent.runs.Load(), int64(1))
}
