package control

import (
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/route"
)

// expireTargets removes the targets that did not return after an outage of the
// platform.
func (state *state) expireTargets(now time.Time) {
	if state.feeding() && state.feed.directory.Expire(now) {
		state.applyTargets(now)
	}
}

// inUse reports whether all targets are engines whose reports are in use.
func (feed *feedState) inUse(targets []directory.Target) bool {
	for _, target := range targets {
		if _, used := feed.reports[target.VM.Name]; !used {
			return false
		}
	}
	return true
}

// applyReports updates the reports of some engines, of which nothing else changed.
// Nearly all changes are of this kind. Unlike that of applyTargets, the cost does not
// grow with the number of targets.
func (state *state) applyReports(now time.Time, targets []directory.Target) {
	state.dirty = true
	for _, target := range targets {
		name, domain := target.VM.Name, target.VM.FabricDomain
		if state.feed.reports[name].Same(target.Report) {
			continue
		}
		state.feed.reports[name] = target.Report
		state.ensureDomain(domain).grantsDerivedAt = time.Time{}
		state.logTarget("target reported", domain, target.Report)
		if leadership, leads := state.leaderships[domain]; leads {
			state.handleGroup(now, leadership, group.ReportRead{Sent: now, Report: target.Report})
		}
	}
}

// applyTargets updates the VMs of engines, their reports and the runners of
// plain services from the directory, and passes changed reports to the leaders.
func (state *state) applyTargets(now time.Time) {
	var vms []kvstore.VM
	reports := make(map[string]engine.Report, len(state.feed.reports))
	state.feed.runners = nil
	for _, target := range state.feed.directory.Targets() {
		if !state.feed.configured(target) || !state.feed.responsive(target) {
			continue
		}
		if target.VM.FabricDomain == "" {
			runner := runnerOf(target)
			runner.Open = runner.Open && !state.isDraining(target.VM.Name, target.VM.Incarnation)
			state.feed.runners = append(state.feed.runners, runner)
			continue
		}
		if state.feed.unlisted(target) {
			target.VM.State = kvstore.VMUnlisted
		}
		target.VM.Service = target.Service
		vms = append(vms, target.VM)
		reports[target.VM.Name] = target.Report
	}
	previous := state.feed.reports
	state.feed.reports = reports
	state.feed.orders.retain(reports)
	state.logTargets(previous, vms)
	state.dirty = true
	for _, domain := range state.domains {
		domain.grantsDerivedAt = time.Time{}
	}
	state.handleVMs(now, vms)
	for name, leadership := range state.leaderships {
		for _, vm := range vms {
			if vm.FabricDomain == name && !previous[vm.Name].Same(reports[vm.Name]) {
				state.handleGroup(now, leadership, group.ReportRead{Sent: now, Report: reports[vm.Name]})
			}
		}
	}
}

// unlisted reports whether a target that is kept because it responds counts as one
// that is not in the platform's list. Rank 0 goes on serving until its grace period
// ends.
func (feed *feedState) unlisted(target directory.Target) bool {
	if target.Report.Rank == 0 {
		return feed.directory.GraceEnded(target.VM.Name)
	}
	return feed.directory.Held(target.VM.Name)
}

// configured reports whether a target belongs to a service of the
// configuration and is of its kind: targets of services with engines are in a
// fabric domain, others are not. Other programs may write entries that match
// no service.
func (feed *feedState) configured(target directory.Target) bool {
	if feed.catalog == nil {
		return false
	}
	service, found := feed.catalog.Service(target.Service)
	return found && (service.Engine != nil) == (target.VM.FabricDomain != "")
}

func runnerOf(target directory.Target) route.ServiceTarget {
	return route.ServiceTarget{
		Service:       target.Service,
		Name:          target.VM.Name,
		Incarnation:   target.VM.Incarnation,
		Address:       target.VM.Address,
		FailureDomain: target.VM.FailureDomain,
		Slots:         target.Slots,
		Open:          target.VM.State == kvstore.VMLive,
	}
}

// logTargets logs the VMs whose report changed and the removed ones of the fabric
// domains that this node leads, because the leader decides by them. It counts those
// of the others: a fleet would otherwise write each change once for each of its
// nodes. state.vms still holds the previous VMs.
func (state *state) logTargets(previous map[string]engine.Report, vms []kvstore.VM) {
	for _, vm := range vms {
		report := state.feed.reports[vm.Name]
		if known, found := previous[vm.Name]; !found || !known.Same(report) {
			state.logTarget("target reported", vm.FabricDomain, report)
		}
	}
	for name, known := range previous {
		if _, found := state.feed.reports[name]; !found {
			state.logTarget("target removed", state.vms[name].FabricDomain, known)
		}
	}
}

func (state *state) logTarget(message, domain string, report engine.Report) {
	state.metrics.targetChanges.Inc()
	if _, leads := state.leaderships[domain]; !leads {
		return
	}
	state.logger.Info(message, zap.String("target", report.VM), zap.String("incarnation", report.Incarnation),
		zap.String("group", report.Group), zap.Uint64("epoch", report.Epoch), zap.Int("rank", report.Rank),
		zap.String("state", string(report.State)), zap.Strings("staged", report.Staged))
}
