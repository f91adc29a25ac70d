package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/fleet"
)

// A hop is the server at which a node takes requests of others.
type hop struct {
	server *httptest.Server

	// opened is the number of accepted connections.
	opened atomic.Int32
}

// newHop starts a hop that serves handler.
func newHop(test testing.TB, handler http.Handler) *hop {
	started := &hop{server: httptest.NewUnstartedServer(handler)}
	started.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			started.opened.Add(1)
		}
	}
	started.server.Start()
	test.Cleanup(func() {
		started.server.CloseClientConnections()
		started.server.Close()
	})
	return started
}

// connectHops makes the node send requests through the hops.
func (node *node) connectHops(hops ...*hop) {
	nodes := []fleet.Node{{Name: "self", AdminAddress: "127.0.0.1:1"}}
	for _, hop := range hops {
		nodes = append(nodes, fleet.Node{Name: hop.server.URL, AdminAddress: hop.server.Listener.Addr().String(), FailureDomain: "zone"})
	}
	node.forward.SetNodes(nodes)
}

// Guards against a connection between nodes that is kept for as long as a target keeps its
// own ones: the other node closes it while a request is sent on it.
func TestTargetDoesNotSayHowLongNodesKeepConnections(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\nKeep-Alive: timeout=0\r\n", "free"))
	other := newHop(test, http.HandlerFunc(newNode(test, tableFixture{idempotent: []*target{runner}}).forward.ServeRelayed))
	cut := newNode(test, tableFixture{idempotent: []*target{closedTarget(test, "r1")}})
	cut.connectHops(other)
	const requests = 5
	for range requests {
		require.Equal(test, 200, cut.request(test, http.MethodGet, "/idempotent/1", "").status)
	}
	require.Equal(test, requests, runner.connections)
	require.EqualValues(test, 1, other.opened.Load())
}

// Guards against a stream that has ended late and is cut off before its end: the deadline of
// the last write to the caller has passed then.
func TestLateEndOfStreamReachesTheCaller(test *testing.T) {
	test.Parallel()
	// callerWriteTimeout is 5 s.
	const pause = 5200 * time.Millisecond
	arrived, release := make(chan string, 1), make(chan struct{})
	broken := newTarget(test, "g1", held(arrived, release, streams(2, "")))
	late := newTarget(test, "g2", func(conn net.Conn, request *http.Request) bool {
		streams(4, "")(conn, request)
		time.Sleep(pause)
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	node := newNode(test, tableFixture{groups: []*target{broken}, gap: time.Second})
	replies := node.begin(test, "/stream/1")
	<-arrived
	// The second group gets the last attempt, which waits the longest.
	node.publish(test, tableFixture{groups: []*target{broken, late}, gap: time.Second})
	close(release)
	got := <-replies[0]
	require.NoError(test, got.err)
	require.Equal(test, events(4), got.body)
}

// Guards against a relayed stream whose end is lost because it comes late.
func TestLateEndOfRelayedStreamReachesTheOtherNode(test *testing.T) {
	test.Parallel()
	const pause = 5200 * time.Millisecond
	arrived, release := make(chan string, 1), make(chan struct{})
	broken := newTarget(test, "g1", held(arrived, release, streams(2, "")))
	late := newTarget(test, "g2", func(conn net.Conn, request *http.Request) bool {
		streams(4, "")(conn, request)
		time.Sleep(pause)
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	other := newNode(test, tableFixture{groups: []*target{broken, late}})
	cut := newNode(test, tableFixture{groups: []*target{closedTarget(test, "g1")}, gap: time.Second})
	cut.connectHops(newHop(test, http.HandlerFunc(other.forward.ServeRelayed)))
	replies := cut.begin(test, "/stream/1")
	<-arrived
	cut.publish(test, tableFixture{groups: []*target{closedTarget(test, "g1"), closedTarget(test, "g2")}, gap: time.Second})
	close(release)
	got := <-replies[0]
	require.NoError(test, got.err)
	require.Equal(test, events(4), got.body)
}

// dropsKept returns a script that answers the first request on each connection, and closes
// the connection without an answer to the second one.
func dropsKept(dropped *atomic.Int32) func(net.Conn, *http.Request) bool {
	var used sync.Map
	return func(conn net.Conn, request *http.Request) bool {
		if _, again := used.LoadOrStore(conn, true); again {
			dropped.Add(1)
			return false
		}
		return answer(conn, request, 200, "Seal: s\r\n", "free")
	}
}

// dropsKeptHop does the same to requests of other nodes.
func dropsKeptHop(dropped *atomic.Int32, next http.HandlerFunc) http.Handler {
	var used sync.Map
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, again := used.LoadOrStore(request.RemoteAddr, true); !again {
			next(writer, request)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		dropped.Add(1)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			conn.Close()
		}
	})
}

// Guards against a request on a kept connection that the target closes: it may have run, so
// it is sent again within its budget only, and is never reported as not run.
func TestRequestOnKeptConnectionThatClosesMayHaveRun(test *testing.T) {
	var dropped atomic.Int32
	first := newTarget(test, "r1", dropsKept(&dropped))
	second := newTarget(test, "r2", answers(200, "Seal: s\r\n", "free"))
	node := newNode(test, tableFixture{idempotent: []*target{first, second}})
	for dropped.Load() == 0 {
		require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	}
	dropped.Store(0)
	alone := newTarget(test, "r3", dropsKept(&dropped))
	node = newNode(test, tableFixture{idempotent: []*target{alone}, once: []*target{alone}, noRetries: true})
	require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	require.Zero(test, dropped.Load(), "a booking is never sent on a kept connection")
	require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Equal(test, 3, alone.count())
}

// Guards against the same on a kept connection between two nodes, and against a retry on
// another connection that is as old.
func TestRequestOnKeptHopThatClosesMayHaveRun(test *testing.T) {
	runners := []*target{newTarget(test, "r1", answers(200, "Seal: s\r\n", "free")), newTarget(test, "r2", answers(200, "Seal: s\r\n", "free"))}
	closed := []*target{closedTarget(test, "r1"), closedTarget(test, "r2")}
	for _, noRetries := range []bool{false, true} {
		var dropped atomic.Int32
		other := newNode(test, tableFixture{idempotent: runners, once: runners})
		hop := newHop(test, dropsKeptHop(&dropped, other.forward.ServeRelayed))
		cut := newNode(test, tableFixture{idempotent: closed, once: closed, noRetries: noRetries})
		cut.connectHops(hop)
		require.Equal(test, 200, cut.request(test, http.MethodGet, "/idempotent/1", "").status)
		require.Equal(test, 200, cut.request(test, http.MethodPost, "/once/1", "x").status)
		require.Zero(test, dropped.Load(), "a booking is never sent on a kept connection")
		ran := runners[0].count() + runners[1].count()
		status, runs := 200, 1
		if noRetries {
			status, runs = http.StatusBadGateway, 0
		}
		require.Equal(test, status, cut.request(test, http.MethodGet, "/idempotent/1", "").status)
		require.EqualValues(test, 1, dropped.Load())
		require.Equal(test, ran+runs, runners[0].count()+runners[1].count())
	}
}

// held returns a script that waits for release before it answers, and reports each request
// that arrives.
func held(arrived chan<- string, release <-chan struct{}, then func(net.Conn, *http.Request) bool) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		arrived <- request.URL.Path
		<-release
		return then(conn, request)
	}
}

