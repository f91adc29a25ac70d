package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// placedWait bounds the time for which a new leader waits for the answers of the placed
// members. Answers take 350 ms at most unless the machine is overloaded.
const placedWait = time.Second

// outageMemory is how long after an outage of the store a new leader asks all placed members.
// It covers the leases of leaders that ended in the outage, and three missing heartbeats, after
// which the announcement of a target that ended in it expires.
const outageMemory = 10 * time.Second

// placedResult holds the answers of the placed members that a new leader's directory did not
// contain, and after an outage of the store those of all others.
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
//
// After an outage of the store it asks the members that are in the directory as well. The load:
// members that end in the outage are neither announced nor missed, because no request needs
// them, their announcements expire up to four seconds after the return and are kept for two
// more; their groups take requests all the while and answer none.
func (state *state) askPlaced(now time.Time, leadership *leadership) {
	placement := leadership.leader.Placement()
	if !state.feeding() || placement.Fence() == leadership.askedFence || state.feed.outage.inProgress() {
		return
	}
	leadership.askedFence = placement.Fence()
	result := placedResult{domain: leadership.domain, term: leadership.term, targets: state.absentMembers(leadership.domain, placement)}
	var targets []probedTarget
	for _, target := range result.targets {
		targets = append(targets, newProbedTarget(target.VM))
	}
	if state.feed.outage.endedWithin(now, outageMemory) {
		targets = append(targets, state.listedMembers(placement)...)
	}
	if len(targets) == 0 {
		return
	}
	state.handleGroup(now, leadership, group.AwaitMembers{Until: now.Add(placedWait)})
	asked := state.askedNodes()
	state.startWorker(func(ctx context.Context) message {
		result.answers = state.probeAll(ctx, targets, asked)
		return result
	})
}

// listedMembers returns the placed members that are in the directory.
func (state *state) listedMembers(placement *group.Placement) []probedTarget {
	var listed []probedTarget
	for _, placed := range placement.Groups() {
		for _, name := range placement.Members(placed.Name) {
			if target, known := state.feed.directory.Target(name); known {
				listed = append(listed, newProbedTarget(target.VM))
			}
		}
	}
	return listed
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
	var silent []probeAnswer
	for _, answer := range result.answers {
		if answer.byOthers {
			state.detach(now, result.domain, []string{answer.vm})
			continue
		}
		target, absent := result.targets[answer.vm]
		if !absent {
			if !answer.responded {
				silent = append(silent, answer)
			}
			continue
		}
		held := answer.responded && answer.report.Group != "" && answer.report.Incarnation == target.VM.Incarnation
		held = held && state.feed.directory.Adopt(now, target)
		if held {
			changed = state.hold(now, answer) || changed
		}
		state.logger.Info("asked a placed member that is not listed", zap.String("target", answer.vm), zap.String("incarnation", answer.incarnation),
			zap.Bool("responds", answer.responded), zap.String("reported-incarnation", answer.report.Incarnation),
			zap.String("group", answer.report.Group), zap.Uint64("epoch", answer.report.Epoch), zap.Int("rank", answer.report.Rank), zap.Bool("held", held))
	}
	missed := state.missSilent(now, result, silent)
	if changed || missed {
		state.applyTargets(now)
	}
	if missed {
		state.reportSilence(now, leadership, silent)
	}
	state.recordLeavingAnswers(now, result.answers)
	if leadership, found := state.leaderships[result.domain]; found {
		state.handleGroup(now, leadership, group.AwaitMembers{})
	}
}

// missSilent takes the listed members that answered neither this node nor another one for lost
// until they announce themselves again. It does nothing if no member of the domain answered,
// or if one answered another node only: this node may have lost them.
func (state *state) missSilent(now time.Time, result placedResult, silent []probeAnswer) bool {
	reached := slices.ContainsFunc(result.answers, func(answer probeAnswer) bool { return answer.responded })
	elsewhere := slices.ContainsFunc(result.answers, func(answer probeAnswer) bool { return answer.byOthers })
	if len(silent) == 0 || !reached || elsewhere || now.Sub(state.storeReachedAt) > probeStoreAge {
		return false
	}
	for _, answer := range silent {
		state.miss(now, result.domain, answer)
	}
	return true
}

// reportSilence passes on to the leader since when missing members have been silent, if they
// were asked during the outage.
func (state *state) reportSilence(now time.Time, leadership *leadership, silent []probeAnswer) {
	for _, answer := range silent {
		if known, asked := state.feed.outage.silent[answer.vm]; asked && known.incarnation == answer.incarnation {
			state.handleGroup(now, leadership, group.VMSilent{VM: answer.vm, Incarnation: answer.incarnation, Since: known.since})
		}
	}
}
