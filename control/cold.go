package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
)

// observeCold records the targets that announce that they are cold. The time counts from the
// arrival of the announcement, which is later than the target meant.
func (state *state) observeCold(now time.Time, targets []directory.Target) {
	for _, target := range targets {
		if target.Cold > 0 {
			state.setCold(now, target, target.Cold, "announced")
		}
	}
}

// assumeCold treats the targets of a failure domain as cold after it was taken back: they may
// have become cold since their last announcement.
func (state *state) assumeCold(now time.Time, domain string) {
	if state.feed.catalog == nil {
		return
	}
	for _, target := range state.feed.directory.Targets() {
		if service, _ := state.feed.catalog.Service(target.Service); target.VM.FailureDomain == domain {
			state.setCold(now, target, service.ColdTime, "domain taken back")
		}
	}
}

// setCold bounds the requests to a target for a time, if its service has a bound.
func (state *state) setCold(now time.Time, target directory.Target, remaining time.Duration, reason string) {
	if state.feed.catalog == nil {
		return
	}
	service, _ := state.feed.catalog.Service(target.Service)
	if service.ColdRate <= 0 || !state.config.Cold.SetCold(target.VM.Name, service.ColdRate, now.Add(remaining), now) {
		return
	}
	state.metrics.coldTargets.Inc()
	if _, leads := state.leaderships[target.VM.FabricDomain]; leads || target.VM.FabricDomain == "" {
		state.logger.Info("target is cold", zap.String("target", target.VM.Name), zap.String("incarnation", target.VM.Incarnation),
			zap.Duration("remaining", remaining), zap.Float64("requests-per-second", service.ColdRate), zap.String("reason", reason))
	}
}

// setColdNodes passes on among which nodes the permits of cold targets are dealt. This node is
// one of them while its lease holds: without it the others do not count it.
func (state *state) setColdNodes(now time.Time, names []string) {
	if !state.feeding() || !state.fleet.Listed() {
		return
	}
	if !now.Before(state.fleet.LeaseUntil()) {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == state.config.Name })
	}
	state.config.Cold.SetNodes(names, now)
}
