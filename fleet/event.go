package fleet

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// An Event is something that the node learned about the fleet.
type Event interface{ event() }

// Tick lets time pass. The shell sends one about every 250 ms.
type Tick struct{}

// KeysListed is the store's complete content below a prefix, NodePrefix or
// DomainPrefix, at a revision. Entries of other kinds are ignored, so the shell
// passes a listing as it is.
type KeysListed struct {
	Prefix   string
	Revision uint64
	Entries  []kvstore.Entry
}

// ListFailed says that a ListNodes effect got no answer.
type ListFailed struct{}

// KeysChanged is the result of a watch, up to a revision. Keys of other kinds
// are ignored.
type KeysChanged struct {
	Revision uint64
	Entries  []kvstore.Entry
	Deleted  []string
}

// DomainsKnown lists the fabric domains that have VMs. A domain that is
// missing from a later event stays known for ForgetDomain.
type DomainsKnown struct{ Domains []Domain }

// LeaseGranted answers GrantLease. Sent is when the request was sent.
type LeaseGranted struct {
	Lease string
	TTL   time.Duration
	Sent  time.Time
}

// LeaseGrantFailed answers GrantLease; an unanswered grant counts as failed,
// its lease lapses unused.
type LeaseGrantFailed struct{}

// LeaseRenewed answers RenewLease. Sent is when the request was sent.
type LeaseRenewed struct {
	Lease string
	Sent  time.Time
}

// LeaseRenewFailed answers RenewLease when the result is not known.
type LeaseRenewFailed struct{ Lease string }

// LeaseMissing answers RenewLease when the store says that the lease has
// lapsed.
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

// LeaderRead answers ReadLeader. Entry is the zero Entry when the key does not
// exist. Err says that nothing was read.
type LeaderRead struct {
	Domain string
	Entry  kvstore.Entry
	Err    error
}

// LinkOpened says that a link to a node is up.
type LinkOpened struct{ Node Node }

// LinkClosed says that the link to a node is down.
type LinkClosed struct{ Name string }

// Stopping begins a graceful stop: the node gives up the domains it leads and
// claims no others.
type Stopping struct{}

// Stopped ends a graceful stop: the node's lease is revoked.
type Stopped struct{}

func (Tick) event()             {}
func (KeysListed) event()       {}
func (ListFailed) event()       {}
func (KeysChanged) event()      {}
func (DomainsKnown) event()     {}
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
func (Stopping) event()         {}
func (Stopped) event()          {}
