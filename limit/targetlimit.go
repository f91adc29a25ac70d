package limit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetSpan is the time over which the nodes keep to the limit of a target together.
	// A longer one lets more requests begin at once, a shorter one leaves more of a
	// small limit unused, because nodes get whole requests.
	targetSpan = 2 * time.Second

	// turnFactor is the time for which a node without a share may ask a limited target,
	// in units of the time of one request at the limit. The nodes take turns, so that
	// together they add an eighth to the limit.
	turnFactor = 8

	// maxTime bounds the times that follow from limits close to 0.
	maxTime = time.Hour

	// publishStep is the time between the first and the next node that may publish the
	// others of a change.
	publishStep = 100 * time.Millisecond

	// tellInterval is the time after which a change is published again if no node has it.
	tellInterval = 5 * time.Second

	// limitMemory is how long the limit of a target that left the table is remembered:
	// it returns as rank 0 of another group.
	limitMemory = 10 * time.Second

	// tellTolerance is the fraction by which a limit may change without being published and
	// logged again.
	tellTolerance = 0.2
)

// TargetLimits keeps the requests to targets within the limits that they name in their
// answers, in requests a second from all nodes together. It is safe for concurrent use.
//
// Each node may send a share of the limit in any targetSpan, and the shares of the live
// nodes add up to no more than the limit: whole requests, dealt in an order that each
// node computes for itself. A node that has no limit gets it with its
// first answer. In a large fleet many nodes have no share, and would not notice that a
// limit has ended: those with a share publish it, through changes that the owner of
// the TargetLimits takes and passes on. Without that, a node without a share sends one
// request from time to time.
//
// Nodes that cannot see each other count themselves only: each side of a partition keeps
// to the limit by itself. A node that has just started and has not listed the others
// counts as alone, but has no limits either.
type TargetLimits struct {
	node string

	mutex   sync.Mutex
	nodes   []string
	targets map[string]*limitedTarget

	// untold holds the changes that this node publishes, unless another one has
	// done so before.
	untold map[string]untoldLimit
}

type untoldLimit struct {
	rate float64
	at   time.Time
}

// A SharedLimit is a limit as nodes publish it. Rate is 0 if the limit has ended.
type SharedLimit struct {
	Target string  `json:"target"`
	Rate   float64 `json:"rate"`
}

// A limitedTarget is a target that has named a limit.
type limitedTarget struct {
	rate float64

	// namedAt is when the last answer with the limit arrived.
	namedAt time.Time

	// loggedRate is the limit of the last LimitNamed, and sharedRate the one that the
	// other nodes have, 0 for none.
	loggedRate float64
	sharedRate float64

	// toldAt is when this node last published the limit.
	toldAt time.Time

	// window bounds the requests of this node. It is nil if the node has no share.
	window *Window

	// since is when this node received the limit. A node without a share may send one
	// request in its turn, which begins turnAt after since and returns.
	since      time.Time
	turn       time.Duration
	turnAt     time.Duration
	round      time.Duration
	lastSentAt time.Time
}

// NewTargetLimits returns limits without targets for the named node.
func NewTargetLimits(node string) *TargetLimits {
	return &TargetLimits{node: node, nodes: []string{node}, targets: map[string]*limitedTarget{}, untold: map[string]untoldLimit{}}
}

// SetNodes sets the names of the live nodes, which share the limits. What this node gains
// counts as used: the node that had it before may have sent requests just now.
func (limits *TargetLimits) SetNodes(nodes []string, now time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if len(nodes) == 0 || slices.Equal(limits.nodes, nodes) {
		return
	}
	limits.nodes = slices.Clone(nodes)
	for name, target := range limits.targets {
		before := target.share()
		limits.setShare(name, target)
		switch gained := target.share() - before; {
		case gained > 0:
			target.window.Fill(gained, now)
		case target.window == nil && before > 0:
			target.lastSentAt = now
		}
	}
}

// span returns the time over which the nodes keep to the limit together, and total the
// number of requests of all nodes in that time.
func (target *limitedTarget) span() time.Duration {
	return max(targetSpan, boundedSeconds(1/target.rate))
}

func (target *limitedTarget) total() int { return max(1, int(target.rate*target.span().Seconds())) }

// setShare sets this node's share of the limit of a target.
func (limits *TargetLimits) setShare(name string, target *limitedTarget) {
	rank, nodes := limits.rank(name), len(limits.nodes)
	share := target.total() / nodes
	if rank < target.total()%nodes {
		share++
	}
	target.turn = boundedSeconds(turnFactor / target.rate)
	target.turnAt = time.Duration(rank) * target.turn
	target.round = time.Duration(nodes) * target.turn
	switch {
	case share == 0:
		target.window = nil
	case target.window == nil:
		target.window = NewWindow(WindowConfig{Length: target.span(), Bound: share})
	default:
		target.window.config.Length = target.span()
		target.window.SetBound(share)
	}
}

func boundedSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxTime.Seconds()) * float64(time.Second))
}

// rank returns the number of nodes before this one in the order of a target.
func (limits *TargetLimits) rank(target string) int {
	own := rankHash(target, limits.node)
	before := 0
	for _, node := range limits.nodes {
		if hash := rankHash(target, node); hash > own || hash == own && node < limits.node {
			before++
		}
	}
	return before
}

