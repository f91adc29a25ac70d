package kvstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPlatform starts a server with the handler and returns a client for it.
func startPlatform(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newClient(t, timeout, server.Listener.Addr().String())
}

func newClient(t *testing.T, timeout time.Duration, addresses ...string) *Client {
	t.Helper()
	client, err := NewClient(ClientConfig{
		Addresses: addresses, Timeout: timeout, Registerer: prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// respondWith returns a handler that sends the same response to every request and
// records the method, URL and body of the last one in seen.
func respondWith(status int, body string, seen *string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		content, _ := io.ReadAll(request.Body)
		*seen = request.Method + " " + request.URL.String() + " " + string(content)
		writer.WriteHeader(status)
		io.WriteString(writer, body)
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against a write status that is reported as the wrong outcome.
func TestPutOutcomes(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   PutOutcome
	}{
		{200, `{"revision":7}`, Written{Revision: 7}},
		{409, `{"revision":3}`, Conflict{Revision: 3}},
		{412, ``, Refused{}},
		{413, ``, Refused{}},
		{429, ``, Refused{}},
		{503, ``, Refused{}},
		{500, ``, Unknown{}},
		{502, ``, Unknown{}},
		{504, ``, Unknown{}},
		{200, `not json`, Unknown{}},
	}
	for _, test := range cases {
		var seen string
		client := startPlatform(t, 10*time.Second, respondWith(test.status, test.body, &seen))
		outcome := client.Put(t.Context(), PutRequest{
			Key: "domain/d/leader", Value: []byte("v"), Expect: ExpectRevision(2), Lease: "l",
		})
		assert.Equal(t, "PUT /v1/kv/domain/d/leader?expect=2&lease=l v", seen)
		switch test.want.(type) {
		case Refused:
			assert.IsType(t, Refused{}, outcome, "%d %s", test.status, test.body)
		case Unknown:
			assert.IsType(t, Unknown{}, outcome, "%d %s", test.status, test.body)
		default:
			assert.Equal(t, test.want, outcome)
		}
	}
}

// Guards against write conditions and keys that are encoded wrongly, and against
// invalid keys and oversized values that are sent.
func TestWriteConditionIsSent(t *testing.T) {
	var seen string
	client := startPlatform(t, 10*time.Second, respondWith(200, `{"revision":1}`, &seen))
	client.Put(t.Context(), PutRequest{Key: "a", Expect: ExpectAbsent()})
	assert.Equal(t, "PUT /v1/kv/a?expect=0 ", seen)
	client.Put(t.Context(), PutRequest{Key: "a", Expect: ExpectAny()})
	assert.Equal(t, "PUT /v1/kv/a ", seen)
	client.Delete(t.Context(), "a b/%", ExpectRevision(4))
	assert.Equal(t, "DELETE /v1/kv/a%20b/%25?expect=4 ", seen)
	assert.IsType(t, Refused{}, client.Put(t.Context(), PutRequest{Key: "a/../b"}))
	assert.IsType(t, Refused{}, client.Put(t.Context(), PutRequest{Key: "a", Value: make([]byte, MaxValueBytes+1)}))
}

// Guards against a write that is reported as unknown although it was never sent,
// and against one that is not tried at the second address in that case.
func TestWriteToUnreachableAddressIsRefused(t *testing.T) {
	client := newClient(t, 10*time.Second, closedAddress(t), closedAddress(t))
	assert.IsType(t, Refused{}, client.Put(t.Context(), PutRequest{Key: "a"}))
	_, err := client.Get(t.Context(), "a")
	assert.Error(t, err)

	var seen string
	server := httptest.NewServer(respondWith(200, `{"revision":1}`, &seen))
	defer server.Close()
	client = newClient(t, 10*time.Second, closedAddress(t), server.Listener.Addr().String())
	assert.Equal(t, Written{Revision: 1}, client.Put(t.Context(), PutRequest{Key: "a"}))
	assert.EqualValues(t, 1, testutil.ToFloat64(client.calls.WithLabelValues("put", "not-sent")))
	assert.EqualValues(t, 1, testutil.ToFloat64(client.calls.WithLabelValues("put", "200")))
}

// Guards against a write that is sent twice after its response was lost, on a new
// and on a reused connection. On a reused one, net/http would otherwise assume that
// the server closed the connection while it was idle, and retry.
func TestLostResponseIsUnknownAndNotRetried(t *testing.T) {
	var writes atomic.Int32
	client := startPlatform(t, 10*time.Second, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet {
			io.WriteString(writer, `{"key":"a","value":"dg==","revision":1}`)
			return
		}
		writes.Add(1)
		panic(http.ErrAbortHandler)
	})
	assert.IsType(t, Unknown{}, client.Put(t.Context(), PutRequest{Key: "a"}))
	_, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	assert.IsType(t, Unknown{}, client.Put(t.Context(), PutRequest{Key: "a", Value: []byte("v")}))
	_, err = client.Grant(t.Context(), time.Second)
	assert.Error(t, err)
	assert.EqualValues(t, 3, writes.Load())
}

// Guards against a write that is sent to a second endpoint although the first may
// have applied it: the second endpoint would find the key and report that the write
// conflicts with itself.
func TestLostResponseIsNotRetriedAtAnotherAddress(t *testing.T) {
	first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer first.Close()
	var seen string
	second := httptest.NewServer(respondWith(200, `{"revision":1}`, &seen))
	defer second.Close()
	client := newClient(t, 10*time.Second, first.Listener.Addr().String(), second.Listener.Addr().String())
	assert.IsType(t, Unknown{}, client.Put(t.Context(), PutRequest{Key: "a", Expect: ExpectAbsent()}))
	assert.Empty(t, seen)
	assert.Equal(t, Written{Revision: 1}, client.Put(t.Context(), PutRequest{Key: "a"}))
}

// Guards against calls that reuse a connection which stopped responding without
// being closed. The write on that connection is unknown, and the next call opens a
// new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unblock := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/silent") {
			<-unblock
			return
		}
		io.WriteString(writer, `{"revision":1}`)
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := newClient(t, 300*time.Millisecond, listener.Addr().String())
	assert.Equal(t, Written{Revision: 1}, client.Put(t.Context(), PutRequest{Key: "a"}))
	outcome := client.Put(t.Context(), PutRequest{Key: "silent"})
	require.IsType(t, Unknown{}, outcome)
	assert.ErrorIs(t, outcome.(Unknown).Err, errors.Timeout)
	assert.Equal(t, Written{Revision: 1}, client.Put(t.Context(), PutRequest{Key: "a"}))
	close(unblock)
	require.NoError(t, server.Close())
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// Guards against a read that is not retried at the next address when the first one
// does not respond, and against later reads that try the unresponsive one again.
func TestReadTriesAddressesInTurn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var seen string
	server := httptest.NewServer(respondWith(200, `{"key":"a","value":"dg==","revision":5,"lease":"l"}`, &seen))
	defer server.Close()
	client := newClient(t, 300*time.Millisecond, listener.Addr().String(), server.Listener.Addr().String())
	for range 3 {
		entry, err := client.Get(t.Context(), "a")
		require.NoError(t, err)
		assert.Equal(t, Entry{Key: "a", Value: []byte("v"), Revision: 5, Lease: "l"}, entry)
	}
	assert.EqualValues(t, 1, testutil.ToFloat64(client.calls.WithLabelValues("get", "timeout")))
}

