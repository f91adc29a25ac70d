package route

import (
	"sync"
	"time"
)

// maxRest bounds the rest that a target can ask for. A longer one is taken for a mistake.
const maxRest = time.Hour

// Closures records the targets that have asked this node for a rest: they want no requests
// from it until a time. Unlike a suspect, a resting target is never used, also if there is
// no other. The record holds for one incarnation of a target, see Instance. Closures is
// safe for concurrent use.
type Closures struct {
	mutex sync.Mutex
	rests map[string]time.Time
}

// NewClosures returns a record without closed targets.
func NewClosures() *Closures { return &Closures{rests: map[string]time.Time{}} }

// Rest records that an instance asked at now for a rest. A rest never ends earlier by a
// later answer: that may belong to a request which the target refused before.
func (closures *Closures) Rest(instance string, rest time.Duration, now time.Time) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	if until := now.Add(min(rest, maxRest)); until.After(closures.rests[instance]) {
		closures.rests[instance] = until
	}
}

// Closed reports whether an instance receives no requests at now, and for how long.
func (closures *Closures) Closed(instance string, now time.Time) (time.Duration, bool) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	remaining := closures.rests[instance].Sub(now)
	return remaining, remaining > 0
}

// Empty reports whether there are no records.
func (closures *Closures) Empty() bool {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	return len(closures.rests) == 0
}

// Retain drops the instances that keep does not contain, and the rests that have ended.
func (closures *Closures) Retain(keep map[string]bool, now time.Time) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	for instance, until := range closures.rests {
		if !keep[instance] || !now.Before(until) {
			delete(closures.rests, instance)
		}
	}
}
