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

func (harness *harness) book(key string) reply {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return harness.do(http.MethodPost, "/bookings", `{"plank":"a"}`, header)
}

// resetConnection resets the connection after the service ran the request.
func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var errResponseLost = errors.New("store response lost")

// Guards against a second run, or a lost answer, of a booking when the response
// to a store write is lost, both for writes that took effect and for writes that
// did not.
func TestBookingRunsOnceWhenStoreResponsesAreLost(t *testing.T) {
	for _, takesEffect := range []bool{true, false} {
		harness := newHarness(t, nil)
		target := newFakeService(t)
		harness.addService(target.address())
		harness.store.replace = true
		harness.store.onPut = func(call int, request kvstore.PutRequest) kvstore.PutOutcome {
			// The response to the first try of each write is lost.
			if call%2 == 0 {
				return harness.store.apply(request)
			}
			if takesEffect {
				harness.store.apply(request)
			}
			return kvstore.Unknown{Err: errResponseLost}
		}
		first := harness.book("k")
		require.Equal(t, http.StatusCreated, first.status)
		eventually(t, func() bool { return harness.server.InFlight() == 0 })
		second := harness.book("k")
		require.Equal(t, first.body, second.body)
		require.Equal(t, "true", second.header.Get("Lacewingspoke-Replay"))
		require.EqualValues(t, 1, target.runs.Load())
	}
}

// Guards against a booking with a key that is sent although its claim could not
// be stored. A booking without a key needs no store.
func TestKeyedBookingIsRefusedWhenStoreFails(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.StoreTimeout = 10 * time.Millisecond })
	target := newFakeService(t)
	harness.addService(target.address())
	outcomes := []kvstore.PutOutcome{kvstore.Refused{Err: errResponseLost}, kvstore.Unknown{Err: errResponseLost}}
	harness.store.replace = true
	harness.store.getErr = errResponseLost
	for _, injected := range outcomes {
		harness.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome { return injected }
		got := harness.do(http.MethodPost, "/bookings", "", map[string]string{
			"Idempotency-Key": "k", "Lacewingspoke-Deadline": "150ms",
		})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "not-run", got.outcome())
	}
	require.Zero(t, target.runs.Load())
	require.Equal(t, http.StatusCreated, harness.book("").status)
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against a second run of a booking when the node that claimed it has
// crashed, and when the first run's answer was lost.
func TestBookingOfCrashedNodeIsNotRunAgain(t *testing.T) {
	harness := newHarness(t, nil)
	target := newFakeService(t)
	harness.addService(target.address())
	claim := func(key string, validity time.Duration) {
		crashed := booking.NewTicket(booking.TicketConfig{
			Workspace: "zarnesti", IdempotencyKey: key, Node: "entry-2", Attempt: "attempt-of-entry-2",
			RequestDigest: booking.RequestDigest(http.MethodPost, "/bookings", []byte(`{"plank":"a"}`)), Validity: validity,
		}, time.Now())
		require.IsType(t, kvstore.Written{}, harness.store.apply(crashed.CreateRequest()))
	}
	claim("before expiry", time.Hour)
	got := harness.book("before expiry")
	require.Equal(t, http.StatusConflict, got.status)
	require.Contains(t, got.body, "in progress")
	require.Equal(t, "unknown", got.outcome())
	claim("past expiry", -time.Second)
	got = harness.book("past expiry")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.Zero(t, target.runs.Load())

	target.answer = resetConnection
	got = harness.book("sent")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.Equal(t, http.StatusConflict, harness.book("sent").status)
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against a booking that is sent after its claim has expired, because the
// node was paused after it stored the claim. Other nodes may already have reported
// the outcome as unknown.
func TestPausedNodeDoesNotSendUnderExpiredClaim(t *testing.T) {
	var paused atomic.Int64
	harness := newHarness(t, func(config *entry.Config) {
		config.Now = func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
	})
	target := newFakeService(t)
	harness.addService(target.address())
	harness.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome {
		paused.Store(int64(time.Hour))
		return nil
	}
	got := harness.book("k")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	// The claim must stay, because other nodes may have reported its outcome as
	// unknown.
	require.Equal(t, http.StatusBadGateway, harness.book("k").status)
	require.Zero(t, target.runs.Load())
}

// Guards against a key that cannot be used again although nothing was sent, and
// against a booking that is not retried after a runner refused it or could not
// be reached.
func TestBookingIsRetriedWhenNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	harness := newHarness(t, nil)
	harness.addService(closed.Addr().String())
	got := harness.book("k")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	refusing, working := newFakeService(t), newFakeService(t)
	refusing.answer = func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }
	harness.addService(refusing.address())
	harness.addService(working.address())
	require.Equal(t, http.StatusCreated, harness.book("k").status)
	require.EqualValues(t, 1, working.runs.Load())
}

