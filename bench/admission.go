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

	// largeLoad is 5 times the half of the capacity that equal weights give
	// the large workspace; smallLoad is within the small one's share.
	largeLoad = 2.5
	smallLoad = 0.2

	smallPercentile = 0.99
)

// benchAdmission compares admission with its baselines on a virtual clock.
func benchAdmission(_ context.Context, out *report) error {
	benchOverload(out)
	benchFairness(out)
	benchThrottle(out)
	return nil
}

func benchOverload(out *report) {
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
		out.row("answered in time under 2 times overload, "+policy.name,
			fmt.Sprintf("%.1f %% of capacity", 100*float64(policy.result.InTime)/capacity),
			fmt.Sprintf("90 in 100 of what capacity allows, seed %d", workload.Seed))
	}
}

func benchFairness(out *report) {
	random := rand.New(rand.NewPCG(workload.Seed, 2))
	both := workload.Merge(
		workload.Arrivals(random, "large", largeLoad),
		workload.Arrivals(random, "small", smallLoad))
	alone := workload.Arrivals(rand.New(rand.NewPCG(workload.Seed, 2)), "small", smallLoad)
	quiet := workload.Simulate(alone, workload.NewQueuePolicy("small"))["small"].Percentile(smallPercentile)
	for _, policy := range []struct {
		name   string
		result workload.Result
	}{
		{"admission queue", workload.Simulate(both, workload.NewQueuePolicy("large", "small"))["small"]},
		{"no admission control", workload.SimulateShared(both)["small"]},
	} {
		p99 := policy.result.Percentile(smallPercentile)
		out.row("p99 of a small workspace beside a large one at 5 times its share, "+policy.name,
			fmt.Sprintf("%v, %.2f times the quiet p99", p99.Round(time.Millisecond), float64(p99)/float64(quiet)),
			fmt.Sprintf("within 1.5 times the quiet p99 of %v, seed %d", quiet.Round(time.Millisecond), workload.Seed))
	}
}

func benchThrottle(out *report) {
	for _, throttled := range []bool{true, false} {
		name := "open dispatch"
		if throttled {
			name = "throttled by load reports"
		}
		result := workload.SimulateEngines(overload, throttled)
		out.row("useful engine time under 2 times overload, "+name,
			fmt.Sprintf("%.1f %%, %d requests cut at their deadline",
				100*float64(result.Useful)/float64(workload.EngineCapacity), result.Expired),
			fmt.Sprintf("seed %d", workload.Seed))
	}
}
