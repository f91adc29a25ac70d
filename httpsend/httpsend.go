// Package httpsend makes HTTP calls and reports for each failed call whether any
// byte of the request may have been sent.
//
// A call that failed before the first byte was written cannot have had an effect
// and may be retried. Any other failed call may have had one. net/http does not
// distinguish these cases, so the package counts the writes on the connections
// that a call used, and blocks writes after the call has failed.
//
// # Usage
//
//	client := httpsend.New(httpsend.Config{DialTimeout: time.Second})
//	reply, err := client.Do(ctx, httpsend.Request{
//		Method: http.MethodPut, Address: "10.0.0.1:80", Path: "/v1/kv/a",
//		Timeout: time.Second, MaxReplyBytes: 1 << 20,
//	})
//	if err != nil && !httpsend.MayHaveBeenSent(err) {
//		// The server cannot have received any part of the request.
//	}
//
// An open connection may go silent while new ones work. A call with RepeatAfter finds that
// before its timeout, and so do the repeatable calls that wait on other connections to the
// same address.
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

	"lacewingspoke.org/lacewingspoke/httpanswer"
)

// Config is the configuration of a Client.
type Config struct {
	// DialTimeout bounds the setup of a connection. If it is 0, only the timeout
	// of the call applies.
	DialTimeout time.Duration

	// IdlePerAddress is the maximum number of idle connections for each address.
	// 0 means DefaultIdlePerAddress.
	IdlePerAddress int
}

// DefaultIdlePerAddress is the default maximum number of idle connections for
// each address.
const DefaultIdlePerAddress = 4

// idleTimeout is the time after which an idle connection is closed, so that
// connections to replaced VMs do not accumulate.
const idleTimeout = 30 * time.Second

// A Request describes one call.
type Request struct {
	Method string

	// Address is the IP:port of the server.
	Address string
	Path    string
	Query   url.Values
	Body    []byte

	// ContentType is optional.
	ContentType string

	// Header contains additional headers. It may be nil.
	Header http.Header

	// IfNoneMatch is the entity tag of a cached response, or empty.
	IfNoneMatch string

	// Timeout bounds the call until the last byte of the response.
	Timeout time.Duration

	// RepeatAfter is the time after which a call without a first byte of a response is sent a
	// second time, on a new connection; the first response counts. 0 means never. Only calls
	// that may run twice can be repeated.
	RepeatAfter time.Duration

	// RepeatQuery replaces Query in the repetition, unless it is nil.
	RepeatQuery url.Values

	// MaxReplyBytes is the maximum length of the response body. A longer body
	// fails the call.
	MaxReplyBytes int64
}

// A Reply is the response to a Request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte

	// Closes is true if the server closes the connection after the response.
	Closes bool

	// Repeated is true if the repetition of the call was answered and the call, which was
	// overdue, was not.
	Repeated bool
}

// A Client makes calls over persistent connections. It is safe for concurrent
// use.
type Client struct {
	transport *httpanswer.Transport
	conns     *connSet
	silences  *silences

	// fresh opens a connection for each call.
	fresh *httpanswer.Transport
}

// MaxHeadBytes bounds the header of a response. The default of net/http, 10 MB for
// each connection, is too much for a VM with 184 MB.
const MaxHeadBytes = 64 << 10

// New returns a Client with the configuration.
func New(config Config) *Client {
	if config.IdlePerAddress == 0 {
		config.IdlePerAddress = DefaultIdlePerAddress
	}
	dialer := net.Dialer{Timeout: config.DialTimeout}
	conns := newConnSet()
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return conns.add(address, conn), nil
			},
			DisableCompression: true,

			MaxResponseHeaderBytes: MaxHeadBytes,

			MaxIdleConnsPerHost: config.IdlePerAddress,
			IdleConnTimeout:     idleTimeout,
		}
	}
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{conns: conns, silences: newSilences(), transport: httpanswer.NewTransport(newTransport()), fresh: httpanswer.NewTransport(fresh)}
}

// acceptTimeout is far above the round trip between failure domains. The retry of a
// request waits for it.
const acceptTimeout = 100 * time.Millisecond

// Accepts reports whether a process accepts connections at an IP:port now. The end of the
// context does not matter.
func Accepts(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: acceptTimeout}
	connection, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// Do makes one call. It follows no redirects. If the call fails or times out, Do
// closes its connection and the idle connections to the same address, because
// established connections can stall while new ones work.
//
// MayHaveBeenSent reports for the error of Do whether the server can have
// received a part of the request. Do returns an errors.QuotaLimitExceeded error
// for a response longer than MaxReplyBytes and an errors.Timeout error if the
// timeout or the context ended the call.
func (client *Client) Do(ctx context.Context, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	if request.RepeatAfter > 0 {
		return client.doRepeated(ctx, request)
	}
	return client.doOnce(ctx, client.transport, request, &callConns{})
}

func (client *Client) doOnce(ctx context.Context, transport *httpanswer.Transport, request Request, used *callConns) (Reply, error) {
	reply, err := roundTrip(ctx, transport, request, used)
	if err == nil {
		return reply, nil
	}
	sent := used.blockWrites()
	if ctx.Err() != nil {
		err = errors.NewTimeout(err, request.Method+" "+request.Path)
	}
	client.conns.closeIdle(request.Address)
	return Reply{}, &callError{cause: err, sent: sent}
}

// Close closes the idle connections.
func (client *Client) Close() { client.transport.CloseIdleConnections() }

func roundTrip(ctx context.Context, transport *httpanswer.Transport, request Request, used *callConns) (Reply, error) {
	outgoing, err := newRequest(ctx, request, used)
	if err != nil {
		return Reply{}, err
	}
	response, err := transport.RoundTrip(outgoing)
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
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body, Closes: response.Close}, nil
}

func newRequest(ctx context.Context, request Request, used *callConns) (*http.Request, error) {
	target := url.URL{
		Scheme:   "http",
		Host:     request.Address,
		Path:     request.Path,
		RawQuery: request.Query.Encode(),
	}
	trace := &httptrace.ClientTrace{GotConn: used.gotConn, PutIdleConn: used.endLastUse, GotFirstResponseByte: used.gotResponse}
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

// callError is the error that Do returns.
type callError struct {
	cause error

	// sent is true if any byte of the request may have been sent.
	sent bool
}

func (failure *callError) Error() string { return failure.cause.Error() }
func (failure *callError) Unwrap() error { return failure.cause }

// MayHaveBeenSent reports whether the server can have received a part of the request
// for which Do returned err. It returns true for any error that Do did not
// return.
func MayHaveBeenSent(err error) bool {
	var failure *callError
	if errors.As(err, &failure) {
		return failure.sent
	}
	return true
}
