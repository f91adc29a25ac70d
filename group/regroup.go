package group

import (
	"slices"

	"lacewingspoke.org/lacewingspoke/folder"
)

// abundanceBound is how many times as well served as the model of an incomplete
// group another model may be for the members to change over to it. Beyond, the
// group waits for a spare.
const abundanceBound = 2

// joins reports whether a VM may take a seat in a group of the model. In a
// domain that is filled, VMs without the weights stage them before: a group
// would stand still for the time of a load with all its other members.
func (planner *planner) joins(name, model string) bool {
	return !planner.input.Filling || planner.cold || slices.Contains(planner.vms[name].Warm, model)
}

// candidates returns the spares that may take a seat in a group of the model,
// in the order of spareVMs.
func (planner *planner) candidates(model string) []string {
	return slices.DeleteFunc(planner.spareVMs(model), func(name string) bool { return !planner.joins(name, model) })
}

// convert frees the members of one incomplete group that no spare completes:
// for another incomplete group that they complete, or for a group of another
// model that they serve without a load. It answers the steady loss of single
// members: the weight store replaces fewer than are lost, and the other members
// of their groups would wait for it.
func (planner *planner) convert() {
	if planner.incoming > 0 {
		return
	}
	groups := planner.incomplete()
	for _, target := range groups {
		for _, donor := range groups {
			if donor.status.Group.Name != target.status.Group.Name && planner.completes(donor, target) {
				planner.dissolveFor(donor, target)
				return
			}
		}
		if planner.lend(target) || planner.give(target) {
			return
		}
		if planner.serveOther(target) {
			planner.dissolveFor(target, target)
			return
		}
	}
}

// lend seats spares in a complete group of another model in the place of members
// that join the incomplete group without a load.
func (planner *planner) lend(target incompleteGroup) bool {
	lacking := planner.lacking(target)
	for _, lender := range planner.lenders(target) {
		ranks := planner.lendable(lender, target.status.Group.Model)
		spares := planner.candidates(lender.Group.Model)
		if len(ranks) < lacking || len(spares) < lacking {
			continue
		}
		name := lender.Group.Name
		for index, rank := range ranks[:lacking] {
			planner.spend(spares[index])
			planner.decide(name, Repair{Group: name, Rank: rank, VM: spares[index], Replaced: lender.Members[rank], Reason: RepairLent})
		}
		return true
	}
	return false
}

// give dissolves a complete group of a model that stays better served than that
// of the incomplete group, which its members complete without a load.
func (planner *planner) give(target incompleteGroup) bool {
	own := planner.demand(target.status.Group.Spec)
	for _, giver := range planner.lenders(target) {
		other := planner.demand(giver.Group.Spec)
		if part(other.Group, other.Ready-1) <= part(own.Group, own.Ready) {
			continue
		}
		model := target.status.Group.Model
		if len(planner.lendable(giver, model))+len(planner.candidates(model)) < planner.lacking(target) {
			continue
		}
		name := giver.Group.Name
		planner.touched[target.status.Group.Name] = true
		planner.decide(name, Dissolve{Group: name, For: target.status.Group.Name})
		return true
	}
	return false
}

// lenders returns the groups of other models that serve.
func (planner *planner) lenders(target incompleteGroup) []GroupStatus {
	var lenders []GroupStatus
	for _, status := range planner.input.Groups {
		other := status.Group.Model != target.status.Group.Model
		if other && status.Complete && status.Group.State == StateReady && !planner.touched[status.Group.Name] {
			lenders = append(lenders, status)
		}
	}
	return lenders
}

