package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// Guards against a new leader that assumes a count of zero for engines to which
// another node has already sent orders. The engines would refuse its first
// orders, which delayed each takeover by half a second in incident inc-54c9.
func TestOrderCountOfUnknownEngineIsNotAssumed(test *testing.T) {
	counts := newOrderCounts()
	require.False(test, counts.lookup("vm", "1", false).known)
	require.Equal(test, orderCount{vm: "vm", incarnation: "1", known: true}, counts.lookup("vm", "1", true))
	counts.record(orderCount{vm: "vm", incarnation: "1", begun: 4, known: true})
	require.Equal(test, uint64(4), counts.lookup("vm", "1", false).begun)
	require.False(test, counts.lookup("vm", "2", true).known, "another incarnation has other orders")
	counts.retain(map[string]engine.Report{})
	require.False(test, counts.lookup("vm", "1", false).known)
}

// Guards against a count that includes an order that the engine did not begin,
// or that still counts as known after an order that the engine may have begun.
func TestOrderCountFollowsOutcome(test *testing.T) {
	count := orderCount{begun: 3, known: true}
	count.apply(engine.OrderAccepted{Begun: true})
	require.Equal(test, orderCount{begun: 4, known: true}, count)
	count.apply(engine.OrderAccepted{})
	require.Equal(test, orderCount{begun: 4, known: true}, count)
	for _, outcome := range []engine.OrderOutcome{engine.OrderRefused{}, engine.OrderUnknown{}, engine.OrderFenced{}} {
		count = orderCount{begun: 4, known: true}
		count.apply(outcome)
		require.False(test, count.known, "%T", outcome)
	}
}
