package group

import "time"

// Bounds of the leader's patience.
const (
	// settleFactor times the grant bound is how long a new leader collects
	// reports before it judges the groups.
	settleFactor = 2

	// idleFactor times the report interval is the time between two looks at
	// a domain in which nothing changes.
	idleFactor = 8

	// darkDivisor is the inverse of the share of live VMs below which the
	// domain counts as dark.
	darkDivisor = 4

	// defaultDarkHold is the time in which a power or network fault of a whole
	// domain is usually repaired.
	defaultDarkHold = 30 * time.Minute

	// defaultDarkSettle covers the difference between the start times of the
	// VMs of one domain.
	defaultDarkSettle = 20 * time.Second
)

// changePlacement brings the record's states up to date, asks the policy for
// decisions and commits both in one write.
func (leader *Leader) changePlacement(now time.Time) []Effect {
	if leader.commit.outstanding() || now.Before(leader.retryAt) || !leader.planDue(now) {
		return nil
	}
	leader.planAt = now.Add(leader.policy.ReportInterval)
	leader.plannedAt = now
	leader.dirty = false
	leader.dropGone()
	dark := leader.dark(now)
	if now.Before(leader.settleAt) || leader.policy.ReportInterval == 0 {
		return nil
	}
	next := leader.placement.clone()
	changed := false
	if !dark {
		changed = leader.advance(now, next)
	}
	input := leader.planInput(now, next, dark)
	for _, decision := range leader.config.Planner(input) {
		leader.apply(next, decision)
		changed = true
	}
	if changed {
		return leader.write(next)
	}
	if !dark && input.serving() {
		leader.planAt = now.Add(idleFactor * leader.policy.ReportInterval)
	}
	return nil
}

// planDue reports whether the policy is asked: at most once per report
// interval after changes, and seldom while every group serves.
func (leader *Leader) planDue(now time.Time) bool {
	if leader.dirty {
		return !now.Before(leader.plannedAt.Add(leader.policy.ReportInterval))
	}
	return !now.Before(leader.planAt)
}

// serving reports whether every group serves.
func (input PlanInput) serving() bool {
	for _, status := range input.Groups {
		if status.Group.State != StateReady || !status.Complete {
			return false
		}
	}
	return true
}

// dark reports whether most of the domain stopped reporting at once, or
// returned so recently that more VMs may follow.
func (leader *Leader) dark(now time.Time) bool {
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
	if known < darkDivisor || live*darkDivisor >= known {
		if !leader.darkSince.IsZero() {
			leader.darkSince = time.Time{}
			leader.darkUntil = now.Add(leader.config.DarkSettle)
		}
		return now.Before(leader.darkUntil)
	}
	if leader.darkSince.IsZero() {
		leader.darkSince = now
	}
	return now.Sub(leader.darkSince) < leader.config.DarkHold
}

// advance sets the states that follow from the reports. It reports whether
// one changed.
func (leader *Leader) advance(now time.Time, next *Placement) bool {
	changed := false
	for _, group := range leader.placement.Groups() {
		if group.State == StateReleased {
			changed = leader.freeReleased(next, group) || changed
			continue
		}
		state := leader.observed(group)
		if group.State == StateDraining || state == group.State {
			continue
		}
		next.setState(group.Name, state)
		changed = true
	}
	return changed
}

// observed returns the state that the members' reports show.
func (leader *Leader) observed(group Group) State {
	if _, complete := leader.complete(group); complete {
		return StateReady
	}
	started := false
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || vm.report.Incarnation != leader.placement.vms[name].Incarnation {
			return StateBroken
		}
		started = started || vm.holds(group, leader.placement.vms[name])
	}
	if started {
		return StateLoading
	}
	return StateForming
}

// freeReleased removes a released group once no live member holds it. A VM
// that does not report is released when it returns.
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

// noteClosed records when the gate of a draining group began to close.
func (leader *Leader) noteClosed(now time.Time) {
	for name := range leader.closedAt {
		if leader.placement.groups[name].State != StateDraining {
			delete(leader.closedAt, name)
		}
	}
	for name, group := range leader.placement.groups {
		if _, found := leader.closedAt[name]; !found && group.State == StateDraining {
			leader.closedAt[name] = now
		}
	}
}

// gateClosed reports whether every node knows that the group is draining.
func (leader *Leader) gateClosed(now time.Time, group Group) bool {
	closed, found := leader.closedAt[group.Name]
	return found && now.Sub(closed) >= leader.policy.SpreadTime
}

// drained reports whether nothing runs on the live members after the gate was
// closed everywhere.
func (leader *Leader) drained(now time.Time, group Group) bool {
	if group.State != StateDraining || !leader.gateClosed(now, group) {
		return false
	}
	if leader.class(group.Spec).OpenedByOrder {
		return !leader.running(composition{group: group.Name, epoch: group.Epoch})
	}
	quiet := leader.closedAt[group.Name].Add(leader.policy.SpreadTime)
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() {
			continue
		}
		if vm.sent.Before(quiet) || vm.report.Running+vm.report.Queued > 0 {
			return false
		}
	}
	return true
}

func (leader *Leader) planInput(now time.Time, next *Placement, dark bool) PlanInput {
	input := PlanInput{
		Now:            now,
		Domain:         leader.config.Domain,
		DowntimeWeight: leader.policy.DowntimeWeight,
		StrandedWeight: leader.policy.StrandedWeight,
		WeightRate:     leader.policy.WeightRate,
		Dark:           dark,
		Filling:        leader.filling(),
		Growing:        leader.growing(),
	}
	median := leader.medianLatency()
	for _, name := range leader.memberNames() {
		input.VMs = append(input.VMs, leader.vmStatus(now, name, median))
	}
	for _, group := range next.Groups() {
		input.Groups = append(input.Groups, leader.groupStatus(now, group))
	}
	input.Demands = leader.demands(next, input.Groups)
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
		Warm:          leader.warm(vm),
		Spare:         !placed && leader.spare(now, vm),
		Incoming:      !placed && vm.live() && !vm.idle(),
		MissingSince:  vm.missingSince,
		Straggler:     vm.straggler(median),
		Leaving:       vm.leaving(),
	}
}

// spare reports whether a VM may be assigned: its engine holds no group and
// no order of an earlier leader can reach it unnoticed any more.
func (leader *Leader) spare(now time.Time, vm *member) bool {
	if !vm.idle() || !vm.listed || vm.leaving() {
		return false
	}
	if !vm.readBack() {
		return false
	}
	if leader.strictest().ChecksSequence {
		return true
	}
	if leader.strictest().ChecksFencing {
		return !leader.unclaimed(vm)
	}
	return !now.Before(leader.quietUntil)
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

// apply edits the next record. A decision that does not fit the record is
// dropped: the record stays valid whatever the policy says.
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
		if !next.assign(vm, leader.assignment(vm, form.Name, rank)) {
			next.remove(form.Name)
			return
		}
	}
	next.compose(Group{Name: form.Name, Spec: spec.Name, Size: len(form.VMs), Model: spec.Model, Version: spec.Version})
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

// recompose gives a group a higher epoch, once for each record. A group that
// has drained takes the folder's model and version with it.
func (leader *Leader) recompose(next *Placement, name string) {
	group := next.groups[name]
	if group.Epoch > leader.placement.epoch {
		return
	}
	if spec, found := findSpec(leader.groups, group.Spec); found && group.State == StateDraining {
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
