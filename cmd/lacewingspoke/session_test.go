package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lacewingspoke": func() { os.Exit(run(os.Args[1:])) },
	})
}

// TestOperatorCommandScripts runs the scripts in testdata/script, which compare
// the output of the operators' commands. The commands use a store stand-in and
// node stand-ins over HTTP. The head of each script names the failure that it
// guards against.
func TestOperatorCommandScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUpSession,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"race":    raceCommand,
			"fault":   faultCommand,
			"node":    nodeStandinCommand,
			"hold":    holdCommand,
			"claim":   claimCommand,
			"capture": captureCommand,
		},
	})
}

type sessionKey struct{}

// session is the environment of one script: a store and nodes.
type session struct {
	store  *store.Store
	client *kvstore.Client
	nodes  map[string]*nodeStandin

	mutex sync.Mutex

	// beforeSwap runs once before the next write of the head.
	beforeSwap func()

	// outageAfterSwap makes the next write of the head take effect without a
	// response to the client, and starts an outage of the store after it.
	outageAfterSwap bool
}

func setUpSession(env *testscript.Env) error {
	current := &session{store: store.New(store.Config{}), nodes: map[string]*nodeStandin{}}
	server := httptest.NewServer(current)
	env.Defer(server.Close)
	address := server.Listener.Addr().String()
	client, err := kvstore.NewClient(kvstore.ClientConfig{Addresses: []string{address}})
	if err != nil {
		return errors.Trace(err)
	}
	env.Defer(client.Close)
	current.client = client
	env.Values[sessionKey{}] = current
	env.Setenv("LACEWINGSPOKE_STORE", address)
	env.Setenv("LACEWINGSPOKE_AUTHOR", "mirela")
	return errors.Trace(os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS("../../examples")))
}

func sessionOf(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

// ServeHTTP passes requests to the store. Before and after a write of the head it
// applies beforeSwap and outageAfterSwap.
func (session *session) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPut || request.URL.Path != "/v1/kv/"+generation.HeadKey {
		session.store.ServeHTTP(writer, request)
		return
	}
	session.mutex.Lock()
	before, outage := session.beforeSwap, session.outageAfterSwap
	session.beforeSwap, session.outageAfterSwap = nil, false
	session.mutex.Unlock()
	if before != nil {
		before()
	}
	if !outage {
		session.store.ServeHTTP(writer, request)
		return
	}
	session.store.ServeHTTP(httptest.NewRecorder(), request)
	_ = session.store.Injector().Apply(fault.Order{Fault: fault.Outage})
	panic(http.ErrAbortHandler)
}

// raceCommand implements "race ARGUMENTS...": just before the next write of the
// head, the command line runs in this process.
func raceCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	session := sessionOf(ts)
	arguments[len(arguments)-1] = ts.MkAbs(arguments[len(arguments)-1])
	arguments = append(arguments, "--store", ts.Getenv("LACEWINGSPOKE_STORE"))
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.beforeSwap = func() { run(arguments) }
}

// faultCommand implements "fault drop-answer PREFIX", "fault outage",
// "fault outage-after-swap" and "fault clear".
func faultCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	session := sessionOf(ts)
	if arguments[0] == "outage-after-swap" {
		session.mutex.Lock()
		defer session.mutex.Unlock()
		session.outageAfterSwap = true
		return
	}
	order := fault.Order{Fault: fault.Kind(arguments[0])}
	if len(arguments) > 1 {
		order.Prefix = arguments[1]
	}
	ts.Check(session.store.Injector().Apply(order))
}

// captureCommand implements "capture VARIABLE FILE PATTERN": it sets the variable
// to the text that matches the first group of the pattern.
func captureCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	match := regexp.MustCompile(arguments[2]).FindStringSubmatch(ts.ReadFile(arguments[1]))
	if match == nil {
		ts.Fatalf("no match for %s", arguments[2])
	}
	ts.Setenv(arguments[0], match[1])
}

// claimCommand implements "claim WORKSPACE KEY AGE": it stores an unfinished
// booking claim that expired AGE ago.
func claimCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	age, err := time.ParseDuration(arguments[2])
	ts.Check(err)
	ticket := booking.NewTicket(booking.TicketConfig{
		Workspace: arguments[0], IdempotencyKey: arguments[1], Attempt: "attempt-1", Validity: time.Second,
	}, time.Now().Add(-age-time.Second))
	_, written := sessionOf(ts).client.Put(context.Background(), ticket.CreateRequest()).(kvstore.Written)
	if !written {
		ts.Fatalf("claim not stored")
	}
}

