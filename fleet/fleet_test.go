package fleet

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/standin/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

func testDomains(count int) []Domain {
	var domains []Domain
	for index := range count {
		domains = append(domains, Domain{Name: fmt.Sprint("fabric-", index), FailureDomain: fmt.Sprint("fd-", index%3)})
	}
	return domains
}

// startSix runs six nodes in three failure domains until every domain has a
// leader.
func startSix(seed uint64, domains []Domain) *simulation {
	sim := newSimulation(seed)
	for index := range 6 {
		name := fmt.Sprint("node-", index)
		node := sim.add(name, "1", fmt.Sprint("fd-", index%3))
		sim.deliver(name, node, DomainsListed{Domains: domains})
	}
	sim.advance(20 * time.Second)
	return sim
}

// At any time at most one node leads a domain, and the leader key in the store
// names it, while nodes pause, restart, stop or lose the store and messages are
// lost or delayed. Guards against a lease that is counted from its response.
func TestAtMostOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := testDomains(3)
		sim := startSix(rapid.Uint64().Draw(t, "seed"), domains)
		sim.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		sim.delay = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, time.Second, 8 * time.Second}).Draw(t, "delay")
		restarts := 1
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(sim.names).Draw(t, "node")
			node := sim.nodes[name]
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1:
				node.paused = true
			case 2, 3:
				sim.resume(name)
			case 4:
				sim.disconnected[name] = !sim.disconnected[name]
			case 5:
				sim.storeDown = !sim.storeDown
			case 6:
				restarts++
				fresh := sim.add(name, fmt.Sprint(restarts), node.fleet.self.FailureDomain)
				sim.deliver(name, fresh, DomainsListed{Domains: domains})
			case 7:
				sim.deliver(name, node, Stopping{})
			case 8:
				sim.deliver(name, node, Stopped{})
			}
			for range rapid.IntRange(1, 40).Draw(t, "quarters") {
				sim.advance(250 * time.Millisecond)
				checkLeaders(t, sim, domains)
			}
		}
	})
}

func checkLeaders(t *rapid.T, sim *simulation, domains []Domain) {
	for _, domain := range domains {
		leaders := sim.leaders(domain.Name)
		if len(leaders) > 1 {
			t.Fatalf("%s is led by %v", domain.Name, leaders)
		}
		if reported := sim.reportedLeaders(domain.Name); len(reported) > 1 {
			t.Fatalf("%v have all been reported as leaders of %s", reported, domain.Name)
		}
		for _, name := range leaders {
			leader, err := ParseLeader(sim.entries[LeaderKey(domain.Name)].Value)
			if err != nil || leader != sim.nodes[name].fleet.ownLeader() {
				t.Fatalf("%s leads %s, but the leader key does not name it", name, domain.Name)
			}
		}
	}
}

// At any time at most one node leads a domain while the store returns from older copies
// again and again, beside nodes that pause, restart, stop or are cut off. Guards against a
// lease that counts although the copy does not have it, against one whose id has been
// given out again, and against a claim while a leader of the time before still holds one.
func TestAtMostOneLeaderAcrossCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := testDomains(3)
		sim := startSix(rapid.Uint64().Draw(t, "seed"), domains)
		sim.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		sim.delay = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "delay")
		restarts := 1
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(sim.names).Draw(t, "node")
			node := sim.nodes[name]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2:
				sim.restore(rapid.IntRange(1, maxCopies).Draw(t, "copy"))
			case 3:
				node.paused = true
			case 4:
				sim.resume(name)
			case 5:
				sim.disconnected[name] = !sim.disconnected[name]
			case 6:
				restarts++
				fresh := sim.add(name, fmt.Sprint(restarts), node.fleet.self.FailureDomain)
				sim.deliver(name, fresh, DomainsListed{Domains: domains})
			case 7:
				sim.deliver(name, node, Stopping{})
			}
			for range rapid.IntRange(1, 40).Draw(t, "quarters") {
				sim.advance(250 * time.Millisecond)
				for _, domain := range domains {
					if leaders := sim.leaders(domain.Name); len(leaders) > 1 {
						t.Fatalf("%s is led by %v", domain.Name, leaders)
					}
				}
			}
		}
	})
}

