package control

import (
	"context"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

// publishTable publishes a new table if its content has changed.
func (state *state) publishTable() {
	if !state.dirty {
		return
	}
	state.dirty = false
	generation := state.configuration.head().Generation
	if state.feeding() {
		state.deriveGrants(state.now())
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
		Evacuated:  state.feed.evacuations,
		At:         state.now(),
	}))
}

func (state *state) groupTargets() []route.GroupTarget {
	count := 0
	for _, domain := range state.domains {
		count += len(domain.targets)
	}
	targets := make([]route.GroupTarget, 0, count)
	for _, domain := range state.domains {
		targets = state.appendTargets(targets, domain)
	}
	return targets
}

// appendTargets appends the groups of a fabric domain with their current
// grants. It caches the part of each target that does not depend on the grants,
// because grants arrive several times per second.
func (state *state) appendTargets(targets []route.GroupTarget, domain *domainState) []route.GroupTarget {
	if domain.targets == nil && domain.placement != nil {
		for _, placed := range domain.placement.Groups() {
			domain.targets = append(domain.targets, state.groupTarget(domain, placed))
		}
	}
	for _, target := range domain.targets {
		granted := domain.grants[target.Name]
		target.Grant = granted.Grant
		target.Load = granted.Load
		target.LoadUnreported = state.feeding()
		targets = append(targets, target)
	}
	return targets
}

// groupTarget returns the target of a placed group without its grant.
func (state *state) groupTarget(domain *domainState, placed group.Group) route.GroupTarget {
	target := route.GroupTarget{
		Name:  placed.Name,
		Spec:  placed.Spec,
		Epoch: placed.Epoch,
		Open:  placed.State == group.StateReady,
	}
	if state.feeding() {
		service, known := group.ServiceOf(domain.placement, placed, state.serviceOf)
		target.Spec, target.Service = placed.Model, service
		target.Open = target.Open && known
	}
	for rank, vm := range domain.placement.Members(placed.Name) {
		assignment, _ := domain.placement.Assignment(vm)
		if rank == 0 {
			target.VM = vm
			target.Incarnation = assignment.Incarnation
			target.Address = assignment.Address
			target.FailureDomain = assignment.FailureDomain
		}
		if state.isDraining(vm, assignment.Incarnation) {
			target.Open = false
		}
	}
	return target
}

// specs returns the folder's groups, none before the first configuration.
func (state *state) specs() []folder.Group {
	if state.configuration.folder == nil {
		return nil
	}
	return state.configuration.folder.Groups()
}

// serviceOf returns the service of a listed VM, and whether the VM is listed.
func (state *state) serviceOf(vm string) (string, bool) {
	listed, found := state.vms[vm]
	return listed.Service, found
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
	draining := state.isDraining(address.Address, "")
	return route.ServiceTarget{
		Service:       service.Name,
		Address:       address.Address,
		FailureDomain: address.FailureDomain,
		Open:          !draining && !report.Draining,
		Load:          report.Load,
	}
}

// pollServices requests the reports of all service runners.
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
	if state.pollingServices[address] {
		return
	}
	state.pollingServices[address] = true
	state.startWorker(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, servicePollInterval)
		defer cancel()
		report, err := state.config.Services.Report(ctx, address)
		return serviceRead{address: address, report: report, failed: err != nil}
	})
}

// handleServiceReport records the report of a service runner. If the runner did
// not report, its last report stays in force: a runner drains only on its own
// report or on an operator's order.
func (state *state) handleServiceReport(result serviceRead) {
	delete(state.pollingServices, result.address)
	if result.failed {
		state.metrics.serviceFailures.Inc()
		return
	}
	if state.services[result.address] != result.report {
		state.services[result.address] = result.report
		state.dirty = true
	}
}
