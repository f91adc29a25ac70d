package group

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// TestMain sets a fixed seed and a length for the random runs. The command line
// overrides them.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "250", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(main.Run())
}

const (
	simulatedLease      = 3 * time.Second
	simulatedOrderDelay = 1800 * time.Millisecond
	simulatedLoadTime   = 400 * time.Millisecond
	simulatedVMs        = 8
)

// simulationConfig selects the guarantees and faults of the environment.
type simulationConfig struct {
	checksFencing bool

	// overlap lets both nodes hold a lease at the same time.
	overlap bool

	// stuck lets an order stay unanswered in its node and arrive at any time
	// after another node has taken over.
	stuck bool

	// restarts lets VMs restart.
	restarts bool
}

// A simulatedEngine is the engine of one VM.
type simulatedEngine struct {
	report      engine.Report
	readyAt     time.Time
	unreachable bool

	// newest is the highest fencing number of the orders that took effect, and
	// sequence the number of the last order under it.
	newest   uint64
	sequence int
}

// A simulatedOrder is an order that has not arrived yet.
type simulatedOrder struct {
	node        int
	vm          string
	incarnation string
	order       engine.Order
	due         time.Time
	stuck       bool
	answered    bool
}

// A simulatedNode is one node with its leader and its queue of events.
type simulatedNode struct {
	leader     *Leader
	paused     bool
	inbox      []Event
	leaseUntil time.Time
	renews     bool
}

// A reportedAssignment is an assignment for which an engine was loaded.
type reportedAssignment struct {
	vm          string
	incarnation string
	group       string
	epoch       uint64
	rank        int
}

// A simulation is a fabric domain with two nodes, a store and engines, in which
// pauses, lost answers, lost leases, restarts and delays occur in any order.
type simulation struct {
	config         simulationConfig
	now            time.Time
	nodes          []*simulatedNode
	engines        map[string]*simulatedEngine
	inFlight       []*simulatedOrder
	list           []kvstore.VM
	record         []byte
	fence          uint64
	revision       uint64
	delayedCommits []Commit
	assignments    map[uint64]map[string]Assignment
	writers        map[uint64]string
	lastReported   map[reportedAssignment]time.Time
	adopted        FolderAdopted
	checkedGrants  int
	newAssignments int
}

func newSimulation(config simulationConfig) *simulation {
	world := &simulation{
		config:       config,
		now:          time.Unix(2_000_000, 0),
		engines:      map[string]*simulatedEngine{},
		assignments:  map[uint64]map[string]Assignment{},
		writers:      map[uint64]string{},
		lastReported: map[reportedAssignment]time.Time{},
	}
	world.adopted = FolderAdopted{
		Groups: []folder.Group{
			{Name: "large", Model: "m", Version: "1", Size: 3, Replicas: 2, Value: 2, WeightBytes: 1 << 20, TargetClass: "runner"},
			{Name: "small", Model: "s", Version: "1", Size: 1, Replicas: 1, Value: 1, WeightBytes: 1 << 20, TargetClass: "runner"},
		},
		Classes: []folder.TargetClass{{Name: "runner", ChecksFencing: config.checksFencing, OrderDelay: simulatedOrderDelay}},
		Policy: folder.Policy{
			DowntimeWeight: 1, StrandedWeight: 1, ReportInterval: 100 * time.Millisecond,
			GrantBound: 400 * time.Millisecond, WeightRate: 1 << 21, SpreadTime: 100 * time.Millisecond,
		},
	}
	for index := range simulatedVMs {
		name := fmt.Sprintf("vm-%d", index)
		world.engines[name] = &simulatedEngine{report: engine.Report{VM: name, Incarnation: "0", State: engine.StateIdle}}
		world.list = append(world.list, kvstore.VM{Name: name, Address: name, Incarnation: "0", FabricDomain: "fd", FailureDomain: "f", Accelerators: 1, State: kvstore.VMLive})
	}
	for index := range 2 {
		node := &simulatedNode{leader: NewLeader(LeaderConfig{Domain: "fd", Node: fmt.Sprintf("n%d", index), Incarnation: "i", LeaseDuration: simulatedLease})}
		node.inbox = []Event{world.adopted, VMsListed{VMs: world.list}}
		world.nodes = append(world.nodes, node)
	}
	return world
}

