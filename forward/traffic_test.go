package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/traffic"
)

// withOthers returns an exchange of a hub that has a member with 40 requests at each of the
// groups.
func withOthers(groups ...string) *traffic.Exchange {
	exchange := traffic.New(traffic.Config{Node: "self"})
	exchange.SetHubs([][]traffic.Hub{{{Node: "self", Address: "self"}}}, 2)
	exchange.Due(time.Now().Add(-time.Minute))
	message := traffic.Message{Node: "other", Nodes: 1}
	for _, name := range groups {
		message.Groups = append(message.Groups, traffic.GroupUse{Group: name, Running: 40, Waiting: 36})
	}
	// The record must outlive the test.
	exchange.Receive(message, time.Now().Add(time.Minute))
	return exchange
}

// Guards against requests to a group whose places are taken by those of other nodes, which this
// node does not see in its own answers, and against waiting there when all groups are full.
func TestGroupsFullOfRequestsOfOtherNodesGetNone(test *testing.T) {
	fixture := tableFixture{objectives: map[string]time.Duration{"usual": 300 * time.Millisecond}, step: 50 * time.Millisecond}
	for _, name := range []string{"g1", "g2"} {
		fixture.groups = append(fixture.groups, newTarget(test, name, streams(3, "0\r\n\r\n")))
	}
	fixture.traffic = withOthers("g1")
	node := newNode(test, fixture)
	for range 10 {
		require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
	}
	require.Zero(test, fixture.groups[0].count())
	require.Equal(test, 10, fixture.groups[1].count())

	fixture.traffic = withOthers("g1", "g2")
	refused := newNode(test, fixture).request(test, http.MethodPost, "/usual/1", "x")
	require.Equal(test, http.StatusServiceUnavailable, refused.status)
	require.Equal(test, 10, fixture.groups[0].count()+fixture.groups[1].count())
}
