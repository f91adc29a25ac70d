// Package fleet decides which nodes are alive, which node leads each fabric
// domain, which peers a node links to and which nodes watch the store.
//
// A Fleet is one node's view of the other nodes and of the fabric domains. It
// performs no I/O and reads no clock. The shell, which does the I/O for it
// (package control), passes each event with the time at which it handles the
// event and carries out the effects that Handle returns. All times in events
// are readings of this process's monotonic clock.
//
// # Leases
//
// A node attaches its record and the leader keys of the domains that it leads
// to one lease in the store. The lease is safe to rely on until its safe end:
// the time at which its grant or last renewal was sent, plus its TTL, minus a
// margin for clocks that run at different rates. The time of the response is
// never used, because the store counts the TTL from when it handles the
// request. A node that was paused past the safe end reports its domains as lost
// before it emits any other effect.
//
// A store that returns from an older copy (kvstore.JoinRevision) has lost leases and
// renewals, and may give out their ids again. A node relies on its lease again once it
// has found its record under that lease in the copy and renewed it. Domains without a
// leader in the copy are claimed only when all leases of the time before have ended.
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

	// ProcessorShare is the share of a core that the node may use, 0 if it is not
	// known.
	ProcessorShare float64

	// Seeds are peer addresses to dial in addition to those of known nodes. A
	// fleet of more than FullMeshNodes dials them only while no link is up.
	Seeds []string

	// LeaseMinimum is the shortest TTL of the node's lease; 0 means
	// DefaultLeaseMinimum.
	LeaseMinimum time.Duration

	// ClaimStep is how long a candidate waits, for each candidate ranked before
	// it, before it claims a domain without a leader; 0 means DefaultClaimStep.
	ClaimStep time.Duration

	// SettleNear and SettleFar are how long a node claims no domain after its
	// record was first written, because better-ranked nodes may be starting at
	// the same time. SettleNear applies to domains in the node's own failure
	// domain, SettleFar to the others; 0 means DefaultSettleNear and
	// DefaultSettleFar.
	SettleNear time.Duration
	SettleFar  time.Duration

	// Mirrored is set when nodes without store watches of their own read the
	// changes through nodes that have them (package mirror). Every node then
	// counts as watching.
	Mirrored bool

	// RenewalsPerSecond bounds the lease renewals per second of all nodes together;
	// 0 means DefaultRenewalsPerSecond. A lower rate makes leases longer, and a
	// leader that cannot reach the store is replaced later.
	RenewalsPerSecond int

	// Random randomizes the times of retries and polls. It is required.
	Random *rand.Rand
}

// DefaultLeaseMinimum is the shortest TTL of a node's lease: three renewal
// intervals of 3 s.
const DefaultLeaseMinimum = 9 * time.Second

const (
	// UnlinkedNodeTimeout is how long a node without a record in the store is
	// still dialled after its link went down. Nodes are replaced within minutes.
	UnlinkedNodeTimeout = 5 * time.Minute

	// UnlistedDomainTimeout is how long a fabric domain is kept after its last
	// VM disappeared from the list of VMs. The list lags and can be empty by
	// mistake.
	UnlistedDomainTimeout = 10 * time.Minute
)

// A Fleet is one node's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	config     Config
	self       Node
	selfRecord []byte
	random     *rand.Rand
	effects    []Effect

	lease   lease
	members map[string]*member

	// removable holds the members that lost their record or link. They are
	// removed once they have neither.
	removable map[string]*member

	domains map[string]*domain

	// sortedDomains holds the domains in order of their names.
	sortedDomains []*domain

	// era is the latest era of the store that this node has seen, and eraBeganAt when it
	// first saw it. Both are zero before the first listing.
	era        uint64
	eraBeganAt time.Time

	// startRevision is the store's revision at the first listing of any keys.
	startRevision uint64

	// nodesListed is set after the first listing of the nodes. listPending is
	// set while a ListNodes effect is unanswered.
	nodesListed  bool
	listPending  bool
	nextListAt   time.Time
	listFailures int

	// leadersListed is set after the first listing of the leader keys.
	leadersListed bool

	// recordWrittenAt is when this node's record was first written.
	recordWrittenAt time.Time

	watching bool
	stopping bool
	stopped  bool

	// membersChanged is set when the members or domains changed after the peers,
	// watches and candidates were last chosen.
	membersChanged bool
	peerTargets    []Target

	// relay is computed when RelayTo needs it. relayStale is set when the members
	// have changed since; relayRefreshAt is the earliest time at which it is
	// dropped to be recomputed.
	relay          *relayTrees
	relayStale     bool
	relayRefreshAt time.Time

	// readers are the nodes that read the store for the others, and relays those
	// that pass the results on in this node's failure domain.
	readers []*member
	relays  []*member

	// mirroringUntil is the time until which nodes read the store through others.
	mirroringUntil time.Time
}

