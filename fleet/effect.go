package fleet

import "time"

// An Effect is something that the shell carries out for the fleet. Each effect
// that names an answering event is answered exactly once, also when the call
// failed or timed out; the fleet repeats it only after the answer.
type Effect interface{ effect() }

// ListNodes asks for List(NodePrefix). KeysListed or ListFailed answers it.
type ListNodes struct{}

// SetWatching starts or stops the node's watches of NodePrefix and
// DomainPrefix (and of the configuration head). Starting one includes a
// listing, passed as KeysListed; later results are passed as KeysChanged.
type SetWatching struct{ Watching bool }

// GrantLease asks for Grant(TTL). LeaseGranted or LeaseGrantFailed answers it.
type GrantLease struct{ TTL time.Duration }

// RenewLease asks for Renew(Lease). LeaseRenewed, LeaseRenewFailed or
// LeaseMissing answers it.
type RenewLease struct{ Lease string }

// RevokeLease asks for Revoke(Lease). It has no answer.
type RevokeLease struct{ Lease string }

// WriteNode writes the node's record without a condition, attached to the
// lease. NodeWritten answers it.
type WriteNode struct {
	Key   string
	Value []byte
	Lease string
}

// ClaimDomain creates the leader's key, only if it is absent, attached to the
// lease. The shell does not send it at or after Deadline on the monotonic
// clock; it then answers with a Refused outcome. ClaimDone answers it.
type ClaimDomain struct {
	Domain   string
	Key      string
	Value    []byte
	Lease    string
	Deadline time.Time
}

// ReadLeader asks for Get(Key). LeaderRead answers it.
type ReadLeader struct {
	Domain string
	Key    string
}

// ReleaseDomain deletes the leader's key at the revision. It has no answer: a
// key that stays is deleted with the node's lease.
type ReleaseDomain struct {
	Domain   string
	Key      string
	Revision uint64
}

// SetPeers replaces the nodes to dial. A target without a name is a seed.
type SetPeers struct{ Targets []Target }

// A Target is a node to dial.
type Target struct {
	// Name is empty for a seed.
	Name    string
	Address string
}

// LeadershipHeld says that this node leads the domain until Until. It is
// repeated at every renewal of the lease and becomes group.LeaseHeld.
type LeadershipHeld struct {
	Domain string
	Until  time.Time
}

// LeadershipLost says that this node does not lead the domain any more. It
// becomes group.LeaseLost.
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
