package group

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
)

// orderRetry is the pause after a refused order.
const orderRetry = 500 * time.Millisecond

// announceDelay covers the time in which an engine writes its report to the store
// and the watch delivers the report to the leader.
const announceDelay = 150 * time.Millisecond

// A pendingOrder is the last order to a VM. The next order waits for a report that
// shows the effect of this one.
type pendingOrder struct {
	id       string
	action   engine.Action
	answered bool

	// visibleAt is the earliest send time of a report that shows the effect of
	// the order.
	visibleAt time.Time
	retryAt   time.Time
	delay     time.Duration
}

// reportCoversOrder reports whether the last report shows the effect of the last
// order.
func (vm *member) reportCoversOrder() bool {
	if vm.order.id == "" {
		return true
	}
	return vm.order.answered && !vm.sentAt.Before(vm.order.visibleAt)
}

// A desiredOrder is the order that brings one VM to the state of the committed
// record.
type desiredOrder struct {
	vm         *member
	name       string
	action     engine.Action
	group      Group
	assignment Assignment
}

// longestDelay returns the longest order delay of all target classes.
func (leader *Leader) longestDelay() time.Duration {
	longest := time.Duration(0)
	for _, class := range leader.classes {
		longest = max(longest, class.OrderDelay)
	}
	return longest
}

// strictestClass combines the most cautious settings of all target classes. It is
// used for a VM whose class is unknown.
func (leader *Leader) strictestClass() folder.TargetClass {
	strictest := folder.TargetClass{OrderDelay: leader.longestDelay()}
	strictest.ChecksFencing = len(leader.classes) > 0
	strictest.ChecksSequence = len(leader.classes) > 0
	for _, class := range leader.classes {
		strictest.ChecksFencing = strictest.ChecksFencing && class.ChecksFencing
		strictest.ChecksSequence = strictest.ChecksSequence && class.ChecksSequence
		strictest.OpenedByOrder = strictest.OpenedByOrder || class.OpenedByOrder
		strictest.OpenTime = max(strictest.OpenTime, class.OpenTime)
	}
	return strictest
}

// classOf returns the target class of a placed group, or that of a group whose weights are
// staged. Groups of services that have one model are of one class.
func (leader *Leader) classOf(group Group) folder.TargetClass {
	for _, spec := range leader.groups {
		if recordedSpec(spec) != group.Spec {
			continue
		}
		if class, found := leader.classes[spec.TargetClass]; found {
			return class
		}
	}
	return leader.strictestClass()
}

// sendOrders sends the orders that bring the VMs to the state of the committed
// record.
func (leader *Leader) sendOrders(now time.Time) []Effect {
	if leader.commit.outstanding() {
		return nil
	}
	var effects []Effect
	for _, name := range leader.memberNames() {
		desired, found := leader.desiredOrderFor(now, name)
		if !found || leader.collecting(now) && leader.endsComposition(desired) {
			continue
		}
		class := leader.orderClass(desired)
		if !leader.maySend(now, desired.vm, class) {
			continue
		}
		effects = append(effects, leader.send(now, desired, class))
	}
	return effects
}

// endsComposition reports whether an order closes the composition that a VM reports or
// makes the VM leave it. A new leader gives no such order before it has collected the
// reports: the members that it does not know yet may be in their places, and rank 0 may
// run requests.
func (leader *Leader) endsComposition(desired desiredOrder) bool {
	if desired.vm.report.Group == "" || !leader.strictestClass().OpenedByOrder {
		return false
	}
	switch desired.action {
	case engine.ActionLoad:
		return true
	case engine.ActionRelease, engine.ActionClose, engine.ActionDrain:
		return desired.assignment.Group == ""
	default:
		return false
	}
}

// orderClass returns the target class whose rules apply to an order.
func (leader *Leader) orderClass(desired desiredOrder) folder.TargetClass {
	if desired.group.Spec == "" {
		return leader.strictestClass()
	}
	return leader.classOf(desired.group)
}

