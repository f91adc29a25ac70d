package fault

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	maxOrderBytes = 64 << 10
	keyPathPrefix = "/v1/kv/"
)

// exemptPaths are served without faults.
var exemptPaths = map[string]bool{"/control": true, "/record": true, "/counters": true}

type arrivalKey struct{}

// Arrival returns the time at which the server received the request, before a
// fault delayed it.
func Arrival(request *http.Request) time.Time {
	arrival, found := request.Context().Value(arrivalKey{}).(time.Time)
	if !found {
		return time.Now()
	}
	return arrival
}

// period is the time during which a fault is active. If end is zero, it has no
// limit.
type period struct {
	active bool
	end    time.Time
}

func newPeriod(now time.Time, duration Duration) period {
	if duration == 0 {
		return period{active: true}
	}
	return period{active: true, end: now.Add(time.Duration(duration))}
}

func (period period) covers(now time.Time) bool {
	return period.active && (period.end.IsZero() || now.Before(period.end))
}

// An Injector applies the active faults to one server.
type Injector struct {
	mu          sync.Mutex
	changed     chan struct{}
	pause       period
	outage      period
	refuse      period
	delay       period
	delayAmount time.Duration
	dropCount   int
	dropPrefix  string
	requests    map[string]int
	silent      map[string]period
	applyOther  func(Order) error
	listener    *Listener
}

// New returns an Injector without active faults.
func New() *Injector {
	return &Injector{
		changed:  make(chan struct{}),
		requests: map[string]int{},
		silent:   map[string]period{},
	}
}

// Extend sets the function that applies the faults of the stand-in, those that
// are not built into the Injector. It is also called for Clear, so that the
// stand-in can end its own faults.
func (injector *Injector) Extend(apply func(Order) error) { injector.applyOther = apply }

// Apply starts a fault.
func (injector *Injector) Apply(order Order) error {
	builtin := injector.applyBuiltin(order)
	if order.Fault == Refuse {
		injector.closePort()
	}
	if builtin && order.Fault != Clear {
		return nil
	}
	if injector.applyOther != nil {
		return errors.Trace(injector.applyOther(order))
	}
	if !builtin {
		return errors.NotValidf("fault %q", order.Fault)
	}
	return nil
}

func (injector *Injector) applyBuiltin(order Order) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	now := time.Now()
	period := newPeriod(now, order.Duration)
	switch order.Fault {
	case Pause:
		injector.pause = period
	case Outage:
		injector.outage = period
	case Refuse:
		injector.refuse = period
	case Delay:
		injector.delay = period
		injector.delayAmount = time.Duration(order.Amount)
	case DropAnswer:
		injector.dropCount = max(order.Count, 1)
		injector.dropPrefix = order.Prefix
	case Silent:
		for address := range injector.requests {
			injector.silent[address] = period
		}
	case Clear:
		injector.clear()
	default:
		return false
	}
	close(injector.changed)
	injector.changed = make(chan struct{})
	return true
}

func (injector *Injector) closePort() {
	injector.mu.Lock()
	listener := injector.listener
	injector.mu.Unlock()
	if listener != nil {
		listener.refuse()
	}
}

func (injector *Injector) refusing() bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.refuse.covers(time.Now())
}

func (injector *Injector) clear() {
	injector.pause = period{}
	injector.outage = period{}
	injector.refuse = period{}
	injector.delay = period{}
	injector.dropCount = 0
	injector.silent = map[string]period{}
}

// ConnState tracks the open connections. It is meant for http.Server.ConnState.
// Without it, the fault Silent affects only connections that have carried a
// request.
func (injector *Injector) ConnState(conn net.Conn, state http.ConnState) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	address := conn.RemoteAddr().String()
	switch state {
	case http.StateNew:
		delete(injector.silent, address)
		injector.requests[address] = 0
	case http.StateClosed, http.StateHijacked:
		delete(injector.silent, address)
		delete(injector.requests, address)
	}
}

// Wrap returns a handler that serves /control and applies the active faults to
// calls of next.
func (injector *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/control" {
			injector.ServeControl(writer, request)
			return
		}
		if exemptPaths[request.URL.Path] {
			next.ServeHTTP(writer, request)
			return
		}
		injector.serve(writer, request, next)
	})
}

