package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

func target(name, incarnation string, state kvstore.VMState) Target {
	return Target{
		VM:     kvstore.VM{Name: name, Incarnation: incarnation, State: state},
		Report: engine.Report{VM: name, Incarnation: incarnation},
	}
}

func names(directory *Directory) []string {
	var names []string
	for _, target := range directory.Targets() {
		names = append(names, target.VM.Name)
	}
	return names
}

// newTestDirectory returns a directory with the live targets a and b and the
// draining target c.
func newTestDirectory(now time.Time) *Directory {
	directory := New(Config{ReturnGrace: 2300 * time.Millisecond})
	directory.Replace(now, []Target{target("a", "1", kvstore.VMLive), target("b", "1", kvstore.VMLive), target("c", "1", kvstore.VMLeaving)})
	return directory
}

// Guards against requests to a target whose announcement has ended: without an
// outage it must be removed immediately.
func TestRemovedTargetIsDroppedImmediately(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := newTestDirectory(now)
	require.True(test, directory.Apply(now, nil, []string{"a"}))
	require.Equal(test, []string{"b", "c"}, names(directory))
	require.False(test, directory.Apply(now, nil, []string{"a", "unknown"}))
}

// Guards against the loss of all groups after a store outage in which all
// entries expire. The targets renew them within two seconds after the outage.
func TestExpiredTargetsAreKeptAfterAnOutage(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := newTestDirectory(now)
	directory.BeginOutage()
	require.False(test, directory.Expire(now.Add(time.Hour)), "targets are removed during the outage")
	back := now.Add(10 * time.Second)
	require.True(test, directory.Replace(back, nil), "the draining target is not removed")
	require.Equal(test, []string{"a", "b"}, names(directory))
	require.False(test, directory.Apply(back.Add(1900*time.Millisecond), []Target{target("a", "1", kvstore.VMLive)}, nil))
	require.True(test, directory.Expire(back.Add(2400*time.Millisecond)))
	require.Equal(test, []string{"a"}, names(directory), "a target that does not return must be removed")
}

// Guards against missing targets that are removed during a second outage,
// although the grace period of the first has passed by then.
func TestMissingTargetsAreKeptDuringASecondOutage(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := newTestDirectory(now)
	directory.BeginOutage()
	directory.Replace(now.Add(time.Second), []Target{target("b", "1", kvstore.VMLive)})
	directory.BeginOutage()
	require.False(test, directory.Expire(now.Add(time.Minute)))
	require.Contains(test, names(directory), "a")
}

// Guards against changes that are not reported, such as a new incarnation under
// the same name, and against heartbeats that are reported as changes.
func TestHeartbeatsAreNotReportedAsChanges(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := newTestDirectory(now)
	repeated := target("a", "1", kvstore.VMLive)
	repeated.Heartbeat = 7
	require.False(test, directory.Apply(now, []Target{repeated}, nil))
	heartbeat, found := directory.Heartbeat("a")
	require.True(test, found)
	require.Equal(test, uint64(7), heartbeat)
	require.True(test, directory.Apply(now, []Target{target("a", "2", kvstore.VMLive)}, nil))
	changed := target("a", "2", kvstore.VMLive)
	changed.Report.Staged = []string{"m"}
	require.True(test, directory.Apply(now, []Target{changed}, nil))
}
