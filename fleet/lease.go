package fleet

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// RenewalsPerSecond is the part of the store's writes that the renewals of
	// all nodes may take.
	RenewalsPerSecond = 50

	// renewalsPerLease is how many intervals a lease lasts, so that two lost
	// renewals in a row do not end it.
	renewalsPerLease = 3

	// marginDivisor takes one percent off a lease for clocks that run at
	// different rates.
	marginDivisor = 100
)

// lease is the node's lease; it is the zero lease without one.
type lease struct {
	id  string
	ttl time.Duration

	// until is when the lease is no longer safe to rely on. Its holder keeps
	// renewing it until the store says that it is gone.
	until time.Time

	granting bool
	renewing bool
	writing  bool
	written  bool
	failures int

	// actAt is when to grant or renew, writeAt when to write the record.
	actAt   time.Time
	writeAt time.Time

	// replaced is the shorter lease that this one takes the place of.
	replaced string
}

func (lease *lease) safe(now time.Time) bool { return lease.id != "" && now.Before(lease.until) }

// extend moves the safe end for a request that was sent at a time.
func (lease *lease) extend(sent time.Time) {
	until := sent.Add(lease.ttl - lease.ttl/marginDivisor)
	if until.After(lease.until) {
		lease.until = until
	}
}

// interval returns the time between renewals at the present size of the fleet.
func (fleet *Fleet) interval() time.Duration {
	spread := time.Duration(len(fleet.members)) * time.Second / RenewalsPerSecond
	return max(fleet.config.LeaseMinimum/renewalsPerLease, spread)
}

func (fleet *Fleet) takeLease(now time.Time, event Event) {
	switch event := event.(type) {
	case LeaseGranted:
		fleet.takeGrant(now, event)
	case LeaseGrantFailed:
		fleet.lease.granting = false
		fleet.retryLease(now)
	case LeaseRenewed:
		if event.Lease == fleet.lease.id {
			fleet.takeRenewal(event.Sent)
		}
	case LeaseRenewFailed:
		if event.Lease == fleet.lease.id {
			fleet.lease.renewing = false
			fleet.retryLease(now)
		}
	case LeaseMissing:
		if event.Lease == fleet.lease.id {
			fleet.loseLease(now)
		}
	case NodeWritten:
		fleet.takeWritten(now, event)
	}
}

func (fleet *Fleet) takeGrant(now time.Time, event LeaseGranted) {
	if fleet.stopped {
		fleet.emit(RevokeLease{Lease: event.Lease})
		return
	}
	fresh := lease{id: event.Lease, ttl: event.TTL, replaced: fleet.lease.id, writeAt: now}
	fresh.extend(event.Sent)
	fresh.actAt = event.Sent.Add(fleet.between(fresh.ttl/(2*renewalsPerLease), fresh.ttl/renewalsPerLease))
	fleet.dropAll()
	fleet.lease = fresh
}

func (fleet *Fleet) takeRenewal(sent time.Time) {
	lease := &fleet.lease
	lease.renewing = false
	lease.failures = 0
	lease.extend(sent)
	interval := min(fleet.interval(), lease.ttl/renewalsPerLease)
	lease.actAt = sent.Add(fleet.between(interval-interval/10, interval+interval/10))
	for _, domain := range fleet.ordered {
		domain.announced = false
	}
}

func (fleet *Fleet) retryLease(now time.Time) {
	fleet.lease.failures++
	wait := fleet.backoff(fleet.lease.failures)
	fleet.lease.actAt = now.Add(max(wait, fleet.retryFloor()))
}

// retryFloor keeps the retries of a large fleet during an outage near the rate
// of its renewals, after a first quick retry.
func (fleet *Fleet) retryFloor() time.Duration {
	if fleet.lease.failures <= 1 {
		return 0
	}
	interval := fleet.interval()
	return fleet.between(interval/4, interval)
}

// loseLease gives up everything that was attached to the lease. When all nodes
// lost theirs in an outage, the new grants are spread over an interval.
func (fleet *Fleet) loseLease(now time.Time) {
	fleet.dropAll()
	fleet.lease = lease{actAt: now.Add(fleet.between(0, fleet.interval()))}
}

func (fleet *Fleet) takeWritten(now time.Time, event NodeWritten) {
	lease := &fleet.lease
	if event.Lease != lease.id {
		return
	}
	lease.writing = false
	written, is := event.Outcome.(kvstore.Written)
	if !is {
		// The record has no condition, so that writing it again is harmless
		// when the first write took effect.
		lease.writeAt = now.Add(fleet.backoff(1 + lease.failures))
		return
	}
	lease.written = true
	if fleet.writtenAt.IsZero() {
		fleet.writtenAt = now
	}
	self := fleet.members[fleet.self.Name]
	self.recorded = true
	self.revision = max(self.revision, written.Revision)
	if lease.replaced != "" {
		fleet.emit(RevokeLease{Lease: lease.replaced})
		lease.replaced = ""
	}
}

// keepLease asks for a lease, renews it and writes the node's record.
func (fleet *Fleet) keepLease(now time.Time) {
	lease := &fleet.lease
	switch {
	case now.Before(lease.actAt) || lease.granting || lease.renewing:
	case lease.id == "" && fleet.listed && !fleet.stopping, fleet.outgrown():
		// The nodes are listed first, because their number sets the TTL.
		lease.granting = true
		fleet.emit(GrantLease{TTL: renewalsPerLease * fleet.interval()})
	case lease.id != "":
		lease.renewing = true
		fleet.emit(RenewLease{Lease: lease.id})
	}
	if lease.id != "" && !lease.written && !lease.writing && !now.Before(lease.writeAt) && !fleet.stopping {
		lease.writing = true
		fleet.emit(WriteNode{Key: NodeKey(fleet.self.Name), Value: fleet.value, Lease: lease.id})
	}
}

// outgrown reports whether the lease is to be replaced because the fleet has
// doubled since its grant, after which the renewals of all nodes would exceed
// their rate. A leader keeps its lease, to which its domains are attached.
func (fleet *Fleet) outgrown() bool {
	if fleet.lease.id == "" || fleet.stopping || !fleet.lease.written || fleet.lease.failures > 0 {
		return false
	}
	if fleet.lease.ttl*2 > renewalsPerLease*fleet.interval() {
		return false
	}
	for _, domain := range fleet.domains {
		if domain.mine || domain.claiming {
			return false
		}
	}
	return true
}
