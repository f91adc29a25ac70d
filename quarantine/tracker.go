package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// proofTime is the time after its first event from which an answer that goes on
	// shows that its parts are sound, before it is complete. Targets end soon after they
	// begin to write.
	proofTime = 5 * time.Second

	// presumption is how long after its last success a part counts as sound, however
	// many targets end under it. While most targets are down, parts that many requests
	// have succeed nowhere, and were at every target that ended.
	presumption = time.Minute

	// maxRetryEndings is the number of ends under a part from which its requests are
	// not retried.
	maxRetryEndings = 2

	// maxParts bounds the parts for which a Tracker remembers a success, and those for
	// which it remembers an end.
	maxParts = 4096

	// maxRequestParts bounds the parts of one request that are considered. Parts of more
	// than maxPartBytes are known by their digest.
	maxRequestParts = 64
	maxPartBytes    = 64

	// permitTime is how long a node may use the permission to send a probe.
	permitTime = 5 * time.Second
)

// A Tracker records the requests of one node in progress, by their target and parts. It
// is safe for concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	attempts map[*Attempt]bool
	targets  map[string]*targetRecord
	endings  []Ending

	// ends holds the ends that this node saw under a part since it was last sound.
	ends map[string][]targetEnd

	// sound holds the time of the first event of the last answer that proved a part
	// sound, and soundRequests the same for whole requests: most of these succeed once
	// only, and would displace the other parts.
	sound, soundRequests recentTimes

	quarantined map[string]bool

	// permits holds until when one request with a part may be sent as a probe.
	permits map[string]time.Time

	// wanted holds the parts of refused requests, and passed the parts whose probes
	// succeeded, both since they were last taken.
	wanted map[string]bool
	passed map[string]bool
}

// recentTimes holds the latest time of each part. Entries move from newer to older and are
// dropped there, so that those of the last maxParts to 2*maxParts parts are remembered.
type recentTimes struct{ newer, older map[string]time.Time }

func newRecentTimes() recentTimes { return recentTimes{newer: map[string]time.Time{}} }

func (times *recentTimes) record(part string, at time.Time) {
	if at.After(times.newer[part]) {
		times.newer[part] = at
	}
	if len(times.newer) > maxParts {
		times.older, times.newer = times.newer, map[string]time.Time{}
	}
}

func (times *recentTimes) at(part string) time.Time {
	if at, found := times.newer[part]; found {
		return at
	}
	return times.older[part]
}

// A targetRecord is what is known of a target at which requests broke off.
type targetRecord struct {
	ended bool
	at    time.Time

	// probing is true while the end of the target is not confirmed. parts are those of
	// the requests that broke off meanwhile.
	probing bool
	parts   map[string]bool
}

type targetEnd struct {
	target string
	at     time.Time

	// explained is set in a Ledger if a request in quarantine was at the target.
	explained bool
}

// An Attempt is a request at a target.
type Attempt struct {
	tracker *Tracker
	target  string
	parts   []string
	probe   string
	cancel  func()

	firstEventAt time.Time
	proved       bool
}

// An Admission is the decision whether a request may be sent to a target.
type Admission struct {
	refused string
	probe   string
}

// Refused returns the part for which the request must not be sent, empty if it may.
func (admission Admission) Refused() string { return admission.refused }

// Probe reports whether the request is the probe of a part in quarantine. It must not be
// retried.
func (admission Admission) Probe() bool { return admission.probe != "" }

// NewTracker returns a tracker without parts in quarantine.
func NewTracker() *Tracker {
	return &Tracker{
		attempts: map[*Attempt]bool{},
		targets:  map[string]*targetRecord{},
		ends:     map[string][]targetEnd{},
		sound:    newRecentTimes(),

		soundRequests: newRecentTimes(),
		quarantined:   map[string]bool{},
		permits:       map[string]time.Time{},
		wanted:        map[string]bool{},
		passed:        map[string]bool{},
	}
}

// Admit decides whether a request with these parts may be sent to a target now. An
// admitted request may be the probe of a part in quarantine; its admission is valid for
// one attempt.
func (tracker *Tracker) Admit(parts []string, now time.Time) Admission {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	admission := tracker.judge(parts, now)
	if admission.refused != "" {
		tracker.wanted[admission.refused] = true
	}
	delete(tracker.permits, admission.probe)
	return admission
}

// Judge returns what Admit would, without using up the permit of a probe.
func (tracker *Tracker) Judge(parts []string, now time.Time) Admission {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.judge(parts, now)
}

