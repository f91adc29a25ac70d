package fleet

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// simulation runs fleets against a store with leases, on one clock. Requests
// and answers take random times and can be lost; nodes can be paused.
type simulation struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	nodes  map[string]*simNode
	order  []string
	queue  deliveries

	// loss is the chance that a request or its answer is lost, delay the
	// longest time of either.
	loss  float64
	delay time.Duration
	down  bool
	cut   map[string]bool

	entries  map[string]kvstore.Entry
	leases   map[string]simLease
	revision uint64
	issued   int

	issuedDeliveries int
	nextExpiry       time.Time

	// calls counts the calls that reached the store, by second.
	calls map[int]int

	// lead, when set, is told of each LeadershipHeld and LeadershipLost.
	lead func(name string, effect Effect)
}

type simLease struct {
	ttl     time.Duration
	expires time.Time
}

type simNode struct {
	fleet   *Fleet
	paused  bool
	backlog []Event
	held    map[string]time.Time
}

// delivery is something that happens at a time.
type delivery struct {
	at     time.Time
	number int
	run    func()
}

// deliveries is a heap by time; those of the same time are in order.
type deliveries []delivery

func (queue deliveries) Len() int       { return len(queue) }
func (queue deliveries) Swap(i, j int)  { queue[i], queue[j] = queue[j], queue[i] }
func (queue *deliveries) Push(item any) { *queue = append(*queue, item.(delivery)) }

func (queue deliveries) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].number < queue[j].number
	}
	return queue[i].at.Before(queue[j].at)
}

func (queue *deliveries) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	*queue = (*queue)[:last]
	return item
}

func newSimulation(seed uint64) *simulation {
	start := time.Now()
	return &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		start:   start,
		nodes:   map[string]*simNode{},
		delay:   20 * time.Millisecond,
		cut:     map[string]bool{},
		entries: map[string]kvstore.Entry{},
		leases:  map[string]simLease{},
		calls:   map[int]int{},
	}
}

func (sim *simulation) add(name, incarnation, failureDomain string) *simNode {
	node := &simNode{held: map[string]time.Time{}, fleet: New(Config{
		Name:          name,
		Incarnation:   incarnation,
		FailureDomain: failureDomain,
		PeerAddress:   name + ":1",
		Random:        rand.New(rand.NewPCG(sim.random.Uint64(), 2)),
	})}
	if _, found := sim.nodes[name]; !found {
		sim.order = append(sim.order, name)
	}
	sim.nodes[name] = node
	return node
}

func (sim *simulation) remove(name string) {
	delete(sim.nodes, name)
	sim.order = slices.DeleteFunc(sim.order, func(other string) bool { return other == name })
}

// advance lets time pass in steps of 250 ms with a tick each.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now.Add(duration)
	for sim.now.Before(end) {
		step := sim.now.Add(250 * time.Millisecond)
		sim.deliverUntil(step)
		sim.now = step
		sim.expire()
		for _, name := range sim.order {
			sim.give(name, sim.nodes[name], Tick{})
		}
	}
}

func (sim *simulation) deliverUntil(end time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(delivery)
		if next.at.After(sim.now) {
			sim.now = next.at
		}
		sim.expire()
		next.run()
	}
}

func (sim *simulation) later(longest time.Duration, run func()) {
	delay := time.Duration(sim.random.Int64N(int64(longest) + 1))
	sim.at(delay, run)
}

func (sim *simulation) at(delay time.Duration, run func()) {
	sim.issuedDeliveries++
	heap.Push(&sim.queue, delivery{at: sim.now.Add(delay), number: sim.issuedDeliveries, run: run})
}

func (sim *simulation) expire() {
	if sim.now.Before(sim.nextExpiry) {
		return
	}
	sim.nextExpiry = sim.now.Add(time.Hour)
	defer sim.findExpiry()
	for _, id := range slices.Sorted(maps.Keys(sim.leases)) {
		if !sim.now.Before(sim.leases[id].expires) {
			sim.endLease(id)
		}
	}
}

// findExpiry notes the earliest expiry; a renewal only moves one later.
func (sim *simulation) findExpiry() {
	for _, lease := range sim.leases {
		if lease.expires.Before(sim.nextExpiry) {
			sim.nextExpiry = lease.expires
		}
	}
}

func (sim *simulation) endLease(id string) {
	delete(sim.leases, id)
	var keys []string
	for key, entry := range sim.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		sim.revision++
		delete(sim.entries, key)
		sim.changed(KeysChanged{Revision: sim.revision, Deleted: []string{key}})
	}
}

// changed passes a change to the nodes that watch.
func (sim *simulation) changed(event KeysChanged) {
	for _, name := range sim.order {
		if node := sim.nodes[name]; node.fleet.Watching() {
			sim.later(sim.delay, func() { sim.give(name, node, event) })
		}
	}
}

// give hands an event to a node; a paused one gets it when it resumes.
func (sim *simulation) give(name string, node *simNode, event Event) {
	if sim.nodes[name] != node {
		return
	}
	if node.paused {
		if _, tick := event.(Tick); !tick {
			node.backlog = append(node.backlog, event)
		}
		return
	}
	for _, effect := range node.fleet.Handle(sim.now, event) {
		sim.execute(name, node, effect)
	}
}

func (sim *simulation) resume(name string) {
	node := sim.nodes[name]
	node.paused = false
	backlog := node.backlog
	node.backlog = nil
	for _, event := range backlog {
		sim.give(name, node, event)
	}
}

