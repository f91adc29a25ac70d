package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/settings"
)

// stoppingServer records that its requests were ended.
type stoppingServer struct {
	http.Handler
	ended chan struct{}
}

func (server stoppingServer) BeginStop(time.Duration) {}

func (server stoppingServer) Stop() {}

func (server stoppingServer) EndRequests() { close(server.ended) }

func (server stoppingServer) AwaitRelayed(context.Context) error { return nil }

func (server stoppingServer) Close() {}

func (server stoppingServer) IdleLimit() time.Duration { return 0 }

func (server stoppingServer) HeadLimit() int { return 0 }

func (server stoppingServer) Reload(*settings.Settings) {}

// Guards against requests that get no answer at the end of the grace because the stop waits
// for a stalled control thread.
func TestStopEndsRequestsWhileControlThreadIsStalled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	text := "[node]\nname = a\nfailure-domain = z\nstop-notice = 10ms\nstop-grace = 500ms\n" +
		"[listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[store]\naddresses = 127.0.0.1:1\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	loaded, problems := settings.Load(path)
	require.Empty(t, problems)
	var running *daemon
	app := fx.New(fx.Supply(loaded, zap.NewNop()), fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		nodeModule, storeModule(loaded), fx.Populate(&running))
	require.NoError(t, app.Err())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := stoppingServer{ended: make(chan struct{})}
	running.callerServer, running.cancel = server, cancel
	go running.timers.Run(ctx)
	stopped := make(chan error, 1)
	go func() { stopped <- running.stop(ctx) }()
	select {
	case <-server.ended:
	case <-time.After(10 * time.Second):
		t.Error("requests have not been ended")
	}
	cancel()
	go running.controller.Run(ctx)
	<-stopped
}
