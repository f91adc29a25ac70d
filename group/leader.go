package group

import (
	"fmt"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// LeaderConfig names the leader of one fabric domain.
type LeaderConfig struct {
	Domain      string
	Node        string
	Incarnation string

	// LeaseDuration is the longest time that another node's lease can last
	// after this node began to lead.
	LeaseDuration time.Duration

	// DarkHold is how long a domain is left alone whose VMs stopped reporting
	// at once, and how long VMs that the list lost at once count as listed;
	// default 30 min. VMs that the platform itself declares gone allow less.
	DarkHold time.Duration

	// DarkSettle is the wait after such a domain's return, so that VMs which
	// return later than others are not replaced; default 20 s.
	DarkSettle time.Duration

	// FormSettle is how long no VM may have been added to a domain that forms
	// groups by share.
	FormSettle time.Duration

	// Planner decides on changes of the placement; Plan when nil.
	Planner func(PlanInput) []Decision
}

// phase is where the leader is between a lease and its first order.
type phase int

const (
	// phaseIdle means that the node holds no lease of the domain.
	phaseIdle phase = iota

	// phaseReading means that the record is wanted.
	phaseReading

	// phaseTaking means that the record is written under a new fencing number.
	phaseTaking

	// phaseLeading means that the record is this node's.
	phaseLeading

	// phaseSevered means that the store does not answer: the record stands
	// and only grants are published.
	phaseSevered
)

// Bounds of the leader's own timing.
const (
	// readRetry is the time after which an unanswered read is repeated.
	readRetry = 2 * time.Second

	// commitRetry is the pause after a refused write.
	commitRetry = 500 * time.Millisecond
)

// A Leader runs the groups of one fabric domain. It is not safe for
// concurrent use.
type Leader struct {
	config LeaderConfig
	phase  phase
	until  time.Time

	placement *Placement
	revision  uint64
	fence     uint64

	// quietUntil is when no order of an earlier leader can be on its way.
	quietUntil time.Time
	readAt     time.Time
	reading    bool
	commit     pendingCommit
	retryAt    time.Time
	changes    uint64
	orders     uint64

	groups  []folder.Group
	classes map[string]folder.TargetClass
	policy  folder.Policy
	keep    map[string]int

	elsewhere Elsewhere

	// shrunkAt is when the other domains lost a large share of their VMs.
	shrunkAt time.Time
	members  map[string]*member
	names    []string

	// readDue is not later than the next read of a report.
	readDue   time.Time
	darkSince time.Time
	darkUntil time.Time
	settleAt  time.Time

	planAt    time.Time
	plannedAt time.Time

	// dirty says that something that the policy looks at has changed.
	dirty     bool
	weightsAt time.Time

	// crossAt is when weights for members that serve are next asked for.
	crossAt   time.Time
	closedAt  map[string]time.Time
	published publication

	// grownAt is when a VM was last added.
	grownAt time.Time
}

// NewLeader returns a leader that waits for its lease and its configuration.
func NewLeader(config LeaderConfig) *Leader {
	if config.Planner == nil {
		config.Planner = Plan
	}
	if config.DarkHold == 0 {
		config.DarkHold = defaultDarkHold
	}
	if config.DarkSettle == 0 {
		config.DarkSettle = defaultDarkSettle
	}
	return &Leader{
		config:    config,
		placement: NewPlacement(config.Domain),
		classes:   map[string]folder.TargetClass{},
		keep:      map[string]int{},
		members:   map[string]*member{},
		closedAt:  map[string]time.Time{},
	}
}

// Handle takes one event at a time and returns the effects to carry out. now
// is the time at which the event is handled, not the time of the event.
func (leader *Leader) Handle(now time.Time, event Event) []Effect {
	leader.checkLease(now)
	if read, found := event.(ReportRead); found && leader.unchanged(read) {
		leader.noteReportRead(now, read)
		return leader.readReports(now)
	}
	switch event.(type) {
	case Tick, LeaseHeld, VMsListed, Elsewhere, ReportFailed:
	default:
		leader.dirty = true
	}
	effects := leader.note(now, event)
	return append(effects, leader.step(now)...)
}

// unchanged reports whether a report changes nothing but its time and its load.
// Nearly all reports are so; what they lead to waits for the next Tick.
func (leader *Leader) unchanged(read ReportRead) bool {
	vm, found := leader.members[read.Report.VM]
	if !found || leader.phase == phaseIdle || !vm.live() || !vm.readBack() {
		return false
	}
	report := read.Report
	report.Running = vm.report.Running
	report.Queued = vm.report.Queued
	report.FreeCache = vm.report.FreeCache
	report.AgeMillis = vm.report.AgeMillis
	report.Sequence = vm.report.Sequence
	return report.Same(vm.report)
}

// Placement returns the committed record as the leader last saw it. The
// caller does not change it.
func (leader *Leader) Placement() *Placement { return leader.placement }

// Leading reports whether the record is this node's and its lease runs.
func (leader *Leader) Leading() bool { return leader.phase == phaseLeading }

// Severed reports whether the leader only publishes grants for the record that
// it held when it lost the lease.
func (leader *Leader) Severed() bool { return leader.phase == phaseSevered }

func (leader *Leader) note(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case LeaseHeld:
		leader.noteLease(now, event)
	case LeaseLost:
		leader.resign()
	case LeaseLapsed:
		leader.sever()
	case Observe:
		leader.observe(now, event)
	case PlacementRead:
		return leader.notePlacement(now, event)
	case PlacementUnavailable:
		leader.noteNoPlacement(now)
	case CommitDone:
		return leader.noteCommit(now, event)
	case ReportRead:
		leader.noteReportRead(now, event)
	case ReportFailed:
		leader.noteReportFailed(event)
	case OrderAccepted:
		leader.noteOrder(event.VM, event.Order, now)
	case OrderRefused:
		leader.noteOrderRefused(now, event)
	case OrderUnknown:
		leader.noteOrderUnknown(now, event)
	case WeightsAcquired:
		leader.noteWeights(event.VM, true)
	case WeightsRefused:
		if leader.crossing(event.VM) {
			leader.crossAt = now.Add(event.Retry)
		} else {
			leader.weightsAt = now.Add(event.Retry)
		}
		leader.noteWeights(event.VM, false)
	case VMsListed:
		leader.noteList(now, event.VMs)
	case FolderAdopted:
		leader.noteFolder(event)
	case Elsewhere:
		leader.noteElsewhere(now, event)
	case LeavingKnown:
		leader.noteLeaving(event)
	case Tick:
	default:
		panic(fmt.Sprintf("group: unknown event %T", event))
	}
	return nil
}

