package group

import (
	"fmt"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// LeaderConfig identifies the leader of one fabric domain and sets its timing.
type LeaderConfig struct {
	Domain      string
	Node        string
	Incarnation string

	// LeaseDuration is the longest time for which an earlier leader's lease
	// may still run when this node becomes the leader.
	LeaseDuration time.Duration

	// UnreachableHold is how long the placement stays unchanged after most VMs of the
	// domain stopped reporting at the same time, and how long VMs that
	// disappeared from the platform's list at the same time still count as
	// listed. The default is 30 min. It can be shorter where the platform itself
	// reports which VMs are gone.
	UnreachableHold time.Duration

	// ReturnSettle is how long the placement stays unchanged after most VMs of
	// such a domain report again, so that the VMs that return last are not
	// replaced. The default is 20 s.
	ReturnSettle time.Duration

	// FormSettle is how long after the last added VM a domain that forms groups
	// by share waits before it forms groups.
	FormSettle time.Duration

	// Planner decides which changes the placement needs. The default is Plan.
	Planner func(PlanInput) []Decision
}

// phase is the state of the leader between the start of a lease and its end.
type phase int

const (
	// phaseIdle means that the node does not lead the domain.
	phaseIdle phase = iota

	// phaseReading means that the leader reads the placement record.
	phaseReading

	// phaseTakeover means that the leader writes the placement record under a
	// new fencing number.
	phaseTakeover

	// phaseLeading means that the stored record carries this leader's name and
	// fencing number, so that it may change the placement and send orders.
	phaseLeading

	// phaseGrantsOnly means that the node holds no lease and that no other
	// leader is known, usually because the store is unreachable. The leader
	// publishes grants for the last known record and changes nothing.
	phaseGrantsOnly
)

// Retry intervals of reads and writes of the placement record.
const (
	// readRetry is the time after which a read without an answer is repeated,
	// and the pause after a record that cannot be decoded.
	readRetry = 2 * time.Second

	// commitRetry is the pause after a refused write or a failed read.
	commitRetry = 500 * time.Millisecond
)

// A Leader forms, repairs and stops the serving groups of one fabric domain. It
// is not safe for concurrent use.
type Leader struct {
	config     LeaderConfig
	phase      phase
	leaseUntil time.Time

	placement *Placement
	revision  uint64
	fence     uint64

	// era is the era of the store in which the placement was last read.
	era uint64

	// oldOrdersUntil is the time until which an order of an earlier leader may
	// still arrive at an engine.
	oldOrdersUntil time.Time
	readRetryAt    time.Time
	reading        bool
	commit         pendingCommit

	// retryAt is the earliest time of the next read or write of the placement
	// record after one failed.
	retryAt     time.Time
	changeCount uint64
	orderCount  uint64

	groups      []folder.Group
	classes     map[string]folder.TargetClass
	policy      folder.Policy
	minReplicas map[string]int

	otherDomains OtherDomains

	// othersShrunkAt is when the other domains lost a large share of their VMs
	// at the same time, and zero when they did not.
	othersShrunkAt time.Time
	members        map[string]*member
	sortedNames    []string

	// handledAt is when the last event was handled.
	handledAt time.Time

	// earliestRead is a lower bound of the times at which reports are due.
	earliestRead time.Time

	// unreachableSince is when most VMs of the domain were first found
	// unreachable, and zero while they report. The placement stays unchanged
	// until returnSettledAt after their return.
	unreachableSince time.Time
	returnSettledAt  time.Time

	// collectUntil is the time until which a new leader collects reports before
	// it changes the placement.
	collectUntil time.Time

	// awaitUntil is the time until which it also waits for members that are being asked, see
	// AwaitMembers.
	awaitUntil time.Time

	planAt    time.Time
	plannedAt time.Time

	// dirty is set when an input of the policy has changed since plannedAt.
	dirty          bool
	weightsRetryAt time.Time

	// secondModelAt is when permits to stage a second model on members that
	// serve are requested again.
	secondModelAt time.Time
	drainingSince map[string]time.Time
	published     publication

	// split is the observed demand and what the leader does about it.
	split splitState

	// vmAddedAt is when a VM was last added to the domain.
	vmAddedAt time.Time
}

// NewLeader returns an idle leader. It needs a LeaseHeld and a FolderAdopted
// event before it does anything.
func NewLeader(config LeaderConfig) *Leader {
	if config.Planner == nil {
		config.Planner = Plan
	}
	if config.UnreachableHold == 0 {
		config.UnreachableHold = defaultUnreachableHold
	}
	if config.ReturnSettle == 0 {
		config.ReturnSettle = defaultReturnSettle
	}
	return &Leader{
		config:        config,
		placement:     NewPlacement(config.Domain),
		classes:       map[string]folder.TargetClass{},
		minReplicas:   map[string]int{},
		members:       map[string]*member{},
		drainingSince: map[string]time.Time{},
	}
}

// Handle processes one event and returns the effects to carry out. now is the
// time at which the event is handled, not the time at which it happened.
func (leader *Leader) Handle(now time.Time, event Event) []Effect {
	leader.checkLease(now)
	leader.resumeAfterPause(now)
	if read, found := event.(ReportRead); found && leader.onlyLoadChanged(read) {
		leader.handleReportRead(now, read)
		return leader.readReports(now)
	}
	switch event.(type) {
	case Tick, LeaseHeld, VMsListed, OtherDomains, ReportFailed, DemandObserved:
	default:
		leader.dirty = true
	}
	effects := leader.handleEvent(now, event)
	return append(effects, leader.runPhase(now)...)
}

// onlyLoadChanged reports whether a report differs from the previous one in its
// load, its age and its sequence number only. Nearly all reports do. Handle records
// such a report, requests the reports that are due and leaves the rest of the work
// to the next Tick.
func (leader *Leader) onlyLoadChanged(read ReportRead) bool {
	vm, found := leader.members[read.Report.VM]
	if !found || leader.phase == phaseIdle || !vm.live() || !vm.reportCoversOrder() {
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

// Placement returns the placement record that the leader last read or committed.
// The caller must not change it.
func (leader *Leader) Placement() *Placement { return leader.placement }

// Leading reports whether the node holds the lease and has taken the placement
// record over.
func (leader *Leader) Leading() bool { return leader.phase == phaseLeading }

// GrantsOnly reports whether the leader has no lease and only publishes grants for
// the last record that it read or committed.
func (leader *Leader) GrantsOnly() bool { return leader.phase == phaseGrantsOnly }

func (leader *Leader) handleEvent(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case LeaseHeld:
		leader.handleLeaseHeld(now, event)
	case LeaseLost:
		leader.resign()
	case LeaseExpired:
		leader.enterGrantsOnly()
	case Observe:
		leader.observe(now, event)
	case PlacementRead:
		return leader.handlePlacementRead(now, event)
	case PlacementUnavailable:
		leader.handlePlacementUnavailable(now)
	case CommitDone:
		return leader.handleCommitDone(now, event)
	case ReportRead:
		leader.handleReportRead(now, event)
	case ReportFailed:
		leader.handleReportFailed(event)
	case OrderAccepted:
		leader.handleOrderAccepted(event.VM, event.Order, now)
	case OrderRefused:
		leader.handleOrderRefused(now, event)
	case OrderUnknown:
		leader.handleOrderUnknown(now, event)
	case WeightsAcquired:
		leader.handleWeights(event.VM, true)
	case WeightsRefused:
		if leader.stagesSecondModel(event.VM) {
			leader.secondModelAt = now.Add(event.Retry)
		} else {
			leader.weightsRetryAt = now.Add(event.Retry)
		}
		leader.handleWeights(event.VM, false)
	case VMsListed:
		leader.handleList(now, event.VMs)
	case FolderAdopted:
		leader.handleFolder(event)
	case OtherDomains:
		leader.handleOtherDomains(now, event)
	case VMLeaving:
		leader.handleLeaving(event)
	case VMEnded:
		leader.handleEnded(event)
	case VMSilent:
		leader.handleSilent(event)
	case DemandObserved:
		leader.handleDemand(now, event)
	case AwaitMembers:
		leader.awaitUntil = event.Until
	case Tick:
	default:
		panic(fmt.Sprintf("group: unknown event %T", event))
	}
	return nil
}

func (leader *Leader) runPhase(now time.Time) []Effect {
	for _, vm := range leader.members {
		if vm.updateMissing(now, leader.missingAfter(), leader.policy.ReportInterval) {
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
	case phaseTakeover:
		return append(leader.takeOver(now), leader.readReports(now)...)
	case phaseGrantsOnly:
		return append(leader.readReports(now), leader.publishGrants(now)...)
	}
	effects := leader.readReports(now)
	effects = append(effects, leader.changePlacement(now)...)
	effects = append(effects, leader.sendOrders(now)...)
	effects = append(effects, leader.acquireWeights(now)...)
	return append(effects, leader.publishGrants(now)...)
}

func (leader *Leader) handleLeaseHeld(now time.Time, held LeaseHeld) {
	if !now.Before(held.Until) {
		return
	}
	leader.leaseUntil = held.Until
	if leader.phase == phaseIdle || leader.phase == phaseGrantsOnly {
		leader.phase = phaseReading
		leader.reading = false
		leader.fence = 0
		leader.commit = pendingCommit{}
	}
}

// checkLease stops orders and changes of the placement when the lease has
// expired on the monotonic clock.
func (leader *Leader) checkLease(now time.Time) {
	if leader.phase == phaseIdle || leader.phase == phaseGrantsOnly {
		return
	}
	if !now.Before(leader.leaseUntil) {
		leader.enterGrantsOnly()
	}
}

func (leader *Leader) resign() {
	leader.phase = phaseIdle
	leader.discardPending()
	leader.commit = pendingCommit{}
	leader.published = publication{}
}

// enterGrantsOnly stops orders and changes of the placement, but keeps
// publishing grants if this leader had taken the record over. A write with an
// unknown outcome does not invalidate them, because no member joins another
// composition without an order.
func (leader *Leader) enterGrantsOnly() {
	if leader.phase == phaseGrantsOnly {
		return
	}
	own := leader.phase == phaseLeading || leader.phase == phaseReading && leader.fence != 0
	if !own {
		leader.resign()
		return
	}
	leader.phase = phaseGrantsOnly
	leader.discardPending()
	leader.commit = pendingCommit{}
}

// observe starts publishing grants for a record that another node wrote.
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
	leader.phase = phaseGrantsOnly
	leader.addPlacedMembers(now)
}

func (leader *Leader) discardPending() {
	for _, vm := range leader.members {
		vm.order = pendingOrder{}
		vm.permit = loadPermit{}
	}
}

func (leader *Leader) handleReportRead(now time.Time, read ReportRead) {
	if vm, found := leader.members[read.Report.VM]; found {
		vm.recordReport(now, read)
		leader.earliestRead = earlier(leader.earliestRead, vm.nextRead)
	}
}

func (leader *Leader) handleReportFailed(failed ReportFailed) {
	if vm, found := leader.members[failed.VM]; found {
		vm.reading = false
		leader.earliestRead = earlier(leader.earliestRead, vm.nextRead)
	}
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func (leader *Leader) handleFolder(adopted FolderAdopted) {
	leader.groups = adopted.Groups
	leader.policy = adopted.Policy
	leader.classes = map[string]folder.TargetClass{}
	for _, class := range adopted.Classes {
		leader.classes[class.Name] = class
	}
	leader.minReplicas = map[string]int{}
	for _, route := range adopted.Routes {
		leader.minReplicas[route.Group] = max(leader.minReplicas[route.Group], route.MinReplicas)
	}
}

// handleOtherDomains records the replicas and sizes of the other domains. When
// they lose a large share of their VMs at the same time, the previous sizes stay
// valid for UnreachableHold, because the list may be wrong.
func (leader *Leader) handleOtherDomains(now time.Time, event OtherDomains) {
	if totalVMs(event.Domains)*largeShareDivisor >= totalVMs(leader.otherDomains.Domains) {
		leader.othersShrunkAt = time.Time{}
	} else if leader.othersShrunkAt.IsZero() {
		leader.othersShrunkAt = now
	}
	if !leader.othersShrunkAt.IsZero() && now.Sub(leader.othersShrunkAt) < leader.config.UnreachableHold {
		event.Domains = leader.otherDomains.Domains
	}
	if slices.Equal(event.Domains, leader.otherDomains.Domains) && slices.Equal(event.Replicas, leader.otherDomains.Replicas) {
		return
	}
	leader.dirty = true
	leader.otherDomains = event
}

func totalVMs(domains []DomainSize) int {
	total := 0
	for _, domain := range domains {
		total += domain.VMs
	}
	return total
}

// writer returns the name under which the leader writes the placement record.
func (leader *Leader) writer() string {
	return leader.config.Node + "/" + leader.config.Incarnation
}

func (leader *Leader) expect() kvstore.Expect {
	if leader.revision == 0 {
		return kvstore.ExpectAbsent()
	}
	return kvstore.ExpectRevision(leader.revision)
}
