package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/route"
)

// start requests a streamed draft in the background.
func (built *harness) start(prompt string, count int) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- built.draft(prompt, count, true) }()
	return replies
}

// stall emits the pieces before from and then waits until the attempt is
// cancelled.
func stall(from int) func(context.Context, engine.Generate, func(engine.Piece)) {
	return func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		sendFrom(request, request.ResumeIndex, from, send)
		<-ctx.Done()
	}
}

func (built *harness) delivered(count float64) {
	built.t.Helper()
	eventually(built.t, func() bool { return built.counter("lacewingspoke_entry_pieces_total") == count })
}

func requireComplete(t *testing.T, got reply, want string) {
	t.Helper()
	require.NoError(t, got.err)
	text, done := got.streamed(t)
	require.Equal(t, want, text)
	require.True(t, done)
	require.Equal(t, "complete", got.outcome())
}

// requireReset checks that a stream did not end cleanly.
func requireReset(t *testing.T, got reply, want string) {
	t.Helper()
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	text, done := got.streamed(t)
	require.Equal(t, want, text)
	require.False(t, done)
	require.NotEqual(t, "complete", got.outcome())
}

// Guards against an answer that stops, loses or repeats pieces when a member
// of its group fails, for each sign of the loss.
func TestDraftResumesOnGroupLoss(t *testing.T) {
	losses := map[string]func(*harness){
		"grant expired": func(built *harness) { built.renew("copy-1", -time.Second) },
		"epoch changed": func(built *harness) {
			built.changeGroup("copy-1", func(target *route.GroupTarget) { target.Epoch, target.Grant.Epoch = 2, 2 })
		},
		"group gone": func(built *harness) {
			built.changeGroup("copy-1", func(target *route.GroupTarget) { target.Name = "copy-3"; target.Open = false })
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeEngine(t), newFakeEngine(t)
			first.emit = stall(5)
			built := newHarness(t, nil)
			built.addGroup("copy-1", first, longGrant)
			replies := built.start("a", 12)
			built.delivered(5)
			built.addGroup("copy-2", second, longGrant)
			lose(built)
			built.keepGranted("copy-2")
			requireComplete(t, <-replies, wholeText("a", 12))
			resumed := second.received()
			require.Len(t, resumed, 1)
			require.Equal(t, 5, resumed[0].ResumeIndex)
			require.Equal(t, wholeText("a", 5), resumed[0].ResumeText)
			eventually(t, func() bool { return first.cancels() == 1 })
		})
	}
}

// Guards against a wait for the timer of the table's change: a grant that
// expires while no new table is published ends the attempt too.
func TestDraftResumesWhenGrantRunsOut(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	first.emit = stall(2)
	built := newHarness(t, nil)
	built.addGroup("copy-1", first, 300*time.Millisecond)
	replies := built.start("a", 4)
	built.delivered(2)
	built.addGroup("copy-2", second, longGrant)
	eventually(t, func() bool { return len(second.received()) == 1 })
	built.keepGranted("copy-2")
	requireComplete(t, <-replies, wholeText("a", 4))
}

// Guards against an answer that is marked complete by a group that lost a
// member before the end was confirmed: another group verifies the end.
func TestDraftEndVerifiedElsewhere(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	built := newHarness(t, nil)
	built.addGroup("copy-1", first, longGrant)
	replies := built.start("a", 6)
	built.delivered(6)
	built.addGroup("copy-2", second, longGrant)
	old := time.Now().Add(-time.Minute)
	built.changeGroup("copy-1", func(target *route.GroupTarget) {
		target.Grant.ReportedAt, target.Grant.ValidUntil = old, old.Add(time.Second)
	})
	built.keepGranted("copy-2")
	requireComplete(t, <-replies, wholeText("a", 6))
	verified := second.received()
	require.Len(t, verified, 1)
	require.Equal(t, 6, verified[0].ResumeIndex)
}

// Guards against a final marker without a confirming grant, streamed and
// whole.
func TestDraftEndHeldWithoutConfirmation(t *testing.T) {
	built := newHarness(t, nil)
	built.addGroup("copy-1", newFakeEngine(t), longGrant)
	deadline := map[string]string{"Lacewingspoke-Deadline": "200ms"}
	got := built.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":3,"stream":true}`, deadline)
	requireReset(t, got, wholeText("a", 3))
	got = built.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":3}`, deadline)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Equal(t, "unknown", got.outcome())
}

