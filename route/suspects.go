package route

import (
	"sync"
	"time"
)

const (
	// minAvoidance is the time for which a target is avoided after one failure.
	// It is about the time in which the control thread detects a failure by itself.
	minAvoidance = time.Second

	// maxAvoidance bounds the time, which doubles with each repeated failure.
	maxAvoidance = 16 * time.Second
)

// Suspects records the targets at which requests of this node failed. Grants do
// not cover these failures: plain services have none, and a group with a grant can
// be unreachable from one node only. Without this record, every request would try
// such a target, wait for a timeout and consume the retry budget. Suspects is safe
// for concurrent use.
//
// A suspect is used only if no other target is available. When its time has
// expired, one request probes it, and a success clears it.
type Suspects struct {
	mutex   sync.Mutex
	targets map[string]suspect
}

// A suspect is a target that is avoided until a time.
type suspect struct {
	until    time.Time
	duration time.Duration

	// probing is true while one request probes the target.
	probing bool
}

// NewSuspects returns a record without suspects.
func NewSuspects() *Suspects { return &Suspects{targets: map[string]suspect{}} }

// Failed records that a target could not be reached, did not respond, or refused a
// request as unavailable. It ignores failures while the target is already
// avoided and not probed, so that requests sent before do not prolong the time.
func (suspects *Suspects) Failed(target string, now time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	record, found := suspects.targets[target]
	if found && now.Before(record.until) && !record.probing {
		return
	}
	duration := minAvoidance
	if found {
		duration = min(2*record.duration, maxAvoidance)
	}
	suspects.targets[target] = suspect{until: now.Add(duration), duration: duration}
}

// Succeeded records a success, after which the target is no longer a suspect.
func (suspects *Suspects) Succeeded(target string) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	delete(suspects.targets, target)
}

// Avoided reports whether a target should receive no requests at now.
func (suspects *Suspects) Avoided(target string, now time.Time) bool {
	return suspects.avoided(target, now)
}

// avoided implements Avoided.
func (suspects *Suspects) avoided(target string, now time.Time) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return now.Before(suspects.targets[target].until)
}

// startProbe records that a request was sent to a target. If the target is a
// suspect whose time has expired, the request is its probe, and other requests
// avoid the target until the result is recorded or minAvoidance has passed.
func (suspects *Suspects) startProbe(target string, now time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	record, found := suspects.targets[target]
	if !found || now.Before(record.until) {
		return
	}
	record.until = now.Add(minAvoidance)
	record.probing = true
	suspects.targets[target] = record
}

// Retain drops the targets that keep does not contain.
func (suspects *Suspects) Retain(keep map[string]bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for target := range suspects.targets {
		if !keep[target] {
			delete(suspects.targets, target)
		}
	}
}
