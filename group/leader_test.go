package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/platform"
)

// A testEngine takes every order at once and loads within loadTime.
type testEngine struct {
	report  engine.Report
	readyAt time.Time
	dead    bool
}

// A testDomain carries out a leader's effects on a virtual clock.
type testDomain struct {
	test     *testing.T
	leader   *Leader
	now      time.Time
	record   []byte
	revision uint64
	engines  map[string]*testEngine
	list     []platform.VM
	grants   []GroupGrant
	orders   []SendOrder
	commits  int
	queue    []Event

	// answer replaces the outcome of the next commit when it is not nil.
	answer func(done CommitDone) CommitDone
	hold   bool
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
		domain.list = append(domain.list, platform.VM{
			Name: name, Address: "127.0.0.1:" + name[3:], Incarnation: "a", FabricDomain: "fd",
			FailureDomain: "fail-1", Accelerators: 4, State: platform.VMLive,
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
	done := CommitDone{ID: effect.ID, Outcome: platform.Conflict{Revision: domain.revision}}
	if effect.Expect.Revision() == domain.revision {
		domain.revision++
		domain.record = effect.Record
		done.Outcome = platform.Written{Revision: domain.revision}
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
	if runner.report.State == engine.StateLoading && !domain.now.Before(runner.readyAt) {
		runner.report.State = engine.StateReady
	}
	return ReportRead{Sent: domain.now, Report: runner.report}
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
	runner.take(domain.now, effect.Order)
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
