package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A testEngine accepts every order immediately and loads within testLoad.
type testEngine struct {
	report  engine.Report
	readyAt time.Time
	dead    bool

	// reportDelay is the latency of the answer to a read of the report.
	reportDelay time.Duration

	// openedByOrder makes rank 0 accept requests only after an open order.
	openedByOrder bool

	// extraLoadTime is added to the time of a load.
	extraLoadTime time.Duration

	// streamTime is how long the streams of rank 0 last that an ordered drain waits for.
	streamTime time.Duration

	// lastModel is the model of the last group since the start.
	lastModel string
}

// A testDomain carries out a leader's effects on a virtual clock.
type testDomain struct {
	test     *testing.T
	leader   *Leader
	now      time.Time
	record   []byte
	revision uint64
	engines  map[string]*testEngine
	list     []kvstore.VM
	grants   []GroupGrant
	orders   []SendOrder
	commits  int
	queue    []Event

	// replaceOutcome replaces the outcome of the next commit unless it is nil.
	replaceOutcome func(done CommitDone) CommitDone
	withholdLease  bool

	// refuseCommits makes the store refuse every commit.
	refuseCommits bool
}

const (
	testStep  = 50 * time.Millisecond
	testLoad  = 2 * time.Second
	testLease = 10 * time.Second
)

func testFolder(replicas int) FolderAdopted {
	return FolderAdopted{
		Groups: []folder.Group{{
			Name: "large", Model: "m", Version: "1", Size: 4, Replicas: replicas,
			WeightBytes: 4 << 30, TargetClass: "runner",
		}},
		Classes: []folder.TargetClass{{Name: "runner", ChecksFencing: true, OrderDelay: time.Second}},
		Policy: folder.Policy{
			DowntimeWeight: 1, StrandedWeight: 1, ReportInterval: 250 * time.Millisecond,
			GrantBound: time.Second, WeightRate: 1 << 30, SpreadTime: 500 * time.Millisecond,
		},
		Routes: []folder.Route{{Name: "draft", Group: "large", MinReplicas: 1}},
	}
}

func newTestDomain(test *testing.T, vms int, adopted FolderAdopted) *testDomain {
	domain := &testDomain{
		test:    test,
		leader:  NewLeader(LeaderConfig{Domain: "fd", Node: "n1", Incarnation: "i1", LeaseDuration: testLease}),
		now:     time.Unix(1_000_000, 0),
		engines: map[string]*testEngine{},
	}
	for index := range vms {
		name := fmt.Sprintf("vm-%02d", index)
		domain.engines[name] = &testEngine{report: engine.Report{VM: name, Incarnation: "a", State: engine.StateIdle}}
		domain.list = append(domain.list, kvstore.VM{
			Name: name, Address: "127.0.0.1:" + name[3:], Incarnation: "a", FabricDomain: "fd",
			FailureDomain: "fail-1", Accelerators: 4, State: kvstore.VMLive,
		})
	}
	domain.send(adopted)
	domain.send(VMsListed{VMs: domain.list})
	return domain
}

func (domain *testDomain) send(event Event) {
	for _, effect := range domain.leader.Handle(domain.now, event) {
		domain.carryOut(effect)
	}
}

func (domain *testDomain) carryOut(effect Effect) {
	switch effect := effect.(type) {
	case ReadPlacement:
		domain.queue = append(domain.queue, PlacementRead{Record: domain.record, Revision: domain.revision})
	case Commit:
		domain.queue = append(domain.queue, domain.commit(effect))
	case ReadReport:
		domain.queue = append(domain.queue, domain.read(effect))
	case SendOrder:
		domain.queue = append(domain.queue, domain.order(effect))
	case AcquireWeights:
		domain.queue = append(domain.queue, WeightsAcquired{VM: effect.VM})
	case PublishGrants:
		domain.grants = effect.Grants
	}
}

func (domain *testDomain) commit(effect Commit) Event {
	domain.commits++
	if domain.refuseCommits {
		return CommitDone{ID: effect.ID, Outcome: kvstore.Refused{}}
	}
	done := CommitDone{ID: effect.ID, Outcome: kvstore.Conflict{Revision: domain.revision}}
	if effect.Expect.Revision() == domain.revision {
		domain.revision++
		domain.record = effect.Record
		done.Outcome = kvstore.Written{Revision: domain.revision}
	}
	if domain.replaceOutcome != nil {
		done = domain.replaceOutcome(done)
		domain.replaceOutcome = nil
	}
	return done
}

