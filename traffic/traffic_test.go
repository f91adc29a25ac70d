package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
)

// fleet is a set of exchanges whose posts arrive at once.
type fleet struct {
	now       time.Time
	exchanges map[string]*Exchange
	domains   map[string][]string
	down      map[string]bool
	order     []string
	posts     int
}

// newFleet returns nodes "z/n" in zones, ranked by name.
func newFleet(zones, nodes int) *fleet {
	fleet := &fleet{now: time.Unix(1000, 0), exchanges: map[string]*Exchange{}, domains: map[string][]string{}, down: map[string]bool{}}
	for zone := range zones {
		for node := range nodes {
			name := fmt.Sprintf("%d/%02d", zone, node)
			fleet.order = append(fleet.order, name)
			fleet.exchanges[name] = New(Config{Node: name})
		}
	}
	for _, name := range fleet.order {
		fleet.exchanges[name].SetHubs(fleet.ranked(name[:1], zones), zones*nodes)
	}
	return fleet
}

func (fleet *fleet) ranked(own string, zones int) [][]Hub {
	var domains [][]Hub
	for offset := range zones {
		zone := (int(own[0]-'0') + offset) % zones
		var hubs []Hub
		for node := range 3 {
			name := fmt.Sprintf("%d/%02d", zone, node)
			hubs = append(hubs, Hub{Node: name, Address: name})
		}
		domains = append(domains, hubs)
	}
	return domains
}

// run lets time pass in steps of 50 ms.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); fleet.now = fleet.now.Add(50 * time.Millisecond) {
		for _, name := range fleet.order {
			if fleet.down[name] {
				continue
			}
			for _, post := range fleet.exchanges[name].Due(fleet.now) {
				fleet.posts++
				if fleet.down[post.Address] {
					fleet.exchanges[name].Failed(post, fleet.now)
					continue
				}
				answer := fleet.exchanges[post.Address].Receive(post.Message, fleet.now)
				fleet.exchanges[name].Answered(post, answer, fleet.now, fleet.now)
			}
		}
	}
}

// requireOthers requires that all running nodes have the same counts, each for the others.
func (fleet *fleet) requireOthers(test *testing.T, running int) {
	for _, name := range fleet.order {
		if fleet.down[name] {
			continue
		}
		use, age, fresh := fleet.exchanges[name].Group("group", fleet.now)
		require.True(test, fresh, name)
		require.Equal(test, running, use.Running, name)
		require.LessOrEqual(test, age, ageIntervals*Interval)
	}
}

func TestEachNodeHasTheSumOfTheOthers(test *testing.T) {
	fleet := newFleet(3, 7)
	uses := map[string]*Use{}
	for _, name := range fleet.order {
		exchange := fleet.exchanges[name]
		exchange.Arrived("pool", fleet.now)
		uses[name] = exchange.Begin("pool", "group", 100, fleet.now)
		exchange.Begin("pool", "group", 50, fleet.now).FirstEvent(fleet.now.Add(20 * time.Millisecond))
	}
	fleet.run(time.Second)
	fleet.requireOthers(test, 40)
	use, _, _ := fleet.exchanges["1/04"].Group("group", fleet.now)
	require.Equal(test, 20, use.Waiting)
	require.Equal(test, 2000, use.UnreadTokens)
	_, _, fresh := fleet.exchanges["1/04"].Group("other", fleet.now)
	require.True(test, fresh, "a group without requests has a sum too")
	pools, _, _ := fleet.exchanges["2/05"].Pools(fleet.now)
	require.Len(test, pools, 1)
	require.Greater(test, pools[0].Arrivals, 21*math.Exp(-1), "21 requests a second ago")
	require.Less(test, pools[0].Arrivals, 21*math.Exp(-0.4), "and counts that are up to 600 ms old")
	for _, use := range uses {
		use.End(fleet.now)
	}
	fleet.run(time.Second)
	fleet.requireOthers(test, 20)
}

// The sums of a dead hub end, and nothing is counted twice for longer than the bound.
func TestAnotherHubReplacesADeadOne(test *testing.T) {
	fleet := newFleet(3, 7)
	for _, name := range fleet.order {
		fleet.exchanges[name].Begin("pool", "group", 100, fleet.now)
	}
	fleet.run(time.Second)
	fleet.down["0/00"] = true
	highest := 0
	for range 20 {
		fleet.run(50 * time.Millisecond)
		use, _, _ := fleet.exchanges["1/03"].Group("group", fleet.now)
		highest = max(highest, use.Running)
	}
	require.LessOrEqual(test, highest, 20+7, "more than one failure domain is counted twice")
	fleet.requireOthers(test, 19)
	fleet.down["0/00"] = false
	fleet.run(2 * time.Second)
	fleet.requireOthers(test, 20)
}

