package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// shortRetryAfter is the wait before a caller retries a request that was
	// refused because this node is starting, stopping or disconnected. It is
	// short because the retry goes to another node.
	shortRetryAfter = 100 * time.Millisecond

	// callerWriteTimeout bounds one write to a caller that does not read.
	callerWriteTimeout = 5 * time.Second

	// defaultTimeout bounds a request if neither its headers nor its route set a
	// deadline.
	defaultTimeout = 30 * time.Second

	// defaultBodyBytes bounds the body of a request if the configuration sets no
	// bound.
	defaultBodyBytes = 1 << 20

	// maxAnswerBytes bounds the body of a response that is read whole.
	maxAnswerBytes = 8 << 20
)

// An exchange is one request of a caller and its response.
type exchange struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	control    *http.ResponseController
	receivedAt time.Time

	// draw decides by chance where the request goes, see limit.Spread. It stays the same, so
	// that asking again and again does not raise the chance to be sent.
	draw float64

	// withoutRoom is true if groups are in time but have no room for this one of the expected
	// requests.
	withoutRoom bool

	caller  CallerHeaders
	route   catalog.Route
	service catalog.Service

	// workspace has neither name nor priority if the request needs no key.
	workspace catalog.Workspace
	table     *route.Table
	body      []byte

	// hold is what the body holds of the bytes of all bodies.
	hold *limit.Hold

	// deadline follows from the shorter of the caller's deadline and the route's
	// timeout, or from defaultTimeout if there is neither.
	deadline time.Time

	// attempts are all attempts in their order.
	attempts []*attempt

	// retries is the number of attempts for which a retry was taken from the allowance.
	retries int

	// throughNodes is true after a connection to a target could not be established: later
	// attempts go through other nodes, in case that this one does not reach the targets.
	// through are the nodes that have sent the request.
	throughNodes bool
	through      []string

	// parts are the whole request and those parts of the prompt that other requests may
	// have too. admission is the decision on them for the next attempt.
	parts     []string
	admission quarantine.Admission

	// mayHaveRun is true if a target may have run the request.
	mayHaveRun      bool
	firstEventAfter time.Duration

	// predicted is the predicted time to the first event at the chosen group, and
	// load the number of requests that the prediction assumes there.
	predicted time.Duration
	load      int

	// explained is true for a request that is not sent: its placement has reasons.
	explained bool

	// longestPause is the longest time between two events sent to the caller.
	longestPause time.Duration

	// configAge is the time between the last confirmation that the configuration
	// is the newest and the arrival of the request.
	configAge time.Duration
}

func newExchange(server *Server, writer http.ResponseWriter, request *http.Request) *exchange {
	return &exchange{
		server:     server,
		writer:     writer,
		request:    request,
		control:    http.NewResponseController(writer),
		receivedAt: server.config.Now(),
		draw:       server.randomFraction(),
		workspace:  catalog.Workspace{Priority: -1},
		hold:       server.bodies.Hold("caller " + request.RemoteAddr),
	}
}

