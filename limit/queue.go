package limit

import (
	"slices"
	"strings"
	"time"
)

const (
	// estimateGain is the weight of one finished request in the estimate of
	// its class.
	estimateGain = 0.1

	// safetyFactor is the part of the estimate that must remain until the
	// deadline. Service times vary: when they are exponential, every third
	// request that has exactly the mean left misses its deadline after using
	// capacity, and every seventh that has twice the mean left.
	safetyFactor = 2

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config holds the bounds of a Queue.
type Config struct {
	// Node is the name of this node.
	Node string

	// Capacity is the number of requests in progress at this node.
	Capacity int

	// QueueLimit is the number of requests that wait at this node.
	QueueLimit int
}

// A Queue admits requests. See the package comment.
type Queue struct {
	config     Config
	workspaces map[string]*workspaceState
	names      []string
	running    map[uint64]runningRequest
	waiting    int
	inFlight   int
	estimates  map[string]time.Duration
	others     []NodeUsage

	// pools holds the bound of each pool, and poolInFlight its requests in
	// progress.
	pools        map[string]int
	poolInFlight map[string]int
}

type workspaceState struct {
	Workspace
	inFlight int
	waiting  []Request

	// announced is what Usage returned last. share is the share that follows
	// from it and from the other nodes' usage, noShare when it is to be
	// computed again.
	announced demand
	share     int

	// removed is true when the configuration no longer contains it.
	removed bool
}

const noShare = -1

type runningRequest struct {
	request Request
	started time.Time
}

// NewQueue returns a queue that knows no workspaces.
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

// SetWorkspaces replaces the configuration. Requests in progress and waiting
// requests stay.
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
		state.share = noShare
	}
	queue.forgetRemoved()
}

func (queue *Queue) forgetRemoved() {
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

// SetOthers replaces what the other live nodes announced. A node that
// announced no demand is listed without workspaces: it takes part in the
// division of a limit.
func (queue *Queue) SetOthers(others []NodeUsage, now time.Time) []Effect {
	queue.others = others
	for _, state := range queue.workspaces {
		state.share = noShare
	}
	return queue.dispatch(now, nil)
}

// SetPool bounds the requests of a pool that are in progress at this node.
func (queue *Queue) SetPool(pool string, bound int, now time.Time) []Effect {
	queue.pools[pool] = bound
	return queue.dispatch(now, nil)
}

// RetainPools forgets the bounds of pools that keep does not contain.
func (queue *Queue) RetainPools(keep map[string]bool) {
	for pool := range queue.pools {
		if !keep[pool] {
			delete(queue.pools, pool)
		}
	}
}

// PoolInFlight returns the requests of a pool that are in progress.
func (queue *Queue) PoolInFlight(pool string) int { return queue.poolInFlight[pool] }

// Offer asks for admission of a request. Its effects may concern other
// requests too. Without an effect for its ID the request waits.
func (queue *Queue) Offer(request Request, now time.Time) []Effect {
	state := queue.workspaces[request.Workspace]
	if state == nil || state.removed {
		return []Effect{Refuse{ID: request.ID, Cause: RefuseWorkspace, RetryAfter: minRetryAfter}}
	}
	if !now.Before(request.Deadline) {
		return []Effect{Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: minRetryAfter}}
	}
	effects := queue.purge(now, nil)
	if queue.hasRoom(state) && queue.poolHasRoom(request.Pool) && !queue.waitsForPool(state, request.Pool) {
		return append(effects, queue.start(state, request, now))
	}
	wait := queue.expectedWait(state, request)
	if now.Add(wait + queue.needed(request)).After(request.Deadline) {
		return append(effects, Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: retryAfter(wait)})
	}
	if queue.waiting >= queue.config.QueueLimit {
		victim := queue.evict(state)
		if victim == nil {
			return append(effects, Refuse{ID: request.ID, Cause: RefuseQueue, RetryAfter: retryAfter(wait)})
		}
		effects = append(effects, Refuse{ID: victim.ID, Cause: RefuseQueue, RetryAfter: retryAfter(wait)})
	}
	state.waiting = append(state.waiting, request)
	queue.waiting++
	return queue.dispatch(now, effects)
}

// Finish ends a request that was admitted and returns what follows.
func (queue *Queue) Finish(id uint64, now time.Time) []Effect {
	running, found := queue.running[id]
	if !found {
		return nil
	}
	delete(queue.running, id)
	queue.inFlight--
	queue.leavePool(running.request.Pool)
	state := queue.workspaces[running.request.Workspace]
	state.inFlight--
	queue.learn(running.request.Class, now.Sub(running.started))
	if state.removed {
		queue.forgetRemoved()
	}
	return queue.dispatch(now, nil)
}

// Abandon removes a request that waits.
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

