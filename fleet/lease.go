package fleet

import (
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// DefaultRenewalsPerSecond suits a store of which each renewal is a write.
	DefaultRenewalsPerSecond = 50

	// renewalsPerLease is the TTL of a lease in renewal intervals. With three, a
	// lease survives two consecutive failed renewals.
	renewalsPerLease = 3

	// clockMarginDivisor shortens the safe part of a lease by one percent, for
	// clocks that run at different rates.
	clockMarginDivisor = 100
)

// lease is the state of the node's lease. Without a lease, id is empty.
type lease struct {
	id  string
	ttl time.Duration

	// safeUntil is the end of the time in which the lease is safe to rely on. The
	// node continues to renew it after that, until the store reports that it
	// does not exist.
	safeUntil time.Time

	granting      bool
	renewing      bool
	recordWriting bool
	recordWritten bool
	failures      int

	// nextCallAt is the earliest time of the next grant or renewal, nextWriteAt
	// that of the next write of the node's record.
	nextCallAt  time.Time
	nextWriteAt time.Time

	// returned is set after the store returned from an outage, until the lease is renewed.
	returned bool

	// unconfirmed is set after the store returned from an older copy, until the copy
	// shows that it has the lease.
	unconfirmed bool

	// predecessor is the shorter lease that this one replaces. It is revoked once
	// the node's record is attached to this one.
	predecessor string
}

func (lease *lease) isSafe(now time.Time) bool { return lease.id != "" && now.Before(lease.safeUntil) }

// extend moves the safe end after a successful grant or renewal that was sent at
// the given time.
func (lease *lease) extend(sent time.Time) {
	until := sent.Add(lease.ttl - lease.ttl/clockMarginDivisor)
	if until.After(lease.safeUntil) {
		lease.safeUntil = until
	}
}

// renewInterval returns the time between renewals at the current size of the
// fleet.
func (fleet *Fleet) renewInterval() time.Duration {
	return max(fleet.config.LeaseMinimum/renewalsPerLease, fleet.renewalSpread())
}

// renewalSpread returns the time in which all nodes may send one renewal each.
func (fleet *Fleet) renewalSpread() time.Duration {
	return time.Duration(len(fleet.members)) * time.Second / time.Duration(fleet.config.RenewalsPerSecond)
}

func (fleet *Fleet) applyLeaseEvent(now time.Time, event Event) {
	switch event := event.(type) {
	case LeaseGranted:
		fleet.applyLeaseGrant(now, event)
	case LeaseGrantFailed:
		fleet.lease.granting = false
		fleet.scheduleLeaseRetry(now)
	case LeaseRenewed:
		if event.Lease == fleet.lease.id {
			fleet.applyLeaseRenewal(now, event.Sent)
		}
	case LeaseRenewFailed:
		if event.Lease == fleet.lease.id {
			fleet.lease.renewing = false
			fleet.scheduleLeaseRetry(now)
		}
	case LeaseMissing:
		if event.Lease == fleet.lease.id {
			fleet.loseLease(now)
		}
	case NodeWritten:
		fleet.applyNodeWritten(now, event)
	}
}

func (fleet *Fleet) applyLeaseGrant(now time.Time, event LeaseGranted) {
	if fleet.stopped {
		fleet.emit(RevokeLease{Lease: event.Lease})
		return
	}
	if event.Sent.Before(fleet.eraBeganAt) {
		// The copy may not have the lease, or may give out its id again.
		fleet.lease.granting = false
		return
	}
	fresh := lease{id: event.Lease, ttl: event.TTL, predecessor: fleet.lease.id, nextWriteAt: now}
	fresh.extend(event.Sent)
	fresh.nextCallAt = event.Sent.Add(fleet.randomBetween(fresh.ttl/(2*renewalsPerLease), fresh.ttl/renewalsPerLease))
	fleet.endAllLeadership()
	fleet.lease = fresh
}

