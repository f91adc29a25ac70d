package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/control"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/mirror"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/service"
	"lacewingspoke.org/lacewingspoke/settings"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/trafficsync"
)

// nodeModule builds the components that every node has.
var nodeModule = fx.Provide(
	newIncarnation,
	newRegistry,
	newMesh,
	route.NewPublisher,
	quarantine.NewTracker,
	newTargetLimits,
	newNodeCalls,
	newAdmin,
	newDaemon,
)

// nativeModule builds the components of a node that uses the product's own
// protocols for the store, engines and services.
var nativeModule = fx.Provide(
	newTimers,
	newPlatform,
	newEngines,
	newEntry,
	newController,
	newEntryCallerServer,
)

// storeModule returns the components that depend on the store's protocol.
func storeModule(loaded *settings.Settings) fx.Option {
	if loaded.StoreProtocol() == settings.ProtocolShared {
		return sharedModule
	}
	return nativeModule
}

// incarnation is a random id that distinguishes two runs of a node.
type incarnation string

func newIncarnation() incarnation { return incarnation(uuid.NewString()) }

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

func newTimers(logger *zap.Logger) *timer.Service {
	return timer.New(timer.Config{Logger: logger})
}

func newPlatform(loaded *settings.Settings, registry *prometheus.Registry) (*kvstore.Client, error) {
	client, err := kvstore.NewClient(kvstore.ClientConfig{
		Addresses:  loaded.StoreAddresses(),
		Timeout:    loaded.StoreTimeout(),
		Registerer: registry,
	})
	return client, errors.Trace(err)
}

func newMesh(loaded *settings.Settings, run incarnation, logger *zap.Logger, registry *prometheus.Registry) (*peer.Mesh, error) {
	mesh, err := peer.New(peer.Config{
		Name:          loaded.Name(),
		Incarnation:   string(run),
		FailureDomain: loaded.FailureDomain(),
		Listen:        loaded.PeersAddress(),
		MaxHandshakes: max(1, int(peersDescriptors*float64(loaded.Descriptors()))),
		Logger:        logger,
		Registerer:    registry,
	})
	return mesh, errors.Trace(err)
}

func newEngines(registry *prometheus.Registry) (*engine.ControlClient, error) {
	client, err := engine.NewControlClient(engine.ControlConfig{Registerer: registry})
	return client, errors.Trace(err)
}

// entryParams are the dependencies of the entry server.
type entryParams struct {
	fx.In

	Settings  *settings.Settings
	Publisher *route.Publisher
	Tracker   *quarantine.Tracker
	Platform  *kvstore.Client
	Logger    *zap.Logger
	Registry  *prometheus.Registry
}

func newEntry(params entryParams) (*entry.Server, error) {
	server, err := entry.New(entry.Config{
		Publisher:      params.Publisher,
		Quarantine:     params.Tracker,
		Store:          params.Platform,
		Node:           params.Settings.Name(),
		FailureDomain:  params.Settings.FailureDomain(),
		MaxBodyBytes:   params.Settings.MaxBody(),
		MaxBodies:      int64(bodiesRatio * float64(params.Settings.Memory())),
		MaxAnswerBytes: int(params.Settings.MaxAnswer()),
		Capacity:       params.Settings.MaxInFlight(),
		QueueLimit:     params.Settings.MaxQueue(),
		Logger:         params.Logger,
		Registerer:     params.Registry,
	})
	return server, errors.Trace(err)
}

func newTargetLimits(loaded *settings.Settings) *limit.TargetLimits {
	return limit.NewTargetLimits(loaded.Name())
}

// controllerParams are the dependencies of the control thread.
type controllerParams struct {
	fx.In

	Settings    *settings.Settings
	Incarnation incarnation
	Platform    *kvstore.Client
	Mesh        *peer.Mesh
	Engines     *engine.ControlClient
	Entry       *entry.Server
	Calls       nodeCalls
	Quarantine  *quarantine.Tracker
	Publisher   *route.Publisher
	Timers      *timer.Service
	Logger      *zap.Logger
	Registry    *prometheus.Registry
}

