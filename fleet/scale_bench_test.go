package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// benchLarge returns a fleet of the largest planned size: 730 nodes and 181
// fabric domains.
func benchLarge(b *testing.B, now time.Time) *Fleet {
	b.Helper()
	fleet := New(Config{
		Name: "node-0", Incarnation: "1", FailureDomain: "fd-0", PeerAddress: "node-0:1",
		Random: newSimulation(1).random,
	})
	listed := KeysListed{Prefix: NodePrefix, Revision: 1000}
	for index := range 730 {
		listed.Entries = append(listed.Entries, benchEntry(b, index, 1))
	}
	var domains []Domain
	for index := range 181 {
		domains = append(domains, Domain{Name: fmt.Sprint("fabric-", index), FailureDomain: fmt.Sprint("fd-", index%7)})
	}
	fleet.Handle(now, listed)
	fleet.Handle(now, DomainsListed{Domains: domains})
	return fleet
}

func benchEntry(b *testing.B, index, incarnation int) kvstore.Entry {
	b.Helper()
	name := fmt.Sprint("node-", index)
	value, err := json.Marshal(Node{
		Name: name, Incarnation: fmt.Sprint(incarnation), FailureDomain: fmt.Sprint("fd-", index%7), PeerAddress: name + ":1",
	})
	require.NoError(b, err)
	return kvstore.Entry{Key: NodeKey(name), Value: value, Revision: uint64(incarnation)}
}

// BenchmarkTick measures a Tick at 730 nodes, which is handled four times per
// second.
func BenchmarkTick(b *testing.B) {
	now := time.Now()
	fleet := benchLarge(b, now)
	b.ReportAllocs()
	for b.Loop() {
		fleet.Handle(now, Tick{})
	}
}

// BenchmarkNodeReplaced measures one change of the members at 730 nodes,
// including the recomputation of the relay trees of 181 origins.
func BenchmarkNodeReplaced(b *testing.B) {
	now := time.Now()
	fleet := benchLarge(b, now)
	incarnation := 1
	b.ReportAllocs()
	for b.Loop() {
		incarnation++
		fleet.Handle(now, KeysChanged{Revision: uint64(incarnation), Entries: []kvstore.Entry{benchEntry(b, 7, incarnation)}})
		now = now.Add(relayRefreshInterval)
		fleet.Handle(now, Tick{})
		for index := range 181 {
			fleet.RelayTo(fmt.Sprint("node-", 4*index))
		}
	}
}
