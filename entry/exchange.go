package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
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

// Priorities that are passed to admission and to engines.
const (
	priorityLow = iota
	priorityNormal
	priorityHigh
)

// writeChunkBytes is the part of a whole response that a caller has to take
// within the write timeout.
const writeChunkBytes = 64 << 10

// An exchange is one request and its response.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	started time.Time

	workspace folder.Workspace
	route     folder.Route
	priority  int
	deadline  time.Time
}

func newExchange(server *Server, writer http.ResponseWriter, request *http.Request) *exchange {
	exchange := &exchange{
		server:  server,
		writer:  writer,
		request: request,
		control: http.NewResponseController(writer),
		started: server.config.Now(),
	}
	// The write deadline of the connection's previous request may have passed
	// while the connection was idle.
	_ = exchange.control.SetWriteDeadline(time.Time{})
	return exchange
}

// authenticate finds the workspace of the caller's key and goes on.
func (exchange *exchange) authenticate() {
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
	exchange.admit(table)
}

// isCleanPath reports whether the path has no empty and no dot segments. A
// service may resolve such a path to one of another route, so that a booking
// would be treated as a request that may be repeated.
func isCleanPath(requested string) bool {
	return strings.TrimSuffix(requested, "/") == strings.TrimSuffix(path.Clean(requested), "/")
}

// findWorkspace compares the digest of a key with every known digest in
// constant time.
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
		for _, known := range workspace.KeyDigests {
			if subtle.ConstantTimeCompare(digest, []byte(known)) == 1 {
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
	rest, has := strings.CutPrefix(path, prefix)
	return has && (rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/"))
}

func (exchange *exchange) readHeaders() error {
	priority, err := parsePriority(exchange.request.Header.Get(headerPriority))
	if err != nil {
		return err
	}
	exchange.priority = priority
	allowed, err := exchange.allowedTime(exchange.request.Header.Get(headerDeadline))
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

func (exchange *exchange) allowedTime(value string) (time.Duration, error) {
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

// admit waits for admission, reads the body and hands over to the route's
// kind. The body is read after admission, so that the capacity bounds the
// memory of bodies.
func (exchange *exchange) admit(table *route.Table) {
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.deadline)
	defer cancel()
	ticket, refusal := exchange.server.admission.acquire(ctx, limit.Request{
		Workspace: exchange.workspace.Name,
		Class:     exchange.route.Name,
		Pool:      poolOf(exchange.route),
		Priority:  exchange.priority,
		Deadline:  exchange.deadline,
	}, table)
	if refusal != nil {
		exchange.server.metrics.refused.WithLabelValues(string(refusal.Cause)).Inc()
		exchange.refuse(refusalStatus(refusal.Cause), outcome.NotRun{
			Reason:     "not admitted: " + string(refusal.Cause),
			RetryAfter: refusal.RetryAfter,
		})
		return
	}
	defer exchange.server.admission.release(ticket)
	body, status, err := exchange.readBody()
	if err != nil {
		exchange.refuse(status, outcome.NotRun{Reason: err.Error()})
		return
	}
	if exchange.route.Kind == folder.KindDraft {
		exchange.serveDraft(ctx, body)
		return
	}
	exchange.serveService(ctx, body)
}

func refusalStatus(cause limit.RefuseCause) int {
	if cause == limit.RefuseQueue {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (exchange *exchange) readBody() ([]byte, int, error) {
	config := exchange.server.config
	_ = exchange.control.SetReadDeadline(time.Now().Add(config.BodyTimeout))
	reader := http.MaxBytesReader(exchange.writer, exchange.request.Body, config.MaxBodyBytes)
	body, err := io.ReadAll(reader)
	_ = exchange.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0, nil
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errors.Errorf("body is longer than %d bytes", tooLarge.Limit)
	default:
		return nil, http.StatusRequestTimeout, errors.New("body was not received")
	}
}

// An errorBody is the JSON body of a response without an answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// refuse answers with a status that goes with a request that was not run.
func (exchange *exchange) refuse(status int, result outcome.NotRun) {
	if result.RetryAfter > 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := max(1, int((result.RetryAfter+time.Second-1)/time.Second))
		exchange.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	exchange.fail(status, result, result.Reason)
}

// report answers with the status that goes with an outcome that is not
// Complete.
func (exchange *exchange) report(result outcome.Outcome) {
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
		exchange.fail(status, result, result.Reason)
	}
}

func (exchange *exchange) fail(status int, result outcome.Outcome, message string) {
	detail := errorDetail{Outcome: result.String(), Message: message}
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		data = nil
	}
	exchange.respond(status, result, "application/json", data)
}

// respond sends a whole response.
func (exchange *exchange) respond(status int, result outcome.Outcome, contentType string, body []byte) {
	header := exchange.writer.Header()
	header.Set(outcome.Header, result.String())
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if exchange.request.Method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	exchange.count(result)
	exchange.extendWrite()
	exchange.writer.WriteHeader(status)
	for chunk := range slices.Chunk(body, writeChunkBytes) {
		exchange.extendWrite()
		if _, err := exchange.writer.Write(chunk); err != nil {
			return
		}
	}
}

// extendWrite bounds the next write to the caller.
func (exchange *exchange) extendWrite() {
	_ = exchange.control.SetWriteDeadline(time.Now().Add(exchange.server.config.WriteTimeout))
}

func (exchange *exchange) count(result outcome.Outcome) {
	kind := "none"
	if exchange.route.Kind != 0 {
		kind = exchange.route.Kind.String()
	}
	exchange.server.metrics.requests.WithLabelValues(kind, result.String()).Inc()
}

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string { return uuid.NewString() }