func (domain *testDomain) read(effect ReadReport) Event {
	runner := domain.engines[effect.VM]
	if runner.dead {
		return ReportFailed{VM: effect.VM}
	}
	busy := runner.report.State == engine.StateLoading || runner.openedByOrder && runner.report.State == engine.StateDraining
	if busy && !domain.now.Before(runner.readyAt) {
		runner.report.State = engine.StateReady
	}
	return ReportRead{Sent: domain.now.Add(-runner.reportDelay), Report: runner.report}
}

func (domain *testDomain) order(effect SendOrder) Event {
	runner := domain.engines[effect.VM]
	if runner.dead {
		return OrderUnknown{VM: effect.VM, Order: effect.Order.ID}
	}
	if effect.Order.Fence < runner.report.Fence {
		return OrderRefused{VM: effect.VM, Order: effect.Order.ID, Fence: runner.report.Fence}
	}
	domain.orders = append(domain.orders, effect)
	if runner.openedByOrder {
		domain.checkDeparture(runner.report, effect.Order)
		runner.applyOrderOpenedByOrder(domain.now, effect.Order)
	} else {
		runner.applyOrder(domain.now, effect.Order)
	}
	return OrderAccepted{VM: effect.VM, Order: effect.Order.ID}
}

// applyOrder runs an order. Weights that are already loaded are not loaded again.
func (runner *testEngine) applyOrder(now time.Time, order engine.Order) {
	report := &runner.report
	report.Fence = order.Fence
	switch order.Action {
	case engine.ActionLoad:
		loaded := report.Model == order.Model && report.Version == order.Version && report.State != engine.StateLoading
		report.Group, report.Epoch, report.Rank = order.Group, order.Epoch, order.Rank
		report.Model, report.Version = order.Model, order.Version
		report.State = engine.StateReady
		if !loaded {
			report.State = engine.StateLoading
			runner.readyAt = now.Add(testLoad)
		}
	case engine.ActionDrain:
		report.State = engine.StateDraining
	case engine.ActionRelease:
		*report = engine.Report{VM: report.VM, Incarnation: report.Incarnation, Fence: order.Fence, State: engine.StateIdle}
	}
}

// waitFor advances the clock in steps until the condition is met, and fails the
// test if that takes longer than the limit.
func (domain *testDomain) waitFor(limit time.Duration, condition func() bool) {
	domain.test.Helper()
	for end := domain.now.Add(limit); !condition(); {
		require.True(domain.test, domain.now.Before(end), "condition not met within %v: %v", limit, domain.leader.Placement().Groups())
		domain.step()
	}
}

func (domain *testDomain) runFor(duration time.Duration) {
	for end := domain.now.Add(duration); domain.now.Before(end); {
		domain.step()
	}
}

func (domain *testDomain) step() {
	domain.now = domain.now.Add(testStep)
	if !domain.withholdLease {
		domain.send(LeaseHeld{Until: domain.now.Add(testLease)})
	}
	queue := domain.queue
	domain.queue = nil
	for _, event := range queue {
		domain.send(event)
	}
	domain.send(Tick{})
}

func (domain *testDomain) granted(count int) func() bool {
	return func() bool { return len(domain.grants) == count }
}

// restart replaces a VM's engine by an idle one under a new incarnation.
func (domain *testDomain) restart(name string, incarnation string) {
	domain.engines[name] = &testEngine{report: engine.Report{VM: name, Incarnation: incarnation, State: engine.StateIdle}}
}

// Guards against a group that never starts serving.
func TestLeaderFormsAndServes(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	placement := domain.leader.Placement()
	require.Len(test, placement.VMs(), 8)
	for _, group := range placement.Groups() {
		require.Equal(test, StateReady, group.State)
	}
	for _, grant := range domain.grants {
		require.Equal(test, time.Second, grant.Grant.ValidUntil.Sub(grant.Grant.ReportedAt))
	}
}

