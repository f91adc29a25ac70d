package forward_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// cutAt returns a script that writes the first length bytes of an answer, and closes or
// resets the connection.
func cutAt(wire string, length int, reset bool) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		cut.Write(conn, wire, length, reset)
		return false
	}
}

// A framedAnswer is an answer of a target as it is written.
type framedAnswer struct {
	head, body string

	// content is the body without its framing.
	content string

	// untilClose is true if the end of the connection is that of the body.
	untilClose bool

	// from is the length from which the answer differs from those of other framings.
	from int
}

func (framed framedAnswer) wire() string { return framed.head + framed.body }

// whole returns the content of the answer if it is whole after length bytes.
func (framed framedAnswer) whole(length int, reset bool) (string, bool) {
	if framed.untilClose && !reset && length >= len(framed.head) {
		return framed.content[:length-len(framed.head)], true
	}
	return framed.content, !framed.untilClose && length == len(framed.wire())
}

const sealedHead = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nId: a1\r\nSeal: 3e1b.07\r\nContent-Type: text/event-stream\r\n"

// framings returns the content in each framing, with the length of one chunk.
func framings(content string, chunk int) map[string]framedAnswer {
	var chunks strings.Builder
	for rest := content; rest != ""; {
		count := min(chunk, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", count, rest[:count])
		rest = rest[count:]
	}
	chunked := sealedHead + "Transfer-Encoding: chunked\r\n"
	return map[string]framedAnswer{
		"length":               {head: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", sealedHead, len(content)), body: content, content: content},
		"chunked":              {head: chunked + "\r\n", body: chunks.String() + "0\r\n\r\n", content: content, from: len(sealedHead)},
		"chunked with trailer": {head: chunked + "Trailer: X-Sum\r\n\r\n", body: chunks.String() + "0\r\nX-Sum: 80\r\n\r\n", content: content, from: len(chunked)},
		"until the close":      {head: sealedHead + "Connection: close\r\n\r\n", body: content, content: content, untilClose: true, from: len(sealedHead)},
	}
}

// A cutFixture is a node with targets whose answers end early, and another one that reaches
// none of them if the answers are relayed. A case gets targets under names of its own, so
// that the failures of earlier cases do not count.
type cutFixture struct {
	node     *node
	reaching *node

	// reachingAddress is the address of reaching for relayed calls.
	reachingAddress string

	cut *target

	// sound answers whole, with "sound" or with three events.
	sound *target

	// wire is the answer of cut, of which it writes length bytes.
	wire   string
	length atomic.Int64
	reset  bool
	cases  int

	// unreached is the number of requests that a sound target should have answered and that
	// did not arrive there, see request.
	unreached int
}

func newCutFixture(test *testing.T, wire string, reset, relayed bool) *cutFixture {
	fixture := &cutFixture{wire: wire, reset: reset}
	fixture.cut = newTarget(test, "cut", func(conn net.Conn, request *http.Request) bool {
		return cutAt(wire, int(fixture.length.Load()), reset)(conn, request)
	})
	fixture.sound = newTarget(test, "sound", func(conn net.Conn, request *http.Request) bool {
		if strings.HasPrefix(request.URL.Path, "/stream/") {
			return streams(3, "0\r\n\r\n")(conn, request)
		}
		return answer(conn, request, 200, "Seal: s\r\n", "sound")
	})
	config := tableFixture{retries: 1e6}
	fixture.node = newNode(test, config)
	if relayed {
		fixture.reaching = newNode(test, config)
		server := httptest.NewServer(http.HandlerFunc(fixture.reaching.forward.ServeRelayed))
		test.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		fixture.reachingAddress = server.Listener.Addr().String()
	}
	return fixture
}

// begin begins a case: targets with these names answer all requests, and the answers of
// those whose names begin with "cut" end after length bytes.
func (fixture *cutFixture) begin(test *testing.T, length int, table tableFixture) {
	fixture.cases++
	fixture.length.Store(int64(length))
	var reached, unreached tableFixture
	reached.unresumable, unreached.unresumable = table.unresumable, table.unresumable
	add := func(targets []*target, reached, unreached *[]*target) {
		for _, one := range targets {
			name := fmt.Sprint(one.name, "-", fixture.cases)
			*reached = append(*reached, &target{name: name, listener: one.listener})
			*unreached = append(*unreached, closedTarget(test, name))
		}
	}
	add(table.once, &reached.once, &unreached.once)
	add(table.idempotent, &reached.idempotent, &unreached.idempotent)
	add(table.groups, &reached.groups, &unreached.groups)
	if fixture.reaching == nil {
		fixture.node.publish(test, reached)
		return
	}
	fixture.reaching.publish(test, reached)
	fixture.node.publish(test, unreached)
	// A node that could not be connected to is avoided for a while under its name.
	fixture.node.connectTo(fmt.Sprint("reaching-", fixture.cases), fixture.reachingAddress)
}

// maxTries bounds the requests of one case.
const maxTries = 10

// request sends requests of a case until one has arrived at a target, and returns the answer
// to that one. On a busy machine a connection can take longer than the client waits for it:
// then the request has not run, and only a refusal may say so.
func (fixture *cutFixture) request(test *testing.T, arriveAt *target, begin func(), method, path string) reply {
	for range maxTries {
		begin()
		before := arriveAt.count()
		got := fixture.node.request(test, method, path, "x")
		arrived := arriveAt.count() - before
		require.LessOrEqual(test, arrived, 1)
		if arrived == 1 {
			return got
		}
		require.NoError(test, got.err)
		require.Equal(test, http.StatusServiceUnavailable, got.status, got.body)
	}
	require.Fail(test, "no request has arrived")
	return reply{}
}

// atEveryCut runs check for each number of bytes, not below from, after which an answer can
// end, by a close and by a reset, directly and through another node.
func atEveryCut(test *testing.T, wire string, from int, check func(test *testing.T, fixture *cutFixture, length int)) {
	for _, relayed := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			test.Run(fmt.Sprintf("relayed %t, reset %t", relayed, reset), func(test *testing.T) {
				test.Parallel()
				fixture := newCutFixture(test, wire, reset, relayed)
				for length := from; length <= len(wire); length++ {
					check(test, fixture, length)
				}
			})
		}
	}
}

