package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limitStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// The platform's rule LIMIT: in ruleWindow, ruleFactor times the limit and ruleSlack
// requests more.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

func limitNodes(count int) ([]string, []*TargetLimits) {
	var names []string
	var nodes []*TargetLimits
	for index := range count {
		names = append(names, fmt.Sprintf("node-%03d", index))
	}
	for _, name := range names {
		node := NewTargetLimits(name)
		node.SetNodes(names, limitStart)
		nodes = append(nodes, node)
	}
	return names, nodes
}

// A limitLoad sends requests of all nodes to one target, each node demand requests a
// second.
type limitLoad struct {
	nodes  []*TargetLimits
	random *rand.Rand
	demand float64
	rate   float64
	sent   []time.Time

	// stopped is the number of nodes, from the first one, that are not running.
	stopped int
}

// step plays one step of time.
func (load *limitLoad) step(now time.Time, step time.Duration) {
	for index, node := range load.nodes {
		if index < load.stopped {
			continue
		}
		for left := load.demand * step.Seconds(); load.random.Float64() < left; left-- {
			if !node.Full("t", now) && node.Take("t", now) {
				load.sent = append(load.sent, now)
				node.Observe("t", load.rate, now, now)
			}
		}
	}
}

// most returns the largest number of requests in any ruleWindow from a time on.
func (load *limitLoad) most(from time.Time) int {
	most, first := 0, 0
	for index, at := range load.sent {
		for at.Sub(load.sent[first]) >= ruleWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, index-first+1)
		}
	}
	return most
}

// Guards against a sum over the limit in fleets of any size, while all nodes press, press
// again after a pause at the same moment, or lose and gain members; and against a limit
// of which little is used, at the cost of sound requests.
func TestSumOfAllNodesKeepsToTheLimit(test *testing.T) {
	const step = 20 * time.Millisecond
	for _, count := range []int{1, 2, 6, 8, 33, 295, 730} {
		for _, rate := range []float64{0.3, 1.4, 4.3, 7.9, 25, 200} {
			names, nodes := limitNodes(count)
			load := &limitLoad{nodes: nodes, random: rand.New(rand.NewPCG(uint64(count), 1)), demand: 20 * max(1, rate/float64(count)), rate: rate}
			for _, node := range nodes {
				node.Observe("t", rate, limitStart, limitStart)
			}
			now := limitStart
			for range int(20 * time.Second / step) {
				now = now.Add(step)
				load.step(now, step)
			}
			used := float64(len(load.sent)) / now.Sub(limitStart).Seconds()
			now = now.Add(20 * time.Second)
			for index := range int(20 * time.Second / step) {
				now = now.Add(step)
				if index%50 == 0 && count > 2 {
					load.stopped = load.random.IntN(count / 2)
				}
				for _, node := range nodes {
					// The nodes receive a change one after the other.
					if load.random.IntN(10) == 0 {
						node.SetNodes(names[load.stopped:], now)
					}
				}
				load.step(now, step)
			}
			allowed := ruleFactor*rate*ruleWindow.Seconds() + ruleSlack
			require.LessOrEqual(test, float64(load.most(limitStart)), allowed, "%d nodes, limit %v", count, rate)
			require.GreaterOrEqual(test, used, rate/2, "%d nodes, limit %v: too little of it is used", count, rate)
		}
	}
}

// Guards against nodes without a share that use a target which has ended its limit much
// later than the others, or all ask it at once.
func TestEndOfALimitReachesNodesWithoutAShare(test *testing.T) {
	_, nodes := limitNodes(100)
	now := limitStart
	for _, node := range nodes {
		node.Observe("t", 5, now, now)
	}
	told := func(rate float64) int {
		count := 0
		for range 24 {
			now = now.Add(publishStep / 2)
			var changes []SharedLimit
			for _, node := range nodes {
				changes = append(changes, node.TakeChanges(now)...)
			}
			count += len(changes)
			for _, change := range changes {
				require.Equal(test, SharedLimit{Target: "t", Rate: rate}, change)
				for _, node := range nodes {
					node.Share(change, now)
				}
			}
		}
		return count
	}
	require.Equal(test, 1, told(5), "nodes tell the others")
	ended := 0
	for _, node := range nodes {
		if !node.Full("t", now) {
			require.IsType(test, LimitEnded{}, node.Observe("t", 0, now.Add(time.Millisecond), now.Add(time.Second)))
			ended++
		}
	}
	require.Equal(test, 10, ended, "nodes with a share of 5 requests a second in 2 s")
	now = now.Add(time.Second)
	require.Equal(test, 1, told(0))
	for _, node := range nodes {
		require.False(test, node.Full("t", now))
	}
}