// Guards against a status of a read that is reported as the wrong result or error.
func TestReadResults(t *testing.T) {
	var seen string
	absent := startPlatform(t, 10*time.Second, respondWith(404, ``, &seen))
	_, err := absent.Get(t.Context(), "a")
	assert.ErrorIs(t, err, errors.NotFound)
	_, err = absent.Renew(t.Context(), "l")
	assert.ErrorIs(t, err, errors.NotFound)
	assert.NoError(t, absent.Revoke(t.Context(), "l"))
	assert.Equal(t, Conflict{}, absent.Delete(t.Context(), "a", ExpectAny()))

	client := startPlatform(t, 10*time.Second, respondWith(410, ``, &seen))
	_, err = client.Watch(t.Context(), "node/", 3, time.Second)
	assert.ErrorIs(t, err, errors.NotValid)
	assert.Equal(t, "GET /v1/watch?after=3&prefix=node%2F&wait=1s ", seen)

	client = startPlatform(t, 10*time.Second, respondWith(204, ``, &seen))
	changes, err := client.Watch(t.Context(), "node/", 3, time.Second)
	require.NoError(t, err)
	assert.Equal(t, Changes{Revision: 3}, changes)

	client = startPlatform(t, 10*time.Second, respondWith(200,
		`{"revision":9,"entries":[{"key":"node/a","value":"dg==","revision":8}],"deleted":["node/b"]}`, &seen))
	changes, err = client.Watch(t.Context(), "node/", 3, time.Second)
	require.NoError(t, err)
	entries := []Entry{{Key: "node/a", Value: []byte("v"), Revision: 8}}
	assert.Equal(t, Changes{Revision: 9, Entries: entries, Deleted: []string{"node/b"}}, changes)
	listing, err := client.List(t.Context(), "node/")
	require.NoError(t, err)
	assert.Equal(t, Listing{Revision: 9, Entries: entries}, listing)

	client = startPlatform(t, 10*time.Second, respondWith(429, ``, &seen))
	_, err = client.Get(t.Context(), "a")
	assert.ErrorIs(t, err, errors.QuotaLimitExceeded)
	_, err = client.Grant(t.Context(), time.Second)
	assert.ErrorIs(t, err, errors.QuotaLimitExceeded)
}

