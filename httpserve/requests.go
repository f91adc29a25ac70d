package httpserve

import (
	"context"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

// Requests bounds the requests of a handler by the end of a planned stop: they get
// their last answers before the process ends. It is safe for concurrent use.
type Requests struct {
	grace limit.Grace
	now   func() time.Time
	ctx   context.Context
	end   context.CancelFunc
}

// NewRequests returns requests without bounds. now returns the current time of their
// deadlines.
func NewRequests(now func() time.Time) *Requests {
	ctx, end := context.WithCancel(context.Background())
	return &Requests{now: now, ctx: ctx, end: end}
}

// BeginStop begins a planned stop at whose end, after the time left, all requests must have
// ended.
func (requests *Requests) BeginStop(left time.Duration) {
	requests.grace.Begin(requests.now().Add(left))
}

// Allows reports whether a request may be sent to a target now, see limit.Grace.
func (requests *Requests) Allows(deadline time.Time, repeatable bool, expected time.Duration) bool {
	return requests.grace.Allows(deadline, repeatable, expected, requests.now())
}

// Remaining returns the time until the deadline, or until the end of a planned stop.
func (requests *Requests) Remaining(deadline time.Time) time.Duration {
	return requests.grace.Bound(deadline).Sub(requests.now())
}

// Context returns the context of a request, which ends after the timeout, with its parent,
// or when all requests end.
func (requests *Requests) Context(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	stop := requests.OnEnd(cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// End ends the contexts of all requests. Each gets its last answer.
func (requests *Requests) End() { requests.end() }

// Ended reports whether End was called.
func (requests *Requests) Ended() bool { return requests.ctx.Err() != nil }

// OnEnd calls act, in a goroutine of its own, when all requests end. The returned function
// prevents that.
func (requests *Requests) OnEnd(act func()) (stop func() bool) {
	return context.AfterFunc(requests.ctx, act)
}
