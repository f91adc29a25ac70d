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

func filled(now time.Time) *Directory {
	directory := New(Config{ReturnGrace: 2300 * time.Millisecond})
	directory.Replace(now, []Target{target("a", "1", kvstore.VMLive), target("b", "1", kvstore.VMLive), target("c", "1", kvstore.VMLeaving)})
	return directory
}

// Guards against requests to a target whose entry has ended.
func TestRemovedTargetIsGoneAtOnce(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := filled(now)
	require.True(test, directory.Apply(now, nil, []string{"a"}))
	require.Equal(test, []string{"b", "c"}, names(directory))
	require.False(test, directory.Apply(now, nil, []string{"a", "unknown"}))
}

// Replays a store outage in which all entries lapse and are back within two
// seconds. Guards against groups that are given up for it.
func TestLapsedTargetsReturnAfterAnOutage(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := filled(now)
	directory.Outage()
	require.False(test, directory.Expire(now.Add(time.Hour)), "targets expire while the platform is away")
	back := now.Add(10 * time.Second)
	require.True(test, directory.Replace(back, nil), "the leaving target is not gone")
	require.Equal(test, []string{"a", "b"}, names(directory))
	require.False(test, directory.Apply(back.Add(1900*time.Millisecond), []Target{target("a", "1", kvstore.VMLive)}, nil))
	require.True(test, directory.Expire(back.Add(2400*time.Millisecond)))
	require.Equal(test, []string{"a"}, names(directory), "a target that does not return is gone")
}

// Guards against a second outage that ends the grace period of the first.
func TestMissingTargetsSurviveASecondOutage(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := filled(now)
	directory.Outage()
	directory.Replace(now.Add(time.Second), []Target{target("b", "1", kvstore.VMLive)})
	directory.Outage()
	require.False(test, directory.Expire(now.Add(time.Minute)))
	require.Contains(test, names(directory), "a")
}

// Guards against changes that are not told, such as a new incarnation under the
// same name, and against beats that count as changes.
func TestOnlyRealChangesAreTold(test *testing.T) {
	now := time.Unix(1000, 0)
	directory := filled(now)
	beat := target("a", "1", kvstore.VMLive)
	beat.Beat = 7
	require.False(test, directory.Apply(now, []Target{beat}, nil))
	known, found := directory.Beat("a")
	require.True(test, found)
	require.Equal(test, uint64(7), known)
	require.True(test, directory.Apply(now, []Target{target("a", "2", kvstore.VMLive)}, nil))
	changed := target("a", "2", kvstore.VMLive)
	changed.Report.Staged = []string{"m"}
	require.True(test, directory.Apply(now, []Target{changed}, nil))
}
