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
	// DefaultClaimStep covers the delay of a watch and the time that the
	// candidate ranked before needs to write its claim.
	DefaultClaimStep = 2 * time.Second

	// DefaultSettleNear and DefaultSettleFar cover the time in which all nodes
	// of a site start. A domain that was claimed too early is not moved to a
	// better candidate later, because its groups have no grants during a move.
	DefaultSettleNear = 2 * time.Second
	DefaultSettleFar  = 10 * time.Second

	// pollingCandidates is the number of candidates of a domain that poll its
	// leader key without a watch. If all of them are gone, watchers claim the
	// domain.
	pollingCandidates = 3
)

// leaderKeyState is the last known state of a leader key.
type leaderKeyState int

const (
	leaderKeyUnknown leaderKeyState = iota
	leaderKeyAbsent
	leaderKeyPresent
)

// domain is this node's view of a fabric domain and its leader key.
type domain struct {
	name          string
	hash          uint64
	failureDomain string

	// hasVMs is set while the domain is among the domains with VMs, and for
	// UnlistedDomainTimeout after that; listedAt is when it last was.
	hasVMs   bool
	listedAt time.Time

	keyState leaderKeyState
	leader   Leader
	revision uint64

	// absentSince is when the key was first observed to be absent. releasedBy is
	// the last leader, whose key was deleted. It released the domain if its node
	// record still exists.
	absentSince time.Time
	releasedBy  string

	// ownsKey is set while the key is attached to this node's current lease.
	// endReported is set after the lease's current safe end was reported with
	// LeadershipHeld, leadershipReported while the last report was a
	// LeadershipHeld and not a LeadershipLost.
	ownsKey            bool
	endReported        bool
	leadershipReported bool

	// ledBeforeEra is set if this node led the domain when it first saw the current era
	// of the store. No other node can hold a lease of the time before.
	ledBeforeEra bool

	// detached is set while this node does not reach the domain's VMs although others do.
	detached bool

	// releasedRevision is the revision at which this node last released the key.
	// Results that contain the key at that or an earlier revision are ignored.
	releasedRevision uint64

	// lapsed is set while this node was the domain's last leader and lost the key with its
	// lease.
	lapsed bool

	claiming    bool
	reading     bool
	failures    int
	nextClaimAt time.Time
	nextReadAt  time.Time

	// rank is the number of candidates ranked before this node.
	rank int
}

func (fleet *Fleet) applyDomains(now time.Time, listed []Domain) {
	for _, entry := range listed {
		_, known := fleet.domains[entry.Name]
		domain := fleet.domain(entry.Name)
		if !known && fleet.watching && fleet.leadersListed {
			// The listing and the changes since would have shown the key. A claim is
			// conditional, so that it fails if the key has just been written.
			domain.keyState = leaderKeyAbsent
			domain.absentSince = now
		}
		if !domain.hasVMs || domain.failureDomain != entry.FailureDomain {
			fleet.membersChanged = true
		}
		domain.hasVMs = true
		domain.failureDomain = entry.FailureDomain
		domain.listedAt = now
	}
	for _, domain := range fleet.sortedDomains {
		if domain.hasVMs && now.Sub(domain.listedAt) >= UnlistedDomainTimeout {
			domain.hasVMs = false
			fleet.release(domain)
		}
	}
}

// domain returns the named domain and creates it if it is unknown. A domain
// without listed VMs may be known only by its leader key.
func (fleet *Fleet) domain(name string) *domain {
	present, found := fleet.domains[name]
	if !found {
		present = &domain{name: name, hash: hashName(name)}
		fleet.domains[name] = present
		fleet.sortedDomains = append(fleet.sortedDomains, present)
		slices.SortFunc(fleet.sortedDomains, func(left, right *domain) int { return cmp.Compare(left.name, right.name) })
		fleet.membersChanged = true
	}
	return present
}

