package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
)

// outageMinimum is the shortest interruption of the feed that counts as an outage of the
// store. Shorter ones leave no backoff above a second, and a target that fails in one of them
// is found when its announcement expires.
const outageMinimum = time.Second

// An outage is the last time in which a node that follows a feed had no response of the store.
type outage struct {
	// began is when the outage in progress began, zero while there is none. ended is when the
	// last one of at least outageMinimum ended.
	began time.Time
	ended time.Time
}

func (outage *outage) begin(now time.Time) {
	if outage.began.IsZero() {
		outage.began = now
	}
}

// end ends the outage in progress. It returns its length, and whether it was at least
// outageMinimum long.
func (outage *outage) end(now time.Time) (time.Duration, bool) {
	length := now.Sub(outage.began)
	outage.began = time.Time{}
	if length < outageMinimum {
		return length, false
	}
	outage.ended = now
	return length, true
}

func (outage *outage) inProgress() bool { return !outage.began.IsZero() }

// endedWithin reports whether an outage ended at most the given time ago.
func (outage *outage) endedWithin(now time.Time, bound time.Duration) bool {
	return !outage.ended.IsZero() && now.Sub(outage.ended) <= bound
}

// endOutage makes the calls to the store due that wait in a backoff, once the feed has shown
// that the store answers again.
func (state *state) endOutage(now time.Time) {
	if !state.feed.outage.inProgress() {
		return
	}
	length, long := state.feed.outage.end(now)
	for _, leadership := range state.leaderships {
		if leadership.leader.Leading() {
			state.askPlaced(now, leadership)
		}
	}
	if !long {
		return
	}
	state.metrics.storeReturns.Inc()
	state.logger.Info("the store answers again", zap.Duration("outage", length), zap.Int("led-domains", len(state.leaderships)))
	state.storeReturned.notify()
	state.handleFleet(now, fleet.StoreReturned{})
}

// A notification wakes the goroutines that wait for it.
type notification struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newNotification() *notification { return &notification{channel: make(chan struct{})} }

// next returns a channel that the next call of notify closes.
func (notification *notification) next() <-chan struct{} {
	notification.mutex.Lock()
	defer notification.mutex.Unlock()
	return notification.channel
}

func (notification *notification) notify() {
	notification.mutex.Lock()
	defer notification.mutex.Unlock()
	close(notification.channel)
	notification.channel = make(chan struct{})
}
