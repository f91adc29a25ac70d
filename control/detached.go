package control

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

const (
	// askReachedTimeout is longer than a probe of the node that is asked.
	askReachedTimeout = probeTimeout + 50*time.Millisecond

	// maxAsked bounds the nodes that are asked whether they reach targets. Some of them
	// may have lost the targets too.
	maxAsked = 5

	// detachedInterval is the time between two probes of the targets of a fabric domain
	// that this node does not reach, and detachedTargets the number of targets probed.
	detachedInterval = 500 * time.Millisecond
	detachedTargets  = 3
)

// domainProbed holds the answers of targets of one fabric domain.
type domainProbed struct {
	domain  string
	answers []probeAnswer
}

func (domainProbed) message() {}

// askedNodes returns the addresses of the nodes to ask whether they reach a target.
func (state *state) askedNodes() []string {
	if state.config.AskReached == nil {
		return nil
	}
	addresses := state.otherNodes()
	state.config.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAsked)]
}

// reachedByOthers returns the names of the targets that any of the nodes reaches.
func (state *state) reachedByOthers(ctx context.Context, nodes, targets []string) []string {
	replies := make(chan []string, len(nodes))
	ctx, cancel := context.WithTimeout(ctx, askReachedTimeout)
	defer cancel()
	for _, address := range nodes {
		go func(ctx context.Context, replies chan<- []string) {
			reached, err := state.config.AskReached(ctx, address, targets)
			if err != nil {
				state.logger.Debug("node did not answer whether it reaches targets", zap.String("node", address), zap.Error(err))
			}
			replies <- reached
		}(ctx, replies)
	}
	var all []string
	for range nodes {
		all = append(all, <-replies...)
	}
	return all
}

// Reached returns the names of those targets that this node reaches, for another node that
// does not.
func (controller *Controller) Reached(ctx context.Context, names []string) ([]string, error) {
	state := controller.state
	var engines, runners []probedTarget
	err := controller.do(ctx, func(time.Time) {
		for _, name := range names {
			target, found := state.feed.directory.Target(name)
			switch {
			case !found:
			case target.VM.FabricDomain != "":
				engines = append(engines, newProbedTarget(target.VM))
			default:
				runners = append(runners, newProbedTarget(target.VM))
			}
		}
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	answers := askAll(ctx, engines, state.askOnce)
	answers = append(answers, askAll(ctx, runners, func(ctx context.Context, target probedTarget) probeAnswer {
		return probeAnswer{probedTarget: target, responded: httpsend.Accepts(ctx, target.address)}
	})...)
	var reached []string
	for _, answer := range answers {
		if answer.responded {
			reached = append(reached, answer.vm)
		}
	}
	return reached, nil
}

// detach records that this node does not reach targets of a fabric domain that other nodes
// reach. It hands over the leadership: it would take its own partition for losses of
// members, and its orders would not arrive.
func (state *state) detach(now time.Time, domain string, targets []string) {
	if _, found := state.feed.detached[domain]; found {
		return
	}
	state.feed.detached[domain] = &probeRound{beganAt: now}
	state.logger.Warn("other nodes reach targets of a fabric domain that this node does not reach",
		zap.String("domain", domain), zap.Strings("targets", targets))
	state.handleFleet(now, fleet.DomainReached{Domain: domain, Reached: false})
}

// checkDetached probes targets of the fabric domains that this node does not reach, and of
// those that it leads while requests find that it does not reach targets: nothing else
// probes a fabric domain whose groups have no streams.
func (state *state) checkDetached(now time.Time) {
	lost := state.config.Traffic.TargetsLost()
	for domain := range state.leaderships {
		if _, found := state.feed.ledChecks[domain]; lost && !found {
			state.feed.ledChecks[domain] = &probeRound{}
		}
	}
	for domain, round := range state.feed.ledChecks {
		if _, leads := state.leaderships[domain]; (!lost || !leads) && !round.running {
			delete(state.feed.ledChecks, domain)
			continue
		}
		state.probeDomain(now, domain, round)
	}
	for domain, round := range state.feed.detached {
		state.probeDomain(now, domain, round)
	}
}

func (state *state) probeDomain(now time.Time, domain string, round *probeRound) {
	if !round.due(now, detachedInterval) {
		return
	}
	var targets []probedTarget
	for _, vm := range state.vms {
		if vm.FabricDomain == domain && len(targets) < detachedTargets {
			targets = append(targets, newProbedTarget(vm))
		}
	}
	if len(targets) == 0 {
		// The fabric domain has gone.
		state.handleDomainProbed(now, domainProbed{domain: domain, answers: []probeAnswer{{responded: true}}})
		return
	}
	state.startRound(now, round, targets, func(answers []probeAnswer) message { return domainProbed{domain: domain, answers: answers} })
}

// handleDomainProbed ends or begins the time in which this node does not reach a fabric
// domain.
func (state *state) handleDomainProbed(now time.Time, result domainProbed) {
	state.recordLeavingAnswers(now, result.answers)
	if round, found := state.feed.ledChecks[result.domain]; found {
		round.running = false
	}
	round, detached := state.feed.detached[result.domain]
	if detached {
		round.running = false
	}
	responds := func(answer probeAnswer) bool { return answer.responded }
	reachedByOthers := func(answer probeAnswer) bool { return answer.byOthers }
	switch {
	case detached && slices.ContainsFunc(result.answers, responds):
		delete(state.feed.detached, result.domain)
		state.logger.Info("targets of a fabric domain are reached again", zap.String("domain", result.domain))
		state.handleFleet(now, fleet.DomainReached{Domain: result.domain, Reached: true})
	case !detached && !slices.ContainsFunc(result.answers, responds) && slices.ContainsFunc(result.answers, reachedByOthers):
		var names []string
		for _, answer := range result.answers {
			names = append(names, answer.vm)
		}
		state.detach(now, result.domain, names)
	}
}
