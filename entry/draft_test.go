package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/route"
)

// startDraft requests a streamed draft in the background.
func (harness *harness) startDraft(prompt string, count int) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- harness.draft(prompt, count, true) }()
	return replies
}

// stall returns an emit function that sends the pieces before index end and then
// waits until the attempt is cancelled.
func stall(end int) func(context.Context, engine.Generate, func(engine.Piece)) {
	return func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		sendPieces(request, request.ResumeIndex, end, send)
		<-ctx.Done()
	}
}

// waitDelivered waits until the server has delivered count pieces.
func (harness *harness) waitDelivered(count float64) {
	harness.t.Helper()
	eventually(harness.t, func() bool { return harness.counter("lacewingspoke_entry_pieces_total") == count })
}

func requireComplete(t *testing.T, got reply, want string) {
	t.Helper()
	require.NoError(t, got.err)
	text, done := got.parseStream(t)
	require.Equal(t, want, text)
	require.True(t, done)
	require.Equal(t, "complete", got.outcome())
}

// requireReset checks that a stream was reset after the wanted text.
func requireReset(t *testing.T, got reply, want string) {
	t.Helper()
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	text, done := got.parseStream(t)
	require.Equal(t, want, text)
	require.False(t, done)
	require.NotEqual(t, "complete", got.outcome())
}

// Guards against an answer that stops, or loses or repeats pieces, when its group
// is lost, for each change of the table that reports the loss.
func TestDraftResumesOnGroupLoss(t *testing.T) {
	losses := map[string]func(*harness){
		"grant expired": func(harness *harness) { harness.renew("copy-1", -time.Second) },
		"epoch changed": func(harness *harness) {
			harness.changeGroup("copy-1", func(target *route.GroupTarget) { target.Epoch, target.Grant.Epoch = 2, 2 })
		},
		"group gone": func(harness *harness) {
			harness.changeGroup("copy-1", func(target *route.GroupTarget) { target.Name = "copy-3"; target.Open = false })
		},
	}
	for name, loseGroup := range losses {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeEngine(t), newFakeEngine(t)
			first.emit = stall(5)
			harness := newHarness(t, nil)
			harness.addGroup("copy-1", first, longGrant)
			replies := harness.startDraft("a", 12)
			harness.waitDelivered(5)
			harness.addGroup("copy-2", second, longGrant)
			loseGroup(harness)
			harness.keepRenewing("copy-2")
			requireComplete(t, <-replies, answerText("a", 12))
			resumed := second.received()
			require.Len(t, resumed, 1)
			require.Equal(t, 5, resumed[0].ResumeIndex)
			require.Equal(t, answerText("a", 5), resumed[0].ResumeText)
			eventually(t, func() bool { return first.cancelCount() == 1 })
		})
	}
}

// Guards against an attempt that continues after its grant expired because no new
// table is published.
func TestDraftResumesWhenGrantExpiresWithoutTableChange(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	first.emit = stall(2)
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", first, 300*time.Millisecond)
	replies := harness.startDraft("a", 4)
	harness.waitDelivered(2)
	harness.addGroup("copy-2", second, longGrant)
	eventually(t, func() bool { return len(second.received()) == 1 })
	harness.keepRenewing("copy-2")
	requireComplete(t, <-replies, answerText("a", 4))
}

// Guards against an answer that is reported as complete although its group lost
// its grant before the end was confirmed. Another group must confirm the end.
func TestDraftEndIsVerifiedByAnotherGroup(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", first, longGrant)
	replies := harness.startDraft("a", 6)
	harness.waitDelivered(6)
	harness.addGroup("copy-2", second, longGrant)
	old := time.Now().Add(-time.Minute)
	harness.changeGroup("copy-1", func(target *route.GroupTarget) {
		target.Grant.ReportedAt, target.Grant.ValidUntil = old, old.Add(time.Second)
	})
	harness.keepRenewing("copy-2")
	requireComplete(t, <-replies, answerText("a", 6))
	verified := second.received()
	require.Len(t, verified, 1)
	require.Equal(t, 6, verified[0].ResumeIndex)
}

// Guards against an answer, streamed or not, that is reported as complete
// although no grant confirmed its end.
func TestDraftWithoutConfirmedEndIsNotComplete(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", newFakeEngine(t), longGrant)
	deadline := map[string]string{"Lacewingspoke-Deadline": "200ms"}
	got := harness.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":3,"stream":true}`, deadline)
	requireReset(t, got, answerText("a", 3))
	got = harness.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":3}`, deadline)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Equal(t, "unknown", got.outcome())
}

