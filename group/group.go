// Package group decides which VMs form which serving group.
//
// A serving group is one replica of a model that spans several VMs of one
// fabric domain. The package contains the placement record of a fabric domain,
// the lifecycle of its groups, the policy that places and repairs them, and the
// grants that state that a group is complete. It does no input or output, starts
// no goroutine and reads no clock: the caller passes in events with the time and
// carries out the returned effects.
//
// # Usage
//
// Create a leader for every fabric domain that the node may lead, and pass it
// every event together with the time at which it is handled:
//
//	leader := group.NewLeader(group.LeaderConfig{
//		Domain:        "port-1",
//		Node:          "entry-3",
//		Incarnation:   incarnation,
//		LeaseDuration: 10 * time.Second,
//	})
//	for _, effect := range leader.Handle(time.Now(), event) {
//		switch effect := effect.(type) {
//		case group.Commit:
//			// Write the record and pass a CommitDone to Handle.
//		case group.SendOrder:
//			// Send the order unless the deadline has passed.
//		}
//	}
//
// The effects of one call may be carried out in parallel, and their answers may
// arrive in any order. Every effect except PublishGrants and PublishPlacement has
// exactly one answer; a read or an order without a response is answered with
// ReportFailed, PlacementUnavailable or OrderUnknown. Tick has to be sent several
// times per report interval, because the leader acts on elapsed time only when it
// handles an event.
//
// # Safety
//
// A VM is in at most one group, because the record is a map keyed by VM and is
// only replaced by a compare-and-swap against the revision at which it was read.
// After a write with an unknown outcome, the record is read again, and the change
// id in it shows whether the write took effect. A write that arrives even later
// fails after the next one, because both expect the same revision.
//
// Engines get orders from the committed record only. A VM is assigned only after
// its engine reported that it is in no group, at a time when the last order to it
// was answered or could no longer arrive. Each leader writes the record under a
// higher fencing number before anything else. Engines that check fencing numbers
// get a release order under the new number before they are assigned. For engines
// that do not, the leader waits until the earlier lease has expired and the longest
// order delay has passed, and it sends an order only if its own lease lasts at
// least for the order delay.
//
// Every new composition of a group gets a new, higher epoch of the domain. A
// grant is published only when every member reported this epoch, its rank, the
// recorded incarnation and that it is loaded.
//
// # Groups that are opened by order
//
// In a target class that is opened by order, rank 0 accepts requests between an
// open and a close order, even if members are lost in between. The leader opens a
// group after every member reported ready at the epoch, closes it when a member is
// lost, and lets members join another composition only after rank 0 reported that
// it is closed. If rank 0 is unreachable, its members are released first.
//
// # Policy
//
// Plan is a pure function that derives decisions from the placement, the state of
// the VMs and the demand. The replicas in the folder are divided over the fabric
// domains by the listed sizes alone, so that all leaders compute the same division;
// see Demand.Share. LeaderConfig.Planner replaces Plan.
package group

// State is the state of one serving group.
type State string

// The states of a serving group.
const (
	// StateForming means that the VMs are assigned and none has confirmed its
	// assignment yet.
	StateForming State = "forming"

	// StateLoading means that members load the weights.
	StateLoading State = "loading"

	// StateReady means that all members reported ready at the group's epoch.
	StateReady State = "ready"

	// StateBroken means that a member is missing or was restarted.
	StateBroken State = "broken"

	// StateDraining means that no new request is admitted.
	StateDraining State = "draining"

	// StateReleased means that the VMs are about to be freed.
	StateReleased State = "released"
)
