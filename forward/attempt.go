package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// An attempt is the sending of a request to one target. It is used by one goroutine at a time.
type attempt struct {
	exchange *exchange
	to       destination

	// name is the target's name in the suspects and in the log, life its name in the
	// quarantine, and admission the quarantine's decision on the attempt.
	name      string
	life      string
	admission quarantine.Admission

	// throughNodes is true if the request is sent through another node, and through is that
	// node. direct is the call over a connection of this node, nil if there is none.
	throughNodes bool
	through      string
	direct       *directCall

	// hold is what the answer, and the copy of the body for another node, hold of the bytes of
	// all bodies.
	hold *limit.Hold

	// permitted is true once the attempt has used a permit of its target.
	permitted bool

	// notConnected is true if no connection to the target could be established.
	notConnected bool

	// notSent is true if nothing was sent to the target. began is true once an event has
	// arrived.
	notSent bool
	began   bool
}

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

// begin adds an attempt at a target to those of the request.
func (exchange *exchange) begin(name, life string, to destination) *attempt {
	begun := &attempt{exchange: exchange, to: to, name: name, life: life, admission: exchange.admission, throughNodes: exchange.throughNodes}
	begun.hold = exchange.server.bodies.Hold(to.id)
	exchange.attempts = append(exchange.attempts, begun)
	return begun
}

// end updates the request from the result of an attempt. The attempt's goroutine must have
// ended.
func (exchange *exchange) end(ended *attempt, result attemptResult) {
	if ended.through != "" {
		exchange.through = append(exchange.through, ended.through)
	}
	if ended.notConnected {
		exchange.throughNodes = len(exchange.server.nodes.all()) > 0
	}
	switch result.(type) {
	case notReached:
		ended.notSent = true
	case unknown:
		exchange.mayHaveRun = true
	}
}

// sent returns the names of the targets of those attempts in which the target may have
// received the request, in their order.
func (exchange *exchange) sent() []string {
	var names []string
	for _, attempt := range exchange.attempts {
		if !attempt.notSent {
			names = append(names, attempt.name)
		}
	}
	return names
}

// runners returns the instances of the targets that may have received the request.
func (exchange *exchange) runners() map[string]bool {
	runners := map[string]bool{}
	for _, attempt := range exchange.attempts {
		if !attempt.notSent {
			runners[attempt.to.instance] = true
		}
	}
	return runners
}

// mayReachAnother reports whether the request may be sent to one more target.
func (exchange *exchange) mayReachAnother() bool {
	return len(exchange.runners()) < exchange.route.MaxAttempts
}

// failed returns the result of an attempt that ended without a complete response, and records
// the failure.
func (attempt *attempt) failed(err error) attemptResult {
	exchange := attempt.exchange
	attempt.hold.Release()
	left := exchange.request.Context().Err() != nil
	if !left && !isOwnFault(err) {
		exchange.server.suspects.Failed(attempt.name, exchange.server.config.Now())
		exchange.server.picker.Forget(attempt.name)
	}
	exchange.server.config.Logger.Info("attempt failed",
		zap.String("id", exchange.caller.Attempt), zap.String("target", attempt.name), zap.Bool("sent", maySent(err)), zap.Bool("began", attempt.began),
		zap.Strings("parts", exchange.caller.PromptParts), zap.Strings("evidence", exchange.parts), zap.String("through", attempt.through), zap.Error(err))
	label := "broken-before-first-event"
	switch {
	case left:
		label = "caller-left"
	case !maySent(err):
		label = "not-reached"
	case errors.Is(err, errors.NotValid):
		label = "not-an-answer"
	case attempt.began:
		label = "broken"
	}
	exchange.countAttempt(label)
	if !maySent(err) {
		return notReached{reason: "target " + attempt.name + " was not reached"}
	}
	return unknown{reason: "target " + attempt.name + " gave no whole answer"}
}