// Guards against bytes of a group without a grant, and against a discarded
// attempt when the grant returns at the same epoch.
func TestDraftBytesOnlyUnderGrant(t *testing.T) {
	for _, returns := range []bool{false, true} {
		fake := newFakeEngine(t)
		lapsed := make(chan struct{})
		fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
			sendFrom(request, 0, 2, send)
			<-lapsed
			sendFrom(request, 2, request.MaxTokens, send)
			sendDone(request, send)
		}
		built := newHarness(t, nil)
		built.addGroup("copy-1", fake, longGrant)
		replies := make(chan reply, 1)
		header := map[string]string{}
		if !returns {
			header["Lacewingspoke-Deadline"] = "300ms"
		}
		go func() {
			replies <- built.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":4,"stream":true}`, header)
		}()
		built.delivered(2)
		built.renew("copy-1", -time.Second)
		close(lapsed)
		if !returns {
			requireReset(t, <-replies, wholeText("a", 2))
			continue
		}
		built.keepGranted("copy-1")
		requireComplete(t, <-replies, wholeText("a", 4))
		require.Len(t, fake.received(), 1)
	}
}

// Guards against pieces that reach the wrong caller, twice or out of order.
func TestDraftDropsStrangePieces(t *testing.T) {
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		send(engine.Piece{Attempt: "another", Index: 0, Text: "foreign"})
		for _, index := range []int{0, 0, 2, 2, 1, 3, 1} {
			send(engine.Piece{Attempt: request.Attempt, Index: index, Text: token(request.Prompt, index)})
		}
		send(engine.Piece{Attempt: "another", Index: 4, Done: true})
		sendDone(request, send)
	}
	built := newHarness(t, nil)
	built.addGroup("copy-1", fake, longGrant)
	built.keepGranted("copy-1")
	requireComplete(t, built.draft("a", 4, true), wholeText("a", 4))
	require.Equal(t, 5.0, built.counter("lacewingspoke_entry_dropped_pieces_total"))
}

// Guards against a hole in the answer, a silent connection and a broken one.
func TestDraftResumesOnBrokenStream(t *testing.T) {
	breaks := map[string]func(context.Context, engine.Generate, func(engine.Piece)){
		"hole": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendFrom(request, 0, 2, send)
			sendFrom(request, 3, request.MaxTokens, send)
			sendDone(request, send)
		},
		"silent": stall(2),
		"reset": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendFrom(request, 0, 2, send)
			panic(http.ErrAbortHandler)
		},
		"ends without done": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendFrom(request, 0, 2, send)
		},
	}
	for name, emit := range breaks {
		t.Run(name, func(t *testing.T) {
			fake := newFakeEngine(t)
			fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
				if request.ResumeIndex == 0 {
					emit(ctx, request, send)
					return
				}
				sendFrom(request, request.ResumeIndex, request.MaxTokens, send)
				sendDone(request, send)
			}
			built := newHarness(t, func(config *entry.Config) {
				config.Generator.ProgressTimeout = 100 * time.Millisecond
			})
			built.addGroup("copy-1", fake, longGrant)
			built.keepGranted("copy-1")
			requireComplete(t, built.draft("a", 6, true), wholeText("a", 6))
			require.Equal(t, 2, fake.received()[1].ResumeIndex)
		})
	}
}

// Guards against an engine that works on for a caller that left.
func TestDraftCallerLeaves(t *testing.T) {
	fake := newFakeEngine(t)
	ended := make(chan struct{})
	fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		stall(2)(ctx, request, send)
		close(ended)
	}
	built := newHarness(t, nil)
	built.addGroup("copy-1", fake, longGrant)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := http.DefaultClient.Do(built.request(ctx, http.MethodPost, "/v1/completions", `{"prompt":"a","stream":true}`, nil))
	require.NoError(t, err)
	defer response.Body.Close()
	cancel()
	<-ended
	eventually(t, func() bool { return fake.cancels() == 1 && built.server.InFlight() == 0 })
}

