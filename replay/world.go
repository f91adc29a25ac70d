package replay

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A runner is the simulated engine of one VM.
type runner struct {
	vm      kvstore.VM
	report  engine.Report
	readyAt time.Duration
	starts  int

	// failedAt is when the VM last failed.
	failedAt time.Duration

	failed bool
	paused bool
	dark   bool
	slow   bool
}

// reachable reports whether the engine answers.
func (runner *runner) reachable() bool { return !runner.failed && !runner.paused && !runner.dark }

// A site is one fabric domain with its leader and its record in the store.
type site struct {
	domain   Domain
	leader   *group.Leader
	runners  map[string]*runner
	names    []string
	record   []byte
	revision uint64
	queue    []group.Event
}

// world is the fleet of a trace on a virtual clock.
type world struct {
	config  Config
	epoch   time.Time
	elapsed time.Duration
	sites   []*site
	events  []Event
	weights map[string]folder.Group

	// weightsFree is when the weight store has capacity again.
	weightsFree time.Duration
	listEmpty   time.Duration
	result      Result
}

func newWorld(config Config) *world {
	world := &world{config: config, epoch: time.Unix(0, 0), events: config.Trace.Events, weights: map[string]folder.Group{}}
	for _, spec := range config.Trace.Groups {
		world.weights[spec.Name] = spec
	}
	for _, domain := range config.Trace.Domains {
		world.sites = append(world.sites, newSite(config, domain))
	}
	for _, site := range world.sites {
		site.queue = append(site.queue, config.folder())
	}
	return world
}

func newSite(config Config, domain Domain) *site {
	site := &site{
		domain: domain,
		leader: group.NewLeader(group.LeaderConfig{
			Domain: domain.Name, Node: "replay", Incarnation: "1", LeaseDuration: leaseTime, Planner: planner(config.Policy),
		}),
		runners: map[string]*runner{},
	}
	for index := range domain.VMs {
		name := domain.vmName(index)
		site.names = append(site.names, name)
		site.runners[name] = &runner{vm: kvstore.VM{
			Name: name, Address: name, FabricDomain: domain.Name, FailureDomain: domain.FailureDomain,
			Accelerators: domain.Accelerators, State: kvstore.VMLive,
		}}
		site.runners[name].start()
	}
	return site
}

// listed reports whether the VM list shows the VM: a failed one is listed for
// the list's lag, a dark or paused one always.
func (runner *runner) listed(elapsed time.Duration) bool {
	return !runner.failed || elapsed < runner.failedAt+listLag
}

// start brings the engine up empty under a new incarnation.
func (runner *runner) start() {
	runner.starts++
	runner.vm.Incarnation = fmt.Sprint(runner.starts)
	runner.report = engine.Report{VM: runner.vm.Name, Incarnation: runner.vm.Incarnation, State: engine.StateIdle}
}

func (world *world) now() time.Time { return world.epoch.Add(world.elapsed) }

// advance lets one step pass and measures it.
func (world *world) advance() {
	world.elapsed += step
	for len(world.events) > 0 && world.events[0].At <= world.elapsed {
		world.happen(world.events[0])
		world.events = world.events[1:]
	}
	for _, site := range world.sites {
		site.load(world.elapsed)
	}
	for _, site := range world.sites {
		if world.elapsed%leaseRenewal == 0 {
			site.queue = append(site.queue, group.LeaseHeld{Until: world.now().Add(leaseTime)}, world.list(site), world.elsewhere(site))
		}
		site.queue = append(site.queue, group.Tick{})
		world.settle(site)
	}
	world.measure()
}

// load finishes the loads that are done. An engine that is paused or dark does
// not get on with its load.
func (site *site) load(elapsed time.Duration) {
	for _, runner := range site.runners {
		if !runner.reachable() && runner.report.State == engine.StateLoading {
			runner.readyAt += step
		}
		if runner.report.State == engine.StateLoading && elapsed >= runner.readyAt {
			runner.report.State = engine.StateReady
		}
	}
}

