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

	// severed is true after the lease was lost.
	severed bool

	// ctx ends with the term, so that its calls end too.
	ctx    context.Context
	cancel context.CancelFunc
}

// weightsRetry is the pause after the weight store did not answer.
const weightsRetry = time.Second

func placementKey(domain string) string {
	return fleet.DomainPrefix + domain + placementSuffix
}

// holdLeadership begins a term or extends it.
func (state *state) holdLeadership(now time.Time, effect fleet.LeadershipHeld) {
	led, found := state.led[effect.Domain]
	if !found {
		led = state.beginTerm(now, effect.Domain)
		state.logger.Info("began to lead fabric domain", zap.String("domain", effect.Domain))
	}
	led.severed = false
	state.handleGroup(now, led, group.LeaseHeld{Until: effect.Until})
}

func (state *state) beginTerm(now time.Time, name string) *leadership {
	state.terms++
	ctx, cancel := context.WithCancel(state.workers)
	led := &leadership{
		domain: name,
		term:   state.terms,
		leader: group.NewLeader(state.leaderConfig(name)),
		ctx:    ctx,
		cancel: cancel,
	}
	state.led[name] = led
	state.metrics.led.Set(float64(len(state.led)))
	if state.configuration.folder != nil {
		state.handleGroup(now, led, state.folderEvent())
	}
	state.handleGroup(now, led, state.elsewhere(now, name))
	if len(state.vms) > 0 {
		state.handleGroup(now, led, group.VMsListed{VMs: state.domainVMs(name)})
	}
	for key := range state.leaving {
		state.handleGroup(now, led, group.VMLeaving{VM: key.target, Incarnation: key.incarnation})
	}
	return led
}

// storeSilentBound is the time without an answer after which the store counts
// as not answering. Watching nodes poll it every second.
const storeSilentBound = 3 * time.Second

func (state *state) storeSilent(now time.Time) bool {
	return now.Sub(state.storeReached) > storeSilentBound
}

// loseLeadership goes on without orders and placement changes until another
// node has taken the domain over. Grants rest on the members' own reports, so
// they stay true without a lease, and callers see no gap during a store outage
// or a change of leader.
func (state *state) loseLeadership(now time.Time, name string) {
	led, found := state.led[name]
	if !found {
		return
	}
	led.severed = true
	state.logger.Info("lost the lease of fabric domain", zap.String("domain", name))
	state.handleGroup(now, led, group.LeaseExpired{})
	if !led.leader.GrantsOnly() {
		state.endTerm(now, led)
	}
}

func (state *state) endTerm(now time.Time, led *leadership) {
	state.handleGroup(now, led, group.LeaseLost{})
	led.cancel()
	delete(state.led, led.domain)
	state.metrics.led.Set(float64(len(state.led)))
	state.logger.Info("stopped leading fabric domain", zap.String("domain", led.domain))
}

// yieldTo ends a term that lost its lease when another node has taken the
// domain over.
func (state *state) yieldTo(now time.Time, name, writer string) {
	led, found := state.led[name]
	if found && led.severed && writer != state.config.Name+"/"+state.config.Incarnation {
		state.endTerm(now, led)
	}
}

func (state *state) handleGroupResult(now time.Time, result groupResult) {
	state.feed.orders.note(result.counted)
	led, found := state.led[result.domain]
	if !found || led.term != result.term {
		return
	}
	state.handleGroup(now, led, result.event)
}

func (state *state) handleGroup(now time.Time, led *leadership, event group.Event) {
	for _, effect := range led.leader.Handle(now, event) {
		state.runGroupEffect(now, led, effect)
	}
}

func (state *state) runGroupEffect(now time.Time, led *leadership, effect group.Effect) {
	switch effect := effect.(type) {
	case group.ReadPlacement:
		state.startGroup(led, state.readPlacement)
	case group.Commit:
		state.metrics.commits.Inc()
		state.startGroup(led, func(ctx context.Context, domain string) group.Event {
			return state.commit(ctx, domain, effect)
		})
	case group.ReadReport:
		if state.feeding() {
			state.handleGroup(now, led, state.localReport(now, effect))
			return
		}
		state.startGroup(led, func(ctx context.Context, domain string) group.Event {
			return state.readReport(ctx, effect)
		})
	case group.SendOrder:
		state.metrics.orders.WithLabelValues(string(effect.Order.Action)).Inc()
		state.startOrder(led, effect)
	case group.AcquireWeights:
		if state.feeding() {
			state.handleGroup(now, led, state.localWeights(now, effect))
			return
		}
		state.startGroup(led, func(ctx context.Context, domain string) group.Event {
			return state.acquireWeights(ctx, effect)
		})
	case group.PublishGrants:
		if state.feeding() {
			return
		}
		state.publishGrants(now, led, effect)
	case group.PublishPlacement:
		state.setPlacement(now, led.domain, effect.Revision, effect.Record)
	default:
		panic(errors.Errorf("control: group effect %T is not handled", effect))
	}
}

