package group

import (
	"slices"

	"lacewingspoke.org/lacewingspoke/folder"
)

// SpecOf returns the folder's group of which a placed group is a replica, and false with
// its description if the folder has none.
//
// Groups of the folder that belong to services are found by the service of the members and
// the model: the record holds only the name of the model, which several services can have.
// serviceOf returns the service of a VM, false if the VM is unknown. If all members are
// unknown, the only service with the model is assumed. Members of different services are a
// replica of none.
func SpecOf(placement *Placement, group Group, specs []folder.Group, serviceOf func(vm string) (string, bool)) (folder.Group, bool) {
	removed := folder.Group{Name: group.Spec, Model: group.Model, Version: group.Version, Size: group.Size}
	if !hasServices(specs) {
		spec, found := findSpec(specs, group.Spec)
		if !found {
			return removed, false
		}
		return spec, true
	}
	service, known, mixed := memberService(placement, group, serviceOf)
	if mixed {
		removed.Name = "mixed " + group.Name
		return removed, false
	}
	var found []folder.Group
	for _, spec := range specs {
		if spec.Model == group.Model && (!known || spec.Service == service) {
			found = append(found, spec)
		}
	}
	if len(found) == 1 {
		return found[0], true
	}
	removed.Service = service
	removed.Name = ServiceSpec(service, group.Model)
	return removed, false
}

// ServiceOf returns the service of a placed group, and false if none of its members is known
// or they belong to different services.
func ServiceOf(placement *Placement, group Group, serviceOf func(vm string) (string, bool)) (string, bool) {
	service, known, mixed := memberService(placement, group, serviceOf)
	return service, known && !mixed
}

// memberService returns the service of the known members of a group, whether any member is
// known, and whether they belong to different services.
func memberService(placement *Placement, group Group, serviceOf func(vm string) (string, bool)) (service string, known, mixed bool) {
	for _, name := range placement.Members(group.Name) {
		own, found := serviceOf(name)
		if !found {
			continue
		}
		mixed = mixed || known && own != service
		service, known = own, true
	}
	return service, known, mixed
}

// ServiceSpec returns the name of the folder's group for a model of a service.
func ServiceSpec(service, model string) string { return service + "/" + model }

// recordedSpec returns the name of a folder's group in placement records.
func recordedSpec(spec folder.Group) string {
	if spec.Service != "" {
		return spec.Model
	}
	return spec.Name
}

func hasServices(specs []folder.Group) bool { return len(specs) > 0 && specs[0].Service != "" }

// specOf returns SpecOf for a group of a record of this domain.
func (leader *Leader) specOf(placement *Placement, group Group) (folder.Group, bool) {
	return SpecOf(placement, group, leader.groups, func(name string) (string, bool) {
		vm, found := leader.members[name]
		if !found {
			return "", false
		}
		return vm.vm.Service, true
	})
}

// services returns the services of the VMs and of the placed groups, each once. It is one
// empty name if VMs belong to no services.
func (leader *Leader) services(specs map[string]folder.Group) []string {
	var names []string
	add := func(service string) {
		if !slices.Contains(names, service) {
			names = append(names, service)
		}
	}
	for _, vm := range leader.members {
		add(vm.vm.Service)
	}
	for _, spec := range specs {
		add(spec.Service)
	}
	slices.Sort(names)
	return names
}

// takes reports whether replicas of a folder's group may have the VM as a member.
func takes(spec folder.Group, vm *member) bool { return spec.Service == vm.vm.Service }