// call runs a request at the store and gives its answer to the node; lost is
// the answer when either was lost.
func (sim *simulation) call(name string, node *simNode, request func() Event, lost Event) {
	answer := func(event Event) {
		if event != nil {
			sim.later(sim.delay, func() { sim.give(name, node, event) })
		}
	}
	if sim.down || sim.cut[name] || sim.random.Float64() < sim.loss {
		answer(lost)
		return
	}
	sim.later(sim.delay, func() {
		sim.calls[int(sim.now.Sub(sim.start)/time.Second)]++
		event := request()
		if sim.random.Float64() < sim.loss {
			event = lost
		}
		answer(event)
	})
}

func (sim *simulation) execute(name string, node *simNode, effect Effect) {
	sent := sim.now
	switch effect := effect.(type) {
	case ListNodes:
		sim.call(name, node, func() Event { return sim.listed(NodePrefix) }, ListFailed{})
	case SetWatching:
		for _, prefix := range []string{NodePrefix, DomainPrefix} {
			sim.watch(name, node, prefix)
		}
	case GrantLease:
		sim.call(name, node, func() Event {
			sim.issued++
			id := fmt.Sprint("lease-", sim.issued)
			sim.leases[id] = simLease{ttl: effect.TTL, expires: sim.now.Add(effect.TTL)}
			sim.findExpiry()
			return LeaseGranted{Lease: id, TTL: effect.TTL, Sent: sent}
		}, LeaseGrantFailed{})
	case RenewLease:
		sim.call(name, node, func() Event {
			lease, found := sim.leases[effect.Lease]
			if !found {
				return LeaseMissing(effect)
			}
			lease.expires = sim.now.Add(lease.ttl)
			sim.leases[effect.Lease] = lease
			return LeaseRenewed{Lease: effect.Lease, Sent: sent}
		}, LeaseRenewFailed(effect))
	case RevokeLease:
		sim.call(name, node, func() Event { sim.endLease(effect.Lease); return nil }, nil)
	case WriteNode:
		sim.call(name, node, func() Event {
			return NodeWritten{Lease: effect.Lease, Outcome: sim.put(effect.Key, effect.Value, effect.Lease, false)}
		}, NodeWritten{Lease: effect.Lease, Outcome: kvstore.Unknown{}})
	case ClaimDomain:
		sim.call(name, node, func() Event {
			outcome := sim.put(effect.Key, effect.Value, effect.Lease, true)
			return ClaimDone{Domain: effect.Domain, Lease: effect.Lease, Outcome: outcome}
		}, ClaimDone{Domain: effect.Domain, Lease: effect.Lease, Outcome: kvstore.Unknown{}})
	case ReadLeader:
		sim.call(name, node, func() Event {
			return LeaderRead{Domain: effect.Domain, Entry: sim.entries[effect.Key]}
		}, LeaderRead{Domain: effect.Domain, Err: errors.New("lost")})
	case ReleaseDomain:
		sim.call(name, node, func() Event { sim.delete(effect.Key, effect.Revision); return nil }, nil)
	case LeadershipHeld:
		node.held[effect.Domain] = effect.Until
		sim.tell(name, effect)
	case LeadershipLost:
		delete(node.held, effect.Domain)
		sim.tell(name, effect)
	}
}

func (sim *simulation) tell(name string, effect Effect) {
	if sim.lead != nil {
		sim.lead(name, effect)
	}
}

// watch repeats the first listing of a watch until it is answered, like the
// shell.
func (sim *simulation) watch(name string, node *simNode, prefix string) {
	if sim.nodes[name] != node || !node.fleet.Watching() {
		return
	}
	if sim.down || sim.cut[name] {
		sim.at(time.Second, func() { sim.watch(name, node, prefix) })
		return
	}
	listing := sim.listed(prefix)
	sim.later(sim.delay, func() { sim.give(name, node, listing) })
}

func (sim *simulation) listed(prefix string) Event {
	listed := KeysListed{Prefix: prefix, Revision: sim.revision}
	for key, entry := range sim.entries {
		if strings.HasPrefix(key, prefix) {
			listed.Entries = append(listed.Entries, entry)
		}
	}
	slices.SortFunc(listed.Entries, func(left, right kvstore.Entry) int { return cmp.Compare(left.Key, right.Key) })
	return listed
}

func (sim *simulation) put(key string, value []byte, lease string, createOnly bool) kvstore.PutOutcome {
	if _, found := sim.leases[lease]; !found {
		return kvstore.Refused{Err: errors.New("lease")}
	}
	if present, found := sim.entries[key]; found && createOnly {
		return kvstore.Conflict{Revision: present.Revision}
	}
	sim.revision++
	entry := kvstore.Entry{Key: key, Value: value, Revision: sim.revision, Lease: lease}
	sim.entries[key] = entry
	sim.changed(KeysChanged{Revision: sim.revision, Entries: []kvstore.Entry{entry}})
	return kvstore.Written{Revision: sim.revision}
}

func (sim *simulation) delete(key string, revision uint64) {
	if sim.entries[key].Revision != revision {
		return
	}
	sim.revision++
	delete(sim.entries, key)
	sim.changed(KeysChanged{Revision: sim.revision, Deleted: []string{key}})
}

// leaders returns the nodes that believe at this moment that they lead a
// domain. A node that is paused here has handled nothing, so its belief counts
// only as far as its lease.
func (sim *simulation) leaders(domain string) []string {
	var leaders []string
	for _, name := range sim.order {
		if _, leads := sim.nodes[name].fleet.Leads(domain, sim.now); leads {
			leaders = append(leaders, name)
		}
	}
	return leaders
}

// told returns the nodes whose owners were told that they lead a domain until
// a time that has not come.
func (sim *simulation) told(domain string) []string {
	var told []string
	for _, name := range sim.order {
		if until, held := sim.nodes[name].held[domain]; held && sim.now.Before(until) {
			told = append(told, name)
		}
	}
	return told
}
