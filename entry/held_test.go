package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/route"
)

// readTime is the time in which an engine of readOnce reads the shared beginning.
const readTime = 50 * time.Millisecond

// readOnce returns the script of an engine that holds the beginning after the first draft.
func readOnce() func(context.Context, engine.Generate, func(engine.Piece)) {
	var read sync.Once
	return func(_ context.Context, request engine.Generate, send func(engine.Piece)) {
		read.Do(func() { time.Sleep(readTime) })
		sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
		sendDone(request, send)
	}
}

// Guards against drafts with a shared beginning that several engines read, and against a
// preference that outlives the epoch in which the engine held it.
func TestDraftsGoToTheHolderOfTheirBeginning(test *testing.T) {
	harness := newHarness(test, nil)
	engines := map[string]*fakeEngine{}
	for _, name := range []string{"copy-1", "copy-2", "copy-3", "copy-4"} {
		engines[name] = newFakeEngine(test)
		engines[name].emit = readOnce()
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
			require.Equal(test, "complete", harness.draft(shared+fmt.Sprint(number), 2, true).outcome())
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
