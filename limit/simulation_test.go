package limit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
)

const (
	simulatedCapacity = 8
	simulatedService  = 100 * time.Millisecond
	simulatedDeadline = 500 * time.Millisecond
	simulatedTime     = 20 * time.Second
	simulationSeed    = 20261204
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// An arrival is one request of the simulated load.
type arrival struct {
	workspace string
	at        time.Time
	work      time.Duration
}

// arrivals returns Poisson arrivals with exponential work. load is relative to
// the capacity.
func arrivals(random *rand.Rand, workspace string, load float64) []arrival {
	var result []arrival
	gap := float64(simulatedService) / simulatedCapacity / load
	for at := time.Duration(0); at < simulatedTime; {
		at += time.Duration(random.ExpFloat64() * gap)
		work := time.Duration(random.ExpFloat64() * float64(simulatedService))
		result = append(result, arrival{workspace: workspace, at: epoch.Add(at), work: work})
	}
	return result
}

func merge(lists ...[]arrival) []arrival {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(first, second arrival) int { return first.at.Compare(second.at) })
	return all
}

// A result counts one workspace's requests.
type result struct{ offered, inTime int }

func (counted result) share() float64 { return float64(counted.inTime) / float64(counted.offered) }

// A policy admits requests of a simulation.
type policy interface {
	offer(id uint64, request arrival, now time.Time) []uint64
	finish(id uint64, now time.Time) []uint64
}

// simulate runs arrivals through a policy on a virtual clock, with capacity
// servers.
func simulate(all []arrival, admitting policy) map[string]result {
	type running struct {
		id  uint64
		end time.Time
	}
	results := map[string]result{}
	var servers []running
	admit := func(ids []uint64, now time.Time) {
		for _, id := range ids {
			servers = append(servers, running{id: id, end: now.Add(all[id].work)})
		}
	}
	finishUntil := func(limit time.Time) {
		for len(servers) > 0 {
			first := 0
			for index := range servers {
				if servers[index].end.Before(servers[first].end) {
					first = index
				}
			}
			ended := servers[first]
			if ended.end.After(limit) {
				return
			}
			servers = slices.Delete(servers, first, first+1)
			request := all[ended.id]
			if !ended.end.After(request.at.Add(simulatedDeadline)) {
				counted := results[request.workspace]
				counted.inTime++
				results[request.workspace] = counted
			}
			admit(admitting.finish(ended.id, ended.end), ended.end)
		}
	}
	for id, request := range all {
		finishUntil(request.at)
		counted := results[request.workspace]
		counted.offered++
		results[request.workspace] = counted
		admit(admitting.offer(uint64(id), request, request.at), request.at)
	}
	finishUntil(epoch.Add(time.Hour))
	return results
}

// queuePolicy is the Queue under test.
type queuePolicy struct{ queue *limit.Queue }

func newQueuePolicy(workspaces ...string) queuePolicy {
	queue := limit.NewQueue(limit.Config{Node: "n", Capacity: simulatedCapacity, QueueLimit: 64})
	var configured []limit.Workspace
	for _, workspace := range workspaces {
		configured = append(configured, limit.Workspace{Name: workspace, Weight: 1})
	}
	queue.SetWorkspaces(configured)
	return queuePolicy{queue: queue}
}

func (admitting queuePolicy) offer(id uint64, request arrival, now time.Time) []uint64 {
	return admitted(admitting.queue.Offer(limit.Request{
		ID: id, Workspace: request.workspace, Class: request.workspace, Deadline: now.Add(simulatedDeadline),
	}, now))
}

func (admitting queuePolicy) finish(id uint64, now time.Time) []uint64 {
	return admitted(admitting.queue.Finish(id, now))
}

func admitted(effects []limit.Effect) []uint64 {
	var ids []uint64
	for _, effect := range effects {
		if admit, isAdmit := effect.(limit.Admit); isAdmit {
			ids = append(ids, admit.ID)
		}
	}
	return ids
}

// fifoPolicy is the baseline first in first out.
type fifoPolicy struct {
	running int
	waiting []uint64
}

