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

// A dice is a random source for several goroutines.
type dice struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (dice *dice) roll(sides int) int {
	dice.mutex.Lock()
	defer dice.mutex.Unlock()
	return dice.random.IntN(sides)
}

func newDice(t *testing.T) *dice {
	t.Logf("seed %d", randomSeed)
	return &dice{random: rand.New(rand.NewPCG(randomSeed, 1))}
}

// faulty emits a stream with a random fault.
func faulty(dice *dice) func(context.Context, engine.Generate, func(engine.Piece)) {
	return func(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
		end := request.ResumeIndex + dice.roll(request.MaxTokens-request.ResumeIndex+1)
		sendFrom(request, request.ResumeIndex, end, send)
		switch dice.roll(7) {
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
			sendFrom(request, request.ResumeIndex, end, send)
		}
		sendFrom(request, end, request.MaxTokens, send)
		sendDone(request, send)
	}
}

func (built *harness) callers(each func(number int)) {
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

// Guards against an answer of another caller, a cut answer that ends cleanly
// and a request that ran and is reported as not run, while streams break, fall
// silent and lose pieces and grants come and go.
func TestDraftsUnderRandomFaults(t *testing.T) {
	dice := newDice(t)
	built := newHarness(t, func(config *entry.Config) {
		config.Generator.FirstTimeout = 100 * time.Millisecond
		config.Generator.ProgressTimeout = 100 * time.Millisecond
		config.TargetWait = 50 * time.Millisecond
	})
	var engines []*fakeEngine
	names := []string{"copy-1", "copy-2", "copy-3"}
	for _, name := range names {
		fake := newFakeEngine(t)
		fake.emit = faulty(dice)
		engines = append(engines, fake)
		built.addGroup(name, fake, longGrant)
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
			if dice.roll(4) == 0 {
				valid = -time.Second
			}
			built.renew(names[dice.roll(len(names))], valid)
		}
	}()
	var mutex sync.Mutex
	told := map[string]int{}
	notRun := map[string]bool{}
	built.callers(func(number int) {
		prompt := "p" + strconv.Itoa(number)
		got := built.draft(prompt, randomPieces, true)
		text, done := got.streamed(t)
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case got.err != nil || got.status != http.StatusOK:
			if done || got.outcome() == "complete" {
				t.Errorf("%s: cut answer ended cleanly: %+v", prompt, got)
			}
			told["cut or refused"]++
			notRun[prompt] = got.outcome() == "not-run"
		default:
			if text != wholeText(prompt, randomPieces) || !done || got.outcome() != "complete" {
				t.Errorf("%s: wrong answer %q, done %t, outcome %q", prompt, text, done, got.outcome())
			}
			told["complete"]++
		}
	})
	cancel()
	<-ended
	t.Log(told)
	require.Greater(t, told["complete"], randomRequests/2)
	for _, fake := range engines {
		for _, request := range fake.received() {
			require.False(t, notRun[request.Prompt], "%s ran and was reported as not run", request.Prompt)
		}
	}
}

// Guards against a booking that runs twice, or that runs and is reported as
// not run, while the store loses answers and runners break before and after
// the run.
func TestBookingsUnderRandomFaults(t *testing.T) {
	dice := newDice(t)
	built := newHarness(t, func(config *entry.Config) { config.MaxAttempts = 3 })
	var mutex sync.Mutex
	runs := map[string]int{}
	for range 3 {
		target := newFakeService(t)
		target.answer = func(writer http.ResponseWriter, request *http.Request) {
			fault := dice.roll(6)
			if fault == 0 {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mutex.Lock()
			runs[request.Header.Get("Idempotency-Key")]++
			mutex.Unlock()
			if fault == 1 {
				cut(writer, request)
			}
			writer.WriteHeader(http.StatusCreated)
		}
		built.addService(target.address())
	}
	built.store.replace = true
	built.store.onPut = func(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
		switch dice.roll(6) {
		case 0:
			return kvstore.Unknown{Err: errLost}
		case 1:
			built.store.apply(request)
			return kvstore.Unknown{Err: errLost}
		case 2:
			return kvstore.Refused{Err: errLost}
		default:
			return built.store.apply(request)
		}
	}
	outcomes := map[string]map[string]int{}
	built.callers(func(number int) {
		// Three callers, in any order or at once, use the same key.
		key := fmt.Sprint("k", number/3)
		got := built.book(key)
		mutex.Lock()
		defer mutex.Unlock()
		if outcomes[key] == nil {
			outcomes[key] = map[string]int{}
		}
		outcomes[key][got.outcome()]++
	})
	eventually(t, func() bool { return built.server.InFlight() == 0 })
	complete := 0
	for key, told := range outcomes {
		require.LessOrEqual(t, runs[key], 1, key)
		if told["complete"] > 0 {
			complete++
			require.Equal(t, 1, runs[key], key)
		}
		if told["not-run"] == 3 {
			require.Zero(t, runs[key], key)
		}
		if runs[key] == 1 && told["complete"] == 0 {
			require.Positive(t, told["unknown"], key)
		}
	}
	t.Logf("%d of %d keys complete", complete, len(outcomes))
	require.Greater(t, complete, len(outcomes)/3)
}
