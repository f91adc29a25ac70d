package fleet

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// An Event is an observation that the shell passes to the fleet: a result from
// the store, a change of a link, or the passing of time.
type Event interface{ event() }

// Tick triggers the work that is due at the current time. The shell passes one
// about every 250 ms.
type Tick struct{}

// KeysListed is the complete list of the store's keys below a prefix, NodePrefix
// or DomainPrefix, at a revision. Keys that are neither node records nor leader
// keys are ignored, so the shell can pass a listing unfiltered.
type KeysListed struct {
	Prefix   string
	Revision uint64
	Entries  []kvstore.Entry
}

// ListFailed reports that the listing requested by ListNodes failed.
type ListFailed struct{}

// KeysChanged is the result of a watch up to a revision. Keys that are neither
// node records nor leader keys are ignored.
type KeysChanged struct {
	Revision uint64
	Entries  []kvstore.Entry
	Deleted  []string
}

// DomainsListed lists the fabric domains that have VMs. A domain that is missing
// from later events is kept for UnlistedDomainTimeout.
type DomainsListed struct{ Domains []Domain }

// LeaseGranted answers GrantLease. Sent is when the request was sent.
type LeaseGranted struct {
	Lease string
	TTL   time.Duration
	Sent  time.Time
}

// LeaseGrantFailed answers GrantLease when no response was received. If the store
// granted a lease nevertheless, it expires unused.
type LeaseGrantFailed struct{}

// LeaseRenewed answers RenewLease. Sent is when the request was sent, and Era the era of
// the store that answered, 0 if it has none.
type LeaseRenewed struct {
	Lease string
	Sent  time.Time
	Era   uint64
}

// LeaseRenewFailed answers RenewLease when the result is unknown.
type LeaseRenewFailed struct{ Lease string }

// LeaseMissing answers RenewLease when the store reports that the lease does not
// exist: it expired or was revoked.
type LeaseMissing struct{ Lease string }

// NodeWritten answers WriteNode.
type NodeWritten struct {
	Lease   string
	Outcome kvstore.PutOutcome
}

// ClaimDone answers ClaimDomain.
type ClaimDone struct {
	Domain  string
	Lease   string
	Outcome kvstore.PutOutcome
}

// LeaderRead answers ReadLeader. Entry is the zero Entry if the key does not
// exist. Err is set if the read failed.
type LeaderRead struct {
	Domain string
	Entry  kvstore.Entry
	Err    error
}

// LinkOpened reports that a link to a node is up.
type LinkOpened struct{ Node Node }

// LinkClosed reports that the link to a node is down.
type LinkClosed struct{ Name string }

// DomainReached reports whether this node reaches the VMs of a fabric domain. Only a node
// that does can lead it.
type DomainReached struct {
	Domain  string
	Reached bool
}

// StoreReturned reports that the store answers this node again after an outage. Calls that
// wait after failures become due.
type StoreReturned struct{}

// Stopping begins a graceful stop: the node releases the domains that it leads
// and claims no others.
type Stopping struct{}

// Stopped ends a graceful stop: the fleet revokes the node's lease and emits no
// further effects, except to revoke a lease that is granted late.
type Stopped struct{}

func (Tick) event()             {}
func (KeysListed) event()       {}
func (ListFailed) event()       {}
func (KeysChanged) event()      {}
func (DomainsListed) event()    {}
func (LeaseGranted) event()     {}
func (LeaseGrantFailed) event() {}
func (LeaseRenewed) event()     {}
func (LeaseRenewFailed) event() {}
func (LeaseMissing) event()     {}
func (NodeWritten) event()      {}
func (ClaimDone) event()        {}
func (LeaderRead) event()       {}
func (LinkOpened) event()       {}
func (LinkClosed) event()       {}
func (DomainReached) event()    {}
func (StoreReturned) event()    {}
func (Stopping) event()         {}
func (Stopped) event()          {}
