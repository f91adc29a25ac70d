// Package traffic sums what all nodes of a fleet have in progress at each group, and what
// callers ask of each pool.
//
// In a fleet in which each node sends a group one request every few seconds, a node has no
// observation of its own by which it could predict a first event there: the places of the
// engine are taken by the requests of other nodes. The nodes therefore exchange counts. Each
// posts its own counts to a hub, a node of its own failure domain, and the answer holds the
// sum of the others. The hubs of the failure domains post their sums to each other.
//
// # Counting once
//
// A receiver keeps one record for each sender, the latest one, and drops it after three
// intervals without another. A sender is either a member, whose record holds its own counts, or a hub,
// whose record holds its own counts and those of its members. A hub passes on to other hubs
// only what it has received from members. A node that changes its hub is counted by both for
// that time at most, and one that has left is counted for that time.
//
// # Hubs
//
// Hubs are the first of the nodes ranked by SetHubs that answer. A node that is ahead of all
// answering ones in its failure domain is a hub, and so is every node that a member has posted
// to: nodes that see different members of the fleet may choose different hubs. A new hub gives no sum
// for an interval, in which its members post. A node without a hub has no sum, and one of less
// than half of the nodes counts as none.
//
// # Usage
//
// The package performs no I/O. Package trafficsync sends the posts and serves them.
//
//	exchange := traffic.New(traffic.Config{Node: "edge-1"})
//	exchange.SetHubs(ranked, nodes)
//	use := exchange.Begin("llm/m1", "m1-7", promptTokens, now)
//	use.FirstEvent(now)
//	use.End(now)
//	…
//	others, age, fresh := exchange.Group("m1-7", now)
package traffic

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two posts of a node in a fleet of up to intervalNodes
	// nodes. In a larger one it grows in proportion up to MaxInterval: each node then sends a
	// smaller part of the requests, and the answers name more groups.
	Interval      = 200 * time.Millisecond
	MaxInterval   = 750 * time.Millisecond
	intervalNodes = 200

	// ageIntervals is the age, in intervals, at which counts end that were not renewed: two
	// posts may be lost.
	ageIntervals = 3

	// Window is the time constant of the rates in PoolUse. A burst of requests must show in
	// it within a second, and a node counts few of them.
	Window = time.Second

	// firstEventAge is how long an observed first event counts in GroupUse.FirstEvent. It is
	// about half of the time in which a response is written.
	firstEventAge = 500 * time.Millisecond

	// maxFirstEvents bounds the observed first events of a group: a node takes the latest.
	maxFirstEvents = 32

	// MaxNames bounds the groups and the pools of a message. A fleet of 5,800 runners has some
	// hundred groups.
	MaxNames = 4096
)

// GroupUse is what one node has in progress at a group, or several nodes together.
type GroupUse struct {
	Group string

	// Running is the number of requests that were sent there and have not ended. Waiting is
	// the number of those without a first event, UnreadTokens the tokens of their prompts.
	Running      int
	Waiting      int
	UnreadTokens int

	// FirstEvents is the number of first events in the last 500 ms, and FirstEvent the mean
	// time to them, 0 for none.
	FirstEvents int
	FirstEvent  time.Duration
}

// PoolUse is what callers ask of a pool at one node, or at several together, lately: with a
// time constant of Window. A pool is a model of a service, see group.ServiceSpec.
type PoolUse struct {
	Pool string

	// Arrivals are the requests a second, Refused those of them that were refused without an
	// attempt at a group. A caller's repetition of a refused request counts again.
	Arrivals float64
	Refused  float64

	// Worked is the mean number of requests that hold a place at a group.
	Worked float64

	// PromptTokens are the tokens of the prompts that are sent to groups a second.
	PromptTokens float64
}

// Config is the configuration of an Exchange.
type Config struct {
	// Node is the name of this node.
	Node string
}

