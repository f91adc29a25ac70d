package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testColdRate is that of srl-quotes-grown, whose rules allow 30.5 requests in any second.
const testColdRate = 17

// A coldNode is a node of a coldFleet. behind is by how much its list is behind, cut is since
// when it neither reads the list nor renews its lease, and ended since when it has ended.
type coldNode struct {
	cold       *ColdTargets
	name       string
	behind     time.Duration
	cut, ended time.Time
}

// listed reports whether the node is in the list at a time: with a lease of 3 s.
func (node *coldNode) listed(at time.Time) bool {
	const lease = 3 * time.Second
	return (node.cut.IsZero() || at.Sub(node.cut) < lease) && (node.ended.IsZero() || at.Sub(node.ended) < lease)
}

// A coldFleet is a fleet whose nodes would send requests to all targets all the time.
type coldFleet struct {
	random  *rand.Rand
	nodes   []*coldNode
	now     time.Time
	targets []string

	// sent holds the times of the requests to each target, and lists the lists of nodes of
	// past times.
	sent  map[string][]time.Time
	lists map[time.Time][]string
}

func newColdFleet(count int) *coldFleet {
	fleet := &coldFleet{random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), targets: []string{"a", "b", "c"}, sent: map[string][]time.Time{}, lists: map[time.Time][]string{}}
	for index := range count {
		fleet.add(fmt.Sprint("node-", index))
	}
	return fleet
}

func (fleet *coldFleet) add(name string) *coldNode {
	added := &coldNode{name: name, behind: time.Duration(fleet.random.IntN(32)) * coldTick}
	added.cold = NewColdTargets(ColdTargetsConfig{Node: name, MinNodes: 3})
	fleet.nodes = append(fleet.nodes, added)
	return added
}

const coldTick = 25 * time.Millisecond

// run passes time in which the targets stay cold, or not.
func (fleet *coldFleet) run(duration time.Duration, cold bool) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); fleet.now = fleet.now.Add(coldTick) {
		for _, node := range fleet.nodes {
			if node.ended.IsZero() {
				fleet.runNode(node, cold)
			}
		}
	}
}

func (fleet *coldFleet) runNode(node *coldNode, cold bool) {
	if node.cut.IsZero() && fleet.random.IntN(20) == 0 {
		node.cold.SetNodes(fleet.list(fleet.now.Add(-node.behind)), fleet.now)
	}
	for _, target := range fleet.targets {
		if cold {
			node.cold.SetCold(target, testColdRate, fleet.now.Add(time.Second), fleet.now)
		}
		if node.cold.Take(target, fleet.now) && fleet.random.IntN(8) > 0 && node.cold.Send(target, fleet.now) {
			fleet.sent[target] = append(fleet.sent[target], fleet.now)
		}
	}
}

// list returns the names of the nodes that the store lists at a time.
func (fleet *coldFleet) list(at time.Time) []string {
	if names, found := fleet.lists[at]; found {
		return names
	}
	var names []string
	for _, node := range fleet.nodes {
		if node.listed(at) {
			names = append(names, node.name)
		}
	}
	slices.Sort(names)
	fleet.lists[at] = slices.Compact(names)
	return fleet.lists[at]
}

// most returns the largest number of requests that a target got in any second since a time.
func (fleet *coldFleet) most(since time.Time) int {
	most := 0
	for _, sent := range fleet.sent {
		first := 0
		for index, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if !at.Before(since) {
				most = max(most, index-first+1)
			}
		}
	}
	return most
}

// rate returns the mean number of requests a second to a target since a time.
func (fleet *coldFleet) rate(since time.Time) float64 {
	count := 0
	for _, sent := range fleet.sent {
		for _, at := range sent {
			if !at.Before(since) {
				count++
			}
		}
	}
	return float64(count) / float64(len(fleet.targets)) / fleet.now.Sub(since).Seconds()
}

