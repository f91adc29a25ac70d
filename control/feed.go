package control

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// A FeedEvent is an event of a platform that publishes the reports of its
// targets and the configuration in its store. It is TargetsListed,
// TargetsChanged, ConfigurationRead, EvacuationsRead or FeedInterrupted.
type FeedEvent interface{ feedEvent() }

// TargetsListed is the complete list of targets.
type TargetsListed struct {
	Targets []directory.Target

	// Confirmed and Revision are those of directory.Reading. Confirmed is zero if the list
	// has no delay.
	Confirmed time.Time
	Revision  uint64

	// Copied is set for the first list after the platform returned from an older copy.
	Copied bool
}

// TargetsChanged holds the targets that were added, changed or removed since
// the last event.
type TargetsChanged struct {
	Put     []directory.Target
	Removed []string

	// Confirmed and Revision are as in TargetsListed.
	Confirmed time.Time
	Revision  uint64
}

// ConfigurationRead is the platform's configuration.
type ConfigurationRead struct{ Catalog *catalog.Catalog }

// EvacuationsRead holds all failure domains to whose targets the operators want no requests.
type EvacuationsRead struct{ Evacuations []catalog.Evacuation }

// FeedInterrupted reports that a call to the platform failed.
type FeedInterrupted struct {
	Err error

	// Configuration is true if the call read the configuration: readings of targets may have
	// gone on.
	Configuration bool
}

func (TargetsListed) feedEvent()     {}
func (TargetsChanged) feedEvent()    {}
func (ConfigurationRead) feedEvent() {}
func (EvacuationsRead) feedEvent()   {}
func (FeedInterrupted) feedEvent()   {}

// FeedConfig connects a node to a feed and holds the bounds that apply to it.
type FeedConfig struct {
	// Events delivers the events of the feed. If it is nil, the node polls the
	// list of VMs and the engines itself.
	Events <-chan FeedEvent

	// SetPause sets the time between two calls of the feed for changes. It is
	// nil if the feed has a fixed interval.
	SetPause func(pause time.Duration)

	// SetSources sets the addresses of the nodes through which the store is
	// read, and how many of them a reading passes in a row. It is nil if the store is
	// always read directly.
	SetSources func(addresses []string, depth int)

	// SetHubs sets the nodes that add up the counts of traffic, for each failure domain and
	// this node's own first, and the number of nodes. It may be nil.
	SetHubs func(domains [][]fleet.Node, nodes int)

	// ReportStalled reports to the node at an admin address, which leads the group's
	// fabric domain, that the streams of the group have stalled. It may be nil.
	ReportStalled func(ctx context.Context, address, group string) error

	// ReturnGrace is how long after an outage of the platform a target may be
	// missing from its list before it is removed.
	ReturnGrace time.Duration

	// Announcement is the time between two announcements of a target, see directory.Config.
	Announcement time.Duration

	// LapseGrace is how long a target in a fabric domain is kept after its
	// announcement expired, see directory.Config.
	LapseGrace time.Duration

	// Pools returns what callers ask of each model of a service in the whole fleet, or false if
	// that is not known. If it is nil, groups are formed by the shares of the configuration
	// alone.
	Pools func(now time.Time) ([]PoolUse, bool)

	// LoadWindow and LoadSlack bound the loads from the weight store: at most
	// the engine's rate times LoadWindow, plus LoadSlack, in any LoadWindow.
	LoadWindow time.Duration
	LoadSlack  int

	// Evacuation is the time within which an evacuation of a failure domain has to take
	// effect.
	Evacuation time.Duration

	// InProgress returns the number of requests of this node that are in progress at the
	// targets of a failure domain. It may be nil.
	InProgress func(failureDomain string) int

	// Bootstrap removes the bound on loads until the first request of a caller.
	// It is set on nodes that start while the whole system is started for the
	// first time.
	Bootstrap bool
}

const (
	// feedReportInterval is the interval at which a leader checks the reports.
	// It can be short because the reports are in memory.
	feedReportInterval = 100 * time.Millisecond

	// feedGrantBound is how long the last report of a target stays valid after
	// the target was removed from the list.
	feedGrantBound = 200 * time.Millisecond

	// feedSpreadTime is how long a change of the placement record takes to reach
	// the watch of every node.
	feedSpreadTime = 300 * time.Millisecond

	// feedUnreachableHold and feedReturnSettle are short because a target
	// that was removed from the platform's list does not return with the same
	// incarnation.
	feedUnreachableHold = 2 * time.Second
	feedReturnSettle    = time.Second

	// pausePerNode keeps the calls for changes of all nodes of a small fleet
	// together below 100 per second.
	pausePerNode = 15 * time.Millisecond

	// leaderPauseDivisor shortens the pause of nodes that lead a fabric domain,
	// because it delays their repairs. The feed does not go below its own
	// minimum.
	leaderPauseDivisor = 2

	// feedFormSettle is longer than the time between the registrations of two
	// targets while a fabric domain starts.
	feedFormSettle = 700 * time.Millisecond

	// loadReportDelay is the longest time from the permission of a load to the
	// first report that shows it. It includes the order that begins the load.
	loadReportDelay = 500 * time.Millisecond

	// feedTargetClass names the target class of the platform's engines.
	feedTargetClass = "platform"

	// localGrantValidity is the validity of grants that this node derives from
	// the reports in its feed. It can be long because the grants are derived
	// again after every change of a report.
	localGrantValidity = time.Hour
)