func TestNodeWithoutAHubHasNoSum(test *testing.T) {
	fleet := newFleet(2, 5)
	for _, name := range fleet.order {
		fleet.exchanges[name].Begin("pool", "group", 100, fleet.now)
	}
	fleet.run(time.Second)
	for hub := range 3 {
		fleet.down[fmt.Sprintf("0/%02d", hub)] = true
	}
	fleet.run(ageIntervals*Interval + 100*time.Millisecond)
	_, _, fresh := fleet.exchanges["0/04"].Group("group", fleet.now)
	require.False(test, fresh)
	use, _, fresh := fleet.exchanges["1/04"].Group("group", fleet.now)
	require.True(test, fresh)
	require.Equal(test, 4, use.Running, "the failure domain without a hub still counts")
	fleet.exchanges["1/04"].SetHubs(nil, 2)
	_, _, fresh = fleet.exchanges["1/04"].Group("group", fleet.now)
	require.False(test, fresh, "a small fleet has no sums")
}

// A hub that reaches no other node would else take all groups for idle.
func TestSumOfLessThanHalfOfTheNodesIsNone(test *testing.T) {
	fleet := newFleet(3, 4)
	fleet.run(time.Second)
	fleet.requireOthers(test, 0)
	for _, name := range fleet.order {
		fleet.down[name] = name != "0/00"
	}
	fleet.run(time.Second)
	_, _, fresh := fleet.exchanges["0/00"].Group("group", fleet.now)
	require.False(test, fresh)
}

func TestNodesThatRankDifferentlyCountOnce(test *testing.T) {
	fleet := newFleet(1, 8)
	stray := Hub{Node: "0/06", Address: "0/06"}
	for _, name := range []string{"0/06", "0/07"} {
		fleet.exchanges[name].SetHubs([][]Hub{{stray, {Node: "0/00", Address: "0/00"}}}, 8)
	}
	for _, name := range fleet.order {
		fleet.exchanges[name].Begin("pool", "group", 100, fleet.now)
	}
	fleet.run(2 * time.Second)
	for _, name := range fleet.order {
		use, _, fresh := fleet.exchanges[name].Group("group", fleet.now)
		apart := name == "0/06" || name == "0/07"
		require.Equal(test, !apart, fresh, "%s: two of eight nodes are no sum", name)
		if fresh {
			require.Equal(test, 5, use.Running, name)
		}
	}
}

func TestFaultyCountsAreDropped(test *testing.T) {
	fleet := newFleet(1, 4)
	fleet.run(time.Second)
	hub := fleet.exchanges["0/00"]
	hub.Receive(Message{Node: "0/03", Nodes: -4, Groups: []GroupUse{
		{Group: "group", Running: -8}, {Group: "group", Running: 1, Waiting: 2}, {Group: "group", Running: 3, FirstEvent: -1}, {Group: "group", Running: 1},
	}, Pools: []PoolUse{{Pool: "pool", Arrivals: -1}}}, fleet.now)
	use, _, _ := hub.Group("group", fleet.now)
	require.Equal(test, 1, use.Running)
	pools, _, _ := hub.Pools(fleet.now)
	require.Empty(test, pools)
}

// 84 nodes send 640 requests a second to 24 groups of 30 places. One group was just opened and is
// empty: with counts that are 200 to 400 ms old, choosing the least loaded group sends it some
// 200 requests before its load is seen.
func TestNodesDoNotAllChooseTheEmptyGroup(test *testing.T) {
	const groups, perStep, steps = 24, 32, 160
	pace := limit.Pace{Pass: 25 * time.Millisecond, ReadPerToken: 20 * time.Microsecond, Slots: 30, Events: 31, MeanPromptTokens: 700}
	fleet := newFleet(3, 28)
	random := rand.New(rand.NewPCG(1, 2))
	type request struct {
		use  *Use
		ends time.Time
		at   int
	}
	var running []request
	loads := [groups]int{}
	highest := 0
	for step := range steps {
		running = slices.DeleteFunc(running, func(each request) bool {
			if fleet.now.Before(each.ends) {
				return false
			}
			each.use.End(fleet.now)
			loads[each.at]--
			return true
		})
		open := groups
		if step < steps/2 {
			open--
		}
		for range perStep {
			exchange := fleet.exchanges[fleet.order[random.IntN(len(fleet.order))]]
			exchange.Arrived("pool", fleet.now)
			use, horizon, _ := exchange.Pool("pool", fleet.now)
			places := make([]limit.Place, open)
			for group := range places {
				name := fmt.Sprint(group)
				others, _, _ := exchange.Group(name, fleet.now)
				load := others.Running
				if own := exchange.groups[name]; own != nil {
					load += own.running
				}
				places[group] = limit.Place{Room: pace.Room(load, 0, time.Second, horizon), Left: pace.Left(load, horizon)}
			}
			chosen, found := limit.Spread(places, use.Arrivals*horizon.Seconds(), random.Float64())
			if !found {
				continue
			}
			running = append(running, request{use: exchange.Begin("pool", fmt.Sprint(chosen), 700, fleet.now), ends: fleet.now.Add(300*time.Millisecond + time.Duration(random.Int64N(int64(1200*time.Millisecond)))), at: chosen})
			loads[chosen]++
		}
		fleet.run(50 * time.Millisecond)
		if step > steps/4 {
			highest = max(highest, slices.Max(loads[:]))
		}
	}
	require.Less(test, highest, 45, "half of the places of a group may be queued for")
	require.Greater(test, loads[groups-1], 8, "the new group is used")
}
