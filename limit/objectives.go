package limit

import (
	"sync"
	"time"
)

// objectiveMemory is how long after its last request a route still bounds the load of
// a pool.
const objectiveMemory = 10 * time.Second

// idleFactor is the multiple of the time to the first event at an idle group that the
// bound on it is not below. A tighter bound would refuse all requests but the first.
const idleFactor = 1.5

// Objectives bounds the time to the first event of the requests to one pool of groups.
//
// A pass of a group serves the requests of all routes to the pool, so a route with a
// looser objective must not make the others miss theirs: the bound is the strictest
// objective of the routes in the configuration that have had a request lately. An
// objective that an idle group does not meet bounds nothing. Its requests are late in any
// case, and refusing others does not help them. It is safe for concurrent use.
type Objectives struct {
	mutex sync.Mutex

	// used holds when each pool last had a request of a route.
	used map[string]map[string]time.Time
}

// NewObjectives returns objectives without requests.
func NewObjectives() *Objectives { return &Objectives{used: map[string]map[string]time.Time{}} }

// Use records a request of a route to a pool.
func (objectives *Objectives) Use(pool, route string, now time.Time) {
	objectives.mutex.Lock()
	defer objectives.mutex.Unlock()
	if objectives.used[pool] == nil {
		objectives.dropUnused(now)
		objectives.used[pool] = map[string]time.Time{}
	}
	objectives.used[pool][route] = now
}

// dropUnused drops the pools without a request lately. Callers name the models, so that the
// names have no bound.
func (objectives *Objectives) dropUnused(now time.Time) {
	for pool, routes := range objectives.used {
		for route, usedAt := range routes {
			if now.Sub(usedAt) > objectiveMemory {
				delete(routes, route)
			}
		}
		if len(routes) == 0 {
			delete(objectives.used, pool)
		}
	}
}

// Bound returns the longest predicted time to the first event at which a request is sent
// to a group of a pool, 0 for no bound. routes holds the objectives of the routes in the
// configuration, 0 for none, and idle is that time at an idle group.
func (objectives *Objectives) Bound(pool string, routes map[string]time.Duration, idle time.Duration, now time.Time) time.Duration {
	objectives.mutex.Lock()
	defer objectives.mutex.Unlock()
	strictest := time.Duration(0)
	for route, usedAt := range objectives.used[pool] {
		objective, found := routes[route]
		if !found || now.Sub(usedAt) > objectiveMemory {
			delete(objectives.used[pool], route)
			continue
		}
		if objective > 0 && objective >= idle && (strictest == 0 || objective < strictest) {
			strictest = objective
		}
	}
	if len(objectives.used[pool]) == 0 {
		delete(objectives.used, pool)
	}
	if strictest == 0 {
		return 0
	}
	return max(strictest, time.Duration(idleFactor*float64(idle)))
}