// recordFailure records an answer with a status that is no success, with what tells whose it is
// and whether the request has run.
func (attempt *attempt) recordFailure(response *response, answer Answer) {
	status := response.http.StatusCode
	if status < http.StatusMultipleChoices {
		return
	}
	statement := "none"
	if answer.Refused {
		statement = "not-run"
	}
	server := attempt.exchange.server
	server.metrics.failures.WithLabelValues(strconv.Itoa(status/100)+"xx", statement).Inc()
	server.config.Logger.Info("target answered with a failure",
		zap.String("id", attempt.exchange.caller.Attempt), zap.String("target", attempt.name), zap.Int("status", status), zap.String("statement", statement),
		zap.Bool("sealed", answer.Sealed), zap.String("answer-id", answer.Attempt), zap.String("through", attempt.through),
		zap.Bool("new-connection", response.first))
}

// isOwnFault reports whether an attempt failed for a reason that is not the target's.
func isOwnFault(err error) bool {
	// An answer without room is far larger than those of other targets.
	noRoom := errors.Is(err, errNoRoom) && !maySent(err)
	return noRoom || errors.Is(err, errNoPath) || errors.Is(err, errOutOfTime) || errors.Is(err, errClosed)
}

// grow makes the attempt hold count bytes of all bodies, or returns false if the node has no
// room for them.
func (attempt *attempt) grow(ctx context.Context, count int64) bool {
	ctx, cancel := context.WithTimeout(ctx, roomWait)
	defer cancel()
	return attempt.hold.Grow(ctx, count)
}

// broken is failed for a response that broke off. It finds out whether the target has ended.
func (attempt *attempt) broken(ctx context.Context, evidence *quarantine.Attempt, err error) attemptResult {
	failure := &callError{cause: err, sent: true, outcome: outcomeOf(err)}
	attempt.checkTarget(ctx, evidence, failure)
	return attempt.failed(failure)
}

// refused returns the result of a refusal.
func (attempt *attempt) refused(response *response, answer Answer) attemptResult {
	response.discard()
	if !attempt.exchange.sentRequest(time.Time{}).has(response, answer) {
		attempt.exchange.countAttempt("not-its-own")
		return unknown{reason: "target " + attempt.name + " sent a refusal that is not its own"}
	}
	attempt.exchange.server.suspects.Failed(attempt.name, attempt.exchange.server.config.Now())
	attempt.exchange.countAttempt("refused")
	return notRun{reason: "target " + attempt.name + " refused: " + response.http.Status}
}

// A candidate is a target that a request may be sent to.
type candidate struct {
	name string

	// take takes a place of the target, if it names a limit. It returns false if another
	// request has taken the last one.
	take func() bool
	try  func() attemptResult
}

// An attemptPlan defines how a request is tried at one target after the other.
type attemptPlan struct {
	// next returns a target that is not excluded, or false if there is none.
	next func(excluded map[string]bool) (candidate, bool)

	// noTargetReason returns why next found no target.
	noTargetReason func() string

	// giveUp ends a request that no target answered.
	giveUp func(reason string)
}

// tryTargets tries targets until a response has been sent to the caller. A request that is
// not repeatable ends after the first attempt that may have run it. Other requests are
// retried within the route's MaxAttempts and the retry allowance that all nodes share.
func (exchange *exchange) tryTargets(ctx context.Context, plan attemptPlan) {
	search := newSearch(exchange, plan)
	for {
		switch step := search.next(ctx).(type) {
		case chosen:
			result := step.candidate.try()
			if _, done := result.(answered); done {
				return
			}
			search.failed(step.candidate.name, exchange.attempts[len(exchange.attempts)-1], result)
			if !search.mayRetry() || !exchange.mayReachAnother() {
				plan.giveUp(search.reason)
				return
			}
		case quarantined:
			exchange.refuse(step.reason, quarantine.RetryAfter)
			return
		case noTarget:
			plan.giveUp(step.reason)
			return
		case exhausted:
			plan.giveUp(step.reason)
			return
		default:
			panic(errors.Errorf("forward: search step %T is not handled", step))
		}
	}
}

