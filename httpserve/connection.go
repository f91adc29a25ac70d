package httpserve

import (
	"net"
	"sync"

	"go.uber.org/zap"
)

// state is the state of a connection.
type state int

const (
	// stateIdle connections have had no byte of a next request.
	stateIdle state = iota

	// stateReading connections have had a byte of a request whose handler has not begun, or
	// has ended without the whole answer being written yet.
	stateReading

	// stateServing connections have a request whose handler runs.
	stateServing
)

// A connection is an accepted connection with its state.
type connection struct {
	net.Conn
	server *Server

	mutex sync.Mutex
	state state
}

// Read implements net.Conn.
func (connection *connection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if count > 0 {
		connection.received()
	}
	return count, err
}

// received records that a byte was read: of a request, or of the next one while a handler
// runs.
func (connection *connection) received() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.state == stateIdle {
		connection.state = stateReading
	}
}

func (connection *connection) currentState() state {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.state
}

func (connection *connection) setState(next state) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.state = next
}

func (connection *connection) beginHandler() { connection.setState(stateServing) }

func (connection *connection) endHandler() { connection.setState(stateReading) }

func (connection *connection) becomeIdle() { connection.setState(stateIdle) }

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose
// request it has not read to its end.
func (connection *connection) CloseWrite() error {
	return connection.Conn.(*net.TCPConn).CloseWrite()
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
