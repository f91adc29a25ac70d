package httpserve

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lacewingspoke.org/lacewingspoke/limit"
)

// backgroundBytes is the size of the Reads with which net/http waits, while a handler runs, for
// the caller to leave. Other Reads have larger buffers.
const backgroundBytes = 1

// state is the state of a connection.
type state int

const (
	// stateNew connections have had no byte, stateIdle ones no byte of a next request.
	stateNew state = iota
	stateIdle

	// stateReading connections have had a byte of a request whose handler has not begun.
	stateReading

	// stateServing connections have a request whose handler runs, stateBody ones a handler
	// that waits for the body.
	stateServing
	stateBody

	// stateAnswered connections have had a handler that has ended: the answer is written, and
	// the rest of its request is discarded.
	stateAnswered
)

// handled reports whether a handler runs.
func (state state) handled() bool { return state == stateServing || state == stateBody }

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

	// since is the time at which the present step began: the wait for a request, its head, its
	// body, or the discarding of the rest.
	since time.Time

	// head counts the head of the present request, heads and bodies are what the connection
	// holds of the room for heads and of that for bodies.
	head   headMeter
	heads  int64
	bodies int64

	// length is the length of the present request's body, -1 if it is unknown. The goroutine of
	// the connection uses it.
	length int64

	// bodyDeadline is when a body that makes no progress ends.
	bodyDeadline time.Time

	// yielding is true if the connection closes for others, unless its request has got on
	// meanwhile.
	yielding bool

	// failure is the error with which a Read ended the request, and every later one ends.
	failure error

	// lingers is true if the connection is closed by a timer, so that the caller gets the last
	// answer although it has sent more than was read.
	lingers bool

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
		if err := connection.beginRead(len(buffer)); err != nil {
			return 0, err
		}
		count, err := connection.Conn.Read(buffer)
		if count > 0 {
			if refusal := connection.received(buffer[:count]); refusal != nil {
				return 0, refusal
			}
			return count, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		count, err, again := connection.afterDeadline(buffer, err)
		switch {
		case errors.Is(err, ErrBodyStalled):
			connection.server.room.record(causeBodyStalled, connection.RemoteAddr().String())
		case errors.Is(err, ErrNoRoom) && connection.currentState() == stateReading:
			connection.write(refusalNoRoom)
		}
		if !again {
			return count, err
		}
	}
}

// beginRead sets the deadline for the next part of a body, or for the rest of one that no handler
// reads. It returns the error of an earlier Read that ended the request.
func (connection *connection) beginRead(size int) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.failure != nil || size == backgroundBytes || connection.yielding {
		return connection.failure
	}
	timeout := connection.server.config.BodyTimeout
	switch {
	case connection.state == stateBody && timeout > 0:
		connection.bodyDeadline = time.Now().Add(timeout)
	case connection.state == stateAnswered:
		connection.bodyDeadline = connection.since.Add(discardTime)
	default:
		return nil
	}
	if connection.readDeadline.IsZero() || connection.bodyDeadline.Before(connection.readDeadline) {
		_ = connection.Conn.SetReadDeadline(connection.bodyDeadline)
	}
	return nil
}

