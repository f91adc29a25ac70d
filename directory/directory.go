// Package directory holds the targets that a platform announces, each with its
// last report.
//
// A target is removed when its announcement expires, except around an outage
// of the platform: announcements that expire during an outage are renewed soon
// after it. A target that is missing after an outage is therefore kept until a
// grace period has passed. The package performs no I/O and reads no clock; the
// caller passes the time.
//
// # Usage
//
//	targets := directory.New(directory.Config{ReturnGrace: 2500 * time.Millisecond})
//	changed := targets.Replace(now, listed)    // after a listing
//	changed = targets.Apply(now, put, removed) // after a watch call
//	targets.BeginOutage()                      // after a failed call
//	changed = targets.Expire(now)              // at regular intervals
package directory

import (
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Target is one incarnation of a target, as last announced.
type Target struct {
	// VM holds the name, address, incarnation and state of the target. Its
	// FabricDomain is empty for a runner of a plain service.
	VM      kvstore.VM
	Service string

	// Slots is the number of requests that the target runs at once.
	Slots int

	// Report is the engine's report of its group. It is empty for a runner of a
	// plain service.
	Report engine.Report

	// Heartbeat is the number of announcements of the target, which it increments
	// with each one.
	Heartbeat uint64
}

// Same reports whether two announcements of a target are equal apart from
// Heartbeat.
func (target Target) Same(other Target) bool {
	return target.VM == other.VM && target.Service == other.Service &&
		target.Slots == other.Slots && target.Report.Same(other.Report)
}

// Config holds the bounds of a Directory.
type Config struct {
	// ReturnGrace is the time after the end of an outage of the platform for
	// which missing targets are kept.
	ReturnGrace time.Duration
}

// A Directory is the set of announced targets. It is not safe for concurrent
// use.
type Directory struct {
	config  Config
	targets map[string]Target

	// missing holds, for each target that is missing after an outage, the time
	// at which it is removed.
	missing map[string]time.Time

	// outage is true while the platform is unreachable, and outageEnded is when
	// the last outage ended.
	outage      bool
	outageEnded time.Time
}

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{config: config, targets: map[string]Target{}, missing: map[string]time.Time{}}
}

// Targets returns the targets, including missing ones, sorted by name.
func (directory *Directory) Targets() []Target {
	targets := make([]Target, 0, len(directory.targets))
	for _, target := range directory.targets {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].VM.Name < targets[j].VM.Name })
	return targets
}

// Heartbeat returns the Heartbeat of a target and whether the target is in the
// directory.
func (directory *Directory) Heartbeat(name string) (uint64, bool) {
	target, found := directory.targets[name]
	return target.Heartbeat, found
}

// BeginOutage records that the platform is unreachable. The outage ends with
// the next call of Replace or Apply.
func (directory *Directory) BeginOutage() { directory.outage = true }

// Replace updates the directory from a complete listing and reports whether a
// target was added, changed or removed.
func (directory *Directory) Replace(now time.Time, targets []Target) bool {
	listed := map[string]bool{}
	directory.endOutage(now)
	changed := false
	for _, target := range targets {
		listed[target.VM.Name] = true
		changed = directory.put(target) || changed
	}
	for name := range directory.targets {
		if !listed[name] {
			changed = directory.remove(now, name) || changed
		}
	}
	return directory.Expire(now) || changed
}

// Apply updates the directory with changes and reports whether a target was
// added, changed or removed.
func (directory *Directory) Apply(now time.Time, put []Target, removed []string) bool {
	directory.endOutage(now)
	changed := false
	for _, target := range put {
		changed = directory.put(target) || changed
	}
	for _, name := range removed {
		changed = directory.remove(now, name) || changed
	}
	return directory.Expire(now) || changed
}

// Expire removes the missing targets whose grace period has passed and reports
// whether there were any. It removes none during an outage.
func (directory *Directory) Expire(now time.Time) bool {
	changed := false
	for name, deadline := range directory.missing {
		if directory.outage || now.Before(deadline) {
			continue
		}
		delete(directory.missing, name)
		delete(directory.targets, name)
		changed = true
	}
	return changed
}

func (directory *Directory) endOutage(now time.Time) {
	if directory.outage {
		directory.outage = false
		directory.outageEnded = now
	}
}

func (directory *Directory) put(target Target) bool {
	delete(directory.missing, target.VM.Name)
	previous, found := directory.targets[target.VM.Name]
	directory.targets[target.VM.Name] = target
	return !found || !previous.Same(target)
}

// remove removes a target whose announcement has ended and reports whether it
// did. During the grace period after an outage it marks the target as missing
// instead, unless the target was draining and is not expected to return.
func (directory *Directory) remove(now time.Time, name string) bool {
	target, found := directory.targets[name]
	if !found {
		return false
	}
	deadline := directory.outageEnded.Add(directory.config.ReturnGrace)
	if directory.outageEnded.IsZero() || !now.Before(deadline) || target.VM.State == kvstore.VMLeaving {
		delete(directory.missing, name)
		delete(directory.targets, name)
		return true
	}
	if _, missing := directory.missing[name]; !missing {
		directory.missing[name] = deadline
	}
	return false
}
