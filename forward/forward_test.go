package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	waitTimeout = 20 * time.Second
	waitTick    = 5 * time.Millisecond

	// disconnectTimeout is below the deadline of the tests' requests, 2 s, because
	// the deadline would cancel the attempt too.
	disconnectTimeout = time.Second
)

// Guards against a method, path, query, body or header that is changed while it
// is forwarded, and against a key that is sent to a target.
func TestRequestAndResponseAreForwardedUnchanged(test *testing.T) {
	runner := newTarget(test, "r1", answers(201, "Seal: s\r\nX-Own: 1\r\n", "receipt"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	got := node.request(test, http.MethodPost, "/once/a%2Fb?q=%20x", "plank 7")
	require.NoError(test, got.err)
	require.Equal(test, 201, got.status)
	require.Equal(test, "receipt", got.body)
	require.Equal(test, "s", got.header.Get("Seal"))
	require.Equal(test, "1", got.header.Get("X-Own"))
	received := runner.requests[0]
	require.Equal(test, "/once/a%2Fb?q=%20x", received.RequestURI)
	require.Equal(test, "host.example", received.Host)
	require.Equal(test, "plank 7", runner.bodies[0])
	require.Equal(test, "one", received.Header.Get("Workspace"))
	require.Equal(test, "r1", received.Header.Get("Wanted"))
	require.Empty(test, received.Header.Get("Secret"))
}

// Guards against a booking that runs twice, and against reporting a booking as
// not run when it may have run: the targets close the connection without a
// response.
func TestFailedBookingIsUnknownAndNotRetried(test *testing.T) {
	broken := func(net.Conn, *http.Request) bool { return false }
	first, second := newTarget(test, "r1", broken), newTarget(test, "r2", broken)
	node := newNode(test, tableFixture{once: []*target{first, second}})
	got := node.request(test, http.MethodPost, "/once/1", "plank 7")
	require.Equal(test, http.StatusBadGateway, got.status)
	require.Empty(test, got.header.Get("Retry-After"))
	require.Equal(test, 1, first.count()+second.count())
}

// Guards against a booking that is sent on a reused connection: if the target
// has closed it, it is unknown whether the booking has run.
func TestBookingsUseNewConnections(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}})
	for range 3 {
		require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	}
	require.Equal(test, 3, runner.connections)
	for range 3 {
		require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	}
	require.LessOrEqual(test, runner.connections, 4+1, "idle connections are not reused")
}

// Guards against a request that fails because one runner refused it, although
// another runner can serve it.
func TestRefusedRequestIsRetriedAtAnotherRunner(test *testing.T) {
	full := newTarget(test, "r1", answers(503, "Refused: 1\r\n", ""))
	free := newTarget(test, "r2", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{full, free}})
	for range 8 {
		require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	}
	require.Positive(test, full.count(), "no request was sent to the full runner")
}

// Guards against a runner's own error that is reported as not run, and against
// a refusal without Retry-After.
func TestRequestRefusedByAllRunnersIsRefused(test *testing.T) {
	full := newTarget(test, "r1", answers(503, "Refused: 1\r\n", ""))
	node := newNode(test, tableFixture{once: []*target{full}})
	got := node.request(test, http.MethodPost, "/once/1", "x")
	require.Equal(test, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(test, got.header.Get("Retry-After"))
	nobody := newNode(test, tableFixture{})
	require.Equal(test, http.StatusServiceUnavailable, nobody.request(test, http.MethodPost, "/once/1", "x").status)
	failing := newTarget(test, "r2", answers(500, "Seal: s\r\n", "own failure"))
	got = newNode(test, tableFixture{once: []*target{failing}}).request(test, http.MethodPost, "/once/1", "x")
	require.Equal(test, "own failure", got.body, "the runner's own error response is not forwarded")
}

// Guards against an idempotent request that fails because one runner returned
// an error, although another runner can serve it.
func TestLookupIsRetriedAfterServerError(test *testing.T) {
	failing := newTarget(test, "r1", answers(500, "Seal: s\r\n", "failed"))
	sound := newTarget(test, "r2", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{idempotent: []*target{failing, sound}})
	for range 8 {
		require.Equal(test, "ok", node.request(test, http.MethodGet, "/idempotent/1", "").body)
	}
	require.Positive(test, failing.count(), "no request was sent to the failing runner")
	alone := newNode(test, tableFixture{idempotent: []*target{failing}})
	require.NotEqual(test, 200, alone.request(test, http.MethodGet, "/idempotent/1", "").status)
}

// Guards against forwarding a response that belongs to another request, was not
// produced by the target or is not complete.
func TestInvalidResponsesAreNotForwarded(test *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"another request's": func(conn net.Conn, request *http.Request) bool {
			request.Header.Set("Id", "a0")
			return answer(conn, request, 200, "Seal: s\r\n", "stray")
		},
		"without a seal": answers(200, "", "stray"),
		"encoded":        answers(200, "Seal: s\r\nForeign: 1\r\n", "stray"),
		"truncated": func(conn net.Conn, request *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Length: 50\r\n\r\nstray")
			return false
		},
		"no HTTP": func(conn net.Conn, request *http.Request) bool {
			fmt.Fprint(conn, "stray\r\n\r\n")
			return false
		},
	} {
		test.Run(name, func(test *testing.T) {
			node := newNode(test, tableFixture{once: []*target{newTarget(test, "r1", script)}})
			got := node.request(test, http.MethodPost, "/once/1", "x")
			require.Equal(test, http.StatusBadGateway, got.status)
			require.NotContains(test, got.body, "stray")
		})
	}
}

