package httpserve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/httpserve"
)

const (
	// waitBound is far above the times that the server guarantees.
	waitBound = 10 * time.Second
	waitTick  = time.Millisecond
)

// A fixture is a server whose handler counts its requests and waits for release, if it is
// not nil.
type fixture struct {
	*httpserve.Server
	test    *testing.T
	address string
	handled atomic.Int64
	release chan struct{}
	ended   chan error
}

func start(test *testing.T) *fixture { return startHandler(test, nil) }

// startHandler returns a fixture with another handler, its own if that is nil.
func startHandler(test *testing.T, handler http.Handler) *fixture {
	return startConfig(test, httpserve.Config{Name: "test", Handler: handler, HeaderTimeout: waitBound, IdleTimeout: waitBound})
}

// startConfig returns a fixture with another configuration. Its handler may be nil.
func startConfig(test *testing.T, config httpserve.Config) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	started := &fixture{test: test, address: listener.Addr().String(), ended: make(chan error, 1)}
	if config.Handler == nil {
		config.Handler = started
	}
	started.Server = httpserve.New(config)
	go func() { started.ended <- started.Serve(context.Background(), listener) }()
	test.Cleanup(func() { _ = started.Close() })
	return started
}

// ServeHTTP answers with the request's body.
func (server *fixture) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	server.handled.Add(1)
	if server.release != nil {
		<-server.release
	}
	_, _ = writer.Write(body)
}

// A caller is one connection to the server.
type caller struct {
	net.Conn
	test   *testing.T
	reader *bufio.Reader
}

func (server *fixture) dial() *caller {
	opened, err := net.Dial("tcp", server.address)
	require.NoError(server.test, err)
	server.test.Cleanup(func() { _ = opened.Close() })
	require.NoError(server.test, opened.SetDeadline(time.Now().Add(waitBound)))
	return &caller{Conn: opened, test: server.test, reader: bufio.NewReader(opened)}
}

// dialKept returns a connection that has had one request.
func (server *fixture) dialKept() *caller {
	kept := server.dial()
	kept.write(request("first"))
	body, closes := kept.answer()
	require.Equal(server.test, "first", body)
	require.False(server.test, closes)
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Idle > 0 && counts.Serving+counts.Reading == 0 })
	return kept
}

func request(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (caller *caller) write(text string) {
	_, err := io.WriteString(caller, text)
	require.NoError(caller.test, err)
}

// answer reads one answer. It returns its body and whether it says that the connection
// closes.
func (caller *caller) answer() (string, bool) {
	answer, err := http.ReadResponse(caller.reader, nil)
	require.NoError(caller.test, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(caller.test, err)
	return string(body), answer.Close
}

// closed reports whether the connection ends without another byte.
func (caller *caller) closed() bool {
	_, err := caller.reader.ReadByte()
	return errors.Is(err, io.EOF)
}

func (server *fixture) awaitCounts(condition func(counts httpserve.Connections) bool) {
	require.Eventually(server.test, func() bool { return condition(server.Connections()) }, waitBound, waitTick)
}

// end calls End and returns a channel with its result.
func (server *fixture) end() <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitBound)
		defer cancel()
		result <- server.End(ctx)
	}()
	return result
}

// Guards against an end that waits for connections without a request, or cuts them before
// their callers were answered in the notice.
func TestIdleConnectionIsServedInTheNoticeAndEndsAfterIt(test *testing.T) {
	server := start(test)
	used, unused := server.dialKept(), server.dialKept()
	server.AnnounceEnd()
	used.write(request("in the notice"))
	body, closes := used.answer()
	assert.Equal(test, "in the notice", body)
	assert.True(test, closes)
	assert.True(test, used.closed())
	require.NoError(test, <-server.end())
	assert.True(test, unused.closed())
	require.NoError(test, <-server.ended)
}

// Guards against a request that is cut because only a part of its head had been read when
// the server ended.
func TestRequestWhoseHeadIsArrivingIsAnswered(test *testing.T) {
	server := start(test)
	kept := server.dialKept()
	text := request("late")
	kept.write(text[:10])
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Reading == 1 })
	result := server.end()
	server.awaitRefused()
	kept.write(text[10:])
	body, closes := kept.answer()
	assert.Equal(test, "late", body)
	assert.True(test, closes)
	require.NoError(test, <-result)
}