// received records bytes that were read: of a request, or of the next one while a handler runs.
// It returns an error if the head of the request is over a bound or finds no room. The caller
// has then got a refusal.
func (connection *connection) received(data []byte) error {
	connection.mutex.Lock()
	if connection.state.withoutRequest() {
		connection.setState(stateReading)
	}
	connection.head.add(data)
	if connection.state != stateReading {
		connection.mutex.Unlock()
		return nil
	}
	refusal := connection.server.checkHead(&connection.head)
	held, cost := connection.heads, max(0, connection.head.cost()-freeBytes)
	connection.mutex.Unlock()
	if refusal == nil && !connection.server.takeHeads(connection, held, cost) {
		refusal = &refusalNoRoom
	}
	if refusal != nil {
		return connection.refuse(*refusal)
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.heads = max(held, cost)
	return nil
}

// refuse answers a request whose head is not read to its end. It returns an error of Read on
// which net/http closes the connection without an answer of its own.
func (connection *connection) refuse(refusal refusal) error {
	connection.server.room.record(refusal.cause, connection.RemoteAddr().String())
	connection.write(refusal)
	connection.linger()
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.fail(errRefused)
}

func (connection *connection) write(refusal refusal) {
	_ = connection.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(connection.Conn, refusal.answer())
}

// afterDeadline returns the result of a Read that ended with a deadline, or true if the
// Read goes on because a request has begun.
func (connection *connection) afterDeadline(buffer []byte, deadline error) (int, error, bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	switch {
	case connection.interrupted:
		count := connection.readArrived(buffer)
		if count == 0 {
			return 0, io.EOF, false
		}
		connection.head.add(buffer[:count])
		connection.setState(stateReading)
		return count, nil, false
	case len(buffer) == backgroundBytes && !connection.expired():
		// An error would cancel the present request, which may have been passed on.
		connection.yielding = false
		_ = connection.Conn.SetReadDeadline(connection.readDeadline)
		return 0, nil, true
	case len(buffer) == backgroundBytes:
		return 0, deadline, false
	case connection.yielding:
		return 0, connection.fail(ErrNoRoom), false
	case connection.bodyEnded():
		return 0, connection.fail(ErrBodyStalled), false
	}
	return 0, deadline, !connection.expired()
}

// fail returns the error of this and of every later Read.
func (connection *connection) fail(cause error) error {
	connection.failure = &net.OpError{Op: "read", Net: "tcp", Err: cause}
	return connection.failure
}

// bodyEnded reports whether a body, or the rest of one, has not arrived in time.
func (connection *connection) bodyEnded() bool {
	return (connection.state == stateBody || connection.state == stateAnswered) && !connection.bodyDeadline.IsZero() && !time.Now().Before(connection.bodyDeadline)
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
	if connection.interrupted || !connection.state.withoutRequest() || !connection.yielding && !connection.server.ending.Load() {
		return
	}
	connection.interrupted = true
	deadline := time.Now()
	if connection.state == stateNew && !connection.yielding {
		deadline = deadline.Add(firstRequestTime)
	}
	_ = connection.Conn.SetReadDeadline(deadline)
}

// setState changes the state, and the deadline back to the one of net/http if a request has
// begun.
func (connection *connection) setState(next state) {
	connection.state = next
	connection.since = time.Now()
	if connection.interrupted && !next.withoutRequest() {
		connection.interrupted, connection.yielding = false, false
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
	if connection.interrupted || connection.yielding && (connection.state == stateReading || connection.state == stateBody) {
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

func (connection *connection) beginHandler() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.head.endHead()
	connection.setState(stateServing)
	connection.stay()
}

// stay makes a connection that was closing for others go on.
func (connection *connection) stay() {
	if connection.yielding && connection.failure == nil {
		connection.yielding = false
		_ = connection.Conn.SetReadDeadline(connection.readDeadline)
	}
}

func (connection *connection) endHandler() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.bodies, connection.bodyDeadline = 0, time.Time{}
	connection.setState(stateAnswered)
}

// becomeIdle ends a request. It returns false if what was read ahead of the next one finds no
// room.
func (connection *connection) becomeIdle() bool {
	connection.mutex.Lock()
	connection.head = connection.head.next(connection.length)
	held, cost := connection.heads, max(0, connection.head.cost()-freeBytes)
	connection.heads, connection.bodyDeadline = min(held, cost), time.Time{}
	connection.setState(stateIdle)
	connection.mutex.Unlock()
	connection.server.room.release(held - min(held, cost))
	if cost <= held {
		return true
	}
	if !connection.server.takeHeads(connection, held, cost) {
		connection.server.room.record(causeHeads, connection.RemoteAddr().String())
		return false
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.heads = cost
	return true
}

// beginBody begins to wait for a part of a request's body. The time since the handler began
// counts for all parts.
func (connection *connection) beginBody() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	since := connection.since
	connection.setState(stateBody)
	connection.since = since
}

// endBody ends the wait. From then on the request may be passed on, and the connection closes
// for no other.
func (connection *connection) endBody() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	since := connection.since
	connection.setState(stateServing)
	connection.since = since
	if !connection.bodyDeadline.IsZero() {
		connection.bodyDeadline = time.Time{}
		_ = connection.Conn.SetReadDeadline(connection.readDeadline)
	}
	connection.stay()
}

// dropHeads returns what the connection holds of the room for heads when it closes.
func (connection *connection) dropHeads() int64 {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	heads := connection.heads
	connection.heads = 0
	return heads
}

// setBody records what the body of the present request holds.
func (connection *connection) setBody(count int64) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.bodies = count
}