func (tracker *Tracker) judge(parts []string, now time.Time) Admission {
	admission := Admission{}
	if len(tracker.quarantined) == 0 {
		return admission
	}
	for _, part := range firstParts(parts) {
		if !tracker.quarantined[part] {
			continue
		}
		if admission.probe != "" || !now.Before(tracker.permits[part]) {
			return Admission{refused: part}
		}
		admission.probe = part
	}
	return admission
}

// MayRetry reports whether a request with these parts may be sent to another target
// after its last one ended: not if two targets have ended under one of the parts and it
// has not been sound for the time of presumption.
func (tracker *Tracker) MayRetry(parts []string, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, part := range firstParts(parts) {
		if len(tracker.ends[part]) >= maxRetryEndings && !Presumed(tracker.soundAt(part), now) {
			return false
		}
	}
	return true
}

// Begin records an attempt at one life of a target. The caller must call Close on the
// result. cancel is called, from another goroutine, if a part of the request is put in
// quarantine before the answer has proved it sound.
func (tracker *Tracker) Begin(target string, parts []string, admission Admission, cancel func()) *Attempt {
	attempt := &Attempt{tracker: tracker, target: target, parts: firstParts(parts), probe: admission.probe, cancel: cancel}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.attempts[attempt] = true
	return attempt
}

// firstParts returns the parts of a request that are considered, by their names or
// digests.
func firstParts(parts []string) []string {
	parts = parts[:min(len(parts), maxRequestParts)]
	long := func(part string) bool { return len(part) > maxPartBytes }
	if !slices.ContainsFunc(parts, long) {
		return parts
	}
	parts = slices.Clone(parts)
	for index, part := range parts {
		if long(part) {
			parts[index] = PartOf(part)
		}
	}
	return parts
}

// EventArrived records an event of the answer.
func (attempt *Attempt) EventArrived(now time.Time) {
	attempt.tracker.mutex.Lock()
	defer attempt.tracker.mutex.Unlock()
	if attempt.firstEventAt.IsZero() {
		attempt.firstEventAt = now
	}
	if now.Sub(attempt.firstEventAt) >= proofTime {
		attempt.prove()
	}
}

// Completed records that the whole answer has arrived.
func (attempt *Attempt) Completed(now time.Time) {
	attempt.tracker.mutex.Lock()
	defer attempt.tracker.mutex.Unlock()
	if attempt.firstEventAt.IsZero() {
		attempt.firstEventAt = now
	}
	attempt.prove()
}

// prove records that the parts are sound. Ends before the first event of the answer no
// longer count for them: a part that ended those targets would have ended this one.
func (attempt *Attempt) prove() {
	if attempt.proved {
		return
	}
	attempt.proved = true
	tracker := attempt.tracker
	for _, part := range attempt.parts {
		tracker.successes(part).record(part, attempt.firstEventAt)
		if ends := endsAfter(tracker.ends[part], attempt.firstEventAt); len(ends) > 0 {
			tracker.ends[part] = ends
		} else {
			delete(tracker.ends, part)
		}
	}
	if attempt.probe != "" {
		tracker.passed[attempt.probe] = true
	}
}

// endsAfter returns the ends that are later than a time.
func endsAfter(ends []targetEnd, at time.Time) []targetEnd {
	return slices.DeleteFunc(slices.Clone(ends), func(end targetEnd) bool { return !end.at.After(at) })
}

// Broken records that the target has closed the connection before the end of the
// answer. It returns true if it is not known whether the target has ended: the caller
// must then find out, and call TargetProbed.
func (attempt *Attempt) Broken(now time.Time) bool {
	tracker := attempt.tracker
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if attempt.proved || len(attempt.parts) == 0 {
		return false
	}
	record := tracker.targets[attempt.target]
	if record == nil {
		tracker.dropOldTargets(now)
		record = &targetRecord{}
		tracker.targets[attempt.target] = record
	}
	if record.ended {
		tracker.recordEnding(attempt.target, attempt.parts, record.at)
		return false
	}
	if record.parts == nil {
		record.at = now
		record.parts = map[string]bool{}
	}
	for _, part := range attempt.parts {
		record.parts[part] = true
	}
	mustProbe := !record.probing
	record.probing = true
	return mustProbe
}

