package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingspoke.org/lacewingspoke/workload"
)

const (
	overload = 2

	// The loads are relative to the capacity. With equal weights each of the
	// two workspaces has a share of half the capacity: largeLoad is 5 times
	// that share, smallLoad is within it.
	largeLoad = 2.5
	smallLoad = 0.2

	smallPercentile = 0.99
)

// benchAdmission compares admission control with its baselines on a virtual
// clock.
func benchAdmission(_ context.Context, table *table) error {
	benchOverload(table)
	benchFairness(table)
	benchThrottle(table)
	return nil
}

func benchOverload(table *table) {
	arrivals := workload.Arrivals(rand.New(rand.NewPCG(workload.Seed, 1)), "w", overload)
	capacity := float64(workload.Duration) / float64(workload.MeanServiceTime) * workload.Capacity
	for _, policy := range []struct {
		name   string
		result workload.Result
	}{
		{"admission queue", workload.Simulate(arrivals, workload.NewQueuePolicy("w"))["w"]},
		{"first in, first out", workload.Simulate(arrivals, &workload.FIFOPolicy{})["w"]},
		{"no admission control", workload.SimulateShared(arrivals)["w"]},
	} {
		table.addRow("answered in time under 2 times overload, "+policy.name,
			fmt.Sprintf("%.1f %% of capacity", 100*float64(policy.result.InTime)/capacity),
			fmt.Sprintf("90 in 100 of what capacity allows, seed %d", workload.Seed))
	}
}

func benchFairness(table *table) {
	random := rand.New(rand.NewPCG(workload.Seed, 2))
	both := workload.Merge(
		workload.Arrivals(random, "large", largeLoad),
		workload.Arrivals(random, "small", smallLoad))
	alone := workload.Arrivals(rand.New(rand.NewPCG(workload.Seed, 2)), "small", smallLoad)
	unloaded := workload.Simulate(alone, workload.NewQueuePolicy("small"))["small"].Percentile(smallPercentile)
	for _, policy := range []struct {
		name   string
		result workload.Result
	}{
		{"admission queue", workload.Simulate(both, workload.NewQueuePolicy("large", "small"))["small"]},
		{"no admission control", workload.SimulateShared(both)["small"]},
	} {
		p99 := policy.result.Percentile(smallPercentile)
		table.addRow("p99 of a small workspace beside a large one at 5 times its share, "+policy.name,
			fmt.Sprintf("%v, %.2f times the quiet p99", p99.Round(time.Millisecond), float64(p99)/float64(unloaded)),
			fmt.Sprintf("within 1.5 times the quiet p99 of %v, seed %d", unloaded.Round(time.Millisecond), workload.Seed))
	}
}

func benchThrottle(table *table) {
	for _, throttled := range []bool{true, false} {
		name := "open dispatch"
		if throttled {
			name = "throttled by load reports"
		}
		result := workload.SimulateEngines(overload, throttled)
		table.addRow("useful engine time under 2 times overload, "+name,
			fmt.Sprintf("%.1f %%, %d requests cut at their deadline",
				100*float64(result.Useful)/float64(workload.EngineCapacity), result.Expired),
			fmt.Sprintf("seed %d", workload.Seed))
	}
}