// Guards against an answer that ends early in its head or its body and looks whole, against
// a request that may run once and runs again or is reported as not run after it, and against
// one that may be repeated and is not (report of another operator).
func TestAnswerThatEndsEarlyIsNotWhole(test *testing.T) {
	for name, framed := range framings("plank 7, plank 8, plank 9", 16) {
		test.Run(name, func(test *testing.T) {
			atEveryCut(test, framed.wire(), framed.from, func(test *testing.T, fixture *cutFixture, length int) {
				// A failure of one of its names does not count against the other.
				once := &target{name: "once", listener: fixture.cut.listener}
				want, whole := framed.whole(length, fixture.reset)
				got := fixture.request(test, fixture.cut, func() {
					fixture.begin(test, length, tableFixture{once: []*target{once}, idempotent: []*target{fixture.cut, fixture.sound}})
				}, http.MethodPost, "/once/1")
				require.NoError(test, got.err)
				switch {
				case got.status == http.StatusOK:
					require.True(test, whole, "after %d bytes: %q", length, got.body)
					require.Equal(test, want, got.body)
				default:
					require.Equal(test, http.StatusBadGateway, got.status, "after %d bytes", length)
					require.True(test, !whole || fixture.reset, "after %d bytes", length)
				}
				before, ran := fixture.cut.count(), fixture.sound.count()
				got = fixture.node.request(test, http.MethodGet, "/idempotent/1", "")
				require.NoError(test, got.err)
				switch {
				case got.body == "sound":
				case got.status != http.StatusOK:
					require.Equal(test, ran, fixture.sound.count(), "after %d bytes: %d %q", length, got.status, got.body)
					require.Equal(test, before < fixture.cut.count(), got.status == http.StatusBadGateway, "after %d bytes: %d %q", length, got.status, got.body)
				default:
					require.True(test, whole, "after %d bytes: %q", length, got.body)
					require.Equal(test, want, got.body)
				}
				if length == len(framed.wire()) {
					require.Greater(test, fixture.cut.count(), fixture.cases, "no request that may be repeated was cut off")
				}
			})
		})
	}
}

