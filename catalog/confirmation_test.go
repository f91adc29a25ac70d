package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against keys that stay in use because a copy of the store, in which they were not
// revoked yet, counts as a confirmation (issue 28, CONFIG).
func TestOlderCopyConfirmsNothing(test *testing.T) {
	now := time.Unix(1000, 0)
	var confirmation Confirmation
	confirmation.Read(now, Reading{Version: 8, Era: 1, At: now})
	confirmation.Read(now.Add(time.Second), Reading{Version: 7, Era: 2, At: now.Add(time.Second)})
	require.Equal(test, now, confirmation.At())
	again := now.Add(2 * time.Second)
	confirmation.Read(again, Reading{Version: 8, Era: 2, Written: true, At: again})
	require.Equal(test, again, confirmation.At())
}

// Guards against a copy that confirms a configuration although it may lack a later one that
// the node has not read, and against requests that are refused after a short outage.
func TestCopyConfirmsAfterRewriteTime(test *testing.T) {
	start := time.Unix(1000, 0)
	after := func(outage, wait time.Duration, written bool) time.Duration {
		var confirmation Confirmation
		confirmation.Read(start, Reading{Version: 8, Era: 1, At: start})
		back := start.Add(outage)
		confirmation.Read(back, Reading{Version: 8, Era: 2, At: back})
		confirmation.Read(back.Add(wait), Reading{Version: 8, Era: 2, Written: written, At: back.Add(wait)})
		return confirmation.At().Sub(start)
	}
	require.Equal(test, shortOutage+time.Second, after(shortOutage, time.Second, false))
	long := shortOutage + time.Second
	require.Zero(test, after(long, rewriteTime-time.Millisecond, false))
	require.Equal(test, long+rewriteTime, after(long, rewriteTime, false))
	require.Equal(test, long+time.Millisecond, after(long, time.Millisecond, true), "the operator has written it in this era")
}

// Guards against an invalid configuration, or none, that counts as the newest one.
func TestInvalidConfigurationConfirmsNothing(test *testing.T) {
	now := time.Unix(1000, 0)
	var confirmation Confirmation
	confirmation.Read(now, Reading{Era: 1, At: now})
	require.True(test, confirmation.At().IsZero())
}
