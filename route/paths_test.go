package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestPaths returns paths to nine groups in three failure domains and to three runners
// of a plain service.
func newTestPaths() *Paths {
	paths := NewPaths()
	var targets []PathTarget
	for index := range 9 {
		targets = append(targets, PathTarget{ID: fmt.Sprint("g", index), FailureDomain: fmt.Sprint("zone-", index%3)})
	}
	for index := range 3 {
		targets = append(targets, PathTarget{Service: "desk", ID: fmt.Sprint("d", index), FailureDomain: fmt.Sprint("zone-", index)})
	}
	paths.SetTargets(targets)
	return paths
}

// Guards against the loss of one target, or of all targets of a failure domain, that
// counts as the loss of a service.
func TestFailuresOfTargetsAreNoLossOfTheirService(test *testing.T) {
	paths, now := newTestPaths(), time.Unix(1000, 0)
	for range 5 {
		require.False(test, paths.Failed("g0", now))
	}
	require.False(test, paths.Reached("g0"))
	require.True(test, paths.Reached("g1"))
	for _, id := range []string{"g0", "g3", "g6"} {
		require.False(test, paths.Failed(id, now), "all targets of one failure domain")
	}
	require.False(test, paths.Lost("g1"))
	require.False(test, paths.AnyLost())
}

// Guards against answers of some targets that do not contradict the loss of the others.
func TestAnswersBetweenFailuresAreNoLoss(test *testing.T) {
	paths, now := newTestPaths(), time.Unix(1000, 0)
	for index := range 9 {
		require.False(test, paths.Failed(fmt.Sprint("g", index), now))
		paths.Answered(fmt.Sprint("g", (index+1)%9), true, now)
	}
	require.False(test, paths.AnyLost())
}

// Guards against a lost service that is not noticed, or is not given back by a probe, and
// against a second service that each request must find lost again.
func TestLossAndReturnOfAService(test *testing.T) {
	paths, now := newTestPaths(), time.Unix(1000, 0)
	paths.Answered("d0", true, now)
	now = now.Add(time.Second)
	require.False(test, paths.Failed("g0", now))
	require.False(test, paths.Failed("g1", now))
	require.True(test, paths.Failed("g2", now))
	require.False(test, paths.Reached("g8"))
	require.False(test, paths.Reached("d1"), "it has not answered since the loss")
	probed := map[string]bool{}
	for range 20 {
		now = now.Add(serviceProbeInterval)
		for _, target := range paths.DueProbes(4, now) {
			probed[target.Service] = true
		}
	}
	require.Len(test, probed, 2)
	paths.Answered("d2", true, now)
	require.True(test, paths.Reached("d1"))
	require.False(test, paths.Reached("g8"))
	require.True(test, paths.Answered("g7", true, now))
	require.True(test, paths.Reached("g8"))
	require.False(test, paths.Reached("g0"), "it was unreached itself")
	paths.Answered("g0", true, now)
	require.True(test, paths.Reached("g0"))
}

// Guards against open connections that hide that no new ones are established, and against
// targets whose silence alone is a loss while others answer.
func TestOpenConnectionsDoNotProveNewOnes(test *testing.T) {
	paths, now := newTestPaths(), time.Unix(1000, 0)
	paths.Failed("g0", now)
	paths.Answered("g0", false, now)
	paths.Failed("g1", now)
	paths.Answered("g1", false, now)
	require.True(test, paths.Failed("g2", now))

	paths = newTestPaths()
	paths.Silent("g0", now)
	paths.Silent("g1", now)
	paths.Answered("g5", false, now)
	require.False(test, paths.Silent("g2", now))
	require.False(test, paths.Silent("g3", now))
	require.True(test, paths.Silent("g4", now))
}

// Guards against a service with fewer targets than the evidence for a loss, and against
// state of targets that have left.
func TestLossOfAServiceWithFewTargets(test *testing.T) {
	paths, now := NewPaths(), time.Unix(1000, 0)
	paths.SetTargets([]PathTarget{{Service: "desk", ID: "d0", FailureDomain: "zone-0"}})
	require.True(test, paths.Failed("d0", now))
	paths.SetTargets([]PathTarget{{Service: "other", ID: "o0", FailureDomain: "zone-0"}})
	require.False(test, paths.AnyLost())
	require.True(test, paths.Reached("d0"), "an unknown target has no record")
	require.Empty(test, paths.DueProbes(4, now.Add(time.Hour)))
}
