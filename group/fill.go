package group

import "lacewingspoke.org/lacewingspoke/folder"

// spareDivisor keeps an eighth of a fabric domain as spares beside the groups
// that are formed: a group that loses a member serves again within two seconds
// when a spare is at hand, and after a load from the weight store when none is.
const spareDivisor = 8

// fillInput is what the replicas of a fabric domain follow from when the
// groups are wanted in proportion.
type fillInput struct {
	specs []folder.Group

	// vms is the number of VMs that can hold a seat.
	vms int

	// groups are the placed groups of the domain, with their live members.
	groups []filledGroup

	// elsewhere counts the replicas in the other fabric domains.
	elsewhere map[string]int

	// growing says that VMs are still being added to the domain.
	growing bool
}

type filledGroup struct {
	spec string
	size int
	live int
}

// fill returns the number of replicas of each group in the domain. Groups that
// exist stay as long as the VMs can complete them; of those that they cannot,
// the one that lacks the most members goes first. VMs beside the spares form
// more replicas of the group that is farthest below its share in the domain,
// and among equals in all domains. A domain that is still growing forms none,
// because the first VMs would decide by the size of the groups that fit them.
func (input fillInput) fill() map[string]int {
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
	if input.growing {
		return counts
	}
	room := input.vms - input.vms/spareDivisor - used
	for {
		spec, found := input.scarcest(counts, room)
		if !found {
			return counts
		}
		counts[spec.Name]++
		room -= spec.Size
	}
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

// scarcest returns the group that fits into the room and is farthest below its
// share.
func (input fillInput) scarcest(counts map[string]int, room int) (folder.Group, bool) {
	var best folder.Group
	found := false
	for _, spec := range input.specs {
		if spec.Size < 1 || spec.Size > room || spec.Share < 1 {
			continue
		}
		if !found || input.scarcer(spec, best, counts) {
			best = spec
			found = true
		}
	}
	return best, found
}

func (input fillInput) scarcer(one, other folder.Group, counts map[string]int) bool {
	own := filled(one, counts)
	others := filled(other, counts)
	if own != others {
		return own < others
	}
	return filled(one, input.elsewhere) < filled(other, input.elsewhere)
}

// filled returns the VMs of a group's replicas for each part of its share.
func filled(spec folder.Group, counts map[string]int) float64 {
	return float64(counts[spec.Name]*spec.Size) / float64(spec.Share)
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

// fillDemands sets the demands of a domain that is filled.
func (leader *Leader) fillDemands(demands []Demand, groups []GroupStatus) {
	input := fillInput{
		specs:     leader.groups,
		elsewhere: map[string]int{},
		growing:   leader.plannedAt.Sub(leader.grownAt) < leader.config.FormSettle,
	}
	for _, vm := range leader.members {
		if vm.listed && vm.live() && !vm.leaving() {
			input.vms++
		}
	}
	for _, other := range leader.elsewhere.Replicas {
		input.elsewhere[other.Group] += other.Count
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
	counts := input.fill()
	for index := range demands {
		demand := &demands[index]
		demand.Share = counts[demand.Group.Name]
		demand.Total = demand.Share + input.elsewhere[demand.Group.Name]
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