// settle handles events until none is left at this time.
func (world *world) settle(site *site) {
	for len(site.queue) > 0 {
		event := site.queue[0]
		site.queue = site.queue[1:]
		for _, effect := range site.leader.Handle(world.now(), event) {
			if answer := world.run(site, effect); answer != nil {
				site.queue = append(site.queue, answer)
			}
		}
	}
}

// run carries out one effect and returns the answer, if it has one.
func (world *world) run(site *site, effect group.Effect) group.Event {
	switch effect := effect.(type) {
	case group.ReadPlacement:
		return group.PlacementRead{Record: site.record, Revision: site.revision}
	case group.Commit:
		return world.commit(site, effect)
	case group.ReadReport:
		return world.read(site.runners[effect.VM])
	case group.SendOrder:
		return world.order(site.runners[effect.VM], effect.Order)
	case group.AcquireWeights:
		return world.acquire(effect)
	case group.PublishGrants, group.PublishPlacement:
		return nil
	default:
		panic(fmt.Sprintf("replay: unknown effect %T", effect))
	}
}

func (world *world) commit(site *site, commit group.Commit) group.Event {
	if commit.Expect.Revision() != site.revision {
		return group.CommitDone{ID: commit.ID, Outcome: kvstore.Conflict{Revision: site.revision}}
	}
	site.revision++
	site.record = commit.Record
	if world.elapsed > warmUp {
		world.result.Commits++
	}
	return group.CommitDone{ID: commit.ID, Outcome: kvstore.Written{Revision: site.revision}}
}

func (world *world) read(runner *runner) group.Event {
	if !runner.reachable() {
		return group.ReportFailed{VM: runner.vm.Name}
	}
	latency := normalLatency
	if runner.slow {
		latency = slowLatency
	}
	return group.ReportRead{Sent: world.now().Add(-latency), Report: runner.report}
}

func (world *world) order(runner *runner, order engine.Order) group.Event {
	switch {
	case !runner.reachable():
		return group.OrderUnknown{VM: runner.vm.Name, Order: order.ID}
	case order.Fence < runner.report.Fence:
		return group.OrderRefused{VM: runner.vm.Name, Order: order.ID, Fence: runner.report.Fence}
	}
	world.take(runner, order)
	return group.OrderAccepted{VM: runner.vm.Name, Order: order.ID}
}

// take runs an order. An engine that has the weights does not load them again.
func (world *world) take(runner *runner, order engine.Order) {
	report := &runner.report
	report.Fence = order.Fence
	switch order.Action {
	case engine.ActionLoad:
		known := report.Model == order.Model && report.Version == order.Version
		report.Group, report.Epoch, report.Rank = order.Group, order.Epoch, order.Rank
		report.Model, report.Version = order.Model, order.Version
		if known {
			if report.State != engine.StateLoading {
				report.State = engine.StateReady
			}
			return
		}
		report.State = engine.StateLoading
		runner.readyAt = world.elapsed + world.loadTime(order.Model)
		if world.elapsed > warmUp {
			world.result.Loads++
		}
	case engine.ActionDrain:
		report.State = engine.StateDraining
	case engine.ActionRelease:
		*report = engine.Report{VM: report.VM, Incarnation: report.Incarnation, Fence: order.Fence, State: engine.StateIdle}
	}
}

func (world *world) loadTime(model string) time.Duration {
	return startTime + transfer(world.weights[model].WeightBytes)
}

func transfer(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / weightRate * float64(time.Second))
}

// acquire serves one transfer of weights at a time.
func (world *world) acquire(effect group.AcquireWeights) group.Event {
	if world.weightsFree > world.elapsed {
		return group.WeightsRefused{VM: effect.VM, Retry: world.weightsFree - world.elapsed}
	}
	world.weightsFree = world.elapsed + transfer(effect.Bytes)
	return group.WeightsAcquired{VM: effect.VM}
}

func (world *world) list(site *site) group.Event {
	if world.elapsed < world.listEmpty {
		return group.VMsListed{}
	}
	var vms []kvstore.VM
	for _, name := range site.names {
		if runner := site.runners[name]; runner.listed(world.elapsed) {
			vms = append(vms, runner.vm)
		}
	}
	return group.VMsListed{VMs: vms}
}

