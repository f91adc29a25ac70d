package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// promises are the statuses with which a node promises that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failures are the headers of a target's failure after it has run a request: with and without
// its seal and the request's id, and with a time to come back.
var failures = map[string]string{
	"sealed":           "Id: a1\r\nSeal: s\r\nRetry-After: 1\r\n",
	"without seal":     "Id: a1\r\n",
	"without id":       "Seal: s\r\n",
	"without either":   "Retry-After: 1\r\n",
	"of another id":    "Id: a0\r\nSeal: s\r\n",
	"to be closed":     "Id: a1\r\nSeal: s\r\nConnection: close\r\n",
	"of other content": "Id: a1\r\nSeal: s\r\nForeign: 1\r\n",
}

// failsAfterRun returns scripts of a target that answers with a failure after it has run a
// request, by the framing of the answer.
func failsAfterRun(status int, header string) map[string]func(net.Conn, *http.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s", status, header)
	return map[string]func(net.Conn, *http.Request) bool{
		"length": func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprint(conn, head+"Content-Length: 6\r\n\r\nfailed")
			return true
		},
		"chunked": func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprint(conn, head+"Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n")
			return true
		},
		"until the close": func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprint(conn, head+"\r\nfailed")
			return false
		},
	}
}

// Guards against a caller that is told that its request has not run, by a status that a target
// gave after it had run the request, and that sends it again.
func TestFailureAfterTheRunIsNoRefusal(test *testing.T) {
	for _, status := range promises {
		for name, header := range failures {
			for framing, script := range failsAfterRun(status, header) {
				test.Run(strconv.Itoa(status)+" "+name+", "+framing, func(test *testing.T) {
					failing := newTarget(test, "t1", script)
					for _, fixture := range []tableFixture{
						{once: []*target{failing}, idempotent: []*target{failing}, groups: []*target{failing}},
						{groups: []*target{failing}, unresumable: true},
					} {
						requireUnknown(test, newNode(test, fixture), fixture)
						cutFixture := fixture
						cutFixture.once, cutFixture.idempotent, cutFixture.groups = closedTargets(test, fixture.once), closedTargets(test, fixture.idempotent), closedTargets(test, fixture.groups)
						cut := newNode(test, cutFixture)
						cut.connect(test, newNode(test, fixture))
						requireUnknown(test, cut, fixture)
					}
				})
			}
		}
	}
}

// closedTargets returns targets of the same names that accept no connections.
func closedTargets(test *testing.T, reached []*target) []*target {
	var closed []*target
	for _, target := range reached {
		closed = append(closed, closedTarget(test, target.name))
	}
	return closed
}

// requireUnknown sends a request on each route of the fixture, and requires an answer of the node
// itself that promises nothing.
func requireUnknown(test *testing.T, node *node, fixture tableFixture) {
	for path, targets := range map[string][]*target{"/once/1": fixture.once, "/idempotent/1": fixture.idempotent, "/stream/1": fixture.groups} {
		if len(targets) == 0 {
			continue
		}
		before := targets[0].count()
		got := node.request(test, http.MethodPost, path, "x")
		require.NoError(test, got.err)
		require.Equal(test, before+1, targets[0].count(), path)
		require.Equal(test, http.StatusBadGateway, got.status, path)
		require.Equal(test, "a1", got.header.Get("Id"), path)
		require.Empty(test, got.header.Get("Seal"), path)
		require.Empty(test, got.header.Get("Retry-After"), path)
		require.NotContains(test, got.body, "failed\r\n", path)
	}
}

// Guards against a request that may be repeated and ends with the failure of one target, with a
// status that promises that it has not run, although another target serves it.
func TestFailureWithAPromiseIsRetried(test *testing.T) {
	for _, status := range promises {
		failing := newTarget(test, "t1", answers(status, "Seal: s\r\n", "failed"))
		sound := newTarget(test, "t2", answers(200, "Seal: s\r\n", "ok"))
		group := newTarget(test, "g2", streams(2, "0\r\n\r\n"))
		node := newNode(test, tableFixture{idempotent: []*target{failing, sound}, groups: []*target{failing, group}})
		for range 8 {
			require.Equal(test, "ok", node.request(test, http.MethodGet, "/idempotent/1", "").body, status)
		}
		require.Equal(test, events(2), node.request(test, http.MethodPost, "/stream/1", "x").body, status)
		require.Positive(test, failing.count(), status)
	}
}

// Guards against a true refusal that is answered as unknown, and against a refusal by the last
// target of a request that an earlier one may have run.
func TestRefusalAfterAFailureIsUnknown(test *testing.T) {
	for _, status := range promises {
		full := newTarget(test, "t1", answers(status, "Refused: 1\r\n", ""))
		node := newNode(test, tableFixture{once: []*target{full}, idempotent: []*target{full}, groups: []*target{full}})
		for _, path := range []string{"/once/1", "/idempotent/1", "/stream/1"} {
			require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, path, "x").status, path)
		}
		failing := newTarget(test, "t2", answers(status, "Seal: s\r\n", "failed"))
		node = newNode(test, tableFixture{idempotent: []*target{full, failing}})
		for range 4 {
			require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodPost, "/idempotent/1", "x").status)
		}
	}
}
