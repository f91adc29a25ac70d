package route

import (
	"sync"
	"time"

	"lacewingspoke.org/lacewingspoke/group"
)

// maxFinished bounds the finished requests that a Tracker remembers for each
// target. More finishes than this between two reports only make a load
// estimate too high for one interval.
const maxFinished = 256

// A Tracker counts the requests that this node has in progress at each
// target. Load reports are late, so that without the counts every node would
// send to the same target until the next report. It is safe for concurrent
// use.
type Tracker struct {
	mutex   sync.Mutex
	targets map[string]*targetCounts
}

type targetCounts struct {
	// observed is the load that an answer of the target told at observedAt.
	observed   group.Load
	observedAt time.Time

	// started holds the start time of each request in progress by its number.
	started  map[uint64]time.Time
	finished []finishedRequest
	sequence uint64
}

type finishedRequest struct {
	started time.Time
	ended   time.Time
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker { return &Tracker{targets: map[string]*targetCounts{}} }

// Start counts a request at a target. The returned function ends it and is
// called once.
func (tracker *Tracker) Start(target string, now time.Time) func(ended time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := tracker.targets[target]
	if counts == nil {
		counts = &targetCounts{started: map[uint64]time.Time{}}
		tracker.targets[target] = counts
	}
	counts.sequence++
	number := counts.sequence
	counts.started[number] = now
	return func(ended time.Time) { tracker.finish(target, number, ended) }
}

// Observe takes in a load that an answer of the target told. It counts until a
// newer one, or a newer report, is known.
func (tracker *Tracker) Observe(target string, load group.Load, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := tracker.targets[target]
	if counts == nil {
		counts = &targetCounts{started: map[uint64]time.Time{}}
		tracker.targets[target] = counts
	}
	if now.After(counts.observedAt) {
		counts.observed = load
		counts.observedAt = now
	}
}

func (tracker *Tracker) finish(target string, number uint64, ended time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := tracker.targets[target]
	if counts == nil {
		return
	}
	started, found := counts.started[number]
	if !found {
		return
	}
	delete(counts.started, number)
	counts.finished = append(counts.finished, finishedRequest{started: started, ended: ended})
	if len(counts.finished) > maxFinished {
		counts.finished = counts.finished[len(counts.finished)-maxFinished:]
	}
}

// Load returns the load of a target: what was reported at reportedAt, with
// this node's requests that started since added and the ones that finished
// since taken off. It is at least the number of this node's requests in
// progress. A zero reportedAt means that the report's time is not known; then
// the larger of report and own requests counts.
func (tracker *Tracker) Load(target string, load group.Load, reportedAt time.Time) int {
	reported := load.Running + load.Queued
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := tracker.targets[target]
	if counts == nil {
		return reported
	}
	own := len(counts.started)
	if counts.observedAt.After(reportedAt) {
		reportedAt = counts.observedAt
		reported = counts.observed.Running + counts.observed.Queued
	}
	if reportedAt.IsZero() {
		return max(reported, own)
	}
	return max(reported+counts.since(reportedAt), own)
}

// since returns the change that this node made to the target's load after a
// report and forgets finishes that the report contains.
func (counts *targetCounts) since(reportedAt time.Time) int {
	change := 0
	for _, started := range counts.started {
		if started.After(reportedAt) {
			change++
		}
	}
	kept := counts.finished[:0]
	for _, request := range counts.finished {
		if !request.ended.After(reportedAt) {
			continue
		}
		kept = append(kept, request)
		if !request.started.After(reportedAt) {
			change--
		}
	}
	counts.finished = kept
	return change
}

// InFlight returns this node's requests in progress at a target.
func (tracker *Tracker) InFlight(target string) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := tracker.targets[target]
	if counts == nil {
		return 0
	}
	return len(counts.started)
}

// Retain forgets targets without requests in progress that keep does not
// contain, so that replaced groups do not stay in memory.
func (tracker *Tracker) Retain(keep map[string]bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for target, counts := range tracker.targets {
		if !keep[target] && len(counts.started) == 0 {
			delete(tracker.targets, target)
		}
	}
}