func (exchange *exchange) serve() {
	exchange.table = exchange.server.config.Publisher.Current()
	current := exchange.table.Catalog()
	if current == nil {
		exchange.refuse("no configuration is known", shortRetryAfter)
		return
	}
	caller, err := exchange.server.config.Codec.ParseRequest(exchange.request.Header)
	if err != nil {
		exchange.fail(http.StatusBadRequest, err.Error())
		return
	}
	exchange.caller = caller
	if !exchange.resolve(current) {
		return
	}
	wait := exchange.route.Timeout
	if caller.Deadline > 0 && (wait == 0 || caller.Deadline < wait) {
		wait = caller.Deadline
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	exchange.deadline = exchange.receivedAt.Add(wait)
	defer exchange.releaseHolds()
	if !exchange.readBody(current.Limits().MaxBodyBytes) {
		return
	}
	if !exchange.endsInGrace() {
		exchange.refuse("node is stopping and may end before the request does", shortRetryAfter)
		return
	}
	ctx, cancel := exchange.server.requests.Context(exchange.request.Context(), exchange.remaining())
	defer cancel()
	exchange.server.countRequest(exchange.service.Name)
	whole := quarantine.RequestPart(caller.Key, exchange.request.Method, exchange.request.Host, exchange.request.RequestURI, caller.PromptParts, exchange.body)
	exchange.parts = []string{whole}
	if exchange.service.Engine != nil {
		exchange.parts = append(exchange.parts, caller.PromptParts[:max(0, len(caller.PromptParts)-1)]...)
	}
	exchange.forward(ctx)
}

// forward sends the request to a target of its service. The service says what its targets are,
// and the route whether the answer is a stream: docs/design.md has a table of all pairs.
func (exchange *exchange) forward(ctx context.Context) {
	if exchange.service.Engine == nil && !exchange.streams() {
		exchange.serveRunner(ctx)
		return
	}
	exchange.serveDelivery(ctx)
}

// remaining returns the time until the deadline, or until the end of a planned stop.
func (exchange *exchange) remaining() time.Duration {
	return exchange.server.requests.Remaining(exchange.deadline)
}

// endsInGrace reports whether the request may be sent to a target although the node is
// stopping.
func (exchange *exchange) endsInGrace() bool {
	// How long a stream of a plain service lasts is not known.
	lengthKnown := !exchange.streams() || exchange.service.Engine != nil
	return exchange.server.requests.Allows(exchange.deadline, exchange.route.Repeatable() && lengthKnown, exchange.expectedTime())
}

// expectedTime returns the time that a target with a short queue needs for the request.
func (exchange *exchange) expectedTime() time.Duration {
	expected := exchange.route.Objective
	if exchange.service.Engine != nil {
		pace := exchange.pace()
		expected += time.Duration(pace.Events) * pace.Pass
	}
	return expected
}

// resolve sets the route, service and workspace of the request. If it cannot, it
// sends an error response and returns false.
func (exchange *exchange) resolve(current *catalog.Catalog) bool {
	exchange.configAge = exchange.receivedAt.Sub(exchange.server.config.Confirmed())
	fresh := exchange.configAge < exchange.server.config.MaxConfirmedAge
	matched, found := current.Match(hostOf(exchange.request.Host), pathOf(exchange.request.RequestURI))
	if !found {
		if !fresh {
			exchange.refuse("configuration is not known to be the newest", shortRetryAfter)
			return false
		}
		exchange.fail(http.StatusNotFound, "no route")
		return false
	}
	exchange.route = matched
	service, found := current.Service(matched.Choose(exchange.server.randomFraction()))
	if !found {
		exchange.refuse("service of the route is not configured", shortRetryAfter)
		return false
	}
	exchange.service = service
	if !current.RequiresKey(matched) {
		return true
	}
	if !fresh {
		exchange.refuse("keys are not known to be valid", shortRetryAfter)
		return false
	}
	workspace, found := current.Workspace(exchange.caller.Key)
	if !found {
		exchange.fail(http.StatusUnauthorized, "unknown key")
		return false
	}
	exchange.workspace = workspace
	return true
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// readBody reads the body of the request to its end. If it cannot, or the body
// is larger than bound, it sends an error response and returns false.
func (exchange *exchange) readBody(bound int64) bool {
	if bound <= 0 {
		bound = defaultBodyBytes
	}
	length := exchange.request.ContentLength
	// A caller that sends more than the bound is not read to the end.
	body := http.MaxBytesReader(exchange.writer, exchange.request.Body, bound)
	if length > bound {
		exchange.fail(http.StatusRequestEntityTooLarge, "body is over its bound")
		return false
	}
	if length > freeBytes && !exchange.grow(length) {
		exchange.refuse(errNoRoom.Error(), shortRetryAfter)
		return false
	}
	if length != 0 {
		// A body that does not arrive must not keep the room from others.
		_ = exchange.control.SetReadDeadline(time.Now().Add(exchange.remaining()))
	}
	stop := exchange.server.requests.OnEnd(func() { _ = exchange.control.SetReadDeadline(time.Now()) })
	received, err := httpserve.ReadWhole(body, length, bound, exchange.grow)
	stop()
	if length != 0 && err == nil {
		_ = exchange.control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, httpserve.ErrBodyStalled), err != nil && exchange.remaining() <= 0 && !exchange.server.requests.Ended():
		exchange.fail(http.StatusRequestTimeout, "body did not arrive in time")
		return false
	case errors.Is(err, errNoRoom):
		exchange.refuse(errNoRoom.Error(), shortRetryAfter)
		return false
	case err != nil && exchange.server.requests.Ended():
		exchange.refuse("node is stopping", shortRetryAfter)
		return false
	case errors.As(err, &large):
		exchange.fail(http.StatusRequestEntityTooLarge, "body is over its bound")
		return false
	case err != nil:
		exchange.fail(http.StatusBadRequest, "body is not complete")
		return false
	}
	exchange.body = received
	return true
}

// grow makes the body hold count bytes of all bodies, or returns false if the node has no room
// for them.
func (exchange *exchange) grow(count int64) bool {
	return httpserve.GrowBody(exchange.request, exchange.hold, count, min(roomWait, exchange.remaining()))
}

// releaseHolds releases what the bodies of the request and of its answers hold.
func (exchange *exchange) releaseHolds() {
	exchange.hold.Release()
	for _, attempt := range exchange.attempts {
		attempt.hold.Release()
	}
}

// mayRepeat reports whether the parts allow a request that may have ended
// its target to be sent to another one.
func (exchange *exchange) mayRepeat() bool {
	return !exchange.admission.Probe() && exchange.server.config.Quarantine.MayRetry(exchange.parts, exchange.server.config.Now())
}

// mayStillRun reports whether the request may still be sent to a target: its
// deadline lies ahead, and if the configuration in force requires a key, the request
// has the key of its workspace there and the configuration was recently confirmed to
// be the newest. One that may run only once must also end in the grace of a stopping
// node.
func (exchange *exchange) mayStillRun() bool {
	if exchange.remaining() <= 0 || !exchange.route.Repeatable() && !exchange.endsInGrace() {
		return false
	}
	current := exchange.server.config.Publisher.Current().Catalog()
	if !current.RequiresKey(exchange.route) {
		return true
	}
	now := exchange.server.config.Now()
	if now.Sub(exchange.server.config.Confirmed()) >= exchange.server.config.MaxConfirmedAge {
		return false
	}
	workspace, found := current.Workspace(exchange.caller.Key)
	return found && workspace.Name == exchange.workspace.Name
}

func (exchange *exchange) urgency() int {
	if exchange.workspace.Priority >= 0 {
		return exchange.workspace.Priority
	}
	return exchange.route.Priority
}

// refuse sends a refusal: the request has not run and will not run.
func (exchange *exchange) refuse(reason string, retryAfter time.Duration) {
	for name, values := range exchange.server.config.Codec.Refusal(exchange.caller.Attempt, retryAfter) {
		exchange.writer.Header()[name] = values
	}
	exchange.respond(http.StatusServiceUnavailable, []byte(reason+"\n"))
	exchange.log("not-run", http.StatusServiceUnavailable, reason)
}

// fail sends an error response of the node itself. It does not state whether
// the request has run.
func (exchange *exchange) fail(status int, reason string) {
	for name, values := range exchange.server.config.Codec.Refusal(exchange.caller.Attempt, 0) {
		exchange.writer.Header()[name] = values
	}
	exchange.respond(status, []byte(reason+"\n"))
	outcome := "unknown"
	if status < http.StatusInternalServerError {
		outcome = "rejected"
	}
	exchange.log(outcome, status, reason)
}

// failUnknown ends a request that may have run: with 502 or 504, or, if the
// caller has disconnected, without a response.
func (exchange *exchange) failUnknown(reason string) {
	if exchange.request.Context().Err() != nil {
		exchange.log("caller-left", 0, reason)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if exchange.remaining() <= 0 {
		status = http.StatusGatewayTimeout
	}
	exchange.fail(status, reason)
}

// giveUp ends a request that no target answered.
func (exchange *exchange) giveUp(reason string, retryAfter time.Duration) {
	if exchange.mayHaveRun || exchange.request.Context().Err() != nil {
		exchange.failUnknown(reason)
		return
	}
	exchange.refuse(reason, retryAfter)
}

func (exchange *exchange) respond(status int, body []byte) {
	header := exchange.writer.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.extendWriteDeadline()
	exchange.writer.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = exchange.writer.Write(body)
}

// extendWriteDeadline sets the deadline of the next write to the caller.
func (exchange *exchange) extendWriteDeadline() {
	if err := exchange.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		exchange.server.config.Logger.Warn("setting the write deadline for the caller failed", zap.Error(err))
	}
}

// log records the end of a request: it updates the metrics and writes one log
// line. It is called once for each request.
func (exchange *exchange) log(outcome string, status int, reason string) {
	elapsed := exchange.server.config.Now().Sub(exchange.receivedAt)
	kind := exchange.route.Kind.String()
	exchange.server.metrics.requests.WithLabelValues(kind, outcome).Inc()
	exchange.server.metrics.duration.WithLabelValues(kind).Observe(elapsed.Seconds())
	version := uint64(0)
	if exchange.table != nil {
		version = exchange.table.Generation()
	}
	exchange.server.config.Logger.Info("request",
		zap.String("id", exchange.caller.Attempt),
		zap.String("route", exchange.route.Name),
		zap.String("workspace", exchange.workspace.Name),
		zap.String("outcome", outcome),
		zap.Int("status", status),
		zap.String("reason", reason),
		zap.Strings("targets", exchange.sent()),
		zap.Strings("through", exchange.through),
		zap.Duration("elapsed", elapsed),
		zap.Duration("first", exchange.firstEventAfter),
		zap.Duration("pause", exchange.longestPause),
		zap.Duration("predicted", exchange.predicted),
		zap.Int("load", exchange.load),
		zap.Uint64("generation", version),
		zap.Duration("confirmed-ago", exchange.configAge))
}

// copyHeader copies a target's response headers to the response for the caller.
func (exchange *exchange) copyHeader(answer *http.Response) {
	header := exchange.writer.Header()
	for name, values := range exchange.server.config.Codec.Incoming(answer.Header) {
		header[name] = values
	}
}
