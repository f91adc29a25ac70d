package group

import (
	"fmt"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// PlanInput is what the policy decides on.
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

	// WeightRate is the weight store's rate in bytes a second.
	WeightRate int64

	// Dark says that most of the domain stopped reporting at once.
	Dark bool

	// Filling says that groups are wanted in proportion to their shares, and
	// Growing that VMs are still being added to the domain.
	Filling bool
	Growing bool
}

// A VMStatus is what the policy knows of a VM.
type VMStatus struct {
	Name          string
	Address       string
	Incarnation   string
	FailureDomain string
	Accelerators  int

	// Live says that the VM reports.
	Live bool

	// Gone says that the platform has taken the VM off its list.
	Gone bool

	// Warm are the models that the VM joins a group of without a load from the
	// weight store.
	Warm []string

	// Spare says that the VM holds no group and may be assigned.
	Spare bool

	// Incoming says that the VM has no seat but its engine still holds one.
	Incoming bool

	// MissingSince is when a VM that does not report last did.
	MissingSince time.Time
	Straggler    bool
	Leaving      bool
}

// A GroupStatus is what the policy knows of a placed group.
type GroupStatus struct {
	Group Group

	// Members are the VMs by rank, empty for an empty seat.
	Members []string

	// Incarnations are the members' incarnations in the record.
	Incarnations []string

	// Complete says that every member reported ready at the group's epoch.
	Complete bool

	// Drained says that the gate is closed everywhere and nothing runs.
	Drained bool

	// Load is the number of requests that rank 0 has.
	Load int
}

// Bounds of the policy's patience.
const (
	// defaultLoadTime stands for the load time of weights of unknown size.
	defaultLoadTime = 30 * time.Second

	// graceDivisor makes the wait for a paused member a quarter of the load
	// that a replacement costs.
	graceDivisor = 4

	// maxGrace bounds the wait for a paused member when a spare is at hand:
	// pauses of a VM are over within seconds.
	maxGrace = 15 * time.Second
)

// Plan decides what changes in the placement of one fabric domain. It is a
// pure function: equal inputs give equal decisions.
//
// A group with a missing member is repaired with a spare after a short wait
// for paused members. Without a spare, the least valuable incomplete group is
// dissolved to complete another one when the weighted cost of further waiting
// exceeds the weighted cost of loading again. Spares form missing replicas up
// to the domain's share; what is left stays as spares. Planned stops take one
// replica of a group at a time and leave the replicas to keep.
//
// Where groups are wanted in proportion, VMs without the weights take no seat:
// they stage a model first, and what the others can serve at once is formed.
func Plan(input PlanInput) []Decision {
	if input.Dark {
		return nil
	}
	planner := newPlanner(input)
	planner.finishDrained()
	planner.releaseSurplus()
	planner.repair()
	if input.Filling {
		planner.convert()
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

	// cold says that no VM of the domain holds any weights.
	cold bool

	// touched are the groups that a decision changes.
	touched map[string]bool
	names   map[string]bool
}

func newPlanner(input PlanInput) *planner {
	planner := &planner{
		input:   input,
		vms:     map[string]VMStatus{},
		touched: map[string]bool{},
		names:   map[string]bool{},
		cold:    true,
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
		planner.names[status.Group.Name] = true
	}
	return planner
}

func (planner *planner) decide(group string, decision Decision) {
	planner.touched[group] = true
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

// placed counts the groups of a spec in this domain.
func (planner *planner) placed(spec string) int {
	count := 0
	for _, status := range planner.input.Groups {
		if status.Group.Spec == spec && status.Group.State != StateReleased {
			count++
		}
	}
	return count
}

func (planner *planner) take(model string) string {
	name := planner.spareVMs(model)[0]
	planner.spend(name)
	return name
}

// spareVMs returns the spares in the order in which a group of the model uses
// them: first those that are warm for it alone, then those that are warm for
// others too, then those that are warm for none, whose use displaces nothing.
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

// form makes the missing replicas of the domain's share out of spares, the
// most valuable first. Spares that an incomplete group waits for are left.
func (planner *planner) form() {
	reserved := planner.reserved()
	for _, demand := range planner.input.Demands {
		missing := min(demand.Share-planner.placed(demand.Group.Name), demand.Group.Replicas-demand.Placed)
		for ; missing > 0; missing-- {
			size := demand.Group.Size
			if size < 1 || len(planner.spares)-reserved < size {
				break
			}
			vms := planner.spareVMs(demand.Group.Model)[:size:size]
			for _, vm := range vms {
				planner.spend(vm)
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
		if !planner.names[name] {
			planner.names[name] = true
			return name
		}
	}
}
