package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A fillCase describes a domain with one large group of 4 VMs and one small group
// of 3.
type fillCase struct {
	// warm are the models for which a VM joins a group without a load. Members
	// without an entry are warm for the model of their group.
	warm map[string][]string

	// lost are members that do not report.
	lost   []string
	spares []string

	// ready is the number of serving replicas of each group in all domains.
	ready map[string]int
}

func (each fillCase) input() PlanInput {
	input := PlanInput{Now: planNow, Domain: "fd", DowntimeWeight: 1, StrandedWeight: 1, ByShare: true}
	for _, spec := range openedByOrderFolder().Groups {
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

// Guards against whole groups that wait for the load of one member although the VMs
// of the domain could serve immediately in another composition.
func TestPlanRegroupsWithoutLoads(test *testing.T) {
	both := []string{"large", "small"}
	twoModels := map[string][]string{"large-0": both, "large-1": both, "large-2": both, "large-3": both}
	swappable := map[string][]string{"small-2": both, "s0": {"small"}}
	joinable := map[string][]string{"small-1": both}
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
		"cold spare":                              {fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}}},
		"spare of another model":                  {fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}, warm: map[string][]string{"s0": {"small"}}}},
		"members form a group of the other model": {fillCase: fillCase{lost: []string{"large-1"}, warm: twoModels, ready: map[string]int{"large": 4, "small": 4}}, want: []Decision{Dissolve{Group: "large.fd.0"}}},
		"other model is served much better":       {fillCase: fillCase{lost: []string{"large-1"}, warm: twoModels, ready: map[string]int{"large": 1, "small": 5}}},
		"member is swapped for a spare": {
			fillCase: fillCase{lost: []string{"large-1"}, spares: []string{"s0"}, warm: swappable, ready: map[string]int{"large": 2, "small": 2}},
			want:     []Decision{Repair{Group: "small.fd.0", Rank: 2, VM: "s0", Replaced: "small-2", Reason: RepairReassigned}},
		},
		"complete group is dissolved": {
			fillCase: fillCase{lost: []string{"large-1"}, warm: joinable, ready: map[string]int{"large": 1, "small": 4}},
			want:     []Decision{Dissolve{Group: "small.fd.0", For: "large.fd.0"}},
		},
		"complete group is kept": {fillCase: fillCase{lost: []string{"large-1"}, warm: joinable, ready: map[string]int{"large": 3, "small": 3}}},
		"other incomplete group is dissolved": {
			fillCase: fillCase{lost: []string{"large-1", "small-0"}, warm: map[string][]string{"large-2": both}, ready: map[string]int{"large": 2, "small": 2}},
			want:     []Decision{Dissolve{Group: "large.fd.0", For: "small.fd.0"}},
		},
	} {
		test.Run(name, func(test *testing.T) {
			require.Equal(test, each.want, Plan(each.input()))
		})
	}
}