func (leader *Leader) step(now time.Time) []Effect {
	for _, vm := range leader.members {
		if vm.noteTime(now, leader.missingAfter()) {
			leader.dirty = true
		}
	}
	switch leader.phase {
	case phaseIdle:
		return nil
	case phaseReading:
		effects := append(leader.readPlacement(now), leader.readReports(now)...)
		if leader.fence == 0 {
			return effects
		}
		return append(effects, leader.publishGrants(now)...)
	case phaseTaking:
		return append(leader.takeOver(now), leader.readReports(now)...)
	case phaseSevered:
		return append(leader.readReports(now), leader.publishGrants(now)...)
	}
	effects := leader.readReports(now)
	effects = append(effects, leader.changePlacement(now)...)
	effects = append(effects, leader.sendOrders(now)...)
	effects = append(effects, leader.acquireWeights(now)...)
	return append(effects, leader.publishGrants(now)...)
}

func (leader *Leader) noteLease(now time.Time, held LeaseHeld) {
	if !now.Before(held.Until) {
		return
	}
	leader.until = held.Until
	if leader.phase == phaseIdle || leader.phase == phaseSevered {
		leader.phase = phaseReading
		leader.reading = false
		leader.fence = 0
		leader.commit = pendingCommit{}
	}
}

// checkLease stops orders and changes when the lease has run out on the
// monotonic clock.
func (leader *Leader) checkLease(now time.Time) {
	if leader.phase == phaseIdle || leader.phase == phaseSevered {
		return
	}
	if !now.Before(leader.until) {
		leader.sever()
	}
}

