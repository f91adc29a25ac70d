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

// update makes the test rewrite the golden file with the results of the replay.
var update = flag.Bool("update", false, "rewrite golden files")

const (
	tracePieces        = 10
	traceTokenInterval = 100 * time.Millisecond
	traceDeadline      = "8s"

	// traceReportInterval and traceGrantBound are the report interval and the
	// grant validity of the trace's groups.
	traceReportInterval = 250 * time.Millisecond
	traceGrantBound     = time.Second
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

// serve starts a server at an address. It must be called before the first dial.
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
	client, server := net.Pipe()
	select {
	case listener.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A traceLine is one request of a trace and the fault injected with it.
type traceLine struct {
	text      string
	at        time.Duration
	workspace string
	kind      string
	fault     string

	// name is the prompt of a draft and the idempotency key of a booking. A
	// repeat has the name of the preceding booking.
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

// A replay runs a trace against one entry server with two groups and two service
// runners.
type replay struct {
	*harness
	network pipeNetwork

	mutex sync.Mutex

	// runs counts how often the service ran each request. attempts counts the
	// attempts of each request and the writes of each claim.
	runs     map[string]int
	attempts map[string]int

	// faultEnds holds the time until which the grant of each group is withheld.
	// The key "answers" is present while responses to claim writes are lost.
	faultEnds map[string]time.Time
}

func newReplay(t *testing.T) *replay {
	run := &replay{
		network:   pipeNetwork{},
		runs:      map[string]int{},
		attempts:  map[string]int{},
		faultEnds: map[string]time.Time{},
	}
	run.harness = newServer(t, func(config *entry.Config) {
		config.Generator.Dial = run.network.dial
		config.Generator.FirstPieceTimeout = 0
		config.Generator.ProgressTimeout = time.Second
		config.Service.Dial = run.network.dial
	})
	run.network.serve(t, "node:80", run.server)
	run.url = "http://node:80"
	run.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: run.network.dial}}
	for _, name := range []string{"copy-1", "copy-2"} {
		fake := &fakeEngine{emit: run.emit}
		run.network.serve(t, name+":80", run.refuseFirst(fake.handler()))
		run.addGroupAt(name, name+":80", traceGrantBound)
	}
	for _, address := range []string{"planks-1:80", "planks-2:80"} {
		run.network.serve(t, address, http.HandlerFunc(run.serveService))
		run.addService(address)
	}
	run.store.onPut = run.onStorePut
	t.Cleanup(run.server.Close)
	return run
}

// isFirstAttempt counts the attempts of a request and reports whether this is
// the first one.
func (run *replay) isFirstAttempt(name string) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.attempts[name]++
	return run.attempts[name] == 1
}

// refuseFirst refuses the first attempt of a draft with the fault "refused".
func (run *replay) refuseFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if strings.Contains(string(body), `"refused-`) && run.isFirstAttempt("refuse") {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		next.ServeHTTP(writer, request)
	})
}

// emit sends pieces at a fixed interval. The fault affects the first attempt
// only.
func (run *replay) emit(ctx context.Context, request engine.Generate, send func(engine.Piece)) {
	fault := ""
	if run.isFirstAttempt(request.Prompt) {
		fault, _, _ = strings.Cut(request.Prompt, "-")
	}
	for index := request.ResumeIndex; index < request.MaxTokens; index++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(traceTokenInterval):
		}
		piece := engine.Piece{Attempt: request.Attempt, Index: index, Text: pieceText(request.Prompt, index)}
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

