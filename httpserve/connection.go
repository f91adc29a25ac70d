package httpserve

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// state is the state of a connection.
type state int

const (
	// stateNew connections have had no byte, stateIdle ones no byte of a next request.
	stateNew state = iota
	stateIdle

	// stateReading connections have had a byte of a request whose handler has not begun, or
	// the handler has ended and the answer is being written.
	stateReading

	// stateServing connections have a request whose handler runs.
	stateServing
)

// withoutRequest reports whether no byte of a request has been read.
func (state state) withoutRequest() bool { return state == stateNew || state == stateIdle }

// A connection is an accepted connection with its state.
//
// Whether it ends is decided where it is read: end only interrupts a pending Read. That Read
// returns the bytes that have arrived, so that their request is answered, or else io.EOF,
// and net/http closes the connection.
type connection struct {
	net.Conn
	server *Server

	mutex sync.Mutex
	state state

	// readDeadline is the one that net/http has set. While interrupted is true, the connection has
	// another one, with which it ends.
	readDeadline time.Time
	interrupted  bool

	// awaiting is true if net/http has set a deadline since the connection became idle. It
	// sets the next one when it has the beginning of a request, which it may have read
	// together with the request before.
	awaiting bool
}

// Read implements net.Conn.
func (connection *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := connection.Conn.Read(buffer)
		if count > 0 {
			connection.received()
			return count, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		count, err, again := connection.afterDeadline(buffer, err)
		if !again {
			return count, err
		}
	}
}

// received records that bytes were read: of a request, or of the next one while a handler
// runs.
func (connection *connection) received() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.state.withoutRequest() {
		connection.setState(stateReading)
	}
}

// afterDeadline returns the result of a Read that ended with a deadline, or true if the
// Read goes on because a request has begun.
func (connection *connection) afterDeadline(buffer []byte, deadline error) (int, error, bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.interrupted {
		return 0, deadline, !connection.expired()
	}
	count := connection.readArrived(buffer)
	if count == 0 {
		return 0, io.EOF, false
	}
	connection.setState(stateReading)
	return count, nil, false
}

// expired reports whether the deadline of net/http has passed. Otherwise the one that ended
// a Read was replaced meanwhile.
func (connection *connection) expired() bool {
	return !connection.readDeadline.IsZero() && !time.Now().Before(connection.readDeadline)
}

// readArrived reads the bytes that have arrived without waiting for others.
func (connection *connection) readArrived(buffer []byte) int {
	raw, err := connection.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		if received, _, failure := unix.Recvfrom(int(descriptor), buffer, unix.MSG_DONTWAIT); failure == nil {
			count = received
		}
	})
	if err != nil {
		return 0
	}
	return count
}

// end ends the connection as soon as it has no request. One that has a request closes after
// the answer.
func (connection *connection) end() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.interruptIdle()
}

// interruptIdle makes a pending or the next Read of a connection without a request return
// while the server ends.
func (connection *connection) interruptIdle() {
	if connection.interrupted || !connection.state.withoutRequest() || !connection.server.ending.Load() {
		return
	}
	connection.interrupted = true
	deadline := time.Now()
	if connection.state == stateNew {
		deadline = deadline.Add(firstRequestTime)
	}
	_ = connection.Conn.SetReadDeadline(deadline)
}

// setState changes the state, and the deadline back to the one of net/http if a request has
// begun.
func (connection *connection) setState(next state) {
	connection.state = next
	if connection.interrupted && !next.withoutRequest() {
		connection.interrupted = false
		_ = connection.Conn.SetReadDeadline(connection.readDeadline)
	}
	connection.interruptIdle()
}

// SetReadDeadline implements net.Conn.
func (connection *connection) SetReadDeadline(deadline time.Time) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.state == stateIdle && !connection.awaiting {
		deadline = connection.server.idleDeadline(deadline)
	}
	connection.readDeadline = deadline
	if connection.state == stateIdle && connection.awaiting {
		connection.setState(stateReading)
	}
	connection.awaiting = connection.state == stateIdle
	connection.interruptIdle()
	if connection.interrupted {
		return nil
	}
	return connection.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (connection *connection) SetDeadline(deadline time.Time) error {
	if err := connection.SetReadDeadline(deadline); err != nil {
		return err
	}
	return connection.SetWriteDeadline(deadline)
}

func (connection *connection) currentState() state {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.state
}

func (connection *connection) change(next state) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.setState(next)
}

func (connection *connection) beginHandler() { connection.change(stateServing) }

func (connection *connection) endHandler() { connection.change(stateReading) }

func (connection *connection) becomeIdle() { connection.change(stateIdle) }

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose
// request it has not read to its end.
func (connection *connection) CloseWrite() error {
	return connection.Conn.(*net.TCPConn).CloseWrite()
}

// SetLinger is that of net.TCPConn. Abort calls it.
func (connection *connection) SetLinger(seconds int) error {
	return connection.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Close implements net.Conn. No handler should run then: its request would end without an
// answer.
func (connection *connection) Close() error {
	connection.server.remove(connection)
	if connection.currentState() == stateServing {
		connection.server.config.Logger.Warn("connection closed with a request in progress",
			zap.String("server", connection.server.config.Name), zap.Stringer("from", connection.RemoteAddr()))
	}
	return connection.Conn.Close()
}
