package limit

import (
	"slices"
	"strings"
	"time"
)

const (
	// estimateWeight is the weight of one finished request in the moving
	// average of its class.
	estimateWeight = 0.1

	// safetyFactor times the estimate must remain until the deadline of a
	// request that waits. Service times vary: if they are exponentially
	// distributed, one of three requests that have exactly the mean left
	// misses its deadline after using capacity, and one of seven that have
	// twice the mean left.
	safetyFactor = 2

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config holds the bounds of a Queue.
type Config struct {
	// Node is the name of this node.
	Node string

	// Capacity is the maximum number of requests in progress at this node.
	Capacity int

	// QueueLimit is the maximum number of requests that wait at this node.
	QueueLimit int
}

// A Queue admits, queues or refuses requests. See the package comment.
type Queue struct {
	config     Config
	workspaces map[string]*workspaceState
	names      []string
	running    map[uint64]runningRequest
	waiting    int
	inFlight   int
	estimates  map[string]time.Duration
	others     []NodeUsage

	// pools maps a pool to its bound, and poolInFlight to its requests in
	// progress.
	pools        map[string]int
	poolInFlight map[string]int
}

type workspaceState struct {
	Workspace
	inFlight int
	waiting  []Request

	// announcedDemand is the demand that Usage returned last. share is this
	// node's share of the limit, computed from it and the other nodes' usage,
	// or shareUnset if it must be computed again.
	announcedDemand demand
	share           int

	// removed is true if the configuration no longer contains the workspace.
	removed bool
}

const shareUnset = -1

type runningRequest struct {
	request Request
	started time.Time
}

// NewQueue returns a queue without workspaces.
func NewQueue(config Config) *Queue {
	return &Queue{
		config:     config,
		workspaces: map[string]*workspaceState{},
		running:    map[uint64]runningRequest{},
		estimates:  map[string]time.Duration{},

		pools:        map[string]int{},
		poolInFlight: map[string]int{},
	}
}

// SetWorkspaces replaces the configured workspaces. Requests in progress and
// waiting requests are kept.
func (queue *Queue) SetWorkspaces(workspaces []Workspace) {
	for _, state := range queue.workspaces {
		state.removed = true
	}
	for _, workspace := range workspaces {
		workspace.Weight = max(1, workspace.Weight)
		state := queue.workspaces[workspace.Name]
		if state == nil {
			state = &workspaceState{}
			queue.workspaces[workspace.Name] = state
		}
		state.Workspace = workspace
		state.removed = false
		state.share = shareUnset
	}
	queue.dropRemoved()
}

func (queue *Queue) dropRemoved() {
	queue.names = queue.names[:0]
	for name, state := range queue.workspaces {
		if state.removed && state.inFlight == 0 && len(state.waiting) == 0 {
			delete(queue.workspaces, name)
			continue
		}
		queue.names = append(queue.names, name)
	}
	slices.Sort(queue.names)
}

// SetOthers replaces the demand that the other live nodes announced. others
// must contain nodes without demand, with no workspaces, because they take part
// in the division of a limit.
func (queue *Queue) SetOthers(others []NodeUsage, now time.Time) []Effect {
	queue.others = others
	for _, state := range queue.workspaces {
		state.share = shareUnset
	}
	return queue.dispatch(now, nil)
}

// SetPool bounds the requests of a pool that are in progress at this node.
func (queue *Queue) SetPool(pool string, bound int, now time.Time) []Effect {
	queue.pools[pool] = bound
	return queue.dispatch(now, nil)
}

// RetainPools drops the bounds of pools that keep does not contain.
func (queue *Queue) RetainPools(keep map[string]bool) {
	for pool := range queue.pools {
		if !keep[pool] {
			delete(queue.pools, pool)
		}
	}
}

// PoolInFlight returns the number of requests of a pool that are in progress.
func (queue *Queue) PoolInFlight(pool string) int { return queue.poolInFlight[pool] }

// Offer requests admission of a request. The effects may concern other requests
// too. If there is no effect for the request's ID, it waits.
func (queue *Queue) Offer(request Request, now time.Time) []Effect {
	state := queue.workspaces[request.Workspace]
	if state == nil || state.removed {
		return []Effect{Refuse{ID: request.ID, Cause: RefuseWorkspace, RetryAfter: minRetryAfter}}
	}
	if !now.Before(request.Deadline) {
		return []Effect{Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: minRetryAfter}}
	}
	effects := queue.purge(now, nil)
	if queue.startsAtOnce(state, request.Pool) {
		return append(effects, queue.start(state, request, now))
	}
	wait := queue.expectedWait(state, request)
	if now.Add(wait + queue.requiredTime(request)).After(request.Deadline) {
		return append(effects, Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: clampRetryAfter(wait)})
	}
	if queue.waiting >= queue.config.QueueLimit {
		evicted := queue.evict(state)
		if evicted == nil {
			return append(effects, Refuse{ID: request.ID, Cause: RefuseQueue, RetryAfter: clampRetryAfter(wait)})
		}
		effects = append(effects, Refuse{ID: evicted.ID, Cause: RefuseQueue, RetryAfter: clampRetryAfter(wait)})
	}
	state.waiting = append(state.waiting, request)
	queue.waiting++
	return queue.dispatch(now, effects)
}

