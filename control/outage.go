package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
)

// outageMinimum is the shortest interruption of the feed that counts as an outage of the
// store. Shorter ones leave no backoff above a second, and a target that fails in one of them
// is found when its announcement expires.
const outageMinimum = time.Second

// An outage is the last time in which a node that follows a feed had no response of the store.
type outage struct {
	// began is when the outage in progress began, zero while there is none. ended is when the
	// last one of at least outageMinimum ended.
	began time.Time
	ended time.Time

	// asking are the rounds of questions in an outage, and silent the members that have not
	// answered in it.
	asking probeRound
	silent map[string]silence
}

// A silence is the time since which an incarnation of a target has answered no question.
type silence struct {
	incarnation string
	since       time.Time
}

func (outage *outage) begin(now time.Time) {
	if outage.began.IsZero() {
		outage.began = now
		outage.silent = map[string]silence{}
	}
}

// end ends the outage in progress. It returns its length, and whether it was at least
// outageMinimum long.
func (outage *outage) end(now time.Time) (time.Duration, bool) {
	length := now.Sub(outage.began)
	outage.began = time.Time{}
	if length < outageMinimum {
		return length, false
	}
	outage.ended = now
	return length, true
}

func (outage *outage) inProgress() bool { return !outage.began.IsZero() }

// endedWithin reports whether an outage ended at most the given time ago.
func (outage *outage) endedWithin(now time.Time, bound time.Duration) bool {
	return !outage.ended.IsZero() && now.Sub(outage.ended) <= bound
}

// outageAskInterval is the time between two rounds of questions in an outage. Two rounds show
// that a target has been silent for longer than a sound one may be.
const outageAskInterval = time.Second

// outageResult holds the answers of the placed members of the led fabric domains in an outage.
type outageResult struct {
	asked   time.Time
	answers []probeAnswer
}

func (outageResult) message() {}

// askInOutage asks the placed members of the fabric domains that this node leads, or led until
// its lease ended, while the store is away. It decides nothing yet. The load: members that end
// in an outage of seconds are lost when it is over, but a leader that asks them only then has to
// wait as long as a sound member may be silent before it ends their compositions.
func (state *state) askInOutage(now time.Time) {
	outage := &state.feed.outage
	if !outage.inProgress() || now.Sub(outage.began) < outageMinimum || !outage.asking.due(now, outageAskInterval) {
		return
	}
	var targets []probedTarget
	for _, leadership := range state.leaderships {
		targets = append(targets, state.listedMembers(leadership.leader.Placement())...)
	}
	if len(targets) == 0 {
		return
	}
	outage.asking = probeRound{running: true, beganAt: now}
	state.startWorker(func(ctx context.Context) message {
		return outageResult{asked: now, answers: askAll(ctx, targets, func(ctx context.Context, target probedTarget) probeAnswer {
			return state.askReport(ctx, target, probeAttempts)
		})}
	})
}

// handleOutageResult records since when each member has been silent. In a domain of which none
// answers, this node may have lost its way to the targets.
func (state *state) handleOutageResult(result outageResult) {
	outage := &state.feed.outage
	outage.asking.running = false
	reached := map[string]bool{}
	for _, answer := range result.answers {
		reached[answer.domain] = reached[answer.domain] || answer.responded
	}
	for _, answer := range result.answers {
		known, silent := outage.silent[answer.vm]
		switch {
		case answer.responded || !reached[answer.domain]:
			delete(outage.silent, answer.vm)
		case !silent || known.incarnation != answer.incarnation:
			outage.silent[answer.vm] = silence{incarnation: answer.incarnation, since: result.asked}
		}
	}
}

// endOutage makes the calls to the store due that wait in a backoff, once the feed has shown
// that the store answers again.
func (state *state) endOutage(now time.Time) {
	if !state.feed.outage.inProgress() {
		return
	}
	length, long := state.feed.outage.end(now)
	for _, leadership := range state.leaderships {
		if leadership.leader.Leading() {
			state.askPlaced(now, leadership)
		}
	}
	if !long {
		return
	}
	state.metrics.storeReturns.Inc()
	state.logger.Info("the store answers again", zap.Duration("outage", length), zap.Int("led-domains", len(state.leaderships)))
	state.storeReturned.notify()
	state.handleFleet(now, fleet.StoreReturned{})
}

// A notification wakes the goroutines that wait for it.
type notification struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newNotification() *notification { return &notification{channel: make(chan struct{})} }

// next returns a channel that the next call of notify closes.
func (notification *notification) next() <-chan struct{} {
	notification.mutex.Lock()
	defer notification.mutex.Unlock()
	return notification.channel
}

func (notification *notification) notify() {
	notification.mutex.Lock()
	defer notification.mutex.Unlock()
	close(notification.channel)
	notification.channel = make(chan struct{})
}
