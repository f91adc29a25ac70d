package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
)

// Guards against nodes without a share of a target's limit that get no record when another
// node receives it, or its end.
func TestLimitIsToldToAllNodes(test *testing.T) {
	const rate = 1
	cluster := newGrantedCluster(test, 2, 5)
	awaitLimited := func(want int) {
		for _, running := range cluster.nodes {
			require.Eventually(test, func() bool { return running.limits.Limited() == want }, waitBound, waitTick, running.name)
		}
	}
	var told *node
	require.Eventually(test, func() bool {
		for _, running := range cluster.nodes {
			now := time.Now()
			named, changed := running.limits.Observe("t", rate, now, now).(limit.LimitNamed)
			if changed && named.Share == 1 {
				told = running
				return true
			}
			running.limits.Observe("t", 0, now.Add(time.Millisecond), now.Add(time.Millisecond))
		}
		return false
	}, waitBound, waitTick, "no node has a part of the share")
	awaitLimited(1)
	now := time.Now()
	require.IsType(test, limit.LimitEnded{}, told.limits.Observe("t", 0, now, now.Add(time.Millisecond)))
	awaitLimited(0)
}
