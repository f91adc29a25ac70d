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

// onlyReportsChanged reports whether a change concerns nothing but the reports of
// engines that are in use. Nearly all changes do.
func (state *state) onlyReportsChanged(event TargetsChanged) bool {
	if len(event.Removed) > 0 {
		return false
	}
	for _, target := range event.Put {
		known, announced := state.feed.directory.Announced(target.VM.Name)
		_, used := state.feed.reports[target.VM.Name]
		if !announced || !used || known.VM != target.VM || known.Service != target.Service || known.Slots != target.Slots {
			return false
		}
		if _, unresponsive := state.feed.unresponsive[target.VM.Name]; unresponsive {
			return false
		}
	}
	return true
}

// applyReports updates the reports of some engines. Unlike applyTargets, its cost
// does not grow with the number of targets.
func (state *state) applyReports(now time.Time, targets []directory.Target) {
	state.dirty = true
	for _, target := range targets {
		name, domain := target.VM.Name, target.VM.FabricDomain
		if state.feed.reports[name].Same(target.Report) {
			continue
		}
		state.feed.reports[name] = target.Report
		state.ensureDomain(domain).grantsDerivedAt = time.Time{}
		state.logTarget("target reported", target.Report)
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
	previousDomains := state.feed.fabricDomains
	state.feed.fabricDomains = make(map[string]string, len(reports))
	state.feed.runners = nil
	for _, target := range state.feed.directory.Targets() {
		if !state.feed.configured(target) || !state.feed.responsive(target) {
			continue
		}
		if target.VM.FabricDomain == "" {
			state.feed.runners = append(state.feed.runners, runnerOf(target))
			continue
		}
		if state.feed.directory.Missing(target.VM.Name) && target.VM.State == kvstore.VMLive {
			target.VM.State = kvstore.VMUnlisted
		}
		vms = append(vms, target.VM)
		reports[target.VM.Name] = target.Report
		state.feed.fabricDomains[target.VM.Name] = target.VM.FabricDomain
	}
	previous := state.feed.reports
	state.feed.reports = reports
	for name := range previous {
		if _, found := reports[name]; !found {
			state.feed.fabricDomains[name] = previousDomains[name]
		}
	}
	state.feed.orders.retain(reports)
	state.logTargets(previous, reports)
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
		Address:       target.VM.Address,
		FailureDomain: target.VM.FailureDomain,
		Slots:         target.Slots,
		Open:          target.VM.State == kvstore.VMLive,
	}
}

// logTargets logs the targets whose report changed and the removed targets of the
// fabric domains that this node leads, because the leader decides by them. It
// counts those of the others: a fleet would otherwise write each change once for
// each of its nodes.
func (state *state) logTargets(previous, current map[string]engine.Report) {
	for name, report := range current {
		if known, found := previous[name]; found && known.Same(report) {
			continue
		}
		state.logTarget("target reported", report)
	}
	for name, known := range previous {
		if _, found := current[name]; !found {
			state.logTarget("target removed", known)
		}
	}
}

func (state *state) logTarget(message string, report engine.Report) {
	state.metrics.targetChanges.Inc()
	if _, leads := state.leaderships[state.feed.fabricDomains[report.VM]]; !leads {
		return
	}
	state.logger.Info(message, zap.String("target", report.VM), zap.String("incarnation", report.Incarnation),
		zap.String("group", report.Group), zap.Uint64("epoch", report.Epoch), zap.Int("rank", report.Rank),
		zap.String("state", string(report.State)), zap.Strings("staged", report.Staged))
}