// Guards against a caller that reads nothing and holds memory and an engine.
func TestDraftSlowCaller(t *testing.T) {
	fake := newFakeEngine(t)
	fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		text := strings.Repeat("x", 32<<10)
		for index := 0; ctx.Err() == nil; index++ {
			send(engine.Piece{Attempt: request.Attempt, Index: index, Text: text})
		}
	}
	built := newHarness(t, func(config *entry.Config) {
		config.WriteTimeout = 100 * time.Millisecond
		config.MaxAnswerBytes = 1 << 30
	})
	built.addGroup("copy-1", fake, longGrant)
	response, err := http.DefaultClient.Do(built.request(context.Background(), http.MethodPost, "/v1/completions", `{"prompt":"a","stream":true}`, nil))
	require.NoError(t, err)
	defer response.Body.Close()
	eventually(t, func() bool { return built.counter("lacewingspoke_entry_cut_streams_total") == 1 })
	eventually(t, func() bool { return fake.cancels() == 1 && built.server.InFlight() == 0 })
}

// Guards against a refused request that is not tried elsewhere, and against
// one that no group took and that is not reported as not run.
func TestDraftRefused(t *testing.T) {
	built := newHarness(t, func(config *entry.Config) { config.TargetWait = 50 * time.Millisecond })
	got := built.draft("a", 3, true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	require.Equal(t, "1", got.header.Get("Retry-After"))

	refusing := newFakeEngine(t)
	refusing.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusConflict)
	})
	built.addGroup("copy-1", refusing, longGrant)
	got = built.draft("a", 3, true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	built.addGroup("copy-2", newFakeEngine(t), longGrant)
	built.keepGranted("copy-2")
	for range 10 {
		requireComplete(t, built.draft("a", 3, true), wholeText("a", 3))
	}
}

// Guards against a plan to stop that interrupts a request, and against new
// work on a stopping node.
func TestStopIsGraceful(t *testing.T) {
	fake := newFakeEngine(t)
	stopped := make(chan struct{})
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		sendFrom(request, 0, 2, send)
		<-stopped
		sendFrom(request, 2, request.MaxTokens, send)
		sendDone(request, send)
	}
	built := newHarness(t, nil)
	built.addGroup("copy-1", fake, longGrant)
	built.keepGranted("copy-1")
	replies := built.start("a", 4)
	built.delivered(2)
	built.server.Stop()
	require.Equal(t, 1, built.server.InFlight())
	refused := built.draft("b", 1, false)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "not-run", refused.outcome())
	close(stopped)
	requireComplete(t, <-replies, wholeText("a", 4))
	eventually(t, func() bool { return built.server.InFlight() == 0 })
}