func (world *world) elsewhere(site *site) group.Event {
	event := group.OtherDomains{}
	if world.elapsed < world.listEmpty {
		return event
	}
	for _, other := range world.sites {
		if other == site {
			continue
		}
		event.Domains = append(event.Domains, group.DomainSize{
			Name: other.domain.Name, FailureDomain: other.domain.FailureDomain, VMs: other.listed(world.elapsed),
		})
		placement := other.leader.Placement()
		event.Replicas = append(event.Replicas, group.Summarize(placement, world.config.Trace.Groups, other.open())...)
	}
	return event
}

func (site *site) listed(elapsed time.Duration) int {
	count := 0
	for _, runner := range site.runners {
		if runner.listed(elapsed) {
			count++
		}
	}
	return count
}

// open returns the names of the replicas that serve.
func (site *site) open() []string {
	var names []string
	placement := site.leader.Placement()
	for _, replica := range placement.Groups() {
		if replica.State == group.StateReady && site.serves(placement, replica) {
			names = append(names, replica.Name)
		}
	}
	return names
}

// serves reports whether every engine of a replica holds its seat.
func (site *site) serves(placement *group.Placement, replica group.Group) bool {
	for rank, name := range placement.Members(replica.Name) {
		runner, found := site.runners[name]
		if !found || !runner.reachable() || runner.report.State != engine.StateReady {
			return false
		}
		if runner.report.Group != replica.Name || runner.report.Epoch != replica.Epoch || runner.report.Rank != rank {
			return false
		}
	}
	return true
}

func (world *world) serving() int {
	total := 0
	for _, site := range world.sites {
		total += len(site.open())
	}
	return total
}

// measure adds the step to the measures.
func (world *world) measure() {
	if world.elapsed <= warmUp {
		world.result.Wanted = world.serving()
		return
	}
	world.result.Duration += step
	lacking := max(world.result.Wanted-world.serving(), 0)
	size := world.config.Trace.Groups[0].Size
	possible := 0
	idle := 0
	for _, site := range world.sites {
		healthy, busy := site.usage()
		possible += healthy / size
		idle += (healthy - busy) * site.domain.Accelerators
	}
	need := lacking * size * world.sites[0].domain.Accelerators
	world.result.Downtime += float64(lacking) * step.Seconds()
	world.result.Stranded += float64(min(idle, need)) * step.Seconds()
	world.result.Unavoidable += float64(max(world.result.Wanted-possible, 0)) * step.Seconds()
}

// usage returns the number of reachable VMs and of those in serving replicas.
func (site *site) usage() (healthy, busy int) {
	placement := site.leader.Placement()
	for _, name := range site.open() {
		busy += len(placement.Members(name))
	}
	for _, runner := range site.runners {
		if runner.reachable() {
			healthy++
		}
	}
	return healthy, busy
}

// happen applies one event of the trace.
func (world *world) happen(event Event) {
	if event.Kind == eventListEmpty {
		world.listEmpty = world.elapsed + listEmptyTime
		return
	}
	for _, site := range world.sites {
		for _, name := range site.names {
			whole := event.Target == site.domain.Name || event.Target == site.domain.FailureDomain
			if name == event.Target || whole {
				site.runners[name].happen(event.Kind, world.elapsed)
			}
		}
	}
}

func (runner *runner) happen(kind string, elapsed time.Duration) {
	switch kind {
	case eventFail:
		runner.failed = true
		runner.failedAt = elapsed
		runner.paused = false
		runner.slow = false
	case eventReturn:
		if runner.failed {
			runner.failed = false
			runner.start()
		}
	case eventPause:
		runner.paused = true
	case eventResume:
		runner.paused = false
		runner.slow = false
	case eventSlow:
		runner.slow = true
	case eventDomainDark:
		runner.dark = true
	case eventDomainReturn:
		runner.dark = false
	}
}
