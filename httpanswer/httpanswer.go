// Package httpanswer decides what bytes that a client receives are a whole answer in HTTP/1. It is
// the one place for that: the clients of targets, of other nodes, of the store and of plain
// services all receive through it.
//
// A body without a length and without chunks ends with its connection, and the end of a
// connection that has failed looks the same: the system hands the reset of a connection out once,
// and if a write gets it, the next read returns the ordinary end. A Conn therefore returns the
// failure of a write in place of the end.
//
// # Usage
//
//	transport := httpanswer.NewTransport(&http.Transport{DisableCompression: true})
//	response, err := transport.RoundTrip(request)
//
// Without http.Transport:
//
//	conn := httpanswer.NewConn(dialed)
//	// write the request
//	answer, err := http.ReadResponse(bufio.NewReader(conn), request)
package httpanswer

import (
	"io"
	"net"
	"os"
	"sync"

	"github.com/juju/errors"
)

// A Conn is a client's connection over which answers are received. Its methods may be called by
// one reader and one writer at a time, like those of a net.Conn.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mutex sync.Mutex

	// failure is the first failure of the connection, nil if there was none. The end of a
	// timeout is one for writes only: a read may be repeated.
	failure error
}

// NewConn returns a connection over another one.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Inner returns the connection that NewConn was called with.
func (conn *Conn) Inner() net.Conn { return conn.Conn }

// Write writes to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil {
		conn.fail(err)
	}
	return count, err
}

// Read reads from the connection. At the end of the connection it returns io.EOF only if nothing
// has failed on it.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == io.EOF {
		// A write in progress may be the one that gets the reset of the connection.
		conn.writing.Lock()
		defer conn.writing.Unlock()
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) && conn.failure == nil {
		conn.failure = err
	}
	if err == io.EOF && conn.failure != nil {
		err = conn.failure
	}
	return count, err
}

func (conn *Conn) fail(err error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.failure == nil {
		conn.failure = err
	}
}