// feedState is the state of a node that follows a feed.
type feedState struct {
	directory *directory.Directory
	outage    outage
	reports   map[string]engine.Report

	runners []route.ServiceTarget
	catalog *catalog.Catalog

	// evacuations are the evacuated failure domains, each with the time from which its
	// targets receive no requests. nextStop is the first of these times that lies ahead.
	evacuations []route.Evacuation
	nextStop    time.Time

	loads  *limit.LoadLimiter
	orders *orderCounts

	// unresponsive holds the targets that did not respond to a probe, each with
	// the heartbeat of its last announcement. A target with a later heartbeat
	// has recovered.
	unresponsive map[string]uint64

	// rechecks are the probes of the unresponsive targets, and lapsedProbes those of
	// the lapsed ones.
	rechecks     probeRound
	lapsedProbes probeRound

	// lapsedDecisions holds what was last logged about each lapsed target, and
	// lapsedClosing those that closed the connection after their last answer.
	lapsedDecisions map[string]string
	lapsedClosing   map[string]bool

	// newlyLed holds the fabric domains that this node has begun to lead and whose lapsed
	// rank 0s it has not held yet.
	newlyLed []string

	// probedAt is when the members of each group were last probed.
	probedAt map[string]time.Time

	// demand is the observed demand, and demandAt when it was last observed.
	demand   *group.DemandTracker
	demandAt time.Time

	// detached holds the fabric domains whose targets this node does not reach although
	// other nodes do, and ledChecks those that it leads while it may not reach targets,
	// each with the probes of its targets.
	detached  map[string]*probeRound
	ledChecks map[string]*probeRound
}

func newFeedState(config FeedConfig) *feedState {
	return &feedState{
		directory:    directory.New(directory.Config{ReturnGrace: config.ReturnGrace, Announcement: config.Announcement, LapseGrace: config.LapseGrace}),
		reports:      map[string]engine.Report{},
		orders:       newOrderCounts(),
		unresponsive: map[string]uint64{},
		probedAt:     map[string]time.Time{},
		detached:     map[string]*probeRound{},
		ledChecks:    map[string]*probeRound{},

		lapsedDecisions: map[string]string{},
		lapsedClosing:   map[string]bool{},
		demand:          group.NewDemandTracker(config.Bootstrap),
		loads: limit.NewLoadLimiter(limit.LoadLimiterConfig{
			Window:      limit.WindowConfig{Length: config.LoadWindow, Bound: config.LoadSlack},
			ReportDelay: loadReportDelay,
		}),
	}
}

// feeding reports whether the node follows a feed.
func (state *state) feeding() bool { return state.config.Feed.Events != nil }

func (state *state) handleFeed(now time.Time, event FeedEvent) {
	changed, listed := false, false
	switch event := event.(type) {
	case TargetsListed:
		state.storeReachedAt = now
		listed = true
		if event.Copied {
			state.feed.directory.BeginEra()
		}
		changed = state.feed.directory.Replace(newReading(now, event.Confirmed, event.Revision), event.Targets)
		state.observeCold(now, event.Targets)
	case TargetsChanged:
		state.storeReachedAt = now
		listed = true
		state.observeCold(now, event.Put)
		composition := state.feed.directory.Composition()
		changed = state.feed.directory.Apply(newReading(now, event.Confirmed, event.Revision), event.Put, event.Removed)
		if changed && state.feed.directory.Composition() == composition && state.feed.inUse(event.Put) {
			state.applyReports(now, event.Put)
			changed = false
		}
	case ConfigurationRead:
		state.storeReachedAt = now
		state.adoptCatalog(now, event.Catalog)
	case EvacuationsRead:
		state.storeReachedAt = now
		state.setEvacuations(now, event.Evacuations)
	case FeedInterrupted:
		if !event.Configuration {
			state.feed.directory.BeginInterruption()
		}
		state.feed.outage.begin(now)
		state.metrics.storeFailures.Inc()
	default:
		panic(errors.Errorf("control: feed event %T is not handled", event))
	}
	if listed {
		state.logReading()
		changed = state.holdReadLate(now) || changed
	}
	if changed || state.feed.anyRecovered() {
		state.applyTargets(now)
	}
	if listed {
		state.endOutage(now)
	}
}

