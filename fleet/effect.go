package fleet

import "time"

// An Effect is an operation that the shell carries out for the fleet. If the
// documentation of an effect names events that answer it, the shell passes
// exactly one of these, even if the call failed or timed out. The fleet does not
// repeat the effect before that.
type Effect interface{ effect() }

// ListNodes requests List(NodePrefix) from the store. KeysListed or ListFailed
// answers it.
type ListNodes struct{}

// SetWatching starts or stops the node's watches of NodePrefix, DomainPrefix and
// the configuration head. A watch starts with a listing, which the shell passes
// as KeysListed; it passes later results as KeysChanged.
type SetWatching struct{ Watching bool }

// GrantLease requests Grant(TTL) from the store. LeaseGranted or
// LeaseGrantFailed answers it.
type GrantLease struct{ TTL time.Duration }

// RenewLease requests Renew(Lease) from the store. LeaseRenewed,
// LeaseRenewFailed or LeaseMissing answers it.
type RenewLease struct{ Lease string }

// RevokeLease requests Revoke(Lease) from the store. It has no answer.
type RevokeLease struct{ Lease string }

// WriteNode writes the node's record without a condition, attached to the
// lease. NodeWritten answers it.
type WriteNode struct {
	Key   string
	Value []byte
	Lease string
}

// ClaimDomain creates the leader key, attached to the lease, only if the key is
// absent. At or after Deadline on the monotonic clock, the shell does not send
// the request and answers with a Refused outcome. ClaimDone answers it.
type ClaimDomain struct {
	Domain   string
	Key      string
	Value    []byte
	Lease    string
	Deadline time.Time
}

// ReadLeader requests Get(Key) from the store. LeaderRead answers it.
type ReadLeader struct {
	Domain string
	Key    string
}

// ReleaseDomain deletes the leader key if it is still at the revision. It has no
// answer: if the deletion fails, the store deletes the key with the node's
// lease.
type ReleaseDomain struct {
	Domain   string
	Key      string
	Revision uint64
}

// SetPeers replaces the set of nodes to dial.
type SetPeers struct{ Targets []Target }

// A Target is a node to dial.
type Target struct {
	// Name is empty for a seed.
	Name    string
	Address string
}

// LeadershipHeld reports that this node leads the domain until Until. It is
// repeated after every renewal of the lease. The shell passes it to the domain's
// group leader as group.LeaseHeld.
type LeadershipHeld struct {
	Domain string
	Until  time.Time
}

// LeadershipLost reports that this node no longer leads the domain. The shell
// passes group.LeaseExpired to the domain's group leader, which from then on only
// publishes grants, and group.LeaseLost once another node leads the domain.
type LeadershipLost struct{ Domain string }

func (ListNodes) effect()      {}
func (SetWatching) effect()    {}
func (GrantLease) effect()     {}
func (RenewLease) effect()     {}
func (RevokeLease) effect()    {}
func (WriteNode) effect()      {}
func (ClaimDomain) effect()    {}
func (ReadLeader) effect()     {}
func (ReleaseDomain) effect()  {}
func (SetPeers) effect()       {}
func (LeadershipHeld) effect() {}
func (LeadershipLost) effect() {}
