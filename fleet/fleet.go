// Package fleet decides which nodes are alive, which node leads each fabric
// domain, which peers a node links to and which nodes watch the store.
//
// A Fleet is the view of one node. It performs no I/O and reads no clock: the
// shell passes events with the time at which it handles them and carries out
// the effects that come back. Every time in an event is on the monotonic clock
// of this process.
//
// # Leases
//
// A node keeps its record and the keys of the domains it leads attached to one
// lease. The lease is safe to rely on until the time at which its grant or last
// renewal was sent plus its TTL, less a margin for the rate of the clocks; the
// time of the answer is never used. A node that was paused past that time gives
// up its domains before anything else.
//
// # Usage
//
//	members := fleet.New(fleet.Config{Name: "node-1", Incarnation: "1", Random: random})
//	for event := range events {
//		for _, effect := range members.Handle(timer.Now(), event) {
//			switch effect := effect.(type) {
//			case fleet.RenewLease:
//				go renew(effect.Lease)
//			case fleet.SetPeers:
//				mesh.SetTargets(effect.Targets)
//			}
//		}
//	}
package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config is the configuration of a Fleet.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// PeerAddress and AdminAddress are IP:port.
	PeerAddress  string
	AdminAddress string

	// Seeds are peer addresses to dial while few nodes are known.
	Seeds []string

	// LeaseMinimum is the shortest lease; 0 means DefaultLeaseMinimum.
	LeaseMinimum time.Duration

	// ClaimStep is how long a candidate for a domain waits for each one before
	// it; 0 means DefaultClaimStep.
	ClaimStep time.Duration

	// SettleNear and SettleFar are how long a node that was just started leaves
	// domains in its own failure domain and in others to nodes that may be
	// starting at the same time; 0 means DefaultSettleNear and
	// DefaultSettleFar.
	SettleNear time.Duration
	SettleFar  time.Duration

	// Mirrored says that nodes which do not hold the store's watches read them
	// through those that do. Every node then counts as watching.
	Mirrored bool

	// Random spreads retries and polls. It is required.
	Random *rand.Rand
}

// DefaultLeaseMinimum is the shortest lease of a node: three renewals of 3 s.
const DefaultLeaseMinimum = 9 * time.Second

const (
	// ForgetNode is how long a node that was known only by its link is dialled
	// after the link went down. Nodes are replaced within minutes.
	ForgetNode = 5 * time.Minute

	// ForgetDomain is how long a fabric domain stays known that is missing
	// from the list of VMs, which lags and can be empty by mistake.
	ForgetDomain = 10 * time.Minute
)

// A Fleet is the state of one node's view of the fleet. It is not safe for
// concurrent use.
type Fleet struct {
	config  Config
	self    Node
	value   []byte
	random  *rand.Rand
	effects []Effect

	lease   lease
	members map[string]*member

	// loose is the members that may be neither recorded nor linked.
	loose map[string]*member

	domains map[string]*domain

	// ordered is the domains by name.
	ordered []*domain

	// listed says that the nodes were listed once. listing says that a
	// ListNodes is not answered yet.
	listed     bool
	listing    bool
	listAt     time.Time
	listErrors int

	// writtenAt is when this node's record was first written.
	writtenAt time.Time

	watching bool
	stopping bool
	stopped  bool

	// changed says that the members changed since the peers, watches and
	// candidates were chosen.
	changed bool
	targets []Target

	// relay is computed when it is first asked for; relayStale says that the
	// members changed since, relayDropAt when it may be computed anew.
	relay       *relay
	relayStale  bool
	relayDropAt time.Time
}

// New returns a fleet that knows of no other node.
func New(config Config) *Fleet {
	if config.LeaseMinimum == 0 {
		config.LeaseMinimum = DefaultLeaseMinimum
	}
	if config.ClaimStep == 0 {
		config.ClaimStep = DefaultClaimStep
	}
	if config.SettleNear == 0 {
		config.SettleNear = DefaultSettleNear
	}
	if config.SettleFar == 0 {
		config.SettleFar = DefaultSettleFar
	}
	self := Node{
		Name:          config.Name,
		Incarnation:   config.Incarnation,
		FailureDomain: config.FailureDomain,
		PeerAddress:   config.PeerAddress,
		AdminAddress:  config.AdminAddress,
	}
	value, err := json.Marshal(self)
	if err != nil {
		panic(errors.Annotate(err, "fleet: node record"))
	}
	fleet := &Fleet{
		config:  config,
		self:    self,
		value:   value,
		random:  config.Random,
		members: make(map[string]*member),
		loose:   make(map[string]*member),
		domains: make(map[string]*domain),
		changed: true,
	}
	fleet.members[self.Name] = &member{node: self, hash: hashName(self.Name), self: true}
	return fleet
}

