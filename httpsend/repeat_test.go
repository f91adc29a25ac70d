package httpsend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A droppingServer answers the first request on each connection. It reads the second one
// whole and closes the connection, as a server does that stops or has given it up.
type droppingServer struct {
	listener net.Listener
	reset    bool
	ended    chan struct{}

	// requests counts all requests that arrived whole.
	requests atomic.Int32
}

func newDroppingServer(t *testing.T, reset bool) *droppingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &droppingServer{listener: listener, reset: reset, ended: make(chan struct{})}
	go func() {
		defer close(server.ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.serve(conn.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-server.ended
	})
	return server
}

func (server *droppingServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""} {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		server.requests.Add(1)
		_, _ = io.WriteString(conn, answer)
	}
	if server.reset {
		_ = conn.SetLinger(0)
	}
}

// Guards against an order, a transaction or a lease call that net/http sends again on its
// own after the server has closed a kept connection with it, and against reporting such a
// call as not sent. Reads are sent again.
func TestOnlyReadsAreSentAgainAfterKeptConnectionCloses(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, call := range []struct {
			name, method string
			body         []byte
		}{
			{"transaction or order", http.MethodPost, []byte("{}")},
			{"write", http.MethodPut, []byte("value")},
			{"write without a value", http.MethodPut, nil},
			{"renewal of a lease", http.MethodPost, nil},
			{"end of a lease", http.MethodDelete, nil},
		} {
			t.Run(call.name, func(t *testing.T) {
				server, client := newDroppingServer(t, reset), testClient(t)
				request := Request{Method: call.method, Path: "/", Address: server.listener.Addr().String(), Body: call.body, Timeout: testTimeout}
				_, err := client.Do(t.Context(), request)
				require.NoError(t, err)
				_, err = client.Do(t.Context(), request)
				require.Error(t, err)
				assert.True(t, MayHaveBeenSent(err))
				assert.EqualValues(t, 2, server.requests.Load())
			})
		}
		server, client := newDroppingServer(t, reset), testClient(t)
		read := Request{Method: http.MethodGet, Path: "/", Address: server.listener.Addr().String(), Timeout: testTimeout}
		for range 2 {
			_, err := client.Do(t.Context(), read)
			require.NoError(t, err)
		}
		assert.EqualValues(t, 3, server.requests.Load())
	}
}
