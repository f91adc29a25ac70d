// Package workload replays request arrivals against admission policies on a
// virtual clock.
//
// The tests of package limit and the bench command use it: the same arrivals
// go through limit.Queue and through the baselines first in, first out and no
// admission control.
//
// # Usage
//
//	random := rand.New(rand.NewPCG(workload.Seed, 1))
//	arrivals := workload.Arrivals(random, "large", 2)
//	queue := workload.Simulate(arrivals, workload.NewQueuePolicy("large"))
//	none := workload.SimulateShared(arrivals)
package workload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The load of the admission simulations.
const (
	// Capacity is the number of requests that run at once.
	Capacity = 8

	// Service is the mean time of a request.
	Service = 100 * time.Millisecond

	// Deadline is the time that a caller waits.
	Deadline = 500 * time.Millisecond

	// Duration is the time over which requests arrive.
	Duration = 20 * time.Second

	// Seed makes the simulations repeatable.
	Seed = 20261204
)

// Epoch is the start of the virtual clock.
var Epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// An Arrival is one request of the simulated load.
type Arrival struct {
	Workspace string
	At        time.Time
	Work      time.Duration
}

// Arrivals returns Poisson arrivals with exponential work. load is relative to
// the capacity.
func Arrivals(random *rand.Rand, workspace string, load float64) []Arrival {
	var result []Arrival
	gap := float64(Service) / Capacity / load
	for at := time.Duration(0); at < Duration; {
		at += time.Duration(random.ExpFloat64() * gap)
		work := time.Duration(random.ExpFloat64() * float64(Service))
		result = append(result, Arrival{Workspace: workspace, At: Epoch.Add(at), Work: work})
	}
	return result
}

// Merge returns the arrivals of several lists in the order of time.
func Merge(lists ...[]Arrival) []Arrival {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(first, second Arrival) int { return first.At.Compare(second.At) })
	return all
}

// A Result counts one workspace's requests.
type Result struct {
	Offered int

	// InTime is the number of requests that ended before their deadline.
	InTime int

	// times are the response times of all requests that ended.
	times []time.Duration
}

// Share returns the part of the offered requests that ended in time.
func (result Result) Share() float64 { return float64(result.InTime) / float64(result.Offered) }

// Percentile returns the response time that a part of the ended requests does
// not exceed, 0 when none ended.
func (result Result) Percentile(part float64) time.Duration {
	if len(result.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(result.times))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// Results are the results of all workspaces by name.
type Results map[string]Result

func (results Results) offer(arrival Arrival) {
	counted := results[arrival.Workspace]
	counted.Offered++
	results[arrival.Workspace] = counted
}

func (results Results) end(arrival Arrival, at time.Time) {
	counted := results[arrival.Workspace]
	counted.times = append(counted.times, at.Sub(arrival.At))
	if !at.After(arrival.At.Add(Deadline)) {
		counted.InTime++
	}
	results[arrival.Workspace] = counted
}
