package limit

import (
	"slices"
	"sync"
	"time"
)

const (
	// coldWindow is the time in which the requests to a cold target are counted: the second
	// of its rate, and a twentieth for clocks that run at different speeds.
	coldWindow = 1050 * time.Millisecond

	// nodeMemory is how long a node that is no longer listed keeps its part of the permits.
	// It may still send: its lease ended because it lost its way to the store. It is above
	// the time for which such a node sends requests with keys.
	nodeMemory = 10 * time.Second

	// listMaxAge is the age of the last list with this node from which on it has no permits.
	// The others share its part among them after nodeMemory.
	listMaxAge = 8 * time.Second

	// joinTime is how long a node that was listed for the first time has no permits. The
	// others list it meanwhile, and give its part up.
	joinTime = 1500 * time.Millisecond

	// slowStartStep and slowStartSteps are the slow start of a target that is no longer cold:
	// its rate doubles in each step, then it is not bounded any more.
	slowStartStep  = time.Second
	slowStartSteps = 2

	// coldMemory is how long the state of a target that left the table is kept: it returns
	// as rank 0 of another group.
	coldMemory = 10 * time.Second
)

// ColdTargets keeps what all nodes together send to a cold target in any second below the
// rate that the target tolerates. It answers the load of a failure domain that returns as a
// whole under a burst: all its targets are empty, and all nodes would prefer them at once. It
// is safe for concurrent use.
//
// The rate is divided into whole permits, each for one request in any coldWindow. They are
// dealt to the live nodes in an order that each node computes for itself, so that no message
// is needed. With more nodes than permits most nodes have none for a target, and some for
// another. A node that has ended takes its permits with it until nodeMemory has passed; one
// that has not been in a fresh list for listMaxAge, or has just joined, has none. Lists of
// nodes that differ for a while differ by such nodes only.
//
// A request takes its permit when its target is chosen, and counts from when it is written.
type ColdTargets struct {
	node     string
	minNodes int
	overage  float64

	mutex sync.Mutex

	// seen holds when each node was last listed, and joinedAt and listedAt when this node was
	// listed first and last.
	seen               map[string]time.Time
	joinedAt, listedAt time.Time

	// dealt counts the changes of the nodes that share the permits, and nodes are these.
	dealt int
	nodes []string

	targets map[string]*coldTarget
}

// A coldTarget is a target that is cold or in its slow start.
type coldTarget struct {
	// rate is the number of permits that are dealt until the target is no longer cold.
	rate   float64
	until  time.Time
	usedAt time.Time

	// permits are those of this node that are in use.
	permits []coldPermit

	// share is the number of permits of this node, for the total of all nodes and the deal.
	share, total, dealt int
}

// A coldPermit is a permit in use since a time, by a request that was sent or is about to be.
type coldPermit struct {
	at   time.Time
	sent bool
}

// ColdTargetsConfig is the configuration of ColdTargets.
type ColdTargetsConfig struct {
	// Node is the name of this node.
	Node string

	// Overage is the number of permits that are dealt, in units of the rate, 0 for 1. Some are
	// not used, because callers' connections are spread unevenly over the nodes: with one and
	// a half times the rate, a burst uses about the rate. No target ever gets more than are
	// dealt.
	Overage float64

	// MinNodes is the smallest number of nodes among which permits are dealt. It applies
	// while this node has not discovered the others.
	MinNodes int
}

// NewColdTargets returns a record without cold targets.
func NewColdTargets(config ColdTargetsConfig) *ColdTargets {
	return &ColdTargets{node: config.Node, minNodes: config.MinNodes, overage: max(config.Overage, 1), seen: map[string]time.Time{}, targets: map[string]*coldTarget{}}
}

// SetNodes sets the names of the live nodes, as a list of now contains them.
func (cold *ColdTargets) SetNodes(nodes []string, now time.Time) {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	for _, node := range nodes {
		cold.seen[node] = now
	}
	cold.setListed(nodes, now)
	if len(cold.seen) == len(nodes) && slices.Equal(nodes, cold.nodes) {
		return
	}
	known := make([]string, 0, len(cold.seen))
	for node, at := range cold.seen {
		if now.Sub(at) > nodeMemory {
			delete(cold.seen, node)
			continue
		}
		known = append(known, node)
	}
	slices.Sort(known)
	if !slices.Equal(known, cold.nodes) {
		cold.nodes = known
		cold.dealt++
	}
}

// setListed records whether a list of now contains this node.
func (cold *ColdTargets) setListed(nodes []string, now time.Time) {
	if !slices.Contains(nodes, cold.node) {
		return
	}
	if cold.listedAt.IsZero() || now.Sub(cold.listedAt) > listMaxAge {
		cold.joinedAt = now
	}
	cold.listedAt = now
}

