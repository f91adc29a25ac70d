package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxEvacuations bounds the failure domains that count as evacuated. It is far above the
// number that a deployment has: 7 in docs/design.md.
const maxEvacuations = 256

// An Evacuation is a failure domain to whose targets the operators want no requests.
type Evacuation struct {
	FailureDomain string

	// Before is the latest time at which the store is known not to have had the evacuation,
	// so that the operators have requested it later. It is zero if there is none.
	Before time.Time
}

// Evacuations is the set of evacuated failure domains, as the store holds it. A node without
// contact to the store keeps the last set. A store that returns from an older copy may lack
// an evacuation: it stays in the set for rewriteTime, in which the operator writes again
// what the copy lacks. It is not safe for concurrent use.
type Evacuations struct {
	domains map[string]Evacuation

	// doubtful holds the domains that an older copy of the store lacks, and until when they
	// stay in the set.
	doubtful map[string]time.Time

	// era is that of the last listing, 0 before the first one, and readAt a time at which the
	// store is known to have held the set.
	era    uint64
	readAt time.Time
}

// NewEvacuations returns an empty set.
func NewEvacuations() *Evacuations {
	return &Evacuations{domains: map[string]Evacuation{}, doubtful: map[string]time.Time{}}
}

// List replaces the set with a complete listing of the store at a revision, which the store
// is known to have had at readAt.
func (evacuations *Evacuations) List(now, readAt time.Time, revision uint64, domains []string) {
	era := kvstore.Era(revision)
	copied := evacuations.era != 0 && era > evacuations.era
	evacuations.era = era
	for domain := range evacuations.domains {
		if _, doubtful := evacuations.doubtful[domain]; copied && !doubtful {
			evacuations.doubtful[domain] = now.Add(rewriteTime)
		}
	}
	maps.DeleteFunc(evacuations.domains, func(domain string, _ Evacuation) bool {
		_, doubtful := evacuations.doubtful[domain]
		return !doubtful && !slices.Contains(domains, domain)
	})
	evacuations.Change(now, readAt, domains, nil)
}

// Change updates the set with changes in the store, which is known to have had them, or to
// have had no others, at readAt.
func (evacuations *Evacuations) Change(now, readAt time.Time, put, removed []string) {
	for _, domain := range removed {
		delete(evacuations.doubtful, domain)
		delete(evacuations.domains, domain)
	}
	for _, domain := range put {
		delete(evacuations.doubtful, domain)
		if _, known := evacuations.domains[domain]; !known && len(evacuations.domains) < maxEvacuations {
			evacuations.domains[domain] = Evacuation{FailureDomain: domain, Before: evacuations.readAt}
		}
	}
	for domain, until := range evacuations.doubtful {
		if !now.Before(until) {
			delete(evacuations.doubtful, domain)
			delete(evacuations.domains, domain)
		}
	}
	if readAt.After(evacuations.readAt) {
		evacuations.readAt = readAt
	}
}

// All returns the set in the order of the domains.
func (evacuations *Evacuations) All() []Evacuation {
	return slices.SortedFunc(maps.Values(evacuations.domains), func(left, right Evacuation) int {
		return strings.Compare(left.FailureDomain, right.FailureDomain)
	})
}
