package group

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
)

// DemandObserved carries what callers ask of the pools, the groups of one model of a
// service, in the whole fleet. Leaders need not receive the same values at the same time.
type DemandObserved struct{ Pools []PoolDemand }

// A PoolDemand is the demand for the replicas of one of the folder's groups.
type PoolDemand struct {
	// Spec is the name of the folder's group.
	Spec string

	// Arrivals is the mean number of requests per second.
	Arrivals float64

	// Least, Mean and Most are the work lately, in replicas that are busy all the time. See
	// DemandTracker.
	Least, Mean, Most float64
}

func (DemandObserved) event() {}

// Bounds of the conversion of replicas.
const (
	// lateGrowth is the power of its load with which the late requests of a pool grow. The
	// wait for a place is short up to about half of the load and long from nine tenths on.
	lateGrowth = 6

	// conversionGain is the ratio of the late requests before and after a conversion below
	// which it is not worth the downtime of the converted replicas.
	conversionGain = 1.2

	// minRecipientLoad is the load of a pool below which it needs no more replicas: its requests
	// wait for places only briefly.
	minRecipientLoad = 0.5

	// maxDonorLoad is the highest load of the pool that gives up replicas, after it has given
	// them up and has lost one more. The other replicas still serve all requests then.
	maxDonorLoad = 0.85

	// minPoolReplicas is the number of replicas that a pool with requests keeps, in two
	// failure domains, so that the loss of one does not end its service.
	minPoolReplicas = 2

	// convertedMembers is the smallest part of the VMs of converted replicas that must serve the
	// other model without a load.
	convertedMembers = 0.75

	// conversionSettle is the time without a change of the replicas of all fabric domains
	// before the next conversion begins. It is longer than a conversion takes and than the
	// requests need to spread over the new replicas.
	conversionSettle = 3 * time.Second

	// takeoverSettle is the same time for a leader that has seen no change yet. The replicas of
	// a conversion that another one began are formed meanwhile.
	takeoverSettle = 1500 * time.Millisecond

	// conversionTurn is the time for which a fabric domain leaves a conversion to each domain
	// that is before it in the order.
	conversionTurn = 3 * time.Second

	// conversionEnd is the time after which a conversion that has not formed its replicas no
	// longer keeps the freed VMs for them.
	conversionEnd = 15 * time.Second

	// workShareUnits is the sum of the shares by work. It is above that of the folder's shares,
	// so that a pool with little work has one.
	workShareUnits = 100_000

	// demandMemory is the age at which an observed demand no longer counts.
	demandMemory = 10 * time.Second
)

// A poolState is a pool in all fabric domains.
type poolState struct {
	spec   folder.Group
	demand PoolDemand

	// placed and ready are the numbers of replicas, and domains those of each fabric domain.
	// placed does not contain the draining ones.
	placed, ready, draining int
	domains                 []poolDomain
}

// A poolDomain is the part of a pool in one fabric domain.
type poolDomain struct {
	name, failureDomain string
	placed              int

	// staged is the number of replicas whose members mostly hold the weights of another model.
	staged int
}

// A Conversion is a number of replicas of From that a fabric domain gives up, and the number
// of replicas of To that their VMs form.
type Conversion struct {
	From, To     string
	Gives, Gains int
}

// splitInput is the input of the decision how many groups of each model there should be. The
// pools are those of one service, which all take VMs of the same kind.
type splitInput struct{ pools []poolState }

// A splitPlan is the conversions that bring the pools to the best split.
type splitPlan struct {
	conversion Conversion

	// domains are the fabric domains in the order of their turns. The first steps of them
	// carry out one conversion each.
	domains []string
	steps   int
}

// plan returns the conversions that lower the number of late requests most, step by step. It
// has no steps if none is worth its cost.
//
// The load that it answers: two models have as many VMs each, by their shares, but one of them
// receives 10 times the requests, so that its groups are full while those of the other are
// idle. Waves and bursts of a few seconds must not move groups, so that the pool that gives up
// replicas is judged by its mean work over more than a wave and must serve the most of it, and
// the one that gains them by its least work over more than a burst.
func (input splitInput) plan() splitPlan {
	var best splitPlan
	bestRatio := conversionGain
	for from, donor := range input.pools {
		for to, recipient := range input.pools {
			if from == to || donor.spec.Size < 1 || recipient.spec.Size < 1 || donor.repairing() {
				continue
			}
			plan := splitPlan{conversion: conversionOf(donor.spec, recipient.spec)}
			if ratio := plan.gain(donor, recipient, 0); ratio > bestRatio {
				bestRatio = ratio
				best = plan
				best.choose(donor, recipient)
			}
		}
	}
	if best.steps > len(best.domains) {
		best.steps = len(best.domains)
	}
	return best
}

