package group

// spareDivisor keeps an eighth of the VMs of a fabric domain as spares. A group
// that loses a member serves again within two seconds when a spare is available,
// and only after a load from the weight store when none is.
const spareDivisor = 8

// fillInput determines the replicas that a fabric domain keeps when groups are
// formed in proportion to their shares.
type fillInput struct {
	// vms is the number of VMs that can be in a group.
	vms int

	// groups are the placed groups of the domain, with their live members.
	groups []filledGroup
}

type filledGroup struct {
	spec string
	size int
	live int
}

// keptReplicas returns the number of replicas of each group that stay in the
// domain: as many as its VMs can complete. The incomplete group that lacks the most
// members is given up first. Plan forms more replicas out of free VMs.
func (input fillInput) keptReplicas() map[string]int {
	counts := map[string]int{}
	used := 0
	for _, placed := range input.groups {
		counts[placed.spec]++
		used += placed.size
	}
	remaining := append([]filledGroup(nil), input.groups...)
	for used > input.vms {
		index := leastComplete(remaining)
		if index < 0 {
			break
		}
		counts[remaining[index].spec]--
		used -= remaining[index].size
		remaining = append(remaining[:index], remaining[index+1:]...)
	}
	return counts
}

// leastComplete returns the index of the incomplete group that lacks the most
// members, or -1 if all are complete.
func leastComplete(groups []filledGroup) int {
	worst := -1
	lacking := 0
	for index, group := range groups {
		if group.size-group.live > lacking {
			worst = index
			lacking = group.size - group.live
		}
	}
	return worst
}

// formsByShare reports whether groups are formed in proportion to their shares.
func (leader *Leader) formsByShare() bool {
	for _, spec := range leader.groups {
		if spec.Share > 0 {
			return true
		}
	}
	return false
}

// growing reports whether a VM was added to the domain within the last FormSettle.
func (leader *Leader) growing() bool {
	return leader.plannedAt.Sub(leader.vmAddedAt) < leader.config.FormSettle
}

// fillDemands sets the demands for the groups of one service in a domain that forms groups by
// share. The replicas of groups that are no longer in the folder are surplus.
func (leader *Leader) fillDemands(service string, demands []Demand, groups []GroupStatus) {
	var input fillInput
	inOtherDomains := map[string]int{}
	for _, vm := range leader.members {
		if vm.vm.Service == service && vm.listed && vm.live() && !vm.leaving() {
			input.vms++
		}
	}
	for _, other := range leader.otherDomains.Replicas {
		inOtherDomains[other.Group] += other.Count
	}
	for _, status := range groups {
		if status.Group.State != StateReleased {
			input.groups = append(input.groups, filledGroup{
				spec: status.Group.Spec,
				size: status.Group.Size,
				live: leader.liveMembers(status),
			})
		}
	}
	counts := input.keptReplicas()
	for index := range demands {
		demand := &demands[index]
		if _, found := findSpec(leader.groups, demand.Group.Name); !found {
			continue
		}
		demand.Share = counts[demand.Group.Name]
		demand.Total = demand.Share + inOtherDomains[demand.Group.Name]
		demand.Group.Replicas = demand.Total
	}
}

// liveMembers counts the members that may stay in the group.
func (leader *Leader) liveMembers(status GroupStatus) int {
	count := 0
	for rank, name := range status.Members {
		vm, found := leader.members[name]
		if found && vm.live() && !vm.leaving() && vm.report.Incarnation == status.Incarnations[rank] {
			count++
		}
	}
	return count
}
