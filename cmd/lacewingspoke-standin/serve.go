package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// endpoint is one address that a command serves.
type endpoint struct {
	// label names the endpoint in the printed line; it may be empty.
	label    string
	listener net.Listener
	server   *http.Server
}

// openEndpoint listens on an address of a stand-in. The injector applies its
// faults to the connections.
func openEndpoint(label, address string, handler http.Handler, injector *fault.Injector) (endpoint, error) {
	listener, err := injector.Listen(address)
	if err != nil {
		return endpoint{}, errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ConnState: injector.ConnState}
	return endpoint{label, listener, server}, nil
}

// openControl listens on an address for control paths, to which no faults apply.
func openControl(address string, handler http.Handler) (endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return endpoint{}, errors.Annotatef(err, "listen on %s", address)
	}
	return endpoint{"control=", listener, &http.Server{Handler: handler}}, nil
}

func announce(name string, endpoints []endpoint) {
	addresses := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		addresses = append(addresses, endpoint.label+endpoint.listener.Addr().String())
	}
	fmt.Printf("lacewingspoke-standin %s: listening on %s\n", name, strings.Join(addresses, " "))
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// stopTimeout bounds the time for which a stand-in that stops waits for the requests in
// progress. Watches of the store last longer.
const stopTimeout = 2 * time.Second

// stop ends the requests in progress, as the platform and its targets do at a planned stop.
func (endpoint endpoint) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if endpoint.server.Shutdown(ctx) != nil {
		endpoint.server.Close()
	}
}

// serve runs the endpoints until a signal arrives or one of them fails.
func serve(name string, endpoints []endpoint) error {
	ctx, stop := signalContext()
	defer stop()
	return serveUntil(ctx, name, endpoints)
}

// serveUntil runs the endpoints until the context ends or one of them fails.
func serveUntil(ctx context.Context, name string, endpoints []endpoint) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range endpoints {
		group.Go(func() error {
			err := endpoint.server.Serve(endpoint.listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Annotate(err, "serve HTTP")
		})
		group.Go(func() error {
			<-ctx.Done()
			endpoint.stop()
			return nil
		})
	}
	announce(name, endpoints)
	return group.Wait()
}

// openRecord opens a record file for appending. It returns nil if the name is
// empty.
func openRecord(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return file, errors.Trace(err)
}
