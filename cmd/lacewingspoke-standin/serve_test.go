package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// Guards against a stand-in that cuts off a request as it stops: the test would take a
// planned stop of a target for a crash.
func TestStoppedStandInEndsItsRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	opened, err := openEndpoint("", "127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(writer, "whole")
	}), fault.New())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- serveUntil(ctx, "test", []endpoint{opened}) }()
	replied := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + opened.listener.Addr().String())
		if err != nil {
			replied <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		replied <- string(body)
	}()
	<-arrived
	stop()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", opened.listener.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, stopTimeout, stopTimeout/100, "the port stays open")
	close(release)
	require.Equal(t, "whole", <-replied)
	require.NoError(t, <-served)
}
