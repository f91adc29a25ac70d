package limit

import "time"

const (
	// queuePerTarget is the number of requests that may wait at each target
	// without a cut. It hides the round trip between two requests.
	queuePerTarget = 2

	// queuePart is the part of the running requests that may wait at the
	// targets.
	queuePart = 4

	// growPart is the part by which the bound grows after growInterval. Tables
	// are published more often than loads are reported.
	growPart     = 10
	growInterval = 250 * time.Millisecond

	// cutInterval is the time until a cut shows in the reports, which lag. A
	// second cut on the same reports would leave targets idle.
	cutInterval = time.Second
)

// PoolLoad is what a node knows of the targets of one pool.
type PoolLoad struct {
	// Targets is the number of usable targets.
	Targets int

	// Running and Queued are the sums of the targets' reports, which contain
	// the requests of all nodes.
	Running int
	Queued  int

	// Own is the number of this node's requests in progress.
	Own int
}

// A Throttle bounds this node's requests in progress at the targets of one
// pool, so that under overload requests wait at the node and not in the
// targets' queues: a target serves its queue in order, without regard to
// workspaces and to deadlines that have become out of reach.
//
// Every node cuts its own part in the same proportion, so that together they
// approach what the targets run without a long queue. It is not safe for
// concurrent use.
type Throttle struct {
	limit int
	bound int
	cut   time.Time
	grown time.Time
}

// NewThrottle returns a throttle whose bound is the limit.
func NewThrottle(limit int) *Throttle { return &Throttle{limit: limit, bound: limit} }

// Observe takes the load after new reports and returns the bound.
func (throttle *Throttle) Observe(load PoolLoad, now time.Time) int {
	if load.Targets == 0 {
		return throttle.bound
	}
	allowed := max(queuePerTarget*load.Targets, load.Running/queuePart)
	switch {
	case load.Queued > allowed:
		if now.Sub(throttle.cut) < cutInterval {
			return throttle.bound
		}
		throttle.cut = now
		own := min(load.Own, throttle.bound)
		throttle.bound = max(1, own*(load.Running+allowed)/(load.Running+load.Queued))
	case load.Own >= throttle.bound-throttle.bound/queuePart && now.Sub(throttle.grown) >= growInterval:
		throttle.grown = now
		throttle.bound = min(throttle.limit, throttle.bound+max(1, throttle.bound/growPart))
	}
	return throttle.bound
}