func newController(params controllerParams) (*control.Controller, error) {
	controller, err := control.New(control.Config{
		Name:          params.Settings.Name(),
		Incarnation:   string(params.Incarnation),
		FailureDomain: params.Settings.FailureDomain(),
		PeerAddress:   params.Mesh.Address(),
		AdminAddress:  params.Settings.AdminAddress(),
		Seeds:         params.Settings.Seeds(),
		Quarantine:    params.Quarantine,
		ReportEndings: params.Calls.ReportEndings,
		AskParts:      params.Calls.AskParts,
		TellDecision:  params.Calls.TellDecision,
		Platform:      params.Platform,
		Mesh:          params.Mesh,
		Engines:       params.Engines,
		Services:      serviceReports{client: service.NewReportClient()},
		Traffic:       entryTraffic{server: params.Entry},
		Publisher:     params.Publisher,
		Timers:        params.Timers,
		Logger:        params.Logger,
		Registerer:    params.Registry,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return controller, errors.Trace(err)
}

// adminParams are the dependencies of the admin interface.
type adminParams struct {
	fx.In

	Settings   *settings.Settings
	Controller *control.Controller
	Registry   *prometheus.Registry
	Mirror     *mirror.Mirror    `optional:"true"`
	Forward    *forward.Server   `optional:"true"`
	Traffic    *trafficsync.Link `optional:"true"`
	Entry      *entry.Server     `optional:"true"`
}

func newAdmin(params adminParams) *admin.Server {
	config := admin.Config{
		Node: params.Controller, Gatherer: params.Registry, TakeEndings: params.Controller.TakeEndings, PartAges: params.Controller.PartAges,
		TakeDecision: params.Controller.TakeDecision,
		MaxBodies:    int64(adminBodiesRatio * float64(params.Settings.Memory())),
	}
	if params.Mirror != nil {
		config.GroupStalled = params.Controller.GroupStalled
		config.Reached = params.Controller.Reached
		config.Mirror = params.Mirror.Handler()
	}
	if params.Traffic != nil {
		config.Traffic = params.Traffic.Handler()
	}
	if params.Forward != nil {
		config.Relay = http.HandlerFunc(params.Forward.ServeRelayed)
		config.Explain = params.Forward.Explain
	}
	if params.Entry != nil {
		config.Explain = params.Entry.Explain
	}
	return admin.New(config)
}

// serviceReports reads the reports of service runners for the control thread. It
// implements control.Services.
type serviceReports struct{ client *service.ReportClient }

// Report reads the report of one runner.
func (reports serviceReports) Report(ctx context.Context, address string) (control.ServiceReport, error) {
	report, err := reports.client.Report(ctx, address)
	if err != nil {
		return control.ServiceReport{}, errors.Trace(err)
	}
	return control.ServiceReport{
		Load:     group.Load{Running: report.Running, Queued: report.Queued},
		Draining: report.State == service.StateLeaving,
	}, nil
}

// callerServer is the component of a node that handles callers' requests.
type callerServer interface {
	http.Handler

	// BeginStop makes the server refuse requests that may last longer than the time left.
	BeginStop(left time.Duration)

	// Stop makes the server refuse requests that arrive after the call.
	Stop()

	// EndRequests ends the requests in progress. Each gets its last answer.
	EndRequests()

	// AwaitRelayed waits until the requests that the server handles for other nodes have
	// ended, or the context has.
	AwaitRelayed(ctx context.Context) error
	Close()

	// IdleLimit returns how long callers may use a connection without a request again, 0
	// for no limit.
	IdleLimit() time.Duration

	// HeadLimit returns the bound of a request's head by the configuration in force, 0 for
	// none.
	HeadLimit() int

	// Reload applies the settings that can change while the node runs.
	Reload(changed *settings.Settings)
}

func newEntryCallerServer(server *entry.Server) callerServer {
	return entryCallerServer{Server: server}
}

// entryCallerServer adapts the entry server to callerServer.
type entryCallerServer struct{ *entry.Server }

// AwaitRelayed returns nil: nodes without a feed handle no requests for others.
func (entryCallerServer) AwaitRelayed(context.Context) error { return nil }

// IdleLimit returns 0: the operators' folder has no such limit.
func (entryCallerServer) IdleLimit() time.Duration { return 0 }

// HeadLimit returns 0: the limit is a setting.
func (entryCallerServer) HeadLimit() int { return 0 }

// Reload does nothing: the limits on callers come from the operators' folder, not
// from the settings file.
func (entryCallerServer) Reload(*settings.Settings) {}

// entryTraffic passes workspace demand between the entry server and the peers. It
// implements control.Traffic.
type entryTraffic struct{ server *entry.Server }

// Usage returns this node's demand.
func (traffic entryTraffic) Usage() []peer.WorkspaceUsage {
	var demand []peer.WorkspaceUsage
	for _, usage := range traffic.server.Usage() {
		demand = append(demand, peer.WorkspaceUsage{
			Workspace: usage.Workspace,
			InFlight:  usage.InFlight,
			Queued:    usage.Queued,
		})
	}
	return demand
}

// RequestReceived returns true. The control thread uses it only on a node with a
// feed, and such a node has a forward server instead of the entry server.
func (traffic entryTraffic) RequestReceived() bool { return true }

// SetNodes does nothing: the entry server takes the other nodes from the demand
// that they report, see SetUsage.
func (traffic entryTraffic) SetNodes([]fleet.Node) {}

// TakeLeaving returns nothing: targets of nodes without a feed report that they leave.
func (traffic entryTraffic) TakeLeaving() []route.LeavingTarget { return nil }

// TargetsLost returns false: nodes without a feed have no other way to their targets.
func (traffic entryTraffic) TargetsLost() bool { return false }

// StalledGroups returns no group. No probe of stalled groups is needed, because the
// grants of a group end when a member is lost.
func (traffic entryTraffic) StalledGroups() []string { return nil }

// SetUsage replaces the demand reported by the other nodes.
func (traffic entryTraffic) SetUsage(frames []peer.Usage) {
	others := make([]limit.NodeUsage, 0, len(frames))
	for _, frame := range frames {
		other := limit.NodeUsage{Node: frame.Origin}
		for _, usage := range frame.Workspaces {
			other.Workspaces = append(other.Workspaces, limit.Usage{
				Workspace: usage.Workspace,
				InFlight:  usage.InFlight,
				Queued:    usage.Queued,
			})
		}
		others = append(others, other)
	}
	traffic.server.SetUsage(others)
}
