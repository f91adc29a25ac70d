package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// placedWait bounds the time for which a new leader waits for the answers of the placed
// members. Answers take 350 ms at most unless the machine is overloaded.
const placedWait = time.Second

// placedResult holds the answers of the placed members that a new leader's directory did not
// contain.
type placedResult struct {
	domain  string
	term    uint64
	targets map[string]directory.Target
	answers []probeAnswer
}

func (placedResult) message() {}

// askPlaced asks, once under each fencing number, the placed members of a led fabric domain
// that are not in the directory. Their announcements may have expired before this node
// started, while they still serve their groups.
func (state *state) askPlaced(now time.Time, leadership *leadership) {
	placement := leadership.leader.Placement()
	if !state.feeding() || placement.Fence() == leadership.askedFence {
		return
	}
	leadership.askedFence = placement.Fence()
	result := placedResult{domain: leadership.domain, term: leadership.term, targets: state.absentMembers(leadership.domain, placement)}
	if len(result.targets) == 0 {
		return
	}
	var targets []probedTarget
	for _, target := range result.targets {
		targets = append(targets, newProbedTarget(target.VM))
	}
	state.handleGroup(now, leadership, group.AwaitMembers{Until: now.Add(placedWait)})
	asked := state.askedNodes()
	state.startWorker(func(ctx context.Context) message {
		result.answers = state.probeAll(ctx, targets, asked)
		return result
	})
}

// absentMembers returns the placed members of a fabric domain that are not in the directory,
// as the record describes them. Their service is that of the other members, or the only one
// whose engine has the group's model.
func (state *state) absentMembers(domain string, placement *group.Placement) map[string]directory.Target {
	absent := map[string]directory.Target{}
	for _, placed := range placement.Groups() {
		spec, found := group.SpecOf(placement, placed, state.specs(), state.serviceOf)
		if !found {
			continue
		}
		for _, name := range placement.Members(placed.Name) {
			assignment, assigned := placement.Assignment(name)
			if _, known := state.feed.directory.Target(name); known || !assigned {
				continue
			}
			absent[name] = directory.Target{Service: spec.Service, VM: kvstore.VM{
				Name: name, Address: assignment.Address, Incarnation: assignment.Incarnation,
				FabricDomain: domain, FailureDomain: assignment.FailureDomain, State: kvstore.VMLive,
			}}
		}
	}
	return absent
}

// handlePlacedResult holds the placed members that responded as the recorded incarnation and
// are in a group, as lapsed targets whose grace period has ended. The address of one that has
// ended may belong to another target now.
func (state *state) handlePlacedResult(now time.Time, result placedResult) {
	leadership, found := state.leaderships[result.domain]
	if !found || leadership.term != result.term {
		return
	}
	changed := false
	for _, answer := range result.answers {
		if answer.byOthers {
			state.detach(now, result.domain, []string{answer.vm})
			continue
		}
		target := result.targets[answer.vm]
		held := answer.responded && answer.report.Group != "" && answer.report.Incarnation == target.VM.Incarnation
		held = held && state.feed.directory.Adopt(now, target)
		if held {
			changed = state.hold(now, answer) || changed
		}
		state.logger.Info("asked a placed member that is not listed", zap.String("target", answer.vm), zap.String("incarnation", answer.incarnation),
			zap.Bool("responds", answer.responded), zap.String("reported-incarnation", answer.report.Incarnation),
			zap.String("group", answer.report.Group), zap.Uint64("epoch", answer.report.Epoch), zap.Int("rank", answer.report.Rank), zap.Bool("held", held))
	}
	if changed {
		state.applyTargets(now)
	}
	state.recordLeavingAnswers(now, result.answers)
	if leadership, found := state.leaderships[result.domain]; found {
		state.handleGroup(now, leadership, group.AwaitMembers{})
	}
}
