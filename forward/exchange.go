package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// retrySoon is the wait before a request that met a node which is starting,
	// stopping or cut off comes back, to another node.
	retrySoon = 100 * time.Millisecond

	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second

	// defaultWait bounds a request where neither caller nor route names a time.
	defaultWait = 30 * time.Second

	// defaultBodyBytes bounds a request's body where the configuration names no
	// bound.
	defaultBodyBytes = 1 << 20

	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 8 << 20
)

// An exchange is one caller's request and its answer.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	started time.Time

	demand    Demand
	route     catalog.Route
	service   catalog.Service
	workspace catalog.Workspace
	table     *route.Table
	body      []byte

	// deadline is when the caller or the route's timeout ends the request.
	deadline time.Time

	// attempts are the targets that may have seen the request.
	attempts []string

	// unknown says that the request may have run.
	unknown bool
	firstAt time.Duration

	// predicted is the forecast of the time to the first event at the group that
	// was chosen, and load the requests that it was taken to have.
	predicted time.Duration
	load      int

	// pause is the longest time between two events that the caller saw.
	pause time.Duration

	// age is how long ago the configuration was known to be the newest when the
	// request arrived.
	age time.Duration
}

func newExchange(server *Server, writer http.ResponseWriter, request *http.Request) *exchange {
	return &exchange{
		server:  server,
		writer:  writer,
		request: request,
		control: http.NewResponseController(writer),
		started: server.config.Now(),
	}
}

func (exchange *exchange) serve() {
	exchange.table = exchange.server.config.Publisher.Current()
	current := exchange.table.Catalog()
	if current == nil {
		exchange.refuse("no configuration is known", retrySoon)
		return
	}
	demand, err := exchange.server.config.Codec.Demand(exchange.request.Header)
	if err != nil {
		exchange.fail(http.StatusBadRequest, err.Error())
		return
	}
	exchange.demand = demand
	if !exchange.accept(current) || !exchange.readBody(current.Limits().MaxBodyBytes) {
		return
	}
	wait := exchange.route.Timeout
	if demand.Deadline > 0 && (wait == 0 || demand.Deadline < wait) {
		wait = demand.Deadline
	}
	if wait <= 0 {
		wait = defaultWait
	}
	exchange.deadline = exchange.started.Add(wait)
	ctx, cancel := context.WithTimeout(exchange.request.Context(), exchange.left())
	defer cancel()
	exchange.server.countRequest(exchange.service.Name)
	if exchange.service.Engine != nil {
		exchange.serveStream(ctx)
		return
	}
	exchange.serveWhole(ctx)
}

// left returns the time until the deadline.
func (exchange *exchange) left() time.Duration {
	return exchange.deadline.Sub(exchange.server.config.Now())
}

