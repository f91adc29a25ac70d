package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	benchKey       = "bench-key"
	latencyTokens  = 16
	latencyRuns    = 300
	reportInterval = 250 * time.Millisecond
	relayTokens    = 2000
	relayRuns      = 100
	relayCallers   = 8
)

// A testbed is a node with one engine, both on loopback in this process.
type testbed struct {
	engineHTTP    *http.Server
	engineAddress string
	nodeHTTP      *http.Server
	nodeAddress   string
	server        *entry.Server
	publisher     *route.Publisher
	folder        *folder.Folder
}

func newTestbed() (*testbed, error) {
	sum := sha256.Sum256([]byte(benchKey))
	testbed := &testbed{publisher: route.NewPublisher(), folder: folder.New(folder.Config{
		Workspaces: []folder.Workspace{{Name: "w", KeyDigests: []string{hex.EncodeToString(sum[:])}, Weight: 1, Deadline: time.Minute}},
		Routes:     []folder.Route{{Name: "r", Workspace: "w", PathPrefix: "/v1", Kind: folder.KindDraft, Group: "g"}},
		Groups:     []folder.Group{{Name: "g"}},
		Policy:     folder.Policy{RetryPercent: 10},
	})}
	var err error
	testbed.engineHTTP, testbed.engineAddress, err = listenAndServe(http.HandlerFunc(generateTokens))
	if err != nil {
		return nil, err
	}
	testbed.server, err = entry.New(entry.Config{Publisher: testbed.publisher, Node: "bench", FailureDomain: "d"})
	if err != nil {
		return nil, errors.Trace(err)
	}
	testbed.nodeHTTP, testbed.nodeAddress, err = listenAndServe(testbed.server)
	return testbed, err
}

func (testbed *testbed) close() {
	_ = testbed.nodeHTTP.Close()
	testbed.server.Close()
	_ = testbed.engineHTTP.Close()
}

func listenAndServe(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// generateTokens is the handler of an engine that generates without delay. It
// flushes the first token by itself, so that its arrival can be timed.
func generateTokens(writer http.ResponseWriter, request *http.Request) {
	var generate engine.Generate
	if err := json.NewDecoder(request.Body).Decode(&generate); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	buffer := bufio.NewWriterSize(writer, 4<<10)
	for index := range generate.MaxTokens {
		fmt.Fprintf(buffer, "data: {\"attempt\":%q,\"index\":%d,\"text\":\" token\"}\n\n", generate.Attempt, index)
		if index == 0 {
			_ = buffer.Flush()
			_ = http.NewResponseController(writer).Flush()
		}
	}
	fmt.Fprintf(buffer, "data: {\"attempt\":%q,\"index\":%d,\"done\":true}\n\n", generate.Attempt, generate.MaxTokens)
	_ = buffer.Flush()
}

// publishGrant publishes a table with a grant for the group that was reported at
// reportedAt.
func (testbed *testbed) publishGrant(reportedAt time.Time) {
	testbed.publisher.Publish(route.NewTable(route.TableConfig{Folder: testbed.folder, Groups: []route.GroupTarget{{
		Name: "g-1", Spec: "g", Epoch: 1, Address: testbed.engineAddress, FailureDomain: "d", Open: true,
		Grant: group.Grant{Group: "g-1", Epoch: 1, ReportedAt: reportedAt, ValidUntil: time.Now().Add(time.Hour)},
	}}}))
}

// renewGrant publishes a new grant at every report interval until ctx ends.
func (testbed *testbed) renewGrant(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			testbed.publishGrant(now)
		}
	}
}

// streamTimes holds the times from the request to the first token and to the
// end of one stream.
type streamTimes struct{ first, end time.Duration }

func (testbed *testbed) requestEngine(tokens int) (streamTimes, error) {
	body, err := json.Marshal(engine.Generate{Attempt: "a", Prompt: "p", MaxTokens: tokens})
	if err != nil {
		return streamTimes{}, errors.Trace(err)
	}
	return timeStream("http://"+testbed.engineAddress+"/v1/generate", string(body))
}

