// Package httpserve serves HTTP and ends its connections without losing a request.
//
// A request that has been read, in part or whole, is answered. A connection is only closed
// without an answer while no byte of a request has been read from it: its caller can then
// send the request again. net/http does not keep to that. It counts a connection as idle
// until it has read the head of the next request and changed the state, so that
// SetKeepAlivesEnabled closes connections whose handler begins, and Shutdown drops a
// request that it has read. The Server therefore has states of its own, from the first byte
// of a request on, and uses neither.
//
// # Planned stops
//
// AnnounceEnd begins the notice: connections stay open and requests are served, and each
// answer says that its connection closes. End follows after the notice: the listener closes,
// connections without a request end, and End waits for the others. What still arrives is
// handled and answered; from then on the handler should refuse it.
//
//	connection                  during the notice        at End
//	without a request           stays open               closes, nothing of it was read
//	new, no request yet         stays open               has firstRequestTime to send one
//	request on its way          answered, then closes    answered, then closes
//	open stream                 goes on                  goes on to its end, then closes
//	two requests at once        the first is answered with "Connection: close", which says
//	                            that the second is not handled
//
// A handler bounds its requests with Requests: late in a stop it refuses those that may not
// end in time, and at the end it answers those that are left.
//
// # Clients out of control
//
// A Server owns what its connections make the process hold: their number, the decoded heads of
// requests, which net/http would decode in any number and with any number of lines, and how long
// bodies may stand still. A handler takes the room for bodies with GrowBody. When room is short,
// the connection that holds most and progresses least ends (limit.FirstToYield): without a
// request silently, in a head or a body with a refusal, and never once a handler has the whole
// request. See docs/design/clients.md.
//
// # Responses that cannot be completed
//
// Abort ends a handler whose response has begun, so that no caller takes it for complete.
//
// # Usage
//
//	server := httpserve.New(httpserve.Config{
//		Name:        "callers",
//		Handler:     handler,
//		IdleTimeout: time.Minute,
//		Logger:      logger,
//	})
//	go func() { ended <- server.Serve(ctx, listener) }()
//	…
//	server.AnnounceEnd()
//	… // the notice
//	err := server.End(ctx) // an error if ctx ended before all requests had
package httpserve

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// backlogTime is how long connections are accepted after End is called. A listener that
	// closes resets the connections that it has not accepted, with the requests on them.
	backlogTime = 20 * time.Millisecond

	// firstRequestTime is how long a new connection may send its first request at the end.
	// It is above the round trip between callers and nodes.
	firstRequestTime = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Name is the name of the server in log lines.
	Name    string
	Handler http.Handler

	// MaxHeaderBytes and MaxHeaderLines bound the head of a request, HeaderTimeout the time in
	// which it must arrive, and IdleTimeout the time that a connection without a request stays
	// open. BodyTimeout bounds the time without a byte of a body that a handler reads.
	MaxHeaderBytes int
	MaxHeaderLines int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration

	// HeadLimit returns a lower bound than MaxHeaderBytes that is in force, 0 for none. It may
	// be nil.
	HeadLimit func() int

	// Room bounds what all connections together make the node hold.
	Room RoomConfig

	// IdleLimit returns the time for which callers may use a connection without a request
	// again. If that is longer than IdleTimeout, connections stay open for it. It may be nil.
	IdleLimit func() time.Duration

	Logger *zap.Logger
}

// A Server serves HTTP on one listener.
type Server struct {
	config Config
	http   *http.Server
	room   *room

	// announced is true after AnnounceEnd, ending after End.
	announced atomic.Bool
	ending    atomic.Bool

	// accepting is closed when Serve accepts no more connections.
	accepting chan struct{}

	mutex       sync.Mutex
	listener    net.Listener
	connections map[*connection]bool

	// empty is closed when there is no connection left. It is nil if nothing waits for that.
	empty chan struct{}
}

// New returns a server.
func New(config Config) *Server {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	server := &Server{config: config, room: newRoom(config), accepting: make(chan struct{}), connections: map[*connection]bool{}}
	server.http = &http.Server{
		Handler:           http.HandlerFunc(server.serve),
		ReadHeaderTimeout: config.HeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		MaxHeaderBytes:    config.MaxHeaderBytes,
		ErrorLog:          log.New(logWriter{logger: config.Logger}, "", 0),
		ConnContext: func(ctx context.Context, accepted net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, accepted)
		},
		ConnState: func(accepted net.Conn, state http.ConnState) {
			if state == http.StateIdle && !accepted.(*connection).becomeIdle() {
				// net/http would decode the next request from its buffer. It closes the
				// connection instead.
				panic(http.ErrAbortHandler)
			}
		},
	}
	return server
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// logWriter writes the messages of net/http to a logger.
type logWriter struct{ logger *zap.Logger }

