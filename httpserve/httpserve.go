// Package httpserve serves HTTP and has the state of every connection: whether a request
// has been read from it, in part or whole, and whether its handler runs.
//
// net/http counts a connection as idle until it has read the head of the next request, so
// its own counts do not show a request that is on its way to a handler.
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
//	server.Connections()     // idle, reading and serving
//	server.Shutdown(ctx)     // waits for requests in progress
package httpserve

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Name is the name of the server in log lines.
	Name    string
	Handler http.Handler

	// MaxHeaderBytes bounds the head of a request, HeaderTimeout the time in which it must
	// arrive, and IdleTimeout the time that a connection without a request stays open.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration

	Logger *zap.Logger
}

// A Server serves HTTP on one listener.
type Server struct {
	config Config
	http   *http.Server

	mutex       sync.Mutex
	connections map[*connection]bool
}

// New returns a server.
func New(config Config) *Server {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	server := &Server{config: config, connections: map[*connection]bool{}}
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
			if state == http.StateIdle {
				accepted.(*connection).becomeIdle()
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

// Serve accepts connections until the server is shut down or closed, and then returns nil.
// The context is the base context of all requests.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	server.http.BaseContext = func(net.Listener) context.Context { return ctx }
	err := server.http.Serve(&trackingListener{Listener: listener, server: server})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// serve handles one request.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	connection := request.Context().Value(connectionKey{}).(*connection)
	connection.beginHandler()
	defer connection.endHandler()
	server.config.Handler.ServeHTTP(writer, request)
}

// SetKeepAlivesEnabled is that of http.Server.
func (server *Server) SetKeepAlivesEnabled(enabled bool) { server.http.SetKeepAlivesEnabled(enabled) }

// Shutdown closes the listener and waits for requests in progress. It returns the context's
// error if that ends before.
func (server *Server) Shutdown(ctx context.Context) error {
	return errors.Trace(server.http.Shutdown(ctx))
}

// Close closes the listener and all connections.
func (server *Server) Close() error { return errors.Trace(server.http.Close()) }

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
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var counts Connections
	for open := range server.connections {
		switch open.currentState() {
		case stateIdle:
			counts.Idle++
		case stateReading:
			counts.Reading++
		case stateServing:
			counts.Serving++
		}
	}
	return counts
}

// A trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (listener *trackingListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return listener.server.add(accepted), nil
}

func (server *Server) add(accepted net.Conn) *connection {
	added := &connection{Conn: accepted, server: server}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.connections[added] = true
	return added
}

func (server *Server) remove(closed *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, closed)
}
