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

	"lacewingspoke.org/lacewingspoke/httpanswer"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
)

const (
	// dialTimeout is far above the round trip between failure domains, about
	// 2 ms, and short enough to try another target before the deadline.
	dialTimeout = 300 * time.Millisecond

	// tcpUserTimeout closes a connection if sent data stays unacknowledged for
	// this long.
	tcpUserTimeout = 3 * time.Second

	// defaultIdleTimeout applies to connections of targets that send no
	// Keep-Alive timeout.
	defaultIdleTimeout = 10 * time.Second

	// headCopies is the number of times that the bytes of a head are held while it is parsed.
	headCopies = 3

	// idleTimeoutFactor is the fraction of the target's Keep-Alive timeout for
	// which an idle connection is reused. Later the target may close the
	// connection while a request is being sent on it.
	idleTimeoutFactor = 0.6

	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 32

	// readBufferBytes is the buffer size of one connection's reader.
	readBufferBytes = 4 << 10

	// maxHeadBytes bounds the status line and header of a response, and the trailer
	// after its body. A target in trouble may send bytes without end.
	maxHeadBytes = 64 << 10

	// maxChunkOverhead is the number of bytes that may arrive for each byte of a
	// chunked body.
	maxChunkOverhead = 3
)

// errAnswerTooLong is returned for a response, or a part of it, that is longer than
// its bound.
var errAnswerTooLong = errors.New("target sent more bytes than a response may have")

// A client sends HTTP/1.1 requests over pooled connections. Unlike
// http.Transport it never resends a request, because the request may have run.
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
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// A call is one request to one target, or to another node.
type call struct {
	address string
	target  string
	method  string

	// message returns the request as it is written. It is called right before that, after
	// the connection is established, so that it can contain the remaining time. After an
	// error nothing is sent.
	message func() (message, error)

	// hold is what the response holds of the bytes of all bodies.
	hold *limit.Hold

	// newConnection requires a new connection. If the target closes a reused
	// connection while a request is being sent, it is unknown whether the
	// request has run.
	newConnection bool
}

// A callError is a failed call. sent is true if the target may have received a
// part of the request.
type callError struct {
	cause error
	sent  bool

	// outcome is what the node reports that should have sent the request to the target,
	// empty if there is none or it has reported nothing.
	outcome relayOutcome
}

// Error returns the message of the cause.
func (failure *callError) Error() string { return failure.cause.Error() }

// Unwrap returns the cause.
func (failure *callError) Unwrap() error { return failure.cause }

// maySent reports whether the target may have received a part of the request.
func maySent(err error) bool {
	var failure *callError
	return !errors.As(err, &failure) || failure.sent
}

// A conn is one connection to a target.
type conn struct {
	net.Conn
	key string

	// answers is the connection with the checks of the answers on it, and reader reads within
	// the budget from it.
	answers *httpanswer.Conn
	reader  *bufio.Reader

	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	idleSince   time.Time

	// opened is true until the connection is returned to the pool for the first time.
	opened bool

	// readBudget is the number of bytes that may still be read for the part of the
	// response that is expected.
	readBudget int64

	// head is the response whose head is read, nil at other times, and headBytes the number
	// of its bytes so far.
	head      *response
	headBytes int64
}

// Read reads from the connection within the budget.
func (connection *conn) Read(buffer []byte) (int, error) {
	if connection.readBudget <= 0 {
		return 0, errAnswerTooLong
	}
	if int64(len(buffer)) > connection.readBudget {
		buffer = buffer[:connection.readBudget]
	}
	count, err := connection.answers.Read(buffer)
	connection.readBudget -= int64(count)
	if connection.head != nil {
		connection.headBytes += int64(count)
		if connection.headBytes > freeBytes && !connection.head.grow(headCopies*connection.headBytes) {
			return count, errNoRoom
		}
	}
	return count, err
}

// Write writes to the connection.
func (connection *conn) Write(data []byte) (int, error) { return connection.answers.Write(data) }

// expectBody allows a body, or a part of one, of up to the given length.
func (response *response) expectBody(length int64) {
	response.conn.readBudget = maxChunkOverhead*length + maxHeadBytes
}

// A response is the response to a call. Its owner must call release or discard.
type response struct {
	client *client
	conn   *conn
	http   *http.Response
	stop   func() bool
	ctx    context.Context

	// idleTimeout is how long the other end of the connection lets it be reused.
	idleTimeout time.Duration

	// hold is that of the call.
	hold *limit.Hold

	// relayed is true if another node has sent the request to the target. finished is
	// called once at the end, and may be nil.
	relayed  bool
	finished func()

	// first is true if the connection to the target has had no other request.
	first bool
}

