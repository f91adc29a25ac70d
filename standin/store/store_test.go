package store_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

type answer struct {
	Revision uint64
	Value    []byte
	Lease    string
	Entries  []struct{ Key string }
	Deleted  []string
	VMs      []store.VM `json:"vms"`
}

type client struct {
	t      *testing.T
	server *httptest.Server
}

func newClient(t *testing.T, config store.Config) (client, *store.Store) {
	standIn := store.New(config)
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	return client{t, server}, standIn
}

func (client client) try(method, path, body string) (int, answer, error) {
	request, err := http.NewRequest(method, client.server.URL+path, strings.NewReader(body))
	require.NoError(client.t, err)
	response, err := client.server.Client().Do(request)
	if err != nil {
		return 0, answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(client.t, err)
	var decoded answer
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		require.NoError(client.t, json.Unmarshal(data, &decoded))
	}
	return response.StatusCode, decoded, nil
}

func (client client) call(method, path, body string) (int, answer) {
	status, decoded, err := client.try(method, path, body)
	require.NoError(client.t, err)
	return status, decoded
}

// Guards against two writers whose compare-and-swap on the same revision both
// succeed.
func TestWriteWithStaleRevisionIsRejected(t *testing.T) {
	client, _ := newClient(t, store.Config{})
	status, first := client.call("PUT", "/v1/kv/config/head?expect=0", "one")
	assert.Equal(t, 200, status)
	status, current := client.call("PUT", "/v1/kv/config/head?expect=0", "two")
	assert.Equal(t, 409, status)
	assert.Equal(t, first.Revision, current.Revision)
	status, _ = client.call("PUT", "/v1/kv/config/head?expect=1", "two")
	assert.Equal(t, 200, status)
	_, read := client.call("GET", "/v1/kv/config/head", "")
	assert.Equal(t, "two", string(read.Value))
	status, _ = client.call("PUT", "/v1/kv/large", strings.Repeat("x", 1<<20+1))
	assert.Equal(t, 413, status)
	status, _ = client.call("DELETE", "/v1/kv/config/head?expect=1", "")
	assert.Equal(t, 409, status)
	status, _ = client.call("DELETE", "/v1/kv/config/head", "")
	assert.Equal(t, 200, status)
	status, _ = client.call("GET", "/v1/kv/config/head", "")
	assert.Equal(t, 404, status)
}

// Guards against a key that remains after its lease has expired, and against a
// watch that does not return the expiry because no other call arrives.
func TestWatchReturnsLeaseExpiry(t *testing.T) {
	client, _ := newClient(t, store.Config{})
	_, lease := client.call("POST", "/v1/lease?ttl=50ms", "")
	_, put := client.call("PUT", "/v1/kv/node/a?lease="+lease.Lease, "x")
	path := "/v1/watch?prefix=node/&wait=10s&after="
	status, received := client.call("GET", path+"1", "")
	require.Equal(t, 200, status)
	assert.EqualValues(t, 1, put.Revision)
	assert.Equal(t, []string{"node/a"}, received.Deleted)
	status, _ = client.call("POST", "/v1/lease/"+lease.Lease+"/renew", "")
	assert.Equal(t, 404, status)
	status, _ = client.call("PUT", "/v1/kv/node/a?lease="+lease.Lease, "x")
	assert.Equal(t, 412, status)
}

// Guards against a watch that returns success although changes after its
// revision are no longer in the history.
func TestWatchBeyondHistoryIsRejected(t *testing.T) {
	client, _ := newClient(t, store.Config{History: 2})
	for range 4 {
		client.call("PUT", "/v1/kv/a/x", "v")
	}
	status, _ := client.call("GET", "/v1/watch?prefix=a/&after=1&wait=1s", "")
	assert.Equal(t, 410, status)
	status, received := client.call("GET", "/v1/watch?prefix=a/&after=2&wait=1s", "")
	assert.Equal(t, 200, status)
	assert.Len(t, received.Entries, 1)
	status, _ = client.call("GET", "/v1/watch?prefix=b/&after=4&wait=1ms", "")
	assert.Equal(t, 204, status)
	status, _ = client.call("GET", "/v1/watch?prefix=a/&after=99&wait=1s", "")
	assert.Equal(t, 410, status)
}

