package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
