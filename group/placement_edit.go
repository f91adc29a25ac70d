package group

import "maps"

// clone returns a copy of the record that can be changed.
func (placement *Placement) clone() *Placement {
	copied := *placement
	copied.vms = maps.Clone(placement.vms)
	copied.groups = maps.Clone(placement.groups)
	copied.index = nil
	return &copied
}

// compose gives a group a new composition: a new epoch in StateForming.
func (placement *Placement) compose(group Group) {
	placement.epoch++
	group.Epoch = placement.epoch
	group.State = StateForming
	placement.groups[group.Name] = group
	for vm, assignment := range placement.vms {
		if assignment.Group == group.Name && assignment.Unlisted {
			placement.setUnlisted(vm, false)
		}
	}
}

// setUnlisted records whether a VM confirms its assignment without being listed.
func (placement *Placement) setUnlisted(vm string, unlisted bool) {
	assignment := placement.vms[vm]
	assignment.Unlisted = unlisted
	placement.vms[vm] = assignment
}

// setState changes the state of a group without a new epoch.
func (placement *Placement) setState(name string, state State) {
	group := placement.groups[name]
	group.State = state
	placement.groups[name] = group
}

// assign assigns a VM to a rank of a group. It returns false without a change if
// the VM already has an assignment or the rank already has a VM.
func (placement *Placement) assign(vm string, assignment Assignment) bool {
	if _, found := placement.vms[vm]; found {
		return false
	}
	for _, other := range placement.vms {
		if other.Group == assignment.Group && other.Rank == assignment.Rank {
			return false
		}
	}
	placement.vms[vm] = assignment
	return true
}

// free removes a VM from its group.
func (placement *Placement) free(vm string) { delete(placement.vms, vm) }

// remove deletes a group and frees its VMs.
func (placement *Placement) remove(name string) {
	for vm, assignment := range placement.vms {
		if assignment.Group == name {
			delete(placement.vms, vm)
		}
	}
	delete(placement.groups, name)
}
