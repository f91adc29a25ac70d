package forward_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// anyTarget is a fixture with one target of all services, at an address.
func anyTarget(address string) tableFixture {
	targets := []*target{{name: "t1", closedAt: address}}
	return tableFixture{once: targets, idempotent: targets, groups: targets, maxBody: 8 << 20, unresumable: true}
}

// plainTarget is anyTarget with a plain service of streams.
func plainTarget(address string) tableFixture {
	return tableFixture{runners: []*target{{name: "t1", closedAt: address}}, maxBody: 8 << 20, unresumable: true}
}

// eachWay calls check with a node that reaches the target of a fixture, and with one that sends
// its requests through that node, for each path that the fixture has.
func eachWay(test *testing.T, fixture tableFixture, check func(test *testing.T, node *node, path string)) {
	paths := map[string][]*target{"/once/1": fixture.once, "/idempotent/1": fixture.idempotent, "/stream/1": append(fixture.groups, fixture.runners...)}
	for path, targets := range paths {
		if len(targets) == 0 {
			continue
		}
		for _, relayed := range []bool{false, true} {
			test.Run(fmt.Sprintf("%s, relayed %v", path, relayed), func(test *testing.T) {
				reaching := newNode(test, fixture)
				if !relayed {
					check(test, reaching, path)
					return
				}
				cutFixture := fixture
				cutFixture.once, cutFixture.idempotent = closedTargets(test, fixture.once), closedTargets(test, fixture.idempotent)
				cutFixture.groups, cutFixture.runners = closedTargets(test, fixture.groups), closedTargets(test, fixture.runners)
				cutOff := newNode(test, cutFixture)
				cutOff.connect(test, reaching)
				check(test, cutOff, path)
			})
		}
	}
}

// Guards against the beginning of an answer without a length that is passed on as the whole
// answer, because a write of the request has got the reset of the connection.
func TestResetAnswerWithoutLengthIsNotWhole(test *testing.T) {
	upload := strings.Repeat("x", 7<<20)
	for name, header := range map[string]string{"kept": "", "closed": "Connection: close\r\n"} {
		text := sealedHead + header + "\r\n" + event(1) + event(2)
		server, err := cut.Start(cut.Config{Answer: cut.Always(text), Reset: true, Early: true})
		require.NoError(test, err)
		defer server.Close()
		server.SetLength(len(text))
		for kind, fixture := range map[string]tableFixture{"any": anyTarget(server.Address()), "plain": plainTarget(server.Address())} {
			test.Run(name+", "+kind, func(test *testing.T) {
				eachWay(test, fixture, func(test *testing.T, node *node, path string) {
					before := server.Requests()
					got := node.request(test, http.MethodPost, path, upload)
					require.Greater(test, server.Requests(), before)
					require.True(test, got.err != nil || got.status == http.StatusBadGateway, "a part of the answer is complete: status %d, %q", got.status, got.body)
				})
			})
		}
	}
}

// invalidStatusLines are no status lines of an answer.
var invalidStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK",
}

// requireNoAnswer requires that what a target sends is not passed on, and that the caller gets a
// failure of the node that promises nothing.
func requireNoAnswer(test *testing.T, text string) {
	for kind, fixture := range map[string]func(address string) tableFixture{"any": anyTarget, "plain": plainTarget} {
		test.Run(kind, func(test *testing.T) {
			sent := newTarget(test, "t1", func(conn net.Conn, _ *http.Request) bool {
				fmt.Fprint(conn, text)
				return false
			})
			eachWay(test, fixture(sent.address()), func(test *testing.T, node *node, path string) {
				before := sent.count()
				got := node.request(test, http.MethodPost, path, "x")
				require.Greater(test, sent.count(), before)
				if got.err != nil {
					// A stream that has started ends with an aborted connection.
					require.Equal(test, "/stream/1", path)
					return
				}
				require.Equal(test, http.StatusBadGateway, got.status)
				require.Empty(test, got.header.Get("Seal"))
				require.Empty(test, got.header.Get("X-Own"))
				require.NotContains(test, got.body, "piece")
			})
		})
	}
}

// Guards against bytes with an invalid status line that are passed on as an answer.
func TestInvalidStatusIsNoAnswer(test *testing.T) {
	fields := strings.TrimPrefix(sealedHead, "HTTP/1.1 200 OK\r\n")
	for _, line := range invalidStatusLines {
		test.Run(line, func(test *testing.T) {
			requireNoAnswer(test, fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", line, fields, len(event(1)), event(1)))
		})
	}
}

// Guards against bytes with an invalid field, before or after the body, that are passed on as an
// answer, with the field or with a body that is not that of the target.
func TestInvalidFieldIsNoAnswer(test *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(event(1)), event(1))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(event(1)))
	for name, text := range map[string]string{
		"blank in a name":          sealedHead + "X Own: 1\r\n" + length + "\r\n" + event(1),
		"control byte in a name":   sealedHead + "X\x02Own: 1\r\n" + length + "\r\n" + event(1),
		"blank after a length":     sealedHead + "Content-Length : 5\r\n\r\n" + event(1),
		"blank after an encoding":  sealedHead + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n",
		"encoding in HTTP/1.0":     strings.Replace(sealedHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n",
		"blank in the trailer":     sealedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "X Own: 1\r\n\r\n",
		"blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Own: 1\r\n\r\n" + sealedHead + length + "\r\n" + event(1),
	} {
		test.Run(name, func(test *testing.T) { requireNoAnswer(test, text) })
	}
}

// Guards against a relayed answer with an invalid status or field that is passed on: the node
// that relays it may be of an earlier release.
func TestInvalidRelayedAnswerIsNoAnswer(test *testing.T) {
	for name, head := range map[string]map[string]any{
		"status 600":      {"status": 600, "header": http.Header{"Id": {"a1"}, "Seal": {"s"}}},
		"status 999":      {"status": 999, "header": http.Header{"Id": {"a1"}, "Seal": {"s"}}},
		"blank in a name": {"status": 200, "header": http.Header{"Id": {"a1"}, "Seal": {"s"}, "X Own": {"1"}}},
		"no name":         {"status": 200, "header": http.Header{"Id": {"a1"}, "Seal": {"s"}, "": {"1"}}},
	} {
		encoded, err := msgpack.Marshal(head)
		require.NoError(test, err)
		frame := string(binary.BigEndian.AppendUint32(nil, uint32(len(encoded)))) + string(encoded)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRelay-Outcome: answered\r\nTrailer: Relay-End\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nRelay-End: answered\r\n\r\n", len(frame), frame)
		hop := newTarget(test, "hop", cutAt(text, len(text), false))
		node := newNode(test, tableFixture{once: []*target{closedTarget(test, "t1")}})
		node.connectTo("hop", hop.address())
		require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodPost, "/once/1", "x").status, name)
		require.Equal(test, 1, hop.count(), name)
	}
}
