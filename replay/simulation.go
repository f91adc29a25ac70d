package replay

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A runner simulates the engine on one VM.
type runner struct {
	vm      kvstore.VM
	report  engine.Report
	readyAt time.Duration
	starts  int

	// failedAt is the time of the last failure of the VM.
	failedAt time.Duration

	failed       bool
	paused       bool
	disconnected bool
	slow         bool
}

// reachable reports whether the engine answers reports and orders.
func (runner *runner) reachable() bool {
	return !runner.failed && !runner.paused && !runner.disconnected
}

// A fabricDomain is one simulated fabric domain: its VMs, its leader and its
// placement record in the store.
type fabricDomain struct {
	spec     Domain
	leader   *group.Leader
	runners  map[string]*runner
	vmNames  []string
	record   []byte
	revision uint64
	queue    []group.Event
}

// A simulation runs the fleet of a trace on a virtual clock.
type simulation struct {
	config  Config
	origin  time.Time
	elapsed time.Duration
	domains []*fabricDomain
	events  []Event
	specs   map[string]folder.Group

	// weightsFreeAt is the time at which the weight store can serve the next
	// transfer.
	weightsFreeAt  time.Duration
	listEmptyUntil time.Duration
	result         Result
}

func newSimulation(config Config) *simulation {
	simulation := &simulation{config: config, origin: time.Unix(0, 0), events: config.Trace.Events, specs: map[string]folder.Group{}}
	for _, spec := range config.Trace.Groups {
		simulation.specs[spec.Name] = spec
	}
	for _, spec := range config.Trace.Domains {
		simulation.domains = append(simulation.domains, newFabricDomain(config, spec))
	}
	for _, domain := range simulation.domains {
		domain.queue = append(domain.queue, config.folderAdopted())
	}
	return simulation
}

func newFabricDomain(config Config, spec Domain) *fabricDomain {
	domain := &fabricDomain{
		spec: spec,
		leader: group.NewLeader(group.LeaderConfig{
			Domain: spec.Name, Node: "replay", Incarnation: "1", LeaseDuration: leaseTime, Planner: plannerFor(config.Policy),
		}),
		runners: map[string]*runner{},
	}
	for index := range spec.VMs {
		name := spec.vmName(index)
		domain.vmNames = append(domain.vmNames, name)
		domain.runners[name] = &runner{vm: kvstore.VM{
			Name: name, Address: name, FabricDomain: spec.Name, FailureDomain: spec.FailureDomain,
			Accelerators: spec.Accelerators, State: kvstore.VMLive,
		}}
		domain.runners[name].start()
	}
	return domain
}

// listed reports whether the VM list contains the VM. A failed VM stays listed
// for listLag; a disconnected or paused VM is always listed.
func (runner *runner) listed(elapsed time.Duration) bool {
	return !runner.failed || elapsed < runner.failedAt+listLag
}

// start starts the engine under a new incarnation, without weights.
func (runner *runner) start() {
	runner.starts++
	runner.vm.Incarnation = fmt.Sprint(runner.starts)
	runner.report = engine.Report{VM: runner.vm.Name, Incarnation: runner.vm.Incarnation, State: engine.StateIdle}
}

func (simulation *simulation) now() time.Time { return simulation.origin.Add(simulation.elapsed) }

// advance moves the clock by one step, runs every fabric domain and adds the
// step to the result.
func (simulation *simulation) advance() {
	simulation.elapsed += step
	for len(simulation.events) > 0 && simulation.events[0].At <= simulation.elapsed {
		simulation.applyEvent(simulation.events[0])
		simulation.events = simulation.events[1:]
	}
	for _, domain := range simulation.domains {
		domain.finishLoads(simulation.elapsed)
	}
	for _, domain := range simulation.domains {
		if simulation.elapsed%leaseRenewal == 0 {
			domain.queue = append(domain.queue, group.LeaseHeld{Until: simulation.now().Add(leaseTime)}, simulation.listVMs(domain), simulation.otherDomains(domain))
		}
		domain.queue = append(domain.queue, group.Tick{})
		simulation.handleEvents(domain)
	}
	simulation.updateResult()
}

// finishLoads marks the engines ready whose load is complete. The load of an
// engine that is failed, paused or disconnected makes no progress.
func (domain *fabricDomain) finishLoads(elapsed time.Duration) {
	for _, runner := range domain.runners {
		if !runner.reachable() && runner.report.State == engine.StateLoading {
			runner.readyAt += step
		}
		if runner.report.State == engine.StateLoading && elapsed >= runner.readyAt {
			runner.report.State = engine.StateReady
		}
	}
}

