// Package directory holds the targets that a platform announces, each with its
// last report.
//
// A target whose announcement expires has left, has failed or cannot reach the
// platform. The directory keeps a target in a fabric domain for a grace period,
// and longer while its leader finds that it responds: the other members of its
// group would otherwise stand idle or leave, although the target still serves.
// New requests to it end with the grace period in either case. The period begins with
// the last reading that contained the target: it may have left right after that, however
// late the node reads so. A target that was draining, or that belongs to a plain service,
// is removed at once.
//
// Announcements that expire during an outage of the platform are renewed soon
// after it, so targets that are missing after an outage are kept as well. Not every
// interruption is an outage: the node may have lost only its own way to a platform that
// went on serving the targets, whose missing ones have left. An interruption counts as an
// outage if it was long enough for an announcement to be missed, and most of the targets
// that are still listed announced nothing meanwhile, or some had to begin anew. The
// package performs no I/O and reads no clock; the caller passes the time.
//
// A platform that returns from an older copy announces targets that have left since,
// and earlier states of others. The directory goes by the count of announcements of each
// incarnation, and uses a target that has left only after a later announcement.
//
// # Usage
//
//	targets := directory.New(directory.Config{ReturnGrace: 2500 * time.Millisecond})
//	reading := directory.Reading{At: now, Confirmed: sent, Revision: revision}
//	changed := targets.Replace(reading, listed)    // after a listing
//	changed = targets.Apply(reading, put, removed) // after a watch call
//	targets.BeginInterruption()                    // after a failed call
//	targets.BeginEra()                             // before a listing of an older copy
//	changed = targets.Expire(now)                  // at regular intervals
//	for _, target := range targets.Lapsed() {
//		// ask the target, then call Hold or Drop
//	}
//	targets.Adopt(now, placed) // a target that lapsed before this node started, then Hold
package directory

import (
	"maps"
	"slices"
	"strings"
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

	// Cold is how long the target stays cold after the announcement, at most: the time that
	// the announcement took to arrive is not known. It is 0 for a target that is not cold.
	Cold time.Duration

	// Report is the engine's report of its group. It is empty for a runner of a
	// plain service.
	Report engine.Report

	// Heartbeat is the number of announcements of the target, which it increments
	// with each one.
	Heartbeat uint64

	// Revision is the platform's revision of the announcement, and Created that at which the
	// platform began to hold announcements of the target without interruption, 0 if it is
	// not known.
	Revision uint64
	Created  uint64
}

// Same reports whether two announcements of a target are equal apart from
// Heartbeat and the revisions.
func (target Target) Same(other Target) bool {
	return target.VM == other.VM && target.Service == other.Service &&
		target.Slots == other.Slots && target.Report.Same(other.Report)
}

// A Reading says when targets were read, and from which state of the platform.
type Reading struct {
	// At is when the reading arrived.
	At time.Time

	// Confirmed is the earliest time at which the reading may have been the newest state:
	// when the call was sent, or before that by the age of a state that another node had
	// read.
	Confirmed time.Time

	// Revision is the platform's revision of the state. It rises with each change.
	Revision uint64
}

// A Return describes the first reading after an interruption.
type Return struct {
	// Unconfirmed is the time between the last reading before the interruption and this one.
	Unconfirmed time.Duration

	// Listed is the number of targets that were read before and after the interruption.
	// Announced of them were announced in between, and the announcements of Renewed of them
	// had expired in between. Missing is the number of targets that were read before only.
	Listed, Announced, Renewed, Missing int

	// Outage is true if announcements may have expired because the platform was away.
	Outage bool
}

// servedShare is the least share of the targets that announce themselves within an interval of
// announcements while the platform serves them. The rest may have failed.
const servedShare = 0.75

// served reports whether most of the listed targets have announced themselves in an
// interruption, and none had to begin anew: the platform served them all the while. The
// readings are at least the given part of an interval of announcements apart, 1 at most.
func (returned Return) served(intervals float64) bool {
	expected := servedShare * intervals * float64(returned.Listed)
	return returned.Renewed == 0 && returned.Listed > 0 && float64(returned.Announced) >= expected
}

// An Unannounced is a target whose announcement has ended.
type Unannounced struct {
	Name        string
	Incarnation string

	// Age is the time between the last reading that contained the target and the first one
	// that did not.
	Age time.Duration

	// Kept is the time for which the target still receives requests.
	Kept time.Duration
}

