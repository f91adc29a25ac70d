package group

import (
	"cmp"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
)

// stageRetry is the time after which weights that have not arrived on a host are
// staged again. It exceeds the load time of every model in use.
const stageRetry = time.Minute

// maxWarmModels is the number of models whose groups a VM can join without a load:
// the model of its last group, and one that is staged on its host.
const maxWarmModels = 2

// stagingPrefix is the prefix of the group name in load permits for staging.
const stagingPrefix = "staging"

// A composition identifies the membership of a group at one epoch.
type composition struct {
	group string
	epoch uint64
}

func compositionOf(report engine.Report) composition {
	return composition{group: report.Group, epoch: report.Epoch}
}

// admitting reports whether a rank 0 in the state accepts requests or may still
// run some.
func admitting(state engine.State) bool {
	return state == engine.StateOpen || state == engine.StateDraining
}

// rank0Of returns the live VM that reports rank 0 of a composition, or nil.
func (leader *Leader) rank0Of(key composition) *member {
	for _, vm := range leader.members {
		if vm.live() && vm.report.Rank == 0 && compositionOf(vm.report) == key {
			return vm
		}
	}
	return nil
}

// active reports whether rank 0 of a composition is live and accepts or runs
// requests.
func (leader *Leader) active(key composition) bool {
	rank0 := leader.rank0Of(key)
	return rank0 != nil && admitting(rank0.report.State)
}

// confirmedClosed reports whether rank 0 of a composition is live and neither
// accepts nor runs requests. An unreachable rank 0 may still be open.
func (leader *Leader) confirmedClosed(key composition) bool {
	rank0 := leader.rank0Of(key)
	return rank0 != nil && !admitting(rank0.report.State)
}

// mayRelease reports whether a VM may leave its composition. Rank 0 does not
// detect that a member leaves, so that a reachable rank 0 has to be closed first, and
// one that may only be silent is waited for. A lost rank 0 stalls when its members
// leave, and gives the group up. Its members are released first, and join another
// group only when they are in none any more.
func (leader *Leader) mayRelease(now time.Time, vm *member) bool {
	if vm.report.Group == "" || !leader.strictestClass().OpenedByOrder {
		return true
	}
	key := compositionOf(vm.report)
	return !leader.active(key) && !leader.silentRank0(now, key)
}

// silentRank0 reports whether rank 0 of a composition may only be silent, and accepted or
// ran requests before.
func (leader *Leader) silentRank0(now time.Time, key composition) bool {
	for _, vm := range leader.members {
		if !vm.live() && vm.report.Rank == 0 && compositionOf(vm.report) == key && admitting(vm.report.State) && vm.silent(now) {
			return true
		}
	}
	return false
}

// closeAction returns the order that closes the rank 0 of a composition: one that
// lets the running requests end if all members are still in their places, or one
// that aborts them if a member is lost, because a request cannot go on without it. It
// returns false while a member may only be silent.
func (leader *Leader) closeAction(now time.Time, rank0 *member) (engine.Action, bool) {
	switch live, silent, size := leader.ranksOf(now, rank0); {
	case size > 0 && live == size:
		return engine.ActionDrain, leader.notedByNodes(now, rank0)
	case size > 0 && live+silent == size:
		return "", false
	default:
		return engine.ActionClose, true
	}
}

// notedByNodes reports whether every node has received the record according to which rank
// 0 closes, and sends it no new request, which it would refuse.
func (leader *Leader) notedByNodes(now time.Time, rank0 *member) bool {
	if rank0.closeNoted.IsZero() {
		rank0.closeNoted = now.Add(leader.policy.SpreadTime)
	}
	return !now.Before(rank0.closeNoted)
}

// ranksOf returns the numbers of the ranks of a rank 0's composition that live VMs report,
// and that VMs which may only be silent reported last, and the size of its groups.
func (leader *Leader) ranksOf(now time.Time, rank0 *member) (live, silent, size int) {
	report := rank0.report
	liveRanks, silentRanks := map[int]bool{}, map[int]bool{}
	for _, vm := range leader.members {
		switch {
		case compositionOf(vm.report) != compositionOf(report):
		case vm.live():
			liveRanks[vm.report.Rank] = true
		case vm.silent(now):
			silentRanks[vm.report.Rank] = true
		}
	}
	for rank := range liveRanks {
		delete(silentRanks, rank)
	}
	for _, spec := range leader.groups {
		if spec.Model == report.Model && takes(spec, rank0) {
			size = spec.Size
		}
	}
	return len(liveRanks), len(silentRanks), size
}

