package engine

import (
	"context"
	"sort"
	"sync"
	"time"
)

// batch runs a limited number of requests concurrently and queues the others
// by priority, then by arrival. It keeps a history of the load, because reports
// return the load of one lag ago.
type batch struct {
	mu           sync.Mutex
	maxRunning   int
	cacheBlocks  int
	running      int
	pinnedBlocks int
	queue        []*queuedRequest
	attempts     map[string]context.CancelFunc
	lag          time.Duration
	history      []loadSample
}

type queuedRequest struct {
	priority int
	admitted chan struct{}
}

// loadSample holds the load figures from one moment until the next sample.
type loadSample struct {
	since   time.Time
	running int
	queued  int
	free    int
}

func newBatch(maxRunning, cacheBlocks int, lag time.Duration) *batch {
	return &batch{
		maxRunning:  maxRunning,
		cacheBlocks: cacheBlocks,
		attempts:    map[string]context.CancelFunc{},
		lag:         lag,
		history:     []loadSample{{free: cacheBlocks}},
	}
}

// admit waits for a place in the batch for a prompt of the given number of
// blocks. It returns false if ctx ended before the request was admitted.
func (batch *batch) admit(ctx context.Context, priority, blocks int) bool {
	request := &queuedRequest{priority: priority, admitted: make(chan struct{})}
	batch.mu.Lock()
	if batch.running < batch.maxRunning {
		batch.running++
		close(request.admitted)
	} else {
		batch.enqueue(request)
	}
	batch.recordLoad()
	batch.mu.Unlock()
	select {
	case <-request.admitted:
	case <-ctx.Done():
		if batch.removeQueued(request) {
			return false
		}
	}
	batch.pin(blocks)
	return true
}

func (batch *batch) enqueue(request *queuedRequest) {
	index := sort.Search(len(batch.queue), func(i int) bool {
		return batch.queue[i].priority < request.priority
	})
	batch.queue = append(batch.queue, nil)
	copy(batch.queue[index+1:], batch.queue[index:])
	batch.queue[index] = request
}

// removeQueued removes a request from the queue. It returns false if the
// request is no longer queued because it has just been admitted.
func (batch *batch) removeQueued(request *queuedRequest) bool {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	for index, queued := range batch.queue {
		if queued == request {
			batch.queue = append(batch.queue[:index], batch.queue[index+1:]...)
			batch.recordLoad()
			return true
		}
	}
	return false
}

func (batch *batch) pin(blocks int) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.pinnedBlocks += blocks
	batch.recordLoad()
}

func (batch *batch) release(blocks int) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.pinnedBlocks -= blocks
	if len(batch.queue) == 0 {
		batch.running--
	} else {
		close(batch.queue[0].admitted)
		batch.queue = batch.queue[1:]
	}
	batch.recordLoad()
}

func (batch *batch) recordLoad() {
	batch.history = append(batch.history, loadSample{
		since:   time.Now(),
		running: batch.running,
		queued:  len(batch.queue),
		free:    max(0, batch.cacheBlocks-batch.pinnedBlocks),
	})
	batch.trim(time.Now())
}

// trim drops the samples that are older than any report returns.
func (batch *batch) trim(now time.Time) {
	current := 0
	for index, entry := range batch.history {
		if !entry.since.Add(batch.lag).After(now) {
			current = index
		}
	}
	batch.history = batch.history[current:]
}

// report returns the load of one lag ago, and the lag.
func (batch *batch) report(now time.Time) (loadSample, time.Duration) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.trim(now)
	return batch.history[0], batch.lag
}

func (batch *batch) setLag(lag time.Duration) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.lag = lag
}

// register stores the cancel function of an attempt, for the method cancel.
func (batch *batch) register(attempt string, cancel context.CancelFunc) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.attempts[attempt] = cancel
}

func (batch *batch) unregister(attempt string) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	delete(batch.attempts, attempt)
}

func (batch *batch) cancel(attempt string) {
	batch.mu.Lock()
	cancel := batch.attempts[attempt]
	batch.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
