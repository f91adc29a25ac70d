package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpanswer"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

const (
	// maxEventBytes bounds one event of a generated stream.
	maxEventBytes = 64 << 10

	// readBufferBytes is the size of a stream's read buffer; a typical event
	// takes about 100 bytes.
	readBufferBytes = 4 << 10

	// maxRefusalBytes bounds the part of a refusal's body that is read.
	maxRefusalBytes = 4 << 10

	defaultDialTimeout       = time.Second
	defaultFirstPieceTimeout = 5 * time.Second
	defaultProgressTimeout   = 2 * time.Second
)

var dataPrefix = []byte("data: ")

// GeneratorConfig is the configuration of a Generator. A zero duration means
// its default.
type GeneratorConfig struct {
	// DialTimeout bounds the opening of a connection. The default is 1 s.
	DialTimeout time.Duration

	// FirstPieceTimeout bounds the wait for the first piece, including the time
	// that the request spends in the engine's queue, unless the caller of Generate
	// extends it. The default is 5 s.
	FirstPieceTimeout time.Duration

	// ProgressTimeout bounds the wait between two pieces. A stream without a
	// piece for longer fails. The default is 2 s.
	ProgressTimeout time.Duration

	// Dial opens the connections. The default dials over TCP within
	// DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// A Generator starts and cancels generated streams. It is safe for concurrent
// use.
//
// Every stream opens its own connection. A reused connection may have become
// unresponsive, which would be detected only after a whole timeout, whereas a
// new connection costs one round trip.
type Generator struct {
	transport *httpanswer.Transport
	config    GeneratorConfig
}

// NewGenerator returns a generator.
func NewGenerator(config GeneratorConfig) *Generator {
	config.DialTimeout = durationOr(config.DialTimeout, defaultDialTimeout)
	config.FirstPieceTimeout = durationOr(config.FirstPieceTimeout, defaultFirstPieceTimeout)
	config.ProgressTimeout = durationOr(config.ProgressTimeout, defaultProgressTimeout)
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: config.DialTimeout}).DialContext
	}
	return &Generator{
		config: config,
		transport: httpanswer.NewTransport(&http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: httpsend.MaxHeadBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := config.Dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				sent, _ := ctx.Value(sentKey{}).(*atomic.Bool)
				return &sentConn{Conn: conn, sent: sent}, nil
			},
		}),
	}
}

func durationOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// A RefusedError means that the engine did not run the request, for example
// because it is not rank 0 of the group and epoch or is not ready.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the text of the status and the engine's message.
func (refused *RefusedError) Error() string {
	return "engine refused: " + http.StatusText(refused.Status) + ": " + refused.Message
}

// A StreamError means that a stream ended without its done event.
type StreamError struct {
	// Sent is false when no byte of the request was written.
	Sent bool

	// Stalled is true when the stream ended because no piece arrived within
	// FirstPieceTimeout or ProgressTimeout.
	Stalled bool
	Err     error
}

// Error returns the message of the cause with a prefix.
func (broken *StreamError) Error() string { return "engine stream broken: " + broken.Err.Error() }

// Unwrap returns the cause.
func (broken *StreamError) Unwrap() error { return broken.Err }

var errNoProgress = errors.New("no piece within the progress timeout")

// A Stream is one generated answer. It is not safe for concurrent use.
type Stream struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	progress time.Duration
	ctx      context.Context

	// started is true after the first event, from which on ProgressTimeout
	// applies instead of FirstPieceTimeout.
	started bool
}

// A watchdog cancels a stream without progress.
type watchdog struct {
	mutex  sync.Mutex
	timer  *time.Timer
	cancel context.CancelCauseFunc

	// mayGiveUp is asked before the stream is cancelled, nil for always. first is the time
	// after which it is asked again.
	mayGiveUp func() bool
	first     time.Duration

	// due is when the timer expires, zero while it is stopped. Its goroutine may begin
	// before a stop and run after it.
	due time.Time
}

func newWatchdog(cancel context.CancelCauseFunc, first time.Duration, mayGiveUp func() bool) *watchdog {
	started := &watchdog{cancel: cancel, mayGiveUp: mayGiveUp, first: first, due: time.Now().Add(first)}
	started.mutex.Lock()
	defer started.mutex.Unlock()
	started.timer = time.AfterFunc(first, started.expire)
	return started
}

func (watchdog *watchdog) expire() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.due.IsZero() || time.Now().Before(watchdog.due) {
		return
	}
	if watchdog.mayGiveUp != nil && !watchdog.mayGiveUp() {
		watchdog.start(watchdog.first)
		return
	}
	watchdog.cancel(errNoProgress)
}

// stop stops the watchdog until it is reset. From then on it asks nothing.
func (watchdog *watchdog) stop() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.mayGiveUp = nil
	watchdog.due = time.Time{}
	watchdog.timer.Stop()
}

func (watchdog *watchdog) reset(timeout time.Duration) {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.start(timeout)
}

