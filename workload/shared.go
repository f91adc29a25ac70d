package workload

import (
	"slices"
	"time"
)

// SimulateShared is the baseline without admission control: all requests run
// at once and share the capacity equally.
func SimulateShared(arrivals []Arrival) Results {
	shared := &sharedServer{arrivals: arrivals, results: Results{}, now: Epoch}
	for id, arrival := range arrivals {
		shared.advance(arrival.At)
		shared.results.offer(arrival)
		shared.active = append(shared.active, sharedRequest{id: id, work: float64(arrival.Work)})
	}
	shared.advance(Epoch.Add(24 * time.Hour))
	return shared.results
}

type sharedRequest struct {
	id int

	// work is the rest of the request's work in nanoseconds.
	work float64
}

type sharedServer struct {
	arrivals []Arrival
	results  Results
	active   []sharedRequest
	now      time.Time
}

// advance lets time pass and ends the requests that end by then.
func (shared *sharedServer) advance(limit time.Time) {
	for len(shared.active) > 0 {
		first := shared.first()
		rate := min(1, Capacity/float64(len(shared.active)))
		end := shared.now.Add(time.Duration(shared.active[first].work / rate))
		if limit.Before(end) {
			shared.work(limit, rate)
			return
		}
		shared.work(end, rate)
		shared.results.end(shared.arrivals[shared.active[first].id], shared.now)
		shared.active = slices.Delete(shared.active, first, first+1)
	}
	shared.now = limit
}

func (shared *sharedServer) first() int {
	first := 0
	for index := range shared.active {
		if shared.active[index].work < shared.active[first].work {
			first = index
		}
	}
	return first
}

func (shared *sharedServer) work(until time.Time, rate float64) {
	done := float64(until.Sub(shared.now)) * rate
	for index := range shared.active {
		shared.active[index].work -= done
	}
	shared.now = until
}
