package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	wire "lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const maxCallBytes = 4 << 20

// tokenDelay is added to the interval between tokens.
type tokenDelay struct{ amount atomic.Int64 }

// hold blocks streams before the token with the given index, so that a test
// can act at a known position of a stream.
type hold struct {
	mu       sync.Mutex
	index    int
	released chan struct{}
}

func (hold *hold) set(index int) {
	hold.clear()
	hold.mu.Lock()
	defer hold.mu.Unlock()
	hold.index = index
	hold.released = make(chan struct{})
}

func (hold *hold) clear() {
	hold.mu.Lock()
	defer hold.mu.Unlock()
	if hold.released != nil {
		close(hold.released)
		hold.released = nil
	}
}

// wait blocks until the token with the index may be sent. It returns false if
// ctx ended first.
func (hold *hold) wait(ctx context.Context, index int) bool {
	hold.mu.Lock()
	released := hold.released
	held := released != nil && index >= hold.index
	hold.mu.Unlock()
	if !held {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-released:
		return true
	}
}

type acceptedAnswer struct {
	Accepted bool `json:"accepted"`
}

type fenceAnswer struct {
	Fence uint64 `json:"fence"`
}

type eventsAnswer struct {
	Sequence uint64       `json:"sequence"`
	Events   []CacheEvent `json:"events"`
}

func (engine *Engine) routes() http.Handler {
	router := mux.NewRouter()
	router.Methods(http.MethodGet).Path("/v1/report").HandlerFunc(engine.getReport)
	router.Methods(http.MethodPost).Path("/v1/order").HandlerFunc(engine.postOrder)
	router.Methods(http.MethodPost).Path("/v1/generate").HandlerFunc(engine.postGenerate)
	router.Methods(http.MethodPost).Path("/v1/cancel").HandlerFunc(engine.postCancel)
	router.Methods(http.MethodGet).Path("/v1/cache-events").HandlerFunc(engine.getCacheEvents)
	router.Methods(http.MethodGet).Path("/record").HandlerFunc(engine.getRecord)
	return router
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func decode(writer http.ResponseWriter, request *http.Request, body any) bool {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxCallBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (engine *Engine) getReport(writer http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	role := engine.role.snapshot(now)
	load, age := engine.batch.report(now)
	writeJSON(writer, http.StatusOK, wire.Report{
		VM:          engine.config.VM,
		Incarnation: engine.config.Incarnation,
		Group:       role.order.Group,
		Epoch:       role.order.Epoch,
		Rank:        role.order.Rank,
		State:       role.state,
		Model:       role.order.Model,
		Version:     role.order.Version,
		Fence:       role.fence,
		Running:     load.running,
		Queued:      load.queued,
		FreeCache:   load.free,
		AgeMillis:   age.Milliseconds(),
	})
}

func (engine *Engine) postOrder(writer http.ResponseWriter, request *http.Request) {
	var order wire.Order
	if !decode(writer, request, &order) {
		return
	}
	now := time.Now()
	before := engine.role.snapshot(now)
	result, fence := engine.role.apply(order, fault.Arrival(request), now)
	if before.ctx.Err() != nil {
		engine.cache.clear(now)
	}
	line := RecordLine{
		Event: EventOrder, Group: order.Group, Epoch: order.Epoch,
		Order: order.ID, Action: string(order.Action), Fence: order.Fence,
	}
	switch result {
	case orderAccepted:
		line.End = "accepted"
		engine.record.add(line)
		writeJSON(writer, http.StatusOK, acceptedAnswer{true})
	case orderOldFence:
		line.End = "old-fence"
		engine.record.add(line)
		writeJSON(writer, http.StatusConflict, fenceAnswer{fence})
	case orderExpired:
		line.End = "expired"
		engine.record.add(line)
		http.Error(writer, "order has expired", http.StatusGone)
	case orderUnknown:
		http.Error(writer, "action is unknown", http.StatusBadRequest)
	}
}

func (engine *Engine) postGenerate(writer http.ResponseWriter, request *http.Request) {
	var generate wire.Generate
	if !decode(writer, request, &generate) {
		return
	}
	if generate.MaxTokens == 0 {
		generate.MaxTokens = DefaultMaxTokens
	}
	role := engine.role.snapshot(time.Now())
	if role.order.Group != generate.Group || role.order.Epoch != generate.Epoch || role.order.Rank != 0 {
		http.Error(writer, "this VM is not rank 0 of that group and epoch", http.StatusConflict)
		return
	}
	if role.state != wire.StateReady {
		http.Error(writer, "group is not ready", http.StatusServiceUnavailable)
		return
	}
	cancelled, cancel := context.WithCancel(context.Background())
	defer cancel()
	engine.batch.register(generate.Attempt, cancel)
	defer engine.batch.unregister(generate.Attempt)
	call := &generateCall{
		engine: engine, generate: generate, roleContext: role.ctx,
		cancelContext: cancelled, request: request, writer: writer,
	}
	call.serve()
}

func (engine *Engine) postCancel(writer http.ResponseWriter, request *http.Request) {
	var cancel wire.Cancel
	if !decode(writer, request, &cancel) {
		return
	}
	engine.batch.cancel(cancel.Attempt)
	writer.WriteHeader(http.StatusOK)
}

func (engine *Engine) getCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "after is not a sequence number", http.StatusBadRequest)
		return
	}
	sequence, events := engine.cache.eventsAfter(after, time.Now())
	writeJSON(writer, http.StatusOK, eventsAnswer{sequence, events})
}

func (engine *Engine) getRecord(writer http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(writer)
	for _, line := range engine.record.list() {
		if encoder.Encode(line) != nil {
			return
		}
	}
}

func (engine *Engine) applyFault(order fault.Order) error {
	switch order.Fault {
	case FaultSlow:
		engine.slow.amount.Store(int64(order.Amount))
	case FaultHold:
		engine.hold.set(order.Count)
	case FaultLag:
		engine.batch.setLag(time.Duration(order.Amount))
	case FaultDie:
		if engine.config.Die != nil {
			engine.config.Die()
		}
		return engine.config.Injector.Apply(fault.Order{Fault: fault.Refuse})
	case fault.Clear:
		engine.slow.amount.Store(0)
		engine.hold.clear()
		engine.batch.setLag(engine.config.ReportLag)
	default:
		return errors.NotValidf("fault %q", order.Fault)
	}
	return nil
}
