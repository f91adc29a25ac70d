package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
)

var planNow = time.Unix(100_000, 0)

// A planCase describes a domain of groups of 4 VMs. missing maps members to the time
// for which they have been missing.
type planCase struct {
	missing   map[string]time.Duration
	spares    int
	leaving   string
	straggler string
	groups    int
	demand    func(demand *Demand)
	change    func(input *PlanInput)
}

func (each planCase) input() PlanInput {
	input := PlanInput{Now: planNow, Domain: "fd", DowntimeWeight: 1, StrandedWeight: 1, WeightRate: 1 << 30}
	demand := Demand{Group: folder.Group{Name: "large", Model: "m", Version: "1", Size: 4, Replicas: each.groups, WeightBytes: 60 << 30}}
	demand.Share, demand.Total, demand.Placed, demand.Ready, demand.Turn = each.groups, each.groups, each.groups, each.groups, true
	for index := range each.groups {
		status := GroupStatus{Complete: true, Group: Group{
			Name: fmt.Sprintf("large.fd.%d", index), Spec: "large", State: StateReady, Size: 4, Model: "m", Version: "1", Epoch: 1,
		}}
		for rank := range 4 {
			vm := VMStatus{Name: fmt.Sprintf("g%d-%d", index, rank), Incarnation: "a", Live: true, Accelerators: 4}
			vm.Leaving = vm.Name == each.leaving
			vm.Straggler = vm.Name == each.straggler
			if missing, found := each.missing[vm.Name]; found {
				vm.Live = false
				vm.MissingSince = planNow.Add(-missing)
				status.Complete = false
				status.Group.State = StateBroken
			}
			status.Members = append(status.Members, vm.Name)
			status.Incarnations = append(status.Incarnations, "a")
			input.VMs = append(input.VMs, vm)
		}
		input.Groups = append(input.Groups, status)
	}
	for index := range each.spares {
		input.VMs = append(input.VMs, VMStatus{Name: fmt.Sprintf("s%d", index), Incarnation: "a", Live: true, Spare: true, Accelerators: 4})
	}
	if each.demand != nil {
		each.demand(&demand)
	}
	input.Demands = []Demand{demand}
	if each.change != nil {
		each.change(&input)
	}
	return input
}

// unlist returns a change after which a VM reports without being listed.
func unlist(name string) func(input *PlanInput) {
	return func(input *PlanInput) {
		for index := range input.VMs {
			input.VMs[index].Unlisted = input.VMs[index].Unlisted || input.VMs[index].Name == name
		}
	}
}

