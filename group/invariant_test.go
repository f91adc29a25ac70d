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

// TestMain fixes the seed and the length of the random runs unless the command
// line sets them.
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
	chaosLease = 3 * time.Second
	chaosDelay = 1800 * time.Millisecond
	chaosLoad  = 400 * time.Millisecond
	chaosVMs   = 8
)

// chaosConfig selects what the environment promises.
type chaosConfig struct {
	checksFencing bool

	// overlap lets both nodes hold a lease at one time.
	overlap bool

	// stuck lets an order stay in its node without an answer and arrive at any
	// time after another node has taken over.
	stuck bool

	// restarts lets VMs restart.
	restarts bool
}

// A chaosEngine is the engine of one VM.
type chaosEngine struct {
	report  engine.Report
	readyAt time.Time
	silent  bool

	// newest is the highest fencing number of the orders that took effect, and
	// sequence the highest number of an order under it.
	newest   uint64
	sequence int
}

// A chaosOrder is an order on its way.
type chaosOrder struct {
	node        int
	vm          string
	incarnation string
	order       engine.Order
	due         time.Time
	stuck       bool
	answered    bool
}

// A chaosNode is one node with its leader and its shell.
type chaosNode struct {
	leader     *Leader
	paused     bool
	inbox      []Event
	leaseUntil time.Time
	renews     bool
}

// A seat is what an engine held, with the time at which it last did.
type seat struct {
	vm          string
	incarnation string
	group       string
	epoch       uint64
	rank        int
}

// chaos is a fabric domain with two nodes, a store and engines, in which pauses,
// lost answers, lost leases, restarts and delays happen in any order.
type chaos struct {
	config   chaosConfig
	now      time.Time
	nodes    []*chaosNode
	engines  map[string]*chaosEngine
	flying   []*chaosOrder
	list     []kvstore.VM
	record   []byte
	fence    uint64
	revision uint64
	late     []Commit
	history  map[uint64]map[string]Assignment
	writers  map[uint64]string
	held     map[seat]time.Time
	adopted  FolderAdopted
	served   int
	moved    int
}

func newChaos(config chaosConfig) *chaos {
	world := &chaos{
		config:  config,
		now:     time.Unix(2_000_000, 0),
		engines: map[string]*chaosEngine{},
		history: map[uint64]map[string]Assignment{},
		writers: map[uint64]string{},
		held:    map[seat]time.Time{},
	}
	world.adopted = FolderAdopted{
		Groups: []folder.Group{
			{Name: "large", Model: "m", Version: "1", Size: 3, Replicas: 2, Value: 2, WeightBytes: 1 << 20, TargetClass: "runner"},
			{Name: "small", Model: "s", Version: "1", Size: 1, Replicas: 1, Value: 1, WeightBytes: 1 << 20, TargetClass: "runner"},
		},
		Classes: []folder.TargetClass{{Name: "runner", ChecksFencing: config.checksFencing, OrderDelay: chaosDelay}},
		Policy: folder.Policy{
			DowntimeWeight: 1, StrandedWeight: 1, ReportInterval: 100 * time.Millisecond,
			GrantBound: 400 * time.Millisecond, WeightRate: 1 << 21, SpreadTime: 100 * time.Millisecond,
		},
	}
	for index := range chaosVMs {
		name := fmt.Sprintf("vm-%d", index)
		world.engines[name] = &chaosEngine{report: engine.Report{VM: name, Incarnation: "0", State: engine.StateIdle}}
		world.list = append(world.list, kvstore.VM{Name: name, Address: name, Incarnation: "0", FabricDomain: "fd", FailureDomain: "f", Accelerators: 1, State: kvstore.VMLive})
	}
	for index := range 2 {
		node := &chaosNode{leader: NewLeader(LeaderConfig{Domain: "fd", Node: fmt.Sprintf("n%d", index), Incarnation: "i", LeaseDuration: chaosLease})}
		node.inbox = []Event{world.adopted, VMsListed{VMs: world.list}}
		world.nodes = append(world.nodes, node)
	}
	return world
}

// advance lets a short time pass: leases are renewed or change hands, events
// reach the nodes that are not paused, and orders arrive.
func (world *chaos) advance(t *rapid.T) {
	world.now = world.now.Add(time.Duration(rapid.IntRange(10, 150).Draw(t, "ms")) * time.Millisecond)
	world.leases(t)
	world.deliverOrders(t)
	for index, node := range world.nodes {
		if node.paused {
			continue
		}
		events := append(node.inbox, Tick{})
		node.inbox = nil
		for _, event := range events {
			for _, effect := range node.leader.Handle(world.now, event) {
				world.run(t, index, effect)
			}
		}
	}
	world.observe()
}

