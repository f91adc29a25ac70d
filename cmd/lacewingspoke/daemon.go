package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/control"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/platform"
	"lacewingspoke.org/lacewingspoke/settings"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/trafficsync"
)

const (
	// readHeaderTimeout bounds the time in which a caller must send its header.
	readHeaderTimeout = 10 * time.Second

	// bodyTimeout bounds the time without a byte of a body. It is above the deadlines of
	// ordinary requests.
	bodyTimeout = 10 * time.Second

	// maxHeaderLines is above the number of lines of a head of 16,384 bytes, each with a name
	// and a colon.
	maxHeaderLines = 8192

	// idleTimeout is how long a connection without a request stays open at least.
	idleTimeout = time.Minute

	// beginTimeout bounds the wait for the control thread, which may be stalled, at the
	// beginning of a stop. The requests of the node do not depend on it.
	beginTimeout = time.Second

	// finishTimeout bounds the revocation of the node's lease at the end of a
	// graceful stop.
	finishTimeout = 5 * time.Second

	// adminTimeout bounds the end of the admin server after that.
	adminTimeout = 200 * time.Millisecond

	// Shares of the grace. Requests end after requestsShare, which lies in the last sixth, the
	// last answers have been written after answersShare, and the node has ended after
	// finishShare.
	requestsShare = 0.85
	answersShare  = 0.9
	finishShare   = 0.95
)

// A daemon starts and stops the components of a node.
type daemon struct {
	settings     *settings.Settings
	logger       *zap.Logger
	timers       *timer.Service
	mesh         *peer.Mesh
	controller   *control.Controller
	callerServer callerServer
	callers      *httpserve.Server
	admin        *httpserve.Server

	// ready is a server that serves only the health check. It is nil if the
	// settings have no address for it.
	ready *httpserve.Server

	// feed is nil if the platform does not publish the reports of its targets;
	// the controller then polls them.
	feed *platform.Feed

	// traffic is nil if the nodes exchange no counts of traffic.
	traffic *trafficsync.Link

	// stopGrace is the option of that name, 0 if the setting holds.
	stopGrace time.Duration

	// cancel stops the feed, the timers, the mesh, the traffic counts and the control thread.
	cancel context.CancelFunc

	// serverErrors receives the result of each HTTP server when it ends: nil
	// after a shutdown.
	serverErrors chan error
}

// daemonParams are the dependencies of the daemon.
type daemonParams struct {
	fx.In

	Settings     *settings.Settings
	Logger       *zap.Logger
	Timers       *timer.Service
	Mesh         *peer.Mesh
	Controller   *control.Controller
	CallerServer callerServer
	Feed         *platform.Feed    `optional:"true"`
	Traffic      *trafficsync.Link `optional:"true"`
	Admin        *admin.Server
	Registry     *prometheus.Registry
	Lifecycle    fx.Lifecycle
}

func newDaemon(params daemonParams) *daemon {
	running := &daemon{
		settings:     params.Settings,
		logger:       params.Logger,
		timers:       params.Timers,
		mesh:         params.Mesh,
		controller:   params.Controller,
		callerServer: params.CallerServer,
		feed:         params.Feed,
		traffic:      params.Traffic,
		callers:      newHTTPServer("callers", params.CallerServer, params, callersRoom, params.CallerServer),
		admin:        newHTTPServer("admin", params.Admin.Handler(), params, adminRoom, nil),
		serverErrors: make(chan error, 3),
	}
	if params.Settings.ReadyAddress() != "" {
		running.ready = newHTTPServer("ready", params.Admin.ReadyHandler(), params, readyRoom, nil)
	}
	params.Lifecycle.Append(fx.Hook{OnStart: running.start, OnStop: running.stop})
	for _, server := range []*httpserve.Server{running.callers, running.admin, running.ready} {
		if server != nil {
			params.Registry.MustRegister(server.Collectors()...)
		}
	}
	return running
}

// A roomShare is the room of a listener: shares of the memory for connections and for heads, and
// of the descriptors.
type roomShare struct{ connections, heads, descriptors float64 }

