package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/workload"
)

func newQueue(capacity, queueLimit int, workspaces ...limit.Workspace) *limit.Queue {
	queue := limit.NewQueue(limit.Config{Node: "n0", Capacity: capacity, QueueLimit: queueLimit})
	queue.SetWorkspaces(workspaces)
	return queue
}

func request(id uint64, workspace string, deadline time.Duration) limit.Request {
	return limit.Request{ID: id, Workspace: workspace, Class: workspace, Deadline: workload.Start.Add(deadline)}
}

// Guards against an unbounded queue, and against a queue that a large workspace
// fills up.
func TestQueueBound(t *testing.T) {
	queue := newQueue(1, 2, limit.Workspace{Name: "large", Weight: 1}, limit.Workspace{Name: "small", Weight: 1})
	require.Equal(t, []limit.Effect{limit.Admit{ID: 1}}, queue.Offer(request(1, "large", time.Hour), workload.Start))
	require.Empty(t, queue.Offer(request(2, "large", time.Hour), workload.Start))
	require.Empty(t, queue.Offer(request(3, "large", 2*time.Hour), workload.Start))
	full := queue.Offer(request(4, "large", time.Hour), workload.Start)
	require.Equal(t, []limit.Effect{limit.Refuse{ID: 4, Cause: limit.RefuseQueue, RetryAfter: time.Second}}, full)
	evicted := queue.Offer(request(5, "small", time.Hour), workload.Start)
	require.Equal(t, []limit.Effect{limit.Refuse{ID: 3, Cause: limit.RefuseQueue, RetryAfter: time.Second}}, evicted)
	require.Equal(t, []limit.Usage{{Workspace: "large", InFlight: 1, Queued: 1}, {Workspace: "small", Queued: 1}}, queue.Usage())
	queue.Abandon("large", 2)
	require.Equal(t, []limit.Effect{limit.Admit{ID: 5}}, queue.Finish(1, workload.Start.Add(time.Second)))
	require.Empty(t, queue.Finish(1, workload.Start), "a second Finish has no effect")
	require.Equal(t, 1, queue.InFlight())
}

// Guards against a request that waits although it cannot meet its deadline.
func TestDeadlineRefusedEarly(t *testing.T) {
	queue := newQueue(1, 10, limit.Workspace{Name: "w", Weight: 1})
	queue.Offer(request(1, "w", time.Hour), workload.Start)
	queue.Finish(1, workload.Start.Add(10*time.Second))
	now := workload.Start.Add(10 * time.Second)
	require.Equal(t, []limit.Effect{limit.Admit{ID: 2}}, queue.Offer(request(2, "w", 11*time.Second), now), "with room, a request needs no estimate")
	refused := queue.Offer(request(3, "w", 39*time.Second), now)
	require.Equal(t, []limit.Effect{limit.Refuse{ID: 3, Cause: limit.RefuseDeadline, RetryAfter: 10 * time.Second}}, refused)
	require.Empty(t, queue.Offer(request(4, "w", 41*time.Second), now))
	late := queue.Finish(2, now.Add(12*time.Second))
	require.Len(t, late, 1)
	require.IsType(t, limit.Refuse{}, late[0])
	require.Equal(t, limit.RefuseWorkspace, queue.Offer(request(5, "x", time.Hour), now)[0].(limit.Refuse).Cause)
	require.Equal(t, limit.RefuseDeadline, queue.Offer(request(6, "w", time.Second), now)[0].(limit.Refuse).Cause)
}

// Guards against priorities and weights that have no effect.
func TestOrderAndWeights(t *testing.T) {
	queue := newQueue(4, 100, limit.Workspace{Name: "a", Weight: 3}, limit.Workspace{Name: "b", Weight: 1})
	for id := range uint64(4) {
		queue.Offer(request(id, "b", time.Hour), workload.Start)
	}
	for id := uint64(10); id < 20; id++ {
		waiting := request(id, "a", time.Hour)
		if id == 15 {
			waiting.Priority = 1
		}
		queue.Offer(waiting, workload.Start)
		queue.Offer(request(id+10, "b", time.Hour), workload.Start)
	}
	var order []limit.Effect
	for id := range uint64(4) {
		order = append(order, queue.Finish(id, workload.Start)...)
	}
	want := []limit.Effect{limit.Admit{ID: 15}, limit.Admit{ID: 10}, limit.Admit{ID: 11}, limit.Admit{ID: 20}}
	require.Equal(t, want, order)
}

