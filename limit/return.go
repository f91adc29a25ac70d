package limit

import "time"

const (
	// leastReturn is about the time in which a group that was repaired begins to
	// serve.
	leastReturn = 300 * time.Millisecond

	// returnPart is the part of the time left up to which callers wait as told.
	returnPart = 3
)

// Return returns when a request that found no place should come back: spread
// over the time that its caller is ready to wait, by a draw of 0 up to 1.
//
// It answers the refusals after a loss, which come in one moment: told the same
// time, all callers return in one moment too and are refused again, while the
// places come free one by one over seconds.
func Return(left time.Duration, draw float64) time.Duration {
	longest := max(leastReturn, left/returnPart)
	return leastReturn + time.Duration(draw*float64(longest-leastReturn))
}
