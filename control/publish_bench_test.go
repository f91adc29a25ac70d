package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/peer"
)

// BenchmarkPublishAfterGrants measures the cost of one received frame of grants
// at a node with 181 fabric domains of one group of 32 VMs each.
func BenchmarkPublishAfterGrants(b *testing.B) {
	state, _ := newTestState(b)
	now := time.Now()
	for domain := range 181 {
		name := fmt.Sprint("fabric-", domain)
		vms := map[string]any{}
		for rank := range 32 {
			vms[fmt.Sprintf("%s-%d", name, rank)] = map[string]any{"group": name + ".0", "rank": rank, "address": "10.0.0.1:1", "incarnation": "1"}
		}
		record, err := json.Marshal(map[string]any{
			"domain": name, "epoch": 1, "vms": vms,
			"groups": map[string]any{name + ".0": map[string]any{"name": name + ".0", "spec": "letters", "epoch": 1, "state": "ready", "size": 32}},
		})
		require.NoError(b, err)
		state.setPlacement(now, name, 1, record)
	}
	state.publishTable()
	version := uint64(0)
	for b.Loop() {
		version++
		domain := fmt.Sprint("fabric-", version%181)
		frame := peer.Grants{Origin: "leader", Incarnation: "1", Version: version, Domain: domain,
			Groups: []peer.GroupGrant{{Group: domain + ".0", Epoch: 1, AgeMillis: 1, ValidMillis: 1000}}}
		require.True(b, state.receiveGrants(now, frame, now))
		state.publishTable()
	}
}
