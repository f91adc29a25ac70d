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

// Guards against a node that receives no configuration while it cannot reach
// the store: it must get it from its peers.
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

// Guards against nodes that return to an older generation after the store has
// lost its recent writes.
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

// Guards against a group that is not repaired: after the loss of a member it
// must be formed again with the spare VM at a higher epoch and be granted at
// every node.
func TestGroupIsRepairedAfterMemberLoss(test *testing.T) {
	cluster := newGrantedCluster(test, 3, 3)
	before, _ := granted(cluster.nodes[0].publisher.Current())
	cluster.engines.kill(before.Address)
	for _, running := range cluster.nodes {
		running.await(test, "repaired group", func(table *route.Table) bool {
			after, found := granted(table)
			return found && after.Epoch > before.Epoch
		})
	}
}

// Guards against grants that end during a store outage that outlasts every
// lease.
func TestGrantsContinueWithoutStore(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 2)
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	end := time.Now().Add(4 * testLease)
	lost := 0
	require.Eventually(test, func() bool {
		for _, running := range cluster.nodes {
			if _, found := granted(running.publisher.Current()); !found {
				lost++
			}
		}
		return time.Now().After(end)
	}, waitBound, waitTick)
	require.Zero(test, lost, "a node had no grant during the outage")
}

// Guards against groups that stay without grants when their leader is stopped
// during a store outage, in which no other node can acquire its lease. Another
// node must publish the grants in its place.
func TestGrantsResumeWithoutStoreAndLeader(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 3)
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	leader := cluster.leader()
	cluster.stopNode(leader)
	for _, running := range cluster.nodes {
		running.await(test, "lost grant", func(table *route.Table) bool {
			_, found := granted(table)
			return !found
		})
	}
	cluster.awaitGrants("grant of an observer")
}

// Guards against a node that stays without grants when it receives none from
// the leader: it must request them from its other peers.
func TestGrantsArriveFromOtherPeer(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 3)
	leader := cluster.leader()
	for _, running := range cluster.nodes {
		if running != leader {
			running.filter.dropped.Store(&leader.name)
			cut := time.Now()
			running.await(test, "grant from another peer", func(table *route.Table) bool {
				target, found := granted(table)
				return found && target.Grant.ReportedAt.After(cut.Add(testBound))
			})
			return
		}
	}
}

// Guards against a VM that is released from a serving group because the
// platform's list moves it to another fabric domain, whose leader must not use
// it before its group has released it.
func TestMovedVMIsNotReleasedFromServingGroup(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 1)
	running := cluster.nodes[0]
	for index := range cluster.vms {
		cluster.vms[index].FabricDomain = "fabric-b"
	}
	cluster.store.SetVMs(cluster.vms)
	require.Eventually(test, func() bool {
		status, err := running.controller.Status(context.Background())
		return err == nil && slices.Contains(status.Leads, "fabric-b")
	}, waitBound, waitTick, "no node leads fabric-b")
	// The new leader waits until orders of its predecessor have expired and then
	// acts on the next reports. Both happen within this number of reports.
	enough := cluster.engines.reportsRead() + 100
	require.Eventually(test, func() bool { return cluster.engines.reportsRead() > enough }, waitBound, waitTick)
	require.Zero(test, cluster.engines.releasedWhileServing(), "VMs were released from a serving group")
}

// Guards against nodes without grants in a fleet that is too large for a full
// mesh, in which grants are relayed along a tree and requested where it has a
// gap.
func TestGrantsReachFleetAboveFullMesh(test *testing.T) {
	newGrantedCluster(test, 2, fleet.FullMeshNodes+4)
}

// Guards against a drain during a store outage that does not close the group at
// every node.
func TestDrainSpreadsWithoutStore(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 2)
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: "outage", Duration: fault.Duration(time.Hour)}))
	_, err := cluster.nodes[0].controller.Drain(context.Background(), admin.DrainRequest{Target: "vm-0", Author: "operator", Reason: "test"})
	require.NoError(test, err)
	for _, running := range cluster.nodes {
		running.await(test, "closed group", func(table *route.Table) bool {
			for _, target := range table.Groups("", "dedication") {
				if target.Open {
					return false
				}
			}
			return true
		})
	}
}

// Guards against a drain of an unknown target that succeeds or fails without
// the name of the target.
func TestDrainOfUnknownTarget(test *testing.T) {
	cluster := newCluster(test, 1)
	running := cluster.startNode(cluster.storeAddress())
	_, err := running.controller.Drain(context.Background(), admin.DrainRequest{Target: "vm-9", Author: "operator", Reason: "test"})
	require.ErrorContains(test, err, `target "vm-9" not found`)
}