// Guards against a second response on a reused connection that is forwarded as
// the response to the next request.
func TestConnectionWithUnreadBytesIsNotReused(test *testing.T) {
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		// Both responses are written at once. A second response that arrives after
		// the next request was sent can only be detected by its id.
		_, err := io.WriteString(conn, answerText(request.Header.Get("Id"), 200, "Seal: s\r\n", "own")+
			answerText(request.Header.Get("Id"), 200, "Seal: s\r\n", "second"))
		return err == nil
	})
	node := newNode(test, tableFixture{idempotent: []*target{runner}})
	for range 5 {
		got := node.request(test, http.MethodGet, "/idempotent/1", "")
		require.NotEqual(test, "second", got.body)
	}
}

// Guards against a caller that receives the response to another request. The
// target sends a second response to the previous request before the response to
// the current one.
func TestLateResponseOfEarlierRequestIsNotForwarded(test *testing.T) {
	earlier := map[net.Conn]string{}
	var mutex sync.Mutex
	late := 0
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if id, found := earlier[conn]; found {
			late++
			_, _ = io.WriteString(conn, answerText(id, 200, "Seal: s\r\n", "late"))
		}
		earlier[conn] = request.Header.Get("Id")
		return answer(conn, request, 200, "Seal: s\r\n", "own")
	})
	node := newNode(test, tableFixture{idempotent: []*target{runner}})
	for index := range 6 {
		request, err := http.NewRequest(http.MethodGet, node.server.URL+"/idempotent/1", nil)
		require.NoError(test, err)
		request.Host = "host.example"
		request.Header = http.Header{"Id": {fmt.Sprint("a", index)}, "Secret": {"key"}}
		require.NotEqual(test, "late", node.send(request).body)
	}
	mutex.Lock()
	defer mutex.Unlock()
	require.Positive(test, late, "no late response was sent")
}

// Guards against a stream that is aborted, has repeated events or lacks events
// after its group failed.
func TestStreamResumesAfterLastCompleteEvent(test *testing.T) {
	for name, end := range map[string]string{
		"reset between events":  "",
		"cut inside an event":   "5\r\nid: 4\r\n",
		"ended inside an event": "5\r\nid: 4\r\n0\r\n\r\n",
	} {
		test.Run(name, func(test *testing.T) {
			broken := newTarget(test, "g1", streams(3, end))
			sound := newTarget(test, "g2", streams(6, "0\r\n\r\n"))
			node := newNode(test, tableFixture{groups: []*target{broken, sound}})
			for range 6 {
				got := node.request(test, http.MethodPost, "/stream/1", "prompt")
				require.NoError(test, got.err)
				require.Equal(test, events(6), got.body)
			}
			require.Positive(test, broken.count(), "no request was sent to the broken group")
		})
	}
}

// Guards against a stream that ends early and looks complete to the caller.
func TestStreamThatCannotResumeIsAborted(test *testing.T) {
	broken := newTarget(test, "g1", streams(3, ""))
	node := newNode(test, tableFixture{groups: []*target{broken}})
	got := node.request(test, http.MethodPost, "/stream/1", "prompt")
	require.Error(test, got.err)
	require.Equal(test, events(3), got.body)
}

