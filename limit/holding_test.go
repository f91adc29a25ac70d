package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ordinary callers that lose their connections to a crowd: of 900 connections
// that hold much and stand still, trickle or send nothing, and 100 ordinary ones between,
// in or after their requests, those of the crowd end first, the largest and slowest before all.
func TestCrowdYieldsBeforeOrdinaryCallers(test *testing.T) {
	const connection, head, idle = 40 << 10, 10 * time.Second, time.Minute
	var holdings []Holding
	for index := range 100 {
		age := time.Duration(index) * time.Millisecond
		holdings = append(holdings,
			Holding{Bytes: connection, Elapsed: age, Allowed: head},
			Holding{Bytes: connection, Elapsed: 80 * age, Allowed: idle},
		)
	}
	ordinary := len(holdings)
	for index := range 300 {
		age := 2*time.Second + time.Duration(index)*time.Millisecond
		holdings = append(holdings,
			Holding{Bytes: connection, Elapsed: age, Allowed: head},
			Holding{Bytes: connection + 1<<20, Elapsed: age, Allowed: head},
			Holding{Bytes: connection + 4<<20, Elapsed: age, Allowed: head},
		)
	}
	remaining := holdings
	for range 900 {
		first := FirstToYield(remaining, Holding{Bytes: connection, Allowed: head})
		require.GreaterOrEqual(test, first, ordinary)
		remaining = append(remaining[:first:first], remaining[first+1:]...)
	}
	require.Len(test, remaining, ordinary)
}

// Guards against a caller that takes the room of those which hold less, by asking for more.
func TestLargestAndSlowestYieldsItself(test *testing.T) {
	asking := Holding{Bytes: 4 << 20, Elapsed: 3 * time.Second, Allowed: 10 * time.Second}
	require.Equal(test, -1, FirstToYield([]Holding{{Bytes: 1 << 20, Elapsed: 3 * time.Second, Allowed: 10 * time.Second}}, asking))
	require.Equal(test, -1, FirstToYield(nil, Holding{}))
	require.Equal(test, 0, FirstToYield([]Holding{{Bytes: 1, Elapsed: time.Second}}, Holding{Bytes: 1}))
}
