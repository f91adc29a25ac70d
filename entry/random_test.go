package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	randomSeed     = 20261204
	randomRequests = 300
	randomCallers  = 20
	randomPieces   = 8
)

// A randomSource is a random number generator that is safe for concurrent use.
type randomSource struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (source *randomSource) intN(limit int) int {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.random.IntN(limit)
}

func newRandomSource(t *testing.T) *randomSource {
	t.Logf("seed %d", randomSeed)
	return &randomSource{random: rand.New(rand.NewPCG(randomSeed, 1))}
}

// emitRandomFaults returns an emit function whose streams have random faults:
// a reset, silence, an early end, or pieces of another attempt and repeated
// pieces.
func emitRandomFaults(source *randomSource) func(context.Context, engine.Generate, func(engine.Piece)) {
	return func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		end := request.ResumeIndex + source.intN(request.MaxTokens-request.ResumeIndex+1)
		sendPieces(request, request.ResumeIndex, end, send)
		switch source.intN(7) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			<-ctx.Done()
			return
		case 2:
			sendDone(request, send)
			return
		case 3:
			send(engine.Piece{Attempt: "foreign", Index: end, Text: "foreign"})
			send(engine.Piece{Attempt: "foreign", Index: end, Done: true})
			sendPieces(request, request.ResumeIndex, end, send)
		}
		sendPieces(request, end, request.MaxTokens, send)
		sendDone(request, send)
	}
}

// runCallers calls each with the numbers of all requests from several goroutines.
func (harness *harness) runCallers(each func(number int)) {
	var callers sync.WaitGroup
	numbers := make(chan int)
	for range randomCallers {
		callers.Go(func() {
			for number := range numbers {
				each(number)
			}
		})
	}
	for number := range randomRequests {
		numbers <- number
	}
	close(numbers)
	callers.Wait()
}

// Guards against pieces of another caller's answer, incomplete answers that end
// cleanly, and requests that reached an engine but are reported as not run. Streams
// are reset, stall and lose pieces, and grants expire and return, at random.
func TestDraftsUnderRandomFaults(t *testing.T) {
	source := newRandomSource(t)
	harness := newHarness(t, func(config *entry.Config) {
		config.Generator.FirstPieceTimeout = 100 * time.Millisecond
		config.Generator.ProgressTimeout = 100 * time.Millisecond
		config.TargetWait = 50 * time.Millisecond
	})
	var engines []*fakeEngine
	names := []string{"copy-1", "copy-2", "copy-3"}
	for _, name := range names {
		fake := newFakeEngine(t)
		fake.emit = emitRandomFaults(source)
		engines = append(engines, fake)
		harness.addGroup(name, fake, longGrant)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			valid := longGrant
			if source.intN(4) == 0 {
				valid = -time.Second
			}
			harness.renew(names[source.intN(len(names))], valid)
		}
	}()
	var mutex sync.Mutex
	results := map[string]int{}
	notRun := map[string]bool{}
	harness.runCallers(func(number int) {
		prompt := "p" + strconv.Itoa(number)
		got := harness.draft(prompt, randomPieces, true)
		text, done := got.parseStream(t)
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case got.err != nil || got.status != http.StatusOK:
			if done || got.outcome() == "complete" {
				t.Errorf("%s: cut answer ended cleanly: %+v", prompt, got)
			}
			results["cut or refused"]++
			notRun[prompt] = got.outcome() == "not-run"
		default:
			if text != answerText(prompt, randomPieces) || !done || got.outcome() != "complete" {
				t.Errorf("%s: wrong answer %q, done %t, outcome %q", prompt, text, done, got.outcome())
			}
			results["complete"]++
		}
	})
	cancel()
	<-ended
	t.Log(results)
	require.Greater(t, results["complete"], randomRequests/2)
	for _, fake := range engines {
		for _, request := range fake.received() {
			require.False(t, notRun[request.Prompt], "%s ran and was reported as not run", request.Prompt)
		}
	}
}

// Guards against bookings that run twice, or that run and are reported as not
// run. The store loses responses and refuses writes, and runners refuse requests
// or reset connections after the run, at random.
func TestBookingsUnderRandomFaults(t *testing.T) {
	source := newRandomSource(t)
	harness := newHarness(t, func(config *entry.Config) { config.MaxAttempts = 3 })
	var mutex sync.Mutex
	runs := map[string]int{}
	for range 3 {
		target := newFakeService(t)
		target.answer = func(writer http.ResponseWriter, request *http.Request) {
			fault := source.intN(6)
			if fault == 0 {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mutex.Lock()
			runs[request.Header.Get("Idempotency-Key")]++
			mutex.Unlock()
			if fault == 1 {
				resetConnection(writer, request)
			}
			writer.WriteHeader(http.StatusCreated)
		}
		harness.addService(target.address())
	}
	harness.store.replace = true
	harness.store.onPut = func(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
		switch source.intN(6) {
		case 0:
			return kvstore.Unknown{Err: errResponseLost}
		case 1:
			harness.store.apply(request)
			return kvstore.Unknown{Err: errResponseLost}
		case 2:
			return kvstore.Refused{Err: errResponseLost}
		default:
			return harness.store.apply(request)
		}
	}
	outcomes := map[string]map[string]int{}
	harness.runCallers(func(number int) {
		// Three requests use the same key. They may overlap.
		key := fmt.Sprint("k", number/3)
		got := harness.book(key)
		mutex.Lock()
		defer mutex.Unlock()
		if outcomes[key] == nil {
			outcomes[key] = map[string]int{}
		}
		outcomes[key][got.outcome()]++
	})
	eventually(t, func() bool { return harness.server.InFlight() == 0 })
	complete := 0
	for key, results := range outcomes {
		require.LessOrEqual(t, runs[key], 1, key)
		if results["complete"] > 0 {
			complete++
			require.Equal(t, 1, runs[key], key)
		}
		if results["not-run"] == 3 {
			require.Zero(t, runs[key], key)
		}
		if runs[key] == 1 && results["complete"] == 0 {
			require.Positive(t, results["unknown"], key)
		}
	}
	t.Logf("%d of %d keys complete", complete, len(outcomes))
	require.Greater(t, complete, len(outcomes)/3)
}
