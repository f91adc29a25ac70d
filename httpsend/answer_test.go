package httpsend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// requireNoReply requires that a call whose answer is text fails, and may have been sent.
func requireNoReply(t *testing.T, config cut.Config, text string, body []byte) {
	config.Answer = cut.Always(text)
	server, err := cut.Start(config)
	require.NoError(t, err)
	defer server.Close()
	server.SetLength(len(text))
	got, err := testClient(t).Do(t.Context(), Request{Method: "PUT", Address: server.Address(), Path: "/", Body: body, Timeout: testTimeout, MaxReplyBytes: 1 << 10})
	require.Error(t, err, "%q: status %d, %q", text, got.Status, got.Body)
	require.True(t, MayHaveBeenSent(err))
}

// Guards against half an answer of the store, of an engine or of another node that is returned as
// whole, because a write of the request has got the reset of the connection.
func TestResetReplyWithoutLengthIsAnError(t *testing.T) {
	for range 5 {
		requireNoReply(t, cut.Config{Reset: true, Early: true}, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[]}", make([]byte, 32<<20))
	}
}

// Guards against bytes with an invalid status line that are returned as a reply.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/9.9 200 OK", "HTTP/1.1 101 Switching Protocols"} {
		requireNoReply(t, cut.Config{}, line+"\r\nContent-Length: 2\r\n\r\n{}", []byte("b"))
	}
}

// Guards against bytes with an invalid field that are returned as a reply.
func TestInvalidFieldIsNoReply(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{} ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		requireNoReply(t, cut.Config{}, text, []byte("b"))
	}
}