func rankHash(target, node string) uint64 { return xxhash.Sum64String(target + "\x00" + node) }

// A LimitChange is the change of a target's limit by an answer: LimitNamed or LimitEnded.
type LimitChange interface{ limitChange() }

// LimitNamed means that a target has named a limit, or another one than before. Share is
// the number of requests that this node may send in a span of time, 0 for none.
type LimitNamed struct {
	Rate  float64
	Share int
}

// LimitEnded means that a target names no limit any more.
type LimitEnded struct{}

func (LimitNamed) limitChange() {}
func (LimitEnded) limitChange() {}

// Observe records the limit in an answer, 0 for none, to a request that was sent at
// sentAt. It returns nil if nothing changes. Answers overtake each other, so one without
// a limit ends the limit only if its request was sent after the last answer with it.
func (limits *TargetLimits) Observe(name string, rate float64, sentAt, now time.Time) LimitChange {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	target := limits.targets[name]
	switch {
	case rate > 0:
		target = limits.setLimit(name, rate, now)
		known := !differs(rate, target.sharedRate) || now.Sub(target.toldAt) < tellInterval
		if target.window != nil && len(limits.nodes) > target.total() && !known {
			limits.tell(name, rate, now)
		}
		if differs(rate, target.loggedRate) {
			target.loggedRate = rate
			return LimitNamed{Rate: rate, Share: target.share()}
		}
	case target != nil && sentAt.After(target.namedAt):
		limits.end(name, target, now)
		return LimitEnded{}
	}
	return nil
}

// differs reports whether a limit has to be published again.
func differs(rate, told float64) bool { return math.Abs(rate-told) > tellTolerance*told }

// tell schedules a change to be published, if it is not yet. The nodes take turns, so that
// most of them see it published before.
func (limits *TargetLimits) tell(name string, rate float64, now time.Time) {
	known, found := limits.untold[name]
	if !found || known.rate == 0 != (rate == 0) {
		limits.untold[name] = untoldLimit{rate: rate, at: now.Add(time.Duration(limits.rank(name)) * publishStep)}
	}
}

// end forgets the limit of a target.
func (limits *TargetLimits) end(name string, target *limitedTarget, now time.Time) {
	delete(limits.targets, name)
	delete(limits.untold, name)
	if target.sharedRate > 0 && target.window != nil {
		limits.tell(name, 0, now)
	}
}

// setLimit records a limit that the target or another node named. The request whose
// answer named it counts.
func (limits *TargetLimits) setLimit(name string, rate float64, now time.Time) *limitedTarget {
	target := limits.targets[name]
	if target == nil {
		target = &limitedTarget{since: now}
		limits.targets[name] = target
	}
	target.namedAt = now
	if target.rate != rate {
		target.rate = rate
		limits.setShare(name, target)
	}
	return target
}

// share returns the number of requests that this node may send in a span of time.
func (target *limitedTarget) share() int {
	if target.window == nil {
		return 0
	}
	return target.window.config.Bound
}

// Full reports whether the target takes no request of this node now.
func (limits *TargetLimits) Full(name string, now time.Time) bool {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	target := limits.targets[name]
	if target == nil {
		return false
	}
	if target.window == nil {
		return !target.mayAsk(now)
	}
	return target.window.Full(now)
}

// mayAsk reports whether it is the turn of a node without a share. Turns move when nodes
// come and go, so the last request must also be half a round ago.
func (target *limitedTarget) mayAsk(now time.Time) bool {
	position := now.Sub(target.since) % target.round
	return position >= target.turnAt && position < target.turnAt+target.turn && now.Sub(target.lastSentAt) >= target.round/2
}

// Take records a request that is sent to the target now. It returns false, and records
// nothing, if the target takes none.
func (limits *TargetLimits) Take(name string, now time.Time) bool {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	target := limits.targets[name]
	switch {
	case target == nil:
		return true
	case target.window != nil:
		return target.window.Take(now) == 0
	case !target.mayAsk(now):
		return false
	}
	target.lastSentAt = now
	return true
}

// Limited returns the number of targets that name a limit.
func (limits *TargetLimits) Limited() int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return len(limits.targets)
}

// TakeChanges returns the changes that the other nodes have to get now.
func (limits *TargetLimits) TakeChanges(now time.Time) []SharedLimit {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	var changes []SharedLimit
	for name, change := range limits.untold {
		if !now.Before(change.at) {
			changes = append(changes, SharedLimit{Target: name, Rate: change.rate})
			delete(limits.untold, name)
			if target := limits.targets[name]; target != nil {
				target.toldAt = now
			}
		}
	}
	return changes
}

// Share records a change that a node has published. A limit that is not a number has
// no effect.
func (limits *TargetLimits) Share(shared SharedLimit, now time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	switch {
	case shared.Rate > 0 && !math.IsInf(shared.Rate, 1):
		limits.setLimit(shared.Target, shared.Rate, now).sharedRate = shared.Rate
		delete(limits.untold, shared.Target)
	case shared.Rate == 0:
		delete(limits.targets, shared.Target)
		delete(limits.untold, shared.Target)
	}
}

// Retain forgets the targets that keep has not contained for limitMemory.
func (limits *TargetLimits) Retain(keep map[string]bool, now time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for name, target := range limits.targets {
		if !keep[name] && now.Sub(target.namedAt) >= limitMemory {
			limits.end(name, target, now)
		}
	}
}