// SetCold records that a target is cold until a time, and the number of requests a second
// that it tolerates until then. An earlier time than the recorded one changes nothing. It
// reports whether the target was neither cold nor in its slow start.
func (cold *ColdTargets) SetCold(name string, rate float64, until, now time.Time) bool {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	if !until.After(now) {
		return false
	}
	target := cold.targets[name]
	first := target == nil || target.level(now) == 0
	if target == nil {
		target = &coldTarget{dealt: -1}
		cold.targets[name] = target
	}
	target.usedAt = now
	if until.After(target.until) {
		target.rate, target.until = rate*cold.overage, until
	}
	return first
}

// level returns the number of requests that all nodes may send in any coldWindow, 0 if there
// is no bound.
func (target *coldTarget) level(now time.Time) int {
	step := 0
	if after := now.Sub(target.until); after >= 0 {
		step = 1 + int(after/slowStartStep)
	}
	if step > slowStartSteps {
		return 0
	}
	return max(1, int(target.rate*float64(int(1)<<step)))
}

// bounded returns a target that is bounded now, with its permits in use and this node's
// share, or nil.
func (cold *ColdTargets) bounded(name string, now time.Time) *coldTarget {
	target := cold.targets[name]
	if target == nil {
		return nil
	}
	total := target.level(now)
	if total == 0 {
		return nil
	}
	target.usedAt = now
	target.permits = slices.DeleteFunc(target.permits, func(permit coldPermit) bool { return now.Sub(permit.at) >= coldWindow })
	if target.total != total || target.dealt != cold.dealt {
		target.total, target.dealt = total, cold.dealt
		target.share = cold.shareOf(name, total)
	}
	return target
}

// shareOf returns this node's part of the permits for a target.
func (cold *ColdTargets) shareOf(name string, total int) int {
	own, rank := rankHash(name, cold.node), 0
	for _, node := range cold.nodes {
		if hash := rankHash(name, node); hash > own || hash == own && node < cold.node {
			rank++
		}
	}
	count := max(len(cold.nodes), cold.minNodes, 1)
	if rank < total%count {
		return total/count + 1
	}
	return total / count
}

// mayUse reports whether this node has permits.
func (cold *ColdTargets) mayUse(now time.Time) bool {
	return !cold.listedAt.IsZero() && now.Sub(cold.listedAt) <= listMaxAge && now.Sub(cold.joinedAt) >= joinTime
}

func (cold *ColdTargets) free(target *coldTarget, now time.Time) bool {
	return cold.mayUse(now) && len(target.permits) < target.share
}

// Full reports whether a target is bounded and takes no request of this node now.
func (cold *ColdTargets) Full(name string, now time.Time) bool {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	target := cold.bounded(name, now)
	return target != nil && !cold.free(target, now)
}

// Take takes a permit for a request that will be sent to the target. It returns false if the
// target is bounded and there is none.
func (cold *ColdTargets) Take(name string, now time.Time) bool {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	target := cold.bounded(name, now)
	if target == nil {
		return true
	}
	if !cold.free(target, now) {
		return false
	}
	target.permits = append(target.permits, coldPermit{at: now})
	return true
}

// Send uses the permit of a request that is sent now. It returns false if the target is
// bounded and there is none: it may have become cold since the request took its place, or the
// permit has expired.
func (cold *ColdTargets) Send(name string, now time.Time) bool {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	target := cold.bounded(name, now)
	if target == nil {
		return true
	}
	for index := range target.permits {
		if permit := &target.permits[index]; !permit.sent {
			*permit = coldPermit{at: now, sent: true}
			return true
		}
	}
	if !cold.free(target, now) {
		return false
	}
	target.permits = append(target.permits, coldPermit{at: now, sent: true})
	return true
}

// Bounded returns the number of targets that are cold or in their slow start.
func (cold *ColdTargets) Bounded(now time.Time) int {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	count := 0
	for _, target := range cold.targets {
		if target.level(now) > 0 {
			count++
		}
	}
	return count
}

// Retain forgets the targets that are not bounded any more, and those that keep has not
// contained for coldMemory.
func (cold *ColdTargets) Retain(keep map[string]bool, now time.Time) {
	cold.mutex.Lock()
	defer cold.mutex.Unlock()
	for name, target := range cold.targets {
		if target.level(now) == 0 || !keep[name] && now.Sub(target.usedAt) >= coldMemory {
			delete(cold.targets, name)
		}
	}
}
