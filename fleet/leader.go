package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// DefaultClaimStep covers the watch's delay and the write of the candidate
	// before.
	DefaultClaimStep = 2 * time.Second

	// DefaultSettleNear and DefaultSettleFar cover the start of all nodes of a
	// site. Leaders are not moved later, because the domain's groups are without
	// grants meanwhile.
	DefaultSettleNear = 2 * time.Second
	DefaultSettleFar  = 10 * time.Second

	// pollingCandidates is how many candidates of a domain poll its leader's
	// key without a watch. Watchers stand in when all of them are gone.
	pollingCandidates = 3
)

// leaderState is what is known of a leader's key.
type leaderState int

const (
	leaderUnknown leaderState = iota
	leaderAbsent
	leaderPresent
)

// domain is a fabric domain.
type domain struct {
	name          string
	hash          uint64
	failureDomain string

	// known says that the domain has VMs; seenAt is when it was last listed.
	known  bool
	seenAt time.Time

	state    leaderState
	leader   Leader
	revision uint64

	// absentAt is when the key was found to be absent. gaveUp is the node whose
	// key went while its record stayed.
	absentAt time.Time
	gaveUp   string

	// mine says that the key is attached to this node's present lease.
	// announced says that the owner was told of the lease's present end, held
	// that it was told that the domain is led.
	mine      bool
	announced bool
	held      bool

	// released is the revision of the key that this node deleted.
	released uint64

	claiming bool
	reading  bool
	failures int
	tryAt    time.Time
	readAt   time.Time

	// rank is the number of candidates before this node.
	rank int
}

func (fleet *Fleet) takeDomains(now time.Time, listed []Domain) {
	for _, entry := range listed {
		state := fleet.domain(entry.Name)
		if !state.known || state.failureDomain != entry.FailureDomain {
			fleet.changed = true
		}
		state.known = true
		state.failureDomain = entry.FailureDomain
		state.seenAt = now
	}
	for _, state := range fleet.ordered {
		if state.known && now.Sub(state.seenAt) >= ForgetDomain {
			state.known = false
			fleet.release(state)
		}
	}
}

// domain returns a domain, which may be known only by its leader's key.
func (fleet *Fleet) domain(name string) *domain {
	state, found := fleet.domains[name]
	if !found {
		state = &domain{name: name, hash: hashName(name)}
		fleet.domains[name] = state
		fleet.ordered = append(fleet.ordered, state)
		slices.SortFunc(fleet.ordered, func(left, right *domain) int { return cmp.Compare(left.name, right.name) })
		fleet.changed = true
	}
	return state
}

func (fleet *Fleet) listLeaders(now time.Time, event KeysListed) {
	present := make(map[string]bool)
	for _, entry := range event.Entries {
		if name, is := leaderDomain(entry.Key); is {
			present[name] = true
			fleet.leaderSeen(name, entry)
		}
	}
	for _, domain := range fleet.ordered {
		if !present[domain.name] {
			fleet.leaderDeleted(now, domain.name, event.Revision)
		}
	}
}

// leaderDeleted notes that a key is absent at the store's revision.
func (fleet *Fleet) leaderDeleted(now time.Time, name string, revision uint64) {
	state, found := fleet.domains[name]
	if !found || !older(state.revision, revision) {
		return
	}
	fleet.drop(state)
	state.revision = max(state.revision, revision)
	if state.state == leaderPresent {
		state.gaveUp = state.leader.Node
	}
	if state.state != leaderAbsent {
		state.absentAt = now
	}
	state.state = leaderAbsent
	state.leader = Leader{}
}

// leaderSeen notes the key at its revision. One that is attached to this
// node's lease was written by this node, perhaps by a claim whose answer was
// lost.
func (fleet *Fleet) leaderSeen(name string, entry kvstore.Entry) {
	state := fleet.domain(name)
	if entry.Revision < state.revision || entry.Revision <= state.released {
		return
	}
	leader, err := ParseLeader(entry.Value)
	if err != nil {
		return
	}
	state.state = leaderPresent
	state.leader = leader
	state.revision = entry.Revision
	state.gaveUp = ""
	state.failures = 0
	if !fleet.isOwn(leader, entry.Lease) {
		fleet.drop(state)
		return
	}
	state.mine = true
	if fleet.stopping {
		fleet.release(state)
	}
}

func (fleet *Fleet) isOwn(leader Leader, lease string) bool {
	return leader == fleet.ownLeader() && lease != "" && lease == fleet.lease.id
}

func (fleet *Fleet) ownLeader() Leader {
	return Leader{Node: fleet.self.Name, Incarnation: fleet.self.Incarnation}
}

func (fleet *Fleet) takeClaim(now time.Time, event ClaimDone) {
	state := fleet.domain(event.Domain)
	state.claiming = false
	switch outcome := event.Outcome.(type) {
	case kvstore.Written:
		fleet.claimed(now, event, outcome.Revision)
	case kvstore.Conflict, kvstore.Unknown:
		// The key may be this node's own, from a claim whose answer was lost.
		state.state = leaderUnknown
		state.readAt = now
	case kvstore.Refused:
		state.failures++
		state.tryAt = now.Add(fleet.backoff(state.failures))
	}
}

// claimed takes in a claim that took effect. If the lease ended meanwhile, the
// key went or goes with it.
func (fleet *Fleet) claimed(now time.Time, event ClaimDone, revision uint64) {
	if event.Lease != fleet.lease.id {
		state := fleet.domain(event.Domain)
		state.state = leaderUnknown
		state.readAt = now
		return
	}
	fleet.leaderSeen(event.Domain, kvstore.Entry{
		Value:    fleet.leaderValue(),
		Revision: revision,
		Lease:    event.Lease,
	})
}

