package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// Intervals of the policy and thresholds for the loss of a whole domain.
const (
	// collectFactor times the grant bound is how long a new leader collects
	// reports before it changes the placement.
	collectFactor = 2

	// idleFactor times the report interval is the time between two runs of the
	// policy in a domain in which every group serves and nothing changes.
	idleFactor = 8

	// unreachableDivisor is the inverse of the share of live VMs below which the
	// whole domain counts as unreachable.
	unreachableDivisor = 4

	// defaultUnreachableHold is the time within which a power or network fault
	// of a whole domain is usually repaired.
	defaultUnreachableHold = 30 * time.Minute

	// defaultReturnSettle covers the difference between the start times of the
	// VMs of one domain.
	defaultReturnSettle = 20 * time.Second
)

// changePlacement updates the states of the groups from the reports, runs the
// policy and commits both results in one write.
func (leader *Leader) changePlacement(now time.Time) []Effect {
	if leader.commit.outstanding() || now.Before(leader.retryAt) || !leader.planDue(now) {
		return nil
	}
	leader.planAt = now.Add(leader.policy.ReportInterval)
	leader.plannedAt = now
	leader.dirty = false
	leader.dropUnlisted(now)
	unreachable := leader.domainUnreachable(now)
	if leader.collecting(now) || leader.policy.ReportInterval == 0 {
		return nil
	}
	next := leader.placement.clone()
	changed := false
	if !unreachable {
		changed = leader.updateStates(now, next)
		changed = leader.updateUnlisted(next) || changed
	}
	var decisions []Decision
	allServing := true
	for _, input := range leader.planInputs(now, next, unreachable) {
		decisions = append(decisions, leader.config.Planner(input)...)
		allServing = allServing && input.allServing()
	}
	for _, decision := range decisions {
		leader.apply(next, decision)
		changed = true
	}
	if changed {
		return leader.write(next, decisions)
	}
	if !unreachable && allServing {
		leader.planAt = now.Add(idleFactor * leader.policy.ReportInterval)
	}
	return nil
}

// planDue reports whether the policy is to run: at most once per report interval
// after changes, and less often while every group serves.
func (leader *Leader) planDue(now time.Time) bool {
	if leader.dirty {
		return !now.Before(leader.plannedAt.Add(leader.policy.ReportInterval))
	}
	return !now.Before(leader.planAt)
}

// allServing reports whether every group serves.
func (input PlanInput) allServing() bool {
	for _, status := range input.Groups {
		if status.Group.State != StateReady || !status.Complete {
			return false
		}
	}
	return true
}

// domainUnreachable reports whether most VMs of the domain stopped reporting at
// the same time, less than UnreachableHold ago, or returned so recently that more
// VMs may follow.
func (leader *Leader) domainUnreachable(now time.Time) bool {
	known := 0
	live := 0
	for _, vm := range leader.members {
		if !vm.reported || !vm.listed {
			continue
		}
		known++
		if vm.live() {
			live++
		}
	}
	if known < unreachableDivisor || live*unreachableDivisor >= known {
		if !leader.unreachableSince.IsZero() {
			leader.unreachableSince = time.Time{}
			leader.returnSettledAt = now.Add(leader.config.ReturnSettle)
		}
		return now.Before(leader.returnSettledAt)
	}
	if leader.unreachableSince.IsZero() {
		leader.unreachableSince = now
	}
	return now.Sub(leader.unreachableSince) < leader.config.UnreachableHold
}

// updateStates sets the states of the groups in next from the members' reports.
// It reports whether a state changed.
func (leader *Leader) updateStates(now time.Time, next *Placement) bool {
	changed := false
	for _, group := range leader.placement.Groups() {
		if group.State == StateReleased {
			changed = leader.freeReleased(next, group) || changed
			continue
		}
		state := leader.observedState(group)
		if group.State == StateDraining || state == group.State {
			continue
		}
		next.setState(group.Name, state)
		changed = true
	}
	return changed
}

// updateUnlisted records in next which members confirm their assignment without
// being listed. It reports whether that changed. It omits rank 0: nodes send requests
// to it as long as their own list contains it.
func (leader *Leader) updateUnlisted(next *Placement) bool {
	changed := false
	for _, group := range leader.placement.Groups() {
		for _, name := range leader.placement.Members(group.Name) {
			vm, found := leader.members[name]
			assignment := leader.placement.vms[name]
			unlisted := found && vm.unlisted && vm.live() && vm.reportsAssignment(group, assignment)
			if name != "" && assignment.Rank > 0 && unlisted != assignment.Unlisted {
				next.setUnlisted(name, unlisted)
				changed = true
			}
		}
	}
	return changed
}

