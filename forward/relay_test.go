package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/forward"
)

// closedTarget returns a target that refuses connections. Its socket is bound and does not
// listen, so that no other process or test gets its port.
func closedTarget(test testing.TB, name string) *target {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(test, err)
	test.Cleanup(func() { unix.Close(socket) })
	require.NoError(test, unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(socket)
	require.NoError(test, err)
	return &target{name: name, closedAt: fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)}
}

// connect makes node send requests through the others.
func (node *node) connect(test testing.TB, others ...*node) {
	nodes := []fleet.Node{{Name: "self", AdminAddress: "127.0.0.1:1"}}
	for _, other := range others {
		server := httptest.NewServer(http.HandlerFunc(other.forward.ServeRelayed))
		test.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		nodes = append(nodes, fleet.Node{Name: server.URL, AdminAddress: server.Listener.Addr().String(), FailureDomain: "zone"})
	}
	node.forward.SetNodes(nodes)
}

// Guards against a node that refuses what another one can send, and against a request that
// is changed or sent twice on that way (incident inc1 of RECOVER).
func TestUnreachedTargetIsServedThroughAnotherNode(test *testing.T) {
	runner := newTarget(test, "r1", answers(201, "Seal: s\r\nX-Own: 1\r\n", "receipt"))
	lookup := newTarget(test, "r2", answers(200, "Seal: s\r\n", "free"))
	group := newTarget(test, "g1", streams(3, "0\r\n\r\n"))
	cut := newNode(test, tableFixture{
		once: []*target{closedTarget(test, "r1")}, idempotent: []*target{closedTarget(test, "r2")}, groups: []*target{closedTarget(test, "g1")},
	})
	cut.connect(test, newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{lookup}, groups: []*target{group}}))
	for count := 1; count <= 5; count++ {
		got := cut.request(test, http.MethodPost, "/once/a%2Fb?q=%20x", "plank 7")
		require.NoError(test, got.err)
		require.Equal(test, 201, got.status, got.body)
		require.Equal(test, "receipt", got.body)
		require.Equal(test, "1", got.header.Get("X-Own"))
		require.Equal(test, count, runner.count())
		require.Equal(test, "free", cut.request(test, http.MethodGet, "/idempotent/1", "").body)
		require.Equal(test, events(3), cut.request(test, http.MethodPost, "/stream/1", "prompt").body)
	}
	received := runner.requests[0]
	require.Equal(test, "/once/a%2Fb?q=%20x", received.RequestURI)
	require.Equal(test, "host.example", received.Host)
	require.Equal(test, "plank 7", runner.bodies[0])
	require.Equal(test, "one", received.Header.Get("Workspace"))
	require.Equal(test, "r1", received.Header.Get("Wanted"))
	require.Empty(test, received.Header.Get("Secret"))
	require.Equal(test, 5, runner.connections, "requests that may run once are sent on new connections")
}