// StartsAtOnce reports whether a new request of a workspace would be admitted without a wait.
func (queue *Queue) StartsAtOnce(workspace, pool string) bool {
	state := queue.workspaces[workspace]
	return state != nil && !state.removed && queue.startsAtOnce(state, pool)
}

func (queue *Queue) startsAtOnce(state *workspaceState, pool string) bool {
	return queue.hasRoom(state) && queue.poolHasRoom(pool) && !queue.hasWaiting(state, pool)
}

// Finish ends an admitted request and returns the effects on other requests.
func (queue *Queue) Finish(id uint64, now time.Time) []Effect {
	running, found := queue.running[id]
	if !found {
		return nil
	}
	delete(queue.running, id)
	queue.inFlight--
	queue.releasePool(running.request.Pool)
	state := queue.workspaces[running.request.Workspace]
	state.inFlight--
	queue.updateEstimate(running.request.Class, now.Sub(running.started))
	if state.removed {
		queue.dropRemoved()
	}
	return queue.dispatch(now, nil)
}

// Abandon removes a waiting request.
func (queue *Queue) Abandon(workspace string, id uint64) {
	state := queue.workspaces[workspace]
	if state == nil {
		return
	}
	for index, request := range state.waiting {
		if request.ID == id {
			state.waiting = slices.Delete(state.waiting, index, index+1)
			queue.waiting--
			return
		}
	}
}

// Usage returns this node's demand, which the caller announces to the other
// nodes. It is sorted by name and omits idle workspaces.
func (queue *Queue) Usage() []Usage {
	var usage []Usage
	for _, name := range queue.names {
		state := queue.workspaces[name]
		state.announcedDemand = demand{inFlight: state.inFlight, queued: len(state.waiting)}
		state.share = shareUnset
		if state.inFlight == 0 && len(state.waiting) == 0 {
			continue
		}
		usage = append(usage, Usage{Workspace: name, InFlight: state.inFlight, Queued: len(state.waiting)})
	}
	return usage
}

// InFlight returns the number of admitted requests in progress.
func (queue *Queue) InFlight() int { return queue.inFlight }

// Waiting returns the number of waiting requests.
func (queue *Queue) Waiting() int { return queue.waiting }

// hasRoom reports whether one more request of the workspace may run.
func (queue *Queue) hasRoom(state *workspaceState) bool {
	if queue.inFlight >= queue.config.Capacity {
		return false
	}
	return state.inFlight < queue.share(state)
}

func (queue *Queue) poolHasRoom(pool string) bool {
	bound, bounded := queue.pools[pool]
	return !bounded || queue.poolInFlight[pool] < bound
}

// hasWaiting reports whether the workspace has a waiting request of the pool. A
// new request must not overtake it.
func (queue *Queue) hasWaiting(state *workspaceState, pool string) bool {
	return slices.ContainsFunc(state.waiting, func(waiting Request) bool { return waiting.Pool == pool })
}

func (queue *Queue) releasePool(pool string) {
	queue.poolInFlight[pool]--
	if queue.poolInFlight[pool] == 0 {
		delete(queue.poolInFlight, pool)
	}
}

// share returns this node's share of a workspace's limit.
func (queue *Queue) share(state *workspaceState) int {
	if state.Limit == 0 {
		return queue.config.Capacity
	}
	if state.share == shareUnset {
		state.announcedDemand.node = queue.config.Node
		state.share = computeShare(state.Limit, state.announcedDemand, otherDemands(queue.others, state.Name))
	}
	return state.share
}

func (queue *Queue) start(state *workspaceState, request Request, now time.Time) Effect {
	queue.running[request.ID] = runningRequest{request: request, started: now}
	queue.inFlight++
	queue.poolInFlight[request.Pool]++
	state.inFlight++
	return Admit{ID: request.ID}
}

// dispatch admits waiting requests while there is room.
func (queue *Queue) dispatch(now time.Time, effects []Effect) []Effect {
	if queue.waiting == 0 {
		return effects
	}
	effects = queue.purge(now, effects)
	for queue.waiting > 0 {
		state, index := queue.nextWorkspace()
		if state == nil {
			return effects
		}
		request := state.waiting[index]
		state.waiting = slices.Delete(state.waiting, index, index+1)
		queue.waiting--
		effects = append(effects, queue.start(state, request, now))
	}
	return effects
}

