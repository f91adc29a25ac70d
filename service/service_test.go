package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A scriptedService sends the next of its answers to each request. It closes the
// connection without a response if that answer is empty, and after the last one.
type scriptedService struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	ended       chan struct{}
}

func newScriptedService(t *testing.T, answers ...string) *scriptedService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	scripted := &scriptedService{listener: listener, ended: make(chan struct{})}
	go func() {
		defer close(scripted.ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			scripted.connections.Add(1)
			scripted.serve(conn, answers)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-scripted.ended
	})
	return scripted
}

func (scripted *scriptedService) serve(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		number := int(scripted.requests.Add(1)) - 1
		if number >= len(answers) || answers[number] == "" {
			return
		}
		_, _ = io.WriteString(conn, answers[number])
		if number == len(answers)-1 {
			return
		}
	}
}

func (scripted *scriptedService) do(client *service.Client, method string, once bool, body string) service.Result {
	return doAt(client, scripted.listener.Addr().String(), method, once, body)
}

// doAt sends a request to a service at an address.
func doAt(client *service.Client, address, method string, once bool, body string) service.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, service.Request{
		Attempt: "a", Address: address, Method: method, URI: "/x", Body: []byte(body), Once: once,
		Header: http.Header{"Idempotency-Key": {"k"}},
	})
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against the automatic retries of net/http: a request on an idle
// connection that the service closes without a response is sent only once, and
// a request that must run once uses a new connection.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		scripted := newScriptedService(t, okAnswer, "", okAnswer)
		client := service.New(service.Config{})
		require.Equal(t, "ok", string(scripted.do(client, method, false, "").Body))
		require.IsType(t, outcome.Unknown{}, scripted.do(client, method, false, "").Attempt.Outcome())
		require.EqualValues(t, 2, scripted.requests.Load())
		require.EqualValues(t, 1, scripted.connections.Load())
		client.Close()
	}
	scripted := newScriptedService(t, okAnswer, okAnswer)
	client := service.New(service.Config{})
	defer client.Close()
	for range 2 {
		require.Equal(t, "ok", string(scripted.do(client, http.MethodPost, true, "b").Body))
	}
	require.EqualValues(t, 2, scripted.connections.Load())
}

// Guards against reporting a request as not run although it may have run.
func TestOutcomeOfFailedAndCompleteAttempts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	client := service.New(service.Config{MaxAnswerBytes: 8})
	defer client.Close()
	result := client.Do(context.Background(), service.Request{Address: closed.Addr().String(), Method: "POST", URI: "/", Once: true})
	require.IsType(t, outcome.NotRun{}, result.Attempt.Outcome())
	cases := map[string]outcome.Outcome{
		"":       outcome.Unknown{},
		okAnswer: outcome.Complete{},
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok":                               outcome.Unknown{},
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + "123456789":                   outcome.Unknown{},
		"HTTP/1.1 307 Temporary Redirect\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n": outcome.Complete{},
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n":              outcome.Complete{},
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":                outcome.NotRun{},
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n":                        outcome.Unknown{},
	}
	for answer, want := range cases {
		for _, once := range []bool{false, true} {
			scripted := newScriptedService(t, answer)
			got := scripted.do(client, http.MethodPost, once, strings.Repeat("b", 10))
			require.IsType(t, want, got.Attempt.Outcome(), answer)
			require.EqualValues(t, 1, scripted.requests.Load())
			client.Close()
		}
	}
}