// observedState returns the state of a group according to its members' reports.
func (leader *Leader) observedState(group Group) State {
	if _, complete := leader.complete(group); complete {
		return StateReady
	}
	started := false
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || vm.report.Incarnation != leader.placement.vms[name].Incarnation {
			return StateBroken
		}
		if vm.unlisted && leader.placement.vms[name].Rank == 0 {
			return StateBroken
		}
		started = started || vm.reportsAssignment(group, leader.placement.vms[name])
	}
	if started {
		return StateLoading
	}
	return StateForming
}

// freeReleased removes a released group when no live member reports it any more.
// A member that does not report gets its release order after it returns.
func (leader *Leader) freeReleased(next *Placement, group Group) bool {
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if found && vm.live() && vm.report.Group == group.Name {
			return false
		}
	}
	next.remove(group.Name)
	return true
}

// recordDraining records since when each draining group has been in that state.
func (leader *Leader) recordDraining(now time.Time) {
	for name := range leader.drainingSince {
		if leader.placement.groups[name].State != StateDraining {
			delete(leader.drainingSince, name)
		}
	}
	for name, group := range leader.placement.groups {
		if _, found := leader.drainingSince[name]; !found && group.State == StateDraining {
			leader.drainingSince[name] = now
		}
	}
}

// admissionStopped reports whether the group has been draining for the spread
// time, within which every node receives the record and admits no new request.
func (leader *Leader) admissionStopped(now time.Time, group Group) bool {
	since, found := leader.drainingSince[group.Name]
	return found && now.Sub(since) >= leader.policy.SpreadTime
}

// drained reports whether the live members run no request after every node
// stopped admitting new ones.
func (leader *Leader) drained(now time.Time, group Group) bool {
	if group.State != StateDraining || !leader.admissionStopped(now, group) {
		return false
	}
	if leader.classOf(group).OpenedByOrder {
		return !leader.active(composition{group: group.Name, epoch: group.Epoch})
	}
	admissionEnd := leader.drainingSince[group.Name].Add(leader.policy.SpreadTime)
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() {
			continue
		}
		if vm.sentAt.Before(admissionEnd) || vm.report.Running+vm.report.Queued > 0 {
			return false
		}
	}
	return true
}

// planInputs returns an input of the policy for each service, as groups consist of VMs of
// one service.
func (leader *Leader) planInputs(now time.Time, next *Placement, unreachable bool) []PlanInput {
	specs := map[string]folder.Group{}
	for _, group := range next.Groups() {
		specs[group.Name], _ = leader.specOf(next, group)
	}
	var inputs []PlanInput
	for _, service := range leader.services(specs) {
		inputs = append(inputs, leader.planInput(now, next, service, specs, unreachable))
	}
	return inputs
}

// planInput returns the input for one service. specs holds the folder's group of each placed
// group.
func (leader *Leader) planInput(now time.Time, next *Placement, service string, specs map[string]folder.Group, unreachable bool) PlanInput {
	input := PlanInput{
		Now:            now,
		Domain:         leader.config.Domain,
		DowntimeWeight: leader.policy.DowntimeWeight,
		StrandedWeight: leader.policy.StrandedWeight,
		WeightRate:     leader.policy.WeightRate,
		Unreachable:    unreachable,
		ByShare:        leader.formsByShare(),
		Growing:        leader.growing(),
	}
	median := leader.medianLatency()
	for _, name := range leader.memberNames() {
		if leader.members[name].vm.Service == service {
			input.VMs = append(input.VMs, leader.vmStatus(now, name, median))
		}
	}
	demanded := leader.groupsOf(service)
	for _, group := range next.Groups() {
		spec := specs[group.Name]
		if spec.Service != service {
			continue
		}
		status := leader.groupStatus(now, group)
		status.Group.Spec = spec.Name
		input.Groups = append(input.Groups, status)
		if _, found := findSpec(demanded, spec.Name); !found {
			spec.Replicas = 0
			demanded = append(demanded, spec)
		}
	}
	input.Demands = leader.demands(service, demanded, input.Groups)
	return input
}