func (fleet *Fleet) applyLeaderListing(now time.Time, event KeysListed) {
	present := make(map[string]bool)
	for _, entry := range event.Entries {
		if name, ok := leaderDomain(entry.Key); ok {
			present[name] = true
			fleet.recordLeader(name, entry)
		}
	}
	for _, domain := range fleet.sortedDomains {
		if !present[domain.name] {
			fleet.recordLeaderDeleted(now, domain.name, event.Revision)
		}
	}
}

// recordLeaderDeleted records that a leader key is absent at a revision of the
// store.
func (fleet *Fleet) recordLeaderDeleted(now time.Time, name string, revision uint64) {
	domain, found := fleet.domains[name]
	if !found || !reflectsRevision(domain.revision, revision) {
		return
	}
	fleet.endLeadership(domain)
	domain.revision = max(domain.revision, revision)
	if domain.keyState == leaderKeyPresent {
		domain.releasedBy = domain.leader.Node
	}
	if domain.keyState != leaderKeyAbsent {
		domain.absentSince = now
	}
	domain.keyState = leaderKeyAbsent
	domain.leader = Leader{}
}

// recordLeader records a leader key at its revision. A key that is attached to
// this node's lease was written by this node, possibly by a claim whose response
// was lost.
func (fleet *Fleet) recordLeader(name string, entry kvstore.Entry) {
	domain := fleet.domain(name)
	if entry.Revision < domain.revision || entry.Revision <= domain.releasedRevision {
		return
	}
	leader, err := ParseLeader(entry.Value)
	if err != nil {
		return
	}
	domain.keyState = leaderKeyPresent
	domain.leader = leader
	domain.revision = entry.Revision
	domain.releasedBy = ""
	domain.failures = 0
	domain.lapsed = false
	if !fleet.isOwnKey(leader, entry.Lease) {
		fleet.endLeadership(domain)
		fleet.releasePredecessor(domain)
		return
	}
	domain.ownsKey = true
	if fleet.stopping || domain.detached {
		fleet.release(domain)
	}
}

// releasePredecessor deletes the leader key of an earlier process of this node, which could not
// when it stopped in an outage of the store: its lease would keep the domain without a leader
// for its whole time after the return. If that process still runs, it leads until it sees the
// deletion, as a leader whose lease was lost does; the fencing numbers hold against it. It does
// not delete the key of the process that replaces it: that one is written after its start.
func (fleet *Fleet) releasePredecessor(domain *domain) {
	if domain.leader.Node != fleet.self.Name || domain.leader.Incarnation == fleet.self.Incarnation || domain.revision > fleet.startRevision {
		return
	}
	domain.releasedRevision = domain.revision
	domain.keyState = leaderKeyUnknown
	fleet.emit(ReleaseDomain{Domain: domain.name, Key: LeaderKey(domain.name), Revision: domain.revision})
}

func (fleet *Fleet) isOwnKey(leader Leader, lease string) bool {
	return leader == fleet.ownLeader() && lease != "" && lease == fleet.lease.id
}

func (fleet *Fleet) ownLeader() Leader {
	return Leader{Node: fleet.self.Name, Incarnation: fleet.self.Incarnation}
}

func (fleet *Fleet) applyClaim(now time.Time, event ClaimDone) {
	domain := fleet.domain(event.Domain)
	domain.claiming = false
	switch outcome := event.Outcome.(type) {
	case kvstore.Written:
		fleet.recordClaim(now, event, outcome.Revision)
	case kvstore.Conflict, kvstore.Unknown:
		// The key may have been written by an earlier claim of this node whose
		// response was lost.
		domain.keyState = leaderKeyUnknown
		domain.nextReadAt = now
	case kvstore.Refused:
		domain.failures++
		domain.nextClaimAt = now.Add(fleet.backoff(domain.failures))
	}
}