// New returns a fleet with this node as its only member.
func New(config Config) *Fleet {
	if config.LeaseMinimum == 0 {
		config.LeaseMinimum = DefaultLeaseMinimum
	}
	if config.RenewalsPerSecond == 0 {
		config.RenewalsPerSecond = DefaultRenewalsPerSecond
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

		ProcessorShare: config.ProcessorShare,
	}
	value, err := json.Marshal(self)
	if err != nil {
		panic(errors.Annotate(err, "fleet: encoding node record"))
	}
	fleet := &Fleet{
		config:         config,
		self:           self,
		selfRecord:     value,
		random:         config.Random,
		members:        make(map[string]*member),
		removable:      make(map[string]*member),
		domains:        make(map[string]*domain),
		membersChanged: true,
	}
	fleet.members[self.Name] = &member{node: self, hash: hashName(self.Name), self: true}
	return fleet
}

// Handle applies an event at now, which must carry a monotonic clock reading,
// and returns the effects to carry out in order.
func (fleet *Fleet) Handle(now time.Time, event Event) []Effect {
	fleet.effects = nil
	fleet.reportLeaseExpiry(now)
	fleet.observeEra(now, eraOf(event))
	fleet.apply(now, event)
	fleet.reportLeaseExpiry(now)
	if len(fleet.members) >= MirrorNodes {
		fleet.mirroringUntil = now.Add(mirrorHold)
	}
	if !fleet.stopped {
		fleet.applyMemberChanges()
		fleet.requestNodeList(now)
		fleet.maintainLease(now)
		fleet.advanceDomains(now)
	}
	return fleet.effects
}

func (fleet *Fleet) apply(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
		fleet.removeExpiredMembers(now)
		fleet.refreshRelay(now)
	case KeysListed:
		fleet.applyListing(now, event)
	case ListFailed:
		fleet.listPending = false
		fleet.listFailures++
		fleet.nextListAt = now.Add(fleet.listRetryWait())
	case KeysChanged:
		fleet.applyChanges(now, event)
	case DomainsListed:
		fleet.applyDomains(now, event.Domains)
	case LinkOpened:
		fleet.openLink(event.Node)
	case LinkClosed:
		fleet.closeLink(now, event.Name)
	case ClaimDone:
		fleet.applyClaim(now, event)
	case LeaderRead:
		fleet.applyLeaderRead(now, event)
	case DomainReached:
		fleet.setDetached(event.Domain, !event.Reached)
	case StoreReturned:
		fleet.resumeCalls(now)
	case Stopping:
		fleet.beginStop()
	case Stopped:
		fleet.beginStop()
		fleet.finishStop()
	default:
		fleet.applyLeaseEvent(now, event)
	}
}

// beginStop releases the domains that this node leads and stops it from
// claiming others.
func (fleet *Fleet) beginStop() {
	fleet.stopping = true
	for _, domain := range fleet.sortedDomains {
		fleet.release(domain)
	}
}

// finishStop revokes the lease, once. The store deletes the node's record with
// it.
func (fleet *Fleet) finishStop() {
	if fleet.stopped {
		return
	}
	fleet.stopped = true
	if fleet.lease.id != "" {
		fleet.emit(RevokeLease{Lease: fleet.lease.id})
	}
	fleet.lease = lease{}
}

// Nodes returns the nodes that this node considers alive, itself included, in
// order of their names.
func (fleet *Fleet) Nodes() []Node {
	nodes := make([]Node, 0, len(fleet.members))
	for _, member := range fleet.members {
		nodes = append(nodes, member.node)
	}
	slices.SortFunc(nodes, func(left, right Node) int { return strings.Compare(left.Name, right.Name) })
	return nodes
}

