package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// chunkedHead is the head of a stream of a target.
func chunkedHead(request *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
}

// chunkOf returns one event as a chunk.
func chunkOf(index int) string { return fmt.Sprintf("%x\r\n%s\r\n", len(event(index)), event(index)) }

// resume sends a stream request that goes on after an event.
func (node *node) resume(test *testing.T, after string) reply {
	request := node.newRequest(test, http.MethodPost, "/stream/1", "prompt")
	request.Header.Set("After", after)
	return node.send(request)
}

// Guards against a stream of a plain service that begins anew when its caller resumes it.
func TestCallerResumesStreamOfPlainService(test *testing.T) {
	for name, fixture := range map[string]tableFixture{"resumable": {}, "runs once": {unresumable: true}} {
		test.Run(name, func(test *testing.T) {
			runner := newTarget(test, "r1", streams(5, "0\r\n\r\n"))
			fixture.runners = []*target{runner}
			node := newNode(test, fixture)
			for range 3 {
				got := node.resume(test, "3")
				require.NoError(test, got.err)
				require.Equal(test, event(4)+event(5), got.body)
				require.Equal(test, "s", got.header.Get("Seal"))
			}
			cutFixture := fixture
			cutFixture.runners = []*target{closedTarget(test, "r1")}
			cut := newNode(test, cutFixture)
			cut.connect(test, node)
			require.Equal(test, event(4)+event(5), cut.resume(test, "3").body)
		})
	}
}

// Guards against a caller that has got the last event, but not the end of its stream, and whose
// resumed stream fails because nothing is left.
func TestCallerResumesAfterTheLastEvent(test *testing.T) {
	whole := newTarget(test, "t1", streams(5, "0\r\n\r\n"))
	for name, fixture := range map[string]tableFixture{"runner": {runners: []*target{whole}}, "group": {groups: []*target{whole}}, "once": {runners: []*target{whole}, unresumable: true}} {
		reaching := newNode(test, fixture)
		cutOff := newNode(test, tableFixture{runners: closedTargets(test, fixture.runners), groups: closedTargets(test, fixture.groups), unresumable: fixture.unresumable})
		cutOff.connect(test, reaching)
		for _, asked := range []*node{reaching, cutOff} {
			got := asked.resume(test, "5")
			require.NoError(test, got.err, name)
			require.Equal(test, 200, got.status, name)
			require.Equal(test, "s", got.header.Get("Seal"), name)
			require.Empty(test, got.body, name)
		}
	}
}

// Guards against the header with the caller's last event that is lost on a route without streams.
func TestLastEventIsForwardedOnEachRoute(test *testing.T) {
	runner, group := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok")), newTarget(test, "g1", answers(200, "Seal: s\r\n", "ok"))
	for _, fixture := range []tableFixture{
		{once: []*target{runner}, idempotent: []*target{runner}}, {groups: []*target{group}, kinds: map[string]string{"/once/": "stream", "/idempotent/": "stream"}},
	} {
		node := newNode(test, fixture)
		for _, path := range []string{"/once/1", "/idempotent/1"} {
			request := node.newRequest(test, http.MethodPost, path, "x")
			request.Header.Set("After", "7")
			require.Equal(test, 200, node.send(request).status)
		}
	}
	for _, target := range []*target{runner, group} {
		require.Len(test, target.requests, 2)
		for _, received := range target.requests {
			require.Equal(test, "7", received.Header.Get("After"))
		}
	}
}

// Guards against events of a plain service that reach the caller only with the end of the stream.
func TestEventsOfPlainServiceArePassedOnAsTheyArrive(test *testing.T) {
	read := make(chan bool)
	defer close(read)
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		fmt.Fprint(conn, chunkedHead(request)+chunkOf(1))
		<-read
		fmt.Fprint(conn, chunkOf(2)+"0\r\n\r\n")
		return true
	})
	node := newNode(test, tableFixture{runners: []*target{runner}})
	response, err := node.server.Client().Do(node.newRequest(test, http.MethodPost, "/stream/1", "prompt"))
	require.NoError(test, err)
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	line, err := body.ReadString('\n')
	require.NoError(test, err)
	require.Equal(test, "id: 1\n", line)
	read <- true
	rest, err := io.ReadAll(body)
	require.NoError(test, err)
	require.Equal(test, events(2), line+string(rest))
}

// Guards against a stream of a plain service that a runner breaks off and that looks complete,
// is not resumed where the route allows it, or is sent to another runner where it does not.
func TestBrokenStreamOfPlainService(test *testing.T) {
	ends := map[string]string{"in an event": "11\r\nid: 4\ndata: pie\r\n", "between events": ""}
	for name, end := range ends {
		for _, resumable := range []bool{true, false} {
			test.Run(fmt.Sprintf("%s, resumable %v", name, resumable), func(test *testing.T) {
				breaking, sound := newTarget(test, "r1", streams(3, end)), newTarget(test, "r2", streams(6, "0\r\n\r\n"))
				node := newNode(test, tableFixture{runners: []*target{breaking, sound}, unresumable: !resumable})
				for breaking.count() == 0 {
					got := node.request(test, http.MethodPost, "/stream/1", "prompt")
					switch {
					case resumable || breaking.count() == 0:
						require.NoError(test, got.err)
						require.Equal(test, events(6), got.body)
					default:
						require.Error(test, got.err, "the stream looks complete: %q", got.body)
						require.Equal(test, events(3), got.body)
						require.Zero(test, sound.count())
					}
				}
			})
		}
	}
}

