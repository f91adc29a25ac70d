package group

import (
	"sort"

	"lacewingspoke.org/lacewingspoke/folder"
)

// A Demand is what one of the folder's groups asks of a fabric domain.
type Demand struct {
	Group folder.Group

	// Share is the number of replicas that this fabric domain forms.
	Share int

	// Total is the sum of the shares of all fabric domains. It is less than
	// the wanted replicas when they do not all fit.
	Total int

	// Placed is the number of replicas in all fabric domains.
	Placed int

	// Ready is the number of serving replicas in all fabric domains.
	Ready int

	// Keep is the number of serving replicas that a planned stop leaves.
	Keep int

	// Turn says that this domain may stop a replica for a new version: the
	// domains with outdated replicas take turns in the order of their names.
	Turn bool
}

// shareInput is what the leaders of all fabric domains know alike.
type shareInput struct {
	groups  []folder.Group
	domains []DomainSize
}

// A division is how the wanted replicas of each group are divided.
type division struct {
	own   map[string]int
	total map[string]int
}

// divide divides the wanted replicas over the fabric domains and returns the
// share of one domain and the total for each group.
//
// Every leader computes the same division from the listed sizes, not from the
// reports, which only one of them reads. So two leaders never both form the
// same missing replica for long, and the share of a dark domain, whose VMs
// stay listed, does not move. Groups are served by value
// and then name. Each replica goes to the failure domain with the fewest
// replicas of the group, and in it to the fabric domain with the most VMs left,
// so that spares stay spread too. Replicas that fit nowhere are left out.
func (input shareInput) divide(domain string) division {
	left := append([]DomainSize(nil), input.domains...)
	sort.Slice(left, func(i, j int) bool { return left[i].Name < left[j].Name })
	result := division{own: map[string]int{}, total: map[string]int{}}
	for _, group := range byValue(input.groups) {
		spread := map[string]int{}
		for replica := 0; replica < group.Replicas; replica++ {
			index := pickDomain(left, spread, group.Size)
			if index < 0 {
				break
			}
			left[index].VMs -= group.Size
			spread[left[index].FailureDomain]++
			result.total[group.Name]++
			if left[index].Name == domain {
				result.own[group.Name]++
			}
		}
	}
	return result
}

// pickDomain returns the index of the domain for the next replica, -1 when it
// fits nowhere.
func pickDomain(domains []DomainSize, spread map[string]int, size int) int {
	best := -1
	for index, domain := range domains {
		if size < 1 || domain.VMs < size {
			continue
		}
		if best < 0 || lessDomain(domain, domains[best], spread) {
			best = index
		}
	}
	return best
}

func lessDomain(one, other DomainSize, spread map[string]int) bool {
	if spread[one.FailureDomain] != spread[other.FailureDomain] {
		return spread[one.FailureDomain] < spread[other.FailureDomain]
	}
	return one.VMs > other.VMs
}

func byValue(groups []folder.Group) []folder.Group {
	sorted := append([]folder.Group(nil), groups...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Value != sorted[j].Value {
			return sorted[i].Value > sorted[j].Value
		}
		return sorted[i].Name < sorted[j].Name
	})
	return sorted
}

// Summarize counts the replicas of a placement record for the leaders of
// other fabric domains. open holds the names of the groups with a current
// grant that admit requests.
func Summarize(placement *Placement, groups []folder.Group, open []string) []PlacedReplicas {
	counts := map[string]*PlacedReplicas{}
	admits := map[string]bool{}
	for _, name := range open {
		admits[name] = true
	}
	for _, group := range placement.Groups() {
		if group.State == StateReleased {
			continue
		}
		count, found := counts[group.Spec]
		if !found {
			count = &PlacedReplicas{Group: group.Spec, FabricDomain: placement.Domain(), FailureDomain: placement.failureDomain(group.Name)}
			counts[group.Spec] = count
		}
		count.Count++
		if admits[group.Name] {
			count.Ready++
		}
		if spec, found := findSpec(groups, group.Spec); found && outdated(group, spec) {
			count.Outdated++
		}
	}
	var replicas []PlacedReplicas
	for _, count := range counts {
		replicas = append(replicas, *count)
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].Group < replicas[j].Group })
	return replicas
}

func (placement *Placement) failureDomain(group string) string {
	for _, vm := range placement.Members(group) {
		if vm != "" {
			return placement.vms[vm].FailureDomain
		}
	}
	return ""
}

func outdated(group Group, spec folder.Group) bool {
	return group.Model != spec.Model || group.Version != spec.Version
}

// demands combines the configuration with what all fabric domains hold.
func (leader *Leader) demands(placement *Placement, groups []GroupStatus) []Demand {
	shares := leader.division()
	var demands []Demand
	for _, spec := range byValue(leader.allSpecs(placement)) {
		demand := Demand{
			Group: spec,
			Share: shares.own[spec.Name],
			Total: shares.total[spec.Name],
			Keep:  leader.keep[spec.Name],
			Turn:  true,
		}
		for _, status := range groups {
			if status.Group.Spec != spec.Name || status.Group.State == StateReleased {
				continue
			}
			demand.Placed++
			if status.Complete && status.Group.State == StateReady {
				demand.Ready++
			}
		}
		for _, other := range leader.elsewhere.Replicas {
			if other.Group != spec.Name {
				continue
			}
			demand.Placed += other.Count
			demand.Ready += other.Ready
			if other.FabricDomain < leader.config.Domain && other.Outdated > 0 && other.Ready > 0 {
				demand.Turn = false
			}
		}
		demands = append(demands, demand)
	}
	if leader.filling() {
		leader.fillDemands(demands, groups)
	}
	return demands
}

// allSpecs adds the groups that the folder no longer has with 0 replicas.
func (leader *Leader) allSpecs(placement *Placement) []folder.Group {
	specs := append([]folder.Group(nil), leader.groups...)
	for _, group := range placement.Groups() {
		if _, found := findSpec(specs, group.Spec); !found {
			specs = append(specs, folder.Group{Name: group.Spec, Model: group.Model, Version: group.Version, Size: group.Size})
		}
	}
	return specs
}

func (leader *Leader) division() division {
	own := DomainSize{Name: leader.config.Domain}
	for _, vm := range leader.members {
		if !vm.listed {
			continue
		}
		own.FailureDomain = vm.vm.FailureDomain
		if !vm.leaving() {
			own.VMs++
		}
	}
	input := shareInput{groups: leader.groups, domains: append([]DomainSize{own}, leader.elsewhere.Domains...)}
	return input.divide(leader.config.Domain)
}