func (fleet *Fleet) takeLeader(now time.Time, event LeaderRead) {
	state := fleet.domain(event.Domain)
	state.reading = false
	if event.Err != nil {
		state.failures++
		state.readAt = now.Add(fleet.backoff(state.failures))
		return
	}
	state.readAt = now.Add(fleet.pollWait())
	if event.Entry.Key != "" {
		fleet.leaderSeen(event.Domain, event.Entry)
		return
	}
	fleet.leaderDeleted(now, event.Domain, state.revision)
}

// release gives up a domain.
func (fleet *Fleet) release(state *domain) {
	if !state.mine {
		return
	}
	fleet.drop(state)
	state.released = state.revision
	state.state = leaderUnknown
	fleet.emit(ReleaseDomain{Domain: state.name, Key: LeaderKey(state.name), Revision: state.revision})
}

// drop ends this node's leadership in its own view.
func (fleet *Fleet) drop(state *domain) {
	state.mine = false
	state.announced = false
	fleet.tellLost(state)
}

func (fleet *Fleet) tellLost(state *domain) {
	if state.held {
		state.held = false
		fleet.emit(LeadershipLost{Domain: state.name})
	}
}

// dropAll ends the leadership of every domain, whose keys were attached to a
// lease that is gone or replaced.
func (fleet *Fleet) dropAll() {
	for _, domain := range fleet.ordered {
		if domain.mine {
			fleet.drop(domain)
			domain.state = leaderUnknown
		}
	}
}

// dropLapsed tells the owner that it leads nothing after the safe end of the
// lease. The keys stay this node's until the store says that the lease is
// gone, because a renewal may still succeed.
func (fleet *Fleet) dropLapsed(now time.Time) {
	if fleet.lease.safe(now) {
		return
	}
	for _, domain := range fleet.ordered {
		domain.announced = false
		fleet.tellLost(domain)
	}
}

// lead tells of led domains and reads and claims the others.
func (fleet *Fleet) lead(now time.Time) {
	for _, domain := range fleet.ordered {
		switch {
		case domain.mine:
			fleet.announce(now, domain)
		case !domain.known || fleet.stopping:
		case fleet.mustRead(now, domain):
			domain.reading = true
			fleet.emit(ReadLeader{Domain: domain.name, Key: LeaderKey(domain.name)})
		case fleet.mayClaim(now, domain):
			fleet.claim(domain)
		}
	}
}

func (fleet *Fleet) announce(now time.Time, domain *domain) {
	if domain.announced || !fleet.lease.safe(now) {
		return
	}
	domain.announced = true
	domain.held = true
	fleet.emit(LeadershipHeld{Domain: domain.name, Until: fleet.lease.until})
}

// mustRead reports whether the leader's key is to be read: when its state is
// not known, and regularly on a candidate without a watch.
func (fleet *Fleet) mustRead(now time.Time, domain *domain) bool {
	if domain.reading || domain.claiming || now.Before(domain.readAt) || !fleet.lease.safe(now) {
		return false
	}
	if fleet.watching {
		return domain.state == leaderUnknown
	}
	return domain.rank < pollingCandidates
}

func (fleet *Fleet) mayClaim(now time.Time, domain *domain) bool {
	if domain.state != leaderAbsent || domain.claiming || domain.reading {
		return false
	}
	if now.Before(domain.tryAt) || !fleet.lease.safe(now) || !fleet.lease.written {
		return false
	}
	if domain.rank >= pollingCandidates && !fleet.watching || !fleet.settled(now, domain) {
		return false
	}
	wait := time.Duration(min(fleet.claimRank(domain), pollingCandidates)) * fleet.config.ClaimStep
	return !now.Before(domain.absentAt.Add(wait))
}

func (fleet *Fleet) settled(now time.Time, domain *domain) bool {
	settle := fleet.config.SettleFar
	if domain.failureDomain == fleet.self.FailureDomain {
		settle = fleet.config.SettleNear
	}
	return !now.Before(fleet.writtenAt.Add(settle))
}

// claimRank is the rank without the candidate that gave the domain up: it does
// not claim it again.
func (fleet *Fleet) claimRank(domain *domain) int {
	member, found := fleet.members[domain.gaveUp]
	if !found || member.self || !member.recorded {
		return domain.rank
	}
	if fleet.before(member, domain) {
		return domain.rank - 1
	}
	return domain.rank
}

func (fleet *Fleet) claim(domain *domain) {
	domain.claiming = true
	fleet.emit(ClaimDomain{
		Domain:   domain.name,
		Key:      LeaderKey(domain.name),
		Value:    fleet.leaderValue(),
		Lease:    fleet.lease.id,
		Deadline: fleet.lease.until,
	})
}

func (fleet *Fleet) leaderValue() []byte {
	value, err := json.Marshal(fleet.ownLeader())
	if err != nil {
		panic(errors.Annotate(err, "fleet: leader record"))
	}
	return value
}

// chooseCandidates ranks this node for each domain. Candidates are the nodes
// with a record, first those in the domain's own failure domain.
func (fleet *Fleet) chooseCandidates() {
	for _, domain := range fleet.ordered {
		domain.rank = 0
		for _, member := range fleet.members {
			if member.recorded && !member.self && fleet.before(member, domain) {
				domain.rank++
			}
		}
	}
}

// before reports whether a member is a better candidate than this node.
func (fleet *Fleet) before(member *member, domain *domain) bool {
	near := member.node.FailureDomain == domain.failureDomain
	ownNear := fleet.self.FailureDomain == domain.failureDomain
	if near != ownNear {
		return near
	}
	return score(member.hash, domain.hash) > score(fleet.members[fleet.self.Name].hash, domain.hash)
}
