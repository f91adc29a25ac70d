package group

import (
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// rankFault returns why the VM at a rank has to be replaced, or 0 if it has not. An
// unlisted rank 0 counts as missing, because the group receives no requests.
func (planner *planner) rankFault(status GroupStatus, rank int) RepairReason {
	name := status.Members[rank]
	vm, found := planner.vms[name]
	switch {
	case name == "" || !found || !vm.Live || vm.Unlisted && rank == 0:
		return RepairMissing
	case vm.Incarnation != status.Incarnations[rank]:
		return RepairRestarted
	default:
		return 0
	}
}

// faultyRanks returns the ranks whose VM is missing or was restarted.
func (planner *planner) faultyRanks(status GroupStatus) []int {
	var ranks []int
	for rank := range status.Members {
		if planner.rankFault(status, rank) != 0 {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// missingTime returns for how long the member that is missing longest has been
// missing.
func (planner *planner) missingTime(status GroupStatus, ranks []int) time.Duration {
	longest := time.Duration(0)
	for _, rank := range ranks {
		vm, found := planner.vms[status.Members[rank]]
		if !found || vm.Live || vm.Gone {
			return neverReturns
		}
		if vm.MissingSince.IsZero() {
			continue
		}
		longest = max(longest, planner.input.Now.Sub(vm.MissingSince))
	}
	return longest
}

// neverReturns is the missing time of a member that will not return in its old
// state. It exceeds every bound.
const neverReturns = time.Duration(1<<63 - 1)

// loadTime estimates how long one VM takes to load its weights.
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

// An incompleteGroup is a group with ranks whose VM is missing or was restarted.
type incompleteGroup struct {
	status     GroupStatus
	spec       folder.Group
	ranks      []int
	missingFor time.Duration
}

// incomplete returns the groups to repair: the most valuable first, and among
// equally valuable ones those with the fewest faulty ranks first.
func (planner *planner) incomplete() []incompleteGroup {
	var groups []incompleteGroup
	for _, status := range planner.input.Groups {
		state := status.Group.State
		if planner.changed[status.Group.Name] || state == StateDraining || state == StateReleased {
			continue
		}
		ranks := planner.faultyRanks(status)
		if len(ranks) == 0 {
			continue
		}
		groups = append(groups, incompleteGroup{
			status:     status,
			spec:       planner.demand(status.Group.Spec).Group,
			ranks:      ranks,
			missingFor: planner.missingTime(status, ranks),
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

// repair completes groups with spares. A group that the spares cannot complete
// gets none, so that no spare is left unused in an incomplete group.
func (planner *planner) repair() {
	for _, group := range planner.incomplete() {
		repairs, enough := planner.chooseRepairs(group)
		if !enough || group.missingFor < planner.grace(group.spec) {
			continue
		}
		name := group.status.Group.Name
		for _, repair := range repairs {
			planner.useSpare(repair.VM)
			planner.decide(name, repair)
		}
	}
}

// chooseRepairs chooses a VM for each faulty rank: the restarted member itself if
// it may join the group again, else a spare. It returns false when there are too
// few spares.
func (planner *planner) chooseRepairs(group incompleteGroup) ([]Repair, bool) {
	var repairs []Repair
	spares := planner.candidates(group.status.Group.Model)
	next := 0
	for _, rank := range group.ranks {
		member := group.status.Members[rank]
		repair := Repair{Group: group.status.Group.Name, Rank: rank, VM: member, Replaced: member, Reason: RepairRestarted}
		if planner.needsSpare(group, rank) || planner.vms[member].Leaving {
			if next == len(spares) {
				return nil, false
			}
			repair.VM = spares[next]
			repair.Reason = RepairMissing
			next++
		}
		repairs = append(repairs, repair)
	}
	return repairs, true
}

func (planner *planner) useSpare(vm string) {
	for index, spare := range planner.spares {
		if spare == vm {
			planner.spares = append(planner.spares[:index:index], planner.spares[index+1:]...)
			return
		}
	}
}

// dissolve frees the members of one incomplete group to complete a group that is
// at least as valuable. VMs that are about to become spares count as spares, so
// that one shortage dissolves only one group.
func (planner *planner) dissolve() {
	groups := planner.incomplete()
	for index, recipient := range groups {
		needed := planner.sparesNeeded(recipient) - len(planner.spares) - planner.incoming
		if needed <= 0 || planner.changed[recipient.status.Group.Name] {
			continue
		}
		donor, found := planner.donor(groups[index+1:], needed)
		if !found || !planner.worthDissolving(recipient, donor) {
			continue
		}
		name := donor.status.Group.Name
		planner.decide(name, Dissolve{Group: name, For: recipient.status.Group.Name})
		planner.changed[recipient.status.Group.Name] = true
		return
	}
}

// sparesNeeded counts the ranks that need a spare.
func (planner *planner) sparesNeeded(group incompleteGroup) int {
	count := 0
	for _, rank := range group.ranks {
		if planner.needsSpare(group, rank) {
			count++
		}
	}
	return count
}

// needsSpare reports whether a rank needs a spare.
func (planner *planner) needsSpare(group incompleteGroup, rank int) bool {
	if planner.rankFault(group.status, rank) == RepairMissing {
		return true
	}
	return !planner.mayJoin(group.status.Members[rank], group.status.Group.Model)
}

// reusableMembers counts the members that another group could use.
func (planner *planner) reusableMembers(group incompleteGroup) int {
	count := 0
	for rank := range group.status.Members {
		vm := planner.vms[group.status.Members[rank]]
		if planner.rankFault(group.status, rank) != RepairMissing && !vm.Leaving && !vm.Straggler {
			count++
		}
	}
	return count
}

// donor returns the least valuable candidate that frees enough VMs. Among equally
// valuable ones it prefers the group with the most faulty ranks, then the least
// loaded.
func (planner *planner) donor(candidates []incompleteGroup, needed int) (incompleteGroup, bool) {
	var best incompleteGroup
	found := false
	for _, candidate := range candidates {
		if planner.changed[candidate.status.Group.Name] || planner.reusableMembers(candidate) < needed || planner.sparesNeeded(candidate) == 0 {
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

// worthDissolving reports whether waiting costs more than dissolving, in weighted
// costs. Waiting costs the recipient's downtime and its stranded accelerators for as
// long again as its members have been missing, which is the expectation for the
// heavy-tailed repair times of VMs. Dissolving costs the load of the recipient's new
// members now and the load of every member of the donor later. The donor would
// need fewer loads if it waited.
func (planner *planner) worthDissolving(recipient, donor incompleteGroup) bool {
	waited := min(recipient.missingFor, donor.missingFor)
	if waited == neverReturns {
		return true
	}
	accelerators := planner.healthyAccelerators(recipient)
	rate := planner.input.DowntimeWeight + planner.input.StrandedWeight*accelerators
	loads := planner.loadTime(recipient.spec).Seconds()
	reloads := planner.loadTime(donor.spec).Seconds() * float64(planner.reusableMembers(donor))
	again := planner.input.DowntimeWeight + planner.input.StrandedWeight*planner.healthyAccelerators(donor)/2
	return rate*waited.Seconds() > rate*loads+again*reloads/float64(max(donor.spec.Size, 1))
}

// healthyAccelerators counts the accelerators of a group's healthy members.
func (planner *planner) healthyAccelerators(group incompleteGroup) float64 {
	total := 0
	for rank, name := range group.status.Members {
		if planner.rankFault(group.status, rank) == 0 {
			total += planner.vms[name].Accelerators
		}
	}
	return float64(total)
}

// reservedSpares counts the spares that groups will take for their repair when
// the wait for paused members is over.
func (planner *planner) reservedSpares() int {
	reserved := 0
	for _, group := range planner.incomplete() {
		needed := planner.sparesNeeded(group)
		if needed <= len(planner.spares)-reserved {
			reserved += needed
		}
	}
	return reserved
}