// Every domain has exactly one leader again 90 s after an outage with pauses,
// losses, delays and disconnected nodes ends.
func TestEveryDomainRegainsALeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := testDomains(4)
		sim := startSix(rapid.Uint64().Draw(t, "seed"), domains)
		sim.loss = 0.5
		sim.delay = 3 * time.Second
		sim.storeDown = rapid.Bool().Draw(t, "down")
		for _, name := range sim.names {
			sim.nodes[name].paused = rapid.Bool().Draw(t, "paused")
			sim.disconnected[name] = rapid.Bool().Draw(t, "cut")
		}
		sim.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
		sim.loss, sim.delay, sim.storeDown = 0, 20*time.Millisecond, false
		clear(sim.disconnected)
		for _, name := range sim.names {
			sim.resume(name)
		}
		sim.advance(90 * time.Second)
		for _, domain := range domains {
			if leaders := sim.leaders(domain.Name); len(leaders) != 1 {
				t.Fatalf("%s is led by %v", domain.Name, leaders)
			}
		}
	})
}

// A domain's leader is in the domain's own failure domain if that has nodes.
func TestLeaderIsInDomainsFailureDomain(t *testing.T) {
	domains := testDomains(9)
	sim := startSix(1, domains)
	for _, domain := range domains {
		leaders := sim.leaders(domain.Name)
		require.Len(t, leaders, 1)
		assert.Equal(t, domain.FailureDomain, sim.nodes[leaders[0]].fleet.self.FailureDomain)
	}
}

// Another node takes over the domains of a stopping node within 3 s. Guards
// against a takeover that waits until the node's lease expires.
func TestStopHandsDomainsOver(t *testing.T) {
	domains := testDomains(3)
	sim := startSix(1, domains)
	stopped := sim.leaders(domains[0].Name)[0]
	sim.deliver(stopped, sim.nodes[stopped], Stopping{})
	assert.Empty(t, sim.leaders(domains[0].Name))
	sim.advance(3 * time.Second)
	leaders := sim.leaders(domains[0].Name)
	require.Len(t, leaders, 1)
	assert.NotEqual(t, stopped, leaders[0])
	assert.Contains(t, sim.entries, NodeKey(stopped))
	sim.deliver(stopped, sim.nodes[stopped], Stopped{})
	sim.remove(stopped)
	sim.advance(time.Second)
	assert.NotContains(t, sim.entries, NodeKey(stopped))
}

// leadingFleet returns a fleet that leads domain "d" under lease "l". The leader
// key is at revision 3.
func leadingFleet(t *testing.T, seed uint64, now time.Time) *Fleet {
	t.Helper()
	fleet := New(Config{Name: "a", Incarnation: "1", Random: newSimulation(seed).random})
	fleet.Handle(now, DomainsListed{Domains: []Domain{{Name: "d"}}})
	fleet.Handle(now, KeysListed{Prefix: NodePrefix, Revision: 1})
	fleet.Handle(now, KeysListed{Prefix: DomainPrefix, Revision: 1})
	fleet.Handle(now, LeaseGranted{Lease: "l", TTL: 9 * time.Second, Sent: now})
	fleet.Handle(now, NodeWritten{Lease: "l", Outcome: kvstore.Written{Revision: 2}})
	effects := fleet.Handle(now.Add(DefaultSettleNear), Tick{})
	require.IsType(t, ClaimDomain{}, effects[len(effects)-1])
	effects = fleet.Handle(now.Add(DefaultSettleNear), ClaimDone{Domain: "d", Lease: "l", Outcome: kvstore.Written{Revision: 3}})
	until := now.Add(9*time.Second - 90*time.Millisecond)
	require.Equal(t, []Effect{LeadershipHeld{Domain: "d", Until: until}}, effects)
	return fleet
}

// ownLeaderKey returns the leader key of leadingFleet.
func ownLeaderKey(fleet *Fleet) kvstore.Entry {
	return kvstore.Entry{Key: LeaderKey("d"), Value: fleet.leaderValue(), Revision: 3, Lease: "l"}
}

