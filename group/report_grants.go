package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
)

// GrantsFromReports returns the grants that follow from a placement record and the
// members' reports, for a node that receives the reports of all VMs. A group has a
// grant while its rank 0 reports open and every member reports its assignment at
// the recorded epoch. A member without a report counts as lost, unless it is not
// rank 0 and the record says that it is unlisted: the leader then asks it, and
// requests reach rank 0 only.
//
// The grants are valid until the given time, but the caller derives them again from
// later reports, and a report that contradicts a grant ends it.
func GrantsFromReports(placement *Placement, reports map[string]engine.Report, now, until time.Time) []GroupGrant {
	var grants []GroupGrant
	for _, group := range placement.Groups() {
		if group.State == StateReleased || !serving(placement, group, reports) {
			continue
		}
		grants = append(grants, GroupGrant{
			Grant: Grant{Group: group.Name, Epoch: group.Epoch, ReportedAt: now, ValidUntil: until},
			Open:  group.State != StateDraining,
		})
	}
	return grants
}

func serving(placement *Placement, group Group, reports map[string]engine.Report) bool {
	for rank, vm := range placement.Members(group.Name) {
		report, found := reports[vm]
		assignment, _ := placement.Assignment(vm)
		if !found && rank > 0 && assignment.Unlisted {
			continue
		}
		if !found || report.Incarnation != assignment.Incarnation {
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
