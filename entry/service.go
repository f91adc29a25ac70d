package entry

import (
	"context"
	"net/http"
	"time"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/service"
)

// requestHeaders lists the request headers that are forwarded to services. The
// caller's key, cookies and hop-by-hop headers are not forwarded.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "Idempotency-Key", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Traceparent", "Tracestate", "User-Agent",
	"X-Request-Id",
}

// responseHeaders lists the response headers that are forwarded to callers.
var responseHeaders = []string{
	"Allow", "Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Expires",
	"Last-Modified", "Link", "Location", "Vary",
}

// serveService serves a request to a plain service.
func (exchange *exchange) serveService(ctx context.Context, body []byte) {
	retryClass := retryClassOf(exchange.route)
	call := &serviceCall{
		exchange:   exchange,
		server:     exchange.server,
		retryClass: retryClass,
		body:       body,
		excluded:   map[string]bool{},
		result:     outcome.NotRun{Reason: "no runner can serve the request", RetryAfter: time.Second},
		parts: []string{quarantine.RequestPart(exchange.workspace.Name, exchange.request.Method, exchange.request.Host,
			exchange.request.URL.RequestURI(), nil, body)},
	}
	if retryClass != outcome.RunOnce {
		exchange.respondService(call.run(ctx))
		return
	}
	// The request continues when the caller disconnects: it must not be repeated,
	// and a cancelled request may have run without its answer being received.
	onceCtx, cancel := exchange.server.requests.Context(context.WithoutCancel(ctx), time.Until(exchange.deadline))
	defer cancel()
	if key := exchange.request.Header.Get(headerIdempotencyKey); key != "" {
		exchange.serveBooking(onceCtx, key, call)
		return
	}
	exchange.respondService(call.run(onceCtx))
}

