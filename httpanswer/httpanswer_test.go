package httpanswer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/httpanswer"
)

// serve starts a server that calls a script with each connection after the head of a request.
func serve(test *testing.T, script func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	test.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					script(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// resetWhileWritten answers a part of a body without a length while the request is still being
// written, and resets the connection.
func resetWhileWritten(conn *net.TCPConn) {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhello worl")
	time.Sleep(100 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// Guards against the beginning of a body without a length that passes for the whole body, after
// a write has got the reset of the connection.
func TestBodyThatEndsWithAResetIsNotWhole(test *testing.T) {
	address := serve(test, resetWhileWritten)
	test.Run("transport", func(test *testing.T) {
		base := &http.Transport{}
		defer base.CloseIdleConnections()
		transport := httpanswer.NewTransport(base)
		for range 20 {
			request, err := http.NewRequestWithContext(test.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 32<<20)))
			require.NoError(test, err)
			answer, err := transport.RoundTrip(request)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			assert.Error(test, err, "%q passes for a whole body", body)
		}
	})
	test.Run("connection", func(test *testing.T) {
		dialed, err := net.Dial("tcp", address)
		require.NoError(test, err)
		conn := httpanswer.NewConn(dialed)
		defer conn.Close()
		_, err = conn.Write(append([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...))
		require.Error(test, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(test, err)
		body, err := io.ReadAll(answer.Body)
		require.Error(test, err, "%q passes for a whole body", body)
	})
}

// Guards against an early answer that is lost with the end of its connection although it is whole
// by its own length, and against one without a length that is refused although its request was
// written whole.
func TestWholeEarlyAnswersAreReceived(test *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	} {
		address := serve(test, func(conn *net.TCPConn) {
			fmt.Fprint(conn, text)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		base := &http.Transport{}
		request, err := http.NewRequestWithContext(test.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 8<<20)))
		require.NoError(test, err)
		answer, err := httpanswer.NewTransport(base).RoundTrip(request)
		require.NoError(test, err, name)
		body, err := io.ReadAll(answer.Body)
		require.NoError(test, err, name)
		require.Equal(test, "ok", string(body), name)
		answer.Body.Close()
		base.CloseIdleConnections()
	}
}