// untilClose reports whether the body ends with the connection, without a length or chunks.
// For a relayed response the other node has checked that.
func (response *response) untilClose() bool {
	return !response.relayed && response.http.ContentLength < 0 && len(response.http.TransferEncoding) == 0
}

// do sends a call and reads the status and headers of the response within the
// timeout. Its error is a *callError.
func (client *client) do(ctx context.Context, outgoing call, timeout time.Duration) (*response, error) {
	connection, err := client.connect(ctx, outgoing)
	if err != nil {
		return nil, &callError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	response := &response{client: client, conn: connection, stop: stop, ctx: ctx, hold: outgoing.hold, first: connection.opened}
	if err := response.setTimeout(timeout); err != nil {
		response.discard()
		return nil, &callError{cause: err}
	}
	message, err := outgoing.message()
	if err != nil {
		response.discard()
		return nil, &callError{cause: err}
	}
	sent, err := response.roundTrip(outgoing.method, message)
	if err != nil {
		response.discard()
		client.closeIdleAfter(ctx, connection)
		return nil, &callError{cause: err, sent: sent}
	}
	return response, nil
}

// roundTrip sends the request and reads the head of the response. sent is true if the other
// end may have received a part of the request.
func (response *response) roundTrip(method string, request message) (sent bool, err error) {
	connection := response.conn
	connection.answers.Expect()
	written, writeErr := request.write(connection)
	// On a reused connection, what can still be read may be an earlier answer.
	if writeErr != nil && (written == 0 || !connection.opened) {
		return written > 0, errors.Annotate(writeErr, "send request")
	}
	err = response.readHead(method)
	switch {
	case err == nil:
		// The other end may answer, for example refuse, before it has read a long request, and
		// then closes the connection. A body without a length is not whole then, see httpanswer.
		response.http.Close = response.http.Close || writeErr != nil
		return true, nil
	case writeErr != nil:
		return true, errors.Annotate(response.cause(writeErr), "send request")
	default:
		return true, errors.Annotate(response.cause(err), "read response header")
	}
}

// readHead reads the status and headers of the final response and skips the interim ones
// before it. net/http would complete an interim response that is passed on with a 200 and an
// empty body.
func (response *response) readHead(method string) error {
	response.conn.readBudget = maxHeadBytes
	response.conn.head, response.conn.headBytes = response, 0
	defer func() { response.conn.head = nil }()
	for {
		answer, err := http.ReadResponse(response.conn.reader, &http.Request{Method: method})
		if err != nil {
			return response.conn.answers.Cause(err)
		}
		if answer.StatusCode < httpanswer.MinStatus {
			continue
		}
		httpanswer.CheckTrailer(answer)
		response.http = answer
		response.idleTimeout = parseIdleTimeout(answer.Header)
		return nil
	}
}

// setTimeout bounds the time of all reads and writes until it is called again.
func (response *response) setTimeout(timeout time.Duration) error {
	if err := response.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Trace(err)
	}
	// If the context has ended, the call above may have replaced the deadline
	// that cancels reads and writes.
	return errors.Trace(response.ctx.Err())
}

// cause returns the cause of the context's end if it has ended, because the I/O
// error is then only a consequence of it.
func (response *response) cause(err error) error {
	if cause := context.Cause(response.ctx); cause != nil {
		return cause
	}
	return err
}

// release returns the connection to the pool after the body has been read to its
// end. It closes connections that cannot be reused.
func (response *response) release() {
	response.finish()
	if !response.stop() || response.http.Close || response.conn.reader.Buffered() > 0 {
		response.conn.Close()
		return
	}
	response.conn.idleTimeout = response.idleTimeout
	response.client.putIdle(response.conn)
}

// discard resets the connection. That signals the target to cancel the request. Bytes that
// a partition holds up are dropped: after a mere close the system would go on sending them,
// and the target would begin a request that was given up long before.
func (response *response) discard() {
	response.finish()
	response.stop()
	// A connection that cannot be reset is closed.
	_ = response.conn.Conn.(*net.TCPConn).SetLinger(0)
	response.conn.Close()
}

func (response *response) finish() {
	if response.finished != nil {
		response.finished()
		response.finished = nil
	}
}