// mustClose reports whether the VM is an open rank 0 whose composition differs
// from the record or has lost a member.
func (leader *Leader) mustClose(vm *member, name string) bool {
	if vm.report.State != engine.StateOpen || vm.report.Rank != 0 || !leader.strictestClass().OpenedByOrder {
		return false
	}
	assignment, placed := leader.placement.Assignment(name)
	if !placed {
		return true
	}
	group := leader.placement.groups[assignment.Group]
	if !vm.reportsAssignment(group, assignment) || group.State == StateReleased {
		return true
	}
	return !leader.membersInPlace(group)
}

// membersInPlace reports whether every member of a group is live and reports its
// assignment at the group's epoch.
func (leader *Leader) membersInPlace(group Group) bool {
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !vm.reportsAssignment(group, leader.placement.vms[name]) {
			return false
		}
	}
	return true
}

// mustDrain reports whether a member of a draining group needs a drain order.
func (leader *Leader) mustDrain(vm *member, group Group) bool {
	if leader.classOf(group).OpenedByOrder {
		return vm.report.Rank == 0 && vm.report.State == engine.StateOpen
	}
	return vm.report.State != engine.StateDraining
}

// mayOpen reports whether the VM is a ready rank 0 whose members all reported
// ready.
func (leader *Leader) mayOpen(vm *member, group Group, assignment Assignment) bool {
	if assignment.Rank != 0 || vm.report.State != engine.StateReady || vm.unlisted || !leader.membersInPlace(group) {
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
	if !leader.classOf(group).OpenedByOrder {
		return true
	}
	return vm.report.State == engine.StateOpen || group.State == StateDraining && vm.report.State == engine.StateDraining
}

// mayStage reports whether a VM may stage weights before a group needs them.
func (leader *Leader) mayStage(now time.Time, vm *member) bool {
	if vm.isStaging(now) || !vm.permit.granted {
		return false
	}
	spec := leader.stagedSpec(vm.permit.group)
	return spec.Model != "" && (leader.stageable(vm) || leader.mayStageSecond(vm, spec))
}

// isStaging reports whether the engine was ordered to stage a model whose weights
// have not arrived yet.
func (vm *member) isStaging(now time.Time) bool {
	return vm.staging != "" && now.Sub(vm.stagedAt) < stageRetry
}

// Staging returns the VMs that were ordered to stage weights which have not
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

// stageable reports whether a VM is a spare without the weights of any group of the folder.
func (leader *Leader) stageable(vm *member) bool {
	return vm.idle() && vm.listed && !vm.leaving() && !leader.warmForAny(vm) && leader.strictestClass().OpenedByOrder
}

// warmForAny reports whether a VM joins any group of the folder without a load.
func (leader *Leader) warmForAny(vm *member) bool {
	warm := leader.warm(vm)
	return slices.ContainsFunc(leader.groupsOf(vm.vm.Service), func(spec folder.Group) bool { return slices.Contains(warm, spec.Model) })
}

// mayStageSecond reports whether a member of a serving group may stage the weights
// of a second model besides those that it runs. It can then join a group of either
// model without a load, so that the loss of one member does not leave the others
// unused.
func (leader *Leader) mayStageSecond(vm *member, spec folder.Group) bool {
	if !vm.live() || vm.leaving() || !vm.reportCoversOrder() || vm.lastModel == "" || spec.Model == vm.lastModel {
		return false
	}
	serving := vm.report.State == engine.StateReady || vm.report.State == engine.StateOpen
	return serving && len(leader.warm(vm)) < maxWarmModels && leader.strictestClass().OpenedByOrder
}

// stagedSpec returns the folder's group whose weights a load permit stages, or
// the zero value if the permit is not for staging.
func (leader *Leader) stagedSpec(permitGroup string) folder.Group {
	for _, spec := range leader.groups {
		if permitGroup == stagingPrefix+"/"+spec.Name {
			return spec
		}
	}
	return folder.Group{}
}

// stageOrder returns the order for which a VM has a load permit.
func (leader *Leader) stageOrder(vm *member, name string) desiredOrder {
	spec := leader.stagedSpec(vm.permit.group)
	return desiredOrder{
		vm:     vm,
		name:   name,
		action: engine.ActionStage,
		group:  Group{Spec: recordedSpec(spec), Model: spec.Model, Version: spec.Version},
	}
}

// stagingNeeds returns the spares that hold no weights, each with the model that
// has the fewest spares in proportion to its placed members. When every spare has
// weights, it returns members that may stage a second model.
func (leader *Leader) stagingNeeds() []weightNeed {
	if !leader.strictestClass().OpenedByOrder || len(leader.groups) == 0 {
		return nil
	}
	if leader.growing() || leader.collecting(leader.plannedAt) {
		return nil
	}
	spares := map[weights]int{}
	placed := map[weights]int{}
	for name, vm := range leader.members {
		service := vm.vm.Service
		if assignment, found := leader.placement.Assignment(name); found {
			model := leader.placement.groups[assignment.Group].Model
			placed[weights{service, model}]++
			if !vm.live() {
				// The repair of a rank without a live VM takes one of the spares.
				spares[weights{service, model}]--
			}
			continue
		}
		for _, model := range leader.warm(vm) {
			spares[weights{service, model}]++
		}
		if vm.staging != "" && len(vm.report.Staged) == 0 {
			spares[weights{service, vm.staging}]++
		}
		if spec := leader.stagedSpec(vm.permit.group); spec.Model != "" {
			spares[weights{service, spec.Model}]++
		}
	}
	var needs []weightNeed
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		if _, found := leader.placement.Assignment(name); found || !leader.stageable(vm) {
			continue
		}
		if leader.awaitsStaging(vm) || vm.isStaging(leader.plannedAt) {
			continue
		}
		spec, found := leader.fewestSpares(vm.vm.Service, spares, placed)
		if !found {
			continue
		}
		spares[weightsOf(spec)]++
		needs = append(needs, stagingNeed(name, spec))
	}
	if len(needs) > 0 {
		return needs
	}
	return leader.secondModelNeeds()
}