// maxLoggedTargets bounds the names in one log line.
const maxLoggedTargets = 8

// logReading logs what followed from the last reading of targets.
func (state *state) logReading() {
	if returned := state.feed.directory.Returned(); returned != nil {
		state.logger.Info("targets read again after an interruption", zap.Duration("unconfirmed", returned.Unconfirmed),
			zap.Int("listed", returned.Listed), zap.Int("announced", returned.Announced), zap.Int("renewed", returned.Renewed),
			zap.Int("missing", returned.Missing), zap.Bool("outage", returned.Outage))
	}
	unannounced := state.feed.directory.Unannounced()
	if len(unannounced) == 0 {
		return
	}
	var names []string
	age, kept := time.Duration(0), time.Duration(0)
	for _, target := range unannounced {
		age, kept = max(age, target.Age), max(kept, target.Kept)
		state.metrics.unannouncedAge.Observe(target.Age.Seconds())
		if len(names) < maxLoggedTargets {
			names = append(names, target.Name+"/"+target.Incarnation)
		}
	}
	state.logger.Info("announcements of targets have ended", zap.Int("targets", len(unannounced)), zap.Strings("names", names),
		zap.Duration("confirmed-age", age), zap.Duration("kept", kept))
}

func newReading(now, confirmed time.Time, revision uint64) directory.Reading {
	if confirmed.IsZero() {
		confirmed = now
	}
	return directory.Reading{At: now, Confirmed: confirmed, Revision: revision}
}

// adoptCatalog puts a configuration into force if it is newer than the current
// one.
func (state *state) adoptCatalog(now time.Time, offered *catalog.Catalog) {
	if state.feed.catalog != nil && offered.Version() <= state.feed.catalog.Version() {
		return
	}
	first := state.feed.catalog == nil
	state.feed.catalog = offered
	if first {
		// Without a configuration the bound of the listed targets was not known.
		state.observeCold(now, state.feed.directory.Targets())
	}
	state.configuration.adoptedAt = now
	state.metrics.generation.Set(float64(offered.Version()))
	state.logger.Info("configuration in force", zap.Uint64("generation", offered.Version()), zap.String("source", "store"))
	state.setGroups(now)
	state.applyTargets(now)
}

// loadBounds returns, for all fabric domains together, the number of loads that
// may begin in a LoadWindow and the number that can run at once without slowing
// each other down. The services share one weight store, so the lowest of their
// bounds holds for all.
func (state *state) loadBounds() (bound, parallel int) {
	rate := math.Inf(1)
	parallel = math.MaxInt32
	for _, service := range state.feed.catalog.Services() {
		if service.Engine != nil {
			rate = min(rate, service.Engine.LoadRate)
			parallel = min(parallel, service.Engine.ParallelLoads)
		}
	}
	if math.IsInf(rate, 1) {
		return state.config.Feed.LoadSlack, 0
	}
	return state.config.Feed.LoadSlack + int(rate*state.config.Feed.LoadWindow.Seconds()), parallel
}

// setSources makes the feed read the store through other nodes in a large
// fleet.
func (state *state) setSources(now time.Time) {
	if state.config.Feed.SetSources != nil && state.sourcesSet {
		state.config.Feed.SetSources(state.fleet.Sources(now), state.fleet.SourceDepth(now))
	}
}

// setFeedPause sets the time between two calls of the feed for changes. In a small
// fleet it grows with the number of nodes, which all read the store, and is shorter
// for nodes that lead a fabric domain. In a large fleet one node reads the store for
// all, and every pause would delay the others.
func (state *state) setFeedPause(now time.Time) {
	if state.config.Feed.SetPause == nil {
		return
	}
	if state.fleet.Mirroring(now) {
		state.config.Feed.SetPause(0)
		return
	}
	pause := time.Duration(state.fleet.Size()) * pausePerNode
	if len(state.leaderships) > 0 {
		pause /= leaderPauseDivisor
	}
	state.config.Feed.SetPause(pause)
}

