package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/timer"
)

// A leadership is one term of this node as the leader of a fabric domain.
type leadership struct {
	domain string
	term   uint64
	leader *group.Leader

	// withoutLease is true while the node publishes grants without the lease of
	// the domain: after it lost the lease, or in place of an unreachable leader.
	withoutLease bool

	// askedFence is the fencing number under which the placed members that are not in the
	// directory were last asked.
	askedFence uint64

	// splits holds what was last logged about the split of each service.
	splits map[string]string

	// ctx is the context of the calls of this term. It is cancelled when the
	// term ends.
	ctx    context.Context
	cancel context.CancelFunc
}

// weightStoreRetry is the delay before the next request to the weight store
// after a failed one.
const weightStoreRetry = time.Second

func placementKey(domain string) string {
	return fleet.DomainPrefix + domain + placementSuffix
}

// beginOrExtendTerm passes the expiry time of the lease to the leader of a
// fabric domain, and begins a term if this node did not lead the domain.
func (state *state) beginOrExtendTerm(now time.Time, effect fleet.LeadershipHeld) {
	leadership, found := state.leaderships[effect.Domain]
	if !found {
		leadership = state.beginTerm(now, effect.Domain)
		state.logger.Info("acquired leadership of fabric domain", zap.String("domain", effect.Domain))
	}
	leadership.withoutLease = false
	state.handleGroup(now, leadership, group.LeaseHeld{Until: effect.Until})
}

func (state *state) beginTerm(now time.Time, name string) *leadership {
	state.lastTerm++
	ctx, cancel := context.WithCancel(state.workers)
	leadership := &leadership{
		domain: name,
		term:   state.lastTerm,
		leader: group.NewLeader(state.leaderConfig(name)),
		splits: map[string]string{},
		ctx:    ctx,
		cancel: cancel,
	}
	state.leaderships[name] = leadership
	state.feed.newlyLed = append(state.feed.newlyLed, name)
	state.metrics.ledDomains.Set(float64(len(state.leaderships)))
	if state.configuration.folder != nil {
		state.handleGroup(now, leadership, state.folderEvent())
	}
	state.handleGroup(now, leadership, state.otherDomains(now, name))
	if len(state.vms) > 0 {
		state.handleGroup(now, leadership, group.VMsListed{VMs: state.domainVMs(name)})
	}
	for key := range state.drains {
		state.handleGroup(now, leadership, group.VMLeaving{VM: key.target, Incarnation: key.incarnation})
	}
	return leadership
}

// storeUnreachableAfter is the time without a response after which the store
// counts as unreachable. Nodes that watch the store also poll it every second.
const storeUnreachableAfter = 3 * time.Second

func (state *state) storeUnreachable(now time.Time) bool {
	return now.Sub(state.storeReachedAt) > storeUnreachableAfter
}

// loseLeadership continues the term without orders and placement changes until
// another node leads the domain. Grants depend only on the reports of the
// group members, so they stay valid without a lease, and groups stay available
// to callers during a store outage or a change of leader.
func (state *state) loseLeadership(now time.Time, name string) {
	leadership, found := state.leaderships[name]
	if !found {
		return
	}
	leadership.withoutLease = true
	state.logger.Info("lost the lease of fabric domain", zap.String("domain", name))
	state.handleGroup(now, leadership, group.LeaseExpired{})
	if !leadership.leader.GrantsOnly() {
		state.endTerm(now, leadership)
	}
}

func (state *state) endTerm(now time.Time, leadership *leadership) {
	state.handleGroup(now, leadership, group.LeaseLost{})
	leadership.cancel()
	delete(state.leaderships, leadership.domain)
	state.metrics.ledDomains.Set(float64(len(state.leaderships)))
	state.logger.Info("stopped leading fabric domain", zap.String("domain", leadership.domain))
}

// endReplacedTerm ends a term without a lease when a placement record of
// another node shows that this node has been replaced as leader.
func (state *state) endReplacedTerm(now time.Time, name, writer string) {
	leadership, found := state.leaderships[name]
	if found && leadership.withoutLease && writer != state.config.Name+"/"+state.config.Incarnation {
		state.endTerm(now, leadership)
	}
}

