package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestStallDetector() *Pulse {
	return NewPulse(PulseConfig{WriteGap: 350 * time.Millisecond, ReadGap: 900 * time.Millisecond})
}

// Guards against a stalled target that is detected only when its engine fails after
// 5 s: three streams with an event every 60 ms stall at the same time, as after the
// loss of a member.
func TestStalledTargetIsDetected(test *testing.T) {
	pulse := newTestStallDetector()
	now := time.Unix(1000, 0)
	cancelled := 0
	var strokes []*Stroke
	for range 3 {
		strokes = append(strokes, pulse.Begin("group", now, func() { cancelled++ }))
	}
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		for _, stroke := range strokes {
			stroke.Event(now)
		}
		require.Empty(test, pulse.Still(now))
	}
	require.Empty(test, pulse.Still(now.Add(300*time.Millisecond)))
	require.Equal(test, []string{"group"}, pulse.Still(now.Add(360*time.Millisecond)))
	require.Equal(test, 3, cancelled)
}

// Guards against a target that is reported as stalled because one of its streams
// has no events.
func TestOneStalledStreamDoesNotCancelOthers(test *testing.T) {
	pulse := newTestStallDetector()
	now := time.Unix(1000, 0)
	pulse.Begin("group", now, func() { test.Error("stream of a working group was cancelled") })
	other := pulse.Begin("group", now, func() { test.Error("stream of a working group was cancelled") })
	for range 100 {
		now = now.Add(60 * time.Millisecond)
		other.Event(now)
		require.Empty(test, pulse.Still(now))
	}
}

// Guards against a saturated engine, whose steps take long, that is reported as
// stalled.
func TestStallBoundAdaptsToLongGaps(test *testing.T) {
	pulse := newTestStallDetector()
	now := time.Unix(1000, 0)
	stroke := pulse.Begin("group", now, func() { test.Error("stream of a slow group was cancelled") })
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		stroke.Event(now)
	}
	require.Empty(test, pulse.Still(now.Add(600*time.Millisecond)))
}

// Guards against streams that are cancelled, or cause a stall, after their end.
func TestEndedStreamsAreNotCancelled(test *testing.T) {
	pulse := newTestStallDetector()
	now := time.Unix(1000, 0)
	stroke := pulse.Begin("group", now, func() { test.Error("ended stream was cancelled") })
	stroke.Event(now)
	stroke.End()
	stroke.Event(now)
	stroke.End()
	require.Empty(test, pulse.Still(now.Add(time.Hour)))
}
