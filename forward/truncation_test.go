package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutAt returns a script that writes the first length bytes of an answer, and closes or
// resets the connection.
func cutAt(wire string, length int, reset bool) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, wire[:length])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
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
	cut      *target

	// wire is the answer of cut, of which it writes length bytes.
	wire   string
	length atomic.Int64
	reset  bool
	cases  int
}

func newCutFixture(test *testing.T, wire string, reset, relayed bool) *cutFixture {
	fixture := &cutFixture{wire: wire, reset: reset}
	fixture.cut = newTarget(test, "cut", func(conn net.Conn, request *http.Request) bool {
		return cutAt(wire, int(fixture.length.Load()), reset)(conn, request)
	})
	config := tableFixture{retries: 1e6}
	fixture.node = newNode(test, config)
	if relayed {
		fixture.reaching = newNode(test, config)
		fixture.node.connect(test, fixture.reaching)
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
}

// Guards against a stream that breaks off and waits for a change of the table, although a
// group remains to which this node could not connect and another node can.
func TestRelayedStreamGoesOnAtOnce(test *testing.T) {
	const resumeTimeout = 1500 * time.Millisecond
	framed := framings(events(3), 30)["chunked"]
	fixture := newCutFixture(test, framed.wire(), false, true)
	sound := newTarget(test, "sound", streams(5, "0\r\n\r\n"))
	for range 8 {
		fixture.begin(test, len(framed.wire())-1, tableFixture{groups: []*target{fixture.cut, sound}})
		began := time.Now()
		got := fixture.node.request(test, http.MethodPost, "/stream/1", "prompt")
		require.NoError(test, got.err)
		require.Equal(test, events(5), got.body)
		require.Less(test, time.Since(began), resumeTimeout)
	}
	require.Positive(test, fixture.cut.count(), "no stream was cut off")
}