func (state *state) handleGroupResult(now time.Time, result groupResult) {
	state.feed.orders.record(result.orderCount)
	if result.orderCount.leaving {
		state.recordLeaving(now, result.orderCount.vm, result.orderCount.incarnation)
	}
	state.askAfterOrder(now, result.orderCount.vm)
	leadership, found := state.leaderships[result.domain]
	if !found || leadership.term != result.term {
		return
	}
	if read, found := result.event.(group.PlacementRead); found {
		result.event = state.recoverPlacement(result.domain, read)
	}
	state.handleGroup(now, leadership, result.event)
}

// recoverPlacement replaces the record that a leader has read by the one that this node
// has, if the store returned from a copy that is older than it.
func (state *state) recoverPlacement(name string, read group.PlacementRead) group.PlacementRead {
	read.Era = max(read.Era, state.fleet.Era())
	domain := state.ensureDomain(name)
	if !domain.outlives(read.Era, read.Record) {
		return read
	}
	read.Record, read.Lost = domain.record, true
	state.logger.Info("the store lost a placement record", zap.String("domain", name), zap.Uint64("era", read.Era),
		zap.Uint64("fence", domain.placement.Fence()), zap.String("change", domain.placement.Change()))
	return read
}

func (state *state) handleGroup(now time.Time, leadership *leadership, event group.Event) {
	for _, effect := range leadership.leader.Handle(now, event) {
		state.runGroupEffect(now, leadership, effect)
	}
}

func (state *state) runGroupEffect(now time.Time, leadership *leadership, effect group.Effect) {
	switch effect := effect.(type) {
	case group.ReadPlacement:
		state.startGroupWorker(leadership, state.readPlacement)
	case group.Commit:
		state.metrics.commits.Inc()
		state.logDecisions(leadership.domain, effect)
		state.startGroupWorker(leadership, func(ctx context.Context, domain string) group.Event {
			return state.commitPlacement(ctx, domain, effect)
		})
	case group.ReadReport:
		if state.feeding() {
			state.handleGroup(now, leadership, state.localReport(now, effect))
			return
		}
		state.startGroupWorker(leadership, func(ctx context.Context, domain string) group.Event {
			return state.readReport(ctx, effect)
		})
	case group.SendOrder:
		state.metrics.orders.WithLabelValues(string(effect.Order.Action)).Inc()
		state.startOrderWorker(leadership, effect)
	case group.AcquireWeights:
		if state.feeding() {
			state.handleGroup(now, leadership, state.permitLoad(now, effect))
			return
		}
		state.startGroupWorker(leadership, func(ctx context.Context, domain string) group.Event {
			return state.acquireWeights(ctx, effect)
		})
	case group.PublishGrants:
		if state.feeding() {
			return
		}
		state.publishGrants(now, leadership, effect)
	case group.PublishPlacement:
		state.setPlacement(now, leadership.domain, effect.Revision, effect.Record)
		state.askPlaced(now, leadership)
	default:
		panic(errors.Errorf("control: group effect %T is not handled", effect))
	}
}

// logDecisions logs why the leader of a fabric domain changes its placement.
func (state *state) logDecisions(domain string, effect group.Commit) {
	if len(effect.Decisions) == 0 {
		return
	}
	decisions := make([]string, 0, len(effect.Decisions))
	for _, decision := range effect.Decisions {
		decisions = append(decisions, fmt.Sprintf("%T%+v", decision, decision))
	}
	state.logger.Info("placement changes", zap.String("domain", domain), zap.String("change", effect.ID), zap.Strings("decisions", decisions))
}

// startGroupWorker runs a worker for a term of leadership.
func (state *state) startGroupWorker(leadership *leadership, work func(ctx context.Context, domain string) group.Event) {
	state.startWorker(func(context.Context) message {
		return groupResult{domain: leadership.domain, term: leadership.term, event: work(leadership.ctx, leadership.domain)}
	})
}

func (state *state) readPlacement(ctx context.Context, domain string) group.Event {
	entry, err := state.config.Platform.Get(ctx, placementKey(domain))
	switch {
	case err == nil:
		return group.PlacementRead{Record: entry.Value, Revision: entry.Revision, Era: kvstore.Era(entry.Revision)}
	case errors.Is(err, errors.NotFound):
		return group.PlacementRead{}
	default:
		return group.PlacementUnavailable{}
	}
}

// pause waits for the delay. It returns false if the context ends first.
func pause(ctx context.Context, timers *timer.Service, delay time.Duration) bool {
	alarm := timers.After("pause", delay, 0)
	defer alarm.Cancel()
	select {
	case <-alarm.C():
		return true
	case <-ctx.Done():
		return false
	}
}

