package group

// A Decision is a change of the placement that the policy returns. It is Form,
// Repair, Dissolve, Drain, Release, Renew or Vacate.
type Decision interface{ decision() }

// Form forms a new replica of Spec out of spares. VMs is in the order of the ranks.
type Form struct {
	Spec string
	Name string
	VMs  []string
}

// Repair assigns VM to a rank of a group in place of Replaced, which is empty for a
// rank without a VM and VM itself after a restart. Several repairs of one group
// make one new composition.
type Repair struct {
	Group    string
	Rank     int
	VM       string
	Replaced string
	Reason   RepairReason
}

// RepairReason is the reason why a member is replaced.
type RepairReason int

// The reasons to replace a member.
const (
	RepairMissing RepairReason = iota + 1
	RepairRestarted
	RepairStraggler
	RepairLeaving

	// RepairReassigned means that the replaced member is freed for a group of another
	// model.
	RepairReassigned
)

// String returns the reason as it is logged.
func (reason RepairReason) String() string {
	return [...]string{"", "missing", "restarted", "straggler", "leaving", "reassigned"}[reason]
}

// Dissolve removes a group and frees its members, so that they complete the group
// For. For is empty if they are freed for no particular group, as for a replica
// that is no longer needed.
type Dissolve struct {
	Group string
	For   string
}

// Drain starts a planned stop.
type Drain struct {
	Group  string
	Reason DrainReason
}

// DrainReason is the reason why a group is drained.
type DrainReason int

// The reasons of a planned stop.
const (
	DrainVersion DrainReason = iota + 1
	DrainLeaving
	DrainSurplus
	DrainStraggler

	// DrainConverted means that the VMs are needed for groups of another model.
	DrainConverted
)

// String returns the reason as it is logged.
func (reason DrainReason) String() string {
	return [...]string{"", "version", "leaving", "surplus", "straggler", "converted"}[reason]
}

// Release ends a drained group whose replica is no longer needed.
type Release struct{ Group string }

// Renew gives a drained group a new composition of the same members with the
// folder's model and version.
type Renew struct{ Group string }

// Vacate removes the leaving members of a drained group without replacing them.
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
