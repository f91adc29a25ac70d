package group

import "time"

// A Grant states that every member of a group at an epoch was live, loaded and
// unchanged at the report time. It is valid until ValidUntil. Both times are on the
// monotonic clock of the process that holds the grant.
type Grant struct {
	Group string
	Epoch uint64

	// ReportedAt is not later than the oldest of the member reports on which
	// the grant is based.
	ReportedAt time.Time
	ValidUntil time.Time
}

// Holds reports whether the grant is for the epoch and valid at now.
func (grant Grant) Holds(epoch uint64, now time.Time) bool {
	return grant.Epoch == epoch && now.Before(grant.ValidUntil)
}

// Confirms reports whether the grant shows that the group was complete at the
// epoch at or after a time.
func (grant Grant) Confirms(epoch uint64, at time.Time) bool {
	return grant.Epoch == epoch && !grant.ReportedAt.Before(at)
}

// A Load is the load that rank 0 of a group reported.
type Load struct {
	Running   int
	Queued    int
	FreeCache int
}
