// Package cut is a stand-in for HTTP servers whose answers end early.
//
// A Server answers each request with the first bytes of an answer, and then closes or resets
// the connection. Tests go through all lengths and check that no client takes a part for the
// whole.
//
// # Usage
//
//	server, err := cut.Start(cut.Config{Answer: cut.Always("HTTP/1.1 204 No Content\r\n\r\n")})
//	…
//	server.SetLength(20)
//	… // send a request to server.Address()
//	server.Close()
package cut

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Config configures a Server.
type Config struct {
	// Answer returns the whole answer to a request with a body.
	Answer func(body []byte) string

	// Reset is true if connections are reset after the answer instead of closed.
	Reset bool

	// Early is true if requests are answered after their head, and the connection ends while the
	// client is still writing a body that is larger than the buffers of a connection. The
	// answer's function gets no body then.
	Early bool

	// Exempt maps paths to answers that are written whole and whose connections are closed.
	// Their requests do not count.
	Exempt map[string]string
}

// Always returns an Answer that does not depend on the request.
func Always(answer string) func(body []byte) string {
	return func([]byte) string { return answer }
}

// A Server serves one connection after the other, with one request each. Its length is 0 at
// first.
type Server struct {
	config   Config
	listener net.Listener
	length   atomic.Int64
	requests atomic.Int64
	ended    chan struct{}
}

// Start starts a server on a loopback port. The caller must Close it.
func Start(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := &Server{config: config, listener: listener, ended: make(chan struct{})}
	go server.run()
	return server, nil
}

func (server *Server) run() {
	defer close(server.ended)
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.serve(conn)
	}
}

func (server *Server) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	var body []byte
	if !server.config.Early {
		body, _ = io.ReadAll(request.Body)
	}
	if answer, exempt := server.config.Exempt[request.URL.Path]; exempt {
		Write(conn, answer, len(answer), false)
		return
	}
	server.requests.Add(1)
	answer := server.config.Answer(body)
	Write(conn, answer, server.Length(), server.config.Reset)
	if server.config.Early {
		time.Sleep(earlyPause)
	}
}

// earlyPause is far above the time in which a client fills the buffers of a connection.
const earlyPause = 100 * time.Millisecond

// Write writes the first length bytes of an answer to a connection, or all of a shorter one.
// With reset, the connection will be reset when it is closed.
func Write(conn net.Conn, answer string, length int, reset bool) {
	// A failed write means that the client has left.
	_, _ = io.WriteString(conn, answer[:min(length, len(answer))])
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// Address returns the IP:port of the server.
func (server *Server) Address() string { return server.listener.Addr().String() }

// SetLength sets the number of bytes after which answers end.
func (server *Server) SetLength(length int) { server.length.Store(int64(length)) }

// Length returns the number of bytes after which answers end.
func (server *Server) Length() int { return int(server.length.Load()) }

// Requests returns the number of requests that were read.
func (server *Server) Requests() int { return int(server.requests.Load()) }

// Close ends the server and waits for the request in progress.
func (server *Server) Close() {
	server.listener.Close()
	<-server.ended
}
