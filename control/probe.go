package control

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// probeTimeout is far above the response time of an engine, about 3 ms, and
	// probeAttempts tolerates one lost packet.
	probeTimeout  = 100 * time.Millisecond
	probeAttempts = 2

	// probeInterval limits the probes of a group that is slow but complete.
	probeInterval = time.Second

	// recheckInterval is short enough to find a target that was silent for a second before its
	// group is taken apart.
	recheckInterval = 400 * time.Millisecond

	// probeStoreAge is the longest time since the last response of the store for
	// which a failed probe counts. If the store has not responded for longer, the
	// node itself may be disconnected.
	probeStoreAge = time.Second
)

// probeResult is the result of probing the members of a group.
type probeResult struct {
	group  string
	domain string

	// unresponsive holds the names of the members that did not respond, and byOthers those
	// that responded to another node only. ended holds the incarnations of the unresponsive
	// members that accept no connection.
	unresponsive []string
	ended        map[string]string
	byOthers     []string

	// answers are those of the members that responded.
	answers []probeAnswer

	// noneReached is true if neither this node nor another one reached any target, also
	// none outside the group.
	noneReached bool
}

func (probeResult) message() {}

// recheckResult holds the answers of the unresponsive targets.
type recheckResult struct{ answers []probeAnswer }

func (recheckResult) message() {}

// A probedTarget is one incarnation of a target with its address and fabric domain.
type probedTarget struct{ vm, incarnation, address, domain string }

func newProbedTarget(vm kvstore.VM) probedTarget {
	return probedTarget{vm: vm.Name, incarnation: vm.Incarnation, address: vm.Address, domain: vm.FabricDomain}
}

// A probeRound limits the probes of a set of targets to one round at a time and one
// in an interval.
type probeRound struct {
	running bool
	beganAt time.Time
}

func (round *probeRound) due(now time.Time, interval time.Duration) bool {
	return !round.running && now.Sub(round.beganAt) >= interval
}

// startRound probes the targets in a worker, whose result is made of the answers. The
// handler of the result must set round.running to false.
func (state *state) startRound(now time.Time, round *probeRound, targets []probedTarget, result func(answers []probeAnswer) message) {
	if len(targets) == 0 {
		return
	}
	*round = probeRound{running: true, beganAt: now}
	asked := state.askedNodes()
	state.startWorker(func(ctx context.Context) message { return result(state.probeAll(ctx, targets, asked)) })
}

// probeStalledGroups has the members of groups with stalled streams probed: by this
// node if it leads their fabric domain, and by the leader otherwise. This detects a
// lost member long before its announcement expires. In a large fleet the leader
// itself rarely has a stream at the group.
func (state *state) probeStalledGroups(now time.Time) {
	for _, name := range state.config.Traffic.StalledGroups() {
		if now.Sub(state.feed.probedAt[name]) < probeInterval {
			continue
		}
		if !state.probeGroup(now, name) {
			state.reportStalled(now, name)
		}
	}
}

// probeGroup probes the members of a group, at most once per probeInterval. It
// returns false if this node does not lead the group's fabric domain.
func (state *state) probeGroup(now time.Time, name string) bool {
	for domain, leadership := range state.leaderships {
		placement := leadership.leader.Placement()
		if _, found := placement.Group(name); !found || !leadership.leader.Leading() {
			continue
		}
		if now.Sub(state.feed.probedAt[name]) >= probeInterval {
			state.feed.probedAt[name] = now
			state.logger.Info("probing the members of a group with stalled streams", zap.String("group", name), zap.String("domain", domain))
			state.probe(name, domain, placement)
		}
		return true
	}
	return false
}

// reportStalled reports to the leader of a group's fabric domain that its streams have
// stalled.
func (state *state) reportStalled(now time.Time, name string) {
	if state.config.Feed.ReportStalled == nil {
		return
	}
	for domainName, domain := range state.domains {
		if domain.placement == nil {
			continue
		}
		if _, found := domain.placement.Group(name); !found {
			continue
		}
		address, known := state.fleet.LeaderAddress(domainName)
		if !known {
			return
		}
		state.feed.probedAt[name] = now
		state.startWorker(func(ctx context.Context) message {
			if err := state.config.Feed.ReportStalled(ctx, address, name); err != nil {
				state.logger.Warn("leader did not take the report of a stalled group", zap.String("group", name), zap.String("leader", address), zap.Error(err))
			}
			return workerEnded{}
		})
		return
	}
}