func (fleet *Fleet) applyLeaseRenewal(now, sent time.Time) {
	lease := &fleet.lease
	lease.renewing = false
	lease.failures = 0
	lease.returned = false
	if lease.unconfirmed || sent.Before(fleet.eraBeganAt) {
		// The copy may not have the renewal.
		lease.nextCallAt = now
		return
	}
	lease.extend(sent)
	interval := min(fleet.renewInterval(), lease.ttl/renewalsPerLease)
	lease.nextCallAt = sent.Add(fleet.randomBetween(interval-interval/10, interval+interval/10))
	for _, domain := range fleet.sortedDomains {
		domain.endReported = false
	}
}

func (fleet *Fleet) scheduleLeaseRetry(now time.Time) {
	fleet.lease.failures++
	wait := fleet.backoff(fleet.lease.failures)
	fleet.lease.nextCallAt = now.Add(max(wait, fleet.minimumLeaseRetry()))
}

// minimumLeaseRetry returns the shortest wait before the next grant or renewal
// after failures. After one quick retry it limits the retries of a large fleet
// during an outage to about the rate of its renewals.
func (fleet *Fleet) minimumLeaseRetry() time.Duration {
	if fleet.lease.failures <= 1 {
		return 0
	}
	interval := fleet.renewInterval()
	return fleet.randomBetween(interval/4, interval)
}

// loseLease resets the lease and ends the leadership of all domains whose keys
// were attached to it. The next grant is delayed randomly by up to a renewal
// interval, so that nodes that all lost their leases in an outage do not request
// new ones at once. After an outage the few that led a domain request theirs at once. They
// claim it again without waiting for their rank.
func (fleet *Fleet) loseLease(now time.Time) {
	wait := fleet.randomBetween(0, fleet.renewInterval())
	for _, domain := range fleet.sortedDomains {
		if !domain.ownsKey {
			continue
		}
		domain.lapsed = true
		if fleet.lease.returned {
			wait = 0
		}
	}
	fleet.endAllLeadership()
	fleet.lease = lease{nextCallAt: now.Add(wait)}
}

// resumeCalls makes the calls due that wait after failures. The load: an outage of seconds
// leaves each node in a backoff of up to 15 s, in which the leases of sound leaders run out
// after the return, so that nobody repairs the groups that lost members meanwhile. Leaders
// call at once; the others spread their calls at the rate of all renewals.
func (fleet *Fleet) resumeCalls(now time.Time) {
	at := now
	if !fleet.ownsAnyKey() {
		at = now.Add(fleet.randomBetween(0, max(1, fleet.renewalSpread())))
	}
	lease := &fleet.lease
	if lease.failures > 0 {
		lease.failures = 0
		lease.returned = true
		// A renewal that was sent in the outage fails only after its timeout.
		lease.renewing = false
		lease.nextCallAt = earlier(lease.nextCallAt, at)
	}
	lease.nextWriteAt = earlier(lease.nextWriteAt, at)
	if !fleet.nodesListed {
		fleet.listFailures = 0
		fleet.nextListAt = earlier(fleet.nextListAt, at)
	}
	for _, domain := range fleet.sortedDomains {
		if domain.failures > 0 {
			domain.failures = 0
			domain.nextReadAt = earlier(domain.nextReadAt, at)
			domain.nextClaimAt = earlier(domain.nextClaimAt, at)
		}
	}
}

