package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

const testRevocation = 5 * time.Second

func revisionOf(test *testing.T, era, changes uint64) uint64 {
	revision, err := kvstore.JoinRevision(era, changes)
	require.NoError(test, err)
	return revision
}

// Guards against keys that stay in use because a copy of the store, in which they were not
// revoked yet, counts as a confirmation (issue 28, CONFIG).
func TestOlderCopyConfirmsNothing(test *testing.T) {
	now := time.Unix(1000, 0)
	confirmation := NewConfirmation(testRevocation)
	confirmation.Read(now, Reading{Version: 8, Revision: revisionOf(test, 1, 30), At: now})
	later := now.Add(time.Second)
	confirmation.Read(later, Reading{Version: 7, Revision: revisionOf(test, 2, 10), At: later})
	require.Equal(test, now, confirmation.At())
	again := now.Add(4 * time.Second)
	confirmation.Read(again, Reading{Version: 8, Revision: revisionOf(test, 2, 20), Written: true, At: again})
	require.Equal(test, again, confirmation.At())
}

// Guards against a copy that confirms a configuration although it may lack a later one that
// the node has not read, and against requests that are refused after a short outage or
// although the operator has written the configuration again.
func TestCopyConfirmsAfterRewriteTime(test *testing.T) {
	start := time.Unix(1000, 0)
	const original = 30
	after := func(outage, wait time.Duration, changes uint64, written bool) time.Duration {
		confirmation := NewConfirmation(testRevocation)
		confirmation.Read(start, Reading{Version: 8, Revision: revisionOf(test, 1, original), At: start})
		back := start.Add(outage)
		confirmation.Read(back, Reading{Version: 8, Revision: revisionOf(test, 2, changes), At: back})
		confirmation.Read(back.Add(wait), Reading{Version: 8, Revision: revisionOf(test, 2, changes), Written: written, At: back.Add(wait)})
		return confirmation.At().Sub(start)
	}
	short := testRevocation - rewriteTime
	require.Equal(test, short+time.Second, after(short, time.Second, original, false))
	long := short + time.Second
	require.Zero(test, after(long, rewriteTime-time.Millisecond, original, false))
	require.Equal(test, long+rewriteTime, after(long, rewriteTime, original, false))
	require.Equal(test, long+time.Millisecond, after(long, time.Millisecond, original, true), "written since the first reading")
	require.Equal(test, long+time.Millisecond, after(long, time.Millisecond, 25, false), "written before the first reading")
}

// Guards against an invalid configuration, or none, that counts as the newest one.
func TestInvalidConfigurationConfirmsNothing(test *testing.T) {
	now := time.Unix(1000, 0)
	confirmation := NewConfirmation(testRevocation)
	confirmation.Read(now, Reading{At: now})
	require.True(test, confirmation.At().IsZero())
}
