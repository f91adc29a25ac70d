package group

import "time"

// A Grant says that every member of a group at an epoch was alive, loaded and
// unchanged at the report time, and may be relied on until the end of its
// validity. Both times are on the monotonic clock of the process that holds
// the grant.
type Grant struct {
	Group string
	Epoch uint64

	// ReportedAt is not later than the oldest member report the grant rests on.
	ReportedAt time.Time
	ValidUntil time.Time
}

// Holds reports whether the grant is for the epoch and valid at now.
func (grant Grant) Holds(epoch uint64, now time.Time) bool {
	return grant.Epoch == epoch && now.Before(grant.ValidUntil)
}

// Confirms reports whether the grant proves that the group was complete at a
// time.
func (grant Grant) Confirms(epoch uint64, at time.Time) bool {
	return grant.Epoch == epoch && !grant.ReportedAt.Before(at)
}

// A Load is what rank 0 of a group reported of its work.
type Load struct {
	Running   int
	Queued    int
	FreeCache int
}