// desiredOrderFor compares the committed record with a VM's report. It returns
// false when the VM needs no order or must not get it yet.
func (leader *Leader) desiredOrderFor(now time.Time, name string) (desiredOrder, bool) {
	vm := leader.members[name]
	if !vm.live() {
		return desiredOrder{}, false
	}
	desired := desiredOrder{vm: vm, name: name, action: engine.ActionRelease}
	if leader.mustClose(vm, name) {
		action, due := leader.closeAction(now, vm)
		desired.action = action
		return desired, due
	}
	vm.closeNoted = time.Time{}
	assignment, placed := leader.placement.Assignment(name)
	if !placed {
		if leader.mayStage(now, vm) {
			return leader.stageOrder(vm, name), true
		}
		return desired, (!vm.idle() || leader.acceptsOldOrders(vm)) && leader.mayRelease(now, vm)
	}
	group := leader.placement.groups[assignment.Group]
	byOrder := leader.classOf(group).OpenedByOrder
	otherGroup := vm.report.Group != "" && vm.report.Group != group.Name && !byOrder
	if assignment.Incarnation != vm.report.Incarnation || otherGroup || group.State == StateReleased {
		return desired, !vm.idle() && leader.mayRelease(now, vm)
	}
	desired.group = group
	desired.assignment = assignment
	if group.State == StateDraining {
		desired.action = engine.ActionDrain
		return desired, leader.admissionStopped(now, group) && leader.mustDrain(vm, group)
	}
	desired.action = engine.ActionLoad
	if vm.reportsAssignment(group, assignment) {
		if byOrder && leader.mayStage(now, vm) {
			return leader.stageOrder(vm, name), true
		}
		if byOrder {
			desired.action = engine.ActionOpen
			return desired, leader.mayOpen(vm, group, assignment)
		}
		return desired, vm.report.State == engine.StateIdle || vm.report.State == engine.StateDraining
	}
	if vm.report.Group != "" && byOrder && !leader.confirmedClosed(compositionOf(vm.report)) {
		desired = desiredOrder{vm: vm, name: name, action: engine.ActionRelease}
		return desired, leader.mayRelease(now, vm)
	}
	return desired, !leader.needsWeights(vm, group) || vm.permit.grantedFor(group)
}

// acceptsOldOrders reports whether an engine that checks fencing numbers would
// still accept an order of an earlier leader. Before the VM is assigned, a release
// order raises the engine's fencing number.
func (leader *Leader) acceptsOldOrders(vm *member) bool {
	class := leader.strictestClass()
	return class.ChecksFencing && !class.ChecksSequence && vm.report.Fence < leader.fence
}

// reportsAssignment reports whether the engine's last report carries the
// incarnation, group, epoch and rank of an assignment.
func (vm *member) reportsAssignment(group Group, assignment Assignment) bool {
	return vm.report.Incarnation == assignment.Incarnation &&
		vm.report.Group == group.Name &&
		vm.report.Epoch == group.Epoch &&
		vm.report.Rank == assignment.Rank
}

func (leader *Leader) buildOrder(desired desiredOrder) engine.Order {
	report := desired.vm.report
	switch {
	case desired.action == engine.ActionStage:
		return engine.Order{Action: desired.action, Model: desired.group.Model, Version: desired.group.Version}
	case desired.assignment.Group == "":
		// The order ends the composition that the VM reports.
		return engine.Order{Action: desired.action, Group: report.Group, Epoch: report.Epoch, Rank: report.Rank}
	}
	order := engine.Order{
		Action:  desired.action,
		Group:   desired.group.Name,
		Epoch:   desired.group.Epoch,
		Rank:    desired.assignment.Rank,
		Size:    desired.group.Size,
		Model:   desired.group.Model,
		Version: desired.group.Version,
	}
	for _, vm := range leader.placement.Members(desired.group.Name) {
		order.Members = append(order.Members, leader.placement.vms[vm].Address)
		order.MemberVMs = append(order.MemberVMs, vm)
	}
	return order
}

