// Package group decides which VMs form which serving group.
//
// A serving group is one replica of a model that spans several VMs of one
// fabric domain. The package holds the placement record of a fabric domain,
// the lifecycle of its groups, the policy that places and repairs them and
// the grants that say that a group is complete. It does no input or output
// and reads no clock: events go in with the time, effects come out.
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
