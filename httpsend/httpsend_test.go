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

const testPatience = 20 * time.Second

func testCaller(t *testing.T) *Caller {
	caller := New(Config{})
	t.Cleanup(caller.Close)
	return caller
}

// A connection that cannot be made carries no byte.
func TestNotSent(t *testing.T) {
	caller := testCaller(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = caller.Do(t.Context(), Request{Method: "PUT", Address: listener.Addr().String(), Timeout: testPatience})
	require.Error(t, err)
	assert.False(t, MayBeSent(err))
	assert.True(t, MayBeSent(errors.New("of another kind")))
}

// A request of which only a part was written before the failure may have been
// seen, although the transport never reports it as written.
func TestPartlySent(t *testing.T) {
	caller := testCaller(t)
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
	_, err = caller.Do(ctx, Request{
		Method: "PUT", Address: listener.Addr().String(), Body: make([]byte, 64<<20), Timeout: testPatience,
	})
	require.NoError(t, <-accepted)
	require.Error(t, err)
	assert.True(t, MayBeSent(err))
	assert.ErrorIs(t, err, errors.Timeout)
}

// After a failed call nothing of it may be written any more: the caller has
// been told whether it was sent.
func TestNoWriteAfterFailure(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := newConnSet().add("address", client)
	use := conn.use()
	assert.False(t, conn.stop(use))
	_, err := conn.Write([]byte("late"))
	assert.Error(t, err)
}

// When one kept connection has gone silent, the others may have too: the next
// call must not wait for one of them.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	caller := testCaller(t)
	silent := make(chan struct{})
	var both sync.WaitGroup
	both.Add(2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/kept" {
			return
		}
		// Neither call ends before the other has its own connection.
		both.Done()
		both.Wait()
	}))
	server.Listener = &silencedListener{Listener: server.Listener, kept: 2, silent: silent}
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	call := func(path string, timeout time.Duration) error {
		_, err := caller.Do(t.Context(), Request{Method: "GET", Path: path, Address: address, Timeout: timeout})
		return err
	}
	ended := make(chan error, 2)
	for range cap(ended) {
		go func() { ended <- call("/kept", testPatience) }()
	}
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
	require.Eventually(t, func() bool {
		idle := 0
		for _, conn := range caller.conns.to(address) {
			conn.mutex.Lock()
			if conn.idle {
				idle++
			}
			conn.mutex.Unlock()
		}
		return idle == cap(ended)
	}, testPatience, time.Millisecond)
	close(silent)
	require.ErrorIs(t, call("/", 50*time.Millisecond), errors.Timeout)
	require.NoError(t, call("/", testPatience/2))
}

// A silencedListener stops answering on the first connections when silent is
// closed.
type silencedListener struct {
	net.Listener
	kept   int
	silent chan struct{}
}

func (listener *silencedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil || listener.kept == 0 {
		return conn, err
	}
	listener.kept--
	return &silencedConn{Conn: conn, silent: listener.silent}, nil
}

type silencedConn struct {
	net.Conn
	silent chan struct{}
}

// Write drops what is written once the connection is silent.
func (conn *silencedConn) Write(data []byte) (int, error) {
	select {
	case <-conn.silent:
		return len(data), nil
	default:
		return conn.Conn.Write(data)
	}
}

// A connection that already serves the next call must not be stopped or closed
// for the one before.
func TestNextUseIsLeftAlone(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	set := newConnSet()
	conn := set.add("address", client)
	first := conn.use()
	second := conn.use()
	conn.release(first.number)
	conn.stop(first)
	set.closeIdle("address")
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(server, make([]byte, 4))
		read <- err
	}()
	_, err := conn.Write([]byte("next"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	conn.release(second.number)
	set.closeIdle("address")
	assert.Empty(t, set.open)
}

func TestReply(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusFound)
		io.WriteString(writer, "12345")
	}))
	defer server.Close()
	caller := testCaller(t)
	request := Request{Method: "GET", Address: server.Listener.Addr().String(), Path: "/", Timeout: testPatience, MaxReplyBytes: 5}
	reply, err := caller.Do(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusFound, reply.Status)
	assert.Equal(t, "1", reply.Header.Get("Retry-After"))
	assert.Equal(t, "12345", string(reply.Body))
	request.MaxReplyBytes = 4
	_, err = caller.Do(t.Context(), request)
	assert.ErrorIs(t, err, errors.QuotaLimitExceeded)
	assert.True(t, MayBeSent(err))
}
