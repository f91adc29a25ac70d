package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deal returns how many of 1,000 draws each place gets, and how many get none.
func deal(places []Place, expected float64) (dealt []int, none int) {
	dealt = make([]int, len(places))
	for draw := range 1000 {
		index, found := Spread(places, expected, float64(draw)/1000)
		if found {
			dealt[index]++
		} else {
			none++
		}
	}
	return dealt, none
}

// A surge of requests is not sent to the least loaded target, and not beyond what is in time.
func TestSurgeIsSpreadOverThePlacesThatAreInTime(test *testing.T) {
	dealt, none := deal([]Place{{Room: 10, Left: 20}, {Room: 10, Left: 5}, {Room: 0, Left: 0}}, 40)
	require.InDelta(test, 250, dealt[0], 2)
	require.InDelta(test, 250, dealt[1], 2)
	require.Zero(test, dealt[2], "a target that is late gets nothing")
	require.InDelta(test, 500, none, 2)
	dealt, none = deal([]Place{{Room: 100, Left: 10}, {Room: 100, Left: 20}}, 30)
	require.InDelta(test, 667, dealt[0], 2, "both have 30 in the end")
	require.Zero(test, none)
	dealt, none = deal([]Place{{Room: 100, Left: 10}, {Room: 100, Left: 20}}, 0)
	require.Equal(test, 1000, dealt[0], "a lone request goes to the less loaded target")
	require.Zero(test, none)
	_, none = deal([]Place{{Room: 0}}, 5)
	require.Equal(test, 1000, none)
}

func TestRoomEndsWithSlotsAndPrompts(test *testing.T) {
	pace := Pace{Pass: 25 * time.Millisecond, ReadPerToken: 20 * time.Microsecond, Slots: 30, Events: 30, MeanPromptTokens: 500}
	bound, horizon := 200*time.Millisecond, 400*time.Millisecond
	require.Zero(test, pace.Room(10, bound+1, bound, horizon))
	require.InDelta(test, 10+500/35.0, pace.Room(20, 100*time.Millisecond, bound, horizon), 0.1, "10 free slots, and 35 ms for each that ends")
	pace.Slots = 100
	require.InDelta(test, 50, pace.Room(0, 100*time.Millisecond, bound, horizon), 0.1, "prompts of 10 ms in 500 ms")
	pace.Slots = 30
	require.InDelta(test, 500/35.0, pace.Room(30, 100*time.Millisecond, bound, horizon), 0.1, "35 ms until a slot is free")
	require.InDelta(test, 16, pace.Left(30, 350*time.Millisecond), 0.1)
}