// Guards against decisions that the rules of the policy forbid, and against missing
// ones that they require.
func TestPlan(test *testing.T) {
	hour := map[string]time.Duration{"g0-1": time.Hour}
	twoGroups := map[string]time.Duration{"g0-1": time.Hour, "g1-2": time.Hour}
	for name, each := range map[string]struct {
		planCase
		want []Decision
	}{
		"nothing to do":                 {planCase: planCase{groups: 2, spares: 1}},
		"missing without spare":         {planCase: planCase{groups: 1, missing: hour}},
		"paused briefly":                {planCase: planCase{groups: 1, spares: 1, missing: map[string]time.Duration{"g0-1": 2 * time.Second}}},
		"unreachable domain":            {planCase: planCase{groups: 2, spares: 1, missing: twoGroups, change: func(input *PlanInput) { input.Unreachable = true }}},
		"repair":                        {planCase: planCase{groups: 1, spares: 1, missing: hour}, want: []Decision{Repair{Group: "large.fd.0", Rank: 1, VM: "s0", Replaced: "g0-1", Reason: RepairMissing}}},
		"unlisted rank 0":               {planCase: planCase{groups: 1, spares: 1, change: unlist("g0-0")}, want: []Decision{Repair{Group: "large.fd.0", Rank: 0, VM: "s0", Replaced: "g0-0", Reason: RepairMissing}}},
		"unlisted member":               {planCase: planCase{groups: 1, spares: 1, change: unlist("g0-1")}},
		"unlisted rank 0 without spare": {planCase: planCase{groups: 1, change: unlist("g0-0")}},
		"drained with unlisted rank 0": {planCase: planCase{groups: 1, change: func(input *PlanInput) {
			unlist("g0-0")(input)
			input.Groups[0].Group.State, input.Groups[0].Drained = StateDraining, true
		}}, want: []Decision{Vacate{Group: "large.fd.0", VMs: []string{"g0-0"}}}},
		"dissolve":                         {planCase: planCase{groups: 2, missing: twoGroups}, want: []Decision{Dissolve{Group: "large.fd.1", For: "large.fd.0"}}},
		"no dissolving after a short wait": {planCase: planCase{groups: 2, missing: map[string]time.Duration{"g0-1": 20 * time.Second, "g1-2": 20 * time.Second}}},
		"no dissolving while VMs become spares": {planCase: planCase{groups: 2, missing: twoGroups, change: func(input *PlanInput) {
			input.VMs = append(input.VMs, VMStatus{Name: "z", Live: true, Incoming: true})
		}}},
		"more valuable group is not dissolved": {planCase: planCase{groups: 2, missing: twoGroups, change: func(input *PlanInput) {
			other := input.Demands[0]
			other.Group.Name, other.Group.Value = "vital", 9
			input.Demands = append([]Demand{other}, input.Demands...)
			input.Groups[1].Group.Spec = "vital"
		}}, want: []Decision{Dissolve{Group: "large.fd.0", For: "large.fd.1"}}},
		"form": {planCase: planCase{groups: 1, spares: 5, demand: func(demand *Demand) { demand.Share, demand.Total, demand.Group.Replicas = 2, 2, 2 }},
			want: []Decision{Form{Spec: "large", Name: "large.fd.1", VMs: []string{"s0", "s1", "s2", "s3"}}}},
		"no forming beyond the share": {planCase: planCase{groups: 1, spares: 5, demand: func(demand *Demand) { demand.Group.Replicas = 2 }}},
		"no forming of replicas that other domains have": {planCase: planCase{groups: 1, spares: 5, demand: func(demand *Demand) {
			demand.Share, demand.Total, demand.Group.Replicas, demand.Placed = 2, 2, 2, 2
		}}},
		"surplus is drained":                       {planCase: planCase{groups: 2, demand: func(demand *Demand) { demand.Share, demand.Group.Replicas = 1, 1 }}, want: []Decision{Drain{Group: "large.fd.1", Reason: DrainSurplus}}},
		"incomplete surplus is dissolved":          {planCase: planCase{groups: 1, missing: hour, demand: func(demand *Demand) { demand.Share = 0 }}, want: []Decision{Dissolve{Group: "large.fd.0"}}},
		"incomplete stays when no domain has room": {planCase: planCase{groups: 1, missing: hour, demand: func(demand *Demand) { demand.Share, demand.Total = 0, 0 }}},
		"straggler":               {planCase: planCase{groups: 2, spares: 1, straggler: "g1-0"}, want: []Decision{Drain{Group: "large.fd.1", Reason: DrainStraggler}}},
		"straggler without spare": {planCase: planCase{groups: 2, straggler: "g1-0"}},
		"leaving":                 {planCase: planCase{groups: 2, leaving: "g1-0"}, want: []Decision{Drain{Group: "large.fd.1", Reason: DrainLeaving}}},
		"leaving in spite of replicas to keep": {planCase: planCase{groups: 2, leaving: "g1-0", demand: func(demand *Demand) { demand.Keep = 2 }},
			want: []Decision{Drain{Group: "large.fd.1", Reason: DrainLeaving}}},
		"no straggler stop below the replicas to keep": {planCase: planCase{groups: 2, spares: 1, straggler: "g1-0", demand: func(demand *Demand) { demand.Keep = 2 }}},
		"closed group does not count as kept": {planCase: planCase{groups: 3, spares: 1, straggler: "g1-0", leaving: "g2-0", demand: func(demand *Demand) { demand.Keep = 2 }},
			want: []Decision{Drain{Group: "large.fd.2", Reason: DrainLeaving}}},
		"version":                    {planCase: planCase{groups: 2, demand: func(demand *Demand) { demand.Group.Version = "2" }}, want: []Decision{Drain{Group: "large.fd.0", Reason: DrainVersion}}},
		"version out of turn":        {planCase: planCase{groups: 2, demand: func(demand *Demand) { demand.Group.Version = "2"; demand.Turn = false }}},
		"one planned stop at a time": {planCase: planCase{groups: 2, demand: func(demand *Demand) { demand.Group.Version = "2" }, change: func(input *PlanInput) { input.Groups[0].Group.State = StateDraining }}},
	} {
		test.Run(name, func(test *testing.T) { require.Equal(test, each.want, Plan(each.input())) })
	}
}

// Guards against shares that add up to more replicas than configured, and against
// replicas that are not spread over the failure domains.
func TestDivideSpreadsReplicas(test *testing.T) {
	input := shareInput{
		groups: []folder.Group{{Name: "large", Size: 4, Replicas: 7, Value: 1}, {Name: "small", Size: 1, Replicas: 40}},
		domains: []DomainSize{
			{Name: "c", FailureDomain: "f2", VMs: 9}, {Name: "a", FailureDomain: "f1", VMs: 8},
			{Name: "b", FailureDomain: "f1", VMs: 9}, {Name: "d", FailureDomain: "f3", VMs: 3},
		},
	}
	total := map[string]int{}
	for _, domain := range input.domains {
		division := input.divide(domain.Name)
		for name, share := range division.own {
			total[name] += share
		}
		require.Equal(test, 6, division.total["large"])
	}
	require.Equal(test, map[string]int{"large": 6, "small": 5}, total)
	input.groups = []folder.Group{{Name: "large", Size: 4, Replicas: 3}}
	require.Equal(test, 1, input.divide("a").own["large"])
	require.Equal(test, 1, input.divide("b").own["large"])
	require.Equal(test, 1, input.divide("c").own["large"])
}
