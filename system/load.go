package system

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lacewingspoke.org/lacewingspoke/standin/caller"
)

const (
	loadTokens    = 40
	callerTimeout = 5 * time.Second

	// retryPause prevents callers from sending in a tight loop while their
	// requests are refused.
	retryPause = 10 * time.Millisecond
)

// load runs callers that send drafts and bookings to one address. Each caller
// sends its requests one after the other until the load is stopped.
type load struct {
	client  *caller.Client
	prefix  string
	ctx     context.Context
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu       sync.Mutex
	results  []caller.Result
	complete map[caller.Kind]int
}

// startLoad starts count callers that send drafts and count callers that send
// bookings. The prefix makes their prompts, planks and keys unique.
func startLoad(cluster *cluster, address, prefix string, count int) *load {
	ctx, cancel := context.WithCancel(cluster.ctx)
	started := &load{
		client: cluster.newCaller(address), prefix: prefix, ctx: ctx, cancel: cancel,
		complete: map[caller.Kind]int{},
	}
	for index := range count {
		name := fmt.Sprintf("%s-%d", prefix, index)
		started.callers.Go(func() { started.repeat(name, started.draft) })
		started.callers.Go(func() { started.repeat(name, started.book) })
	}
	return started
}

// repeat sends requests until the load is stopped. A request in progress at that
// moment is not cancelled and keeps its timeout.
func (load *load) repeat(name string, send func(context.Context, string, int)) {
	for index := 0; load.ctx.Err() == nil; index++ {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(load.ctx), callerTimeout)
		send(ctx, name, index)
		cancel()
		select {
		case <-load.ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func (load *load) draft(ctx context.Context, name string, index int) {
	draft := caller.Draft{Prompt: fmt.Sprintf("%s prompt %d", name, index), MaxTokens: loadTokens, Stream: index%2 == 0}
	load.add(load.client.Draft(ctx, draft))
}

// book sends a booking with a key. It sends the same booking once more if its
// outcome was not complete, and for every even index.
func (load *load) book(ctx context.Context, name string, index int) {
	plank := fmt.Sprintf("%s-plank-%d", name, index)
	result := load.client.Book(ctx, plank, plank)
	load.add(result)
	if result.Outcome != caller.OutcomeComplete || index%2 == 0 {
		load.add(load.client.Book(ctx, plank, plank))
	}
}

func (load *load) add(result caller.Result) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.results = append(load.results, result)
	if result.Outcome == caller.OutcomeComplete && result.Ended {
		load.complete[result.Kind]++
	}
}

// completed returns the number of requests of a kind that got a whole answer.
func (load *load) completed(kind caller.Kind) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.complete[kind]
}

// stop ends the load, waits for the requests in progress and returns all
// results.
func (load *load) stop() []caller.Result {
	load.cancel()
	load.callers.Wait()
	return load.results
}