// Guards against a request that is cut because its body was still arriving when the server
// ended.
func TestRequestWhoseBodyIsArrivingIsAnswered(test *testing.T) {
	server := start(test)
	kept := server.dialKept()
	text := request("slow body")
	kept.write(text[:len(text)-4])
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == 1 })
	result := server.end()
	server.awaitRefused()
	kept.write(text[len(text)-4:])
	body, _ := kept.answer()
	assert.Equal(test, "slow body", body)
	require.NoError(test, <-result)
}

// awaitRefused waits until the server accepts no connection.
func (server *fixture) awaitRefused() {
	require.Eventually(server.test, func() bool {
		opened, err := net.Dial("tcp", server.address)
		if err == nil {
			_ = opened.Close()
		}
		return err != nil
	}, waitBound, waitTick)
}

// Guards against a handler that is cut when the server ends, and against a kept connection
// that stays open after an answer that began before the notice.
func TestRequestInProgressIsAnswered(test *testing.T) {
	server := start(test)
	server.release = make(chan struct{})
	caller := server.dial()
	caller.write(request("in progress"))
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == 1 })
	result := server.end()
	server.awaitRefused()
	close(server.release)
	body, _ := caller.answer()
	assert.Equal(test, "in progress", body)
	assert.True(test, caller.closed())
	require.NoError(test, <-result)
}

// Guards against new connections that are reset with their first request when the server
// ends, and against an end that waits for those that send none.
func TestNewConnectionMaySendItsFirstRequest(test *testing.T) {
	server := start(test)
	silent := server.dial()
	waiting := server.dial()
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Idle == 2 })
	server.AnnounceEnd()
	result := server.end()
	waiting.write(request("first"))
	body, closes := waiting.answer()
	assert.Equal(test, "first", body)
	assert.True(test, closes)
	assert.True(test, silent.closed())
	require.NoError(test, <-result)
}

// Guards against a second request that is handled although the first answer has said that
// the connection closes.
func TestSecondOfTwoRequestsIsNotHandledAfterTheAnnouncedClose(test *testing.T) {
	server := start(test)
	kept := server.dialKept()
	server.AnnounceEnd()
	kept.write(request("one") + request("two"))
	body, closes := kept.answer()
	assert.Equal(test, "one", body)
	assert.True(test, closes)
	assert.True(test, kept.closed())
	require.NoError(test, <-server.end())
	assert.Equal(test, int64(2), server.handled.Load(), "the first request of the connection and one of the two")
}

// Guards against an end that lasts longer than its context.
func TestEndClosesConnectionsWhenItsContextEnds(test *testing.T) {
	server := start(test)
	server.release = make(chan struct{})
	defer close(server.release)
	caller := server.dial()
	caller.write(request("without end"))
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(test, server.End(ctx), context.DeadlineExceeded)
	assert.True(test, caller.closed())
}

// Guards against requests that are handled and get no answer when many kept connections
// with requests on their way end at once: incident inc1 of issue 34.
func TestHandledRequestsAreAnsweredWhenKeptConnectionsEnd(test *testing.T) {
	const rounds, callers = 40, 32
	unanswered := 0
	for round := range rounds {
		server := start(test)
		server.release = nil
		answers := make(chan int, callers)
		for range callers {
			kept := server.dial()
			go func() {
				count := 0
				for {
					if _, err := io.WriteString(kept, request("x")); err != nil {
						break
					}
					answer, err := http.ReadResponse(kept.reader, nil)
					if err != nil {
						break
					}
					body, err := io.ReadAll(answer.Body)
					if err != nil || strings.TrimSpace(string(body)) != "x" {
						break
					}
					count++
					if answer.Close {
						break
					}
				}
				answers <- count
			}()
		}
		require.Eventually(test, func() bool { return server.handled.Load() > callers }, waitBound, waitTick)
		if round%2 == 0 {
			server.AnnounceEnd()
		}
		require.NoError(test, <-server.end())
		answered := 0
		for range callers {
			answered += <-answers
		}
		unanswered += int(server.handled.Load()) - answered
	}
	assert.Zero(test, unanswered, "requests that were handled and got no answer")
}

