// Package replay measures the placement policy on recorded failure traces.
//
// A replay runs one leader for every fabric domain of a trace against
// simulated engines and a simulated store on a virtual clock, and integrates
// two measures: group downtime in replica-seconds and stranded accelerators in
// accelerator-seconds. The same trace is replayed with the policy and with two
// baselines, so that the difference is the policy's alone.
//
// # Usage
//
// Read a trace and run it:
//
//	trace, err := replay.ReadTrace("group/testdata/steady.txt")
//	if err != nil {
//		return errors.Trace(err)
//	}
//	result := replay.Run(replay.Config{
//		Trace:          trace,
//		Policy:         replay.PolicyPlan,
//		DowntimeWeight: 3,
//		StrandedWeight: 1,
//	})
//	fmt.Println(result.Downtime, result.Stranded)
//
// Compare runs a trace with the baselines and with the policy under every
// weighting and returns the rows of the measures table.
//
// # Measures
//
// Group downtime counts every wanted replica that does not serve. A replica
// serves when its record is ready and all its engines hold their seats and
// are reachable. Stranded counts the accelerators of reachable VMs outside
// serving replicas, at most as many as the lacking replicas need, whether they
// are members of an incomplete group or unassigned: a policy gains nothing by
// dissolving groups without use. Both begin after the warm-up. Unavoidable is
// the downtime that remains if the reachable VMs of each fabric domain were
// always packed into as many replicas as they can form, without any time to
// load: no policy gets below it.
package replay

import (
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
)

// Policy selects what decides on repairs.
type Policy int

// The policies that a replay compares.
const (
	// PolicyPlan is the project's policy, group.Plan.
	PolicyPlan Policy = iota + 1

	// PolicyWait waits for a missing member to return.
	PolicyWait

	// PolicyNameOrder replaces a missing member at once, in the order of the
	// names of groups and spares.
	PolicyNameOrder
)

// String returns the policy's name in the measures table.
func (policy Policy) String() string {
	switch policy {
	case PolicyPlan:
		return "policy"
	case PolicyWait:
		return "wait-for-return"
	case PolicyNameOrder:
		return "replace-in-name-order"
	default:
		return "unknown"
	}
}

// Config selects a replay.
type Config struct {
	Trace          Trace
	Policy         Policy
	DowntimeWeight float64
	StrandedWeight float64
}

// A Result is what a replay measured after the warm-up.
type Result struct {
	Duration time.Duration

	// Downtime is in replica-seconds, Stranded in accelerator-seconds.
	Downtime float64
	Stranded float64

	// Unavoidable is the part of Downtime, in replica-seconds, for which there
	// were too few reachable VMs.
	Unavoidable float64

	// Wanted is the number of replicas that served at the end of the warm-up.
	Wanted int

	// Serving is the number of replicas that serve at the end.
	Serving int

	// Loads counts the loads of weights after the warm-up.
	Loads int

	// Commits counts the writes of placement records after the warm-up.
	Commits int
}

// Times of the simulated environment.
const (
	// step is the resolution of the virtual clock and the report interval. It
	// is coarser than the daemon's, so that days replay in seconds; it is the
	// same for every policy.
	step       = 5 * time.Second
	grantBound = 11 * time.Second
	spreadTime = 5 * time.Second
	leaseTime  = time.Minute

	// leaseRenewal is also the time between two reads of the VM list.
	leaseRenewal = 15 * time.Second
	orderDelay   = time.Second

	// warmUp is the time before the first event of a trace, in which the
	// groups are formed.
	warmUp = 2 * time.Hour

	// startTime is what an engine takes to start with its weights fetched.
	startTime = 20 * time.Second

	// listLag is how long the VM list shows a VM that has failed.
	listLag = time.Minute

	// listEmptyTime is how long the VM list stays empty.
	listEmptyTime = 10 * time.Minute

	// normalLatency and slowLatency are the times of a report.
	normalLatency = 2 * time.Millisecond
	slowLatency   = 400 * time.Millisecond
)

// weightRate is the weight store's rate in bytes a second.
const weightRate = 1 << 30

// Run replays the trace once. It is deterministic.
func Run(config Config) Result {
	world := newWorld(config)
	for world.elapsed < config.Trace.End {
		world.advance()
	}
	world.result.Serving = world.serving()
	return world.result
}

func planner(policy Policy) func(group.PlanInput) []group.Decision {
	switch policy {
	case PolicyWait:
		return planWait
	case PolicyNameOrder:
		return planNameOrder
	default:
		return group.Plan
	}
}

func (config Config) folder() group.FolderAdopted {
	return group.FolderAdopted{
		Groups:  config.Trace.Groups,
		Classes: []folder.TargetClass{{Name: targetClass, ChecksFencing: true, OrderDelay: orderDelay}},
		Policy: folder.Policy{
			DowntimeWeight: config.DowntimeWeight,
			StrandedWeight: config.StrandedWeight,
			ReportInterval: step,
			GrantBound:     grantBound,
			WeightRate:     weightRate,
			SpreadTime:     spreadTime,
		},
	}
}

// A Row is one line of the measures table.
type Row struct {
	Trace          string
	DowntimeWeight float64
	StrandedWeight float64
	Policy         Policy
	Result         Result
}

// Weightings are the two weightings of the measures table: downtime-heavy and
// stranded-heavy.
func Weightings() []Config {
	return []Config{
		{DowntimeWeight: 3, StrandedWeight: 1},
		{DowntimeWeight: 1, StrandedWeight: 3},
	}
}

// Compare replays a trace with both baselines and, for every weighting, with
// the policy. The baselines do not depend on the weights.
func Compare(trace Trace) []Row {
	var rows []Row
	for _, policy := range []Policy{PolicyWait, PolicyNameOrder} {
		rows = append(rows, compareRow(Config{Trace: trace, Policy: policy}))
	}
	for _, weighting := range Weightings() {
		weighting.Trace = trace
		weighting.Policy = PolicyPlan
		rows = append(rows, compareRow(weighting))
	}
	return rows
}

func compareRow(config Config) Row {
	return Row{
		Trace:          config.Trace.Name,
		DowntimeWeight: config.DowntimeWeight,
		StrandedWeight: config.StrandedWeight,
		Policy:         config.Policy,
		Result:         Run(config),
	}
}
