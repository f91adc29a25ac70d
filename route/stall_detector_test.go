package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestStallDetector() *StallDetector {
	return NewStallDetector(StallDetectorConfig{MinEventGap: 350 * time.Millisecond, MinFirstEventGap: 900 * time.Millisecond})
}

// Guards against a stalled target that is detected only when its engine fails after
// 5 s: three streams with an event every 60 ms stall at the same time, as after the
// loss of a member.
func TestStalledTargetIsDetected(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	cancelled := 0
	var streams []*MonitoredStream
	for range 3 {
		streams = append(streams, detector.Begin("group", now, func() { cancelled++ }))
	}
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		for _, stream := range streams {
			stream.Event(now)
		}
		require.Empty(test, detector.CancelStalled(now))
	}
	require.Empty(test, detector.CancelStalled(now.Add(300*time.Millisecond)))
	require.Equal(test, []StalledTarget{{Name: "group", Streams: 3, Silence: 360 * time.Millisecond}}, detector.CancelStalled(now.Add(360*time.Millisecond)))
	require.Equal(test, 3, cancelled)
}

// Guards against a target that is reported as stalled because one of its streams
// has no events.
func TestOneStalledStreamDoesNotCancelOthers(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	detector.Begin("group", now, func() { test.Error("stream of a working group was cancelled") })
	other := detector.Begin("group", now, func() { test.Error("stream of a working group was cancelled") })
	for range 100 {
		now = now.Add(60 * time.Millisecond)
		other.Event(now)
		require.Empty(test, detector.CancelStalled(now))
	}
}

// Guards against a saturated engine, whose passes take long, that is reported as
// stalled.
func TestStallBoundAdaptsToLongGaps(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	stream := detector.Begin("group", now, func() { test.Error("stream of a slow group was cancelled") })
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		stream.Event(now)
	}
	require.Empty(test, detector.CancelStalled(now.Add(600*time.Millisecond)))
}

// Guards against streams that are cancelled, or cause a stall, after their end.
func TestEndedStreamsAreNotCancelled(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	stream := detector.Begin("group", now, func() { test.Error("ended stream was cancelled") })
	stream.Event(now)
	stream.End()
	stream.Event(now)
	stream.End()
	require.Empty(test, detector.CancelStalled(now.Add(time.Hour)))
}
