package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rest that ends early by another answer, or never, and against one that
// holds for the next incarnation.
func TestRestOfATarget(test *testing.T) {
	closures, now := NewClosures(), time.Unix(1000, 0)
	closures.Rest("a/1", 3*time.Second, now)
	closures.Rest("a/1", time.Second, now.Add(time.Second))
	remaining, closed := closures.Closed("a/1", now.Add(2*time.Second))
	require.True(test, closed)
	require.Equal(test, time.Second, remaining)
	_, closed = closures.Closed("a/2", now)
	require.False(test, closed)
	_, closed = closures.Closed("a/1", now.Add(3*time.Second))
	require.False(test, closed)

	closures.Rest("b/1", 1000*time.Hour, now)
	_, closed = closures.Closed("b/1", now.Add(maxRest))
	require.False(test, closed)
	closures.Retain(map[string]bool{"a/1": true, "b/1": true}, now.Add(time.Second))
	require.False(test, closures.Empty())
	closures.Retain(map[string]bool{"a/1": true}, now.Add(4*time.Second))
	require.True(test, closures.Empty())
}

// Guards against a target that leaves and is used again after it was missing from the
// targets, or after the end of its rest.
func TestLeavingTargetStaysClosed(test *testing.T) {
	closures, now := NewClosures(), time.Unix(1000, 0)
	closures.Rest("a/1", time.Second, now)
	require.True(test, closures.Leave("a/1", now))
	require.False(test, closures.Leave("a/1", now))
	closures.Retain(nil, now.Add(time.Minute))
	_, closed := closures.Closed("a/1", now.Add(time.Minute))
	require.True(test, closed)
	require.True(test, closures.Leaving("a/1"))
	require.False(test, closures.Leaving("a/2"))
	closures.Retain(nil, now.Add(leavingMemory+time.Second))
	require.True(test, closures.Empty())
}
