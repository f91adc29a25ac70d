package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callerKey = "key-of-zarnesti"

	// longGrant is the validity of a grant that does not expire during a test.
	longGrant = time.Hour

	// waitLimit bounds the wait for a condition.
	waitLimit = 10 * time.Second
)

// pieceText returns the text of one piece of the answer to a prompt.
func pieceText(prompt string, index int) string { return fmt.Sprintf("<%s %d>", prompt, index) }

// answerText returns the text of the first count pieces.
func answerText(prompt string, count int) string {
	var text strings.Builder
	for index := range count {
		text.WriteString(pieceText(prompt, index))
	}
	return text.String()
}

// A fakeEngine serves the engine interface of a group's rank 0.
type fakeEngine struct {
	server *httptest.Server

	// emit replaces the default stream of pieces if it is not nil.
	emit func(ctx context.Context, request engine.Generate, send func(engine.Piece))

	mutex     sync.Mutex
	requests  []engine.Generate
	cancelled []string
}

func newFakeEngine(t *testing.T) *fakeEngine {
	fake := &fakeEngine{}
	fake.server = httptest.NewServer(fake.handler())
	t.Cleanup(fake.server.Close)
	return fake
}

func (fake *fakeEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", fake.generate)
	mux.HandleFunc("POST /v1/cancel", func(_ http.ResponseWriter, request *http.Request) {
		var cancel engine.Cancel
		_ = json.NewDecoder(request.Body).Decode(&cancel)
		fake.mutex.Lock()
		defer fake.mutex.Unlock()
		fake.cancelled = append(fake.cancelled, cancel.Attempt)
	})
	return mux
}

func (fake *fakeEngine) address() string { return fake.server.Listener.Addr().String() }

func (fake *fakeEngine) generate(writer http.ResponseWriter, request *http.Request) {
	var generate engine.Generate
	if err := json.NewDecoder(request.Body).Decode(&generate); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	fake.mutex.Lock()
	fake.requests = append(fake.requests, generate)
	fake.mutex.Unlock()
	send := func(piece engine.Piece) {
		data, _ := json.Marshal(piece)
		_, _ = fmt.Fprintf(writer, "data: %s\n\n", data)
		_ = http.NewResponseController(writer).Flush()
	}
	if fake.emit != nil {
		fake.emit(request.Context(), generate, send)
		return
	}
	sendPieces(generate, generate.ResumeIndex, generate.MaxTokens, send)
	sendDone(generate, send)
}

func sendPieces(request engine.Generate, from, to int, send func(engine.Piece)) {
	for index := from; index < to; index++ {
		send(engine.Piece{Attempt: request.Attempt, Index: index, Text: pieceText(request.Prompt, index)})
	}
}

func sendDone(request engine.Generate, send func(engine.Piece)) {
	send(engine.Piece{Attempt: request.Attempt, Index: request.MaxTokens, Done: true})
}

func (fake *fakeEngine) received() []engine.Generate {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return append([]engine.Generate(nil), fake.requests...)
}

func (fake *fakeEngine) cancelCount() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return len(fake.cancelled)
}

// A fakeStore stores keys in memory. Hooks inject faults.
type fakeStore struct {
	kvstore.Store

	mutex    sync.Mutex
	entries  map[string]kvstore.Entry
	revision uint64
	puts     int
	grants   int

	// onPut is called after the write took effect, or instead of the write if
	// replace is true. Put returns its outcome unless it is nil.
	onPut   func(call int, request kvstore.PutRequest) kvstore.PutOutcome
	replace bool
	getErr  error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kvstore.Entry{}} }

func (store *fakeStore) Get(_ context.Context, key string) (kvstore.Entry, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.getErr != nil {
		return kvstore.Entry{}, store.getErr
	}
	found, exists := store.entries[key]
	if !exists {
		return kvstore.Entry{}, errors.NotFoundf("key %q", key)
	}
	return found, nil
}

