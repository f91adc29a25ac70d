package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestStallDetector() *StallDetector {
	return NewStallDetector(StallDetectorConfig{MinEventGap: 350 * time.Millisecond, MinFirstEventGap: 900 * time.Millisecond, MaxEventGap: 1200 * time.Millisecond})
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
		streams = append(streams, detector.Begin("group", time.Hour, now, func() { cancelled++ }))
	}
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		for _, stream := range streams {
			stream.Event(now)
		}
		require.Empty(test, detector.SuspectStalled(now))
	}
	require.Empty(test, detector.SuspectStalled(now.Add(300*time.Millisecond)))
	require.Equal(test, []StalledTarget{{Name: "group", Streams: 3, Silence: 360 * time.Millisecond}}, detector.SuspectStalled(now.Add(360*time.Millisecond)))
	require.Equal(test, 3, cancelled)
}

// Guards against a silence of 9223372036854 ms, which was logged for targets none of whose
// streams had an event: it was counted from a time that was never set.
func TestSilenceOfATargetWithoutEventsCountsFromItsFirstStream(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	detector.Begin("group", time.Hour, now, func() {})
	detector.Begin("group", time.Hour, now.Add(800*time.Millisecond), func() {})
	require.Empty(test, detector.SuspectStalled(now.Add(900*time.Millisecond)))
	require.Equal(test, []StalledTarget{{Name: "group", Streams: 2, Silence: 950 * time.Millisecond}}, detector.SuspectStalled(now.Add(950*time.Millisecond)))
}

// Guards against a target that is reported as stalled because one of its streams
// has no events.
func TestOneStalledStreamDoesNotCancelOthers(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	detector.Begin("group", time.Hour, now, func() { test.Error("stream of a working group was cancelled") })
	other := detector.Begin("group", time.Hour, now, func() { test.Error("stream of a working group was cancelled") })
	for range 100 {
		now = now.Add(60 * time.Millisecond)
		other.Event(now)
		require.Empty(test, detector.SuspectStalled(now))
	}
}

// Guards against a saturated engine, whose passes take long, that is reported as
// stalled.
func TestStallBoundAdaptsToLongGaps(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	stream := detector.Begin("group", time.Hour, now, func() { test.Error("stream of a slow group was cancelled") })
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		stream.Event(now)
	}
	require.Empty(test, detector.SuspectStalled(now.Add(600*time.Millisecond)))
}

// Guards against streams that are cancelled, or cause a stall, after their end.
func TestEndedStreamsAreNotCancelled(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	stream := detector.Begin("group", time.Hour, now, func() { test.Error("ended stream was cancelled") })
	stream.Event(now)
	stream.End()
	stream.Event(now)
	stream.End()
	require.Empty(test, detector.SuspectStalled(now.Add(time.Hour)))
}

// Guards against a single stream without events that waits for its caller's deadline because
// the other streams of its group go on, and against one that is reported for its group.
func TestSingleStreamWithoutEventsIsSuspected(test *testing.T) {
	for name, started := range map[string]bool{"before its first event": false, "after an event": true} {
		test.Run(name, func(test *testing.T) {
			detector := newTestStallDetector()
			now := time.Unix(1000, 0)
			elapsed := time.Duration(0)
			var suspected []time.Duration
			silent := detector.Begin("group", 1200*time.Millisecond, now, func() { suspected = append(suspected, elapsed) })
			if started {
				silent.Event(now)
			}
			other := detector.Begin("group", time.Hour, now, func() { test.Error("stream of a working group was suspected") })
			for ; elapsed < 3*time.Second; elapsed += 50 * time.Millisecond {
				other.Event(now.Add(elapsed))
				require.Empty(test, detector.SuspectStalled(now.Add(elapsed)))
			}
			require.Equal(test, []time.Duration{1250 * time.Millisecond, 2250 * time.Millisecond}, suspected)
		})
	}
}

// Guards against a group that is suspected because a caller reads slowly.
func TestStreamHeldByItsCallerIsNotSuspected(test *testing.T) {
	detector := newTestStallDetector()
	now := time.Unix(1000, 0)
	suspected := 0
	stream := detector.Begin("group", time.Hour, now, func() { suspected++ })
	stream.Event(now)
	stream.Hold()
	require.Empty(test, detector.SuspectStalled(now.Add(5*time.Second)))
	require.Zero(test, suspected)
	stream.Await(now.Add(5 * time.Second))
	require.Empty(test, detector.SuspectStalled(now.Add(5300*time.Millisecond)))
	require.Len(test, detector.SuspectStalled(now.Add(5400*time.Millisecond)), 1)
	require.Equal(test, 1, suspected)
}

// Guards against a stream whose caller reads slowly and that is sent to another target because
// the other streams of its target have stalled: its next event has arrived.
func TestHeldStreamOfStalledTargetIsNotSuspected(test *testing.T) {
	now := time.Now()
	detector := NewStallDetector(StallDetectorConfig{MinEventGap: time.Millisecond, MinFirstEventGap: time.Second, MaxEventGap: time.Second})
	suspected := map[string]int{}
	begin := func(name string) *MonitoredStream {
		stream := detector.Begin("g", time.Second, now, func() { suspected[name]++ })
		stream.Event(now)
		return stream
	}
	begin("waiting")
	held := begin("held")
	held.Hold()
	require.NotEmpty(test, detector.SuspectStalled(now.Add(500*time.Millisecond)))
	require.Equal(test, map[string]int{"waiting": 1}, suspected)
}