// advance advances the clock by a short random time: leases are renewed or move to
// the other node, due orders arrive, and nodes that are not paused handle their
// events.
func (world *simulation) advance(t *rapid.T) {
	world.now = world.now.Add(time.Duration(rapid.IntRange(10, 150).Draw(t, "ms")) * time.Millisecond)
	world.updateLeases(t)
	world.deliverOrders(t)
	for index, node := range world.nodes {
		if node.paused {
			continue
		}
		events := append(node.inbox, Tick{})
		node.inbox = nil
		for _, event := range events {
			for _, effect := range node.leader.Handle(world.now, event) {
				world.carryOut(t, index, effect)
			}
		}
	}
	world.updateEngines()
}

// updateLeases renews the lease of its holder and grants a free one to a node.
func (world *simulation) updateLeases(t *rapid.T) {
	free := true
	for _, node := range world.nodes {
		if world.now.Before(node.leaseUntil) {
			free = false
		}
	}
	for index, node := range world.nodes {
		holds := world.now.Before(node.leaseUntil)
		if node.paused || holds && !node.renews {
			continue
		}
		if !holds && !free && !world.config.overlap {
			continue
		}
		if !holds && rapid.IntRange(0, 3).Draw(t, "take") != index {
			continue
		}
		free = false
		node.renews = true
		node.leaseUntil = world.now.Add(simulatedLease)
		node.inbox = append(node.inbox, LeaseHeld{Until: node.leaseUntil})
	}
}

func (world *simulation) carryOut(t *rapid.T, index int, effect Effect) {
	node := world.nodes[index]
	switch effect := effect.(type) {
	case ReadPlacement:
		node.inbox = append(node.inbox, PlacementRead{Record: world.record, Revision: world.revision})
	case Commit:
		world.commit(t, node, effect)
	case ReadReport:
		world.read(node, effect)
	case SendOrder:
		world.send(t, index, effect)
	case AcquireWeights:
		node.inbox = append(node.inbox, WeightsAcquired{VM: effect.VM})
	case PublishGrants:
		for _, grant := range effect.Grants {
			world.checkGrant(t, grant.Grant)
		}
	}
}

// commit applies the write immediately, later or never, with or without an answer.
func (world *simulation) commit(t *rapid.T, node *simulatedNode, commit Commit) {
	done := CommitDone{ID: commit.ID, Outcome: kvstore.Unknown{}}
	switch rapid.IntRange(0, 11).Draw(t, "commit") {
	case 0:
		world.apply(t, commit)
	case 1:
		world.delayedCommits = append(world.delayedCommits, commit)
	case 2:
	case 3:
		done.Outcome = kvstore.Refused{}
	default:
		done.Outcome = kvstore.Conflict{Revision: world.revision}
		if world.apply(t, commit) {
			done.Outcome = kvstore.Written{Revision: world.revision}
		}
	}
	node.inbox = append(node.inbox, done)
}

// apply performs the store's compare-and-swap and checks the change from one record
// to the next.
func (world *simulation) apply(t *rapid.T, commit Commit) bool {
	if !commit.Expect.Any() && commit.Expect.Revision() != world.revision {
		return false
	}
	next, err := DecodePlacement(commit.Record)
	if err != nil {
		t.Fatalf("decoding the committed record: %v", err)
	}
	if world.revision > 0 {
		world.checkStep(t, next)
	}
	if writer, found := world.writers[next.Fence()]; found && writer != next.Leader() {
		t.Fatalf("fencing number %d is used by %s and %s", next.Fence(), writer, next.Leader())
	}
	world.writers[next.Fence()] = next.Leader()
	for vm, assignment := range next.vms {
		epoch := next.groups[assignment.Group].Epoch
		if world.assignments[epoch] == nil {
			world.assignments[epoch] = map[string]Assignment{}
		}
		if known, found := world.assignments[epoch][vm]; found && known != assignment {
			t.Fatalf("epoch %d assigns %s to both %+v and %+v", epoch, vm, known, assignment)
		}
		world.assignments[epoch][vm] = assignment
	}
	world.record = commit.Record
	world.fence = next.Fence()
	world.revision++
	return true
}

func (world *simulation) checkStep(t *rapid.T, next *Placement) {
	last, err := DecodePlacement(world.record)
	if err != nil {
		t.Fatalf("decoding the stored record: %v", err)
	}
	if next.Fence() < last.Fence() {
		t.Fatalf("fencing number decreases from %d to %d", last.Fence(), next.Fence())
	}
	for vm, assignment := range next.vms {
		if before, placed := last.Assignment(vm); placed && before.Group != assignment.Group {
			t.Fatalf("%s moves from %s to %s in one record", vm, before.Group, assignment.Group)
		}
		if _, placed := last.Assignment(vm); !placed {
			world.newAssignments++
		}
	}
}

