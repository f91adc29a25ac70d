package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond

	// openTime is the time that a group takes to open.
	openTime = 300 * time.Millisecond

	// streamEvents is the number of events of a stream, and eventGap the time between two.
	streamEvents = 5
	eventGap     = 20 * time.Millisecond
)

// A model is a model of a service with groups.
type model struct {
	name string
	size int

	load, warm time.Duration
}

// A runnerConfig describes a runner.
type runnerConfig struct {
	store  *store
	record *record
	runs   *runs

	id, service, zone string

	// domain and models are empty for a runner of a plain service.
	domain string
	models []model
	slots  int

	// queue is the number of requests that wait at a plain runner at most.
	queue int

	// work is the time that a request takes at a plain runner.
	work time.Duration
}

// A runner is a stand-in for a runner of a service.
type runner struct {
	runnerConfig
	address  string
	server   *http.Server
	born     int64
	inFlight atomic.Int64
	places   chan struct{}

	mutex      sync.Mutex
	heartbeats uint64
	sequence   uint64
	fence      uint64
	epochSeen  uint64
	state      string

	// group is the state of the membership, empty without one.
	group, groupState, groupModel string
	epoch                         uint64
	rank                          int
	members                       []string
	lastModel                     string
	staged                        []string
}

func startRunner(config runnerConfig) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{
		runnerConfig: config, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		places: make(chan struct{}, config.slots), state: "ready", staged: []string{},
	}
	started.server = &http.Server{Handler: http.HandlerFunc(started.serve)}
	go func() { _ = started.server.Serve(listener) }()
	go started.beat()
	return started, nil
}