func (leader *Leader) resign() {
	leader.phase = phaseIdle
	leader.forgetOrders()
	leader.commit = pendingCommit{}
	leader.published = publication{}
}

// sever goes on publishing grants for a record that was this node's. A write
// whose outcome is not known changes nothing about them: no member takes a new
// seat without an order.
func (leader *Leader) sever() {
	if leader.phase == phaseSevered {
		return
	}
	own := leader.phase == phaseLeading || leader.phase == phaseReading && leader.fence != 0
	if !own {
		leader.resign()
		return
	}
	leader.phase = phaseSevered
	leader.forgetOrders()
	leader.commit = pendingCommit{}
}

// observe publishes grants for a record that another node wrote.
func (leader *Leader) observe(now time.Time, event Observe) {
	if leader.phase != phaseIdle {
		return
	}
	placement, err := leader.decode(event.PlacementRead)
	if err != nil {
		return
	}
	leader.placement = placement
	leader.revision = event.Revision
	leader.phase = phaseSevered
	leader.adoptSeats(now)
}

func (leader *Leader) forgetOrders() {
	for _, vm := range leader.members {
		vm.order = pendingOrder{}
		vm.weights = weightClaim{}
	}
}

func (leader *Leader) noteReportRead(now time.Time, read ReportRead) {
	if vm, found := leader.members[read.Report.VM]; found {
		vm.noteReport(now, read)
		leader.readDue = earlier(leader.readDue, vm.nextRead)
	}
}

func (leader *Leader) noteReportFailed(failed ReportFailed) {
	if vm, found := leader.members[failed.VM]; found {
		vm.reading = false
		leader.readDue = earlier(leader.readDue, vm.nextRead)
	}
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func (leader *Leader) noteFolder(adopted FolderAdopted) {
	leader.groups = adopted.Groups
	leader.policy = adopted.Policy
	leader.classes = map[string]folder.TargetClass{}
	for _, class := range adopted.Classes {
		leader.classes[class.Name] = class
	}
	leader.keep = map[string]int{}
	for _, route := range adopted.Routes {
		leader.keep[route.Group] = max(leader.keep[route.Group], route.MinReplicas)
	}
}

// noteElsewhere keeps the known sizes for a while when the list of domains
// loses a large share of its VMs at once.
func (leader *Leader) noteElsewhere(now time.Time, event Elsewhere) {
	if totalVMs(event.Domains)*largeShareDivisor >= totalVMs(leader.elsewhere.Domains) {
		leader.shrunkAt = time.Time{}
	} else if leader.shrunkAt.IsZero() {
		leader.shrunkAt = now
	}
	if !leader.shrunkAt.IsZero() && now.Sub(leader.shrunkAt) < leader.config.DarkHold {
		event.Domains = leader.elsewhere.Domains
	}
	if slices.Equal(event.Domains, leader.elsewhere.Domains) && slices.Equal(event.Replicas, leader.elsewhere.Replicas) {
		return
	}
	leader.dirty = true
	leader.elsewhere = event
}

func totalVMs(domains []DomainSize) int {
	total := 0
	for _, domain := range domains {
		total += domain.VMs
	}
	return total
}

// writer is the name under which the leader writes the record.
func (leader *Leader) writer() string {
	return leader.config.Node + "/" + leader.config.Incarnation
}

func (leader *Leader) expect() kvstore.Expect {
	if leader.revision == 0 {
		return kvstore.ExpectAbsent()
	}
	return kvstore.ExpectRevision(leader.revision)
}
