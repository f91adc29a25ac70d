package control

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// A FeedEvent is what a platform announces that publishes its targets' own
// reports and the configuration in its store. It is TargetsListed,
// TargetsChanged, ConfigurationRead or FeedInterrupted.
type FeedEvent interface{ feedEvent() }

// TargetsListed is the complete list of targets.
type TargetsListed struct{ Targets []directory.Target }

// TargetsChanged is what changed since the last event.
type TargetsChanged struct {
	Put     []directory.Target
	Removed []string
}

// ConfigurationRead is the platform's configuration.
type ConfigurationRead struct{ Catalog *catalog.Catalog }

// FeedInterrupted says that the platform does not answer.
type FeedInterrupted struct{ Err error }

func (TargetsListed) feedEvent()     {}
func (TargetsChanged) feedEvent()    {}
func (ConfigurationRead) feedEvent() {}
func (FeedInterrupted) feedEvent()   {}

// FeedConfig holds the bounds of a node that follows a Feed.
type FeedConfig struct {
	// Events are the platform's announcements. A node with a nil channel polls
	// the list of VMs and the engines itself.
	Events <-chan FeedEvent

	// SetPause is told how long the feed may gather changes; nil when it cannot.
	SetPause func(pause time.Duration)

	// SetSources is told through which nodes to read the store; nil when it is
	// always read directly.
	SetSources func(addresses []string)

	// ReturnGrace is how long after an outage a target may be missing from the
	// platform's list.
	ReturnGrace time.Duration

	// LoadWindow and LoadSlack bound the loads from the weight store: at most
	// the engine's rate times LoadWindow, plus LoadSlack, in any LoadWindow.
	LoadWindow time.Duration
	LoadSlack  int

	// Lead says that loads are not bounded before callers' first request,
	// because the whole system has just been started.
	Lead bool
}

const (
	// feedReportInterval is how often a leader looks at the reports, which are
	// in memory.
	feedReportInterval = 100 * time.Millisecond

	// feedGrantBound is how long a leader believes the last report of a target
	// that has left the list.
	feedGrantBound = 200 * time.Millisecond

	// feedSpreadTime is how long a change of the placement record takes to be
	// known at every node through its watch.
	feedSpreadTime = 300 * time.Millisecond

	// feedDarkHold and feedDarkSettle are short: a target that the platform's
	// list has dropped does not return under its incarnation.
	feedDarkHold   = 2 * time.Second
	feedDarkSettle = time.Second

	// pausePerNode keeps the calls for changes of a small fleet together below a
	// hundred a second. Above mostFeedPause only some nodes read the store, and
	// what a node knows stays within a part of the time for which targets that
	// leave still serve.
	pausePerNode  = 15 * time.Millisecond
	mostFeedPause = 300 * time.Millisecond

	// leaderPauseDivisor shortens the pause of nodes that lead a fabric domain:
	// their repairs wait for it. The feed's own least pause bounds it.
	leaderPauseDivisor = 2

	// feedFormSettle is above the time between two targets that register while
	// a fabric domain starts.
	feedFormSettle = 700 * time.Millisecond

	// loadAnnounce covers an order and the announcement of the load it begins.
	loadAnnounce = 500 * time.Millisecond

	// feedClass names the target class of the platform's engines.
	feedClass = "platform"

	// grantsUntilChanged is the validity of grants that follow from reports
	// which this node sees itself; the next report ends them.
	grantsUntilChanged = time.Hour
)

// feedState is what a node that follows a feed knows.
type feedState struct {
	directory *directory.Directory
	reports   map[string]engine.Report
	runners   []route.ServiceTarget
	catalog   *catalog.Catalog
	loads     *limit.LoadLimiter
	orders    *orderCounts

	// silent holds the targets that did not answer this node, each with the beat
	// of its last announcement. Another beat shows that it lives.
	silent map[string]uint64

	// probed is when the members of a group were last asked.
	probed map[string]time.Time
}

