package group

import (
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// seatFault is what is wrong with a seat, 0 for nothing.
func (planner *planner) seatFault(status GroupStatus, rank int) RepairReason {
	name := status.Members[rank]
	vm, found := planner.vms[name]
	switch {
	case name == "" || !found || !vm.Live:
		return RepairMissing
	case vm.Incarnation != status.Incarnations[rank]:
		return RepairRestarted
	default:
		return 0
	}
}

// faults returns the ranks that need another composition.
func (planner *planner) faults(status GroupStatus) []int {
	var ranks []int
	for rank := range status.Members {
		if planner.seatFault(status, rank) != 0 {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// waited returns how long the longest missing member of a group is missing.
func (planner *planner) waited(status GroupStatus, ranks []int) time.Duration {
	longest := time.Duration(0)
	for _, rank := range ranks {
		vm, found := planner.vms[status.Members[rank]]
		if !found || vm.Live || vm.Gone {
			return patienceOver
		}
		if vm.MissingSince.IsZero() {
			continue
		}
		longest = max(longest, planner.input.Now.Sub(vm.MissingSince))
	}
	return longest
}

// patienceOver is a wait that exceeds every bound: the member does not return
// as it was.
const patienceOver = time.Duration(1<<63 - 1)

// loadTime estimates how long one VM's weights take.
func (planner *planner) loadTime(spec folder.Group) time.Duration {
	if spec.WeightBytes <= 0 || planner.input.WeightRate <= 0 {
		return defaultLoadTime
	}
	seconds := float64(spec.WeightBytes) / float64(planner.input.WeightRate)
	return time.Duration(seconds * float64(time.Second))
}

func (planner *planner) grace(spec folder.Group) time.Duration {
	return min(planner.loadTime(spec)/graceDivisor, maxGrace)
}

// An incompleteGroup is a group with seats that need another VM.
type incompleteGroup struct {
	status GroupStatus
	spec   folder.Group
	ranks  []int
	waited time.Duration
}

// incomplete returns the groups to repair: the most valuable first, then the
// one that needs the fewest VMs.
func (planner *planner) incomplete() []incompleteGroup {
	var groups []incompleteGroup
	for _, status := range planner.input.Groups {
		state := status.Group.State
		if planner.touched[status.Group.Name] || state == StateDraining || state == StateReleased {
			continue
		}
		ranks := planner.faults(status)
		if len(ranks) == 0 {
			continue
		}
		groups = append(groups, incompleteGroup{
			status: status,
			spec:   planner.demand(status.Group.Spec).Group,
			ranks:  ranks,
			waited: planner.waited(status, ranks),
		})
	}
	sort.SliceStable(groups, func(i, j int) bool {
		if groups[i].spec.Value != groups[j].spec.Value {
			return groups[i].spec.Value > groups[j].spec.Value
		}
		return len(groups[i].ranks) < len(groups[j].ranks)
	})
	return groups
}

// repair completes groups with spares. A group that the spares cannot
// complete gets none, so that no spare is stranded in it.
func (planner *planner) repair() {
	for _, group := range planner.incomplete() {
		seats, enough := planner.seats(group)
		if !enough || group.waited < planner.grace(group.spec) {
			continue
		}
		name := group.status.Group.Name
		for _, seat := range seats {
			planner.spend(seat.VM)
			planner.decide(name, seat)
		}
	}
}

// seats chooses a VM for each faulty rank: the restarted member itself when it
// is usable, else a spare.
func (planner *planner) seats(group incompleteGroup) ([]Repair, bool) {
	var seats []Repair
	spares := planner.candidates(group.status.Group.Model)
	next := 0
	for _, rank := range group.ranks {
		member := group.status.Members[rank]
		seat := Repair{Group: group.status.Group.Name, Rank: rank, VM: member, Replaced: member, Reason: RepairRestarted}
		if planner.lacks(group, rank) || planner.vms[member].Leaving {
			if next == len(spares) {
				return nil, false
			}
			seat.VM = spares[next]
			seat.Reason = RepairMissing
			next++
		}
		seats = append(seats, seat)
	}
	return seats, true
}

func (planner *planner) spend(vm string) {
	for index, spare := range planner.spares {
		if spare == vm {
			planner.spares = append(planner.spares[:index:index], planner.spares[index+1:]...)
			return
		}
	}
}

// dissolve frees the members of one incomplete group to complete a group that
// is at least as valuable. VMs that are on their way to be spares count as
// spares, so that one shortage dissolves one group.
func (planner *planner) dissolve() {
	groups := planner.incomplete()
	for index, target := range groups {
		lacking := planner.lacking(target) - len(planner.spares) - planner.incoming
		if lacking <= 0 || planner.touched[target.status.Group.Name] {
			continue
		}
		victim, found := planner.donor(groups[index+1:], lacking)
		if !found || !planner.worthDissolving(target, victim) {
			continue
		}
		name := victim.status.Group.Name
		planner.decide(name, Dissolve{Group: name, For: target.status.Group.Name})
		planner.touched[target.status.Group.Name] = true
		return
	}
}

// lacking counts the ranks that need a spare.
func (planner *planner) lacking(group incompleteGroup) int {
	count := 0
	for _, rank := range group.ranks {
		if planner.lacks(group, rank) {
			count++
		}
	}
	return count
}

// lacks reports whether a rank needs a spare.
func (planner *planner) lacks(group incompleteGroup, rank int) bool {
	if planner.seatFault(group.status, rank) == RepairMissing {
		return true
	}
	return !planner.joins(group.status.Members[rank], group.status.Group.Model)
}

// usable counts the members that another group could take over.
func (planner *planner) usable(group incompleteGroup) int {
	count := 0
	for rank := range group.status.Members {
		vm := planner.vms[group.status.Members[rank]]
		if planner.seatFault(group.status, rank) != RepairMissing && !vm.Leaving && !vm.Straggler {
			count++
		}
	}
	return count
}

// donor returns the least valuable candidate that frees enough VMs: of equal
// value the one that lacks the most members, then the least loaded.
func (planner *planner) donor(candidates []incompleteGroup, lacking int) (incompleteGroup, bool) {
	var best incompleteGroup
	found := false
	for _, candidate := range candidates {
		if planner.touched[candidate.status.Group.Name] || planner.usable(candidate) < lacking || planner.lacking(candidate) == 0 {
			continue
		}
		if !found || betterDonor(candidate, best) {
			best = candidate
			found = true
		}
	}
	return best, found
}

func betterDonor(one, other incompleteGroup) bool {
	if one.spec.Value != other.spec.Value {
		return one.spec.Value < other.spec.Value
	}
	if len(one.ranks) != len(other.ranks) {
		return len(one.ranks) > len(other.ranks)
	}
	return one.status.Load < other.status.Load
}

// worthDissolving compares the weighted costs. Waiting costs the target's
// downtime and its stranded accelerators for as long again as its members have
// been missing, which is the expectation for the heavy-tailed repair times of
// VMs. Dissolving costs the load of the target's new members now, and later
// the load of every member of the victim, which would need fewer if it had
// waited.
func (planner *planner) worthDissolving(target, victim incompleteGroup) bool {
	waited := min(target.waited, victim.waited)
	if waited == patienceOver {
		return true
	}
	accelerators := planner.accelerators(target)
	rate := planner.input.DowntimeWeight + planner.input.StrandedWeight*accelerators
	loads := planner.loadTime(target.spec).Seconds()
	reloads := planner.loadTime(victim.spec).Seconds() * float64(planner.usable(victim))
	again := planner.input.DowntimeWeight + planner.input.StrandedWeight*planner.accelerators(victim)/2
	return rate*waited.Seconds() > rate*loads+again*reloads/float64(max(victim.spec.Size, 1))
}

// accelerators returns the accelerators of a group's healthy members.
func (planner *planner) accelerators(group incompleteGroup) float64 {
	total := 0
	for rank, name := range group.status.Members {
		if planner.seatFault(group.status, rank) == 0 {
			total += planner.vms[name].Accelerators
		}
	}
	return float64(total)
}

// reserved counts the spares that repairs wait to use after their grace.
func (planner *planner) reserved() int {
	reserved := 0
	for _, group := range planner.incomplete() {
		lacking := planner.lacking(group)
		if lacking <= len(planner.spares)-reserved {
			reserved += lacking
		}
	}
	return reserved
}
