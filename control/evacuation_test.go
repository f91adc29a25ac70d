package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/directory"
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

// Guards against targets that are flooded when their domain is taken back, against announced
// coldness that has no effect because the configuration came later, and against a bound where
// the service names none.
func TestTargetsAreColdWhenAnnouncedOrTakenBack(test *testing.T) {
	now := time.Now()
	state, _ := newTestState(test)
	state.config.Feed.Events = make(chan FeedEvent)
	announced, warm, unbounded := testMember("a", 0), testMember("b", 1), testMember("c", 1)
	announced.Cold, unbounded.Cold = 2*time.Second, 2*time.Second
	unbounded.Service = "other"
	state.handleFeed(now, TargetsListed{Targets: []directory.Target{announced, warm, unbounded}})
	decoded, err := catalog.New(catalog.Config{Version: 1, Services: []catalog.Service{
		{Name: "s", ColdTime: 3 * time.Second, ColdRate: 1, Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m", Size: 2, Share: 1}}}}, {Name: "other"},
	}})
	require.NoError(test, err)
	state.handleFeed(now, ConfigurationRead{Catalog: decoded})
	full := func(name string) bool { return state.config.Cold.Full(name, now) }
	require.True(test, full("a"), "the node is not listed yet and has no permits")
	require.False(test, full("b") || full("c"))
	state.handleFeed(now, EvacuationsRead{Evacuations: []catalog.Evacuation{{FailureDomain: "z"}}})
	state.handleFeed(now, EvacuationsRead{})
	require.True(test, full("b"))
	require.False(test, full("c"))
	warm.Cold = time.Hour
	state.handleFeed(now, TargetsChanged{Put: []directory.Target{warm}})
	now = now.Add(time.Minute)
	require.True(test, full("b"), "it has become cold again")
	require.False(test, full("a"))
}
