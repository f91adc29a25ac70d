package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const engineService = "huvo11a"

const (
	joinTime = 400 * time.Millisecond
	formTime = 300 * time.Millisecond
)

// An engine is a sound runner of a model service. Its models are staged on its host.
type engine struct {
	scenario *scenario
	id       string
	address  string
	zone     string
	domain   string
	born     int64
	models   []string
	answer   http.HandlerFunc
	server   *http.Server

	// cold and told are of the case of the cold runner; told counts the answers to health
	// checks with Cold-Ms.
	cold coldState
	told atomic.Int64

	// ended is true once the engine has ended because of too many requests.
	ended atomic.Bool

	mutex    sync.Mutex
	beats    int
	sequence uint64
	fence    uint64
	epoch    uint64
	model    string
	members  []string
	group    *membership
}

// A membership is what an engine reports of its group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// An order is the body of POST /order.
type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        uint64   `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"closeMode"`
	FencingToken uint64   `json:"fencingToken"`
	Expected     *uint64  `json:"expected"`
}

func (scenario *scenario) startEngine(id, zone string, models []string, answer http.HandlerFunc) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &engine{scenario: scenario, id: id, address: listener.Addr().String(), zone: zone, domain: zone + "-d0", born: time.Now().UnixMilli(), models: models, answer: answer}
	started.server = &http.Server{Handler: started}
	go func() { _ = started.server.Serve(listener) }()
	started.announce()
	go func() {
		for range time.Tick(heartbeat) {
			started.announce()
		}
	}()
	return started, nil
}

func (engine *engine) announce() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.announceLocked()
}

func (engine *engine) announceLocked() {
	if engine.ended.Load() || engine.scenario.store.isDown() {
		return
	}
	engine.beats++
	entry := engine.state()
	for name, value := range map[string]any{
		"service": engineService, "address": engine.address, "zone": engine.zone, "domain": engine.domain, "version": "v1", "slots": 26,
		"state": "ready", "coldRemainingMs": engine.cold.remaining().Milliseconds(), "sequence": engine.beats,
	} {
		entry[name] = value
	}
	value, _ := json.Marshal(entry)
	engine.scenario.store.set("servers/"+engine.id, value)
}

// state is what the engine says of itself in its entry and in its report.
func (engine *engine) state() map[string]any {
	loaded := []any{}
	if engine.model != "" {
		loaded = append(loaded, map[string]any{"name": engine.model, "version": 1, "adapters": []string{}})
	}
	said := map[string]any{"born": engine.born, "stage": "both", "models": loaded, "staged": engine.models}
	if engine.group != nil {
		said["group"] = engine.group
	}
	return said
}

func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != engine.id {
		writer.Header().Set("Runner-Id", engine.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Runner-Id", engine.id)
		if remaining := engine.cold.remaining(); remaining > 0 {
			writer.Header().Set("Cold-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
			engine.told.Add(1)
		}
		writer.WriteHeader(http.StatusOK)
	case "/report":
		engine.mutex.Lock()
		report := engine.state()
		report["sequence"], report["busy"], report["running"], report["waiting"], report["kvUsed"], report["kvTotal"] = engine.sequence, false, 0, 0, 0, 90000
		engine.mutex.Unlock()
		reply(writer, http.StatusOK, report)
	case "/order":
		var asked order
		if json.NewDecoder(request.Body).Decode(&asked) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		writer.WriteHeader(engine.obey(asked))
	default:
		engine.serve(writer, request)
	}
}

// serve answers a request if the engine is the head of an open group of the model.
func (engine *engine) serve(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	head := engine.group != nil && engine.group.Rank == 0
	open := head && engine.group.State == "open" && engine.model == request.Header.Get("Model")
	engine.mutex.Unlock()
	if !open {
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if !head {
			status = http.StatusMisdirectedRequest
		}
		writer.WriteHeader(status)
		return
	}
	if arrived := engine.cold.arrive(); arrived > coldEnd && !engine.ended.Swap(true) {
		engine.scenario.record.line("engine %s is cold, has got %d requests in one second, and ends", engine.id, arrived)
		_ = engine.server.Close()
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	engine.scenario.record.line("engine %s runs request %s: %s %s", engine.id, request.Header.Get("Attempt-Id"), request.Method, request.RequestURI)
	engine.answer(writer, request)
}

// obey carries an order out and returns the status of the answer.
func (engine *engine) obey(asked order) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	group := engine.group
	own := group != nil && group.Name == asked.Group && group.Epoch == asked.Epoch
	switch {
	case asked.FencingToken < engine.fence:
		return http.StatusPreconditionFailed
	case asked.Expected != nil && *asked.Expected != engine.sequence:
		return http.StatusConflict
	}
	begin := func() {
		engine.fence = asked.FencingToken
		engine.sequence++
	}
	switch asked.Operation {
	case "join":
		switch {
		case asked.Epoch < engine.epoch, own && !slices.Equal(asked.Members, engine.members):
			return http.StatusPreconditionFailed
		case own:
			return http.StatusOK
		}
		begin()
		engine.epoch, engine.members = asked.Epoch, asked.Members
		engine.group = &membership{Name: asked.Group, Epoch: asked.Epoch, Rank: slices.Index(asked.Members, engine.id), State: "joining"}
		engine.after(joinTime, engine.group, "joining", "ready", asked.Model)
	case "open":
		switch {
		case !own || group.Rank != 0 || group.State != "ready" && group.State != "open":
			return http.StatusConflict
		case group.State == "open":
			return http.StatusOK
		}
		begin()
		engine.after(formTime, group, "ready", "open", engine.model)
	case "close":
		if !own {
			return http.StatusConflict
		}
		begin()
		group.State = "ready"
	case "leave":
		if !own {
			return http.StatusConflict
		}
		begin()
		engine.group = nil
		engine.announceLocked()
		return http.StatusOK
	case "stage":
		if slices.Contains(engine.models, asked.Model) {
			return http.StatusOK
		}
		begin()
	default:
		return http.StatusBadRequest
	}
	engine.announceLocked()
	return http.StatusAccepted
}

// after changes the state of a group later, if it still is the engine's and in the state.
func (engine *engine) after(delay time.Duration, group *membership, from, to, model string) {
	time.AfterFunc(delay, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		if engine.group != group || group.State != from {
			return
		}
		group.State, engine.model = to, model
		engine.announceLocked()
	})
}
