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

// A drainKey identifies one incarnation of a target. The incarnation of a
// service runner is empty.
type drainKey struct {
	target      string
	incarnation string
}

// A drainNotice records that an incarnation of a target receives no new work.
// It is never withdrawn; only a new incarnation receives work again.
type drainNotice struct {
	author string
	reason string

	// listed is the incarnation in the platform's list when the notice arrived.
	// The list lags, so it may be an earlier one than the draining incarnation.
	listed string
}

// platformAuthor is the author of the notices taken from the platform's list.
const platformAuthor = "platform"

// drainRetry is the delay before the audit entry of a drain is written again.
const drainRetry = 2 * time.Second

func (notice drainNotice) frame(key drainKey) peer.Leaving {
	return peer.Leaving{
		Target:      key.target,
		Incarnation: key.incarnation,
		Author:      notice.author,
		Reason:      notice.reason,
	}
}

// markDraining records that a target drains. If that is new, it informs the
// leaders of this node and all peers except from.
func (state *state) markDraining(now time.Time, frame peer.Leaving, from string) {
	key := drainKey{target: frame.Target, incarnation: frame.Incarnation}
	if _, found := state.drains[key]; found {
		return
	}
	state.drains[key] = drainNotice{
		author: frame.Author,
		reason: frame.Reason,
		listed: state.vms[frame.Target].Incarnation,
	}
	state.invalidateTargets()
	state.logger.Info("target is draining",
		zap.String("target", frame.Target),
		zap.String("incarnation", frame.Incarnation),
		zap.String("author", frame.Author),
		zap.String("reason", frame.Reason))
	state.config.Mesh.Broadcast(frame, from)
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, group.VMLeaving{VM: frame.Target, Incarnation: frame.Incarnation})
	}
}

// recordLeaving records that the answers of a target of the feed show that it leaves.
func (state *state) recordLeaving(now time.Time, target, incarnation string) {
	if state.isDraining(target, incarnation) {
		return
	}
	state.markDraining(now, peer.Leaving{Target: target, Incarnation: incarnation, Author: platformAuthor, Reason: "the target's answers show that it leaves"}, "")
	state.applyTargets(now)
}

// recordLeavingAnswers records the targets whose answers to probes contained that they leave.
func (state *state) recordLeavingAnswers(now time.Time, answers []probeAnswer) {
	for _, answer := range answers {
		if answer.responded && answer.report.Leaving {
			state.recordLeaving(now, answer.vm, state.vms[answer.vm].Incarnation)
		}
	}
}

// recordLeavingTargets records those whose answers to requests did.
func (state *state) recordLeavingTargets(now time.Time) {
	for _, leaving := range state.config.Traffic.TakeLeaving() {
		state.recordLeaving(now, leaving.Target, leaving.Incarnation)
	}
}

// invalidateTargets discards the cached targets of all fabric domains, so that
// the next table reflects a change of the draining targets.
func (state *state) invalidateTargets() {
	for _, domain := range state.domains {
		domain.targets = nil
	}
	state.dirty = true
}

// isDraining reports whether an incarnation of a target is draining.
func (state *state) isDraining(target, incarnation string) bool {
	_, found := state.drains[drainKey{target: target, incarnation: incarnation}]
	return found
}

// handleVMs adopts a list of VMs and passes it to the membership core and to
// the leaders.
func (state *state) handleVMs(now time.Time, vms []kvstore.VM) {
	state.pollingVMs = false
	previous := state.vms
	state.vms = map[string]kvstore.VM{}
	for _, vm := range vms {
		state.vms[vm.Name] = vm
		if previous[vm.Name].Service != vm.Service {
			state.invalidateTargets()
		}
		state.dropReplacedNotices(vm)
		if vm.State == kvstore.VMLeaving {
			state.markDraining(now, peer.Leaving{
				Target:      vm.Name,
				Incarnation: vm.Incarnation,
				Author:      platformAuthor,
				Reason:      "the platform's list says that the VM is leaving",
			}, "")
		}
	}
	state.handleFleet(now, fleet.DomainsListed{Domains: fabricDomains(vms)})
	for name, leadership := range state.leaderships {
		state.handleGroup(now, leadership, group.VMsListed{VMs: state.domainVMs(name)})
	}
	state.updateOtherDomains(now)
}