func (state *state) commitPlacement(ctx context.Context, domain string, effect group.Commit) group.Event {
	outcome := state.config.Platform.Put(ctx, kvstore.PutRequest{
		Key:    placementKey(domain),
		Value:  effect.Record,
		Expect: effect.Expect,
	})
	return group.CommitDone{ID: effect.ID, Outcome: outcome}
}

func (state *state) readReport(ctx context.Context, effect group.ReadReport) group.Event {
	ctx, cancel := context.WithTimeout(ctx, effect.Timeout)
	defer cancel()
	sent := state.now()
	report, err := state.config.Engines.Report(ctx, effect.Address)
	if err != nil || report.VM != effect.VM {
		return group.ReportFailed{VM: effect.VM}
	}
	return group.ReportRead{Sent: sent, Report: report}
}

// sendOrder sends an order unless its deadline has passed. It checks the
// monotonic clock right before sending, because the process may have been
// paused since the leader issued the order.
func (state *state) sendOrder(ctx context.Context, effect group.SendOrder, count *orderCount) group.Event {
	remaining := effect.Deadline.Sub(state.now())
	if remaining <= 0 {
		return group.OrderRefused{VM: effect.VM, Order: effect.Order.ID}
	}
	order := effect.Order
	order.ExpiresInMillis = min(order.ExpiresInMillis, remaining.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	outcome := state.config.Engines.SendOrder(ctx, effect.Address, order)
	state.logger.Info("order sent", zap.String("vm", effect.VM), zap.String("action", string(order.Action)),
		zap.String("group", order.Group), zap.Uint64("epoch", order.Epoch), zap.Uint64("fence", order.Fence),
		zap.Uint64("expected", order.ExpectedSequence), zap.String("model", order.Model), zap.String("outcome", fmt.Sprintf("%T%+v", outcome, outcome)))
	count.apply(outcome)
	switch outcome := outcome.(type) {
	case engine.OrderAccepted:
		return group.OrderAccepted{VM: effect.VM, Order: order.ID}
	case engine.OrderFenced:
		return group.OrderRefused{VM: effect.VM, Order: order.ID, Fence: outcome.Fence}
	case engine.OrderExpired, engine.OrderRefused:
		return group.OrderRefused{VM: effect.VM, Order: order.ID}
	default:
		return group.OrderUnknown{VM: effect.VM, Order: order.ID}
	}
}

// startOrderWorker sends an order in a worker. An engine of a platform with a
// feed counts the orders that it has begun and refuses an order whose
// ExpectedSequence differs from that count. If the count is not known, it is read
// from the engine first.
func (state *state) startOrderWorker(leadership *leadership, effect group.SendOrder) {
	count := state.feed.orders.lookup(effect.VM, state.feed.reports[effect.VM].Incarnation, state.coldStart())
	feeding := state.feeding()
	state.startWorker(func(context.Context) message {
		result := groupResult{domain: leadership.domain, term: leadership.term, orderCount: count}
		if feeding && !count.known && !state.readOrderCount(leadership.ctx, effect.Address, &result.orderCount) {
			result.event = group.OrderRefused{VM: effect.VM, Order: effect.Order.ID}
			return result
		}
		effect.Order.ExpectedSequence = result.orderCount.begun
		result.event = state.sendOrder(leadership.ctx, effect, &result.orderCount)
		return result
	})
}

// readOrderCount reads from an engine how many orders it has begun. It returns
// false if the engine did not respond or has been replaced by another
// incarnation.
func (state *state) readOrderCount(ctx context.Context, address string, count *orderCount) bool {
	report, err := state.config.Engines.Report(ctx, address)
	if err != nil || report.Incarnation != count.incarnation {
		state.logger.Info("failed to read the order count of an engine", zap.String("vm", count.vm),
			zap.String("expected-incarnation", count.incarnation), zap.String("incarnation", report.Incarnation), zap.Error(err))
		return false
	}
	state.logger.Info("read the order count of an engine", zap.String("vm", count.vm), zap.Uint64("count", report.Sequence), zap.Uint64("assumed", count.begun))
	count.leaving = report.Leaving
	count.begun = report.Sequence
	count.known = true
	return true
}

func (state *state) acquireWeights(ctx context.Context, effect group.AcquireWeights) group.Event {
	granted, retry, err := state.config.Platform.AcquireWeights(ctx, effect.Bytes)
	switch {
	case err != nil:
		return group.WeightsRefused{VM: effect.VM, Retry: weightStoreRetry}
	case !granted:
		return group.WeightsRefused{VM: effect.VM, Retry: retry}
	default:
		return group.WeightsAcquired{VM: effect.VM}
	}
}

func (state *state) leaderConfig(domain string) group.LeaderConfig {
	config := group.LeaderConfig{
		Domain:        domain,
		Node:          state.config.Name,
		Incarnation:   state.config.Incarnation,
		LeaseDuration: state.fleet.LongestLease(),
	}
	if state.feeding() {
		config.UnreachableHold = feedUnreachableHold
		config.ReturnSettle = feedReturnSettle
		config.FormSettle = feedFormSettle
	}
	return config
}

// otherDomains returns the VM counts and the placed replicas of the other
// fabric domains.
func (state *state) otherDomains(now time.Time, name string) group.OtherDomains {
	result := group.OtherDomains{Domains: state.domainSizes(name)}
	specs := state.specs()
	for other, domain := range state.domains {
		if other == name || domain.placement == nil {
			continue
		}
		counts := group.Summarize(domain.placement, specs, state.serviceOf, state.openGroups(now, domain))
		if state.config.Feed.Pools != nil {
			group.CountConvertible(counts, domain.placement, specs, state.serviceOf, state.stagedOn)
		}
		result.Replicas = append(result.Replicas, counts...)
	}
	return result
}

// openGroups returns the names of the groups of a domain that are open and hold
// a current grant.
func (state *state) openGroups(now time.Time, domain *domainState) []string {
	var names []string
	for _, target := range state.appendTargets(nil, domain) {
		if target.Open && target.Grant.Holds(target.Epoch, now) {
			names = append(names, target.Name)
		}
	}
	return names
}

// domainSizes counts the listed VMs of the other fabric domains that are not
// draining.
func (state *state) domainSizes(except string) []group.DomainSize {
	sizes := map[string]*group.DomainSize{}
	for _, vm := range state.vms {
		if vm.FabricDomain == except || vm.FabricDomain == "" {
			continue
		}
		size, found := sizes[vm.FabricDomain]
		if !found {
			size = &group.DomainSize{Name: vm.FabricDomain, FailureDomain: vm.FailureDomain}
			sizes[vm.FabricDomain] = size
		}
		if !state.isDraining(vm.Name, vm.Incarnation) {
			size.VMs++
		}
	}
	result := make([]group.DomainSize, 0, len(sizes))
	for _, size := range sizes {
		result = append(result, *size)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}

// updateOtherDomains passes the VM counts and replicas of the other fabric
// domains to the leader of each led one.
func (state *state) updateOtherDomains(now time.Time) {
	for name, leadership := range state.leaderships {
		state.handleGroup(now, leadership, state.otherDomains(now, name))
	}
}

// outlives reports whether the store returned, in a later era than that of the domain's
// record, a record that was written before it. Without a record the store has lost it. One
// that cannot be decoded is not compared.
func (domain *domainState) outlives(era uint64, record []byte) bool {
	if domain.placement == nil || era <= kvstore.Era(domain.revision) {
		return false
	}
	if len(record) == 0 {
		return true
	}
	other, err := group.DecodePlacement(record)
	return err == nil && domain.placement.Follows(other)
}

// setPlacement adopts a committed placement record if it is newer than the
// current one, and sends it to the peers. A record that a store returned from an older
// copy is not: the domain's leader writes the current one again.
func (state *state) setPlacement(now time.Time, name string, revision uint64, record []byte) {
	domain := state.ensureDomain(name)
	if revision <= domain.revision {
		return
	}
	placement, err := group.DecodePlacement(record)
	if err != nil {
		state.metrics.badRecords.Inc()
		state.logger.Error("failed to decode placement record", zap.String("domain", name), zap.Error(err))
		return
	}
	if domain.outlives(kvstore.Era(revision), record) {
		state.logger.Info("ignored a placement record of an older copy", zap.String("domain", name), zap.Uint64("revision", revision),
			zap.String("change", placement.Change()), zap.String("current", domain.placement.Change()))
		return
	}
	domain.placement = placement
	domain.targets = nil
	domain.grantsDerivedAt = time.Time{}
	domain.record = record
	domain.revision = revision
	domain.fence = max(domain.fence, placement.Fence())
	state.dirty = true
	state.config.Mesh.Broadcast(domain.frame(name), "")
	state.endReplacedTerm(now, name, placement.Leader())
}