// Guards against a grant for a group with a dead member and against a group that
// stays broken although a spare is available.
func TestLeaderRepairsWithSpare(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	failedVM := domain.leader.Placement().Members("large.fd.0")[1]
	before, _ := domain.leader.Placement().Group("large.fd.0")
	domain.engines[failedVM].dead = true
	domain.waitFor(2*time.Second, domain.granted(1))
	domain.waitFor(20*time.Second, domain.granted(2))
	after, _ := domain.leader.Placement().Group("large.fd.0")
	require.Greater(test, after.Epoch, before.Epoch)
	require.Equal(test, "vm-08", domain.leader.Placement().Members("large.fd.0")[1])
	loads := 0
	for _, order := range domain.orders {
		if order.Order.Group == "large.fd.0" && order.Order.Epoch == after.Epoch {
			loads++
		}
	}
	require.Equal(test, 4, loads)
}

// Guards against a group that keeps waiting for the old incarnation of a
// restarted VM.
func TestLeaderReassignsRestartedMember(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.restart("vm-02", "b")
	domain.waitFor(2*time.Second, domain.granted(1))
	domain.waitFor(20*time.Second, domain.granted(2))
	assignment, _ := domain.leader.Placement().Assignment("vm-02")
	require.Equal(test, "b", assignment.Incarnation)
}

// Guards against a second write, and against a takeover, after a commit that took
// effect but whose answer was lost, and against grants that do not continue after
// the record was read again.
func TestLeaderResolvesLostCommitAnswer(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	commits := domain.commits
	lose := func(done CommitDone) CommitDone {
		return CommitDone{ID: done.ID, Outcome: kvstore.Unknown{}}
	}
	domain.replaceOutcome = lose
	domain.engines["vm-01"].dead = true
	domain.waitFor(20*time.Second, func() bool { return domain.replaceOutcome == nil })
	require.Equal(test, commits+1, domain.commits)
	domain.waitFor(20*time.Second, domain.granted(2))
	require.Equal(test, uint64(1), domain.leader.Placement().Fence())
}

// Guards against a second takeover under another fencing number when only the
// answer to the first was lost.
func TestLeaderResolvesLostTakeoverAnswer(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.replaceOutcome = func(done CommitDone) CommitDone {
		return CommitDone{ID: done.ID, Outcome: kvstore.Unknown{}}
	}
	domain.waitFor(20*time.Second, domain.granted(2))
	require.Equal(test, uint64(1), domain.leader.Placement().Fence())
}

// Guards against orders, commits and grants for incomplete groups after the lease
// has expired, and against any grant after another node has taken over.
func TestLeaderStopsOrdersWithoutLease(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.withholdLease = true
	domain.runFor(testLease)
	domain.grants = nil
	orders, commits := len(domain.orders), domain.commits
	domain.engines["vm-01"].dead = true
	domain.runFor(testLease)
	assignment, _ := domain.leader.Placement().Assignment("vm-01")
	require.Len(test, domain.grants, 1)
	require.NotEqual(test, assignment.Group, domain.grants[0].Grant.Group)
	require.Len(test, domain.orders, orders)
	require.Equal(test, commits, domain.commits)
	require.False(test, domain.leader.Leading())
	domain.send(LeaseLost{})
	domain.grants = nil
	domain.runFor(testLease)
	require.Empty(test, domain.grants)
}

// Guards against grants that end because the store is unreachable, although the
// node still receives the members' reports.
func TestLeaderKeepsGrantsWhileStoreIsUnreachable(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.withholdLease = true
	domain.send(LeaseExpired{})
	domain.runFor(2 * testLease)
	require.Len(test, domain.grants, 2)
	require.True(test, domain.grants[0].Grant.Holds(domain.grants[0].Grant.Epoch, domain.now))
	commits := domain.commits
	domain.engines["vm-01"].dead = true
	domain.waitFor(2*time.Second, domain.granted(1))
	domain.runFor(testLease)
	require.Equal(test, commits, domain.commits)
	domain.withholdLease = false
	domain.waitFor(30*time.Second, domain.granted(2))
}