// startGroup runs a worker for a term of leadership.
func (state *state) startGroup(led *leadership, work func(ctx context.Context, domain string) group.Event) {
	state.start(func(context.Context) message {
		return groupResult{domain: led.domain, term: led.term, event: work(led.ctx, led.domain)}
	})
}

func (state *state) readPlacement(ctx context.Context, domain string) group.Event {
	entry, err := state.config.Platform.Get(ctx, placementKey(domain))
	switch {
	case err == nil:
		return group.PlacementRead{Record: entry.Value, Revision: entry.Revision}
	case errors.Is(err, errors.NotFound):
		return group.PlacementRead{}
	default:
		return group.PlacementUnavailable{}
	}
}

// pause waits and reports whether the context still holds.
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

func (state *state) commit(ctx context.Context, domain string, effect group.Commit) group.Event {
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

// sendOrder reads the monotonic clock right before it sends, because the
// process may have been paused since the leader decided.
func (state *state) sendOrder(ctx context.Context, effect group.SendOrder, counted *orderCount) group.Event {
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
		zap.Uint64("expected", order.Expected), zap.String("model", order.Model), zap.String("outcome", fmt.Sprintf("%T%+v", outcome, outcome)))
	counted.learn(outcome)
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

// startOrder sends an order. To an engine that counts its orders it names the
// count that the order rests on, which is asked for when it is not known.
func (state *state) startOrder(led *leadership, effect group.SendOrder) {
	counted := state.feed.orders.known(effect.VM, state.feed.reports[effect.VM].Incarnation, state.starting())
	feeding := state.feeding()
	state.start(func(context.Context) message {
		result := groupResult{domain: led.domain, term: led.term, counted: counted}
		if feeding && !counted.known && !state.countOrders(led.ctx, effect.Address, &result.counted) {
			result.event = group.OrderRefused{VM: effect.VM, Order: effect.Order.ID}
			return result
		}
		effect.Order.Expected = result.counted.count
		result.event = state.sendOrder(led.ctx, effect, &result.counted)
		return result
	})
}

// countOrders asks an engine how many orders it has begun.
func (state *state) countOrders(ctx context.Context, address string, counted *orderCount) bool {
	report, err := state.config.Engines.Report(ctx, address)
	if err != nil || report.Incarnation != counted.incarnation {
		state.logger.Info("orders of an engine could not be counted", zap.String("vm", counted.vm),
			zap.String("expected-incarnation", counted.incarnation), zap.String("incarnation", report.Incarnation), zap.Error(err))
		return false
	}
	state.logger.Info("orders counted", zap.String("vm", counted.vm), zap.Uint64("count", report.Sequence), zap.Uint64("assumed", counted.count))
	counted.count = report.Sequence
	counted.known = true
	return true
}

func (state *state) acquireWeights(ctx context.Context, effect group.AcquireWeights) group.Event {
	granted, retry, err := state.config.Platform.AcquireWeights(ctx, effect.Bytes)
	switch {
	case err != nil:
		return group.WeightsRefused{VM: effect.VM, Retry: weightsRetry}
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
		config.UnreachableHold = feedDarkHold
		config.ReturnSettle = feedDarkSettle
		config.FormSettle = feedFormSettle
	}
	return config
}

// elsewhere returns what the other fabric domains hold.
func (state *state) elsewhere(now time.Time, name string) group.OtherDomains {
	result := group.OtherDomains{Domains: state.domainSizes(name)}
	if state.configuration.folder == nil {
		return result
	}
	specs := state.configuration.folder.Groups()
	for other, known := range state.domains {
		if other == name || known.placement == nil {
			continue
		}
		result.Replicas = append(result.Replicas, group.Summarize(known.placement, specs, state.openGroups(now, known))...)
	}
	return result
}

// openGroups returns the names of a domain's groups that admit requests.
func (state *state) openGroups(now time.Time, known *domain) []string {
	var names []string
	for _, target := range state.appendTargets(nil, known) {
		if target.Open && target.Grant.Holds(target.Epoch, now) {
			names = append(names, target.Name)
		}
	}
	return names
}

// domainSizes counts the listed VMs of the other fabric domains.
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
		if !state.isLeaving(vm.Name, vm.Incarnation) {
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

// tellElsewhere tells the led domains what the others hold.
func (state *state) tellElsewhere(now time.Time) {
	for name, led := range state.led {
		state.handleGroup(now, led, state.elsewhere(now, name))
	}
}

// setPlacement takes in a committed record if it is newer than the known one
// and spreads it.
func (state *state) setPlacement(now time.Time, name string, revision uint64, record []byte) {
	known := state.domain(name)
	if revision <= known.revision {
		return
	}
	placement, err := group.DecodePlacement(record)
	if err != nil {
		state.metrics.badRecords.Inc()
		state.logger.Error("placement record is not valid", zap.String("domain", name), zap.Error(err))
		return
	}
	known.placement = placement
	known.targets = nil
	known.record = record
	known.revision = revision
	known.fence = max(known.fence, placement.Fence())
	state.dirty = true
	state.config.Mesh.Broadcast(known.frame(name), "")
	state.yieldTo(now, name, placement.Leader())
}
