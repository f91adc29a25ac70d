package system

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lacewingspoke.org/lacewingspoke/standin/caller"
)

const (
	loadTokens     = 40
	callerPatience = 5 * time.Second

	// callerPause keeps refused callers from repeating in a tight loop.
	callerPause = 10 * time.Millisecond
)

// load is callers that send drafts and bookings through one address, each one
// after the other, until it is stopped.
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

// startLoad starts count callers of drafts and as many of bookings.
func startLoad(cluster *cluster, address, prefix string, count int) *load {
	ctx, cancel := context.WithCancel(cluster.ctx)
	started := &load{
		client: cluster.callerOf(address), prefix: prefix, ctx: ctx, cancel: cancel,
		complete: map[caller.Kind]int{},
	}
	for index := range count {
		name := fmt.Sprintf("%s-%d", prefix, index)
		started.callers.Go(func() { started.repeat(name, started.draft) })
		started.callers.Go(func() { started.repeat(name, started.book) })
	}
	return started
}

// repeat sends requests until the load is stopped. A request in progress then
// still gets its time.
func (load *load) repeat(name string, send func(context.Context, string, int)) {
	for index := 0; load.ctx.Err() == nil; index++ {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(load.ctx), callerPatience)
		send(ctx, name, index)
		cancel()
		select {
		case <-load.ctx.Done():
		case <-time.After(callerPause):
		}
	}
}

func (load *load) draft(ctx context.Context, name string, index int) {
	draft := caller.Draft{Prompt: fmt.Sprintf("%s prompt %d", name, index), MaxTokens: loadTokens, Stream: index%2 == 0}
	load.add(load.client.Draft(ctx, draft))
}

// book sends a booking with a key and, unless it was told that the first
// request is complete, repeats it once with the same key.
func (load *load) book(ctx context.Context, name string, index int) {
	plank := fmt.Sprintf("%s-plank-%d", name, index)
	result := load.client.Book(ctx, plank, plank)
	load.add(result)
	if result.Told != caller.ToldComplete || index%2 == 0 {
		load.add(load.client.Book(ctx, plank, plank))
	}
}

func (load *load) add(result caller.Result) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.results = append(load.results, result)
	if result.Told == caller.ToldComplete && result.Ended {
		load.complete[result.Kind]++
	}
}

// completed returns how many requests of a kind have had a whole answer.
func (load *load) completed(kind caller.Kind) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.complete[kind]
}

// stop waits for the requests in progress and returns all results.
func (load *load) stop() []caller.Result {
	load.cancel()
	load.callers.Wait()
	return load.results
}
