package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// maxLoadPerSlot is the number of requests per slot from which a runner counts
	// as full: one that runs and one that waits.
	maxLoadPerSlot = 2

	// runnerRetryAfter is the wait before a caller retries a request that was
	// refused because all runners of a plain service were full. It is about two
	// service times.
	runnerRetryAfter = 60 * time.Millisecond
)

// serveRunner forwards a request to a runner of a plain service.
func (exchange *exchange) serveRunner(ctx context.Context) {
	exchange.tryTargets(ctx, attemptPlan{
		next: func(excluded map[string]bool, _ bool) (candidate, bool) {
			target, found := exchange.pickRunner(excluded)
			return candidate{
				name: target.Name,
				try:  func() attemptResult { return exchange.tryRunner(ctx, target) },
			}, found
		},
		noTargetReason: func() string { return "no runner has a place" },
		giveUp:         func(reason string) { exchange.giveUp(reason, exchange.restEndsIn()+runnerRetryAfter) },
	})
}

// pickRunner returns a runner that is not full, or false. A runner is full if
// its slots and a short queue are in use.
func (exchange *exchange) pickRunner(excluded map[string]bool) (route.ServiceTarget, bool) {
	server := exchange.server
	table := server.config.Publisher.Current()
	for {
		now := server.config.Now()
		target, found := server.picker.PickService(table, exchange.service.Name, exchange.unavailable(excluded, table, now), now)
		if !found {
			return route.ServiceTarget{}, false
		}
		load := server.tracker.Load(target.Name, target.Load, time.Time{})
		if target.Slots > 0 && load >= target.Slots*maxLoadPerSlot {
			return route.ServiceTarget{}, false
		}
		if server.config.Limits.Take(target.ID(), now) {
			return target, true
		}
	}
}

// tryRunner makes one attempt at a runner.
func (exchange *exchange) tryRunner(ctx context.Context, target route.ServiceTarget) attemptResult {
	server := exchange.server
	ended := server.tracker.Start(target.Name, server.config.Now())
	defer func() { ended(server.config.Now()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	life := target.ID()
	attempt := server.config.Quarantine.Begin(life, exchange.parts, exchange.admission, func() { cancel(errQuarantined) })
	defer attempt.Close()
	sentAt := server.config.Now()
	to := destination{id: target.ID(), instance: target.Instance(), address: target.Address}
	if exchange.route.Repeatable() && len(exchange.attempts)+1 < exchange.route.MaxAttempts {
		to.cancel = cancel
	}
	response, err := exchange.send(ctx, to, exchange.remaining())
	if err != nil {
		exchange.checkTarget(ctx, attempt, life, to, err)
		return exchange.classifyFailure(target.Name, err)
	}
	exchange.recordAttempt(target.Name)
	answer := server.config.Codec.ParseAnswer(response.http.StatusCode, response.http.Header)
	observed := observedRunner(target)
	server.observeAnswer(observed, exchange.caller.Attempt, response.http, answer, sentAt)
	if answer.Refused && !exchange.isOwnRefusal(response, answer) {
		response.discard()
		return unknown{reason: "runner " + target.Name + " sent a refusal that is not its own"}
	}
	if answer.Refused {
		response.discard()
		server.suspects.Failed(target.Name, server.config.Now())
		exchange.countAttempt("refused")
		return notRun{reason: "runner " + target.Name + " refused: " + response.http.Status}
	}
	body, err := response.readAll(maxAnswerBytes)
	if err != nil {
		response.discard()
		failure := &callError{cause: err, sent: true, outcome: outcomeOf(err)}
		exchange.checkTarget(ctx, attempt, life, to, failure)
		return exchange.classifyFailure(target.Name, failure)
	}
	attempt.Completed(server.config.Now())
	if !isOwnResponse(exchange.caller.Attempt, response.http, answer) {
		response.discard()
		return unknown{reason: "runner " + target.Name + " sent an answer that is not its own"}
	}
	response.release()
	server.observeTrailer(observed, exchange.caller.Attempt, response.http)
	if exchange.shouldRetryStatus(response.http.StatusCode) {
		return unknown{reason: "runner " + target.Name + " answered " + response.http.Status}
	}
	server.suspects.Succeeded(target.Name)
	exchange.countAttempt("complete")
	exchange.copyHeader(response.http)
	exchange.respond(response.http.StatusCode, body)
	exchange.log("complete", response.http.StatusCode, "")
	return answered{}
}

// shouldRetryStatus reports whether a response with this status is discarded and
// the request retried, because another target may succeed.
func (exchange *exchange) shouldRetryStatus(status int) bool {
	return status >= http.StatusInternalServerError && exchange.route.Repeatable() &&
		len(exchange.attempts) < exchange.route.MaxAttempts
}

// isOwnResponse reports whether a response was produced by the target itself and
// for this request. Success responses must carry the target's seal.
func isOwnResponse(attempt string, response *http.Response, answer Answer) bool {
	if answer.Foreign || answer.Attempt != "" && answer.Attempt != attempt {
		return false
	}
	return answer.Sealed || response.StatusCode >= http.StatusMultipleChoices
}

// isOwnRefusal reports whether a refusal belongs to this request. A target in trouble may
// write an earlier one once more, while it runs the request: only one with the request's id
// is trusted, or one without an id if the connection has had no other request.
func (exchange *exchange) isOwnRefusal(response *response, answer Answer) bool {
	if answer.Attempt != "" {
		return answer.Attempt == exchange.caller.Attempt
	}
	// Requests that may run once have new connections also between the nodes.
	return !exchange.route.Repeatable() || !response.relayed && response.conn.opened
}

// recordAttempt records an attempt whose request the target may have received.
// It may be called more than once for an attempt: the next attempt goes to
// another target, so a repeated name belongs to the same attempt.
func (exchange *exchange) recordAttempt(target string) {
	if last := len(exchange.attempts) - 1; last >= 0 && exchange.attempts[last] == target {
		return
	}
	exchange.attempts = append(exchange.attempts, target)
}

// failureLabel returns the metric label of an attempt that ended without a complete
// response.
func (exchange *exchange) failureLabel(err error) string {
	switch {
	case exchange.request.Context().Err() != nil:
		return "caller-left"
	case !maySent(err):
		return "not-reached"
	case exchange.began:
		return "broken"
	}
	return "broken-before-first-event"
}

func (exchange *exchange) countAttempt(result string) {
	exchange.server.metrics.attempts.WithLabelValues(exchange.route.Kind.String(), result).Inc()
}

// classifyFailure returns the result of an attempt that ended without a complete
// response.
func (exchange *exchange) classifyFailure(target string, err error) attemptResult {
	if exchange.request.Context().Err() == nil && !errors.Is(err, errNoPath) && !errors.Is(err, errOutOfTime) && !errors.Is(err, errClosed) {
		exchange.server.suspects.Failed(target, exchange.server.config.Now())
	}
	exchange.server.config.Logger.Info("attempt failed",
		zap.String("id", exchange.caller.Attempt), zap.String("target", target), zap.Bool("sent", maySent(err)), zap.Bool("began", exchange.began),
		zap.Strings("parts", exchange.caller.PromptParts), zap.Strings("evidence", exchange.parts), zap.Int("attempt", len(exchange.attempts)+1), zap.Strings("through", exchange.through), zap.Error(err))
	exchange.countAttempt(exchange.failureLabel(err))
	if !maySent(err) {
		return notReached{reason: "target " + target + " was not reached"}
	}
	exchange.recordAttempt(target)
	return unknown{reason: "target " + target + " gave no whole answer"}
}
