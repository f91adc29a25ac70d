package limit

import (
	"sync/atomic"
	"time"
)

// graceFactor times the expected time of a request that may be repeated is what must be left
// of the grace for it.
const graceFactor = 2

// A Grace keeps the requests of a stopping node inside the time after which its process is
// ended. Its zero value allows all requests until Begin is called. It is safe for concurrent
// use.
type Grace struct {
	// end is nil before Begin.
	end atomic.Pointer[time.Time]
}

// Begin sets the time at which the last request must have ended.
func (grace *Grace) Begin(end time.Time) { grace.end.Store(&end) }

// Allows reports whether a request may be sent to a target now. One that may run only once
// must reach its deadline inside the grace: if it were cut, its outcome would be unknown.
// One that may be repeated is also allowed if it is expected to end well inside.
func (grace *Grace) Allows(deadline time.Time, repeatable bool, expected time.Duration, now time.Time) bool {
	end := grace.end.Load()
	if end == nil || !deadline.After(*end) {
		return true
	}
	return repeatable && end.Sub(now) >= graceFactor*expected
}

// Bound returns the earlier of the deadline and the end of the grace.
func (grace *Grace) Bound(deadline time.Time) time.Time {
	end := grace.end.Load()
	if end == nil || !deadline.After(*end) {
		return deadline
	}
	return *end
}