// Guards against a refusal whose head ends early and that is passed on: its request may have
// run.
func TestRefusalThatEndsEarlyIsNotTrusted(test *testing.T) {
	refusal := answerText("a1", 503, "Refused: 1\r\nRetry-After: 1\r\n", "runner is full")
	head := strings.Index(refusal, "\r\n\r\n") + 4
	atEveryCut(test, refusal, 0, func(test *testing.T, fixture *cutFixture, length int) {
		got := fixture.request(test, fixture.cut, func() {
			fixture.begin(test, length, tableFixture{once: []*target{fixture.cut}})
		}, http.MethodPost, "/once/1")
		require.NoError(test, got.err)
		if length < head {
			require.Equal(test, http.StatusBadGateway, got.status, "after %d bytes", length)
		} else if !fixture.reset {
			require.Equal(test, http.StatusServiceUnavailable, got.status, "after %d bytes", length)
		}
	})
}

// Guards against a stream that ends early and looks whole, with or without an event.
func TestStreamThatEndsEarlyIsNotWhole(test *testing.T) {
	prefixes := []string{events(1), events(2), events(3)}
	for name, framed := range framings(events(3), 30) {
		test.Run(name, func(test *testing.T) {
			atEveryCut(test, framed.wire(), framed.from, func(test *testing.T, fixture *cutFixture, length int) {
				got := fixture.request(test, fixture.cut, func() {
					fixture.begin(test, length, tableFixture{groups: []*target{fixture.cut}, unresumable: true})
				}, http.MethodPost, "/stream/1")
				content, whole := framed.whole(length, fixture.reset)
				whole = whole && slices.Contains(prefixes, content)
				switch {
				case got.status == http.StatusOK && got.err == nil:
					require.True(test, whole, "after %d bytes: %q", length, got.body)
					require.Equal(test, content, got.body)
				case got.status == http.StatusOK:
					require.Contains(test, prefixes, got.body, "after %d bytes", length)
				default:
					require.NoError(test, got.err)
					require.Equal(test, http.StatusBadGateway, got.status, "after %d bytes", length)
				}
				if whole && !fixture.reset {
					require.NoError(test, got.err, "after %d bytes", length)
					require.Equal(test, content, got.body)
				}
			})
		})
	}
}

// Guards against a piece that is missing, comes twice or is not whole in a stream that goes
// on at another group after an answer that ended early.
func TestStreamThatEndsEarlyGoesOnWhole(test *testing.T) {
	for name, framed := range framings(events(3), 30) {
		if framed.untilClose {
			// A close between two events is the end of such a stream.
			continue
		}
		test.Run(name, func(test *testing.T) {
			atEveryCut(test, framed.wire(), framed.from, func(test *testing.T, fixture *cutFixture, length int) {
				fixture.begin(test, length, tableFixture{groups: []*target{fixture.cut, fixture.sound}})
				before, ran := fixture.cut.count(), fixture.sound.count()
				got := fixture.node.request(test, http.MethodPost, "/stream/1", "prompt")
				whole := got.err == nil && got.status == http.StatusOK
				if whole {
					require.Equal(test, events(3), got.body, "after %d bytes", length)
				}
				// See fixture.request: no connection was established to the sound group.
				if !whole {
					require.Equal(test, ran, fixture.sound.count(), "after %d bytes: %d %q", length, got.status, got.body)
					fixture.unreached++
				}
				require.True(test, whole || before < fixture.cut.count() || got.status == http.StatusServiceUnavailable)
				require.Less(test, fixture.unreached, maxTries)
				if length == len(framed.wire()) {
					require.Positive(test, fixture.cut.count(), "no stream was cut off")
				}
			})
		})
	}
}

// Guards against a stream that breaks off and waits for a change of the table, although a
// group remains to which this node could not connect and another node can.
func TestRelayedStreamGoesOnAtOnce(test *testing.T) {
	const longestResume = 1500 * time.Millisecond
	framed := framings(events(2), 30)["chunked"]
	fixture := newCutFixture(test, framed.wire(), false, true)
	for range 8 {
		fixture.begin(test, len(framed.wire())-1, tableFixture{groups: []*target{fixture.cut, fixture.sound}})
		began, ran := time.Now(), fixture.sound.count()
		got := fixture.node.request(test, http.MethodPost, "/stream/1", "prompt")
		if fixture.sound.count() == ran {
			// See fixture.request.
			fixture.unreached++
			continue
		}
		require.NoError(test, got.err)
		require.Equal(test, events(3), got.body)
		require.Less(test, time.Since(began), longestResume)
	}
	require.Less(test, fixture.unreached, 4)
	require.Positive(test, fixture.cut.count(), "no stream was cut off")
}

