package workload

import (
	"math/rand/v2"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

// The simulated engines run up to engineSlots requests at once, with a mean work
// of engineWork each. They serve their queue in order of arrival, and their load
// reports arrive with a delay.
const (
	engineSlots         = 32
	engineGroups        = 4
	engineWork          = time.Second
	engineDeadline      = 4 * time.Second
	engineQueueLimit    = 1024
	tick                = 10 * time.Millisecond
	reportIntervalTicks = 25
	reportLagTicks      = 50
	simulatedTicks      = 6000
)

// EngineCapacity is the total engine time of a simulation, over all slots.
const EngineCapacity = simulatedTicks * tick * engineSlots

// An EngineResult is the result of a simulation of engines.
type EngineResult struct {
	// Offered is the number of requests that arrived.
	Offered int

	// InTime is the number of requests that finished by their deadline.
	InTime int

	// Expired is the number of requests that were dispatched to the engines but
	// ended at their deadline before they finished.
	Expired int

	// Useful is the engine time that the requests of InTime took.
	Useful time.Duration

	// Wasted is the engine time that the requests of Expired took.
	Wasted time.Duration
}

type engineRequest struct {
	id        uint64
	work      time.Duration
	remaining time.Duration
	deadline  time.Time
}

// engineSimulation is the state of a simulation of engines behind an admission
// queue.
type engineSimulation struct {
	random      *rand.Rand
	queue       *limit.Queue
	throttle    *limit.Throttle
	offered     map[uint64]engineRequest
	running     []engineRequest
	reports     []limit.PoolLoad
	nextArrival time.Duration

	// meanGap is the mean time between two arrivals in nanoseconds.
	meanGap float64
	result  EngineResult
}

// SimulateEngines sends a load, relative to the engines' capacity, through an
// admission queue. If throttled, a limit.Throttle bounds the dispatched requests
// by the delayed load reports.
func SimulateEngines(load float64, throttled bool) EngineResult {
	simulation := newEngineSimulation(load)
	for number := range simulatedTicks {
		now := Start.Add(time.Duration(number) * tick)
		simulation.arrive(now)
		simulation.serve(now)
		simulation.report()
		if throttled && number%reportIntervalTicks == 0 && number >= reportLagTicks {
			simulation.observe(simulation.reports[number-reportLagTicks], now)
		}
	}
	return simulation.result
}

func newEngineSimulation(load float64) *engineSimulation {
	simulation := &engineSimulation{
		random:   rand.New(rand.NewPCG(Seed, 5)),
		queue:    limit.NewQueue(limit.Config{Node: "n", Capacity: engineQueueLimit, QueueLimit: engineQueueLimit}),
		throttle: limit.NewThrottle(engineQueueLimit),
		offered:  map[uint64]engineRequest{},
		meanGap:  float64(engineWork) / engineSlots / load,
	}
	simulation.queue.SetWorkspaces([]limit.Workspace{{Name: "w", Weight: 1}})
	simulation.nextArrival = simulation.interarrivalTime()
	return simulation
}

// interarrivalTime returns a random time between two arrivals.
func (simulation *engineSimulation) interarrivalTime() time.Duration {
	return time.Duration(simulation.random.ExpFloat64() * simulation.meanGap)
}

func (simulation *engineSimulation) start(effects []limit.Effect) {
	for _, id := range admitted(effects) {
		simulation.running = append(simulation.running, simulation.offered[id])
	}
}

// arrive offers to the queue the requests that arrive up to now.
func (simulation *engineSimulation) arrive(now time.Time) {
	for ; simulation.nextArrival <= now.Sub(Start); simulation.nextArrival += simulation.interarrivalTime() {
		simulation.result.Offered++
		work := time.Duration(simulation.random.ExpFloat64() * float64(engineWork))
		request := engineRequest{
			id:        uint64(simulation.result.Offered),
			work:      work,
			remaining: work,
			deadline:  now.Add(engineDeadline),
		}
		simulation.offered[request.id] = request
		simulation.start(simulation.queue.Offer(limit.Request{
			ID:        request.id,
			Workspace: "w",
			Class:     "w",
			Pool:      "p",
			Deadline:  request.deadline,
		}, now))
	}
}

// serve advances the work of the engines by one tick and ends the requests that
// finish or reach their deadline.
func (simulation *engineSimulation) serve(now time.Time) {
	var ended []uint64
	kept := simulation.running[:0]
	for index, request := range simulation.running {
		if index < engineSlots {
			request.remaining -= tick
		}
		if simulation.countIfEnded(request, now) {
			ended = append(ended, request.id)
			continue
		}
		kept = append(kept, request)
	}
	simulation.running = kept
	for _, id := range ended {
		simulation.start(simulation.queue.Finish(id, now))
	}
}

// countIfEnded reports whether a request has finished or reached its deadline,
// and counts it in the result if so.
func (simulation *engineSimulation) countIfEnded(request engineRequest, now time.Time) bool {
	switch {
	case request.remaining <= 0:
		simulation.result.InTime++
		simulation.result.Useful += request.work
		return true
	case !now.Before(request.deadline):
		simulation.result.Expired++
		simulation.result.Wasted += request.work - request.remaining
		return true
	default:
		return false
	}
}

// report appends the current load to the reports.
func (simulation *engineSimulation) report() {
	running := min(engineSlots, len(simulation.running))
	simulation.reports = append(simulation.reports, limit.PoolLoad{
		Targets: engineGroups,
		Running: running,
		Queued:  len(simulation.running) - running,
	})
}

// observe passes a load report to the throttle and applies its limit.
func (simulation *engineSimulation) observe(load limit.PoolLoad, now time.Time) {
	load.Own = simulation.queue.PoolInFlight("p")
	simulation.start(simulation.queue.SetPool("p", simulation.throttle.Observe(load, now), now))
}