// Guards against a response without an outcome and against 429 or 503 for a
// request that may have run.
func TestRefusalsCarryOutcome(t *testing.T) {
	hold := make(chan struct{})
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		<-hold
		sendDone(request, send)
	}
	built := newHarness(t, func(config *entry.Config) {
		config.Capacity = 1
		config.MaxBodyBytes = 64
	})
	cases := []struct {
		method, path, body, header, value string
		status                            int
	}{
		{"POST", "/v1/completions", `{}`, "Authorization", "Bearer wrong", http.StatusUnauthorized},
		{"POST", "/other", `{}`, "", "", http.StatusNotFound},
		{"GET", "/planks/../bookings", "", "", "", http.StatusBadRequest},
		{"GET", "/planks/%2e%2e/bookings", "", "", "", http.StatusBadRequest},
		{"GET", "/planks//1", "", "", "", http.StatusBadRequest},
		{"POST", "/v1/else", `{}`, "", "", http.StatusNotFound},
		{"GET", "/v1/completions", "", "", "", http.StatusMethodNotAllowed},
		{"POST", "/v1/completions", `{"prompt":"a","extra":1}`, "", "", http.StatusBadRequest},
		{"POST", "/v1/completions", `{"prompt":"a"} x`, "", "", http.StatusBadRequest},
		{"POST", "/v1/completions", strings.Repeat("x", 65), "", "", http.StatusRequestEntityTooLarge},
		{"POST", "/v1/completions", `{"prompt":"a"}`, "Lacewingspoke-Deadline", "soon", http.StatusBadRequest},
		{"POST", "/v1/completions", `{"prompt":"a"}`, "Lacewingspoke-Priority", "first", http.StatusBadRequest},
	}
	for _, test := range cases {
		header := map[string]string{}
		if test.header != "" {
			header[test.header] = test.value
		}
		got := built.do(test.method, test.path, test.body, header)
		require.Equal(t, test.status, got.status, "%s %s %s", test.method, test.path, test.body)
		require.Equal(t, "not-run", got.outcome())
	}
	built.addGroup("copy-1", fake, longGrant)
	replies := built.start("a", 0)
	eventually(t, func() bool { return len(fake.received()) == 1 })
	got := built.do("POST", "/v1/completions", `{"prompt":"a"}`, map[string]string{"Lacewingspoke-Deadline": "50ms"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	require.Equal(t, "1", got.header.Get("Retry-After"))
	close(hold)
	<-replies
}

// Guards against requests that wait in the queue of overloaded engines, out of
// reach of deadlines and weights.
func TestOverloadedGroupThrottled(t *testing.T) {
	fake := newFakeEngine(t)
	release := make(chan struct{})
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		<-release
		sendFrom(request, 0, request.MaxTokens, send)
		sendDone(request, send)
	}
	built := newHarness(t, nil)
	built.addGroup("copy-1", fake, longGrant)
	first := built.start("a", 1)
	second := built.start("b", 1)
	eventually(t, func() bool { return len(fake.received()) == 2 })
	built.changeGroup("copy-1", func(target *route.GroupTarget) { target.Load.Running, target.Load.Queued = 2, 30 })
	eventually(t, func() bool {
		got := built.do("POST", "/v1/completions", `{"prompt":"c"}`, map[string]string{"Lacewingspoke-Deadline": "20ms"})
		return got.status == http.StatusServiceUnavailable && got.outcome() == "not-run"
	})
	close(release)
	built.changeGroup("copy-1", func(target *route.GroupTarget) { target.Load.Running, target.Load.Queued = 0, 0 })
	built.keepGranted("copy-1")
	requireComplete(t, <-first, wholeText("a", 1))
	requireComplete(t, <-second, wholeText("b", 1))
	requireComplete(t, built.draft("d", 1, true), wholeText("d", 1))
}

// Guards against a retry budget that refuses the drafts of a lost group while
// another group can take them over.
func TestGroupLossIsNotChargedToRetryBudget(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	first.emit = stall(0)
	built := newHarness(t, nil)
	built.addGroup("copy-1", first, longGrant)
	var replies []<-chan reply
	for range 30 {
		replies = append(replies, built.start("a", 3))
	}
	eventually(t, func() bool { return len(first.received()) == 30 })
	built.addGroup("copy-2", second, longGrant)
	built.renew("copy-1", -time.Second)
	built.keepGranted("copy-2")
	for _, replies := range replies {
		requireComplete(t, <-replies, wholeText("a", 3))
	}
	require.Zero(t, built.counter("lacewingspoke_entry_retries_total"))
}

// Guards against retries that multiply the load on targets that fail.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	const requests = 60
	built := newHarness(t, func(config *entry.Config) { config.TargetWait = 20 * time.Millisecond })
	var refusals atomic.Int64
	refuse := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		refusals.Add(1)
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, name := range []string{"copy-1", "copy-2", "copy-3"} {
		fake := newFakeEngine(t)
		fake.server.Config.Handler = refuse
		built.addGroup(name, fake, longGrant)
		built.addService(fake.address())
	}
	for _, path := range []string{"/v1/completions", "/planks/1"} {
		method := http.MethodGet
		if path == "/v1/completions" {
			method = http.MethodPost
		}
		refusals.Store(0)
		for range requests {
			require.Equal(t, "not-run", built.do(method, path, `{"prompt":"a"}`, nil).outcome())
		}
		// A burst of 10 and 10 for 100 requests.
		require.LessOrEqual(t, refusals.Load(), int64(requests+10+requests/10))
	}
	require.Positive(t, built.counter("lacewingspoke_entry_retries_total"))
}