// leases renews the lease of the holder and gives a free one to a node.
func (world *chaos) leases(t *rapid.T) {
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
		node.leaseUntil = world.now.Add(chaosLease)
		node.inbox = append(node.inbox, LeaseHeld{Until: node.leaseUntil})
	}
}

func (world *chaos) run(t *rapid.T, index int, effect Effect) {
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

// commit applies the write at once or later or never, with or without an
// answer.
func (world *chaos) commit(t *rapid.T, node *chaosNode, commit Commit) {
	done := CommitDone{ID: commit.ID, Outcome: kvstore.Unknown{}}
	switch rapid.IntRange(0, 11).Draw(t, "commit") {
	case 0:
		world.apply(t, commit)
	case 1:
		world.late = append(world.late, commit)
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

// apply is the store's compare-and-swap and checks the step from one record to
// the next.
func (world *chaos) apply(t *rapid.T, commit Commit) bool {
	if !commit.Expect.Any() && commit.Expect.Revision() != world.revision {
		return false
	}
	next, err := DecodePlacement(commit.Record)
	if err != nil {
		t.Fatalf("committed record: %v", err)
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
		if world.history[epoch] == nil {
			world.history[epoch] = map[string]Assignment{}
		}
		if known, found := world.history[epoch][vm]; found && known != assignment {
			t.Fatalf("epoch %d gives %s both %+v and %+v", epoch, vm, known, assignment)
		}
		world.history[epoch][vm] = assignment
	}
	world.record = commit.Record
	world.fence = next.Fence()
	world.revision++
	return true
}

func (world *chaos) checkStep(t *rapid.T, next *Placement) {
	last, err := DecodePlacement(world.record)
	if err != nil {
		t.Fatalf("stored record: %v", err)
	}
	if next.Fence() < last.Fence() {
		t.Fatalf("fencing number goes from %d back to %d", last.Fence(), next.Fence())
	}
	for vm, assignment := range next.vms {
		if before, placed := last.Assignment(vm); placed && before.Group != assignment.Group {
			t.Fatalf("%s moves from %s to %s in one record", vm, before.Group, assignment.Group)
		}
		if _, placed := last.Assignment(vm); !placed {
			world.moved++
		}
	}
}

func (world *chaos) read(node *chaosNode, read ReadReport) {
	runner := world.engines[read.VM]
	if runner.silent {
		node.inbox = append(node.inbox, ReportFailed{VM: read.VM})
		return
	}
	node.inbox = append(node.inbox, ReportRead{Sent: world.now, Report: runner.report})
}

// send puts an order on its way. The shell drops it after its deadline.
func (world *chaos) send(t *rapid.T, index int, effect SendOrder) {
	if !world.now.Before(effect.Deadline) {
		world.nodes[index].inbox = append(world.nodes[index].inbox, OrderRefused{VM: effect.VM, Order: effect.Order.ID})
		return
	}
	order := &chaosOrder{node: index, vm: effect.VM, order: effect.Order, incarnation: world.engines[effect.VM].report.Incarnation}
	order.due = world.now.Add(time.Duration(rapid.IntRange(0, int(chaosDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond)
	order.stuck = world.config.stuck && rapid.IntRange(0, 3).Draw(t, "stuck") == 0
	if !order.stuck && rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		order.answered = true
		world.nodes[index].inbox = append(world.nodes[index].inbox, OrderUnknown{VM: effect.VM, Order: effect.Order.ID})
	}
	world.flying = append(world.flying, order)
}

// deliverOrders lets the due orders arrive, the newest sent first. An order
// that is stuck in a paused node arrives after the node has lost its lease.
func (world *chaos) deliverOrders(t *rapid.T) {
	flying := world.flying
	world.flying = nil
	for index := len(flying) - 1; index >= 0; index-- {
		order := flying[index]
		due := !world.now.Before(order.due)
		if order.stuck {
			due = world.fence > order.order.Fence && rapid.IntRange(0, 5).Draw(t, "arrives") == 0
		}
		if !due {
			world.flying = append([]*chaosOrder{order}, world.flying...)
			continue
		}
		world.arrive(t, order)
	}
}

func (world *chaos) arrive(t *rapid.T, order *chaosOrder) {
	runner := world.engines[order.vm]
	var answer Event = OrderUnknown{VM: order.vm, Order: order.order.ID}
	switch {
	case runner.silent || runner.report.Incarnation != order.incarnation:
	case world.config.checksFencing && order.order.Fence < runner.report.Fence:
		answer = OrderRefused{VM: order.vm, Order: order.order.ID, Fence: runner.report.Fence}
	default:
		world.checkOrder(t, runner, order.order)
		runner.take(world.now, order.order)
		answer = OrderAccepted{VM: order.vm, Order: order.order.ID}
	}
	if !order.answered {
		world.nodes[order.node].inbox = append(world.nodes[order.node].inbox, answer)
	}
}

// checkOrder states what may take effect at an engine.
func (world *chaos) checkOrder(t *rapid.T, runner *chaosEngine, order engine.Order) {
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

func (runner *chaosEngine) take(now time.Time, order engine.Order) {
	helper := testEngine{report: runner.report, readyAt: runner.readyAt}
	helper.take(now, order)
	runner.report = helper.report
	runner.newest = max(runner.newest, order.Fence)
	runner.sequence = sequence(order)
	if helper.report.State == engine.StateLoading {
		runner.readyAt = now.Add(chaosLoad)
	}
}

// observe lets loads finish and notes what every engine holds.
func (world *chaos) observe() {
	for vm, runner := range world.engines {
		if runner.report.State == engine.StateLoading && !world.now.Before(runner.readyAt) {
			runner.report.State = engine.StateReady
		}
		if runner.silent || runner.report.State == engine.StateLoading {
			continue
		}
		report := runner.report
		world.held[seat{vm, report.Incarnation, report.Group, report.Epoch, report.Rank}] = world.now
	}
}

// checkGrant states that every member of the composition was loaded and alive
// at the grant's report time or later, and that no VM is in another one.
func (world *chaos) checkGrant(t *rapid.T, grant Grant) {
	world.served++
	for vm, assignment := range world.history[grant.Epoch] {
		last, found := world.held[seat{vm, assignment.Incarnation, grant.Group, grant.Epoch, assignment.Rank}]
		if !found || last.Before(grant.ReportedAt) {
			t.Fatalf("grant of %s epoch %d at %v: %s last held its seat at %v", grant.Group, grant.Epoch, grant.ReportedAt, vm, last)
		}
	}
}

// disturb is one fault or change.
func (world *chaos) disturb(t *rapid.T) {
	node := world.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
	name := fmt.Sprintf("vm-%d", rapid.IntRange(0, chaosVMs-1).Draw(t, "vm"))
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
		runner.silent = !runner.silent
	case 6:
		if world.config.restarts {
			incarnation := runner.report.Incarnation + "+"
			world.engines[name] = &chaosEngine{report: engine.Report{VM: name, Incarnation: incarnation, State: engine.StateIdle}}
		}
	case 7:
		for _, commit := range world.late {
			world.apply(t, commit)
		}
		world.late = nil
	case 8:
		world.adopted.Groups = append([]folder.Group(nil), world.adopted.Groups...)
		world.adopted.Groups[0].Replicas = rapid.IntRange(1, 2).Draw(t, "replicas")
		world.adopted.Groups[1].Version = fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version"))
		for _, each := range world.nodes {
			each.inbox = append(each.inbox, world.adopted)
		}
	case 9:
		for _, each := range world.nodes {
			each.inbox = append(each.inbox, LeavingKnown{VM: name, Incarnation: runner.report.Incarnation})
		}
	}
}

func checkChaos(test *testing.T, config chaosConfig) {
	served, moved, terms := 0, 0, 0
	rapid.Check(test, func(t *rapid.T) {
		world := newChaos(config)
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
			"disturb": world.disturb,
		})
		served += world.served
		moved += world.moved
		terms += int(world.fence)
	})
	test.Logf("%d grants and %d assignments in %d terms checked", served, moved, terms)
	if served == 0 || moved == 0 || terms == 0 {
		test.Fatal("the run proves nothing: no group served, no VM was assigned or no leader took over")
	}
}

// Guards against a VM in two groups and against old orders that take effect,
// with engines that check fencing and orders that stay stuck in a paused node.
func TestInvariantsWithFencing(test *testing.T) {
	checkChaos(test, chaosConfig{checksFencing: true, stuck: true, restarts: true})
}

// Guards against the same with engines that ignore fencing numbers; leases
// exclude each other and orders arrive within the order delay.
func TestInvariantsWithoutFencing(test *testing.T) {
	checkChaos(test, chaosConfig{restarts: true})
}

// Guards against the same when the store gives both nodes a lease.
func TestInvariantsWithTwoLeaders(test *testing.T) {
	checkChaos(test, chaosConfig{checksFencing: true, overlap: true})
}
