package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/route"
)

// errGroupLost cancels an attempt whose grant is in the state grantLost, so that
// the draft can be resumed at another group.
var errGroupLost = errors.New("group lost its grant")

// A grantGate blocks the delivery of a group's bytes to callers while the group
// has no grant, and cancels the attempts at groups that lost it. Cancelling
// must not depend on the next piece: a paused engine sends none, and its grant
// expires long before the progress timeout of the engine stream.
type grantGate struct {
	publisher *route.Publisher
	now       func() time.Time

	mutex    sync.Mutex
	attempts map[*groupAttempt]bool

	// groups counts the attempts at each group. Only the first attempt at a
	// group starts a scan: later ones are covered by the timer that is already
	// set for the group's grant.
	groups map[string]int
	rescan chan struct{}
}

// A groupAttempt is one registered attempt at a group.
type groupAttempt struct {
	group  string
	spec   string
	epoch  uint64
	cancel context.CancelCauseFunc
}

func newGrantGate(publisher *route.Publisher, now func() time.Time) *grantGate {
	return &grantGate{
		publisher: publisher,
		now:       now,
		attempts:  map[*groupAttempt]bool{},
		groups:    map[string]int{},
		rescan:    make(chan struct{}, 1),
	}
}

// register adds an attempt to the scans. cancel is called with errGroupLost
// when the draft should move to another group.
func (gate *grantGate) register(target route.GroupTarget, cancel context.CancelCauseFunc) *groupAttempt {
	attempt := &groupAttempt{group: target.Name, spec: target.Spec, epoch: target.Epoch, cancel: cancel}
	gate.mutex.Lock()
	gate.attempts[attempt] = true
	gate.groups[attempt.group]++
	first := gate.groups[attempt.group] == 1
	gate.mutex.Unlock()
	if !first {
		return attempt
	}
	select {
	case gate.rescan <- struct{}{}:
	default:
	}
	return attempt
}

func (gate *grantGate) unregister(attempt *groupAttempt) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	delete(gate.attempts, attempt)
	gate.groups[attempt.group]--
	if gate.groups[attempt.group] == 0 {
		delete(gate.groups, attempt.group)
	}
}

// run scans the attempts at every change of the table and at every expiry of a
// grant until ctx is done. It calls apply with every new table.
func (gate *grantGate) run(ctx context.Context, apply func(*route.Table)) {
	var applied *route.Table
	for {
		changed := gate.publisher.Changed()
		table := gate.publisher.Current()
		if table != applied {
			applied = table
			apply(table)
		}
		timer := time.NewTimer(gate.scan())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-gate.rescan:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const (
	// maxScanInterval is the scan interval while no grant is about to expire.
	maxScanInterval = time.Minute

	// minScanInterval bounds the rate of scans.
	minScanInterval = time.Millisecond
)

// scan cancels the attempts at groups that lost their grant and returns the
// time until the next grant expires. An expired grant needs no timer, because
// only a new table can renew it or make another group usable.
//
// The table is read while the attempts are locked, so that it is never older
// than the table from which a registered attempt took its group.
func (gate *grantGate) scan() time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	table := gate.publisher.Current()
	now := gate.now()
	next := maxScanInterval
	for attempt := range gate.attempts {
		switch gate.state(table, attempt, now) {
		case grantHolds:
			target, _ := table.Group(attempt.group)
			next = min(next, target.Grant.ValidUntil.Sub(now))
		case grantLost:
			attempt.cancel(errGroupLost)
		}
	}
	return max(next, minScanInterval)
}

// grantState is the state of the grant that an attempt depends on.
type grantState int

const (
	// grantHolds means that the group's bytes may be delivered.
	grantHolds grantState = iota + 1

	// grantExpired means that the grant has expired and no other group is
	// usable, so that the attempt waits for a renewal.
	grantExpired

	// grantLost means that the group is gone or has another epoch, or that its
	// grant has expired while another group is usable. The draft should move to
	// another group.
	grantLost
)

func (gate *grantGate) state(table *route.Table, attempt *groupAttempt, now time.Time) grantState {
	target, found := table.Group(attempt.group)
	if !found || target.Epoch != attempt.epoch {
		return grantLost
	}
	if target.Grant.Group == target.Name && target.Grant.Holds(attempt.epoch, now) {
		return grantHolds
	}
	for _, other := range table.Groups("", attempt.spec) {
		if other.Name != attempt.group && other.Usable(now) {
			return grantLost
		}
	}
	return grantExpired
}

// waitGrant returns nil as soon as the group's bytes may be delivered. It
// returns errGroupLost when the grant is lost, and the cause of ctx when ctx is
// done.
func (gate *grantGate) waitGrant(ctx context.Context, attempt *groupAttempt) error {
	if gate.state(gate.publisher.Current(), attempt, gate.now()) == grantHolds {
		return nil
	}
	return gate.wait(ctx, attempt, func(target route.GroupTarget) bool {
		return target.Grant.Group == target.Name && target.Grant.Holds(attempt.epoch, gate.now())
	})
}

// waitConfirmation returns nil as soon as a grant confirms that the group was
// complete at end, the time at which the answer ended. Its errors are those of
// waitGrant.
func (gate *grantGate) waitConfirmation(ctx context.Context, attempt *groupAttempt, end time.Time) error {
	return gate.wait(ctx, attempt, func(target route.GroupTarget) bool {
		return target.Grant.Group == target.Name && target.Grant.Confirms(attempt.epoch, end)
	})
}

func (gate *grantGate) wait(ctx context.Context, attempt *groupAttempt, ready func(route.GroupTarget) bool) error {
	for {
		changed := gate.publisher.Changed()
		table := gate.publisher.Current()
		target, found := table.Group(attempt.group)
		if found && target.Epoch == attempt.epoch && ready(target) {
			return nil
		}
		if gate.state(table, attempt, gate.now()) == grantLost {
			return errGroupLost
		}
		// If the grant expires while the table does not change, the scan cancels
		// ctx.
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		}
	}
}
