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
	outageNodes   = 240
	outageDomains = 12
	outageSize    = 4
)

// An outage runs group leaders on the nodes of a simulation, as package
// control does, with one group of outageSize and one spare VM per domain.
type outage struct {
	t       *testing.T
	sim     *simulation
	adopted group.FolderAdopted
	list    map[string][]kvstore.VM
	reports map[string]*engine.Report
	dead    map[string]bool

	// leaders are the terms by domain and node.
	leaders map[string]map[string]*group.Leader
	grants  map[string]group.PublishGrants
	orders  int
}

func newOutage(t *testing.T) *outage {
	run := &outage{
		t:       t,
		sim:     newSimulation(1),
		list:    map[string][]kvstore.VM{},
		reports: map[string]*engine.Report{},
		dead:    map[string]bool{},
		leaders: map[string]map[string]*group.Leader{},
		grants:  map[string]group.PublishGrants{},
		adopted: group.FolderAdopted{
			Groups:  []folder.Group{{Name: "large", Model: "m", Version: "1", Size: outageSize, Replicas: outageDomains, WeightBytes: 1 << 20, TargetClass: "runner"}},
			Classes: []folder.TargetClass{{Name: "runner", ChecksFencing: true, OrderDelay: time.Second}},
			Policy: folder.Policy{
				DowntimeWeight: 1, StrandedWeight: 1, ReportInterval: 250 * time.Millisecond,
				GrantBound: time.Second, WeightRate: 1 << 30, SpreadTime: 500 * time.Millisecond,
			},
		},
	}
	run.sim.lead = run.lead
	domains := testDomains(outageDomains)
	for _, domain := range domains {
		run.leaders[domain.Name] = map[string]*group.Leader{}
		for index := range outageSize + 1 {
			name := fmt.Sprintf("%s-vm-%d", domain.Name, index)
			run.reports[name] = &engine.Report{VM: name, Incarnation: "1", State: engine.StateIdle}
			run.list[domain.Name] = append(run.list[domain.Name], kvstore.VM{
				Name: name, Address: name, Incarnation: "1", FabricDomain: domain.Name,
				FailureDomain: domain.FailureDomain, Accelerators: 4, State: kvstore.VMLive,
			})
		}
	}
	for index := range outageNodes {
		name := fmt.Sprint("node-", index)
		node := run.sim.add(name, "1", fmt.Sprint("fd-", index%7))
		node.fleet.listAt = run.sim.now.Add(time.Duration(index) * 75 * time.Millisecond)
		run.sim.give(name, node, DomainsKnown{Domains: domains})
	}
	return run
}