func newFeedState(config FeedConfig) *feedState {
	return &feedState{
		directory: directory.New(directory.Config{ReturnGrace: config.ReturnGrace}),
		reports:   map[string]engine.Report{},
		orders:    newOrderCounts(),
		silent:    map[string]uint64{},
		probed:    map[string]time.Time{},
		loads: limit.NewLoadLimiter(limit.LoadLimiterConfig{
			Window:      limit.WindowConfig{Length: config.LoadWindow, Bound: config.LoadSlack},
			ReportDelay: loadAnnounce,
		}),
	}
}

// feeding reports whether the node follows a feed.
func (state *state) feeding() bool { return state.config.Feed.Events != nil }

func (state *state) handleFeed(now time.Time, event FeedEvent) {
	changed := false
	switch event := event.(type) {
	case TargetsListed:
		state.storeReached = now
		changed = state.feed.directory.Replace(now, event.Targets)
	case TargetsChanged:
		state.storeReached = now
		changed = state.feed.directory.Apply(now, event.Put, event.Removed)
	case ConfigurationRead:
		state.storeReached = now
		state.adoptCatalog(now, event.Catalog)
	case FeedInterrupted:
		state.feed.directory.Outage()
		state.metrics.storeFailures.Inc()
	default:
		panic(errors.Errorf("control: feed event %T is not handled", event))
	}
	if changed || state.feed.anySpeaksAgain() {
		state.takeTargets(now)
	}
}

// expireTargets drops the targets that did not return after an outage.
func (state *state) expireTargets(now time.Time) {
	if state.feeding() && state.feed.directory.Expire(now) {
		state.takeTargets(now)
	}
}

// takeTargets brings the known targets into force: the VMs of engines, their
// reports and the runners of plain services.
func (state *state) takeTargets(now time.Time) {
	var vms []kvstore.VM
	reports := make(map[string]engine.Report, len(state.feed.reports))
	state.feed.runners = nil
	for _, target := range state.feed.directory.Targets() {
		if !state.feed.serves(target) || !state.feed.speaks(target) {
			continue
		}
		if target.VM.FabricDomain == "" {
			state.feed.runners = append(state.feed.runners, runnerOf(target))
			continue
		}
		vms = append(vms, target.VM)
		reports[target.VM.Name] = target.Report
	}
	previous := state.feed.reports
	state.feed.reports = reports
	state.feed.orders.retain(reports)
	state.logTargets(previous, reports)
	state.dirty = true
	state.handleVMs(now, vms)
	for name, led := range state.led {
		for _, vm := range vms {
			if vm.FabricDomain == name && !previous[vm.Name].Same(reports[vm.Name]) {
				state.handleGroup(now, led, group.ReportRead{Sent: now, Report: reports[vm.Name]})
			}
		}
	}
}

// serves reports whether a target belongs to a service of the configuration,
// and to an engine's fabric domain only if the service has engines. Entries of
// other writers name no target to use.
func (feed *feedState) serves(target directory.Target) bool {
	if feed.catalog == nil {
		return false
	}
	service, found := feed.catalog.Service(target.Service)
	return found && (service.Engine != nil) == (target.VM.FabricDomain != "")
}

func runnerOf(target directory.Target) route.ServiceTarget {
	return route.ServiceTarget{
		Service:       target.Service,
		Name:          target.VM.Name,
		Address:       target.VM.Address,
		FailureDomain: target.VM.FailureDomain,
		Slots:         target.Slots,
		Open:          target.VM.State == kvstore.VMLive,
	}
}

// logTargets writes a line for each target whose standing changed.
func (state *state) logTargets(previous, current map[string]engine.Report) {
	for name, report := range current {
		if known, found := previous[name]; !found || !known.Same(report) {
			state.logger.Info("target reported", zap.String("target", name), zap.String("incarnation", report.Incarnation),
				zap.String("group", report.Group), zap.Uint64("epoch", report.Epoch), zap.Int("rank", report.Rank),
				zap.String("state", string(report.State)), zap.Strings("staged", report.Staged))
		}
	}
	for name, known := range previous {
		if _, found := current[name]; !found {
			state.logger.Info("target is gone", zap.String("target", name), zap.String("incarnation", known.Incarnation),
				zap.String("group", known.Group), zap.Uint64("epoch", known.Epoch), zap.Int("rank", known.Rank))
		}
	}
}

