package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	outageNodes     = 240
	outageDomains   = 12
	outageGroupSize = 4
)

// An outage runs group leaders on the nodes of a simulation, as package control
// does. Each domain has one group of outageGroupSize VMs and one spare VM.
type outage struct {
	t             *testing.T
	sim           *simulation
	folderAdopted group.FolderAdopted
	vms           map[string][]kvstore.VM
	reports       map[string]*engine.Report
	unreachable   map[string]bool

	// leaders holds the group leaders by domain and node.
	leaders    map[string]map[string]*group.Leader
	grants     map[string]group.PublishGrants
	orderCount int
}

func newOutage(t *testing.T) *outage {
	run := &outage{
		t:           t,
		sim:         newSimulation(1),
		vms:         map[string][]kvstore.VM{},
		reports:     map[string]*engine.Report{},
		unreachable: map[string]bool{},
		leaders:     map[string]map[string]*group.Leader{},
		grants:      map[string]group.PublishGrants{},
		folderAdopted: group.FolderAdopted{
			Groups:  []folder.Group{{Name: "large", Model: "m", Version: "1", Size: outageGroupSize, Replicas: outageDomains, WeightBytes: 1 << 20, TargetClass: "runner"}},
			Classes: []folder.TargetClass{{Name: "runner", ChecksFencing: true, OrderDelay: time.Second}},
			Policy: folder.Policy{
				DowntimeWeight: 1, StrandedWeight: 1, ReportInterval: 250 * time.Millisecond,
				GrantBound: time.Second, WeightRate: 1 << 30, SpreadTime: 500 * time.Millisecond,
			},
		},
	}
	run.sim.onLeadership = run.handleLeadership
	domains := testDomains(outageDomains)
	for _, domain := range domains {
		run.leaders[domain.Name] = map[string]*group.Leader{}
		for index := range outageGroupSize + 1 {
			name := fmt.Sprintf("%s-vm-%d", domain.Name, index)
			run.reports[name] = &engine.Report{VM: name, Incarnation: "1", State: engine.StateIdle}
			run.vms[domain.Name] = append(run.vms[domain.Name], kvstore.VM{
				Name: name, Address: name, Incarnation: "1", FabricDomain: domain.Name,
				FailureDomain: domain.FailureDomain, Accelerators: 4, State: kvstore.VMLive,
			})
		}
	}
	for index := range outageNodes {
		name := fmt.Sprint("node-", index)
		node := run.sim.add(name, "1", fmt.Sprint("fd-", index%7))
		node.fleet.nextListAt = run.sim.now.Add(time.Duration(index) * 75 * time.Millisecond)
		run.sim.deliver(name, node, DomainsListed{Domains: domains})
	}
	return run
}

// handleLeadership starts a group leader, extends its lease or ends the lease, as
// package control does.
func (run *outage) handleLeadership(name string, effect Effect) {
	switch effect := effect.(type) {
	case LeadershipHeld:
		if _, found := run.leaders[effect.Domain][name]; !found {
			run.leaders[effect.Domain][name] = group.NewLeader(group.LeaderConfig{
				Domain: effect.Domain, Node: name, Incarnation: "1", LeaseDuration: DefaultLeaseMinimum,
			})
			run.handle(effect.Domain, name, run.folderAdopted)
			run.handle(effect.Domain, name, group.VMsListed{VMs: run.vms[effect.Domain]})
		}
		run.handle(effect.Domain, name, group.LeaseHeld{Until: effect.Until})
	case LeadershipLost:
		leader := run.leaders[effect.Domain][name]
		run.handle(effect.Domain, name, group.LeaseExpired{})
		if leader != nil && !leader.GrantsOnly() {
			delete(run.leaders[effect.Domain], name)
		}
	}
}

func (run *outage) handle(domain, name string, event group.Event) {
	leader, found := run.leaders[domain][name]
	if !found {
		return
	}
	for _, effect := range leader.Handle(run.sim.now, event) {
		run.execute(domain, name, leader, effect)
	}
}

