package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// Guards against a new leader that takes engines for new to which another node
// has given orders: each first order would be refused (seen in incident
// inc-54c9 as half a second for each takeover).
func TestOrdersOfAnotherLeaderAreCountedFirst(test *testing.T) {
	counts := newOrderCounts()
	require.False(test, counts.known("vm", "1", false).known)
	require.Equal(test, orderCount{vm: "vm", incarnation: "1", known: true}, counts.known("vm", "1", true))
	counts.note(orderCount{vm: "vm", incarnation: "1", count: 4, known: true})
	require.Equal(test, uint64(4), counts.known("vm", "1", false).count)
	require.False(test, counts.known("vm", "2", true).known, "another incarnation has other orders")
	counts.retain(map[string]engine.Report{})
	require.False(test, counts.known("vm", "1", false).known)
}

// Guards against an order that is counted although the engine did not begin it,
// or not counted although it may have.
func TestCountFollowsTheOutcome(test *testing.T) {
	counted := orderCount{count: 3, known: true}
	counted.learn(engine.OrderAccepted{Begun: true})
	require.Equal(test, orderCount{count: 4, known: true}, counted)
	counted.learn(engine.OrderAccepted{})
	require.Equal(test, orderCount{count: 4, known: true}, counted)
	for _, outcome := range []engine.OrderOutcome{engine.OrderRefused{}, engine.OrderUnknown{}, engine.OrderFenced{}} {
		counted = orderCount{count: 4, known: true}
		counted.learn(outcome)
		require.False(test, counted.known, "%T", outcome)
	}
}
