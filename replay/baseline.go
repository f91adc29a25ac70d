package replay

import (
	"fmt"

	"lacewingspoke.org/lacewingspoke/group"
)

// planWaitForReturn forms the wanted replicas and never replaces a member: it
// assigns a VM to its old rank again once the VM has restarted.
func planWaitForReturn(input group.PlanInput) []group.Decision {
	decisions := formInNameOrder(input, spares(input))
	for _, status := range input.Groups {
		for rank, name := range status.Members {
			vm := findVM(input, name)
			if vm.Live && vm.Incarnation != status.Incarnations[rank] {
				decisions = append(decisions, group.Repair{Group: status.Group.Name, Rank: rank, VM: name, Replaced: name})
			}
		}
	}
	return decisions
}

// planReplaceInNameOrder replaces every missing member at once with the first
// spare, in the order of the groups' names, and then forms missing replicas.
func planReplaceInNameOrder(input group.PlanInput) []group.Decision {
	var decisions []group.Decision
	free := spares(input)
	for _, status := range input.Groups {
		for rank, name := range status.Members {
			vm := findVM(input, name)
			repair := group.Repair{Group: status.Group.Name, Rank: rank, VM: name, Replaced: name}
			switch {
			case vm.Live && vm.Incarnation == status.Incarnations[rank]:
				continue
			case !vm.Live && len(free) == 0:
				continue
			case !vm.Live:
				repair.VM = free[0]
				free = free[1:]
			}
			decisions = append(decisions, repair)
		}
	}
	return append(decisions, formInNameOrder(input, free)...)
}

func spares(input group.PlanInput) []string {
	var names []string
	for _, vm := range input.VMs {
		if vm.Spare {
			names = append(names, vm.Name)
		}
	}
	return names
}

func findVM(input group.PlanInput, name string) group.VMStatus {
	for _, vm := range input.VMs {
		if vm.Name == name {
			return vm
		}
	}
	return group.VMStatus{}
}

// formInNameOrder forms the missing replicas of the domain's share from the
// first free VMs. The share is the same for every policy.
func formInNameOrder(input group.PlanInput, free []string) []group.Decision {
	var decisions []group.Decision
	for _, demand := range input.Demands {
		placed := 0
		taken := map[string]bool{}
		for _, status := range input.Groups {
			taken[status.Group.Name] = true
			if status.Group.Spec == demand.Group.Name {
				placed++
			}
		}
		size := demand.Group.Size
		missing := demand.Group.Replicas - demand.Placed
		for index := 0; placed < demand.Share && missing > 0 && len(free) >= size; index++ {
			name := fmt.Sprintf("%s.%s.%d", demand.Group.Name, input.Domain, index)
			if taken[name] {
				continue
			}
			decisions = append(decisions, group.Form{Spec: demand.Group.Name, Name: name, VMs: free[:size:size]})
			free = free[size:]
			placed++
			missing--
		}
	}
	return decisions
}