// respond delivers an event to the group leader that requested it, unless it has
// been replaced.
func (run *outage) respond(domain, name string, leader *group.Leader, event group.Event) {
	run.sim.scheduleWithin(run.sim.delay, func() {
		if run.leaders[domain][name] == leader {
			run.handle(domain, name, event)
		}
	})
}

func (run *outage) execute(domain, name string, leader *group.Leader, effect group.Effect) {
	key := placementKey(domain)
	switch effect := effect.(type) {
	case group.ReadPlacement:
		run.callStore(domain, name, leader, group.PlacementUnavailable{}, func() group.Event {
			return group.PlacementRead{Record: run.sim.entries[key].Value, Revision: run.sim.entries[key].Revision}
		})
	case group.Commit:
		run.callStore(domain, name, leader, group.CommitDone{ID: effect.ID, Outcome: kvstore.Unknown{}}, func() group.Event {
			return group.CommitDone{ID: effect.ID, Outcome: run.compareAndSwap(key, effect)}
		})
	case group.ReadReport:
		var event group.Event = group.ReportFailed{VM: effect.VM}
		if !run.unreachable[effect.VM] {
			event = group.ReportRead{Sent: run.sim.now, Report: *run.reports[effect.VM]}
		}
		run.respond(domain, name, leader, event)
	case group.SendOrder:
		run.carryOutOrder(domain, effect)
		run.respond(domain, name, leader, group.OrderAccepted{VM: effect.VM, Order: effect.Order.ID})
	case group.AcquireWeights:
		run.respond(domain, name, leader, group.WeightsAcquired{VM: effect.VM})
	case group.PublishGrants:
		if effect.Fence >= run.grants[domain].Fence {
			run.grants[domain] = effect
		}
	case group.PublishPlacement:
		run.endReplacedTerms(domain, name)
	}
}

func placementKey(domain string) string { return DomainPrefix + domain + "/placement" }

func (run *outage) callStore(domain, name string, leader *group.Leader, lost group.Event, request func() group.Event) {
	if run.sim.storeDown {
		run.respond(domain, name, leader, lost)
		return
	}
	run.sim.scheduleWithin(run.sim.delay, func() {
		run.sim.calls[int(run.sim.now.Sub(run.sim.start)/time.Second)]++
		run.respond(domain, name, leader, request())
	})
}

func (run *outage) compareAndSwap(key string, commit group.Commit) kvstore.PutOutcome {
	if commit.Expect.Any() || commit.Expect.Revision() != run.sim.entries[key].Revision {
		return kvstore.Conflict{Revision: run.sim.entries[key].Revision}
	}
	run.sim.revision++
	run.sim.entries[key] = kvstore.Entry{Key: key, Value: commit.Record, Revision: run.sim.revision}
	return kvstore.Written{Revision: run.sim.revision}
}

// carryOutOrder applies an order to the report of its VM. It fails the test if
// the stored placement record does not contain a load order's assignment.
func (run *outage) carryOutOrder(domain string, effect group.SendOrder) {
	run.orderCount++
	report := run.reports[effect.VM]
	report.Fence = effect.Order.Fence
	if effect.Order.Action != engine.ActionLoad {
		*report = engine.Report{VM: report.VM, Incarnation: report.Incarnation, Fence: report.Fence, State: engine.StateIdle}
		return
	}
	placement := run.storedPlacement(domain)
	assignment, placed := placement.Assignment(effect.VM)
	stored, _ := placement.Group(effect.Order.Group)
	require.True(run.t, placed && assignment.Group == effect.Order.Group && assignment.Rank == effect.Order.Rank && stored.Epoch == effect.Order.Epoch,
		"order %+v does not match the stored placement record", effect.Order)
	report.Group, report.Epoch, report.Rank = effect.Order.Group, effect.Order.Epoch, effect.Order.Rank
	report.Model, report.Version, report.State = effect.Order.Model, effect.Order.Version, engine.StateReady
}

func (run *outage) storedPlacement(domain string) *group.Placement {
	placement, err := group.DecodePlacement(run.sim.entries[placementKey(domain)].Value)
	require.NoError(run.t, err)
	return placement
}

