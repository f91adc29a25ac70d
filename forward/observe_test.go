package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/route"
)

// limitedShare is the number of requests that a single node may send in two seconds to a
// target with a limit of 2 a second. One more is sent before the limit is known.
const limitedShare = 2 * 2

// Guards against a runner that gets more than it takes while another one has room, and
// against requests that wait for it, or are sent anyway, when there is no other.
func TestRunnerAtItsLimitIsNotPicked(test *testing.T) {
	limited := newTarget(test, "r1", answers(200, "Seal: s\r\nLimit: 2\r\n", "ok"))
	free := newTarget(test, "r2", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{idempotent: []*target{limited, free}})
	for range 40 {
		require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	}
	require.Equal(test, limitedShare+1, limited.count())
	node.publish(test, tableFixture{idempotent: []*target{limited}})
	got := node.request(test, http.MethodGet, "/idempotent/1", "")
	require.Equal(test, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(test, got.header.Get("Retry-After"))
	require.Equal(test, limitedShare+1, limited.count())
}

// Guards against a group that gets more streams than its rank 0 takes, and against a limit
// that ends with the answer of another target.
func TestGroupAtItsLimitIsNotPicked(test *testing.T) {
	limited := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		if request.URL.Path == "/stream/misdirected" {
			_, _ = io.WriteString(conn, answerText(request.Header.Get("Id"), http.StatusMisdirectedRequest, "Refused: 1\r\n", ""))
			return true
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLimit: 2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			request.Header.Get("Id"), len(event(1)), event(1))
		return true
	})
	node := newNode(test, tableFixture{groups: []*target{limited}})
	require.Equal(test, 200, node.request(test, http.MethodPost, "/stream/1", "prompt").status)
	node.request(test, http.MethodPost, "/stream/misdirected", "prompt")
	for range 10 {
		node.request(test, http.MethodPost, "/stream/1", "prompt")
	}
	require.Equal(test, limitedShare+1, limited.count())
}

// Guards against requests to a runner that has asked for rest, by retries, over new
// connections or because all others rest as well, and against a refusal that is late or says
// to come back before the rest has ended.
func TestRestingRunnerGetsNoRequests(test *testing.T) {
	const rest = 600 * time.Millisecond
	resting := answers(503, "Refused: 1\r\nRest: 600ms\r\n", "")
	first, second := newTarget(test, "r1", resting), newTarget(test, "r2", resting)
	free := newTarget(test, "r3", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{first, second, free}, idempotent: []*target{first, second}, attempts: 3})
	began := time.Now()
	for range 30 {
		require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	}
	require.LessOrEqual(test, first.count()+second.count(), 2)
	node.request(test, http.MethodGet, "/idempotent/1", "")
	seen := first.count() + second.count()
	require.Equal(test, 2, seen)
	got := node.request(test, http.MethodGet, "/idempotent/1", "")
	require.Equal(test, http.StatusServiceUnavailable, got.status)
	retryAfter, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	require.NoError(test, err)
	require.GreaterOrEqual(test, time.Since(began)+retryAfter, rest)
	require.Equal(test, seen, first.count()+second.count())
	require.Eventually(test, func() bool {
		node.request(test, http.MethodGet, "/idempotent/1", "")
		return first.count()+second.count() > seen
	}, waitTimeout, waitTick, "the rest does not end")
	require.GreaterOrEqual(test, time.Since(began), rest)
}

// Guards against a node that sends requests of others to a target that has asked this node
// for rest.
func TestRestingRunnerGetsNoRequestsOfOtherNodes(test *testing.T) {
	resting := newTarget(test, "r1", answers(503, "Refused: 1\r\nRest: 1h\r\n", ""))
	other := newNode(test, tableFixture{once: []*target{resting}})
	for _, name := range []string{"first", "second"} {
		cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
		cut.connect(test, other)
		require.Equal(test, http.StatusServiceUnavailable, cut.request(test, http.MethodPost, "/once/1", "x").status, name)
	}
	require.Equal(test, 1, resting.count())
}

// Guards against requests to targets that have said in any answer that they leave, and
// against one that is not passed on to the control thread.
func TestLeavingTargetsGetNoRequests(test *testing.T) {
	trailer := func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTrailer: Leaving\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLeaving: 1\r\n\r\n", request.Header.Get("Id"))
		return true
	}
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"answer":  answers(200, "Seal: s\r\nLeaving: 1\r\n", "ok"),
		"refusal": answers(503, "Refused: 1\r\nLeaving: 1\r\n", ""),
		"failure": answers(500, "Seal: s\r\nLeaving: 1\r\n", "failed"),
		"trailer": trailer,
	} {
		test.Run(name, func(test *testing.T) {
			leaving := newTarget(test, "r1", script)
			node := newNode(test, tableFixture{once: []*target{leaving}})
			node.request(test, http.MethodPost, "/once/1", "x")
			require.Equal(test, []route.LeavingTarget{{Target: "r1"}}, node.forward.TakeLeaving())
			require.Empty(test, node.forward.TakeLeaving())
			for range 3 {
				require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/once/1", "x").status)
			}
			require.Equal(test, 1, leaving.count())
		})
	}
	group := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			request.Header.Get("Id"), len(event(1)), event(1))
		return true
	})
	node := newNode(test, tableFixture{groups: []*target{group}})
	require.Equal(test, event(1), node.request(test, http.MethodPost, "/stream/1", "x").body)
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/stream/1", "x").status)
	require.Equal(test, 1, group.count())
}

// Guards against a target that is closed because of an answer that is not its own: that of
// another target at its address, or a late one to an earlier request.
func TestAnswersOfOthersCloseNoTarget(test *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"misdirected": answers(http.StatusMisdirectedRequest, "Refused: 1\r\nLeaving: 1\r\nRest: 1h\r\n", ""),
		"late": func(conn net.Conn, request *http.Request) bool {
			_, _ = io.WriteString(conn, answerText("a0", 503, "Refused: 1\r\nLeaving: 1\r\nRest: 1h\r\n", ""))
			return true
		},
	} {
		test.Run(name, func(test *testing.T) {
			runner := newTarget(test, "r1", script)
			node := newNode(test, tableFixture{once: []*target{runner}})
			for range 3 {
				node.request(test, http.MethodPost, "/once/1", "x")
			}
			require.Equal(test, 3, runner.count())
			require.Empty(test, node.forward.TakeLeaving())
		})
	}
}