// A leader that was paused past the end of its lease must report the domain as
// lost before any other effect. A renewal response that was queued during the
// pause must not extend the lease.
func TestPausedLeaderReportsLossFirst(t *testing.T) {
	now := time.Now()
	fleet := leadingFleet(t, 1, now)
	resumed := now.Add(10 * time.Second)
	_, leads := fleet.Leads("d", resumed)
	assert.False(t, leads)
	effects := fleet.Handle(resumed, LeaseRenewed{Lease: "l", Sent: now.Add(500 * time.Millisecond)})
	assert.Equal(t, LeadershipLost{Domain: "d"}, effects[0])
	for _, effect := range effects {
		_, held := effect.(LeadershipHeld)
		assert.False(t, held)
	}
	effects = fleet.Handle(resumed, LeaseRenewed{Lease: "l", Sent: resumed})
	require.NotEmpty(t, effects)
	assert.IsType(t, LeadershipHeld{}, effects[0])
}

// After a lease is gone, a late result with the leader key that was attached to
// it must not make the node leader under its next lease, nor keep it from
// reading and claiming the key again.
func TestKeyOfOldLeaseIsIgnored(t *testing.T) {
	now := time.Now()
	fleet := leadingFleet(t, 1, now)
	key := ownLeaderKey(fleet)
	assert.Contains(t, fleet.Handle(now, LeaseMissing{Lease: "l"}), LeadershipLost{Domain: "d"})
	fleet.Handle(now, LeaseGranted{Lease: "m", TTL: 9 * time.Second, Sent: now})
	fleet.Handle(now, NodeWritten{Lease: "m", Outcome: kvstore.Written{Revision: 9}})
	fleet.Handle(now, KeysChanged{Revision: 3, Entries: []kvstore.Entry{key}})
	_, leads := fleet.Leads("d", now)
	assert.False(t, leads)

	fleet.Handle(now, LeaderRead{Domain: "d"})
	effects := fleet.Handle(now, ClaimDone{Domain: "d", Lease: "l", Outcome: kvstore.Written{Revision: 3}})
	_, leads = fleet.Leads("d", now)
	assert.False(t, leads)
	assert.Contains(t, effects, ReadLeader{Domain: "d", Key: key.Key})
}

// A watch result from before the deletion of the leader key must not make the
// node leader again.
func TestKeyFromBeforeDeletionIsIgnored(t *testing.T) {
	now := time.Now()
	fleet := leadingFleet(t, 1, now)
	effects := fleet.Handle(now, KeysChanged{Revision: 5, Deleted: []string{LeaderKey("d")}})
	assert.Equal(t, LeadershipLost{Domain: "d"}, effects[0])
	fleet.Handle(now, KeysChanged{Revision: 3, Entries: []kvstore.Entry{ownLeaderKey(fleet)}})
	_, leads := fleet.Leads("d", now)
	assert.False(t, leads)
}

// A watch result or listing from before the claim, in which the leader key is
// absent, must not end the leadership.
func TestDeletionFromBeforeClaimIsIgnored(t *testing.T) {
	now := time.Now()
	fleet := leadingFleet(t, 1, now)
	fleet.Handle(now, KeysChanged{Revision: 2, Deleted: []string{LeaderKey("d")}})
	fleet.Handle(now, KeysListed{Prefix: DomainPrefix, Revision: 2})
	_, leads := fleet.Leads("d", now)
	assert.True(t, leads)
}

// A claim that succeeds after the stop began is released at once. Otherwise the
// domain would have no leader until the node revokes its lease.
func TestLateClaimIsReleased(t *testing.T) {
	now := time.Now()
	fleet := leadingFleet(t, 1, now)
	released := ReleaseDomain{Domain: "d", Key: LeaderKey("d"), Revision: 3}
	assert.Equal(t, []Effect{LeadershipLost{Domain: "d"}, released}, fleet.Handle(now, Stopping{}))
	released.Revision = 4
	assert.Contains(t, fleet.Handle(now, ClaimDone{
		Domain: "d", Lease: "l", Outcome: kvstore.Written{Revision: 4},
	}), released)
	assert.Contains(t, fleet.Handle(now, Stopped{}), RevokeLease{Lease: "l"})
	assert.Contains(t, fleet.Handle(now, LeaseGranted{Lease: "m", Sent: now}), RevokeLease{Lease: "m"})
}

