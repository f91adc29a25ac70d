package control

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// newTestTerm returns a state that has begun to lead a fabric domain. Its directory has never
// contained the removed member of the group g, whose announcement expired before.
func newTestTerm(test *testing.T, now time.Time, removed string) (*state, *leadership) {
	state := newTestFeed(test, now)
	state.feed.directory = directory.New(directory.Config{LapseGrace: testLapseGrace})
	var listed []directory.Target
	for rank, name := range []string{"a", "b"} {
		if name != removed {
			listed = append(listed, testMember(name, rank))
		}
	}
	state.handleFeed(now, TargetsListed{Targets: listed})
	leadership := state.beginTerm(now, "d0")
	leadership.leader.Handle(now, group.LeaseHeld{Until: now.Add(time.Minute)})
	for _, effect := range leadership.leader.Handle(now, group.PlacementRead{Record: testPlacement(false), Revision: 1}) {
		if commit, found := effect.(group.Commit); found {
			state.handleGroup(now, leadership, group.CommitDone{ID: commit.ID, Outcome: kvstore.Written{Revision: 2}})
		}
	}
	require.True(test, leadership.leader.Leading())
	return state, leadership
}

// absentResult returns the answer of the member of a group that is not in the directory.
func absentResult(state *state, leadership *leadership, name string, report engine.Report) placedResult {
	targets := state.absentMembers("d0", leadership.leader.Placement())
	return placedResult{domain: "d0", term: leadership.term, targets: targets, answers: []probeAnswer{{
		probedTarget: newProbedTarget(targets[name].VM), responded: true, report: report,
	}}}
}

// A member left the list before this node started and still serves its group (soak of planned
// stops, seed 1). Guards against a new leader that takes it for lost, against one that sends
// new requests to such a rank 0, and against one that uses another target at its address.
func TestNewLeaderHoldsPlacedMembersThatItNeverSawListed(test *testing.T) {
	now := time.Now()
	for name, rank := range map[string]int{"a": 0, "b": 1} {
		test.Run(name, func(test *testing.T) {
			state, leadership := newTestTerm(test, now, name)
			require.NotContains(test, state.vms, name)
			report := testMember(name, rank).Report
			report.VM = ""

			other := report
			other.Incarnation = "2"
			state.handlePlacedResult(now, absentResult(state, leadership, name, other))
			require.NotContains(test, state.vms, name, "another incarnation is held")
			idle := report
			idle.Group, idle.State = "", engine.StateIdle
			state.handlePlacedResult(now, absentResult(state, leadership, name, idle))
			require.NotContains(test, state.vms, name, "a target in no group is held")

			state.handlePlacedResult(now, absentResult(state, leadership, name, report))
			require.Equal(test, kvstore.VMUnlisted, state.vms[name].State)
			require.Equal(test, testMember(name, rank).VM.Address, state.vms[name].Address)
			require.Equal(test, testMember(name, rank).Report, state.feed.reports[name])
			require.Equal(test, rank > 0, serves(state, now), "only rank 0 receives requests")
			require.Len(test, state.feed.directory.Lapsed(), 1, "the target is not asked again")

			state.handleFeed(now, TargetsChanged{Put: []directory.Target{testMember(name, rank)}})
			require.Equal(test, kvstore.VMLive, state.vms[name].State, "the platform's list does not win")
			require.True(test, serves(state, now))
			require.Empty(test, state.feed.directory.Lapsed())
		})
	}
}

// Guards against an answer that arrives after the platform has listed the target again.
func TestListedTargetIsNotReplacedByALateAnswer(test *testing.T) {
	now := time.Now()
	state, leadership := newTestTerm(test, now, "b")
	result := absentResult(state, leadership, "b", testMember("b", 1).Report)
	returned := testMember("b", 1)
	returned.VM.Incarnation, returned.Report = "2", engine.Report{VM: "b", Incarnation: "2", State: engine.StateIdle}
	state.handleFeed(now, TargetsChanged{Put: []directory.Target{returned}})
	state.handlePlacedResult(now, result)
	require.Equal(test, "2", state.vms["b"].Incarnation)
	require.Equal(test, kvstore.VMLive, state.vms["b"].State)
}

// Guards against a leader that asks the absent members with each change of the record, and
// against one that decides without their answers, or waits for them without a bound.
func TestNewLeaderWaitsForPlacedMembersOnce(test *testing.T) {
	now := time.Now()
	// The time for which each new leader collects reports has passed.
	later := now.Add(placedWait - 2*feedReportInterval)
	decides := func(at time.Time, leadership *leadership) bool {
		for _, effect := range leadership.leader.Handle(at, group.Tick{}) {
			switch effect.(type) {
			case group.Commit, group.SendOrder:
				return true
			}
		}
		return false
	}
	state, leadership := newTestTerm(test, now, "b")
	pending := state.pendingWorkers
	state.askPlaced(now, leadership)
	require.Equal(test, pending, state.pendingWorkers, "the absent member is asked again")
	require.False(test, decides(later, leadership), "the leader does not wait")
	for answered := false; !answered; {
		require.NotZero(test, state.pendingWorkers, "the absent member is not asked")
		result := <-state.controller.results
		_, answered = result.(placedResult)
		state.handleMessage(later, result)
	}
	state.handleGroup(later.Add(feedReportInterval), leadership, group.Tick{})
	state.awaitWorkers()
	require.NotEmpty(test, state.config.Platform.(*recorder).puts, "the leader waits although it has the answers")
	_, leadership = newTestTerm(test, now, "b")
	require.True(test, decides(now.Add(placedWait), leadership), "the leader waits without a bound")
}

// Members that end in an outage of the store are announced for up to four seconds after its
// return, and no stream stalls that would show it (mvua trouble-3: repairs began 3 to 5 s after
// the return). Guards against a leader that goes by the announcements, against one that asks
// while its list is from before the outage, and against one that cannot reach any member and
// takes all for lost.
func TestNewLeaderAsksAllMembersAfterAnOutage(test *testing.T) {
	now := time.Now()
	ended := now.Add(outageMinimum)
	for _, reached := range []bool{true, false} {
		state, leadership := newTestTerm(test, now, "")
		leadership.askedFence = 0
		pending := state.pendingWorkers
		state.handleFeed(now, FeedInterrupted{Err: errors.New("down")})
		state.askPlaced(now, leadership)
		require.Equal(test, pending, state.pendingWorkers, "asked with a list from before the outage")
		state.handleFeed(ended, TargetsChanged{})
		require.Greater(test, state.pendingWorkers, pending, "the members are not asked")

		result := placedResult{domain: "d0", term: leadership.term, answers: []probeAnswer{
			{probedTarget: newProbedTarget(testMember("a", 0).VM), responded: reached, report: testMember("a", 0).Report},
			{probedTarget: newProbedTarget(testMember("b", 1).VM)},
		}}
		state.handlePlacedResult(ended, result)
		require.Equal(test, !reached, serves(state, ended))
		if reached {
			again := testMember("b", 1)
			again.Heartbeat++
			state.handleFeed(ended, TargetsChanged{Put: []directory.Target{again}})
			require.True(test, serves(state, ended), "a member that is announced again stays lost")
		}
	}
}