// GroupStalled has the members of a group probed after another node has reported
// that its streams have stalled.
func (controller *Controller) GroupStalled(ctx context.Context, name string) error {
	return controller.do(ctx, func(now time.Time) { controller.state.probeGroup(now, name) })
}

// probe starts a worker that requests a report from every listed member of a
// group.
func (state *state) probe(name, domain string, placement *group.Placement) {
	var targets []probedTarget
	incarnations := map[string]string{}
	for _, vm := range placement.Members(name) {
		if _, listed := state.feed.reports[vm]; !listed {
			continue
		}
		assignment, _ := placement.Assignment(vm)
		incarnations[vm] = assignment.Incarnation
		targets = append(targets, probedTarget{vm: vm, address: assignment.Address})
	}
	others := state.targetsOutside(name, placement)
	asked := state.askedNodes()
	state.startWorker(func(ctx context.Context) message {
		result := probeResult{group: name, domain: domain, ended: map[string]string{}}
		result.noneReached = len(others) > 0
		for _, probed := range state.probeAll(ctx, append(targets, others...), asked) {
			if probed.responded || probed.byOthers {
				result.noneReached = false
			}
			if slices.Contains(others, probed.probedTarget) {
				continue
			}
			switch {
			case probed.responded:
				result.answers = append(result.answers, probed)
			case probed.byOthers:
				result.byOthers = append(result.byOthers, probed.vm)
			default:
				result.unresponsive = append(result.unresponsive, probed.vm)
				if probed.ended {
					result.ended[probed.vm] = incarnations[probed.vm]
				}
			}
		}
		return result
	})
}

// maxOutside bounds the targets that are probed besides the members of a group.
const maxOutside = 3

// targetsOutside returns targets that are not in a group, those of other failure domains
// first. If none of them responds either, the members need not be lost.
func (state *state) targetsOutside(name string, placement *group.Placement) []probedTarget {
	members := map[string]bool{}
	domains := map[string]bool{}
	for _, vm := range placement.Members(name) {
		members[vm] = true
		domains[state.vms[vm].FailureDomain] = true
	}
	var far, near []probedTarget
	for _, vm := range state.vms {
		switch _, listed := state.feed.reports[vm.Name]; {
		case members[vm.Name] || !listed:
		case domains[vm.FailureDomain]:
			near = append(near, newProbedTarget(vm))
		default:
			far = append(far, newProbedTarget(vm))
		}
	}
	outside := append(far, near...)
	return outside[:min(len(outside), maxOutside)]
}

// A probeAnswer is the result of probing one target.
type probeAnswer struct {
	probedTarget
	responded bool
	report    engine.Report

	// ended is true if the target's address accepts no connection, or another incarnation
	// responds. A target that does not respond otherwise may only be silent.
	ended bool

	// byOthers is true if the target did not respond to this node but to another one.
	byOthers bool
}

// probeAll requests a report from each target at the same time. Of the targets that do not
// respond at once, it asks the other nodes meanwhile.
func (state *state) probeAll(ctx context.Context, targets []probedTarget, nodes []string) []probeAnswer {
	var answers []probeAnswer
	var silent []probedTarget
	var names []string
	for _, answer := range askAll(ctx, targets, state.askOnce) {
		if answer.responded {
			answers = append(answers, answer)
			continue
		}
		silent = append(silent, answer.probedTarget)
		names = append(names, answer.vm)
	}
	if len(silent) == 0 {
		return answers
	}
	replies := make(chan []string, 1)
	go func(ctx context.Context, replies chan<- []string) {
		replies <- state.reachedByOthers(ctx, nodes, names)
	}(ctx, replies)
	repeated := askAll(ctx, silent, func(ctx context.Context, target probedTarget) probeAnswer {
		return state.askReport(ctx, target, probeAttempts-1)
	})
	reached := <-replies
	for _, answer := range repeated {
		answer.byOthers = !answer.responded && slices.Contains(reached, answer.vm)
		answers = append(answers, answer)
	}
	return answers
}

func (state *state) askOnce(ctx context.Context, target probedTarget) probeAnswer {
	return state.askReport(ctx, target, 1)
}

