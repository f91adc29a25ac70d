package control

import (
	"context"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

// publishTable hands traffic a new table when something changed.
func (state *state) publishTable() {
	if !state.dirty {
		return
	}
	state.dirty = false
	generation := state.configuration.head().Generation
	if state.feeding() {
		state.publishStanding(state.now())
		if state.feed.catalog != nil {
			generation = state.feed.catalog.Version()
		}
	}
	state.config.Publisher.Publish(route.NewTable(route.TableConfig{
		Folder:     state.configuration.folder,
		Catalog:    state.feed.catalog,
		Generation: generation,
		Groups:     state.groupTargets(),
		Services:   state.serviceTargets(),
	}))
}

func (state *state) groupTargets() []route.GroupTarget {
	count := 0
	for _, known := range state.domains {
		count += len(known.targets)
	}
	targets := make([]route.GroupTarget, 0, count)
	for _, known := range state.domains {
		targets = state.appendTargets(targets, known)
	}
	return targets
}

// appendTargets appends the groups of a domain with their newest grants. What
// follows from the placement is kept between grants, which arrive several
// times a second.
func (state *state) appendTargets(targets []route.GroupTarget, known *domain) []route.GroupTarget {
	if known.targets == nil && known.placement != nil {
		for _, placed := range known.placement.Groups() {
			known.targets = append(known.targets, state.groupTarget(known, placed))
		}
	}
	for _, target := range known.targets {
		granted := known.grants[target.Name]
		target.Grant = granted.Grant
		target.Load = granted.Load
		target.LoadUnreported = state.feeding()
		targets = append(targets, target)
	}
	return targets
}

// groupTarget returns a group without its grant.
func (state *state) groupTarget(known *domain, placed group.Group) route.GroupTarget {
	target := route.GroupTarget{
		Name:  placed.Name,
		Spec:  placed.Spec,
		Epoch: placed.Epoch,
		Open:  placed.State == group.StateReady,
	}
	for rank, vm := range known.placement.Members(placed.Name) {
		assignment, _ := known.placement.Assignment(vm)
		if rank == 0 {
			target.VM = vm
			target.Address = assignment.Address
			target.FailureDomain = assignment.FailureDomain
		}
		if state.isLeaving(vm, assignment.Incarnation) {
			target.Open = false
		}
	}
	return target
}

func (state *state) serviceTargets() []route.ServiceTarget {
	if state.feeding() {
		return state.feed.runners
	}
	if state.configuration.folder == nil {
		return nil
	}
	var targets []route.ServiceTarget
	for _, service := range state.configuration.folder.Services() {
		for _, address := range service.Addresses {
			targets = append(targets, state.serviceTarget(service, address))
		}
	}
	return targets
}

func (state *state) serviceTarget(service folder.Service, address folder.ServiceAddress) route.ServiceTarget {
	report := state.services[address.Address]
	leaving := state.isLeaving(address.Address, "")
	return route.ServiceTarget{
		Service:       service.Name,
		Address:       address.Address,
		FailureDomain: address.FailureDomain,
		Open:          !leaving && !report.Leaving,
		Load:          report.Load,
	}
}

// pollServices reads the reports of all service runners.
func (state *state) pollServices() {
	if state.configuration.folder == nil {
		return
	}
	for _, service := range state.configuration.folder.Services() {
		for _, address := range service.Addresses {
			state.pollService(address.Address)
		}
	}
}

func (state *state) pollService(address string) {
	if state.polling[address] {
		return
	}
	state.polling[address] = true
	state.start(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, servicePoll)
		defer cancel()
		report, err := state.config.Services.Report(ctx, address)
		return serviceRead{address: address, report: report, failed: err != nil}
	})
}

// handleService takes in a report. A runner that does not report keeps its
// last report: only the runner itself or an operator says that it is leaving.
func (state *state) handleService(result serviceRead) {
	delete(state.polling, result.address)
	if result.failed {
		state.metrics.serviceFailures.Inc()
		return
	}
	if state.services[result.address] != result.report {
		state.services[result.address] = result.report
		state.dirty = true
	}
}