// recordClaim records a successful claim. If this node's lease has changed since
// the claim was sent, the store deletes the key with the old lease.
func (fleet *Fleet) recordClaim(now time.Time, event ClaimDone, revision uint64) {
	if event.Lease != fleet.lease.id {
		domain := fleet.domain(event.Domain)
		domain.keyState = leaderKeyUnknown
		domain.nextReadAt = now
		return
	}
	fleet.recordLeader(event.Domain, kvstore.Entry{
		Value:    fleet.leaderValue(),
		Revision: revision,
		Lease:    event.Lease,
	})
}

func (fleet *Fleet) applyLeaderRead(now time.Time, event LeaderRead) {
	domain := fleet.domain(event.Domain)
	domain.reading = false
	if event.Err != nil {
		domain.failures++
		domain.nextReadAt = now.Add(fleet.backoff(domain.failures))
		return
	}
	domain.nextReadAt = now.Add(fleet.pollWait())
	if event.Entry.Key != "" {
		fleet.recordLeader(event.Domain, event.Entry)
		return
	}
	fleet.recordLeaderDeleted(now, event.Domain, domain.revision)
}

// setDetached records whether this node reaches the VMs of a domain. A node that does not
// cannot repair its groups, so it releases the domain and does not claim it.
func (fleet *Fleet) setDetached(name string, detached bool) {
	domain := fleet.domain(name)
	domain.detached = detached
	if detached {
		fleet.release(domain)
	}
}

// release ends this node's leadership of a domain and deletes its leader key.
func (fleet *Fleet) release(domain *domain) {
	if !domain.ownsKey {
		return
	}
	fleet.endLeadership(domain)
	domain.releasedRevision = domain.revision
	domain.keyState = leaderKeyUnknown
	fleet.emit(ReleaseDomain{Domain: domain.name, Key: LeaderKey(domain.name), Revision: domain.revision})
}

// endLeadership ends this node's leadership of a domain without a call to the
// store.
func (fleet *Fleet) endLeadership(domain *domain) {
	domain.ownsKey = false
	domain.endReported = false
	fleet.emitLeadershipLost(domain)
}

// emitLeadershipLost reports that this node no longer leads a domain that it was
// reported to lead.
func (fleet *Fleet) emitLeadershipLost(domain *domain) {
	if domain.leadershipReported {
		domain.leadershipReported = false
		fleet.emit(LeadershipLost{Domain: domain.name})
	}
}

// endAllLeadership ends this node's leadership of all domains after the lease to
// which their keys were attached has expired or was replaced.
func (fleet *Fleet) endAllLeadership() {
	for _, domain := range fleet.sortedDomains {
		if domain.ownsKey {
			fleet.endLeadership(domain)
			domain.keyState = leaderKeyUnknown
		}
	}
}

// reportLeaseExpiry reports all domains as lost once the lease is past its safe
// end. The node still counts as the owner of their keys until the store reports
// that the lease does not exist, because a renewal may still succeed.
func (fleet *Fleet) reportLeaseExpiry(now time.Time) {
	if fleet.lease.isSafe(now) {
		return
	}
	for _, domain := range fleet.sortedDomains {
		domain.endReported = false
		fleet.emitLeadershipLost(domain)
	}
}

// advanceDomains reports the domains that this node leads and reads or claims
// the leader keys of the others.
func (fleet *Fleet) advanceDomains(now time.Time) {
	for _, domain := range fleet.sortedDomains {
		switch {
		case domain.ownsKey:
			fleet.emitLeadershipHeld(now, domain)
		case !domain.hasVMs || fleet.stopping || domain.detached:
		case fleet.mustReadLeader(now, domain):
			domain.reading = true
			fleet.emit(ReadLeader{Domain: domain.name, Key: LeaderKey(domain.name)})
		case fleet.mayClaim(now, domain):
			fleet.claim(domain)
		}
	}
}

// emitLeadershipHeld reports that this node leads a domain, once for each safe
// end of the lease.
func (fleet *Fleet) emitLeadershipHeld(now time.Time, domain *domain) {
	if domain.endReported || !fleet.lease.isSafe(now) || !fleet.earlierLeasesEnded(now, domain) {
		return
	}
	domain.endReported = true
	domain.leadershipReported = true
	fleet.emit(LeadershipHeld{Domain: domain.name, Until: fleet.lease.safeUntil})
}

