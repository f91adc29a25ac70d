package forward

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// queueFactor is how many requests for each slot a plain runner may have
	// before requests are refused: one that runs and one that waits.
	queueFactor = 2

	// runnerRetry is the wait before a request comes back that found no place at
	// a plain service, about two of its service times.
	runnerRetry = 60 * time.Millisecond
)

// serveWhole passes a request to a plain service.
func (exchange *exchange) serveWhole(ctx context.Context) {
	exchange.run(ctx, course{
		next: func(excluded map[string]bool) (candidate, bool) {
			target, found := exchange.pickRunner(excluded)
			return candidate{
				name: target.Name,
				try:  func() verdict { return exchange.tryRunner(ctx, target) },
			}, found
		},
		none:   func() string { return "no runner has a place" },
		giveUp: func(reason string) { exchange.giveUp(reason, runnerRetry) },
	})
}

// pickRunner returns a runner with room. Runners that are over their slots and
// a short queue count as full.
func (exchange *exchange) pickRunner(excluded map[string]bool) (route.ServiceTarget, bool) {
	server := exchange.server
	table := server.config.Publisher.Current()
	now := server.config.Now()
	target, found := server.picker.PickService(table, exchange.service.Name, excluded, now)
	if !found {
		return route.ServiceTarget{}, false
	}
	load := server.tracker.Load(target.Name, target.Load, time.Time{})
	return target, target.Slots == 0 || load < target.Slots*queueFactor
}

// tryRunner makes one attempt.
func (exchange *exchange) tryRunner(ctx context.Context, target route.ServiceTarget) verdict {
	server := exchange.server
	ended := server.tracker.Start(target.Name, server.config.Now())
	defer func() { ended(server.config.Now()) }()
	response, err := server.client.do(ctx, exchange.call(target.Name, target.Address, ""), exchange.left())
	if err != nil {
		return exchange.broken(target.Name, err)
	}
	exchange.note(target.Name)
	answer := server.config.Codec.Answer(response.answer.StatusCode, response.answer.Header)
	exchange.observe(target.Name, answer)
	if answer.Refused {
		response.discard()
		server.suspects.Failed(target.Name, server.config.Now())
		return notRun{reason: "runner " + target.Name + " refused: " + response.answer.Status}
	}
	body, err := response.readAll(maxAnswerBytes)
	if err != nil {
		response.discard()
		return exchange.broken(target.Name, &callError{cause: err, sent: true})
	}
	if !exchange.trusted(response.answer, answer) {
		response.discard()
		return unknown{reason: "runner " + target.Name + " sent an answer that is not its own"}
	}
	response.finish()
	if exchange.worthRepeating(response.answer.StatusCode) {
		return unknown{reason: "runner " + target.Name + " answered " + response.answer.Status}
	}
	server.suspects.Succeeded(target.Name)
	exchange.copyHeader(response.answer)
	exchange.respond(response.answer.StatusCode, body)
	exchange.log("complete", response.answer.StatusCode, "")
	return answered{}
}

// worthRepeating reports whether a failure of the target's own is not passed on
// because another target may do better.
func (exchange *exchange) worthRepeating(status int) bool {
	return status >= http.StatusInternalServerError && exchange.route.Repeatable() &&
		len(exchange.attempts) < exchange.route.MaxAttempts
}

// trusted reports whether an answer is the target's own answer to this request.
func (exchange *exchange) trusted(response *http.Response, answer Answer) bool {
	if answer.Foreign || answer.Attempt != "" && answer.Attempt != exchange.demand.Attempt {
		return false
	}
	return answer.Sealed || response.StatusCode >= http.StatusMultipleChoices
}

func (exchange *exchange) observe(target string, answer Answer) {
	if answer.Load == nil {
		return
	}
	server := exchange.server
	server.tracker.Observe(target, answer.Load.Load, server.config.Now())
	if server.config.Told != nil {
		server.config.Told(target, answer.Load.Running+answer.Load.Queued)
	}
}

// Learn takes the load of a target that another node was told at a time.
func (server *Server) Learn(target string, load int, at time.Time) {
	server.tracker.Observe(target, group.Load{Running: load}, at)
}

// note counts an attempt that the target may have seen. The next attempt goes to
// another target, so the same name again is the same attempt.
func (exchange *exchange) note(target string) {
	if last := len(exchange.attempts) - 1; last >= 0 && exchange.attempts[last] == target {
		return
	}
	exchange.attempts = append(exchange.attempts, target)
}

// broken classifies an attempt without a whole answer.
func (exchange *exchange) broken(target string, err error) verdict {
	if exchange.request.Context().Err() == nil {
		exchange.server.suspects.Failed(target, exchange.server.config.Now())
	}
	exchange.server.config.Logger.Info("attempt failed",
		zap.String("id", exchange.demand.Attempt), zap.String("target", target), zap.Bool("sent", maySent(err)), zap.Error(err))
	if !maySent(err) {
		return notRun{reason: "target " + target + " was not reached"}
	}
	exchange.note(target)
	return unknown{reason: "target " + target + " gave no whole answer"}
}
