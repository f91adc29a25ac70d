package entry

import (
	"context"
	"sync"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// An admission guards a limit.Queue and a limit.RetryBudget with a mutex, so
// that the goroutines of the HTTP handlers can share them.
type admission struct {
	now func() time.Time

	mutex   sync.Mutex
	queue   *limit.Queue
	retries *limit.RetryBudget
	waiters map[uint64]chan limit.Effect
	lastID  uint64

	// folder is the configuration that was last applied to the queue, and
	// generation is its generation.
	folder     *folder.Folder
	generation uint64

	// throttles bound the requests in progress at each pool of targets. capacity
	// is their limit.
	capacity  int
	throttles map[string]*limit.Throttle
}

func newAdmission(config Config) *admission {
	return &admission{
		now:     config.Now,
		retries: limit.NewRetryBudget(0),
		waiters: map[uint64]chan limit.Effect{},

		capacity:  config.Capacity,
		throttles: map[string]*limit.Throttle{},
		queue: limit.NewQueue(limit.Config{
			Node:       config.Node,
			Capacity:   config.Capacity,
			QueueLimit: config.QueueLimit,
		}),
	}
}

// acquire waits until the request is admitted or refused. It returns the ID of
// the admission, which must be passed to release, or the refusal.
func (admission *admission) acquire(ctx context.Context, request limit.Request, table *route.Table) (uint64, *limit.Refuse) {
	waiter := make(chan limit.Effect, 1)
	request.ID = admission.enqueue(request, waiter, table)
	select {
	case effect := <-waiter:
		return admissionResult(request.ID, effect)
	case <-ctx.Done():
	}
	if effect, decided := admission.abandon(request, waiter); decided {
		return admissionResult(request.ID, effect)
	}
	return 0, &limit.Refuse{ID: request.ID, Cause: limit.RefuseDeadline, RetryAfter: time.Second}
}

func admissionResult(id uint64, effect limit.Effect) (uint64, *limit.Refuse) {
	switch effect := effect.(type) {
	case limit.Refuse:
		return 0, &effect
	default:
		return id, nil
	}
}

func (admission *admission) enqueue(request limit.Request, waiter chan limit.Effect, table *route.Table) uint64 {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.applyFolder(table)
	admission.lastID++
	request.ID = admission.lastID
	admission.waiters[request.ID] = waiter
	admission.retries.Request(request.Workspace)
	admission.deliver(admission.queue.Offer(request, admission.now()))
	return request.ID
}

// abandon removes a waiting request from the queue. If the request was admitted
// or refused in the meantime, it returns that effect and true.
func (admission *admission) abandon(request limit.Request, waiter chan limit.Effect) (limit.Effect, bool) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	select {
	case effect := <-waiter:
		return effect, true
	default:
	}
	admission.queue.Abandon(request.Workspace, request.ID)
	delete(admission.waiters, request.ID)
	return nil, false
}

func (admission *admission) release(id uint64) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.deliver(admission.queue.Finish(id, admission.now()))
}

// deliver sends each effect to the request that waits for it. It never blocks:
// each request gets one effect, and its channel has a buffer of one.
func (admission *admission) deliver(effects []limit.Effect) {
	for _, effect := range effects {
		var id uint64
		switch effect := effect.(type) {
		case limit.Admit:
			id = effect.ID
		case limit.Refuse:
			id = effect.ID
		}
		if waiter, found := admission.waiters[id]; found {
			delete(admission.waiters, id)
			waiter <- effect
		}
	}
}

func (admission *admission) applyTable(table *route.Table) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.applyFolder(table)
	now := admission.now()
	loads := poolLoads(table, now)
	keep := make(map[string]bool, len(loads))
	for pool, load := range loads {
		keep[pool] = true
		if admission.throttles[pool] == nil {
			admission.throttles[pool] = limit.NewThrottle(admission.capacity)
		}
		load.Own = admission.queue.PoolInFlight(pool)
		bound := admission.throttles[pool].Observe(load, now)
		admission.deliver(admission.queue.SetPool(pool, bound, now))
	}
	for pool := range admission.throttles {
		if !keep[pool] {
			delete(admission.throttles, pool)
		}
	}
	admission.queue.RetainPools(keep)
}

// poolLoads returns the sum of the loads reported by the usable targets of each
// pool.
func poolLoads(table *route.Table, now time.Time) map[string]limit.PoolLoad {
	loads := map[string]limit.PoolLoad{}
	for _, target := range table.Folder().Routes() {
		pool := poolName(target)
		if _, known := loads[pool]; known {
			continue
		}
		loads[pool] = poolLoad(table, target, now)
	}
	return loads
}

func poolLoad(table *route.Table, target folder.Route, now time.Time) limit.PoolLoad {
	var load limit.PoolLoad
	add := func(reported group.Load) {
		load.Targets++
		load.Running += reported.Running
		load.Queued += reported.Queued
	}
	if target.Kind == folder.KindDraft {
		for _, candidate := range table.Groups("", target.Group) {
			if candidate.Usable(now) {
				add(candidate.Load)
			}
		}
		return load
	}
	for _, candidate := range table.Services(target.Service) {
		if candidate.Open {
			add(candidate.Load)
		}
	}
	return load
}

// poolName returns the name of the pool of targets that serve a route.
func poolName(target folder.Route) string {
	if target.Kind == folder.KindDraft {
		return "group/" + target.Group
	}
	return "service/" + target.Service
}

// applyFolder applies the workspaces and the retry policy of a new folder. It
// ignores an older generation, because a request may still hold a table from
// before the last one applied.
func (admission *admission) applyFolder(table *route.Table) {
	config := table.Folder()
	if config == nil || config == admission.folder || table.Generation() < admission.generation {
		return
	}
	admission.folder = config
	admission.generation = table.Generation()
	workspaces := make([]limit.Workspace, 0, len(config.Workspaces()))
	keep := map[string]bool{}
	for _, workspace := range config.Workspaces() {
		keep[workspace.Name] = true
		workspaces = append(workspaces, limit.Workspace{
			Name:   workspace.Name,
			Weight: workspace.Weight,
			Limit:  workspace.MaxInFlight,
		})
	}
	admission.queue.SetWorkspaces(workspaces)
	admission.retries.SetPercent(config.Policy().RetryPercent)
	admission.retries.Retain(keep)
}

func (admission *admission) setOthers(others []limit.NodeUsage, now time.Time) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.deliver(admission.queue.SetOthers(others, now))
}

func (admission *admission) usage() []limit.Usage {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.Usage()
}

// startsAtOnce reports whether a new request on a route would be admitted without a wait, and
// the number of waiting requests of all workspaces.
func (admission *admission) startsAtOnce(target folder.Route, table *route.Table) (bool, int) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.applyFolder(table)
	return admission.queue.StartsAtOnce(target.Workspace, poolName(target)), admission.queue.Waiting()
}

// retry takes a token from the workspace's retry budget. It returns false if the
// budget is exhausted.
func (admission *admission) retry(workspace string) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.retries.Retry(workspace)
}