// Config holds the bounds of a Directory.
type Config struct {
	// ReturnGrace is the time after the end of an outage of the platform for
	// which missing targets are kept.
	ReturnGrace time.Duration

	// Announcement is the time between two announcements of a target. In a shorter
	// interruption no announcement expires. 0 means that any interruption may be an outage.
	Announcement time.Duration

	// LapseGrace is the time for which a target in a fabric domain is kept after the
	// last reading that contained it. Requests to it must end within the time for which
	// a leaving target still serves. 0 means that it is removed at once.
	LapseGrace time.Duration
}

// lapseMemory is how long a target whose announcement expired is remembered. A
// node that becomes the leader of its fabric domain can still ask it.
const lapseMemory = 30 * time.Second

// departureMemory is how long an incarnation that has left is remembered. The copy from
// which a platform returns is some seconds old.
const departureMemory = 2 * time.Minute

// missedAnnouncements is the number of announcements that a target misses until the last one
// expires.
const missedAnnouncements = 3

// An interruption is a time without a reading of the platform.
type interruption struct{ from, to time.Time }

// A targetLife is one incarnation of a target.
type targetLife struct{ name, incarnation string }

func (target Target) life() targetLife {
	return targetLife{name: target.VM.Name, incarnation: target.VM.Incarnation}
}

// A LapsedTarget is a target whose announcement expired.
type LapsedTarget struct {
	Target
	Since time.Time

	// Held is true after the target was first kept because it responds.
	Held bool

	// deadline is the end of the target's grace period, which may lie before Since, and
	// graceEnded is true after it. No grace period ends during an interruption.
	deadline   time.Time
	graceEnded bool

	// adopted is true if this directory has not seen the target announced since it adopted it.
	adopted bool
}

// GraceEnded reports whether the grace period of the target has ended.
func (lapsed LapsedTarget) GraceEnded() bool { return lapsed.graceEnded }

// A Directory is the set of announced targets. It is not safe for concurrent
// use.
type Directory struct {
	config  Config
	targets map[string]Target

	// composition counts the changes other than those of reports.
	composition uint64

	// sorted holds the names of the targets in order, nil if they have changed.
	sorted []string

	// missing holds, for each target without an announcement that is kept, the
	// time at which it is removed.
	missing map[string]time.Time

	// lapsed holds the targets whose announcement expired, for lapseMemory.
	lapsed map[string]LapsedTarget

	// interrupted is true while no reading succeeds, and outageEnded is when the last
	// interruption that was an outage ended. interruptions are those within the time in which
	// an announcement expires that may have been outages.
	interrupted   bool
	outageEnded   time.Time
	interruptions []interruption

	// confirmed and revision are those of the latest reading, and arrived is when it did.
	confirmed time.Time
	arrived   time.Time
	revision  uint64

	// returned describes the last reading, nil if it ended no interruption.
	returned *Return

	// unannounced holds the targets whose announcements had ended by the last reading.
	unannounced []Unannounced

	// departed holds when each incarnation left that has left within departureMemory.
	departed map[targetLife]time.Time

	// copied holds the heartbeats of departed incarnations in the last listing of an
	// older copy. inCopy is true until that listing.
	copied map[targetLife]uint64
	inCopy bool
}

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{
		config:   config,
		targets:  map[string]Target{},
		missing:  map[string]time.Time{},
		lapsed:   map[string]LapsedTarget{},
		departed: map[targetLife]time.Time{},
		copied:   map[targetLife]uint64{},
	}
}

// Targets returns the targets, including missing ones, sorted by name.
func (directory *Directory) Targets() []Target {
	if len(directory.sorted) != len(directory.targets) {
		directory.sorted = slices.Sorted(maps.Keys(directory.targets))
	}
	targets := make([]Target, 0, len(directory.sorted))
	for _, name := range directory.sorted {
		targets = append(targets, directory.targets[name])
	}
	return targets
}

// Composition returns a number that stays the same while nothing but the reports of
// targets changes.
func (directory *Directory) Composition() uint64 { return directory.composition }

// Target returns a target, which may be missing, and whether it is in the
// directory.
func (directory *Directory) Target(name string) (Target, bool) {
	target, found := directory.targets[name]
	return target, found
}