// accept finds route, service and workspace, or answers.
func (exchange *exchange) accept(current *catalog.Catalog) bool {
	exchange.age = exchange.started.Sub(exchange.server.config.Confirmed())
	fresh := exchange.age < exchange.server.config.FreshFor
	matched, found := current.Match(hostOf(exchange.request.Host), pathOf(exchange.request.RequestURI))
	if !found {
		if !fresh {
			exchange.refuse("configuration is not known to be the newest", retrySoon)
			return false
		}
		exchange.fail(http.StatusNotFound, "no route")
		return false
	}
	exchange.route = matched
	service, found := current.Service(matched.Choose(exchange.server.draw()))
	if !found {
		exchange.refuse("service of the route is not configured", retrySoon)
		return false
	}
	exchange.service = service
	if !current.RequiresKey() || matched.Public {
		return true
	}
	if !fresh {
		exchange.refuse("keys are not known to be valid", retrySoon)
		return false
	}
	workspace, known := current.Workspace(exchange.demand.Key)
	if !known {
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

// readBody reads the whole body, or answers that it is too large.
func (exchange *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(exchange.writer, exchange.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		exchange.fail(http.StatusRequestEntityTooLarge, "body is over its bound")
		return false
	case err != nil:
		exchange.fail(http.StatusBadRequest, "body is not complete")
		return false
	}
	exchange.body = body
	return true
}

// call returns the request for one target. The deadline is read from the clock
// right before it, because the node may have been suspended.
func (exchange *exchange) call(target, address, resumeAfter string) call {
	outgoing := exchange.server.config.Codec.Outgoing(exchange.request.Header, Send{
		Target:      target,
		Workspace:   exchange.workspace.Name,
		Deadline:    exchange.left(),
		ResumeAfter: resumeAfter,
		Urgency:     exchange.urgency(),
	})
	return call{
		address: address,
		target:  target,
		method:  exchange.request.Method,
		uri:     exchange.request.RequestURI,
		host:    exchange.request.Host,
		header:  outgoing,
		body:    exchange.body,
		fresh:   !exchange.route.Repeatable(),
	}
}

// mayStillRun reports whether the request may be sent now: the configuration
// that allowed it must still be known to be the newest.
func (exchange *exchange) mayStillRun() bool {
	if exchange.left() <= 0 {
		return false
	}
	if exchange.workspace.Name == "" {
		return true
	}
	now := exchange.server.config.Now()
	if now.Sub(exchange.server.config.Confirmed()) >= exchange.server.config.FreshFor {
		return false
	}
	current := exchange.server.config.Publisher.Current().Catalog()
	_, known := current.Workspace(exchange.demand.Key)
	return known
}

func (exchange *exchange) urgency() int {
	if exchange.workspace.Priority >= 0 {
		return exchange.workspace.Priority
	}
	return exchange.route.Priority
}

// refuse answers that the request has not run and will not run.
func (exchange *exchange) refuse(reason string, retryAfter time.Duration) {
	for name, values := range exchange.server.config.Codec.Refusal(exchange.demand.Attempt, retryAfter) {
		exchange.writer.Header()[name] = values
	}
	exchange.respond(http.StatusServiceUnavailable, []byte(reason+"\n"))
	exchange.log("not-run", http.StatusServiceUnavailable, reason)
}

// fail answers with a status of the node's own that is no promise.
func (exchange *exchange) fail(status int, reason string) {
	for name, values := range exchange.server.config.Codec.Refusal(exchange.demand.Attempt, 0) {
		exchange.writer.Header()[name] = values
	}
	exchange.respond(status, []byte(reason+"\n"))
	outcome := "unknown"
	if status < http.StatusInternalServerError {
		outcome = "rejected"
	}
	exchange.log(outcome, status, reason)
}

// failUnknown answers a request that may have run.
func (exchange *exchange) failUnknown(reason string) {
	if exchange.request.Context().Err() != nil {
		exchange.log("caller-left", 0, reason)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if exchange.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	exchange.fail(status, reason)
}

// giveUp ends a request that no target answered.
func (exchange *exchange) giveUp(reason string, retryAfter time.Duration) {
	if exchange.unknown || exchange.request.Context().Err() != nil {
		exchange.failUnknown(reason)
		return
	}
	exchange.refuse(reason, retryAfter)
}

func (exchange *exchange) respond(status int, body []byte) {
	header := exchange.writer.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.extendWrite()
	exchange.writer.WriteHeader(status)
	// A caller that does not take its answer has left.
	_, _ = exchange.writer.Write(body)
}

// extendWrite bounds the next write to the caller.
func (exchange *exchange) extendWrite() {
	if err := exchange.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		exchange.server.config.Logger.Warn("write to a caller is not bounded", zap.Error(err))
	}
}

// log writes the one line of the request.
func (exchange *exchange) log(outcome string, status int, reason string) {
	elapsed := exchange.server.config.Now().Sub(exchange.started)
	kind := exchange.route.Kind.String()
	exchange.server.metrics.requests.WithLabelValues(kind, outcome).Inc()
	exchange.server.metrics.duration.WithLabelValues(kind).Observe(elapsed.Seconds())
	version := uint64(0)
	if exchange.table != nil {
		version = exchange.table.Generation()
	}
	exchange.server.config.Logger.Info("request",
		zap.String("id", exchange.demand.Attempt),
		zap.String("route", exchange.route.Name),
		zap.String("workspace", exchange.workspace.Name),
		zap.String("outcome", outcome),
		zap.Int("status", status),
		zap.String("reason", reason),
		zap.Strings("targets", exchange.attempts),
		zap.Duration("elapsed", elapsed),
		zap.Duration("first", exchange.firstAt),
		zap.Duration("pause", exchange.pause),
		zap.Duration("predicted", exchange.predicted),
		zap.Int("load", exchange.load),
		zap.Uint64("generation", version),
		zap.Duration("confirmed-ago", exchange.age))
}

// copyHeader passes a target's headers to the caller.
func (exchange *exchange) copyHeader(answer *http.Response) {
	header := exchange.writer.Header()
	for name, values := range exchange.server.config.Codec.Incoming(answer.Header) {
		header[name] = values
	}
}