// Guards against groups formed out of VMs that would have to load first, and against
// a domain that keeps no spare.
func TestPlanFormsGroupsOfWarmSparesOnly(test *testing.T) {
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

// Drained groups waited up to 14 s for the load of a spare (stops-hups on pragovec-lws),
// while their other members stood idle. Guards against a drained group that takes a spare
// without weights, and against a straggler that is drained for one.
func TestDrainedGroupTakesWarmSparesOnly(test *testing.T) {
	for name, scenario := range map[string]struct {
		warm []string
		want []Decision
	}{
		"without weights":  {nil, []Decision{Vacate{Group: "large.fd.0", VMs: []string{"large-1"}}}},
		"of another model": {[]string{"small"}, []Decision{Vacate{Group: "large.fd.0", VMs: []string{"large-1"}}}},
		"of the model":     {[]string{"large"}, []Decision{Repair{Group: "large.fd.0", Rank: 1, VM: "s1", Replaced: "large-1", Reason: RepairLeaving}}},
	} {
		test.Run(name, func(test *testing.T) {
			input := fillCase{spares: []string{"s0", "s1"}, warm: map[string][]string{"s1": scenario.warm}, ready: map[string]int{"large": 1, "small": 1}}.input()
			input.VMs[1].Leaving = true
			input.Groups[0].Group.State, input.Groups[0].Drained = StateDraining, true
			require.Equal(test, scenario.want, Plan(input))
			input.VMs[1].Leaving, input.VMs[1].Straggler = false, true
			input.Groups[0].Group.State, input.Groups[0].Drained = StateReady, false
			drains := slices.ContainsFunc(Plan(input), func(decision Decision) bool { return decision == Drain{Group: "large.fd.0", Reason: DrainStraggler} })
			require.Equal(test, slices.Contains(scenario.warm, "large"), drains)
		})
	}
}

// In a release of all runners, each drained group began to take in a spare only after its
// last stream (1.6 s for a spare that has the weights on its host). Guards against such a
// wait, and against members that join while rank 0 runs requests.
func TestSpareJoinsWhileStreamsEnd(test *testing.T) {
	for rank := range 3 {
		domain := newOpenedByOrderDomain(test, 9)
		domain.waitFor(20*time.Second, domain.bothServing())
		domain.runFor(5 * time.Second)
		rank0 := domain.openVM("small")
		domain.engines[rank0].streamTime = 3 * time.Second
		members := slices.Clone(domain.leader.Placement().Members("small.fd.0"))
		domain.orders = nil
		domain.setListed(members[rank], kvstore.VMLeaving)
		joined := func() bool {
			return slices.ContainsFunc(domain.orders, func(order SendOrder) bool { return order.Order.Action == engine.ActionLoad })
		}
		domain.waitFor(2*time.Second, joined)
		require.Equal(test, engine.StateOpen, domain.engines[rank0].report.State, "the spare joins after rank 0 was closed")
		domain.waitFor(time.Second, func() bool { return domain.engines[rank0].report.State == engine.StateDraining })
		require.Equal(test, []engine.Action{engine.ActionDrain}, domain.actions(rank0))
		domain.waitFor(10*time.Second, domain.reopened)
		require.NotContains(test, domain.leader.Placement().Members("small.fd.0"), members[rank])
	}
}

// Guards against models that are not served although the domain has VMs for them.
// Replays a day of failures at the users' sites: members are lost one after the
// other, and the VMs that replace them do not load in time. After the second loss
// in the large group, the only spare is one for the small group.
func TestSuccessiveLossesAreRepairedWithoutLoads(test *testing.T) {
	domain := newOpenedByOrderDomain(test, 9)
	domain.waitFor(20*time.Second, domain.bothServing())
	domain.runFor(5 * time.Second)
	for name, runner := range domain.engines {
		runner.extraLoadTime = time.Hour
		if assignment, placed := domain.leader.Placement().Assignment(name); placed {
			require.Len(test, domain.leader.warm(domain.leader.members[name]), 2, "member of %s is warm for one model", assignment.Group)
		}
	}
	for loss := range 2 {
		members := domain.leader.Placement().Members("large.fd.0")
		domain.orders = nil
		domain.unlist(members[1+loss])
		// To join a group without a load and to open it takes two seconds on the
		// users' engines.
		domain.waitFor(5*time.Second, domain.reopened)
	}
}

// Guards against loads after the return of an unreachable domain whose VMs restarted
// with weights on their hosts that differ from those of their groups.
func TestUnreachableDomainReturnsWithoutLoads(test *testing.T) {
	domain := newOpenedByOrderDomain(test, 9)
	domain.waitFor(20*time.Second, domain.bothServing())
	domain.runFor(5 * time.Second)
	domain.orders = nil
	list := domain.list
	domain.list = nil
	for _, runner := range domain.engines {
		runner.dead = true
	}
	domain.send(VMsListed{})
	domain.runFor(5 * time.Second)
	for name, runner := range domain.engines {
		runner.dead, runner.extraLoadTime, runner.lastModel = false, time.Hour, ""
		runner.report = engine.Report{VM: name, Incarnation: "b", State: engine.StateIdle, Staged: runner.report.Staged}
	}
	for index := range list {
		list[index].Incarnation = "b"
	}
	domain.list = list
	domain.send(VMsListed{VMs: list})
	domain.waitFor(30*time.Second, domain.reopened)
}

// Guards against staging that counts as done when it was ordered: it is in progress
// until the weights have arrived.
func TestStagingListsVMsUntilWeightsArrive(test *testing.T) {
	domain := newOpenedByOrderDomain(test, 9)
	for _, runner := range domain.engines {
		runner.extraLoadTime = 30 * time.Second
	}
	domain.runFor(5 * time.Second)
	staging := domain.leader.Staging(domain.now)
	require.Len(test, staging, 2, "the spares of nine VMs")
	for _, name := range staging {
		vm := domain.leader.members[name]
		domain.engines[name].report.Staged = []string{vm.staging}
	}
	domain.runFor(time.Second)
	require.Empty(test, domain.leader.Staging(domain.now))
}

// Guards against an order to stage weights that counts as given, and uses up its load permit,
// while another order keeps it from being sent.
func TestStageOrderCountsWhenItIsSent(test *testing.T) {
	domain := newOpenedByOrderDomain(test, 9)
	domain.runFor(5 * time.Second)
	var spare *member
	for name, vm := range domain.leader.members {
		if _, placed := domain.leader.placement.Assignment(name); !placed {
			spare = vm
		}
	}
	require.NotNil(test, spare)
	spare.report.Staged, spare.lastModel, spare.staging = nil, "", ""
	spec := domain.leader.groups[0]
	permit := loadPermit{group: stagingPrefix + "/" + spec.Name, granted: true}
	spare.permit = permit
	spare.order = pendingOrder{id: "another", action: engine.ActionRelease}
	require.Empty(test, domain.leader.sendOrders(domain.now))
	require.Equal(test, permit, spare.permit)
	require.Empty(test, spare.staging)

	spare.order = pendingOrder{}
	effects := domain.leader.sendOrders(domain.now)
	require.Len(test, effects, 1)
	require.Equal(test, engine.ActionStage, effects[0].(SendOrder).Order.Action)
	require.Equal(test, spec.Model, spare.staging)
	require.Equal(test, loadPermit{}, spare.permit)
}

// Guards against a new domain that forms groups out of proportion or leaves no
// spares, and against groups that are chosen by the size that fits the first VMs,
// before all VMs were added.
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
