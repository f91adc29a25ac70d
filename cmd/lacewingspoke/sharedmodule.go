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
	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/mirror"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/platform"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/settings"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/traffic"
	"lacewingspoke.org/lacewingspoke/trafficsync"
)

// sharedModule builds the components of a node on a platform whose store is
// shared: targets and operators write to it as well.
var sharedModule = fx.Provide(
	newBootClock,
	newBootTimers,
	newDrainPlan,
	newStoreClient,
	newMirror,
	newFeed,
	newTraffic,
	newTrafficLink,
	newForward,
	newColdTargets,
	newForwardCallerServer,
	newFeedController,
)

const (
	// freshnessRatio is the fraction of the revocation bound for which a
	// confirmed configuration counts as the newest. The rest of the bound covers
	// requests that are already in transit.
	freshnessRatio = 0.8

	// returnGrace is longer than the two seconds within which the entries of
	// targets return after an outage of the store.
	returnGrace = 2300 * time.Millisecond

	// discoveryTime is how long a starting node waits for the list of nodes, which
	// the store sends within milliseconds, before it reads anything else.
	discoveryTime = 500 * time.Millisecond

	// retrySafety is the fraction of the retry bound that is used. It is below 1
	// because nodes observe a change in the number of nodes with a delay.
	retrySafety = 0.8

	// loadSlack is the number of loads from the weight store that are allowed in
	// a window in addition to the engine's rate.
	loadSlack = 2

	// sharedLeaseMinimum is the shortest lease that survives two failed renewals
	// at an interval of one second.
	sharedLeaseMinimum = 3 * time.Second

	// sharedRenewalsPerSecond keeps leases at sharedLeaseMinimum in fleets of up to
	// 300 nodes. The store counts a renewal as a tenth of a read.
	sharedRenewalsPerSecond = 300

	// sharedClaimStep covers a write and its delivery through a watch, which
	// take about 30 ms.
	sharedClaimStep = 250 * time.Millisecond

	// sharedSettleNear and sharedSettleFar allow for the start of all nodes
	// together, whose start times differ by 300 ms. A node that starts later leaves all
	// domains to others for sharedSettleFar: after an outage in which all leases ran out, the
	// leaders of before claim theirs 0.1 to 0.3 s after a node that has just started could, and
	// only they have seen the VMs whose announcements ran out as well.
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

// newDrainPlan returns the plan of the drain bound. It returns an errors.NotValid error for a
// bound that nodes cannot keep.
func newDrainPlan(loaded *settings.Settings) (directory.DrainPlan, error) {
	plan := directory.NewDrainPlan(loaded.DrainBound())
	if !plan.Holds() {
		return plan, errors.NotValidf("drain bound of %v, where requests may reach a target for %v after it has left,", loaded.DrainBound(), plan.LastRequest())
	}
	return plan, nil
}

func newStoreClient(loaded *settings.Settings, plan directory.DrainPlan, logger *zap.Logger, registry *prometheus.Registry) (*platform.StoreClient, error) {
	client, err := platform.NewStoreClient(platform.StoreClientConfig{
		Address:    loaded.StoreAddresses()[0],
		Timeout:    loaded.StoreTimeout(),
		Silence:    plan.Silence(),
		Logger:     logger,
		Registerer: registry,
	})
	return client, errors.Trace(err)
}

func newMirror(plan directory.DrainPlan, client *platform.StoreClient, clock *timer.BootClock, logger *zap.Logger, registry *prometheus.Registry) (*mirror.Mirror, error) {
	mirrored, err := mirror.New(mirror.Config{
		Store:     client,
		Now:       clock.Now,
		Content:   platform.EntryContent,
		Follows:   platform.EntryFollows,
		HoldTime:  discoveryTime,
		Discovery: fleet.NodePrefix,
		Bounds: mirror.Bounds{
			ReadAge:        plan.ReadAge(),
			RelayedReadAge: plan.RelayedReadAge(),
			SourceWait:     plan.SourceWait(),
			SourceAnswer:   plan.SourceAnswer(),
		},
		Logger:     logger,
		Registerer: registry,
	})
	return mirrored, errors.Trace(err)
}

func newFeed(loaded *settings.Settings, plan directory.DrainPlan, mirrored *mirror.Mirror, clock *timer.BootClock, logger *zap.Logger) *platform.Feed {
	return platform.NewFeed(platform.FeedConfig{
		Client: mirrored, Revocation: loaded.RevocationBound(), Evacuations: loaded.Evacuation() > 0, TargetWait: plan.TargetWait(),
		Clock: clock.Now, Logger: logger,
	})
}

// mirroredPlatform lists and watches keys through the mirror and sends all other
// calls directly to the store.
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

func newTraffic(loaded *settings.Settings) *traffic.Exchange {
	return traffic.New(traffic.Config{Node: loaded.Name()})
}

func newTrafficLink(exchange *traffic.Exchange, clock *timer.BootClock, timers *timer.Service, logger *zap.Logger, registry *prometheus.Registry) (*trafficsync.Link, error) {
	link, err := trafficsync.New(trafficsync.Config{Exchange: exchange, Now: clock.Now, Timers: timers, Logger: logger, Registerer: registry})
	return link, errors.Trace(err)
}

// setHubs returns a function that passes on which nodes add up the counts of traffic.
func setHubs(exchange *traffic.Exchange) func(domains [][]fleet.Node, nodes int) {
	return func(domains [][]fleet.Node, nodes int) {
		ranked := make([][]traffic.Hub, 0, len(domains))
		for _, domain := range domains {
			var hubs []traffic.Hub
			for _, node := range domain {
				hubs = append(hubs, traffic.Hub{Node: node.Name, Address: node.AdminAddress})
			}
			ranked = append(ranked, hubs)
		}
		exchange.SetHubs(ranked, nodes)
	}
}

// forwardParams are the dependencies of the forward server.
type forwardParams struct {
	fx.In

	Settings  *settings.Settings
	Publisher *route.Publisher
	Feed      *platform.Feed
	Tracker   *quarantine.Tracker
	Limits    *limit.TargetLimits
	Cold      *limit.ColdTargets
	Calls     nodeCalls
	Traffic   *traffic.Exchange
	Clock     *timer.BootClock
	Timers    *timer.Service
	Logger    *zap.Logger
	Registry  *prometheus.Registry
}

func newForward(params forwardParams) (*forward.Server, error) {
	retries := retryAllowance(params.Settings)
	if !params.Settings.Bootstrap() {
		retries.SlackFrom = params.Clock.Now().Add(retries.Window)
	}
	server, err := forward.New(forward.Config{
		Publisher:       params.Publisher,
		Codec:           platform.Codec{},
		FailureDomain:   params.Settings.FailureDomain(),
		Node:            params.Settings.Name(),
		AskReached:      params.Calls.AskReached,
		Now:             params.Clock.Now,
		Timers:          params.Timers,
		Confirmed:       params.Feed.Confirmed,
		MaxConfirmedAge: time.Duration(freshnessRatio * float64(params.Settings.RevocationBound())),
		Retries:         retries,
		MinNodes:        params.Settings.MinNodes(),
		MaxBodies:       int64(bodiesRatio * float64(params.Settings.Memory())),
		Quarantine:      params.Tracker,
		Limits:          params.Limits,
		Traffic:         params.Traffic,
		Cold:            params.Cold,
		Logger:          params.Logger,
		Registerer:      params.Registry,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return server, nil
}

func newColdTargets(loaded *settings.Settings) *limit.ColdTargets {
	return limit.NewColdTargets(limit.ColdTargetsConfig{Node: loaded.Name(), MinNodes: loaded.MinNodes(), Overage: loaded.ColdOverage()})
}

func retryAllowance(loaded *settings.Settings) limit.RetryAllowanceConfig {
	return limit.RetryAllowanceConfig{
		Window: loaded.RetryWindow(),
		Ratio:  loaded.RetryRatio(),
		Slack:  loaded.RetrySlack(),
		Safety: retrySafety,
	}
}

func newForwardCallerServer(server *forward.Server) callerServer {
	return forwardCallerServer{Server: server}
}

// forwardCallerServer adapts the forward server to callerServer.
type forwardCallerServer struct{ *forward.Server }

// Reload applies the bounds on retries, which can change while the node runs.
func (server forwardCallerServer) Reload(changed *settings.Settings) {
	server.SetRetries(retryAllowance(changed))
}

// feedParams are the dependencies of the control thread on a node with a feed.
type feedParams struct {
	fx.In

	Settings    *settings.Settings
	Drain       directory.DrainPlan
	Incarnation incarnation
	Client      *platform.StoreClient
	Mirror      *mirror.Mirror
	Feed        *platform.Feed
	Mesh        *peer.Mesh
	Forward     *forward.Server
	Calls       nodeCalls
	Exchange    *traffic.Exchange
	Follow      followDemand
	Quarantine  *quarantine.Tracker
	Limits      *limit.TargetLimits
	Cold        *limit.ColdTargets
	Publisher   *route.Publisher
	Timers      *timer.Service
	Logger      *zap.Logger
	Registry    *prometheus.Registry
}

func newFeedController(params feedParams) (*control.Controller, error) {
	controller, err := control.New(control.Config{
		Name:              params.Settings.Name(),
		Incarnation:       string(params.Incarnation),
		FailureDomain:     params.Settings.FailureDomain(),
		ProcessorShare:    params.Settings.ProcessorShare(),
		PeerAddress:       params.Mesh.Address(),
		AdminAddress:      params.Settings.AdminAddress(),
		LeaseMinimum:      sharedLeaseMinimum,
		RenewalsPerSecond: sharedRenewalsPerSecond,
		ClaimStep:         sharedClaimStep,
		SettleNear:        settleNear(params.Settings),
		SettleFar:         sharedSettleFar,
		Feed: control.FeedConfig{
			Events:        params.Feed.Events(),
			SetPause:      params.Feed.SetPause,
			SetSources:    params.Mirror.SetSources,
			SetHubs:       setHubs(params.Exchange),
			ReportStalled: params.Calls.ReportStalled,
			ReturnGrace:   returnGrace,
			Announcement:  params.Settings.Announcement(),
			LapseGrace:    params.Drain.LapseGrace(),
			Pools:         poolUses(params.Exchange, params.Follow),
			LoadWindow:    params.Settings.LoadWindow(),
			LoadSlack:     loadSlack,
			Bootstrap:     params.Settings.Bootstrap(),
			Evacuation:    params.Settings.Evacuation(),
			InProgress:    params.Forward.InProgress,
		},
		Limits:        params.Limits,
		Cold:          params.Cold,
		Quarantine:    params.Quarantine,
		ReportEndings: params.Calls.ReportEndings,
		AskParts:      params.Calls.AskParts,
		AskReached:    params.Calls.AskReached,
		TellDecision:  params.Calls.TellDecision,

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

func settleNear(loaded *settings.Settings) time.Duration {
	if loaded.Bootstrap() {
		return sharedSettleNear
	}
	return sharedSettleFar
}

// announcedServices is the control.Services of a node with a feed, which receives
// the reports of service runners through the feed.
type announcedServices struct{}

// Report implements control.Services. It is never called and returns an
// errors.NotSupported error.
func (announcedServices) Report(context.Context, string) (control.ServiceReport, error) {
	return control.ServiceReport{}, errors.NotSupportedf("report of a service runner")
}

// forwardTraffic adapts the forward server to control.Traffic. Its nodes do not
// exchange the demand of workspaces.
type forwardTraffic struct{ *forward.Server }

// Usage returns no demand.
func (forwardTraffic) Usage() []peer.WorkspaceUsage { return nil }

// SetUsage ignores the demand.
func (forwardTraffic) SetUsage([]peer.Usage) {}

// poolUses returns a function that returns what callers ask of the pools in the whole fleet, or
// nil if groups are not to follow it.
func poolUses(exchange *traffic.Exchange, follow followDemand) func(now time.Time) ([]control.PoolUse, bool) {
	if exchange == nil || !bool(follow) {
		return nil
	}
	return func(now time.Time) ([]control.PoolUse, bool) {
		uses, _, known := exchange.Pools(now)
		pools := make([]control.PoolUse, 0, len(uses))
		for _, use := range uses {
			pools = append(pools, control.PoolUse{Pool: use.Pool, Arrivals: use.Arrivals, Refused: use.Refused, Running: use.Worked, PromptTokens: use.PromptTokens})
		}
		return pools, known
	}
}
