package control

import (
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
)

const (
	// observeAfter is how long a fabric domain is without grants before a node
	// stands in for its leader. It is longer than the default grant bound.
	observeAfter = 2 * time.Second

	// observeStep delays each candidate behind the one before it, so that one
	// observer is enough.
	observeStep = 500 * time.Millisecond
)

// observeDomains stands in for leaders that died while the store does not
// answer: nobody can take their leases, but grants need none. It ends the
// standing in when another node leads again.
func (state *state) observeDomains(now time.Time) {
	if !state.storeSilent(now) {
		state.endObservations(now)
		return
	}
	if state.configuration.folder == nil || state.stopping {
		return
	}
	for name, known := range state.domains {
		if state.mayObserve(now, name, known) {
			state.observe(now, name, known)
		}
	}
}

func (state *state) mayObserve(now time.Time, name string, known *domain) bool {
	if _, led := state.led[name]; led || known.placement == nil {
		return false
	}
	rank, found := state.fleet.Rank(name)
	if !found {
		return false
	}
	silent := now.Sub(later(known.grantedAt, state.startedAt))
	return silent > observeAfter+time.Duration(rank)*observeStep
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func (state *state) observe(now time.Time, name string, known *domain) {
	state.logger.Warn("publishing grants in place of the fabric domain's leader", zap.String("domain", name))
	led := state.beginTerm(now, name)
	led.severed = true
	state.handleGroup(now, led, group.Observe{PlacementRead: group.PlacementRead{
		Record:   known.record,
		Revision: known.revision,
	}})
}

// endObservations ends the terms without a lease of domains that another node
// leads according to the store.
func (state *state) endObservations(now time.Time) {
	for name, led := range state.led {
		if !led.severed {
			continue
		}
		leader, found := state.fleet.LeaderOf(name)
		if found && leader.Node != state.config.Name {
			state.endTerm(now, led)
		}
	}
}