// Guards against a refusal that comes late or is not true when no node reaches the target,
// and against a request that goes over a third node.
func TestRequestIsRefusedIfNoNodeReachesTheTarget(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	third := newNode(test, tableFixture{once: []*target{runner}})
	second := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
	second.connect(test, third)
	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
	cut.connect(test, second)
	for range 5 {
		began := time.Now()
		got := cut.request(test, http.MethodPost, "/once/1", "x")
		require.Equal(test, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(test, got.header.Get("Retry-After"))
		require.Less(test, time.Since(began), disconnectTimeout)
	}
	require.Zero(test, runner.count())
}

// Guards against a relayed answer that breaks off and looks complete, and against a request
// that runs again after it.
func TestBrokenRelayedAnswerIsNotComplete(test *testing.T) {
	broken := func(conn net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Length: 50\r\n\r\nstray")
		return false
	}
	first, second := newTarget(test, "r1", broken), newTarget(test, "r2", broken)
	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1"), closedTarget(test, "r2")}})
	cut.connect(test, newNode(test, tableFixture{once: []*target{first, second}}))
	got := cut.request(test, http.MethodPost, "/once/1", "x")
	require.Equal(test, http.StatusBadGateway, got.status)
	require.NotContains(test, got.body, "stray")
	require.Equal(test, 1, first.count()+second.count())
}

// Guards against pieces that are missing or come twice when a stream that goes through
// another node breaks off and goes on at another group.
func TestRelayedStreamGoesOnAtAnotherGroup(test *testing.T) {
	first, second := newTarget(test, "g1", streams(2, "")), newTarget(test, "g2", streams(2, ""))
	last := newTarget(test, "g3", streams(5, "0\r\n\r\n"))
	cut := newNode(test, tableFixture{groups: []*target{closedTarget(test, "g1"), closedTarget(test, "g2"), closedTarget(test, "g3")}, attempts: 5})
	cut.connect(test, newNode(test, tableFixture{groups: []*target{first, second, last}}))
	for range 6 {
		got := cut.request(test, http.MethodPost, "/stream/1", "prompt")
		require.NoError(test, got.err)
		require.Equal(test, events(5), got.body)
	}
	require.Positive(test, first.count()+second.count(), "no stream broke off")
}

// Guards against a target that goes on working after the caller of a relayed request has
// left.
func TestRelayedRequestEndsWithItsCaller(test *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	group := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		close(arrived)
		_, _ = io.ReadAll(conn)
		close(ended)
		return false
	})
	cut := newNode(test, tableFixture{groups: []*target{closedTarget(test, "g1")}})
	cut.connect(test, newNode(test, tableFixture{groups: []*target{group}}))
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cut.server.URL+"/stream/1", strings.NewReader("prompt"))
	require.NoError(test, err)
	request.Host = "host.example"
	request.Header = http.Header{"Id": {"a1"}, "Secret": {"key"}}
	go cut.send(request)
	<-arrived
	cancel()
	select {
	case <-ended:
	case <-time.After(disconnectTimeout):
		test.Fatal("the target still has its connection")
	}
}

// Guards against requests that a node sends for others although it must not send its own:
// to a target that has left or that its later configuration does not allow, or while it
// stops.
func TestNodeSendsForOthersOnlyWhatItMaySendItself(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	fixture := tableFixture{once: []*target{runner}}
	for name, change := range map[string]func(other *node){
		"target has left": func(other *node) { other.publish(test, tableFixture{}) },
		"later configuration without the route": func(other *node) {
			other.publish(test, tableFixture{once: []*target{runner}, generation: 2, routes: []string{"idempotent", "stream"}})
		},
		"later configuration without workspaces, which requires a key": func(other *node) {
			other.publish(test, tableFixture{once: []*target{runner}, generation: 2, withoutWorkspaces: true, requiresKey: true})
		},
		"node stops": func(other *node) { other.forward.Stop() },
	} {
		test.Run(name, func(test *testing.T) {
			other := newNode(test, fixture)
			cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
			cut.connect(test, other)
			before := runner.count()
			require.Equal(test, 200, cut.request(test, http.MethodPost, "/once/1", "x").status)
			change(other)
			got := cut.request(test, http.MethodPost, "/once/1", "x")
			require.Equal(test, http.StatusServiceUnavailable, got.status)
			require.Equal(test, before+1, runner.count())
		})
	}
}

// Guards against a request that was admitted without a key and is sent for another node
// whose later configuration requires one.
func TestNodeSendsNoRequestWithoutTheKeyThatItRequires(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	other := newNode(test, tableFixture{once: []*target{runner}, withoutWorkspaces: true})
	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}, withoutWorkspaces: true})
	cut.connect(test, other)
	require.Equal(test, 200, cut.request(test, http.MethodPost, "/once/1", "x").status)
	other.publish(test, tableFixture{once: []*target{runner}, generation: 2})
	require.Equal(test, http.StatusServiceUnavailable, cut.request(test, http.MethodPost, "/once/1", "x").status)
	require.Equal(test, 1, runner.count())
}