// holding returns what the connection holds, in all and of a share, and whether it may close
// for others.
func (connection *connection) holding(share share, now time.Time) (limit.Holding, int64, bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	config := connection.server.config
	holding := limit.Holding{Bytes: ConnectionBytes + connection.heads + connection.bodies, Elapsed: now.Sub(connection.since), Allowed: config.HeaderTimeout}
	switch connection.state {
	case stateIdle:
		holding.Allowed = config.IdleTimeout
	case stateBody:
		holding.Allowed = config.BodyTimeout
	case stateAnswered:
		// Without a rest of its request to read, it is about to be idle.
		holding.Allowed = config.IdleTimeout
		if !connection.bodyDeadline.IsZero() {
			holding.Allowed = discardTime
		}
	}
	size := int64(ConnectionBytes)
	switch share {
	case shareHeads:
		size = connection.heads
	case shareBodies:
		size = connection.bodies
	}
	return holding, size, size > 0 && !connection.yielding && connection.mayYield()
}

// mayYield reports whether no request of the connection has been read whole, or all have been
// answered.
func (connection *connection) mayYield() bool {
	return connection.state != stateServing && (connection.state != stateReading || !connection.head.ended)
}

// yield makes the connection close for another one. It returns false if its request has got on
// too far.
func (connection *connection) yield() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.mayYield() {
		return false
	}
	connection.yielding = true
	if connection.state.withoutRequest() {
		connection.interruptIdle()
	} else {
		_ = connection.Conn.SetReadDeadline(time.Now())
	}
	return true
}

// yields reports whether the connection closes for another one.
func (connection *connection) yields() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.yielding
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose
// request it has not read to its end, and would then keep the connection, with all that it
// holds, for half a second. It panics so that net/http closes the connection at once: just the
// socket lingers.
func (connection *connection) CloseWrite() error {
	connection.linger()
	panic(http.ErrAbortHandler)
}

// linger closes the sending side, and the socket when the caller has had time to read the last
// answer: closing it with unread bytes resets it. A connection that closes for others does not
// linger.
func (connection *connection) linger() {
	if connection.yields() || connection.Conn.(*net.TCPConn).CloseWrite() != nil || !connection.server.room.beginLinger() {
		return
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.lingers = true
	time.AfterFunc(lingerTime, func() {
		_ = connection.Conn.Close()
		connection.server.room.endLinger()
	})
}

// SetLinger is that of net.TCPConn. Abort calls it.
func (connection *connection) SetLinger(seconds int) error {
	return connection.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Close implements net.Conn. No handler should run then: its request would end without an
// answer.
func (connection *connection) Close() error {
	connection.server.remove(connection)
	if connection.currentState().handled() {
		connection.server.config.Logger.Warn("connection closed with a request in progress",
			zap.String("server", connection.server.config.Name), zap.Stringer("from", connection.RemoteAddr()))
	}
	if connection.lingering() {
		return nil
	}
	return connection.Conn.Close()
}

func (connection *connection) lingering() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.lingers
}
