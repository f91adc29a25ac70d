package group

import (
	"slices"
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Bounds of what the leader concludes from reports.
const (
	// stragglerFactor is how many times the domain's median report latency a
	// straggler's latency is.
	stragglerFactor = 4

	// stragglerFloor keeps differences of scheduling from counting.
	stragglerFloor = 40 * time.Millisecond

	// latencyShift weighs the newest latency by 1/8 in the moving average.
	latencyShift = 3

	// stragglerReports is the number of reports behind a verdict.
	stragglerReports = 16
)

// A member is what the leader knows of one VM.
type member struct {
	vm kvstore.VM

	// listed is false when the VM is no longer in the platform's list.
	listed bool

	// absentSince is when the list was first read without the VM.
	absentSince time.Time

	// departed are the incarnations that are known to be leaving.
	departed []string

	// since is when the leader began to read the VM's reports.
	since time.Time

	report   engine.Report
	reported bool
	sent     time.Time
	reading  bool
	nextRead time.Time

	// missingSince is the send time of the last report when later ones failed
	// for the grant bound, else zero.
	missingSince time.Time
	latency      time.Duration
	samples      int

	order   pendingOrder
	weights weightClaim

	// staging is the model that the engine was told to stage at stagedAt.
	staging  string
	stagedAt time.Time

	// served is the model of the last group in which this incarnation was
	// ready. Its weights stay in the accelerators after the engine has left.
	served string
}

// incarnation returns the newest known incarnation.
func (vm *member) incarnation() string {
	if vm.reported {
		return vm.report.Incarnation
	}
	return vm.vm.Incarnation
}

func (vm *member) live() bool { return vm.reported && vm.missingSince.IsZero() }

func (vm *member) leaving() bool {
	return slices.Contains(vm.departed, vm.incarnation())
}

// noteDeparture marks an incarnation as leaving for good.
func (vm *member) noteDeparture(incarnation string) {
	if slices.Contains(vm.departed, incarnation) {
		return
	}
	vm.departed = append(vm.departed, incarnation)
	if len(vm.departed) > maxDeparted {
		vm.departed = vm.departed[1:]
	}
}

// maxDeparted bounds the leaving incarnations that are kept for one VM; news
// of older ones has died out.
const maxDeparted = 8

// idle reports whether the engine holds no group.
func (vm *member) idle() bool {
	return vm.live() && vm.report.Group == "" && vm.report.State == engine.StateIdle
}

func (vm *member) noteReport(now time.Time, read ReportRead) {
	vm.reading = false
	if vm.reported && read.Sent.Before(vm.sent) {
		return
	}
	if vm.reported && vm.report.Incarnation != read.Report.Incarnation {
		vm.weights = weightClaim{}
		vm.samples = 0
		vm.served = ""
		vm.staging = ""
		vm.stagedAt = time.Time{}
	}
	if read.Report.Group != "" && read.Report.State != engine.StateLoading && read.Report.Model != "" {
		vm.served = read.Report.Model
	}
	if slices.Contains(read.Report.Staged, vm.staging) {
		vm.staging = ""
	}
	vm.report = read.Report
	vm.reported = true
	vm.sent = read.Sent
	vm.missingSince = time.Time{}
	vm.noteLatency(now.Sub(read.Sent))
}

func (vm *member) noteLatency(latency time.Duration) {
	if vm.samples == 0 {
		vm.latency = latency
	}
	vm.samples++
	vm.latency += (latency - vm.latency) >> latencyShift
}

// noteTime marks the VM as missing when its last report is older than bound. It
// reports whether it did.
func (vm *member) noteTime(now time.Time, bound time.Duration) bool {
	if !vm.missingSince.IsZero() {
		return false
	}
	last := vm.since
	if vm.reported {
		last = vm.sent
	}
	if now.Sub(last) <= bound {
		return false
	}
	vm.missingSince = last
	return true
}

// missingAfter is how long a VM may stay without a report: the grant bound,
// within which two reads fail.
func (leader *Leader) missingAfter() time.Duration {
	return leader.policy.GrantBound
}

// noteList takes the platform's list. A list that loses at least half of the
// known VMs at once is not believed about the absent ones: they stay listed
// as long as they report.
func (leader *Leader) noteList(now time.Time, list []kvstore.VM) {
	present := map[string]bool{}
	for _, vm := range list {
		present[vm.Name] = true
		leader.noteListed(now, vm)
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
		if vm.listed && (!suspect || vm.gone(now, leader.config.DarkHold)) {
			vm.listed = false
			leader.dirty = true
		}
	}
}

// gone reports whether a suspect VM has neither been listed nor reported for so
// long that it is taken for removed.
func (vm *member) gone(now time.Time, hold time.Duration) bool {
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
// one time is taken for a fault of the list or of the whole domain.
const largeShareDivisor = 2

func (leader *Leader) noteListed(now time.Time, listed kvstore.VM) {
	vm, found := leader.members[listed.Name]
	if !found {
		vm = leader.addMember(now, listed)
	}
	if listed.State == kvstore.VMLeaving {
		vm.noteDeparture(listed.Incarnation)
	}
	if vm.vm != listed || !vm.listed || listed.State == kvstore.VMLeaving {
		leader.dirty = true
	}
	vm.vm = listed
	vm.listed = true
}

func (leader *Leader) addMember(now time.Time, listed kvstore.VM) *member {
	vm := &member{vm: listed, since: now, nextRead: now}
	leader.members[listed.Name] = vm
	leader.grownAt = now
	leader.names = nil
	leader.readDue = now
	return vm
}

// noteLeaving marks an incarnation as leaving for good.
func (leader *Leader) noteLeaving(known LeavingKnown) {
	if vm, found := leader.members[known.VM]; found {
		vm.noteDeparture(known.Incarnation)
	}
}

// dropGone forgets the VMs that are neither listed, placed nor reporting.
func (leader *Leader) dropGone() {
	for name, vm := range leader.members {
		_, placed := leader.placement.Assignment(name)
		if !vm.listed && !placed && !vm.live() && !vm.reading {
			delete(leader.members, name)
			leader.names = nil
		}
	}
}

// memberNames returns the known VMs in order, so that effects are
// deterministic.
func (leader *Leader) memberNames() []string {
	if leader.names != nil {
		return leader.names
	}
	leader.names = make([]string, 0, len(leader.members))
	for name := range leader.members {
		leader.names = append(leader.names, name)
	}
	sort.Strings(leader.names)
	return leader.names
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

// readReports asks for the reports that are due.
func (leader *Leader) readReports(now time.Time) []Effect {
	if leader.phase == phaseIdle || now.Before(leader.readDue) {
		return nil
	}
	var effects []Effect
	leader.readDue = now.Add(leader.policy.ReportInterval)
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		if due := vm.readDue(leader.policy.GrantBound); now.Before(due) {
			leader.readDue = earlier(leader.readDue, due)
			continue
		}
		vm.reading = true
		vm.nextRead = now.Add(leader.policy.ReportInterval)
		effects = append(effects, ReadReport{
			VM:      name,
			Address: vm.vm.Address,
			Timeout: leader.policy.GrantBound / reportTimeoutDivisor,
		})
	}
	return effects
}

// readDue returns when the VM's report is read next. A read without an answer
// is repeated after the grant bound.
func (vm *member) readDue(bound time.Duration) time.Time {
	if vm.reading {
		return vm.nextRead.Add(bound)
	}
	return vm.nextRead
}

// reportTimeoutDivisor leaves time for a second read within the grant bound.
const reportTimeoutDivisor = 2
