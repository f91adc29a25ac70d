package group

import (
	"sort"

	"lacewingspoke.org/lacewingspoke/folder"
)

// A Demand is the number of replicas of one of the folder's groups that a fabric
// domain should form, with the counts of the replicas that exist.
type Demand struct {
	Group folder.Group

	// Share is the number of replicas that this fabric domain should have.
	Share int

	// Total is the sum of the shares of all fabric domains. It is less than the
	// configured number of replicas when they do not all fit.
	Total int

	// Placed is the number of replicas in all fabric domains.
	Placed int

	// Ready is the number of serving replicas in all fabric domains.
	Ready int

	// Keep is the minimum of replicas that serve during a planned stop.
	Keep int

	// Converts are the replicas that the domain gives up so that their VMs form replicas of
	// another group, and Full is set as long as no other replica takes their place.
	Converts []string
	Full     bool

	// Turn is set when this domain may stop a replica for a new version. The
	// domains with outdated replicas take turns in the order of their names.
	Turn bool
}

// shareInput is the input of the division of replicas, which is equal for the
// leaders of all fabric domains.
type shareInput struct {
	groups  []folder.Group
	domains []DomainSize
}

// A division is the number of replicas of each group in one fabric domain and in
// all of them.
type division struct {
	own   map[string]int
	total map[string]int
}

// divide divides the configured replicas over the fabric domains and returns the
// share of one domain and the total for each group.
//
// Every leader computes the same division from the listed sizes, not from the
// reports, which only one of them reads. Therefore two leaders do not both form the
// same missing replica for long, and the share of an unreachable domain, whose VMs
// stay listed, does not move to other domains. Groups are divided in the order of
// their values and then names. Each replica goes to the failure domain with the
// fewest replicas of the group, and there to the fabric domain with the most VMs
// left, so that the spares are spread too. Replicas that do not fit are left out.
func (input shareInput) divide(domain string) division {
	remaining := append([]DomainSize(nil), input.domains...)
	sort.Slice(remaining, func(i, j int) bool { return remaining[i].Name < remaining[j].Name })
	result := division{own: map[string]int{}, total: map[string]int{}}
	for _, group := range byValue(input.groups) {
		spread := map[string]int{}
		for replica := 0; replica < group.Replicas; replica++ {
			index := pickDomain(remaining, spread, group.Size)
			if index < 0 {
				break
			}
			remaining[index].VMs -= group.Size
			spread[remaining[index].FailureDomain]++
			result.total[group.Name]++
			if remaining[index].Name == domain {
				result.own[group.Name]++
			}
		}
	}
	return result
}

// pickDomain returns the index of the domain for the next replica, or -1 if it
// fits into none.
func pickDomain(domains []DomainSize, spread map[string]int, size int) int {
	best := -1
	for index, domain := range domains {
		if size < 1 || domain.VMs < size {
			continue
		}
		if best < 0 || betterDomain(domain, domains[best], spread) {
			best = index
		}
	}
	return best
}

func betterDomain(one, other DomainSize, spread map[string]int) bool {
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
// grant that admit requests, and serviceOf is that of SpecOf.
func Summarize(placement *Placement, groups []folder.Group, serviceOf func(vm string) (string, bool), open []string) []PlacedReplicas {
	counts := map[string]*PlacedReplicas{}
	admits := map[string]bool{}
	for _, name := range open {
		admits[name] = true
	}
	for _, group := range placement.Groups() {
		if group.State == StateReleased {
			continue
		}
		spec, known := SpecOf(placement, group, groups, serviceOf)
		count, found := counts[spec.Name]
		if !found {
			count = &PlacedReplicas{Group: spec.Name, FabricDomain: placement.Domain(), FailureDomain: placement.failureDomain(group.Name)}
			counts[spec.Name] = count
		}
		count.Count++
		if admits[group.Name] {
			count.Ready++
		}
		if known && outdated(group, spec) {
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

// demands returns the demands of this domain for the groups of one service from the
// configuration and the replicas in all fabric domains. Those specs that are no longer in
// the folder have 0 replicas.
func (leader *Leader) demands(service string, specs []folder.Group, groups []GroupStatus) []Demand {
	shares := leader.division()
	var demands []Demand
	for _, spec := range byValue(specs) {
		demand := Demand{
			Group: spec,
			Share: shares.own[spec.Name],
			Total: shares.total[spec.Name],
			Keep:  leader.minReplicas[spec.Name],
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
		for _, other := range leader.otherDomains.Replicas {
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
	if leader.formsByShare() {
		leader.fillDemands(service, demands, groups)
		leader.splitDemands(leader.plannedAt, service, demands, groups)
	}
	return demands
}

// groupsOf returns the folder's groups that belong to a service.
func (leader *Leader) groupsOf(service string) []folder.Group {
	var specs []folder.Group
	for _, spec := range leader.groups {
		if spec.Service == service {
			specs = append(specs, spec)
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
	input := shareInput{groups: leader.groups, domains: append([]DomainSize{own}, leader.otherDomains.Domains...)}
	return input.divide(leader.config.Domain)
}