// expect adds the replicas that the VMs of draining ones will form to the pools that have none
// that drain, so that the leaders do not convert for the same need again.
func (input splitInput) expect(drainingVMs int) {
	for index := range input.pools {
		pool := &input.pools[index]
		if pool.draining == 0 && pool.spec.Size > 0 {
			pool.placed += drainingVMs / pool.spec.Size
			pool.ready += drainingVMs / pool.spec.Size
		}
	}
}

// conversionOf returns the smallest conversion between two groups of the folder.
func conversionOf(from, to folder.Group) Conversion {
	gives := (to.Size + from.Size - 1) / from.Size
	return Conversion{From: from.Name, To: to.Name, Gives: gives, Gains: gives * from.Size / to.Size}
}

// gain returns the ratio of the late requests before and after one more conversion. It is 0 if
// the pool that gives up replicas then no longer serves all of its requests, and if the other
// one needs none.
func (plan splitPlan) gain(donor, recipient poolState, done int) float64 {
	conversion := plan.conversion
	left := donor.placed - (done+1)*conversion.Gives
	if left < minPoolReplicas || donor.demand.Most > maxDonorLoad*float64(left-1) {
		return 0
	}
	gained := recipient.placed + done*conversion.Gains
	if recipient.demand.Least < minRecipientLoad*float64(gained-1) {
		return 0
	}
	before := donor.late(donor.demand.Mean, left+conversion.Gives) + recipient.late(recipient.demand.Least, gained)
	after := donor.late(donor.demand.Mean, left) + recipient.late(recipient.demand.Least, gained+conversion.Gains)
	return before / after
}

// choose sets the number of steps and the order of the domains.
func (plan *splitPlan) choose(donor, recipient poolState) {
	for plan.gain(donor, recipient, plan.steps) > conversionGain {
		plan.steps++
	}
	domains := slices.Clone(donor.domains)
	for {
		index := nextDonor(domains, plan.conversion.Gives)
		if index < 0 {
			return
		}
		plan.domains = append(plan.domains, domains[index].name)
		domains[index].placed -= plan.conversion.Gives
		domains[index].staged -= plan.conversion.Gives
	}
}

// late estimates the number of late requests per second of a pool with some replicas. One of
// them counts as lost: mostly one is being repaired.
func (pool poolState) late(work float64, replicas int) float64 {
	return pool.demand.Arrivals * math.Pow(work/float64(max(replicas-1, 1)), lateGrowth)
}

// repairing reports whether so many replicas are being repaired that none may be given up.
func (pool poolState) repairing() bool {
	return pool.placed-pool.ready > max(1, pool.placed/spareDivisor)
}

// nextDonor returns the index of the fabric domain that gives up replicas next, or -1 if none
// can: one whose replicas hold the weights of another model before the others, then one in the
// failure domain with the most replicas, and there the one with the most.
func nextDonor(domains []poolDomain, gives int) int {
	inFailureDomain := map[string]int{}
	for _, domain := range domains {
		inFailureDomain[domain.failureDomain] += domain.placed
	}
	best := -1
	for index, domain := range domains {
		if domain.placed < gives || !staysSpread(inFailureDomain, domain.failureDomain, gives) {
			continue
		}
		if best < 0 || cmp.Or(
			cmp.Compare(min(domain.staged, gives), min(domains[best].staged, gives)),
			cmp.Compare(inFailureDomain[domain.failureDomain], inFailureDomain[domains[best].failureDomain]),
			cmp.Compare(domain.placed, domains[best].placed),
			cmp.Compare(domains[best].name, domain.name),
		) > 0 {
			best = index
		}
	}
	return best
}

// staysSpread reports whether the pool stays in as many failure domains as minPoolReplicas, or
// in all in which it is.
func staysSpread(inFailureDomain map[string]int, from string, gives int) bool {
	before, left := 0, 0
	for name, count := range inFailureDomain {
		if count > 0 {
			before++
		}
		if name == from {
			count -= gives
		}
		if count > 0 {
			left++
		}
	}
	return left >= min(before, minPoolReplicas)
}

