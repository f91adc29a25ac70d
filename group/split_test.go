package group

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
)

// quotePace and its sizes are those of a site with 6 groups of 16 VMs and 24 of 4, as many VMs
// of each model.
var (
	largeSpec = folder.Group{Name: "s/large", Model: "large", Service: "s", Size: 16, Share: 500}
	smallSpec = folder.Group{Name: "s/small", Model: "small", Service: "s", Size: 4, Share: 500}
)

func quotePace(pace float64) ReplicaPace {
	scale := func(millis float64) time.Duration { return time.Duration(millis * pace * float64(time.Millisecond)) }
	return ReplicaPace{Slots: 30, Step: scale(5.95), SequenceStep: scale(0.0445), ReadRate: 50_700 / pace}
}

// A fleetModel is the replicas of the two models in the fabric domains of three failure domains.
type fleetModel struct{ large, small []int }

func newFleetModel() *fleetModel {
	return &fleetModel{large: []int{1, 1, 1, 1, 1, 1}, small: []int{4, 4, 4, 4, 4, 4}}
}

func (fleet *fleetModel) total(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// loads returns the loads of the pools under the given requests per second. A request to a large
// group holds a place for 0.9 s, one to a small group for 1 s.
func (fleet *fleetModel) loads(large, small float64) []PoolLoad {
	return []PoolLoad{
		{Spec: largeSpec.Name, Arrivals: large, Running: large * 0.9, PromptTokens: large * 1640, Replicas: fleet.total(fleet.large), Pace: quotePace(1)},
		{Spec: smallSpec.Name, Arrivals: small, Running: small, PromptTokens: small * 674, Replicas: fleet.total(fleet.small), Pace: quotePace(0.6)},
	}
}

func (fleet *fleetModel) plan(observed DemandObserved, repairing int) splitPlan {
	var input splitInput
	for _, pool := range observed.Pools {
		state := poolState{spec: smallSpec, demand: pool}
		counts := fleet.small
		if pool.Spec == largeSpec.Name {
			state.spec, counts = largeSpec, fleet.large
		}
		for index, count := range counts {
			state.domains = append(state.domains, poolDomain{name: fmt.Sprint("d", index), failureDomain: fmt.Sprint("f", index/2), placed: count, staged: count})
		}
		state.placed = fleet.total(counts)
		state.ready = state.placed - repairing
		input.pools = append(input.pools, state)
	}
	return input.plan()
}

// play observes the requests of each second and carries out the planned conversions, at most one
// plan in conversionSettle. It returns the models whose replicas were given up, in order, each
// as often as the direction changed.
func (fleet *fleetModel) play(seconds int, firstStart bool, requests func(second int) (large, small float64)) []string {
	tracker := NewDemandTracker(firstStart)
	start := time.Unix(1000, 0)
	settled := 0
	var given []string
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		large, small := requests(second)
		tracker.Observe(now, fleet.loads(large, small))
		observed, known := tracker.Demand(now)
		if plan := fleet.plan(observed, 0); known && plan.steps > 0 && second >= settled {
			fleet.carryOut(plan)
			if from := plan.conversion.From; len(given) == 0 || given[len(given)-1] != from {
				given = append(given, from)
			}
			settled = second + int(conversionSettle/time.Second) + 1
		}
	}
	return given
}

func (fleet *fleetModel) carryOut(plan splitPlan) {
	for _, name := range plan.domains[:plan.steps] {
		var index int
		if _, err := fmt.Sscanf(name, "d%d", &index); err != nil {
			panic(err)
		}
		if plan.conversion.From == largeSpec.Name {
			fleet.large[index] -= plan.conversion.Gives
			fleet.small[index] += plan.conversion.Gains
			continue
		}
		fleet.small[index] -= plan.conversion.Gives
		fleet.large[index] += plan.conversion.Gains
	}
}