// Guards against second requests of connections, read together with the first, whose
// context ends because the server takes the connection for idle.
func TestRequestReadBehindAnotherKeepsItsContext(test *testing.T) {
	const rounds, callers = 10, 64
	for range rounds {
		release := make(chan struct{})
		var cancelled, handled atomic.Int64
		server := startHandler(test, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/one" {
				<-release
				return
			}
			select {
			case <-request.Context().Done():
				cancelled.Add(1)
			case <-time.After(50 * time.Millisecond):
			}
			handled.Add(1)
		}))
		for range callers {
			server.dial().write("GET /one HTTP/1.1\r\nHost: test\r\n\r\nGET /two HTTP/1.1\r\nHost: test\r\n\r\n")
		}
		server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == callers })
		result := server.end()
		server.awaitRefused()
		close(release)
		require.NoError(test, <-result)
		require.Equal(test, int64(callers), handled.Load())
		require.Zero(test, cancelled.Load(), "contexts of second requests that ended")
	}
}

// Guards against a request that is cut because its first part was read together with the
// request before it.
func TestRequestPartlyReadBehindAnotherIsAnswered(test *testing.T) {
	server := start(test)
	server.release = make(chan struct{})
	caller := server.dial()
	second := request("two")
	caller.write(request("one") + second[:10])
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == 1 })
	result := server.end()
	server.awaitRefused()
	close(server.release)
	body, _ := caller.answer()
	assert.Equal(test, "one", body)
	caller.write(second[10:])
	body, closes := caller.answer()
	assert.Equal(test, "two", body)
	assert.True(test, closes)
	require.NoError(test, <-result)
}

// Guards against a server that goes on accepting connections if it ends before it serves.
func TestServeReturnsAfterEnd(test *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	server := httpserve.New(httpserve.Config{Name: "test", Handler: http.NotFoundHandler()})
	test.Cleanup(func() { _ = server.Close() })
	require.NoError(test, server.End(context.Background()))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(context.Background(), listener) }()
	select {
	case err := <-ended:
		require.NoError(test, err)
	case <-time.After(waitBound):
		test.Error("Serve accepts connections after End")
	}
}

// Guards against an end that waits without a limit because another call of End waits too.
func TestTwoCallsOfEndReturn(test *testing.T) {
	server := start(test)
	server.release = make(chan struct{})
	caller := server.dial()
	caller.write(request("in progress"))
	server.awaitCounts(func(counts httpserve.Connections) bool { return counts.Serving == 1 })
	first, second := server.end(), server.end()
	server.awaitRefused()
	close(server.release)
	body, _ := caller.answer()
	assert.Equal(test, "in progress", body)
	require.NoError(test, <-first)
	require.NoError(test, <-second)
}

// A lateListener holds the connections that it accepts until released is closed. It has no
// deadline, so that End does not wait for it.
type lateListener struct {
	net.Listener
	accepted, released chan struct{}
}

// Accept implements net.Listener.
func (listener *lateListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err == nil {
		close(listener.accepted)
		<-listener.released
	}
	return accepted, err
}

// Guards against a connection that is accepted while the server ends: it ended the process
// with a panic when it closed, or stayed open without a limit.
func TestConnectionAcceptedAtTheEndCloses(test *testing.T) {
	for _, timeout := range []time.Duration{0, waitBound} {
		test.Run(fmt.Sprint("header timeout ", timeout), func(test *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(test, err)
			listener := &lateListener{Listener: inner, accepted: make(chan struct{}), released: make(chan struct{})}
			late := &fixture{test: test, address: inner.Addr().String()}
			late.Server = httpserve.New(httpserve.Config{Name: "test", Handler: late, HeaderTimeout: timeout})
			test.Cleanup(func() { _ = late.Close() })
			ended := make(chan error, 1)
			go func() { ended <- late.Serve(context.Background(), listener) }()
			caller := late.dial()
			<-listener.accepted
			require.NoError(test, <-late.end())
			close(listener.released)
			assert.True(test, caller.closed())
			require.NoError(test, <-ended)
			late.awaitCounts(func(counts httpserve.Connections) bool { return counts == httpserve.Connections{} })
		})
	}
}