// Guards against a reply above the size limit that is read into memory.
func TestOversizedReplyIsRejected(t *testing.T) {
	var seen string
	client := startPlatform(t, 10*time.Second, respondWith(200, `{"value":"`+strings.Repeat("a", maxEntryBytes)+`"}`, &seen))
	_, err := client.Get(t.Context(), "a")
	assert.ErrorIs(t, err, errors.QuotaLimitExceeded)
}

// Guards against calls for leases, weights and VMs that are encoded or decoded
// wrongly.
func TestLeasesVMsAndWeights(t *testing.T) {
	var seen string
	client := startPlatform(t, 10*time.Second, respondWith(200, `{"lease":"l","ttl":"9s"}`, &seen))
	lease, err := client.Grant(t.Context(), 9*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "l", lease)
	assert.Equal(t, "POST /v1/lease?ttl=9s ", seen)
	_, err = client.Renew(t.Context(), "l")
	require.NoError(t, err)
	assert.Equal(t, "POST /v1/lease/l/renew ", seen)
	granted, _, err := client.AcquireWeights(t.Context(), 12)
	require.NoError(t, err)
	assert.True(t, granted)
	assert.Equal(t, "POST /v1/weights/acquire?bytes=12 ", seen)

	client = startPlatform(t, 10*time.Second, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "3")
		writer.WriteHeader(http.StatusTooManyRequests)
	})
	granted, retry, err := client.AcquireWeights(t.Context(), 12)
	require.NoError(t, err)
	assert.False(t, granted)
	assert.Equal(t, 3*time.Second, retry)

	client = startPlatform(t, 10*time.Second, respondWith(200, `{"vms":[{"name":"v","address":"127.0.0.1:1",
		"incarnation":"1","fabric-domain":"d","failure-domain":"f","accelerators":4,"state":"leaving"}]}`, &seen))
	vms, err := client.VMs(t.Context())
	require.NoError(t, err)
	assert.Equal(t, []VM{{
		Name: "v", Address: "127.0.0.1:1", Incarnation: "1", FabricDomain: "d",
		FailureDomain: "f", Accelerators: 4, State: VMLeaving,
	}}, vms)
}

// Guards against a write that is reported as unknown although its context was
// cancelled before the call, so that it cannot have been sent.
func TestPutWithCancelledContextIsNotSent(t *testing.T) {
	var seen string
	client := startPlatform(t, 10*time.Second, respondWith(200, `{"revision":1}`, &seen))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.IsType(t, Refused{}, client.Put(ctx, PutRequest{Key: "a"}))
	assert.Empty(t, seen)
}