// begin sends requests and returns a channel for the reply to each.
func (node *node) begin(test testing.TB, paths ...string) []chan reply {
	var replies []chan reply
	for _, path := range paths {
		replied := make(chan reply, 1)
		request := node.newRequest(test, http.MethodPost, path, "x")
		request.Header.Set("Wait", waitTimeout.String())
		go func() { replied <- node.send(request) }()
		replies = append(replies, replied)
	}
	return replies
}

// Guards against a node that stops and cuts off a stream or a request that it sends for
// another one, and against one that arrives later and is not passed to a third node.
func TestStoppingNodeEndsWhatItSendsForOthers(test *testing.T) {
	arrived, release := make(chan string, 2), make(chan struct{})
	runner := newTarget(test, "r1", held(arrived, release, answers(200, "Seal: s\r\n", "receipt")))
	group := newTarget(test, "g1", held(arrived, release, streams(5, "0\r\n\r\n")))
	stopping := newNode(test, tableFixture{once: []*target{runner}, groups: []*target{group}})
	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}, groups: []*target{closedTarget(test, "g1")}})
	first := newHop(test, http.HandlerFunc(stopping.forward.ServeRelayed))
	cut.connectHops(first)
	replies := cut.begin(test, "/once/1", "/stream/1")
	<-arrived
	<-arrived
	stopping.forward.Stop()
	require.Equal(test, http.StatusServiceUnavailable, cut.request(test, http.MethodPost, "/once/2", "x").status, "nothing was sent")
	free := newTarget(test, "r1", answers(200, "Seal: s\r\n", "later"))
	third := newHop(test, http.HandlerFunc(newNode(test, tableFixture{once: []*target{free}}).forward.ServeRelayed))
	cut.connectHops(first, third)
	for range 5 {
		require.Equal(test, "later", cut.request(test, http.MethodPost, "/once/3", "x").body)
	}
	close(release)
	require.Equal(test, "receipt", (<-replies[0]).body)
	streamed := <-replies[1]
	require.NoError(test, streamed.err)
	require.Equal(test, events(5), streamed.body)
	require.NoError(test, stopping.forward.AwaitRelayed(context.Background()))
	require.Equal(test, 1, runner.count())
}