// Guards against an aborted response that a caller takes for complete: without chunks only a
// reset distinguishes it from one that has ended.
func TestAbortedResponseIsNotComplete(test *testing.T) {
	server := startHandler(test, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, "plank 7")
		_ = http.NewResponseController(writer).Flush()
		httpserve.Abort(writer, request)
	}))
	for version, want := range map[string]error{"HTTP/1.0": syscall.ECONNRESET, "HTTP/1.1": io.ErrUnexpectedEOF} {
		caller := server.dial()
		caller.write("GET / " + version + "\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(caller.reader, nil)
		require.NoError(test, err)
		body, err := io.ReadAll(response.Body)
		require.ErrorIs(test, err, want, version)
		require.Equal(test, "plank 7", string(body))
	}
	require.NoError(test, <-server.end())
}

// Guards against a connection that closes as idle while callers may still use it: the limit
// of the configuration in force is longer than that of the server.
func TestIdleConnectionStaysOpenAsLongAsCallersMayUseIt(test *testing.T) {
	const idleTimeout = 50 * time.Millisecond
	for _, limit := range []time.Duration{0, waitBound} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(test, err)
		server := &fixture{test: test, address: listener.Addr().String(), ended: make(chan error, 1)}
		server.Server = httpserve.New(httpserve.Config{
			Name: "test", Handler: server, IdleTimeout: idleTimeout, IdleLimit: func() time.Duration { return limit },
		})
		go func() { server.ended <- server.Serve(context.Background(), listener) }()
		kept := server.dial()
		kept.write(request("first"))
		_, _ = kept.answer()
		if limit == 0 {
			assert.True(test, kept.closed())
		} else {
			time.Sleep(2 * idleTimeout)
			kept.write(request("second"))
			body, _ := kept.answer()
			assert.Equal(test, "second", body)
		}
		require.NoError(test, <-server.end())
	}
}

// Guards against a refusal that waits for a body which the handler does not read: net/http sends
// it at once if the body is large, or if the caller waits for "100 Continue".
func TestRefusalDoesNotWaitForABody(test *testing.T) {
	server := startHandler(test, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	for _, framing := range []string{"Content-Length: 1000000", "Content-Length: 5\r\nExpect: 100-continue"} {
		caller := server.dial()
		caller.write("POST / HTTP/1.1\r\nHost: test\r\n" + framing + "\r\n\r\n")
		answer, err := http.ReadResponse(caller.reader, nil)
		require.NoError(test, err, framing)
		assert.Equal(test, http.StatusServiceUnavailable, answer.StatusCode, framing)
		assert.True(test, answer.Close, framing)
	}
}

// Guards against a body that makes no progress, read by the handler or discarded after it, that
// ends without being counted.
func TestStalledBodyIsCounted(test *testing.T) {
	for _, reads := range []bool{true, false} {
		server := startConfig(test, httpserve.Config{
			Name: "test", HeaderTimeout: waitBound, IdleTimeout: waitBound, BodyTimeout: 10 * waitTick,
			Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if reads {
					_, err := io.ReadAll(request.Body)
					assert.ErrorIs(test, err, httpserve.ErrBodyStalled)
				}
				writer.WriteHeader(http.StatusRequestTimeout)
			}),
		})
		caller := server.dial()
		caller.write(strings.TrimSuffix(request("body"), "y"))
		answer, err := http.ReadResponse(caller.reader, nil)
		require.NoError(test, err)
		assert.True(test, answer.Close)
		server.awaitCounts(func(counts httpserve.Connections) bool { return counts == httpserve.Connections{} })
		assert.GreaterOrEqual(test, testutil.ToFloat64(server.Collectors()[0]), 1.0)
	}
}
