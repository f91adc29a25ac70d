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

// A testEngine takes every order at once and loads within loadTime.
type testEngine struct {
	report  engine.Report
	readyAt time.Time
	dead    bool

	// lag is how late the engine answers a read of its report.
	lag time.Duration

	// byOrder makes rank 0 serve only after an open order.
	byOrder bool

	// slow is how much longer a load takes.
	slow time.Duration

	// served is the model of the last group since the start.
	served string
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

	// answer replaces the outcome of the next commit when it is not nil.
	answer func(done CommitDone) CommitDone
	hold   bool

	// refuse makes the store refuse every commit.
	refuse bool
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
		domain.run(effect)
	}
}

func (domain *testDomain) run(effect Effect) {
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
	if domain.refuse {
		return CommitDone{ID: effect.ID, Outcome: kvstore.Refused{}}
	}
	done := CommitDone{ID: effect.ID, Outcome: kvstore.Conflict{Revision: domain.revision}}
	if effect.Expect.Revision() == domain.revision {
		domain.revision++
		domain.record = effect.Record
		done.Outcome = kvstore.Written{Revision: domain.revision}
	}
	if domain.answer != nil {
		done = domain.answer(done)
		domain.answer = nil
	}
	return done
}

func (domain *testDomain) read(effect ReadReport) Event {
	runner := domain.engines[effect.VM]
	if runner.dead {
		return ReportFailed{VM: effect.VM}
	}
	busy := runner.report.State == engine.StateLoading || runner.byOrder && runner.report.State == engine.StateDraining
	if busy && !domain.now.Before(runner.readyAt) {
		runner.report.State = engine.StateReady
	}
	return ReportRead{Sent: domain.now.Add(-runner.lag), Report: runner.report}
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
	if runner.byOrder {
		domain.checkDeparture(runner.report, effect.Order)
		runner.takeByOrder(domain.now, effect.Order)
	} else {
		runner.take(domain.now, effect.Order)
	}
	return OrderAccepted{VM: effect.VM, Order: effect.Order.ID}
}