// purge refuses waiting requests that can no longer finish before their
// deadline.
func (queue *Queue) purge(now time.Time, effects []Effect) []Effect {
	if queue.waiting == 0 {
		return effects
	}
	for _, name := range queue.names {
		state := queue.workspaces[name]
		kept := state.waiting[:0]
		for _, request := range state.waiting {
			if !now.Add(queue.requiredTime(request)).After(request.Deadline) {
				kept = append(kept, request)
				continue
			}
			queue.waiting--
			wait := clampRetryAfter(queue.estimates[request.Class])
			effects = append(effects, Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: wait})
		}
		state.waiting = kept
	}
	return effects
}

// nextWorkspace returns the workspace from which to admit a request, and the
// index of that request. Among the workspaces that have room and a waiting
// request whose pool has room, it chooses the one with the fewest requests in
// progress relative to its weight. It returns nil if there is none.
func (queue *Queue) nextWorkspace() (*workspaceState, int) {
	var chosen *workspaceState
	var chosenIndex int
	for _, name := range queue.names {
		state := queue.workspaces[name]
		if len(state.waiting) == 0 || !queue.hasRoom(state) {
			continue
		}
		if chosen != nil && state.inFlight*chosen.Weight >= chosen.inFlight*state.Weight {
			continue
		}
		if index := queue.nextRequest(state.waiting); index >= 0 {
			chosen = state
			chosenIndex = index
		}
	}
	return chosen, chosenIndex
}

// nextRequest returns the index of the request to admit first, or -1 for none.
// Among the requests whose pool has room, it chooses the one with the highest
// priority, and then the one with the earliest deadline.
func (queue *Queue) nextRequest(waiting []Request) int {
	chosen := -1
	for index := range waiting {
		if !queue.poolHasRoom(waiting[index].Pool) {
			continue
		}
		if chosen < 0 || precedes(waiting[index], waiting[chosen]) {
			chosen = index
		}
	}
	return chosen
}

func precedes(first, second Request) bool {
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if !first.Deadline.Equal(second.Deadline) {
		return first.Deadline.Before(second.Deadline)
	}
	return first.ID < second.ID
}

// evict makes room for a request of the requester. It removes and returns the
// last request of the workspace with the most waiting requests relative to its
// weight, or returns nil if that is the requester itself.
func (queue *Queue) evict(requester *workspaceState) *Request {
	longest := requester
	length := len(requester.waiting) + 1
	for _, name := range queue.names {
		state := queue.workspaces[name]
		if len(state.waiting)*longest.Weight > length*state.Weight {
			longest = state
			length = len(state.waiting)
		}
	}
	if longest == requester {
		return nil
	}
	last := 0
	for index := range longest.waiting {
		if precedes(longest.waiting[last], longest.waiting[index]) {
			last = index
		}
	}
	evicted := longest.waiting[last]
	longest.waiting = slices.Delete(longest.waiting, last, last+1)
	queue.waiting--
	return &evicted
}

// expectedWait estimates the time until a request is admitted: the waiting
// requests of its workspace that precede it, divided by the rate at which the
// workspace's part of the capacity becomes free.
func (queue *Queue) expectedWait(state *workspaceState, request Request) time.Duration {
	ahead := 1
	for _, other := range state.waiting {
		if other.ID != request.ID && other.Pool == request.Pool && precedes(other, request) {
			ahead++
		}
	}
	weights := 0
	for _, other := range queue.workspaces {
		if other == state || other.inFlight > 0 || len(other.waiting) > 0 {
			weights += other.Weight
		}
	}
	capacity := queue.config.Capacity
	if bound, bounded := queue.pools[request.Pool]; bounded {
		capacity = min(capacity, bound)
	}
	slots := max(1, capacity*state.Weight/weights)
	slots = max(1, min(slots, queue.share(state)))
	return queue.estimates[request.Class] * time.Duration(ahead) / time.Duration(slots)
}

// requiredTime returns the time that must remain until the deadline of a
// waiting request. A request that is admitted at once only needs a deadline in
// the future, so that new samples correct a wrong estimate.
func (queue *Queue) requiredTime(request Request) time.Duration {
	return time.Duration(float64(queue.estimates[request.Class]) * safetyFactor)
}

func (queue *Queue) updateEstimate(class string, elapsed time.Duration) {
	estimate, found := queue.estimates[class]
	if !found {
		queue.estimates[strings.Clone(class)] = elapsed
		return
	}
	queue.estimates[class] = estimate + time.Duration(float64(elapsed-estimate)*estimateWeight)
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
