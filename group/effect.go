package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// An Event is an input of the leader of a fabric domain.
type Event interface{ event() }

// LeaseHeld reports that this node holds the lease of the domain until Until. It
// is sent after the leader's key was created and at every renewal of the node's
// lease.
type LeaseHeld struct{ Until time.Time }

// LeaseLost reports that another node leads the domain. The leader also stops
// publishing grants.
type LeaseLost struct{}

// PlacementRead carries the placement record of the store. Record is nil and
// Revision 0 when the domain has none.
type PlacementRead struct {
	Record   []byte
	Revision uint64

	// Era is the era of the store, 0 if it has none.
	Era uint64

	// Lost is set if the store has returned from an older copy and Record is a later
	// record that the node had read before. Revision is then that of the copy's record.
	Lost bool
}

// PlacementUnavailable reports that a ReadPlacement got no answer.
type PlacementUnavailable struct{}

// LeaseExpired reports that the lease has expired and that no other node is known
// to have taken the domain over, for example because the store does not answer.
// The leader then sends no orders and does not change the placement, but it keeps
// reading reports and publishing grants: a grant depends only on the members'
// reports and is valid without a lease.
type LeaseExpired struct{}

// CommitDone reports the outcome of a Commit.
type CommitDone struct {
	ID      string
	Outcome kvstore.PutOutcome
}

// Observe makes a node that does not lead the domain publish grants for a
// committed record while no node can take the lease because the store does not
// answer. The node sends no orders and does not change the placement.
type Observe struct{ PlacementRead }

// ReportRead carries a VM's report. Sent is when the request for it was sent.
type ReportRead struct {
	Sent   time.Time
	Report engine.Report
}

// ReportFailed reports that a ReadReport got no answer within its timeout.
type ReportFailed struct{ VM string }

// OrderAccepted reports that the engine accepted the order.
type OrderAccepted struct{ VM, Order string }

// OrderRefused reports that the engine refused the order without running it. Fence
// is the engine's highest fencing number if the order's was lower, else 0.
type OrderRefused struct {
	VM, Order string
	Fence     uint64
}

// OrderUnknown reports that the engine may or may not have accepted the order.
type OrderUnknown struct{ VM, Order string }

// WeightsAcquired reports that the weight store permits a load.
type WeightsAcquired struct{ VM string }

// WeightsRefused reports that the weight store is at its rate limit. The request
// may be repeated after Retry.
type WeightsRefused struct {
	VM    string
	Retry time.Duration
}

// VMsListed carries the platform's list of the domain's VMs.
type VMsListed struct{ VMs []kvstore.VM }

// FolderAdopted carries a new configuration from the folder.
type FolderAdopted struct {
	Groups  []folder.Group
	Classes []folder.TargetClass
	Policy  folder.Policy

	// Routes set how many replicas of a group keep serving during a planned
	// stop.
	Routes []folder.Route
}

// OtherDomains carries the replicas and sizes of the other fabric domains.
type OtherDomains struct {
	Replicas []PlacedReplicas

	// Domains are the other fabric domains with their numbers of listed VMs.
	Domains []DomainSize
}

// A DomainSize is a fabric domain and its number of listed VMs that are not
// leaving.
type DomainSize struct {
	Name          string
	FailureDomain string
	VMs           int
}

// PlacedReplicas counts the replicas of one of the folder's groups in another
// fabric domain.
type PlacedReplicas struct {
	Group         string
	FabricDomain  string
	FailureDomain string

	// Count is the number of replicas in the placement record.
	Count int

	// Ready is the number of replicas with a current grant that admit requests.
	Ready int

	// Draining is the number of replicas that are being stopped, and Staged that of those
	// whose members mostly hold the weights of another model besides. See CountConvertible.
	Draining int
	Staged   int

	// Outdated is the number of replicas at another model or version than the
	// folder's. They await a planned stop.
	Outdated int
}

// VMLeaving reports that an incarnation of a VM is leaving.
type VMLeaving struct{ VM, Incarnation string }

// VMEnded reports that an incarnation of a VM has ended: its address accepts no connection.
type VMEnded struct{ VM, Incarnation string }

// VMSilent reports that an incarnation of a VM has answered none of the questions since a time,
// of which more than one was asked.
type VMSilent struct {
	VM, Incarnation string
	Since           time.Time
}

// AwaitMembers reports that members are being asked of which the leader has no report yet. Until
// then, it changes no placement and gives no order that ends a composition. The zero time ends
// the wait.
type AwaitMembers struct{ Until time.Time }

// Tick makes the leader act on the time that has passed.
type Tick struct{}

func (LeaseHeld) event()            {}
func (LeaseLost) event()            {}
func (PlacementRead) event()        {}
func (CommitDone) event()           {}
func (PlacementUnavailable) event() {}
func (LeaseExpired) event()         {}
func (Observe) event()              {}
func (ReportRead) event()           {}
func (ReportFailed) event()         {}
func (OrderAccepted) event()        {}
func (OrderRefused) event()         {}
func (OrderUnknown) event()         {}
func (WeightsAcquired) event()      {}
func (WeightsRefused) event()       {}
func (VMsListed) event()            {}
func (FolderAdopted) event()        {}
func (OtherDomains) event()         {}
func (VMLeaving) event()            {}
func (AwaitMembers) event()         {}
func (VMEnded) event()              {}
func (VMSilent) event()             {}
func (Tick) event()                 {}

// An Effect is an action that the caller of Handle carries out for the leader.
type Effect interface{ effect() }

// ReadPlacement requests the placement record. The answer is a PlacementRead or a
// PlacementUnavailable.
type ReadPlacement struct{}

// Commit writes the placement record. The answer is a CommitDone.
type Commit struct {
	ID     string
	Record []byte
	Expect kvstore.Expect

	// Decisions are those of the policy that the record carries out, for the log.
	Decisions []Decision
}

// ReadReport requests the report of one VM. The answer is a ReportRead, or a
// ReportFailed after the timeout.
type ReadReport struct {
	VM      string
	Address string
	Timeout time.Duration
}

// SendOrder sends an order to one VM. It must not be sent after Deadline on the
// monotonic clock.
type SendOrder struct {
	VM       string
	Address  string
	Order    engine.Order
	Deadline time.Time
}

// AcquireWeights requests the weight store's permission to load weights on a VM.
type AcquireWeights struct {
	VM    string
	Bytes int64

	// Preload is set when no group waits for the load.
	Preload bool
}

// PublishGrants replaces the grants of the domain. A group that is not listed
// has no grant.
type PublishGrants struct {
	// Fence is the fencing number of the leader. Grants with a lower number
	// than an earlier PublishGrants are stale.
	Fence  uint64
	Grants []GroupGrant
}

// GroupGrant is the grant of one group and the load of its rank 0.
type GroupGrant struct {
	Grant Grant
	Load  Load

	// Open is false for a group that is draining: its grant only lets the
	// requests in progress finish.
	Open bool
}

// PublishPlacement sends a committed placement record to all nodes.
type PublishPlacement struct {
	Record   []byte
	Revision uint64
}

func (ReadPlacement) effect()    {}
func (Commit) effect()           {}
func (ReadReport) effect()       {}
func (SendOrder) effect()        {}
func (AcquireWeights) effect()   {}
func (PublishGrants) effect()    {}
func (PublishPlacement) effect() {}
