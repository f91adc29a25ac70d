// Package balancer is a small stand-in for the platform's balancer. It
// distributes TCP connections round robin over the nodes whose health check
// passes.
//
// # Usage
//
//	standIn := balancer.New(balancer.Config{Nodes: nodes})
//	err := standIn.Serve(ctx, listener)
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

const (
	defaultInterval = 100 * time.Millisecond
	defaultTimeout  = 500 * time.Millisecond
	dialTimeout     = time.Second
)

// A Node is one entry node.
type Node struct {
	// Callers is the address for callers. Admin is the address that serves
	// /healthz.
	Callers string
	Admin   string
}

// A Config configures a Balancer.
type Config struct {
	Nodes []Node

	// Interval is the time between two health checks of a node. Timeout is
	// the time limit of one health check.
	Interval time.Duration
	Timeout  time.Duration
}

// A Balancer distributes connections over the healthy nodes.
type Balancer struct {
	config  Config
	healthy []atomic.Bool
	next    atomic.Uint64
	client  *http.Client
}

// New returns a Balancer. Every node counts as unhealthy until its first health
// check passes.
func New(config Config) *Balancer {
	if config.Interval == 0 {
		config.Interval = defaultInterval
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Balancer{
		config:  config,
		healthy: make([]atomic.Bool, len(config.Nodes)),
		client: &http.Client{
			Timeout:   config.Timeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Serve checks the nodes and relays connections until ctx ends. It then closes
// the listener and all connections.
func (balancer *Balancer) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	for index := range balancer.config.Nodes {
		group.Go(func() error {
			balancer.checkPeriodically(ctx, index)
			return nil
		})
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Annotate(err, "accept connection")
			}
			group.Go(func() error {
				balancer.serve(ctx, conn.(*net.TCPConn))
				return nil
			})
		}
	})
	return group.Wait()
}

// Healthy returns the number of nodes whose last check passed.
func (balancer *Balancer) Healthy() int {
	count := 0
	for index := range balancer.healthy {
		if balancer.healthy[index].Load() {
			count++
		}
	}
	return count
}

func (balancer *Balancer) checkPeriodically(ctx context.Context, index int) {
	ticker := time.NewTicker(balancer.config.Interval)
	defer ticker.Stop()
	for {
		balancer.healthy[index].Store(balancer.probe(ctx, balancer.config.Nodes[index]))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (balancer *Balancer) probe(ctx context.Context, node Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Admin+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve relays one connection to a healthy node. If there is none, it resets the
// connection.
func (balancer *Balancer) serve(ctx context.Context, caller *net.TCPConn) {
	defer caller.Close()
	node := balancer.dial(ctx)
	if node == nil {
		reset(caller)
		return
	}
	defer node.Close()
	stop := context.AfterFunc(ctx, func() {
		caller.Close()
		node.Close()
	})
	defer stop()
	var sides sync.WaitGroup
	sides.Go(func() { relay(node, caller) })
	relay(caller, node)
	sides.Wait()
}

func (balancer *Balancer) dial(ctx context.Context) *net.TCPConn {
	dialer := net.Dialer{Timeout: dialTimeout}
	count := len(balancer.config.Nodes)
	first := int(balancer.next.Add(1) % uint64(max(count, 1)))
	for offset := range count {
		index := (first + offset) % count
		if !balancer.healthy[index].Load() {
			continue
		}
		conn, err := dialer.DialContext(ctx, "tcp", balancer.config.Nodes[index].Callers)
		if err == nil {
			return conn.(*net.TCPConn)
		}
		balancer.healthy[index].Store(false)
	}
	return nil
}

// relay copies one direction of a connection. At the end of the input it closes
// the output for writing; on a failure it resets both connections.
func relay(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		reset(from)
		return
	}
	// CloseWrite fails if the other side has already closed the connection.
	_ = to.CloseWrite()
}

func reset(conn *net.TCPConn) {
	// SetLinger fails only if the connection is already closed.
	_ = conn.SetLinger(0)
	conn.Close()
}