// endReplacedTerms removes the group leaders of other nodes that only publish
// grants, when a new leader publishes a placement record.
func (run *outage) endReplacedTerms(domain, writer string) {
	for name, leader := range run.leaders[domain] {
		if name != writer && leader.GrantsOnly() {
			delete(run.leaders[domain], name)
		}
	}
}

// advance moves the clock in steps of 250 ms, ticks every group leader and calls
// check after each step.
func (run *outage) advance(duration time.Duration, check func()) {
	for end := run.sim.now.Add(duration); run.sim.now.Before(end); {
		run.sim.advance(250 * time.Millisecond)
		for _, domain := range slices.Sorted(maps.Keys(run.leaders)) {
			for _, name := range slices.Sorted(maps.Keys(run.leaders[domain])) {
				run.handle(domain, name, group.Tick{})
			}
		}
		check()
	}
}

// grantedEpoch returns the epoch of the domain's group while its grant is valid,
// otherwise 0.
func (run *outage) grantedEpoch(domain string) uint64 {
	for _, granted := range run.grants[domain].Grants {
		if granted.Open && granted.Grant.Holds(granted.Grant.Epoch, run.sim.now) {
			return granted.Grant.Epoch
		}
	}
	return 0
}

// The store is down for ten minutes, and one group member fails meanwhile.
// Guards against groups that lose their grants with the store, against an
// assignment or order that no successful compare-and-swap has stored, and
// against more calls per second after the outage than the store admits.
func TestGroupsSurviveTenMinutesWithoutStore(t *testing.T) {
	run := newOutage(t)
	noCheck := func() {}
	run.advance(3*time.Minute, noCheck)
	domains := slices.Sorted(maps.Keys(run.leaders))
	epochs := map[string]uint64{}
	records := map[string]kvstore.Entry{}
	for _, domain := range domains {
		epochs[domain] = run.grantedEpoch(domain)
		require.NotZero(t, epochs[domain], "%s has no group with a grant", domain)
		records[domain] = run.sim.entries[placementKey(domain)]
	}
	failedVM, brokenDomain := run.storedPlacement(domains[0]).Members("large." + domains[0] + ".0")[1], domains[0]
	healthy := domains[1:]
	checkGrants := func() {
		for _, domain := range healthy {
			require.Equal(t, epochs[domain], run.grantedEpoch(domain), "%s at %v", domain, run.sim.now.Sub(run.sim.start))
		}
	}

	run.sim.storeDown = true
	run.advance(time.Minute, checkGrants)
	run.unreachable[failedVM] = true
	run.advance(2*time.Second, checkGrants)
	orders := run.orderCount
	run.advance(9*time.Minute-2*time.Second, func() {
		checkGrants()
		require.Zero(t, run.grantedEpoch(brokenDomain), "the group has a grant although its member %s has failed", failedVM)
	})
	require.Equal(t, orders, run.orderCount, "orders were sent while the store was down")
	for _, domain := range domains {
		require.Equal(t, records[domain], run.sim.entries[placementKey(domain)])
		for name, leader := range run.leaders[domain] {
			require.Equal(t, run.storedPlacement(domain).VMs(), leader.Placement().VMs(), "%s changed assignments while the store was down", name)
		}
	}

	run.sim.storeDown = false
	run.advance(3*time.Minute, checkGrants)
	require.Greater(t, run.grantedEpoch(brokenDomain), epochs[brokenDomain], "the group did not get a new epoch after the outage")
	before := busiestSecond(run.sim, 2*time.Minute, 3*time.Minute)
	after := busiestSecond(run.sim, 13*time.Minute, 16*time.Minute)
	t.Logf("busiest second: %d calls before the outage, %d after it", before, after)
	require.LessOrEqual(t, after, 300)
	for _, domain := range domains {
		require.Len(t, run.sim.leaders(domain), 1, domain)
		require.Len(t, run.leaders[domain], 1, "group leaders of %s", domain)
	}
	for _, domain := range healthy {
		require.Equal(t, run.storedPlacement(domain).Members("large."+domain+".0"), membersOf(t, records[domain], "large."+domain+".0"))
	}
}

func membersOf(t *testing.T, record kvstore.Entry, name string) []string {
	placement, err := group.DecodePlacement(record.Value)
	require.NoError(t, err)
	return placement.Members(name)
}
