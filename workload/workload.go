// Package workload simulates request load against admission policies on a
// virtual clock.
//
// The tests of package limit and the bench command use it to compare policies
// under the same arrivals: limit.Queue, and as baselines a first-in, first-out
// queue and no admission control. It also simulates engines behind an admission
// queue.
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

	// MeanServiceTime is the mean service time of a request.
	MeanServiceTime = 100 * time.Millisecond

	// Deadline is the time after which a caller stops waiting for a response.
	Deadline = 500 * time.Millisecond

	// Duration is the period during which requests arrive.
	Duration = 20 * time.Second

	// Seed is the seed of the random sources, which makes simulations
	// repeatable.
	Seed = 20261204
)

// Start is the start time of the virtual clock.
var Start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// An Arrival is the arrival of one request.
type Arrival struct {
	Workspace string
	At        time.Time

	// Work is the run time of the request when it does not share the capacity.
	Work time.Duration
}

// Arrivals returns arrivals of a Poisson process with exponentially distributed
// work. load is the offered load relative to Capacity.
func Arrivals(random *rand.Rand, workspace string, load float64) []Arrival {
	var result []Arrival
	gap := float64(MeanServiceTime) / Capacity / load
	for at := time.Duration(0); at < Duration; {
		at += time.Duration(random.ExpFloat64() * gap)
		work := time.Duration(random.ExpFloat64() * float64(MeanServiceTime))
		result = append(result, Arrival{Workspace: workspace, At: Start.Add(at), Work: work})
	}
	return result
}

// Merge returns the arrivals of several lists in order of time.
func Merge(lists ...[]Arrival) []Arrival {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(first, second Arrival) int { return first.At.Compare(second.At) })
	return all
}

// A Result counts one workspace's requests.
type Result struct {
	Offered int

	// InTime is the number of requests that ended by their deadline.
	InTime int

	// responseTimes are the response times of all requests that ended.
	responseTimes []time.Duration
}

// InTimeFraction returns the fraction of the offered requests that ended in time.
func (result Result) InTimeFraction() float64 {
	return float64(result.InTime) / float64(result.Offered)
}

// Percentile returns the response time that the given fraction of the ended
// requests does not exceed, or 0 if no request ended.
func (result Result) Percentile(fraction float64) time.Duration {
	if len(result.responseTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(result.responseTimes))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// Results maps the name of each workspace to its result.
type Results map[string]Result

func (results Results) countOffered(arrival Arrival) {
	counted := results[arrival.Workspace]
	counted.Offered++
	results[arrival.Workspace] = counted
}

func (results Results) countEnded(arrival Arrival, at time.Time) {
	counted := results[arrival.Workspace]
	counted.responseTimes = append(counted.responseTimes, at.Sub(arrival.At))
	if !at.After(arrival.At.Add(Deadline)) {
		counted.InTime++
	}
	results[arrival.Workspace] = counted
}
