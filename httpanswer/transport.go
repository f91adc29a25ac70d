package httpanswer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// A Transport is an http.Transport that receives answers over Conns.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that makes its calls with base, which it changes: the
// connections of base are Conns around those that its DialContext has opened. Hooks of
// net/http/httptrace get them, and find the opened one with Inner.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*Conn)
		conn.Expect()
		used.Store(conn)
	}}
	answer, err := transport.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if conn := used.Load(); err != nil && conn != nil {
		return nil, conn.Cause(err)
	}
	if err != nil {
		return nil, err
	}
	CheckTrailer(answer)
	return answer, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (transport *Transport) CloseIdleConnections() { transport.base.CloseIdleConnections() }
