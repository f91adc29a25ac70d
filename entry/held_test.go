package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/route"
)

// readTime is the time in which an engine reads the shared beginning.
const readTime = 50 * time.Millisecond

// A readingClock is a clock that runs only while engines read, so that the observed read times do
// not depend on the machine.
type readingClock struct {
	start time.Time
	read  atomic.Int64
}

func newReadingHarness(test *testing.T) (*harness, *readingClock) {
	clock := &readingClock{start: time.Now()}
	return newHarness(test, func(config *entry.Config) { config.Now = clock.now }), clock
}

func (clock *readingClock) now() time.Time { return clock.start.Add(time.Duration(clock.read.Load())) }

// readOnce returns the script of an engine that holds the beginning after the first draft.
func (clock *readingClock) readOnce() func(context.Context, engine.Generate, func(engine.Piece)) {
	var read sync.Once
	return func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		read.Do(func() { clock.read.Add(int64(readTime)) })
		sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
		sendDone(request, send)
	}
}

// requestDraft requests a draft with a deadline that does not pass while the clock stands.
func requestDraft(test *testing.T, harness *harness, prompt string) {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":2,"stream":true}`, prompt)
	got := harness.do(http.MethodPost, "/v1/completions", body, map[string]string{"Lacewingspoke-Deadline": "5m"})
	require.Equal(test, "complete", got.outcome())
}

// Guards against drafts with a shared beginning that several engines read, and against a
// preference that outlives the epoch in which the engine held it.
func TestDraftsGoToTheHolderOfTheirBeginning(test *testing.T) {
	harness, clock := newReadingHarness(test)
	engines := map[string]*fakeEngine{}
	for _, name := range []string{"copy-1", "copy-2", "copy-3", "copy-4"} {
		engines[name] = newFakeEngine(test)
		engines[name].emit = clock.readOnce()
		harness.addGroup(name, engines[name], longGrant)
	}
	harness.keepRenewing("copy-1", "copy-2", "copy-3", "copy-4")
	shared := strings.Repeat("be kind ", 4096)
	readers := func(from, to int) map[string]int {
		before, counts := map[string]int{}, map[string]int{}
		for name, fake := range engines {
			before[name] = len(fake.received())
		}
		for number := from; number < to; number++ {
			requestDraft(test, harness, shared+fmt.Sprint(number))
		}
		for name, fake := range engines {
			if count := len(fake.received()) - before[name]; count > 0 {
				counts[name] = count
			}
		}
		return counts
	}
	first := readers(0, 8)
	require.Len(test, first, 1)
	require.Positive(test, harness.counter("lacewingspoke_entry_prompt_tokens_total"))
	for name := range first {
		harness.changeGroup(name, func(target *route.GroupTarget) { target.Epoch, target.Grant.Epoch = 2, 2 })
	}
	// No engine holds the beginning now. One reads it and gets the others.
	require.Len(test, readers(8, 16), 1)
}

// Guards against an explanation that differs from the decision on a draft, that sends something
// or that changes where the next draft goes.
func TestExplanationOfADraft(test *testing.T) {
	harness, clock := newReadingHarness(test)
	question := explanation.Question{Path: "/v1/completions", Workspace: "zarnesti", Prompt: strings.Repeat("be kind ", 4096)}
	waiting, err := harness.server.Explain(question)
	require.NoError(test, err)
	require.Equal(test, explanation.VerdictWait, waiting.Verdict)
	engines := map[string]*fakeEngine{}
	for _, name := range []string{"copy-1", "copy-2", "copy-3"} {
		engines[name] = newFakeEngine(test)
		engines[name].emit = clock.readOnce()
		harness.addGroup(name, engines[name], longGrant)
	}
	harness.keepRenewing("copy-1", "copy-2")
	harness.renew("copy-3", -time.Second)
	requestDraft(test, harness, question.Prompt)
	holder := "copy-1"
	if len(engines[holder].received()) == 0 {
		holder = "copy-2"
	}
	for range 5 {
		answer, err := harness.server.Explain(question)
		require.NoError(test, err)
		require.Equal(test, holder, answer.Target)
		for _, candidate := range answer.Candidates {
			switch candidate.Name {
			case "copy-3":
				require.Equal(test, "no-grant", candidate.Excluded)
			case holder:
				require.InDelta(test, answer.PromptTokens, candidate.HeldTokens, 1)
			}
		}
	}
	require.Len(test, engines[holder].received(), 1)
	for text, asked := range map[string]explanation.Question{
		"unknown workspace": {Path: "/v1/completions", Workspace: "other"},
		"no route":          {Path: "/other", Workspace: "zarnesti"},
	} {
		_, err := harness.server.Explain(asked)
		require.ErrorIs(test, err, errors.NotValid)
		require.ErrorContains(test, err, text)
	}
}