// maySend reports whether an order may be sent to a VM now. It may not while the
// effect of the previous order is unknown, while an order of an earlier leader may
// still arrive, or when the lease could expire before the order arrives.
func (leader *Leader) maySend(now time.Time, vm *member, class folder.TargetClass) bool {
	if !vm.reportCoversOrder() || now.Before(vm.order.retryAt) {
		return false
	}
	if !class.ChecksFencing && !class.ChecksSequence && now.Before(leader.oldOrdersUntil) {
		return false
	}
	return now.Before(leader.orderDeadline(class))
}

// orderDeadline returns the time until which an order may be sent so that it
// arrives within the lease. A class that checks fencing or sequence numbers needs
// no margin, because its engines refuse late orders of an earlier leader.
func (leader *Leader) orderDeadline(class folder.TargetClass) time.Time {
	if class.ChecksFencing || class.ChecksSequence {
		return leader.leaseUntil
	}
	return leader.leaseUntil.Add(-class.OrderDelay)
}

func (leader *Leader) send(now time.Time, desired desiredOrder, class folder.TargetClass) Effect {
	leader.orderCount++
	if desired.action == engine.ActionStage {
		desired.vm.staging = desired.group.Model
		desired.vm.stagedAt = leader.plannedAt
		desired.vm.permit = loadPermit{}
	}
	deadline := leader.orderDeadline(class)
	order := leader.buildOrder(desired)
	order.ID = fmt.Sprintf("%s/%d/%d", leader.writer(), leader.fence, leader.orderCount)
	order.Fence = leader.fence
	order.VM = desired.name
	order.ExpiresInMillis = leader.leaseUntil.Sub(now).Milliseconds()
	delay := class.OrderDelay
	if class.ChecksSequence {
		// The engine refuses a late copy of the order after it has begun another.
		delay = orderRetry
	}
	desired.vm.order = pendingOrder{id: order.ID, action: desired.action, delay: delay}
	return SendOrder{VM: desired.name, Address: desired.vm.vm.Address, Order: order, Deadline: deadline}
}

func (leader *Leader) pending(vm string, order string) *pendingOrder {
	member, found := leader.members[vm]
	if !found || member.order.id != order {
		return nil
	}
	return &member.order
}

// handleOrderAccepted sets the time from which reports show the effect of the
// order. Reports that the engine writes to the store arrive some time after its
// answer.
func (leader *Leader) handleOrderAccepted(vm string, order string, visibleAt time.Time) {
	pending := leader.pending(vm, order)
	if pending == nil {
		return
	}
	if leader.strictestClass().ChecksSequence {
		visibleAt = visibleAt.Add(announceDelay)
	}
	if pending.action == engine.ActionOpen {
		visibleAt = visibleAt.Add(leader.strictestClass().OpenTime)
	}
	pending.answered = true
	pending.visibleAt = visibleAt
}

// handleOrderRefused schedules a retry. It reads the record again when the engine
// has accepted a higher fencing number, which means that another node leads.
func (leader *Leader) handleOrderRefused(now time.Time, refused OrderRefused) {
	pending := leader.pending(refused.VM, refused.Order)
	if pending == nil {
		return
	}
	pending.answered = true
	pending.visibleAt = now
	pending.retryAt = now.Add(orderRetry)
	if refused.Fence > leader.fence && leader.phase == phaseLeading && !leader.commit.outstanding() {
		leader.rereadPlacement()
	}
}

// handleOrderUnknown delays the next order until this one can no longer arrive.
func (leader *Leader) handleOrderUnknown(now time.Time, unknown OrderUnknown) {
	if pending := leader.pending(unknown.VM, unknown.Order); pending != nil {
		pending.answered = true
		pending.visibleAt = now.Add(pending.delay)
	}
}

