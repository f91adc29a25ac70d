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
