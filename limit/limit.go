// Package limit decides whether a request of a workspace runs now, waits or is
// refused.
//
// A Queue admits requests up to the node's capacity. Under contention it
// divides the capacity among workspaces by weight, counted in requests in
// progress, so that a workspace with many or long requests cannot starve a
// small one. A request that cannot meet its deadline is refused early. Among
// the waiting requests, those that can still finish in time are served, not
// those that waited longest: FIFO order under overload spends the capacity on
// requests whose callers have given up.
//
// A workspace's limit applies to the sum over all nodes. Each node computes its
// share from the demand that the other nodes announced, without a call per
// request.
//
// A RetryBudget bounds retries relative to requests.
//
// # Overload and loss of targets
//
// If targets report little and are shared by all nodes, separate types bound
// different kinds of load. Each has a test that simulates the load:
//
//   - Forecast predicts the first event of a stream, so that under load above
//     the remaining capacity the accepted streams stay on time.
//   - RetryDelay spreads the retries of callers that were refused at the
//     same time.
//   - RetryAllowance bounds the retries of all nodes after the loss of many
//     targets.
//   - LoadLimiter and Window bound the loads of weights from the weight store
//     while losses continue.
//
// The package does no input or output, starts no goroutine and does not read
// the clock. A Queue is not safe for concurrent use.
//
// # Usage
//
//	queue := limit.NewQueue(limit.Config{Node: "entry-1", Capacity: 512, QueueLimit: 1024})
//	queue.SetWorkspaces([]limit.Workspace{{Name: "zarnesti", Weight: 1, Limit: 100}})
//	for _, effect := range queue.Offer(request, now) {
//		switch effect := effect.(type) {
//		case limit.Admit:  // run effect.ID
//		case limit.Refuse: // respond to effect.ID with not-run
//		}
//	}
//	// A request without an effect waits.
//	effects := queue.Finish(request.ID, now)
//
//	forecast := limit.NewForecast(limit.ForecastConfig{GapMaxAge: time.Second})
//	forecast.RecordGap("group-1", gap, now) // after each further event of a stream
//	if forecast.PredictFirstEvent("group-1", pace, load, now) > objective {
//		retryAfter := limit.RetryDelay(left, draw)
//	}
package limit

import "time"

// A Workspace is the part of a workspace's configuration that is used for
// admission.
type Workspace struct {
	Name   string
	Weight int

	// Limit bounds the requests in progress over all nodes; 0 means no limit.
	Limit int
}

// A Request is a request for admission.
type Request struct {
	// ID is unique in the process.
	ID        uint64
	Workspace string

	// Class groups requests of similar duration, for example those of a
	// route. The duration of a request is estimated from earlier requests of
	// its class.
	Class string

	// Pool is the name of the set of targets that the request needs, empty
	// for none. SetPool bounds the requests of a pool.
	Pool string

	// Priority orders requests within a workspace; higher is first.
	Priority int
	Deadline time.Time
}

// An Effect is Admit or Refuse.
type Effect interface{ effect() }

// Admit means that a request runs now.
type Admit struct{ ID uint64 }

// Refuse means that a request is not run.
type Refuse struct {
	ID         uint64
	Cause      RefuseCause
	RetryAfter time.Duration
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// RefuseCause is the reason of a refusal.
type RefuseCause string

// The causes of a refusal.
const (
	// RefuseDeadline means that the request cannot meet its deadline.
	RefuseDeadline RefuseCause = "deadline"

	// RefuseQueue means that the queue is full.
	RefuseQueue RefuseCause = "queue-full"

	// RefuseWorkspace means that the configuration does not contain the
	// request's workspace.
	RefuseWorkspace RefuseCause = "unknown-workspace"
)

// Usage is the demand of one workspace at one node.
type Usage struct {
	Workspace string
	InFlight  int
	Queued    int
}

// NodeUsage is the demand that another node announced.
type NodeUsage struct {
	Node       string
	Workspaces []Usage
}