func (leader *Leader) vmStatus(now time.Time, name string, median time.Duration) VMStatus {
	vm := leader.members[name]
	_, placed := leader.placement.Assignment(name)
	return VMStatus{
		Name:          name,
		Address:       vm.vm.Address,
		Incarnation:   vm.incarnation(),
		FailureDomain: vm.vm.FailureDomain,
		Accelerators:  vm.vm.Accelerators,
		Live:          vm.live(),
		Gone:          !vm.listed,
		Unlisted:      vm.unlisted,
		Warm:          leader.warm(vm),
		Spare:         !placed && leader.assignable(now, vm),
		Incoming:      !placed && vm.live() && !vm.idle() && !vm.unlisted,
		MissingSince:  vm.missingSince,
		Straggler:     vm.straggler(median),
		Leaving:       vm.leaving(),
	}
}

// assignable reports whether a VM may be assigned to a group: its engine holds
// no group, and no order of an earlier leader can take effect on it any more.
func (leader *Leader) assignable(now time.Time, vm *member) bool {
	if !vm.idle() || !vm.listed || vm.unlisted || vm.leaving() {
		return false
	}
	if !vm.reportCoversOrder() {
		return false
	}
	if leader.strictestClass().ChecksSequence {
		return true
	}
	if leader.strictestClass().ChecksFencing {
		return !leader.acceptsOldOrders(vm)
	}
	return !now.Before(leader.oldOrdersUntil)
}

func (leader *Leader) groupStatus(now time.Time, group Group) GroupStatus {
	status := GroupStatus{
		Group:   group,
		Members: leader.placement.Members(group.Name),
		Drained: leader.drained(now, group),
	}
	_, status.Complete = leader.complete(group)
	for _, name := range status.Members {
		status.Incarnations = append(status.Incarnations, leader.placement.vms[name].Incarnation)
	}
	if rank0, found := leader.members[status.Members[0]]; found {
		status.Load = rank0.report.Running + rank0.report.Queued
	}
	return status
}

// apply changes the next record by one decision. A decision that contradicts the
// record is dropped, so that the record stays valid whatever the policy returns.
func (leader *Leader) apply(next *Placement, decision Decision) {
	switch decision := decision.(type) {
	case Form:
		leader.applyForm(next, decision)
	case Repair:
		leader.applyRepair(next, decision)
	case Dissolve:
		next.remove(decision.Group)
	case Drain:
		next.setState(decision.Group, StateDraining)
	case Release:
		next.setState(decision.Group, StateReleased)
	case Renew:
		leader.recompose(next, decision.Group)
	case Vacate:
		for _, vm := range decision.VMs {
			next.free(vm)
		}
		leader.recompose(next, decision.Group)
	}
}

func (leader *Leader) applyForm(next *Placement, form Form) {
	spec, found := findSpec(leader.groups, form.Spec)
	if _, taken := next.groups[form.Name]; taken || !found {
		return
	}
	for rank, vm := range form.VMs {
		if known, listed := leader.members[vm]; listed && !takes(spec, known) || !next.assign(vm, leader.assignment(vm, form.Name, rank)) {
			next.remove(form.Name)
			return
		}
	}
	next.compose(Group{Name: form.Name, Spec: recordedSpec(spec), Size: len(form.VMs), Model: spec.Model, Version: spec.Version})
}

func (leader *Leader) applyRepair(next *Placement, repair Repair) {
	if _, found := next.groups[repair.Group]; !found {
		return
	}
	if repair.Replaced != "" {
		next.free(repair.Replaced)
	}
	next.assign(repair.VM, leader.assignment(repair.VM, repair.Group, repair.Rank))
	leader.recompose(next, repair.Group)
}

// recompose gives a group a new epoch, at most once for each write of the
// record. A draining group also changes to the model and version of the folder.
func (leader *Leader) recompose(next *Placement, name string) {
	group := next.groups[name]
	if group.Epoch > leader.placement.epoch {
		return
	}
	if spec, found := leader.specOf(next, group); found && group.State == StateDraining {
		group.Model = spec.Model
		group.Version = spec.Version
	}
	next.compose(group)
}

func (leader *Leader) assignment(name string, group string, rank int) Assignment {
	vm := leader.members[name]
	return Assignment{
		Group:         group,
		Rank:          rank,
		Address:       vm.vm.Address,
		Incarnation:   vm.incarnation(),
		FailureDomain: vm.vm.FailureDomain,
	}
}
