package service_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/service"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// requireUnknown requires that the outcome of a request whose answer is text is unknown.
func requireUnknown(t *testing.T, config cut.Config, text, body string) {
	config.Answer = cut.Always(text)
	server, err := cut.Start(config)
	require.NoError(t, err)
	defer server.Close()
	server.SetLength(len(text))
	for _, once := range []bool{false, true} {
		client := service.New(service.Config{})
		got := doAt(client, server.Address(), http.MethodPost, once, body)
		require.IsType(t, outcome.Unknown{}, got.Attempt.Outcome(), "%q: status %d, %q", text, got.Status, got.Body)
		client.Close()
	}
}

// Guards against the beginning of an answer that is taken for the whole one, because a write of
// the request has got the reset of the connection.
func TestResetAnswerWithoutLengthIsUnknown(t *testing.T) {
	requireUnknown(t, cut.Config{Reset: true, Early: true}, "HTTP/1.1 200 OK\r\n\r\nplank 7, pl", strings.Repeat("x", 32<<20))
}

// Guards against bytes with an invalid status line that are taken for an answer or a refusal.
func TestInvalidStatusIsUnknown(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/9.9 200 OK", "HTTP/9.9 503 Full"} {
		requireUnknown(t, cut.Config{}, line+"\r\nContent-Length: 2\r\n\r\nok", "b")
	}
}

// Guards against bytes with an invalid field that are taken for an answer or a refusal.
func TestInvalidFieldIsUnknown(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Full\r\nContent-Length : 2\r\n\r\nok ",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		requireUnknown(t, cut.Config{}, text, "b")
	}
}

// Guards against a report that is read from bytes that are no answer.
func TestReportFromNoAnswerIsAnError(t *testing.T) {
	const content = `{"running":1,"state":"ready"}`
	for _, head := range []string{"HTTP/1.1 +20 OK\r\n\r\n", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n"} {
		server, err := cut.Start(cut.Config{Answer: cut.Always(head + content)})
		require.NoError(t, err)
		server.SetLength(len(head + content))
		_, err = service.NewReportClient().Report(t.Context(), server.Address())
		require.Error(t, err, head)
		server.Close()
	}
}
