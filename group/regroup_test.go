package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// A fillCase is a domain with one large group of 4 VMs and one small group of 3.
type fillCase struct {
	// warm holds the models that a VM joins without a load; members that are not
	// named are warm for their own group's.
	warm map[string][]string

	// lost are members that do not report.
	lost   []string
	spares []string

	// ready is the number of replicas that serve in all domains.
	ready map[string]int
}

func (each fillCase) input() PlanInput {
	input := PlanInput{Now: planNow, Domain: "fd", DowntimeWeight: 1, StrandedWeight: 1, Filling: true}
	for _, spec := range orderedFolder().Groups {
		status := GroupStatus{Complete: true, Group: Group{
			Name: spec.Name + ".fd.0", Spec: spec.Name, State: StateReady, Size: spec.Size, Model: spec.Model, Epoch: 1,
		}}
		for rank := range spec.Size {
			name := fmt.Sprintf("%s-%d", spec.Name, rank)
			lost := slices.Contains(each.lost, name)
			vm := VMStatus{Name: name, Incarnation: "a", Live: !lost, Gone: lost, Warm: []string{spec.Model}}
			if warm, found := each.warm[name]; found {
				vm.Warm = warm
			}
			if lost {
				status.Complete = false
				status.Group.State = StateBroken
			}
			status.Members = append(status.Members, name)
			status.Incarnations = append(status.Incarnations, "a")
			input.VMs = append(input.VMs, vm)
		}
		input.Groups = append(input.Groups, status)
		input.Demands = append(input.Demands, Demand{Group: spec, Share: 1, Total: 1, Placed: 1, Ready: each.ready[spec.Name], Turn: true})
	}
	for _, name := range each.spares {
		input.VMs = append(input.VMs, VMStatus{Name: name, Incarnation: "a", Live: true, Spare: true, Warm: each.warm[name]})
	}
	return input
}

// Guards against whole groups that wait for the load of one member, while the
// VMs of the domain could serve at once in another composition.
func TestPlanServesWithoutLoads(test *testing.T) {
	both := []string{"large", "small"}
	crossed := map[string][]string{"large-0": both, "large-1": both, "large-2": both, "large-3": both}
	lent := map[string][]string{"small-2": both, "s0": {"small"}}
	given := map[string][]string{"small-1": both}
	for name, each := range map[string]struct {
		fillCase
		want []Decision
	}{
		"warm spare": {
			fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0", "s1"}, warm: map[string][]string{"s1": {"large"}}},
			want:     []Decision{Repair{Group: "large.fd.0", Rank: 1, VM: "s1", Replaced: "large-1", Reason: RepairMissing}},
		},
		"spare that is warm for this model only": {
			fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0", "s1"}, warm: map[string][]string{"s0": both, "s1": {"large"}}},
			want:     []Decision{Repair{Group: "large.fd.0", Rank: 1, VM: "s1", Replaced: "large-1", Reason: RepairMissing}},
		},
		"cold spare":              {fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}}},
		"spare of another model":  {fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}, warm: map[string][]string{"s0": {"small"}}}},
		"members change over":     {fillCase: fillCase{lost: []string{"large-1"}, warm: crossed, ready: map[string]int{"large": 4, "small": 4}}, want: []Decision{Dissolve{Group: "large.fd.0"}}},
		"other model is abundant": {fillCase: fillCase{lost: []string{"large-1"}, warm: crossed, ready: map[string]int{"large": 1, "small": 5}}},
		"member is lent": {
			fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}, warm: lent, ready: map[string]int{"large": 2, "small": 2}},
			want:     []Decision{Repair{Group: "small.fd.0", Rank: 2, VM: "s0", Replaced: "small-2", Reason: RepairLent}},
		},
		"group is given": {
			fillCase: fillCase{lost: []string{"large-1"}, warm: given, ready: map[string]int{"large": 1, "small": 4}},
			want:     []Decision{Dissolve{Group: "small.fd.0", For: "large.fd.0"}},
		},
		"group is not given": {fillCase: fillCase{lost: []string{"large-1"}, warm: given, ready: map[string]int{"large": 3, "small": 3}}},
		"incomplete group is given": {
			fillCase: fillCase{lost: []string{"large-1", "small-0"}, warm: map[string][]string{"large-2": both}, ready: map[string]int{"large": 2, "small": 2}},
			want:     []Decision{Dissolve{Group: "large.fd.0", For: "small.fd.0"}},
		},
	} {
		test.Run(name, func(test *testing.T) {
			require.Equal(test, each.want, Plan(each.input()))
		})
	}
}

