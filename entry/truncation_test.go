package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// startCut starts a target whose answers end early. It answers the cancels of drafts whole.
func startCut(t *testing.T, reset bool, answer func(body []byte) string) *cut.Server {
	server, err := cut.Start(cut.Config{
		Answer: answer, Reset: reset, Exempt: map[string]string{"/v1/cancel": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
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
				server := startCut(t, reset, cut.Always(scenario.answer))
				harness := newHarness(t, nil)
				harness.addService(server.Address())
				headEnd := strings.Index(scenario.answer, "\r\n\r\n") + 4
				for length := range len(scenario.answer) + 1 {
					server.SetLength(length)
					got := harness.do(http.MethodPost, "/bookings/1", "plank 7", nil)
					require.NoError(t, got.err)
					require.Equal(t, length+1, server.Requests())
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
				var server *cut.Server
				server = startCut(t, reset, func(body []byte) string {
					harness.setGroups(fmt.Sprint("sound-", server.Length()), sound.address())
					return answer(body)
				})
				resumed := 0
				for length := range len(answer(example)) + 1 {
					server.SetLength(length)
					harness.setGroups(fmt.Sprint("cut-", length), server.Address())
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