// A whole failure domain returns under a burst: every node would use its empty targets.
// Guards against nodes that together send a cold target more than it tolerates (rule
// FAILBACK, 10 times on the users' day), against permits that are not used, and against a
// flood at the moment at which the targets are no longer cold.
func TestReturnOfADomainStaysWithinTheRate(test *testing.T) {
	for _, count := range []int{6, 83, 730} {
		test.Run(fmt.Sprint(count), func(test *testing.T) {
			fleet := newColdFleet(count)
			fleet.run(4*time.Second, true)
			fleet.sent = map[string][]time.Time{}
			began := fleet.now
			fleet.run(3*time.Second, true)
			require.LessOrEqual(test, fleet.most(began), testColdRate)
			require.Greater(test, fleet.rate(began), 0.7*testColdRate)
			warm := fleet.now.Add(time.Second)
			fleet.run(2*time.Second-2*coldTick, false)
			require.LessOrEqual(test, fleet.most(warm), 2*testColdRate)
			fleet.run(slowStartSteps*slowStartStep, false)
			require.Greater(test, fleet.most(warm), 4*testColdRate)
		})
	}
}

// Guards against too many requests while the nodes' lists differ: half of the nodes are cut
// from the store and go on sending, others end, return with the same name and without a
// memory, or join.
func TestColdTargetsStayWithinTheirBoundWhileNodesComeAndGo(test *testing.T) {
	for _, count := range []int{6, 83} {
		test.Run(fmt.Sprint(count), func(test *testing.T) {
			fleet := newColdFleet(count)
			fleet.run(4*time.Second, true)
			for index, node := range slices.Clone(fleet.nodes) {
				switch index % 6 {
				case 0, 2, 4:
					node.cut = fleet.now.Add(-time.Duration(fleet.random.IntN(1500)) * time.Millisecond)
				case 1:
					node.ended = fleet.now
				case 3:
					node.ended = fleet.now
					fleet.add(node.name)
				default:
					fleet.add(fmt.Sprint("joined-", index))
				}
			}
			began := fleet.now
			fleet.run(25*time.Second, true)
			require.LessOrEqual(test, fleet.most(began), testColdRate)
			// What the lost nodes had is dealt again in the end.
			require.Greater(test, fleet.rate(fleet.now.Add(-5*time.Second)), 0.5*testColdRate)
		})
	}
}

// Guards against a node that sends although it cannot see the others: it has just started, or
// its lease has ended.
func TestNodeWithoutTheOthersSendsNothingToColdTargets(test *testing.T) {
	now := time.Unix(1000, 0)
	node := NewColdTargets(ColdTargetsConfig{Node: "a"})
	node.SetCold("t", testColdRate, now.Add(time.Hour), now)
	require.True(test, node.Full("t", now))
	require.True(test, node.Take("warm", now) && node.Send("warm", now))
	node.SetNodes([]string{"a"}, now)
	require.True(test, node.Full("t", now.Add(joinTime-1)))
	require.False(test, node.Full("t", now.Add(joinTime)))
	node.SetNodes([]string{"b"}, now.Add(listMaxAge+1))
	require.True(test, node.Full("t", now.Add(listMaxAge+1)))
	node.SetNodes([]string{"a", "b"}, now.Add(time.Minute))
	require.True(test, node.Full("t", now.Add(time.Minute)), "it joins again")
	require.False(test, node.Full("t", now.Add(time.Minute+joinTime)))
}

// Guards against requests that were on their way to a target when it became cold, and against
// a permit that counts from the choice of the target although connecting takes longer.
func TestPermitCountsFromTheWrite(test *testing.T) {
	now := time.Unix(1000, 0)
	node := NewColdTargets(ColdTargetsConfig{Node: "a"})
	node.SetNodes([]string{"a"}, now.Add(-joinTime))
	more := NewColdTargets(ColdTargetsConfig{Node: "a", Overage: 1.5})
	more.SetNodes([]string{"a"}, now.Add(-joinTime))
	more.SetCold("t", 2, now.Add(time.Hour), now)
	for range 3 {
		require.True(test, more.Take("t", now))
	}
	require.False(test, more.Take("t", now), "the overage is the bound")
	require.True(test, node.Take("t", now))
	require.True(test, node.Take("t", now))
	node.SetCold("t", 1, now.Add(time.Hour), now)
	require.True(test, node.Send("t", now))
	require.False(test, node.Send("t", now))
	later := now.Add(coldWindow)
	require.True(test, node.Take("t", later))
	require.False(test, node.Take("t", later))
	written := later.Add(coldWindow - 1)
	require.True(test, node.Send("t", written))
	require.True(test, node.Full("t", later.Add(coldWindow)))
	require.False(test, node.Full("t", written.Add(coldWindow)))
}