// connectTo makes node send requests through the node at an address.
func (node *node) connectTo(name, address string) {
	node.forward.SetNodes([]fleet.Node{{Name: "self", AdminAddress: "127.0.0.1:1"}, {Name: name, AdminAddress: address, FailureDomain: "zone"}})
}

// recordHop returns the bytes with which the fixture's other node answers the request that
// send sends.
func (fixture *cutFixture) recordHop(test *testing.T, send func()) string {
	var recorded bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(fixture.reaching.forward.ServeRelayed))
	defer server.Close()
	var hop *target
	hop = newTarget(test, "hop", func(conn net.Conn, request *http.Request) bool {
		upstream, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			return false
		}
		defer upstream.Close()
		request.Body = io.NopCloser(strings.NewReader(hop.bodies[0]))
		if request.Write(upstream) != nil {
			return false
		}
		answer, err := http.ReadResponse(bufio.NewReader(io.TeeReader(upstream, &recorded)), request)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_, _ = conn.Write(recorded.Bytes())
		return false
	})
	for try := 0; try < maxTries && hop.count() == 0; try++ {
		fixture.node.connectTo(fmt.Sprint("hop-", try), hop.address())
		send()
	}
	require.Equal(test, 1, hop.count())
	return recorded.String()
}

// relayedFrameLength returns the length of the first chunk of a relayed answer, which is the
// head of the target's answer, 0 if there is no body.
func relayedFrameLength(body string) int {
	line, _, found := strings.Cut(body, "\r\n")
	size, err := strconv.ParseInt(line, 16, 64)
	if !found || err != nil {
		return 0
	}
	return len(line) + 2 + int(size)
}

// Guards against an answer that looks whole although the connection between two nodes ended
// early, and against a request that is reported as not run after it.
func TestRelayedAnswerThatEndsEarlyIsNotWhole(test *testing.T) {
	once := func(script func(net.Conn, *http.Request) bool) tableFixture {
		return tableFixture{once: []*target{newTarget(test, "r", script)}}
	}
	stream := func(script func(net.Conn, *http.Request) bool) tableFixture {
		return tableFixture{groups: []*target{newTarget(test, "g", script)}, unresumable: true}
	}
	cutAnswer := sealedHead + "Content-Length: 50\r\n\r\nplank 7"
	for name, scenario := range map[string]struct {
		table tableFixture
		path  string
		stop  bool

		// status and body are those of the answer, without a body if that is not whole.
		status int
		body   string
	}{
		"answer":                   {once(answers(200, "Seal: s\r\n", "plank 7")), "/once/1", false, 200, "plank 7"},
		"refusal":                  {once(answers(503, "Refused: 1\r\n", "runner is full")), "/once/1", false, 503, ""},
		"request not sent":         {once(answers(200, "Seal: s\r\n", "plank 7")), "/once/1", true, 503, ""},
		"answer that breaks off":   {once(cutAt(cutAnswer, len(cutAnswer), true)), "/once/1", false, 502, ""},
		"no answer":                {once(cutAt(cutAnswer, 20, true)), "/once/1", false, 502, ""},
		"stream":                   {stream(streams(3, "0\r\n\r\n")), "/stream/1", false, 200, events(3)},
		"stream that breaks off":   {stream(streams(3, "")), "/stream/1", false, 200, ""},
		"stream without any event": {stream(streams(0, "")), "/stream/1", false, 502, ""},
	} {
		test.Run(name, func(test *testing.T) {
			test.Parallel()
			fixture := newCutFixture(test, "", false, true)
			if scenario.stop {
				fixture.reaching.forward.Stop()
			}
			fixture.begin(test, 0, scenario.table)
			wire := fixture.recordHop(test, func() { fixture.node.request(test, http.MethodPost, scenario.path, "x") })
			head := strings.Index(wire, "\r\n\r\n") + 4
			require.Greater(test, head, 4)
			frameEnd := head + relayedFrameLength(wire[head:])
			for _, reset := range []bool{false, true} {
				hop := newTarget(test, "hop", func(conn net.Conn, request *http.Request) bool {
					return cutAt(wire, int(fixture.length.Load()), reset)(conn, request)
				})
				for length := range len(wire) + 1 {
					got := fixture.request(test, hop, func() {
						fixture.begin(test, length, scenario.table)
						fixture.node.connectTo(fmt.Sprint("hop-", fixture.cases), hop.address())
					}, http.MethodPost, scenario.path)
					if got.err == nil && got.status == http.StatusOK {
						require.True(test, length == len(wire) && scenario.body != "", "after %d bytes: %q", length, got.body)
						require.Equal(test, scenario.body, got.body)
					}
					if length < head {
						require.NoError(test, got.err)
						require.Equal(test, http.StatusBadGateway, got.status, "after %d bytes", length)
					}
					if got.status == http.StatusServiceUnavailable {
						require.Equal(test, scenario.status, got.status, "after %d bytes", length)
						require.GreaterOrEqual(test, length, frameEnd)
					}
					if length == len(wire) && !reset {
						require.Equal(test, scenario.status, got.status)
						require.Equal(test, scenario.status == 200 && scenario.body == "", got.err != nil)
					}
				}
			}
		})
	}
}