func (store *fakeStore) Put(_ context.Context, request kvstore.PutRequest) kvstore.PutOutcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.puts++
	if store.replace {
		return store.onPut(store.puts, request)
	}
	result := store.apply(request)
	if store.onPut != nil {
		if injected := store.onPut(store.puts, request); injected != nil {
			return injected
		}
	}
	return result
}

func (store *fakeStore) Grant(_ context.Context, ttl time.Duration) (string, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.grants++
	return fmt.Sprintf("lease-%d-%s", store.grants, ttl), nil
}

func (store *fakeStore) apply(request kvstore.PutRequest) kvstore.PutOutcome {
	current := store.entries[request.Key].Revision
	if !request.Expect.Any() && request.Expect.Revision() != current {
		return kvstore.Conflict{Revision: current}
	}
	store.revision++
	store.entries[request.Key] = kvstore.Entry{Key: request.Key, Value: request.Value, Revision: store.revision, Lease: request.Lease}
	return kvstore.Written{Revision: store.revision}
}

func (store *fakeStore) Delete(_ context.Context, key string, expect kvstore.Expect) kvstore.PutOutcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.entries[key].Revision != expect.Revision() {
		return kvstore.Conflict{Revision: store.entries[key].Revision}
	}
	delete(store.entries, key)
	return kvstore.Written{}
}

// A harness is an entry server with a route table and a store that the test
// controls.
type harness struct {
	t         *testing.T
	publisher *route.Publisher
	store     *fakeStore
	server    *entry.Server
	url       string
	client    *http.Client
	registry  *prometheus.Registry
	folder    *folder.Folder

	mutex    sync.Mutex
	groups   []route.GroupTarget
	services []route.ServiceTarget
}