// Guards against a stream that is resumed although its events have no ids, so that it begins anew
// behind the events that were delivered.
func TestStreamWithoutIDsIsNotResumed(test *testing.T) {
	const text = "data: piece\n\n"
	script := func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "%s%x\r\n%s\r\n", chunkedHead(request), len(text), text)
		return false
	}
	first, second := newTarget(test, "t1", script), newTarget(test, "t2", script)
	for _, fixture := range []tableFixture{{runners: []*target{first, second}}, {groups: []*target{first, second}}} {
		before := first.count() + second.count()
		got := newNode(test, fixture).request(test, http.MethodPost, "/stream/1", "prompt")
		require.Error(test, got.err)
		require.Equal(test, text, got.body)
		require.Equal(test, before+1, first.count()+second.count())
	}
}

// Guards against a stream of a plain service of more bytes than an answer may have that is read
// whole.
func TestLongStreamOfPlainServiceHasNoBound(test *testing.T) {
	const count, size = 100, 100 << 10
	runner := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
		fmt.Fprint(conn, chunkedHead(request))
		for index := 1; index <= count; index++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", index, strings.Repeat("x", size))
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	node := newNode(test, tableFixture{runners: []*target{runner}})
	got := node.request(test, http.MethodPost, "/stream/1", "prompt")
	require.NoError(test, got.err)
	require.Greater(test, len(got.body), count*size)
}

// Guards against answers that are no streams and that a group, or a plain runner on a route of
// streams, gives in vain: the node took them for broken streams.
func TestWholeAnswersArePassedOnWhateverTheService(test *testing.T) {
	verdict := answers(200, "Seal: s\r\nContent-Type: application/json\r\n", `{"verdict":1}`)
	created := answers(201, "Seal: s\r\nX-Own: 1\r\n", "receipt")
	for name, fixture := range map[string]tableFixture{
		"group, once":        {kinds: map[string]string{"/once/": "stream"}},
		"group, idempotent":  {kinds: map[string]string{"/idempotent/": "stream"}},
		"group, stream":      {kinds: map[string]string{"/stream/": "stream"}},
		"runner, stream":     {plainStream: true},
		"runner, idempotent": {kinds: map[string]string{"/idempotent/": "idempotent"}},
	} {
		path := "/stream/1"
		for prefix := range fixture.kinds {
			path = prefix + "1"
		}
		for _, script := range []func(net.Conn, *http.Request) bool{verdict, created} {
			test.Run(name, func(test *testing.T) {
				serving := newTarget(test, "t1", script)
				if fixture.plainStream {
					fixture.runners = []*target{serving}
				} else {
					fixture.groups, fixture.idempotent = []*target{serving}, []*target{serving}
				}
				node := newNode(test, fixture)
				got := node.request(test, http.MethodPost, path, "x")
				require.NoError(test, got.err)
				require.Equal(test, "s", got.header.Get("Seal"))
				want := map[bool]int{true: 200, false: 201}[got.body == `{"verdict":1}`]
				require.Equal(test, want, got.status)
				require.Contains(test, []string{`{"verdict":1}`, "receipt"}, got.body)
				require.Equal(test, 1, serving.count())
			})
		}
	}
}

// Guards against a request to a group, on a route without streams, that runs twice although it
// may run once, or that is not repeated although it may be.
func TestRequestsToGroupsAreRepeatedAsTheirRouteSays(test *testing.T) {
	breaks := func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nver")
		return false
	}
	for prefix, runs := range map[string]int{"/once/": 1, "/idempotent/": 2} {
		first, second := newTarget(test, "g1", breaks), newTarget(test, "g2", breaks)
		node := newNode(test, tableFixture{groups: []*target{first, second}, kinds: map[string]string{prefix: "stream"}})
		got := node.request(test, http.MethodPost, prefix+"1", "x")
		require.Equal(test, http.StatusBadGateway, got.status, prefix)
		require.Equal(test, runs, first.count()+second.count(), prefix)
	}
}

// Guards against an answer of a group that is given up because no event of a stream arrives.
func TestLongRequestToGroupIsAwaited(test *testing.T) {
	slow := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
		if !staysOpen(conn, 2500*time.Millisecond) {
			return false
		}
		return answer(conn, request, 200, "Seal: s\r\n", "verdict")
	})
	node := newNode(test, tableFixture{groups: []*target{slow}, kinds: map[string]string{"/once/": "stream"}})
	request := node.newRequest(test, http.MethodPost, "/once/1", "x")
	request.Header.Set("Wait", "10s")
	require.Equal(test, "verdict", node.send(request).body)
	require.Equal(test, 1, slow.count())
}
