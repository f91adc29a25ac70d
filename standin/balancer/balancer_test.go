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

// node answers with its name; its health can be switched off.
type node struct {
	*httptest.Server
	sick atomic.Bool
}

func newNode(t *testing.T, name string) *node {
	made := &node{}
	made.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/healthz" && made.sick.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(writer, name)
	}))
	t.Cleanup(made.Close)
	return made
}

func (node *node) entry() balancer.Node {
	address := strings.TrimPrefix(node.URL, "http://")
	return balancer.Node{Callers: address, Admin: address}
}

// Guards against a balancer that uses one node only, keeps using a node that
// fails its health check, or accepts callers when no node is left.
func TestSpreadsOverHealthyNodes(t *testing.T) {
	first, second := newNode(t, "first"), newNode(t, "second")
	stand := balancer.New(balancer.Config{
		Nodes:    []balancer.Node{first.entry(), second.entry()},
		Interval: 20 * time.Millisecond,
		Timeout:  wait,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- stand.Serve(ctx, listener) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func() string {
		response, err := client.Get("http://" + listener.Addr().String())
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Eventually(t, func() bool { return stand.Healthy() == 2 }, wait, time.Millisecond)
	seen := map[string]int{}
	for range 10 {
		seen[ask()]++
	}
	assert.Equal(t, map[string]int{"first": 5, "second": 5}, seen)
	first.sick.Store(true)
	require.Eventually(t, func() bool { return stand.Healthy() == 1 }, wait, time.Millisecond)
	assert.Equal(t, "second", ask())
	assert.Equal(t, "second", ask())
	second.sick.Store(true)
	require.Eventually(t, func() bool { return stand.Healthy() == 0 }, wait, time.Millisecond)
	assert.Empty(t, ask())
	cancel()
	require.NoError(t, <-ended)
}