// nodeStandin is an admin.Node that reports the store's head, or a fixed head.
type nodeStandin struct {
	name    string
	session *session

	// held is the fixed head. If its generation is 0, the node reports the
	// store's head. It is guarded by the session's mutex.
	held generation.Head
}

// nodeStandinCommand implements "node NAME": it starts a node that reports the
// store's head and adds it to the store's list of nodes.
func nodeStandinCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	session := sessionOf(ts)
	node := &nodeStandin{name: arguments[0], session: session}
	session.nodes[node.name] = node
	config := admin.Config{Node: node, Gatherer: prometheus.NewRegistry()}
	if !strings.HasPrefix(node.name, "earlier-") {
		config.Explain = node.explain
	}
	server := httptest.NewServer(admin.New(config).Handler())
	ts.Defer(server.Close)
	record, err := json.Marshal(fleet.Node{
		Name: node.name, Incarnation: "1", FailureDomain: "constanta-port", AdminAddress: server.Listener.Addr().String(),
	})
	ts.Check(err)
	session.client.Put(context.Background(), kvstore.PutRequest{
		Key: fleet.NodeKey(node.name), Value: record, Expect: kvstore.ExpectAny(),
	})
}

// holdCommand implements "hold NAME GENERATION": the node reports this generation
// from now on, or the store's head if GENERATION is 0.
func holdCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	number, err := strconv.ParseUint(arguments[1], 10, 64)
	ts.Check(err)
	session := sessionOf(ts)
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.nodes[arguments[0]].held = generation.Head{Generation: number, Change: "held", Digest: "held"}
}

// Status implements admin.Node.
func (node *nodeStandin) Status(ctx context.Context) (admin.Status, error) {
	node.session.mutex.Lock()
	head := node.held
	node.session.mutex.Unlock()
	if entry, err := node.session.client.Get(ctx, generation.HeadKey); err == nil && head.Generation == 0 {
		head, err = generation.DecodeHead(entry.Value)
		if err != nil {
			return admin.Status{}, errors.Trace(err)
		}
	}
	return admin.Status{
		Node: node.name, FailureDomain: "constanta-port", Generation: head.Generation, Change: head.Change,
		Digest: head.Digest, Ready: true, StoreReached: true, Leads: []string{"fabric-1"},
		Quarantined: []string{"5c1e07a2"},
		Groups: []admin.GroupStatus{{
			Name: "letters-1", Spec: "letters", Epoch: 4, State: "serving", Granted: node.name == "port-1", Running: 2,
			Members: []string{"vm-1", "vm-2"},
		}},
	}, nil
}

// Healthy implements admin.Node.
func (node *nodeStandin) Healthy() error { return nil }

// Drain implements admin.Node.
func (node *nodeStandin) Drain(_ context.Context, request admin.DrainRequest) (admin.DrainResult, error) {
	if !strings.HasPrefix(request.Target, "vm-") {
		return admin.DrainResult{}, errors.NotFoundf("target %s", request.Target)
	}
	return admin.DrainResult{Recorded: true, Peers: 5}, nil
}

// explain answers a question about the only route. Nodes of earlier releases have no such path.
func (node *nodeStandin) explain(question explanation.Question) (explanation.Answer, error) {
	if question.Path != "/v1/completions" {
		return explanation.Answer{}, errors.NotValidf("no route matches: path %q", question.Path)
	}
	answer := explanation.Answer{
		Node: node.name, Route: "drafts", Workspace: question.Workspace, Model: "letters",
		Candidates: []explanation.Candidate{
			{Name: "letters-1", VM: "vm-1", FailureDomain: "constanta-port", Near: true, Load: 3, LoadAgeMillis: 120, HeldTokens: 800, ForecastMillis: 200, WeighedMicros: 90000},
			{Name: "letters-2", VM: "vm-2", FailureDomain: "mamaia-north", Excluded: "no-grant", LoadAgeMillis: -1},
		},
	}
	tokens := 0
	for _, part := range question.Parts {
		tokens += part.Tokens
	}
	answer.Send("letters-1", fmt.Sprintf("holds %d tokens", tokens))
	return answer, nil
}

// Release implements admin.Node.
func (node *nodeStandin) Release(_ context.Context, request admin.ReleaseRequest) (admin.ReleaseResult, error) {
	if request.Part != "5c1e07a2" {
		return admin.ReleaseResult{}, errors.NotFoundf("part %s", request.Part)
	}
	return admin.ReleaseResult{Targets: []string{"vm-1/4", "vm-2/1", "vm-3/2"}}, nil
}
