package limit

import "time"

const (
	// minRetryDelay is about the time in which a repaired group begins to
	// serve.
	minRetryDelay = 300 * time.Millisecond

	// maxDelayDivisor limits the delay to 1/maxDelayDivisor of the remaining
	// time. Callers follow a Retry-After up to that part.
	maxDelayDivisor = 3
)

// RetryDelay returns the Retry-After of a request that was refused because no
// target had a free place. left is the time until the caller's deadline. draw
// is a random number in [0, 1) that spreads the delays over the time that
// callers wait.
//
// Without the spread, the requests that are refused at the same moment after a
// loss would all be retried at the same moment. Most would be refused again,
// because places become free one by one over seconds.
func RetryDelay(left time.Duration, draw float64) time.Duration {
	longest := max(minRetryDelay, left/maxDelayDivisor)
	return minRetryDelay + time.Duration(draw*float64(longest-minRetryDelay))
}