// Guards against capacity that stays with a model that nobody asks for, and against moves of it
// for waves and bursts.
func TestSplitFollowsDemandThatLasts(test *testing.T) {
	fixed := func(large, small float64) func(int) (float64, float64) {
		return func(int) (float64, float64) { return large, small }
	}
	for name, each := range map[string]struct {
		requests   func(second int) (large, small float64)
		firstStart bool
		large      int
	}{
		"ten times the requests": {requests: fixed(40, 422), large: 4},
		"at the first start":     {requests: fixed(40, 422), large: 4, firstStart: true},
		"as much work of both":   {requests: fixed(58, 330), large: 6, firstStart: true},
		"little demand":          {requests: fixed(10, 100), large: 6, firstStart: true},
		"waves": {large: 6, requests: func(second int) (float64, float64) {
			swing := 0.2 * math.Sin(2*math.Pi*float64(second)/11)
			return 50 * (1 - swing), 330 * (1 + swing)
		}},
		"burst of 6 s": {large: 6, requests: func(second int) (float64, float64) {
			if second >= 20 && second < 26 {
				return 40, 1000
			}
			return 40, 250
		}},
		"demand that shifts for good": {large: 4, requests: func(second int) (float64, float64) {
			if second >= 20 {
				return 40, 440
			}
			return 40, 250
		}},
		"a pool without requests keeps two replicas": {requests: fixed(0, 600), large: 2},
	} {
		test.Run(name, func(test *testing.T) {
			fleet := newFleetModel()
			given := fleet.play(60, each.firstStart, each.requests)
			require.Equal(test, each.large, fleet.total(fleet.large))
			require.LessOrEqual(test, len(given), 1)
		})
	}
}

// Guards against replicas that move to and fro when the demand does.
func TestSplitReturnsOnce(test *testing.T) {
	fleet := newFleetModel()
	given := fleet.play(120, true, func(second int) (float64, float64) {
		if second >= 40 {
			return 75, 150
		}
		return 40, 422
	})
	require.Equal(test, []string{largeSpec.Name, smallSpec.Name}, given)
	require.GreaterOrEqual(test, fleet.total(fleet.large), 5)
}

// Guards against a pool whose last replicas, or those of all but one failure domain, are given
// up, and against conversions while members are lost.
func TestSplitKeepsPools(test *testing.T) {
	observed := DemandObserved{Pools: []PoolDemand{
		{Spec: largeSpec.Name, Arrivals: 1, Least: 0.1, Mean: 0.1, Most: 0.1},
		{Spec: smallSpec.Name, Arrivals: 400, Least: 23, Mean: 23, Most: 23},
	}}
	fleet := newFleetModel()
	require.Equal(test, 4, fleet.plan(observed, 0).steps)
	require.Zero(test, fleet.plan(observed, 2).steps)
	fleet.large = []int{1, 1, 0, 0, 1, 0}
	plan := fleet.plan(observed, 0)
	require.Equal(test, 1, plan.steps)
	require.Equal(test, "d0", plan.domains[0])
	fleet.large = []int{1, 0, 0, 0, 1, 0}
	require.Zero(test, fleet.plan(observed, 0).steps)
}

// Guards against leaders that convert for the same need: one that sees the replica of another
// fabric domain drain counts on what its VMs will form.
func TestSplitExpectsReplicasOfOthers(test *testing.T) {
	input := splitInput{pools: []poolState{
		{spec: largeSpec, placed: 4, ready: 4, draining: 2},
		{spec: smallSpec, placed: 24, ready: 24},
	}}
	input.expect(2 * largeSpec.Size)
	require.Equal(test, 4, input.pools[0].placed)
	require.Equal(test, 32, input.pools[1].placed)
}

// Guards against a demand that is derived from counts with a gap, or too early.
func TestDemandTrackerWaits(test *testing.T) {
	fleet := newFleetModel()
	start := time.Unix(1000, 0)
	tracker := NewDemandTracker(false)
	known := func(second int) bool {
		now := start.Add(time.Duration(second) * time.Second)
		tracker.Observe(now, fleet.loads(40, 422))
		_, found := tracker.Demand(now)
		return found
	}
	for second := range 10 {
		require.False(test, known(second), second)
	}
	require.True(test, known(10))
	require.False(test, known(20))
}