// handleEvents handles the queued events of a fabric domain and the results of
// their effects until the queue is empty.
func (simulation *simulation) handleEvents(domain *fabricDomain) {
	for len(domain.queue) > 0 {
		event := domain.queue[0]
		domain.queue = domain.queue[1:]
		for _, effect := range domain.leader.Handle(simulation.now(), event) {
			if answer := simulation.execute(domain, effect); answer != nil {
				domain.queue = append(domain.queue, answer)
			}
		}
	}
}

// execute carries out one effect and returns the event that answers it, or nil
// for an effect without an answer.
func (simulation *simulation) execute(domain *fabricDomain, effect group.Effect) group.Event {
	switch effect := effect.(type) {
	case group.ReadPlacement:
		return group.PlacementRead{Record: domain.record, Revision: domain.revision}
	case group.Commit:
		return simulation.commit(domain, effect)
	case group.ReadReport:
		return simulation.readReport(domain.runners[effect.VM])
	case group.SendOrder:
		return simulation.sendOrder(domain.runners[effect.VM], effect.Order)
	case group.AcquireWeights:
		return simulation.acquireWeights(effect)
	case group.PublishGrants, group.PublishPlacement:
		return nil
	default:
		panic(fmt.Sprintf("replay: unknown effect %T", effect))
	}
}

func (simulation *simulation) commit(domain *fabricDomain, commit group.Commit) group.Event {
	if commit.Expect.Revision() != domain.revision {
		return group.CommitDone{ID: commit.ID, Outcome: kvstore.Conflict{Revision: domain.revision}}
	}
	domain.revision++
	domain.record = commit.Record
	if simulation.elapsed > warmUp {
		simulation.result.Commits++
	}
	return group.CommitDone{ID: commit.ID, Outcome: kvstore.Written{Revision: domain.revision}}
}

func (simulation *simulation) readReport(runner *runner) group.Event {
	if !runner.reachable() {
		return group.ReportFailed{VM: runner.vm.Name}
	}
	latency := normalLatency
	if runner.slow {
		latency = slowLatency
	}
	return group.ReportRead{Sent: simulation.now().Add(-latency), Report: runner.report}
}

func (simulation *simulation) sendOrder(runner *runner, order engine.Order) group.Event {
	switch {
	case !runner.reachable():
		return group.OrderUnknown{VM: runner.vm.Name, Order: order.ID}
	case order.Fence < runner.report.Fence:
		return group.OrderRefused{VM: runner.vm.Name, Order: order.ID, Fence: runner.report.Fence}
	}
	simulation.executeOrder(runner, order)
	return group.OrderAccepted{VM: runner.vm.Name, Order: order.ID}
}

// executeOrder applies an order to an engine. An engine that already has the
// weights of the model and version does not load them again.
func (simulation *simulation) executeOrder(runner *runner, order engine.Order) {
	report := &runner.report
	report.Fence = order.Fence
	switch order.Action {
	case engine.ActionLoad:
		loaded := report.Model == order.Model && report.Version == order.Version
		report.Group, report.Epoch, report.Rank = order.Group, order.Epoch, order.Rank
		report.Model, report.Version = order.Model, order.Version
		if loaded {
			if report.State != engine.StateLoading {
				report.State = engine.StateReady
			}
			return
		}
		report.State = engine.StateLoading
		runner.readyAt = simulation.elapsed + simulation.loadTime(order.Model)
		if simulation.elapsed > warmUp {
			simulation.result.Loads++
		}
	case engine.ActionDrain:
		report.State = engine.StateDraining
	case engine.ActionRelease:
		*report = engine.Report{VM: report.VM, Incarnation: report.Incarnation, Fence: order.Fence, State: engine.StateIdle}
	}
}

func (simulation *simulation) loadTime(model string) time.Duration {
	return engineStartTime + transferTime(simulation.specs[model].WeightBytes)
}

func transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / weightRate * float64(time.Second))
}

// acquireWeights allows one transfer of weights at a time.
func (simulation *simulation) acquireWeights(effect group.AcquireWeights) group.Event {
	if simulation.weightsFreeAt > simulation.elapsed {
		return group.WeightsRefused{VM: effect.VM, Retry: simulation.weightsFreeAt - simulation.elapsed}
	}
	simulation.weightsFreeAt = simulation.elapsed + transferTime(effect.Bytes)
	return group.WeightsAcquired{VM: effect.VM}
}

