package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/catalog"
)

// Guards against requests to an evacuated domain after its bound, at once where the node
// cannot know since when the evacuation is in force, against groups that are given up
// meanwhile, and against a domain that stays closed after it was taken back.
func TestEvacuatedDomainIsClosedWithinItsBound(test *testing.T) {
	now := time.Now()
	state := newTestFeed(test, now)
	state.config.Feed.Evacuation = 5 * time.Second
	evacuate := func(at, before time.Time, domains ...string) {
		var read []catalog.Evacuation
		for _, domain := range domains {
			read = append(read, catalog.Evacuation{FailureDomain: domain, Before: before})
		}
		state.handleFeed(at, EvacuationsRead{Evacuations: read})
	}
	evacuate(now, now.Add(-time.Second), "z")
	require.False(test, state.evacuationStatus(now)[0].Stopped)
	from := state.feed.nextStop
	require.False(test, from.After(now.Add(3*time.Second)), "the bound counts from the last reading without the evacuation")
	table := func() bool {
		state.publishTable()
		return state.config.Publisher.Current().Evacuated("z", from)
	}
	require.True(test, table(), "requests are refused from that time on, whenever a table is published")
	// A later reading of the same evacuation does not put it off.
	evacuate(now.Add(time.Second), now.Add(time.Second), "y", "z")
	require.True(test, table())
	state.stopEvacuated(from)
	require.True(test, state.evacuationStatus(from)[1].Stopped)
	require.Equal(test, []string{"g"}, state.openGroups(from, state.domains["d0"]), "a leader does not replace the groups")
	evacuate(from, from)
	require.False(test, table())
	require.True(test, serves(state, now))
	evacuate(now, time.Time{}, "z")
	require.False(test, serves(state, now), "a node that starts in the middle sends nothing")
}
