package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// An Event is something that the leader of a fabric domain learned.
type Event interface{ event() }

// LeaseHeld says that this node leads the domain until Until. It comes when
// the leader's key was created and again at every renewal of the node's lease.
type LeaseHeld struct{ Until time.Time }

// LeaseLost says that another node leads the domain. Grants end too.
type LeaseLost struct{}

// PlacementRead is the store's placement record. Record is nil and Revision 0
// when the domain has none.
type PlacementRead struct {
	Record   []byte
	Revision uint64
}

// PlacementUnavailable says that a ReadPlacement got no answer.
type PlacementUnavailable struct{}

// LeaseLapsed says that the lease is over and that no other node is known to
// have taken the domain over, for example because the store does not answer.
// The leader then gives no order and changes no placement, but it keeps
// reading reports and publishing grants: a grant rests on the members' own
// reports and stays true without a lease.
type LeaseLapsed struct{}

// CommitDone is the outcome of a Commit.
type CommitDone struct {
	ID      string
	Outcome kvstore.PutOutcome
}

// Observe makes a node that does not lead the domain publish grants for a
// committed record, while nobody can take the lease because the store does not
// answer. It gives no order and changes no placement.
type Observe struct{ PlacementRead }

// ReportRead is a VM's report. Sent is when the request for it was sent.
type ReportRead struct {
	Sent   time.Time
	Report engine.Report
}

// ReportFailed says that a VM did not report in time.
type ReportFailed struct{ VM string }

// OrderAccepted says that the engine took the order.
type OrderAccepted struct{ VM, Order string }

// OrderRefused says that the engine refused the order without running it.
// Fence is the engine's highest fencing number when that was the reason.
type OrderRefused struct {
	VM, Order string
	Fence     uint64
}

// OrderUnknown says that the engine may or may not have taken the order.
type OrderUnknown struct{ VM, Order string }

// WeightsAcquired says that a load may start.
type WeightsAcquired struct{ VM string }

// WeightsRefused says that the weight store is over its rate.
type WeightsRefused struct {
	VM    string
	Retry time.Duration
}

// VMsListed is the platform's list of the domain's VMs.
type VMsListed struct{ VMs []kvstore.VM }

// FolderAdopted carries a new configuration.
type FolderAdopted struct {
	Groups  []folder.Group
	Classes []folder.TargetClass
	Policy  folder.Policy

	// Routes tell how many replicas a planned stop leaves serving.
	Routes []folder.Route
}

// Elsewhere is what the other fabric domains hold.
type Elsewhere struct {
	Replicas []PlacedReplicas

	// Domains lists the other fabric domains with their listed VMs.
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

	// Outdated is the number of replicas at another model or version than the
	// folder's. They await a planned stop.
	Outdated int
}

// LeavingKnown says that a VM is leaving.
type LeavingKnown struct{ VM, Incarnation string }

// Tick lets time pass.
type Tick struct{}

func (LeaseHeld) event()            {}
func (LeaseLost) event()            {}
func (PlacementRead) event()        {}
func (CommitDone) event()           {}
func (PlacementUnavailable) event() {}
func (LeaseLapsed) event()          {}
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
func (Elsewhere) event()            {}
func (LeavingKnown) event()         {}
func (Tick) event()                 {}

// An Effect is something that the shell carries out for the leader.
type Effect interface{ effect() }

// ReadPlacement asks for the placement record; PlacementRead answers it.
type ReadPlacement struct{}

// Commit writes the placement record; CommitDone answers it.
type Commit struct {
	ID     string
	Record []byte
	Expect kvstore.Expect
}

// ReadReport asks for the report of one VM within the timeout.
type ReadReport struct {
	VM      string
	Address string
	Timeout time.Duration
}

// SendOrder sends an order to one VM. The shell does not send it after
// Deadline on the monotonic clock.
type SendOrder struct {
	VM       string
	Address  string
	Order    engine.Order
	Deadline time.Time
}

// AcquireWeights asks the weight store for the right to load.
type AcquireWeights struct {
	VM    string
	Bytes int64

	// Ahead says that nothing waits for the load.
	Ahead bool
}

// PublishGrants replaces the grants of the domain. A group that is not listed
// has no grant.
type PublishGrants struct {
	// Fence is the fencing number of the leader; a lower one is stale.
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

// PublishPlacement spreads a committed placement record to all nodes.
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
