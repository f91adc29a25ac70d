package httpsend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an aborted response that a caller takes for complete: without chunks only a
// reset distinguishes it from one that has ended.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, "plank 7")
		_ = http.NewResponseController(writer).Flush()
		Abort(writer, request)
	}))
	defer server.Close()
	for version, want := range map[string]error{"HTTP/1.0": syscall.ECONNRESET, "HTTP/1.1": io.ErrUnexpectedEOF} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", version)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.ErrorIs(t, err, want, version)
		require.Equal(t, "plank 7", string(body))
		conn.Close()
	}
}
