package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the stand-in engine.
const (
	loadTime = 1200 * time.Millisecond
	warmTime = 300 * time.Millisecond
	formTime = 300 * time.Millisecond

	eventGap   = 20 * time.Millisecond
	eventCount = 3
)

const engineModel = "m1"

// A membership is the group that an engine is in.
type membership struct {
	name    string
	epoch   uint64
	members []string
	rank    int
	state   string
}

// An engine is a stand-in of a model runner: it takes orders, and serves streams while it is
// the head of an open group.
type engine struct {
	id, zone, domain, address string
	born                      int64
	store                     *store
	note                      func(arrival)

	mutex    sync.Mutex
	group    *membership
	staged   []string
	begun    uint64
	fence    uint64
	topEpoch uint64
	running  int
	beats    uint64
	gone     bool
}

func startEngine(store *store, id, zone, domain string, note func(arrival)) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &engine{id: id, zone: zone, domain: domain, address: listener.Addr().String(), born: time.Now().UnixMilli(), store: store, note: note}
	server := &http.Server{Handler: started}
	go func() { _ = server.Serve(listener) }()
	started.announce()
	go func() {
		for range time.Tick(heartbeat) {
			started.announce()
		}
	}()
	return started, nil
}

// describe returns what the engine says of itself. The caller holds the mutex.
func (engine *engine) describe() fields {
	models := []fields{}
	if engine.group != nil && engine.group.state != "joining" {
		models = append(models, fields{"name": engineModel, "version": 1, "adapters": []string{}})
	}
	said := fields{"born": engine.born, "stage": "both", "domain": engine.domain, "models": models, "staged": append([]string{}, engine.staged...)}
	if engine.group != nil {
		said["group"] = fields{"name": engine.group.name, "epoch": engine.group.epoch, "rank": engine.group.rank, "state": engine.group.state}
	}
	return said
}

// announce writes the entry, unless it was removed.
func (engine *engine) announce() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.gone {
		return
	}
	engine.beats++
	entry := engine.describe()
	for name, value := range (fields{"service": "scribe", "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 26,
		"state": "ready", "coldRemainingMs": 0, "sequence": engine.beats}) {
		entry[name] = value
	}
	engine.store.set("servers/"+engine.id, entry)
}

// removeEntry removes the entry without a report that the engine is draining.
func (engine *engine) removeEntry() time.Time {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.gone = true
	return engine.store.remove("servers/" + engine.id)
}

// heads reports whether the engine is the head of an open group.
func (engine *engine) heads() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.group != nil && engine.group.rank == 0 && engine.group.state == "open"
}

// ServeHTTP implements http.Handler.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	leaving := engine.gone
	engine.mutex.Unlock()
	if leaving {
		writer.Header().Set("Connection", "close")
	}
	writer.Header().Set("Runner-Id", engine.id)
	expected := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path == "/report":
		engine.mutex.Lock()
		report := engine.describe()
		report["busy"], report["sequence"], report["waiting"], report["running"] = false, engine.begun, 0, engine.running
		report["kvUsed"], report["kvTotal"], report["handles"] = 0, 1590000, 0
		engine.mutex.Unlock()
		reply(writer, http.StatusOK, report)
	case expected != "" && expected != engine.id:
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/order":
		status := engine.order(request.Body)
		writer.WriteHeader(status)
	case request.URL.Path == "/health" && leaving:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case request.URL.Path == "/health":
		writer.WriteHeader(http.StatusOK)
	default:
		engine.serveStream(writer, request)
	}
}

type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        uint64   `json:"epoch"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"closeMode"`
	FencingToken uint64   `json:"fencingToken"`
	Expected     *uint64  `json:"expected"`
}

// order carries out an order and returns its status.
func (engine *engine) order(body io.Reader) int {
	var asked order
	if err := json.NewDecoder(body).Decode(&asked); err != nil {
		return http.StatusBadRequest
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if asked.FencingToken < engine.fence {
		return http.StatusPreconditionFailed
	}
	engine.fence = asked.FencingToken
	if asked.Expected != nil && *asked.Expected != engine.begun {
		return http.StatusConflict
	}
	status := engine.carryOut(asked)
	if status == http.StatusAccepted || status == http.StatusOK && asked.Operation == "leave" {
		engine.begun++
		go engine.announce()
	}
	return status
}

func (engine *engine) carryOut(asked order) int {
	switch asked.Operation {
	case "join":
		return engine.join(asked)
	case "stage":
		engine.after(loadTime, func() { engine.staged = []string{engineModel} })
		return http.StatusAccepted
	}
	current := engine.group
	if current == nil || current.name != asked.Group || current.epoch != asked.Epoch {
		return http.StatusConflict
	}
	switch {
	case asked.Operation == "leave":
		engine.group = nil
		return http.StatusOK
	case asked.Operation == "open" && current.rank == 0 && current.state == "ready":
		engine.after(formTime, func() {
			if engine.group == current {
				current.state = "open"
			}
		})
		return http.StatusAccepted
	case asked.Operation == "open" && current.state == "open":
		return http.StatusOK
	case asked.Operation == "close" && current.state == "open":
		current.state = "closing"
		engine.after(200*time.Millisecond, func() {
			if engine.group == current {
				current.state = "ready"
			}
		})
		return http.StatusAccepted
	case asked.Operation == "close" && current.state == "ready":
		return http.StatusOK
	}
	return http.StatusConflict
}

// after changes the engine's state later. The caller holds the mutex.
func (engine *engine) after(delay time.Duration, change func()) {
	time.AfterFunc(delay, func() {
		engine.mutex.Lock()
		change()
		engine.mutex.Unlock()
		engine.announce()
	})
}

func (engine *engine) join(asked order) int {
	if asked.Epoch < engine.topEpoch {
		return http.StatusPreconditionFailed
	}
	engine.topEpoch = asked.Epoch
	rank := -1
	for index, member := range asked.Members {
		if member == engine.id {
			rank = index
		}
	}
	if rank < 0 {
		return http.StatusConflict
	}
	joined := &membership{name: asked.Group, epoch: asked.Epoch, members: asked.Members, rank: rank, state: "joining"}
	engine.group = joined
	delay := loadTime
	if len(engine.staged) > 0 {
		delay = warmTime
	}
	engine.after(delay, func() {
		engine.staged = []string{engineModel}
		if engine.group == joined {
			joined.state = "ready"
		}
	})
	return http.StatusAccepted
}

func (engine *engine) serveStream(writer http.ResponseWriter, request *http.Request) {
	at, attempt := time.Now(), request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, request.Body)
	engine.mutex.Lock()
	open := engine.group != nil && engine.group.rank == 0 && engine.group.state == "open"
	if open {
		engine.running++
	}
	engine.mutex.Unlock()
	if !open {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		engine.note(arrival{runner: engine.id, attempt: attempt, at: at, status: http.StatusServiceUnavailable})
		return
	}
	engine.note(arrival{runner: engine.id, attempt: attempt, at: at, status: http.StatusOK})
	defer func() {
		engine.mutex.Lock()
		engine.running--
		engine.mutex.Unlock()
	}()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Response-Seal", "seal."+engine.id+"."+attempt)
	control := http.NewResponseController(writer)
	for number := 1; number <= eventCount; number++ {
		time.Sleep(eventGap)
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = control.Flush()
	}
}
