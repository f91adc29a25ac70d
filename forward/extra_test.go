package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// extras are answers without an id that a target in trouble writes after a complete answer.
var extras = map[string]string{
	"400":             "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nextra",
	"400, sealed":     "HTTP/1.1 400 Bad Request\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra",
	"404, chunked":    "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nextra\r\n0\r\n\r\n",
	"408":             "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\nextra",
	"500":             "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nextra",
	"301":             "HTTP/1.1 301 Moved\r\nLocation: /extra\r\nContent-Length: 5\r\n\r\nextra",
	"200, sealed":     "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra",
	"stream, sealed":  "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 19\r\n\r\nid: 1\ndata: extra\n\n",
	"refusal":         "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 5\r\n\r\nextra",
	"of another id":   "HTTP/1.1 200 OK\r\nId: a0\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra",
	"leaves, unknown": "HTTP/1.1 400 Bad Request\r\nLeaving: 1\r\nRest: 1h\r\nContent-Length: 5\r\n\r\nextra",
}

// writesExtras returns a script that answers each request, and writes extra bytes at the point
// where the answer to the second request of a connection is expected.
func writesExtras(extra string, written *atomic.Int64) func(net.Conn, *http.Request) bool {
	var last atomic.Value
	return func(conn net.Conn, request *http.Request) bool {
		if previous := last.Swap(conn.RemoteAddr().String()); previous == conn.RemoteAddr().String() {
			written.Add(1)
			_, _ = io.WriteString(conn, extra)
		}
		if request.URL.Path == "/stream/1" {
			return streams(2, "0\r\n\r\n")(conn, request)
		}
		return answer(conn, request, 200, "Seal: s\r\n", "ok")
	}
}

// Guards against bytes after a complete answer that pass for the answer to the next request on
// the connection.
func TestBytesAfterAnAnswerAreNoAnswer(test *testing.T) {
	for name, extra := range extras {
		for path, want := range map[string]string{"/idempotent/1": "ok", "/stream/1": events(2)} {
			for _, relayed := range []bool{false, true} {
				test.Run(fmt.Sprintf("%s, %s, relayed %v", name, path, relayed), func(test *testing.T) {
					var written atomic.Int64
					faulty := newTarget(test, "t1", writesExtras(extra, &written))
					sound := newTarget(test, "t2", writesExtras("", new(atomic.Int64)))
					targets := []*target{faulty, sound}
					node := newNode(test, tableFixture{idempotent: targets, groups: targets})
					if relayed {
						reaching := node
						node = newNode(test, tableFixture{idempotent: closedTargets(test, targets), groups: closedTargets(test, targets)})
						node.connect(test, reaching)
					}
					for range 24 {
						got := node.request(test, http.MethodGet, path, "")
						require.NoError(test, got.err)
						require.Equal(test, 200, got.status)
						require.Equal(test, want, got.body)
					}
					require.Positive(test, written.Load(), "no connection had two requests")
				})
			}
		}
	}
}

// Guards against a service whose answers have no id and that is not served, or whose connections
// have more than one request, so that its answers cannot be told from bytes after earlier ones.
func TestTargetsWithoutIDsGetNewConnections(test *testing.T) {
	for name, status := range map[string]int{"success": 200, "failure": 404} {
		for _, relayed := range []bool{false, true} {
			test.Run(fmt.Sprintf("%s, relayed %v", name, relayed), func(test *testing.T) {
				text := fmt.Sprintf("HTTP/1.1 %d Status\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", status)
				silent := newTarget(test, "t1", func(conn net.Conn, _ *http.Request) bool {
					fmt.Fprint(conn, text)
					return true
				})
				fixture := tableFixture{once: []*target{silent}, idempotent: []*target{silent}}
				node := newNode(test, fixture)
				if relayed {
					reaching := node
					node = newNode(test, tableFixture{once: closedTargets(test, fixture.once), idempotent: closedTargets(test, fixture.once)})
					node.connect(test, reaching)
				}
				for index := range 10 {
					path := []string{"/idempotent/1", "/once/1"}[index%2]
					got := node.request(test, http.MethodPost, path, "x")
					require.Equal(test, status, got.status)
					require.Equal(test, "ok", got.body)
				}
				require.Equal(test, 10, silent.connections)
			})
		}
	}
}

// Guards against a failure of a server that is no target, at an address that was used again, that
// is passed on as the target's: it has neither the seal nor the request's id.
func TestFailureOfAnotherServerIsNotPassedOn(test *testing.T) {
	for _, status := range []int{301, 400, 401, 403, 404, 405, 500, 502} {
		other := newTarget(test, "t1", func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nContent-Length: 5\r\n\r\nother", status)
			return true
		})
		sound := newTarget(test, "t2", answers(200, "Seal: s\r\n", "ok"))
		node := newNode(test, tableFixture{once: []*target{other}, idempotent: []*target{other, sound}, groups: []*target{other}})
		for range 8 {
			require.Equal(test, "ok", node.request(test, http.MethodGet, "/idempotent/1", "").body, status)
		}
		for _, path := range []string{"/once/1", "/stream/1"} {
			got := node.request(test, http.MethodPost, path, "x")
			require.Equal(test, http.StatusBadGateway, got.status, "%d at %s", status, path)
			require.NotContains(test, got.body, "other")
		}
	}
}