// Guards against orders and commits, and so against reloads, when a whole domain
// is unreachable for some minutes.
func TestLeaderResumesUnreachableDomainWithoutLoading(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	orders, commits := len(domain.orders), domain.commits
	for _, runner := range domain.engines {
		runner.dead = true
	}
	domain.waitFor(2*time.Second, domain.granted(0))
	domain.runFor(5 * time.Minute)
	for _, runner := range domain.engines {
		runner.dead = false
		domain.runFor(time.Second)
	}
	domain.waitFor(5*time.Second, domain.granted(2))
	domain.runFor(time.Minute)
	require.Len(test, domain.orders, orders)
	require.Equal(test, commits, domain.commits)
}

// Guards against changes to the groups because the platform's list of VMs is empty.
func TestLeaderKeepsGroupsWhenListIsEmpty(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	commits := domain.commits
	domain.send(VMsListed{})
	domain.runFor(time.Minute)
	require.Len(test, domain.grants, 2)
	require.Equal(test, commits, domain.commits)
}

// Guards against spares that are not used because the platform's list of VMs is
// empty.
func TestLeaderRepairsWhileListIsEmpty(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.send(VMsListed{})
	domain.engines["vm-01"].dead = true
	domain.waitFor(2*time.Second, domain.granted(1))
	domain.waitFor(20*time.Second, domain.granted(2))
	_, placed := domain.leader.Placement().Assignment("vm-08")
	require.True(test, placed)
}

// Guards against a planned stop that interrupts requests, or that is cancelled
// because an outdated list still shows the leaving VM as live.
func TestLeaderDrainsGroupOfLeavingMember(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.engines["vm-00"].report.Running = 1
	domain.send(VMLeaving{VM: "vm-01", Incarnation: "a"})
	domain.waitFor(2*time.Second, func() bool { return len(domain.grants) == 2 && !domain.grants[0].Open })
	domain.send(VMsListed{VMs: domain.list})
	domain.runFor(10 * time.Second)
	require.Len(test, domain.grants, 2)
	_, placed := domain.leader.Placement().Assignment("vm-01")
	require.True(test, placed)
	domain.engines["vm-00"].report.Running = 0
	domain.waitFor(20*time.Second, func() bool { return len(domain.grants) == 2 && domain.grants[0].Open })
	_, placed = domain.leader.Placement().Assignment("vm-01")
	require.False(test, placed)
}

// Guards against a version change that stops both replicas at the same time.
func TestLeaderChangesVersionOneReplicaAtATime(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	adopted := testFolder(2)
	adopted.Groups[0].Version = "2"
	domain.send(adopted)
	domain.waitFor(60*time.Second, func() bool {
		open := 0
		for _, grant := range domain.grants {
			if grant.Open {
				open++
			}
		}
		require.GreaterOrEqual(test, open, 1)
		groups := domain.leader.Placement().Groups()
		return open == 2 && groups[0].Version == "2" && groups[1].Version == "2"
	})
}

// Guards against two incomplete groups that both wait although the members of one
// could complete the other, and against a dissolved group that is not formed again
// when its VMs return.
func TestLeaderDissolvesOneIncompleteGroupToCompleteAnother(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.engines["vm-00"].dead = true
	domain.engines["vm-04"].dead = true
	domain.waitFor(2*time.Second, domain.granted(0))
	domain.waitFor(60*time.Second, domain.granted(1))
	domain.restart("vm-00", "b")
	domain.restart("vm-04", "b")
	domain.waitFor(60*time.Second, domain.granted(2))
}

// Guards against orders to engines that ignore fencing numbers, while an order of
// an earlier leader may still arrive or when the lease could expire on the way.
func TestLeaderWithoutFencingWaitsForOrderDelay(test *testing.T) {
	adopted := testFolder(2)
	adopted.Classes[0].ChecksFencing = false
	domain := newTestDomain(test, 9, adopted)
	start := domain.now
	domain.waitFor(60*time.Second, func() bool { return len(domain.orders) > 0 })
	require.GreaterOrEqual(test, domain.now.Sub(start), testLease+adopted.Classes[0].OrderDelay)
	domain.waitFor(60*time.Second, domain.granted(2))

	// The VM dies when less than the order delay of the lease is left for the repair.
	delay := adopted.Classes[0].OrderDelay
	domain.withholdLease = true
	end := domain.now.Add(testLease)
	domain.runFor(testLease - delay - 600*time.Millisecond)
	domain.engines["vm-01"].dead = true
	orders, commits := len(domain.orders), domain.commits
	domain.waitFor(testLease, func() bool { return domain.commits > commits })
	require.True(test, domain.now.Before(end))
	domain.waitFor(testLease, func() bool { return domain.now.After(end) })
	for _, order := range domain.orders[orders:] {
		require.LessOrEqual(test, order.Deadline, end.Add(-delay))
	}
	require.Len(test, domain.orders, orders)
}

