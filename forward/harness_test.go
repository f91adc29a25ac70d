package forward_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/traffic"
)

// partTokens is the number of tokens of each part of a prompt.
const partTokens = 1000

// A testCodec is a Codec with a few header names of its own.
type testCodec struct{}

func (testCodec) ParseRequest(header http.Header) (forward.CallerHeaders, error) {
	if header.Get("Bad") != "" {
		return forward.CallerHeaders{}, errors.NotValidf("request")
	}
	wait, err := time.ParseDuration(header.Get("Wait"))
	if err != nil {
		wait = 2 * time.Second
	}
	return forward.CallerHeaders{
		Attempt: header.Get("Id"), Key: header.Get("Secret"), ResumeAfter: header.Get("After"), Model: cmp.Or(header.Get("Model"), "m"), Deadline: wait,
		PromptParts: header.Values("Part"), PartTokens: slices.Repeat([]int{partTokens}, len(header.Values("Part"))),
	}, nil
}

func (testCodec) Outgoing(header http.Header, values forward.OutgoingValues) http.Header {
	outgoing := header.Clone()
	for _, name := range []string{"Secret", "Connection", "Content-Length"} {
		outgoing.Del(name)
	}
	outgoing.Set("Workspace", values.Workspace)
	outgoing.Set("Wanted", values.Target)
	outgoing.Set("After", values.ResumeAfter)
	outgoing.Set("Urgency", strconv.Itoa(values.Urgency))
	return outgoing
}

func (testCodec) ParseAnswer(status int, header http.Header) forward.Answer {
	limit, _ := strconv.ParseFloat(header.Get("Limit"), 64)
	rest, _ := time.ParseDuration(header.Get("Rest"))
	var load *forward.Load
	var running, queued int
	if count, _ := fmt.Sscanf(header.Get("Load"), "%d,%d", &running, &queued); count == 2 {
		load = &forward.Load{Load: group.Load{Running: running, Queued: queued}}
	}
	return forward.Answer{
		Load:         load,
		Rest:         rest,
		Leaving:      header.Get("Leaving") != "",
		RequestLimit: limit, Attempt: header.Get("Id"), Refused: header.Get("Refused") != "", Sealed: header.Get("Seal") != "", Foreign: header.Get("Foreign") != "",
	}
}

func (testCodec) Incoming(header http.Header) http.Header {
	incoming := header.Clone()
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding"} {
		incoming.Del(name)
	}
	return incoming
}

func (testCodec) Refusal(attempt string, retryAfter time.Duration) http.Header {
	header := http.Header{"Id": {attempt}}
	if retryAfter > 0 {
		header.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
	return header
}

// A target runs a script for each request and records the requests.
type target struct {
	name     string
	listener net.Listener

	// closedAt is the address of a target without a listener.
	closedAt string

	mutex    sync.Mutex
	requests []*http.Request
	bodies   []string

	// connections is the number of accepted connections, closed that of the ended ones.
	connections int
	closed      int
}

// newTarget starts a target that calls script with each request and its
// connection. script returns whether the connection stays open.
func newTarget(test testing.TB, name string, script func(conn net.Conn, request *http.Request) bool) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	started := &target{name: name, listener: listener}
	test.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			started.mutex.Lock()
			started.connections++
			started.mutex.Unlock()
			go started.serve(conn, script)
		}
	}()
	return started
}

func (target *target) serve(conn net.Conn, script func(conn net.Conn, request *http.Request) bool) {
	defer func() {
		conn.Close()
		target.mutex.Lock()
		defer target.mutex.Unlock()
		target.closed++
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		target.mutex.Lock()
		target.requests = append(target.requests, request)
		target.bodies = append(target.bodies, string(body))
		target.mutex.Unlock()
		if !script(conn, request) {
			return
		}
	}
}

func (target *target) address() string {
	if target.listener == nil {
		return target.closedAt
	}
	return target.listener.Addr().String()
}

func (target *target) count() int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return len(target.requests)
}

func (target *target) closedConnections() int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.closed
}

