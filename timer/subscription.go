package timer

import "time"

// A Subscription is a component's claim on ticks of a Service.
type Subscription struct {
	service  *Service
	name     string
	interval time.Duration
	jitter   time.Duration
	repeats  bool
	ticks    chan time.Time

	// due and index belong to the service's schedule. index is -1 for a
	// subscription that is not scheduled.
	due   time.Time
	index int
}

// Name returns the name that the component gave.
func (subscription *Subscription) Name() string { return subscription.name }

// C returns the channel of ticks. It holds at most one tick and is never
// closed.
func (subscription *Subscription) C() <-chan time.Time {
	if subscription == nil {
		return nil
	}
	return subscription.ticks
}

// Cancel ends the subscription. It may be called more than once; a tick that
// is already in the channel stays there.
func (subscription *Subscription) Cancel() { subscription.service.cancel(subscription) }

func (subscription *Subscription) tick(now time.Time) {
	select {
	case subscription.ticks <- now:
	default:
	}
}

// schedule is a heap of subscriptions by due time.
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
