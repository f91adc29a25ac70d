package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that retry at the same moment and are refused again.
// 300 requests are refused at once, while 100 places per second become free.
func TestRetryDelaysSpreadRefusedRequests(test *testing.T) {
	const refused, placesPerSecond = 300, 100
	random := rand.New(rand.NewPCG(5, 5))
	served := func(wait func() time.Duration) int {
		returns := map[int64]int{}
		for range refused {
			returns[int64(wait()/(100*time.Millisecond))]++
		}
		count := 0
		for _, arrivals := range returns {
			count += min(arrivals, placesPerSecond/10)
		}
		return count
	}
	spread := served(func() time.Duration { return RetryDelay(8*time.Second, random.Float64()) })
	together := served(func() time.Duration { return 250 * time.Millisecond })
	require.Greater(test, spread, 20*together)
	require.Greater(test, spread, refused*3/4)
}

// Guards against a delay that exceeds the time that callers wait, and against
// no delay at all.
func TestRetryDelayStaysWithinBounds(test *testing.T) {
	require.Equal(test, 300*time.Millisecond, RetryDelay(8*time.Second, 0))
	require.InDelta(test, (8 * time.Second / 3).Seconds(), RetryDelay(8*time.Second, 0.9999).Seconds(), 0.01)
	require.Equal(test, 300*time.Millisecond, RetryDelay(-time.Second, 0.7))
}
