package control

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// lapsedInterval is the time between two requests for the report of a lapsed
	// target, and lapsedHold the time for which a response keeps it: two further
	// requests may be lost.
	lapsedInterval = 500 * time.Millisecond
	lapsedHold     = 1500 * time.Millisecond
)

// lapsedResult holds the answers of the lapsed targets.
type lapsedResult struct{ answers []probeAnswer }

func (lapsedResult) message() {}

// askLapsed asks the lapsed targets of the fabric domains that this node leads for
// their reports. A target that cannot reach the platform still serves its group; a
// target that has failed does not respond.
func (state *state) askLapsed(now time.Time) {
	if !state.feed.lapsedProbes.due(now, lapsedInterval) {
		return
	}
	var targets []probedTarget
	known := map[string]bool{}
	for _, lapsed := range state.feed.directory.Lapsed() {
		known[lapsed.VM.Name] = true
		if _, leads := state.leaderships[lapsed.VM.FabricDomain]; leads {
			targets = append(targets, newProbedTarget(lapsed.VM))
		}
	}
	maps.DeleteFunc(state.feed.lapsedDecisions, func(vm, _ string) bool { return !known[vm] })
	maps.DeleteFunc(state.feed.lapsedClosing, func(vm string, _ bool) bool { return !known[vm] })
	state.startRound(now, &state.feed.lapsedProbes, targets, func(answers []probeAnswer) message { return lapsedResult{answers: answers} })
}

// handleLapsedResult holds the members of groups that responded, and drops the targets
// that have ended and the held ones that have left their groups. A held rank 0 may be
// leaving and receives no new requests after its grace period, but the leader has to see
// it as long as it runs earlier ones: the other members must not leave before.
func (state *state) handleLapsedResult(now time.Time, result lapsedResult) {
	state.feed.lapsedProbes.running = false
	state.recordLeavingAnswers(now, result.answers)
	state.recordClosingAnswers(now, result.answers)
	changed := false
	for _, answer := range result.answers {
		held := answer.responded && answer.report.Group != ""
		// A target that is silent keeps its place until its grace period or hold ends, and is
		// asked again.
		dropped := answer.ended || answer.responded && !held && state.feed.directory.Held(answer.vm)
		if answer.byOthers {
			state.detach(now, answer.domain, []string{answer.vm})
			continue
		}
		if held {
			changed = state.hold(now, answer) || changed
		} else if dropped {
			if answer.ended {
				state.recordEnded(now, answer.domain, answer.vm, answer.incarnation)
			}
			changed = state.feed.directory.Drop(now, answer.vm) || changed
		}
		state.logLapsed(answer, held, dropped)
	}
	if changed {
		state.applyTargets(now)
	}
}

// hold keeps a lapsed target that responded and reports whether the targets changed.
func (state *state) hold(now time.Time, answer probeAnswer) bool {
	report := answer.report
	report.VM, report.Incarnation = answer.vm, answer.incarnation
	report.Sequence, report.Running, report.Queued, report.FreeCache = 0, 0, 0, 0
	return state.feed.directory.Hold(answer.vm, report, now.Add(lapsedHold))
}

// holdUnasked holds each rank 0 whose announcement has expired in a fabric domain that
// this node begins to lead, until this node has asked it. It may run requests, which end
// if its members leave.
func (state *state) holdUnasked(now time.Time) {
	if len(state.feed.newlyLed) == 0 {
		return
	}
	domains := state.feed.newlyLed
	state.feed.newlyLed = nil
	changed := false
	for _, lapsed := range state.feed.directory.Lapsed() {
		if slices.Contains(domains, lapsed.VM.FabricDomain) && lapsed.Report.Group != "" && lapsed.Report.Rank == 0 {
			changed = state.feed.directory.Hold(lapsed.VM.Name, lapsed.Report, now.Add(lapsedHold)) || changed
		}
	}
	if changed {
		state.applyTargets(now)
	}
	state.feed.lapsedProbes.beganAt = time.Time{}
	state.askLapsed(now)
}

// holdReadLate holds the members of groups, in the fabric domains that this node leads, whose
// grace period had ended when the node read that their announcements have ended, until it has
// asked them. They receive no new requests, but their groups may run earlier ones. It reports
// whether there were any.
func (state *state) holdReadLate(now time.Time) bool {
	if len(state.feed.directory.Unannounced()) == 0 {
		return false
	}
	changed := false
	for _, lapsed := range state.feed.directory.Lapsed() {
		_, leads := state.leaderships[lapsed.VM.FabricDomain]
		if leads && lapsed.GraceEnded() && !lapsed.Held && lapsed.Since.Equal(now) && lapsed.Report.Group != "" {
			changed = state.feed.directory.Hold(lapsed.VM.Name, lapsed.Report, now.Add(lapsedHold)) || changed
		}
	}
	if changed {
		state.feed.lapsedProbes.beganAt = time.Time{}
		state.askLapsed(now)
	}
	return changed
}

// askAfterOrder asks the lapsed targets at once after an order to one of them, because
// the leader repeats the order until a report shows its effect.
func (state *state) askAfterOrder(now time.Time, vm string) {
	if state.feed.directory.Held(vm) {
		state.feed.lapsedProbes.beganAt = time.Time{}
		state.askLapsed(now)
	}
}

// recordClosingAnswers records as leaving the lapsed targets that closed the connection
// after two answers in succession: a target that leaves closes each connection, one that
// only cannot reach the platform does so now and then. The second answer is requested
// without waiting for the interval, because the group of a target that leaves has to be
// drained before the target ends.
func (state *state) recordClosingAnswers(now time.Time, answers []probeAnswer) {
	for _, answer := range answers {
		if !answer.responded {
			continue
		}
		again := state.feed.lapsedClosing[answer.vm]
		state.feed.lapsedClosing[answer.vm] = answer.report.Closing
		switch {
		case answer.report.Closing && again:
			state.recordLeaving(now, answer.vm, answer.incarnation)
		case answer.report.Closing:
			state.feed.lapsedProbes.beganAt = time.Time{}
		}
	}
}

// logLapsed logs the first answer of a lapsed target and each change of it.
func (state *state) logLapsed(answer probeAnswer, held, dropped bool) {
	decision := "removed after its grace period"
	switch {
	case !answer.responded && !dropped:
		decision = "silent, kept until its grace period or hold ends"
	case held && answer.report.Rank == 0:
		decision = "kept in its group without new requests after its grace period"
	case held:
		decision = "kept in its group"
	case dropped:
		decision = "removed"
	}
	if state.feed.lapsedDecisions[answer.vm] == decision {
		return
	}
	state.feed.lapsedDecisions[answer.vm] = decision
	state.logger.Info("announcement of target expired", zap.String("target", answer.vm), zap.String("incarnation", answer.incarnation),
		zap.Bool("responds", answer.responded), zap.String("group", answer.report.Group), zap.Int("rank", answer.report.Rank),
		zap.Bool("closing", answer.report.Closing), zap.String("decision", decision))
}