// Era returns the latest era of the store that this node has seen, 0 before the first
// listing and for a store without eras.
func (fleet *Fleet) Era() uint64 { return fleet.era }

// Listed reports whether the nodes have been listed.
func (fleet *Fleet) Listed() bool { return fleet.nodesListed }

// Size returns the number of nodes that this node considers alive, itself
// included.
func (fleet *Fleet) Size() int { return len(fleet.members) }

// Alive reports whether this node considers the named node alive.
func (fleet *Fleet) Alive(name string) bool {
	_, found := fleet.members[name]
	return found
}

// Leads reports whether this node leads the domain at now and returns the safe
// end of its lease. The shell checks it immediately before it carries out an
// effect that only a leader may carry out.
func (fleet *Fleet) Leads(name string, now time.Time) (until time.Time, leads bool) {
	domain, found := fleet.domains[name]
	if !found || !domain.ownsKey || !fleet.lease.isSafe(now) || !fleet.earlierLeasesEnded(now, domain) {
		return time.Time{}, false
	}
	return fleet.lease.safeUntil, true
}

// Led returns the names of the domains that this node leads at now, sorted.
func (fleet *Fleet) Led(now time.Time) []string {
	var names []string
	for _, domain := range fleet.sortedDomains {
		if _, leads := fleet.Leads(domain.name, now); leads {
			names = append(names, domain.name)
		}
	}
	return names
}

// LeaderOf returns the leader of a domain as last read from the store. A node
// without watches reads only the domains for which it is one of the first
// candidates.
func (fleet *Fleet) LeaderOf(name string) (Leader, bool) {
	domain, found := fleet.domains[name]
	if !found || domain.keyState != leaderKeyPresent {
		return Leader{}, false
	}
	return domain.leader, true
}

// LeaderAddress returns the admin address of another node that leads a domain. It
// returns false if this node leads it, or if there is no leader that is alive.
func (fleet *Fleet) LeaderAddress(name string) (string, bool) {
	leader, found := fleet.LeaderOf(name)
	if !found {
		return "", false
	}
	member, alive := fleet.members[leader.Node]
	if !alive || member.self || member.node.AdminAddress == "" {
		return "", false
	}
	return member.node.AdminAddress, true
}

// Rank returns the number of candidates for a domain that rank before this
// node. It returns false for an unknown domain.
func (fleet *Fleet) Rank(name string) (rank int, known bool) {
	domain, found := fleet.domains[name]
	if !found {
		return 0, false
	}
	return domain.rank, true
}

// Watching reports whether this node watches the store.
func (fleet *Fleet) Watching() bool { return fleet.watching }

// LeaseUntil returns the time until which the node's lease is safe to rely on,
// or the zero time without a lease.
func (fleet *Fleet) LeaseUntil() time.Time { return fleet.lease.safeUntil }

// LongestLease returns the longest TTL that this node expects any node's lease
// to have: that of its own lease or of one granted at the current size of the
// fleet.
func (fleet *Fleet) LongestLease() time.Duration {
	return max(fleet.lease.ttl, renewalsPerLease*fleet.renewInterval())
}

func (fleet *Fleet) emit(effect Effect) { fleet.effects = append(fleet.effects, effect) }

const (
	// minimumBackoff and maximumBackoff bound the wait after a failed store
	// call. The wait doubles with each failure and is randomly reduced by up to
	// half.
	minimumBackoff = 500 * time.Millisecond
	maximumBackoff = 15 * time.Second

	// maximumDoublings is the number of doublings after which minimumBackoff
	// exceeds maximumBackoff.
	maximumDoublings = 5
)

func (fleet *Fleet) backoff(failures int) time.Duration {
	wait := minimumBackoff << min(max(failures-1, 0), maximumDoublings)
	return fleet.randomBetween(min(wait, maximumBackoff)/2, min(wait, maximumBackoff))
}

// randomBetween returns a random duration in [low, high).
func (fleet *Fleet) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(fleet.random.Int64N(int64(high-low)))
}
