package entry

import (
	"context"
	"net/http"
	"time"

	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/service"
)

// requestHeaders are passed to services. The caller's key and cookies, and
// headers that concern one connection, are not.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "Idempotency-Key", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Traceparent", "Tracestate", "User-Agent",
	"X-Request-Id",
}

// responseHeaders are passed to callers.
var responseHeaders = []string{
	"Allow", "Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Expires",
	"Last-Modified", "Link", "Location", "Vary",
}

// serveService answers a request to a plain service.
func (exchange *exchange) serveService(ctx context.Context, body []byte) {
	nature := natureOf(exchange.route)
	call := &serviceCall{
		exchange: exchange,
		server:   exchange.server,
		nature:   nature,
		body:     body,
		excluded: map[string]bool{},
		result:   outcome.NotRun{Reason: "no runner can serve the request", RetryAfter: time.Second},
	}
	if nature != outcome.RunOnce {
		exchange.answerService(call.run(ctx))
		return
	}
	// The caller's departure does not end a request that must not be repeated:
	// its answer would be lost although it ran.
	onceCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), exchange.deadline)
	defer cancel()
	if key := exchange.request.Header.Get(headerIdempotencyKey); key != "" {
		exchange.serveBooking(onceCtx, key, call)
		return
	}
	exchange.answerService(call.run(onceCtx))
}

// answerService passes a service's answer on.
func (exchange *exchange) answerService(result service.Result, decided outcome.Outcome) {
	if !outcome.IsComplete(decided) {
		exchange.report(decided)
		return
	}
	header := exchange.writer.Header()
	for _, name := range responseHeaders {
		if values, found := result.Header[name]; found {
			header[name] = values
		}
	}
	if exchange.request.Method == http.MethodHead {
		if length := result.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	}
	exchange.respond(result.Status, decided, "", result.Body)
}

// A serviceCall brings one request to a service, over as many attempts as its
// nature allows.
type serviceCall struct {
	exchange *exchange
	server   *Server
	nature   outcome.Nature
	body     []byte
	excluded map[string]bool
	result   outcome.Outcome

	// maySend is asked right before each attempt; nil allows all.
	maySend func() bool
}

// run returns the last attempt's result and the request's outcome.
func (call *serviceCall) run(ctx context.Context) (service.Result, outcome.Outcome) {
	for attempts := 0; attempts < call.server.config.MaxAttempts; attempts++ {
		target, found := call.pick(ctx)
		if !found {
			return service.Result{}, call.result
		}
		if call.maySend != nil && !call.maySend() {
			return service.Result{}, outcome.Combine(call.result, outcome.NotRun{Reason: "claim expired before it was sent under"})
		}
		result := call.attempt(ctx, target)
		decided := result.Attempt.Outcome()
		call.result = outcome.Combine(call.result, decided)
		if outcome.IsComplete(decided) {
			return result, decided
		}
		call.excluded[target.Address] = true
		if ctx.Err() != nil || !outcome.MayRetry(call.nature, call.result) {
			return result, call.result
		}
		if !call.server.mayRetry(call.exchange.workspace.Name) {
			return result, call.result
		}
	}
	return service.Result{}, call.result
}

// pick returns a runner. It waits for one only before the first attempt: a
// runner that was tried does not become usable by waiting.
func (call *serviceCall) pick(ctx context.Context) (route.ServiceTarget, bool) {
	waitCtx, cancel := context.WithTimeout(ctx, call.server.config.TargetWait)
	defer cancel()
	for {
		changed := call.server.config.Publisher.Changed()
		table := call.server.config.Publisher.Current()
		target, found := call.server.picker.PickService(table, call.exchange.route.Service, call.excluded, call.server.config.Now())
		if found || len(call.excluded) > 0 {
			return target, found
		}
		select {
		case <-waitCtx.Done():
			return route.ServiceTarget{}, false
		case <-changed:
		}
	}
}

func (call *serviceCall) attempt(ctx context.Context, target route.ServiceTarget) service.Result {
	started := call.server.config.Now()
	ended := call.server.tracker.Start(target.Address, started)
	defer func() { ended(call.server.config.Now()) }()
	attemptCtx := ctx
	if call.nature != outcome.RunOnce {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, call.server.config.AttemptTimeout)
		defer cancel()
	}
	result := call.server.services.Do(attemptCtx, service.Request{
		Attempt: newAttemptID(),
		Address: target.Address,
		Method:  call.exchange.request.Method,
		URI:     call.exchange.request.URL.RequestURI(),
		Header:  call.header(),
		Body:    call.body,
		Once:    call.nature == outcome.RunOnce,
	})
	decided := result.Attempt.Outcome()
	call.server.metrics.attempts.WithLabelValues("service", decided.String()).Inc()
	patient := ctx.Err() == nil || call.server.config.Now().Sub(started) >= call.server.config.AttemptTimeout
	call.judge(target, decided, patient)
	return result
}

// judge tells the suspects how the attempt went. The end of an impatient
// caller's request says nothing about the runner.
func (call *serviceCall) judge(target route.ServiceTarget, decided outcome.Outcome, patient bool) {
	switch {
	case outcome.IsComplete(decided):
		call.server.suspects.Succeeded(target.Address)
	case patient:
		call.server.suspects.Failed(target.Address, call.server.config.Now())
	}
}

func (call *serviceCall) header() http.Header {
	header := http.Header{}
	for _, name := range requestHeaders {
		if values, found := call.exchange.request.Header[name]; found {
			header[name] = values
		}
	}
	return header
}