func (testbed *testbed) requestNode(tokens int) (streamTimes, error) {
	body := fmt.Sprintf(`{"prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	return timeStream("http://"+testbed.nodeAddress+"/v1/completions", body)
}

// timeStream requests a stream on a new connection and times it. Callers behind
// the balancer and the node itself also use a new connection for each request.
func timeStream(url, body string) (streamTimes, error) {
	started := time.Now()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return streamTimes{}, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+benchKey)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamTimes{}, errors.Trace(err)
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadSlice('\n'); err != nil {
		return streamTimes{}, errors.Trace(err)
	}
	first := time.Since(started)
	_, err = io.Copy(io.Discard, reader)
	return streamTimes{first: first, end: time.Since(started)}, errors.Trace(err)
}

func percentile(values []time.Duration, fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// addedLatency measures the latency that the node adds: it compares requests
// through the node with requests directly to the engine, one at a time.
func addedLatency() ([]tableRow, error) {
	testbed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	testbed.publishGrant(time.Now().Add(time.Hour))
	direct, err := sampleLatency(testbed.requestEngine, latencyRuns)
	if err != nil {
		return nil, err
	}
	relayed, err := sampleLatency(testbed.requestNode, latencyRuns)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	testbed.publishGrant(time.Now())
	go func() {
		defer close(stopped)
		testbed.renewGrant(ctx)
	}()
	// Starts each request at a random time between two reports, because the node
	// delays the end of a stream until a later report confirms the grant.
	random := rand.New(rand.NewPCG(routingSeed, 4))
	held, err := sampleLatency(func(tokens int) (streamTimes, error) {
		time.Sleep(time.Duration(random.Float64() * float64(reportInterval)))
		return testbed.requestNode(tokens)
	}, latencyRuns/10)
	cancel()
	<-stopped
	if err != nil {
		return nil, err
	}
	rows := []tableRow{}
	for _, part := range []float64{0.5, 0.95, 0.99} {
		add := func(name string, after, before []time.Duration, note string) {
			value := percentile(after, part) - percentile(before, part)
			rows = append(rows, tableRow{fmt.Sprintf("%s, p%.0f", name, part*100), value.Round(time.Microsecond).String(), note})
		}
		note := fmt.Sprintf("loopback, %d tokens, %d runs, over straight to the engine", latencyTokens, latencyRuns)
		add("added latency, first token", relayed.first, direct.first, note)
		add("added latency, whole answer", relayed.end, direct.end, note+", grant confirms at once")
		add("added latency, whole answer, held end", held.end, direct.end, fmt.Sprintf("reports every %s, %d runs", reportInterval, latencyRuns/10))
	}
	return rows, nil
}

type latencySamples struct{ first, end []time.Duration }

func sampleLatency(request func(int) (streamTimes, error), runs int) (latencySamples, error) {
	var result latencySamples
	for range runs {
		measured, err := request(latencyTokens)
		if err != nil {
			return latencySamples{}, err
		}
		result.first = append(result.first, measured.first)
		result.end = append(result.end, measured.end)
	}
	return result, nil
}

// relayCost measures the processor time that the node takes to relay a token. It
// subtracts the processor time of streams directly from the engine, which
// includes caller and engine, from that of streams through the node.
func relayCost() ([]tableRow, error) {
	testbed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	testbed.publishGrant(time.Now().Add(time.Hour))
	direct, err := processorTime(testbed.requestEngine)
	if err != nil {
		return nil, err
	}
	relayed, err := processorTime(testbed.requestNode)
	if err != nil {
		return nil, err
	}
	perToken := float64(relayed-direct) / float64(relayTokens*relayRuns)
	note := fmt.Sprintf("processor time through the node less straight, %d streams of %d tokens, %d at once", relayRuns, relayTokens, relayCallers)
	return []tableRow{
		{"relay cost per token", fmt.Sprintf("%.2f µs", perToken/float64(time.Microsecond)), note},
		{"tokens per second relayed on one core", fmt.Sprintf("%.0f", float64(time.Second)/perToken), note},
	}, nil
}

// processorTime returns the processor time that this process takes for the relay
// runs.
func processorTime(request func(int) (streamTimes, error)) (time.Duration, error) {
	started, err := currentProcessorTime()
	if err != nil {
		return 0, err
	}
	results := make(chan error, relayCallers)
	for range relayCallers {
		go func() {
			var err error
			for range relayRuns / relayCallers {
				if _, runErr := request(relayTokens); runErr != nil {
					err = runErr
				}
			}
			results <- err
		}()
	}
	for range relayCallers {
		if runErr := <-results; runErr != nil {
			err = runErr
		}
	}
	if err != nil {
		return 0, err
	}
	ended, err := currentProcessorTime()
	return ended - started, err
}

func currentProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Trace(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
