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

// simulation runs fleets against a simulated store with leases, on one clock.
// Requests and responses take random times and can be lost; nodes can be paused.
type simulation struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	nodes  map[string]*simNode
	names  []string
	queue  deliveries

	// loss is the probability that a request is lost, and the same for a
	// response. delay is the longest time that either takes.
	loss         float64
	delay        time.Duration
	storeDown    bool
	disconnected map[string]bool

	simStore

	// era rises when the store returns from one of the copies, which are made with each
	// step of the clock.
	era    uint64
	copies []simStore

	scheduledDeliveries int
	nextExpiry          time.Time

	// calls is the number of calls that reached the store in each second.
	calls map[int]int

	// onLeadership, if set, receives each LeadershipHeld and LeadershipLost.
	onLeadership func(name string, effect Effect)
}

// simStore is what a copy of the store contains. Revisions have no era.
type simStore struct {
	entries      map[string]kvstore.Entry
	leases       map[string]simLease
	revision     uint64
	issuedLeases int
}

func (store simStore) clone() simStore {
	store.entries = maps.Clone(store.entries)
	store.leases = maps.Clone(store.leases)
	return store
}

type simLease struct {
	ttl     time.Duration
	expires time.Time
}

type simNode struct {
	fleet     *Fleet
	paused    bool
	backlog   []Event
	heldUntil map[string]time.Time
}

// delivery is a function that is called at a simulated time.
type delivery struct {
	at       time.Time
	sequence int
	run      func()
}

// deliveries is a heap ordered by time; deliveries at the same time keep the
// order in which they were scheduled.
type deliveries []delivery

func (queue deliveries) Len() int       { return len(queue) }
func (queue deliveries) Swap(i, j int)  { queue[i], queue[j] = queue[j], queue[i] }
func (queue *deliveries) Push(item any) { *queue = append(*queue, item.(delivery)) }

func (queue deliveries) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].sequence < queue[j].sequence
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
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          start,
		start:        start,
		nodes:        map[string]*simNode{},
		delay:        20 * time.Millisecond,
		disconnected: map[string]bool{},
		simStore:     simStore{entries: map[string]kvstore.Entry{}, leases: map[string]simLease{}},
		era:          1,
		calls:        map[int]int{},
	}
}

func (sim *simulation) add(name, incarnation, failureDomain string) *simNode {
	node := &simNode{heldUntil: map[string]time.Time{}, fleet: New(Config{
		Name:          name,
		Incarnation:   incarnation,
		FailureDomain: failureDomain,
		PeerAddress:   name + ":1",
		Random:        rand.New(rand.NewPCG(sim.random.Uint64(), 2)),
	})}
	if _, found := sim.nodes[name]; !found {
		sim.names = append(sim.names, name)
	}
	sim.nodes[name] = node
	return node
}

func (sim *simulation) remove(name string) {
	delete(sim.nodes, name)
	sim.names = slices.DeleteFunc(sim.names, func(other string) bool { return other == name })
}

// maxCopies is the number of copies of the store that are kept: 15 s.
const maxCopies = 60

// restore makes the store return from a copy that was made a number of steps ago. Ids of
// leases and revisions are given out again. All watches start again with a listing.
func (sim *simulation) restore(steps int) {
	if steps >= len(sim.copies) {
		return
	}
	sim.copies = sim.copies[:len(sim.copies)-steps]
	sim.simStore = sim.copies[len(sim.copies)-1].clone()
	sim.era++
	sim.nextExpiry = sim.now
	for _, name := range sim.names {
		node := sim.nodes[name]
		for _, prefix := range []string{NodePrefix, DomainPrefix} {
			sim.scheduleWithin(sim.delay, func() { sim.watch(name, node, prefix) })
		}
	}
}

// joined returns a revision with the era.
func (sim *simulation) joined(revision uint64) uint64 {
	joined, err := kvstore.JoinRevision(sim.era, revision)
	if err != nil {
		panic(err)
	}
	return joined
}

func (sim *simulation) joinedEntry(entry kvstore.Entry) kvstore.Entry {
	entry.Revision = sim.joined(entry.Revision)
	return entry
}

// advance moves the clock in steps of 250 ms and delivers a Tick to every node
// after each.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now.Add(duration)
	for sim.now.Before(end) {
		step := sim.now.Add(250 * time.Millisecond)
		sim.deliverUntil(step)
		sim.now = step
		sim.expireLeases()
		sim.copies = append(sim.copies, sim.clone())
		if len(sim.copies) > maxCopies {
			sim.copies = sim.copies[1:]
		}
		for _, name := range sim.names {
			sim.deliver(name, sim.nodes[name], Tick{})
		}
	}
}

func (sim *simulation) deliverUntil(end time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(delivery)
		if next.at.After(sim.now) {
			sim.now = next.at
		}
		sim.expireLeases()
		next.run()
	}
}

func (sim *simulation) scheduleWithin(longest time.Duration, run func()) {
	delay := time.Duration(sim.random.Int64N(int64(longest) + 1))
	sim.schedule(delay, run)
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.scheduledDeliveries++
	heap.Push(&sim.queue, delivery{at: sim.now.Add(delay), sequence: sim.scheduledDeliveries, run: run})
}

func (sim *simulation) expireLeases() {
	if sim.now.Before(sim.nextExpiry) {
		return
	}
	sim.nextExpiry = sim.now.Add(time.Hour)
	defer sim.updateNextExpiry()
	for _, id := range slices.Sorted(maps.Keys(sim.leases)) {
		if !sim.now.Before(sim.leases[id].expires) {
			sim.endLease(id)
		}
	}
}

