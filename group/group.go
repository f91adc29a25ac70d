// Package group decides which VMs form which serving group.
//
// A serving group is one replica of a model that spans several VMs of one
// fabric domain. The package holds the placement record of a fabric domain,
// the lifecycle of its groups, the policy that places and repairs them and the
// grants that say that a group is complete. It does no input or output, starts
// no goroutine and reads no clock: events go in with the time, effects come
// out.
//
// # Usage
//
// Make a leader for every fabric domain that the node may lead, and hand it
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
//			// Write the record and hand back a CommitDone.
//		case group.SendOrder:
//			// Send the order unless the deadline has passed.
//		}
//	}
//
// The effects of one call may be carried out in parallel and their answers may
// come in any order. Every effect but PublishGrants and PublishPlacement has
// exactly one answer; a read or an order that gets none is answered with
// ReportFailed, PlacementUnavailable or OrderUnknown. Tick is sent several
// times within a report interval: what only time decides waits for it.
//
// # Safety
//
// A VM is in at most one group, because the record is a map keyed by VM and is
// only replaced by a compare-and-swap against the revision that it was read
// at. A write whose outcome is unknown is read back and recognised by its
// change id; if it arrives later still, it fails against the next write, since
// both expect the same revision.
//
// Engines follow the committed record. A VM is assigned only when its engine
// reported that it holds no group, after the last order to it was answered or
// can no longer arrive. Each leader writes the record under a higher fencing
// number before anything else. Engines that check fencing numbers get a release
// order under the new number before they are assigned. For engines that do not,
// the leader waits for the earlier lease and the longest order delay, and it
// sends an order only while its own lease lasts for that delay.
//
// Every change of a group's composition has a higher epoch in the domain, and
// a grant is given only when every member reported the epoch, its rank, the
// recorded incarnation and that it is loaded.
//
// # Groups that are opened by order
//
// A target class may say that rank 0 accepts requests only between an open and a
// close order, whatever becomes of the members. Then the leader opens a group
// after every member reported ready at the epoch, closes it when a member is
// lost, and lets members join again only when rank 0 says that it is closed. The
// members of a rank 0 that cannot be reached leave first.
//
// # Policy
//
// Plan is a pure function from the placement, the state of the VMs and the
// demand to decisions. The replicas that the folder wants are divided over the
// fabric domains from the listed sizes alone, so that all leaders arrive at the
// same division; see Demand.Share. LeaderConfig.Planner replaces it.
package group

// State is the state of one serving group.
type State string

// The states of a serving group.
const (
	// StateForming means that the VMs are assigned and no order was confirmed.
	StateForming State = "forming"

	// StateLoading means that members load the weights.
	StateLoading State = "loading"

	// StateReady means that all members reported ready at the group's epoch.
	StateReady State = "ready"

	// StateBroken means that a member is missing.
	StateBroken State = "broken"

	// StateDraining means that no new request is admitted.
	StateDraining State = "draining"

	// StateReleased means that the VMs are about to be freed.
	StateReleased State = "released"
)
