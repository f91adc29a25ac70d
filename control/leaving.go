package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
)

// A departureKey names one incarnation of a target. A service runner has none.
type departureKey struct {
	target      string
	incarnation string
}

// A departure says that an incarnation of a target takes no new work. It never turns back.
type departure struct {
	author string
	reason string

	// listed is the incarnation that the platform's list had when the
	// departure became known. The list lags, so it may be an earlier one.
	listed string
}

// platformAuthor is the author of a departure that the platform's list reports.
const platformAuthor = "platform"

const drainRetry = 2 * time.Second

func (departure departure) frame(key departureKey) peer.Leaving {
	return peer.Leaving{
		Target:      key.target,
		Incarnation: key.incarnation,
		Author:      departure.author,
		Reason:      departure.reason,
	}
}

// markLeaving takes in a departure and spreads it if it is new.
func (state *state) markLeaving(now time.Time, frame peer.Leaving, from string) {
	key := departureKey{target: frame.Target, incarnation: frame.Incarnation}
	if _, found := state.leaving[key]; found {
		return
	}
	state.leaving[key] = departure{
		author: frame.Author,
		reason: frame.Reason,
		listed: state.vms[frame.Target].Incarnation,
	}
	state.departuresChanged()
	state.logger.Info("target is leaving",
		zap.String("target", frame.Target),
		zap.String("incarnation", frame.Incarnation),
		zap.String("author", frame.Author),
		zap.String("reason", frame.Reason))
	state.config.Mesh.Broadcast(frame, from)
	for _, led := range state.led {
		state.handleGroup(now, led, group.LeavingKnown{VM: frame.Target, Incarnation: frame.Incarnation})
	}
}

// departuresChanged makes the next table follow the known departures.
func (state *state) departuresChanged() {
	for _, known := range state.domains {
		known.targets = nil
	}
	state.dirty = true
}

// isLeaving reports whether an incarnation of a target is leaving.
func (state *state) isLeaving(target, incarnation string) bool {
	_, found := state.leaving[departureKey{target: target, incarnation: incarnation}]
	return found
}

// handleVMs takes in the platform's list.
func (state *state) handleVMs(now time.Time, vms []kvstore.VM) {
	state.pollingVMs = false
	state.vms = map[string]kvstore.VM{}
	for _, vm := range vms {
		state.vms[vm.Name] = vm
		state.clearReplaced(vm)
		if vm.State == kvstore.VMLeaving {
			state.markLeaving(now, peer.Leaving{
				Target:      vm.Name,
				Incarnation: vm.Incarnation,
				Author:      platformAuthor,
				Reason:      "the platform's list says that the VM is leaving",
			}, "")
		}
	}
	state.handleFleet(now, fleet.DomainsListed{Domains: fabricDomains(vms)})
	for name, led := range state.led {
		state.handleGroup(now, led, group.VMsListed{VMs: state.domainVMs(name)})
	}
	state.tellElsewhere(now)
}

// clearReplaced forgets the departures of a VM's earlier incarnations. A list
// that lags still shows the incarnation before the one that leaves.
func (state *state) clearReplaced(vm kvstore.VM) {
	for key, departure := range state.leaving {
		if key.target != vm.Name || key.incarnation == vm.Incarnation || departure.listed == vm.Incarnation {
			continue
		}
		delete(state.leaving, key)
		state.departuresChanged()
	}
}

func fabricDomains(vms []kvstore.VM) []fleet.Domain {
	var domains []fleet.Domain
	known := map[string]bool{}
	for _, vm := range vms {
		if vm.FabricDomain == "" || known[vm.FabricDomain] {
			continue
		}
		known[vm.FabricDomain] = true
		domains = append(domains, fleet.Domain{Name: vm.FabricDomain, FailureDomain: vm.FailureDomain})
	}
	return domains
}

