package route

// An Exclusion is why a target does not receive a request, empty if it may. The names are
// printed by the operators' command explain.
type Exclusion string

// The exclusions by the picker.
const (
	// ExcludedByRequest is that of targets which the request's own reasons exclude.
	ExcludedByRequest Exclusion = "excluded"

	// ExcludedClosed is that of targets which receive no new requests, for example because
	// they drain.
	ExcludedClosed Exclusion = "not-open"

	// ExcludedGrant is that of groups without a valid grant.
	ExcludedGrant Exclusion = "no-grant"

	// ExcludedSuspect is that of targets which failed lately, while others have not.
	ExcludedSuspect Exclusion = "suspect"
)

// The exclusions by the user of the picker.
const (
	// ExcludedEvacuated is that of targets in an evacuated failure domain, which are not open.
	ExcludedEvacuated Exclusion = "evacuated"

	ExcludedLeaving Exclusion = "leaving"
	ExcludedResting Exclusion = "resting"

	// ExcludedLimit is that of targets at the limit of requests that they name, ExcludedCold
	// that of targets which have just started and have all the requests that they may.
	ExcludedLimit Exclusion = "limit"
	ExcludedCold  Exclusion = "cold"

	// ExcludedFull is that of targets without a place, ExcludedLate that of groups whose
	// first event is predicted after the bound.
	ExcludedFull Exclusion = "full"
	ExcludedLate Exclusion = "late"
)
