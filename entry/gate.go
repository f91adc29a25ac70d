package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/route"
)

// errGroupLost ends an attempt whose group no longer has a grant while
// another group can take over.
var errGroupLost = errors.New("group lost its grant")

// A gate keeps bytes of a group from callers while the group has no grant,
// and ends attempts of lost groups. An engine that is paused sends no piece by
// which the relay would notice the loss, and the grant expires long before
// the engine's progress timeout.
type gate struct {
	publisher *route.Publisher
	now       func() time.Time

	mutex  sync.Mutex
	passes map[*pass]bool

	// groups counts the passes of each group. A group that has one already is
	// part of the next scan.
	groups  map[string]int
	arrived chan struct{}
}

// A pass is one attempt at a group.
type pass struct {
	group  string
	spec   string
	epoch  uint64
	cancel context.CancelCauseFunc
}

func newGate(publisher *route.Publisher, now func() time.Time) *gate {
	return &gate{
		publisher: publisher,
		now:       now,
		passes:    map[*pass]bool{},
		groups:    map[string]int{},
		arrived:   make(chan struct{}, 1),
	}
}

// enter registers an attempt. cancel is called with errGroupLost when the
// attempt should move to another group.
func (gate *gate) enter(target route.GroupTarget, cancel context.CancelCauseFunc) *pass {
	entered := &pass{group: target.Name, spec: target.Spec, epoch: target.Epoch, cancel: cancel}
	gate.mutex.Lock()
	gate.passes[entered] = true
	gate.groups[entered.group]++
	first := gate.groups[entered.group] == 1
	gate.mutex.Unlock()
	if !first {
		return entered
	}
	select {
	case gate.arrived <- struct{}{}:
	default:
	}
	return entered
}

func (gate *gate) leave(entered *pass) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	delete(gate.passes, entered)
	gate.groups[entered.group]--
	if gate.groups[entered.group] == 0 {
		delete(gate.groups, entered.group)
	}
}

// run watches the table until ctx ends. adopt is called with every new table.
func (gate *gate) run(ctx context.Context, adopt func(*route.Table)) {
	var adopted *route.Table
	for {
		changed := gate.publisher.Changed()
		table := gate.publisher.Current()
		if table != adopted {
			adopted = table
			adopt(table)
		}
		timer := time.NewTimer(gate.scan(table))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-gate.arrived:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const (
	// idleScan is the scan interval when no grant is about to expire.
	idleScan = time.Minute

	// minScan bounds the rate of scans.
	minScan = time.Millisecond
)

// scan ends the attempts of lost groups and returns the time until the next
// grant expires. A lapsed grant needs no timer: only a new table can bring it
// back or make another group usable.
func (gate *gate) scan(table *route.Table) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.now()
	next := idleScan
	for entered := range gate.passes {
		switch gate.state(table, entered, now) {
		case passHolds:
			target, _ := table.Group(entered.group)
			next = min(next, target.Grant.ValidUntil.Sub(now))
		case passLost:
			entered.cancel(errGroupLost)
		}
	}
	return max(next, minScan)
}

// passState is what the table says of an attempt's group.
type passState int

const (
	// passHolds means that bytes may be sent.
	passHolds passState = iota + 1

	// passLapsed means that the grant has expired and no other group can take
	// over.
	passLapsed

	// passLost means that the attempt should move to another group.
	passLost
)

func (gate *gate) state(table *route.Table, entered *pass, now time.Time) passState {
	target, found := table.Group(entered.group)
	if !found || target.Epoch != entered.epoch {
		return passLost
	}
	if target.Grant.Group == target.Name && target.Grant.Holds(entered.epoch, now) {
		return passHolds
	}
	for _, other := range table.Groups(entered.spec) {
		if other.Name != entered.group && other.Usable(now) {
			return passLost
		}
	}
	return passLapsed
}

// hold returns nil as soon as bytes of the group may be sent, and an error
// when the group is lost or ctx ends.
func (gate *gate) hold(ctx context.Context, entered *pass) error {
	if gate.state(gate.publisher.Current(), entered, gate.now()) == passHolds {
		return nil
	}
	return gate.wait(ctx, entered, func(target route.GroupTarget) bool {
		return target.Grant.Group == target.Name && target.Grant.Holds(entered.epoch, gate.now())
	})
}

// confirm returns nil as soon as a grant proves that the group was complete
// at the answer's end.
func (gate *gate) confirm(ctx context.Context, entered *pass, end time.Time) error {
	return gate.wait(ctx, entered, func(target route.GroupTarget) bool {
		return target.Grant.Group == target.Name && target.Grant.Confirms(entered.epoch, end)
	})
}

func (gate *gate) wait(ctx context.Context, entered *pass, ready func(route.GroupTarget) bool) error {
	for {
		changed := gate.publisher.Changed()
		table := gate.publisher.Current()
		target, found := table.Group(entered.group)
		if found && target.Epoch == entered.epoch && ready(target) {
			return nil
		}
		if gate.state(table, entered, gate.now()) == passLost {
			return errGroupLost
		}
		// The scan cancels ctx when the grant expires without a change.
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		}
	}
}
