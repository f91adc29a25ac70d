package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/route"
)

// minStopRatio and maxStopRatio are the parts of the bound of an evacuation between which
// the nodes stop sending requests. Until then the targets serve on, so that requests in
// progress elsewhere end before those of the domain are added. Each node draws its own time,
// so that their requests do not all move at the same moment. The rest of the bound covers
// requests that are on their way, and lets those in progress end inside it.
const (
	minStopRatio = 0.55
	maxStopRatio = 0.8
)

// setEvacuations closes the targets of evacuated failure domains to new requests, in time
// for the bound: each evacuation was requested after its time Before. One without it, or
// that this node reads late, takes effect at once. The groups stay formed, so that they
// serve when the domain is taken back, and leaders work on: neither depends on requests of
// callers.
func (state *state) setEvacuations(now time.Time, read []catalog.Evacuation) {
	var evacuations []route.Evacuation
	for _, evacuation := range read {
		name := evacuation.FailureDomain
		index := slices.IndexFunc(state.feed.evacuations, func(known route.Evacuation) bool { return known.FailureDomain == name })
		if index >= 0 {
			evacuations = append(evacuations, state.feed.evacuations[index])
			continue
		}
		ratio := minStopRatio + state.config.Random.Float64()*(maxStopRatio-minStopRatio)
		from := now
		if !evacuation.Before.IsZero() {
			from = evacuation.Before.Add(time.Duration(ratio * float64(state.config.Feed.Evacuation)))
		}
		evacuations = append(evacuations, route.Evacuation{FailureDomain: name, From: from})
		state.logger.Info("failure domain evacuated", zap.String("failure-domain", name), zap.Duration("stops-in", from.Sub(now)), zap.Int("in-progress", state.inProgress(name)))
	}
	for _, known := range state.feed.evacuations {
		if !slices.Contains(evacuations, known) {
			state.logger.Info("failure domain taken back", zap.String("failure-domain", known.FailureDomain), zap.Int("in-progress", state.inProgress(known.FailureDomain)))
			state.assumeCold(now, known.FailureDomain)
		}
	}
	state.feed.evacuations = evacuations
	state.metrics.evacuated.Set(float64(len(evacuations)))
	state.scheduleStop(now)
	state.dirty = true
}

// scheduleStop sets the time at which the next evacuation takes effect.
func (state *state) scheduleStop(now time.Time) {
	state.feed.nextStop = time.Time{}
	for _, evacuation := range state.feed.evacuations {
		ahead := evacuation.From.After(now)
		if ahead && (state.feed.nextStop.IsZero() || evacuation.From.Before(state.feed.nextStop)) {
			state.feed.nextStop = evacuation.From
		}
	}
}

// stopEvacuated has a table published once the time of an evacuation has come.
func (state *state) stopEvacuated(now time.Time) {
	if state.feed.nextStop.IsZero() || now.Before(state.feed.nextStop) {
		return
	}
	for _, evacuation := range state.feed.evacuations {
		if !evacuation.From.Before(state.feed.nextStop) && !evacuation.From.After(now) {
			state.logger.Info("targets of an evacuated failure domain receive no requests any more", zap.String("failure-domain", evacuation.FailureDomain),
				zap.Int("in-progress", state.inProgress(evacuation.FailureDomain)))
		}
	}
	state.scheduleStop(now)
	state.dirty = true
}

// inProgress returns the number of requests of this node at the targets of a failure domain.
func (state *state) inProgress(domain string) int {
	if state.config.Feed.InProgress == nil {
		return 0
	}
	return state.config.Feed.InProgress(domain)
}

func (state *state) evacuationStatus(now time.Time) []admin.EvacuationStatus {
	var evacuated []admin.EvacuationStatus
	for _, evacuation := range state.feed.evacuations {
		evacuated = append(evacuated, admin.EvacuationStatus{
			FailureDomain: evacuation.FailureDomain,
			Stopped:       !now.Before(evacuation.From),
			InProgress:    state.inProgress(evacuation.FailureDomain),
		})
	}
	return evacuated
}