// mustReadLeader reports whether the leader key is due to be read. A watching
// node reads it only if its state is unknown; one of the first candidates
// without a watch polls it.
func (fleet *Fleet) mustReadLeader(now time.Time, domain *domain) bool {
	if domain.reading || domain.claiming || now.Before(domain.nextReadAt) || !fleet.lease.isSafe(now) {
		return false
	}
	if fleet.watching {
		return domain.keyState == leaderKeyUnknown
	}
	return domain.rank < pollingCandidates
}

func (fleet *Fleet) mayClaim(now time.Time, domain *domain) bool {
	if domain.keyState != leaderKeyAbsent || domain.claiming || domain.reading {
		return false
	}
	if now.Before(domain.nextClaimAt) || !fleet.lease.isSafe(now) || !fleet.lease.recordWritten {
		return false
	}
	if domain.rank >= pollingCandidates && !fleet.watching || !fleet.settleTimePassed(now, domain) {
		return false
	}
	if !fleet.earlierLeasesEnded(now, domain) {
		return false
	}
	wait := time.Duration(min(fleet.claimRank(domain), pollingCandidates)) * fleet.config.ClaimStep
	return !now.Before(domain.absentSince.Add(wait))
}

// earlierLeasesEnded reports whether no other node can lead the domain under a lease from
// before the current era of the store. The copy may lack that node's key, or contain the
// key of a leader that it replaced.
func (fleet *Fleet) earlierLeasesEnded(now time.Time, domain *domain) bool {
	return domain.ledBeforeEra || !now.Before(fleet.eraBeganAt.Add(fleet.LongestLease()))
}

func (fleet *Fleet) settleTimePassed(now time.Time, domain *domain) bool {
	settle := fleet.config.SettleFar
	if domain.failureDomain == fleet.self.FailureDomain {
		settle = fleet.config.SettleNear
	}
	return !now.Before(fleet.recordWrittenAt.Add(settle))
}

// claimRank returns this node's rank without counting the candidate that
// released the domain, because that one does not claim it again. The last leader, if it only
// lost its lease, ranks first: it has the reports and the order counts of the VMs.
func (fleet *Fleet) claimRank(domain *domain) int {
	if domain.lapsed {
		return 0
	}
	member, found := fleet.members[domain.releasedBy]
	if !found || member.self || !member.recorded {
		return domain.rank
	}
	if fleet.ranksBeforeSelf(member, domain) {
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
		Deadline: fleet.lease.safeUntil,
	})
}

func (fleet *Fleet) leaderValue() []byte {
	value, err := json.Marshal(fleet.ownLeader())
	if err != nil {
		panic(errors.Annotate(err, "fleet: encoding leader record"))
	}
	return value
}

// rankCandidates computes this node's rank for each domain. The candidates are
// the nodes with a record in the store; those in the domain's failure domain rank
// first, and among them those with the largest processor share.
func (fleet *Fleet) rankCandidates() {
	for _, domain := range fleet.sortedDomains {
		domain.rank = 0
		for _, member := range fleet.members {
			if member.recorded && !member.self && fleet.ranksBeforeSelf(member, domain) {
				domain.rank++
			}
		}
	}
}

// ranksBeforeSelf reports whether a member ranks before this node as a candidate
// for a domain.
func (fleet *Fleet) ranksBeforeSelf(member *member, domain *domain) bool {
	near := member.node.FailureDomain == domain.failureDomain
	ownNear := fleet.self.FailureDomain == domain.failureDomain
	if near != ownNear {
		return near
	}
	if member.node.ProcessorShare != fleet.self.ProcessorShare {
		return member.node.ProcessorShare > fleet.self.ProcessorShare
	}
	return score(member.hash, domain.hash) > score(fleet.members[fleet.self.Name].hash, domain.hash)
}
