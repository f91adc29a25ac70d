package route

import (
	"sync"
	"time"

	"lacewingspoke.org/lacewingspoke/group"
)

// maxFinished bounds the finished requests that a Tracker records for each
// target. If more requests finish between two reports, the load estimate is too
// high until the next report.
const maxFinished = 256

// A Tracker estimates the load of each target from its last report and from the
// requests that this node has in progress there. Reports arrive late: without the
// node's own counts, every node would send its requests to the target with the
// lowest report until the next one. A Tracker is safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	targets map[string]*targetLoad
}

// targetLoad holds the observed load of one target and the requests of this node
// there.
type targetLoad struct {
	// observed is the load in the response that was received from the target at
	// observedAt. It counts for maxAge.
	observed   group.Load
	observedAt time.Time
	maxAge     time.Duration

	// started holds the start times of the requests in progress by their sequence
	// numbers.
	started  map[uint64]time.Time
	finished []finishedRequest
	sequence uint64
}

type finishedRequest struct {
	started time.Time
	ended   time.Time
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker { return &Tracker{targets: map[string]*targetLoad{}} }

// Start records the start of a request at a target. The returned function records
// its end; calls after the first have no effect.
func (tracker *Tracker) Start(target string, now time.Time) func(ended time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil {
		record = &targetLoad{started: map[uint64]time.Time{}}
		tracker.targets[target] = record
	}
	record.sequence++
	number := record.sequence
	record.started[number] = now
	return func(ended time.Time) { tracker.finish(target, number, ended) }
}

// Observe records a load that was observed in a response of the target at now. It
// is used until a newer load is observed, a newer report arrives or maxAge is over.
// For half of maxAge it counts in full, then less and less: requests of other nodes
// have ended meanwhile, and a node that waits for a lower load before it sends a
// request would never observe one. A load older than the recorded one is ignored.
func (tracker *Tracker) Observe(target string, load group.Load, maxAge time.Duration, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil {
		record = &targetLoad{started: map[uint64]time.Time{}}
		tracker.targets[target] = record
	}
	if now.After(record.observedAt) {
		record.observed = load
		record.observedAt = now
		record.maxAge = maxAge
	}
}

// observedLoad returns the part of the observed load that counts at now.
func (record *targetLoad) observedLoad(now time.Time) int {
	load := record.observed.Running + record.observed.Queued
	left := record.maxAge - now.Sub(record.observedAt)
	switch {
	case left <= 0:
		return 0
	case 2*left >= record.maxAge:
		return load
	}
	return int(2 * int64(left) * int64(load) / int64(record.maxAge))
}

func (tracker *Tracker) finish(target string, number uint64, ended time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil {
		return
	}
	started, found := record.started[number]
	if !found {
		return
	}
	delete(record.started, number)
	record.finished = append(record.finished, finishedRequest{started: started, ended: ended})
	if len(record.finished) > maxFinished {
		record.finished = record.finished[len(record.finished)-maxFinished:]
	}
}

// Load returns the estimated load of a target at now: the load reported at reportedAt,
// or a load observed later, plus this node's requests that started after that
// time, minus those that started before it and have finished since. The estimate
// is at least the number of this node's requests in progress. A zero reportedAt
// means that the time of the report is unknown; unless a load was observed, Load
// then returns the larger of the reported load and that number.
func (tracker *Tracker) Load(target string, load group.Load, reportedAt, now time.Time) int {
	reported := load.Running + load.Queued
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil {
		return reported
	}
	own := len(record.started)
	if record.observedAt.After(reportedAt) {
		reportedAt = record.observedAt
		reported = record.observedLoad(now)
	}
	if reportedAt.IsZero() {
		return max(reported, own)
	}
	return max(reported+record.changeSince(reportedAt), own)
}

// LoadAge returns the age of the report that Load begins with, false if there is none.
func (tracker *Tracker) LoadAge(target string, reportedAt, now time.Time) (time.Duration, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if record := tracker.targets[target]; record != nil && record.observedAt.After(reportedAt) {
		reportedAt = record.observedAt
	}
	return now.Sub(reportedAt), !reportedAt.IsZero()
}

// changeSince returns the change of the target's load by this node's requests
// since a report, and drops the finished requests that the report already
// reflects.
func (record *targetLoad) changeSince(reportedAt time.Time) int {
	change := 0
	for _, started := range record.started {
		if started.After(reportedAt) {
			change++
		}
	}
	kept := record.finished[:0]
	for _, request := range record.finished {
		if !request.ended.After(reportedAt) {
			continue
		}
		kept = append(kept, request)
		if !request.started.After(reportedAt) {
			change--
		}
	}
	record.finished = kept
	return change
}

// InFlight returns the number of this node's requests in progress at a target.
func (tracker *Tracker) InFlight(target string) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil {
		return 0
	}
	return len(record.started)
}

// Retain drops the targets that keep does not contain and that have no requests in
// progress, so that the records of replaced groups do not accumulate.
func (tracker *Tracker) Retain(keep map[string]bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for target, record := range tracker.targets {
		if !keep[target] && len(record.started) == 0 {
			delete(tracker.targets, target)
		}
	}
}
