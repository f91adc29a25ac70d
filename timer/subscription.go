package timer

import "time"

// A Subscription delivers the ticks of a Service to one component.
type Subscription struct {
	service  *Service
	name     string
	interval time.Duration
	jitter   time.Duration
	repeats  bool
	ticks    chan time.Time

	// due and index are guarded by the service's mutex. index is the position in
	// the schedule, or -1 for a subscription that is not scheduled.
	due   time.Time
	index int
}

// Name returns the name that was passed to Every or After.
func (subscription *Subscription) Name() string { return subscription.name }

// C returns the channel on which ticks are delivered. It buffers one tick and is
// never closed. The channel of a nil Subscription is nil.
func (subscription *Subscription) C() <-chan time.Time {
	if subscription == nil {
		return nil
	}
	return subscription.ticks
}

// Cancel ends the subscription. It may be called more than once. A tick that is
// already in the channel is not removed.
func (subscription *Subscription) Cancel() { subscription.service.cancel(subscription) }

func (subscription *Subscription) deliver(now time.Time) {
	select {
	case subscription.ticks <- now:
	default:
	}
}

// schedule is a heap of subscriptions ordered by due time.
type schedule []*Subscription

func (queue schedule) Len() int           { return len(queue) }
func (queue schedule) Less(i, j int) bool { return queue[i].due.Before(queue[j].due) }

func (queue schedule) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index = i
	queue[j].index = j
}

func (queue *schedule) Push(item any) {
	subscription := item.(*Subscription)
	subscription.index = len(*queue)
	*queue = append(*queue, subscription)
}

func (queue *schedule) Pop() any {
	last := len(*queue) - 1
	subscription := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	subscription.index = -1
	return subscription
}