// dropOldTargets drops the targets that ended long ago.
func (tracker *Tracker) dropOldTargets(now time.Time) {
	for name, record := range tracker.targets {
		if !record.probing && now.Sub(record.at) > EndingMemory {
			delete(tracker.targets, name)
		}
	}
}

// TargetProbed records whether a target at which requests broke off has ended.
func (tracker *Tracker) TargetProbed(target string, ended bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.targets[target]
	if record == nil || !record.probing {
		return
	}
	record.probing = false
	if !ended {
		delete(tracker.targets, target)
		return
	}
	record.ended = true
	parts := make([]string, 0, len(record.parts))
	for part := range record.parts {
		parts = append(parts, part)
	}
	record.parts = nil
	tracker.recordEnding(target, parts, record.at)
}

// recordEnding records that a target ended under parts that were not sound since.
func (tracker *Tracker) recordEnding(target string, parts []string, at time.Time) {
	var unproved []string
	for _, part := range parts {
		if tracker.soundAt(part).After(at) {
			continue
		}
		unproved = append(unproved, part)
		known := func(end targetEnd) bool { return end.target == target }
		if len(tracker.ends) >= maxParts {
			clear(tracker.ends)
		}
		if !slices.ContainsFunc(tracker.ends[part], known) {
			tracker.ends[part] = append(endsAfter(tracker.ends[part], at.Add(-EndingMemory)), targetEnd{target: target, at: at})
		}
	}
	tracker.addEnding(target, unproved, at)
}

// addEnding adds parts to the ending of a target that is to be reported.
func (tracker *Tracker) addEnding(target string, parts []string, at time.Time) {
	if len(parts) == 0 {
		return
	}
	index := slices.IndexFunc(tracker.endings, func(ending Ending) bool { return ending.Target == target })
	if index < 0 {
		tracker.endings = append(tracker.endings, Ending{Target: target, Parts: parts, At: at})
		return
	}
	for _, part := range parts {
		if !slices.Contains(tracker.endings[index].Parts, part) {
			tracker.endings[index].Parts = append(tracker.endings[index].Parts, part)
		}
	}
}

func (tracker *Tracker) soundAt(part string) time.Time { return tracker.successes(part).at(part) }

// successes returns the times at which parts of the kind were proved sound.
func (tracker *Tracker) successes(part string) *recentTimes {
	if isRequest(part) {
		return &tracker.soundRequests
	}
	return &tracker.sound
}

// Close records that the attempt is over.
func (attempt *Attempt) Close() {
	attempt.tracker.mutex.Lock()
	defer attempt.tracker.mutex.Unlock()
	delete(attempt.tracker.attempts, attempt)
}

// TakeEndings returns the ends of targets that were recorded since the last call.
func (tracker *Tracker) TakeEndings() []Ending {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	endings := tracker.endings
	tracker.endings = nil
	return endings
}

// SoundAt returns, for each of the parts that succeeded at this node, the time of the
// first event of the last answer that proved it sound.
func (tracker *Tracker) SoundAt(parts []string) map[string]time.Time {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	times := map[string]time.Time{}
	for _, part := range parts {
		if at := tracker.soundAt(part); !at.IsZero() {
			times[part] = at
		}
	}
	return times
}

// SetQuarantined replaces the parts in quarantine, and cancels the attempts in progress
// with a part that is added.
func (tracker *Tracker) SetQuarantined(parts []string) {
	tracker.mutex.Lock()
	quarantined := make(map[string]bool, len(parts))
	for _, part := range parts {
		quarantined[part] = true
	}
	var cancels []func()
	for attempt := range tracker.attempts {
		added := func(part string) bool { return quarantined[part] && !tracker.quarantined[part] }
		if !attempt.proved && slices.ContainsFunc(attempt.parts, added) {
			cancels = append(cancels, attempt.cancel)
		}
	}
	tracker.quarantined = quarantined
	tracker.mutex.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// TakeWanted returns the parts for which requests were refused since the last call.
func (tracker *Tracker) TakeWanted() []string { return tracker.take(&tracker.wanted) }

// TakePassed returns the parts whose probes succeeded since the last call.
func (tracker *Tracker) TakePassed() []string { return tracker.take(&tracker.passed) }

func (tracker *Tracker) take(set *map[string]bool) []string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var parts []string
	for part := range *set {
		parts = append(parts, part)
	}
	clear(*set)
	return parts
}

// Permit lets one request with a part in quarantine through, as its probe.
func (tracker *Tracker) Permit(part string, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.permits[part] = now.Add(permitTime)
}