// Guards against rate limits that are not applied or whose rejected calls are
// not counted.
func TestRateLimitsAreAppliedAndCounted(t *testing.T) {
	client, standIn := newClient(t, store.Config{WritesPerSecond: 0.001, WeightBytesPerSecond: 10})
	client.call("PUT", "/v1/kv/a/x", "v")
	status, _ := client.call("PUT", "/v1/kv/a/x", "v")
	assert.Equal(t, 429, status)
	status, _ = client.call("GET", "/v1/kv/a/x", "")
	assert.Equal(t, 200, status)
	assert.Equal(t, []store.Counter{
		{Kind: "get", Prefix: "a", Calls: 1},
		{Kind: "put", Prefix: "a", Calls: 2, Limited: 1},
	}, standIn.Counters())
	status, _ = client.call("POST", "/v1/weights/acquire?bytes=1000", "")
	assert.Equal(t, 200, status)
	status, _ = client.call("POST", "/v1/weights/acquire?bytes=1", "")
	assert.Equal(t, 429, status)
}

// Guards against a dropped answer whose write did not take effect. A client that
// fails to read the key back after a lost answer would then pass its tests.
func TestDroppedAnswerKeepsWrite(t *testing.T) {
	client, standIn := newClient(t, store.Config{})
	require.NoError(t, standIn.Injector().Apply(fault.Order{Fault: fault.DropAnswer, Count: 1, Prefix: "config/"}))
	status, _ := client.call("PUT", "/v1/kv/node/a", "kept")
	assert.Equal(t, 200, status)
	_, _, err := client.try("PUT", "/v1/kv/config/head?expect=0", "written")
	assert.Error(t, err)
	_, read := client.call("GET", "/v1/kv/config/head", "")
	assert.Equal(t, "written", string(read.Value))
}

// Guards against a silent fault that also blocks new connections, or that does
// not block the open ones.
func TestSilentBlocksOnlyOpenConnections(t *testing.T) {
	client, standIn := newClient(t, store.Config{})
	client.call("PUT", "/v1/kv/a", "v")
	require.NoError(t, standIn.Injector().Apply(fault.Order{Fault: fault.Silent}))
	short := &http.Client{Transport: client.server.Client().Transport, Timeout: 50 * time.Millisecond}
	_, err := short.Get(client.server.URL + "/v1/kv/a")
	assert.Error(t, err)
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := fresh.Get(client.server.URL + "/v1/kv/a")
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, 200, response.StatusCode)
}

// Guards against an outage in which calls succeed, and against one that makes
// the control path fail.
func TestOutageExemptsControl(t *testing.T) {
	client, _ := newClient(t, store.Config{})
	status, _ := client.call("POST", "/control", `{"fault":"outage"}`)
	assert.Equal(t, 204, status)
	status, _ = client.call("PUT", "/v1/kv/a", "v")
	assert.Equal(t, 503, status)
	client.call("POST", "/control", `{"fault":"clear"}`)
	status, _ = client.call("GET", "/v1/kv/a", "")
	assert.Equal(t, 404, status)
	status, _ = client.call("POST", "/control", `{"fault":"unheard-of"}`)
	assert.Equal(t, 400, status)
}

// Guards against a VM list without lag. Without it, no test would run decisions
// on a stale list.
func TestVMListChangesAfterLag(t *testing.T) {
	client, standIn := newClient(t, store.Config{VMs: []store.VM{{Name: "a"}}, VMLag: time.Hour})
	client.call("POST", "/v1/vms", `{"vms":[{"name":"b"}]}`)
	_, received := client.call("GET", "/v1/vms", "")
	assert.Equal(t, "a", received.VMs[0].Name)
	require.NoError(t, standIn.Injector().Apply(fault.Order{Fault: "lag"}))
	_, received = client.call("GET", "/v1/vms", "")
	assert.Equal(t, "b", received.VMs[0].Name)
}
