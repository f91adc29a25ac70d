package workload

import (
	"slices"
	"time"
)

// SimulateShared is the baseline without admission control: all requests run
// at once and share the capacity equally.
func SimulateShared(arrivals []Arrival) Results {
	shared := &sharedServer{arrivals: arrivals, results: Results{}, now: Start}
	for id, arrival := range arrivals {
		shared.advance(arrival.At)
		shared.results.countOffered(arrival)
		shared.active = append(shared.active, sharedRequest{id: id, remaining: float64(arrival.Work)})
	}
	shared.advance(Start.Add(24 * time.Hour))
	return shared.results
}

type sharedRequest struct {
	id int

	// remaining is the remaining work of the request in nanoseconds.
	remaining float64
}

// sharedServer is the state of a simulation without admission control.
type sharedServer struct {
	arrivals []Arrival
	results  Results
	active   []sharedRequest
	now      time.Time
}

// advance runs the simulation up to a time and ends the requests that finish by
// then.
func (shared *sharedServer) advance(until time.Time) {
	for len(shared.active) > 0 {
		first := shared.firstToEnd()
		rate := min(1, Capacity/float64(len(shared.active)))
		end := shared.now.Add(time.Duration(shared.active[first].remaining / rate))
		if until.Before(end) {
			shared.run(until, rate)
			return
		}
		shared.run(end, rate)
		shared.results.countEnded(shared.arrivals[shared.active[first].id], shared.now)
		shared.active = slices.Delete(shared.active, first, first+1)
	}
	shared.now = until
}

func (shared *sharedServer) firstToEnd() int {
	first := 0
	for index := range shared.active {
		if shared.active[index].remaining < shared.active[first].remaining {
			first = index
		}
	}
	return first
}

// run advances the work of all active requests up to a time, each at the rate.
func (shared *sharedServer) run(until time.Time, rate float64) {
	done := float64(until.Sub(shared.now)) * rate
	for index := range shared.active {
		shared.active[index].remaining -= done
	}
	shared.now = until
}