// respondService forwards a service's answer to the caller, or responds with the
// error status of an outcome that is not complete.
func (exchange *exchange) respondService(result service.Result, decided outcome.Outcome) {
	if !outcome.IsComplete(decided) {
		exchange.respondOutcome(decided)
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

// A serviceCall sends one request to a service. It repeats attempts as far as
// the request's retry class allows.
type serviceCall struct {
	exchange   *exchange
	server     *Server
	retryClass outcome.RetryClass
	body       []byte
	excluded   map[string]bool
	result     outcome.Outcome

	// parts identify the request for package quarantine. admission is the decision on
	// them for the next attempt.
	parts     []string
	admission quarantine.Admission

	// attempts is the number of attempts. replaced is true if the latest one was given up for
	// another runner; its retry has been taken from the budget then.
	attempts int
	replaced bool

	// maySend is called immediately before each attempt and reports whether the
	// attempt may be sent. Nil allows all attempts.
	maySend func() bool
}

// run makes the attempts. It returns the result of the last one and the
// request's outcome.
func (call *serviceCall) run(ctx context.Context) (service.Result, outcome.Outcome) {
	for call.attempts < call.server.config.MaxAttempts {
		call.attempts++
		call.admission = call.server.config.Quarantine.Admit(call.parts, call.server.config.Now())
		if call.admission.Refused() != "" {
			refused := outcome.NotRun{Reason: "the request is in quarantine", RetryAfter: quarantine.RetryAfter}
			return service.Result{}, outcome.Combine(call.result, refused)
		}
		target, found := call.pick(ctx)
		if !found {
			return service.Result{}, call.result
		}
		if !call.exchange.endsInGrace() {
			return service.Result{}, outcome.Combine(call.result, refusedByStop())
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
		if ctx.Err() != nil || !outcome.MayRetry(call.retryClass, call.result) {
			return result, call.result
		}
		if !call.replaced && !call.takeRetry() {
			return result, call.result
		}
	}
	return service.Result{}, call.result
}

// pick returns a runner. If there is none, it waits for one only before the
// first attempt, because the runners that were tried stay excluded.
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
	finish := call.server.tracker.Start(target.Address, started)
	defer func() { finish(call.server.config.Now()) }()
	attemptCtx, cancelAttempt := context.WithCancel(ctx)
	defer cancelAttempt()
	watchCtx, endWatch := context.WithCancel(attemptCtx)
	defer endWatch()
	replaced := make(chan bool, 1)
	go call.watchAttempt(watchCtx, target, cancelAttempt, replaced)
	tracked := call.server.config.Quarantine.Begin(target.ID(), call.parts, call.admission, cancelAttempt)
	defer tracked.Close()
	result := call.server.services.Do(attemptCtx, service.Request{
		Attempt: newAttemptID(),
		Address: target.Address,
		Method:  call.exchange.request.Method,
		URI:     call.exchange.request.URL.RequestURI(),
		Header:  call.requestHeader(),
		Body:    call.body,
		Once:    call.retryClass == outcome.RunOnce,
	})
	endWatch()
	call.replaced = <-replaced
	decided := result.Attempt.Outcome()
	_, mayHaveRun := decided.(outcome.Unknown)
	switch {
	case result.Status != 0:
		tracked.Completed(call.server.config.Now())
	case mayHaveRun && attemptCtx.Err() == nil && call.server.config.Publisher.Current().ServiceOpen(target.ID()) && tracked.Broken(call.server.config.Now()):
		// The end of a runner that takes no new requests is no evidence against this one.
		call.server.config.Quarantine.TargetProbed(target.ID(), !httpsend.Accepts(ctx, target.Address))
	}
	call.server.metrics.attempts.WithLabelValues("service", decided.String()).Inc()
	conclusive := ctx.Err() == nil || call.server.config.Now().Sub(started) >= call.server.config.AttemptTimeout
	call.recordResult(target, decided, conclusive)
	return result
}

// takeRetry reports whether the request may be sent to another runner after its latest
// attempt, and takes the retry from the budget.
func (call *serviceCall) takeRetry() bool {
	if call.admission.Probe() || !call.server.config.Quarantine.MayRetry(call.parts, call.server.config.Now()) {
		return false
	}
	return call.server.mayRetry(call.exchange.workspace.Name)
}

// watchAttempt gives up an attempt that has not ended after the attempt timeout, as soon as
// another runner can take the request: a slow runner still answers a request that cannot be
// sent elsewhere. It sends to replaced whether it did so, at the end of the context or before.
func (call *serviceCall) watchAttempt(ctx context.Context, target route.ServiceTarget, giveUp func(), replaced chan<- bool) {
	if call.retryClass == outcome.RunOnce || call.attempts >= call.server.config.MaxAttempts {
		replaced <- false
		return
	}
	ticker := time.NewTicker(call.server.config.AttemptTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			replaced <- false
			return
		case <-ticker.C:
		}
		if ctx.Err() == nil && call.hasOther(target) && call.takeRetry() {
			giveUp()
			replaced <- true
			return
		}
	}
}

// hasOther reports whether a runner that is not excluded could take the request instead of
// the target.
func (call *serviceCall) hasOther(target route.ServiceTarget) bool {
	now := call.server.config.Now()
	for _, other := range call.server.config.Publisher.Current().Services(call.exchange.route.Service) {
		if other.Open && other.Address != target.Address && !call.excluded[other.Address] && !call.server.suspects.Avoided(other.Address, now) {
			return true
		}
	}
	return false
}

// recordResult records a success or a failure of the runner in the suspects. An
// attempt that failed is not conclusive if the request ended before the attempt
// timeout: the runner may not have had enough time to answer.
func (call *serviceCall) recordResult(target route.ServiceTarget, decided outcome.Outcome, conclusive bool) {
	switch {
	case outcome.IsComplete(decided):
		call.server.suspects.Succeeded(target.Address)
	case conclusive:
		call.server.suspects.Failed(target.Address, call.server.config.Now())
	}
}

func (call *serviceCall) requestHeader() http.Header {
	header := http.Header{}
	for _, name := range requestHeaders {
		if values, found := call.exchange.request.Header[name]; found {
			header[name] = values
		}
	}
	return header
}