// Guards against groups that are formed out of VMs which would load first, and
// against spares that are all used up.
func TestPlanFormsOfWarmSpares(test *testing.T) {
	warm := map[string][]string{}
	input := fillCase{}.input()
	input.VMs, input.Groups = nil, nil
	for index := range 8 {
		name := fmt.Sprintf("s%d", index)
		if index < 7 {
			warm[name] = []string{"large", "small"}
		}
		input.VMs = append(input.VMs, VMStatus{Name: name, Incarnation: "a", Live: true, Spare: true, Warm: warm[name]})
	}
	for index := range input.Demands {
		input.Demands[index].Placed = 0
	}
	require.Equal(test, []Decision{
		Form{Spec: "large", Name: "large.fd.0", VMs: []string{"s0", "s1", "s2", "s3"}},
		Form{Spec: "small", Name: "small.fd.0", VMs: []string{"s4", "s5", "s6"}},
	}, Plan(input))
	input.VMs[3].Warm = []string{"small"}
	input.VMs[4].Warm = []string{"small"}
	input.VMs[5].Warm = nil
	input.VMs[6].Warm = nil
	require.Equal(test, []Decision{
		Form{Spec: "small", Name: "small.fd.0", VMs: []string{"s3", "s4", "s0"}},
	}, Plan(input), "the large group lacks a VM")
}

// Replays the losses of the users' days with trouble: one member after the other
// is lost, and the VMs that replace them are not loaded in time. Guards against
// models that are not served while the domain has VMs for them: the second loss
// in the large group finds only a spare of the small one.
func TestSteadyLossIsBorneWithoutLoads(test *testing.T) {
	domain := newOrderedDomain(test, 9)
	domain.until(20*time.Second, domain.serving())
	domain.pass(5 * time.Second)
	for name, runner := range domain.engines {
		runner.slow = time.Hour
		if seat, placed := domain.leader.Placement().Assignment(name); placed {
			require.Len(test, domain.leader.warm(domain.leader.members[name]), 2, "member of %s is warm for one model", seat.Group)
		}
	}
	for loss := range 2 {
		members := domain.leader.Placement().Members("large.fd.0")
		domain.orders = nil
		domain.unlist(members[1+loss])
		// A warm join and the opening take two seconds on the users' engines.
		domain.until(5*time.Second, domain.reopened)
	}
}

// Guards against a dark domain whose VMs come back with other weights on their
// hosts than their groups' and load them again.
func TestDarkDomainReturnsWithoutLoads(test *testing.T) {
	domain := newOrderedDomain(test, 9)
	domain.until(20*time.Second, domain.serving())
	domain.pass(5 * time.Second)
	domain.orders = nil
	list := domain.list
	domain.list = nil
	for _, runner := range domain.engines {
		runner.dead = true
	}
	domain.send(VMsListed{})
	domain.pass(5 * time.Second)
	for name, runner := range domain.engines {
		runner.dead, runner.slow, runner.served = false, time.Hour, ""
		runner.report = engine.Report{VM: name, Incarnation: "b", State: engine.StateIdle, Staged: runner.report.Staged}
	}
	for index := range list {
		list[index].Incarnation = "b"
	}
	domain.list = list
	domain.send(VMsListed{VMs: list})
	domain.until(30*time.Second, domain.reopened)
}

// Guards against a load for a VM that was only told to stage: it is in progress
// until the weights have arrived.
func TestStagingIsInProgressUntilItArrives(test *testing.T) {
	domain := newOrderedDomain(test, 9)
	for _, runner := range domain.engines {
		runner.slow = 30 * time.Second
	}
	domain.pass(5 * time.Second)
	staging := domain.leader.Staging(domain.now)
	require.Len(test, staging, 2, "the spares of nine VMs")
	for _, name := range staging {
		vm := domain.leader.members[name]
		domain.engines[name].report.Staged = []string{vm.staging}
	}
	domain.pass(time.Second)
	require.Empty(test, domain.leader.Staging(domain.now))
}

// Guards against a domain that starts with groups out of proportion, without
// spares, or with groups chosen by the size that fits its first VMs.
func TestPlanFillsAColdDomain(test *testing.T) {
	for name, each := range map[string]struct {
		vms     int
		growing bool
		want    map[string]int
	}{
		"whole domain":            {vms: 9, want: map[string]int{"large": 1, "small": 1}},
		"two groups of one size":  {vms: 6, want: map[string]int{"large": 1}},
		"large domain, 3 spares":  {vms: 27, want: map[string]int{"large": 3, "small": 4}},
		"too small for any group": {vms: 2, want: map[string]int{}},
		"still growing":           {vms: 9, growing: true, want: map[string]int{}},
	} {
		test.Run(name, func(test *testing.T) {
			input := fillCase{}.input()
			input.VMs, input.Groups, input.Growing = nil, nil, each.growing
			for index := range input.Demands {
				input.Demands[index].Placed = 0
			}
			for index := range each.vms {
				input.VMs = append(input.VMs, VMStatus{Name: fmt.Sprintf("s%02d", index), Incarnation: "a", Live: true, Spare: true})
			}
			formed := map[string]int{}
			for _, decision := range Plan(input) {
				formed[decision.(Form).Spec]++
			}
			require.Equal(test, each.want, formed)
		})
	}
}