// take runs an order; weights that are already there are not loaded again.
func (runner *testEngine) take(now time.Time, order engine.Order) {
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

// pass lets time pass in steps until the condition holds.
func (domain *testDomain) until(limit time.Duration, condition func() bool) {
	domain.test.Helper()
	for end := domain.now.Add(limit); !condition(); {
		require.True(domain.test, domain.now.Before(end), "condition not met within %v: %v", limit, domain.leader.Placement().Groups())
		domain.step()
	}
}

func (domain *testDomain) pass(duration time.Duration) {
	for end := domain.now.Add(duration); domain.now.Before(end); {
		domain.step()
	}
}

func (domain *testDomain) step() {
	domain.now = domain.now.Add(testStep)
	if !domain.hold {
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

// restart brings a VM back empty under a new incarnation.
func (domain *testDomain) restart(name string, incarnation string) {
	domain.engines[name] = &testEngine{report: engine.Report{VM: name, Incarnation: incarnation, State: engine.StateIdle}}
}

// Guards against a group that never starts serving.
func TestLeaderFormsAndServes(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	placement := domain.leader.Placement()
	require.Len(test, placement.VMs(), 8)
	for _, group := range placement.Groups() {
		require.Equal(test, StateReady, group.State)
	}
	for _, grant := range domain.grants {
		require.Equal(test, time.Second, grant.Grant.ValidUntil.Sub(grant.Grant.ReportedAt))
	}
}

// Guards against a grant for a group with a dead member and against a group
// that stays broken though a spare is at hand.
func TestLeaderRepairsWithSpare(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	victim := domain.leader.Placement().Members("large.fd.0")[1]
	before, _ := domain.leader.Placement().Group("large.fd.0")
	domain.engines[victim].dead = true
	domain.until(2*time.Second, domain.granted(1))
	domain.until(20*time.Second, domain.granted(2))
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

// Guards against a repaired group that keeps waiting for the incarnation that
// a restarted VM no longer has.
func TestLeaderReseatsRestartedMember(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.restart("vm-02", "b")
	domain.until(2*time.Second, domain.granted(1))
	domain.until(20*time.Second, domain.granted(2))
	assignment, _ := domain.leader.Placement().Assignment("vm-02")
	require.Equal(test, "b", assignment.Incarnation)
}

// Guards against a commit that took effect but is written again, and against
// grants that stop while the outcome is read back.
func TestLeaderResolvesLostCommitAnswer(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	commits := domain.commits
	lose := func(done CommitDone) CommitDone {
		return CommitDone{ID: done.ID, Outcome: kvstore.Unknown{}}
	}
	domain.answer = lose
	domain.engines["vm-01"].dead = true
	domain.until(20*time.Second, func() bool { return domain.answer == nil })
	require.Equal(test, commits+1, domain.commits)
	domain.until(20*time.Second, domain.granted(2))
	require.Equal(test, uint64(1), domain.leader.Placement().Fence())
}

// Guards against a second takeover, under another fencing number, when only
// the answer to the first was lost.
func TestLeaderResolvesLostTakeover(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.answer = func(done CommitDone) CommitDone {
		return CommitDone{ID: done.ID, Outcome: kvstore.Unknown{}}
	}
	domain.until(20*time.Second, domain.granted(2))
	require.Equal(test, uint64(1), domain.leader.Placement().Fence())
}

// Guards against orders, commits and grants of incomplete groups after the
// lease has run out, and against any grant after another node took over.
func TestLeaderStopsWithoutLease(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.hold = true
	domain.pass(testLease)
	domain.grants = nil
	orders, commits := len(domain.orders), domain.commits
	domain.engines["vm-01"].dead = true
	domain.pass(testLease)
	assignment, _ := domain.leader.Placement().Assignment("vm-01")
	require.Len(test, domain.grants, 1)
	require.NotEqual(test, assignment.Group, domain.grants[0].Grant.Group)
	require.Len(test, domain.orders, orders)
	require.Equal(test, commits, domain.commits)
	require.False(test, domain.leader.Leading())
	domain.send(LeaseLost{})
	domain.grants = nil
	domain.pass(testLease)
	require.Empty(test, domain.grants)
}

// Guards against traffic that stops because the store, and not the node, is
// away.
func TestLeaderKeepsGrantsWhileStoreIsUnreachable(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.hold = true
	domain.send(LeaseLapsed{})
	domain.pass(2 * testLease)
	require.Len(test, domain.grants, 2)
	require.True(test, domain.grants[0].Grant.Holds(domain.grants[0].Grant.Epoch, domain.now))
	commits := domain.commits
	domain.engines["vm-01"].dead = true
	domain.until(2*time.Second, domain.granted(1))
	domain.pass(testLease)
	require.Equal(test, commits, domain.commits)
	domain.hold = false
	domain.until(30*time.Second, domain.granted(2))
}

// Guards against churn and reloads when a whole domain is dark for a while.
func TestLeaderResumesDarkDomainWithoutLoading(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	orders, commits := len(domain.orders), domain.commits
	for _, runner := range domain.engines {
		runner.dead = true
	}
	domain.until(2*time.Second, domain.granted(0))
	domain.pass(5 * time.Minute)
	for _, runner := range domain.engines {
		runner.dead = false
		domain.pass(time.Second)
	}
	domain.until(5*time.Second, domain.granted(2))
	domain.pass(time.Minute)
	require.Len(test, domain.orders, orders)
	require.Equal(test, commits, domain.commits)
}

// Guards against groups that are released because the list of VMs is empty.
func TestLeaderKeepsGroupsWhenListEmpties(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	commits := domain.commits
	domain.send(VMsListed{})
	domain.pass(time.Minute)
	require.Len(test, domain.grants, 2)
	require.Equal(test, commits, domain.commits)
}

// Guards against spares that are given up because the list of VMs is empty.
func TestLeaderRepairsWhileListIsEmpty(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.send(VMsListed{})
	domain.engines["vm-01"].dead = true
	domain.until(2*time.Second, domain.granted(1))
	domain.until(20*time.Second, domain.granted(2))
	_, placed := domain.leader.Placement().Assignment("vm-08")
	require.True(test, placed)
}

// Guards against a planned stop that interrupts requests or that ends because
// a lagging list calls the VM live again.
func TestLeaderDrainsForLeavingMember(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.engines["vm-00"].report.Running = 1
	domain.send(LeavingKnown{VM: "vm-01", Incarnation: "a"})
	domain.until(2*time.Second, func() bool { return len(domain.grants) == 2 && !domain.grants[0].Open })
	domain.send(VMsListed{VMs: domain.list})
	domain.pass(10 * time.Second)
	require.Len(test, domain.grants, 2)
	_, placed := domain.leader.Placement().Assignment("vm-01")
	require.True(test, placed)
	domain.engines["vm-00"].report.Running = 0
	domain.until(20*time.Second, func() bool { return len(domain.grants) == 2 && domain.grants[0].Open })
	_, placed = domain.leader.Placement().Assignment("vm-01")
	require.False(test, placed)
}

// Guards against a version change that takes both replicas down at once.
func TestLeaderChangesVersionOneReplicaAtATime(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	adopted := testFolder(2)
	adopted.Groups[0].Version = "2"
	domain.send(adopted)
	domain.until(60*time.Second, func() bool {
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

// Guards against two half groups that wait side by side, and against a group
// that is not formed again when its VMs return.
func TestLeaderDissolvesOneIncompleteGroupToCompleteAnother(test *testing.T) {
	domain := newTestDomain(test, 8, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.engines["vm-00"].dead = true
	domain.engines["vm-04"].dead = true
	domain.until(2*time.Second, domain.granted(0))
	domain.until(60*time.Second, domain.granted(1))
	domain.restart("vm-00", "b")
	domain.restart("vm-04", "b")
	domain.until(60*time.Second, domain.granted(2))
}

// Guards against a leader that orders engines that ignore fencing numbers
// while an order of its predecessor can still arrive.
func TestLeaderWaitsForOldOrders(test *testing.T) {
	adopted := testFolder(2)
	adopted.Classes[0].ChecksFencing = false
	domain := newTestDomain(test, 9, adopted)
	start := domain.now
	domain.until(60*time.Second, func() bool { return len(domain.orders) > 0 })
	require.GreaterOrEqual(test, domain.now.Sub(start), testLease+adopted.Classes[0].OrderDelay)
	domain.until(60*time.Second, domain.granted(2))

	// The VM dies so late that the repair falls into the margin of the lease.
	delay := adopted.Classes[0].OrderDelay
	domain.hold = true
	end := domain.now.Add(testLease)
	domain.pass(testLease - delay - 600*time.Millisecond)
	domain.engines["vm-01"].dead = true
	orders, commits := len(domain.orders), domain.commits
	domain.until(testLease, func() bool { return domain.commits > commits })
	require.True(test, domain.now.Before(end))
	domain.until(testLease, func() bool { return domain.now.After(end) })
	for _, order := range domain.orders[orders:] {
		require.LessOrEqual(test, order.Deadline, end.Add(-delay))
	}
	require.Len(test, domain.orders, orders)
}

// succeed replaces the leader by that of another node.
func (domain *testDomain) succeed(adopted FolderAdopted) {
	domain.leader = NewLeader(LeaderConfig{Domain: "fd", Node: "n2", Incarnation: "i1", LeaseDuration: testLease})
	domain.queue = nil
	domain.send(adopted)
	domain.send(VMsListed{VMs: domain.list})
	domain.until(10*time.Second, domain.leader.Leading)
}

// Guards against a new leader that seats a spare or repeats an order while an
// order of its predecessor can still arrive at an engine that ignores fencing
// numbers.
func TestNewLeaderWaitsForOldOrders(test *testing.T) {
	adopted := testFolder(2)
	adopted.Classes[0].ChecksFencing = false
	domain := newTestDomain(test, 9, adopted)
	domain.until(60*time.Second, domain.granted(2))
	domain.engines["vm-01"].report.Group = ""
	domain.engines["vm-01"].report.State = engine.StateIdle
	domain.engines["vm-05"].dead = true
	orders := len(domain.orders)
	domain.succeed(adopted)
	quiet := domain.now.Add(testLease + adopted.Classes[0].OrderDelay)
	for domain.now.Before(quiet.Add(-testStep)) {
		domain.step()
		_, placed := domain.leader.Placement().Assignment("vm-08")
		require.False(test, placed, "the spare has a seat")
		require.Len(test, domain.orders, orders)
	}
	domain.until(60*time.Second, domain.granted(2))
}

// Guards against a spare that gets a seat while its engine would still take an
// order of an earlier leader, or before the answer to an order was read back.
func TestSpareIsClaimedFirst(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	leader, vm := domain.leader, domain.leader.members["vm-08"]
	require.True(test, leader.spare(domain.now, vm))
	vm.report.Fence = leader.fence - 1
	require.False(test, leader.spare(domain.now, vm), "lower fencing number")
	vm.report.Fence = leader.fence
	vm.order = pendingOrder{id: "o"}
	require.False(test, leader.spare(domain.now, vm), "order without an answer")
}

// Guards against seats and orders of a record that the store did not take.
func TestRefusedWriteChangesNothing(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	orders, commits := len(domain.orders), domain.commits
	domain.refuse = true
	domain.engines["vm-01"].dead = true
	for end := domain.now.Add(10 * time.Second); domain.now.Before(end); {
		domain.step()
		_, placed := domain.leader.Placement().Assignment("vm-08")
		require.False(test, placed, "the spare has a seat")
		require.Len(test, domain.orders, orders)
	}
	require.Greater(test, domain.commits, commits)
	domain.refuse = false
	domain.until(20*time.Second, domain.granted(2))
}

// Guards against orders for a record that a write without an answer yet may
// have replaced.
func TestNoOrdersDuringWrite(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	leader, vm := domain.leader, domain.leader.members["vm-01"]
	vm.order = pendingOrder{}
	vm.report.Group, vm.report.State = "", engine.StateIdle
	leader.commit = pendingCommit{id: "open", record: leader.placement}
	require.Empty(test, leader.sendOrders(domain.now))
	leader.commit = pendingCommit{}
	require.Len(test, leader.sendOrders(domain.now), 1)
}

// Guards against a planned stop that begins while a node may still send new
// requests to the group.
func TestPlannedStopWaitsForTheGate(test *testing.T) {
	adopted := testFolder(2)
	domain := newTestDomain(test, 9, adopted)
	domain.until(20*time.Second, domain.granted(2))
	before, _ := domain.leader.Placement().Group("large.fd.0")
	orders := len(domain.orders)
	domain.send(LeavingKnown{VM: "vm-01", Incarnation: "a"})
	group := func() Group {
		found, _ := domain.leader.Placement().Group("large.fd.0")
		return found
	}
	domain.until(2*time.Second, func() bool { return group().State == StateDraining })
	require.Len(test, domain.orders, orders)
	for end := domain.now.Add(adopted.Policy.SpreadTime - testStep); domain.now.Before(end); {
		domain.step()
		require.Len(test, domain.orders, orders)
		require.Equal(test, StateDraining, group().State)
		require.Equal(test, before.Epoch, group().Epoch)
	}
	domain.until(20*time.Second, func() bool { return group().Epoch > before.Epoch })
}

// Guards against a straggler that keeps its seat although a spare exists, and
// against one that loses it when there is none.
func TestStragglerIsReplaced(test *testing.T) {
	for _, vms := range []int{8, 9} {
		domain := newTestDomain(test, vms, testFolder(2))
		domain.until(20*time.Second, domain.granted(2))
		domain.engines["vm-01"].lag = 400 * time.Millisecond
		domain.pass(time.Minute)
		_, placed := domain.leader.Placement().Assignment("vm-01")
		require.Equal(test, vms == 8, placed)
		require.Len(test, domain.grants, 2)
	}
}

// Guards against a policy whose decision gives a VM a second seat or a seat a
// second VM.
func TestDecisionsCannotTakeSeats(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	for name, decision := range map[string]Decision{
		"VM with a seat": Repair{Group: "large.fd.1", Rank: 1, VM: "vm-00", Replaced: "vm-05"},
		"taken seat":     Repair{Group: "large.fd.1", Rank: 1, VM: "vm-08"},
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

// Guards against a surplus replica that is kept and a removed group that
// holds its VMs for ever.
func TestLeaderReleasesSurplus(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	domain.send(testFolder(1))
	domain.until(20*time.Second, domain.granted(1))
	domain.until(20*time.Second, func() bool { return len(domain.leader.Placement().VMs()) == 4 })
	adopted := testFolder(1)
	adopted.Groups = nil
	adopted.Routes = nil
	domain.send(adopted)
	domain.until(20*time.Second, func() bool { return len(domain.leader.Placement().Groups()) == 0 })
}

// Guards against a leader that goes on with its own copy after another leader
// has written the record.
func TestLeaderTakesOverAfterLostRace(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
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
	domain.until(30*time.Second, func() bool { return domain.leader.Placement().Fence() > 7 && len(domain.grants) == 2 })
	for _, order := range domain.orders[orders:] {
		if order.VM == "vm-08" {
			require.Equal(test, engine.ActionRelease, order.Order.Action, "the spare was assigned before its fencing number was raised")
			return
		}
	}
}

// Guards against a damaged record that is taken for a valid one.
func TestDecodePlacementRejects(test *testing.T) {
	for name, record := range map[string]string{
		"malformed":       `{`,
		"unknown group":   `{"vms":{"a":{"group":"g"}}}`,
		"seat held twice": `{"epoch":1,"groups":{"g":{"name":"g","size":2,"epoch":1}},"vms":{"a":{"group":"g"},"b":{"group":"g"}}}`,
		"rank too high":   `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"a":{"group":"g","rank":1}}}`,
		"rank below 0":    `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"a":{"group":"g","rank":-1}}}`,
		"epoch too high":  `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":2}}}`,
		"size too large":  `{"epoch":1,"groups":{"g":{"name":"g","size":1000000000,"epoch":1}}}`,
		"other name":      `{"epoch":1,"groups":{"g":{"name":"h","size":1,"epoch":1}}}`,
	} {
		_, err := DecodePlacement([]byte(record))
		require.Error(test, err, name)
	}
}

// Guards against VMs that a list loses at once and that count for ever, and
// against their loss while they may be dark.
func TestSuspectVMsAreHeldForAWhile(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	leader := domain.leader
	sizes := []DomainSize{{Name: "other", FailureDomain: "fail-2", VMs: 8}}
	leader.noteElsewhere(domain.now, Elsewhere{Domains: sizes})
	listed := func(after time.Duration) (own, other int) {
		leader.noteList(domain.now.Add(after), nil)
		leader.noteElsewhere(domain.now.Add(after), Elsewhere{})
		for _, vm := range leader.members {
			vm.missingSince = domain.now
			if vm.listed {
				own++
			}
		}
		return own, totalVMs(leader.elsewhere.Domains)
	}
	for _, held := range []time.Duration{0, defaultDarkHold - time.Second} {
		own, other := listed(held)
		require.Equal(test, 9, own)
		require.Equal(test, 8, other)
	}
	own, other := listed(defaultDarkHold)
	require.Zero(test, own)
	require.Zero(test, other)
}

// Guards against a grant for a VM that reports its old seat under a new
// incarnation, and against a spare whose engine still holds a group.
func TestReportsThatDoNotCount(test *testing.T) {
	domain := newTestDomain(test, 9, testFolder(2))
	domain.until(20*time.Second, domain.granted(2))
	leader := domain.leader
	group, _ := leader.Placement().Group("large.fd.0")
	_, complete := leader.complete(group)
	require.True(test, complete)
	leader.members["vm-01"].report.Incarnation = "b"
	_, complete = leader.complete(group)
	require.False(test, complete)
	spare := leader.members["vm-08"]
	require.True(test, leader.spare(domain.now, spare))
	spare.report.Group = "large.fd.1"
	require.False(test, leader.spare(domain.now, spare))
}