// dropReplacedNotices drops the notices of earlier incarnations of a listed VM.
// It keeps those for which the list has not changed since, because a list that
// lags may still show the incarnation before the draining one.
func (state *state) dropReplacedNotices(vm kvstore.VM) {
	for key, notice := range state.drains {
		if key.target != vm.Name || key.incarnation == vm.Incarnation || notice.listed == vm.Incarnation {
			continue
		}
		delete(state.drains, key)
		state.invalidateTargets()
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

// domainVMs returns the listed VMs of a fabric domain. If the list moves a VM
// to another fabric domain, the VM is omitted until the placement record of the
// previous domain no longer contains it, so that it is never assigned to a rank
// in both.
func (state *state) domainVMs(name string) []kvstore.VM {
	var vms []kvstore.VM
	for _, vm := range state.vms {
		if vm.FabricDomain == name && !state.placedInOtherDomain(vm.Name, name) {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (state *state) placedInOtherDomain(vm, name string) bool {
	for other, domain := range state.domains {
		if other == name || domain.placement == nil {
			continue
		}
		if _, placed := domain.placement.Assignment(vm); placed {
			return true
		}
	}
	return false
}

// pollVMs reads the platform's list of VMs on nodes that watch the store or
// lead a fabric domain, and on nodes that have no VMs yet. Other nodes receive
// drain notices from their peers.
func (state *state) pollVMs() {
	if state.feeding() {
		return
	}
	if state.pollingVMs || !(state.fleet.Watching() || len(state.leaderships) > 0 || len(state.vms) == 0) {
		return
	}
	state.pollingVMs = true
	state.startWorker(func(ctx context.Context) message {
		vms, err := state.config.Platform.VMs(ctx)
		if err != nil {
			return vmsFailed{}
		}
		return vmsRead{vms: vms}
	})
}

// Drain stops new work for a target at this node and sends a drain notice to its
// peers, which relay it to theirs. It also writes an audit entry to the store. It
// returns an errors.NotFound error for an unknown target.
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
	state.markDraining(now, peer.Leaving{
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

// targetIncarnation returns the incarnation of a VM or service runner and
// whether it is known. A placement record has precedence over the list of VMs,
// because it holds the incarnation that the VM itself reported and the list
// lags.
func (state *state) targetIncarnation(target string) (string, bool) {
	for _, domain := range state.domains {
		if domain.placement == nil {
			continue
		}
		if assignment, found := domain.placement.Assignment(target); found {
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

// recordDrain writes the audit entry of a drain and retries until the store
// responds.
func (state *state) recordDrain(record admin.DrainRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Annotate(err, "control: encode drain record"))
	}
	state.startWorker(func(ctx context.Context) message {
		for {
			outcome := state.config.Platform.Put(ctx, kvstore.PutRequest{
				Key:    record.Key(),
				Value:  value,
				Expect: kvstore.ExpectAbsent(),
			})
			if storeAnswered(outcome) || !pause(ctx, state.config.Timers, drainRetry) {
				return drainRecorded{target: record.Target, outcome: outcome}
			}
		}
	})
}

func (state *state) handleDrainRecorded(result drainRecorded) {
	if storeAnswered(result.outcome) {
		state.logger.Info("drain recorded", zap.String("target", result.target))
	}
}

// handleDrainEntries marks the targets of the audit entries in the store as
// draining, for nodes that missed the notices of their peers.
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
		state.markDraining(now, peer.Leaving{
			Target:      record.Target,
			Incarnation: record.Incarnation,
			Author:      record.Author,
			Reason:      record.Reason,
		}, "")
	}
}