// parseIdleTimeout returns how long a connection may be idle and still be
// reused, from the Keep-Alive header of a response.
func parseIdleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(float64(seconds) * idleTimeoutFactor * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// A message is a request as it is written. A large body is not copied.
type message struct{ head, body []byte }

// write writes the message and returns the number of bytes that were written.
func (request message) write(writer io.Writer) (int, error) {
	written, err := writer.Write(request.head)
	if err != nil || len(request.body) == 0 {
		return written, err
	}
	count, err := writer.Write(request.body)
	return written + count, err
}

// requestMessage returns an HTTP request.
func requestMessage(method, uri, host string, header http.Header, body []byte) message {
	var buffer bytes.Buffer
	buffer.Grow(min(len(body), freeBytes) + 1024)
	buffer.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// A write to a bytes.Buffer does not fail.
	_ = header.Write(&buffer)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	if len(body) > freeBytes {
		return message{head: buffer.Bytes(), body: body}
	}
	buffer.Write(body)
	return message{head: buffer.Bytes()}
}

// connectionKey identifies the connections to one target at one address. It
// contains the target because an address may be reused by another target.
func connectionKey(address, target string) string { return address + " " + target }

func (client *client) connect(ctx context.Context, outgoing call) (*conn, error) {
	key := connectionKey(outgoing.address, outgoing.target)
	if !outgoing.newConnection {
		if kept := client.takeIdle(key); kept != nil {
			return kept, nil
		}
	}
	opened, err := client.dialer.DialContext(ctx, "tcp", outgoing.address)
	if err != nil {
		client.metrics.dials.WithLabelValues("failed").Inc()
		return nil, errors.Annotate(err, "connect to target")
	}
	client.metrics.dials.WithLabelValues("ok").Inc()
	connection := &conn{Conn: opened, answers: httpanswer.NewConn(opened), key: key, opened: true}
	connection.reader = bufio.NewReaderSize(connection, readBufferBytes)
	return connection, nil
}

// takeIdle removes and returns the most recently used idle connection that can
// be reused, nil if there is none. It closes the idle connections that it skips.
func (client *client) takeIdle(key string) *conn {
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
		if time.Since(last.idleSince) < last.idleTimeout && last.reusable() {
			return last
		}
		last.Close()
	}
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes after the end of the last response would be read as part of the response
// to the next request.
func (connection *conn) reusable() bool {
	raw, err := connection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = received == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// accepts reports whether a target accepts a connection. It opens one as requests do.
func (client *client) accepts(ctx context.Context, address string) bool {
	opened, err := client.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	opened.Close()
	return true
}

func (client *client) putIdle(connection *conn) {
	if err := connection.SetDeadline(time.Time{}); err != nil {
		connection.Close()
		return
	}
	connection.idleSince = time.Now()
	connection.opened = false
	client.mutex.Lock()
	defer client.mutex.Unlock()
	kept := client.idle[connection.key]
	if len(kept) >= maxIdlePerTarget {
		connection.Close()
		return
	}
	client.idle[connection.key] = append(kept, connection)
}

// closeIdleAfter closes the other idle connections to the same target after a reused one has
// failed: the target may have given up all of them, and the retry of the request needs one
// that works. The end of the context says nothing about them.
func (client *client) closeIdleAfter(ctx context.Context, failed *conn) {
	if failed.opened || ctx.Err() != nil {
		return
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.closeIdle(failed.key)
}

// closeIdle closes the idle connections with the key. The caller holds the mutex.
func (client *client) closeIdle(key string) {
	for _, connection := range client.idle[key] {
		connection.Close()
	}
	delete(client.idle, key)
}

// retain closes the idle connections whose key is not in keep.
func (client *client) retain(keep map[string]bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for key := range client.idle {
		if !keep[key] {
			client.closeIdle(key)
		}
	}
}

func (client *client) close() { client.retain(nil) }

// grow makes the response hold count bytes of all bodies, or returns false if the node has no
// room for them.
func (response *response) grow(count int64) bool {
	ctx, cancel := context.WithTimeout(response.ctx, roomWait)
	defer cancel()
	return response.hold.Grow(ctx, count)
}

// readAll reads the body to its end. It returns an errors.QuotaLimitExceeded
// error for a body of more than limit bytes, and errNoRoom if the node has no room for it.
func (response *response) readAll(limit int64) ([]byte, error) {
	response.expectBody(limit)
	body, err := httpserve.ReadWhole(response.http.Body, response.http.ContentLength, limit, response.grow)
	if err != nil {
		return nil, errors.Annotate(response.cause(err), "read response body")
	}
	return body, nil
}