// Nodes that lose their leases at the same time request new ones spread over a
// renewal interval. Guards against a burst of grants after an outage.
func TestNewLeaseGrantsAreSpread(t *testing.T) {
	now := time.Now()
	early := 0
	const nodes = 100
	for seed := range uint64(nodes) {
		fleet := leadingFleet(t, seed, now)
		fleet.Handle(now, LeaseMissing{Lease: "l"})
		for _, effect := range fleet.Handle(now.Add(fleet.renewInterval()/2), Tick{}) {
			if _, ok := effect.(GrantLease); ok {
				early++
			}
		}
	}
	assert.InDelta(t, nodes/2, early, 15)
}

// outageOfLeader returns the fleet of leadingFleet after an outage of the store of 9 s, longer than
// the lease.
func outageOfLeader(t *testing.T, now time.Time) (*Fleet, time.Time) {
	fleet := leadingFleet(t, 1, now)
	fleet.Handle(now, LeaseRenewFailed{Lease: "l"})
	for at := now; at.Before(now.Add(9 * time.Second)); at = at.Add(250 * time.Millisecond) {
		for _, effect := range fleet.Handle(at, Tick{}) {
			if renewal, ok := effect.(RenewLease); ok {
				fleet.Handle(at, LeaseRenewFailed(renewal))
			}
		}
	}
	return fleet, now.Add(9 * time.Second)
}

// Guards against a leader that sleeps in a backoff while its lease, which the store kept,
// runs out after an outage (mvua trouble-3: leaders 3 s after the return).
func TestLeaderRenewsAtOnceWhenTheStoreReturns(t *testing.T) {
	fleet, returned := outageOfLeader(t, time.Now())
	require.NotContains(t, fleet.Handle(returned, Tick{}), RenewLease{Lease: "l"}, "the outage has no backoff")
	fleet.lease.renewing = true
	require.Contains(t, fleet.Handle(returned, StoreReturned{}), RenewLease{Lease: "l"}, "a call that was sent in the outage is waited for")
	effects := fleet.Handle(returned, LeaseRenewed{Lease: "l", Sent: returned})
	require.IsType(t, LeadershipHeld{}, effects[0])
}

// Guards against a leader that waits for its rank and for the spread of all grants when its
// lease ran out during an outage.
func TestLeaderClaimsAgainAtOnceWhenItsLeaseRanOut(t *testing.T) {
	fleet, returned := outageOfLeader(t, time.Now())
	fleet.Handle(returned, KeysChanged{Revision: 4, Entries: []kvstore.Entry{
		{Key: NodeKey("b"), Value: []byte(`{"name":"b","incarnation":"1","processor-share":1}`), Revision: 4},
	}})
	rank, _ := fleet.Rank("d")
	require.Equal(t, 1, rank)
	fleet.Handle(returned, StoreReturned{})
	effects := fleet.Handle(returned, LeaseMissing{Lease: "l"})
	require.IsType(t, GrantLease{}, effects[len(effects)-1])
	fleet.Handle(returned, LeaseGranted{Lease: "m", TTL: 9 * time.Second, Sent: returned})
	fleet.Handle(returned, NodeWritten{Lease: "m", Outcome: kvstore.Written{Revision: 5}})
	effects = fleet.Handle(returned, LeaderRead{Domain: "d"})
	require.IsType(t, ClaimDomain{}, effects[len(effects)-1])
}

// A leader is replaced by a new process while the store is away. Guards against a domain that
// nobody leads until the lease of the process before has run out (own day: 3 s).
func TestKeyOfAnEarlierProcessIsDeleted(t *testing.T) {
	now := time.Now()
	fleet := New(Config{Name: "a", Incarnation: "2", Random: newSimulation(1).random})
	fleet.Handle(now, DomainsListed{Domains: []Domain{{Name: "d"}}})
	key := kvstore.Entry{Key: LeaderKey("d"), Value: []byte(`{"node":"a","incarnation":"1"}`), Revision: 3, Lease: "l"}
	listed := KeysListed{Prefix: DomainPrefix, Revision: 3, Entries: []kvstore.Entry{key}}
	deleted := ReleaseDomain{Domain: "d", Key: key.Key, Revision: 3}
	require.Contains(t, fleet.Handle(now, listed), deleted)
	require.NotContains(t, fleet.Handle(now, listed), deleted, "deleted twice")
	key.Value, key.Revision = []byte(`{"node":"b","incarnation":"1"}`), 4
	require.Empty(t, fleet.Handle(now, KeysChanged{Revision: 4, Entries: []kvstore.Entry{key}}), "the key of another node is deleted")
	key.Value, key.Revision = []byte(`{"node":"a","incarnation":"3"}`), 5
	require.Empty(t, fleet.Handle(now, KeysChanged{Revision: 5, Entries: []kvstore.Entry{key}}), "the key of the process that replaces this one is deleted")
}

