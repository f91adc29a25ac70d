// Command standin3 plays the cases of the third review that are scripts. It holds the
// stand-ins of the platform's store, of runners and of clients, and starts the nodes as
// processes of their own with the command of the deploy file.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	host         = "ficu95.example"
	plainService = "wuno96b"
	heartbeat    = 1200 * time.Millisecond

	// touchTime is the time after their start in which machines are not in touch yet:
	// stableWindowMs and a reserve.
	touchTime = 3500 * time.Millisecond
)

// A scenario is one play of a case.
type scenario struct {
	trouble bool
	work    string
	store   *store
	address string
	nodes   []*node

	// mutex guards the start and the end of the nodes.
	mutex sync.Mutex

	record *recorder
	key    string

	// coldOverage and evacuation are the bounds coldOverage and evacuateMs, empty where the
	// deployment has none.
	coldOverage, evacuation string
}

// A recorder writes what was sent, answered and run.
type recorder struct {
	mutex  sync.Mutex
	output io.Writer
	began  time.Time
}

func (recorder *recorder) line(format string, values ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	fmt.Fprintf(recorder.output, "%8.3f  %s\n", time.Since(recorder.began).Seconds(), fmt.Sprintf(format, values...))
}

// A node is one process of the system.
type node struct {
	name, ip string
	frontend string
	ready    string
	command  *exec.Cmd
	ended    chan struct{}
}

var cases = map[string]func(scenario *scenario) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "the case to play")
	output := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *output))
}

