package entry_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// update rewrites the golden file with what the replay showed.
var update = flag.Bool("update", false, "rewrite golden files")

const (
	tracePieces   = 10
	tracePace     = 100 * time.Millisecond
	traceDeadline = "8s"

	// traceInterval and traceBound are the report interval and the grant bound
	// of the trace's groups.
	traceInterval = 250 * time.Millisecond
	traceBound    = time.Second
)

// A pipeNetwork connects clients and servers in memory, so that they run on
// the virtual clock of a synctest bubble.
type pipeNetwork map[string]*pipeListener

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (listener *pipeListener) Network() string { return "pipe" }
func (listener *pipeListener) String() string  { return listener.address }
func (listener *pipeListener) Addr() net.Addr  { return listener }

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// serve adds a server before the first dial.
func (network pipeNetwork) serve(t *testing.T, address string, handler http.Handler) {
	listener := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	network[address] = listener
	server := &http.Server{Handler: handler}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
}

func (network pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	listener, found := network[address]
	if !found {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case listener.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A traceLine is one request of a trace with the fault that meets it.
type traceLine struct {
	text      string
	at        time.Duration
	workspace string
	kind      string
	fault     string

	// name is the prompt of a draft and the idempotency key of a booking. A
	// repeat has the name of the booking before it.
	name string
}

func readTrace(t *testing.T, path string) []traceLine {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var lines []traceLine
	booked := ""
	scanner := bufio.NewScanner(strings.NewReader(string(data)))
	for scanner.Scan() {
		text := strings.Join(strings.Fields(scanner.Text()), " ")
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		require.Len(t, fields, 4, text)
		at, err := time.ParseDuration(fields[0])
		require.NoError(t, err, text)
		line := traceLine{text: text, at: at, workspace: fields[1], kind: fields[2], fault: fields[3]}
		line.name = fmt.Sprintf("%s-%d", line.fault, len(lines))
		if line.kind == "repeat" {
			line.name = booked
		}
		if line.kind == "booking" {
			booked = line.name
		}
		lines = append(lines, line)
	}
	return lines
}

// A replay is one node with two groups and two service runners that a trace is
// replayed through.
type replay struct {
	*harness
	network pipeNetwork

	mutex  sync.Mutex
	runs   map[string]int
	tries  map[string]int
	lapsed map[string]time.Time
}

func newReplay(t *testing.T) *replay {
	run := &replay{
		network: pipeNetwork{},
		runs:    map[string]int{},
		tries:   map[string]int{},
		lapsed:  map[string]time.Time{},
	}
	run.harness = newServer(t, func(config *entry.Config) {
		config.Generator.Dial = run.network.dial
		config.Generator.FirstTimeout = 0
		config.Generator.ProgressTimeout = time.Second
		config.Service.Dial = run.network.dial
	})
	run.network.serve(t, "node:80", run.server)
	run.url = "http://node:80"
	run.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: run.network.dial}}
	for _, name := range []string{"copy-1", "copy-2"} {
		fake := &fakeEngine{emit: run.emit}
		run.network.serve(t, name+":80", run.refuse(fake.handler()))
		run.addGroupAt(name, name+":80", traceBound)
	}
	for _, address := range []string{"planks-1:80", "planks-2:80"} {
		run.network.serve(t, address, http.HandlerFunc(run.book))
		run.addService(address)
	}
	run.store.onPut = run.put
	t.Cleanup(run.server.Close)
	return run
}

// first counts the tries of a request and reports whether this is the first.
func (run *replay) first(name string) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.tries[name]++
	return run.tries[name] == 1
}

// refuse answers the first try of a draft with the fault "refused" without
// running it.
func (run *replay) refuse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if strings.Contains(string(body), `"refused-`) && run.first("refuse") {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		next.ServeHTTP(writer, request)
	})
}

// emit generates at a steady pace; a fault meets the first attempt only.
func (run *replay) emit(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
	fault := ""
	if run.first(request.Prompt) {
		fault, _, _ = strings.Cut(request.Prompt, "-")
	}
	for index := request.ResumeIndex; index < request.MaxTokens; index++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tracePace):
		}
		piece := engine.Piece{Attempt: request.Attempt, Index: index, Text: token(request.Prompt, index)}
		if index == 3 {
			switch fault {
			case "reset":
				panic(http.ErrAbortHandler)
			case "silent":
				<-ctx.Done()
				return
			case "truncated":
				return
			case "hole":
				continue
			case "foreign":
				send(engine.Piece{Attempt: "another", Index: index, Text: "foreign"})
			case "repeated":
				send(piece)
			}
		}
		send(piece)
	}
	sendDone(request, send)
}