// Guards against nodes that together exceed a workspace's limit, even if all of
// them grow between two announcements, and against requests that wait although
// the limit allows them.
func TestSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 8).Draw(t, "demand")
		nodes := len(demand)
		maximum := rapid.IntRange(nodes, 60).Draw(t, "limit")
		queues := make([]*limit.Queue, nodes)
		for node := range queues {
			queues[node] = limit.NewQueue(limit.Config{Node: fmt.Sprint("n", node), Capacity: 1000, QueueLimit: 1000})
			queues[node].SetWorkspaces([]limit.Workspace{{Name: "w", Weight: 1, Limit: maximum}})
		}
		lastID := uint64(0)
		offer := func(node, count int) {
			for range count {
				lastID++
				queues[node].Offer(request(lastID, "w", time.Hour), workload.Start)
			}
		}
		inFlight := func() (total int) {
			for _, queue := range queues {
				total += queue.InFlight()
			}
			return total
		}
		wanted := 0
		exchangeUsage(queues)
		for node, count := range demand {
			offer(node, count)
			wanted += count
		}
		require.LessOrEqual(t, inFlight(), maximum)
		exchangeUsage(queues)
		require.Equal(t, min(maximum, wanted), inFlight())
		for node := range queues {
			offer(node, maximum)
		}
		rest := max(0, maximum-wanted)
		excess := 0
		if rest > 0 && rest < nodes {
			excess = nodes - rest
		}
		require.LessOrEqual(t, inFlight(), maximum+excess)
	})
}

// Guards against shares that exceed the limit while demand moves between nodes,
// and against requests that are never admitted.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		maximum := rapid.IntRange(1, 12).Draw(t, "limit")
		queues := make([]*limit.Queue, nodes)
		running := make([][]uint64, nodes)
		take := func(node int, effects []limit.Effect) {
			running[node] = append(running[node], admitted(effects)...)
		}
		for node := range queues {
			queues[node] = limit.NewQueue(limit.Config{Node: fmt.Sprint("n", node), Capacity: 1000, QueueLimit: 1000})
			queues[node].SetWorkspaces([]limit.Workspace{{Name: "w", Weight: 1, Limit: maximum}})
		}
		inFlight := func() (total int) {
			for node, queue := range queues {
				require.Len(t, running[node], queue.InFlight())
				total += queue.InFlight()
			}
			return total
		}
		exchange := func() {
			for node, effects := range exchangeUsage(queues) {
				take(node, effects)
			}
			require.Less(t, inFlight(), maximum+nodes)
		}
		finish := func(node int) {
			if len(running[node]) > 0 {
				id := running[node][0]
				running[node] = running[node][1:]
				take(node, queues[node].Finish(id, workload.Start))
			}
		}
		exchange()
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				exchange()
			case 1:
				finish(node)
			default:
				take(node, queues[node].Offer(request(id, "w", time.Hour), workload.Start))
			}
			require.Less(t, inFlight(), maximum+nodes)
		}
		for round := 0; round < 200; round++ {
			exchange()
			for node := range queues {
				finish(node)
			}
		}
		for _, queue := range queues {
			require.Zero(t, queue.InFlight()+queue.Waiting())
		}
	})
}

func admitted(effects []limit.Effect) []uint64 {
	var ids []uint64
	for _, effect := range effects {
		if admit, isAdmit := effect.(limit.Admit); isAdmit {
			ids = append(ids, admit.ID)
		}
	}
	return ids
}

// exchangeUsage sets the demand of every queue at all other queues and returns
// the effects for each queue.
func exchangeUsage(queues []*limit.Queue) [][]limit.Effect {
	announced := make([]limit.NodeUsage, len(queues))
	for node, queue := range queues {
		announced[node] = limit.NodeUsage{Node: fmt.Sprint("n", node), Workspaces: queue.Usage()}
	}
	effects := make([][]limit.Effect, len(queues))
	for node, queue := range queues {
		others := append(append([]limit.NodeUsage(nil), announced[:node]...), announced[node+1:]...)
		effects[node] = queue.SetOthers(others, workload.Start)
	}
	return effects
}

// Guards against retries that multiply the load while targets fail.
func TestRetryBudget(t *testing.T) {
	budget := limit.NewRetryBudget(10)
	retries := 0
	for range 1000 {
		budget.Request("w")
		for budget.Retry("w") {
			retries++
		}
	}
	require.Equal(t, 110-1, retries, "10 per 100 requests and a burst of 10; at the first request the bucket is full")
	require.True(t, budget.Retry("other"))
	budget.SetPercent(0)
	require.False(t, budget.Retry("other"))
}