// Half of the nodes lose the store. They lead no domain after their leases
// expire, and the nodes that still reach the store lead every domain.
func TestNodesWithoutStoreLoseTheirDomains(t *testing.T) {
	domains := testDomains(6)
	sim := startSix(1, domains)
	for _, name := range []string{"node-0", "node-1", "node-2"} {
		sim.disconnected[name] = true
	}
	sim.advance(30 * time.Second)
	for _, domain := range domains {
		leaders := sim.leaders(domain.Name)
		require.Len(t, leaders, 1)
		assert.False(t, sim.disconnected[leaders[0]])
	}
	assert.True(t, sim.nodes["node-0"].fleet.Alive("node-3"))
}

// All nodes are replaced one after the other within minutes. Every domain has a
// leader afterwards, and the replaced nodes are no longer listed.
func TestDomainsStayLedWhileNodesAreReplaced(t *testing.T) {
	domains := testDomains(3)
	sim := startSix(1, domains)
	for index := range 6 {
		old := fmt.Sprint("node-", index)
		sim.remove(old)
		fresh := fmt.Sprint("fresh-", index)
		node := sim.add(fresh, "1", fmt.Sprint("fd-", index%3))
		sim.deliver(fresh, node, DomainsListed{Domains: domains})
		sim.advance(30 * time.Second)
	}
	for _, domain := range domains {
		assert.Len(t, sim.leaders(domain.Name), 1)
	}
	for _, name := range sim.names {
		assert.Len(t, sim.nodes[name].fleet.Nodes(), 6)
	}
}

// After a store outage that outlasts the leases of 730 nodes, the nodes must not
// make more calls per second than the store admits. The same run measures the
// calls before the outage.
func TestNoRenewalStormAfterOutage(t *testing.T) {
	const nodes = 730
	sim := newSimulation(1)
	for index := range nodes {
		name := fmt.Sprint("node-", index)
		node := sim.add(name, "1", fmt.Sprint("fd-", index%7))
		node.fleet.nextListAt = sim.now.Add(time.Duration(index) * 75 * time.Millisecond)
	}
	sim.advance(3 * time.Minute)
	steady := busiestSecond(sim, 2*time.Minute, 3*time.Minute)
	sim.storeDown = true
	sim.advance(90 * time.Second)
	sim.storeDown = false
	sim.advance(90 * time.Second)
	recovery := busiestSecond(sim, 270*time.Second, 6*time.Minute)
	t.Logf("busiest second: %d calls before the outage, %d after it", steady, recovery)
	assert.LessOrEqual(t, steady, 150)
	assert.LessOrEqual(t, recovery, 300)
	assert.Len(t, sim.list(NodePrefix).(KeysListed).Entries, nodes)
}

func busiestSecond(sim *simulation, from, to time.Duration) int {
	most := 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		most = max(most, sim.calls[second])
	}
	return most
}

// The accepted versions of an incarnation only increase, and frames of other
// incarnations are rejected once the current one is confirmed.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := NewVersions()
		newest := map[string]uint64{}
		confirmed := ""
		for range rapid.IntRange(1, 100).Draw(t, "frames") {
			incarnation := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "incarnation")
			if rapid.IntRange(0, 9).Draw(t, "confirm") == 0 {
				versions.Confirm("origin", incarnation)
				confirmed = incarnation
			}
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			accepted := versions.Advance("origin", incarnation, version)
			isNew := version > newest[incarnation] && (confirmed == "" || confirmed == incarnation)
			if accepted != isNew {
				t.Fatalf("version %d of %s after %d: %v", version, incarnation, newest[incarnation], accepted)
			}
			if accepted {
				newest[incarnation] = version
			}
		}
	})
}