// book is the booking service: it counts what it ran, by the body.
func (run *replay) book(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	name := string(body)
	if request.Method == http.MethodGet {
		name = strings.TrimPrefix(request.URL.Path, "/planks/")
	}
	fault, _, _ := strings.Cut(name, "-")
	first := run.first(name)
	if fault == "refused" && first || fault == "unavailable" {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run.mutex.Lock()
	run.runs[name]++
	run.mutex.Unlock()
	switch {
	case fault == "reset" && first:
		panic(http.ErrAbortHandler)
	case fault == "silent" && first:
		<-request.Context().Done()
	case fault == "gateway":
		writer.WriteHeader(http.StatusGatewayTimeout)
	default:
		writer.WriteHeader(http.StatusCreated)
	}
}

// put is the fault of the store at a claim: "claim" loses the answers of all
// first writes of a key after they took effect.
func (run *replay) put(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
	if strings.Contains(string(request.Value), `"route":"bookings"`) && run.faulty(request.Key) {
		return kvstore.Unknown{Err: errLost}
	}
	return nil
}

// faulty reports whether the key's first write loses its answer now.
func (run *replay) faulty(key string) bool {
	run.mutex.Lock()
	_, losing := run.lapsed["answers"]
	run.mutex.Unlock()
	return losing && run.first(key)
}

// renew keeps the groups granted at the report interval until stop is closed,
// but for the groups that have lapsed.
func (run *replay) renewGrants(stop <-chan struct{}) {
	ticker := time.NewTicker(traceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, name := range []string{"copy-1", "copy-2"} {
			run.mutex.Lock()
			lapsed := time.Now().Before(run.lapsed[name])
			run.mutex.Unlock()
			if !lapsed {
				run.renew(name, traceBound)
			}
		}
	}
}

// strike makes the faults that meet the node and not one request.
func (run *replay) strike(fault string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch fault {
	case "member":
		run.lapsed["copy-1"] = time.Now().Add(4 * time.Second)
	case "lapse":
		run.lapsed["copy-1"] = time.Now().Add(2 * time.Second)
		run.lapsed["copy-2"] = time.Now().Add(2 * time.Second)
	case "grantless":
		run.lapsed["copy-1"] = time.Now().Add(12 * time.Second)
		run.lapsed["copy-2"] = time.Now().Add(12 * time.Second)
	case "answers":
		run.lapsed["answers"] = time.Now()
	}
}

// storeDown makes every call of the store fail or succeed.
func (run *replay) storeDown(down bool) {
	run.store.mutex.Lock()
	defer run.store.mutex.Unlock()
	run.store.replace = down
	run.store.getErr = nil
	run.store.onPut = run.put
	if down {
		run.store.getErr = errLost
		run.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome { return kvstore.Unknown{Err: errLost} }
	}
}

// ask makes the request of a line and returns what its caller saw.
func (run *replay) ask(line traceLine) string {
	run.strike(line.fault)
	if line.fault == "store" {
		run.storeDown(true)
		defer run.storeDown(false)
	}
	header := map[string]string{"Lacewingspoke-Deadline": traceDeadline}
	switch line.kind {
	case "stream", "draft":
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":%t}`, line.name, tracePieces, line.kind == "stream")
		return run.judge(line, run.do(http.MethodPost, "/v1/completions", body, header))
	case "booking", "repeat":
		header["Idempotency-Key"] = line.name
		return run.judge(line, run.do(http.MethodPost, "/bookings", line.name, header))
	case "unkeyed":
		return run.judge(line, run.do(http.MethodPost, "/bookings", line.name, header))
	case "lookup":
		return run.judge(line, run.do(http.MethodGet, "/planks/"+line.name, "", header))
	default:
		run.t.Errorf("kind %q is unknown", line.kind)
		return ""
	}
}

// judge compares a reply with what the caller should have been told.
func (run *replay) judge(line traceLine, got reply) string {
	told := fmt.Sprint(got.status, " ", got.outcome())
	switch line.kind {
	case "stream":
		if got.status == http.StatusOK {
			text, done := got.streamed(run.t)
			told += " " + extent(text, wholeText(line.name, tracePieces), done && got.err == nil)
		}
	case "draft":
		if got.status == http.StatusOK {
			escaped := strings.NewReplacer("<", `\u003c`, ">", `\u003e`).Replace(wholeText(line.name, tracePieces))
			require.Contains(run.t, got.body, `"text":"`+escaped+`"`)
			told += " whole"
		}
	default:
		run.mutex.Lock()
		told += fmt.Sprintf(" runs=%d", run.runs[line.name])
		run.mutex.Unlock()
		if got.header.Get("Lacewingspoke-Replay") != "" {
			told += " replay"
		}
	}
	return told
}

// extent says how much of the right text arrived, and how the stream ended.
func extent(text, whole string, done bool) string {
	switch {
	case text == whole && done:
		return "whole"
	case strings.HasPrefix(whole, text) && !done:
		return "cut"
	default:
		return "wrong"
	}
}

// Replays a trace of requests and faults on a virtual clock. Guards against a
// change of what callers are told, against a second run of a booking and
// against an answer that is not whole.
func TestTraceWithFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newReplay(t)
		lines := readTrace(t, "testdata/faults.trace")
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			run.renewGrants(stop)
		}()
		told := make([]string, len(lines))
		var callers sync.WaitGroup
		for index, line := range lines {
			callers.Go(func() {
				<-time.After(line.at)
				told[index] = line.text + " -> " + run.ask(line) + "\n"
			})
		}
		callers.Wait()
		close(stop)
		<-ended
		got := strings.Join(told, "")
		if *update {
			require.NoError(t, os.WriteFile("testdata/faults.golden", []byte(got), 0o644))
		}
		want, err := os.ReadFile("testdata/faults.golden")
		require.NoError(t, err)
		require.Equal(t, string(want), got)
	})
}