// awaitsStaging reports whether a VM in no group has requested a load permit or has one for
// staging. One for a group that the VM is no longer placed in is of no use.
func (leader *Leader) awaitsStaging(vm *member) bool {
	return vm.permit.group != "" && !vm.permit.granted || leader.stagedSpec(vm.permit.group).Model != ""
}

// stagesSecondModel reports whether a VM's load permit is for a second model
// besides that of the group in which the VM is placed.
func (leader *Leader) stagesSecondModel(name string) bool {
	vm, found := leader.members[name]
	_, placed := leader.placement.Assignment(name)
	return found && placed && leader.stagedSpec(vm.permit.group).Model != ""
}

func stagingNeed(vm string, spec folder.Group) weightNeed {
	return weightNeed{vm: vm, group: Group{Name: stagingPrefix + "/" + spec.Name, Model: spec.Model}}
}

// secondModelNeeds returns the members of serving groups that may stage the
// weights of a second model, those of the largest groups first: the loss of one of their
// members leaves the most others unused. They come after all spares.
func (leader *Leader) secondModelNeeds() []weightNeed {
	if leader.plannedAt.Before(leader.secondModelAt) {
		return nil
	}
	var needs []weightNeed
	sizes := map[string]int{}
	for _, name := range leader.memberNames() {
		vm := leader.members[name]
		assignment, placed := leader.placement.Assignment(name)
		if !placed || vm.permit.group != "" && leader.stagedSpec(vm.permit.group).Model != "" || vm.isStaging(leader.plannedAt) {
			continue
		}
		if group := leader.placement.groups[assignment.Group]; group.State != StateReady || !vm.reportsAssignment(group, assignment) {
			continue
		}
		for _, spec := range leader.groups {
			if takes(spec, vm) && leader.mayStageSecond(vm, spec) {
				need := stagingNeed(name, spec)
				need.secondModel = true
				needs = append(needs, need)
				sizes[name] = leader.placement.groups[assignment.Group].Size
				break
			}
		}
	}
	slices.SortStableFunc(needs, func(one, other weightNeed) int { return cmp.Compare(sizes[other.vm], sizes[one.vm]) })
	return needs
}

// weights are those of one model for the engines of one service.
type weights struct{ service, model string }

func weightsOf(spec folder.Group) weights { return weights{spec.Service, spec.Model} }

// fewestSpares returns the group of a service whose model has the fewest spares in
// proportion to its placed members, or false if the service has none.
func (leader *Leader) fewestSpares(service string, spares, placed map[weights]int) (folder.Group, bool) {
	specs := leader.groupsOf(service)
	if len(specs) == 0 {
		return folder.Group{}, false
	}
	best := specs[0]
	for _, spec := range specs[1:] {
		own, others := weightsOf(spec), weightsOf(best)
		if (spares[own]+1)*max(placed[others], 1) < (spares[others]+1)*max(placed[own], 1) {
			best = spec
		}
	}
	return best, true
}
