package group

// A Decision is a change that the policy wants. It is Form, Repair, Dissolve,
// Drain, Release, Renew or Vacate.
type Decision interface{ decision() }

// Form makes a new replica of Spec out of spares, by rank.
type Form struct {
	Spec string
	Name string
	VMs  []string
}

// Repair seats a spare at a rank of a group in the place of Replaced, which
// is empty for an empty seat and VM itself after a restart. Several repairs of
// one group are one new composition.
type Repair struct {
	Group    string
	Rank     int
	VM       string
	Replaced string
	Reason   RepairReason
}

// RepairReason says why a member is replaced.
type RepairReason int

// The reasons to replace a member.
const (
	RepairMissing RepairReason = iota + 1
	RepairRestarted
	RepairStraggler
	RepairLeaving

	// RepairLent frees a member for a group of another model.
	RepairLent
)

// Dissolve frees the members of an incomplete group, so that they complete
// the group For. For is empty for a replica that is not wanted any more.
type Dissolve struct {
	Group string
	For   string
}

// Drain starts a planned stop.
type Drain struct {
	Group  string
	Reason DrainReason
}

// DrainReason says why a group is drained.
type DrainReason int

// The reasons of a planned stop.
const (
	DrainVersion DrainReason = iota + 1
	DrainLeaving
	DrainSurplus
	DrainStraggler
)

// Release ends a drained group whose replica is not wanted any more.
type Release struct{ Group string }

// Renew gives a drained group a new composition of the same members at the
// folder's model and version.
type Renew struct{ Group string }

// Vacate empties the seats of a drained group's leaving members.
type Vacate struct {
	Group string
	VMs   []string
}

func (Form) decision()     {}
func (Repair) decision()   {}
func (Dissolve) decision() {}
func (Drain) decision()    {}
func (Release) decision()  {}
func (Renew) decision()    {}
func (Vacate) decision()   {}