// Guards against callers that wait for a group which accepts requests and sends
// no response.
func TestStreamIsRetriedWhenGroupStalls(test *testing.T) {
	silent := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer)
		return false
	})
	sound := newTarget(test, "g2", streams(4, "0\r\n\r\n"))
	node := newNode(test, tableFixture{groups: []*target{silent, sound}})
	for range 4 {
		got := node.request(test, http.MethodPost, "/stream/1", "prompt")
		require.NoError(test, got.err)
		require.Equal(test, events(4), got.body)
	}
	require.Positive(test, silent.count(), "no request was sent to the silent group")
	require.Contains(test, node.forward.StalledGroups(), "g1")
}

// Guards against a target that keeps working for a caller that has disconnected.
func TestCallerDisconnectCancelsAttempt(test *testing.T) {
	ended := make(chan struct{})
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer)
		close(ended)
		return false
	})
	node := newNode(test, tableFixture{once: []*target{runner}})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, node.server.URL+"/once/1", strings.NewReader("x"))
	require.NoError(test, err)
	request.Host = "host.example"
	request.Header = http.Header{"Id": {"a1"}, "Secret": {"key"}}
	result := make(chan reply, 1)
	go func() { result <- node.send(request) }()
	require.Eventually(test, func() bool { return runner.count() == 1 }, waitTimeout, waitTick)
	cancel()
	<-result
	select {
	case <-ended:
	case <-time.After(disconnectTimeout):
		test.Fatal("the request to the target was not cancelled")
	}
}

// Guards against forwarding requests that match no route, have no valid key, are
// malformed or have too large a body.
func TestRequestsOutsideTheConfigurationAreRejected(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	for name, fixture := range map[string]struct {
		path, key, bad, body string
		status               int
	}{
		"no route":       {path: "/other/1", key: "key", status: http.StatusNotFound},
		"unknown key":    {path: "/once/1", key: "other", status: http.StatusUnauthorized},
		"no key":         {path: "/once/1", status: http.StatusUnauthorized},
		"large body":     {path: "/once/1", key: "key", body: strings.Repeat("x", 65), status: http.StatusRequestEntityTooLarge},
		"malformed":      {path: "/once/1", key: "key", bad: "1", status: http.StatusBadRequest},
		"largest body":   {path: "/once/1", key: "key", body: strings.Repeat("x", 64), status: http.StatusOK},
		"other's prefix": {path: "/onceness/1", key: "key", status: http.StatusNotFound},
	} {
		test.Run(name, func(test *testing.T) {
			request, err := http.NewRequest(http.MethodPost, node.server.URL+fixture.path, strings.NewReader(fixture.body))
			require.NoError(test, err)
			request.Host = "host.example"
			request.Header = http.Header{"Id": {"a1"}, "Secret": {fixture.key}, "Bad": {fixture.bad}}
			require.Equal(test, fixture.status, node.send(request).status)
		})
	}
	require.Equal(test, 1, runner.count())
}

// Guards against a request without a workspace that is more urgent at the target than its
// route.
func TestRequestWithoutWorkspaceHasThePriorityOfItsRoute(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{runner}, withoutWorkspaces: true, priority: 3})
	require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	require.Equal(test, "3", runner.requests[0].Header.Get("Urgency"))
}

// Guards against accepting a key, or reporting a route as missing, by a
// configuration that may have been replaced.
func TestStaleConfigurationRefusesRequests(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	node.mutex.Lock()
	node.confirmed = time.Now().Add(-2 * time.Minute)
	node.mutex.Unlock()
	for _, path := range []string{"/once/1", "/other/1"} {
		got := node.request(test, http.MethodPost, path, "x")
		require.Equal(test, http.StatusServiceUnavailable, got.status, path)
		require.NotEmpty(test, got.header.Get("Retry-After"))
	}
	require.Zero(test, runner.count())
}

// Guards against a node that accepts requests while it stops.
func TestStoppingNodeRefusesNewRequests(test *testing.T) {
	runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	require.False(test, node.forward.RequestReceived())
	require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	require.True(test, node.forward.RequestReceived())
	node.forward.Stop()
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/once/1", "x").status)
	require.Equal(test, 1, runner.count())
}