// Guards against pieces that are delivered while the group has no grant, and
// against an attempt that is discarded although the grant is renewed at the same
// epoch.
func TestDraftDeliveryWaitsForGrant(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		fake := newFakeEngine(t)
		expired := make(chan struct{})
		fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
			sendPieces(request, 0, 2, send)
			<-expired
			sendPieces(request, 2, request.MaxTokens, send)
			sendDone(request, send)
		}
		harness := newHarness(t, nil)
		harness.addGroup("copy-1", fake, longGrant)
		replies := make(chan reply, 1)
		header := map[string]string{}
		if !renewed {
			header["Lacewingspoke-Deadline"] = "300ms"
		}
		go func() {
			replies <- harness.do(http.MethodPost, "/v1/completions", `{"prompt":"a","max_tokens":4,"stream":true}`, header)
		}()
		harness.waitDelivered(2)
		harness.renew("copy-1", -time.Second)
		close(expired)
		if !renewed {
			requireReset(t, <-replies, answerText("a", 2))
			continue
		}
		harness.keepRenewing("copy-1")
		requireComplete(t, <-replies, answerText("a", 4))
		require.Len(t, fake.received(), 1)
	}
}

// Guards against delivered pieces that belong to another attempt, or are repeated
// or out of order.
func TestDraftDropsInvalidPieces(t *testing.T) {
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		send(engine.Piece{Attempt: "another", Index: 0, Text: "foreign"})
		for _, index := range []int{0, 0, 2, 2, 1, 3, 1} {
			send(engine.Piece{Attempt: request.Attempt, Index: index, Text: pieceText(request.Prompt, index)})
		}
		send(engine.Piece{Attempt: "another", Index: 4, Done: true})
		sendDone(request, send)
	}
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", fake, longGrant)
	harness.keepRenewing("copy-1")
	requireComplete(t, harness.draft("a", 4, true), answerText("a", 4))
	require.Equal(t, 5.0, harness.counter("lacewingspoke_entry_dropped_pieces_total"))
}

// Guards against an answer that is not resumed after a missing piece, a stalled
// stream, a reset, or an end without the final piece.
func TestDraftResumesOnBrokenStream(t *testing.T) {
	breaks := map[string]func(context.Context, engine.Generate, func(engine.Piece)){
		"hole": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendPieces(request, 0, 2, send)
			sendPieces(request, 3, request.MaxTokens, send)
			sendDone(request, send)
		},
		"silent": stall(2),
		"reset": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendPieces(request, 0, 2, send)
			panic(http.ErrAbortHandler)
		},
		"ends without done": func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			sendPieces(request, 0, 2, send)
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
				sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
				sendDone(request, send)
			}
			harness := newHarness(t, func(config *entry.Config) {
				config.Generator.ProgressTimeout = 100 * time.Millisecond
			})
			harness.addGroup("copy-1", fake, longGrant)
			harness.keepRenewing("copy-1")
			requireComplete(t, harness.draft("a", 6, true), answerText("a", 6))
			require.Equal(t, 2, fake.received()[1].ResumeIndex)
		})
	}
}

// Guards against an engine that continues to generate after its caller
// disconnected.
func TestDraftIsCancelledWhenCallerDisconnects(t *testing.T) {
	fake := newFakeEngine(t)
	ended := make(chan struct{})
	fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		stall(2)(ctx, request, send)
		close(ended)
	}
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", fake, longGrant)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := http.DefaultClient.Do(harness.request(ctx, http.MethodPost, "/v1/completions", `{"prompt":"a","stream":true}`, nil))
	require.NoError(t, err)
	defer response.Body.Close()
	cancel()
	<-ended
	eventually(t, func() bool { return fake.cancelCount() == 1 && harness.server.InFlight() == 0 })
}

// Guards against a caller that reads nothing and thereby occupies memory and an
// engine.
func TestDraftIsCancelledWhenCallerStopsReading(t *testing.T) {
	fake := newFakeEngine(t)
	fake.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		text := strings.Repeat("x", 32<<10)
		for index := 0; ctx.Err() == nil; index++ {
			send(engine.Piece{Attempt: request.Attempt, Index: index, Text: text})
		}
	}
	harness := newHarness(t, func(config *entry.Config) {
		config.WriteTimeout = 100 * time.Millisecond
		config.MaxAnswerBytes = 1 << 30
	})
	harness.addGroup("copy-1", fake, longGrant)
	response, err := http.DefaultClient.Do(harness.request(context.Background(), http.MethodPost, "/v1/completions", `{"prompt":"a","stream":true}`, nil))
	require.NoError(t, err)
	defer response.Body.Close()
	eventually(t, func() bool { return harness.counter("lacewingspoke_entry_cut_streams_total") == 1 })
	eventually(t, func() bool { return fake.cancelCount() == 1 && harness.server.InFlight() == 0 })
}

