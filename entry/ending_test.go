package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

// newEndingEngine returns an engine that ends as it begins to answer a prompt with the
// word: after a piece if withPiece is true.
func newEndingEngine(t *testing.T, word string, withPiece bool) *fakeEngine {
	fake := newFakeEngine(t)
	fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		if !strings.Contains(request.Prompt, word) {
			sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
			sendDone(request, send)
			return
		}
		if withPiece {
			sendPieces(request, request.ResumeIndex, request.ResumeIndex+1, send)
		}
		fake.server.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	return fake
}

// decide puts the parts in quarantine that have ended enough targets, as the control
// threads of a fleet do.
func decide(tracker *quarantine.Tracker, ledger *quarantine.Ledger) {
	for _, ending := range tracker.TakeEndings() {
		ledger.Add(ending)
	}
	now := time.Now()
	suspects := ledger.Suspects(now)
	for _, record := range ledger.Judge(suspects, tracker.SoundAt(suspects), now) {
		tracker.SetQuarantined([]string{record.Part})
	}
}

// Guards against a draft that ends one engine after the other, by its retries and by
// those of its callers, while sound drafts with the same message before it are served.
func TestMessageThatEndsEnginesIsKeptFromThem(t *testing.T) {
	for _, withPiece := range []bool{false, true} {
		t.Run(fmt.Sprint("piece=", withPiece), func(t *testing.T) {
			tracker, ledger := quarantine.NewTracker(), quarantine.NewLedger()
			harness := newHarness(t, func(config *entry.Config) {
				config.Quarantine = tracker
				config.TargetWait = 50 * time.Millisecond
			})
			var engines []*fakeEngine
			var names []string
			for index := range 8 {
				engines = append(engines, newEndingEngine(t, "deadly", withPiece))
				names = append(names, fmt.Sprint("g", index))
				harness.addGroup(names[index], engines[index], longGrant)
			}
			harness.keepRenewing(names...)
			chat := func(last string) reply {
				body := fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":"be brief"},{"role":"user","content":%q}],"max_tokens":3}`, last)
				return harness.do(http.MethodPost, "/v1/chat/completions", body, nil)
			}
			require.Equal(t, http.StatusOK, chat("hello").status)
			for range 6 {
				require.NotEqual(t, http.StatusOK, chat("deadly").status)
				decide(tracker, ledger)
			}
			ended := 0
			for _, fake := range engines {
				for _, request := range fake.received() {
					if strings.Contains(request.Prompt, "deadly") {
						ended++
						break
					}
				}
			}
			require.LessOrEqual(t, ended, quarantine.MinEndings)
			refused := chat("deadly")
			require.Equal(t, http.StatusServiceUnavailable, refused.status)
			require.Equal(t, "not-run", refused.outcome())
			require.NotEmpty(t, refused.header.Get("Retry-After"))
			require.Equal(t, http.StatusOK, chat("hello").status)
		})
	}
}

// Guards against a request to a plain service that ends one runner after the other, while
// requests with another URI or body are served.
func TestRequestThatEndsRunnersIsKeptFromThem(t *testing.T) {
	tracker, ledger := quarantine.NewTracker(), quarantine.NewLedger()
	harness := newHarness(t, func(config *entry.Config) {
		config.Quarantine = tracker
		config.TargetWait = 50 * time.Millisecond
	})
	var ended atomic.Int64
	for range 8 {
		var runner *httptest.Server
		runner = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/planks/deadly" {
				ended.Add(1)
				runner.Listener.Close()
				panic(http.ErrAbortHandler)
			}
		}))
		t.Cleanup(runner.Close)
		harness.addService(runner.Listener.Addr().String())
	}
	for range 6 {
		require.NotEqual(t, http.StatusOK, harness.do(http.MethodGet, "/planks/deadly", "", nil).status)
		decide(tracker, ledger)
	}
	require.LessOrEqual(t, ended.Load(), int64(quarantine.MinEndings))
	refused := harness.do(http.MethodGet, "/planks/deadly", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "not-run", refused.outcome())
	require.Equal(t, http.StatusOK, harness.do(http.MethodGet, "/planks/sound", "", nil).status)
}

// Guards against engines and runners that leave by plan and count as ended by a request that
// was there: after two of them it was not sent again, and after three it was in quarantine.
func TestTargetsThatLeaveAreNoEvidence(t *testing.T) {
	tracker := quarantine.NewTracker()
	harness := newHarness(t, func(config *entry.Config) {
		config.Quarantine = tracker
		config.TargetWait = 50 * time.Millisecond
	})
	const leaving = 3
	var engines, runners atomic.Int64
	for index := range leaving + 1 {
		name, fake := fmt.Sprint("g", index), newFakeEngine(t)
		fake.emit = func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
			if engines.Add(1) > leaving {
				sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
				sendDone(request, send)
				return
			}
			harness.changeGroup(name, func(target *route.GroupTarget) { target.Open = false })
			fake.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		harness.addGroup(name, fake, longGrant)
		harness.changeGroup(name, func(target *route.GroupTarget) { target.Grant.ReportedAt = time.Now().Add(longGrant) })
		var runner *httptest.Server
		runner = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if runners.Add(1) > leaving {
				return
			}
			address := runner.Listener.Addr().String()
			harness.change(func() {
				harness.services = slices.DeleteFunc(slices.Clone(harness.services), func(target route.ServiceTarget) bool { return target.Address == address })
			})
			runner.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(runner.Close)
		harness.addService(runner.Listener.Addr().String())
	}
	requireComplete(t, harness.draft("a", 3, true), answerText("a", 3))
	require.Equal(t, http.StatusOK, harness.do(http.MethodGet, "/planks/1", "", nil).status)
	require.Empty(t, tracker.TakeEndings())
	require.EqualValues(t, leaving+1, engines.Load())
	require.EqualValues(t, leaving+1, runners.Load())
}
