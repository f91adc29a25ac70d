package group

import (
	"slices"

	"lacewingspoke.org/lacewingspoke/folder"
)

// maxServedRatio is the highest ratio of the serving VMs per share of another model
// to those of an incomplete group's model at which the members of the group change
// to the other model. Above it, the group waits for a spare.
const maxServedRatio = 2

// mayJoin reports whether a VM may be assigned to a group of the model. When
// groups are formed by share, a VM stages the weights first: otherwise the group
// with all its other members would be stalled during the load.
func (planner *planner) mayJoin(name, model string) bool {
	return !planner.input.ByShare || planner.cold || slices.Contains(planner.vms[name].Warm, model)
}

// candidates returns the spares that may be assigned to a group of the model, in
// the order of spareVMs.
func (planner *planner) candidates(model string) []string {
	return slices.DeleteFunc(planner.spareVMs(model), func(name string) bool { return !planner.mayJoin(name, model) })
}

// regroup frees VMs for one incomplete group that the spares cannot complete, or
// dissolves that group so that its members serve another model without a load. This
// is needed when single members are lost steadily: the weight store then loads fewer
// replacements than VMs are lost, and the other members of their groups would wait
// for it.
func (planner *planner) regroup() {
	if planner.incoming > 0 {
		return
	}
	groups := planner.incomplete()
	for _, recipient := range groups {
		for _, donor := range groups {
			if donor.status.Group.Name != recipient.status.Group.Name && planner.completes(donor, recipient) {
				planner.dissolveFor(donor, recipient)
				return
			}
		}
		if planner.swapMembers(recipient) || planner.dissolveServing(recipient) {
			return
		}
		if planner.canServeOther(recipient) {
			planner.dissolveFor(recipient, recipient)
			return
		}
	}
}

// swapMembers replaces members of a complete group of another model by spares, so
// that these members can join the incomplete group without a load.
func (planner *planner) swapMembers(recipient incompleteGroup) bool {
	needed := planner.sparesNeeded(recipient)
	for _, source := range planner.otherServingGroups(recipient) {
		ranks := planner.movableRanks(source, recipient.status.Group.Model)
		spares := planner.candidates(source.Group.Model)
		if len(ranks) < needed || len(spares) < needed {
			continue
		}
		name := source.Group.Name
		for index, rank := range ranks[:needed] {
			planner.useSpare(spares[index])
			planner.decide(name, Repair{Group: name, Rank: rank, VM: spares[index], Replaced: source.Members[rank], Reason: RepairReassigned})
		}
		return true
	}
	return false
}

// dissolveServing dissolves a complete group whose members complete the incomplete
// group without a load. The model of the dissolved group must keep more serving VMs
// per share than the model of the incomplete group has.
func (planner *planner) dissolveServing(recipient incompleteGroup) bool {
	own := planner.demand(recipient.status.Group.Spec)
	for _, source := range planner.otherServingGroups(recipient) {
		other := planner.demand(source.Group.Spec)
		if vmsPerShare(other.Group, other.Ready-1) <= vmsPerShare(own.Group, own.Ready) {
			continue
		}
		model := recipient.status.Group.Model
		if len(planner.movableRanks(source, model))+len(planner.candidates(model)) < planner.sparesNeeded(recipient) {
			continue
		}
		name := source.Group.Name
		planner.changed[recipient.status.Group.Name] = true
		planner.decide(name, Dissolve{Group: name, For: recipient.status.Group.Name})
		return true
	}
	return false
}

// otherServingGroups returns the serving groups of other models.
func (planner *planner) otherServingGroups(recipient incompleteGroup) []GroupStatus {
	var sources []GroupStatus
	for _, status := range planner.input.Groups {
		other := status.Group.Model != recipient.status.Group.Model
		if other && status.Complete && status.Group.State == StateReady && !planner.changed[status.Group.Name] {
			sources = append(sources, status)
		}
	}
	return sources
}

