package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
)

// Standing returns the grants that follow from a placement record and from the
// members' reports, for a node that sees all reports itself. A group stands
// while its rank 0 says that it is open at the recorded epoch and every member
// that reports is still in it. A member without a report is lost.
//
// The grants hold until the time given: what ends them is the next report.
func Standing(placement *Placement, reports map[string]engine.Report, now, until time.Time) []GroupGrant {
	var grants []GroupGrant
	for _, group := range placement.Groups() {
		if group.State == StateReleased || !stands(placement, group, reports) {
			continue
		}
		grants = append(grants, GroupGrant{
			Grant: Grant{Group: group.Name, Epoch: group.Epoch, ReportedAt: now, ValidUntil: until},
			Open:  group.State != StateDraining,
		})
	}
	return grants
}

func stands(placement *Placement, group Group, reports map[string]engine.Report) bool {
	for rank, vm := range placement.Members(group.Name) {
		report, found := reports[vm]
		seat, _ := placement.Assignment(vm)
		if !found || report.Incarnation != seat.Incarnation {
			return false
		}
		if report.Group != group.Name || report.Epoch != group.Epoch || report.Rank != rank {
			return false
		}
		if rank == 0 && report.State != engine.StateOpen {
			return false
		}
	}
	return group.Size > 0
}

// A Wish is a group with its part of the VMs.
type Wish struct {
	Group folder.Group
	Share float64
}

const (
	// spareDivisor keeps a fifth of each fabric domain as spares: a group that
	// loses a member serves again within a second or two when a spare is at
	// hand, and after a load from the weight store when none is.
	spareDivisor = 5
)

// Fit returns the wished groups with as many replicas as the fabric domains
// hold beside their spares. Replicas are divided in proportion to share and
// size. A domain that is too small for spares is filled.
func Fit(wishes []Wish, domains []DomainSize) []folder.Group {
	counts := make([]int, len(wishes))
	for _, domain := range domains {
		room := domain.VMs - (domain.VMs+spareDivisor-1)/spareDivisor
		if index := scarcestWish(wishes, counts, room); index < 0 {
			room = domain.VMs
		}
		for {
			index := scarcestWish(wishes, counts, room)
			if index < 0 {
				break
			}
			counts[index]++
			room -= wishes[index].Group.Size
		}
	}
	groups := make([]folder.Group, len(wishes))
	for index, wish := range wishes {
		groups[index] = wish.Group
		groups[index].Replicas = counts[index]
	}
	return groups
}

// scarcestWish returns the index of the wish that fits and is farthest below
// its proportion, -1 for none.
func scarcestWish(wishes []Wish, counts []int, room int) int {
	best := -1
	lowest := 0.0
	for index, wish := range wishes {
		if wish.Group.Size < 1 || wish.Group.Size > room || wish.Share <= 0 {
			continue
		}
		filled := float64(counts[index]*wish.Group.Size) / wish.Share
		if best < 0 || filled < lowest {
			best = index
			lowest = filled
		}
	}
	return best
}
