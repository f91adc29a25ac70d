package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestPulse() *Pulse {
	return NewPulse(PulseConfig{WriteGap: 350 * time.Millisecond, ReadGap: 900 * time.Millisecond})
}

// Replays the loss of a member: three streams with an event every 60 ms fall
// silent together. Guards against a stall that is noticed only when the engine
// gives up after 5 s.
func TestPulseNoticesStreamsThatStopTogether(test *testing.T) {
	pulse := newTestPulse()
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

// Guards against one slow stream that is taken for a group that stands still.
func TestPulseForgivesOneSilentStream(test *testing.T) {
	pulse := newTestPulse()
	now := time.Unix(1000, 0)
	pulse.Begin("group", now, func() { test.Error("stream of a living group was cancelled") })
	other := pulse.Begin("group", now, func() { test.Error("stream of a living group was cancelled") })
	for range 100 {
		now = now.Add(60 * time.Millisecond)
		other.Event(now)
		require.Empty(test, pulse.Still(now))
	}
}

// Guards against a saturated engine, whose passes take long, that is taken for
// one that stands still.
func TestPulseAdaptsToLongPasses(test *testing.T) {
	pulse := newTestPulse()
	now := time.Unix(1000, 0)
	stroke := pulse.Begin("group", now, func() { test.Error("stream of a slow group was cancelled") })
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		stroke.Event(now)
	}
	require.Empty(test, pulse.Still(now.Add(600*time.Millisecond)))
}

// Guards against streams that are remembered after their end.
func TestPulseForgetsEndedStreams(test *testing.T) {
	pulse := newTestPulse()
	now := time.Unix(1000, 0)
	stroke := pulse.Begin("group", now, func() { test.Error("ended stream was cancelled") })
	stroke.Event(now)
	stroke.End()
	stroke.Event(now)
	stroke.End()
	require.Empty(test, pulse.Still(now.Add(time.Hour)))
}