// A conversionState is the conversion that a leader carries out.
type conversionState struct {
	conversion Conversion
	began      time.Time

	// groups are the replicas that are given up.
	groups []string

	// goal is the number of replicas of To in the domain when it has ended.
	goal int
}

// splitState is the observed demand and what a leader does about it.
type splitState struct {
	demand     map[string]PoolDemand
	observedAt time.Time
	services   map[string]*serviceSplit
}

// serviceSplit is the split between the groups of one service.
type serviceSplit struct {
	service string

	// counts are the replicas in all fabric domains by group of the folder, and settledAt is
	// when the next conversion may begin after their last change.
	counts    map[string]int
	settledAt time.Time

	// offered is the conversion that has been worth its cost since offeredAt.
	offered   Conversion
	offeredAt time.Time

	// byWork is set when shares follow the observed work.
	byWork bool

	// current is the conversion in progress, or nil.
	current *conversionState

	// status is what was last decided.
	status SplitStatus
}

// A SplitStatus is what a leader has decided about the groups of one service, for logs and
// metrics.
type SplitStatus struct {
	Service    string
	Conversion Conversion

	// Steps is the number of conversions to the best split.
	Steps int

	// Wait is why the conversion does not begin yet, empty for one in progress.
	Wait string

	// Warm is the number of the VMs of the chosen replicas that serve the other model without
	// a load.
	Warm int

	// Pools are the inputs.
	Pools []SplitPool
}

// A SplitPool is one pool of a SplitStatus.
type SplitPool struct {
	Demand        PoolDemand
	Placed, Ready int
}

// Reasons why a conversion does not begin.
const (
	waitNone     = "none-needed"
	waitTurn     = "turn"
	waitSettling = "settling"
	waitRepairs  = "repairs"
	waitWeights  = "weights"
)

// Splits returns what the leader has last decided for each service whose demand is observed.
func (leader *Leader) Splits() []SplitStatus {
	var statuses []SplitStatus
	for _, split := range leader.split.services {
		if len(split.status.Pools) > 0 {
			statuses = append(statuses, split.status)
		}
	}
	slices.SortFunc(statuses, func(one, other SplitStatus) int { return cmp.Compare(one.Service, other.Service) })
	return statuses
}

// handleDemand records the observed demand.
func (leader *Leader) handleDemand(now time.Time, event DemandObserved) {
	leader.split.demand = map[string]PoolDemand{}
	for _, pool := range event.Pools {
		leader.split.demand[pool.Spec] = pool
	}
	leader.split.observedAt = now
}

// observesDemand reports whether the demand for the groups of a service is known.
func (leader *Leader) observesDemand(now time.Time, demands []Demand) bool {
	if len(demands) < 2 || leader.split.observedAt.IsZero() || now.Sub(leader.split.observedAt) > demandMemory {
		return false
	}
	return slices.ContainsFunc(demands, func(demand Demand) bool { return leader.split.demand[demand.Group.Name].Most > 0 })
}

// splitDemands changes the demands of one service by the observed demand: replicas are formed
// where they are busiest in place of by their shares, and those of a conversion are surplus.
func (leader *Leader) splitDemands(now time.Time, service string, demands []Demand, groups []GroupStatus) {
	if leader.split.services == nil {
		leader.split.services = map[string]*serviceSplit{}
	}
	split, found := leader.split.services[service]
	if !found {
		split = &serviceSplit{service: service}
		leader.split.services[service] = split
	}
	split.endConversion(now, groups)
	if leader.observesDemand(now, demands) {
		if leader.shareByWork(split, demands) {
			setWorkShares(leader.split.demand, demands)
		}
		if split.current == nil && !leader.growing() {
			leader.beginConversion(now, split, demands, groups)
		}
	}
	if split.current == nil {
		return
	}
	for index := range demands {
		if demand := &demands[index]; demand.Group.Name == split.current.conversion.From {
			split.current.surplus(demand, groups)
		}
	}
}

