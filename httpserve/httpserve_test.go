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
	"testing"
	"time"

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

func start(test *testing.T) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	started := &fixture{test: test, address: listener.Addr().String(), ended: make(chan error, 1)}
	started.Server = httpserve.New(httpserve.Config{Name: "test", Handler: started, HeaderTimeout: waitBound, IdleTimeout: waitBound})
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

func request(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// end shuts the server down and returns a channel with its result.
func (server *fixture) end() <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitBound)
		defer cancel()
		result <- server.Shutdown(ctx)
	}()
	return result
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
			server.SetKeepAlivesEnabled(false)
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