// replaceLeader replaces the leader by that of another node.
func (domain *testDomain) replaceLeader(adopted FolderAdopted) {
	domain.leader = NewLeader(LeaderConfig{Domain: "fd", Node: "n2", Incarnation: "i1", LeaseDuration: testLease})
	domain.queue = nil
	domain.send(adopted)
	domain.send(VMsListed{VMs: domain.list})
	domain.waitFor(10*time.Second, domain.leader.Leading)
}

// Guards against a new leader that assigns a spare or repeats an order while an
// order of the earlier leader may still arrive at an engine that ignores fencing
// numbers.
func TestNewLeaderWaitsForOrdersOfEarlierLeader(test *testing.T) {
	adopted := testFolder(2)
	adopted.Classes[0].ChecksFencing = false
	domain := newTestDomain(test, 9, adopted)
	domain.waitFor(60*time.Second, domain.granted(2))
	domain.engines["vm-01"].report.Group = ""
	domain.engines["vm-01"].report.State = engine.StateIdle
	domain.engines["vm-05"].dead = true
	orders := len(domain.orders)
	domain.replaceLeader(adopted)
	oldOrdersUntil := domain.now.Add(testLease + adopted.Classes[0].OrderDelay)
	for domain.now.Before(oldOrdersUntil.Add(-testStep)) {
		domain.step()
		_, placed := domain.leader.Placement().Assignment("vm-08")
		require.False(test, placed, "the spare was assigned")
		require.Len(test, domain.orders, orders)
	}
	domain.waitFor(60*time.Second, domain.granted(2))
}

// Guards against the assignment of a spare while its engine would still accept an
// order of an earlier leader, or before the last order to it was answered.
func TestSpareIsAssignableOnlyAfterOldOrders(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	leader, vm := domain.leader, domain.leader.members["vm-08"]
	require.True(test, leader.assignable(domain.now, vm))
	vm.report.Fence = leader.fence - 1
	require.False(test, leader.assignable(domain.now, vm), "lower fencing number")
	vm.report.Fence = leader.fence
	vm.order = pendingOrder{id: "o"}
	require.False(test, leader.assignable(domain.now, vm), "unanswered order")
}

// Guards against assignments and orders from a record that the store refused.
func TestRefusedWriteChangesNothing(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	orders, commits := len(domain.orders), domain.commits
	domain.refuseCommits = true
	domain.engines["vm-01"].dead = true
	for end := domain.now.Add(10 * time.Second); domain.now.Before(end); {
		domain.step()
		_, placed := domain.leader.Placement().Assignment("vm-08")
		require.False(test, placed, "the spare was assigned")
		require.Len(test, domain.orders, orders)
	}
	require.Greater(test, domain.commits, commits)
	domain.refuseCommits = false
	domain.waitFor(20*time.Second, domain.granted(2))
}

// Guards against orders from a record that a pending write may already have
// replaced.
func TestNoOrdersWhileWriteIsPending(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	leader, vm := domain.leader, domain.leader.members["vm-01"]
	vm.order = pendingOrder{}
	vm.report.Group, vm.report.State = "", engine.StateIdle
	leader.commit = pendingCommit{id: "open", record: leader.placement}
	require.Empty(test, leader.sendOrders(domain.now))
	leader.commit = pendingCommit{}
	require.Len(test, leader.sendOrders(domain.now), 1)
}

