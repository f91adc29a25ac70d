package control

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// silentEngines are engines that this node does not reach.
type silentEngines struct{}

func (silentEngines) Report(context.Context, string) (engine.Report, error) {
	return engine.Report{}, errors.Timeoutf("report")
}

func (silentEngines) SendOrder(context.Context, string, engine.Order) engine.OrderOutcome {
	return engine.OrderUnknown{Err: errors.Timeoutf("order")}
}

// probeMembers has both members of the group g probed and handles the result. Other nodes
// reach the targets in reached.
func probeMembers(test *testing.T, now time.Time, reached []string) *state {
	state := newTestFeed(test, now)
	state.config.Engines = silentEngines{}
	state.config.AskReached = func(context.Context, string, []string) ([]string, error) { return reached, nil }
	state.storeReachedAt = now
	targets := []probedTarget{newProbedTarget(testMember("a", 0).VM), newProbedTarget(testMember("b", 1).VM)}
	result := probeResult{group: "g", domain: "d0"}
	for _, answer := range state.probeAll(context.Background(), targets, []string{"10.0.0.9:80"}) {
		require.False(test, answer.responded)
		if answer.byOthers {
			result.byOthers = append(result.byOthers, answer.vm)
		} else {
			result.unresponsive = append(result.unresponsive, answer.vm)
		}
	}
	state.handleProbeResult(now, result)
	return state
}

// Guards against a leader that takes its own partition from sound members for their loss
// and dissolves their group (incident inc1 of RECOVER), and against one that goes on
// leading a fabric domain that it does not reach.
func TestMembersThatOtherNodesReachAreNotLost(test *testing.T) {
	now := time.Now()
	state := probeMembers(test, now, []string{"a", "b"})
	require.True(test, serves(state, now))
	require.Empty(test, state.feed.unresponsive)
	require.Contains(test, state.feed.detached, "d0")

	state.handleDomainProbed(now, domainProbed{domain: "d0", answers: []probeAnswer{{byOthers: true}}})
	require.Contains(test, state.feed.detached, "d0")
	state.handleDomainProbed(now, domainProbed{domain: "d0", answers: []probeAnswer{{responded: true}}})
	require.Empty(test, state.feed.detached)
}

// Guards against a lost member that stays in its group because nodes are asked about it.
func TestMembersThatNoNodeReachesAreLost(test *testing.T) {
	now := time.Now()
	state := probeMembers(test, now, nil)
	require.False(test, serves(state, now))
	require.Len(test, state.feed.unresponsive, 2)
	require.Empty(test, state.feed.detached)
}

// Guards against groups that are dissolved when no node reaches any target: what failed is
// the network between all nodes and all targets.
func TestMembersAreNotLostWhenNothingIsReached(test *testing.T) {
	now := time.Now()
	state := newTestFeed(test, now)
	state.storeReachedAt = now
	state.handleProbeResult(now, probeResult{group: "g", domain: "d0", unresponsive: []string{"a", "b"}, noneReached: true})
	require.True(test, serves(state, now))
	require.Empty(test, state.feed.unresponsive)
}