// adoptCatalog brings a newer configuration into force.
func (state *state) adoptCatalog(now time.Time, read *catalog.Catalog) {
	if state.feed.catalog != nil && read.Version() <= state.feed.catalog.Version() {
		return
	}
	state.feed.catalog = read
	state.configuration.adoptedAt = now
	state.metrics.generation.Set(float64(read.Version()))
	state.logger.Info("configuration in force", zap.Uint64("generation", read.Version()), zap.String("source", "store"))
	state.setGroups(now)
	state.takeTargets(now)
}

// loadBounds returns the loads that may begin in a LoadWindow, and those that
// run at once without slowing each other down, in all fabric domains.
func (state *state) loadBounds() (bound, parallel int) {
	bound = state.config.Feed.LoadSlack
	for _, service := range state.feed.catalog.Services() {
		if service.Engine != nil {
			bound += int(service.Engine.LoadRate * state.config.Feed.LoadWindow.Seconds())
			parallel += service.Engine.ParallelLoads
		}
	}
	return bound, parallel
}

// setSources reads the store through other nodes where the fleet is large.
func (state *state) setSources(now time.Time) {
	if state.config.Feed.SetSources != nil {
		state.config.Feed.SetSources(state.fleet.Sources(now))
	}
}

// setFeedPause lets a node that only follows gather changes for longer in a
// larger fleet.
func (state *state) setFeedPause() {
	if state.config.Feed.SetPause == nil {
		return
	}
	pause := min(time.Duration(state.fleet.Size())*pausePerNode, mostFeedPause)
	if len(state.led) > 0 {
		pause /= leaderPauseDivisor
	}
	state.config.Feed.SetPause(pause)
}

// setGroups makes the groups of the configuration's models known to the
// leaders.
func (state *state) setGroups(now time.Time) {
	class := folder.TargetClass{
		Name:           feedClass,
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
				Name:        model.Name,
				Model:       model.Name,
				Size:        model.Size,
				Share:       int(math.Round(model.Share * thousandths)),
				Value:       1,
				TargetClass: feedClass,
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
	for _, led := range state.led {
		state.handleGroup(now, led, state.folderEvent())
	}
}

// thousandths turns a part into the unit of folder.Group's share.
const thousandths = 1000

// localReport answers a leader's read from the announcements.
func (state *state) localReport(now time.Time, read group.ReadReport) group.Event {
	report, found := state.feed.reports[read.VM]
	if !found {
		return group.ReportFailed{VM: read.VM}
	}
	return group.ReportRead{Sent: now, Report: report}
}

// starting reports whether the whole system is being started for the first
// time and callers have sent nothing yet.
func (state *state) starting() bool {
	return state.config.Feed.Lead && !state.config.Traffic.Begun()
}

// localWeights takes a load out of this node's part of the load rate and of the
// places of the weight store, which the led fabric domains divide.
func (state *state) localWeights(now time.Time, wanted group.AcquireWeights) group.Event {
	if state.starting() {
		return group.WeightsAcquired{VM: wanted.VM}
	}
	bound, parallel := state.loadBounds()
	led, domains := len(state.led), max(1, len(state.domainSizes("")))
	state.feed.loads.SetBounds(bound*led/domains, max(1, parallel*led/domains))
	if wait := state.feed.loads.Take(now, wanted.VM, wanted.Ahead, state.loading(now)); wait > 0 {
		return group.WeightsRefused{VM: wanted.VM, Retry: wait}
	}
	return group.WeightsAcquired{VM: wanted.VM}
}

// loading returns the VMs of the led fabric domains that load weights, into a
// group or onto their host.
func (state *state) loading(now time.Time) map[string]bool {
	loading := map[string]bool{}
	for domain, led := range state.led {
		for _, vm := range led.leader.Staging(now) {
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

// publishStanding derives the grants of every domain from what this node sees.
func (state *state) publishStanding(now time.Time) {
	for _, known := range state.domains {
		if known.placement == nil {
			continue
		}
		known.grants = map[string]group.GroupGrant{}
		for _, granted := range group.Standing(known.placement, state.feed.reports, now, now.Add(grantsUntilChanged)) {
			known.grants[granted.Grant.Group] = granted
		}
	}
}