// setGroups builds a folder with one group for each model of each service in the
// configuration and passes it to the leaders.
func (state *state) setGroups(now time.Time) {
	class := folder.TargetClass{
		Name:           feedTargetClass,
		ChecksFencing:  true,
		ChecksSequence: true,
		OpenedByOrder:  true,
	}
	var groups []folder.Group
	for _, service := range state.feed.catalog.Services() {
		if service.Engine == nil {
			continue
		}
		class.OpenTime = max(class.OpenTime, service.Engine.OpenTime)
		for _, model := range service.Engine.Models {
			groups = append(groups, folder.Group{
				Name:        group.ServiceSpec(service.Name, model.Name),
				Model:       model.Name,
				Service:     service.Name,
				Size:        model.Size,
				Share:       int(math.Round(model.Share * shareUnits)),
				Value:       1,
				TargetClass: feedTargetClass,
			})
		}
	}
	state.configuration.folder = folder.New(folder.Config{
		Groups:        groups,
		TargetClasses: []folder.TargetClass{class},
		Policy: folder.Policy{
			DowntimeWeight: 1,
			StrandedWeight: 1,
			ReportInterval: feedReportInterval,
			GrantBound:     feedGrantBound,
			SpreadTime:     feedSpreadTime,
		},
	})
	state.invalidateTargets()
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, state.folderEvent())
	}
}

// shareUnits converts a fraction into thousandths, the unit of
// folder.Group.Share.
const shareUnits = 1000

// localReport returns the report of a VM from the feed.
func (state *state) localReport(now time.Time, request group.ReadReport) group.Event {
	report, found := state.feed.reports[request.VM]
	if !found {
		return group.ReportFailed{VM: request.VM}
	}
	return group.ReportRead{Sent: now, Report: report}
}

// coldStart reports whether the whole system is being started for the first time
// and no caller has sent a request yet.
func (state *state) coldStart() bool {
	return state.config.Feed.Bootstrap && !state.config.Traffic.RequestReceived()
}

// coldPreloadRetry is the pause after a refused preload before the first request, when a load
// takes about a second.
const coldPreloadRetry = 100 * time.Millisecond

// permitLoad permits a load of weights or returns how long to wait. Before the first request
// only preloads are bounded, by what the weight store works on at once: all of them together
// take as long, but those that begin first have ended when the requests come. The rate
// and the number of parallel loads of the weight store are divided evenly
// among the fabric domains, and this node may use the parts of those it leads.
func (state *state) permitLoad(now time.Time, request group.AcquireWeights) group.Event {
	bound, parallel := state.loadBounds()
	led, domains := len(state.leaderships), max(1, len(state.domainSizes("")))
	if state.coldStart() {
		if request.Preload && parallel > 0 && len(state.loadingVMs(now)) >= max(1, parallel*led/domains) {
			return group.WeightsRefused{VM: request.VM, Retry: coldPreloadRetry}
		}
		return group.WeightsAcquired{VM: request.VM}
	}
	state.feed.loads.SetBounds(bound*led/domains, max(1, parallel*led/domains))
	if wait := state.feed.loads.Take(now, request.VM, request.Preload, state.loadingVMs(now)); wait > 0 {
		return group.WeightsRefused{VM: request.VM, Retry: wait}
	}
	return group.WeightsAcquired{VM: request.VM}
}

// loadingVMs returns the VMs of the led fabric domains that are loading weights
// from the weight store, for a group or to stage them on their host.
func (state *state) loadingVMs(now time.Time) map[string]bool {
	loading := map[string]bool{}
	for domain, leadership := range state.leaderships {
		for _, vm := range leadership.leader.Staging(now) {
			loading[vm] = true
		}
		for _, vm := range state.domainVMs(domain) {
			report := state.feed.reports[vm.Name]
			if report.State == engine.StateLoading && !slices.Contains(report.Staged, report.Model) {
				loading[vm.Name] = true
			}
		}
	}
	return loading
}

// deriveGrants sets the grants of the fabric domains whose placement or reports
// have changed, and of those whose grants are old, from the placement and the
// reports in the feed.
func (state *state) deriveGrants(now time.Time) {
	reports := state.grantReports()
	for _, domain := range state.domains {
		if domain.placement == nil || now.Sub(domain.grantsDerivedAt) < localGrantValidity/2 {
			continue
		}
		domain.grantsDerivedAt = now
		domain.grants = map[string]group.GroupGrant{}
		for _, granted := range group.GrantsFromReports(domain.placement, reports, now, now.Add(localGrantValidity)) {
			domain.grants[granted.Grant.Group] = granted
		}
	}
}

// grantReports returns the reports from which grants follow: all except those of
// rank 0 of a group after its grace period, which the directory of a leader contains
// and those of the other nodes do not.
func (state *state) grantReports() map[string]engine.Report {
	reports := state.feed.reports
	for _, lapsed := range state.feed.directory.Lapsed() {
		name := lapsed.VM.Name
		if state.feed.directory.GraceEnded(name) && reports[name].Rank == 0 {
			if len(reports) == len(state.feed.reports) {
				reports = maps.Clone(reports)
			}
			delete(reports, name)
		}
	}
	return reports
}
