package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// BenchmarkTargetChanged measures what one changed target costs a node that leads
// nothing and has 15 fabric domains with 73 targets each.
func BenchmarkTargetChanged(bench *testing.B) {
	state, _ := newTestState(bench)
	state.logger = zap.NewNop()
	state.config.Feed.Events = make(chan FeedEvent)
	decoded, err := catalog.New(catalog.Config{Version: 1, Services: []catalog.Service{{
		Name: "s", Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m", Size: 8, Share: 1}}},
	}}})
	require.NoError(bench, err)
	now := time.Now()
	const domains, perDomain, size = 15, 72, 8
	var targets []directory.Target
	for domain := range domains {
		name := fmt.Sprint("d", domain)
		placement := group.NewPlacement(name)
		record, err := placement.Encode()
		require.NoError(bench, err)
		state.setPlacement(now, name, 1, record)
		for index := range perDomain {
			vm := fmt.Sprint(name, "-", index)
			targets = append(targets, directory.Target{
				VM:      kvstore.VM{Name: vm, Address: "10.0.0.1:80", Incarnation: "1", FabricDomain: name, FailureDomain: "z", State: kvstore.VMLive},
				Service: "s",
				Report:  engine.Report{VM: vm, Incarnation: "1", Group: fmt.Sprint("g", index/size), Epoch: 1, Rank: index % size, State: engine.StateReady, Staged: []string{"m"}},
			})
		}
	}
	state.handleFeed(now, TargetsListed{Targets: targets})
	state.handleFeed(now, ConfigurationRead{Catalog: decoded})
	changed := targets[100]
	bench.ResetTimer()
	for index := range bench.N {
		changed.Report.Epoch = uint64(index + 2)
		state.handleFeed(now, TargetsChanged{Put: []directory.Target{changed}})
		state.publishTable()
	}
}