// Usage returns this node's demand to announce to the other nodes, in the
// order of names, without idle workspaces.
func (queue *Queue) Usage() []Usage {
	var usage []Usage
	for _, name := range queue.names {
		state := queue.workspaces[name]
		state.announced = demand{inFlight: state.inFlight, queued: len(state.waiting)}
		state.share = noShare
		if state.inFlight == 0 && len(state.waiting) == 0 {
			continue
		}
		usage = append(usage, Usage{Workspace: name, InFlight: state.inFlight, Queued: len(state.waiting)})
	}
	return usage
}

// InFlight returns the number of admitted requests in progress.
func (queue *Queue) InFlight() int { return queue.inFlight }

// Waiting returns the number of requests that wait.
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

// waitsForPool reports whether the workspace has a waiting request of the
// pool, which a new one must not overtake.
func (queue *Queue) waitsForPool(state *workspaceState, pool string) bool {
	return slices.ContainsFunc(state.waiting, func(waiting Request) bool { return waiting.Pool == pool })
}

func (queue *Queue) leavePool(pool string) {
	queue.poolInFlight[pool]--
	if queue.poolInFlight[pool] == 0 {
		delete(queue.poolInFlight, pool)
	}
}

// share returns this node's part of a workspace's limit.
func (queue *Queue) share(state *workspaceState) int {
	if state.Limit == 0 {
		return queue.config.Capacity
	}
	if state.share == noShare {
		state.announced.node = queue.config.Node
		state.share = shareOf(state.Limit, state.announced, othersOf(queue.others, state.Name))
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
		state, index := queue.neediest()
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

// purge refuses waiting requests that can no longer finish in time.
func (queue *Queue) purge(now time.Time, effects []Effect) []Effect {
	if queue.waiting == 0 {
		return effects
	}
	for _, name := range queue.names {
		state := queue.workspaces[name]
		kept := state.waiting[:0]
		for _, request := range state.waiting {
			if !now.Add(queue.needed(request)).After(request.Deadline) {
				kept = append(kept, request)
				continue
			}
			queue.waiting--
			wait := retryAfter(queue.estimates[request.Class])
			effects = append(effects, Refuse{ID: request.ID, Cause: RefuseDeadline, RetryAfter: wait})
		}
		state.waiting = kept
	}
	return effects
}

// neediest returns the workspace that has the fewest requests in progress for
// its weight, among those that have room and a waiting request whose pool has
// room, and the index of that request.
func (queue *Queue) neediest() (*workspaceState, int) {
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
		if index := queue.best(state.waiting); index >= 0 {
			chosen = state
			chosenIndex = index
		}
	}
	return chosen, chosenIndex
}

// best returns the index of the request to serve first, -1 for none: the
// highest priority, then the earliest deadline, among those whose pool has
// room.
func (queue *Queue) best(waiting []Request) int {
	chosen := -1
	for index := range waiting {
		if !queue.poolHasRoom(waiting[index].Pool) {
			continue
		}
		if chosen < 0 || before(waiting[index], waiting[chosen]) {
			chosen = index
		}
	}
	return chosen
}

func before(first, second Request) bool {
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if !first.Deadline.Equal(second.Deadline) {
		return first.Deadline.Before(second.Deadline)
	}
	return first.ID < second.ID
}

// evict makes room for a request of a workspace by removing the last request
// of the workspace that has the most waiting requests for its weight. It
// returns nil when the asking workspace itself is that one.
func (queue *Queue) evict(asking *workspaceState) *Request {
	longest := asking
	length := len(asking.waiting) + 1
	for _, name := range queue.names {
		state := queue.workspaces[name]
		if len(state.waiting)*longest.Weight > length*state.Weight {
			longest = state
			length = len(state.waiting)
		}
	}
	if longest == asking {
		return nil
	}
	last := 0
	for index := range longest.waiting {
		if before(longest.waiting[last], longest.waiting[index]) {
			last = index
		}
	}
	victim := longest.waiting[last]
	longest.waiting = slices.Delete(longest.waiting, last, last+1)
	queue.waiting--
	return &victim
}

// expectedWait estimates the time until a request is served: the requests of
// its workspace before it, at the rate at which the workspace's part of the
// capacity becomes free.
func (queue *Queue) expectedWait(state *workspaceState, request Request) time.Duration {
	ahead := 1
	for _, other := range state.waiting {
		if other.ID != request.ID && other.Pool == request.Pool && before(other, request) {
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

// needed is the time that must remain until the deadline of a request that
// waits. A request that finds room needs only a deadline in the future, so
// that a wrong estimate is corrected by new samples.
func (queue *Queue) needed(request Request) time.Duration {
	return time.Duration(float64(queue.estimates[request.Class]) * safetyFactor)
}

func (queue *Queue) learn(class string, elapsed time.Duration) {
	estimate, found := queue.estimates[class]
	if !found {
		queue.estimates[strings.Clone(class)] = elapsed
		return
	}
	queue.estimates[class] = estimate + time.Duration(float64(elapsed-estimate)*estimateGain)
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
