package forward

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
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
		next: func(excluded map[string]bool) (candidate, bool) {
			target, found := exchange.pickRunner(excluded)
			return candidate{
				name: target.Name,
				take: func() bool { return exchange.server.take(target.ID()) },
				try:  func() attemptResult { return exchange.tryRunner(ctx, target) },
			}, found
		},
		noTargetReason: exchange.noRunnerReason,
		giveUp:         func(reason string) { exchange.giveUp(reason, exchange.restEndsIn()+exchange.runnerRetryDelay()) },
	})
}

// runnerRetryDelay returns the wait before a caller retries a request that no runner took. An
// evacuated runner takes none for seconds; a full one does after its next answer.
func (exchange *exchange) runnerRetryDelay() time.Duration {
	server := exchange.server
	table := server.config.Publisher.Current()
	targets := table.Services(exchange.service.Name)
	open := func(target route.ServiceTarget) bool {
		return !table.Evacuated(target.FailureDomain, server.config.Now())
	}
	if len(targets) == 0 || slices.ContainsFunc(targets, open) {
		return runnerRetryAfter
	}
	return limit.RetryDelay(exchange.remaining(), server.randomFraction())
}

// pickRunner returns a runner that is not full, or false.
func (exchange *exchange) pickRunner(excluded map[string]bool) (route.ServiceTarget, bool) {
	server := exchange.server
	table := server.config.Publisher.Current()
	now := server.config.Now()
	placed := exchange.placeRunner(excluded, table, now)
	if placed.Found {
		server.picker.MarkChosen(placed.Target.ID(), now)
	}
	return placed.Target, placed.Found
}

// placeRunner decides on a runner that is not full.
func (exchange *exchange) placeRunner(excluded map[string]bool, table *route.Table, now time.Time) route.ServicePlacement {
	server := exchange.server
	unavailable := exchange.unavailable(excluded, table, now)
	if slices.ContainsFunc(table.Services(exchange.service.Name), func(target route.ServiceTarget) bool { return server.isFull(target, now) }) {
		unavailable = maps.Clone(unavailable)
		for _, target := range table.Services(exchange.service.Name) {
			if server.isFull(target, now) {
				unavailable[target.ID()] = true
			}
		}
	}
	return server.picker.PlaceService(table, route.ServiceRequest{Service: exchange.service.Name, Excluded: unavailable, Reasons: exchange.explained}, now)
}

// isFull reports whether the slots and the short queue of a runner are in use.
func (server *Server) isFull(target route.ServiceTarget, now time.Time) bool {
	return target.Slots > 0 && server.tracker.Load(target.ID(), target.Load, time.Time{}, now) >= target.Slots*maxLoadPerSlot
}

// noRunnerReason describes why no runner of the service was chosen.
func (exchange *exchange) noRunnerReason() string {
	server := exchange.server
	now := server.config.Now()
	open, full, limited, resting := 0, 0, 0, 0
	for _, target := range server.config.Publisher.Current().Services(exchange.service.Name) {
		if !target.Open {
			continue
		}
		open++
		_, closed := server.closures.Closed(target.Instance(), now)
		switch {
		case closed:
			resting++
		case server.full(target.ID(), now):
			limited++
		case server.isFull(target, now):
			full++
		}
	}
	return fmt.Sprintf("no runner has a place: %d open, %d full, %d at their limit, %d resting", open, full, limited, resting)
}

// tryRunner makes one attempt at a runner.
func (exchange *exchange) tryRunner(ctx context.Context, target route.ServiceTarget) attemptResult {
	server := exchange.server
	ended := server.tracker.Start(target.ID(), server.config.Now())
	defer func() { ended(server.config.Now()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	to := destination{id: target.ID(), instance: target.Instance(), address: target.Address, failureDomain: target.FailureDomain, resumeAfter: exchange.caller.ResumeAfter}
	attempt := exchange.begin(target.Name, target.ID(), to)
	evidence := server.config.Quarantine.Begin(attempt.life, exchange.parts, attempt.admission, func() { cancel(errQuarantined) })
	defer evidence.Close()
	sentAt := server.config.Now()
	if exchange.route.Repeatable() && exchange.mayReachAnother() {
		attempt.to.silent = func() {
			if exchange.hasOtherRunner() {
				cancel(errPathLost)
			}
		}
	}
	response, err := attempt.send(ctx, exchange.remaining())
	if err != nil {
		attempt.checkTarget(ctx, evidence, err)
		return attempt.failed(err)
	}
	observed := observedRunner(target)
	answer := server.parseAnswer(observed, exchange.sentRequest(sentAt), response)
	attempt.recordFailure(response, answer)
	if answer.Refused {
		return attempt.refused(response, answer)
	}
	if !isOwnResponse(exchange.sentRequest(sentAt), response, answer) {
		response.discard()
		exchange.countAttempt("not-its-own")
		return unknown{reason: "runner " + target.Name + " sent an answer that is not its own"}
	}
	body, err := response.readAll(maxAnswerBytes)
	if err != nil {
		response.discard()
		return attempt.broken(ctx, evidence, err)
	}
	evidence.Completed(server.config.Now())
	response.release()
	server.observeTrailer(observed, exchange.caller.Attempt, response.http)
	if !exchange.mayPassOn(response.http.StatusCode) {
		exchange.countAttempt("failed")
		return unknown{reason: "runner " + target.Name + " answered " + response.http.Status}
	}
	server.suspects.Succeeded(target.Name)
	exchange.countAttempt("complete")
	exchange.copyHeader(response.http)
	exchange.respond(response.http.StatusCode, body)
	exchange.log("complete", response.http.StatusCode, "")
	return answered{}
}

// hasOtherRunner reports whether a runner that has not received the request is open to it.
func (exchange *exchange) hasOtherRunner() bool {
	tried := exchange.runners()
	table := exchange.server.config.Publisher.Current()
	return slices.ContainsFunc(table.Services(exchange.service.Name), func(target route.ServiceTarget) bool {
		return target.Open && !tried[target.Instance()]
	})
}

// A sentRequest is what an answer is compared with.
type sentRequest struct {
	// attempt is the id of the request, and at when it was sent.
	attempt string
	at      time.Time

	// once is true for a request that may run once. It is sent on a new connection, also by
	// another node.
	once bool
}

func (exchange *exchange) sentRequest(at time.Time) sentRequest {
	return sentRequest{attempt: exchange.caller.Attempt, at: at, once: !exchange.route.Repeatable()}
}

// has reports whether an answer belongs to the request. A target in trouble may send bytes after
// a complete answer, and these arrive in place of the answer to the next request on the
// connection. The id tells them apart. Without one an answer belongs to the request only if the
// connection has had no other.
func (sent sentRequest) has(response *response, answer Answer) bool {
	if answer.Attempt != "" {
		return answer.Attempt == sent.attempt
	}
	return sent.once || response.first
}

// isOwnResponse reports whether a response was produced by the target itself and for this
// request. A success must carry the target's seal, a failure the seal or the request's id: a
// server that is no target, at an address that was used again, has neither.
func isOwnResponse(sent sentRequest, response *response, answer Answer) bool {
	if answer.Foreign || !sent.has(response, answer) {
		return false
	}
	return answer.Sealed || answer.Attempt != "" && response.http.StatusCode >= http.StatusMultipleChoices
}

func (exchange *exchange) countAttempt(result string) {
	exchange.server.metrics.attempts.WithLabelValues(exchange.route.Kind.String(), result).Inc()
}
