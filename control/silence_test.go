package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rank 0 that runs streams and is out of its leader's sight after one probe
// round (200 ms) without an answer: its members leave at once.
func TestHeldRank0OutlastsOneSilentRound(test *testing.T) {
	now := time.Now()
	state := newTestFeed(test, now)
	state.handleFeed(now, TargetsChanged{Removed: []string{"a"}})
	answer := probeAnswer{probedTarget: newProbedTarget(testMember("a", 0).VM), responded: true, report: testMember("a", 0).Report}
	state.handleLapsedResult(now, lapsedResult{answers: []probeAnswer{answer}})
	at := now.Add(testLapseGrace)
	state.handleLapsedResult(at, lapsedResult{answers: []probeAnswer{answer}})
	state.expireTargets(at)
	require.Contains(test, state.feed.reports, "a")
	answer.responded = false
	state.handleLapsedResult(at.Add(lapsedInterval), lapsedResult{answers: []probeAnswer{answer}})
	require.Contains(test, state.feed.reports, "a", "lapsedHold is 1.5 s: two further requests may be lost")
}