// updateNextExpiry sets nextExpiry to the earliest expiry. A renewal need not
// update it, because it only makes an expiry later.
func (sim *simulation) updateNextExpiry() {
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
		sim.notifyWatchers(KeysChanged{Revision: sim.joined(sim.revision), Deleted: []string{key}})
	}
}

// notifyWatchers delivers a change to the nodes that watch.
func (sim *simulation) notifyWatchers(event KeysChanged) {
	for _, name := range sim.names {
		if node := sim.nodes[name]; node.fleet.Watching() {
			sim.scheduleWithin(sim.delay, func() { sim.deliver(name, node, event) })
		}
	}
}

// deliver passes an event to a node. A paused node receives it when it resumes.
func (sim *simulation) deliver(name string, node *simNode, event Event) {
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
		sim.deliver(name, node, event)
	}
}

// call carries out a request at the store and delivers the response to the node.
// If the request or the response is lost, it delivers lost.
func (sim *simulation) call(name string, node *simNode, request func() Event, lost Event) {
	answer := func(event Event) {
		if event != nil {
			sim.scheduleWithin(sim.delay, func() { sim.deliver(name, node, event) })
		}
	}
	if sim.storeDown || sim.disconnected[name] || sim.random.Float64() < sim.loss {
		answer(lost)
		return
	}
	sim.scheduleWithin(sim.delay, func() {
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
		sim.call(name, node, func() Event { return sim.list(NodePrefix) }, ListFailed{})
	case SetWatching:
		for _, prefix := range []string{NodePrefix, DomainPrefix} {
			sim.watch(name, node, prefix)
		}
	case GrantLease:
		sim.call(name, node, func() Event {
			sim.issuedLeases++
			id := fmt.Sprint("lease-", sim.issuedLeases)
			sim.leases[id] = simLease{ttl: effect.TTL, expires: sim.now.Add(effect.TTL)}
			sim.updateNextExpiry()
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
			return LeaseRenewed{Lease: effect.Lease, Sent: sent, Era: sim.era}
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
			return LeaderRead{Domain: effect.Domain, Entry: sim.joinedEntry(sim.entries[effect.Key])}
		}, LeaderRead{Domain: effect.Domain, Err: errors.New("read of the leader key: message lost")})
	case ReleaseDomain:
		sim.call(name, node, func() Event { sim.delete(effect.Key, effect.Revision); return nil }, nil)
	case LeadershipHeld:
		node.heldUntil[effect.Domain] = effect.Until
		sim.reportLeadership(name, effect)
	case LeadershipLost:
		delete(node.heldUntil, effect.Domain)
		sim.reportLeadership(name, effect)
	}
}

func (sim *simulation) reportLeadership(name string, effect Effect) {
	if sim.onLeadership != nil {
		sim.onLeadership(name, effect)
	}
}

// watch retries the first listing of a watch until it succeeds, like the shell.
func (sim *simulation) watch(name string, node *simNode, prefix string) {
	if sim.nodes[name] != node || !node.fleet.Watching() {
		return
	}
	if sim.storeDown || sim.disconnected[name] {
		sim.schedule(time.Second, func() { sim.watch(name, node, prefix) })
		return
	}
	listing := sim.list(prefix)
	sim.scheduleWithin(sim.delay, func() { sim.deliver(name, node, listing) })
}

func (sim *simulation) list(prefix string) Event {
	listed := KeysListed{Prefix: prefix, Revision: sim.joined(sim.revision)}
	for key, entry := range sim.entries {
		if strings.HasPrefix(key, prefix) {
			listed.Entries = append(listed.Entries, sim.joinedEntry(entry))
		}
	}
	slices.SortFunc(listed.Entries, func(left, right kvstore.Entry) int { return cmp.Compare(left.Key, right.Key) })
	return listed
}

func (sim *simulation) put(key string, value []byte, lease string, createOnly bool) kvstore.PutOutcome {
	if _, found := sim.leases[lease]; !found {
		return kvstore.Refused{Err: errors.New("put: lease does not exist")}
	}
	if present, found := sim.entries[key]; found && createOnly {
		return kvstore.Conflict{Revision: sim.joined(present.Revision)}
	}
	sim.revision++
	entry := kvstore.Entry{Key: key, Value: value, Revision: sim.revision, Lease: lease}
	sim.entries[key] = entry
	sim.notifyWatchers(KeysChanged{Revision: sim.joined(sim.revision), Entries: []kvstore.Entry{sim.joinedEntry(entry)}})
	return kvstore.Written{Revision: sim.joined(sim.revision)}
}

func (sim *simulation) delete(key string, revision uint64) {
	if sim.joined(sim.entries[key].Revision) != revision {
		return
	}
	sim.revision++
	delete(sim.entries, key)
	sim.notifyWatchers(KeysChanged{Revision: sim.joined(sim.revision), Deleted: []string{key}})
}

// leaders returns the nodes whose Fleet reports at the current time that they
// lead a domain. This includes paused nodes until the safe end of their lease.
func (sim *simulation) leaders(domain string) []string {
	var leaders []string
	for _, name := range sim.names {
		if _, leads := sim.nodes[name].fleet.Leads(domain, sim.now); leads {
			leaders = append(leaders, name)
		}
	}
	return leaders
}

// reportedLeaders returns the nodes whose last LeadershipHeld for a domain has
// not ended.
func (sim *simulation) reportedLeaders(domain string) []string {
	var reported []string
	for _, name := range sim.names {
		if until, held := sim.nodes[name].heldUntil[domain]; held && sim.now.Before(until) {
			reported = append(reported, name)
		}
	}
	return reported
}
