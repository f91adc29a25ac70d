package fault

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const rebindInterval = 10 * time.Millisecond

// A Listener is a TCP listener that closes its port while the Injector refuses
// connections, and binds the same port again when the fault ends.
type Listener struct {
	injector *Injector
	address  net.Addr
	closed   chan struct{}

	mu    sync.Mutex
	inner net.Listener
	conns map[*trackedConn]struct{}
}

// Listen returns a Listener on the TCP address. The fault Refuse of the injector
// applies to it.
func (injector *Injector) Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	listener := &Listener{
		injector: injector,
		address:  inner.Addr(),
		closed:   make(chan struct{}),
		inner:    inner,
		conns:    map[*trackedConn]struct{}{},
	}
	injector.mu.Lock()
	injector.listener = listener
	injector.mu.Unlock()
	return listener, nil
}

// Addr returns the address of the Listener, which is the same after each
// refusal.
func (listener *Listener) Addr() net.Addr { return listener.address }

// Accept waits for the next connection. While connections are refused, it
// waits until the port is bound again.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.awaitBound()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		if err == nil {
			return listener.track(conn), nil
		}
		if !listener.injector.refusing() {
			select {
			case <-listener.closed:
				return nil, net.ErrClosed
			default:
			}
			if !errors.Is(err, net.ErrClosed) {
				return nil, err
			}
		}
	}
}

// awaitBound returns the current inner listener. After a refusal it first waits
// until the port can be bound again.
func (listener *Listener) awaitBound() (net.Listener, error) {
	for {
		listener.mu.Lock()
		if listener.inner == nil && !listener.injector.refusing() {
			// The port may still be in use, so a failure is retried after
			// rebindInterval.
			if inner, err := net.Listen("tcp", listener.address.String()); err == nil {
				listener.inner = inner
			}
		}
		inner := listener.inner
		listener.mu.Unlock()
		if inner != nil {
			return inner, nil
		}
		select {
		case <-listener.closed:
			return nil, net.ErrClosed
		case <-time.After(rebindInterval):
		}
	}
}

func (listener *Listener) track(conn net.Conn) net.Conn {
	tracked := &trackedConn{Conn: conn, listener: listener}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.conns[tracked] = struct{}{}
	return tracked
}

// refuse closes the port and resets the open connections.
func (listener *Listener) refuse() {
	listener.mu.Lock()
	inner := listener.inner
	listener.inner = nil
	open := listener.conns
	listener.conns = map[*trackedConn]struct{}{}
	listener.mu.Unlock()
	if inner != nil {
		inner.Close()
	}
	for conn := range open {
		if connection, ok := conn.Conn.(*net.TCPConn); ok {
			// With a linger time of 0, closing sends a reset.
			_ = connection.SetLinger(0)
		}
		conn.Conn.Close()
	}
}

// Close closes the port. It is not bound again.
func (listener *Listener) Close() error {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	select {
	case <-listener.closed:
		return nil
	default:
	}
	close(listener.closed)
	if listener.inner == nil {
		return nil
	}
	return listener.inner.Close()
}

type trackedConn struct {
	net.Conn
	listener *Listener
}

func (conn *trackedConn) Close() error {
	conn.listener.mu.Lock()
	delete(conn.listener.conns, conn)
	conn.listener.mu.Unlock()
	return conn.Conn.Close()
}