// Guards against a booking without a key that is repeated at another runner after
// it may have run.
func TestBookingWithoutKeyIsNotRepeated(t *testing.T) {
	harness := newHarness(t, nil)
	first, second := newFakeService(t), newFakeService(t)
	first.answer, second.answer = resetConnection, resetConnection
	harness.addService(first.address())
	harness.addService(second.address())
	got := harness.book("")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome())
	require.EqualValues(t, 1, first.runs.Load()+second.runs.Load())
	got = harness.do(http.MethodGet, "/planks/1", "", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 3, first.runs.Load()+second.runs.Load(), "an idempotent request is tried on both")
}

// Guards against a second run when several requests with the same key arrive at
// the same time.
func TestConcurrentBookingsWithOneKeyRunOnce(t *testing.T) {
	harness := newHarness(t, nil)
	target := newFakeService(t)
	harness.addService(target.address())
	var callers sync.WaitGroup
	var created atomic.Int64
	for range 20 {
		callers.Go(func() {
			got := harness.book("k")
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

// Guards against an answer that is too long to be stored and is replayed
// truncated, or without its digest.
func TestLongBookingAnswerIsReplayedAsDigest(t *testing.T) {
	harness := newHarness(t, nil)
	target := newFakeService(t)
	target.answer = func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat("x", booking.MaxAnswerBytes+1))
	}
	harness.addService(target.address())
	require.Len(t, harness.book("k").body, booking.MaxAnswerBytes+1)
	repeat := harness.book("k")
	require.Equal(t, http.StatusOK, repeat.status)
	require.Empty(t, repeat.body)
	require.Contains(t, repeat.header.Get("Lacewingspoke-Body-Digest"), "sha-256=")
	require.EqualValues(t, 1, target.runs.Load())
}

// Guards against finished claims without a lease, which would fill the store,
// and unfinished claims with one, which would be removed. An answer must be stored
// without a lease when the store refuses the write under it, as it does for an
// expired lease.
func TestFinishedClaimsAreStoredUnderLease(t *testing.T) {
	harness := newHarness(t, nil)
	target := newFakeService(t)
	harness.addService(target.address())
	key := func(name string) string { return booking.Key("zarnesti", name) }
	require.Equal(t, http.StatusCreated, harness.book("a").status)
	require.Equal(t, http.StatusCreated, harness.book("b").status)
	require.Equal(t, "lease-1-25h0m0s", harness.store.entries[key("a")].Lease)
	require.Equal(t, "lease-1-25h0m0s", harness.store.entries[key("b")].Lease)
	harness.store.replace = true
	harness.store.onPut = func(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
		if request.Lease != "" {
			return kvstore.Refused{Err: errResponseLost}
		}
		return harness.store.apply(request)
	}
	require.Equal(t, http.StatusCreated, harness.book("c").status)
	eventually(t, func() bool { return harness.server.InFlight() == 0 })
	require.Equal(t, "true", harness.book("c").header.Get("Lacewingspoke-Replay"))
	target.answer = resetConnection
	require.Equal(t, http.StatusBadGateway, harness.book("d").status)
	require.Empty(t, harness.store.entries[key("d")].Lease)
}

// Guards against idempotent requests that each wait for the attempt timeout of a
// runner that does not answer.
func TestIdempotentRequestsAvoidSilentRunner(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.AttemptTimeout = 100 * time.Millisecond })
	silent, working := newFakeService(t), newFakeService(t)
	silent.answer = func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	harness.addService(silent.address())
	harness.addService(working.address())
	for range 10 {
		require.Equal(t, http.StatusCreated, harness.do(http.MethodGet, "/planks/1", "", nil).status)
	}
	require.LessOrEqual(t, silent.runs.Load(), int64(1))
}

// Guards against an answer that is given up after the attempt timeout although no other
// runner could take the request, or no retry is left for it.
func TestSlowRunnerAnswersWhenItCannotBeReplaced(t *testing.T) {
	const attemptTimeout = 50 * time.Millisecond
	slow := func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(6 * attemptTimeout)
		writer.WriteHeader(http.StatusCreated)
	}
	for name, runners := range map[string]int{"one runner": 1, "all runners are slow": 3} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, func(config *entry.Config) { config.AttemptTimeout = attemptTimeout })
			for range runners {
				runner := newFakeService(t)
				runner.answer = slow
				harness.addService(runner.address())
			}
			for range 2 {
				require.Equal(t, http.StatusCreated, harness.do(http.MethodGet, "/planks/1", "", nil).status)
			}
		})
	}
}
