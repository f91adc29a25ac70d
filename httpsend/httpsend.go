// Package httpsend makes HTTP calls of which the caller learns whether any
// byte of the request can have been sent.
//
// A call that failed before the first byte was written cannot have had an
// effect and may be made again; any other failed call may have had one.
// net/http does not report this, so the package counts writes on the
// connection that the call used and blocks later ones.
//
// # Usage
//
//	caller := httpsend.New(httpsend.Config{DialTimeout: time.Second})
//	reply, err := caller.Do(ctx, httpsend.Request{
//		Method: http.MethodPut, Address: "10.0.0.1:80", Path: "/v1/kv/a",
//		Timeout: time.Second, MaxReplyBytes: 1 << 20,
//	})
//	if err != nil && !httpsend.MayBeSent(err) {
//		// The other side cannot have seen the request.
//	}
package httpsend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// Config is the configuration of a Caller.
type Config struct {
	// DialTimeout bounds the connection setup; 0 leaves it to the call's
	// timeout.
	DialTimeout time.Duration

	// IdlePerAddress is how many idle connections are kept for each address; 0
	// means DefaultIdlePerAddress.
	IdlePerAddress int
}

// DefaultIdlePerAddress is the number of idle connections kept for an address.
const DefaultIdlePerAddress = 4

// idleTimeout closes a connection that was not used, so that connections to
// replaced VMs do not pile up.
const idleTimeout = 30 * time.Second

// A Request is one call.
type Request struct {
	Method string

	// Address is IP:port.
	Address string
	Path    string
	Query   url.Values
	Body    []byte

	// ContentType is optional.
	ContentType string

	// Header holds further headers; it may be nil.
	Header http.Header

	// IfNoneMatch is the entity tag of a known reply; empty for none.
	IfNoneMatch string

	// Timeout bounds the call up to the last byte of the reply.
	Timeout time.Duration

	// MaxReplyBytes bounds the body of the reply; a larger one is an error.
	MaxReplyBytes int64
}

// A Reply is the answer to a Request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// A Caller makes calls over kept connections. Its methods may be called from
// any goroutine.
type Caller struct {
	transport *http.Transport
	conns     *connSet
}

// New returns a caller.
func New(config Config) *Caller {
	if config.IdlePerAddress == 0 {
		config.IdlePerAddress = DefaultIdlePerAddress
	}
	dialer := net.Dialer{Timeout: config.DialTimeout}
	conns := newConnSet()
	return &Caller{conns: conns, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conns.add(address, conn), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: config.IdlePerAddress,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Do makes one call. Redirects are not followed. A call that fails or times
// out closes its connection and the idle ones to the same address, because
// connections can go silent while new ones work.
//
// The error says through MayBeSent whether the other side can have seen a part
// of the request. A reply that is too large is an errors.QuotaLimitExceeded
// error, a timeout an errors.Timeout error.
func (caller *Caller) Do(ctx context.Context, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	usage := &connUsage{}
	reply, err := caller.roundTrip(ctx, request, usage)
	if err == nil {
		return reply, nil
	}
	sent := usage.stop()
	if ctx.Err() != nil {
		err = errors.NewTimeout(err, request.Method+" "+request.Path)
	}
	caller.conns.closeIdle(request.Address)
	return Reply{}, &callError{cause: err, sent: sent}
}

// Close closes the idle connections.
func (caller *Caller) Close() { caller.transport.CloseIdleConnections() }

func (caller *Caller) roundTrip(ctx context.Context, request Request, usage *connUsage) (Reply, error) {
	outgoing, err := newRequest(ctx, request, usage)
	if err != nil {
		return Reply{}, err
	}
	response, err := caller.transport.RoundTrip(outgoing)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, request.MaxReplyBytes+1))
	if err != nil {
		return Reply{}, err
	}
	if int64(len(body)) > request.MaxReplyBytes {
		return Reply{}, errors.QuotaLimitExceededf("reply of more than %d bytes", request.MaxReplyBytes)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func newRequest(ctx context.Context, request Request, usage *connUsage) (*http.Request, error) {
	target := url.URL{
		Scheme:   "http",
		Host:     request.Address,
		Path:     request.Path,
		RawQuery: request.Query.Encode(),
	}
	trace := &httptrace.ClientTrace{GotConn: usage.gotConn, PutIdleConn: usage.putIdle}
	ctx = httptrace.WithClientTrace(ctx, trace)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target.String(), bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send a body a second time.
	outgoing.GetBody = nil
	for name, values := range request.Header {
		outgoing.Header[name] = values
	}
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	if request.IfNoneMatch != "" {
		outgoing.Header.Set("If-None-Match", request.IfNoneMatch)
	}
	return outgoing, nil
}

// callError is the error of a call.
type callError struct {
	cause error
	sent  bool
}

func (failure *callError) Error() string { return failure.cause.Error() }
func (failure *callError) Unwrap() error { return failure.cause }

// MayBeSent reports whether the other side can have seen a part of the request
// whose Do returned err. It is true for an error of another kind.
func MayBeSent(err error) bool {
	var failure *callError
	if errors.As(err, &failure) {
		return failure.sent
	}
	return true
}