// lendable returns the ranks, from the last on, whose VM joins a group of the
// model without a load.
func (planner *planner) lendable(lender GroupStatus, model string) []int {
	var ranks []int
	for rank := len(lender.Members) - 1; rank >= 0; rank-- {
		name := lender.Members[rank]
		if !planner.vms[name].Leaving && planner.joins(name, model) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

func (planner *planner) dissolveFor(donor, target incompleteGroup) {
	name := donor.status.Group.Name
	decision := Dissolve{Group: name}
	if target.status.Group.Name != name {
		decision.For = target.status.Group.Name
		planner.touched[decision.For] = true
	}
	planner.decide(name, decision)
}

// completes reports whether the members of a donor and the spares fill the
// seats that a group lacks.
func (planner *planner) completes(donor, target incompleteGroup) bool {
	model := target.status.Group.Model
	return planner.survivors(donor, model)+len(planner.candidates(model)) >= planner.lacking(target)
}

// survivors counts the members of an incomplete group that join a group of the
// model without a load.
func (planner *planner) survivors(group incompleteGroup, model string) int {
	count := 0
	for rank, name := range group.status.Members {
		vm := planner.vms[name]
		if planner.seatFault(group.status, rank) == RepairMissing || vm.Leaving || vm.Straggler {
			continue
		}
		if planner.joins(name, model) {
			count++
		}
	}
	return count
}

// serveOther reports whether the members of an incomplete group and the spares
// can form a group of a model that is not served much better.
func (planner *planner) serveOther(group incompleteGroup) bool {
	own := planner.demand(group.status.Group.Spec)
	for _, other := range planner.input.Demands {
		if other.Group.Name == own.Group.Name || other.Group.Size < 1 || other.Group.Share < 1 {
			continue
		}
		// A model that is not served at all counts as served by one replica.
		if part(other.Group, other.Ready) > abundanceBound*part(own.Group, max(own.Ready, 1)) {
			continue
		}
		if planner.survivors(group, other.Group.Model)+len(planner.candidates(other.Group.Model)) >= other.Group.Size {
			return true
		}
	}
	return false
}

// fill forms groups out of the spares that join without a load, first of the
// model that is farthest below its share, and keeps a part of the domain as
// spares.
func (planner *planner) fill() {
	if planner.input.Growing {
		return
	}
	room := planner.room()
	formed := map[string]int{}
	for {
		demand, found := planner.scarcestDemand(formed, room)
		if !found {
			return
		}
		formed[demand.Group.Name]++
		room -= demand.Group.Size
		vms := slices.Clone(planner.candidates(demand.Group.Model)[:demand.Group.Size])
		for _, vm := range vms {
			planner.spend(vm)
		}
		name := planner.freeName(demand.Group.Name)
		planner.decide(name, Form{Spec: demand.Group.Name, Name: name, VMs: vms})
	}
}

// room counts the VMs that are neither seated nor kept as spares.
func (planner *planner) room() int {
	room := 0
	for _, vm := range planner.input.VMs {
		if vm.Live && !vm.Gone && !vm.Leaving {
			room++
		}
	}
	room -= room / spareDivisor
	for _, status := range planner.input.Groups {
		if status.Group.State != StateReleased && !planner.dissolved(status.Group.Name) {
			room -= status.Group.Size
		}
	}
	return room
}

func (planner *planner) dissolved(name string) bool {
	return slices.ContainsFunc(planner.decisions, func(decision Decision) bool {
		dissolve, is := decision.(Dissolve)
		return is && dissolve.Group == name
	})
}

// scarcestDemand returns the demand that is farthest below its share and that
// the spares can form within the room.
func (planner *planner) scarcestDemand(formed map[string]int, room int) (Demand, bool) {
	var best Demand
	found := false
	for _, demand := range planner.input.Demands {
		size := demand.Group.Size
		if size < 1 || size > room || demand.Group.Share < 1 || len(planner.candidates(demand.Group.Model)) < size {
			continue
		}
		if !found || planner.scarcerDemand(demand, best, formed) {
			best = demand
			found = true
		}
	}
	return best, found
}

// scarcerDemand compares two demands in all domains. In a domain that starts,
// where the others' placements are not known yet, it compares them there first.
func (planner *planner) scarcerDemand(one, other Demand, formed map[string]int) bool {
	own := planner.ownPart(one.Group, formed)
	others := planner.ownPart(other.Group, formed)
	if planner.cold && own != others {
		return own < others
	}
	all := part(one.Group, one.Placed+formed[one.Group.Name])
	allOthers := part(other.Group, other.Placed+formed[other.Group.Name])
	if all != allOthers {
		return all < allOthers
	}
	return own < others
}

func (planner *planner) ownPart(spec folder.Group, formed map[string]int) float64 {
	return part(spec, planner.placed(spec.Name)+formed[spec.Name])
}

// part returns the VMs of some replicas for each part of their group's share.
func part(spec folder.Group, replicas int) float64 {
	return float64(replicas*spec.Size) / float64(max(spec.Share, 1))
}
