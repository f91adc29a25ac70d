package group

import (
	"fmt"
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// PlanInput is what the policy decides on.
type PlanInput struct {
	Now    time.Time
	Domain string

	// VMs are in the order of their names.
	VMs []VMStatus

	// Groups are in the order of their names.
	Groups []GroupStatus

	// Demands are in the order of their groups' values.
	Demands []Demand

	DowntimeWeight float64
	StrandedWeight float64

	// WeightRate is the weight store's rate in bytes a second.
	WeightRate int64

	// Dark says that most of the domain stopped reporting at once.
	Dark bool
}

// A VMStatus is what the policy knows of a VM.
type VMStatus struct {
	Name          string
	Address       string
	Incarnation   string
	FailureDomain string
	Accelerators  int

	// Live says that the VM reports.
	Live bool

	// Suspect says that the platform's list lost the VM together with many
	// others. It keeps its seat as long as it reports.
	Suspect bool

	// Spare says that the VM holds no group and may be assigned.
	Spare bool

	// Incoming says that the VM has no seat but its engine still holds one.
	Incoming bool

	// MissingSince is when a VM that does not report last did.
	MissingSince time.Time
	Straggler    bool
	Leaving      bool
}

// A GroupStatus is what the policy knows of a placed group.
type GroupStatus struct {
	Group Group

	// Members are the VMs by rank, empty for an empty seat.
	Members []string

	// Incarnations are the members' incarnations in the record.
	Incarnations []string

	// Complete says that every member reported ready at the group's epoch.
	Complete bool

	// Drained says that the gate is closed everywhere and nothing runs.
	Drained bool

	// Load is the number of requests that rank 0 has.
	Load int
}

// Bounds of the policy's patience.
const (
	// defaultLoadTime stands for the load time of weights of unknown size.
	defaultLoadTime = 30 * time.Second

	// graceDivisor makes the wait for a paused member a quarter of the load
	// that a replacement costs.
	graceDivisor = 4

	// maxGrace bounds the wait for a paused member when a spare is at hand:
	// pauses of a VM are over within seconds.
	maxGrace = 15 * time.Second
)

// Plan decides what changes in the placement of one fabric domain. It is a
// pure function: equal inputs give equal decisions.
//
// A group with a missing member is repaired with a spare after a short wait
// for paused members. Without a spare, the least valuable incomplete group is
// dissolved to complete another one when the weighted cost of further waiting
// exceeds the weighted cost of loading again. Spares form missing replicas up
// to the domain's share; what is left stays as spares. Planned stops take one
// replica of a group at a time and leave the replicas to keep.
func Plan(input PlanInput) []Decision {
	if input.Dark {
		return nil
	}
	planner := newPlanner(input)
	planner.finishDrained()
	planner.releaseSurplus()
	planner.repair()
	planner.dissolve()
	planner.form()
	planner.replaceStragglers()
	planner.stopLeaving()
	planner.stopOutdated()
	return planner.decisions
}

type planner struct {
	input     PlanInput
	vms       map[string]VMStatus
	spares    []string
	incoming  int
	decisions []Decision

	// touched are the groups that a decision changes.
	touched map[string]bool
	names   map[string]bool
}

func newPlanner(input PlanInput) *planner {
	planner := &planner{
		input:   input,
		vms:     map[string]VMStatus{},
		touched: map[string]bool{},
		names:   map[string]bool{},
	}
	for _, vm := range input.VMs {
		planner.vms[vm.Name] = vm
		if vm.Spare && !vm.Leaving && !vm.Straggler {
			planner.spares = append(planner.spares, vm.Name)
		}
		if vm.Incoming && vm.Live && !vm.Leaving {
			planner.incoming++
		}
	}
	for _, status := range input.Groups {
		planner.names[status.Group.Name] = true
	}
	return planner
}

func (planner *planner) decide(group string, decision Decision) {
	planner.touched[group] = true
	planner.decisions = append(planner.decisions, decision)
}

func (planner *planner) demand(spec string) Demand {
	for _, demand := range planner.input.Demands {
		if demand.Group.Name == spec {
			return demand
		}
	}
	return Demand{Group: folder.Group{Name: spec}}
}

// placed counts the groups of a spec in this domain.
func (planner *planner) placed(spec string) int {
	count := 0
	for _, status := range planner.input.Groups {
		if status.Group.Spec == spec && status.Group.State != StateReleased {
			count++
		}
	}
	return count
}

func (planner *planner) surplus(spec string) bool {
	demand := planner.demand(spec)
	return demand.Placed > demand.Group.Replicas && planner.placed(spec) > demand.Share
}

// seatFault is what is wrong with a seat, 0 for nothing.
func (planner *planner) seatFault(status GroupStatus, rank int) RepairReason {
	name := status.Members[rank]
	vm, found := planner.vms[name]
	switch {
	case name == "" || !found || !vm.Live:
		return RepairMissing
	case vm.Incarnation != status.Incarnations[rank]:
		return RepairRestarted
	default:
		return 0
	}
}

// faults returns the ranks that need another composition.
func (planner *planner) faults(status GroupStatus) []int {
	var ranks []int
	for rank := range status.Members {
		if planner.seatFault(status, rank) != 0 {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// waited returns how long the longest missing member of a group is missing.
func (planner *planner) waited(status GroupStatus, ranks []int) time.Duration {
	longest := time.Duration(0)
	for _, rank := range ranks {
		vm, found := planner.vms[status.Members[rank]]
		if !found || vm.Live {
			return patienceOver
		}
		if vm.MissingSince.IsZero() {
			continue
		}
		longest = max(longest, planner.input.Now.Sub(vm.MissingSince))
	}
	return longest
}

// patienceOver is a wait that exceeds every bound: the member does not return
// as it was.
const patienceOver = time.Duration(1<<63 - 1)

// loadTime estimates how long one VM's weights take.
func (planner *planner) loadTime(spec folder.Group) time.Duration {
	if spec.WeightBytes <= 0 || planner.input.WeightRate <= 0 {
		return defaultLoadTime
	}
	seconds := float64(spec.WeightBytes) / float64(planner.input.WeightRate)
	return time.Duration(seconds * float64(time.Second))
}

func (planner *planner) grace(spec folder.Group) time.Duration {
	return min(planner.loadTime(spec)/graceDivisor, maxGrace)
}

func (planner *planner) take() string {
	name := planner.spares[0]
	planner.spares = planner.spares[1:]
	return name
}

// finishDrained decides what becomes of the groups that have drained.
func (planner *planner) finishDrained() {
	for _, status := range planner.input.Groups {
		if status.Group.State != StateDraining || !status.Drained {
			continue
		}
		if planner.surplus(status.Group.Spec) {
			planner.decide(status.Group.Name, Release{Group: status.Group.Name})
			continue
		}
		planner.renew(status)
	}
}

// renew composes a drained group anew without its unfit members.
func (planner *planner) renew(status GroupStatus) {
	var vacated []string
	name := status.Group.Name
	for rank, member := range status.Members {
		reason := planner.unfit(status, rank)
		if reason == 0 {
			continue
		}
		if len(planner.spares) > 0 {
			planner.decide(name, Repair{Group: name, Rank: rank, VM: planner.take(), Replaced: member, Reason: reason})
			continue
		}
		if reason == RepairLeaving {
			vacated = append(vacated, member)
		}
	}
	if len(vacated) > 0 {
		planner.decide(name, Vacate{Group: name, VMs: vacated})
	}
	if !planner.touched[name] {
		planner.decide(name, Renew{Group: name})
	}
}

// unfit is why a drained group's member is not kept, 0 when it is.
func (planner *planner) unfit(status GroupStatus, rank int) RepairReason {
	if fault := planner.seatFault(status, rank); fault != 0 {
		return fault
	}
	vm := planner.vms[status.Members[rank]]
	switch {
	case vm.Leaving:
		return RepairLeaving
	case vm.Straggler:
		return RepairStraggler
	default:
		return 0
	}
}

// releaseSurplus ends one replica of a group that has too many: an incomplete
// one at once, else the least loaded after draining. An incomplete replica
// above the domain's share is also given up when it has waited long enough:
// the share of another domain, whose VMs are listed, has risen instead.
func (planner *planner) releaseSurplus() {
	for _, demand := range planner.input.Demands {
		spec := demand.Group.Name
		planner.moveAway(demand)
		if !planner.surplus(spec) || planner.stopping(spec) {
			continue
		}
		victim, found := planner.leastUseful(spec)
		if !found {
			continue
		}
		name := victim.Group.Name
		if victim.Complete {
			planner.decide(name, Drain{Group: name, Reason: DrainSurplus})
			continue
		}
		planner.decide(name, Dissolve{Group: name})
	}
}

// moveAway gives up one incomplete replica above the domain's share that the
// spares cannot complete, when the share of another domain has room for it.
func (planner *planner) moveAway(demand Demand) {
	own := planner.placed(demand.Group.Name)
	room := demand.Total - demand.Share - (demand.Placed - own)
	if own <= demand.Share || room <= 0 {
		return
	}
	groups := planner.incomplete()
	for index := len(groups) - 1; index >= 0; index-- {
		group := groups[index]
		if group.spec.Name != demand.Group.Name {
			continue
		}
		if planner.lacking(group) <= len(planner.spares)+planner.incoming || !planner.worthMoving(group) {
			continue
		}
		name := group.status.Group.Name
		planner.decide(name, Dissolve{Group: name})
		return
	}
}

// worthMoving compares the weighted cost of waiting as long again with the
// cost of loading a whole replica elsewhere.
func (planner *planner) worthMoving(group incompleteGroup) bool {
	if group.waited == patienceOver {
		return true
	}
	size := float64(max(group.spec.Size, 1))
	loads := planner.loadTime(group.spec).Seconds() * size
	stranded := planner.input.StrandedWeight * planner.accelerators(group)
	waiting := (planner.input.DowntimeWeight + stranded) * group.waited.Seconds()
	moving := (planner.input.DowntimeWeight + stranded/2) * loads
	return waiting > moving
}

func (planner *planner) stopping(spec string) bool {
	for _, status := range planner.input.Groups {
		if status.Group.Spec == spec && status.Group.State == StateDraining {
			return true
		}
	}
	return false
}

func (planner *planner) leastUseful(spec string) (GroupStatus, bool) {
	var best GroupStatus
	found := false
	for _, status := range planner.input.Groups {
		if status.Group.Spec != spec || planner.touched[status.Group.Name] || status.Group.State == StateReleased {
			continue
		}
		if !found || lessUseful(status, best) {
			best = status
			found = true
		}
	}
	return best, found
}

func lessUseful(one, other GroupStatus) bool {
	if one.Complete != other.Complete {
		return !one.Complete
	}
	if one.Load != other.Load {
		return one.Load < other.Load
	}
	return one.Group.Name > other.Group.Name
}

// An incompleteGroup is a group with seats that need another VM.
type incompleteGroup struct {
	status GroupStatus
	spec   folder.Group
	ranks  []int
	waited time.Duration
}

// incomplete returns the groups to repair: the most valuable first, then the
// one that needs the fewest VMs.
func (planner *planner) incomplete() []incompleteGroup {
	var groups []incompleteGroup
	for _, status := range planner.input.Groups {
		state := status.Group.State
		if planner.touched[status.Group.Name] || state == StateDraining || state == StateReleased {
			continue
		}
		ranks := planner.faults(status)
		if len(ranks) == 0 {
			continue
		}
		groups = append(groups, incompleteGroup{
			status: status,
			spec:   planner.demand(status.Group.Spec).Group,
			ranks:  ranks,
			waited: planner.waited(status, ranks),
		})
	}
	sort.SliceStable(groups, func(i, j int) bool {
		if groups[i].spec.Value != groups[j].spec.Value {
			return groups[i].spec.Value > groups[j].spec.Value
		}
		return len(groups[i].ranks) < len(groups[j].ranks)
	})
	return groups
}

// repair completes groups with spares. A group that the spares cannot
// complete gets none, so that no spare is stranded in it.
func (planner *planner) repair() {
	for _, group := range planner.incomplete() {
		seats, enough := planner.seats(group)
		if !enough || group.waited < planner.grace(group.spec) {
			continue
		}
		name := group.status.Group.Name
		for _, seat := range seats {
			planner.spend(seat.VM)
			planner.decide(name, seat)
		}
	}
}

// seats chooses a VM for each faulty rank: the restarted member itself when it
// is usable, else a spare.
func (planner *planner) seats(group incompleteGroup) ([]Repair, bool) {
	var seats []Repair
	next := 0
	for _, rank := range group.ranks {
		member := group.status.Members[rank]
		seat := Repair{Group: group.status.Group.Name, Rank: rank, VM: member, Replaced: member, Reason: RepairRestarted}
		if planner.seatFault(group.status, rank) == RepairMissing || planner.vms[member].Leaving {
			if next == len(planner.spares) {
				return nil, false
			}
			seat.VM = planner.spares[next]
			seat.Reason = RepairMissing
			next++
		}
		seats = append(seats, seat)
	}
	return seats, true
}

func (planner *planner) spend(vm string) {
	for index, spare := range planner.spares {
		if spare == vm {
			planner.spares = append(planner.spares[:index:index], planner.spares[index+1:]...)
			return
		}
	}
}

// dissolve frees the members of one incomplete group to complete a group that
// is at least as valuable. VMs that are on their way to be spares count as
// spares, so that one shortage dissolves one group.
func (planner *planner) dissolve() {
	groups := planner.incomplete()
	for index, target := range groups {
		lacking := planner.lacking(target) - len(planner.spares) - planner.incoming
		if lacking <= 0 || planner.touched[target.status.Group.Name] {
			continue
		}
		victim, found := planner.donor(groups[index+1:], lacking)
		if !found || !planner.worthDissolving(target, victim) {
			continue
		}
		name := victim.status.Group.Name
		planner.decide(name, Dissolve{Group: name, For: target.status.Group.Name})
		planner.touched[target.status.Group.Name] = true
		return
	}
}

// lacking counts the ranks that need a spare.
func (planner *planner) lacking(group incompleteGroup) int {
	count := 0
	for _, rank := range group.ranks {
		if planner.seatFault(group.status, rank) == RepairMissing {
			count++
		}
	}
	return count
}

// usable counts the members that another group could take over.
func (planner *planner) usable(group incompleteGroup) int {
	count := 0
	for rank := range group.status.Members {
		vm := planner.vms[group.status.Members[rank]]
		if planner.seatFault(group.status, rank) != RepairMissing && !vm.Leaving && !vm.Straggler {
			count++
		}
	}
	return count
}

// donor returns the least valuable candidate that frees enough VMs: of equal
// value the one that lacks the most members, then the least loaded.
func (planner *planner) donor(candidates []incompleteGroup, lacking int) (incompleteGroup, bool) {
	var best incompleteGroup
	found := false
	for _, candidate := range candidates {
		if planner.touched[candidate.status.Group.Name] || planner.usable(candidate) < lacking || planner.lacking(candidate) == 0 {
			continue
		}
		if !found || betterDonor(candidate, best) {
			best = candidate
			found = true
		}
	}
	return best, found
}

func betterDonor(one, other incompleteGroup) bool {
	if one.spec.Value != other.spec.Value {
		return one.spec.Value < other.spec.Value
	}
	if len(one.ranks) != len(other.ranks) {
		return len(one.ranks) > len(other.ranks)
	}
	return one.status.Load < other.status.Load
}

// worthDissolving compares the weighted costs. Waiting costs the target's
// downtime and its stranded accelerators for as long again as its members have
// been missing, which is the expectation for the heavy-tailed repair times of
// VMs. Dissolving costs the load of the target's new members now, and later
// the load of every member of the victim, which would need fewer if it had
// waited.
func (planner *planner) worthDissolving(target, victim incompleteGroup) bool {
	waited := min(target.waited, victim.waited)
	if waited == patienceOver {
		return true
	}
	accelerators := planner.accelerators(target)
	rate := planner.input.DowntimeWeight + planner.input.StrandedWeight*accelerators
	loads := planner.loadTime(target.spec).Seconds()
	reloads := planner.loadTime(victim.spec).Seconds() * float64(planner.usable(victim))
	again := planner.input.DowntimeWeight + planner.input.StrandedWeight*planner.accelerators(victim)/2
	return rate*waited.Seconds() > rate*loads+again*reloads/float64(max(victim.spec.Size, 1))
}

// accelerators returns the accelerators of a group's healthy members.
func (planner *planner) accelerators(group incompleteGroup) float64 {
	total := 0
	for rank, name := range group.status.Members {
		if planner.seatFault(group.status, rank) == 0 {
			total += planner.vms[name].Accelerators
		}
	}
	return float64(total)
}

// form makes the missing replicas of the domain's share out of spares, the
// most valuable first. Spares that an incomplete group waits for are left.
func (planner *planner) form() {
	reserved := planner.reserved()
	for _, demand := range planner.input.Demands {
		missing := min(demand.Share-planner.placed(demand.Group.Name), demand.Group.Replicas-demand.Placed)
		for ; missing > 0; missing-- {
			size := demand.Group.Size
			if size < 1 || len(planner.spares)-reserved < size {
				break
			}
			vms := planner.spares[:size:size]
			planner.spares = planner.spares[size:]
			name := planner.freeName(demand.Group.Name)
			planner.decide(name, Form{Spec: demand.Group.Name, Name: name, VMs: vms})
		}
	}
}

// reserved counts the spares that repairs wait to use after their grace.
func (planner *planner) reserved() int {
	reserved := 0
	for _, group := range planner.incomplete() {
		lacking := planner.lacking(group)
		if lacking <= len(planner.spares)-reserved {
			reserved += lacking
		}
	}
	return reserved
}

// freeName returns the lowest unused replica name of a group in the domain.
func (planner *planner) freeName(spec string) string {
	for index := 0; ; index++ {
		name := fmt.Sprintf("%s.%s.%d", spec, planner.input.Domain, index)
		if !planner.names[name] {
			planner.names[name] = true
			return name
		}
	}
}

// mayStop reports whether a planned stop may begin: one replica of the group
// at a time, and never below the replicas to keep.
func (planner *planner) mayStop(demand Demand) bool {
	if demand.Ready-1 < demand.Keep {
		return false
	}
	for _, status := range planner.input.Groups {
		if status.Group.Spec != demand.Group.Name {
			continue
		}
		if planner.touched[status.Group.Name] || status.Group.State != StateReady || !status.Complete {
			return false
		}
	}
	return true
}

// replaceStragglers drains a group with a straggler when a spare exists.
func (planner *planner) replaceStragglers() {
	for _, status := range planner.input.Groups {
		if len(planner.spares) == 0 {
			return
		}
		if !planner.has(status, func(vm VMStatus) bool { return vm.Straggler }) {
			continue
		}
		if !planner.mayStop(planner.demand(status.Group.Spec)) {
			continue
		}
		planner.take()
		planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainStraggler})
	}
}

// stopLeaving drains a group with a leaving member.
func (planner *planner) stopLeaving() {
	for _, status := range planner.input.Groups {
		if !planner.has(status, func(vm VMStatus) bool { return vm.Leaving }) {
			continue
		}
		if planner.mayStop(planner.demand(status.Group.Spec)) {
			planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainLeaving})
		}
	}
}

// stopOutdated drains a group at another model or version than the folder's.
func (planner *planner) stopOutdated() {
	for _, status := range planner.input.Groups {
		demand := planner.demand(status.Group.Spec)
		if !outdated(status.Group, demand.Group) || !demand.Turn {
			continue
		}
		if planner.mayStop(demand) {
			planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainVersion})
		}
	}
}

func (planner *planner) has(status GroupStatus, match func(VMStatus) bool) bool {
	for _, name := range status.Members {
		if vm, found := planner.vms[name]; found && match(vm) {
			return true
		}
	}
	return false
}
