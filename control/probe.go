package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/group"
)

const (
	// probeTimeout is far above the time in which an engine answers, about 3 ms,
	// and probeTries bears one lost packet.
	probeTimeout = 100 * time.Millisecond
	probeTries   = 2

	// probeInterval keeps a group that is only slow from being asked all the
	// time.
	probeInterval = time.Second

	// probeHold is how long ago the store may have been reached for members that
	// do not answer to count as lost: the node itself may be cut off.
	probeHold = time.Second
)

// probed is the result of asking the members of a group.
type probed struct {
	group string

	// silent are the members that did not answer.
	silent []string
}

func (probed) message() {}

// probeSuspects asks the members of the groups whose streams stand still, if
// this node leads their domain. A lost member is noticed that way long before
// its announcement lapses.
func (state *state) probeSuspects(now time.Time) {
	for _, name := range state.config.Traffic.Suspected() {
		if now.Sub(state.feed.probed[name]) < probeInterval {
			continue
		}
		for domain, led := range state.led {
			placement := led.leader.Placement()
			if _, found := placement.Group(name); found && led.leader.Leading() {
				state.feed.probed[name] = now
				state.logger.Info("asking the members of a group whose streams stand still", zap.String("group", name), zap.String("domain", domain))
				state.probe(name, placement)
			}
		}
	}
}

func (state *state) probe(name string, placement *group.Placement) {
	addresses := map[string]string{}
	for _, vm := range placement.Members(name) {
		if _, reports := state.feed.reports[vm]; !reports {
			continue
		}
		assignment, _ := placement.Assignment(vm)
		addresses[vm] = assignment.Address
	}
	state.start(func(ctx context.Context) message {
		answers := make(chan string, len(addresses))
		for vm, address := range addresses {
			go func(ctx context.Context, answers chan<- string) {
				if state.answers(ctx, address) {
					vm = ""
				}
				answers <- vm
			}(ctx, answers)
		}
		result := probed{group: name}
		for range addresses {
			if vm := <-answers; vm != "" {
				result.silent = append(result.silent, vm)
			}
		}
		return result
	})
}

// answers reports whether an engine answers one of a few questions.
func (state *state) answers(ctx context.Context, address string) bool {
	for range probeTries {
		asking, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := state.config.Engines.Report(asking, address)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// handleProbed takes the members that did not answer for lost until they
// announce themselves again.
func (state *state) handleProbed(now time.Time, result probed) {
	if len(result.silent) == 0 || now.Sub(state.storeReached) > probeHold {
		return
	}
	for _, vm := range result.silent {
		beat, found := state.feed.directory.Beat(vm)
		if !found {
			continue
		}
		state.feed.silent[vm] = beat
		state.logger.Info("target does not answer", zap.String("target", vm), zap.String("group", result.group), zap.Uint64("beat", beat))
	}
	state.takeTargets(now)
}

// speaks reports whether a target answers, or has announced itself since it did
// not.
func (feed *feedState) speaks(target directory.Target) bool {
	beat, silent := feed.silent[target.VM.Name]
	if !silent {
		return true
	}
	if target.Beat == beat {
		return false
	}
	delete(feed.silent, target.VM.Name)
	return true
}

// anySpeaksAgain reports whether a silent target has announced itself again or
// is gone.
func (feed *feedState) anySpeaksAgain() bool {
	for vm, beat := range feed.silent {
		current, found := feed.directory.Beat(vm)
		if !found {
			delete(feed.silent, vm)
			continue
		}
		if current != beat {
			return true
		}
	}
	return false
}
