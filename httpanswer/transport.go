package httpanswer

import (
	"context"
	"net"
	"net/http"
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
	return transport.base.RoundTrip(request)
}

// CloseIdleConnections closes the connections that no call uses.
func (transport *Transport) CloseIdleConnections() { transport.base.CloseIdleConnections() }
