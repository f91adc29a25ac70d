package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/route"
)

// Request headers of callers.
const (
	headerDeadline       = "Lacewingspoke-Deadline"
	headerPriority       = "Lacewingspoke-Priority"
	headerIdempotencyKey = "Idempotency-Key"
)

// Priorities as passed to admission and to engines.
const (
	priorityLow = iota
	priorityNormal
	priorityHigh
)

// writeChunkBytes is the number of bytes of a non-streamed response that the
// caller must accept within one write timeout.
const writeChunkBytes = 64 << 10

// bodyRoomWait is how long the reading of a body pauses while the node holds as many bytes as it
// may.
const bodyRoomWait = 250 * time.Millisecond

// An exchange is one request of a caller and its response.
type exchange struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	started    time.Time

	workspace folder.Workspace
	route     folder.Route
	priority  int
	deadline  time.Time

	// hold is what the body holds of the bytes of all bodies.
	hold *limit.Hold
}

func newExchange(server *Server, writer http.ResponseWriter, request *http.Request) *exchange {
	exchange := &exchange{
		server:     server,
		writer:     writer,
		request:    request,
		controller: http.NewResponseController(writer),
		started:    server.config.Now(),
		hold:       server.bodies.Hold(request.RemoteAddr),
	}
	// Clear the write deadline that the previous request on this connection set:
	// it may have passed while the connection was idle.
	_ = exchange.controller.SetWriteDeadline(time.Time{})
	return exchange
}

// serve authenticates the caller, selects the route, and admits and serves the
// request.
func (exchange *exchange) serve() {
	table := exchange.server.config.Publisher.Current()
	if table.Folder() == nil {
		exchange.refuse(http.StatusServiceUnavailable, outcome.NotRun{Reason: "no configuration", RetryAfter: time.Second})
		return
	}
	workspace, found := findWorkspace(table.Folder(), exchange.request.Header.Get("Authorization"))
	if !found {
		exchange.writer.Header().Set("WWW-Authenticate", "Bearer")
		exchange.refuse(http.StatusUnauthorized, outcome.NotRun{Reason: "unknown key"})
		return
	}
	exchange.workspace = workspace
	if !isCleanPath(exchange.request.URL.Path) {
		exchange.refuse(http.StatusBadRequest, outcome.NotRun{Reason: "path with empty or dot segments"})
		return
	}
	target, found := findRoute(table.Folder(), workspace.Name, exchange.request.URL.Path)
	if !found {
		exchange.refuse(http.StatusNotFound, outcome.NotRun{Reason: "no route for this path"})
		return
	}
	exchange.route = target
	if err := exchange.readHeaders(); err != nil {
		exchange.refuse(http.StatusBadRequest, outcome.NotRun{Reason: err.Error()})
		return
	}
	exchange.admitAndServe(table)
}

// isCleanPath reports whether the path has no empty and no dot segments. A
// service may resolve such segments and serve the path of another route, and
// a booking could then be repeated under the rules of an idempotent route.
func isCleanPath(requested string) bool {
	return strings.TrimSuffix(requested, "/") == strings.TrimSuffix(path.Clean(requested), "/")
}

// findWorkspace returns the workspace of a bearer key. It compares the key's
// digest with the digests of all workspaces in constant time, so that the
// response time reveals nothing about them.
func findWorkspace(config *folder.Folder, authorization string) (folder.Workspace, bool) {
	key, isBearer := strings.CutPrefix(authorization, "Bearer ")
	if !isBearer || key == "" {
		return folder.Workspace{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	var match folder.Workspace
	found := false
	for _, workspace := range config.Workspaces() {
		for _, keyDigest := range workspace.KeyDigests {
			if subtle.ConstantTimeCompare(digest, []byte(keyDigest)) == 1 {
				match = workspace
				found = true
			}
		}
	}
	return match, found
}

// findRoute returns the workspace's route with the longest matching prefix.
func findRoute(config *folder.Folder, workspace, path string) (folder.Route, bool) {
	var match folder.Route
	found := false
	for _, candidate := range config.Routes() {
		if candidate.Workspace != workspace || !hasPathPrefix(path, candidate.PathPrefix) {
			continue
		}
		if !found || len(candidate.PathPrefix) > len(match.PathPrefix) {
			match = candidate
			found = true
		}
	}
	return match, found
}

// hasPathPrefix reports whether prefix covers whole segments of path.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/"))
}

func (exchange *exchange) readHeaders() error {
	priority, err := parsePriority(exchange.request.Header.Get(headerPriority))
	if err != nil {
		return err
	}
	exchange.priority = priority
	allowed, err := exchange.parseTimeout(exchange.request.Header.Get(headerDeadline))
	if err != nil {
		return err
	}
	exchange.deadline = exchange.started.Add(allowed)
	return nil
}

func parsePriority(value string) (int, error) {
	switch value {
	case "low":
		return priorityLow, nil
	case "", "normal":
		return priorityNormal, nil
	case "high":
		return priorityHigh, nil
	default:
		return 0, errors.NotValidf("header %s: %q", headerPriority, value)
	}
}

func (exchange *exchange) parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		allowed := exchange.workspace.Deadline
		setDuration(&allowed, defaultDeadline)
		return min(allowed, exchange.server.config.MaxDeadline), nil
	}
	allowed, err := time.ParseDuration(value)
	if err != nil || allowed <= 0 {
		return 0, errors.NotValidf("header %s: %q", headerDeadline, value)
	}
	return min(allowed, exchange.server.config.MaxDeadline), nil
}

