package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the interval at which a runner writes its entry.
	heartbeat = 1200 * time.Millisecond

	// workTime is how long a runner works on a booking, slots how many it works on at once,
	// and queue how many wait besides.
	workTime = 30 * time.Millisecond
	slots    = 6
	queue    = 24
)

// An arrival is a request that a runner has received.
type arrival struct {
	runner  string
	attempt string
	at      time.Time
	status  int
}

// A runner is a stand-in of a runner of a plain service.
type runner struct {
	id      string
	zone    string
	address string
	born    int64
	store   *store
	note    func(arrival)

	server   *http.Server
	running  chan struct{}
	waiting  atomic.Int64
	sequence atomic.Uint64
	leave    chan struct{}
	leaving  sync.Once
}

func startRunner(store *store, id, zone string, note func(arrival)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), store: store, note: note,
		running: make(chan struct{}, slots), leave: make(chan struct{})}
	started.server = &http.Server{Handler: started}
	go func() { _ = started.server.Serve(listener) }()
	started.announce()
	go started.beat()
	return started, nil
}

func (runner *runner) announce() {
	runner.store.set("servers/"+runner.id, fields{"service": "ledger", "address": runner.address, "zone": runner.zone, "version": "v1",
		"slots": slots, "state": "ready", "coldRemainingMs": 0, "born": runner.born, "sequence": runner.sequence.Add(1)})
}

func (runner *runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			runner.announce()
		case <-runner.leave:
			return
		}
	}
}

// removeEntry removes the runner's entry without a report that it is draining. It returns when
// the store has acknowledged that. The runner goes on serving until exit is called.
func (runner *runner) removeEntry() time.Time {
	runner.leaving.Do(func() { close(runner.leave) })
	// A write of the entry that is in progress comes first.
	time.Sleep(time.Millisecond)
	return runner.store.remove("servers/" + runner.id)
}

func (runner *runner) isLeaving() bool {
	select {
	case <-runner.leave:
		return true
	default:
		return false
	}
}

func (runner *runner) exit() { _ = runner.server.Close() }

// ServeHTTP runs a booking.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if runner.isLeaving() {
		writer.Header().Set("Connection", "close")
	}
	if request.URL.Path == "/health" {
		writer.Header().Set("Runner-Id", runner.id)
		if runner.isLeaving() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	at, attempt := time.Now(), request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, request.Body)
	refuse := func(status int) {
		writer.Header().Set("Runner-Id", runner.id)
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
		runner.note(arrival{runner: runner.id, attempt: attempt, at: at, status: status})
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != runner.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if runner.waiting.Add(1) > slots+queue {
		runner.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer runner.waiting.Add(-1)
	runner.running <- struct{}{}
	defer func() { <-runner.running }()
	runner.note(arrival{runner: runner.id, attempt: attempt, at: at, status: http.StatusOK})
	time.Sleep(workTime)
	writer.Header().Set("Response-Seal", "seal."+runner.id+"."+attempt)
	writer.Header().Set("Runner-Load", fmt.Sprintf("%d,0,%d", runner.waiting.Load(), slots))
	writer.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(writer, "receipt "+attempt+"\n")
}