func (world *simulation) read(node *simulatedNode, read ReadReport) {
	runner := world.engines[read.VM]
	if runner.unreachable {
		node.inbox = append(node.inbox, ReportFailed{VM: read.VM})
		return
	}
	node.inbox = append(node.inbox, ReportRead{Sent: world.now, Report: runner.report})
}

// send queues an order for a later arrival. An order whose deadline has passed is
// not sent.
func (world *simulation) send(t *rapid.T, index int, effect SendOrder) {
	if !world.now.Before(effect.Deadline) {
		world.nodes[index].inbox = append(world.nodes[index].inbox, OrderRefused{VM: effect.VM, Order: effect.Order.ID})
		return
	}
	order := &simulatedOrder{node: index, vm: effect.VM, order: effect.Order, incarnation: world.engines[effect.VM].report.Incarnation}
	order.due = world.now.Add(time.Duration(rapid.IntRange(0, int(simulatedOrderDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond)
	order.stuck = world.config.stuck && rapid.IntRange(0, 3).Draw(t, "stuck") == 0
	if !order.stuck && rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		order.answered = true
		world.nodes[index].inbox = append(world.nodes[index].inbox, OrderUnknown{VM: effect.VM, Order: effect.Order.ID})
	}
	world.inFlight = append(world.inFlight, order)
}

// deliverOrders delivers the due orders, the most recently sent first. An order that
// is stuck in a paused node arrives after another node has taken over.
func (world *simulation) deliverOrders(t *rapid.T) {
	pending := world.inFlight
	world.inFlight = nil
	for index := len(pending) - 1; index >= 0; index-- {
		order := pending[index]
		due := !world.now.Before(order.due)
		if order.stuck {
			due = world.fence > order.order.Fence && rapid.IntRange(0, 5).Draw(t, "arrives") == 0
		}
		if !due {
			world.inFlight = append([]*simulatedOrder{order}, world.inFlight...)
			continue
		}
		world.arrive(t, order)
	}
}

func (world *simulation) arrive(t *rapid.T, order *simulatedOrder) {
	runner := world.engines[order.vm]
	var answer Event = OrderUnknown{VM: order.vm, Order: order.order.ID}
	switch {
	case runner.unreachable || runner.report.Incarnation != order.incarnation:
	case world.config.checksFencing && order.order.Fence < runner.report.Fence:
		answer = OrderRefused{VM: order.vm, Order: order.order.ID, Fence: runner.report.Fence}
	default:
		world.checkOrder(t, runner, order.order)
		runner.applyOrder(world.now, order.order)
		answer = OrderAccepted{VM: order.vm, Order: order.order.ID}
	}
	if !order.answered {
		world.nodes[order.node].inbox = append(world.nodes[order.node].inbox, answer)
	}
}

// checkOrder fails the test for an order that must not take effect at an engine.
func (world *simulation) checkOrder(t *rapid.T, runner *simulatedEngine, order engine.Order) {
	if order.Fence < runner.newest {
		t.Fatalf("%s: order %s with fencing number %d takes effect after one with %d", runner.report.VM, order.ID, order.Fence, runner.newest)
	}
	if order.Fence == runner.newest && sequence(order) < runner.sequence {
		t.Fatalf("%s: order %s takes effect after order %d of its leader", runner.report.VM, order.ID, runner.sequence)
	}
	if order.Action == engine.ActionLoad && runner.report.Group != "" && runner.report.Group != order.Group {
		t.Fatalf("%s: order %s loads %s while the engine holds %s", runner.report.VM, order.ID, order.Group, runner.report.Group)
	}
}

// sequence returns the number at the end of an order's id.
func sequence(order engine.Order) int {
	number, err := strconv.Atoi(order.ID[strings.LastIndex(order.ID, "/")+1:])
	if err != nil {
		panic(err)
	}
	return number
}

func (runner *simulatedEngine) applyOrder(now time.Time, order engine.Order) {
	helper := testEngine{report: runner.report, readyAt: runner.readyAt}
	helper.applyOrder(now, order)
	runner.report = helper.report
	runner.newest = max(runner.newest, order.Fence)
	runner.sequence = sequence(order)
	if helper.report.State == engine.StateLoading {
		runner.readyAt = now.Add(simulatedLoadTime)
	}
}

// updateEngines finishes due loads and records the assignment of every reachable
// engine that is loaded.
func (world *simulation) updateEngines() {
	for vm, runner := range world.engines {
		if runner.report.State == engine.StateLoading && !world.now.Before(runner.readyAt) {
			runner.report.State = engine.StateReady
		}
		if runner.unreachable || runner.report.State == engine.StateLoading {
			continue
		}
		report := runner.report
		world.lastReported[reportedAssignment{vm, report.Incarnation, report.Group, report.Epoch, report.Rank}] = world.now
	}
}

// checkGrant fails the test unless every member of the composition was loaded and
// reachable at the grant's report time or later.
func (world *simulation) checkGrant(t *rapid.T, grant Grant) {
	world.checkedGrants++
	for vm, assignment := range world.assignments[grant.Epoch] {
		last, found := world.lastReported[reportedAssignment{vm, assignment.Incarnation, grant.Group, grant.Epoch, assignment.Rank}]
		if !found || last.Before(grant.ReportedAt) {
			t.Fatalf("grant of %s epoch %d at %v: %s last reported its assignment at %v", grant.Group, grant.Epoch, grant.ReportedAt, vm, last)
		}
	}
}

// injectFault applies one random fault or change of the configuration.
func (world *simulation) injectFault(t *rapid.T) {
	node := world.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
	name := fmt.Sprintf("vm-%d", rapid.IntRange(0, simulatedVMs-1).Draw(t, "vm"))
	runner := world.engines[name]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1:
		node.paused = !node.paused
	case 2:
		node.renews = false
	case 3:
		node.renews = false
		node.inbox = append(node.inbox, LeaseLost{})
	case 4, 5:
		runner.unreachable = !runner.unreachable
	case 6:
		if world.config.restarts {
			incarnation := runner.report.Incarnation + "+"
			world.engines[name] = &simulatedEngine{report: engine.Report{VM: name, Incarnation: incarnation, State: engine.StateIdle}}
		}
	case 7:
		for _, commit := range world.delayedCommits {
			world.apply(t, commit)
		}
		world.delayedCommits = nil
	case 8:
		world.adopted.Groups = append([]folder.Group(nil), world.adopted.Groups...)
		world.adopted.Groups[0].Replicas = rapid.IntRange(1, 2).Draw(t, "replicas")
		world.adopted.Groups[1].Version = fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version"))
		for _, each := range world.nodes {
			each.inbox = append(each.inbox, world.adopted)
		}
	case 9:
		for _, each := range world.nodes {
			each.inbox = append(each.inbox, VMLeaving{VM: name, Incarnation: runner.report.Incarnation})
		}
	}
}

func checkSimulation(test *testing.T, config simulationConfig) {
	grants, assignments, terms := 0, 0, 0
	rapid.Check(test, func(t *rapid.T) {
		world := newSimulation(config)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				for range 8 {
					world.advance(t)
				}
			},
			"advance long": func(t *rapid.T) {
				for range 30 {
					world.advance(t)
				}
			},
			"disturb": world.injectFault,
		})
		grants += world.checkedGrants
		assignments += world.newAssignments
		terms += int(world.fence)
	})
	test.Logf("%d grants and %d assignments in %d terms checked", grants, assignments, terms)
	if grants == 0 || assignments == 0 || terms == 0 {
		test.Fatal("the run checked nothing: no group served, no VM was assigned or no leader took over")
	}
}

// Guards against a VM in two groups and against late orders that take effect, with
// engines that check fencing numbers and orders that are stuck in a paused node.
func TestInvariantsWithFencing(test *testing.T) {
	checkSimulation(test, simulationConfig{checksFencing: true, stuck: true, restarts: true})
}

// Guards against a VM in two groups and against late orders that take effect, with
// engines that ignore fencing numbers. Leases do not overlap, and orders arrive
// within the order delay.
func TestInvariantsWithoutFencing(test *testing.T) {
	checkSimulation(test, simulationConfig{restarts: true})
}

// Guards against a VM in two groups and against late orders that take effect, when
// the store grants both nodes a lease.
func TestInvariantsWithTwoLeaders(test *testing.T) {
	checkSimulation(test, simulationConfig{checksFencing: true, overlap: true})
}
