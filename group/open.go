package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
)

// stageRetry is the time after which weights that did not arrive on a host
// are staged again. It is above the load time of any model in use.
const stageRetry = time.Minute

// warmModels is the number of models that a VM can be warm for: that of its last
// group, and one on its host.
const warmModels = 2

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
		if !leader.serves(leader.members[name], group) {
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

// mayStage reports whether a VM may load weights ahead of their use.
func (leader *Leader) mayStage(now time.Time, vm *member) bool {
	if vm.isStaging(now) || !vm.weights.granted {
		return false
	}
	spec := leader.stagingModel(vm.weights.group)
	return spec.Model != "" && (leader.stageable(vm) || leader.mayCross(vm, spec))
}

// isStaging reports whether the engine was told to stage a model that has not
// arrived.
func (vm *member) isStaging(now time.Time) bool {
	return vm.staging != "" && now.Sub(vm.stagedAt) < stageRetry
}

// Staging returns the VMs that were told to stage weights which have not
// arrived yet.
func (leader *Leader) Staging(now time.Time) []string {
	var names []string
	for _, name := range leader.memberNames() {
		if vm := leader.members[name]; vm.live() && vm.isStaging(now) {
			names = append(names, name)
		}
	}
	return names
}

// stageable reports whether a VM is a spare without any weights.
func (leader *Leader) stageable(vm *member) bool {
	return vm.idle() && vm.listed && !vm.leaving() && len(leader.warm(vm)) == 0 && leader.strictest().OpenedByOrder
}

// mayCross reports whether a member of a group that serves may stage the
// weights of another model beside those that it runs. It then joins a group of
// either model without a load: no loss of a member strands the others.
func (leader *Leader) mayCross(vm *member, spec folder.Group) bool {
	if !vm.live() || vm.leaving() || !vm.readBack() || vm.served == "" || spec.Model == vm.served {
		return false
	}
	serving := vm.report.State == engine.StateReady || vm.report.State == engine.StateOpen
	return serving && len(leader.warm(vm)) < warmModels && leader.strictest().OpenedByOrder
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
	if leader.growing() || leader.plannedAt.Before(leader.settleAt) {
		return nil
	}
	spares := map[string]int{}
	placed := map[string]int{}
	for name, vm := range leader.members {
		if seat, found := leader.placement.Assignment(name); found {
			model := leader.placement.groups[seat.Group].Model
			placed[model]++
			if !vm.live() {
				// A seat without a VM wants a spare of its own.
				spares[model]--
			}
			continue
		}
		for _, model := range leader.warm(vm) {
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
		if vm.weights.group != "" || vm.isStaging(leader.plannedAt) {
			continue
		}
		spec := leader.scarcest(spares, placed)
		spares[spec.Model]++
		needs = append(needs, stagingNeed(name, spec))
	}
	if len(needs) > 0 {
		return needs
	}
	return leader.crossingNeeds()
}

// crossing reports whether a VM's claim is for weights beside those of the group
// that it serves in.
func (leader *Leader) crossing(name string) bool {
	vm, found := leader.members[name]
	_, placed := leader.placement.Assignment(name)
	return found && placed && leader.stagingModel(vm.weights.group).Model != ""
}

func stagingNeed(vm string, spec folder.Group) weightNeed {
	return weightNeed{vm: vm, group: Group{Name: stagingSpec + "/" + spec.Name, Model: spec.Model}}
}

// crossingNeeds asks for the weights of another model for the members of groups
// that serve, after all spares have theirs.
func (leader *Leader) crossingNeeds() []weightNeed {
	if leader.plannedAt.Before(leader.crossAt) {
		return nil
	}
	var needs []weightNeed
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		seat, placed := leader.placement.Assignment(name)
		if !placed || vm.weights.group != "" && leader.stagingModel(vm.weights.group).Model != "" || vm.isStaging(leader.plannedAt) {
			continue
		}
		if group := leader.placement.groups[seat.Group]; group.State != StateReady || !vm.holds(group, seat) {
			continue
		}
		for _, spec := range leader.groups {
			if leader.mayCross(vm, spec) {
				need := stagingNeed(name, spec)
				need.crossing = true
				needs = append(needs, need)
				break
			}
		}
	}
	return needs
}

// scarcest returns the group with the fewest spares in proportion to the
// members that they would replace.
func (leader *Leader) scarcest(spares, placed map[string]int) folder.Group {
	best := leader.groups[0]
	for _, spec := range leader.groups[1:] {
		if (spares[spec.Model]+1)*max(placed[best.Model], 1) < (spares[best.Model]+1)*max(placed[spec.Model], 1) {
			best = spec
		}
	}
	return best
}