// askAll asks each target at the same time.
func askAll(ctx context.Context, targets []probedTarget, ask func(ctx context.Context, target probedTarget) probeAnswer) []probeAnswer {
	results := make(chan probeAnswer, len(targets))
	for _, target := range targets {
		go func(ctx context.Context, results chan<- probeAnswer) { results <- ask(ctx, target) }(ctx, results)
	}
	answers := make([]probeAnswer, 0, len(targets))
	for range targets {
		answers = append(answers, <-results)
	}
	return answers
}

// askReport asks an engine for its report.
func (state *state) askReport(ctx context.Context, target probedTarget, attempts int) probeAnswer {
	answer := probeAnswer{probedTarget: target}
	for range attempts {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := state.config.Engines.Report(attempt, target.address)
		cancel()
		if err == nil {
			answer.report = report
			answer.responded = target.incarnation == "" || report.Incarnation == "" || report.Incarnation == target.incarnation
			answer.ended = !answer.responded
			return answer
		}
		answer.ended = errors.Is(err, syscall.ECONNREFUSED)
	}
	return answer
}

// recheckUnresponsive probes the unresponsive targets of the fabric domains that
// this node leads once per recheckInterval. Heartbeats that change nothing do not
// reach nodes that read the store through others, so the announcements alone do
// not show that a paused target has resumed.
func (state *state) recheckUnresponsive(now time.Time) {
	if !state.feed.rechecks.due(now, recheckInterval) {
		return
	}
	var targets []probedTarget
	for name := range state.feed.unresponsive {
		target, found := state.feed.directory.Target(name)
		if _, leads := state.leaderships[target.VM.FabricDomain]; found && leads {
			targets = append(targets, newProbedTarget(target.VM))
			continue
		}
		delete(state.feed.unresponsive, name)
	}
	state.startRound(now, &state.feed.rechecks, targets, func(answers []probeAnswer) message { return recheckResult{answers: answers} })
}

// handleRecheckResult treats the targets that responded as live again.
func (state *state) handleRecheckResult(now time.Time, result recheckResult) {
	state.feed.rechecks.running = false
	state.recordLeavingAnswers(now, result.answers)
	recovered := false
	for _, answer := range result.answers {
		if !answer.responded {
			continue
		}
		recovered = true
		delete(state.feed.unresponsive, answer.vm)
		state.logger.Info("target responds to probes again", zap.String("target", answer.vm), zap.String("incarnation", answer.incarnation))
	}
	if recovered {
		state.applyTargets(now)
	}
}

// handleProbeResult treats the members that did not respond as lost until their next
// announcement. If another node reaches any of them, this node cannot decide that.
func (state *state) handleProbeResult(now time.Time, result probeResult) {
	state.recordLeavingAnswers(now, result.answers)
	if result.noneReached {
		state.logger.Warn("no node reached any target; the members of the group are not taken for lost", zap.String("group", result.group))
		return
	}
	if len(result.byOthers) > 0 {
		state.detach(now, result.domain, result.byOthers)
		return
	}
	if len(result.unresponsive) == 0 || now.Sub(state.storeReachedAt) > probeStoreAge {
		return
	}
	for _, vm := range result.unresponsive {
		incarnation, ended := result.ended[vm]
		state.miss(now, result.domain, probeAnswer{probedTarget: probedTarget{vm: vm, incarnation: incarnation}, ended: ended})
	}
	state.applyTargets(now)
}

// miss takes a member of a group that did not respond for lost until it announces itself again.
func (state *state) miss(now time.Time, domain string, answer probeAnswer) {
	heartbeat, found := state.feed.directory.Heartbeat(answer.vm)
	if !found {
		return
	}
	state.feed.unresponsive[answer.vm] = heartbeat
	if answer.ended {
		state.recordEnded(now, domain, answer.vm, answer.incarnation)
	}
	state.logger.Info("target did not respond to probe", zap.String("target", answer.vm), zap.String("group", state.feed.reports[answer.vm].Group),
		zap.Uint64("beat", heartbeat), zap.Bool("ended", answer.ended))
}

// recordEnded passes on to the leader of a fabric domain that a target has ended.
func (state *state) recordEnded(now time.Time, domain, vm, incarnation string) {
	if leadership, leads := state.leaderships[domain]; leads {
		state.handleGroup(now, leadership, group.VMEnded{VM: vm, Incarnation: incarnation})
	}
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