// Heartbeat returns the Heartbeat of a target and whether the target is in the
// directory.
func (directory *Directory) Heartbeat(name string) (uint64, bool) {
	target, found := directory.targets[name]
	return target.Heartbeat, found
}

// Lapsed returns the targets whose announcement expired within lapseMemory, also
// those that were removed since.
func (directory *Directory) Lapsed() []LapsedTarget {
	lapsed := make([]LapsedTarget, 0, len(directory.lapsed))
	for _, target := range directory.lapsed {
		lapsed = append(lapsed, target)
	}
	slices.SortFunc(lapsed, func(left, right LapsedTarget) int { return strings.Compare(left.VM.Name, right.VM.Name) })
	return lapsed
}

// Missing reports whether a target is kept without an announcement.
func (directory *Directory) Missing(name string) bool {
	_, missing := directory.missing[name]
	return missing
}

// Adopt adds a target that other nodes have seen announced, but this directory does not
// contain, as a lapsed one whose grace period has ended, or ends ReturnGrace after the last
// outage: its announcement may have expired in the outage and is then renewed. It reports
// whether this incarnation can be held. It changes no target that the directory contains.
func (directory *Directory) Adopt(now time.Time, target Target) bool {
	name := target.VM.Name
	if lapsed, found := directory.lapsed[name]; found {
		return lapsed.life() == target.life()
	}
	if _, found := directory.targets[name]; found {
		return false
	}
	deadline := directory.returnDeadline(now)
	directory.lapsed[name] = LapsedTarget{Target: target, Since: now, deadline: deadline, graceEnded: !now.Before(deadline), adopted: true}
	return true
}

// Hold keeps a lapsed target until the given time with a report that it gave when
// it was asked. It reports whether the targets changed.
func (directory *Directory) Hold(name string, report engine.Report, until time.Time) bool {
	lapsed, found := directory.lapsed[name]
	if !found {
		return false
	}
	first := !lapsed.Held
	lapsed.Held = true
	lapsed.Report = report
	directory.lapsed[name] = lapsed
	directory.missing[name] = until
	if first {
		directory.composition++
	}
	return directory.setTarget(lapsed.Target) || first
}

// Held reports whether a target is kept because it responds.
func (directory *Directory) Held(name string) bool {
	return directory.Missing(name) && directory.lapsed[name].Held
}

// GraceEnded reports whether a target is kept only because it responds: it receives
// no new requests, but may still run earlier ones.
func (directory *Directory) GraceEnded(name string) bool {
	return directory.Held(name) && directory.lapsed[name].graceEnded
}

// Drop removes a lapsed target that does not respond. It reports whether the
// targets changed.
func (directory *Directory) Drop(now time.Time, name string) bool {
	if _, found := directory.lapsed[name]; !found {
		return false
	}
	_, kept := directory.targets[name]
	delete(directory.lapsed, name)
	delete(directory.missing, name)
	directory.deleteTarget(now, name)
	return kept
}

// BeginInterruption records that a reading failed. The interruption ends with the next call
// of Replace or Apply.
func (directory *Directory) BeginInterruption() { directory.interrupted = true }

// BeginEra records that the next listing is that of an older copy of the platform. Targets
// that are missing from it are kept as after an outage.
func (directory *Directory) BeginEra() {
	directory.interrupted = true
	directory.inCopy = true
	clear(directory.copied)
}

// Replace updates the directory from a complete listing and reports whether a
// target was added, changed or removed.
func (directory *Directory) Replace(reading Reading, targets []Target) bool {
	now := reading.At
	listed := map[string]bool{}
	directory.beginReading()
	if directory.interrupted {
		directory.endInterruption(reading, directory.describeReturn(targets))
	}
	changed := false
	for _, target := range targets {
		listed[target.VM.Name] = true
		changed = directory.put(now, target) || changed
	}
	directory.inCopy = false
	for name := range directory.targets {
		if !listed[name] {
			changed = directory.remove(now, name) || changed
		}
	}
	directory.confirm(reading)
	return directory.Expire(now) || changed
}