func (simulation *simulation) listVMs(domain *fabricDomain) group.Event {
	if simulation.elapsed < simulation.listEmptyUntil {
		return group.VMsListed{}
	}
	var vms []kvstore.VM
	for _, name := range domain.vmNames {
		if runner := domain.runners[name]; runner.listed(simulation.elapsed) {
			vms = append(vms, runner.vm)
		}
	}
	return group.VMsListed{VMs: vms}
}

func (simulation *simulation) otherDomains(domain *fabricDomain) group.Event {
	event := group.OtherDomains{}
	if simulation.elapsed < simulation.listEmptyUntil {
		return event
	}
	for _, other := range simulation.domains {
		if other == domain {
			continue
		}
		event.Domains = append(event.Domains, group.DomainSize{
			Name: other.spec.Name, FailureDomain: other.spec.FailureDomain, VMs: other.countListed(simulation.elapsed),
		})
		placement := other.leader.Placement()
		event.Replicas = append(event.Replicas, group.Summarize(placement, simulation.config.Trace.Groups, noServices, other.servingReplicas())...)
	}
	return event
}

func (domain *fabricDomain) countListed(elapsed time.Duration) int {
	count := 0
	for _, runner := range domain.runners {
		if runner.listed(elapsed) {
			count++
		}
	}
	return count
}

// servingReplicas returns the names of the replicas that serve.
func (domain *fabricDomain) servingReplicas() []string {
	var names []string
	placement := domain.leader.Placement()
	for _, replica := range placement.Groups() {
		if replica.State == group.StateReady && domain.serves(placement, replica) {
			names = append(names, replica.Name)
		}
	}
	return names
}

// serves reports whether every engine of a replica is reachable and ready under
// the group, epoch and rank that the placement assigns to it.
func (domain *fabricDomain) serves(placement *group.Placement, replica group.Group) bool {
	for rank, name := range placement.Members(replica.Name) {
		runner, found := domain.runners[name]
		if !found || !runner.reachable() || runner.report.State != engine.StateReady {
			return false
		}
		if runner.report.Group != replica.Name || runner.report.Epoch != replica.Epoch || runner.report.Rank != rank {
			return false
		}
	}
	return true
}

func (simulation *simulation) countServing() int {
	total := 0
	for _, domain := range simulation.domains {
		total += len(domain.servingReplicas())
	}
	return total
}

// updateResult adds the last step to the measures of the result. During the
// warm-up it only records the number of serving replicas.
func (simulation *simulation) updateResult() {
	if simulation.elapsed <= warmUp {
		simulation.result.Wanted = simulation.countServing()
		return
	}
	simulation.result.Duration += step
	lacking := max(simulation.result.Wanted-simulation.countServing(), 0)
	size := simulation.config.Trace.Groups[0].Size
	possible := 0
	idle := 0
	for _, domain := range simulation.domains {
		healthy, busy := domain.countVMs()
		possible += healthy / size
		idle += (healthy - busy) * domain.spec.Accelerators
	}
	need := lacking * size * simulation.domains[0].spec.Accelerators
	simulation.result.Downtime += float64(lacking) * step.Seconds()
	simulation.result.Stranded += float64(min(idle, need)) * step.Seconds()
	simulation.result.Unavoidable += float64(max(simulation.result.Wanted-possible, 0)) * step.Seconds()
}

// countVMs returns the number of reachable VMs and the number of VMs that are
// members of serving replicas.
func (domain *fabricDomain) countVMs() (healthy, busy int) {
	placement := domain.leader.Placement()
	for _, name := range domain.servingReplicas() {
		busy += len(placement.Members(name))
	}
	for _, runner := range domain.runners {
		if runner.reachable() {
			healthy++
		}
	}
	return healthy, busy
}

// applyEvent applies one event of the trace to the VM list or to every VM that
// the event's target includes.
func (simulation *simulation) applyEvent(event Event) {
	if event.Kind == eventListEmpty {
		simulation.listEmptyUntil = simulation.elapsed + listEmptyDuration
		return
	}
	for _, domain := range simulation.domains {
		for _, name := range domain.vmNames {
			inDomain := event.Target == domain.spec.Name || event.Target == domain.spec.FailureDomain
			if name == event.Target || inDomain {
				domain.runners[name].applyEvent(event.Kind, simulation.elapsed)
			}
		}
	}
}

func (runner *runner) applyEvent(kind string, elapsed time.Duration) {
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
	case eventDomainDisconnect:
		runner.disconnected = true
	case eventDomainReturn:
		runner.disconnected = false
	}
}

// noServices is group.SpecOf's service of a VM that belongs to none.
func noServices(string) (string, bool) { return "", true }
