package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a route whose objective no group can meet, or that has none, and that refuses
// its own requests and those of other routes, also after its removal.
func TestObjectiveThatCannotBeMetRefusesNothing(test *testing.T) {
	for _, objective := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond} {
		test.Run(objective.String(), func(test *testing.T) {
			group := newTarget(test, "g1", streams(3, "0\r\n\r\n"))
			fixture := tableFixture{groups: []*target{group}, step: 55 * time.Millisecond}
			fixture.objectives = map[string]time.Duration{"usual": 300 * time.Millisecond}
			node := newNode(test, fixture)
			require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)

			fixture.generation, fixture.objectives["added"] = 2, objective
			node.publish(test, fixture)
			for range 3 {
				require.Equal(test, events(3), node.request(test, http.MethodPost, "/added/1", "x").body)
				require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
			}

			delete(fixture.objectives, "added")
			fixture.generation = 3
			node.publish(test, fixture)
			require.Equal(test, http.StatusNotFound, node.request(test, http.MethodPost, "/added/1", "x").status)
			require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
		})
	}
}