// The rooms of the listeners. Together with the bodies and answers (bodiesRatio, adminBodiesRatio) they
// are about three fifths of the memory, which leaves the rest for the node itself and for what is not
// collected yet, and with sockets that linger they leave a third of the descriptors for targets,
// the store and files. The admin interface has enough for the nodes of a failure domain of 100
// that read the store through one of 184 MB, with four calls each.
var (
	callersRoom = roomShare{connections: 3.0 / 16, heads: 3.0 / 32, descriptors: 3.0 / 8}
	adminRoom   = roomShare{connections: 1.0 / 8, heads: 1.0 / 64, descriptors: 3.0 / 16}
	readyRoom   = roomShare{connections: 1.0 / 64, heads: 1.0 / 128, descriptors: 1.0 / 64}
)

// peersDescriptors is the share of the descriptors for connections of nodes that have not
// introduced themselves.
const peersDescriptors = 1.0 / 64

func (share roomShare) config(loaded *settings.Settings) httpserve.RoomConfig {
	memory, descriptors := float64(loaded.Memory()), float64(loaded.Descriptors())
	return httpserve.NewRoomConfig(int64(share.connections*memory), int64(share.heads*memory), int(share.descriptors*descriptors))
}

func newHTTPServer(name string, handler http.Handler, params daemonParams, room roomShare, limits callerServer) *httpserve.Server {
	config := httpserve.Config{
		Name:           name,
		Handler:        handler,
		HeaderTimeout:  readHeaderTimeout,
		BodyTimeout:    bodyTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderLines: maxHeaderLines,
		Room:           room.config(params.Settings),
		MaxHeaderBytes: int(params.Settings.MaxHeader()),
		Logger:         params.Logger,
	}
	if limits != nil {
		config.IdleLimit, config.HeadLimit = limits.IdleLimit, limits.HeadLimit
	}
	return httpserve.New(config)
}

// start opens the listeners for callers, operators and the health check before
// it runs the components. If an address is in use, start therefore fails before
// the node does any work.
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
		go serve(ctx, daemon.ready, ready, daemon.serverErrors)
	}
	if daemon.feed != nil {
		go daemon.feed.Run(ctx)
	}
	if daemon.traffic != nil {
		go daemon.traffic.Run(ctx)
	}
	go daemon.timers.Run(ctx)
	go daemon.mesh.Run(ctx)
	go daemon.controller.Run(ctx)
	go serve(ctx, daemon.callers, callers, daemon.serverErrors)
	go serve(ctx, daemon.admin, operators, daemon.serverErrors)
	daemon.logger.Info("started",
		zap.String("callers", callers.Addr().String()),
		zap.String("admin", operators.Addr().String()),
		zap.String("peers", daemon.mesh.Address()))
	return nil
}

// serve runs an HTTP server and sends its result to serverErrors when it ends:
// nil if the server was shut down. The context is the base context of all
// requests.
func serve(ctx context.Context, server *httpserve.Server, listener net.Listener, serverErrors chan<- error) {
	serverErrors <- server.Serve(ctx, listener)
}

// settingsInterval is the interval at which the settings file is read again, so
// that changes take effect without a signal.
const settingsInterval = 5 * time.Second

// wait returns nil when a signal arrives, or the cause if an HTTP server or the
// mesh ends by itself. Meanwhile it reads the settings file again at every reload
// signal and every settingsInterval.
func (daemon *daemon) wait(signals, reloads <-chan os.Signal, path string) error {
	ticker := daemon.timers.Every("settings", settingsInterval, 0)
	defer ticker.Cancel()
	for {
		select {
		case <-signals:
			return nil
		case err := <-daemon.serverErrors:
			return errors.Annotate(err, "HTTP server ended")
		case err := <-daemon.mesh.Done():
			return errors.Annotate(err, "peer links ended")
		case <-reloads:
			daemon.reload(path, true)
		case <-ticker.C():
			daemon.reload(path, false)
		}
	}
}

// reload reads the settings file again and applies the settings that can change
// while the node runs. If the file has faults, nothing changes. signaled is true
// if a signal triggered the reload, which is then logged even if no setting
// changed.
func (daemon *daemon) reload(path string, signaled bool) {
	changed, problems := settings.Load(path)
	if len(problems) > 0 {
		daemon.logger.Error("settings rejected", zap.String("file", path), zap.Stringers("problems", problems))
		return
	}
	keys := daemon.settings.Differences(changed)
	if len(keys) == 0 && !signaled {
		return
	}
	daemon.logger.Info("settings read again", zap.Strings("changed", keys), zap.Bool("signal", signaled))
	daemon.settings = changed
	daemon.callerServer.Reload(changed)
}