// Write implements io.Writer.
func (writer logWriter) Write(message []byte) (int, error) {
	writer.logger.Info("HTTP server", zap.ByteString("message", message))
	return len(message), nil
}

// Serve accepts connections until End or Close is called, and then returns nil. It may be
// called once. The context is the base context of all requests.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer close(server.accepting)
	server.http.BaseContext = func(net.Listener) context.Context { return ctx }
	server.mutex.Lock()
	server.listener = listener
	server.mutex.Unlock()
	if server.ending.Load() {
		// End may have closed it too.
		_ = listener.Close()
		return nil
	}
	err := server.http.Serve(&trackingListener{Listener: listener, server: server})
	if server.ending.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// serve handles one request.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	connection := request.Context().Value(connectionKey{}).(*connection)
	connection.beginHandler()
	defer connection.endHandler()
	connection.length = request.ContentLength
	if request.Body != http.NoBody {
		reading := &body{ReadCloser: request.Body, connection: connection}
		// The type of the original's body decides how net/http ends the request.
		request = request.WithContext(request.Context())
		request.Body = reading
	}
	if server.announced.Load() {
		writer.Header().Set("Connection", "close")
	}
	server.config.Handler.ServeHTTP(writer, request)
}

// AnnounceEnd makes every answer from now on say that its connection closes.
func (server *Server) AnnounceEnd() { server.announced.Store(true) }

// End closes the listener and the connections without a request, and waits until the others
// have been answered. If the context ends before, it closes them and returns the context's
// error.
func (server *Server) End(ctx context.Context) error {
	server.AnnounceEnd()
	server.ending.Store(true)
	server.closeListener(ctx)
	for _, open := range server.open() {
		open.end()
	}
	select {
	case <-server.awaitEmpty():
		return nil
	case <-ctx.Done():
		_ = server.http.Close()
		return errors.Trace(ctx.Err())
	}
}

// closeListener closes the listener after the connections that wait on it are accepted.
func (server *Server) closeListener(ctx context.Context) {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	if listener == nil {
		return
	}
	if limited, ok := listener.(interface{ SetDeadline(time.Time) error }); ok && limited.SetDeadline(time.Now().Add(backlogTime)) == nil {
		select {
		case <-server.accepting:
		case <-ctx.Done():
		}
	}
	_ = listener.Close()
}

// Close closes the listener and all connections.
func (server *Server) Close() error {
	server.ending.Store(true)
	return errors.Trace(server.http.Close())
}

// idleDeadline returns when a connection without a request closes: at the deadline of
// net/http, or after the limit for callers if that is later.
func (server *Server) idleDeadline(deadline time.Time) time.Time {
	if server.config.IdleLimit == nil || deadline.IsZero() {
		return deadline
	}
	if limit := time.Now().Add(server.config.IdleLimit()); limit.After(deadline) {
		return limit
	}
	return deadline
}

// Connections are the numbers of open connections by their state.
type Connections struct {
	// Idle connections have had no byte of a next request, Reading ones a part of it or all
	// of it, and on Serving ones the handler of a request runs.
	Idle    int
	Reading int
	Serving int
}

// Connections returns the numbers of open connections.
func (server *Server) Connections() Connections {
	var counts Connections
	for _, open := range server.open() {
		switch open.currentState() {
		case stateNew, stateIdle:
			counts.Idle++
		case stateReading, stateAnswered:
			counts.Reading++
		case stateServing, stateBody:
			counts.Serving++
		}
	}
	return counts
}

// open returns the open connections.
func (server *Server) open() []*connection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	open := make([]*connection, 0, len(server.connections))
	for connection := range server.connections {
		open = append(open, connection)
	}
	return open
}

// count returns the number of open connections.
func (server *Server) count() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.connections)
}

// awaitEmpty returns a channel that is closed when no connection is left.
func (server *Server) awaitEmpty() <-chan struct{} {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) == 0 {
		empty := make(chan struct{})
		close(empty)
		return empty
	}
	if server.empty == nil {
		server.empty = make(chan struct{})
	}
	return server.empty
}

func (server *Server) add(accepted net.Conn) *connection {
	added := &connection{Conn: accepted, server: server, since: time.Now()}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.connections[added] = true
	return added
}

func (server *Server) remove(closed *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.connections[closed] {
		return
	}
	delete(server.connections, closed)
	server.room.release(closed.dropHeads())
	if len(server.connections) == 0 && server.empty != nil {
		close(server.empty)
		server.empty = nil
	}
}

// A trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It returns net.ErrClosed when no connection waits while
// the server ends.
func (listener *trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil && listener.server.ending.Load() {
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
		if !listener.server.admit() {
			listener.server.room.record(causeConnections, accepted.RemoteAddr().String())
			_ = accepted.Close()
			continue
		}
		added := listener.server.add(accepted)
		added.end()
		return added, nil
	}
}
