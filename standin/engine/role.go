package engine

import (
	"context"
	"sync"
	"time"

	wire "lacewingspoke.org/lacewingspoke/engine"
)

// role is the VM's place in a serving group. A change of role ends the
// requests of the old one.
type role struct {
	mu            sync.Mutex
	loadTime      time.Duration
	checksFencing bool
	current       wire.Order
	state         wire.State
	loadedAt      time.Time
	fence         uint64
	live          context.Context
	end           context.CancelFunc
}

func newRole(loadTime time.Duration, checksFencing bool) *role {
	role := &role{loadTime: loadTime, checksFencing: checksFencing, state: wire.StateIdle}
	role.live, role.end = context.WithCancel(context.Background())
	return role
}

type orderResult int

const (
	orderAccepted orderResult = iota
	orderOldFence
	orderExpired
	orderUnknown
)

// apply carries out an order that arrived at the given time.
func (role *role) apply(order wire.Order, arrival, now time.Time) (orderResult, uint64) {
	role.mu.Lock()
	defer role.mu.Unlock()
	if now.Sub(arrival) >= time.Duration(order.ExpiresInMillis)*time.Millisecond {
		return orderExpired, role.fence
	}
	if role.checksFencing && order.Fence < role.fence {
		return orderOldFence, role.fence
	}
	role.settle(now)
	switch order.Action {
	case wire.ActionLoad, wire.ActionVersion:
		role.load(order, now)
	case wire.ActionDrain:
		role.drain()
	case wire.ActionRelease:
		role.change(wire.Order{}, wire.StateIdle)
	default:
		return orderUnknown, role.fence
	}
	role.fence = order.Fence
	return orderAccepted, role.fence
}

func (role *role) settle(now time.Time) {
	if role.state == wire.StateLoading && !now.Before(role.loadedAt) {
		role.state = wire.StateReady
	}
}

func (role *role) load(order wire.Order, now time.Time) {
	if role.holds(order) {
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
	role.change(order, wire.StateLoading)
	role.loadedAt = now.Add(role.loadTime)
	role.settle(now)
}

// holds reports whether the order changes nothing, for example because it was
// repeated after a lost answer.
func (role *role) holds(order wire.Order) bool {
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

func (role *role) change(order wire.Order, state wire.State) {
	role.end()
	role.live, role.end = context.WithCancel(context.Background())
	role.current = order
	role.state = state
}

// view is the role at one moment; live ends with the role.
type view struct {
	order wire.Order
	state wire.State
	fence uint64
	live  context.Context
}

func (role *role) view(now time.Time) view {
	role.mu.Lock()
	defer role.mu.Unlock()
	role.settle(now)
	return view{role.current, role.state, role.fence, role.live}
}
