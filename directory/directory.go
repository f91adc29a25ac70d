// Package directory keeps the targets that a platform announces, with what
// each says of itself.
//
// A target whose announcement ended is gone, unless the platform itself was
// away: announcements that lapse during an outage are back soon after it, so a
// target that disappears then is kept until the grace period after the outage
// is over. The package does no input or output and reads no clock.
//
// # Usage
//
//	known := directory.New(directory.Config{ReturnGrace: 2500 * time.Millisecond})
//	changed := known.Replace(now, targets)   // after a listing
//	changed = known.Apply(now, put, removed) // after a watch
//	known.Outage(now)                        // a call got no answer
//	changed = known.Expire(now)              // now and then
package directory

import (
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Target is one incarnation of a target.
type Target struct {
	// VM holds name, address, incarnation and state. Its FabricDomain is empty
	// for a runner of a plain service.
	VM      kvstore.VM
	Service string

	// Slots is the number of requests that it runs at once.
	Slots int

	// Report is what the engine says of its group; empty for a plain service.
	Report engine.Report

	// Beat counts the target's announcements.
	Beat uint64
}

// Same reports whether two announcements say the same, but for their beat.
func (target Target) Same(other Target) bool {
	return target.VM == other.VM && target.Service == other.Service &&
		target.Slots == other.Slots && target.Report.Same(other.Report)
}

// Config holds the bounds of a Directory.
type Config struct {
	// ReturnGrace is how long after an outage of the platform a target may be
	// missing before it counts as gone.
	ReturnGrace time.Duration
}

// A Directory is the known targets. It is not safe for concurrent use.
type Directory struct {
	config  Config
	targets map[string]Target

	// missing holds when the targets that disappeared around an outage count
	// as gone.
	missing map[string]time.Time

	// down says that the platform does not answer; returned is when it last
	// answered again.
	down     bool
	returned time.Time
}

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{config: config, targets: map[string]Target{}, missing: map[string]time.Time{}}
}

// Targets returns the known targets in the order of their names.
func (directory *Directory) Targets() []Target {
	targets := make([]Target, 0, len(directory.targets))
	for _, target := range directory.targets {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].VM.Name < targets[j].VM.Name })
	return targets
}

// Beat returns the count of a target's announcements.
func (directory *Directory) Beat(name string) (uint64, bool) {
	target, found := directory.targets[name]
	return target.Beat, found
}

// Outage says that the platform does not answer.
func (directory *Directory) Outage() { directory.down = true }

// Replace takes a complete listing and reports whether a target changed.
func (directory *Directory) Replace(now time.Time, targets []Target) bool {
	listed := map[string]bool{}
	directory.answered(now)
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

// Apply takes changes and reports whether a target changed.
func (directory *Directory) Apply(now time.Time, put []Target, removed []string) bool {
	directory.answered(now)
	changed := false
	for _, target := range put {
		changed = directory.put(target) || changed
	}
	for _, name := range removed {
		changed = directory.remove(now, name) || changed
	}
	return directory.Expire(now) || changed
}

// Expire drops the missing targets whose grace period is over and reports
// whether there were any.
func (directory *Directory) Expire(now time.Time) bool {
	changed := false
	for name, until := range directory.missing {
		if directory.down || now.Before(until) {
			continue
		}
		delete(directory.missing, name)
		delete(directory.targets, name)
		changed = true
	}
	return changed
}

func (directory *Directory) answered(now time.Time) {
	if directory.down {
		directory.down = false
		directory.returned = now
	}
}

func (directory *Directory) put(target Target) bool {
	delete(directory.missing, target.VM.Name)
	known, found := directory.targets[target.VM.Name]
	directory.targets[target.VM.Name] = target
	return !found || !known.Same(target)
}

func (directory *Directory) remove(now time.Time, name string) bool {
	known, found := directory.targets[name]
	if !found {
		return false
	}
	until := directory.returned.Add(directory.config.ReturnGrace)
	if directory.returned.IsZero() || !now.Before(until) || known.VM.State == kvstore.VMLeaving {
		delete(directory.missing, name)
		delete(directory.targets, name)
		return true
	}
	if _, waiting := directory.missing[name]; !waiting {
		directory.missing[name] = until
	}
	return false
}
