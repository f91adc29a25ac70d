package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/control"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/mirror"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/platform"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/settings"
	"lacewingspoke.org/lacewingspoke/timer"
)

// sharedModule builds the parts of a node on a platform whose store targets and
// operators write to as well.
var sharedModule = fx.Provide(
	newBootClock,
	newBootTimers,
	newStoreClient,
	newMirror,
	newFeed,
	newForward,
	newForwardTraffic,
	newFeedController,
)

const (
	// freshPart is the part of the revocation bound for which a configuration
	// counts as the newest. The rest covers a request that is on its way.
	freshPart = 0.8

	// returnGrace is above the two seconds within which entries are back after
	// an outage of the store.
	returnGrace = 2300 * time.Millisecond

	// retrySafety leaves room for nodes whose number is known late.
	retrySafety = 0.8

	// loadSlack is the number of loads beside the rate in a window.
	loadSlack = 2

	// sharedLease is the shortest lease that bears two lost renewals of a second.
	sharedLease = 3 * time.Second

	// sharedClaimStep covers a write and its way through a watch, about 30 ms.
	sharedClaimStep = 250 * time.Millisecond

	// sharedSettleNear and sharedSettleFar cover the start of all nodes, which
	// differ by 300 ms.
	sharedSettleNear = 100 * time.Millisecond
	sharedSettleFar  = 900 * time.Millisecond
)

func newBootClock() (*timer.BootClock, error) {
	clock := timer.NewBootClock()
	if clock == nil {
		return nil, errors.NotSupportedf("boot clock")
	}
	return clock, nil
}

func newBootTimers(clock *timer.BootClock, logger *zap.Logger) *timer.Service {
	return timer.New(timer.Config{Logger: logger, Clock: clock.Now})
}

func newStoreClient(loaded *settings.Settings, registry *prometheus.Registry) (*platform.StoreClient, error) {
	client, err := platform.NewStoreClient(platform.StoreClientConfig{
		Address:    loaded.StoreAddresses()[0],
		Timeout:    loaded.StoreTimeout(),
		Registerer: registry,
	})
	return client, errors.Trace(err)
}

func newMirror(client *platform.StoreClient, clock *timer.BootClock, logger *zap.Logger, registry *prometheus.Registry) (*mirror.Mirror, error) {
	mirrored, err := mirror.New(mirror.Config{Store: client, Now: clock.Now, Logger: logger, Registerer: registry})
	return mirrored, errors.Trace(err)
}

func newFeed(mirrored *mirror.Mirror, clock *timer.BootClock, logger *zap.Logger) *platform.Feed {
	return platform.NewFeed(platform.FeedConfig{Client: mirrored, Clock: clock.Now, Logger: logger})
}

// mirroredPlatform reads keys through the mirror and makes all other calls
// itself.
type mirroredPlatform struct {
	*platform.StoreClient
	mirrored *mirror.Mirror
}

// List implements kvstore.Store.
func (client mirroredPlatform) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	return client.mirrored.List(ctx, prefix)
}

// Watch implements kvstore.Store.
func (client mirroredPlatform) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	return client.mirrored.Watch(ctx, prefix, after, wait)
}

// forwardParams are what the forward server is built from.
type forwardParams struct {
	fx.In

	Settings  *settings.Settings
	Publisher *route.Publisher
	Feed      *platform.Feed
	Mirror    *mirror.Mirror
	Clock     *timer.BootClock
	Timers    *timer.Service
	Logger    *zap.Logger
	Registry  *prometheus.Registry
}

func newForward(params forwardParams) (*forward.Server, error) {
	server, err := forward.New(forward.Config{
		Publisher:       params.Publisher,
		Codec:           platform.Codec{},
		FailureDomain:   params.Settings.FailureDomain(),
		Now:             params.Clock.Now,
		Timers:          params.Timers,
		Confirmed:       params.Feed.Confirmed,
		MaxConfirmedAge: time.Duration(freshPart * float64(params.Settings.RevocationBound())),
		LoadReported:    params.Mirror.AddNote,
		Retries:         retriesOf(params.Settings),
		MinNodes:        params.Settings.MinNodes(),
		Logger:          params.Logger,
		Registerer:      params.Registry,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	params.Mirror.SetNoteHandler(func(note mirror.Note) { server.ObserveLoad(note.Key, note.Value, note.At) })
	return server, nil
}

func retriesOf(loaded *settings.Settings) limit.RetryAllowanceConfig {
	return limit.RetryAllowanceConfig{
		Window: loaded.RetryWindow(),
		Ratio:  loaded.RetryRatio(),
		Slack:  loaded.RetrySlack(),
		Safety: retrySafety,
	}
}

func newForwardTraffic(server *forward.Server) callerTraffic { return forwardCallers{Server: server} }

// forwardCallers is the forward server as the daemon sees it.
type forwardCallers struct{ *forward.Server }

// Reload takes the bounds that can change while the node runs.
func (callers forwardCallers) Reload(changed *settings.Settings) {
	callers.SetRetries(retriesOf(changed))
}

// feedParams are what the control thread of a node that follows a feed is built
// from.
type feedParams struct {
	fx.In

	Settings    *settings.Settings
	Incarnation incarnation
	Client      *platform.StoreClient
	Mirror      *mirror.Mirror
	Feed        *platform.Feed
	Mesh        *peer.Mesh
	Forward     *forward.Server
	Publisher   *route.Publisher
	Timers      *timer.Service
	Logger      *zap.Logger
	Registry    *prometheus.Registry
}

func newFeedController(params feedParams) (*control.Controller, error) {
	controller, err := control.New(control.Config{
		Name:          params.Settings.Name(),
		Incarnation:   string(params.Incarnation),
		FailureDomain: params.Settings.FailureDomain(),
		PeerAddress:   params.Mesh.Address(),
		AdminAddress:  params.Settings.AdminAddress(),
		LeaseMinimum:  sharedLease,
		ClaimStep:     sharedClaimStep,
		SettleNear:    sharedSettleNear,
		SettleFar:     sharedSettleFar,
		Feed: control.FeedConfig{
			Events:      params.Feed.Events(),
			SetPause:    params.Feed.SetPause,
			SetSources:  params.Mirror.SetSources,
			ReturnGrace: returnGrace,
			LoadWindow:  params.Settings.LoadWindow(),
			LoadSlack:   loadSlack,
			Bootstrap:   params.Settings.Bootstrap(),
		},
		Platform:   mirroredPlatform{StoreClient: params.Client, mirrored: params.Mirror},
		Mesh:       params.Mesh,
		Engines:    platform.NewEngines(),
		Services:   announcedServices{},
		Traffic:    forwardTraffic{Server: params.Forward},
		Publisher:  params.Publisher,
		Timers:     params.Timers,
		Logger:     params.Logger,
		Registerer: params.Registry,
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return controller, errors.Trace(err)
}

// announcedServices stands for the reports of service runners, which the feed
// announces.
type announcedServices struct{}

// Report implements control.Services. It is not called.
func (announcedServices) Report(context.Context, string) (control.ServiceReport, error) {
	return control.ServiceReport{}, errors.NotSupportedf("report of a service runner")
}

// forwardTraffic is the forward server as the control thread sees it. Nothing
// of the demand is passed between the nodes.
type forwardTraffic struct{ *forward.Server }

// Usage returns no demand.
func (forwardTraffic) Usage() []peer.WorkspaceUsage { return nil }

// SetUsage takes no demand.
func (forwardTraffic) SetUsage([]peer.Usage) {}
