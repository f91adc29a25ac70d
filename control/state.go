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

// state is the state of the control thread. Only the goroutine of
// Controller.Run may access it.
type state struct {
	controller *Controller
	config     Config
	logger     *zap.Logger
	metrics    *metrics

	// workers is the parent context of all workers. pendingWorkers is the number
	// of workers that have not ended.
	workers        context.Context
	pendingWorkers int

	fleet *fleet.Fleet

	// sourcesSet is true once the nodes have been listed and the feed has got
	// through which of them to read the store.
	sourcesSet bool

	configuration configuration
	domains       map[string]*domainState
	leaderships   map[string]*leadership

	// lastTerm is the number of the last term of leadership that began.
	lastTerm uint64
	vms      map[string]kvstore.VM
	drains   map[drainKey]drainNotice
	services map[string]ServiceReport
	usage    map[string]peer.Usage
	feed     *feedState

	quarantine *quarantineState
	records    sharedRecords

	// grantRequests is the number of requests for grants that were sent. It
	// selects the peers in turn.
	grantRequests int

	// versions holds the last frame version of each origin, and lastVersion is
	// that of this node.
	versions    *fleet.Versions
	lastVersion uint64

	// stopWatch ends the watches of the store; nil while there are none.
	stopWatch context.CancelFunc

	// storeReturned wakes the watches that wait after failures when the store answers again.
	storeReturned *notification

	pollingVMs      bool
	pollingServices map[string]bool
	storeReachedAt  time.Time
	startedAt       time.Time
	wasIsolated     bool
	stopping        bool

	// pendingRevocations is the number of calls in progress to revoke the lease.
	pendingRevocations int

	// dirty is true if a new table must be published.
	dirty bool
}

// A domainState holds the placement and grants of one fabric domain, received
// from its leader or published by this node.
type domainState struct {
	placement *group.Placement

	// record is the encoded placement and revision its revision in the store.
	record   []byte
	revision uint64

	// fence is the highest fencing number in the grants and placements of the
	// domain that this node received or published.
	fence uint64

	// grants holds the grants by group.
	grants map[string]group.GroupGrant

	// grantsDerivedAt is when a node with a feed last derived the grants. It is zero
	// after a change of the placement or of a report.
	grantsDerivedAt time.Time

	// targets caches the placed groups without their grants. It is nil after a
	// change of the placement or of the draining targets.
	targets []route.GroupTarget

	// grantsFrame is the last frame of grants that was accepted. Its Origin is
	// empty if this node publishes the grants itself.
	grantsFrame peer.Grants

	// grantsReceivedAt is when grants of the domain last arrived from a peer,
	// and grantsRequestedAt when they were last requested.
	grantsReceivedAt  time.Time
	grantsRequestedAt time.Time
}

func newState(controller *Controller) *state {
	config := controller.config
	return &state{
		controller:      controller,
		config:          config,
		logger:          config.Logger,
		metrics:         newMetrics(config.Registerer),
		fleet:           fleet.New(config.fleetConfig()),
		configuration:   newConfiguration(),
		domains:         map[string]*domainState{},
		leaderships:     map[string]*leadership{},
		vms:             map[string]kvstore.VM{},
		drains:          map[drainKey]drainNotice{},
		services:        map[string]ServiceReport{},
		usage:           map[string]peer.Usage{},
		feed:            newFeedState(config.Feed),
		quarantine:      newQuarantineState(config.Quarantine),
		records:         newSharedRecords(),
		versions:        fleet.NewVersions(),
		storeReturned:   newNotification(),
		pollingServices: map[string]bool{},
	}
}

func (state *state) now() time.Time { return state.config.Timers.Now() }

// begin runs the first tick of the membership core and starts the first reads
// or watches of the store.
func (state *state) begin(now time.Time) {
	state.storeReachedAt = now
	state.startedAt = now
	state.handleFleet(now, fleet.Tick{})
	if state.feeding() {
		state.setWatching(true)
		return
	}
	state.pollHead()
	state.pollVMs()
}

// isolated reports whether a node with seeds has no peer link and has had no
// response of the store for isolationBound. A node that follows a feed has no
// peer links and counts as isolated when the store is unreachable.
func (state *state) isolated(now time.Time) bool {
	if state.feeding() {
		return state.storeUnreachable(now)
	}
	if len(state.config.Seeds) == 0 || now.Sub(state.storeReachedAt) <= isolationBound {
		return false
	}
	return len(state.config.Mesh.Linked()) == 0
}

// ensureDomain returns the state of a fabric domain and creates it if needed.
func (state *state) ensureDomain(name string) *domainState {
	domain, found := state.domains[name]
	if !found {
		domain = &domainState{grants: map[string]group.GroupGrant{}}
		state.domains[name] = domain
	}
	return domain
}

// nextVersion returns the version of the next frame that this node originates.
func (state *state) nextVersion() uint64 {
	state.lastVersion++
	return state.lastVersion
}