// Guards against an attempt that is counted twice: then a lookup with a
// truncated response would use up its attempts and not be retried.
func TestLookupIsRetriedAfterTruncatedResponse(test *testing.T) {
	truncated := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Length: 50\r\n\r\npart")
		return false
	})
	sound := newTarget(test, "r2", answers(200, "Seal: s\r\n", "ok"))
	node := newNode(test, tableFixture{idempotent: []*target{truncated, sound}})
	for range 8 {
		require.Equal(test, "ok", node.request(test, http.MethodGet, "/idempotent/1", "").body)
	}
	require.Positive(test, truncated.count(), "no request was sent to the broken runner")
}

// maxUnreadBytes is the most that a target may write of an answer without end
// before its connection is closed. Most of it stays in the sockets' buffers.
const maxUnreadBytes = 16 << 20

// A runner in trouble writes bytes that are no answer until its connection is
// closed. Guards against a node that keeps them in memory, or reads them until the
// deadline of the request.
func TestAnswerWithoutEndIsCutOff(test *testing.T) {
	filler := strings.Repeat("x", 1<<10)
	head := "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct{ begin, repeat string }{
		"status line":     {"HTTP/1.1 200 ", filler},
		"header line":     {head + "Long: ", filler},
		"header lines":    {head, "Long: " + filler + "\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLong: " + filler + "\r\n\r\n"},
		"chunk extension": {chunked + "1;", filler},
		"body":            {chunked, "400\r\n" + filler + "\r\n"},
		"trailer":         {chunked + "0\r\n", "Long: " + filler + "\r\n"},
		"event":           {chunked, "400\r\n" + filler + "\r\n"},
		"event lines":     {chunked, "401\r\n" + filler + "\n\r\n"},
	} {
		for _, service := range []string{"once", "stream"} {
			if service == "once" && strings.HasPrefix(name, "event") {
				continue
			}
			test.Run(name+" of "+service, func(test *testing.T) {
				written := make(chan int, 1)
				endless := newTarget(test, "t1", func(conn net.Conn, _ *http.Request) bool {
					total, err := io.WriteString(conn, answer.begin)
					block := strings.Repeat(answer.repeat, 16)
					for err == nil && total < 4*maxUnreadBytes {
						var count int
						count, err = io.WriteString(conn, block)
						total += count
					}
					written <- total
					return false
				})
				node := newNode(test, tableFixture{once: []*target{endless}, groups: []*target{endless}})
				got := node.request(test, http.MethodPost, "/"+service+"/1", "x")
				require.NotEqual(test, http.StatusOK, got.status)
				require.Less(test, <-written, maxUnreadBytes)
			})
		}
	}
}

// A group works at a fraction of its speed, and the request may not be sent to a
// third one. Guards against a slow but sound stream that is cut off.
func TestSlowStreamIsNotCutWhenItCannotMove(test *testing.T) {
	broken := newTarget(test, "g1", streams(3, ""))
	pause := 700 * time.Millisecond
	slow := newTarget(test, "g2", func(conn net.Conn, request *http.Request) bool {
		write := streams(4, "")
		write(conn, request)
		for index := 5; index <= 6; index++ {
			time.Sleep(pause)
			chunk := event(index)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	node := newNode(test, tableFixture{groups: []*target{broken, slow}})
	for range 4 {
		before := broken.count()
		got := node.request(test, http.MethodPost, "/stream/1", "prompt")
		if broken.count() == before {
			continue
		}
		require.NoError(test, got.err)
		require.Equal(test, events(6), got.body)
		return
	}
	test.Fatal("no request was sent to the broken group")
}

// Guards against a stream that never ends because its target sends a byte now and
// then: progress is an event.
func TestStreamThatSendsSingleBytesIsAborted(test *testing.T) {
	ended := make(chan struct{})
	dripping := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		defer close(ended)
		streams(2, "")(conn, request)
		for {
			if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	node := newNode(test, tableFixture{groups: []*target{dripping}, attempts: 2})
	began := time.Now()
	got := node.request(test, http.MethodPost, "/stream/1", "prompt")
	require.Error(test, got.err)
	require.Equal(test, events(2), got.body)
	<-ended
	require.Less(test, time.Since(began), waitTimeout)
}

// staleRefusal writes the refusal of an earlier request, runs the request, and answers it.
func staleRefusal(ran *atomic.Int32) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		ran.Add(1)
		_, _ = io.WriteString(conn, answerText("a0", 503, "Refused: 1\r\n", ""))
		return answer(conn, request, 200, "Seal: s\r\n", "ok")
	}
}

// Guards against a request that is reported as not run, or runs at a second runner, because
// its runner wrote an earlier refusal once more (report of another operator).
func TestRefusalOfAnotherRequestIsNotTrusted(test *testing.T) {
	var ran atomic.Int32
	first, second := newTarget(test, "r1", staleRefusal(&ran)), newTarget(test, "r2", staleRefusal(&ran))
	node := newNode(test, tableFixture{once: []*target{first, second}, idempotent: []*target{first}})
	got := node.request(test, http.MethodPost, "/once/1", "plank 7")
	require.Equal(test, http.StatusBadGateway, got.status)
	require.Equal(test, int32(1), ran.Load())
	require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodGet, "/idempotent/1", "").status)

	cut := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1"), closedTarget(test, "r2")}})
	cut.connect(test, node)
	ran.Store(0)
	require.Equal(test, http.StatusBadGateway, cut.request(test, http.MethodPost, "/once/1", "plank 7").status)
	require.Equal(test, int32(1), ran.Load(), "through another node")
}

