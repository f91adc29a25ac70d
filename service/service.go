// Package service is the HTTP client that sends requests to plain services and
// reads the reports of their runners.
//
// Do never sends a request twice. It prevents the automatic retry of net/http,
// which repeats a request on a new connection when an idle connection turns out
// to be closed; that is safe only for a request without effects. A request that
// must not run twice uses a new connection of its own. A request counts as not
// run only if no byte of it can have been written, or if the service refused it
// with status 429 or 503.
//
// # Usage
//
//	client := service.New(service.Config{})
//	defer client.Close()
//	result := client.Do(ctx, service.Request{
//		Address: "10.0.0.7:8080",
//		Method:  "POST",
//		URI:     "/bookings",
//		Body:    body,
//		Once:    true,
//	})
//	switch result := result.Attempt.Outcome().(type) {
//	…
//	}
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpanswer"
	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/outcome"
)

const (
	defaultDialTimeout    = time.Second
	defaultMaxAnswerBytes = 4 << 20
	idleTimeout           = 30 * time.Second
	maxIdlePerRunner      = 16
)

// Config is the configuration of a Client. Zero fields take their defaults.
type Config struct {
	// DialTimeout bounds the setup of a connection. The default is 1 s.
	DialTimeout time.Duration

	// MaxAnswerBytes is the maximum length of a response body. The default is
	// 4 MiB.
	MaxAnswerBytes int64

	// Dial opens connections. The default dials over TCP with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// A Client sends requests to plain services. It is safe for concurrent use.
type Client struct {
	config    Config
	singleUse *httpanswer.Transport
	keepAlive *httpanswer.Transport
}

// New returns a client with the configuration.
func New(config Config) *Client {
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: config.DialTimeout}).DialContext
	}
	client := &Client{config: config}
	client.singleUse = client.newTransport(true)
	client.keepAlive = client.newTransport(false)
	return client
}

func (client *Client) newTransport(singleUse bool) *httpanswer.Transport {
	return httpanswer.NewTransport(&http.Transport{
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerRunner,
		MaxResponseHeaderBytes: httpsend.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := client.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
	})
}

// Close closes idle connections.
func (client *Client) Close() {
	client.singleUse.CloseIdleConnections()
	client.keepAlive.CloseIdleConnections()
}

// A Request describes one attempt to send a request to a service.
type Request struct {
	// Attempt is the id of the attempt.
	Attempt string

	// Address is the IP:port of the service runner.
	Address string
	Method  string

	// URI is the escaped path with its query.
	URI    string
	Header http.Header
	Body   []byte

	// Once is true for a request that must not run twice. It is sent on a new
	// connection that is closed afterwards.
	Once bool
}

// A Result is the result of an attempt.
type Result struct {
	Attempt outcome.Attempt

	// Status is the HTTP status, or 0 if no complete response arrived.
	Status int
	Header http.Header
	Body   []byte
}

// Do makes one attempt. It follows no redirects and never sends the request
// twice.
func (client *Client) Do(ctx context.Context, request Request) Result {
	attempt := outcome.NewAttempt(request.Attempt)
	tracker := &writeTracker{}
	prepared, err := client.prepare(httptrace.WithClientTrace(ctx, tracker.trace()), request)
	if err != nil {
		return Result{Attempt: attempt.Apply(outcome.Broken{Reason: err.Error()})}
	}
	transport := client.keepAlive
	if request.Once {
		transport = client.singleUse
	}
	response, err := transport.RoundTrip(prepared)
	if tracker.written() {
		attempt = attempt.Apply(outcome.Sent{})
	}
	if err != nil {
		return client.failedResult(ctx, attempt, err)
	}
	defer response.Body.Close()
	body, err := client.readBody(response)
	if err != nil {
		return client.failedResult(ctx, attempt, err)
	}
	attempt = attempt.Apply(classify(response))
	return Result{Attempt: attempt, Status: response.StatusCode, Header: response.Header, Body: body}
}

func (client *Client) prepare(ctx context.Context, request Request) (*http.Request, error) {
	// net/http never resends a body without GetBody, even if it is empty, so the
	// reader type that would give GetBody is hidden. A request on a new
	// connection is not retried, so an empty body needs no such guard there.
	var body io.Reader = struct{ io.Reader }{bytes.NewReader(request.Body)}
	if request.Once && len(request.Body) == 0 {
		body = http.NoBody
	}
	prepared, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.URI, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	prepared.ContentLength = int64(len(request.Body))
	for name, values := range request.Header {
		prepared.Header[name] = append([]string(nil), values...)
	}
	return prepared, nil
}

func (client *Client) readBody(response *http.Response) ([]byte, error) {
	limit := client.config.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "answer")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer is longer than %s bytes", strconv.FormatInt(limit, 10))
	}
	return body, nil
}

func (client *Client) failedResult(ctx context.Context, attempt outcome.Attempt, err error) Result {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return Result{Attempt: attempt.Apply(outcome.Broken{Reason: err.Error(), TimedOut: timedOut})}
}

// classify returns the event for a complete response. Status 429 and 503 mean
// that the service did not run the request. Status 502 and 504 come from a
// gateway that cannot tell whether the request ran.
func classify(response *http.Response) outcome.Event {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return outcome.Refused{Reason: "service refused: " + response.Status}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return outcome.Broken{Reason: "service answered " + response.Status}
	default:
		return outcome.Answered{}
	}
}

// writeTracker records whether any byte may have been written to the connections
// that a request used.
type writeTracker struct{ sent atomic.Bool }

func (tracker *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			info.Conn.(*httpanswer.Conn).Inner().(*trackedConn).tracker.Store(tracker)
		},
	}
}

func (tracker *writeTracker) written() bool { return tracker.sent.Load() }

// A trackedConn reports writes to the tracker of the request that uses it.
type trackedConn struct {
	net.Conn
	tracker atomic.Pointer[writeTracker]
}

// Write informs the tracker before the first byte is written.
func (conn *trackedConn) Write(data []byte) (int, error) {
	if tracker := conn.tracker.Load(); tracker != nil {
		tracker.sent.Store(true)
	}
	return conn.Conn.Write(data)
}
