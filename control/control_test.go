package control_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// unreachable is an address at which nothing listens.
const unreachable = "127.0.0.1:1"

// A node that is cut off from the store must still get the configuration.
func TestConfigurationReachesNodeWithoutStore(test *testing.T) {
	cluster := newCluster(test, 0)
	first := cluster.startNode(cluster.storeAddress())
	second := cluster.startNode(unreachable)
	cluster.apply(1)
	for _, running := range []*node{first, second} {
		running.await(test, "generation 1", func(table *route.Table) bool { return table.Generation() == 1 })
	}
	cluster.apply(2)
	second.await(test, "generation 2", func(table *route.Table) bool { return table.Generation() == 2 })
}

// A store that lost its newest state must not turn nodes back.
func TestStoreWithLowerHeadIsNotFollowed(test *testing.T) {
	cluster := newCluster(test, 0)
	running := cluster.startNode(cluster.storeAddress())
	cluster.apply(1)
	cluster.apply(2)
	running.await(test, "generation 2", func(table *route.Table) bool { return table.Generation() == 2 })
	cluster.apply(1)
	late := cluster.startNode(cluster.storeAddress())
	late.await(test, "generation 2 from the peer", func(table *route.Table) bool { return table.Generation() == 2 })
	require.EqualValues(test, 2, running.publisher.Current().Generation())
}

// A group must be formed, granted at every node, lose its grants with a
// member, and be repaired with a spare.
func TestGroupLosesGrantWithMemberAndIsRepaired(test *testing.T) {
	cluster := newCluster(test, 3)
	nodes := []*node{
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
	}
	cluster.apply(1)
	for _, running := range nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
	before, _ := granted(nodes[0].publisher.Current())
	cluster.engines.kill(before.Address)
	for _, running := range nodes {
		running.await(test, "repaired group", func(table *route.Table) bool {
			after, found := granted(table)
			return found && after.Epoch > before.Epoch
		})
	}
}

// Groups must go on serving through a store outage that outlasts every lease.
func TestGrantsGoOnWithoutStore(test *testing.T) {
	cluster := newCluster(test, 2)
	nodes := []*node{
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
	}
	cluster.apply(1)
	for _, running := range nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	end := time.Now().Add(4 * testLease)
	lost := 0
	require.Eventually(test, func() bool {
		for _, running := range nodes {
			if _, found := granted(running.publisher.Current()); !found {
				lost++
			}
		}
		return time.Now().After(end)
	}, waitBound, waitTick)
	require.Zero(test, lost, "a node had no grant during the outage")
}

// Groups must serve again when their leader dies during a store outage, in
// which nobody can take its lease.
func TestGrantsReturnWithoutStoreAndLeader(test *testing.T) {
	cluster := newCluster(test, 2)
	nodes := []*node{
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
	}
	cluster.apply(1)
	for _, running := range nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	leader := cluster.leader()
	cluster.stopNode(leader)
	for _, running := range cluster.nodes {
		running.await(test, "lost grant", func(table *route.Table) bool {
			_, found := granted(table)
			return !found
		})
	}
	for _, running := range cluster.nodes {
		running.await(test, "grant of an observer", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
}

// A node that does not hear the leader must get the grants from its other
// peers.
func TestGrantsArriveOverOtherPeer(test *testing.T) {
	cluster := newCluster(test, 2)
	for range 3 {
		cluster.startNode(cluster.storeAddress())
	}
	cluster.apply(1)
	for _, running := range cluster.nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
	leader := cluster.leader()
	for _, running := range cluster.nodes {
		if running != leader {
			running.filter.lost.Store(&leader.name)
			cut := time.Now()
			running.await(test, "grant from another peer", func(table *route.Table) bool {
				target, found := granted(table)
				return found && target.Grant.ReportedAt.After(cut.Add(testBound))
			})
			return
		}
	}
}

// A VM that the platform's list moves to another fabric domain must not be
// taken by that domain's leader while its group still serves.
func TestMovedVMIsNotTaken(test *testing.T) {
	cluster := newCluster(test, 2)
	running := cluster.startNode(cluster.storeAddress())
	cluster.apply(1)
	running.await(test, "grant", func(table *route.Table) bool {
		_, found := granted(table)
		return found
	})
	for index := range cluster.vms {
		cluster.vms[index].FabricDomain = "fabric-b"
	}
	cluster.store.SetVMs(cluster.vms)
	require.Eventually(test, func() bool {
		status, err := running.controller.Status(context.Background())
		return err == nil && slices.Contains(status.Leads, "fabric-b")
	}, waitBound, waitTick, "fabric-b is led")
	// The new leader acts on the first reports after its wait for old orders,
	// which is over within this number of reports.
	enough := cluster.engines.reportsRead() + 100
	require.Eventually(test, func() bool { return cluster.engines.reportsRead() > enough }, waitBound, waitTick)
	require.Zero(test, cluster.engines.cutOff(), "VMs were released from a serving group")
}

// Above the full mesh grants pass along the relay tree, or by request where it
// has a gap, and must reach every node.
func TestGrantsReachFleetAboveFullMesh(test *testing.T) {
	cluster := newCluster(test, 2)
	cluster.apply(1)
	var nodes []*node
	for range fleet.FullMeshNodes + 4 {
		nodes = append(nodes, cluster.startNode(cluster.storeAddress()))
	}
	for _, running := range nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
}

// A drain must close the group at every node, also while the store is down.
func TestDrainSpreadsWithoutStore(test *testing.T) {
	cluster := newCluster(test, 2)
	nodes := []*node{
		cluster.startNode(cluster.storeAddress()),
		cluster.startNode(cluster.storeAddress()),
	}
	cluster.apply(1)
	for _, running := range nodes {
		running.await(test, "grant", func(table *route.Table) bool {
			_, found := granted(table)
			return found
		})
	}
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	_, err := nodes[0].controller.Drain(context.Background(), admin.DrainRequest{Target: "vm-0", Author: "operator", Reason: "test"})
	require.NoError(test, err)
	for _, running := range nodes {
		running.await(test, "closed group", func(table *route.Table) bool {
			for _, target := range table.Groups("dedication") {
				if target.Open {
					return false
				}
			}
			return true
		})
	}
}

// A drain of an unknown target must be refused with a clear error.
func TestDrainOfUnknownTarget(test *testing.T) {
	cluster := newCluster(test, 1)
	running := cluster.startNode(cluster.storeAddress())
	_, err := running.controller.Drain(context.Background(), admin.DrainRequest{Target: "vm-9", Author: "operator", Reason: "test"})
	require.ErrorContains(test, err, `target "vm-9" not found`)
}
