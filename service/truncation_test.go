package service_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/service"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// Guards against an answer that ends early in its head or its body and is taken for a whole
// one or for a refusal, and against a request that is sent again after it.
func TestAnswerThatEndsEarlyIsUnknown(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nContent-Type: text/plain\r\n"
	const chunks = "8\r\nplank 7,\r\n8\r\n plank 8\r\n"
	for name, scenario := range map[string]struct {
		answer     string
		untilClose bool
		refusal    bool
	}{
		"length":               {answer: head + "Content-Length: 16\r\n\r\nplank 7, plank 8"},
		"chunked":              {answer: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"},
		"chunked with trailer": {answer: head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" + chunks + "0\r\nX-Sum: 80\r\n\r\n"},
		"until the close":      {answer: head + "\r\nplank 7, plank 8", untilClose: true},
		"refusal":              {answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 16\r\n\r\nplank 7, plank 8", refusal: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				server, err := cut.Start(cut.Config{Answer: cut.Always(scenario.answer), Reset: reset})
				require.NoError(t, err)
				defer server.Close()
				client := service.New(service.Config{})
				defer client.Close()
				headEnd := strings.Index(scenario.answer, "\r\n\r\n") + 4
				for count := range len(scenario.answer) + 1 {
					server.SetLength(count)
					for _, once := range []bool{false, true} {
						before := server.Requests()
						got := doAt(client, server.Address(), http.MethodPost, once, "b")
						require.Equal(t, before+1, server.Requests())
						want, whole := "plank 7, plank 8", count == len(scenario.answer)
						if scenario.untilClose {
							want, whole = scenario.answer[min(headEnd, count):count], count >= headEnd && !reset
						}
						result := got.Attempt.Outcome()
						switch {
						case !whole:
							require.IsType(t, outcome.Unknown{}, result, "after %d bytes: %q", count, got.Body)
							require.Zero(t, got.Status)
						case scenario.refusal && !reset:
							require.IsType(t, outcome.NotRun{}, result)
						case !reset:
							require.IsType(t, outcome.Complete{}, result)
						}
						if outcome.IsComplete(result) {
							require.Equal(t, want, string(got.Body))
						}
					}
				}
			})
		}
	}
}

// Guards against an interim answer that is taken for the answer, and against one that
// switches to a protocol for which no request asks.
func TestInterimAnswerIsNotTheAnswer(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n\r\n"
	for answer, want := range map[string]outcome.Outcome{
		hints: outcome.Unknown{},
		hints + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n": outcome.Unknown{},
		hints + okAnswer: outcome.Complete{},
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n": outcome.Unknown{},
	} {
		for _, once := range []bool{false, true} {
			scripted := newScriptedService(t, answer)
			client := service.New(service.Config{})
			got := scripted.do(client, http.MethodPost, once, "b")
			require.IsType(t, want, got.Attempt.Outcome(), "%q: status %d", answer, got.Status)
			client.Close()
		}
	}
}
