package engine

import (
	"context"
	"sort"
	"sync"
	"time"
)

// batch admits a limited number of requests at once, queues the others by
// priority and then arrival, and keeps a history of the load for late reports.
type batch struct {
	mu       sync.Mutex
	size     int
	capacity int
	running  int
	pinned   int
	queue    []*waiter
	attempts map[string]context.CancelFunc
	lag      time.Duration
	history  []load
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// load is the load figures since a moment.
type load struct {
	since   time.Time
	running int
	queued  int
	free    int
}

func newBatch(size, capacity int, lag time.Duration) *batch {
	return &batch{
		size:     size,
		capacity: capacity,
		attempts: map[string]context.CancelFunc{},
		lag:      lag,
		history:  []load{{free: capacity}},
	}
}

// enter waits for a place in the batch for a prompt of the given number of
// blocks. It returns false when ctx ended first.
func (batch *batch) enter(ctx context.Context, priority, blocks int) bool {
	place := &waiter{priority: priority, admitted: make(chan struct{})}
	batch.mu.Lock()
	if batch.running < batch.size {
		batch.running++
		close(place.admitted)
	} else {
		batch.push(place)
	}
	batch.note()
	batch.mu.Unlock()
	select {
	case <-place.admitted:
	case <-ctx.Done():
		if batch.withdraw(place) {
			return false
		}
	}
	batch.pin(blocks)
	return true
}

func (batch *batch) push(place *waiter) {
	index := sort.Search(len(batch.queue), func(i int) bool {
		return batch.queue[i].priority < place.priority
	})
	batch.queue = append(batch.queue, nil)
	copy(batch.queue[index+1:], batch.queue[index:])
	batch.queue[index] = place
}

// withdraw removes a waiter; it returns false when it was just admitted.
func (batch *batch) withdraw(place *waiter) bool {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	for index, queued := range batch.queue {
		if queued == place {
			batch.queue = append(batch.queue[:index], batch.queue[index+1:]...)
			batch.note()
			return true
		}
	}
	return false
}

func (batch *batch) pin(blocks int) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.pinned += blocks
	batch.note()
}

func (batch *batch) leave(blocks int) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.pinned -= blocks
	if len(batch.queue) == 0 {
		batch.running--
	} else {
		close(batch.queue[0].admitted)
		batch.queue = batch.queue[1:]
	}
	batch.note()
}

func (batch *batch) note() {
	batch.history = append(batch.history, load{
		since:   time.Now(),
		running: batch.running,
		queued:  len(batch.queue),
		free:    max(0, batch.capacity-batch.pinned),
	})
	batch.trim(time.Now())
}

// trim drops the history that no report can show any more.
func (batch *batch) trim(now time.Time) {
	current := 0
	for index, entry := range batch.history {
		if !entry.since.Add(batch.lag).After(now) {
			current = index
		}
	}
	batch.history = batch.history[current:]
}

// report returns the load as it was one lag ago.
func (batch *batch) report(now time.Time) (load, time.Duration) {
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

// register makes an attempt known to cancel.
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
