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

// exemptPaths are served whatever the faults are.
var exemptPaths = map[string]bool{"/control": true, "/record": true, "/counters": true}

type arrivalKey struct{}

// Arrival returns when the server received the request, before any fault
// delayed it.
func Arrival(request *http.Request) time.Time {
	arrival, found := request.Context().Value(arrivalKey{}).(time.Time)
	if !found {
		return time.Now()
	}
	return arrival
}

// span is a period of a fault; a zero end has no limit.
type span struct {
	active bool
	end    time.Time
}

func newSpan(now time.Time, duration Duration) span {
	if duration == 0 {
		return span{active: true}
	}
	return span{active: true, end: now.Add(time.Duration(duration))}
}

func (period span) covers(now time.Time) bool {
	return period.active && (period.end.IsZero() || now.Before(period.end))
}

// An Injector holds the faults in force for one server.
type Injector struct {
	mu         sync.Mutex
	changed    chan struct{}
	pause      span
	outage     span
	refuse     span
	delay      span
	amount     time.Duration
	dropCount  int
	dropPrefix string
	open       map[string]int
	silent     map[string]span
	extra      func(Order) error
	listener   *Listener
}

// New returns an Injector without faults.
func New() *Injector {
	return &Injector{
		changed: make(chan struct{}),
		open:    map[string]int{},
		silent:  map[string]span{},
	}
}

// Extend sets the handler of faults that the Injector does not know. It is
// also called for Clear, so that the stand-in can end its own faults.
func (injector *Injector) Extend(apply func(Order) error) { injector.extra = apply }

// Apply starts a fault.
func (injector *Injector) Apply(order Order) error {
	known := injector.applyKnown(order)
	if order.Fault == Refuse {
		injector.closePort()
	}
	if known && order.Fault != Clear {
		return nil
	}
	if injector.extra != nil {
		return errors.Trace(injector.extra(order))
	}
	if !known {
		return errors.NotValidf("fault %q", order.Fault)
	}
	return nil
}

func (injector *Injector) applyKnown(order Order) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	now := time.Now()
	period := newSpan(now, order.Duration)
	switch order.Fault {
	case Pause:
		injector.pause = period
	case Outage:
		injector.outage = period
	case Refuse:
		injector.refuse = period
	case Delay:
		injector.delay = period
		injector.amount = time.Duration(order.Amount)
	case DropAnswer:
		injector.dropCount = max(order.Count, 1)
		injector.dropPrefix = order.Prefix
	case Silent:
		for address := range injector.open {
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
	injector.pause = span{}
	injector.outage = span{}
	injector.refuse = span{}
	injector.delay = span{}
	injector.dropCount = 0
	injector.silent = map[string]span{}
}

// ConnState tracks connections; it is meant for http.Server.ConnState. Without
// it only connections that have carried a request are known.
func (injector *Injector) ConnState(conn net.Conn, state http.ConnState) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	address := conn.RemoteAddr().String()
	switch state {
	case http.StateNew:
		delete(injector.silent, address)
		injector.open[address] = 0
	case http.StateClosed, http.StateHijacked:
		delete(injector.silent, address)
		delete(injector.open, address)
	}
}

// Wrap returns a handler that applies the faults to next and serves /control.
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
	injector.note(request.RemoteAddr)
	if err := bufferBody(request); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !injector.hold(ctx, request.RemoteAddr) || !injector.wait(ctx) {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	injector.mu.Lock()
	out := injector.outage.covers(now)
	drop := injector.takeDrop(request)
	injector.mu.Unlock()
	switch {
	case out:
		http.Error(writer, "service is down", http.StatusServiceUnavailable)
	case drop:
		next.ServeHTTP(&discard{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(&heldWriter{ResponseWriter: writer, injector: injector, request: request}, request)
	}
}

// maxBodyBytes is above the largest value of the store, so that the store
// itself answers 413.
const maxBodyBytes = 4 << 20

// bufferBody reads the body before the call is held: net/http notices that a
// client has gone only once the body is read.
func bufferBody(request *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return errors.Annotate(err, "read request body")
	}
	request.Body = io.NopCloser(strings.NewReader(string(body)))
	return nil
}

func (injector *Injector) note(address string) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.open[address]++
}

func (injector *Injector) takeDrop(request *http.Request) bool {
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

// hold waits while the connection is paused or silent. It returns false when
// the client has gone or connections are refused.
func (injector *Injector) hold(ctx context.Context, address string) bool {
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

func (injector *Injector) wait(ctx context.Context) bool {
	injector.mu.Lock()
	active := injector.delay.covers(time.Now())
	amount := injector.amount
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

// ServeControl answers POST /control.
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

// heldWriter holds writes of an answer while the connection is paused or
// silent.
type heldWriter struct {
	http.ResponseWriter
	injector *Injector
	request  *http.Request
}

func (writer *heldWriter) Write(data []byte) (int, error) {
	if !writer.injector.hold(writer.request.Context(), writer.request.RemoteAddr) {
		return 0, errors.Errorf("client %s has gone", writer.request.RemoteAddr)
	}
	return writer.ResponseWriter.Write(data)
}

// Unwrap supports http.ResponseController.
func (writer *heldWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// discard runs a handler without sending its answer.
type discard struct{ header http.Header }

func (writer *discard) Header() http.Header            { return writer.header }
func (writer *discard) Write(data []byte) (int, error) { return len(data), nil }
func (writer *discard) WriteHeader(int)                {}
func (writer *discard) FlushError() error              { return nil }
