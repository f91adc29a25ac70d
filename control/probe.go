package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/group"
)

const (
	// probeTimeout is far above the response time of an engine, about 3 ms, and
	// probeAttempts tolerates one lost packet.
	probeTimeout  = 100 * time.Millisecond
	probeAttempts = 2

	// probeInterval limits the probes of a group that is slow but complete.
	probeInterval = time.Second

	// probeStoreAge is the longest time since the last response of the store for
	// which a failed probe counts. If the store has not responded for longer, the
	// node itself may be disconnected.
	probeStoreAge = time.Second
)

// probeResult is the result of probing the members of a group.
type probeResult struct {
	group string

	// unresponsive holds the names of the members that did not respond.
	unresponsive []string
}

func (probeResult) message() {}

// probeStalledGroups probes the members of groups with stalled streams, if this
// node leads their fabric domain. This detects a lost member long before its
// announcement expires.
func (state *state) probeStalledGroups(now time.Time) {
	for _, name := range state.config.Traffic.StalledGroups() {
		if now.Sub(state.feed.probedAt[name]) < probeInterval {
			continue
		}
		for domain, leadership := range state.leaderships {
			placement := leadership.leader.Placement()
			if _, found := placement.Group(name); found && leadership.leader.Leading() {
				state.feed.probedAt[name] = now
				state.logger.Info("probing the members of a group with stalled streams", zap.String("group", name), zap.String("domain", domain))
				state.probe(name, placement)
			}
		}
	}
}

// probe starts a worker that requests a report from every listed member of a
// group.
func (state *state) probe(name string, placement *group.Placement) {
	addresses := map[string]string{}
	for _, vm := range placement.Members(name) {
		if _, listed := state.feed.reports[vm]; !listed {
			continue
		}
		assignment, _ := placement.Assignment(vm)
		addresses[vm] = assignment.Address
	}
	state.startWorker(func(ctx context.Context) message {
		results := make(chan string, len(addresses))
		for vm, address := range addresses {
			go func(ctx context.Context, results chan<- string) {
				if state.responds(ctx, address) {
					vm = ""
				}
				results <- vm
			}(ctx, results)
		}
		result := probeResult{group: name}
		for range addresses {
			if vm := <-results; vm != "" {
				result.unresponsive = append(result.unresponsive, vm)
			}
		}
		return result
	})
}

// responds reports whether an engine responds to one of probeAttempts requests
// for its report.
func (state *state) responds(ctx context.Context, address string) bool {
	for range probeAttempts {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := state.config.Engines.Report(attempt, address)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// handleProbeResult treats the members that did not respond as lost until their
// next announcement.
func (state *state) handleProbeResult(now time.Time, result probeResult) {
	if len(result.unresponsive) == 0 || now.Sub(state.storeReachedAt) > probeStoreAge {
		return
	}
	for _, vm := range result.unresponsive {
		heartbeat, found := state.feed.directory.Heartbeat(vm)
		if !found {
			continue
		}
		state.feed.unresponsive[vm] = heartbeat
		state.logger.Info("target did not respond to probe", zap.String("target", vm), zap.String("group", result.group), zap.Uint64("beat", heartbeat))
	}
	state.applyTargets(now)
}

// responsive reports whether a target has announced itself since it last failed
// to respond to a probe, if it ever did.
func (feed *feedState) responsive(target directory.Target) bool {
	heartbeat, found := feed.unresponsive[target.VM.Name]
	if !found {
		return true
	}
	if target.Heartbeat == heartbeat {
		return false
	}
	delete(feed.unresponsive, target.VM.Name)
	return true
}

// anyRecovered reports whether an unresponsive target has announced itself
// again. It drops the targets that are no longer listed.
func (feed *feedState) anyRecovered() bool {
	for vm, heartbeat := range feed.unresponsive {
		current, found := feed.directory.Heartbeat(vm)
		if !found {
			delete(feed.unresponsive, vm)
			continue
		}
		if current != heartbeat {
			return true
		}
	}
	return false
}
