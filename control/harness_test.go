package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zaptest"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/control"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/standin/store"
	"lacewingspoke.org/lacewingspoke/timer"
)

const (
	// waitBound is the longest time that a test waits for a condition. It is far
	// above the bounds of the code, so that tests pass on a loaded machine.
	waitBound = 30 * time.Second
	waitTick  = 10 * time.Millisecond

	testLease = 1500 * time.Millisecond
	// testBound is the grant bound. It is far above the delays of a loaded
	// machine and below the duration of the store outages, which is several
	// leases.
	testBound = 2 * time.Second
)

// engines is a fake of all engines of a fleet.
type engines struct {
	mutex sync.Mutex

	// vms holds the reports of the engines by address. An engine whose address
	// is in dead does not respond.
	vms  map[string]*engine.Report
	dead map[string]bool

	// reports counts the reports that were read.
	reports int

	// released counts the release orders to VMs that were serving.
	released int
}

func (fake *engines) Report(_ context.Context, address string) (engine.Report, error) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.reports++
	report, found := fake.vms[address]
	if !found || fake.dead[address] {
		return engine.Report{}, errors.New("engine does not answer")
	}
	return *report, nil
}

func (fake *engines) SendOrder(_ context.Context, address string, order engine.Order) engine.OrderOutcome {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	report, found := fake.vms[address]
	if !found || fake.dead[address] {
		return engine.OrderUnknown{Err: errors.New("engine does not answer")}
	}
	if order.Fence < report.Fence {
		return engine.OrderFenced{Fence: report.Fence}
	}
	report.Fence = order.Fence
	switch order.Action {
	case engine.ActionRelease:
		if report.State == engine.StateReady {
			fake.released++
		}
		report.Group, report.Epoch, report.State = "", 0, engine.StateIdle
	case engine.ActionDrain:
		report.State = engine.StateDraining
	default:
		report.Group, report.Epoch, report.Rank = order.Group, order.Epoch, order.Rank
		report.Model, report.Version, report.State = order.Model, order.Version, engine.StateReady
	}
	return engine.OrderAccepted{}
}

func (fake *engines) reportsRead() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.reports
}

func (fake *engines) releasedWhileServing() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.released
}

func (fake *engines) kill(address string) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.dead[address] = true
}

type services struct{}

func (services) Report(context.Context, string) (control.ServiceReport, error) {
	return control.ServiceReport{}, nil
}

type traffic struct{}

func (traffic) Usage() []peer.WorkspaceUsage       { return nil }
func (traffic) SetUsage([]peer.Usage)              {}
func (traffic) RequestReceived() bool              { return true }
func (traffic) StalledGroups() []string            { return nil }
func (traffic) SetNodes([]fleet.Node)              {}
func (traffic) TargetsLost() bool                  { return false }
func (traffic) TakeLeaving() []route.LeavingTarget { return nil }

// A filter is a mesh that can drop the grants received from one peer.
type filter struct {
	*peer.Mesh
	events chan peer.Event

	// dropped is the name of the peer whose grants are dropped, if any.
	dropped atomic.Pointer[string]
}

func newFilter(ctx context.Context, mesh *peer.Mesh) *filter {
	filter := &filter{Mesh: mesh, events: make(chan peer.Event)}
	go filter.run(ctx)
	return filter
}

func (filter *filter) Events() <-chan peer.Event { return filter.events }

