package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/control"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/platform"
	"lacewingspoke.org/lacewingspoke/settings"
	"lacewingspoke.org/lacewingspoke/timer"
)

const (
	// readHeaderTimeout bounds how long a caller may take to send its header.
	readHeaderTimeout = 10 * time.Second

	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = time.Minute

	// finishTimeout bounds the store calls at the end of a stop.
	finishTimeout = 5 * time.Second
)

// A daemon is the running parts of a node.
type daemon struct {
	settings   *settings.Settings
	logger     *zap.Logger
	timers     *timer.Service
	mesh       *peer.Mesh
	controller *control.Controller
	traffic    callerTraffic
	callers    *http.Server
	admin      *http.Server

	// ready answers the health check alone; nil without an address for it.
	ready *http.Server

	// feed is nil where nothing is announced.
	feed *platform.Feed

	// cancel ends the timers, the mesh and the control thread.
	cancel context.CancelFunc

	// ends receives the end of each HTTP server.
	ends chan error
}

// daemonParams are what the daemon is built from.
type daemonParams struct {
	fx.In

	Settings   *settings.Settings
	Logger     *zap.Logger
	Timers     *timer.Service
	Mesh       *peer.Mesh
	Controller *control.Controller
	Traffic    callerTraffic
	Feed       *platform.Feed `optional:"true"`
	Admin      *admin.Server
	Lifecycle  fx.Lifecycle
}

func newDaemon(params daemonParams) *daemon {
	running := &daemon{
		settings:   params.Settings,
		logger:     params.Logger,
		timers:     params.Timers,
		mesh:       params.Mesh,
		controller: params.Controller,
		traffic:    params.Traffic,
		feed:       params.Feed,
		callers:    newHTTPServer(params.Traffic, params.Settings.MaxHeader()),
		admin:      newHTTPServer(params.Admin.Handler(), params.Settings.MaxHeader()),
		ends:       make(chan error, 3),
	}
	if params.Settings.ReadyAddress() != "" {
		running.ready = newHTTPServer(params.Admin.ReadyHandler(), params.Settings.MaxHeader())
	}
	params.Lifecycle.Append(fx.Hook{OnStart: running.start, OnStop: running.stop})
	return running
}

func newHTTPServer(handler http.Handler, maxHeader int64) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(maxHeader),
	}
}

// start binds all listeners before any part runs, so that a node is never
// half started.
func (daemon *daemon) start(context.Context) error {
	callers, err := net.Listen("tcp", daemon.settings.CallersAddress())
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	operators, err := net.Listen("tcp", daemon.settings.AdminAddress())
	if err != nil {
		callers.Close()
		return errors.Annotate(err, "listen for operators")
	}
	ctx, cancel := context.WithCancel(context.Background())
	daemon.cancel = cancel
	if daemon.ready != nil {
		ready, err := net.Listen("tcp", daemon.settings.ReadyAddress())
		if err != nil {
			callers.Close()
			operators.Close()
			cancel()
			return errors.Annotate(err, "listen for the health check")
		}
		go serve(ctx, daemon.ready, ready, daemon.ends)
	}
	if daemon.feed != nil {
		go daemon.feed.Run(ctx)
	}
	go daemon.timers.Run(ctx)
	go daemon.mesh.Run(ctx)
	go daemon.controller.Run(ctx)
	go serve(ctx, daemon.callers, callers, daemon.ends)
	go serve(ctx, daemon.admin, operators, daemon.ends)
	daemon.logger.Info("started",
		zap.String("callers", callers.Addr().String()),
		zap.String("admin", operators.Addr().String()),
		zap.String("peers", daemon.mesh.Address()))
	return nil
}

// serve runs an HTTP server whose requests carry the context, and reports its
// end. A server that was shut down ends without an error.
func serve(ctx context.Context, server *http.Server, listener net.Listener, ends chan<- error) {
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	ends <- err
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 5 * time.Second

// wait returns at a signal, or with the cause when a part ended by itself.
// Settings that change meanwhile are read again.
func (daemon *daemon) wait(signals, reloads <-chan os.Signal, path string) error {
	looks := daemon.timers.Every("settings", settingsInterval, 0)
	defer looks.Cancel()
	for {
		select {
		case <-signals:
			return nil
		case err := <-daemon.ends:
			return errors.Annotate(err, "HTTP server ended")
		case err := <-daemon.mesh.Done():
			return errors.Annotate(err, "peer links ended")
		case <-reloads:
			daemon.reload(path, true)
		case <-looks.C():
			daemon.reload(path, false)
		}
	}
}

// reload reads the settings again and takes what can change while the node
// runs. Settings with faults change nothing. asked says that a signal came,
// which is logged even when nothing changed.
func (daemon *daemon) reload(path string, asked bool) {
	changed, problems := settings.Load(path)
	if len(problems) > 0 {
		daemon.logger.Error("settings rejected", zap.String("file", path), zap.Stringers("problems", problems))
		return
	}
	keys := daemon.settings.Differences(changed)
	if len(keys) == 0 && !asked {
		return
	}
	daemon.logger.Info("settings read again", zap.Strings("changed", keys), zap.Bool("signal", asked))
	daemon.settings = changed
	daemon.traffic.Reload(changed)
}

// stop ends the node without cutting off a request in progress: the health
// check fails at once, the listener stays open until the balancer has had
// time to notice, and requests in progress end by themselves. The context
// ends the waiting.
func (daemon *daemon) stop(ctx context.Context) error {
	if err := daemon.controller.BeginStop(ctx); err != nil {
		return errors.Trace(err)
	}
	daemon.callers.SetKeepAlivesEnabled(false)
	daemon.waitFor(ctx, daemon.settings.StopNotice())
	daemon.traffic.Stop()
	err := daemon.callers.Shutdown(ctx)
	daemon.traffic.Close()
	finishing, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if finishErr := daemon.controller.FinishStop(finishing); finishErr != nil {
		daemon.logger.Warn("lease was not revoked and lapses by itself", zap.Error(finishErr))
	}
	daemon.cancel()
	<-daemon.controller.Done()
	if daemon.feed != nil {
		<-daemon.feed.Done()
	}
	if daemon.ready != nil {
		daemon.ready.Close()
	}
	daemon.admin.Close()
	return errors.Trace(err)
}

func (daemon *daemon) waitFor(ctx context.Context, duration time.Duration) {
	alarm := daemon.timers.After("stop notice", duration, 0)
	defer alarm.Cancel()
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}
