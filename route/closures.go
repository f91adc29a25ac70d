package route

import (
	"sync"
	"time"
)

const (
	// maxRest bounds the rest that a target can ask for. A longer one is taken for a
	// mistake.
	maxRest = time.Hour

	// leavingMemory is far above the time for which a target serves after it has reported
	// that it leaves.
	leavingMemory = time.Hour
)

// A LeavingTarget is an incarnation of a target that has reported that it leaves.
type LeavingTarget struct {
	Target      string
	Incarnation string
}

// Closures records the targets that have closed themselves to this node: those that have
// asked for a rest want no requests from it until a time, those that leave want none any
// more. Unlike a suspect, a closed target is never used, also if there is no other. A record
// holds for one incarnation of a target, see Instance. Closures is safe for concurrent use.
type Closures struct {
	mutex sync.Mutex
	rests map[string]time.Time

	// leaving holds when each leaving target first reported it.
	leaving map[string]time.Time
}

// NewClosures returns a record without closed targets.
func NewClosures() *Closures {
	return &Closures{rests: map[string]time.Time{}, leaving: map[string]time.Time{}}
}

// Leave records that an instance leaves. It reports whether that is new.
func (closures *Closures) Leave(instance string, now time.Time) bool {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	if _, known := closures.leaving[instance]; known {
		return false
	}
	closures.leaving[instance] = now
	return true
}

// Leaving reports whether an instance leaves.
func (closures *Closures) Leaving(instance string) bool {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	_, leaving := closures.leaving[instance]
	return leaving
}

// Rest records that an instance asked at now for a rest. A rest never ends earlier by a
// later answer: that may belong to a request which the target refused before.
func (closures *Closures) Rest(instance string, rest time.Duration, now time.Time) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	if until := now.Add(min(rest, maxRest)); until.After(closures.rests[instance]) {
		closures.rests[instance] = until
	}
}

// Closed reports whether an instance receives no requests at now, and for how long, which is
// at least leavingMemory for one that leaves.
func (closures *Closures) Closed(instance string, now time.Time) (time.Duration, bool) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	if _, leaving := closures.leaving[instance]; leaving {
		return leavingMemory, true
	}
	remaining := closures.rests[instance].Sub(now)
	return remaining, remaining > 0
}

// Empty reports whether there are no records.
func (closures *Closures) Empty() bool {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	return len(closures.rests) == 0 && len(closures.leaving) == 0
}

// Retain drops the rests that have ended and those of instances that keep does not contain.
// Targets that leave are kept for leavingMemory: they may be missing for a while from the
// targets that requests are sent to.
func (closures *Closures) Retain(keep map[string]bool, now time.Time) {
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	for instance, until := range closures.rests {
		if !keep[instance] || !now.Before(until) {
			delete(closures.rests, instance)
		}
	}
	for instance, since := range closures.leaving {
		if now.Sub(since) > leavingMemory {
			delete(closures.leaving, instance)
		}
	}
}