// start starts the timer. The caller holds the mutex.
func (watchdog *watchdog) start(timeout time.Duration) {
	watchdog.due = time.Now().Add(timeout)
	watchdog.timer.Reset(timeout)
}

// Generate starts a stream at address, which has the form IP:port. Its error is
// a *RefusedError or a *StreamError. The request's MaxTokens counts all pieces
// of the answer, including those before ResumeIndex. The stream must be closed
// with Close.
//
// mayGiveUp is called from another goroutine each time that FirstPieceTimeout has passed
// without a piece, and reports whether the stream fails then. Nil stands for true.
func (generator *Generator) Generate(ctx context.Context, address string, request Generate, mayGiveUp func() bool) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &StreamError{Err: errors.Trace(err)}
	}
	sent := &atomic.Bool{}
	streamCtx, cancel := context.WithCancelCause(context.WithValue(ctx, sentKey{}, sent))
	watchdog := newWatchdog(cancel, generator.config.FirstPieceTimeout, mayGiveUp)
	response, err := generator.post(streamCtx, address, "/v1/generate", body)
	if err != nil {
		watchdog.stop()
		broken := streamError(streamCtx, sent.Load(), err)
		cancel(nil)
		return nil, broken
	}
	if response.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer watchdog.stop()
		return nil, refusal(streamCtx, response)
	}
	return &Stream{
		body:     response.Body,
		reader:   bufio.NewReaderSize(response.Body, readBufferBytes),
		cancel:   cancel,
		watchdog: watchdog,
		progress: generator.config.ProgressTimeout,
		ctx:      streamCtx,
	}, nil
}

// Cancel requests that the engine at address stop an attempt.
func (generator *Generator) Cancel(ctx context.Context, address, attempt string) error {
	body, err := json.Marshal(Cancel{Attempt: attempt})
	if err != nil {
		return errors.Trace(err)
	}
	response, err := generator.post(ctx, address, "/v1/cancel", body)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("cancel attempt at engine %s: status %d", address, response.StatusCode)
	}
	return nil
}

func (generator *Generator) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	// RoundTrip, unlike http.Client, follows no redirect: only the addressed
	// engine may respond.
	return generator.transport.RoundTrip(request)
}

// refusal converts a response that is not a stream into an error. It returns a
// *RefusedError only for statuses with which the engine reports that it did not
// run the request.
func refusal(ctx context.Context, response *http.Response) error {
	defer response.Body.Close()
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	switch response.StatusCode {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return &RefusedError{Status: response.StatusCode, Message: string(message)}
	default:
		err := errors.Errorf("status %d: %s", response.StatusCode, message)
		return streamError(ctx, true, err)
	}
}

func streamError(ctx context.Context, sent bool, err error) *StreamError {
	return &StreamError{Sent: sent, Stalled: context.Cause(ctx) == errNoProgress, Err: err}
}

// Next returns the next event. Its error is a *StreamError. The progress
// timeout runs only inside Next, because time that the owner spends writing to
// a slow caller is no delay of the engine.
func (stream *Stream) Next() (Piece, error) {
	if stream.started {
		stream.watchdog.reset(stream.progress)
	}
	for {
		line, err := stream.readLine()
		if err != nil {
			return Piece{}, stream.broken(err)
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !isData {
			continue
		}
		stream.watchdog.stop()
		stream.started = true
		var piece Piece
		if err := json.Unmarshal(data, &piece); err != nil {
			return Piece{}, stream.broken(errors.Annotate(err, "event"))
		}
		return piece, nil
	}
}

// readLine returns the next line, which is valid until the next read. It fails
// when the line is longer than maxEventBytes.
func (stream *Stream) readLine() ([]byte, error) {
	line, err := stream.reader.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	var long []byte
	for err == bufio.ErrBufferFull {
		long = append(long, line...)
		if len(long) > maxEventBytes {
			return nil, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		line, err = stream.reader.ReadSlice('\n')
	}
	return append(long, line...), err
}

// EventBuffered reports whether a whole event is buffered that Next has not returned
// yet, so that the owner can write several pieces at once.
func (stream *Stream) EventBuffered() bool {
	waiting, err := stream.reader.Peek(stream.reader.Buffered())
	if err != nil {
		return false
	}
	start := bytes.Index(waiting, dataPrefix)
	return start >= 0 && bytes.IndexByte(waiting[start:], '\n') >= 0
}

// Close ends the stream and closes its connection.
func (stream *Stream) Close() {
	stream.watchdog.stop()
	stream.cancel(nil)
	stream.body.Close()
}

func (stream *Stream) broken(err error) error {
	return streamError(stream.ctx, true, err)
}

// sentKey is the context key of the flag that a sentConn sets.
type sentKey struct{}

// A sentConn sets a flag when a byte of the request may have been written.
type sentConn struct {
	net.Conn
	sent *atomic.Bool
}

// Write sets the flag before it writes the first byte.
func (conn *sentConn) Write(data []byte) (int, error) {
	if conn.sent != nil {
		conn.sent.Store(true)
	}
	return conn.Conn.Write(data)
}
