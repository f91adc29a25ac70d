// Package limit decides which requests of which workspace run now, wait or
// are refused.
//
// A Queue admits requests up to the node's capacity. Under contention it
// divides the capacity among workspaces by weight, counted in requests in
// progress, so that a workspace with many or long requests cannot starve a
// small one. A request that cannot meet its deadline is refused early; among
// those that wait, the ones that can still finish are served, and not the
// ones that waited longest. FIFO order under overload spends the capacity on
// requests whose callers have given up.
//
// A workspace's limit holds over all nodes. Each node takes its share from the
// demand that the others announced, without a call per request.
//
// A RetryBudget bounds retries relative to requests.
//
// # Load at its worst
//
// Where targets tell little and all nodes share them, the decisions are split
// by the load that they answer, each with a test that replays it:
//
//   - Forecast predicts the first event of a stream, so that a load above the
//     capacity that is left keeps what is served on time.
//   - Return spreads the callers that were refused in one moment.
//   - Allowance bounds the retries of all nodes after the loss of many targets.
//   - Loads and Window bound the loads from the weight store after losses that
//     go on.
//
// The package does no input or output, starts no goroutine and reads no
// clock. A Queue is not safe for concurrent use.
//
// # Usage
//
//	queue := limit.NewQueue(limit.Config{Node: "entry-1", Capacity: 512, QueueLimit: 1024})
//	queue.SetWorkspaces([]limit.Workspace{{Name: "zarnesti", Weight: 1, Limit: 100}})
//	for _, effect := range queue.Offer(request, now) {
//		switch effect := effect.(type) {
//		case limit.Admit:  // run effect.ID
//		case limit.Refuse: // answer effect.ID with not-run
//		}
//	}
//	// A request with no effect waits.
//	effects := queue.Finish(request.ID, now)
//
//	forecast := limit.NewForecast(limit.ForecastConfig{Memory: time.Second})
//	forecast.Gap("group-1", gap, now) // between two events of a stream
//	if forecast.First("group-1", pace, load, now) > objective {
//		retryAfter := limit.Return(left, draw)
//	}
package limit

import "time"

// A Workspace is the part of a workspace's configuration that admission uses.
type Workspace struct {
	Name   string
	Weight int

	// Limit bounds the requests in progress over all nodes, 0 for no limit.
	Limit int
}

// A Request asks for admission.
type Request struct {
	// ID is unique in the process.
	ID        uint64
	Workspace string

	// Class groups requests of similar duration, for example a route. The time
	// that a request will take is estimated from its class.
	Class string

	// Pool names the targets that the request needs, empty for none. SetPool
	// bounds the requests of a pool.
	Pool string

	// Priority orders requests within a workspace; higher is first.
	Priority int
	Deadline time.Time
}

// An Effect is Admit or Refuse.
type Effect interface{ effect() }

// Admit says that a request runs now.
type Admit struct{ ID uint64 }

// Refuse says that a request is not run.
type Refuse struct {
	ID         uint64
	Cause      RefuseCause
	RetryAfter time.Duration
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// RefuseCause says why a request was refused.
type RefuseCause string

// The causes of a refusal.
const (
	// RefuseDeadline is a request that cannot meet its deadline.
	RefuseDeadline RefuseCause = "deadline"

	// RefuseQueue is a request for which the queue has no room.
	RefuseQueue RefuseCause = "queue-full"

	// RefuseWorkspace is a request of a workspace that the configuration does
	// not contain.
	RefuseWorkspace RefuseCause = "unknown-workspace"
)

// Usage is the demand of one workspace at one node.
type Usage struct {
	Workspace string
	InFlight  int
	Queued    int
}

// NodeUsage is what another node announced.
type NodeUsage struct {
	Node       string
	Workspaces []Usage
}