func (fleet *Fleet) ownsAnyKey() bool {
	return slices.ContainsFunc(fleet.sortedDomains, func(domain *domain) bool { return domain.ownsKey })
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// eraOf returns the era of the store that an event shows, 0 if it shows none.
func eraOf(event Event) uint64 {
	switch event := event.(type) {
	case KeysListed:
		return kvstore.Era(event.Revision)
	case KeysChanged:
		return kvstore.Era(event.Revision)
	case LeaderRead:
		return kvstore.Era(event.Entry.Revision)
	case LeaseRenewed:
		return event.Era
	case NodeWritten:
		return outcomeEra(event.Outcome)
	case ClaimDone:
		return outcomeEra(event.Outcome)
	default:
		return 0
	}
}

func outcomeEra(outcome kvstore.PutOutcome) uint64 {
	switch outcome := outcome.(type) {
	case kvstore.Written:
		return kvstore.Era(outcome.Revision)
	case kvstore.Conflict:
		return kvstore.Era(outcome.Revision)
	default:
		return 0
	}
}

// observeEra begins an era of the store when it is first seen. The node's lease is not
// safe to rely on until it is confirmed: the copy may not have it. A lease whose record
// was not written, or is just being written, is given up, because the record in the copy
// does not show whose lease it is.
func (fleet *Fleet) observeEra(now time.Time, era uint64) {
	if era <= fleet.era {
		return
	}
	first := fleet.era == 0
	fleet.era = era
	if !first || era > kvstore.FirstEra {
		// A node that has just started cannot tell when the era began.
		fleet.eraBeganAt = now
	}
	for _, domain := range fleet.sortedDomains {
		domain.ledBeforeEra = domain.ownsKey && fleet.lease.isSafe(now)
	}
	if first || fleet.lease.id == "" {
		return
	}
	fleet.nextListAt = now
	if !fleet.lease.recordWritten || fleet.lease.recordWriting {
		fleet.loseLease(now)
		return
	}
	fleet.lease.safeUntil = time.Time{}
	fleet.lease.unconfirmed = true
	fleet.lease.predecessor = ""
}

// confirmLease decides by a listing of the nodes whether the store has this node's lease.
// listed is the lease of this node's record, if the listing contains it.
func (fleet *Fleet) confirmLease(now time.Time, revision uint64, listed string) {
	if !fleet.lease.unconfirmed || kvstore.Era(revision) < fleet.era {
		return
	}
	if listed != fleet.lease.id {
		fleet.loseLease(now)
		return
	}
	fleet.lease.unconfirmed = false
	fleet.lease.nextCallAt = now
}

func (fleet *Fleet) applyNodeWritten(now time.Time, event NodeWritten) {
	lease := &fleet.lease
	if event.Lease != lease.id {
		return
	}
	lease.recordWriting = false
	written, ok := event.Outcome.(kvstore.Written)
	if !ok {
		// The record is written without a condition, so that writing it again is
		// harmless if the first write took effect.
		lease.nextWriteAt = now.Add(fleet.backoff(1 + lease.failures))
		return
	}
	lease.recordWritten = true
	if fleet.recordWrittenAt.IsZero() {
		fleet.recordWrittenAt = now
	}
	self := fleet.members[fleet.self.Name]
	self.recorded = true
	self.revision = max(self.revision, written.Revision)
	if lease.predecessor != "" {
		fleet.emit(RevokeLease{Lease: lease.predecessor})
		lease.predecessor = ""
	}
}

// maintainLease requests a lease, renews it and writes the node's record when
// each is due.
func (fleet *Fleet) maintainLease(now time.Time) {
	lease := &fleet.lease
	switch {
	case now.Before(lease.nextCallAt) || lease.granting || lease.renewing || lease.unconfirmed:
	case lease.id == "" && fleet.nodesListed && !fleet.stopping, fleet.leaseTooShort():
		// The nodes must be listed first, because the TTL depends on their number.
		lease.granting = true
		fleet.emit(GrantLease{TTL: renewalsPerLease * fleet.renewInterval()})
	case lease.id != "":
		lease.renewing = true
		fleet.emit(RenewLease{Lease: lease.id})
	}
	if lease.id != "" && !lease.unconfirmed && !lease.recordWritten && !lease.recordWriting && !now.Before(lease.nextWriteAt) && !fleet.stopping {
		lease.recordWriting = true
		fleet.emit(WriteNode{Key: NodeKey(fleet.self.Name), Value: fleet.selfRecord, Lease: lease.id})
	}
}

// leaseTooShort reports whether the lease must be replaced because the fleet has
// doubled since the lease was granted. With its short TTL, the renewals of all
// nodes would exceed Config.RenewalsPerSecond. A leader keeps its lease, because the
// keys of its domains are attached to it.
func (fleet *Fleet) leaseTooShort() bool {
	if fleet.lease.id == "" || fleet.stopping || !fleet.lease.recordWritten || fleet.lease.failures > 0 {
		return false
	}
	if fleet.lease.ttl*2 > renewalsPerLease*fleet.renewInterval() {
		return false
	}
	for _, domain := range fleet.domains {
		if domain.ownsKey || domain.claiming {
			return false
		}
	}
	return true
}