// admitAndServe waits for admission, reads the body and serves the request by
// the kind of its route. The body is read after admission, so that the capacity
// bounds the memory used by bodies.
func (exchange *exchange) admitAndServe(table *route.Table) {
	ctx, cancel := exchange.server.requests.Context(exchange.request.Context(), time.Until(exchange.deadline))
	defer cancel()
	admissionID, refusal := exchange.server.admission.acquire(ctx, limit.Request{
		Workspace: exchange.workspace.Name,
		Class:     exchange.route.Name,
		Pool:      poolName(exchange.route),
		Priority:  exchange.priority,
		Deadline:  exchange.deadline,
	}, table)
	if refusal != nil {
		exchange.server.metrics.notAdmitted.WithLabelValues(string(refusal.Cause)).Inc()
		exchange.refuse(refusalStatus(refusal.Cause), outcome.NotRun{
			Reason:     "not admitted: " + string(refusal.Cause),
			RetryAfter: refusal.RetryAfter,
		})
		return
	}
	defer exchange.server.admission.release(admissionID)
	defer exchange.hold.Release()
	body, status, err := exchange.readBody()
	if err != nil {
		exchange.refuse(status, outcome.NotRun{Reason: err.Error()})
		return
	}
	if !exchange.endsInGrace() {
		exchange.refuse(http.StatusServiceUnavailable, refusedByStop())
		return
	}
	if exchange.route.Kind == folder.KindDraft {
		exchange.serveDraft(ctx, body)
		return
	}
	exchange.serveService(ctx, body)
}

// endsInGrace reports whether the request may be sent to a target although the node may be
// stopping.
func (exchange *exchange) endsInGrace() bool {
	return exchange.server.requests.Allows(exchange.deadline, retryClassOf(exchange.route) != outcome.RunOnce, 0)
}

// refusedByStop is the outcome of a request that was not sent because the node is stopping.
func refusedByStop() outcome.NotRun {
	return outcome.NotRun{Reason: "node is stopping and may end before the request does", RetryAfter: time.Second}
}

func refusalStatus(cause limit.RefuseCause) int {
	if cause == limit.RefuseQueue {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (exchange *exchange) readBody() ([]byte, int, error) {
	config := exchange.server.config
	_ = exchange.controller.SetReadDeadline(time.Now().Add(config.BodyTimeout))
	requests := exchange.server.requests
	stop := requests.OnEnd(func() { _ = exchange.controller.SetReadDeadline(time.Now()) })
	reader := http.MaxBytesReader(exchange.writer, exchange.request.Body, config.MaxBodyBytes)
	body, err := httpserve.ReadWhole(reader, exchange.request.ContentLength, config.MaxBodyBytes, func(size int64) bool {
		return httpserve.GrowBody(exchange.request, exchange.hold, size, bodyRoomWait)
	})
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// The deadline remains for other bodies: net/http reads what is left of them before
		// it sends the refusal.
		_ = exchange.controller.SetReadDeadline(time.Time{})
		return body, 0, nil
	case errors.As(err, &tooLarge), errors.Is(err, errors.QuotaLimitExceeded):
		return nil, http.StatusRequestEntityTooLarge, errors.Errorf("body is longer than %d bytes", config.MaxBodyBytes)
	case errors.Is(err, httpserve.ErrNoRoom):
		return nil, http.StatusServiceUnavailable, err
	case requests.Ended():
		return nil, http.StatusServiceUnavailable, errors.New("node is stopping")
	default:
		return nil, http.StatusRequestTimeout, errors.New("body was not received")
	}
}

// An errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// refuse responds with an error status to a request that was not run. It sets
// Retry-After for statuses 429 and 503, and for a result with a retry time.
func (exchange *exchange) refuse(status int, result outcome.NotRun) {
	if result.RetryAfter > 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := max(1, int((result.RetryAfter+time.Second-1)/time.Second))
		exchange.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	exchange.respondError(status, result, result.Reason)
}

// respondOutcome responds with the error status of an outcome other than
// outcome.Complete.
func (exchange *exchange) respondOutcome(result outcome.Outcome) {
	switch result := result.(type) {
	case outcome.NotRun:
		status := http.StatusServiceUnavailable
		if result.Invalid {
			status = http.StatusBadRequest
		}
		exchange.refuse(status, result)
	case outcome.Unknown:
		status := http.StatusBadGateway
		if result.TimedOut {
			status = http.StatusGatewayTimeout
		}
		exchange.respondError(status, result, result.Reason)
	}
}

func (exchange *exchange) respondError(status int, result outcome.Outcome, message string) {
	detail := errorDetail{Outcome: result.String(), Message: message}
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		data = nil
	}
	exchange.respond(status, result, "application/json", data)
}

// respond sends a complete, non-streamed response.
func (exchange *exchange) respond(status int, result outcome.Outcome, contentType string, body []byte) {
	header := exchange.writer.Header()
	header.Set(outcome.Header, result.String())
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if exchange.request.Method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	exchange.countRequest(result)
	exchange.extendWriteDeadline()
	exchange.writer.WriteHeader(status)
	for chunk := range slices.Chunk(body, writeChunkBytes) {
		exchange.extendWriteDeadline()
		if _, err := exchange.writer.Write(chunk); err != nil {
			return
		}
	}
}

// extendWriteDeadline restarts the write timeout before a write to the caller.
func (exchange *exchange) extendWriteDeadline() {
	_ = exchange.controller.SetWriteDeadline(time.Now().Add(exchange.server.config.WriteTimeout))
}

func (exchange *exchange) countRequest(result outcome.Outcome) {
	kind := "none"
	if exchange.route.Kind != 0 {
		kind = exchange.route.Kind.String()
	}
	exchange.server.metrics.requests.WithLabelValues(kind, result.String()).Inc()
}

// newAttemptID returns a globally unique attempt ID.
func newAttemptID() string { return uuid.NewString() }
