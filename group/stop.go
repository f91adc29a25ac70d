package group

import "slices"

func (planner *planner) hasSurplus(spec string) bool {
	demand := planner.demand(spec)
	return demand.Placed > demand.Group.Replicas && planner.placedReplicas(spec) > demand.Share
}

// finishDrained releases the drained groups that are surplus and gives the others
// a new composition.
func (planner *planner) finishDrained() {
	for _, status := range planner.input.Groups {
		if status.Group.State != StateDraining || !status.Drained {
			continue
		}
		if planner.hasSurplus(status.Group.Spec) {
			planner.decide(status.Group.Name, Release{Group: status.Group.Name})
			continue
		}
		planner.renew(status)
	}
}

// renew gives a drained group a new composition without its unfit members. Like the
// repair, it takes no spare that has to load the weights first when groups are formed by
// share: the other members can complete another group meanwhile.
func (planner *planner) renew(status GroupStatus) {
	var leavingMembers []string
	name := status.Group.Name
	for rank, member := range status.Members {
		reason := planner.unfitReason(status, rank)
		if reason == 0 {
			continue
		}
		if spares := planner.candidates(status.Group.Model); len(spares) > 0 {
			planner.useSpare(spares[0])
			planner.decide(name, Repair{Group: name, Rank: rank, VM: spares[0], Replaced: member, Reason: reason})
			continue
		}
		if reason == RepairLeaving || planner.vms[member].Unlisted {
			leavingMembers = append(leavingMembers, member)
		}
	}
	if len(leavingMembers) > 0 {
		planner.decide(name, Vacate{Group: name, VMs: leavingMembers})
	}
	if !planner.changed[name] {
		planner.decide(name, Renew{Group: name})
	}
}

// unfitReason returns why a member of a drained group has to be replaced, or 0 if
// it is kept.
func (planner *planner) unfitReason(status GroupStatus, rank int) RepairReason {
	if fault := planner.rankFault(status, rank); fault != 0 {
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

// convert drains the replicas whose VMs are to form groups of another model.
func (planner *planner) convert() {
	for _, demand := range planner.input.Demands {
		for _, status := range planner.input.Groups {
			name := status.Group.Name
			if slices.Contains(demand.Converts, name) && status.Group.State == StateReady && !planner.changed[name] {
				planner.decide(name, Drain{Group: name, Reason: DrainConverted})
			}
		}
	}
}

// releaseSurplus removes one replica of a group that has too many: an incomplete
// one immediately, else the least loaded one after draining. An incomplete replica
// above the domain's share is also given up when its members have been missing for
// long enough, because the share of another domain, whose VMs are listed, has
// risen instead.
func (planner *planner) releaseSurplus() {
	for _, demand := range planner.input.Demands {
		spec := demand.Group.Name
		if len(demand.Converts) > 0 {
			continue
		}
		planner.moveSurplus(demand)
		if !planner.hasSurplus(spec) || planner.hasDraining(spec) {
			continue
		}
		replica, found := planner.leastUseful(spec)
		if !found {
			continue
		}
		name := replica.Group.Name
		if replica.Complete {
			planner.decide(name, Drain{Group: name, Reason: DrainSurplus})
			continue
		}
		planner.decide(name, Dissolve{Group: name})
	}
}

// moveSurplus gives up one incomplete replica above the domain's share that the
// spares cannot complete, if the share of another domain has room for it.
func (planner *planner) moveSurplus(demand Demand) {
	own := planner.placedReplicas(demand.Group.Name)
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
		if planner.sparesNeeded(group) <= len(planner.spares)+planner.incoming || !planner.worthMoving(group) {
			continue
		}
		name := group.status.Group.Name
		planner.decide(name, Dissolve{Group: name})
		return
	}
}

// worthMoving reports whether waiting for as long again costs more than loading a
// whole replica in another domain, in weighted costs.
func (planner *planner) worthMoving(group incompleteGroup) bool {
	if group.missingFor == neverReturns {
		return true
	}
	size := float64(max(group.spec.Size, 1))
	loads := planner.loadTime(group.spec).Seconds() * size
	stranded := planner.input.StrandedWeight * planner.healthyAccelerators(group)
	waiting := (planner.input.DowntimeWeight + stranded) * group.missingFor.Seconds()
	moving := (planner.input.DowntimeWeight + stranded/2) * loads
	return waiting > moving
}

func (planner *planner) hasDraining(spec string) bool {
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
		if status.Group.Spec != spec || planner.changed[status.Group.Name] || status.Group.State == StateReleased {
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

// mayStop reports whether a planned stop may begin. One replica of a group stops
// at a time, and at least Keep replicas go on serving. Groups that admit no
// requests because of a leaving member do not count as serving.
func (planner *planner) mayStop(demand Demand) bool {
	serving := demand.Ready
	for _, status := range planner.input.Groups {
		if status.Group.Spec == demand.Group.Name && status.Complete && status.Group.State == StateReady && planner.hasMember(status, isLeaving) {
			serving--
		}
	}
	if serving-1 < demand.Keep {
		return false
	}
	for _, status := range planner.input.Groups {
		if status.Group.Spec != demand.Group.Name {
			continue
		}
		if planner.changed[status.Group.Name] || status.Group.State != StateReady || !status.Complete {
			return false
		}
	}
	return true
}

// replaceStragglers drains groups with a straggler as long as there are spares that may
// join them.
func (planner *planner) replaceStragglers() {
	for _, status := range planner.input.Groups {
		spares := planner.candidates(status.Group.Model)
		if len(spares) == 0 {
			continue
		}
		if !planner.hasMember(status, func(vm VMStatus) bool { return vm.Straggler }) {
			continue
		}
		if !planner.mayStop(planner.demand(status.Group.Spec)) {
			continue
		}
		planner.useSpare(spares[0])
		planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainStraggler})
	}
}

// stopLeaving replaces the leaving members of groups or, without spares, drains the
// groups, without regard to Keep. Nodes send such a group no new requests, so that waiting
// would only delay its repair.
func (planner *planner) stopLeaving() {
	for _, status := range planner.input.Groups {
		if planner.changed[status.Group.Name] || status.Group.State != StateReady || !status.Complete {
			continue
		}
		if planner.hasMember(status, isLeaving) && !planner.replaceLeaving(status) {
			planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainLeaving})
		}
	}
}

// replaceLeaving replaces the leaving members of a group that is opened by order, if there
// are spares for all of them. The spares join while rank 0 ends its running requests; in a
// drained group they would begin only then.
func (planner *planner) replaceLeaving(status GroupStatus) bool {
	spares := planner.candidates(status.Group.Model)
	var repairs []Repair
	for rank, member := range status.Members {
		if !planner.vms[member].Leaving {
			continue
		}
		if !planner.input.ByShare || len(repairs) == len(spares) {
			return false
		}
		repairs = append(repairs, Repair{Group: status.Group.Name, Rank: rank, VM: spares[len(repairs)], Replaced: member, Reason: RepairLeaving})
	}
	for _, repair := range repairs {
		planner.useSpare(repair.VM)
		planner.decide(status.Group.Name, repair)
	}
	return true
}

func isLeaving(vm VMStatus) bool { return vm.Leaving }

// stopOutdated drains groups whose model or version differs from the folder's.
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

func (planner *planner) hasMember(status GroupStatus, match func(VMStatus) bool) bool {
	for _, name := range status.Members {
		if vm, found := planner.vms[name]; found && match(vm) {
			return true
		}
	}
	return false
}
