// Package control implements the control thread of a node.
//
// One goroutine owns all control state: the configuration in force, the
// membership of the fleet, the placement and grants of every fabric domain
// and the draining targets. It passes events to the core packages generation,
// fleet and group and carries out the effects that they return. Calls to the
// store, to engines and to service runners run in worker goroutines, which send
// their results back as messages. The goroutine publishes a route.Table, from
// which the forwarding code reads where to send requests.
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
//		Services:      services,
//		Traffic:       traffic,
//		Publisher:     publisher,
//		Timers:        timers,
//		Random:        random,
//	})
//	if err != nil {
//		return err
//	}
//	go controller.Run(ctx)
//	...
//	err = controller.BeginStop(ctx)
//	// wait for requests in progress
//	err = controller.FinishStop(ctx)
package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
)

// A Platform is the part of the platform's API that the control thread calls:
// the store, the list of VMs and the weight store.
type Platform interface {
	kvstore.Store
	kvstore.VMList
	AcquireWeights(ctx context.Context, bytes int64) (granted bool, retry time.Duration, err error)
}

// A Mesh sends frames to the other nodes over peer links and receives theirs.
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

// Engines reads the reports of engines and sends orders to them.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
	SendOrder(ctx context.Context, address string, order engine.Order) engine.OrderOutcome
}

// Services reads the reports of service runners.
type Services interface {
	Report(ctx context.Context, address string) (ServiceReport, error)
}

// A ServiceReport is the state that a service runner reports.
type ServiceReport struct {
	Load     group.Load
	Draining bool
}

// Traffic is the part of the node that forwards callers' requests.
type Traffic interface {
	// Usage returns the demand of each workspace at this node.
	Usage() []peer.WorkspaceUsage

	// SetUsage replaces the demand reported by the other nodes.
	SetUsage(usage []peer.Usage)

	// RequestReceived reports whether a caller's request has arrived since the
	// start.
	RequestReceived() bool

	// StalledGroups returns the groups with streams that stalled since the last
	// call.
	StalledGroups() []string

	// TakeLeaving returns the targets whose answers to requests contained that they leave,
	// since the last call.
	TakeLeaving() []route.LeavingTarget

	// TargetsLost reports whether requests have found that this node does not reach the
	// targets of a service.
	TargetsLost() bool

	// SetNodes sets the live nodes.
	SetNodes(nodes []fleet.Node)
}

// Config is the configuration of a Controller.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// PeerAddress and AdminAddress are IP:port.
	PeerAddress  string
	AdminAddress string

	// ProcessorShare is the share of a core that the node may use, see
	// fleet.Config.
	ProcessorShare float64

	// Seeds are peer addresses to dial in addition to those of known nodes, see
	// fleet.Config.
	Seeds []string

	// LeaseMinimum is the shortest lease of a node; 0 means the default of
	// package fleet.
	LeaseMinimum time.Duration

	// RenewalsPerSecond bounds the lease renewals of all nodes, see fleet.Config.
	RenewalsPerSecond int

	// ClaimStep, SettleNear and SettleFar set the delays of the claims of
	// fabric domains, see fleet.Config; 0 means the defaults of package fleet.
	ClaimStep  time.Duration
	SettleNear time.Duration
	SettleFar  time.Duration

	// Feed connects the node to a platform that publishes the reports of its
	// targets and the configuration. It is empty for a node that polls them.
	Feed FeedConfig

	// Limits holds the limits that targets name.
	Limits *limit.TargetLimits

	// Cold bounds the requests to cold targets.
	Cold *limit.ColdTargets

	// Quarantine tracks the requests at this node. ReportEndings and AskParts call other
	// nodes at their admin addresses; AskParts returns how long ago each part was last
	// sound there. Without them the node decides nothing. They may be nil.
	Quarantine    *quarantine.Tracker
	ReportEndings func(ctx context.Context, address string, endings []admin.EndingReport) error
	AskParts      func(ctx context.Context, address string, parts []string) (map[string]time.Duration, error)

	// AskReached returns which of the targets the node at an admin address reaches. It may
	// be nil.
	AskReached func(ctx context.Context, address string, targets []string) ([]string, error)

	// TellDecision sends a quarantine record to another node. It may be nil.
	TellDecision func(ctx context.Context, address string, record []byte) error

	Platform  Platform
	Mesh      Mesh
	Engines   Engines
	Services  Services
	Traffic   Traffic
	Publisher *route.Publisher
	Timers    *timer.Service
	Logger    *zap.Logger

	// Registerer receives the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	// Random is the source of the random delays of claims and watch retries.
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

// health is the state of the node that the control thread last published.
type health struct {
	configured bool
	stopping   bool
	isolated   bool
	at         time.Time
}

// Bounds of the health check.
const (
	// stallBound is the time without a completed turn after which the control
	// thread counts as stalled.
	stallBound = 3 * time.Second

	// isolationBound is the time without a response of the store and without a
	// peer link after which the health check of a node with seeds fails. It is
	// longer than the timeout of a store call and a redial together.
	isolationBound = 10 * time.Second
)

const (
	resultsBuffer  = 256
	commandsBuffer = 16
)

// New returns a Controller, which Run starts. It returns an errors.NotValid
// error if the config lacks a required field.
func New(config Config) (*Controller, error) {
	if err := validate(config); err != nil {
		return nil, errors.Trace(err)
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Limits == nil {
		config.Limits = limit.NewTargetLimits(config.Name)
	}
	if config.Cold == nil {
		config.Cold = limit.NewColdTargets(limit.ColdTargetsConfig{Node: config.Name})
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker()
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

// Done returns a channel that receives a value when Run has ended.
func (controller *Controller) Done() <-chan error { return controller.done }

// Healthy returns nil if the node can serve callers, and otherwise an error
// with the reason. The admin server sends its message to operators.
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

		ProcessorShare:    config.ProcessorShare,
		RenewalsPerSecond: config.RenewalsPerSecond,
		SettleNear:        config.SettleNear,
		SettleFar:         config.SettleFar,
		Random:            config.Random,
	}
}