// Apply updates the directory with changes and reports whether a target was
// added, changed or removed.
func (directory *Directory) Apply(reading Reading, put []Target, removed []string) bool {
	now := reading.At
	directory.beginReading()
	if directory.interrupted {
		directory.endInterruption(reading, Return{})
	}
	changed := false
	for _, target := range put {
		changed = directory.put(now, target) || changed
	}
	for _, name := range removed {
		changed = directory.remove(now, name) || changed
	}
	directory.confirm(reading)
	return directory.Expire(now) || changed
}

// Returned describes the last reading if it ended an interruption, and returns nil if not.
func (directory *Directory) Returned() *Return { return directory.returned }

// Unannounced returns the targets whose announcements had ended by the last reading.
func (directory *Directory) Unannounced() []Unannounced { return directory.unannounced }

func (directory *Directory) beginReading() {
	directory.returned = nil
	directory.unannounced = nil
}

func (directory *Directory) confirm(reading Reading) {
	if reading.Confirmed.After(directory.confirmed) {
		directory.confirmed = reading.Confirmed
	}
	directory.revision = reading.Revision
	directory.arrived = reading.At
}

// describeReturn compares the targets of a listing with those that the directory contains.
func (directory *Directory) describeReturn(targets []Target) Return {
	returned := Return{Missing: len(directory.targets)}
	for _, target := range targets {
		known, found := directory.targets[target.VM.Name]
		if !found {
			continue
		}
		returned.Missing--
		if known.life() != target.life() {
			continue
		}
		returned.Listed++
		if target.Revision > directory.revision {
			returned.Announced++
		}
		if target.Created > directory.revision {
			returned.Renewed++
		}
	}
	return returned
}

// endInterruption ends the interruption in progress. It was an outage if the announcements that
// are missing may have expired in it.
func (directory *Directory) endInterruption(reading Reading, returned Return) {
	directory.interrupted = false
	returned.Outage = true
	if !directory.confirmed.IsZero() {
		returned.Unconfirmed = reading.Confirmed.Sub(directory.confirmed)
		served := returned.served(directory.intervalsTo(reading))
		tooShort := directory.interruptedFor(reading, served) < directory.config.Announcement
		returned.Outage = directory.inCopy || !tooShort && !served
	}
	if returned.Outage {
		directory.outageEnded = reading.At
	}
	directory.returned = &returned
}

// intervalsTo returns a lower bound of the time between the states of the last reading and of
// another one, in intervals of announcements and 1 at most. The last reading may contain what was
// announced until it arrived.
func (directory *Directory) intervalsTo(reading Reading) float64 {
	apart := reading.Confirmed.Sub(directory.arrived)
	if directory.config.Announcement == 0 || apart >= directory.config.Announcement {
		return 1
	}
	return max(0, apart.Seconds()/directory.config.Announcement.Seconds())
}

// interruptedFor returns how long interruptions, with the one that a reading ends, were in the
// time in which an announcement expires: targets may miss one announcement in each of several
// short ones. Those in which the platform served the targets do not count.
func (directory *Directory) interruptedFor(reading Reading, served bool) time.Duration {
	if !served {
		directory.interruptions = append(directory.interruptions, interruption{from: directory.confirmed, to: reading.Confirmed})
	}
	since := reading.Confirmed.Add(-missedAnnouncements * directory.config.Announcement)
	total := time.Duration(0)
	directory.interruptions = slices.DeleteFunc(directory.interruptions, func(past interruption) bool { return past.to.Before(since) })
	for _, past := range directory.interruptions {
		from := past.from
		if from.Before(since) {
			from = since
		}
		total += past.to.Sub(from)
	}
	return total
}

// Expire ends the grace periods that have passed, removes the missing targets that
// are not held longer, and reports whether there were any. It ends none during an
// interruption.
func (directory *Directory) Expire(now time.Time) bool {
	changed := directory.endGracePeriods(now)
	for name, deadline := range directory.missing {
		if directory.interrupted || now.Before(deadline) {
			continue
		}
		delete(directory.missing, name)
		directory.deleteTarget(now, name)
		changed = true
	}
	for life, since := range directory.departed {
		if now.Sub(since) >= departureMemory {
			delete(directory.departed, life)
			delete(directory.copied, life)
		}
	}
	for name, lapsed := range directory.lapsed {
		if _, kept := directory.targets[name]; !kept && now.Sub(lapsed.Since) >= lapseMemory {
			delete(directory.lapsed, name)
		}
	}
	return changed
}