// movableRanks returns the ranks whose VM joins a group of the model without a
// load, the highest rank first.
func (planner *planner) movableRanks(source GroupStatus, model string) []int {
	var ranks []int
	for rank := len(source.Members) - 1; rank >= 0; rank-- {
		name := source.Members[rank]
		if !planner.vms[name].Leaving && planner.mayJoin(name, model) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

func (planner *planner) dissolveFor(donor, recipient incompleteGroup) {
	name := donor.status.Group.Name
	decision := Dissolve{Group: name}
	if recipient.status.Group.Name != name {
		decision.For = recipient.status.Group.Name
		planner.changed[decision.For] = true
	}
	planner.decide(name, decision)
}

// completes reports whether the members of a donor and the spares are enough for
// the ranks of the recipient that need a VM.
func (planner *planner) completes(donor, recipient incompleteGroup) bool {
	model := recipient.status.Group.Model
	return planner.joinableMembers(donor, model)+len(planner.candidates(model)) >= planner.sparesNeeded(recipient)
}

// joinableMembers counts the remaining members of an incomplete group that join a
// group of the model without a load.
func (planner *planner) joinableMembers(group incompleteGroup, model string) int {
	count := 0
	for rank, name := range group.status.Members {
		vm := planner.vms[name]
		if planner.rankFault(group.status, rank) == RepairMissing || vm.Leaving || vm.Straggler {
			continue
		}
		if planner.mayJoin(name, model) {
			count++
		}
	}
	return count
}

// canServeOther reports whether the members of an incomplete group and the spares
// can form a group of another model whose serving VMs per share are within
// maxServedRatio.
func (planner *planner) canServeOther(group incompleteGroup) bool {
	own := planner.demand(group.status.Group.Spec)
	for _, other := range planner.input.Demands {
		if other.Group.Name == own.Group.Name || other.Group.Size < 1 || other.Group.Share < 1 {
			continue
		}
		// A model without a serving replica counts as if it had one.
		if vmsPerShare(other.Group, other.Ready) > maxServedRatio*vmsPerShare(own.Group, max(own.Ready, 1)) {
			continue
		}
		if planner.joinableMembers(group, other.Group.Model)+len(planner.candidates(other.Group.Model)) >= other.Group.Size {
			return true
		}
	}
	return false
}

// fill forms groups out of the spares that join without a load. The model that is
// farthest below its share comes first, and a part of the domain is kept as spares.
func (planner *planner) fill() {
	if planner.input.Growing {
		return
	}
	room := planner.freeRoom()
	formed := map[string]int{}
	for {
		demand, found := planner.mostUnderserved(formed, room)
		if !found {
			return
		}
		formed[demand.Group.Name]++
		room -= demand.Group.Size
		vms := slices.Clone(planner.candidates(demand.Group.Model)[:demand.Group.Size])
		for _, vm := range vms {
			planner.useSpare(vm)
		}
		name := planner.freeName(demand.Group.Name)
		planner.decide(name, Form{Spec: demand.Group.Name, Name: name, VMs: vms})
	}
}

// freeRoom counts the VMs that are neither needed by placed groups nor kept as
// spares.
func (planner *planner) freeRoom() int {
	room := 0
	for _, vm := range planner.input.VMs {
		if vm.Live && !vm.Gone && !vm.Leaving && !vm.Unlisted {
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

// mostUnderserved returns the demand that is farthest below its share, among those
// for which the spares can form a replica that fits the room.
func (planner *planner) mostUnderserved(formed map[string]int, room int) (Demand, bool) {
	var best Demand
	found := false
	for _, demand := range planner.input.Demands {
		size := demand.Group.Size
		if size < 1 || size > room || demand.Group.Share < 1 || demand.Full || len(planner.candidates(demand.Group.Model)) < size {
			continue
		}
		if !found || planner.moreUnderserved(demand, best, formed) {
			best = demand
			found = true
		}
	}
	return best, found
}

// moreUnderserved reports whether one demand is farther below its share than the
// other, counted over all domains. In a cold domain, the placements of the other
// domains are not known yet, and the replicas of this domain are compared first.
func (planner *planner) moreUnderserved(one, other Demand, formed map[string]int) bool {
	own := planner.domainVMsPerShare(one.Group, formed)
	others := planner.domainVMsPerShare(other.Group, formed)
	if planner.cold && own != others {
		return own < others
	}
	all := vmsPerShare(one.Group, one.Placed+formed[one.Group.Name])
	allOthers := vmsPerShare(other.Group, other.Placed+formed[other.Group.Name])
	if all != allOthers {
		return all < allOthers
	}
	return own < others
}

func (planner *planner) domainVMsPerShare(spec folder.Group, formed map[string]int) float64 {
	return vmsPerShare(spec, planner.placedReplicas(spec.Name)+formed[spec.Name])
}

// vmsPerShare returns the number of VMs of some replicas divided by the share of
// their group.
func vmsPerShare(spec folder.Group, replicas int) float64 {
	return float64(replicas*spec.Size) / float64(max(spec.Share, 1))
}
