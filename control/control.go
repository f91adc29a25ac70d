// Package control is the control thread of a node.
//
// One goroutine owns all control state: the configuration in force, the
// membership of the fleet, the placement and grants of every fabric domain
// and the targets that are leaving. It feeds events to the core packages
// generation, fleet and group and carries out their effects. Calls to the
// store, to engines and to peers run in workers, whose results come back as
// messages. Traffic reads the route.Table that the goroutine publishes.
//
// # Usage
//
//	controller, err := control.New(control.Config{
//		Name:          "node-1",
//		Incarnation:   incarnation,
//		FailureDomain: "constanta-port",
//		Platform:      client,
//		Mesh:          mesh,
//		Engines:       engines,
//		Publisher:     publisher,
//		Timers:        timers,
//	})
//	go controller.Run(ctx)
//	...
//	controller.BeginStop()
//	// wait for requests in progress
//	controller.FinishStop(ctx)
package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
)

// A Platform is what the control thread uses of the platform.
type Platform interface {
	kvstore.Store
	kvstore.VMList
	AcquireWeights(ctx context.Context, bytes int64) (granted bool, retry time.Duration, err error)
}

// A Mesh is the links to the other nodes.
type Mesh interface {
	Events() <-chan peer.Event
	SetTargets(targets []peer.Target)
	SetGeneration(generation uint64)
	Send(name string, frame peer.Frame) bool
	Broadcast(frame peer.Frame, except string)
	SendComposed(name string, frame peer.Frame, composed time.Time) bool
	BroadcastComposed(frame peer.Frame, except string, composed time.Time)
	Linked() []string
}

// Engines reads reports and sends orders.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
	SendOrder(ctx context.Context, address string, order engine.Order) engine.OrderOutcome
}

// Services reads the reports of service runners.
type Services interface {
	Report(ctx context.Context, address string) (ServiceReport, error)
}

// A ServiceReport is what a service runner says of itself.
type ServiceReport struct {
	Load    group.Load
	Leaving bool
}

// Traffic is the part of the node that carries requests.
type Traffic interface {
	// Usage returns this node's demand of each workspace.
	Usage() []peer.WorkspaceUsage

	// SetUsage replaces the demand at the other nodes.
	SetUsage(usage []peer.Usage)

	// Begun reports whether a caller's request has arrived since the start.
	Begun() bool

	// Suspected returns the groups whose streams stood still since the last
	// call.
	Suspected() []string

	// SetNodes sets the number of live nodes.
	SetNodes(nodes int)
}

// Config holds what a Controller needs.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// PeerAddress and AdminAddress are IP:port.
	PeerAddress  string
	AdminAddress string

	// Seeds are the peer addresses to dial while no node is known by name.
	Seeds []string

	// LeaseMinimum is the shortest lease of a node; 0 means the default of
	// package fleet.
	LeaseMinimum time.Duration

	// ClaimStep, SettleNear and SettleFar pace the claims of fabric domains; 0
	// means the defaults of package fleet.
	ClaimStep  time.Duration
	SettleNear time.Duration
	SettleFar  time.Duration

	// Feed makes the node follow a platform that announces its targets' own
	// reports and the configuration.
	Feed FeedConfig

	Platform  Platform
	Mesh      Mesh
	Engines   Engines
	Services  Services
	Traffic   Traffic
	Publisher *route.Publisher
	Timers    *timer.Service
	Logger    *zap.Logger

	// Registerer is optional.
	Registerer prometheus.Registerer

	// Random spreads polls and retries.
	Random *rand.Rand
}

// A Controller runs the control thread.
type Controller struct {
	config   Config
	state    *state
	results  chan message
	commands chan command
	done     chan error
	health   atomic.Pointer[health]
}

// health is what the control thread last said of the node.
type health struct {
	configured bool
	stopping   bool
	isolated   bool
	at         time.Time
}

// Bounds of the health check.
const (
	// stallBound is how old the last turn of the control thread may be.
	stallBound = 3 * time.Second

	// isolationBound is how long a node that knows of others may reach neither
	// the store nor a peer before its health check fails. It is longer than a
	// store call's timeout and a redial together.
	isolationBound = 10 * time.Second
)

const (
	resultsBuffer  = 256
	commandsBuffer = 16
)

// New returns a controller that starts with Run. It returns an
// errors.NotValid error for a config without a required part.
func New(config Config) (*Controller, error) {
	if err := validate(config); err != nil {
		return nil, errors.Trace(err)
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	controller := &Controller{
		config:   config,
		results:  make(chan message, resultsBuffer),
		commands: make(chan command, commandsBuffer),
		done:     make(chan error, 1),
	}
	controller.state = newState(controller)
	controller.health.Store(&health{})
	return controller, nil
}

func validate(config Config) error {
	switch {
	case config.Name == "":
		return errors.NotValidf("controller without name")
	case config.Incarnation == "":
		return errors.NotValidf("controller without incarnation")
	case config.Platform == nil, config.Mesh == nil, config.Engines == nil:
		return errors.NotValidf("controller without platform, mesh or engines")
	case config.Services == nil, config.Traffic == nil, config.Publisher == nil:
		return errors.NotValidf("controller without services, traffic or publisher")
	case config.Timers == nil, config.Random == nil:
		return errors.NotValidf("controller without timers or random source")
	}
	return nil
}

// Done reports the end of Run.
func (controller *Controller) Done() <-chan error { return controller.done }

// Healthy returns nil when the node should receive callers, and otherwise the
// reason why not.
func (controller *Controller) Healthy() error {
	last := controller.health.Load()
	switch {
	case last.stopping:
		return errors.New("node is stopping")
	case !last.configured:
		return errors.New("node has no configuration")
	case last.isolated:
		return errors.New("node reaches neither the store nor a peer")
	case controller.config.Timers.Now().Sub(last.at) > stallBound:
		return errors.New("control thread is stalled")
	}
	return nil
}

// fleetConfig returns the configuration of the membership core.
func (config Config) fleetConfig() fleet.Config {
	return fleet.Config{
		Name:          config.Name,
		Incarnation:   config.Incarnation,
		FailureDomain: config.FailureDomain,
		PeerAddress:   config.PeerAddress,
		AdminAddress:  config.AdminAddress,
		Seeds:         config.Seeds,
		LeaseMinimum:  config.LeaseMinimum,
		ClaimStep:     config.ClaimStep,
		Mirrored:      config.Feed.SetSources != nil,
		SettleNear:    config.SettleNear,
		SettleFar:     config.SettleFar,
		Random:        config.Random,
	}
}
