// Package service is the client for plain services.
//
// A request that must not run twice uses a connection of its own, and nothing
// is sent twice behind the caller's back: net/http repeats a request on a new
// connection when a kept connection turns out to be closed, which is safe
// only for a request without effects. A request counts as not run only when
// no byte of it can have been written, or when the service itself refused it
// with 429 or 503.
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

	"lacewingspoke.org/lacewingspoke/outcome"
)

const (
	defaultDialTimeout    = time.Second
	defaultMaxAnswerBytes = 4 << 20
	idleTimeout           = 30 * time.Second
	maxIdlePerService     = 16
)

// Config holds the bounds of a Client. A zero value takes its default.
type Config struct {
	// DialTimeout bounds the connection, default 1 s.
	DialTimeout time.Duration

	// MaxAnswerBytes bounds the body of an answer, default 4 MiB.
	MaxAnswerBytes int64

	// Dial opens the connections, by default over TCP within DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// A Client sends requests to plain services. It is safe for concurrent use.
type Client struct {
	config Config
	once   *http.Transport
	kept   *http.Transport
}

// New returns a client.
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
	client.once = client.transport()
	client.once.DisableKeepAlives = true
	client.kept = client.transport()
	return client
}

func (client *Client) transport() *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerService,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := client.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &recordingConn{Conn: conn}, nil
		},
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.once.CloseIdleConnections()
	client.kept.CloseIdleConnections()
}

// A Request is one attempt.
type Request struct {
	// Attempt is the attempt's id.
	Attempt string

	// Address is IP:port.
	Address string
	Method  string

	// URI is the escaped path with its query.
	URI    string
	Header http.Header
	Body   []byte

	// Once is true for a request that must not run twice.
	Once bool
}

// A Result is what is known after an attempt.
type Result struct {
	Attempt outcome.Attempt

	// Status is 0 when no whole answer arrived.
	Status int
	Header http.Header
	Body   []byte
}

// Do makes one attempt. It never sends the request twice.
func (client *Client) Do(ctx context.Context, request Request) Result {
	attempt := outcome.NewAttempt(request.Attempt)
	marks := &writeMarks{}
	prepared, err := client.prepare(httptrace.WithClientTrace(ctx, marks.trace()), request)
	if err != nil {
		return Result{Attempt: attempt.Apply(outcome.Broken{Reason: err.Error()})}
	}
	transport := client.kept
	if request.Once {
		transport = client.once
	}
	response, err := transport.RoundTrip(prepared)
	if marks.written() {
		attempt = attempt.Apply(outcome.Sent{})
	}
	if err != nil {
		return client.broken(ctx, attempt, err)
	}
	defer response.Body.Close()
	body, err := client.read(response)
	if err != nil {
		return client.broken(ctx, attempt, err)
	}
	attempt = attempt.Apply(judge(response))
	return Result{Attempt: attempt, Status: response.StatusCode, Header: response.Header, Body: body}
}

func (client *Client) prepare(ctx context.Context, request Request) (*http.Request, error) {
	// A body without GetBody is never sent a second time by net/http, not even
	// when it is empty. A new connection is not retried, so that an empty body
	// needs no such guard there.
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

func (client *Client) read(response *http.Response) ([]byte, error) {
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

func (client *Client) broken(ctx context.Context, attempt outcome.Attempt, err error) Result {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return Result{Attempt: attempt.Apply(outcome.Broken{Reason: err.Error(), TimedOut: timedOut})}
}

// judge classifies the service's response. 429 and 503 say that it did not take the
// request; 502 and 504 say that it does not know.
func judge(response *http.Response) outcome.Event {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return outcome.Refused{Reason: "service refused: " + response.Status}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return outcome.Broken{Reason: "service answered " + response.Status}
	default:
		return outcome.Answered{}
	}
}

// writeMarks collects whether any connection that served a request had a byte
// written to it.
type writeMarks struct{ sent atomic.Bool }

func (marks *writeMarks) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, recorded := info.Conn.(*recordingConn)
			if !recorded {
				marks.sent.Store(true)
				return
			}
			conn.owner.Store(marks)
		},
	}
}

func (marks *writeMarks) written() bool { return marks.sent.Load() }

// A recordingConn reports writes to the request that owns it.
type recordingConn struct {
	net.Conn
	owner atomic.Pointer[writeMarks]
}

// Write sets the owner's mark before the first byte leaves.
func (conn *recordingConn) Write(data []byte) (int, error) {
	if marks := conn.owner.Load(); marks != nil {
		marks.sent.Store(true)
	}
	return conn.Conn.Write(data)
}
