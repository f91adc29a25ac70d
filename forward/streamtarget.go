package forward

import (
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/traffic"
)

// A callTarget is the target of a call of a delivery.
type callTarget struct {
	// name is the target's name in the suspects, in the search and in the log.
	name     string
	observed observedTarget
	to       destination
	kind     targetKind
}

// A targetKind is what a target is: a servingGroup of a service with an engine, or a
// plainRunner of any other.
type targetKind interface{ targetKind() }

type servingGroup struct{ target route.GroupTarget }

type plainRunner struct{}

func (servingGroup) targetKind() {}
func (plainRunner) targetKind()  {}

func callGroup(target route.GroupTarget) callTarget {
	return callTarget{
		name: target.Name, observed: observedGroup(target), kind: servingGroup{target: target},
		to: destination{id: target.VM, instance: target.Instance(), address: target.Address, group: target.Name, epoch: target.Epoch, failureDomain: target.FailureDomain},
	}
}

func callRunner(target route.ServiceTarget) callTarget {
	return callTarget{
		name: target.ID(), observed: observedRunner(target), kind: plainRunner{},
		to: destination{id: target.ID(), instance: target.Instance(), address: target.Address, failureDomain: target.FailureDomain},
	}
}

// stalls returns the detector for the streams of a target. The pace of an engine says little
// about a plain service.
func (server *Server) stalls(target callTarget) *route.StallDetector {
	switch kind := target.kind.(type) {
	case servingGroup:
		return server.stallDetector
	case plainRunner:
		return server.runnerStalls
	default:
		panic(errors.Errorf("forward: target kind %T is not handled", kind))
	}
}

// A groupProgress records how far a call to a group is, for the decisions on later requests.
// Nothing is predicted for plain runners.
type groupProgress struct {
	server *Server
	name   string
	use    *traffic.Use

	// pending is nil for an answer that is no stream: its first byte says nothing about the
	// time to a first event.
	pending *limit.PendingRequest

	// beganAt is when the call began, and predicted the time to its first event that was
	// predicted then.
	beganAt     time.Time
	predicted   time.Duration
	lastEventAt time.Time
}

// beginProgress begins the progress of a call to a target. It returns nil for a plain runner.
func (exchange *exchange) beginProgress(target callTarget, now time.Time) *groupProgress {
	server := exchange.server
	serving, isGroup := target.kind.(servingGroup)
	if !isGroup {
		return nil
	}
	exchange.load = server.picker.GroupLoad(serving.target, now)
	prediction := exchange.predict(serving.target, now)
	exchange.predicted = prediction.FirstEvent
	server.picker.Sent(serving.target, exchange.groupRequest(nil), now)
	begun := &groupProgress{server: server, name: target.name, beganAt: now, predicted: prediction.FirstEvent}
	begun.use = server.config.Traffic.Begin(exchange.pool(), target.name, exchange.caller.PromptTokens, now)
	if exchange.streams() {
		begun.pending = server.forecast.Begin(target.name, exchange.pool(), exchange.caller.PromptTokens, prediction, now)
	} else {
		// It would count as waiting until its end.
		begun.use.FirstEvent(now)
	}
	return begun
}

// event records the arrival of an event.
func (progress *groupProgress) event(now time.Time) {
	if progress.lastEventAt.IsZero() {
		progress.pending.FirstEventArrived(now)
		progress.use.FirstEvent(now)
		progress.server.metrics.predictionError.Observe((progress.predicted - now.Sub(progress.beganAt)).Seconds())
	} else {
		progress.server.forecast.RecordGap(progress.name, now.Sub(progress.lastEventAt), now)
	}
	progress.lastEventAt = now
}

func (progress *groupProgress) end(now time.Time) {
	if progress.pending != nil {
		progress.pending.End()
	}
	progress.use.End(now)
}
