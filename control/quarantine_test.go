package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// endTarget records at a node that a target ended under a request with the parts.
func (running *node) endTarget(target string, parts ...string) {
	attempt := running.tracker.Begin(target, parts, quarantine.Admission{}, func() {})
	defer attempt.Close()
	if attempt.Broken(time.Now()) {
		running.tracker.TargetProbed(target, true)
	}
}

func (running *node) succeed(parts ...string) {
	attempt := running.tracker.Begin("sound", parts, quarantine.Admission{}, func() {})
	defer attempt.Close()
	attempt.Completed(time.Now())
}

func (running *node) refuses(part string) bool {
	return running.tracker.Admit([]string{part}, time.Now()).Refused() != ""
}

// Guards against nodes that miss a part in quarantine: those that saw no end
// under it, those that do not watch the store, and those that start later. Guards as well
// against the quarantine of a part that is sound at one node only.
func TestPartIsRefusedAtEveryNode(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 5)
	cluster.nodes[4].succeed("shared")
	for index := range quarantine.MinEndings {
		cluster.nodes[index].endTarget(fmt.Sprint("t", index), "shared", "bad")
	}
	awaitRefusal := func() {
		for _, running := range cluster.nodes {
			require.Eventually(test, func() bool { return running.refuses("bad") }, waitBound, waitTick, running.name)
			require.False(test, running.refuses("shared"), running.name)
		}
	}
	awaitRefusal()
	cluster.startNode(cluster.storeAddress())
	awaitRefusal()
	release := admin.ReleaseRequest{Part: "bad", Author: "operator", Reason: "engines are mended"}
	result, err := cluster.nodes[0].controller.Release(context.Background(), release)
	require.NoError(test, err)
	require.Len(test, result.Targets, quarantine.MinEndings)
	for _, running := range cluster.nodes {
		require.Eventually(test, func() bool { return !running.refuses("bad") }, waitBound, waitTick, running.name)
	}
	_, err = cluster.nodes[0].controller.Release(context.Background(), release)
	require.True(test, errors.Is(err, errors.NotFound), "%v", err)
}

// Guards against a node that condemns parts on its own, because it cannot ask the others
// whether they are sound there.
func TestNodeWithoutTheOthersDecidesNothing(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 3)
	cluster.partitioned.Store(true)
	for index := range quarantine.MinEndings {
		cluster.nodes[0].endTarget(fmt.Sprint("t", index), "part")
	}
	require.False(test, cluster.nodes[0].tracker.MayRetry([]string{"part"}, time.Now()), "requests with the part are still retried")
	require.Never(test, func() bool { return cluster.nodes[0].refuses("part") }, time.Second, waitTick)
	cluster.partitioned.Store(false)
	require.Eventually(test, func() bool { return cluster.nodes[0].refuses("part") }, waitBound, waitTick)
}

// Guards against parts that reach targets until the store returns, although the nodes
// reach each other.
func TestDecisionSpreadsWithoutStore(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 3)
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: fault.Outage}))
	for index := range quarantine.MinEndings {
		cluster.nodes[index].endTarget(fmt.Sprint("t", index), "bad")
	}
	for _, running := range cluster.nodes {
		require.Eventually(test, func() bool { return running.refuses("bad") }, waitBound, waitTick, running.name)
	}
	require.NoError(test, cluster.store.Injector().Apply(fault.Order{Fault: fault.Clear}))
	late := cluster.startNode(cluster.storeAddress())
	require.Eventually(test, func() bool { return late.refuses("bad") }, waitBound, waitTick, "the record is not written")
}

// Guards against evidence that is lost with the nodes that saw the ends and those that
// decide: the remaining node sees the third end only.
func TestEvidenceOutlivesMostNodes(test *testing.T) {
	cluster := newGrantedCluster(test, 2, 4)
	last := cluster.nodes[3]
	for index := range quarantine.MinEndings - 1 {
		cluster.nodes[index].endTarget(fmt.Sprint("t", index), "bad")
	}
	require.Eventually(test, func() bool { return last.endings.Load() >= quarantine.MinEndings-1 }, waitBound, waitTick, "the ends are not reported")
	for len(cluster.nodes) > 1 {
		cluster.stopNode(cluster.nodes[0])
	}
	last.endTarget("t9", "bad")
	require.Eventually(test, func() bool { return last.refuses("bad") }, waitBound, waitTick)
}
