package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	wire "lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const wait = 10 * time.Second

type client struct {
	t       *testing.T
	server  *httptest.Server
	standIn *engine.Engine
}

func start(t *testing.T, config engine.Config) client {
	config.VM = "vm-1"
	standIn := engine.New(config)
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	return client{t, server, standIn}
}

func (client client) post(path string, body any) *http.Response {
	data, err := json.Marshal(body)
	require.NoError(client.t, err)
	response, err := client.server.Client().Post(client.server.URL+path, "application/json", bytes.NewReader(data))
	require.NoError(client.t, err)
	client.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (client client) load(epoch, fence uint64) int {
	return client.post("/v1/order", wire.Order{
		ID: "order", Fence: fence, ExpiresInMillis: 10_000, Action: wire.ActionLoad,
		Group: "g", Epoch: epoch, Size: 1, Model: "m", Version: "1",
	}).StatusCode
}

func (client client) report() wire.Report {
	response, err := client.server.Client().Get(client.server.URL + "/v1/report")
	require.NoError(client.t, err)
	defer response.Body.Close()
	var report wire.Report
	require.NoError(client.t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

func pieces(response *http.Response) []wire.Piece {
	var found []wire.Piece
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		var piece wire.Piece
		if isData && json.Unmarshal([]byte(data), &piece) == nil {
			found = append(found, piece)
		}
	}
	return found
}

func text(found []wire.Piece) string {
	var joined strings.Builder
	for _, piece := range found {
		joined.WriteString(piece.Text)
	}
	return joined.String()
}

// A resumed stream continues with the same tokens as an uninterrupted one.
// Guards against tokens that depend on the index at which a stream resumed.
func TestResumedStreamContinuesSameAnswer(t *testing.T) {
	client := start(t, engine.Config{})
	assert.Equal(t, http.StatusConflict, client.post("/v1/generate", wire.Generate{Group: "g", Epoch: 1}).StatusCode)
	require.Equal(t, http.StatusOK, client.load(1, 1))
	whole := pieces(client.post("/v1/generate", wire.Generate{
		Attempt: "a", Group: "g", Epoch: 1, Prompt: "hello", MaxTokens: 8,
	}))
	require.Len(t, whole, 9)
	assert.Equal(t, wire.Piece{Attempt: "a", Index: 8, Done: true}, whole[8])
	assert.Equal(t, engine.Answer("hello", 8), text(whole))
	rest := pieces(client.post("/v1/generate", wire.Generate{
		Attempt: "b", Group: "g", Epoch: 1, Prompt: "hello", MaxTokens: 8,
		ResumeIndex: 5, ResumeText: engine.Answer("hello", 5),
	}))
	assert.Equal(t, engine.Answer("hello", 8), engine.Answer("hello", 5)+text(rest))
	assert.NotEqual(t, engine.Answer("hello", 8), engine.Answer("other", 8))
	for _, line := range client.standIn.Record() {
		assert.False(t, line.WrongResume)
	}
}

// Guards against an engine with ChecksFencing that accepts an order with an old
// fencing number, against an engine without it that rejects one, and against an
// expired order that is accepted.
func TestOrderWithOldFenceIsRejectedOnlyIfChecked(t *testing.T) {
	checking := start(t, engine.Config{ChecksFencing: true})
	assert.Equal(t, http.StatusOK, checking.load(2, 5))
	assert.Equal(t, http.StatusConflict, checking.load(1, 4))
	assert.EqualValues(t, 2, checking.report().Epoch)
	ignoring := start(t, engine.Config{})
	assert.Equal(t, http.StatusOK, ignoring.load(2, 5))
	assert.Equal(t, http.StatusOK, ignoring.load(1, 4))
	assert.EqualValues(t, 1, ignoring.report().Epoch)
	expired := ignoring.post("/v1/order", wire.Order{Action: wire.ActionRelease})
	assert.Equal(t, http.StatusGone, expired.StatusCode)
}

// Guards against an order that is executed although it expired while a fault
// delayed it.
func TestDelayedOrderExpires(t *testing.T) {
	client := start(t, engine.Config{})
	require.NoError(t, client.standIn.Injector().Apply(fault.Order{
		Fault: fault.Delay, Amount: fault.Duration(30 * time.Millisecond),
	}))
	late := client.post("/v1/order", wire.Order{Action: wire.ActionLoad, Group: "g", ExpiresInMillis: 10})
	assert.Equal(t, http.StatusGone, late.StatusCode)
}

// Guards against an engine that is ready before its load time has passed, and
// against a repeated load order that interrupts the running requests.
func TestLoadTakesTimeAndIsIdempotent(t *testing.T) {
	slow := start(t, engine.Config{LoadTime: time.Hour})
	slow.load(1, 1)
	assert.Equal(t, wire.StateLoading, slow.report().State)
	assert.Equal(t, http.StatusServiceUnavailable, slow.post("/v1/generate", wire.Generate{Group: "g", Epoch: 1}).StatusCode)
	client := start(t, engine.Config{TokenInterval: time.Millisecond})
	client.load(1, 1)
	stream := client.post("/v1/generate", wire.Generate{Attempt: "a", Group: "g", Epoch: 1, MaxTokens: 50})
	client.load(1, 1)
	assert.Len(t, pieces(stream), 51)
}

// Guards against a batch without a size limit, a queue that ignores the
// priority, and a cancelled request that keeps its place in the batch.
func TestQueuedRequestsStartByPriority(t *testing.T) {
	client := start(t, engine.Config{BatchSize: 1, TokenInterval: time.Hour})
	client.load(1, 1)
	starts := make(chan struct{}, 2)
	generate := func(attempt string, priority int) {
		response := client.post("/v1/generate", wire.Generate{Attempt: attempt, Group: "g", Epoch: 1, Priority: priority})
		pieces(response)
		starts <- struct{}{}
	}
	go generate("first", 0)
	client.eventually(func(report wire.Report) bool { return report.Running == 1 })
	go generate("low", 0)
	client.eventually(func(report wire.Report) bool { return report.Queued == 1 })
	go generate("high", 1)
	client.eventually(func(report wire.Report) bool { return report.Queued == 2 })
	client.post("/v1/cancel", wire.Cancel{Attempt: "first"})
	client.eventually(func(report wire.Report) bool { return report.Queued == 1 })
	client.post("/v1/cancel", wire.Cancel{Attempt: "high"})
	client.eventually(func(report wire.Report) bool { return report.Queued == 0 })
	client.post("/v1/cancel", wire.Cancel{Attempt: "low"})
	client.eventually(func(report wire.Report) bool { return report.Running == 0 })
	var order []string
	for _, line := range client.standIn.Record() {
		if line.Event == engine.EventStart {
			order = append(order, line.Attempt)
		}
	}
	assert.Equal(t, []string{"first", "high", "low"}, order)
	for range 3 {
		<-starts
	}
}

func (client client) eventually(condition func(wire.Report) bool) {
	client.t.Helper()
	require.Eventually(client.t, func() bool { return condition(client.report()) }, wait, time.Millisecond)
}

// Guards against a prefix cache that reuses no block, exceeds its capacity, or
// delivers the events that EventGap is to lose.
func TestPrefixCacheReusesBlocksAndLosesEvents(t *testing.T) {
	client := start(t, engine.Config{CacheBlocks: 2, EventGap: 2})
	client.load(1, 1)
	prompt := strings.Repeat("p", 2*engine.BlockBytes)
	for range 2 {
		pieces(client.post("/v1/generate", wire.Generate{Group: "g", Epoch: 1, Prompt: prompt, MaxTokens: 1}))
	}
	assert.EqualValues(t, 2, client.standIn.ReusedBlocks())
	pieces(client.post("/v1/generate", wire.Generate{Group: "g", Epoch: 1, Prompt: "x" + prompt, MaxTokens: 1}))
	response, err := client.server.Client().Get(client.server.URL + "/v1/cache-events?after=0")
	require.NoError(t, err)
	defer response.Body.Close()
	var received struct {
		Sequence uint64
		Events   []engine.CacheEvent
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&received))
	assert.Equal(t, engine.CacheEvent{Sequence: 1, Prefix: engine.PrefixKey(prompt, 1), Kind: "stored"}, received.Events[0])
	kinds := map[string]int{}
	for _, event := range received.Events {
		kinds[event.Kind]++
		assert.NotZero(t, event.Sequence%2)
	}
	assert.Equal(t, map[string]int{"stored": 3}, kinds)
}

// Guards against load figures that are current in spite of ReportLag.
func TestReportedLoadLags(t *testing.T) {
	client := start(t, engine.Config{TokenInterval: time.Hour, ReportLag: time.Hour})
	client.load(1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", client.server.URL+"/v1/generate",
		strings.NewReader(`{"attempt":"a","group":"g","epoch":1}`))
	require.NoError(t, err)
	response, err := client.server.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Zero(t, client.report().Running)
	require.NoError(t, client.standIn.Injector().Apply(fault.Order{Fault: engine.FaultLag}))
	client.eventually(func(report wire.Report) bool { return report.Running == 1 })
}

// Guards against a stream that ends with its final piece although the engine
// died or its role was released during the stream.
func TestInterruptedStreamHasNoFinalPiece(t *testing.T) {
	for name, breakStream := range map[string]func(client){
		"die": func(client client) {
			require.NoError(t, client.standIn.Injector().Apply(fault.Order{Fault: engine.FaultDie}))
		},
		"release": func(client client) {
			client.post("/v1/order", wire.Order{ExpiresInMillis: 10_000, Action: wire.ActionRelease})
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := start(t, engine.Config{})
			client.load(1, 1)
			stream := client.post("/v1/generate", wire.Generate{Attempt: "a", Group: "g", Epoch: 1, MaxTokens: 1_000_000})
			breakStream(client)
			found := pieces(stream)
			for _, piece := range found {
				assert.False(t, piece.Done)
			}
		})
	}
}

// Guards against a stream that passes the held token, and against one that does
// not continue after the fault is cleared.
func TestHeldStreamContinuesAfterClear(t *testing.T) {
	client := start(t, engine.Config{})
	client.load(1, 1)
	require.NoError(t, client.standIn.Injector().Apply(fault.Order{Fault: engine.FaultHold, Count: 1}))
	response := client.post("/v1/generate", wire.Generate{Attempt: "a", Group: "g", Epoch: 1, MaxTokens: 2})
	lines := bufio.NewReader(response.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, first, engine.Token("", 0))
	assert.Equal(t, 1, client.report().Running)
	require.NoError(t, client.standIn.Injector().Apply(fault.Order{Fault: fault.Clear}))
	response.Body = io.NopCloser(lines)
	assert.Len(t, pieces(response), 2)
}