// A loadPermit is the weight store's permission to load the weights of one
// composition on a VM. A permit that is not granted has been requested.
type loadPermit struct {
	group   string
	epoch   uint64
	granted bool
}

func (permit loadPermit) grantedFor(group Group) bool {
	return permit.granted && permit.group == group.Name && permit.epoch == group.Epoch
}

// warm returns the models for which a VM joins a group without a load. An engine
// that is opened by order keeps the weights of its last group after leaving it.
func (leader *Leader) warm(vm *member) []string {
	warm := slices.Clone(vm.report.Staged)
	if leader.strictestClass().OpenedByOrder && vm.lastModel != "" && !slices.Contains(warm, vm.lastModel) {
		warm = append(warm, vm.lastModel)
	}
	return warm
}

// needsWeights reports whether the engine has to load the group's weights from
// the weight store.
func (leader *Leader) needsWeights(vm *member, group Group) bool {
	if slices.Contains(leader.warm(vm), group.Model) {
		return false
	}
	return vm.report.Model != group.Model || vm.report.Version != group.Version
}

// maxAcquire bounds the unanswered requests for load permits, so that a more
// valuable group that appears later does not wait behind a long queue.
const maxAcquire = 4

// A weightNeed is a VM that needs a load permit.
type weightNeed struct {
	vm      string
	group   Group
	spec    folder.Group
	missing int

	// secondModel is set for the weights of another model than that of the group
	// in which the VM serves.
	secondModel bool
}

// acquireWeights requests load permits, for the most valuable groups first, and
// among equally valuable ones for the group with the fewest loads left.
func (leader *Leader) acquireWeights(now time.Time) []Effect {
	if now.Before(leader.weightsRetryAt) || leader.commit.outstanding() {
		return nil
	}
	requested := 0
	for _, vm := range leader.members {
		if vm.permit.group != "" && !vm.permit.granted {
			requested++
		}
	}
	var effects []Effect
	for _, need := range leader.weightNeeds() {
		if requested >= maxAcquire {
			break
		}
		vm := leader.members[need.vm]
		if vm.permit.group != "" && !vm.permit.granted {
			continue
		}
		requested++
		vm.permit = loadPermit{group: need.group.Name, epoch: need.group.Epoch}
		effects = append(effects, AcquireWeights{VM: need.vm, Bytes: need.spec.WeightBytes, Preload: need.secondModel})
	}
	return effects
}

func (leader *Leader) weightNeeds() []weightNeed {
	var needs []weightNeed
	for _, group := range leader.placement.Groups() {
		if group.State == StateDraining || group.State == StateReleased {
			continue
		}
		needs = append(needs, leader.groupNeeds(group)...)
	}
	needs = append(needs, leader.stagingNeeds()...)
	sort.SliceStable(needs, func(i, j int) bool {
		if needs[i].spec.Value != needs[j].spec.Value {
			return needs[i].spec.Value > needs[j].spec.Value
		}
		return needs[i].missing < needs[j].missing
	})
	return needs
}

func (leader *Leader) groupNeeds(group Group) []weightNeed {
	spec, _ := leader.specOf(leader.placement, group)
	var needs []weightNeed
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !leader.needsWeights(vm, group) || vm.permit.grantedFor(group) {
			continue
		}
		if vm.report.Incarnation != leader.placement.vms[name].Incarnation {
			continue
		}
		needs = append(needs, weightNeed{vm: name, group: group, spec: spec})
	}
	for index := range needs {
		needs[index].missing = len(needs)
	}
	return needs
}

func findSpec(groups []folder.Group, name string) (folder.Group, bool) {
	for _, group := range groups {
		if group.Name == name {
			return group, true
		}
	}
	return folder.Group{}, false
}

func (leader *Leader) handleWeights(name string, granted bool) {
	vm, found := leader.members[name]
	if !found || vm.permit.group == "" {
		return
	}
	if granted {
		vm.permit.granted = true
		return
	}
	vm.permit = loadPermit{}
}