func (filter *filter) run(ctx context.Context) {
	for {
		select {
		case event := <-filter.Mesh.Events():
			if filter.drops(event) {
				continue
			}
			select {
			case filter.events <- event:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (filter *filter) drops(event peer.Event) bool {
	received, isFrame := event.(peer.Received)
	dropped := filter.dropped.Load()
	if !isFrame || dropped == nil || received.From != *dropped {
		return false
	}
	_, isGrants := received.Frame.(peer.Grants)
	return isGrants
}

// A cluster is a store, engines and nodes in one process.
type cluster struct {
	test    *testing.T
	store   *store.Store
	server  *httptest.Server
	engines *engines
	vms     []store.VM
	nodes   []*node

	// admins holds the running nodes by their admin addresses.
	admins sync.Map

	// partitioned makes all calls between the nodes fail.
	partitioned atomic.Bool
}

// A node is one control thread with its peer links.
type node struct {
	name       string
	controller *control.Controller
	publisher  *route.Publisher
	mesh       *peer.Mesh
	filter     *filter
	tracker    *quarantine.Tracker
	limits     *limit.TargetLimits

	// endings counts the ends of targets that other nodes have reported to the node.
	endings atomic.Int64
	cancel  context.CancelFunc
}

// newCluster starts a store that lists the given number of VMs in one fabric
// domain.
func newCluster(test *testing.T, vms int) *cluster {
	built := &cluster{
		test:    test,
		engines: &engines{vms: map[string]*engine.Report{}, dead: map[string]bool{}},
	}
	for index := range vms {
		vm := store.VM{
			Name:          fmt.Sprintf("vm-%d", index),
			Address:       fmt.Sprintf("127.0.0.1:%d", 20000+index),
			Incarnation:   "1",
			FabricDomain:  "fabric-a",
			FailureDomain: "zone-a",
			Accelerators:  4,
			State:         "live",
		}
		built.vms = append(built.vms, vm)
		built.engines.vms[vm.Address] = &engine.Report{VM: vm.Name, Incarnation: "1", State: engine.StateIdle}
	}
	built.store = store.New(store.Config{VMs: built.vms})
	built.server = httptest.NewServer(built.store)
	test.Cleanup(built.stop)
	return built
}

// newGrantedCluster starts nodes and waits until each has a grant for the
// group of the test folder.
func newGrantedCluster(test *testing.T, vms, nodes int) *cluster {
	built := newCluster(test, vms)
	for range nodes {
		built.startNode(built.storeAddress())
	}
	built.apply(1)
	built.awaitGrants("grant")
	return built
}

// awaitGrants waits until every node has a grant.
func (cluster *cluster) awaitGrants(what string) {
	for _, running := range cluster.nodes {
		running.await(cluster.test, what, func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
}

func (cluster *cluster) stop() {
	for _, running := range cluster.nodes {
		running.cancel()
	}
	for _, running := range cluster.nodes {
		<-running.controller.Done()
		<-running.mesh.Done()
	}
	cluster.server.CloseClientConnections()
	cluster.server.Close()
}

// stopNode ends a node abruptly: it neither releases its fabric domains nor
// revokes its lease.
func (cluster *cluster) stopNode(stopped *node) {
	stopped.cancel()
	<-stopped.controller.Done()
	<-stopped.mesh.Done()
	cluster.admins.Range(func(address, running any) bool {
		if running == stopped {
			cluster.admins.Delete(address)
		}
		return true
	})
	cluster.nodes = slices.DeleteFunc(cluster.nodes, func(running *node) bool { return running == stopped })
}

// leader returns the node that leads the fabric domain.
func (cluster *cluster) leader() *node {
	var leader *node
	require.Eventually(cluster.test, func() bool {
		for _, running := range cluster.nodes {
			status, err := running.controller.Status(context.Background())
			if err == nil && len(status.Leads) > 0 {
				leader = running
			}
		}
		return leader != nil
	}, waitBound, waitTick)
	return leader
}

func (cluster *cluster) seeds() []string {
	var seeds []string
	for _, running := range cluster.nodes {
		seeds = append(seeds, running.mesh.Address())
	}
	return seeds
}

// startNode starts a node that reads the store at storeAddress.
func (cluster *cluster) startNode(storeAddress string) *node {
	test := cluster.test
	index := len(cluster.nodes)
	name := fmt.Sprintf("node-%d", index)
	mesh, err := peer.New(peer.Config{Name: name, Incarnation: "1", FailureDomain: "zone-a", Listen: "127.0.0.1:0"})
	require.NoError(test, err)
	client, err := kvstore.NewClient(kvstore.ClientConfig{Addresses: []string{storeAddress}, Timeout: time.Second})
	require.NoError(test, err)
	timers := timer.New(timer.Config{Random: rand.New(rand.NewPCG(uint64(index), 1))})
	ctx, cancel := context.WithCancel(context.Background())
	running := &node{name: name, mesh: mesh, filter: newFilter(ctx, mesh), publisher: route.NewPublisher(), tracker: quarantine.NewTracker(), limits: limit.NewTargetLimits(name), cancel: cancel}
	running.controller, err = control.New(control.Config{
		Name:          name,
		Incarnation:   "1",
		FailureDomain: "zone-a",
		PeerAddress:   mesh.Address(),
		AdminAddress:  adminAddress(index),
		Quarantine:    running.tracker,
		Limits:        running.limits,
		ReportEndings: cluster.reportEndings,
		AskParts:      cluster.askParts,
		TellDecision:  cluster.tellDecision,
		Seeds:         cluster.seeds(),
		LeaseMinimum:  testLease,
		Platform:      client,
		Mesh:          running.filter,
		Engines:       cluster.engines,
		Services:      services{},
		Traffic:       traffic{},
		Publisher:     running.publisher,
		Timers:        timers,
		Random:        rand.New(rand.NewPCG(uint64(index), 2)),
		Logger:        zaptest.NewLogger(test),
	})
	require.NoError(test, err)
	go timers.Run(ctx)
	go mesh.Run(ctx)
	go running.controller.Run(ctx)
	cluster.nodes = append(cluster.nodes, running)
	cluster.admins.Store(adminAddress(index), running)
	return running
}

func adminAddress(index int) string { return fmt.Sprintf("127.0.0.1:%d", 1+index) }

// called returns the node at an admin address.
func (cluster *cluster) called(address string) (*node, error) {
	running, found := cluster.admins.Load(address)
	if !found || cluster.partitioned.Load() {
		return nil, errors.NotFoundf("node at %s", address)
	}
	return running.(*node), nil
}

func (cluster *cluster) reportEndings(ctx context.Context, address string, endings []admin.EndingReport) error {
	running, err := cluster.called(address)
	if err != nil {
		return err
	}
	running.endings.Add(int64(len(endings)))
	return running.controller.TakeEndings(ctx, endings)
}

func (cluster *cluster) askParts(_ context.Context, address string, parts []string) (map[string]time.Duration, error) {
	running, err := cluster.called(address)
	if err != nil {
		return nil, err
	}
	return running.controller.PartAges(parts), nil
}

func (cluster *cluster) tellDecision(ctx context.Context, address string, record []byte) error {
	running, err := cluster.called(address)
	if err != nil {
		return err
	}
	return running.controller.TakeDecision(ctx, record)
}

func (cluster *cluster) storeAddress() string { return cluster.server.Listener.Addr().String() }

// testFolder returns a folder with one group: one replica of two VMs.
func testFolder() *folder.Folder {
	return folder.New(folder.Config{
		Workspaces: []folder.Workspace{{Name: "memorials", KeyDigests: []string{strings.Repeat("0", 64)}, Weight: 1, MaxInFlight: 10, Deadline: time.Minute}},
		Groups: []folder.Group{{
			Name: "dedication", Model: "dedication", Version: "1", Size: 2, Replicas: 1, Value: 1, WeightBytes: 1 << 20, TargetClass: "checking",
		}},
		TargetClasses: []folder.TargetClass{{Name: "checking", ChecksFencing: true, OrderDelay: 100 * time.Millisecond}},
		Policy: folder.Policy{
			DowntimeWeight:   3,
			StrandedWeight:   1,
			ReportInterval:   100 * time.Millisecond,
			GrantBound:       testBound,
			WeightRate:       1 << 40,
			RetryPercent:     10,
			BookingRetention: time.Hour,
			SpreadTime:       500 * time.Millisecond,
		},
	})
}

// apply writes the configuration of a generation to the store as the apply
// command does.
func (cluster *cluster) apply(number uint64) {
	client, err := kvstore.NewClient(kvstore.ClientConfig{Addresses: []string{cluster.storeAddress()}, Timeout: time.Second})
	require.NoError(cluster.test, err)
	defer client.Close()
	base := generation.Head{}
	if number > 1 {
		base = cluster.body(number - 1).Head()
	}
	body := cluster.bodyOn(number, base)
	data, err := body.Encode()
	require.NoError(cluster.test, err)
	head, err := body.Head().Encode()
	require.NoError(cluster.test, err)
	for _, request := range []kvstore.PutRequest{
		{Key: body.Head().BodyKey(), Value: data, Expect: kvstore.ExpectAny()},
		{Key: generation.HeadKey, Value: head, Expect: kvstore.ExpectAny()},
	} {
		require.IsType(cluster.test, kvstore.Written{}, client.Put(context.Background(), request))
	}
}

func (cluster *cluster) body(number uint64) *generation.Body {
	return cluster.bodyOn(number, generation.Head{})
}

func (cluster *cluster) bodyOn(number uint64, base generation.Head) *generation.Body {
	body, err := generation.NewBody(generation.BodyConfig{
		Generation: number,
		Change:     fmt.Sprintf("change-%d", number),
		Base:       base,
		Author:     "operator",
		Reason:     "test",
		Time:       time.Unix(0, 0),
		Folder:     testFolder(),
	})
	require.NoError(cluster.test, err)
	return body
}

// await waits until a condition on the node's table is true.
func (running *node) await(test *testing.T, what string, holds func(table *route.Table) bool) {
	test.Helper()
	require.Eventually(test, func() bool { return holds(running.publisher.Current()) }, waitBound, waitTick, "%s at %s", what, running.name)
}

// granted returns the group of the test folder if it is open and holds a
// current grant.
func granted(table *route.Table) (route.GroupTarget, bool) {
	for _, target := range table.Groups("", "dedication") {
		if target.Open && target.Grant.Holds(target.Epoch, time.Now()) {
			return target, true
		}
	}
	return route.GroupTarget{}, false
}
