package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more loads in any span than the weight store allows. After a
// fabric domain returns, every VM requests a load at once.
func TestWindowBoundsEverySpan(test *testing.T) {
	const bound = 20
	window := NewWindow(WindowConfig{Length: 5 * time.Second, Bound: bound})
	start := time.Unix(1000, 0)
	var begun []time.Time
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		idle := now.Sub(start) < 4*time.Second
		if !idle && window.Take(now) == 0 {
			begun = append(begun, now)
		}
	}
	require.Greater(test, len(begun), 4*bound, "the window allowed too few events")
	for first := range begun {
		count := 0
		for _, at := range begun[first:] {
			if at.Sub(begun[first]) < 5*time.Second {
				count++
			}
		}
		require.LessOrEqual(test, count, bound)
	}
}

// Guards against a wait of zero for a caller, and against a wait that is longer
// than until a place becomes free.
func TestWindowReturnsTheWait(test *testing.T) {
	window := NewWindow(WindowConfig{Length: time.Second, Bound: 1})
	now := time.Unix(1000, 0)
	require.Zero(test, window.Take(now))
	require.Equal(test, 600*time.Millisecond, window.Take(now.Add(400*time.Millisecond)))
	require.Zero(test, window.Take(now.Add(time.Second)))
	window.SetBound(0)
	require.Positive(test, window.Take(now.Add(10*time.Second)))
}
