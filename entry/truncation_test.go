package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// A cutTarget answers each request with the first length bytes of an answer, and closes or
// resets the connection.
type cutTarget struct {
	address string
	answer  func(body []byte) string
	length  atomic.Int64
	reset   bool

	// answered counts the requests.
	answered atomic.Int64
}

func newCutTarget(t *testing.T, reset bool, answer func(body []byte) string) *cutTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cut := &cutTarget{address: listener.Addr().String(), answer: answer, reset: reset}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			cut.serve(conn)
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-ended
	})
	return cut
}

func (cut *cutTarget) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(request.Body)
	if request.URL.Path == "/v1/cancel" {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	cut.answered.Add(1)
	answer := cut.answer(body)
	_, _ = io.WriteString(conn, answer[:min(int(cut.length.Load()), len(answer))])
	if cut.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against an answer of a service that ends early in its head or its body and that a
// caller gets as whole or as not run, and against a booking that is sent again after it.
func TestServiceAnswerThatEndsEarlyIsUnknown(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, scenario := range map[string]struct {
		answer     string
		status     int
		untilClose bool
	}{
		"length":          {head + "Content-Length: 7\r\n\r\nplank 7", 200, false},
		"chunked":         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nplank\r\n2\r\n 7\r\n0\r\n\r\n", 200, false},
		"until the close": {head + "\r\nplank 7", 200, true},
		"refusal":         {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nplank 7", 503, false},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				cut := newCutTarget(t, reset, func([]byte) string { return scenario.answer })
				harness := newHarness(t, nil)
				harness.addService(cut.address)
				headEnd := strings.Index(scenario.answer, "\r\n\r\n") + 4
				for length := range len(scenario.answer) + 1 {
					cut.length.Store(int64(length))
					got := harness.do(http.MethodPost, "/bookings/1", "plank 7", nil)
					require.NoError(t, got.err)
					require.EqualValues(t, length+1, cut.answered.Load())
					want, whole := "plank 7", length == len(scenario.answer)
					if scenario.untilClose {
						want, whole = scenario.answer[min(headEnd, length):length], length >= headEnd && !reset
					}
					switch {
					case !whole:
						require.Equal(t, http.StatusBadGateway, got.status, "after %d bytes: %q", length, got.body)
					case !reset:
						require.Equal(t, scenario.status, got.status, "after %d bytes: %q", length, got.body)
					}
					if got.status == http.StatusOK {
						require.Equal(t, want, got.body)
					}
				}
			})
		}
	}
}

// Guards against an answer of an engine that ends early and that a caller gets as whole, or
// with a piece that is missing, comes twice or is not whole.
func TestDraftThatEndsEarlyIsNotWhole(t *testing.T) {
	const count = 2
	answer := func(body []byte) string {
		var request engine.Generate
		_ = json.Unmarshal(body, &request)
		var chunks strings.Builder
		send := func(piece engine.Piece) {
			data, _ := json.Marshal(piece)
			text := fmt.Sprintf("data: %s\n\n", data)
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(text), text)
		}
		sendPieces(request, request.ResumeIndex, request.MaxTokens, send)
		sendDone(request, send)
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
	}
	example, err := json.Marshal(engine.Generate{Attempt: "8c0be9e9-5ecd-4d59-a7a5-3a5a0e1ba5b8", Prompt: "a", MaxTokens: count})
	require.NoError(t, err)
	for _, stream := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("stream %t, reset %t", stream, reset), func(t *testing.T) {
				sound := newFakeEngine(t)
				harness := newHarness(t, nil)
				var cut *cutTarget
				cut = newCutTarget(t, reset, func(body []byte) string {
					harness.setGroups(fmt.Sprint("sound-", cut.length.Load()), sound.address())
					return answer(body)
				})
				resumed := 0
				for length := range len(answer(example)) + 1 {
					cut.length.Store(int64(length))
					harness.setGroups(fmt.Sprint("cut-", length), cut.address)
					got := harness.draft("a", count, stream)
					require.NoError(t, got.err)
					if got.status != http.StatusOK {
						// The workspace's budget for retries is used up, and no piece was delivered.
						require.Equal(t, http.StatusBadGateway, got.status)
						continue
					}
					resumed++
					if stream {
						requireComplete(t, got, answerText("a", count))
						continue
					}
					var decoded struct{ Choices []struct{ Text string } }
					require.NoError(t, json.Unmarshal([]byte(got.body), &decoded))
					require.Equal(t, answerText("a", count), decoded.Choices[0].Text)
				}
				require.Greater(t, resumed, len(answer(example))/2)
			})
		}
	}
}
