package engine

import (
	"context"
	"sync"
	"time"

	wire "lacewingspoke.org/lacewingspoke/engine"
)

// role is the group, epoch, rank and model that the VM serves. ctx ends when
// an order changes the role, which ends the requests of the previous role.
type role struct {
	mu            sync.Mutex
	loadTime      time.Duration
	checksFencing bool
	current       wire.Order
	state         wire.State
	loadedAt      time.Time
	fence         uint64
	ctx           context.Context
	cancel        context.CancelFunc
}

func newRole(loadTime time.Duration, checksFencing bool) *role {
	role := &role{loadTime: loadTime, checksFencing: checksFencing, state: wire.StateIdle}
	role.ctx, role.cancel = context.WithCancel(context.Background())
	return role
}

type orderResult int

const (
	orderAccepted orderResult = iota
	orderOldFence
	orderExpired
	orderUnknown
)

// apply executes an order that arrived at the given time and returns the
// result and the fencing number of the last accepted order. The expiry is
// measured from the arrival, so that an order delayed by a fault can expire.
func (role *role) apply(order wire.Order, arrival, now time.Time) (orderResult, uint64) {
	role.mu.Lock()
	defer role.mu.Unlock()
	if now.Sub(arrival) >= time.Duration(order.ExpiresInMillis)*time.Millisecond {
		return orderExpired, role.fence
	}
	if role.checksFencing && order.Fence < role.fence {
		return orderOldFence, role.fence
	}
	role.finishLoad(now)
	switch order.Action {
	case wire.ActionLoad, wire.ActionVersion:
		role.load(order, now)
	case wire.ActionDrain:
		role.drain()
	case wire.ActionRelease:
		role.replace(wire.Order{}, wire.StateIdle)
	default:
		return orderUnknown, role.fence
	}
	role.fence = order.Fence
	return orderAccepted, role.fence
}

func (role *role) finishLoad(now time.Time) {
	if role.state == wire.StateLoading && !now.Before(role.loadedAt) {
		role.state = wire.StateReady
	}
}

func (role *role) load(order wire.Order, now time.Time) {
	if role.isCurrent(order) {
		if role.state == wire.StateDraining {
			role.state = wire.StateReady
		}
		return
	}
	if order.Action == wire.ActionVersion && order.Group == "" {
		order.Group = role.current.Group
		order.Epoch = role.current.Epoch
		order.Rank = role.current.Rank
	}
	role.replace(order, wire.StateLoading)
	role.loadedAt = now.Add(role.loadTime)
	role.finishLoad(now)
}

// isCurrent reports whether the order equals the current role, for example
// because it was repeated after its answer was lost.
func (role *role) isCurrent(order wire.Order) bool {
	current := role.current
	return role.state != wire.StateIdle &&
		current.Group == order.Group && current.Epoch == order.Epoch && current.Rank == order.Rank &&
		current.Model == order.Model && current.Version == order.Version
}

func (role *role) drain() {
	if role.state == wire.StateReady || role.state == wire.StateLoading {
		role.state = wire.StateDraining
	}
}

func (role *role) replace(order wire.Order, state wire.State) {
	role.cancel()
	role.ctx, role.cancel = context.WithCancel(context.Background())
	role.current = order
	role.state = state
}

// roleSnapshot is a copy of the role. Its ctx ends when the role changes.
type roleSnapshot struct {
	order wire.Order
	state wire.State
	fence uint64
	ctx   context.Context
}

func (role *role) snapshot(now time.Time) roleSnapshot {
	role.mu.Lock()
	defer role.mu.Unlock()
	role.finishLoad(now)
	return roleSnapshot{role.current, role.state, role.fence, role.ctx}
}