// Guards against a change that is published with each answer while the store does not take it.
func TestUntakenChangeIsToldFromTimeToTime(test *testing.T) {
	_, nodes := limitNodes(100)
	told := 0
	for step := range 100 {
		now := limitStart.Add(time.Duration(step) * tellInterval / 50)
		for _, node := range nodes {
			node.Observe("t", 5, now, now)
			told += len(node.TakeChanges(now))
		}
	}
	require.Equal(test, 2*10, told, "10 nodes with a share, for two intervals")
}

// Guards against a node without a share that never uses a target again when nobody publishes
// it that the limit has ended.
func TestNodeWithoutAShareAsksFromTimeToTime(test *testing.T) {
	_, nodes := limitNodes(100)
	asked := map[int]int{}
	const step = 100 * time.Millisecond
	for now := limitStart; now.Before(limitStart.Add(turnFactor * 100 / 5 * time.Second)); now = now.Add(step) {
		together := 0
		for index, node := range nodes {
			if node.targets["t"] == nil {
				node.Observe("t", 5, limitStart, limitStart)
			}
			if node.targets["t"].window == nil && node.Take("t", now) {
				asked[index]++
				together++
			}
		}
		require.LessOrEqual(test, together, 1, "nodes ask together")
	}
	require.Len(test, asked, 90)
	for index, count := range asked {
		require.Equal(test, 1, count, "node %d", index)
	}
}

// Guards against an answer that overtakes another one and ends a limit that still holds.
func TestOvertakenAnswerDoesNotEndALimit(test *testing.T) {
	node := NewTargetLimits("a")
	require.Equal(test, LimitNamed{Rate: 2, Share: 4}, node.Observe("t", 2, limitStart, limitStart.Add(time.Second)))
	require.Nil(test, node.Observe("t", 2.1, limitStart, limitStart.Add(time.Second)), "a small change is told")
	require.Nil(test, node.Observe("t", 0, limitStart.Add(time.Second/2), limitStart.Add(2*time.Second)))
	require.Equal(test, 1, node.Limited())
	require.Equal(test, LimitEnded{}, node.Observe("t", 0, limitStart.Add(1500*time.Millisecond), limitStart.Add(2*time.Second)))
	require.Zero(test, node.Limited())
}

// Guards against limits close to 0 and records that are not a limit.
func TestOddLimitsAreBounded(test *testing.T) {
	node := NewTargetLimits("a")
	node.SetNodes([]string{"a", "b"}, limitStart)
	for _, rate := range []float64{1e-300, 1e-9, 2e9} {
		node.Observe("t", rate, limitStart, limitStart)
		taken := 0
		for range 20 {
			if node.Take("t", limitStart) {
				taken++
			}
		}
		require.Equal(test, rate > 1, taken == 20, rate)
	}
	node.Share(SharedLimit{Target: "s", Rate: -1}, limitStart)
	require.Equal(test, 1, node.Limited())
	node.Retain(map[string]bool{}, limitStart)
	require.Equal(test, 1, node.Limited(), "a limit is forgotten as its target leaves the table")
	node.Retain(map[string]bool{}, limitStart.Add(limitMemory))
	require.Zero(test, node.Limited())
}

// BenchmarkChangeOfNodes measures what a change of 730 nodes costs a node that has 100
// limited targets.
func BenchmarkChangeOfNodes(b *testing.B) {
	names, nodes := limitNodes(730)
	for index := range 100 {
		nodes[0].Observe(fmt.Sprint("t", index), 5, limitStart, limitStart)
	}
	for index := range b.N {
		nodes[0].SetNodes(names[index%2:], limitStart)
	}
}
