package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

func testClient(t *testing.T) *Client {
	client := New(Config{})
	t.Cleanup(client.Close)
	return client
}

// Guards against reporting a request as possibly sent when the server refused
// the connection.
func TestNotSentWhenConnectionIsRefused(t *testing.T) {
	client := testClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = client.Do(t.Context(), Request{Method: "PUT", Address: listener.Addr().String(), Timeout: testTimeout})
	require.Error(t, err)
	assert.False(t, MayHaveBeenSent(err))
	assert.True(t, MayHaveBeenSent(errors.New("error that Do did not return")))
}

// Guards against reporting a request as not sent when only a part of it was
// written before the failure. The transport never reports such a request as
// written.
func TestPartlyWrittenRequestMayHaveBeenSent(t *testing.T) {
	client := testClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer conn.Close()
		_, err = bufio.NewReader(conn).ReadByte()
		cancel()
		accepted <- err
	}()
	_, err = client.Do(ctx, Request{
		Method: "PUT", Address: listener.Addr().String(), Body: make([]byte, 64<<20), Timeout: testTimeout,
	})
	require.NoError(t, <-accepted)
	require.Error(t, err)
	assert.True(t, MayHaveBeenSent(err))
	assert.ErrorIs(t, err, errors.Timeout)
}

// Guards against a write after the call has failed, when Do has already reported
// that the request was not sent.
func TestWriteAfterFailureIsBlocked(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := newConnSet().add("address", client)
	use := conn.beginUse()
	assert.False(t, conn.blockWrites(use))
	_, err := conn.Write([]byte("late"))
	assert.Error(t, err)
}

// Guards against a call that waits on a stalled idle connection. When one
// connection to an address stalls, the idle ones to it may be stalled as well.
func TestStalledCallClosesIdleConnections(t *testing.T) {
	client := testClient(t)
	stalled := make(chan struct{})
	var both sync.WaitGroup
	both.Add(2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/kept" {
			return
		}
		// Each call waits for the other, so that each uses its own connection.
		both.Done()
		both.Wait()
	}))
	server.Listener = &stallingListener{Listener: server.Listener, remaining: 2, stalled: stalled}
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	call := func(path string, timeout time.Duration) error {
		_, err := client.Do(t.Context(), Request{Method: "GET", Path: path, Address: address, Timeout: timeout})
		return err
	}
	ended := make(chan error, 2)
	for range cap(ended) {
		go func() { ended <- call("/kept", testTimeout) }()
	}
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
	require.Eventually(t, func() bool {
		idle := 0
		for _, conn := range client.conns.connsTo(address) {
			conn.mutex.Lock()
			if conn.idle {
				idle++
			}
			conn.mutex.Unlock()
		}
		return idle == cap(ended)
	}, testTimeout, time.Millisecond)
	close(stalled)
	require.ErrorIs(t, call("/", 50*time.Millisecond), errors.Timeout)
	require.NoError(t, call("/", testTimeout/2))
}

// A stallingListener accepts the first connections as stallingConns.
type stallingListener struct {
	net.Listener

	// remaining is the number of stallingConns still to be accepted.
	remaining int
	stalled   chan struct{}
}

func (listener *stallingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil || listener.remaining == 0 {
		return conn, err
	}
	listener.remaining--
	return &stallingConn{Conn: conn, stalled: listener.stalled}, nil
}

// A stallingConn sends nothing once the channel stalled is closed.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
}

// Write discards data once the connection is stalled.
func (conn *stallingConn) Write(data []byte) (int, error) {
	select {
	case <-conn.stalled:
		return len(data), nil
	default:
		return conn.Conn.Write(data)
	}
}

// Guards against a failed call that blocks or closes a connection which the next
// call already uses.
func TestNextUseIsNotBlocked(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	set := newConnSet()
	conn := set.add("address", client)
	first := conn.beginUse()
	second := conn.beginUse()
	conn.endUse(first.number)
	conn.blockWrites(first)
	set.closeIdle("address")
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(server, make([]byte, 4))
		read <- err
	}()
	_, err := conn.Write([]byte("next"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	conn.endUse(second.number)
	set.closeIdle("address")
	assert.Empty(t, set.open)
}

// Guards against followed redirects, lost headers and a response longer than
// MaxReplyBytes.
func TestReplyIsReturnedAndBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusFound)
		io.WriteString(writer, "12345")
	}))
	defer server.Close()
	client := testClient(t)
	request := Request{Method: "GET", Address: server.Listener.Addr().String(), Path: "/", Timeout: testTimeout, MaxReplyBytes: 5}
	reply, err := client.Do(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusFound, reply.Status)
	assert.Equal(t, "1", reply.Header.Get("Retry-After"))
	assert.Equal(t, "12345", string(reply.Body))
	request.MaxReplyBytes = 4
	_, err = client.Do(t.Context(), request)
	assert.ErrorIs(t, err, errors.QuotaLimitExceeded)
	assert.True(t, MayHaveBeenSent(err))
}