// Guards against a long request that was not run and is reported as unknown: the target, or
// the node in between, refuses it and closes the connection before it has read it all.
func TestRefusalBeforeTheEndOfARequestIsRead(test *testing.T) {
	const bodyBytes = 6 << 20
	refusing := newHop(test, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Refused", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "receipt"))
	stopping := newNode(test, tableFixture{once: []*target{runner}})
	stopping.forward.Stop()
	for _, first := range []*target{{name: "r1", closedAt: refusing.server.Listener.Addr().String()}, closedTarget(test, "r1")} {
		node := newNode(test, tableFixture{once: []*target{first}, maxBody: bodyBytes})
		node.connectHops(newHop(test, http.HandlerFunc(stopping.forward.ServeRelayed)))
		got := node.request(test, http.MethodPost, "/once/1", strings.Repeat("x", bodyBytes))
		require.Equal(test, http.StatusServiceUnavailable, got.status, got.body)
	}
	require.Zero(test, runner.count())
}

// Guards against a node that stops and cuts off its own requests which another node sends.
func TestStoppingNodeEndsWhatOthersSendForIt(test *testing.T) {
	arrived, release := make(chan string, 2), make(chan struct{})
	runner := newTarget(test, "r1", held(arrived, release, answers(200, "Seal: s\r\n", "receipt")))
	group := newTarget(test, "g1", held(arrived, release, streams(5, "0\r\n\r\n")))
	stopping := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}, groups: []*target{closedTarget(test, "g1")}})
	stopping.connectHops(newHop(test, http.HandlerFunc(newNode(test, tableFixture{once: []*target{runner}, groups: []*target{group}}).forward.ServeRelayed)))
	replies := stopping.begin(test, "/once/1", "/stream/1")
	<-arrived
	<-arrived
	stopping.forward.Stop()
	require.Equal(test, http.StatusServiceUnavailable, stopping.request(test, http.MethodPost, "/once/2", "x").status)
	close(release)
	require.Equal(test, "receipt", (<-replies[0]).body)
	streamed := <-replies[1]
	require.NoError(test, streamed.err)
	require.Equal(test, events(5), streamed.body)
	require.Equal(test, 1, runner.count())
}

// Guards against a node that is cut off as it stops, and gives up a request that another one
// could still send.
func TestNodeCutOffWhileItStopsSendsThroughOthers(test *testing.T) {
	arrived, release := make(chan string, 1), make(chan struct{})
	lost := newTarget(test, "r1", held(arrived, release, func(net.Conn, *http.Request) bool { return false }))
	sound := newTarget(test, "r2", answers(200, "Seal: s\r\n", "free"))
	stopping := newNode(test, tableFixture{idempotent: []*target{lost}})
	stopping.connectHops(newHop(test, http.HandlerFunc(newNode(test, tableFixture{idempotent: []*target{sound}}).forward.ServeRelayed)))
	replies := stopping.begin(test, "/idempotent/1")
	<-arrived
	stopping.publish(test, tableFixture{idempotent: []*target{lost, closedTarget(test, "r2")}})
	stopping.forward.Stop()
	close(release)
	require.Equal(test, "free", (<-replies[0]).body)
}

// Guards against requests that are cut off because their target leaves the table: only
// connections without a request are closed.
func TestTargetThatLeavesTheTableKeepsItsRequests(test *testing.T) {
	arrived, release := make(chan string, 3), make(chan struct{})
	wait := held(arrived, release, answers(200, "Seal: s\r\n", "whole"))
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		if request.URL.Path == "/idempotent/kept" {
			return answer(conn, request, 200, "Seal: s\r\n", "kept")
		}
		return wait(conn, request)
	})
	group := newTarget(test, "g1", held(arrived, release, streams(5, "0\r\n\r\n")))
	node := newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}, groups: []*target{group}, noRetries: true})
	replies := node.begin(test, "/once/1", "/idempotent/1", "/stream/1")
	for range replies {
		<-arrived
	}
	require.Equal(test, "kept", node.request(test, http.MethodGet, "/idempotent/kept", "").body)
	node.publish(test, tableFixture{})
	require.Eventually(test, func() bool { return runner.closedConnections() == 1 }, waitTimeout, waitTick, "the idle connection stays open")
	close(release)
	for index, whole := range []string{"whole", "whole", events(5)} {
		got := <-replies[index]
		require.NoError(test, got.err)
		require.Equal(test, whole, got.body)
	}
}

// Guards against a caller that leaves and thereby closes the connection of another request.
func TestCallerThatLeavesClosesOnlyItsOwnConnection(test *testing.T) {
	const callers, rounds, seed = 4, 100, 7713
	echo := func(conn net.Conn, request *http.Request) bool {
		return answer(conn, request, 200, "Seal: s\r\n", request.RequestURI)
	}
	// Two runners have places for the requests of callers that have just left, too.
	node := newNode(test, tableFixture{idempotent: []*target{newTarget(test, "r1", echo), newTarget(test, "r2", echo)}, noRetries: true})
	var running sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		running.Go(func() {
			for round := range rounds {
				path := fmt.Sprintf("/idempotent/%d/%d", caller, round)
				request := node.newRequest(test, http.MethodGet, path, "")
				if caller%2 == 0 {
					assert.Equal(test, path, node.send(request).body)
					continue
				}
				ctx, cancel := context.WithTimeout(request.Context(), time.Duration(random.IntN(1000))*time.Microsecond)
				if got := node.send(request.WithContext(ctx)); got.err == nil {
					assert.Equal(test, path, got.body)
				}
				cancel()
			}
		})
	}
	running.Wait()
}