// serveService is the handler of the service's runners. It counts the requests
// that it ran by their names.
func (run *replay) serveService(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	name := string(body)
	if request.Method == http.MethodGet {
		name = strings.TrimPrefix(request.URL.Path, "/planks/")
	}
	fault, _, _ := strings.Cut(name, "-")
	first := run.isFirstAttempt(name)
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

// onStorePut injects the fault "answers": the response to the first write of
// each claim is lost after the write took effect.
func (run *replay) onStorePut(_ int, request kvstore.PutRequest) kvstore.PutOutcome {
	if strings.Contains(string(request.Value), `"route":"bookings"`) && run.losesResponse(request.Key) {
		return kvstore.Unknown{Err: errResponseLost}
	}
	return nil
}

// losesResponse reports whether the response to this write of the key is lost.
func (run *replay) losesResponse(key string) bool {
	run.mutex.Lock()
	_, active := run.faultEnds["answers"]
	run.mutex.Unlock()
	return active && run.isFirstAttempt(key)
}

// renewGrants renews the grants at the report interval until stop is closed. It
// skips groups while a fault withholds their grants.
func (run *replay) renewGrants(stop <-chan struct{}) {
	ticker := time.NewTicker(traceReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, name := range []string{"copy-1", "copy-2"} {
			run.mutex.Lock()
			withheld := time.Now().Before(run.faultEnds[name])
			run.mutex.Unlock()
			if !withheld {
				run.renew(name, traceGrantBound)
			}
		}
	}
}

// injectFault starts the faults of grants and of the store, which affect all
// requests and not only that of one line.
func (run *replay) injectFault(fault string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch fault {
	case "member":
		run.faultEnds["copy-1"] = time.Now().Add(4 * time.Second)
	case "lapse":
		run.faultEnds["copy-1"] = time.Now().Add(2 * time.Second)
		run.faultEnds["copy-2"] = time.Now().Add(2 * time.Second)
	case "grantless":
		run.faultEnds["copy-1"] = time.Now().Add(12 * time.Second)
		run.faultEnds["copy-2"] = time.Now().Add(12 * time.Second)
	case "answers":
		run.faultEnds["answers"] = time.Now()
	}
}

// setStoreDown makes all reads and writes of the store fail, or ends the outage.
func (run *replay) setStoreDown(down bool) {
	run.store.mutex.Lock()
	defer run.store.mutex.Unlock()
	run.store.replace = down
	run.store.getErr = nil
	run.store.onPut = run.onStorePut
	if down {
		run.store.getErr = errResponseLost
		run.store.onPut = func(int, kvstore.PutRequest) kvstore.PutOutcome { return kvstore.Unknown{Err: errResponseLost} }
	}
}

// sendLine sends the request of a line and returns a description of its reply.
func (run *replay) sendLine(line traceLine) string {
	run.injectFault(line.fault)
	if line.fault == "store" {
		run.setStoreDown(true)
		defer run.setStoreDown(false)
	}
	header := map[string]string{"Lacewingspoke-Deadline": traceDeadline}
	switch line.kind {
	case "stream", "draft":
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":%t}`, line.name, tracePieces, line.kind == "stream")
		return run.describe(line, run.do(http.MethodPost, "/v1/completions", body, header))
	case "booking", "repeat":
		header["Idempotency-Key"] = line.name
		return run.describe(line, run.do(http.MethodPost, "/bookings", line.name, header))
	case "unkeyed":
		return run.describe(line, run.do(http.MethodPost, "/bookings", line.name, header))
	case "lookup":
		return run.describe(line, run.do(http.MethodGet, "/planks/"+line.name, "", header))
	default:
		run.t.Errorf("kind %q is unknown", line.kind)
		return ""
	}
}

// describe returns the status and the outcome of a reply, and what the caller
// received of the answer or how often the service ran the request.
func (run *replay) describe(line traceLine, got reply) string {
	description := fmt.Sprint(got.status, " ", got.outcome())
	switch line.kind {
	case "stream":
		if got.status == http.StatusOK {
			text, done := got.parseStream(run.t)
			description += " " + describeStream(text, answerText(line.name, tracePieces), done && got.err == nil)
		}
	case "draft":
		if got.status == http.StatusOK {
			escaped := strings.NewReplacer("<", `\u003c`, ">", `\u003e`).Replace(answerText(line.name, tracePieces))
			require.Contains(run.t, got.body, `"text":"`+escaped+`"`)
			description += " whole"
		}
	default:
		run.mutex.Lock()
		description += fmt.Sprintf(" runs=%d", run.runs[line.name])
		run.mutex.Unlock()
		if got.header.Get("Lacewingspoke-Replay") != "" {
			description += " replay"
		}
	}
	return description
}

// describeStream reports whether a stream was complete, a correct beginning
// that was cut off, or wrong.
func describeStream(text, want string, done bool) string {
	switch {
	case text == want && done:
		return "whole"
	case strings.HasPrefix(want, text) && !done:
		return "cut"
	default:
		return "wrong"
	}
}

// Replays a trace of requests and faults on a virtual clock. Guards against
// changed statuses and outcomes, bookings that run twice, and incomplete answers
// that end cleanly.
func TestFaultTraceMatchesGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newReplay(t)
		lines := readTrace(t, "testdata/faults.trace")
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			run.renewGrants(stop)
		}()
		results := make([]string, len(lines))
		var callers sync.WaitGroup
		for index, line := range lines {
			callers.Go(func() {
				<-time.After(line.at)
				results[index] = line.text + " -> " + run.sendLine(line) + "\n"
			})
		}
		callers.Wait()
		close(stop)
		<-ended
		got := strings.Join(results, "")
		if *update {
			require.NoError(t, os.WriteFile("testdata/faults.golden", []byte(got), 0o644))
		}
		want, err := os.ReadFile("testdata/faults.golden")
		require.NoError(t, err)
		require.Equal(t, string(want), got)
	})
}
