package fault_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const wait = 10 * time.Second

// Guards against a port that accepts connections while they are refused, open
// connections that are not reset, and a port that is not bound again.
func TestRefuseClosesPortUntilClear(t *testing.T) {
	injector := fault.New()
	listener, err := injector.Listen("127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewUnstartedServer(injector.Wrap(handler))
	server.Listener.Close()
	server.Listener = listener
	server.Config.ConnState = injector.ConnState
	server.Start()
	defer server.Close()
	open, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer open.Close()
	_, err = server.Client().Get(server.URL)
	require.NoError(t, err)

	require.NoError(t, injector.Apply(fault.Order{Fault: fault.Refuse}))
	require.Eventually(t, func() bool {
		_, err := net.Dial("tcp", listener.Addr().String())
		return err != nil
	}, wait, time.Millisecond)
	require.NoError(t, open.SetReadDeadline(time.Now().Add(wait)))
	_, err = open.Read(make([]byte, 1))
	assert.Error(t, err)

	require.NoError(t, injector.Apply(fault.Order{Fault: fault.Clear}))
	require.Eventually(t, func() bool {
		response, err := server.Client().Get(server.URL)
		return err == nil && response.StatusCode == http.StatusOK
	}, wait, time.Millisecond)
}

// Guards against a response that is sent before the pause has ended.
func TestPauseBlocksResponses(t *testing.T) {
	injector := fault.New()
	server := httptest.NewServer(injector.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	const length = 50 * time.Millisecond
	start := time.Now()
	require.NoError(t, injector.Apply(fault.Order{Fault: fault.Pause, Duration: fault.Duration(length)}))
	_, err := server.Client().Get(server.URL)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(start), length)
}
