package group

// spareDivisor keeps an eighth of a fabric domain as spares beside the groups
// that are formed: a group that loses a member serves again within two seconds
// when a spare is at hand, and after a load from the weight store when none is.
const spareDivisor = 8

// fillInput is what the replicas of a fabric domain follow from when the
// groups are wanted in proportion.
type fillInput struct {
	// vms is the number of VMs that can hold a seat.
	vms int

	// groups are the placed groups of the domain, with their live members.
	groups []filledGroup
}

type filledGroup struct {
	spec string
	size int
	live int
}

// kept returns the number of replicas of each group that stay in the domain: as
// many as its VMs can complete. Of those that they cannot, the one that lacks the
// most members goes first. Plan forms more out of VMs that are free.
func (input fillInput) kept() map[string]int {
	counts := map[string]int{}
	used := 0
	for _, placed := range input.groups {
		counts[placed.spec]++
		used += placed.size
	}
	left := append([]filledGroup(nil), input.groups...)
	for used > input.vms {
		index := leastComplete(left)
		if index < 0 {
			break
		}
		counts[left[index].spec]--
		used -= left[index].size
		left = append(left[:index], left[index+1:]...)
	}
	return counts
}

// leastComplete returns the index of the incomplete group that lacks the most
// members, -1 when all are complete.
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

// filling reports whether the groups are wanted in proportion.
func (leader *Leader) filling() bool {
	for _, spec := range leader.groups {
		if spec.Share > 0 {
			return true
		}
	}
	return false
}

// growing reports whether VMs were added to the domain a moment ago.
func (leader *Leader) growing() bool {
	return leader.plannedAt.Sub(leader.grownAt) < leader.config.FormSettle
}

// fillDemands sets the demands of a domain that is filled.
func (leader *Leader) fillDemands(demands []Demand, groups []GroupStatus) {
	var input fillInput
	elsewhere := map[string]int{}
	for _, vm := range leader.members {
		if vm.listed && vm.live() && !vm.leaving() {
			input.vms++
		}
	}
	for _, other := range leader.elsewhere.Replicas {
		elsewhere[other.Group] += other.Count
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
	counts := input.kept()
	for index := range demands {
		demand := &demands[index]
		demand.Share = counts[demand.Group.Name]
		demand.Total = demand.Share + elsewhere[demand.Group.Name]
		demand.Group.Replicas = demand.Total
	}
}

// liveMembers counts the seats whose VM may stay.
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
