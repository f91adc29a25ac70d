package group

func (planner *planner) surplus(spec string) bool {
	demand := planner.demand(spec)
	return demand.Placed > demand.Group.Replicas && planner.placed(spec) > demand.Share
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
			planner.decide(name, Repair{Group: name, Rank: rank, VM: planner.take(status.Group.Model), Replaced: member, Reason: reason})
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

// mayStop reports whether a planned stop may begin: one replica of the group
// at a time, and never below the replicas to keep. Groups that are closed
// because of a leaving member do not serve.
func (planner *planner) mayStop(demand Demand) bool {
	serving := demand.Ready
	for _, status := range planner.input.Groups {
		if status.Group.Spec == demand.Group.Name && status.Complete && status.Group.State == StateReady && planner.has(status, leaving) {
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
		planner.take(status.Group.Model)
		planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainStraggler})
	}
}

// stopLeaving drains a group with a leaving member. Every node has closed such
// a group to new requests already, so that the replicas to keep do not hold it
// back: waiting would only delay its repair.
func (planner *planner) stopLeaving() {
	for _, status := range planner.input.Groups {
		if planner.touched[status.Group.Name] || status.Group.State != StateReady || !status.Complete {
			continue
		}
		if planner.has(status, leaving) {
			planner.decide(status.Group.Name, Drain{Group: status.Group.Name, Reason: DrainLeaving})
		}
	}
}

func leaving(vm VMStatus) bool { return vm.Leaving }

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