// Guards against a refused draft that is not retried at another group, and
// against one that no group accepted and that is not reported as not run.
func TestRefusedDraftIsRetriedOrNotRun(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.TargetWait = 50 * time.Millisecond })
	got := harness.draft("a", 3, true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	require.Equal(t, "1", got.header.Get("Retry-After"))

	refusing := newFakeEngine(t)
	refusing.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusConflict)
	})
	harness.addGroup("copy-1", refusing, longGrant)
	got = harness.draft("a", 3, true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	harness.addGroup("copy-2", newFakeEngine(t), longGrant)
	harness.keepRenewing("copy-2")
	for range 10 {
		requireComplete(t, harness.draft("a", 3, true), answerText("a", 3))
	}
}

// Guards against a stop that interrupts a request in progress, and against new
// requests that are accepted by a stopping node.
func TestStopServesAcceptedRequests(t *testing.T) {
	fake := newFakeEngine(t)
	stopped := make(chan struct{})
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		sendPieces(request, 0, 2, send)
		<-stopped
		sendPieces(request, 2, request.MaxTokens, send)
		sendDone(request, send)
	}
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", fake, longGrant)
	harness.keepRenewing("copy-1")
	replies := harness.startDraft("a", 4)
	harness.waitDelivered(2)
	harness.server.Stop()
	require.Equal(t, 1, harness.server.InFlight())
	refused := harness.draft("b", 1, false)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "not-run", refused.outcome())
	close(stopped)
	requireComplete(t, <-replies, answerText("a", 4))
	eventually(t, func() bool { return harness.server.InFlight() == 0 })
}

// Guards against an error response without an outcome, or with a status that does
// not match it: 429 and 503 are only for requests that were not run.
func TestRefusalsCarryOutcome(t *testing.T) {
	hold := make(chan struct{})
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		<-hold
		sendDone(request, send)
	}
	harness := newHarness(t, func(config *entry.Config) {
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
		got := harness.do(test.method, test.path, test.body, header)
		require.Equal(t, test.status, got.status, "%s %s %s", test.method, test.path, test.body)
		require.Equal(t, "not-run", got.outcome())
	}
	harness.addGroup("copy-1", fake, longGrant)
	replies := harness.startDraft("a", 0)
	eventually(t, func() bool { return len(fake.received()) == 1 })
	got := harness.do("POST", "/v1/completions", `{"prompt":"a"}`, map[string]string{"Lacewingspoke-Deadline": "50ms"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.outcome())
	require.Equal(t, "1", got.header.Get("Retry-After"))
	close(hold)
	<-replies
}

// Guards against requests that wait in the queues of overloaded engines, where
// deadlines and the weights of workspaces have no effect.
func TestOverloadedGroupIsThrottled(t *testing.T) {
	fake := newFakeEngine(t)
	release := make(chan struct{})
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		<-release
		sendPieces(request, 0, request.MaxTokens, send)
		sendDone(request, send)
	}
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", fake, longGrant)
	first := harness.startDraft("a", 1)
	second := harness.startDraft("b", 1)
	eventually(t, func() bool { return len(fake.received()) == 2 })
	harness.changeGroup("copy-1", func(target *route.GroupTarget) { target.Load.Running, target.Load.Queued = 2, 30 })
	eventually(t, func() bool {
		got := harness.do("POST", "/v1/completions", `{"prompt":"c"}`, map[string]string{"Lacewingspoke-Deadline": "20ms"})
		return got.status == http.StatusServiceUnavailable && got.outcome() == "not-run"
	})
	close(release)
	harness.changeGroup("copy-1", func(target *route.GroupTarget) { target.Load.Running, target.Load.Queued = 0, 0 })
	harness.keepRenewing("copy-1")
	requireComplete(t, <-first, answerText("a", 1))
	requireComplete(t, <-second, answerText("b", 1))
	requireComplete(t, harness.draft("d", 1, true), answerText("d", 1))
}

// Guards against drafts of a lost group that fail because the retry budget is
// exhausted, although another group can continue them.
func TestGroupLossIsNotChargedToRetryBudget(t *testing.T) {
	first, second := newFakeEngine(t), newFakeEngine(t)
	first.emit = stall(0)
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", first, longGrant)
	var replies []<-chan reply
	for range 30 {
		replies = append(replies, harness.startDraft("a", 3))
	}
	eventually(t, func() bool { return len(first.received()) == 30 })
	harness.addGroup("copy-2", second, longGrant)
	harness.renew("copy-1", -time.Second)
	harness.keepRenewing("copy-2")
	for _, replies := range replies {
		requireComplete(t, <-replies, answerText("a", 3))
	}
	require.Zero(t, harness.counter("lacewingspoke_entry_retries_total"))
}

