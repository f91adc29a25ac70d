package balancer_test

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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/balancer"
)

const wait = 10 * time.Second

// node is a server that responds with its name. Its health check fails while
// unhealthy is set.
type node struct {
	*httptest.Server
	unhealthy atomic.Bool
}

func newNode(t *testing.T, name string) *node {
	created := &node{}
	created.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/healthz" && created.unhealthy.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(writer, name)
	}))
	t.Cleanup(created.Close)
	return created
}

func (node *node) config() balancer.Node {
	address := strings.TrimPrefix(node.URL, "http://")
	return balancer.Node{Callers: address, Admin: address}
}

// Guards against a balancer that uses only one node, keeps using a node whose
// health check fails, or responds to callers when no node is healthy.
func TestConnectionsAreDistributedOverHealthyNodes(t *testing.T) {
	first, second := newNode(t, "first"), newNode(t, "second")
	standIn := balancer.New(balancer.Config{
		Nodes:    []balancer.Node{first.config(), second.config()},
		Interval: 20 * time.Millisecond,
		Timeout:  wait,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- standIn.Serve(ctx, listener) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() string {
		response, err := client.Get("http://" + listener.Addr().String())
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Eventually(t, func() bool { return standIn.Healthy() == 2 }, wait, time.Millisecond)
	responses := map[string]int{}
	for range 10 {
		responses[get()]++
	}
	assert.Equal(t, map[string]int{"first": 5, "second": 5}, responses)
	first.unhealthy.Store(true)
	require.Eventually(t, func() bool { return standIn.Healthy() == 1 }, wait, time.Millisecond)
	assert.Equal(t, "second", get())
	assert.Equal(t, "second", get())
	second.unhealthy.Store(true)
	require.Eventually(t, func() bool { return standIn.Healthy() == 0 }, wait, time.Millisecond)
	assert.Empty(t, get())
	cancel()
	require.NoError(t, <-ended)
}
