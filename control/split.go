package control

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
)

// demandInterval is the time between two observations of the demand.
const demandInterval = time.Second

// stagedOn returns the models whose weights are on the host of a VM.
func (state *state) stagedOn(vm string) []string { return state.feed.reports[vm].Staged }

// tickDemand passes the observed demand and the replicas of the other fabric domains to the
// leader of each led one.
func (state *state) tickDemand(now time.Time) {
	if !state.config.Feed.FollowDemand || !state.feeding() || now.Sub(state.feed.demandAt) < demandInterval || !state.config.Traffic.RequestReceived() {
		return
	}
	state.feed.demandAt = now
	state.updateOtherDomains(now)
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, state.observedDemand())
		state.logSplits(leadership)
	}
}

// logSplits logs what the leader of a fabric domain decides about the groups of each service,
// when the decision changes.
func (state *state) logSplits(leadership *leadership) {
	for _, status := range leadership.leader.Splits() {
		line := fmt.Sprintf("%+v %d %s", status.Conversion, status.Steps, status.Wait)
		if leadership.splits[status.Service] == line {
			continue
		}
		leadership.splits[status.Service] = line
		state.logger.Info("split of the groups", zap.String("domain", leadership.domain), zap.String("service", status.Service),
			zap.String("from", status.Conversion.From), zap.String("to", status.Conversion.To),
			zap.Int("steps", status.Steps), zap.Int("gives", status.Conversion.Gives), zap.Int("gains", status.Conversion.Gains),
			zap.String("wait", status.Wait), zap.Int("warm", status.Warm), zap.String("pools", fmt.Sprintf("%+v", status.Pools)))
	}
}

func (state *state) observedDemand() group.DemandObserved { return group.DemandObserved{} }