// domainVMs returns the listed VMs of a fabric domain. A VM that the list has
// moved here while another domain's record still holds it is left out until
// that domain has freed it, so that it never has a seat in both.
func (state *state) domainVMs(name string) []kvstore.VM {
	var vms []kvstore.VM
	for _, vm := range state.vms {
		if vm.FabricDomain == name && !state.placedElsewhere(vm.Name, name) {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (state *state) placedElsewhere(vm, domain string) bool {
	for other, known := range state.domains {
		if other == domain || known.placement == nil {
			continue
		}
		if _, placed := known.placement.Assignment(vm); placed {
			return true
		}
	}
	return false
}

// pollVMs reads the platform's list on the nodes that watch the store or lead
// a domain; the others learn of departures by relay.
func (state *state) pollVMs() {
	if state.feeding() {
		return
	}
	if state.pollingVMs || !(state.fleet.Watching() || len(state.led) > 0 || len(state.vms) == 0) {
		return
	}
	state.pollingVMs = true
	state.start(func(ctx context.Context) message {
		vms, err := state.config.Platform.VMs(ctx)
		if err != nil {
			return vmsFailed{}
		}
		return vmsRead{vms: vms}
	})
}

// Drain stops new work for a target at this node and spreads it.
func (controller *Controller) Drain(ctx context.Context, request admin.DrainRequest) (admin.DrainResult, error) {
	if request.Target == "" || request.Reason == "" {
		return admin.DrainResult{}, errors.NotValidf("drain without target or reason")
	}
	var result admin.DrainResult
	var failure error
	err := controller.do(ctx, func(now time.Time) {
		result, failure = controller.state.drain(now, request)
	})
	if err != nil {
		return admin.DrainResult{}, errors.Trace(err)
	}
	return result, failure
}

func (state *state) drain(now time.Time, request admin.DrainRequest) (admin.DrainResult, error) {
	incarnation, found := state.targetIncarnation(request.Target)
	if !found {
		return admin.DrainResult{}, errors.NotFoundf("target %q", request.Target)
	}
	state.markLeaving(now, peer.Leaving{
		Target:      request.Target,
		Incarnation: incarnation,
		Author:      request.Author,
		Reason:      request.Reason,
	}, "")
	state.recordDrain(admin.DrainRecord{
		Target:      request.Target,
		Incarnation: incarnation,
		Author:      request.Author,
		Reason:      request.Reason,
		Time:        now.UTC(),
	})
	return admin.DrainResult{Peers: len(state.config.Mesh.Linked())}, nil
}

// targetIncarnation finds a VM or a service runner. A placement record holds
// the incarnation that the VM itself reported, so it goes before the list,
// which lags.
func (state *state) targetIncarnation(target string) (string, bool) {
	for _, known := range state.domains {
		if known.placement == nil {
			continue
		}
		if assignment, found := known.placement.Assignment(target); found {
			return assignment.Incarnation, true
		}
	}
	if vm, found := state.vms[target]; found {
		return vm.Incarnation, true
	}
	if state.configuration.folder == nil {
		return "", false
	}
	for _, service := range state.configuration.folder.Services() {
		for _, address := range service.Addresses {
			if address.Address == target {
				return "", true
			}
		}
	}
	return "", false
}

// recordDrain writes the audit entry and repeats until the store has it.
func (state *state) recordDrain(record admin.DrainRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Annotate(err, "control: drain record"))
	}
	state.start(func(ctx context.Context) message {
		for {
			outcome := state.config.Platform.Put(ctx, kvstore.PutRequest{
				Key:    record.Key(),
				Value:  value,
				Expect: kvstore.ExpectAbsent(),
			})
			if answered(outcome) || !pause(ctx, state.config.Timers, drainRetry) {
				return drainRecorded{target: record.Target, outcome: outcome}
			}
		}
	})
}

func (state *state) handleDrainRecorded(result drainRecorded) {
	if answered(result.outcome) {
		state.logger.Info("drain recorded", zap.String("target", result.target))
	}
}

// handleDrainEntries takes in the drains that the store holds.
func (state *state) handleDrainEntries(now time.Time, entries []kvstore.Entry) {
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Key, admin.DrainPrefix) {
			continue
		}
		var record admin.DrainRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			state.metrics.badRecords.Inc()
			continue
		}
		state.markLeaving(now, peer.Leaving{
			Target:      record.Target,
			Incarnation: record.Incarnation,
			Author:      record.Author,
			Reason:      record.Reason,
		}, "")
	}
}
