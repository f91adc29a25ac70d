package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/route"
)

// leavingTraffic is traffic in which a target said that it leaves.
type leavingTraffic struct {
	Traffic
	leaving []route.LeavingTarget
}

func (traffic leavingTraffic) TakeLeaving() []route.LeavingTarget { return traffic.leaving }

// Guards against a group that stays open after one of its members has said that it leaves:
// in an answer to a request, to a probe or to an order.
func TestMemberThatSaysThatItLeavesClosesItsGroup(test *testing.T) {
	now := time.Now()
	for name, say := range map[string]func(state *state){
		"request": func(state *state) {
			state.config.Traffic = leavingTraffic{Traffic: state.config.Traffic, leaving: []route.LeavingTarget{{Target: "b", Incarnation: "1"}}}
			state.recordLeavingTargets(now)
		},
		"probe": func(state *state) {
			state.handleProbeResult(now, probeResult{group: "g", domain: "d0", answers: []probeAnswer{{
				probedTarget: probedTarget{vm: "b"}, responded: true, report: engine.Report{Leaving: true},
			}}})
		},
		"order": func(state *state) {
			count := orderCount{vm: "b", incarnation: "1"}
			count.apply(engine.OrderRefused{Leaving: true})
			state.handleGroupResult(now, groupResult{domain: "d0", orderCount: count})
		},
	} {
		test.Run(name, func(test *testing.T) {
			state := newTestFeed(test, now)
			require.True(test, serves(state, now))
			say(state)
			require.False(test, serves(state, now))
			require.True(test, state.isDraining("b", "1"))
		})
	}
}
