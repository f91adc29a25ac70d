package group

import (
	"fmt"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// PlanInput is the input of the policy for one fabric domain.
type PlanInput struct {
	Now    time.Time
	Domain string

	// VMs are in the order of their names.
	VMs []VMStatus

	// Groups are in the order of their names.
	Groups []GroupStatus

	// Demands are in the order of their groups' values.
	Demands []Demand

	DowntimeWeight float64
	StrandedWeight float64

	// WeightRate is the rate limit of the weight store in bytes per second.
	WeightRate int64

	// Unreachable is set while most VMs of the domain are unreachable because they
	// stopped reporting at the same time, for at most UnreachableHold, and for
	// ReturnSettle after their return.
	Unreachable bool

	// ByShare is set when groups are formed in proportion to their shares, and
	// Growing while VMs are still being added to the domain.
	ByShare bool
	Growing bool
}

// A VMStatus is the state of one VM for the policy.
type VMStatus struct {
	Name          string
	Address       string
	Incarnation   string
	FailureDomain string
	Accelerators  int

	// Live is set while the VM reports.
	Live bool

	// Gone is set when the platform has removed the VM from its list.
	Gone bool

	// Unlisted is set when the VM is not in the platform's list but still reports. As
	// rank 0 of a group it receives no new requests and may be leaving.
	Unlisted bool

	// Warm are the models for which the VM joins a group without a load from
	// the weight store.
	Warm []string

	// Spare is set when the VM is in no group and may be assigned to one.
	Spare bool

	// Incoming is set when the record assigns the VM to no group but its engine
	// has not left its last one yet.
	Incoming bool

	// MissingSince is the time of the last report of a VM that is not live.
	MissingSince time.Time
	Straggler    bool
	Leaving      bool
}

// A GroupStatus is the state of one placed group for the policy.
type GroupStatus struct {
	Group Group

	// Members are the VMs by rank. A rank without a VM is empty.
	Members []string

	// Incarnations are the members' incarnations in the record.
	Incarnations []string

	// Complete is set when every member reported ready at the group's epoch.
	Complete bool

	// Drained is set when the group is draining, every node has stopped
	// admitting requests to it, and none is running.
	Drained bool

	// Load is the number of requests that run or are queued at rank 0.
	Load int
}

// Bounds of the time for which the policy waits for missing members.
const (
	// defaultLoadTime is the assumed load time of weights of unknown size.
	defaultLoadTime = 30 * time.Second

	// graceDivisor sets the wait for a paused member to a quarter of the load
	// time that its replacement costs.
	graceDivisor = 4

	// maxGrace bounds the wait for a paused member when a spare is available,
	// because a VM is paused for a few seconds only.
	maxGrace = 15 * time.Second
)

// Plan decides which changes the placement of one fabric domain needs. It is a
// pure function: equal inputs give equal decisions.
//
// A group with a missing member is repaired with a spare after a short wait for
// paused members. Without a spare, the least valuable incomplete group is
// dissolved to complete another one when the weighted cost of further waiting
// exceeds the weighted cost of loading again. Missing replicas are formed out of
// spares up to the domain's share, and the remaining VMs stay spares. Planned
// stops take one replica of a group at a time and leave the minimum of replicas
// serving.
//
// When groups are formed in proportion to their shares, VMs without the weights
// are not assigned. They stage a model first, and groups are formed out of the VMs
// that can serve without a load.
func Plan(input PlanInput) []Decision {
	if input.Unreachable {
		return nil
	}
	planner := newPlanner(input)
	planner.finishDrained()
	planner.convert()
	planner.releaseSurplus()
	planner.repair()
	if input.ByShare {
		planner.regroup()
		planner.fill()
	} else {
		planner.dissolve()
		planner.form()
	}
	planner.replaceStragglers()
	planner.stopLeaving()
	planner.stopOutdated()
	return planner.decisions
}

type planner struct {
	input     PlanInput
	vms       map[string]VMStatus
	spares    []string
	incoming  int
	decisions []Decision

	// cold is set when no VM of the domain holds any weights.
	cold bool

	// changed are the groups that a decision of this run concerns.
	changed   map[string]bool
	usedNames map[string]bool
}

func newPlanner(input PlanInput) *planner {
	planner := &planner{
		input:     input,
		vms:       map[string]VMStatus{},
		changed:   map[string]bool{},
		usedNames: map[string]bool{},
		cold:      true,
	}
	for _, vm := range input.VMs {
		planner.vms[vm.Name] = vm
		planner.cold = planner.cold && len(vm.Warm) == 0
		if vm.Spare && !vm.Leaving && !vm.Straggler {
			planner.spares = append(planner.spares, vm.Name)
		}
		if vm.Incoming && vm.Live && !vm.Leaving {
			planner.incoming++
		}
	}
	for _, status := range input.Groups {
		planner.usedNames[status.Group.Name] = true
	}
	return planner
}

func (planner *planner) decide(group string, decision Decision) {
	planner.changed[group] = true
	planner.decisions = append(planner.decisions, decision)
}

func (planner *planner) demand(spec string) Demand {
	for _, demand := range planner.input.Demands {
		if demand.Group.Name == spec {
			return demand
		}
	}
	return Demand{Group: folder.Group{Name: spec}}
}

// placedReplicas counts the replicas of one of the folder's groups in this domain.
func (planner *planner) placedReplicas(spec string) int {
	count := 0
	for _, status := range planner.input.Groups {
		if status.Group.Spec == spec && status.Group.State != StateReleased {
			count++
		}
	}
	return count
}

// spareVMs returns the spares in the order in which a group of the model takes
// them: first those that are warm for this model alone, then those that are warm
// for it and others, then those that are warm for none, whose use displaces no
// weights, and last those that are warm for other models only.
func (planner *planner) spareVMs(model string) []string {
	sorted := slices.Clone(planner.spares)
	rank := func(name string) int {
		warm := planner.vms[name].Warm
		switch {
		case slices.Equal(warm, []string{model}):
			return 0
		case slices.Contains(warm, model):
			return 1
		case len(warm) == 0:
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(sorted, func(one, other string) int { return rank(one) - rank(other) })
	return sorted
}

// form forms the missing replicas of the domain's share out of spares, the most
// valuable first. It leaves the spares that incomplete groups are waiting to use.
func (planner *planner) form() {
	reserved := planner.reservedSpares()
	for _, demand := range planner.input.Demands {
		missing := min(demand.Share-planner.placedReplicas(demand.Group.Name), demand.Group.Replicas-demand.Placed)
		for ; missing > 0; missing-- {
			size := demand.Group.Size
			if size < 1 || len(planner.spares)-reserved < size {
				break
			}
			vms := planner.spareVMs(demand.Group.Model)[:size:size]
			for _, vm := range vms {
				planner.useSpare(vm)
			}
			name := planner.freeName(demand.Group.Name)
			planner.decide(name, Form{Spec: demand.Group.Name, Name: name, VMs: vms})
		}
	}
}

// freeName returns the lowest unused replica name of a group in the domain.
func (planner *planner) freeName(spec string) string {
	for index := 0; ; index++ {
		name := fmt.Sprintf("%s.%s.%d", spec, planner.input.Domain, index)
		if !planner.usedNames[name] {
			planner.usedNames[name] = true
			return name
		}
	}
}