// Guards against the same with a refusal that names no request, on a connection in use
// again. On a new connection it can only belong to the request.
func TestRefusalWithoutIDIsTrustedOnNewConnections(test *testing.T) {
	var connections atomic.Int32
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		if connections.Add(1) == 1 {
			return answer(conn, request, 200, "Seal: s\r\n", "ok")
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Status\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	node := newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}})
	require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/once/1", "x").status)
}

// Guards against the text or the head of an error in the middle of a stream, and against a
// stream that ends as complete, when the group at which it should go on answers with an
// error (report of another operator), or does not go on at the last event.
func TestStreamDoesNotGoOnWithAnError(test *testing.T) {
	fail := func(text string) func(net.Conn, *http.Request) bool {
		return func(conn net.Conn, request *http.Request) bool {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Id")))
			return false
		}
	}
	const head = "Id: ID\r\nSeal: s\r\n"
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"failure":               fail("HTTP/1.1 500 Status\r\n" + head + "Content-Length: 13\r\n\r\ndata: oops\n\n\n"),
		"failure, to end":       fail("HTTP/1.1 500 Status\r\n" + head + "Content-Type: text/event-stream\r\n\r\nid: 3\ndata: oops\n\n"),
		"client error":          fail("HTTP/1.1 400 Status\r\n" + head + "Content-Length: 4\r\n\r\noops"),
		"refusal":               fail("HTTP/1.1 503 Status\r\nId: ID\r\nRefused: 1\r\nContent-Length: 4\r\n\r\noops"),
		"success, no seal":      fail("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: oops\n\n"),
		"success, not a stream": fail("HTTP/1.1 200 OK\r\n" + head + "Content-Type: application/json\r\nContent-Length: 19\r\n\r\n{\"error\": \"oops\"}\n\n"),
		"no content":            fail("HTTP/1.1 204 Status\r\n" + head + "\r\n"),
		"no answer":             fail("oops\r\n\r\n"),
		"head in the body":      fail("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n\r\nHTTP/1.1 500 oops\r\nData: oops\r\n\r\n"),
		"begins anew":           streams(5, "0\r\n\r\n"),
	} {
		test.Run(name, func(test *testing.T) {
			test.Parallel()
			first := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
				for index := 1; index <= 2; index++ {
					fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(index)), event(index))
				}
				return false
			})
			second := newTarget(test, "g2", func(conn net.Conn, request *http.Request) bool {
				if name == "begins anew" {
					request.Header.Set("After", "0")
				}
				return script(conn, request)
			})
			node := newNode(test, tableFixture{groups: []*target{first, second}})
			for range 6 {
				began := first.count()
				got := node.request(test, http.MethodPost, "/stream/1", "prompt")
				if first.count() > began && strings.HasPrefix(got.body, event(1)) {
					require.Error(test, got.err, "the stream ended as complete: %q", got.body)
					require.Equal(test, events(2), got.body)
				}
			}
			require.Positive(test, first.count())
			require.Positive(test, second.count())
		})
	}
}
