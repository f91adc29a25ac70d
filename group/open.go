package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
)

// stageRetry is the time after which weights that did not arrive on a host
// are staged again. It is above the load time of any model in use.
const stageRetry = time.Minute

// stagingSpec is the name of the claims for weights that spares stage.
const stagingSpec = "staging"

// A composition is one membership of a group.
type composition struct {
	group string
	epoch uint64
}

func compositionOf(report engine.Report) composition {
	return composition{group: report.Group, epoch: report.Epoch}
}

// admitting reports whether an engine's rank 0 accepts or still runs requests.
func admitting(state engine.State) bool {
	return state == engine.StateOpen || state == engine.StateDraining
}

// headOf returns the live VM that reports to be rank 0 of a composition, nil
// when there is none.
func (leader *Leader) headOf(key composition) *member {
	for _, vm := range leader.members {
		if vm.live() && vm.report.Rank == 0 && compositionOf(vm.report) == key {
			return vm
		}
	}
	return nil
}

// running reports whether rank 0 of a composition is known to accept requests
// or to run some.
func (leader *Leader) running(key composition) bool {
	head := leader.headOf(key)
	return head != nil && admitting(head.report.State)
}

// closed reports whether rank 0 of a composition itself says that it accepts
// nothing. One that cannot be reached may still be open.
func (leader *Leader) closed(key composition) bool {
	head := leader.headOf(key)
	return head != nil && !admitting(head.report.State)
}

// mayLeave reports whether a VM may leave its composition: rank 0 notices
// nothing of it, so one that can be reached is closed first. A rank 0 that
// cannot be reached stands still when its members leave, and gives the group
// up; they join another one only after that, out of a group no more.
func (leader *Leader) mayLeave(vm *member) bool {
	if vm.report.Group == "" || !leader.strictest().OpenedByOrder {
		return true
	}
	return !leader.running(compositionOf(vm.report))
}

// mustClose reports whether an open rank 0 serves a composition that is not
// the record's or has lost a member.
func (leader *Leader) mustClose(vm *member, name string) bool {
	if vm.report.State != engine.StateOpen || vm.report.Rank != 0 || !leader.strictest().OpenedByOrder {
		return false
	}
	seat, placed := leader.placement.Assignment(name)
	if !placed {
		return true
	}
	group := leader.placement.groups[seat.Group]
	if !vm.holds(group, seat) || group.State == StateReleased {
		return true
	}
	return !leader.held(group)
}

// held reports whether every live seat of a group is held at its epoch.
func (leader *Leader) held(group Group) bool {
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !vm.holds(group, leader.placement.vms[name]) {
			return false
		}
	}
	return true
}

// mustDrain reports whether a draining group's member is to be told so.
func (leader *Leader) mustDrain(vm *member, group Group) bool {
	if leader.class(group.Spec).OpenedByOrder {
		return vm.report.Rank == 0 && vm.report.State == engine.StateOpen
	}
	return vm.report.State != engine.StateDraining
}

// mayOpen reports whether rank 0 is ready and every member was seen ready.
func (leader *Leader) mayOpen(vm *member, group Group, seat Assignment) bool {
	if seat.Rank != 0 || vm.report.State != engine.StateReady || !leader.held(group) {
		return false
	}
	for _, name := range leader.placement.Members(group.Name) {
		if !leader.members[name].serves(group) {
			return false
		}
	}
	return true
}

// admits reports whether rank 0 accepts requests, or runs those that it has
// accepted while the group drains.
func (leader *Leader) admits(vm *member, group Group) bool {
	if !leader.class(group.Spec).OpenedByOrder {
		return true
	}
	return vm.report.State == engine.StateOpen || group.State == StateDraining && vm.report.State == engine.StateDraining
}

// mayStage reports whether a spare may load weights ahead of its use.
func (leader *Leader) mayStage(now time.Time, vm *member) bool {
	if !leader.stageable(vm) || now.Sub(vm.stagedAt) < stageRetry && !vm.stagedAt.IsZero() {
		return false
	}
	return vm.weights.granted && leader.stagingModel(vm.weights.group).Model != ""
}

func (leader *Leader) stageable(vm *member) bool {
	return vm.idle() && vm.listed && !vm.leaving() && len(vm.report.Staged) == 0 && leader.strictest().OpenedByOrder
}

// stagingModel returns the group whose weights a staging claim is for.
func (leader *Leader) stagingModel(claim string) folder.Group {
	for _, spec := range leader.groups {
		if claim == stagingSpec+"/"+spec.Name {
			return spec
		}
	}
	return folder.Group{}
}

func (leader *Leader) stageOrder(vm *member, name string) wantedOrder {
	spec := leader.stagingModel(vm.weights.group)
	vm.staging = spec.Model
	vm.stagedAt = leader.plannedAt
	vm.weights = weightClaim{}
	return wantedOrder{
		vm:     vm,
		name:   name,
		action: engine.ActionStage,
		group:  Group{Spec: spec.Name, Model: spec.Model, Version: spec.Version},
	}
}

// stagingNeeds asks for the weights of spares without any. The model with the
// fewest spares for each of its placed members comes first.
func (leader *Leader) stagingNeeds() []weightNeed {
	if !leader.strictest().OpenedByOrder || len(leader.groups) == 0 {
		return nil
	}
	if leader.plannedAt.Sub(leader.grownAt) < leader.config.FormSettle || leader.plannedAt.Before(leader.settleAt) {
		return nil
	}
	spares := map[string]int{}
	placed := map[string]int{}
	for name, vm := range leader.members {
		if seat, found := leader.placement.Assignment(name); found {
			placed[leader.placement.groups[seat.Group].Model]++
			continue
		}
		for _, model := range vm.report.Staged {
			spares[model]++
		}
		if vm.staging != "" && len(vm.report.Staged) == 0 {
			spares[vm.staging]++
		}
		if spec := leader.stagingModel(vm.weights.group); spec.Model != "" {
			spares[spec.Model]++
		}
	}
	var needs []weightNeed
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		if _, found := leader.placement.Assignment(name); found || !leader.stageable(vm) {
			continue
		}
		if vm.weights.group != "" || !vm.stagedAt.IsZero() && leader.plannedAt.Sub(vm.stagedAt) < stageRetry {
			continue
		}
		spec := leader.scarcest(spares, placed)
		spares[spec.Model]++
		needs = append(needs, weightNeed{vm: name, group: Group{Name: stagingSpec + "/" + spec.Name, Model: spec.Model}})
	}
	return needs
}

// scarcest returns the group with the fewest spares in proportion to the
// members that they would replace.
func (leader *Leader) scarcest(spares, placed map[string]int) folder.Group {
	best := leader.groups[0]
	for _, spec := range leader.groups[1:] {
		if (spares[spec.Model]+1)*placed[best.Model] < (spares[best.Model]+1)*placed[spec.Model] {
			best = spec
		}
	}
	return best
}
