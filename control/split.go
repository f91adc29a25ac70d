package control

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/group"
)

// demandInterval is the time between two observations of the demand.
const demandInterval = time.Second

// stagedOn returns the models whose weights are on the host of a VM.
func (state *state) stagedOn(vm string) []string { return state.feed.reports[vm].Staged }

// A PoolUse is what callers ask of a model of a service, see group.ServiceSpec.
type PoolUse struct {
	Pool string

	// Arrivals and Refused are requests per second, Running is the mean number of those that
	// are at groups.
	Arrivals, Refused, Running float64

	// PromptTokens are those of the prompts that are sent to groups in a second.
	PromptTokens float64
}

// tickDemand observes the demand and passes it, with the replicas of the other fabric domains,
// to the leader of each led one.
func (state *state) tickDemand(now time.Time) {
	if state.config.Feed.Pools == nil || state.feed.catalog == nil || now.Sub(state.feed.demandAt) < demandInterval {
		return
	}
	state.feed.demandAt = now
	pools, known := state.config.Feed.Pools(now)
	if !known || len(pools) == 0 {
		return
	}
	state.feed.demand.Observe(now, state.poolLoads(now, pools))
	observed, known := state.feed.demand.Demand(now)
	if !known || len(state.leaderships) == 0 {
		return
	}
	state.updateOtherDomains(now)
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, observed)
		state.logSplits(leadership)
	}
}

// poolLoads returns the loads of the pools that the configuration has. Callers name the models,
// so that others may be counted.
func (state *state) poolLoads(now time.Time, pools []PoolUse) []group.PoolLoad {
	replicas := map[string]int{}
	for _, domain := range state.domains {
		if domain.placement == nil {
			continue
		}
		for _, count := range group.Summarize(domain.placement, state.specs(), state.serviceOf, state.openGroups(now, domain)) {
			replicas[count.Group] += count.Ready
		}
	}
	var loads []group.PoolLoad
	for _, service := range state.feed.catalog.Services() {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			load := group.PoolLoad{Spec: group.ServiceSpec(service.Name, model.Name), Pace: replicaPace(service.Engine, model)}
			load.Replicas = replicas[load.Spec]
			for _, pool := range pools {
				if pool.Pool == load.Spec {
					load.Arrivals, load.Refused, load.Running, load.PromptTokens = pool.Arrivals, pool.Refused, pool.Running, pool.PromptTokens
				}
			}
			loads = append(loads, load)
		}
	}
	return loads
}

func replicaPace(profile *catalog.Engine, model catalog.Model) group.ReplicaPace {
	scale := func(duration time.Duration) time.Duration { return time.Duration(float64(duration) * model.Pace) }
	pace := group.ReplicaPace{Slots: profile.Slots, Step: scale(profile.Step), SequenceStep: scale(profile.SequenceStep)}
	if model.Pace > 0 {
		pace.ReadRate = profile.ReadRate / model.Pace
	}
	return pace
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