// lead begins, extends or severs a term.
func (run *outage) lead(name string, effect Effect) {
	switch effect := effect.(type) {
	case LeadershipHeld:
		if _, found := run.leaders[effect.Domain][name]; !found {
			run.leaders[effect.Domain][name] = group.NewLeader(group.LeaderConfig{
				Domain: effect.Domain, Node: name, Incarnation: "1", LeaseDuration: DefaultLeaseMinimum,
			})
			run.handle(effect.Domain, name, run.adopted)
			run.handle(effect.Domain, name, group.VMsListed{VMs: run.list[effect.Domain]})
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

// answer gives an event to the term that asked for it.
func (run *outage) answer(domain, name string, leader *group.Leader, event group.Event) {
	run.sim.later(run.sim.delay, func() {
		if run.leaders[domain][name] == leader {
			run.handle(domain, name, event)
		}
	})
}

func (run *outage) execute(domain, name string, leader *group.Leader, effect group.Effect) {
	key := placementKey(domain)
	switch effect := effect.(type) {
	case group.ReadPlacement:
		run.call(domain, name, leader, group.PlacementUnavailable{}, func() group.Event {
			return group.PlacementRead{Record: run.sim.entries[key].Value, Revision: run.sim.entries[key].Revision}
		})
	case group.Commit:
		run.call(domain, name, leader, group.CommitDone{ID: effect.ID, Outcome: kvstore.Unknown{}}, func() group.Event {
			return group.CommitDone{ID: effect.ID, Outcome: run.swap(key, effect)}
		})
	case group.ReadReport:
		var event group.Event = group.ReportFailed{VM: effect.VM}
		if !run.dead[effect.VM] {
			event = group.ReportRead{Sent: run.sim.now, Report: *run.reports[effect.VM]}
		}
		run.answer(domain, name, leader, event)
	case group.SendOrder:
		run.order(domain, effect)
		run.answer(domain, name, leader, group.OrderAccepted{VM: effect.VM, Order: effect.Order.ID})
	case group.AcquireWeights:
		run.answer(domain, name, leader, group.WeightsAcquired{VM: effect.VM})
	case group.PublishGrants:
		if effect.Fence >= run.grants[domain].Fence {
			run.grants[domain] = effect
		}
	case group.PublishPlacement:
		run.yield(domain, name)
	}
}

func placementKey(domain string) string { return DomainPrefix + domain + "/placement" }

func (run *outage) call(domain, name string, leader *group.Leader, lost group.Event, request func() group.Event) {
	if run.sim.down {
		run.answer(domain, name, leader, lost)
		return
	}
	run.sim.later(run.sim.delay, func() {
		run.sim.calls[int(run.sim.now.Sub(run.sim.start)/time.Second)]++
		run.answer(domain, name, leader, request())
	})
}

func (run *outage) swap(key string, commit group.Commit) kvstore.PutOutcome {
	if commit.Expect.Any() || commit.Expect.Revision() != run.sim.entries[key].Revision {
		return kvstore.Conflict{Revision: run.sim.entries[key].Revision}
	}
	run.sim.revision++
	run.sim.entries[key] = kvstore.Entry{Key: key, Value: commit.Record, Revision: run.sim.revision}
	return kvstore.Written{Revision: run.sim.revision}
}

// order carries out an order that the stored record asks for; any other fails
// the test.
func (run *outage) order(domain string, effect group.SendOrder) {
	run.orders++
	report := run.reports[effect.VM]
	report.Fence = effect.Order.Fence
	if effect.Order.Action != engine.ActionLoad {
		*report = engine.Report{VM: report.VM, Incarnation: report.Incarnation, Fence: report.Fence, State: engine.StateIdle}
		return
	}
	seats := run.stored(domain)
	assignment, placed := seats.Assignment(effect.VM)
	stored, _ := seats.Group(effect.Order.Group)
	require.True(run.t, placed && assignment.Group == effect.Order.Group && assignment.Rank == effect.Order.Rank && stored.Epoch == effect.Order.Epoch,
		"order %+v is not in the stored record", effect.Order)
	report.Group, report.Epoch, report.Rank = effect.Order.Group, effect.Order.Epoch, effect.Order.Rank
	report.Model, report.Version, report.State = effect.Order.Model, effect.Order.Version, engine.StateReady
}

func (run *outage) stored(domain string) *group.Placement {
	placement, err := group.DecodePlacement(run.sim.entries[placementKey(domain)].Value)
	require.NoError(run.t, err)
	return placement
}

// yield ends the severed terms of other nodes when a record is spread.
func (run *outage) yield(domain, writer string) {
	for name, leader := range run.leaders[domain] {
		if name != writer && leader.GrantsOnly() {
			delete(run.leaders[domain], name)
		}
	}
}

// advance lets time pass and calls check after each step.
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

// granted returns the epoch of the domain's group if its grant holds.
func (run *outage) granted(domain string) uint64 {
	for _, granted := range run.grants[domain].Grants {
		if granted.Open && granted.Grant.Holds(granted.Grant.Epoch, run.sim.now) {
			return granted.Grant.Epoch
		}
	}
	return 0
}

// The store is down for ten minutes, in which one member dies. Guards against
// groups that lose their grants with the store, against a seat or an order
// that no successful compare-and-swap has stored, and against more calls a
// second after the outage than the store admits.
func TestTenMinutesWithoutStore(t *testing.T) {
	run := newOutage(t)
	nothing := func() {}
	run.advance(3*time.Minute, nothing)
	domains := slices.Sorted(maps.Keys(run.leaders))
	epochs := map[string]uint64{}
	records := map[string]kvstore.Entry{}
	for _, domain := range domains {
		epochs[domain] = run.granted(domain)
		require.NotZero(t, epochs[domain], "%s has no group", domain)
		records[domain] = run.sim.entries[placementKey(domain)]
	}
	victim, broken := run.stored(domains[0]).Members("large." + domains[0] + ".0")[1], domains[0]
	healthy := domains[1:]
	keep := func() {
		for _, domain := range healthy {
			require.Equal(t, epochs[domain], run.granted(domain), "%s at %v", domain, run.sim.now.Sub(run.sim.start))
		}
	}

	run.sim.down = true
	run.advance(time.Minute, keep)
	run.dead[victim] = true
	run.advance(2*time.Second, keep)
	orders := run.orders
	run.advance(9*time.Minute-2*time.Second, func() {
		keep()
		require.Zero(t, run.granted(broken), "a group without %s has a grant", victim)
	})
	require.Equal(t, orders, run.orders, "orders without a store")
	for _, domain := range domains {
		require.Equal(t, records[domain], run.sim.entries[placementKey(domain)])
		for name, leader := range run.leaders[domain] {
			require.Equal(t, run.stored(domain).VMs(), leader.Placement().VMs(), "%s reassigned seats", name)
		}
	}

	run.sim.down = false
	run.advance(3*time.Minute, keep)
	require.Greater(t, run.granted(broken), epochs[broken], "the group is not repaired")
	before := busiest(run.sim, 2*time.Minute, 3*time.Minute)
	after := busiest(run.sim, 13*time.Minute, 16*time.Minute)
	t.Logf("busiest second: %d calls before the outage, %d after it", before, after)
	require.LessOrEqual(t, after, 300)
	for _, domain := range domains {
		require.Len(t, run.sim.leaders(domain), 1, domain)
		require.Len(t, run.leaders[domain], 1, "terms of %s", domain)
	}
	for _, domain := range healthy {
		require.Equal(t, run.stored(domain).Members("large."+domain+".0"), membersOf(t, records[domain], "large."+domain+".0"))
	}
}

func membersOf(t *testing.T, record kvstore.Entry, name string) []string {
	placement, err := group.DecodePlacement(record.Value)
	require.NoError(t, err)
	return placement.Members(name)
}
