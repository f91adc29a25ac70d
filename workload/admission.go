package workload

import (
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

// A Policy admits requests of a simulation. Both methods return the ids of the
// requests that start now.
type Policy interface {
	Offer(id uint64, arrival Arrival, now time.Time) []uint64
	Finish(id uint64, now time.Time) []uint64
}

// A server is one request that runs.
type server struct {
	id  uint64
	end time.Time
}

// servers run the admitted requests of a simulation.
type servers struct {
	arrivals []Arrival
	policy   Policy
	results  Results
	running  []server
}

// Simulate runs arrivals through a policy, with Capacity servers.
func Simulate(arrivals []Arrival, policy Policy) Results {
	simulated := &servers{arrivals: arrivals, policy: policy, results: Results{}}
	for id, arrival := range arrivals {
		simulated.finishUntil(arrival.At)
		simulated.results.offer(arrival)
		simulated.admit(policy.Offer(uint64(id), arrival, arrival.At), arrival.At)
	}
	simulated.finishUntil(Epoch.Add(time.Hour))
	return simulated.results
}

func (servers *servers) admit(ids []uint64, now time.Time) {
	for _, id := range ids {
		servers.running = append(servers.running, server{id: id, end: now.Add(servers.arrivals[id].Work)})
	}
}

// finishUntil ends the requests that end by a time, in order.
func (servers *servers) finishUntil(limit time.Time) {
	for len(servers.running) > 0 {
		first := servers.first()
		ended := servers.running[first]
		if ended.end.After(limit) {
			return
		}
		servers.running = slices.Delete(servers.running, first, first+1)
		servers.results.end(servers.arrivals[ended.id], ended.end)
		servers.admit(servers.policy.Finish(ended.id, ended.end), ended.end)
	}
}

func (servers *servers) first() int {
	first := 0
	for index := range servers.running {
		if servers.running[index].end.Before(servers.running[first].end) {
			first = index
		}
	}
	return first
}

// queueLimit is the number of requests that wait in a QueuePolicy.
const queueLimit = 64

// A QueuePolicy admits through limit.Queue.
type QueuePolicy struct{ queue *limit.Queue }

// NewQueuePolicy returns a queue with workspaces of equal weight.
func NewQueuePolicy(workspaces ...string) QueuePolicy {
	queue := limit.NewQueue(limit.Config{Node: "n", Capacity: Capacity, QueueLimit: queueLimit})
	var configured []limit.Workspace
	for _, workspace := range workspaces {
		configured = append(configured, limit.Workspace{Name: workspace, Weight: 1})
	}
	queue.SetWorkspaces(configured)
	return QueuePolicy{queue: queue}
}

// Offer offers a request to the queue.
func (policy QueuePolicy) Offer(id uint64, arrival Arrival, now time.Time) []uint64 {
	return admitted(policy.queue.Offer(limit.Request{
		ID:        id,
		Workspace: arrival.Workspace,
		Class:     arrival.Workspace,
		Deadline:  now.Add(Deadline),
	}, now))
}

// Finish ends a request.
func (policy QueuePolicy) Finish(id uint64, now time.Time) []uint64 {
	return admitted(policy.queue.Finish(id, now))
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

// A FIFOPolicy is the baseline first in, first out.
type FIFOPolicy struct {
	running int
	waiting []uint64
}

// Offer puts a request at the end of the queue.
func (policy *FIFOPolicy) Offer(id uint64, _ Arrival, _ time.Time) []uint64 {
	policy.waiting = append(policy.waiting, id)
	return policy.next()
}

// Finish ends a request.
func (policy *FIFOPolicy) Finish(uint64, time.Time) []uint64 {
	policy.running--
	return policy.next()
}

func (policy *FIFOPolicy) next() []uint64 {
	if policy.running >= Capacity || len(policy.waiting) == 0 {
		return nil
	}
	policy.running++
	id := policy.waiting[0]
	policy.waiting = policy.waiting[1:]
	return []uint64{id}
}
