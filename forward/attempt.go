package forward

import "context"

// An attemptResult is the result of one attempt: answered, notReached, notRun or unknown.
type attemptResult interface{ attemptResult() }

// answered means that a response was sent to the caller.
type answered struct{}

// notReached means that nothing was sent to the target.
type notReached struct{ reason string }

// notRun means that the target has not run the request.
type notRun struct{ reason string }

// unknown means that the target may have run the request.
type unknown struct{ reason string }

func (answered) attemptResult()   {}
func (notReached) attemptResult() {}
func (notRun) attemptResult()     {}
func (unknown) attemptResult()    {}

// A candidate is a target that a request may be sent to.
type candidate struct {
	name string
	try  func() attemptResult
}

// An attemptPlan defines how a request is tried at one target after the other.
type attemptPlan struct {
	// next returns a target that is not excluded, or false if there is none. With mayWait it
	// may wait for one.
	next func(excluded map[string]bool, mayWait bool) (candidate, bool)

	// noTargetReason returns why next found no target.
	noTargetReason func() string

	// giveUp ends a request that no target answered.
	giveUp func(reason string)
}

// tryTargets tries targets until a response has been sent to the caller. A
// request that is not repeatable ends after the first attempt that may have run
// it. Other requests are retried within the route's MaxAttempts and the retry
// allowance that all nodes share.
func (exchange *exchange) tryTargets(ctx context.Context, plan attemptPlan) {
	excluded, unreached := map[string]bool{}, map[string]bool{}
	reason := ""
	for {
		if !exchange.admitted(plan) {
			return
		}
		othersReach := exchange.throughNodes && len(unreached) > 0
		target, found := plan.next(excluded, !othersReach)
		if !found && othersReach {
			// All others have been tried. Another node may reach these.
			for name := range unreached {
				delete(excluded, name)
			}
			clear(unreached)
			target, found = plan.next(excluded, true)
		}
		if !found && reason == "" {
			reason = plan.noTargetReason()
		}
		if !found {
			plan.giveUp(reason)
			return
		}
		if ctx.Err() != nil || !exchange.mayStillRun() {
			plan.giveUp("the time is over, or the key is not known to be valid; " + reason)
			return
		}
		if len(exchange.attempts) > exchange.retries {
			if !exchange.server.takeRetry(exchange.service.Name) {
				plan.giveUp(reason + "; no retry is left")
				return
			}
			exchange.retries = len(exchange.attempts)
		}
		direct := !exchange.throughNodes
		switch result := target.try().(type) {
		case answered:
			return
		case notReached:
			reason = result.reason
			if direct {
				unreached[target.name] = true
			}
		case notRun:
			reason = result.reason
		case unknown:
			reason = result.reason
			exchange.mayHaveRun = true
		}
		excluded[target.name] = true
		mayRetry := !exchange.mayHaveRun || exchange.route.Repeatable() && exchange.mayRepeat()
		if !mayRetry || len(exchange.attempts) >= exchange.route.MaxAttempts {
			plan.giveUp(reason)
			return
		}
	}
}
