package operator

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/generation"
)

// Guards against an apply with a lower generation than that of a node which is
// only known through its peer's report, and against the use of the status in a
// report of a node that did not respond.
func TestHighestHeadIncludesGenerationsOfPeers(t *testing.T) {
	reports := []nodeReport{
		{err: errors.New("down"), status: admin.Status{Generation: 99}},
		{status: admin.Status{Generation: 4, Change: "c", Digest: "d", Peers: []admin.PeerStatus{{Name: "b", Generation: 4}}}},
	}
	assert.Equal(t, generation.Head{Generation: 4, Change: "c", Digest: "d"}, highestHead(reportedHeads(reports)))
	reports[1].status.Peers[0].Generation = 6
	assert.Equal(t, generation.Head{Generation: 6}, highestHead(reportedHeads(reports)))
	reports = append(reports, nodeReport{status: admin.Status{Generation: 6, Change: "e", Digest: "f"}})
	assert.Equal(t, generation.Head{Generation: 6, Change: "e", Digest: "f"}, highestHead(reportedHeads(reports)))
}

// Guards against a sample of adjacent addresses, whose nodes can all be
// disconnected from the rest at once, and against a sample with duplicates.
func TestSampleIsSpreadOverAllAddresses(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e", "f", "g"}
	assert.Equal(t, addresses, sample(addresses, 7))
	assert.Equal(t, []string{"a", "c", "e"}, sample(addresses, 3))
	assert.Empty(t, sample(nil, 3))
}