// A search chooses the targets of a request one after the other.
type search struct {
	exchange *exchange
	plan     attemptPlan

	// excluded are the targets that were tried, unreached those of them to which this node
	// could not send anything.
	excluded  map[string]bool
	unreached map[string]bool

	// reason is why the last attempt failed.
	reason string
}

func newSearch(exchange *exchange, plan attemptPlan) *search {
	return &search{exchange: exchange, plan: plan, excluded: map[string]bool{}, unreached: map[string]bool{}}
}

// A searchStep is the result of a search for the next target: chosen, noTarget, exhausted or
// quarantined.
type searchStep interface{ searchStep() }

// chosen means that the request may be sent to the candidate now.
type chosen struct{ candidate candidate }

// noTarget means that no target takes the request now.
type noTarget struct{ reason string }

// exhausted means that the request may not be sent any more.
type exhausted struct{ reason string }

// quarantined means that a request that was not sent yet has a part in quarantine.
type quarantined struct{ reason string }

func (chosen) searchStep()      {}
func (noTarget) searchStep()    {}
func (exhausted) searchStep()   {}
func (quarantined) searchStep() {}

// next chooses the next target, and takes a retry for it if the request was sent before.
func (search *search) next(ctx context.Context) searchStep {
	exchange := search.exchange
	exchange.admission = exchange.server.config.Quarantine.Admit(exchange.parts, exchange.server.config.Now())
	sent := len(exchange.sent())
	if part := exchange.admission.Refused(); part != "" {
		reason := "part " + part + " of the request is in quarantine"
		if sent == 0 {
			return quarantined{reason: reason}
		}
		return exhausted{reason: reason}
	}
	for {
		if step := search.choose(ctx, sent); step != nil {
			return step
		}
	}
}

// choose chooses a target for a request that was sent a number of times. It returns nil if
// another request has taken the last place of the target.
func (search *search) choose(ctx context.Context, sent int) searchStep {
	exchange := search.exchange
	target, found := search.plan.next(search.excluded)
	if !found && exchange.throughNodes && len(search.unreached) > 0 {
		// All others have been tried. Another node may reach these.
		for name := range search.unreached {
			delete(search.excluded, name)
		}
		clear(search.unreached)
		target, found = search.plan.next(search.excluded)
	}
	if !found && search.reason == "" {
		return noTarget{reason: search.plan.noTargetReason()}
	}
	if !found {
		return noTarget{reason: search.reason}
	}
	if ctx.Err() != nil || !exchange.mayStillRun() {
		return exhausted{reason: "the time is over, or the key is not known to be valid; " + search.reason}
	}
	if sent > exchange.retries {
		if !exchange.server.takeRetry(exchange.service.Name) {
			return noTarget{reason: search.reason + "; no retry is left"}
		}
		exchange.retries = sent
	}
	if !target.take() {
		return nil
	}
	return chosen{candidate: target}
}

// failed records an attempt that was not answered.
func (search *search) failed(name string, attempt *attempt, result attemptResult) {
	search.exchange.end(attempt, result)
	switch result := result.(type) {
	case notReached:
		search.reason = result.reason
		if !attempt.throughNodes {
			search.unreached[name] = true
		}
	case notRun:
		search.reason = result.reason
	case unknown:
		search.reason = result.reason
	}
	search.excluded[name] = true
}

// mayRetry reports whether a request whose attempt has failed may be sent again.
func (search *search) mayRetry() bool {
	exchange := search.exchange
	return !exchange.mayHaveRun || exchange.route.Repeatable() && exchange.mayRepeat()
}

// promisesNotRun reports whether a response with this status promises callers that their request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayPassOn reports whether a target's answer with this status goes to the caller. A target that
// does not state that it has not run the request, see Answer.Refused, may have run it, so that a
// status with that promise is discarded, and the node answers for itself. A server error of a
// request that may be repeated is discarded if another target may succeed.
func (exchange *exchange) mayPassOn(status int) bool {
	if promisesNotRun(status) {
		return false
	}
	return status < http.StatusInternalServerError || !exchange.route.Repeatable() || !exchange.mayReachAnother()
}
