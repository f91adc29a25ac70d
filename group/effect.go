package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/platform"
)

// An Event is something that the leader of a fabric domain learned.
type Event interface{ event() }

// LeaseHeld says that this node leads the domain until Until. It comes when
// the leader's key was created and again at every renewal of the node's lease.
type LeaseHeld struct{ Until time.Time }

// LeaseLost says that this node does not lead the domain any more.
type LeaseLost struct{}

// PlacementRead is the store's placement record. Record is nil and Revision 0
// when the domain has none.
type PlacementRead struct {
	Record   []byte
	Revision uint64
}

// CommitDone is the outcome of a Commit.
type CommitDone struct {
	ID      string
	Outcome platform.PutOutcome
}

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
type VMsListed struct{ VMs []platform.VM }

// FolderAdopted carries a new configuration.
type FolderAdopted struct {
	Groups  []folder.Group
	Classes []folder.TargetClass
	Policy  folder.Policy
}

// Elsewhere is the number of replicas of each group name placed in each other
// failure domain.
type Elsewhere struct{ Replicas []PlacedReplicas }

// PlacedReplicas is a count of placed replicas.
type PlacedReplicas struct {
	Group         string
	FailureDomain string
	Count         int
}

// LeavingKnown says that a VM is leaving.
type LeavingKnown struct{ VM, Incarnation string }

// Tick lets time pass.
type Tick struct{}

func (LeaseHeld) event()       {}
func (LeaseLost) event()       {}
func (PlacementRead) event()   {}
func (CommitDone) event()      {}
func (ReportRead) event()      {}
func (ReportFailed) event()    {}
func (OrderAccepted) event()   {}
func (OrderRefused) event()    {}
func (OrderUnknown) event()    {}
func (WeightsAcquired) event() {}
func (WeightsRefused) event()  {}
func (VMsListed) event()       {}
func (FolderAdopted) event()   {}
func (Elsewhere) event()       {}
func (LeavingKnown) event()    {}
func (Tick) event()            {}

// An Effect is something that the shell carries out for the leader.
type Effect interface{ effect() }

// ReadPlacement asks for the placement record; PlacementRead answers it.
type ReadPlacement struct{}

// Commit writes the placement record; CommitDone answers it.
type Commit struct {
	ID     string
	Record []byte
	Expect platform.Expect
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
}

// PublishGrants replaces the grants of the domain. A group that is not listed
// has no grant.
type PublishGrants struct{ Grants []GroupGrant }

// GroupGrant is the grant of one group and the load of its rank 0.
type GroupGrant struct {
	Grant Grant
	Load  Load
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
