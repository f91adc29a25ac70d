package group

import (
	"slices"
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Thresholds for stragglers.
const (
	// stragglerFactor is the multiple of the domain's median report latency
	// above which a VM counts as a straggler.
	stragglerFactor = 4

	// stragglerFloor is added to the threshold so that differences in
	// scheduling do not make a VM a straggler.
	stragglerFloor = 40 * time.Millisecond

	// latencyShift gives the newest latency a weight of 1/8 in the moving
	// average.
	latencyShift = 3

	// stragglerReports is the number of reports needed before a VM can count as
	// a straggler.
	stragglerReports = 16
)

// A member is the leader's state of one VM of the domain.
type member struct {
	vm kvstore.VM

	// listed is set while the VM is in the platform's list, or while its
	// absence is not yet accepted.
	listed bool

	// unlisted is set while the VM is kept although the platform's list does not
	// contain it.
	unlisted bool

	// absentSince is when the VM was first absent from the list, and zero while
	// it is present.
	absentSince time.Time

	// silentSince is since when the VM has not answered questions, zero if it is not known. The
	// next report ends it.
	silentSince time.Time

	// endedIncarnation is the last incarnation that is known to have ended.
	endedIncarnation string

	// leavingIncarnations are the incarnations known to be leaving, oldest first.
	leavingIncarnations []string

	// addedAt is when the leader began to read the VM's reports.
	addedAt time.Time

	report   engine.Report
	reported bool
	sentAt   time.Time
	reading  bool
	nextRead time.Time

	// askedAt is when the leader first requested a report after the last one, zero if it
	// has not.
	askedAt time.Time

	// missingSince is the send time of the last report once no newer one has
	// arrived within the grant bound, else zero.
	missingSince time.Time
	latency      time.Duration
	samples      int

	order  pendingOrder
	permit loadPermit

	// closeNoted is when every node has received the record according to which this rank 0
	// closes after its running requests. It is zero while it need not close.
	closeNoted time.Time

	// staging is the model that the engine was ordered to stage at stagedAt.
	staging  string
	stagedAt time.Time

	// lastModel is the model of the last group in which this incarnation was
	// ready. Its weights stay in the accelerators after the engine has left the
	// group.
	lastModel string
}

// incarnation returns the reported incarnation, or the listed one as long as no
// report has arrived.
func (vm *member) incarnation() string {
	if vm.reported {
		return vm.report.Incarnation
	}
	return vm.vm.Incarnation
}

func (vm *member) live() bool { return vm.reported && vm.missingSince.IsZero() }

// silenceHold is the time since the last report for which a VM may only be silent. A sound
// engine may be silent for a second and go on with its requests.
const silenceHold = 1500 * time.Millisecond

// silent reports whether a VM that is missing may still be in its place and run requests.
func (vm *member) silent(now time.Time) bool {
	since := vm.missingSince
	if !vm.silentSince.IsZero() {
		since = earlier(since, vm.silentSince)
	}
	return vm.reported && !vm.missingSince.IsZero() && now.Sub(since) < silenceHold && vm.endedIncarnation != vm.report.Incarnation
}

func (vm *member) leaving() bool {
	return slices.Contains(vm.leavingIncarnations, vm.incarnation())
}

// recordLeaving marks an incarnation as leaving. The mark is permanent.
func (vm *member) recordLeaving(incarnation string) {
	if slices.Contains(vm.leavingIncarnations, incarnation) {
		return
	}
	vm.leavingIncarnations = append(vm.leavingIncarnations, incarnation)
	if len(vm.leavingIncarnations) > maxLeavingIncarnations {
		vm.leavingIncarnations = vm.leavingIncarnations[1:]
	}
}

// maxLeavingIncarnations bounds the leaving incarnations recorded for one VM.
// Messages about older ones no longer arrive.
const maxLeavingIncarnations = 8

// idle reports whether the engine holds no group.
func (vm *member) idle() bool {
	return vm.live() && vm.report.Group == "" && vm.report.State == engine.StateIdle
}

func (vm *member) recordReport(now time.Time, read ReportRead) {
	vm.reading = false
	if vm.reported && read.Sent.Before(vm.sentAt) {
		return
	}
	if vm.reported && vm.report.Incarnation != read.Report.Incarnation {
		vm.permit = loadPermit{}
		vm.samples = 0
		vm.lastModel = ""
		vm.staging = ""
		vm.stagedAt = time.Time{}
	}
	if read.Report.Group != "" && read.Report.State != engine.StateLoading && read.Report.Model != "" {
		vm.lastModel = read.Report.Model
	}
	if slices.Contains(read.Report.Staged, vm.staging) {
		vm.staging = ""
	}
	vm.report = read.Report
	vm.reported = true
	vm.sentAt = read.Sent
	vm.askedAt = time.Time{}
	vm.missingSince = time.Time{}
	vm.silentSince = time.Time{}
	vm.recordLatency(now.Sub(read.Sent))
}

func (vm *member) recordLatency(latency time.Duration) {
	if vm.samples == 0 {
		vm.latency = latency
	}
	vm.samples++
	vm.latency += (latency - vm.latency) >> latencyShift
}

// updateMissing marks the VM as missing when its last report is older than bound, and the
// report after it, which is requested after interval, has been due for the rest of bound. It
// reports whether the mark is new. A leader that was paused has old reports because it has
// not requested any.
func (vm *member) updateMissing(now time.Time, bound, interval time.Duration) bool {
	if !vm.missingSince.IsZero() || vm.askedAt.IsZero() || now.Sub(vm.askedAt) <= bound-interval {
		return false
	}
	last := vm.addedAt
	if vm.reported {
		last = vm.sentAt
	}
	if now.Sub(last) <= bound {
		return false
	}
	vm.missingSince = last
	return true
}

// resumeAfterPause requests all reports again if the leader has handled nothing for longer
// than the age above which a VM counts as missing.
func (leader *Leader) resumeAfterPause(now time.Time) {
	paused := !leader.handledAt.IsZero() && now.Sub(leader.handledAt) > leader.missingAfter()
	leader.handledAt = now
	if !paused {
		return
	}
	leader.earliestRead = now
	for _, vm := range leader.members {
		vm.reading, vm.nextRead, vm.askedAt = false, now, time.Time{}
	}
}

// missingAfter returns the age of the last report above which a VM counts as
// missing. It is the grant bound, within which two reads can fail.
func (leader *Leader) missingAfter() time.Duration {
	return leader.policy.GrantBound
}

// handleList records the platform's list of VMs. A list that lacks at least half
// of the known VMs is suspect: an absent VM stays listed as long as it reports,
// and otherwise until it has been absent for UnreachableHold.
func (leader *Leader) handleList(now time.Time, list []kvstore.VM) {
	present := map[string]bool{}
	for _, vm := range list {
		present[vm.Name] = true
		leader.updateListed(now, vm)
	}
	suspect := leader.losesLargeShare(present)
	for name, vm := range leader.members {
		if present[name] {
			vm.absentSince = time.Time{}
			continue
		}
		if vm.absentSince.IsZero() {
			vm.absentSince = now
		}
		if vm.listed && (!suspect || vm.absentTooLong(now, leader.config.UnreachableHold)) {
			vm.listed = false
			leader.dirty = true
		}
	}
}

// absentTooLong reports whether a VM that is absent from a suspect list counts
// as removed: it does not report and has been absent for the hold time.
func (vm *member) absentTooLong(now time.Time, hold time.Duration) bool {
	return !vm.live() && now.Sub(vm.absentSince) >= hold
}

func (leader *Leader) losesLargeShare(present map[string]bool) bool {
	known := 0
	lost := 0
	for name, vm := range leader.members {
		if !vm.listed {
			continue
		}
		known++
		if !present[name] {
			lost++
		}
	}
	return lost > 1 && lost*largeShareDivisor >= known
}

// largeShareDivisor is the inverse of the share of VMs whose disappearance at
// the same time indicates a fault of the list or of the whole domain.
const largeShareDivisor = 2

func (leader *Leader) updateListed(now time.Time, listed kvstore.VM) {
	vm, found := leader.members[listed.Name]
	if !found {
		vm = leader.addMember(now, listed)
	}
	if listed.State == kvstore.VMLeaving {
		vm.recordLeaving(listed.Incarnation)
	}
	if vm.vm != listed || !vm.listed || listed.State == kvstore.VMLeaving {
		leader.dirty = true
	}
	vm.vm = listed
	vm.listed = true
	vm.unlisted = listed.State == kvstore.VMUnlisted
}

func (leader *Leader) addMember(now time.Time, listed kvstore.VM) *member {
	vm := &member{vm: listed, addedAt: now, nextRead: now}
	leader.members[listed.Name] = vm
	leader.vmAddedAt = now
	leader.sortedNames = nil
	leader.earliestRead = now
	return vm
}

// handleLeaving marks the incarnation of a known VM as leaving.
func (leader *Leader) handleLeaving(event VMLeaving) {
	if vm, found := leader.members[event.VM]; found {
		vm.recordLeaving(event.Incarnation)
	}
}

// handleSilent records since when the incarnation of a known VM has been silent.
func (leader *Leader) handleSilent(event VMSilent) {
	if vm, found := leader.members[event.VM]; found && vm.reported && vm.report.Incarnation == event.Incarnation {
		vm.silentSince = event.Since
	}
}

// handleEnded records that the incarnation of a known VM has ended.
func (leader *Leader) handleEnded(event VMEnded) {
	if vm, found := leader.members[event.VM]; found {
		vm.endedIncarnation = event.Incarnation
	}
}

// dropUnlisted removes the VMs that are neither listed nor placed nor reporting, nor silent.
func (leader *Leader) dropUnlisted(now time.Time) {
	for name, vm := range leader.members {
		_, placed := leader.placement.Assignment(name)
		if !vm.listed && !placed && !vm.live() && !vm.reading && !vm.silent(now) {
			delete(leader.members, name)
			leader.sortedNames = nil
		}
	}
}

// memberNames returns the names of the known VMs in order, which makes the order
// of the effects deterministic.
func (leader *Leader) memberNames() []string {
	if leader.sortedNames != nil {
		return leader.sortedNames
	}
	leader.sortedNames = make([]string, 0, len(leader.members))
	for name := range leader.members {
		leader.sortedNames = append(leader.sortedNames, name)
	}
	sort.Strings(leader.sortedNames)
	return leader.sortedNames
}

// medianLatency returns the median of the VMs' average report latencies.
func (leader *Leader) medianLatency() time.Duration {
	var latencies []time.Duration
	for _, vm := range leader.members {
		if vm.live() {
			latencies = append(latencies, vm.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)/2]
}

func (vm *member) straggler(median time.Duration) bool {
	if !vm.live() || vm.samples < stragglerReports {
		return false
	}
	return vm.latency > stragglerFactor*median+stragglerFloor
}

// readReports requests the reports that are due.
func (leader *Leader) readReports(now time.Time) []Effect {
	if leader.phase == phaseIdle || now.Before(leader.earliestRead) {
		return nil
	}
	var effects []Effect
	leader.earliestRead = now.Add(leader.policy.ReportInterval)
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		if due := vm.reportDue(leader.policy.GrantBound); now.Before(due) {
			leader.earliestRead = earlier(leader.earliestRead, due)
			continue
		}
		vm.reading = true
		if vm.askedAt.IsZero() {
			vm.askedAt = now
		}
		vm.nextRead = now.Add(leader.policy.ReportInterval)
		effects = append(effects, ReadReport{
			VM:      name,
			Address: vm.vm.Address,
			Timeout: leader.policy.GrantBound / reportTimeoutDivisor,
		})
	}
	return effects
}

// reportDue returns when the VM's report is requested next. A request without an
// answer is repeated after the grant bound.
func (vm *member) reportDue(bound time.Duration) time.Time {
	if vm.reading {
		return vm.nextRead.Add(bound)
	}
	return vm.nextRead
}

// reportTimeoutDivisor limits a request for a report to half of the grant bound,
// which leaves time for a second one.
const reportTimeoutDivisor = 2
