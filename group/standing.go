package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
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
