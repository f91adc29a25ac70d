package limit_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/workload"
)

// Guards against an overloaded node that works for callers that have given up.
// At twice the capacity, the number of requests finished in time stays near the
// capacity, while both baselines collapse.
func TestOverloadAgainstBaselines(t *testing.T) {
	t.Logf("seed %d", workload.Seed)
	t.Logf("%-6s %10s %10s %10s %10s", "load", "offered", "queue", "fifo", "none")
	for _, load := range []float64{0.7, 1, 1.5, 2, 4} {
		all := workload.Arrivals(rand.New(rand.NewPCG(workload.Seed, 1)), "w", load)
		queue := workload.Simulate(all, workload.NewQueuePolicy("w"))["w"]
		fifo := workload.Simulate(all, &workload.FIFOPolicy{})["w"]
		none := workload.SimulateShared(all)["w"]
		t.Logf("%-6.1f %10d %10d %10d %10d", load, queue.Offered, queue.InTime, fifo.InTime, none.InTime)
		capacity := int(float64(workload.Duration) / float64(workload.MeanServiceTime) * workload.Capacity)
		if load >= 1.5 {
			require.Greater(t, queue.InTime, capacity*85/100)
			require.Less(t, fifo.InTime, queue.InTime/5)
			require.Less(t, none.InTime, queue.InTime/2)
		} else {
			require.GreaterOrEqual(t, queue.InTime, fifo.InTime*99/100)
		}
	}
}

// Guards against a large workspace that starves a small one.
func TestFairnessAgainstBaselines(t *testing.T) {
	t.Logf("seed %d", workload.Seed)
	random := rand.New(rand.NewPCG(workload.Seed, 2))
	all := workload.Merge(workload.Arrivals(random, "large", 4), workload.Arrivals(random, "small", 0.2))
	alone := workload.Simulate(workload.Merge(workload.Arrivals(rand.New(rand.NewPCG(workload.Seed, 3)), "small", 0.2)), workload.NewQueuePolicy("small"))["small"]
	queue := workload.Simulate(all, workload.NewQueuePolicy("large", "small"))
	fifo := workload.Simulate(all, &workload.FIFOPolicy{})
	none := workload.SimulateShared(all)
	t.Logf("small workspace in time: alone %.3f, queue %.3f, fifo %.3f, none %.3f",
		alone.InTimeFraction(), queue["small"].InTimeFraction(), fifo["small"].InTimeFraction(), none["small"].InTimeFraction())
	require.Greater(t, queue["small"].InTimeFraction(), 0.95*alone.InTimeFraction())
	require.Less(t, fifo["small"].InTimeFraction(), 0.2)
	require.Less(t, none["small"].InTimeFraction(), 0.8)
}
