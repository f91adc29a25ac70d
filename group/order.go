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

// announceTime covers the write of an engine's announcement and its way to the
// leader through a watch.
const announceTime = 150 * time.Millisecond

// A pendingOrder is the last order to a VM. The next one waits until a report
// that was asked for after it could have arrived.
type pendingOrder struct {
	id      string
	action  engine.Action
	settled bool

	// settledAt is the time from which a report shows what the order did.
	settledAt time.Time
	retryAt   time.Time
	delay     time.Duration
}

// readBack reports whether the last report shows what the last order did.
func (vm *member) readBack() bool {
	if vm.order.id == "" {
		return true
	}
	return vm.order.settled && !vm.sent.Before(vm.order.settledAt)
}

// A wantedOrder is what the committed record asks of one VM.
type wantedOrder struct {
	vm     *member
	name   string
	action engine.Action
	group  Group
	seat   Assignment
}

// longestDelay returns the longest order delay over all target classes.
func (leader *Leader) longestDelay() time.Duration {
	longest := time.Duration(0)
	for _, class := range leader.classes {
		longest = max(longest, class.OrderDelay)
	}
	return longest
}

// strictest returns a class that stands for a VM of unknown class.
func (leader *Leader) strictest() folder.TargetClass {
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

func (leader *Leader) class(spec string) folder.TargetClass {
	for _, group := range leader.groups {
		if group.Name != spec {
			continue
		}
		if class, found := leader.classes[group.TargetClass]; found {
			return class
		}
	}
	return leader.strictest()
}

// sendOrders sends the orders that the committed record asks for.
func (leader *Leader) sendOrders(now time.Time) []Effect {
	if leader.commit.outstanding() {
		return nil
	}
	var effects []Effect
	for _, name := range leader.memberNames() {
		wanted, found := leader.wanted(now, name)
		if !found {
			continue
		}
		class := leader.orderClass(wanted)
		if !leader.mayOrder(now, wanted.vm, class) {
			continue
		}
		effects = append(effects, leader.send(now, wanted, class))
	}
	return effects
}

// orderClass returns the target class that an order is sent under.
func (leader *Leader) orderClass(wanted wantedOrder) folder.TargetClass {
	if wanted.group.Spec == "" {
		return leader.strictest()
	}
	return leader.class(wanted.group.Spec)
}

// wanted compares the committed record with a VM's report.
func (leader *Leader) wanted(now time.Time, name string) (wantedOrder, bool) {
	vm := leader.members[name]
	if !vm.live() {
		return wantedOrder{}, false
	}
	wanted := wantedOrder{vm: vm, name: name, action: engine.ActionRelease}
	if leader.mustClose(vm, name) {
		wanted.action = engine.ActionClose
		return wanted, true
	}
	seat, placed := leader.placement.Assignment(name)
	if !placed {
		if leader.mayStage(now, vm) {
			return leader.stageOrder(vm, name), true
		}
		return wanted, (!vm.idle() || leader.unclaimed(vm)) && leader.mayLeave(vm)
	}
	group := leader.placement.groups[seat.Group]
	byOrder := leader.class(group.Spec).OpenedByOrder
	other := vm.report.Group != "" && vm.report.Group != group.Name && !byOrder
	if seat.Incarnation != vm.report.Incarnation || other || group.State == StateReleased {
		return wanted, !vm.idle() && leader.mayLeave(vm)
	}
	wanted.group = group
	wanted.seat = seat
	if group.State == StateDraining {
		wanted.action = engine.ActionDrain
		return wanted, leader.gateClosed(now, group) && leader.mustDrain(vm, group)
	}
	wanted.action = engine.ActionLoad
	if vm.holds(group, seat) {
		if byOrder && leader.mayStage(now, vm) {
			return leader.stageOrder(vm, name), true
		}
		if byOrder {
			wanted.action = engine.ActionOpen
			return wanted, leader.mayOpen(vm, group, seat)
		}
		return wanted, vm.report.State == engine.StateIdle || vm.report.State == engine.StateDraining
	}
	if vm.report.Group != "" && byOrder && !leader.closed(compositionOf(vm.report)) {
		wanted = wantedOrder{vm: vm, name: name, action: engine.ActionRelease}
		return wanted, leader.mayLeave(vm)
	}
	return wanted, !leader.needsWeights(vm, group) || vm.weights.grantedFor(group)
}

// unclaimed reports whether an engine that checks fencing would still take an
// order of an earlier leader. A release order raises its fencing number before
// the VM is assigned.
func (leader *Leader) unclaimed(vm *member) bool {
	class := leader.strictest()
	return class.ChecksFencing && !class.ChecksSequence && vm.report.Fence < leader.fence
}

// holds reports whether the engine names the seat in its last report.
func (vm *member) holds(group Group, assignment Assignment) bool {
	return vm.report.Incarnation == assignment.Incarnation &&
		vm.report.Group == group.Name &&
		vm.report.Epoch == group.Epoch &&
		vm.report.Rank == assignment.Rank
}

func (leader *Leader) order(wanted wantedOrder) engine.Order {
	report := wanted.vm.report
	switch wanted.action {
	case engine.ActionRelease, engine.ActionClose:
		return engine.Order{Action: wanted.action, Group: report.Group, Epoch: report.Epoch, Rank: report.Rank}
	case engine.ActionStage:
		return engine.Order{Action: wanted.action, Model: wanted.group.Model, Version: wanted.group.Version}
	}
	order := engine.Order{
		Action:  wanted.action,
		Group:   wanted.group.Name,
		Epoch:   wanted.group.Epoch,
		Rank:    wanted.seat.Rank,
		Size:    wanted.group.Size,
		Model:   wanted.group.Model,
		Version: wanted.group.Version,
	}
	for _, vm := range leader.placement.Members(wanted.group.Name) {
		order.Members = append(order.Members, leader.placement.vms[vm].Address)
		order.MemberVMs = append(order.MemberVMs, vm)
	}
	return order
}

// mayOrder holds an order back while an earlier order to the VM may still
// arrive, while an earlier leader's may, or when the lease is too short.
func (leader *Leader) mayOrder(now time.Time, vm *member, class folder.TargetClass) bool {
	if !vm.readBack() || now.Before(vm.order.retryAt) {
		return false
	}
	if !class.ChecksFencing && !class.ChecksSequence && now.Before(leader.quietUntil) {
		return false
	}
	return now.Before(leader.orderDeadline(class))
}

// orderDeadline returns the last time at which an order may be sent so that
// it arrives within the lease. A class that checks fencing needs no margin.
func (leader *Leader) orderDeadline(class folder.TargetClass) time.Time {
	if class.ChecksFencing || class.ChecksSequence {
		return leader.until
	}
	return leader.until.Add(-class.OrderDelay)
}

func (leader *Leader) send(now time.Time, wanted wantedOrder, class folder.TargetClass) Effect {
	leader.orders++
	deadline := leader.orderDeadline(class)
	order := leader.order(wanted)
	order.ID = fmt.Sprintf("%s/%d/%d", leader.writer(), leader.fence, leader.orders)
	order.Fence = leader.fence
	order.VM = wanted.name
	order.ExpiresInMillis = leader.until.Sub(now).Milliseconds()
	delay := class.OrderDelay
	if class.ChecksSequence {
		// A late copy of the order is refused once another one has begun.
		delay = orderRetry
	}
	wanted.vm.order = pendingOrder{id: order.ID, action: wanted.action, delay: delay}
	return SendOrder{VM: wanted.name, Address: wanted.vm.vm.Address, Order: order, Deadline: deadline}
}

func (leader *Leader) pending(vm string, order string) *pendingOrder {
	member, found := leader.members[vm]
	if !found || member.order.id != order {
		return nil
	}
	return &member.order
}

// noteOrder waits for a report that shows what the order did. Reports that the
// engine itself announces arrive some time after its answer.
func (leader *Leader) noteOrder(vm string, order string, settledAt time.Time) {
	pending := leader.pending(vm, order)
	if pending == nil {
		return
	}
	if leader.strictest().ChecksSequence {
		settledAt = settledAt.Add(announceTime)
	}
	if pending.action == engine.ActionOpen {
		settledAt = settledAt.Add(leader.strictest().OpenTime)
	}
	pending.settled = true
	pending.settledAt = settledAt
}

// noteOrderRefused reads the record again when the engine has seen a higher
// fencing number: another node leads.
func (leader *Leader) noteOrderRefused(now time.Time, refused OrderRefused) {
	pending := leader.pending(refused.VM, refused.Order)
	if pending == nil {
		return
	}
	pending.settled = true
	pending.settledAt = now
	pending.retryAt = now.Add(orderRetry)
	if refused.Fence > leader.fence && leader.phase == phaseLeading && !leader.commit.outstanding() {
		leader.reread()
	}
}

// noteOrderUnknown waits until the order cannot arrive any more.
func (leader *Leader) noteOrderUnknown(now time.Time, unknown OrderUnknown) {
	if pending := leader.pending(unknown.VM, unknown.Order); pending != nil {
		pending.settled = true
		pending.settledAt = now.Add(pending.delay)
	}
}

// A weightClaim is the right to load one composition's weights on a VM.
type weightClaim struct {
	group   string
	epoch   uint64
	granted bool
}

func (claim weightClaim) grantedFor(group Group) bool {
	return claim.granted && claim.group == group.Name && claim.epoch == group.Epoch
}

// warm returns the models that a VM joins a group of without a load. An engine
// that is opened by order keeps the weights of its last group after leaving it.
func (leader *Leader) warm(vm *member) []string {
	warm := slices.Clone(vm.report.Staged)
	if leader.strictest().OpenedByOrder && vm.served != "" && !slices.Contains(warm, vm.served) {
		warm = append(warm, vm.served)
	}
	return warm
}

// needsWeights reports whether the engine has to fetch the group's weights.
func (leader *Leader) needsWeights(vm *member, group Group) bool {
	if slices.Contains(leader.warm(vm), group.Model) {
		return false
	}
	return vm.report.Model != group.Model || vm.report.Version != group.Version
}

// maxAcquire bounds the weight requests without an answer, so that a more
// valuable group that appears later does not wait behind a long queue.
const maxAcquire = 4

// A weightNeed is a VM whose load waits for the weight store.
type weightNeed struct {
	vm      string
	group   Group
	spec    folder.Group
	missing int

	// crossing marks weights beside those of the group that the VM serves in.
	crossing bool
}

// acquireWeights asks for the loads of the most valuable groups first, and
// among equals for the group with the fewest loads left.
func (leader *Leader) acquireWeights(now time.Time) []Effect {
	if now.Before(leader.weightsAt) || leader.commit.outstanding() {
		return nil
	}
	asked := 0
	for _, vm := range leader.members {
		if vm.weights.group != "" && !vm.weights.granted {
			asked++
		}
	}
	var effects []Effect
	for _, need := range leader.weightNeeds() {
		if asked >= maxAcquire {
			break
		}
		vm := leader.members[need.vm]
		if vm.weights.group != "" && !vm.weights.granted {
			continue
		}
		asked++
		vm.weights = weightClaim{group: need.group.Name, epoch: need.group.Epoch}
		effects = append(effects, AcquireWeights{VM: need.vm, Bytes: need.spec.WeightBytes, Ahead: need.crossing})
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
	spec, _ := findSpec(leader.groups, group.Spec)
	var needs []weightNeed
	for _, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !leader.needsWeights(vm, group) || vm.weights.grantedFor(group) {
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

func (leader *Leader) noteWeights(name string, granted bool) {
	vm, found := leader.members[name]
	if !found || vm.weights.group == "" {
		return
	}
	if granted {
		vm.weights.granted = true
		return
	}
	vm.weights = weightClaim{}
}
