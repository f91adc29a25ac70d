package workload

import (
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

// A Policy decides when the requests of a simulation start. Both methods return
// the ids of the requests that start at now.
type Policy interface {
	// Offer is called when a request arrives.
	Offer(id uint64, arrival Arrival, now time.Time) []uint64

	// Finish is called when a started request ends.
	Finish(id uint64, now time.Time) []uint64
}

// A runningRequest is a started request with the time at which it ends.
type runningRequest struct {
	id  uint64
	end time.Time
}

// admissionSimulation is the state of a simulation of an admission policy.
type admissionSimulation struct {
	arrivals []Arrival
	policy   Policy
	results  Results
	running  []runningRequest
}

// Simulate runs the arrivals through a policy that admits up to Capacity
// requests at once.
func Simulate(arrivals []Arrival, policy Policy) Results {
	simulation := &admissionSimulation{arrivals: arrivals, policy: policy, results: Results{}}
	for id, arrival := range arrivals {
		simulation.finishUntil(arrival.At)
		simulation.results.countOffered(arrival)
		simulation.admit(policy.Offer(uint64(id), arrival, arrival.At), arrival.At)
	}
	simulation.finishUntil(Start.Add(time.Hour))
	return simulation.results
}

func (simulation *admissionSimulation) admit(ids []uint64, now time.Time) {
	for _, id := range ids {
		simulation.running = append(simulation.running, runningRequest{id: id, end: now.Add(simulation.arrivals[id].Work)})
	}
}

// finishUntil ends the requests whose end is not after until, in order of time.
func (simulation *admissionSimulation) finishUntil(until time.Time) {
	for len(simulation.running) > 0 {
		first := simulation.firstToEnd()
		ended := simulation.running[first]
		if ended.end.After(until) {
			return
		}
		simulation.running = slices.Delete(simulation.running, first, first+1)
		simulation.results.countEnded(simulation.arrivals[ended.id], ended.end)
		simulation.admit(simulation.policy.Finish(ended.id, ended.end), ended.end)
	}
}

func (simulation *admissionSimulation) firstToEnd() int {
	first := 0
	for index := range simulation.running {
		if simulation.running[index].end.Before(simulation.running[first].end) {
			first = index
		}
	}
	return first
}

// queueLimit is the maximum number of requests that wait in a QueuePolicy.
const queueLimit = 64

// A QueuePolicy admits requests through a limit.Queue.
type QueuePolicy struct{ queue *limit.Queue }

// NewQueuePolicy returns a policy with workspaces of equal weight.
func NewQueuePolicy(workspaces ...string) QueuePolicy {
	queue := limit.NewQueue(limit.Config{Node: "n", Capacity: Capacity, QueueLimit: queueLimit})
	var configured []limit.Workspace
	for _, workspace := range workspaces {
		configured = append(configured, limit.Workspace{Name: workspace, Weight: 1})
	}
	queue.SetWorkspaces(configured)
	return QueuePolicy{queue: queue}
}

// Offer implements Policy.
func (policy QueuePolicy) Offer(id uint64, arrival Arrival, now time.Time) []uint64 {
	return admitted(policy.queue.Offer(limit.Request{
		ID:        id,
		Workspace: arrival.Workspace,
		Class:     arrival.Workspace,
		Deadline:  now.Add(Deadline),
	}, now))
}

// Finish implements Policy.
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

// A FIFOPolicy is the baseline that starts requests in order of arrival, up to
// Capacity at once.
type FIFOPolicy struct {
	running int
	waiting []uint64
}

// Offer implements Policy.
func (policy *FIFOPolicy) Offer(id uint64, _ Arrival, _ time.Time) []uint64 {
	policy.waiting = append(policy.waiting, id)
	return policy.admitNext()
}

// Finish implements Policy.
func (policy *FIFOPolicy) Finish(uint64, time.Time) []uint64 {
	policy.running--
	return policy.admitNext()
}

func (policy *FIFOPolicy) admitNext() []uint64 {
	if policy.running >= Capacity || len(policy.waiting) == 0 {
		return nil
	}
	policy.running++
	id := policy.waiting[0]
	policy.waiting = policy.waiting[1:]
	return []uint64{id}
}
