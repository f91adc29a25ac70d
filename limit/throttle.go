package limit

import "time"

const (
	// queuePerTarget is the number of requests that may wait at each target
	// before the bound is lowered. They keep the target busy during the round
	// trip between two requests.
	queuePerTarget = 2

	// queueDivisor is the inverse of the fraction of the running requests
	// that may wait at the targets before the bound is lowered. The bound is
	// raised only if all but the same fraction of it is in use.
	queueDivisor = 4

	// growDivisor makes the bound grow by 1/growDivisor, at most once per
	// growInterval. The interval is needed because route tables are published
	// more often than loads are reported.
	growDivisor  = 10
	growInterval = 250 * time.Millisecond

	// cutInterval is the time until a lowered bound shows in the reports,
	// which are delayed. Lowering the bound twice on the same reports would
	// leave targets idle.
	cutInterval = time.Second
)

// PoolLoad is the load of the targets of one pool: their reports, and the number
// of this node's requests.
type PoolLoad struct {
	// Targets is the number of usable targets.
	Targets int

	// Running and Queued are the sums over the targets' reports, which
	// include the requests of all nodes.
	Running int
	Queued  int

	// Own is the number of this node's requests in progress.
	Own int
}

// A Throttle bounds this node's requests in progress at the targets of one
// pool, so that under overload requests wait at the node and not in the queues
// of the targets. A target serves its queue in order, without regard to
// workspaces and to deadlines that can no longer be met.
//
// Every node lowers its own bound by the same proportion, so that the sum over
// all nodes approaches the number of requests that the targets run without a
// long queue.
//
// It is not safe for concurrent use.
type Throttle struct {
	limit   int
	bound   int
	cutAt   time.Time
	grownAt time.Time
}

// NewThrottle returns a throttle whose initial and largest bound is limit.
func NewThrottle(limit int) *Throttle { return &Throttle{limit: limit, bound: limit} }

// Observe updates the bound from a newly reported load and returns it.
func (throttle *Throttle) Observe(load PoolLoad, now time.Time) int {
	if load.Targets == 0 {
		return throttle.bound
	}
	allowed := max(queuePerTarget*load.Targets, load.Running/queueDivisor)
	switch {
	case load.Queued > allowed:
		if now.Sub(throttle.cutAt) < cutInterval {
			return throttle.bound
		}
		throttle.cutAt = now
		own := min(load.Own, throttle.bound)
		throttle.bound = max(1, own*(load.Running+allowed)/(load.Running+load.Queued))
	case load.Own >= throttle.bound-throttle.bound/queueDivisor && now.Sub(throttle.grownAt) >= growInterval:
		throttle.grownAt = now
		throttle.bound = min(throttle.limit, throttle.bound+max(1, throttle.bound/growDivisor))
	}
	return throttle.bound
}