// answer writes a complete response with the request's id.
func answer(conn net.Conn, request *http.Request, status int, header, body string) bool {
	_, _ = io.WriteString(conn, answerText(request.Header.Get("Id"), status, header, body))
	return true
}

func answerText(id string, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
}

func answers(status int, header, body string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool { return answer(conn, request, status, header, body) }
}

// streams returns a script that streams the events after the request's last
// event, up to the event last, and then writes end.
func streams(last int, end string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		first := 0
		fmt.Sscan(request.Header.Get("After"), &first)
		for index := first + 1; index <= last; index++ {
			chunk := event(index)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		fmt.Fprint(conn, end)
		return end == "0\r\n\r\n"
	}
}

func event(index int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", index, index) }

func events(last int) string {
	var text strings.Builder
	for index := 1; index <= last; index++ {
		text.WriteString(event(index))
	}
	return text.String()
}

// A node is a forward server whose route table contains the test's targets.
type node struct {
	server    *httptest.Server
	forward   *forward.Server
	publisher *route.Publisher
	tracker   *quarantine.Tracker
	confirmed time.Time
	mutex     sync.Mutex
}

type tableFixture struct {
	once, idempotent []*target
	groups           []*target
	attempts         int

	// runners are those of the service of streams, which has no engine then. It has none
	// either if plainStream is true.
	runners     []*target
	plainStream bool

	// kinds are the services of routes by prefix, if they are not those of their names.
	kinds map[string]string

	// generation is 1 if it is 0, and routes are all of them if it is nil. noRetries is
	// used by newNode only.
	generation uint64
	routes     []string
	noRetries  bool

	// objectives are those of more routes to the groups, by name, and step is the time of a
	// step of their engines.
	objectives map[string]time.Duration
	step       time.Duration

	// priority is that of all routes.
	priority int

	// gap is the longest pause for which a stream is on time.
	gap time.Duration

	// retries is the number of retries a second, 100 if it is 0, used by newNode only.
	// unresumable is true if streams may run once.
	retries     float64
	unresumable bool

	// maxBody is 64 bytes if it is 0.
	maxBody int64

	// withoutKey is true if the configuration does not have the key of requests.
	withoutKey bool

	// withoutWorkspaces is true if the configuration has no workspace. Requests need a key
	// if requiresKey is true.
	withoutWorkspaces, requiresKey bool

	// groupService is the service of the groups, "stream" if it is empty.
	groupService string

	// keepsPrompts is true if the engines keep prompts, of which they read 10,000 tokens/s.
	keepsPrompts bool

	// traffic has the counts of other nodes, used by newNode only.
	traffic *traffic.Exchange

	// cold are the cold targets, used by newNode only.
	cold *limit.ColdTargets

	// askReached is the question whether other nodes reach a target, used by newNode only.
	askReached func(ctx context.Context, address string, targets []string) ([]string, error)
}

func newNode(test testing.TB, fixture tableFixture) *node {
	started := &node{publisher: route.NewPublisher(), tracker: quarantine.NewTracker(), confirmed: time.Now()}
	timers := timer.New(timer.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	go timers.Run(ctx)
	slack := 100.0
	if fixture.retries > 0 {
		slack = fixture.retries
	}
	if fixture.noRetries {
		slack = 0
	}
	server, err := forward.New(forward.Config{
		Publisher: started.publisher, Codec: testCodec{}, FailureDomain: "zone", Now: time.Now, Timers: timers, Seed: 1,
		Quarantine: started.tracker, Traffic: fixture.traffic, Cold: fixture.cold,
		Confirmed: func() time.Time {
			started.mutex.Lock()
			defer started.mutex.Unlock()
			return started.confirmed
		},
		MaxConfirmedAge: time.Minute, Retries: limit.RetryAllowanceConfig{Window: time.Second, Slack: slack, Safety: 1}, Node: "self", AskReached: fixture.askReached,
	})
	require.NoError(test, err)
	started.forward = server
	started.publish(test, fixture)
	started.server = httptest.NewServer(server)
	test.Cleanup(func() {
		started.server.CloseClientConnections()
		started.server.Close()
		server.Close()
		cancel()
		<-timers.Done()
	})
	return started
}

func (node *node) publish(test testing.TB, fixture tableFixture) {
	attempts := max(fixture.attempts, 2)
	maxBody := fixture.maxBody
	if maxBody == 0 {
		maxBody = 64
	}
	routeTo := func(name string, kind catalog.Kind) catalog.Route {
		return catalog.Route{
			Name: name, Host: "host.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond, GapObjective: fixture.gap,
			MaxAttempts: attempts, Priority: fixture.priority, Resumable: !fixture.unresumable,
			Splits: []catalog.Split{{Service: cmp.Or(fixture.kinds["/"+name+"/"], name), Weight: 1}},
		}
	}
	generation := max(fixture.generation, 1)
	var routes []catalog.Route
	for name, kind := range map[string]catalog.Kind{"once": catalog.KindOnce, "idempotent": catalog.KindIdempotent, "stream": catalog.KindStream} {
		if fixture.routes == nil || slices.Contains(fixture.routes, name) {
			routes = append(routes, routeTo(name, kind))
		}
	}
	for name, objective := range fixture.objectives {
		added := routeTo("stream", catalog.KindStream)
		added.Name, added.Prefix, added.Objective = name, "/"+name+"/", objective
		routes = append(routes, added)
	}
	keys := []string{"key"}
	if fixture.withoutKey {
		keys = []string{"another key"}
	}
	workspaces := []catalog.WorkspaceKeys{{Workspace: catalog.Workspace{Name: "one", Priority: -1}, Keys: keys}}
	if fixture.withoutWorkspaces {
		workspaces = nil
	}
	current, err := catalog.New(catalog.Config{
		Version:     generation,
		Services:    []catalog.Service{{Name: "once"}, {Name: "idempotent"}, {Name: "stream", Engine: fixture.engine()}},
		Routes:      routes,
		RequiresKey: fixture.requiresKey,
		Workspaces:  workspaces,
		Limits:      catalog.Limits{MaxBodyBytes: maxBody},
	})
	require.NoError(test, err)
	config := route.TableConfig{Catalog: current, Generation: generation}
	add := func(service string, targets []*target) {
		for _, target := range targets {
			config.Services = append(config.Services, route.ServiceTarget{Service: service, Name: target.name, Address: target.address(), FailureDomain: "zone", Slots: 4, Open: true})
		}
	}
	add("once", fixture.once)
	add("idempotent", fixture.idempotent)
	add("stream", fixture.runners)
	for _, target := range fixture.groups {
		config.Groups = append(config.Groups, route.GroupTarget{
			Name: target.name, Service: cmp.Or(fixture.groupService, "stream"), Spec: "m", Epoch: 1, VM: target.name, Address: target.address(), FailureDomain: "zone", Open: true,
			Grant: group.Grant{Group: target.name, Epoch: 1, ReportedAt: time.Now(), ValidUntil: time.Now().Add(time.Hour)},
		})
	}
	node.publisher.Publish(route.NewTable(config))
}

// engine returns the engine of the service of streams, nil if its targets are plain runners.
func (fixture tableFixture) engine() *catalog.Engine {
	if fixture.plainStream || len(fixture.runners) > 0 {
		return nil
	}
	return &catalog.Engine{
		Slots: 4, Step: fixture.step, MeanAnswerTokens: 20, KeepsPrompts: fixture.keepsPrompts, ReadRate: 10000, Models: []catalog.Model{{Name: "m"}},
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (node *node) request(test testing.TB, method, path, body string) reply {
	return node.send(node.newRequest(test, method, path, body))
}

func (node *node) newRequest(test testing.TB, method, path, body string) *http.Request {
	request, err := http.NewRequest(method, node.server.URL+path, strings.NewReader(body))
	require.NoError(test, err)
	request.Host = "host.example"
	request.Header = http.Header{"Id": {"a1"}, "Secret": {"key"}}
	return request
}

func (node *node) send(request *http.Request) reply {
	response, err := node.server.Client().Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}