// Guards against a planned stop that begins while nodes may still send new requests
// to the group.
func TestPlannedStopWaitsUntilNoNodeAdmitsRequests(test *testing.T) {
	adopted := testFolder(2)
	domain := newTestDomain(test, 9, adopted)
	domain.waitFor(20*time.Second, domain.granted(2))
	before, _ := domain.leader.Placement().Group("large.fd.0")
	orders := len(domain.orders)
	domain.send(VMLeaving{VM: "vm-01", Incarnation: "a"})
	group := func() Group {
		found, _ := domain.leader.Placement().Group("large.fd.0")
		return found
	}
	domain.waitFor(2*time.Second, func() bool { return group().State == StateDraining })
	require.Len(test, domain.orders, orders)
	for end := domain.now.Add(adopted.Policy.SpreadTime - testStep); domain.now.Before(end); {
		domain.step()
		require.Len(test, domain.orders, orders)
		require.Equal(test, StateDraining, group().State)
		require.Equal(test, before.Epoch, group().Epoch)
	}
	domain.waitFor(20*time.Second, func() bool { return group().Epoch > before.Epoch })
}

// Guards against a straggler that is not replaced although a spare exists, and
// against one that is removed when there is none.
func TestStragglerIsReplacedOnlyWithSpare(test *testing.T) {
	for _, vms := range []int{8, 9} {
		domain := newTestDomain(test, vms, testFolder(2))
		domain.waitFor(20*time.Second, domain.granted(2))
		domain.engines["vm-01"].reportDelay = 400 * time.Millisecond
		domain.runFor(time.Minute)
		_, placed := domain.leader.Placement().Assignment("vm-01")
		require.Equal(test, vms == 8, placed)
		require.Len(test, domain.grants, 2)
	}
}

// Guards against a decision of the policy that assigns a VM to two ranks or two VMs
// to one rank.
func TestContradictoryDecisionsAreDropped(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	for name, decision := range map[string]Decision{
		"assigned VM":    Repair{Group: "large.fd.1", Rank: 1, VM: "vm-00", Replaced: "vm-05"},
		"taken rank":     Repair{Group: "large.fd.1", Rank: 1, VM: "vm-08"},
		"VMs of a group": Form{Spec: "large", Name: "large.fd.2", VMs: []string{"vm-08", "vm-00", "vm-01", "vm-02"}},
	} {
		next := domain.leader.Placement().clone()
		domain.leader.apply(next, decision)
		assignment, _ := next.Assignment("vm-00")
		require.Equal(test, "large.fd.0", assignment.Group, name)
		_, placed := next.Assignment("vm-08")
		require.False(test, placed, name)
	}
}

// Guards against a surplus replica that is kept, and against a group that is
// removed from the folder but never frees its VMs.
func TestLeaderReleasesSurplus(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	domain.send(testFolder(1))
	domain.waitFor(20*time.Second, domain.granted(1))
	domain.waitFor(20*time.Second, func() bool { return len(domain.leader.Placement().VMs()) == 4 })
	adopted := testFolder(1)
	adopted.Groups = nil
	adopted.Routes = nil
	domain.send(adopted)
	domain.waitFor(20*time.Second, func() bool { return len(domain.leader.Placement().Groups()) == 0 })
}

// Guards against a leader that continues with its own copy of the record after
// another leader has written it.
func TestLeaderTakesOverRecordOfAnotherLeader(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	other, err := DecodePlacement(domain.record)
	require.NoError(test, err)
	other = other.clone()
	other.fence = 7
	other.leader = "n2/i1"
	domain.record, err = other.Encode()
	require.NoError(test, err)
	domain.revision++
	domain.engines["vm-01"].dead = true
	orders := len(domain.orders)
	domain.waitFor(30*time.Second, func() bool { return domain.leader.Placement().Fence() > 7 && len(domain.grants) == 2 })
	for _, order := range domain.orders[orders:] {
		if order.VM == "vm-08" {
			require.Equal(test, engine.ActionRelease, order.Order.Action, "the spare was assigned before its fencing number was raised")
			return
		}
	}
}

// Guards against damaged records that are accepted as valid.
func TestDecodePlacementRejectsInvalidRecords(test *testing.T) {
	for name, record := range map[string]string{
		"malformed":       `{`,
		"unknown group":   `{"vms":{"a":{"group":"g"}}}`,
		"rank held twice": `{"epoch":1,"groups":{"g":{"name":"g","size":2,"epoch":1}},"vms":{"a":{"group":"g"},"b":{"group":"g"}}}`,
		"rank too high":   `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"a":{"group":"g","rank":1}}}`,
		"rank below 0":    `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"a":{"group":"g","rank":-1}}}`,
		"epoch too high":  `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":2}}}`,
		"size too large":  `{"epoch":1,"groups":{"g":{"name":"g","size":1000000000,"epoch":1}}}`,
		"name differs":    `{"epoch":1,"groups":{"g":{"name":"h","size":1,"epoch":1}}}`,
	} {
		_, err := DecodePlacement([]byte(record))
		require.Error(test, err, name)
	}
}