// Guards against retries that multiply the load on failing targets.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	const requests = 60
	harness := newHarness(t, func(config *entry.Config) { config.TargetWait = 20 * time.Millisecond })
	var refusals atomic.Int64
	refuse := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		refusals.Add(1)
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, name := range []string{"copy-1", "copy-2", "copy-3"} {
		fake := newFakeEngine(t)
		fake.server.Config.Handler = refuse
		harness.addGroup(name, fake, longGrant)
		harness.addService(fake.address())
	}
	for _, path := range []string{"/v1/completions", "/planks/1"} {
		method := http.MethodGet
		if path == "/v1/completions" {
			method = http.MethodPost
		}
		refusals.Store(0)
		for range requests {
			require.Equal(t, "not-run", harness.do(method, path, `{"prompt":"a"}`, nil).outcome())
		}
		// The budget allows a burst of 10 retries and 10 per 100 requests.
		require.LessOrEqual(t, refusals.Load(), int64(requests+10+requests/10))
	}
	require.Positive(t, harness.counter("lacewingspoke_entry_retries_total"))
}

// Guards against a stream that breaks off and looks whole to a caller that speaks HTTP/1.0:
// without chunks only a reset distinguishes it from one that has ended.
func TestBrokenDraftIsResetForOldCallers(t *testing.T) {
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		sendPieces(request, request.ResumeIndex, 2, send)
	}
	harness := newHarness(t, func(config *entry.Config) { config.MaxAttempts = 1 })
	harness.setGroups("copy-1", fake.address())
	conn, err := net.Dial("tcp", strings.TrimPrefix(harness.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	body := `{"model":"m","prompt":"a","max_tokens":4,"stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nLacewingspoke-Deadline: 200ms\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET, "the stream ended as whole: %q", got)
	require.Contains(t, string(got), "a 1")
}

// Guards against a draft that is ended because its first piece takes long, although no other
// group could take it, and against one that waits although another group could.
func TestDraftWaitsForItsFirstPieceUnlessItCanMove(t *testing.T) {
	const firstPieceTimeout = 50 * time.Millisecond
	for _, others := range []int{0, 1} {
		t.Run(fmt.Sprint("other groups: ", others), func(t *testing.T) {
			harness := newHarness(t, func(config *entry.Config) {
				config.Generator.FirstPieceTimeout = firstPieceTimeout
				config.TargetWait = firstPieceTimeout
			})
			slow := newFakeEngine(t)
			slow.emit = func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
				if others > 0 {
					<-ctx.Done()
					return
				}
				time.Sleep(6 * firstPieceTimeout)
				sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
				sendDone(request, send)
			}
			harness.addGroup("copy-1", slow, longGrant)
			names := []string{"copy-1"}
			if others > 0 {
				harness.addGroup("copy-2", newFakeEngine(t), longGrant)
				names = append(names, "copy-2")
			}
			harness.keepRenewing(names...)
			for range 4 {
				requireComplete(t, harness.draft("a", 3, true), answerText("a", 3))
			}
			require.LessOrEqual(t, len(slow.received()), 4)
		})
	}
}

// Guards against a draft in progress that is cut because its attempts are used up by groups
// that are full for a moment.
func TestDraftInProgressOutlastsRefusals(t *testing.T) {
	const refusals = 20
	harness := newHarness(t, nil)
	full := newFakeEngine(t)
	var refused atomic.Int64
	serve := full.server.Config.Handler
	full.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/generate") && len(full.received()) > 0 && refused.Add(1) <= refusals {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve.ServeHTTP(writer, request)
	})
	full.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		if request.ResumeIndex == 0 {
			sendPieces(request, 0, 2, send)
			panic(http.ErrAbortHandler)
		}
		sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
		sendDone(request, send)
	}
	harness.addGroup("copy-1", full, longGrant)
	harness.keepRenewing("copy-1")
	requireComplete(t, harness.draft("a", 4, true), answerText("a", 4))
	require.Greater(t, refused.Load(), int64(refusals))
}

// Guards against a draft in an engine's queue that ends as unknown when its group is taken
// apart, although the next group is there long before the deadline.
func TestQueuedDraftWaitsForTheNextGroup(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.TargetWait = 50 * time.Millisecond })
	queued := newFakeEngine(t)
	queued.emit = func(ctx context.Context, _ engine.Generate, _ func(engine.Piece)) { <-ctx.Done() }
	harness.addGroup("copy-1", queued, longGrant)
	replied := harness.startDraft("a", 3)
	eventually(t, func() bool { return len(queued.received()) == 1 })
	harness.change(func() { harness.groups = nil })
	// TargetWait passes without a group.
	time.Sleep(200 * time.Millisecond)
	harness.setGroups("copy-2", newFakeEngine(t).address())
	requireComplete(t, <-replied, answerText("a", 3))
}