func (runner *runner) beat() {
	for {
		runner.mutex.Lock()
		runner.writeEntry()
		runner.mutex.Unlock()
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the entry in the store. The caller holds the mutex.
func (runner *runner) writeEntry() {
	runner.heartbeats++
	entry := map[string]any{
		"service": runner.service, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": runner.slots,
		"state": runner.state, "coldRemainingMs": 0, "sequence": runner.heartbeats, "born": runner.born,
	}
	if runner.domain != "" {
		runner.describe(entry)
	}
	runner.store.set("servers/"+runner.id, entry)
}

// describe adds the state of a model runner. The caller holds the mutex.
func (runner *runner) describe(entry map[string]any) {
	entry["stage"], entry["domain"], entry["staged"] = "both", runner.domain, runner.staged
	entry["models"] = []any{}
	if runner.group != "" {
		entry["models"] = []any{map[string]any{"name": runner.groupModel, "version": 1, "adapters": []string{}}}
		entry["group"] = map[string]any{"name": runner.group, "epoch": runner.epoch, "rank": runner.rank, "state": runner.groupState}
	}
}

func (runner *runner) serve(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != runner.id {
		writer.Header().Set("Runner-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/health":
		writer.Header().Set("Runner-Id", runner.id)
	case request.URL.Path == "/report":
		runner.serveReport(writer)
	case request.URL.Path == "/order":
		runner.serveOrder(writer, request)
	case runner.domain != "":
		runner.serveStream(writer, request)
	default:
		runner.servePlain(writer, request)
	}
}

func (runner *runner) serveReport(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	report := map[string]any{
		"busy": runner.groupState == "joining", "sequence": runner.sequence, "waiting": 0, "running": runner.inFlight.Load(),
		"kvUsed": 0, "kvTotal": 1590000, "handles": 0, "pace": 1.0, "born": runner.born,
	}
	if runner.domain != "" {
		runner.describe(report)
	}
	reply(writer, http.StatusOK, report)
}

// ran records that the runner began to work on a request.
func (runner *runner) ran(request *http.Request) {
	runner.runs.add(run{
		attempt: request.Header.Get("Attempt-Id"), runner: runner.id, service: runner.service, host: request.Host,
		path: request.URL.Path, tenant: request.Header.Get("Tenant"), at: time.Now(),
	})
	runner.record.note("runner %s (%s) runs %s: %s %s%s tenant %q", runner.id, runner.service, request.Header.Get("Attempt-Id"),
		request.Method, request.Host, request.URL.Path, request.Header.Get("Tenant"))
}

func (runner *runner) answer(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	held, slots := runner.inFlight.Load(), int64(runner.slots)
	header.Set("Runner-Load", fmt.Sprintf("%d,%d,%d", min(held, slots), max(0, held-slots), slots))
}

// refuse answers a request that does not run.
func (runner *runner) refuse(writer http.ResponseWriter, request *http.Request, status int) {
	runner.answer(writer, request)
	writer.Header().Set("Not-Executed", "1")
	writer.Header().Set("At-Server", runner.id)
	writer.WriteHeader(status)
}

func (runner *runner) servePlain(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	held := runner.inFlight.Add(1)
	defer runner.inFlight.Add(-1)
	if held > int64(runner.slots+runner.queue) {
		runner.refuse(writer, request, http.StatusServiceUnavailable)
		return
	}
	select {
	case runner.places <- struct{}{}:
		defer func() { <-runner.places }()
	case <-request.Context().Done():
		return
	}
	runner.ran(request)
	time.Sleep(runner.work)
	runner.answer(writer, request)
	writer.Header().Set("Response-Seal", "seal."+runner.id)
	fmt.Fprintf(writer, "%s has done %s with %d bytes\n", runner.id, request.Header.Get("Attempt-Id"), len(body))
}

func (runner *runner) serveStream(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	runner.mutex.Lock()
	group, state, rank, served := runner.group, runner.groupState, runner.rank, runner.groupModel
	runner.mutex.Unlock()
	switch {
	case group == "" || rank != 0 || state == "ready" || state == "joining" || served != request.Header.Get("Model"):
		runner.refuse(writer, request, http.StatusMisdirectedRequest)
		return
	case state != "open":
		runner.refuse(writer, request, http.StatusServiceUnavailable)
		return
	}
	runner.inFlight.Add(1)
	defer runner.inFlight.Add(-1)
	runner.ran(request)
	runner.answer(writer, request)
	writer.Header().Set("Response-Seal", "seal."+runner.id)
	writer.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for id := first + 1; id <= streamEvents; id++ {
		fmt.Fprintf(writer, "id: %d\ndata: part %d\n\n", id, id)
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// An order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"closeMode"`
	Fence     *uint64  `json:"fencingToken"`
	Expected  *uint64  `json:"expected"`
}

func (runner *runner) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var received order
	if json.NewDecoder(request.Body).Decode(&received) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	status := runner.carryOut(received)
	runner.record.note("runner %s (%s) gets order %s group %s epoch %d model %s members %v: %d", runner.id, runner.service,
		received.Operation, received.Group, received.Epoch, received.Model, received.Members, status)
	if status == http.StatusAccepted {
		runner.sequence++
		runner.writeEntry()
	}
	writer.WriteHeader(status)
}

// carryOut begins an order and returns the status of the answer. The caller holds the mutex.
func (runner *runner) carryOut(received order) int {
	switch {
	case received.Fence == nil || *received.Fence < runner.fence:
		return http.StatusPreconditionFailed
	case received.Expected != nil && *received.Expected != runner.sequence:
		return http.StatusConflict
	}
	runner.fence = *received.Fence
	mine := received.Group == runner.group && received.Epoch == runner.epoch
	switch received.Operation {
	case "join":
		return runner.join(received)
	case "stage":
		if contains(runner.staged, received.Model) {
			return http.StatusOK
		}
		time.AfterFunc(runner.modelOf(received.Model).load, func() { runner.stage(received.Model) })
		return http.StatusAccepted
	case "open", "close", "leave":
		if !mine {
			return http.StatusConflict
		}
	default:
		return http.StatusBadRequest
	}
	switch {
	case received.Operation == "leave":
		runner.group, runner.groupState = "", ""
		return http.StatusAccepted
	case received.Operation == "open" && runner.groupState == "open", received.Operation == "close" && runner.groupState == "ready":
		return http.StatusOK
	case received.Operation == "open" && (runner.groupState != "ready" || runner.rank != 0):
		return http.StatusConflict
	case received.Operation == "open":
		runner.after(openTime, "ready", "open")
	case received.Operation == "close":
		runner.groupState = "ready"
	}
	return http.StatusAccepted
}

func (runner *runner) join(received order) int {
	same := received.Group == runner.group && received.Epoch == runner.epoch
	switch {
	case received.Epoch < runner.epochSeen || same && fmt.Sprint(received.Members) != fmt.Sprint(runner.members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	joined := runner.modelOf(received.Model)
	took := joined.load
	switch {
	case runner.lastModel == received.Model:
		took = 200 * time.Millisecond
	case contains(runner.staged, received.Model):
		took = joined.warm
	}
	runner.epochSeen = received.Epoch
	runner.group, runner.epoch, runner.members, runner.groupModel = received.Group, received.Epoch, received.Members, received.Model
	runner.rank, runner.groupState = indexOf(received.Members, runner.id), "joining"
	runner.after(took, "joining", "ready")
	return http.StatusAccepted
}

// after changes the state of the membership after a time, if it is the same then.
func (runner *runner) after(wait time.Duration, from, to string) {
	group, epoch := runner.group, runner.epoch
	time.AfterFunc(wait, func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		if runner.group != group || runner.epoch != epoch || runner.groupState != from {
			return
		}
		runner.groupState = to
		if to == "ready" {
			runner.lastModel = runner.groupModel
			runner.staged = []string{runner.groupModel}
		}
		runner.record.note("runner %s (%s) is %s in group %s epoch %d rank %d", runner.id, runner.service, to, group, epoch, runner.rank)
		runner.writeEntry()
	})
}

func (runner *runner) stage(name string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.staged = []string{name}
	runner.writeEntry()
}

// opened reports whether the runner is the head of an open group.
func (runner *runner) opened() bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.groupState == "open" && runner.rank == 0
}

func (runner *runner) modelOf(name string) model {
	for _, known := range runner.models {
		if known.name == name {
			return known
		}
	}
	return model{name: name, load: 2 * time.Second, warm: time.Second}
}

func contains(names []string, name string) bool { return indexOf(names, name) >= 0 }

func indexOf(names []string, name string) int {
	for index, other := range names {
		if other == name {
			return index
		}
	}
	return -1
}