// surplus takes the replicas that are given up out of the domain's share.
func (current *conversionState) surplus(demand *Demand, groups []GroupStatus) {
	demand.Full = true
	for _, status := range groups {
		if slices.Contains(current.groups, status.Group.Name) && status.Group.State != StateReleased {
			demand.Share--
			demand.Total--
			demand.Group.Replicas--
			demand.Converts = append(demand.Converts, status.Group.Name)
		}
	}
}

// shareByWork reports whether the shares of the folder are replaced by the observed work: from
// when one pool was clearly busier than another. Before, a difference may be chance.
func (leader *Leader) shareByWork(split *serviceSplit, demands []Demand) bool {
	lowest, highest := math.Inf(1), 0.0
	for _, demand := range demands {
		pool, replicas := leader.split.demand[demand.Group.Name], float64(max(demand.Placed, 1))
		lowest = min(lowest, pool.Most/replicas)
		highest = max(highest, pool.Least/replicas)
	}
	split.byWork = split.byWork || highest > lowest
	return split.byWork
}

// setWorkShares replaces the shares of the folder by the observed work, so that VMs are compared
// by how busy the groups are.
func setWorkShares(observed map[string]PoolDemand, demands []Demand) {
	vms := func(demand Demand) float64 { return float64(demand.Group.Size) * observed[demand.Group.Name].Mean }
	total := 0.0
	for _, demand := range demands {
		total += vms(demand)
	}
	for index := range demands {
		demands[index].Group.Share = max(1, int(math.Round(vms(demands[index])/total*workShareUnits)))
	}
}

// endConversion ends the conversion when its replicas serve, and when it takes too long.
func (split *serviceSplit) endConversion(now time.Time, groups []GroupStatus) {
	if split.current == nil {
		return
	}
	formed, remaining := 0, 0
	for _, status := range groups {
		if status.Group.Spec == split.current.conversion.To && status.Complete && status.Group.State == StateReady {
			formed++
		}
		if slices.Contains(split.current.groups, status.Group.Name) && status.Group.State != StateReleased {
			remaining++
		}
	}
	if remaining == 0 && formed >= split.current.goal || now.Sub(split.current.began) > conversionEnd {
		split.current = nil
	}
}

// beginConversion begins a conversion if one is worth its cost, it is the turn of this domain,
// and nothing is being repaired or converted.
func (leader *Leader) beginConversion(now time.Time, split *serviceSplit, demands []Demand, groups []GroupStatus) {
	var input splitInput
	draining := 0
	counts := map[string]int{}
	for _, demand := range demands {
		if _, found := findSpec(leader.groups, demand.Group.Name); !found {
			return
		}
		pool := leader.poolState(demand, groups)
		draining += pool.draining * pool.spec.Size
		counts[demand.Group.Name] = pool.placed
		input.pools = append(input.pools, pool)
	}
	if !maps.Equal(counts, split.counts) {
		split.settledAt = now.Add(conversionSettle)
		if split.counts == nil {
			split.settledAt = now.Add(takeoverSettle)
		}
		split.counts = counts
	}
	input.expect(draining)
	plan := input.plan()
	if plan.steps == 0 {
		plan = splitPlan{}
	}
	if plan.conversion != split.offered {
		split.offered = plan.conversion
		split.offeredAt = now
	}
	split.status = SplitStatus{Service: split.service, Conversion: plan.conversion, Steps: plan.steps}
	for _, pool := range input.pools {
		split.status.Pools = append(split.status.Pools, SplitPool{Demand: pool.demand, Placed: pool.placed, Ready: pool.ready})
	}
	turn := slices.Index(plan.domains, leader.config.Domain)
	switch {
	case plan.steps == 0:
		split.status.Wait = waitNone
	case now.Before(split.settledAt):
		split.status.Wait = waitSettling
	case turn < 0 || now.Sub(split.offeredAt) < time.Duration(turn-plan.steps+1)*conversionTurn:
		split.status.Wait = waitTurn
	default:
		leader.startConversion(now, split, plan.conversion, groups)
	}
}