func play(name, output string) int {
	run, found := cases[name]
	file, err := os.Create(output)
	if !found || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	defer file.Close()
	work, err := os.MkdirTemp("", "case")
	if err != nil {
		return exitNotRun
	}
	defer os.RemoveAll(work)
	played := &scenario{trouble: os.Getenv("TROUBLE") != "0", work: work, store: newStore(), key: apiKey, record: &recorder{output: file, began: time.Now()}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	played.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, played.store) }()
	defer played.endNodes()
	go played.endOnSignal()
	broken, err := run(played)
	switch {
	case err != nil:
		played.record.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		played.record.line("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	played.record.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// freePorts returns different ports that are free on all the addresses.
func freePorts(count int, ips []string) ([]int, error) {
	var ports []int
	for len(ports) < count {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		defer first.Close()
		port, free := first.Addr().(*net.TCPAddr).Port, true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			defer other.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// settings is deploy/node.ini.tmpl as the platform fills it in for a small deployment.
const settings = `[node]
name           = %[1]s
failure-domain = %[2]s
stop-notice    = 2500ms
processor-share = 0.4
bootstrap      = yes

[listen]
callers = %[3]s:%[4]d
ready   = %[3]s:%[5]d
peers   = %[3]s:%[6]d
admin   = %[3]s:%[7]d

[store]
addresses = %[8]s
timeout   = 1s
protocol  = shared

[bounds]
revocation   = 5000ms
retry-ratio  = 0.2
retry-slack  = 130
retry-window = 10s
load-window  = 5s
drain        = 2000ms
announcement = 1200ms
`

var zones = []string{"constanta-port", "mamaia-north", "eforie-south"}

// startNodes starts the nodes, on loopback addresses of their own and the same ports.
func (scenario *scenario) startNodes(count int) error {
	var ips []string
	for index := range count {
		ips = append(ips, fmt.Sprintf("127.43.%d.%d", os.Getpid()%250, 10+index))
	}
	ports, err := freePorts(4, ips)
	if err != nil {
		return err
	}
	for index, ip := range ips {
		zone := zones[index%len(zones)]
		started := &node{name: fmt.Sprintf("edge-%s-%d", zone, 1+index/len(zones)), ip: ip, ended: make(chan struct{})}
		started.frontend = fmt.Sprintf("%s:%d", started.ip, ports[0])
		started.ready = fmt.Sprintf("%s:%d", started.ip, ports[1])
		path := filepath.Join(scenario.work, started.name+".ini")
		text := fmt.Sprintf(settings, started.name, zone, started.ip, ports[0], ports[1], ports[2], ports[3], scenario.address)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(scenario.work, started.name+".log"))
		if err != nil {
			return err
		}
		started.command = exec.Command("target/lacewingspoke", "node")
		started.command.Stdout, started.command.Stderr = log, log
		started.command.Env = []string{
			"PATH=" + os.Getenv("PATH"), "LACEWINGSPOKE_NODE_FILE=" + path, "LACEWINGSPOKE_STOP_GRACE=8s", "LACEWINGSPOKE_MEMORY=284MiB",
			"LACEWINGSPOKE_DESCRIPTORS=4200", "LACEWINGSPOKE_EVACUATION=" + scenario.evacuation + "ms", "LACEWINGSPOKE_COLD_OVERAGE=" + scenario.coldOverage, "LACEWINGSPOKE_FOLLOW_DEMAND=true",
		}
		scenario.mutex.Lock()
		if err := started.command.Start(); err != nil {
			scenario.mutex.Unlock()
			return err
		}
		go func() {
			_ = started.command.Wait()
			close(started.ended)
		}()
		scenario.nodes = append(scenario.nodes, started)
		scenario.mutex.Unlock()
	}
	for _, started := range scenario.nodes {
		if err := started.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(touchTime)
	return nil
}

func (node *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + node.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", node.name)
}

// endOnSignal ends the nodes and the case when it is told to end.
func (scenario *scenario) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	scenario.endLocked()
	_ = os.RemoveAll(scenario.work)
	os.Exit(exitNotRun)
}

func (scenario *scenario) endNodes() {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	scenario.endLocked()
}

func (scenario *scenario) endLocked() {
	for _, started := range scenario.nodes {
		_ = started.command.Process.Signal(syscall.SIGTERM)
	}
	for _, started := range scenario.nodes {
		select {
		case <-started.ended:
		case <-time.After(9 * time.Second):
			_ = started.command.Process.Kill()
			<-started.ended
		}
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		for _, started := range scenario.nodes {
			data, _ := os.ReadFile(filepath.Join(scenario.work, started.name+".log"))
			_ = os.WriteFile(filepath.Join(folder, started.name+".log"), data, 0o600)
		}
	}
}

// configure writes a configuration with routes to the plain service.
func (scenario *scenario) configure(version int) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2,
			"service": plainService, "maxAttempts": attempts, "public": false,
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-booking", "/puxa403/", "non_idempotent", 1), route("r-lookup", "/cufi504/", "idempotent", 2)},
		"services": []any{map[string]any{"name": plainService, "healthCheck": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	scenario.store.set("op/config", value)
}

// A runner is a sound runner of the plain service.
type runner struct {
	scenario *scenario
	id       string
	address  string
	zone     string
	born     int64

	// ran is told of each request that the runner runs, and handle answers in place of the
	// runner. They may be nil.
	ran    func(attempt string)
	handle http.HandlerFunc

	mutex    sync.Mutex
	sequence int

	// failure returns the status with which a request fails after it has run, 0 for none.
	failure func(attempt string) int
}

func (runner *runner) setFailure(failure func(attempt string) int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.failure = failure
}

func (scenario *scenario) startRunner(id, zone string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{scenario: scenario, id: id, address: listener.Addr().String(), zone: zone, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(listener, started) }()
	started.announce()
	go func() {
		for range time.Tick(heartbeat) {
			started.announce()
		}
	}()
	return started, nil
}

func (runner *runner) announce() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": plainService, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": runner.sequence, "born": runner.born,
	})
	runner.scenario.store.set("servers/"+runner.id, value)
}

func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != runner.id {
		writer.Header().Set("Runner-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if runner.handle != nil {
		runner.handle(writer, request)
		return
	}
	runner.scenario.record.line("runner %s runs request %s: %s %s, %d bytes", runner.id, attempt, request.Method, request.RequestURI, len(body))
	if runner.ran != nil {
		runner.ran(attempt)
	}
	time.Sleep(30 * time.Millisecond)
	writer.Header().Set("Attempt-Id", attempt)
	writer.Header().Set("Response-Seal", "3e1b.07."+attempt)
	writer.Header().Set("Runner-Load", "1,0,6")
	runner.mutex.Lock()
	failure := runner.failure
	runner.mutex.Unlock()
	if failure != nil {
		if status := failure(attempt); status != 0 {
			scenario := runner.scenario
			scenario.record.line("runner %s answers request %s with %d, without Not-Executed", runner.id, attempt, status)
			writer.WriteHeader(status)
			return
		}
	}
	_, _ = writer.Write([]byte(strings.Repeat("x", 800)))
}

// An answer is what a client got for one attempt.
type answer struct {
	attempt string
	status  int
	sealed  bool
	err     error
}

// send sends one attempt of a client on a new connection.
func (scenario *scenario) send(node *node, method, path string, body string) answer {
	return scenario.sendWith(node, method, path, body, nil)
}

// sendWith sends an attempt with further headers.
func (scenario *scenario) sendWith(node *node, method, path, body string, headers map[string]string) answer {
	sent := answer{attempt: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.frontend+path, strings.NewReader(body))
	if err != nil {
		sent.err = err
		return sent
	}
	request.Host = host
	request.Header.Set("Attempt-Id", sent.attempt)
	request.Header.Set("Key", scenario.key)
	request.Header.Set("Deadline-Ms", "2500")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	scenario.record.line("request %s sent to %s: %s %s", sent.attempt, node.name, method, path)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		sent.err = err
		scenario.record.line("request %s has no answer: %v", sent.attempt, err)
		return sent
	}
	defer response.Body.Close()
	_, sent.err = io.ReadAll(response.Body)
	sent.status, sent.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
	scenario.record.line("request %s is answered %d, signed by a runner: %v", sent.attempt, sent.status, sent.sealed)
	return sent
}
