package forward

import "context"

// A verdict is what one attempt came to. It is answered, notRun or unknown.
type verdict interface{ verdict() }

// answered says that the caller has its answer.
type answered struct{}

// notRun says that the target has not run the request.
type notRun struct{ reason string }

// unknown says that the target may have run the request.
type unknown struct{ reason string }

func (answered) verdict() {}
func (notRun) verdict()   {}
func (unknown) verdict()  {}

// A candidate is a target that a request may be sent to.
type candidate struct {
	name string
	try  func() verdict
}

// A course says how a request moves from one target to the next.
type course struct {
	// next returns a target that is not excluded, false when there is none.
	next func(excluded map[string]bool) (candidate, bool)

	// none says why there is no target.
	none func() string

	// giveUp ends a request that no target answered.
	giveUp func(reason string)
}

// run tries targets until one has answered. A request that must not run twice
// ends with the first attempt that may have run it; others move on within the
// route's attempts and the retries of all nodes.
func (exchange *exchange) run(ctx context.Context, course course) {
	excluded := map[string]bool{}
	reason := ""
	for {
		chosen, found := course.next(excluded)
		if !found && reason == "" {
			reason = course.none()
		}
		if !found {
			course.giveUp(reason)
			return
		}
		if ctx.Err() != nil || !exchange.mayStillRun() {
			course.giveUp("the time is over, or the key is not known to be valid; " + reason)
			return
		}
		if len(exchange.attempts) > 0 && !exchange.server.mayRetry(exchange.service.Name) {
			course.giveUp(reason + "; no retry is left")
			return
		}
		switch verdict := chosen.try().(type) {
		case answered:
			return
		case notRun:
			reason = verdict.reason
		case unknown:
			reason = verdict.reason
			exchange.unknown = true
		}
		excluded[chosen.name] = true
		mayMove := !exchange.unknown || exchange.route.Repeatable()
		if !mayMove || len(exchange.attempts) >= exchange.route.MaxAttempts {
			course.giveUp(reason)
			return
		}
	}
}
