// Package replay measures the placement policy on recorded failure traces.
//
// A replay runs one leader for every fabric domain of a trace against
// simulated engines and a simulated store on a virtual clock, and integrates
// two measures: group downtime in replica-seconds and stranded accelerators in
// accelerator-seconds. The same trace is replayed with the policy and with two
// baselines, so that any difference in the measures is due to the policy.
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
// Both measures begin after the warm-up.
//
// Group downtime counts every wanted replica that does not serve. A replica
// serves when its placement record is ready and each of its engines is
// reachable and ready under the replica's current epoch and its own rank.
//
// Stranded counts the accelerators of reachable VMs outside serving replicas,
// at most as many as the missing replicas need. VMs in an incomplete group and
// unassigned VMs count alike, so that a policy cannot improve the measure by
// dissolving groups.
//
// Unavoidable is the downtime that would remain if the reachable VMs of each
// fabric domain always formed as many replicas as they can, without any time
// to load. It is a lower bound of the downtime under every policy.
package replay

import (
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
)

// Policy selects the planner that decides on repairs.
type Policy int

// The policies that a replay compares.
const (
	// PolicyPlan is the project's policy, group.Plan.
	PolicyPlan Policy = iota + 1

	// PolicyWait never replaces a missing member but waits for its return.
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

// Config configures a replay. The weights apply to PolicyPlan only.
type Config struct {
	Trace          Trace
	Policy         Policy
	DowntimeWeight float64
	StrandedWeight float64
}

// A Result holds the measures of a replay after the warm-up.
type Result struct {
	Duration time.Duration

	// Downtime is in replica-seconds, Stranded in accelerator-seconds.
	Downtime float64
	Stranded float64

	// Unavoidable is the part of Downtime, in replica-seconds, during which
	// there were too few reachable VMs.
	Unavoidable float64

	// Wanted is the number of replicas that served at the end of the warm-up.
	// A smaller number afterwards counts as downtime.
	Wanted int

	// Serving is the number of replicas that serve at the end of the trace.
	Serving int

	// Loads counts the loads of weights after the warm-up.
	Loads int

	// Commits counts the writes of placement records after the warm-up.
	Commits int
}

// Times of the simulated environment.
const (
	// step is the resolution of the virtual clock and the report interval. It
	// is longer than the daemon's report interval, so that days replay in
	// seconds. It is the same for every policy.
	step       = 5 * time.Second
	grantBound = 11 * time.Second
	spreadTime = 5 * time.Second
	leaseTime  = time.Minute

	// leaseRenewal is the interval between renewals of the leader's lease and
	// between reads of the VM list.
	leaseRenewal = 15 * time.Second
	orderDelay   = time.Second

	// warmUp is the time before the first event of a trace. The groups form
	// during it.
	warmUp = 2 * time.Hour

	// engineStartTime is the time that an engine takes to start after its
	// weights were fetched.
	engineStartTime = 20 * time.Second

	// listLag is the time for which a failed VM stays on the VM list.
	listLag = time.Minute

	// listEmptyDuration is the time for which the VM list stays empty after a
	// list-empty event.
	listEmptyDuration = 10 * time.Minute

	// normalLatency and slowLatency are the times that a report takes from an
	// engine, slowLatency from one that a slow event slowed down.
	normalLatency = 2 * time.Millisecond
	slowLatency   = 400 * time.Millisecond
)

// weightRate is the transfer rate of the weight store in bytes a second.
const weightRate = 1 << 30

// Run replays the trace once. The result depends only on the configuration.
func Run(config Config) Result {
	simulation := newSimulation(config)
	for simulation.elapsed < config.Trace.End {
		simulation.advance()
	}
	simulation.result.Serving = simulation.countServing()
	return simulation.result
}

func plannerFor(policy Policy) func(group.PlanInput) []group.Decision {
	switch policy {
	case PolicyWait:
		return planWaitForReturn
	case PolicyNameOrder:
		return planReplaceInNameOrder
	default:
		return group.Plan
	}
}

func (config Config) folderAdopted() group.FolderAdopted {
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
// the policy. Each baseline runs once, because it does not depend on the weights.
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