func newHarness(t *testing.T, change func(*entry.Config)) *harness {
	harness := newServer(t, change)
	httpServer := httptest.NewServer(harness.server)
	harness.url = httpServer.URL
	t.Cleanup(func() {
		httpServer.Close()
		harness.server.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return harness
}

// newServer returns a harness without an HTTP listener. The test must close its
// server.
func newServer(t *testing.T, change func(*entry.Config)) *harness {
	sum := sha256.Sum256([]byte(callerKey))
	harness := &harness{
		t:         t,
		publisher: route.NewPublisher(),
		store:     newFakeStore(),
		registry:  prometheus.NewRegistry(),
		client:    http.DefaultClient,
		folder: folder.New(folder.Config{
			Workspaces: []folder.Workspace{{
				Name: "zarnesti", KeyDigests: []string{hex.EncodeToString(sum[:])}, Weight: 1, MaxInFlight: 100, Deadline: waitLimit,
			}},
			Routes: []folder.Route{
				{Name: "drafts", Workspace: "zarnesti", PathPrefix: "/v1", Kind: folder.KindDraft, Group: "copy"},
				{Name: "bookings", Workspace: "zarnesti", PathPrefix: "/bookings", Kind: folder.KindService, Service: "planks"},
				{Name: "planks", Workspace: "zarnesti", PathPrefix: "/planks", Kind: folder.KindService, Service: "planks", Idempotent: true},
			},
			Groups:   []folder.Group{{Name: "copy", Model: "m", Version: "1", Size: 2, Replicas: 2}},
			Services: []folder.Service{{Name: "planks"}},
			Policy:   folder.Policy{RetryPercent: 10, GrantBound: time.Second},
		}),
	}
	config := entry.Config{
		Publisher: harness.publisher, Store: harness.store, Node: "entry-1", FailureDomain: "mamaia-north", Seed: 1,
		Registerer: harness.registry,
	}
	config.Generator.FirstPieceTimeout = waitLimit
	config.Generator.ProgressTimeout = waitLimit
	if change != nil {
		change(&config)
	}
	server, err := entry.New(config)
	require.NoError(t, err)
	harness.server = server
	harness.publish()
	return harness
}

// addGroup adds a serving group with a grant that was reported just now.
func (harness *harness) addGroup(name string, fake *fakeEngine, valid time.Duration) {
	harness.addGroupAt(name, fake.address(), valid)
}

func (harness *harness) addGroupAt(name, address string, valid time.Duration) {
	now := time.Now()
	harness.change(func() {
		harness.groups = append(harness.groups, route.GroupTarget{
			Name: name, Spec: "copy", Epoch: 1, Address: address, FailureDomain: "mamaia-north", Open: true,
			Grant: group.Grant{Group: name, Epoch: 1, ReportedAt: now, ValidUntil: now.Add(valid)},
		})
	})
}

func (harness *harness) addService(address string) {
	harness.change(func() {
		harness.services = append(harness.services, route.ServiceTarget{
			Service: "planks", Address: address, FailureDomain: "mamaia-north", Open: true,
		})
	})
}

// renew gives a group a grant that was reported just now. A negative validity
// makes a grant that has expired.
func (harness *harness) renew(name string, valid time.Duration) {
	now := time.Now()
	harness.changeGroup(name, func(target *route.GroupTarget) {
		target.Grant.ReportedAt = now
		target.Grant.ValidUntil = now.Add(valid)
	})
}

func (harness *harness) changeGroup(name string, change func(*route.GroupTarget)) {
	harness.change(func() {
		for index := range harness.groups {
			if harness.groups[index].Name == name {
				change(&harness.groups[index])
			}
		}
	})
}

func (harness *harness) change(change func()) {
	harness.mutex.Lock()
	change()
	harness.mutex.Unlock()
	harness.publish()
}

func (harness *harness) publish() {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.publisher.Publish(route.NewTable(route.TableConfig{
		Folder:   harness.folder,
		Groups:   append([]route.GroupTarget(nil), harness.groups...),
		Services: append([]route.ServiceTarget(nil), harness.services...),
	}))
}

// setGroups replaces the groups by one with a grant that confirms all answers.
func (harness *harness) setGroups(name, address string) {
	harness.change(func() { harness.groups = nil })
	harness.addGroupAt(name, address, longGrant)
	harness.changeGroup(name, func(target *route.GroupTarget) { target.Grant.ReportedAt = time.Now().Add(longGrant) })
}

// keepRenewing renews the grants of the named groups until the test ends.
func (harness *harness) keepRenewing(names ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				for _, name := range names {
					harness.renew(name, longGrant)
				}
			}
		}
	}()
	harness.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// A reply is a response that was read up to its end or its reset.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (got reply) outcome() string {
	if value := got.trailer.Get("Lacewingspoke-Outcome"); value != "" {
		return value
	}
	return got.header.Get("Lacewingspoke-Outcome")
}

// parseStream returns the text of a stream and whether it has the final marker.
func (got reply) parseStream(t *testing.T) (string, bool) {
	var text strings.Builder
	done := false
	for line := range strings.SplitSeq(got.body, "\n") {
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		text.WriteString(event.Choices[0].Text + event.Choices[0].Delta.Content)
	}
	return text.String(), done
}

func (harness *harness) request(ctx context.Context, method, path, body string, header map[string]string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, harness.url+path, strings.NewReader(body))
	require.NoError(harness.t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

func (harness *harness) do(method, path, body string, header map[string]string) reply {
	response, err := harness.client.Do(harness.request(context.Background(), method, path, body, header))
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(data), err: err}
}

// draft requests a completion of count pieces.
func (harness *harness) draft(prompt string, count int, stream bool) reply {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, count, stream)
	return harness.do(http.MethodPost, "/v1/completions", body, nil)
}

func (harness *harness) counter(name string) float64 {
	families, err := harness.registry.Gather()
	require.NoError(harness.t, err)
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue()
		}
	}
	return total
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitLimit, time.Millisecond)
}
