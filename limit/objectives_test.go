package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a route that bounds the requests of others after it was removed, after its
// objective changed or long after its last request, and against an objective that no group
// can meet and that refuses all requests.
func TestObjectivesBoundOnlyWhatTheyCanKeep(test *testing.T) {
	const idle = 95 * time.Millisecond
	now := time.Unix(1000, 0)
	objectives := NewObjectives()
	use := func(at time.Time, routes ...string) {
		for _, route := range routes {
			objectives.Use("pool", route, at)
		}
	}
	routes := map[string]time.Duration{"loose": 300 * time.Millisecond, "strict": 200 * time.Millisecond, "tight": 100 * time.Millisecond, "none": 0, "unmet": time.Millisecond}
	bound := func(at time.Time) time.Duration { return objectives.Bound("pool", routes, idle, at) }

	require.Zero(test, bound(now))
	use(now, "none", "unmet")
	require.Zero(test, bound(now))
	use(now, "loose")
	require.Equal(test, 300*time.Millisecond, bound(now))
	use(now, "strict")
	require.Equal(test, 200*time.Millisecond, bound(now))
	require.Zero(test, objectives.Bound("another pool", routes, idle, now))
	use(now, "tight")
	require.Equal(test, 142500*time.Microsecond, bound(now), "the bound leaves no room beside one request")

	routes = map[string]time.Duration{"loose": 300 * time.Millisecond, "strict": 250 * time.Millisecond}
	require.Equal(test, 250*time.Millisecond, bound(now))
	now = now.Add(objectiveMemory)
	use(now, "loose")
	require.Equal(test, 250*time.Millisecond, bound(now))
	require.Equal(test, 300*time.Millisecond, bound(now.Add(time.Millisecond)))
	require.Zero(test, bound(now.Add(2*objectiveMemory)))
}

// Guards against memory that grows with the names of models that callers send.
func TestObjectivesForgetUnusedPools(test *testing.T) {
	objectives := NewObjectives()
	now := time.Unix(1000, 0)
	for index := range 1000 {
		now = now.Add(objectiveMemory / 10)
		objectives.Use(fmt.Sprint("pool-", index), "route", now)
	}
	require.LessOrEqual(test, len(objectives.used), 11)
}