// Guards against a relayed answer that looks whole without the trailer with which a node
// confirms its end.
func TestRelayedAnswerWithoutTrailerIsNotWhole(test *testing.T) {
	fixture := newCutFixture(test, "", false, true)
	table := tableFixture{once: []*target{newTarget(test, "r", answers(200, "Seal: s\r\n", "plank 7"))}}
	fixture.begin(test, 0, table)
	recorded := fixture.recordHop(test, func() { fixture.node.request(test, http.MethodPost, "/once/1", "x") })
	const trailer = "0\r\nRelay-End: answered\r\n\r\n"
	require.True(test, strings.HasSuffix(recorded, trailer), "%q", recorded)
	for _, end := range []string{trailer, "0\r\n\r\n", "0\r\nRelay-End: \r\n\r\n", "0\r\nRelay-End: broken\r\n\r\n", "0\r\nRelay-End: answere\r\n\r\n"} {
		wire := strings.TrimSuffix(recorded, trailer) + end
		hop := newTarget(test, "hop", cutAt(wire, len(wire), false))
		got := fixture.request(test, hop, func() {
			fixture.begin(test, 0, table)
			fixture.node.connectTo(fmt.Sprint("hop-", fixture.cases), hop.address())
		}, http.MethodPost, "/once/1")
		if end == trailer {
			require.Equal(test, "plank 7", got.body)
			continue
		}
		require.Equal(test, http.StatusBadGateway, got.status, "%q", end)
	}
}

// Guards against a relayed head without the status of an answer, and against one of a node of
// an earlier release that passes an interim answer on: the caller gets a 200 with an empty
// body.
func TestRelayedHeadWithoutStatusIsNotAnAnswer(test *testing.T) {
	for _, status := range []int{0, 99, 101, 103, 1000} {
		fixture := newCutFixture(test, "", false, true)
		runner := newTarget(test, "r", answers(200, "Seal: s\r\n", "plank 7"))
		head, err := msgpack.Marshal(map[string]any{"status": status, "header": http.Header{"Id": {"a1"}, "Seal": {"s"}}})
		require.NoError(test, err)
		frame := string(binary.BigEndian.AppendUint32(nil, uint32(len(head)))) + string(head)
		wire := fmt.Sprintf("HTTP/1.1 200 OK\r\nRelay-Outcome: answered\r\nTrailer: Relay-End\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nRelay-End: answered\r\n\r\n", len(frame), frame)
		hop := newTarget(test, "hop", cutAt(wire, len(wire), false))
		got := fixture.request(test, hop, func() {
			fixture.begin(test, 0, tableFixture{once: []*target{runner}})
			fixture.node.connectTo(fmt.Sprint("hop-", fixture.cases), hop.address())
		}, http.MethodPost, "/once/1")
		require.NoError(test, got.err, "status %d", status)
		require.Equal(test, http.StatusBadGateway, got.status, "status %d", status)
	}
}

// Guards against a relayed call that ends early and is sent to the target.
func TestRelayedCallThatEndsEarlyIsNotSent(test *testing.T) {
	runner := newTarget(test, "r", answers(200, "Seal: s\r\n", "ok"))
	fixture := newCutFixture(test, "", false, true)
	hop := newTarget(test, "hop", cutAt("", 0, false))
	fixture.request(test, hop, func() {
		fixture.begin(test, 0, tableFixture{once: []*target{runner}})
		fixture.node.connectTo(fmt.Sprint("hop-", fixture.cases), hop.address())
	}, http.MethodPost, "/once/1")
	message := hop.bodies[0]
	for length := range len(message) + 1 {
		recorder := httptest.NewRecorder()
		fixture.reaching.forward.ServeRelayed(recorder, httptest.NewRequest(http.MethodPost, forward.RelayPath, strings.NewReader(message[:length])))
		if length < len(message) {
			require.Equal(test, http.StatusServiceUnavailable, recorder.Code, "after %d bytes", length)
			require.Zero(test, runner.count(), "after %d bytes", length)
		}
	}
	require.Equal(test, []string{"x"}, runner.bodies)
}