// Guards against VMs that disappear from the list together and still count as listed
// forever, and against their removal while they may only be unreachable.
func TestVMsAbsentFromSuspectListAreKeptForHoldTime(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	leader := domain.leader
	sizes := []DomainSize{{Name: "other", FailureDomain: "fail-2", VMs: 8}}
	leader.handleOtherDomains(domain.now, OtherDomains{Domains: sizes})
	listed := func(after time.Duration) (own, other int) {
		leader.handleList(domain.now.Add(after), nil)
		leader.handleOtherDomains(domain.now.Add(after), OtherDomains{})
		for _, vm := range leader.members {
			vm.missingSince = domain.now
			if vm.listed {
				own++
			}
		}
		return own, totalVMs(leader.otherDomains.Domains)
	}
	for _, held := range []time.Duration{0, defaultUnreachableHold - time.Second} {
		own, other := listed(held)
		require.Equal(test, 9, own)
		require.Equal(test, 8, other)
	}
	own, other := listed(defaultUnreachableHold)
	require.Zero(test, own)
	require.Zero(test, other)
}

// Guards against a grant for a VM that reports its old assignment under a new
// incarnation, and against the assignment of a VM whose engine still reports a
// group.
func TestCompleteAndAssignableNeedMatchingReports(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.waitFor(20*time.Second, domain.granted(2))
	leader := domain.leader
	group, _ := leader.Placement().Group("large.fd.0")
	_, complete := leader.complete(group)
	require.True(test, complete)
	leader.members["vm-01"].report.Incarnation = "b"
	_, complete = leader.complete(group)
	require.False(test, complete)
	spare := leader.members["vm-08"]
	require.True(test, leader.assignable(domain.now, spare))
	spare.report.Group = "large.fd.1"
	require.False(test, leader.assignable(domain.now, spare))
}

// Guards against fencing numbers and epochs of a later era of the store that are not above
// those that engines have seen: a copy of the store has lost the last ones, and idle engines
// report none. Guards as well against a record that is only in the leader's memory.
func TestTakeoverInLaterEraUsesHigherNumbers(test *testing.T) {
	now := time.Unix(1000, 0)
	leader := NewLeader(LeaderConfig{Domain: "fd", Node: "n1", Incarnation: "i1"})
	before := NewPlacement("fd")
	before.fence, before.epoch, before.leader, before.change = 7, 9, "n1/i1", "n1/i1/3"
	record, err := before.Encode()
	require.NoError(test, err)
	leader.Handle(now, LeaseHeld{Until: now.Add(time.Minute)})
	effects := leader.Handle(now, PlacementRead{Record: record, Revision: 5, Era: 3, Lost: true})
	commit := effects[len(effects)-1].(Commit)
	require.Equal(test, kvstore.ExpectRevision(5), commit.Expect)
	written, err := DecodePlacement(commit.Record)
	require.NoError(test, err)
	require.Greater(test, written.Fence(), uint64(2<<24))
	require.GreaterOrEqual(test, written.Epoch(), uint64(2<<24))
	require.True(test, written.Follows(before))
	leader.Handle(now, CommitDone{ID: commit.ID, Outcome: kvstore.Conflict{}})
	effects = leader.Handle(now, PlacementRead{Record: commit.Record, Revision: 2, Era: 4, Lost: true})
	require.IsType(test, Commit{}, effects[len(effects)-1], "the record of an earlier era is not written again")
}

// Guards against records that are ordered by the text of their change ids.
func TestFollowsOrdersChangesByNumber(test *testing.T) {
	earlier, later := NewPlacement("fd"), NewPlacement("fd")
	earlier.change, later.change = "n1/i1/9", "n1/i1/10"
	require.True(test, later.Follows(earlier))
	require.False(test, earlier.Follows(later))
	require.False(test, later.Follows(later))
	earlier.fence = 1
	require.True(test, earlier.Follows(later))
}
