package control

import (
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
)

const (
	// observeAfter is the time without grants after which a node publishes the
	// grants of a fabric domain in place of its leader. It is longer than the
	// default grant bound.
	observeAfter = 2 * time.Second

	// observeStep is the additional delay of each candidate after the one before
	// it in the order of Fleet.Rank, so that normally only the first one starts to
	// publish.
	observeStep = 500 * time.Millisecond
)

// observeDomains publishes the grants of fabric domains whose leader is
// unreachable while the store is unreachable too: no other node can acquire
// the lease, but publishing grants needs none. Once the store responds again,
// it stops publishing for domains that another node leads.
func (state *state) observeDomains(now time.Time) {
	if !state.storeUnreachable(now) {
		state.endObservations(now)
		return
	}
	if state.configuration.folder == nil || state.stopping {
		return
	}
	for name, domain := range state.domains {
		if state.mayObserve(now, name, domain) {
			state.observe(now, name, domain)
		}
	}
}

func (state *state) mayObserve(now time.Time, name string, domain *domainState) bool {
	if _, led := state.leaderships[name]; led || domain.placement == nil {
		return false
	}
	rank, found := state.fleet.Rank(name)
	if !found {
		return false
	}
	missing := now.Sub(later(domain.grantsReceivedAt, state.startedAt))
	return missing > observeAfter+time.Duration(rank)*observeStep
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func (state *state) observe(now time.Time, name string, domain *domainState) {
	state.logger.Warn("store and leader unreachable; publishing grants of fabric domain in place of its leader", zap.String("domain", name))
	leadership := state.beginTerm(now, name)
	leadership.withoutLease = true
	state.handleGroup(now, leadership, group.Observe{PlacementRead: group.PlacementRead{
		Record:   domain.record,
		Revision: domain.revision,
	}})
}

// endObservations ends the terms without a lease of fabric domains that another
// node leads according to the store.
func (state *state) endObservations(now time.Time) {
	for name, leadership := range state.leaderships {
		if !leadership.withoutLease {
			continue
		}
		leader, found := state.fleet.LeaderOf(name)
		if found && leader.Node != state.config.Name {
			state.endTerm(now, leadership)
		}
	}
}