// Guards against an answer whose head contradicts itself about the length of the body and
// that is passed on as whole with a part of it, or with bytes that are not of it.
func TestAnswerWithContradictoryFramingIsNotWhole(test *testing.T) {
	const chunks = "5\r\nplank\r\n0\r\n\r\n"
	for name, scenario := range map[string]struct {
		framing, body string

		// content is the body of an answer that is whole, empty for one that is none.
		content string
	}{
		"two lengths":                 {"Content-Length: 5\r\nContent-Length: 50\r\n", "plank", ""},
		"same length twice":           {"Content-Length: 5\r\nContent-Length: 5\r\n", "plank", "plank"},
		"list of lengths":             {"Content-Length: 5, 50\r\n", "plank", ""},
		"no length":                   {"Content-Length:\r\n", "plank", ""},
		"length with a sign":          {"Content-Length: +5\r\n", "plank", ""},
		"negative length":             {"Content-Length: -5\r\n", "plank", ""},
		"length in two lines":         {"Content-Length: 5\r\n 0\r\n", "plank", ""},
		"length over all bounds":      {"Content-Length: 99999999999999999999\r\n", "plank", ""},
		"length before the head":      {"Content-Length: 5\r\nContent-HTTP/1.1 200 OK\r\n", "plank", ""},
		"chunks and a length":         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunks, "plank"},
		"cut chunks and their length": {"Content-Length: 8\r\nTransfer-Encoding: chunked\r\n", chunks[:8], ""},
		"length of chunks, no chunks": {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "plank", ""},
		"another encoding":            {"Transfer-Encoding: gzip, chunked\r\n", chunks, ""},
		"chunked twice":               {"Transfer-Encoding: chunked, chunked\r\n", chunks, ""},
		"identity and a length":       {"Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "plank", ""},
		"two lines of encodings":      {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", chunks, ""},
		"chunk size with a sign":      {"Transfer-Encoding: chunked\r\n", "+5\r\nplank\r\n0\r\n\r\n", ""},
		"chunk over its size":         {"Transfer-Encoding: chunked\r\n", "3\r\nplank\r\n0\r\n\r\n", ""},
	} {
		test.Run(name, func(test *testing.T) {
			wire := sealedHead + scenario.framing + "\r\n" + scenario.body
			for _, relayed := range []bool{false, true} {
				fixture := newCutFixture(test, wire, false, relayed)
				got := fixture.request(test, fixture.cut, func() {
					fixture.begin(test, len(wire), tableFixture{once: []*target{fixture.cut}})
				}, http.MethodPost, "/once/1")
				require.NoError(test, got.err)
				if scenario.content == "" {
					require.Equal(test, http.StatusBadGateway, got.status, got.body)
					continue
				}
				require.Equal(test, http.StatusOK, got.status)
				require.Equal(test, scenario.content, got.body)
			}
		})
	}
}

// Guards against an interim answer that is passed on in place of the answer: the caller gets
// a 200 with an empty body if the answer does not follow, or another status.
func TestInterimAnswerIsNotTheAnswer(test *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nId: a1\r\nSeal: s\r\n\r\n"
	const switching = "HTTP/1.1 101 Switching Protocols\r\nId: a1\r\nSeal: s\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	stream := framings(events(2), 30)["chunked"].wire()
	for name, scenario := range map[string]struct {
		wire, path, body string
	}{
		"interim answer only":            {hints, "/once/1", ""},
		"interim answer and a cut one":   {hints + sealedHead, "/once/1", ""},
		"interim answer and a whole one": {hints + hints + answerText("a1", 200, "Seal: s\r\n", "plank 7"), "/once/1", "plank 7"},
		"another protocol":               {switching, "/once/1", ""},
		"interim answer, no stream":      {hints, "/stream/1", ""},
		"interim answer and a stream":    {hints + stream, "/stream/1", events(2)},
		"another protocol, no stream":    {switching, "/stream/1", ""},
	} {
		test.Run(name, func(test *testing.T) {
			for _, relayed := range []bool{false, true} {
				fixture := newCutFixture(test, scenario.wire, false, relayed)
				got := fixture.request(test, fixture.cut, func() {
					fixture.begin(test, len(scenario.wire), tableFixture{once: []*target{fixture.cut}, groups: []*target{fixture.cut}, unresumable: true})
				}, http.MethodPost, scenario.path)
				require.NoError(test, got.err)
				if scenario.body == "" {
					require.Equal(test, http.StatusBadGateway, got.status, got.body)
					continue
				}
				require.Equal(test, http.StatusOK, got.status, got.body)
				require.Equal(test, scenario.body, got.body)
			}
		})
	}
}

// Guards against a stream that goes on at a group which ends before its first event, and
// that then looks whole because the end of the answer is that of its connection.
func TestResumedStreamWithoutEventsIsNotWhole(test *testing.T) {
	head := sealedHead + "Connection: close\r\n\r\n"
	for _, relayed := range []bool{false, true} {
		first := newTarget(test, "first", streams(2, ""))
		fixture := newCutFixture(test, head, false, relayed)
		resumed := false
		for !resumed {
			fixture.begin(test, len(head), tableFixture{groups: []*target{first, fixture.cut}})
			got := fixture.node.request(test, http.MethodPost, "/stream/1", "prompt")
			require.False(test, got.status == http.StatusOK && got.err == nil, "the stream ended as whole: %q", got.body)
			resumed = slices.ContainsFunc(fixture.cut.requests, func(request *http.Request) bool { return request.Header.Get("After") == "2" })
		}
	}
}

// oldCallerAnswer returns what a caller reads that speaks HTTP/1.0, for which the end of the
// connection is that of the body.
func (node *node) oldCallerAnswer(test *testing.T, path string) (string, error) {
	conn, err := net.Dial("tcp", node.server.Listener.Addr().String())
	require.NoError(test, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: host.example\r\nId: a1\r\nSecret: key\r\nContent-Length: 6\r\n\r\nprompt", path)
	require.NoError(test, err)
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// Guards against a stream that breaks off and looks whole to a caller that speaks HTTP/1.0:
// without chunks only a reset distinguishes it from the end.
func TestBrokenStreamIsResetForOldCallers(test *testing.T) {
	broken, sound := newTarget(test, "g1", streams(3, "")), newTarget(test, "g2", streams(3, "0\r\n\r\n"))
	node := newNode(test, tableFixture{groups: []*target{broken}, unresumable: true})
	got, err := node.oldCallerAnswer(test, "/stream/1")
	require.ErrorIs(test, err, syscall.ECONNRESET, "the stream ended as whole: %q", got)
	require.Contains(test, got, events(3))
	node.publish(test, tableFixture{groups: []*target{sound}, unresumable: true})
	got, err = node.oldCallerAnswer(test, "/stream/1")
	require.NoError(test, err)
	require.True(test, strings.HasSuffix(got, "\r\n\r\n"+events(3)), "%q", got)
}

// Guards against a request that ends early and runs, with a part of its body or without it.
func TestRequestThatEndsEarlyDoesNotRun(test *testing.T) {
	const head = "POST /once/1 HTTP/1.1\r\nHost: host.example\r\nId: a1\r\nSecret: key\r\n"
	for name, wire := range map[string]string{
		"length":  head + "Content-Length: 7\r\n\r\nplank 7",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n5\r\nplank\r\n2\r\n 7\r\n0\r\n\r\n",
	} {
		test.Run(name, func(test *testing.T) {
			runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
			node := newNode(test, tableFixture{once: []*target{runner}})
			for length := range len(wire) + 1 {
				conn, err := net.Dial("tcp", node.server.Listener.Addr().String())
				require.NoError(test, err)
				_, err = io.WriteString(conn, wire[:length])
				require.NoError(test, err)
				if length == len(wire) {
					answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(test, err)
					require.Equal(test, http.StatusOK, answer.StatusCode)
					require.Equal(test, []string{"plank 7"}, runner.bodies)
					conn.Close()
					continue
				}
				require.NoError(test, conn.(*net.TCPConn).CloseWrite())
				answer, err := io.ReadAll(conn)
				require.NoError(test, err)
				require.Zero(test, runner.count(), "after %d bytes: %q", length, answer)
				conn.Close()
			}
		})
	}
}
