package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/route"
)

// state is everything that the control thread owns. Only the goroutine of
// Controller.Run touches it.
type state struct {
	controller *Controller
	config     Config
	logger     *zap.Logger
	metrics    *metrics

	// workers is the context of all workers; pending counts those that have
	// not reported their end.
	workers context.Context
	pending int

	fleet         *fleet.Fleet
	configuration configuration
	domains       map[string]*domain
	led           map[string]*leadership
	terms         uint64
	vms           map[string]kvstore.VM
	leaving       map[departureKey]departure
	services      map[string]ServiceReport
	usage         map[string]peer.Usage
	feed          *feedState
	asked         int
	versions      *fleet.Versions
	sent          uint64
	stopWatch     context.CancelFunc
	pollingVMs    bool
	polling       map[string]bool
	storeReached  time.Time
	startedAt     time.Time
	wasIsolated   bool
	stopping      bool
	revoking      int
	dirty         bool
}

// A domain is what the node knows of one fabric domain.
type domain struct {
	placement *group.Placement
	record    []byte
	revision  uint64
	fence     uint64
	grants    map[string]group.GroupGrant

	// targets are the placed groups without their grants, nil when they are to
	// be made again.
	targets []route.GroupTarget

	// received is the frame that brought the grants. It has no origin when this
	// node publishes them itself.
	received peer.Grants

	// grantedAt is when grants of the domain arrived last, and askedAt when a
	// peer was asked for them.
	grantedAt time.Time
	askedAt   time.Time
}

func newState(controller *Controller) *state {
	config := controller.config
	return &state{
		controller:    controller,
		config:        config,
		logger:        config.Logger,
		metrics:       newMetrics(config.Registerer),
		fleet:         fleet.New(config.fleetConfig()),
		configuration: newConfiguration(),
		domains:       map[string]*domain{},
		led:           map[string]*leadership{},
		vms:           map[string]kvstore.VM{},
		leaving:       map[departureKey]departure{},
		services:      map[string]ServiceReport{},
		usage:         map[string]peer.Usage{},
		feed:          newFeedState(config.Feed),
		versions:      fleet.NewVersions(),
		polling:       map[string]bool{},
	}
}

func (state *state) now() time.Time { return state.config.Timers.Now() }

// begin takes the first steps of a started node.
func (state *state) begin(now time.Time) {
	state.storeReached = now
	state.startedAt = now
	state.handleFleet(now, fleet.Tick{})
	if state.feeding() {
		state.setWatching(true)
		return
	}
	state.pollHead()
	state.pollVMs()
}

// isolated reports whether the node knows of others but has reached neither
// the store nor a peer for isolationBound.
func (state *state) isolated(now time.Time) bool {
	if state.feeding() {
		return state.storeSilent(now)
	}
	if len(state.config.Seeds) == 0 || now.Sub(state.storeReached) <= isolationBound {
		return false
	}
	return len(state.config.Mesh.Linked()) == 0
}

func (state *state) domain(name string) *domain {
	known, found := state.domains[name]
	if !found {
		known = &domain{grants: map[string]group.GroupGrant{}}
		state.domains[name] = known
	}
	return known
}

// nextVersion returns the version of the next frame of this node.
func (state *state) nextVersion() uint64 {
	state.sent++
	return state.sent
}