func (admitting *fifoPolicy) offer(id uint64, _ arrival, _ time.Time) []uint64 {
	admitting.waiting = append(admitting.waiting, id)
	return admitting.next()
}

func (admitting *fifoPolicy) finish(uint64, time.Time) []uint64 {
	admitting.running--
	return admitting.next()
}

func (admitting *fifoPolicy) next() []uint64 {
	if admitting.running >= simulatedCapacity || len(admitting.waiting) == 0 {
		return nil
	}
	admitting.running++
	id := admitting.waiting[0]
	admitting.waiting = admitting.waiting[1:]
	return []uint64{id}
}

// simulateShared is the baseline without admission control: all requests run
// at once and share the capacity equally.
func simulateShared(all []arrival) map[string]result {
	type running struct {
		id   int
		work float64
	}
	results := map[string]result{}
	var active []running
	now := epoch
	advance := func(limit time.Time) {
		for len(active) > 0 {
			first := 0
			for index := range active {
				if active[index].work < active[first].work {
					first = index
				}
			}
			rate := min(1, simulatedCapacity/float64(len(active)))
			end := now.Add(time.Duration(active[first].work / rate))
			step := end
			if limit.Before(end) {
				step = limit
			}
			done := float64(step.Sub(now)) * rate
			for index := range active {
				active[index].work -= done
			}
			now = step
			if limit.Before(end) {
				return
			}
			request := all[active[first].id]
			if !now.After(request.at.Add(simulatedDeadline)) {
				counted := results[request.workspace]
				counted.inTime++
				results[request.workspace] = counted
			}
			active = slices.Delete(active, first, first+1)
		}
		now = limit
	}
	for id, request := range all {
		advance(request.at)
		counted := results[request.workspace]
		counted.offered++
		results[request.workspace] = counted
		active = append(active, running{id: id, work: float64(request.work)})
	}
	advance(epoch.Add(24 * time.Hour))
	return results
}

// Guards against an overloaded node that works for callers that gave up: at
// twice the capacity the requests finished in time stay near the capacity,
// while both baselines collapse.
func TestOverloadAgainstBaselines(t *testing.T) {
	t.Logf("seed %d", simulationSeed)
	t.Logf("%-6s %10s %10s %10s %10s", "load", "offered", "queue", "fifo", "none")
	for _, load := range []float64{0.7, 1, 1.5, 2, 4} {
		all := arrivals(rand.New(rand.NewPCG(simulationSeed, 1)), "w", load)
		queue := simulate(all, newQueuePolicy("w"))["w"]
		fifo := simulate(all, &fifoPolicy{})["w"]
		none := simulateShared(all)["w"]
		t.Logf("%-6.1f %10d %10d %10d %10d", load, queue.offered, queue.inTime, fifo.inTime, none.inTime)
		capacity := int(float64(simulatedTime) / float64(simulatedService) * simulatedCapacity)
		if load >= 1.5 {
			require.Greater(t, queue.inTime, capacity*85/100)
			require.Less(t, fifo.inTime, queue.inTime/5)
			require.Less(t, none.inTime, queue.inTime/2)
		} else {
			require.GreaterOrEqual(t, queue.inTime, fifo.inTime*99/100)
		}
	}
}

// Guards against a large workspace that starves a small one.
func TestFairnessAgainstBaselines(t *testing.T) {
	t.Logf("seed %d", simulationSeed)
	random := rand.New(rand.NewPCG(simulationSeed, 2))
	all := merge(arrivals(random, "large", 4), arrivals(random, "small", 0.2))
	alone := simulate(merge(arrivals(rand.New(rand.NewPCG(simulationSeed, 3)), "small", 0.2)), newQueuePolicy("small"))["small"]
	queue := simulate(all, newQueuePolicy("large", "small"))
	fifo := simulate(all, &fifoPolicy{})
	none := simulateShared(all)
	t.Logf("small workspace in time: alone %.3f, queue %.3f, fifo %.3f, none %.3f",
		alone.share(), queue["small"].share(), fifo["small"].share(), none["small"].share())
	require.Greater(t, queue["small"].share(), 0.95*alone.share())
	require.Less(t, fifo["small"].share(), 0.2)
	require.Less(t, none["small"].share(), 0.8)
}