// Guards against requests that reach a target of another service, because the table changed
// between the choice of the target and the moment at which the request is sent.
func TestTargetThatChangedItsServiceGetsNothing(test *testing.T) {
	group := newTarget(test, "g1", streams(1, "0\r\n\r\n"))
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	lost := closedTarget(test, "lost")
	for path, before := range map[string]tableFixture{"/stream/1": {groups: []*target{lost, group}}, "/once/1": {once: []*target{lost, runner}}} {
		test.Run(path, func(test *testing.T) {
			node := newNode(test, before)
			sent := -1
			// The other node is asked after the target was chosen, if the lost one was tried first.
			other := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				node.publish(test, tableFixture{groups: []*target{group}, groupService: "once", idempotent: []*target{runner}})
				sent = group.count() + runner.count()
				writer.Header().Set("Relay-Outcome", "unavailable")
				writer.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer other.Close()
			node.forward.SetNodes([]fleet.Node{{Name: "self", AdminAddress: "127.0.0.1:1"}, {Name: "other", AdminAddress: other.Listener.Addr().String(), FailureDomain: "zone"}})
			for sent < 0 {
				node.request(test, http.MethodPost, path, "x")
			}
			require.Equal(test, sent, group.count()+runner.count())
			require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, path, "x").status)
		})
	}
}

// Guards against targets that were not reached and use up the allowance of retries.
func TestUnreachedTargetsDrawNoRetries(test *testing.T) {
	runner := newTarget(test, "r3", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{idempotent: []*target{closedTarget(test, "r1"), closedTarget(test, "r2"), runner}, noRetries: true})
	for range 10 {
		require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	}
}

// Guards against a node that stops and cuts off what it sends for others.
func TestStoppingNodeAwaitsRelayedRequests(test *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		close(arrived)
		<-release
		return answer(conn, request, 200, "Seal: s\r\n", "ok")
	})
	other := newNode(test, tableFixture{once: []*target{runner}})
	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
	cut.connect(test, other)
	got := make(chan reply, 1)
	go func() { got <- cut.request(test, http.MethodPost, "/once/1", "x") }()
	<-arrived
	other.forward.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.Error(test, other.forward.AwaitRelayed(ctx))
	close(release)
	require.Equal(test, "ok", (<-got).body)
	require.NoError(test, other.forward.AwaitRelayed(context.Background()))
}

// Guards against a call without a message that ends a node, or is answered as if it may
// have reached a target.
func TestMalformedRelayedCallIsRefused(test *testing.T) {
	node := newNode(test, tableFixture{})
	for _, body := range []string{"", "\xc1", strings.Repeat("\x91", 1<<16)} {
		recorder := httptest.NewRecorder()
		node.forward.ServeRelayed(recorder, httptest.NewRequest(http.MethodPost, forward.RelayPath, strings.NewReader(body)))
		require.Equal(test, http.StatusServiceUnavailable, recorder.Code)
		require.Equal(test, "unavailable", recorder.Header().Get("Relay-Outcome"))
	}
}

// Guards against a request that ends targets through other nodes: evidence that only the
// node has which took it, and a part in quarantine that the other node sends all the same.
func TestQuarantineHoldsOverAnotherNode(test *testing.T) {
	var runners []*target
	var closed []*target
	for index := range 3 {
		var runner *target
		runner = newTarget(test, fmt.Sprint("r", index), func(net.Conn, *http.Request) bool {
			runner.listener.Close()
			return false
		})
		runners = append(runners, runner)
		closed = append(closed, closedTarget(test, runner.name))
	}
	other := newNode(test, tableFixture{once: runners})
	cut := newNode(test, tableFixture{once: closed})
	cut.connect(test, other)
	require.Equal(test, http.StatusBadGateway, cut.request(test, http.MethodPost, "/once/deadly", "x").status)
	mine, others := cut.tracker.TakeEndings(), other.tracker.TakeEndings()
	require.Len(test, mine, 1)
	require.Len(test, others, 1)
	require.Equal(test, mine[0].Parts, others[0].Parts)
	other.tracker.SetQuarantined(mine[0].Parts)
	require.Equal(test, http.StatusServiceUnavailable, cut.request(test, http.MethodPost, "/once/deadly", "x").status)
	require.Equal(test, 1, runners[0].count()+runners[1].count()+runners[2].count())
}
