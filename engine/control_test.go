package engine

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newControl(t *testing.T, timeout time.Duration) *ControlClient {
	t.Helper()
	client, err := NewControlClient(ControlConfig{Timeout: timeout, Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func startEngine(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a status that is mapped to the wrong outcome, in particular an
// order that may have been accepted and is reported as refused, and against a
// changed wire format of orders.
func TestOrderOutcomes(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   OrderOutcome
	}{
		{200, `{"accepted":true}`, OrderAccepted{}},
		{200, `{}`, OrderUnknown{}},
		{200, `not json`, OrderUnknown{}},
		{409, `{"fence":12}`, OrderFenced{Fence: 12}},
		{410, ``, OrderExpired{}},
		{429, ``, OrderRefused{}},
		{503, ``, OrderRefused{}},
		{500, ``, OrderUnknown{}},
		{504, ``, OrderUnknown{}},
	}
	client := newControl(t, 10*time.Second)
	for _, test := range cases {
		var line string
		address := startEngine(t, func(writer http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			line = request.Method + " " + request.URL.Path + " " + string(body)
			writer.WriteHeader(test.status)
			io.WriteString(writer, test.body)
		})
		outcome := client.SendOrder(t.Context(), address, Order{
			ID: "o", Fence: 3, ExpiresInMillis: 500, Action: ActionLoad, Group: "g", Epoch: 4,
			Rank: 1, Size: 2, Members: []string{"a", "b"}, Model: "m", Version: "v",
		})
		assert.Equal(t, `POST /v1/order {"id":"o","fence":3,"expires-in-ms":500,"action":"load","group":"g",`+
			`"epoch":4,"rank":1,"size":2,"members":["a","b"],"model":"m","version":"v"}`, line)
		switch test.want.(type) {
		case OrderRefused, OrderUnknown:
			assert.IsType(t, test.want, outcome, "%d %s", test.status, test.body)
		default:
			assert.Equal(t, test.want, outcome)
		}
	}
}

// Guards against an order that was not sent, because the connection was refused,
// and is reported as unknown, and against an order whose response was lost and
// that is reported as refused or sent again by the client.
func TestOrderWithoutResponseIsNotRetried(t *testing.T) {
	client := newControl(t, 10*time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	assert.IsType(t, OrderRefused{}, client.SendOrder(t.Context(), listener.Addr().String(), Order{}))

	var orders atomic.Int32
	address := startEngine(t, func(http.ResponseWriter, *http.Request) {
		orders.Add(1)
		panic(http.ErrAbortHandler)
	})
	assert.IsType(t, OrderUnknown{}, client.SendOrder(t.Context(), address, Order{}))
	assert.EqualValues(t, 1, orders.Load())
}

// Guards against a response that does not identify a VM, such as that of another
// service at a reused address, and is accepted as the report of an idle engine.
func TestReportIsRejectedWithoutIdentityOrState(t *testing.T) {
	client := newControl(t, 10*time.Second)
	address := startEngine(t, func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, "GET /v1/report", request.Method+" "+request.URL.Path)
		io.WriteString(writer, `{"vm":"v","incarnation":"2","group":"g","epoch":5,"rank":1,"state":"ready",
			"model":"m","version":"w","fence":6,"running":7,"queued":8,"free-cache":9,"age-ms":10}`)
	})
	report, err := client.Report(t.Context(), address)
	require.NoError(t, err)
	assert.Equal(t, Report{
		VM: "v", Incarnation: "2", Group: "g", Epoch: 5, Rank: 1, State: StateReady, Model: "m",
		Version: "w", Fence: 6, Running: 7, Queued: 8, FreeCache: 9, AgeMillis: 10,
	}, report)
	for _, body := range []string{`{}`, `not json`, `{"vm":"v","incarnation":"1","state":"asleep"}`} {
		address := startEngine(t, func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, body) })
		_, err := client.Report(t.Context(), address)
		assert.Error(t, err, body)
	}
	assert.EqualValues(t, 3, testutil.ToFloat64(client.calls.WithLabelValues("report", "failed")))
}

// Guards against an engine that stops responding on a connection and fails more
// than one call: the next call must use a new connection. Guards also against
// connections to other engines that are closed with it.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	body := `{"vm":"v","incarnation":"2","state":"idle"}`
	var reports, unresponsiveConns, otherConns atomic.Int32
	release := make(chan struct{})
	unresponsive := startCounted(t, &unresponsiveConns, func(writer http.ResponseWriter, _ *http.Request) {
		if reports.Add(1) == 2 {
			<-release
			return
		}
		io.WriteString(writer, body)
	})
	other := startCounted(t, &otherConns, func(writer http.ResponseWriter, _ *http.Request) {
		io.WriteString(writer, body)
	})
	t.Cleanup(func() { close(release) })
	client := newControl(t, 300*time.Millisecond)
	for attempt, fails := range []bool{false, true, false, false} {
		_, err := client.Report(t.Context(), unresponsive)
		assert.Equal(t, fails, err != nil, attempt)
		_, err = client.Report(t.Context(), other)
		assert.NoError(t, err)
	}
	assert.EqualValues(t, 2, unresponsiveConns.Load())
	assert.EqualValues(t, 1, otherConns.Load())
}

// startCounted starts an engine whose connections are counted in conns.
func startCounted(t *testing.T, conns *atomic.Int32, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