// stop stops the node without interrupting requests in progress. The health
// check fails at once. The listener for callers stays open for the stop notice,
// in which the balancer detects the failed check and stops sending requests, and
// in which answers on open connections say that these close. Then stop waits for
// the requests in progress. If they have not ended in their part of the grace,
// they get their last answers. The end of the context cuts them.
func (daemon *daemon) stop(ctx context.Context) error {
	began, grace := time.Now(), daemon.grace()
	requestsCtx, endRequests := withGrace(ctx, began, requestsShare, grace)
	defer endRequests()
	answersCtx, endAnswers := withGrace(ctx, began, answersShare, grace)
	defer endAnswers()
	notice := daemon.settings.StopNotice()
	if grace > 0 {
		notice = min(notice, grace/2)
	}
	if end, bounded := requestsCtx.Deadline(); bounded {
		daemon.callerServer.BeginStop(time.Until(end))
	}
	defer context.AfterFunc(requestsCtx, daemon.callerServer.EndRequests)()
	daemon.callers.AnnounceEnd()
	daemon.admin.AnnounceEnd()
	beginCtx, cancelBegin := context.WithTimeout(requestsCtx, beginTimeout)
	defer cancelBegin()
	if err := daemon.controller.BeginStop(beginCtx); err != nil {
		daemon.logger.Warn("the control thread has not begun the stop", zap.Error(err))
	}
	daemon.logConnections("stop notice begins", zap.Duration("notice", notice), zap.Duration("grace", grace))
	daemon.waitFor(ctx, notice)
	daemon.callerServer.Stop()
	daemon.logConnections("stop notice ends")
	err := daemon.callers.End(answersCtx)
	if relayedErr := daemon.callerServer.AwaitRelayed(answersCtx); relayedErr != nil {
		daemon.logger.Warn("requests of other nodes were cut off", zap.Error(relayedErr))
	}
	daemon.callerServer.Close()
	daemon.finish(began, grace)
	if daemon.ready != nil {
		daemon.ready.Close()
	}
	return errors.Trace(err)
}

// grace returns the time from SIGTERM until the platform ends the process, 0 if it does not.
func (daemon *daemon) grace() time.Duration {
	if daemon.stopGrace > 0 {
		return daemon.stopGrace
	}
	return daemon.settings.StopGrace()
}

// finish revokes the node's lease, so that other nodes send nothing more to the admin
// server, and ends that server and the components.
func (daemon *daemon) finish(began time.Time, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	ctx, cancelGrace := withGrace(ctx, began, finishShare, grace)
	defer cancelGrace()
	if err := daemon.controller.FinishStop(ctx); err != nil {
		daemon.logger.Warn("node lease was not revoked; it expires at the end of its TTL", zap.Error(err))
	}
	adminCtx, cancelAdmin := context.WithTimeout(ctx, adminTimeout)
	defer cancelAdmin()
	// Reads of the store for other nodes wait for changes, longer than this.
	_ = daemon.admin.End(adminCtx)
	daemon.cancel()
	select {
	case <-daemon.controller.Done():
	case <-ctx.Done():
		daemon.logger.Warn("the control thread has not ended")
		return
	}
	if daemon.feed != nil {
		select {
		case <-daemon.feed.Done():
		case <-ctx.Done():
			daemon.logger.Warn("the feed has not ended")
		}
	}
	if daemon.traffic != nil {
		select {
		case <-daemon.traffic.Done():
		case <-ctx.Done():
			daemon.logger.Warn("the exchange of traffic counts has not ended")
		}
	}
}

// withGrace returns a context that ends when a share of the grace has passed. A grace of 0
// has no end.
func withGrace(ctx context.Context, began time.Time, share float64, grace time.Duration) (context.Context, context.CancelFunc) {
	if grace == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, began.Add(time.Duration(share*float64(grace))))
}

// logConnections logs the states of the callers' connections at a step of the stop.
func (daemon *daemon) logConnections(step string, fields ...zap.Field) {
	counts := daemon.callers.Connections()
	daemon.logger.With(fields...).Info(step, zap.Int("idle", counts.Idle), zap.Int("reading", counts.Reading), zap.Int("serving", counts.Serving))
}

func (daemon *daemon) waitFor(ctx context.Context, duration time.Duration) {
	delay := daemon.timers.After("stop notice", duration, 0)
	defer delay.Cancel()
	select {
	case <-delay.C():
	case <-ctx.Done():
	}
}