// startConversion chooses the replicas that are given up: those with the fewest requests. It
// does not while a group of the domain is being repaired or stopped, and if too few of the VMs
// serve the other model without a load.
func (leader *Leader) startConversion(now time.Time, split *serviceSplit, conversion Conversion, groups []GroupStatus) {
	var donors []GroupStatus
	for _, status := range groups {
		if status.Group.State != StateReady || !status.Complete {
			split.status.Wait = waitRepairs
			return
		}
		if status.Group.Spec == conversion.From {
			donors = append(donors, status)
		}
	}
	slices.SortStableFunc(donors, func(one, other GroupStatus) int { return cmp.Compare(one.Load, other.Load) })
	if len(donors) < conversion.Gives || !leader.holdWeights(split, donors[:conversion.Gives], conversion.To) {
		split.status.Wait = waitWeights
		return
	}
	split.current = &conversionState{conversion: conversion, began: now, goal: ownReplicas(conversion.To, groups) + conversion.Gains}
	for _, status := range donors[:conversion.Gives] {
		split.current.groups = append(split.current.groups, status.Group.Name)
	}
}

// holdWeights reports whether enough members of some replicas serve another model without a
// load.
func (leader *Leader) holdWeights(split *serviceSplit, donors []GroupStatus, to string) bool {
	spec, _ := findSpec(leader.groups, to)
	vms, warm := 0, 0
	for _, status := range donors {
		for _, member := range status.Members {
			vms++
			if vm, known := leader.members[member]; known && slices.Contains(leader.warm(vm), spec.Model) {
				warm++
			}
		}
	}
	split.status.Warm = warm
	return warm >= spec.Size && float64(warm) >= convertedMembers*float64(vms)
}

// ownReplicas counts the replicas of a group of the folder in this domain.
func ownReplicas(spec string, groups []GroupStatus) int {
	count := 0
	for _, status := range groups {
		if status.Group.Spec == spec && status.Group.State != StateReleased {
			count++
		}
	}
	return count
}

// poolState returns the replicas of a demand's group in all fabric domains.
func (leader *Leader) poolState(demand Demand, groups []GroupStatus) poolState {
	pool := poolState{spec: demand.Group, demand: leader.split.demand[demand.Group.Name], placed: demand.Placed, ready: demand.Ready}
	own := poolDomain{name: leader.config.Domain, failureDomain: leader.failureDomain()}
	for _, status := range groups {
		if status.Group.Spec != demand.Group.Name {
			continue
		}
		switch {
		case status.Group.State == StateReleased:
		case status.Group.State == StateDraining:
			pool.draining++
		default:
			own.placed++
			if status.Complete && status.Group.State == StateReady && leader.holdsOther(status) {
				own.staged++
			}
		}
	}
	pool.domains = append(pool.domains, own)
	for _, other := range leader.otherDomains.Replicas {
		if other.Group == demand.Group.Name {
			pool.draining += other.Draining
			pool.domains = append(pool.domains, poolDomain{
				name: other.FabricDomain, failureDomain: other.FailureDomain, placed: other.Count - other.Draining, staged: other.Staged,
			})
		}
	}
	pool.placed -= pool.draining
	return pool
}

// holdsOther reports whether most members of a replica serve another model without a load.
func (leader *Leader) holdsOther(status GroupStatus) bool {
	return holdOther(status.Members, status.Group.Model, func(name string) []string {
		if vm, found := leader.members[name]; found {
			return vm.report.Staged
		}
		return nil
	})
}

// holdOther reports whether most members hold the weights of another model than their own.
func holdOther(members []string, model string, staged func(vm string) []string) bool {
	count := 0
	for _, name := range members {
		if slices.ContainsFunc(staged(name), func(held string) bool { return held != model }) {
			count++
		}
	}
	return float64(count) >= convertedMembers*float64(len(members))
}

// CountConvertible sets Draining and Staged in the counts of a domain's replicas. staged returns
// the models whose weights are on the host of a VM.
func CountConvertible(counts []PlacedReplicas, placement *Placement, groups []folder.Group, serviceOf func(vm string) (string, bool), staged func(vm string) []string) {
	for _, group := range placement.Groups() {
		spec, _ := SpecOf(placement, group, groups, serviceOf)
		index := slices.IndexFunc(counts, func(count PlacedReplicas) bool { return count.Group == spec.Name })
		switch {
		case index < 0:
		case group.State == StateDraining:
			counts[index].Draining++
		case group.State == StateReady && holdOther(placement.Members(group.Name), group.Model, staged):
			counts[index].Staged++
		}
	}
}

func (leader *Leader) failureDomain() string {
	for _, name := range leader.memberNames() {
		if vm := leader.members[name]; vm.listed {
			return vm.vm.FailureDomain
		}
	}
	return ""
}
