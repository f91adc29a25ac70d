package workload

import (
	"math/rand/v2"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

// The engines of the simulation run engineSlots requests of engineWork each;
// their queue is in order of arrival and their reports lag.
const (
	engineSlots    = 32
	engineGroups   = 4
	engineWork     = time.Second
	engineDeadline = 4 * time.Second
	engineQueue    = 1024
	tick           = 10 * time.Millisecond
	ticksPerReport = 25
	ticksOfLag     = 50
	simulatedTicks = 6000
)

// EngineCapacity is the time that the engines have over a whole simulation.
const EngineCapacity = simulatedTicks * tick * engineSlots

// An EngineResult counts the requests that finished in time and the ones that
// were dispatched and cut off at their deadline, with the engines' time that
// each kind took.
type EngineResult struct {
	Offered int
	InTime  int
	Cut     int
	Useful  time.Duration
	Wasted  time.Duration
}

type engineRequest struct {
	id       uint64
	work     time.Duration
	left     time.Duration
	deadline time.Time
}

// engines is the state of a simulation of engines behind an admission queue.
type engines struct {
	random   *rand.Rand
	queue    *limit.Queue
	throttle *limit.Throttle
	offered  map[uint64]engineRequest
	running  []engineRequest
	reports  []limit.PoolLoad
	next     time.Duration
	gap      float64
	result   EngineResult
}

// SimulateEngines offers a load, relative to the engines' capacity, through
// admission. When throttled, the lagging reports bound what is dispatched.
func SimulateEngines(load float64, throttled bool) EngineResult {
	simulated := newEngines(load)
	for number := range simulatedTicks {
		now := Epoch.Add(time.Duration(number) * tick)
		simulated.arrive(now)
		simulated.serve(now)
		simulated.report()
		if throttled && number%ticksPerReport == 0 && number >= ticksOfLag {
			simulated.observe(simulated.reports[number-ticksOfLag], now)
		}
	}
	return simulated.result
}

func newEngines(load float64) *engines {
	simulated := &engines{
		random:   rand.New(rand.NewPCG(Seed, 5)),
		queue:    limit.NewQueue(limit.Config{Node: "n", Capacity: engineQueue, QueueLimit: engineQueue}),
		throttle: limit.NewThrottle(engineQueue),
		offered:  map[uint64]engineRequest{},
		gap:      float64(engineWork) / engineSlots / load,
	}
	simulated.queue.SetWorkspaces([]limit.Workspace{{Name: "w", Weight: 1}})
	simulated.next = simulated.pause()
	return simulated
}

func (engines *engines) pause() time.Duration {
	return time.Duration(engines.random.ExpFloat64() * engines.gap)
}

func (engines *engines) start(effects []limit.Effect) {
	for _, id := range admitted(effects) {
		engines.running = append(engines.running, engines.offered[id])
	}
}

// arrive offers the requests that arrived by now.
func (engines *engines) arrive(now time.Time) {
	for ; engines.next <= now.Sub(Epoch); engines.next += engines.pause() {
		engines.result.Offered++
		work := time.Duration(engines.random.ExpFloat64() * float64(engineWork))
		request := engineRequest{
			id:       uint64(engines.result.Offered),
			work:     work,
			left:     work,
			deadline: now.Add(engineDeadline),
		}
		engines.offered[request.id] = request
		engines.start(engines.queue.Offer(limit.Request{
			ID:        request.id,
			Workspace: "w",
			Class:     "w",
			Pool:      "p",
			Deadline:  request.deadline,
		}, now))
	}
}

// serve lets the engines work for a tick and ends requests.
func (engines *engines) serve(now time.Time) {
	var ended []uint64
	kept := engines.running[:0]
	for index, request := range engines.running {
		if index < engineSlots {
			request.left -= tick
		}
		if engines.ends(request, now) {
			ended = append(ended, request.id)
			continue
		}
		kept = append(kept, request)
	}
	engines.running = kept
	for _, id := range ended {
		engines.start(engines.queue.Finish(id, now))
	}
}

func (engines *engines) ends(request engineRequest, now time.Time) bool {
	switch {
	case request.left <= 0:
		engines.result.InTime++
		engines.result.Useful += request.work
		return true
	case !now.Before(request.deadline):
		engines.result.Cut++
		engines.result.Wasted += request.work - request.left
		return true
	default:
		return false
	}
}

func (engines *engines) report() {
	running := min(engineSlots, len(engines.running))
	engines.reports = append(engines.reports, limit.PoolLoad{
		Targets: engineGroups,
		Running: running,
		Queued:  len(engines.running) - running,
	})
}

func (engines *engines) observe(seen limit.PoolLoad, now time.Time) {
	seen.Own = engines.queue.PoolInFlight("p")
	engines.start(engines.queue.SetPool("p", engines.throttle.Observe(seen, now), now))
}