// An Exchange keeps a node's own counts and the sums of the others. It is safe for
// concurrent use.
type Exchange struct {
	config Config

	mutex  sync.Mutex
	groups map[string]*groupCounts
	pools  map[string]*poolCounts

	// domains are the ranked nodes of the failure domains, this node's own first, empty while
	// nodes do not exchange counts. interval follows from nodes, the number of nodes.
	domains  [][]Hub
	nodes    int
	interval time.Duration

	// nextAt is when the next posts are due, posting the addresses with a post in progress.
	nextAt   time.Time
	posting  map[string]bool
	failures map[string]failure

	// hubSince is when this node became a hub, zero if it is none. memberAt is when it last
	// received a post of a member.
	hubSince time.Time
	memberAt time.Time

	// records are the latest counts received from each node, by its name. members is the sum
	// of the records of members, hubs that of the records of hubs.
	records map[string]record
	members sum
	hubs    sum

	// answered is the last answer of this node's hub, the sum of the others at answeredAt.
	answered   sum
	answeredAt time.Time
}

// New returns an exchange without counts. Nodes exchange none until SetHubs.
func New(config Config) *Exchange {
	return &Exchange{
		config:   config,
		groups:   map[string]*groupCounts{},
		pools:    map[string]*poolCounts{},
		interval: Interval,
		posting:  map[string]bool{},
		failures: map[string]failure{},
		records:  map[string]record{},
		members:  newSum(),
		hubs:     newSum(),
		answered: newSum(),
	}
}

// Interval returns the current time between two posts.
func (exchange *Exchange) Interval() time.Duration {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.interval
}

// maxAge is the age at which counts end that were not renewed.
func (exchange *Exchange) maxAge() time.Duration { return ageIntervals * exchange.interval }

// Group returns what the other nodes together have in progress at a group, and its age. It
// returns false if there is no sum, or none that is fresh.
func (exchange *Exchange) Group(name string, now time.Time) (GroupUse, time.Duration, bool) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	sums, age, fresh := exchange.others(now)
	if !fresh {
		return GroupUse{}, 0, false
	}
	use := GroupUse{Group: name}
	for _, sum := range sums {
		use.add(sum.groups[name], 1)
	}
	return use.withMean(), age, true
}

// Pool returns what callers ask of one pool at all nodes, this one included, and the time that
// it takes until nodes see each other's requests. It returns false if there is no sum, or none
// that is fresh.
func (exchange *Exchange) Pool(name string, now time.Time) (PoolUse, time.Duration, bool) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	sums, age, fresh := exchange.others(now)
	if !fresh {
		return PoolUse{}, 0, false
	}
	own := exchange.pool(name, now)
	use := PoolUse{Pool: name, Arrivals: own.arrivals, Refused: own.refused, Worked: own.worked, PromptTokens: own.promptTokens}
	for _, sum := range sums {
		others := sum.pools[name]
		use.Arrivals += others.Arrivals
		use.Refused += others.Refused
		use.Worked += others.Worked
		use.PromptTokens += others.PromptTokens
	}
	return use, age + exchange.interval, true
}

// Pools returns what callers ask of each pool at all nodes, this one included, and its age.
// It returns false if there is no sum, or none that is fresh.
func (exchange *Exchange) Pools(now time.Time) ([]PoolUse, time.Duration, bool) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	sums, age, fresh := exchange.others(now)
	if !fresh {
		return nil, 0, false
	}
	total := newSum()
	total.apply(exchange.ownMessage(now), 1)
	for _, sum := range sums {
		for _, use := range sum.pools {
			total.addPool(use, 1)
		}
	}
	return total.sortedPools(), age, true
}

// others returns the sums that make up what the other nodes do, and the age of the oldest.
func (exchange *Exchange) others(now time.Time) ([]sum, time.Duration, bool) {
	exchange.drop(now)
	if len(exchange.domains) == 0 {
		return nil, 0, false
	}
	if exchange.settled(now) {
		return []sum{exchange.members, exchange.hubs}, exchange.oldestHub(now), exchange.covered(exchange.members, exchange.hubs)
	}
	age := now.Sub(exchange.answeredAt)
	if exchange.answeredAt.IsZero() || age > exchange.maxAge() {
		return nil, 0, false
	}
	return []sum{exchange.answered}, age, exchange.covered(exchange.answered)
}

// covered reports whether sums contain at least half of the nodes with this one. A hub that
// reaches no other node, and the first nodes of a new release, would else take all groups for
// idle.
func (exchange *Exchange) covered(sums ...sum) bool {
	counted := 1
	for _, sum := range sums {
		counted += sum.nodes
	}
	return 2*counted >= exchange.nodes
}