// Handle takes in an event at now, which carries the monotonic reading, and
// returns the effects to carry out in order.
func (fleet *Fleet) Handle(now time.Time, event Event) []Effect {
	fleet.effects = nil
	fleet.dropLapsed(now)
	fleet.take(now, event)
	fleet.dropLapsed(now)
	if !fleet.stopped {
		fleet.choose()
		fleet.list(now)
		fleet.keepLease(now)
		fleet.lead(now)
	}
	return fleet.effects
}

func (fleet *Fleet) take(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
		fleet.forget(now)
		fleet.dropRelay(now)
	case KeysListed:
		fleet.takeListing(now, event)
	case ListFailed:
		fleet.listing = false
		fleet.listErrors++
		fleet.listAt = now.Add(fleet.listRetry())
	case KeysChanged:
		fleet.takeChanges(now, event)
	case DomainsKnown:
		fleet.takeDomains(now, event.Domains)
	case LinkOpened:
		fleet.openLink(event.Node)
	case LinkClosed:
		fleet.closeLink(now, event.Name)
	case ClaimDone:
		fleet.takeClaim(now, event)
	case LeaderRead:
		fleet.takeLeader(now, event)
	case Stopping:
		fleet.stop()
	case Stopped:
		fleet.stop()
		fleet.end()
	default:
		fleet.takeLease(now, event)
	}
}

// stop gives up the domains that this node leads.
func (fleet *Fleet) stop() {
	fleet.stopping = true
	for _, domain := range fleet.ordered {
		fleet.release(domain)
	}
}

// end revokes the lease, with which the node's record goes.
func (fleet *Fleet) end() {
	if fleet.stopped {
		return
	}
	fleet.stopped = true
	if fleet.lease.id != "" {
		fleet.emit(RevokeLease{Lease: fleet.lease.id})
	}
	fleet.lease = lease{}
}

// Nodes returns the nodes that are alive as far as this node knows, itself
// included, by name.
func (fleet *Fleet) Nodes() []Node {
	nodes := make([]Node, 0, len(fleet.members))
	for _, member := range fleet.members {
		nodes = append(nodes, member.node)
	}
	slices.SortFunc(nodes, func(left, right Node) int { return strings.Compare(left.Name, right.Name) })
	return nodes
}

// Size returns the number of nodes that are alive as far as this node knows,
// itself included.
func (fleet *Fleet) Size() int { return len(fleet.members) }

// Alive reports whether a node is alive as far as this node knows.
func (fleet *Fleet) Alive(name string) bool {
	_, found := fleet.members[name]
	return found
}

// Leads reports whether this node leads the domain at now, and until when at
// least. The shell asks right before each effect of a leader.
func (fleet *Fleet) Leads(domain string, now time.Time) (until time.Time, leads bool) {
	state, found := fleet.domains[domain]
	if !found || !state.mine || !fleet.lease.safe(now) {
		return time.Time{}, false
	}
	return fleet.lease.until, true
}

// Led returns the domains that this node leads at now, by name.
func (fleet *Fleet) Led(now time.Time) []string {
	var names []string
	for _, domain := range fleet.ordered {
		if _, leads := fleet.Leads(domain.name, now); leads {
			names = append(names, domain.name)
		}
	}
	return names
}

// LeaderOf returns the leader of a domain as last read from the store. A node
// that does not watch knows only the domains that it may come to lead.
func (fleet *Fleet) LeaderOf(domain string) (Leader, bool) {
	state, found := fleet.domains[domain]
	if !found || state.state != leaderPresent {
		return Leader{}, false
	}
	return state.leader, true
}

// Rank returns how many candidates to lead a domain come before this node. It
// reports false for an unknown domain.
func (fleet *Fleet) Rank(domain string) (rank int, known bool) {
	state, found := fleet.domains[domain]
	if !found {
		return 0, false
	}
	return state.rank, true
}

// Watching reports whether this node holds store watches.
func (fleet *Fleet) Watching() bool { return fleet.watching }

// LeaseUntil returns until when the node's lease is safe to rely on; it is
// zero without a lease.
func (fleet *Fleet) LeaseUntil() time.Time { return fleet.lease.until }

// LongestLease returns the longest lease that a node holds at the present size
// of the fleet, as far as this node knows.
func (fleet *Fleet) LongestLease() time.Duration {
	return max(fleet.lease.ttl, renewalsPerLease*fleet.interval())
}

func (fleet *Fleet) emit(effect Effect) { fleet.effects = append(fleet.effects, effect) }

const (
	// firstBackoff and lastBackoff bound the wait after a failed store call;
	// it doubles with each failure and a random half is taken off.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 15 * time.Second

	// backoffDoublings reach lastBackoff.
	backoffDoublings = 5
)

func (fleet *Fleet) backoff(failures int) time.Duration {
	wait := firstBackoff << min(max(failures-1, 0), backoffDoublings)
	return fleet.between(min(wait, lastBackoff)/2, min(wait, lastBackoff))
}

// between returns a random duration of at least low and less than high.
func (fleet *Fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(fleet.random.Int64N(int64(high-low)))
}
