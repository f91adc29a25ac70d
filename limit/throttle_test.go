package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
)

// The engines of the simulation run 32 requests of 1 s each; their queue is in
// order of arrival and their reports lag.
const (
	engineSlots    = 32
	engineGroups   = 4
	engineWork     = time.Second
	engineDeadline = 4 * time.Second
	tick           = 10 * time.Millisecond
	ticksPerReport = 25
	ticksOfLag     = 50
	simulatedTicks = 6000
)

type engineRequest struct {
	id       uint64
	left     time.Duration
	deadline time.Time
}

// An engineResult counts the requests that finished in time and the ones that
// were dispatched and cut off at their deadline, with the engines' time that
// each kind took.
type engineResult struct {
	offered, inTime, cut int
	useful, wasted       time.Duration
}

func simulateEngines(load float64, throttled bool) (result engineResult) {
	random := rand.New(rand.NewPCG(simulationSeed, 5))
	queue := limit.NewQueue(limit.Config{Node: "n", Capacity: 1024, QueueLimit: 1024})
	queue.SetWorkspaces([]limit.Workspace{{Name: "w", Weight: 1}})
	throttle := limit.NewThrottle(1024)
	var engines []engineRequest
	works := map[uint64]time.Duration{}
	deadlines := map[uint64]time.Time{}
	var reports []limit.PoolLoad
	take := func(effects []limit.Effect) {
		for _, id := range admitted(effects) {
			engines = append(engines, engineRequest{id: id, left: works[id], deadline: deadlines[id]})
		}
	}
	gap := float64(engineWork) / engineSlots / load
	nextArrival := time.Duration(random.ExpFloat64() * gap)
	for number := range simulatedTicks {
		elapsed := time.Duration(number) * tick
		now := epoch.Add(elapsed)
		for ; nextArrival <= elapsed; nextArrival += time.Duration(random.ExpFloat64() * gap) {
			result.offered++
			id := uint64(result.offered)
			works[id] = time.Duration(random.ExpFloat64() * float64(engineWork))
			deadlines[id] = now.Add(engineDeadline)
			take(queue.Offer(limit.Request{ID: id, Workspace: "w", Class: "w", Pool: "p", Deadline: deadlines[id]}, now))
		}
		var ended []uint64
		kept := engines[:0]
		for index, request := range engines {
			if index < engineSlots {
				request.left -= tick
			}
			switch {
			case request.left <= 0:
				result.inTime++
				result.useful += works[request.id]
				ended = append(ended, request.id)
			case !now.Before(request.deadline):
				result.cut++
				result.wasted += works[request.id] - request.left
				ended = append(ended, request.id)
			default:
				kept = append(kept, request)
			}
		}
		engines = kept
		for _, id := range ended {
			take(queue.Finish(id, now))
		}
		running := min(engineSlots, len(engines))
		reports = append(reports, limit.PoolLoad{Targets: engineGroups, Running: running, Queued: len(engines) - running})
		if throttled && number%ticksPerReport == 0 && number >= ticksOfLag {
			seen := reports[number-ticksOfLag]
			seen.Own = queue.PoolInFlight("p")
			take(queue.SetPool("p", throttle.Observe(seen, now), now))
		}
	}
	return result
}

// Guards against an overload that moves into the engines' queues, where
// requests are served that cannot finish in time any more, and whose callers
// learn at their deadline only that the outcome is unknown. Open dispatch
// finishes as many requests, but only short ones: long ones are cut off.
func TestThrottleAgainstOpenDispatch(t *testing.T) {
	t.Logf("seed %d", simulationSeed)
	capacity := simulatedTicks * tick * engineSlots
	show := func(name string, load float64, got engineResult) {
		t.Logf("load %.1f %-9s offered %d, in time %d, cut off %d, useful %.0f of %.0f engine seconds, wasted %.0f",
			load, name, got.offered, got.inTime, got.cut, got.useful.Seconds(), capacity.Seconds(), got.wasted.Seconds())
	}
	for _, load := range []float64{0.7, 1.2, 2, 4} {
		open, throttled := simulateEngines(load, false), simulateEngines(load, true)
		show("open", load, open)
		show("throttled", load, throttled)
		require.GreaterOrEqual(t, throttled.inTime, open.inTime*9/10)
		require.GreaterOrEqual(t, throttled.useful, open.useful)
		if load >= 2 {
			require.Greater(t, throttled.useful, capacity*2/3)
			require.Less(t, throttled.cut, open.cut/2)
		}
	}
}

// Guards against a bound that is cut twice on the same reports, that never
// recovers or that reaches zero.
func TestThrottleBound(t *testing.T) {
	throttle := limit.NewThrottle(100)
	overload := limit.PoolLoad{Targets: 2, Running: 16, Queued: 84, Own: 50}
	require.Equal(t, 10, throttle.Observe(overload, epoch.Add(time.Hour)))
	require.Equal(t, 10, throttle.Observe(overload, epoch.Add(time.Hour+time.Millisecond)))
	require.Equal(t, 2, throttle.Observe(overload, epoch.Add(2*time.Hour)))
	require.Equal(t, 1, throttle.Observe(overload, epoch.Add(3*time.Hour)))
	require.Equal(t, 1, throttle.Observe(overload, epoch.Add(4*time.Hour)))
	require.Equal(t, 1, throttle.Observe(limit.PoolLoad{}, epoch.Add(5*time.Hour)))
	now := epoch.Add(5 * time.Hour)
	idle := limit.PoolLoad{Targets: 2, Running: 1}
	require.Equal(t, 1, throttle.Observe(idle, now), "without demand the bound stays")
	bound := 1
	for range 60 {
		now = now.Add(250 * time.Millisecond)
		bound = throttle.Observe(limit.PoolLoad{Targets: 2, Running: 1, Own: bound}, now)
		require.Equal(t, bound, throttle.Observe(limit.PoolLoad{Targets: 2, Running: 1, Own: bound}, now), "one step for each report")
	}
	require.Equal(t, 100, bound)
}
