package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is far above the round trip between failure domains, about
	// 2 ms, and short enough to try another target in time.
	dialTimeout = 300 * time.Millisecond

	// userTimeout ends a connection whose peer acknowledges nothing.
	userTimeout = 3 * time.Second

	// idleDefault is how long a connection is kept whose target names no time.
	idleDefault = 10 * time.Second

	// idleMargin is the part of a target's own idle time after which a
	// connection is not used any more: the target may close it meanwhile.
	idleMargin = 0.6

	// idlePerTarget bounds the kept connections to one target.
	idlePerTarget = 32

	// readBufferBytes is the memory of one connection's reader.
	readBufferBytes = 4 << 10
)

// A client sends requests over kept connections and never sends one twice.
type client struct {
	dialer  net.Dialer
	metrics *metrics

	mutex sync.Mutex
	idle  map[string][]*conn
}

func newClient(metrics *metrics) *client {
	return &client{
		metrics: metrics,
		idle:    map[string][]*conn{},
		dialer:  net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAlive: -1},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// A call is one request to one target.
type call struct {
	address string
	target  string
	method  string
	uri     string
	host    string
	header  http.Header
	body    []byte

	// fresh asks for a new connection: whether a request on a kept one that
	// turns out to be closed has run cannot be known.
	fresh bool
}

// A callError says whether the target can have seen a part of the request.
type callError struct {
	cause error
	sent  bool
}

// Error returns the cause.
func (failure *callError) Error() string { return failure.cause.Error() }

// Unwrap returns the cause.
func (failure *callError) Unwrap() error { return failure.cause }

// maySent reports whether the target can have seen a part of the request.
func maySent(err error) bool {
	var failure *callError
	return !errors.As(err, &failure) || failure.sent
}

// A conn is one connection to a target.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader

	// keep is how long the connection may stay idle.
	keep   time.Duration
	idleAt time.Time
}

// A response is the answer to a call. Its owner calls finish.
type response struct {
	client *client
	conn   *conn
	answer *http.Response
	stop   func() bool
	ctx    context.Context
}

// do sends a call and reads the head of the answer within patience. Its error
// is a *callError.
func (client *client) do(ctx context.Context, outgoing call, patience time.Duration) (*response, error) {
	connection, err := client.connect(ctx, outgoing)
	if err != nil {
		return nil, &callError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	response := &response{client: client, conn: connection, stop: stop, ctx: ctx}
	if err := response.wait(patience); err != nil {
		response.discard()
		return nil, &callError{cause: err}
	}
	if written, err := connection.Write(outgoing.bytes()); err != nil {
		response.discard()
		return nil, &callError{cause: errors.Annotate(err, "write"), sent: written > 0}
	}
	answer, err := http.ReadResponse(connection.reader, &http.Request{Method: outgoing.method})
	if err != nil {
		response.discard()
		return nil, &callError{cause: errors.Annotate(response.cause(err), "answer"), sent: true}
	}
	response.answer = answer
	return response, nil
}

// wait bounds the next reads and writes.
func (response *response) wait(patience time.Duration) error {
	if err := response.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return errors.Trace(err)
	}
	// The end of the context may have set an earlier deadline before.
	return errors.Trace(response.ctx.Err())
}

// cause prefers the end of the context to the error that it led to.
func (response *response) cause(err error) error {
	if cause := context.Cause(response.ctx); cause != nil {
		return cause
	}
	return err
}

// finish keeps the connection after a whole answer.
func (response *response) finish() {
	if !response.stop() || response.answer.Close || response.conn.reader.Buffered() > 0 {
		response.conn.Close()
		return
	}
	response.conn.keep = keepTime(response.answer.Header)
	response.client.put(response.conn)
}

// discard closes the connection, by which the target learns that the answer is
// not wanted any more.
func (response *response) discard() {
	response.stop()
	response.conn.Close()
}

// keepTime returns how long a connection may stay idle.
func keepTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(float64(seconds) * idleMargin * float64(time.Second))
		}
	}
	return idleDefault
}

func (outgoing call) bytes() []byte {
	var buffer bytes.Buffer
	buffer.Grow(len(outgoing.body) + 1024)
	buffer.WriteString(outgoing.method + " " + outgoing.uri + " HTTP/1.1\r\nHost: " + outgoing.host + "\r\n")
	// A write to a buffer does not fail.
	_ = outgoing.header.Write(&buffer)
	if len(outgoing.body) > 0 || outgoing.method == http.MethodPost || outgoing.method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(outgoing.body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(outgoing.body)
	return buffer.Bytes()
}

// connectionKey names the connections to one target at one address, which may
// be another target's later.
func connectionKey(address, target string) string { return address + " " + target }

func (client *client) connect(ctx context.Context, outgoing call) (*conn, error) {
	key := connectionKey(outgoing.address, outgoing.target)
	if !outgoing.fresh {
		if kept := client.take(key); kept != nil {
			return kept, nil
		}
	}
	opened, err := client.dialer.DialContext(ctx, "tcp", outgoing.address)
	if err != nil {
		client.metrics.dials.WithLabelValues("failed").Inc()
		return nil, errors.Annotate(err, "connect")
	}
	client.metrics.dials.WithLabelValues("ok").Inc()
	return &conn{Conn: opened, key: key, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// take returns the connection that was used last and is still open.
func (client *client) take(key string) *conn {
	for {
		client.mutex.Lock()
		kept := client.idle[key]
		if len(kept) == 0 {
			client.mutex.Unlock()
			return nil
		}
		last := kept[len(kept)-1]
		client.idle[key] = kept[:len(kept)-1]
		client.mutex.Unlock()
		if time.Since(last.idleAt) < last.keep && last.quiet() {
			return last
		}
		last.Close()
	}
}

// quiet reports whether a kept connection is open and holds no byte: bytes that
// arrived after the last answer belong to no request.
func (connection *conn) quiet() bool {
	raw, err := connection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = received == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (client *client) put(connection *conn) {
	if err := connection.SetDeadline(time.Time{}); err != nil {
		connection.Close()
		return
	}
	connection.idleAt = time.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	kept := client.idle[connection.key]
	if len(kept) >= idlePerTarget {
		connection.Close()
		return
	}
	client.idle[connection.key] = append(kept, connection)
}

// retain closes the kept connections to targets that keep does not contain.
func (client *client) retain(keep map[string]bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for key, kept := range client.idle {
		if keep[key] {
			continue
		}
		for _, connection := range kept {
			connection.Close()
		}
		delete(client.idle, key)
	}
}

func (client *client) close() { client.retain(nil) }

// readAll reads a whole body of at most limit bytes.
func (response *response) readAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.answer.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(response.cause(err), "body")
	}
	if int64(len(body)) > limit {
		return nil, errors.QuotaLimitExceededf("answer of more than %d bytes", limit)
	}
	return body, nil
}
