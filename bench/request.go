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

// A bed is a node before one engine, on loopback in this process.
type bed struct {
	engine    *http.Server
	engineAt  string
	front     *http.Server
	frontAt   string
	server    *entry.Server
	publisher *route.Publisher
	folder    *folder.Folder
}

func newBed() (*bed, error) {
	sum := sha256.Sum256([]byte(benchKey))
	built := &bed{publisher: route.NewPublisher(), folder: folder.New(folder.Config{
		Workspaces: []folder.Workspace{{Name: "w", KeyDigests: []string{hex.EncodeToString(sum[:])}, Weight: 1, Deadline: time.Minute}},
		Routes:     []folder.Route{{Name: "r", Workspace: "w", PathPrefix: "/v1", Kind: folder.KindDraft, Group: "g"}},
		Groups:     []folder.Group{{Name: "g"}},
		Policy:     folder.Policy{RetryPercent: 10},
	})}
	var err error
	built.engine, built.engineAt, err = serve(http.HandlerFunc(emit))
	if err != nil {
		return nil, err
	}
	built.server, err = entry.New(entry.Config{Publisher: built.publisher, Node: "bench", FailureDomain: "d"})
	if err != nil {
		return nil, errors.Trace(err)
	}
	built.front, built.frontAt, err = serve(built.server)
	return built, err
}

func (built *bed) close() {
	_ = built.front.Close()
	built.server.Close()
	_ = built.engine.Close()
}

func serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// emit is an engine that has all tokens at once.
func emit(writer http.ResponseWriter, request *http.Request) {
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

// grant publishes a grant that was reported at a time.
func (built *bed) grant(reportedAt time.Time) {
	built.publisher.Publish(route.NewTable(route.TableConfig{Folder: built.folder, Groups: []route.GroupTarget{{
		Name: "g-1", Spec: "g", Epoch: 1, Address: built.engineAt, FailureDomain: "d", Open: true,
		Grant: group.Grant{Group: "g-1", Epoch: 1, ReportedAt: reportedAt, ValidUntil: time.Now().Add(time.Hour)},
	}}}))
}

// report renews the grant at the report interval until ctx ends.
func (built *bed) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			built.grant(now)
		}
	}
}

// times are the first token and the end of one answer.
type times struct{ first, end time.Duration }

func (built *bed) straight(tokens int) (times, error) {
	body, err := json.Marshal(engine.Generate{Attempt: "a", Prompt: "p", MaxTokens: tokens})
	if err != nil {
		return times{}, errors.Trace(err)
	}
	return timed("http://"+built.engineAt+"/v1/generate", string(body))
}

func (built *bed) through(tokens int) (times, error) {
	body := fmt.Sprintf(`{"prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	return timed("http://"+built.frontAt+"/v1/completions", body)
}

// timed reads a stream on a connection of its own, as a caller behind the
// balancer and the node itself do.
func timed(url, body string) (times, error) {
	started := time.Now()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return times{}, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+benchKey)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return times{}, errors.Trace(err)
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadSlice('\n'); err != nil {
		return times{}, errors.Trace(err)
	}
	first := time.Since(started)
	_, err = io.Copy(io.Discard, reader)
	return times{first: first, end: time.Since(started)}, errors.Trace(err)
}

func quantile(values []time.Duration, part float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

// addedLatency compares one caller at a time through the node and straight to
// the engine.
func addedLatency() ([]measure, error) {
	built, err := newBed()
	if err != nil {
		return nil, err
	}
	defer built.close()
	built.grant(time.Now().Add(time.Hour))
	straight, err := sample(built.straight, latencyRuns)
	if err != nil {
		return nil, err
	}
	through, err := sample(built.through, latencyRuns)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	built.grant(time.Now())
	go func() {
		defer close(ended)
		built.report(ctx)
	}()
	// A request starts at any time between two reports.
	random := rand.New(rand.NewPCG(routingSeed, 4))
	held, err := sample(func(tokens int) (times, error) {
		time.Sleep(time.Duration(random.Float64() * float64(reportInterval)))
		return built.through(tokens)
	}, latencyRuns/10)
	cancel()
	<-ended
	if err != nil {
		return nil, err
	}
	rows := []measure{}
	for _, part := range []float64{0.5, 0.95, 0.99} {
		add := func(name string, after, before []time.Duration, note string) {
			value := quantile(after, part) - quantile(before, part)
			rows = append(rows, measure{fmt.Sprintf("%s, p%.0f", name, part*100), value.Round(time.Microsecond).String(), note})
		}
		note := fmt.Sprintf("loopback, %d tokens, %d runs, over straight to the engine", latencyTokens, latencyRuns)
		add("added latency, first token", through.first, straight.first, note)
		add("added latency, whole answer", through.end, straight.end, note+", grant confirms at once")
		add("added latency, whole answer, held end", held.end, straight.end, fmt.Sprintf("reports every %s, %d runs", reportInterval, latencyRuns/10))
	}
	return rows, nil
}

type samples struct{ first, end []time.Duration }

func sample(request func(int) (times, error), runs int) (samples, error) {
	var result samples
	for range runs {
		measured, err := request(latencyTokens)
		if err != nil {
			return samples{}, err
		}
		result.first = append(result.first, measured.first)
		result.end = append(result.end, measured.end)
	}
	return result, nil
}

// relayCost compares the processor time of streams through the node and
// straight to the engine, which leaves the node's own part.
func relayCost() ([]measure, error) {
	built, err := newBed()
	if err != nil {
		return nil, err
	}
	defer built.close()
	built.grant(time.Now().Add(time.Hour))
	straight, err := processorTime(built.straight)
	if err != nil {
		return nil, err
	}
	through, err := processorTime(built.through)
	if err != nil {
		return nil, err
	}
	perToken := float64(through-straight) / float64(relayTokens*relayRuns)
	note := fmt.Sprintf("processor time through the node less straight, %d streams of %d tokens, %d at once", relayRuns, relayTokens, relayCallers)
	return []measure{
		{"relay cost per token", fmt.Sprintf("%.2f µs", perToken/float64(time.Microsecond)), note},
		{"tokens per second relayed on one core", fmt.Sprintf("%.0f", float64(time.Second)/perToken), note},
	}, nil
}

// processorTime returns the process's processor time of the relay runs.
func processorTime(request func(int) (times, error)) (time.Duration, error) {
	started, err := usedTime()
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
	ended, err := usedTime()
	return ended - started, err
}

func usedTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Trace(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
