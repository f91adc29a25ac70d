package limit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an owner that takes what others need: targets that send bytes without end
// must leave room for the answers of sound ones.
func TestBytesLeaveRoomForOthers(test *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, greedy := range []int{1, 3, 9} {
		bytes := NewBytes(1000)
		var holds []*Hold
		for owner := range greedy {
			for range 3 {
				holds = append(holds, bytes.Hold(fmt.Sprint("greedy-", owner)))
			}
		}
		counts := make([]int64, len(holds))
		for grown := true; grown; {
			grown = false
			for index, hold := range holds {
				if hold.Grow(ended, counts[index]+1) {
					counts[index]++
					grown = true
				}
			}
		}
		free := 1000 - bytes.Used()
		require.InDelta(test, 1000/(greedy+1), free, float64(greedy)+1, "%d owners that take all they get", greedy)
		sound := bytes.Hold("sound")
		require.True(test, sound.Grow(ended, free/2))
		sound.Release()
		for _, hold := range holds {
			hold.Release()
			hold.Release()
		}
		require.Zero(test, bytes.Used())
	}
}

// Guards against a body that is refused although room is about to come free, and against one
// that waits for ever.
func TestHoldWaitsForARelease(test *testing.T) {
	bytes := NewBytes(100)
	first, second := bytes.Hold("a"), bytes.Hold("b")
	require.True(test, first.Grow(context.Background(), 50))
	short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.False(test, second.Grow(short, 50))
	grown := make(chan bool, 1)
	go func() { grown <- second.Grow(context.Background(), 50) }()
	first.Release()
	require.True(test, <-grown)
	require.EqualValues(test, 50, bytes.Used())
}