func (injector *Injector) serve(writer http.ResponseWriter, request *http.Request, next http.Handler) {
	ctx := context.WithValue(request.Context(), arrivalKey{}, time.Now())
	request = request.WithContext(ctx)
	injector.countRequest(request.RemoteAddr)
	if err := bufferBody(request); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !injector.waitUntilUnblocked(ctx, request.RemoteAddr) || !injector.delayCall(ctx) {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	injector.mu.Lock()
	down := injector.outage.covers(now)
	drop := injector.consumeDrop(request)
	injector.mu.Unlock()
	switch {
	case down:
		http.Error(writer, "service is down", http.StatusServiceUnavailable)
	case drop:
		next.ServeHTTP(&discardWriter{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(&heldWriter{ResponseWriter: writer, injector: injector, request: request}, request)
	}
}

// maxBodyBytes is larger than the largest value that the store accepts, so that
// a larger value reaches the store, which responds with status 413.
const maxBodyBytes = 4 << 20

// bufferBody reads the body before the call is blocked, because net/http
// detects a disconnected client only after the body has been read.
func bufferBody(request *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return errors.Annotate(err, "read request body")
	}
	request.Body = io.NopCloser(strings.NewReader(string(body)))
	return nil
}

func (injector *Injector) countRequest(address string) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.requests[address]++
}

func (injector *Injector) consumeDrop(request *http.Request) bool {
	if injector.dropCount == 0 || request.Method == http.MethodGet {
		return false
	}
	path := request.URL.Path
	key := strings.TrimPrefix(path, keyPathPrefix)
	if !strings.HasPrefix(path, injector.dropPrefix) && !strings.HasPrefix(key, injector.dropPrefix) {
		return false
	}
	injector.dropCount--
	return true
}

// waitUntilUnblocked waits while the connection is paused or silent. It returns
// false if the client has disconnected or connections are refused.
func (injector *Injector) waitUntilUnblocked(ctx context.Context, address string) bool {
	for {
		injector.mu.Lock()
		now := time.Now()
		refused := injector.refuse.covers(now)
		held := injector.pause
		if !held.covers(now) {
			held = injector.silent[address]
		}
		changed := injector.changed
		injector.mu.Unlock()
		if refused {
			return false
		}
		if !held.covers(now) {
			return ctx.Err() == nil
		}
		if !waitChange(ctx, changed, held.end) {
			return false
		}
	}
}

func waitChange(ctx context.Context, changed <-chan struct{}, end time.Time) bool {
	var expired <-chan time.Time
	if !end.IsZero() {
		clock := time.NewTimer(time.Until(end))
		defer clock.Stop()
		expired = clock.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-expired:
	}
	return true
}

func (injector *Injector) delayCall(ctx context.Context) bool {
	injector.mu.Lock()
	active := injector.delay.covers(time.Now())
	amount := injector.delayAmount
	injector.mu.Unlock()
	if !active {
		return true
	}
	clock := time.NewTimer(amount)
	defer clock.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-clock.C:
		return true
	}
}

// ServeControl serves POST /control.
func (injector *Injector) ServeControl(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		http.Error(writer, "use POST", http.StatusMethodNotAllowed)
		return
	}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxOrderBytes))
	decoder.DisallowUnknownFields()
	var order Order
	if err := decoder.Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := injector.Apply(order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// heldWriter blocks the writes of a response while the connection is paused or
// silent.
type heldWriter struct {
	http.ResponseWriter
	injector *Injector
	request  *http.Request
}

func (writer *heldWriter) Write(data []byte) (int, error) {
	if !writer.injector.waitUntilUnblocked(writer.request.Context(), writer.request.RemoteAddr) {
		return 0, errors.Errorf("write response to %s: client disconnected or connections refused", writer.request.RemoteAddr)
	}
	return writer.ResponseWriter.Write(data)
}

// Unwrap supports http.ResponseController.
func (writer *heldWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// discardWriter discards the response of a handler.
type discardWriter struct{ header http.Header }

func (writer *discardWriter) Header() http.Header            { return writer.header }
func (writer *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (writer *discardWriter) WriteHeader(int)                {}
func (writer *discardWriter) FlushError() error              { return nil }