// endGracePeriods ends the grace periods of the lapsed targets and reports whether
// one of a held target ended.
func (directory *Directory) endGracePeriods(now time.Time) bool {
	changed := false
	for name, lapsed := range directory.lapsed {
		if directory.interrupted || lapsed.graceEnded || now.Before(lapsed.deadline) {
			continue
		}
		lapsed.graceEnded = true
		directory.lapsed[name] = lapsed
		if directory.Held(name) {
			directory.composition++
			changed = true
		}
	}
	return changed
}

func (directory *Directory) put(now time.Time, target Target) bool {
	if directory.superseded(target) {
		return false
	}
	if current, found := directory.targets[target.VM.Name]; found && current.life() != target.life() {
		directory.departed[current.life()] = now
	}
	delete(directory.departed, target.life())
	delete(directory.copied, target.life())
	returned := directory.Held(target.VM.Name)
	if returned {
		directory.composition++
	}
	delete(directory.missing, target.VM.Name)
	delete(directory.lapsed, target.VM.Name)
	return directory.setTarget(target) || returned
}

// superseded reports whether the directory has later information than an announcement:
// a later announcement of the same incarnation or a later incarnation, or that the target
// has left and was only found in an older copy. The heartbeat of an adopted target is not known.
func (directory *Directory) superseded(target Target) bool {
	life := target.life()
	current, found := directory.targets[target.VM.Name]
	same := found && current.life() == life
	if same && !directory.lapsed[target.VM.Name].adopted {
		return target.Heartbeat < current.Heartbeat
	}
	if _, departed := directory.departed[life]; !departed {
		return false
	}
	if directory.inCopy {
		directory.copied[life] = target.Heartbeat
	}
	heartbeat, copied := directory.copied[life]
	return found && !same || copied && target.Heartbeat <= heartbeat
}

// remove removes a target whose announcement has ended, or marks it as missing if
// it is kept, and reports whether it removed it.
func (directory *Directory) remove(now time.Time, name string) bool {
	target, found := directory.targets[name]
	if !found {
		return false
	}
	if directory.Missing(name) {
		return false
	}
	deadline := directory.keptUntil(now, target)
	directory.unannounced = append(directory.unannounced, Unannounced{
		Name: name, Incarnation: target.VM.Incarnation, Age: now.Sub(directory.confirmed), Kept: max(0, deadline.Sub(now)),
	})
	kept := now.Before(deadline)
	lapses := target.VM.FabricDomain != "" && target.VM.State != kvstore.VMLeaving && directory.config.LapseGrace > 0
	if lapses || kept && target.VM.FabricDomain != "" {
		directory.lapsed[name] = LapsedTarget{Target: target, Since: now, deadline: deadline, graceEnded: !kept}
	}
	if !kept {
		directory.deleteTarget(now, name)
		return true
	}
	directory.missing[name] = deadline
	return false
}

// keptUntil returns the time until which a target without an announcement is kept.
func (directory *Directory) keptUntil(now time.Time, target Target) time.Time {
	if target.VM.State == kvstore.VMLeaving {
		return now
	}
	deadline := directory.returnDeadline(now)
	if lapse := directory.confirmed.Add(directory.config.LapseGrace); target.VM.FabricDomain != "" && lapse.After(deadline) {
		deadline = lapse
	}
	return deadline
}

// returnDeadline returns the end of the time for which targets are kept after the last outage,
// or now without one.
func (directory *Directory) returnDeadline(now time.Time) time.Time {
	if directory.outageEnded.IsZero() {
		return now
	}
	return directory.outageEnded.Add(directory.config.ReturnGrace)
}

// setTarget adds or replaces a target and reports whether it differs from the
// previous one.
func (directory *Directory) setTarget(target Target) bool {
	previous, found := directory.targets[target.VM.Name]
	if !found {
		directory.sorted = nil
	}
	if !found || previous.VM != target.VM || previous.Service != target.Service || previous.Slots != target.Slots {
		directory.composition++
	}
	directory.targets[target.VM.Name] = target
	return !found || !previous.Same(target)
}

func (directory *Directory) deleteTarget(now time.Time, name string) {
	if target, found := directory.targets[name]; found {
		directory.departed[target.life()] = now
	}
	directory.composition++
	directory.sorted = nil
	delete(directory.targets, name)
}
