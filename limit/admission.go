package limit

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// contentionMemory is how long after a request found no place a pool counts as contended.
	// Callers that were refused return within about that time.
	contentionMemory = 2 * time.Second

	// demandTimeConstant is the time constant of the averages of demand. It covers about the
	// time for which a request holds a place, so that a burst counts before all places are
	// taken by it.
	demandTimeConstant = 3 * time.Second

	// fullExcess is the part by which demand exceeds the capacity from which the whole reserve
	// is kept. A pool that refuses a few requests still serves nearly all, and would refuse
	// more for the sake of room that it rarely needs.
	fullExcess = 0.1

	// leastShare is the part of its demand that each flow gets before the more urgent ones get
	// the rest. It lies above a quarter, below which callers count as starved, because the
	// demand that a node sees varies.
	leastShare = 0.35

	// leastPart is the part of the capacity that is divided so at most. The rest keeps small
	// flows whole beside one with many times its usual demand.
	leastPart = 0.5

	// largestReserve is the largest part of the bound that is kept for requests of better rank.
	largestReserve = 0.5

	// returnedReserve is that part for callers that came back. It is small: a node that has
	// refused some would otherwise leave its new callers' places to other nodes, which serve
	// callers of the same rank.
	returnedReserve = 0.05

	// heldFraction is the part of its objective for which a request may wait at this node. A
	// request that is refused later than that has lost the time in which another attempt
	// could be in time.
	heldFraction = 0.125

	// minWait keeps a waiting request from repeated decisions at nearly the same moment.
	minWait = time.Millisecond

	// fullMemory is how long a pool counts as full without another look, about a pass.
	fullMemory = 50 * time.Millisecond

	// returnedFraction times the longest time that callers of a route wait is the time left
	// below which a caller counts as one that was refused before. Callers' own deadlines
	// differ by about 0.15.
	returnedFraction = 0.8

	// returnedPart is the part of a flow's places up to which callers that came back precede the
	// new ones. The objective of most of them has passed: with all places, nobody would be
	// served in time at twice the capacity.
	returnedPart = 0.5

	// largeSize is the size, in multiples of the pool's mean, from which a request goes to the
	// group with the earliest first event: its answer takes longest to write, so a slow group
	// would not end it by its deadline.
	largeSize = 2

	// maxFlows bounds the flows of a pool that are recorded. The flow with the least demand is
	// dropped for a new one.
	maxFlows = 512

	// leastUrgent is the urgency of requests without one.
	leastUrgent = math.MaxInt32

	// maxWaiting bounds the requests of a pool that wait at this node.
	maxWaiting = 256
)

// An Admission decides which requests to the groups of a pool are sent, wait or are refused
// while the pool has too few places for all. In calm, when no request lacked a place lately,
// a request is sent to any group whose predicted first event is within the bound, and refused
// if there is none.
//
// It answers these loads: one kind of request with several times its usual demand beside
// others of the same groups; a failure domain lost under a burst; callers that repeat at once;
// one large workspace beside small ones; waves whose peaks differ between nodes.
//
// Requests compete as flows, those of one workspace on one route. While a pool is contended,
// its capacity (the work that was sent lately) is divided: each flow gets leastShare of its
// demand, the rest goes to the most urgent flows first, and among equally urgent ones in
// max-min fair shares, by route and within it by workspace. A flow is within its share until
// the work that it has sent exceeds it. The order of rank is: routes within their share before
// those over it, then workspaces likewise, then by urgency, then callers that came back after a
// refusal before new ones. A request is sent only if the group's predicted first event leaves
// room, a part of the bound, for the requests of better ranks, or, if the places are dealt
// among the requests of all nodes, by its Position in that order. So a better rank finds a
// place, and what it does not use serves the others.
//
// An answer after the objective is better for a caller than none, but must not make others
// late: the bound on the predicted first event stays the same for it.
//
// State is bounded: pools without requests for demandTimeConstant times a few are dropped, and
// a pool holds maxFlows. It is safe for concurrent use.
type Admission struct {
	mutex sync.Mutex
	pools map[string]*admissionPool
}

type admissionPool struct {
	flows   map[flowKey]*demandFlow
	waiting map[*AdmissionTicket]bool
	usedAt  time.Time

	// ranks holds the requests of each rank while the pool was contended, and sent those that
	// were sent to groups.
	ranks map[rank]*rankDemand
	sent  average

	// excess is the part by which demand exceeded the capacity at the last division.
	excess float64

	// contendedAt is when a request last lacked a place. Until fullUntil no request of fullRank
	// or behind it gets one.
	contendedAt time.Time
	fullUntil   time.Time
	fullRank    rank

	// patience holds the longest time that callers of each route lately waited.
	patience map[string]*decayingMax
}

func newAdmissionPool() *admissionPool {
	return &admissionPool{
		flows: map[flowKey]*demandFlow{}, waiting: map[*AdmissionTicket]bool{},
		ranks: map[rank]*rankDemand{}, patience: map[string]*decayingMax{},
	}
}

// A rankDemand counts the requests of a rank that arrived and those that were refused.
type rankDemand struct{ arrived, refused average }

type flowKey struct{ route, workspace string }

// A demandFlow holds the work of the requests of one workspace on one route, in places.
type demandFlow struct {
	key     flowKey
	urgency int

	// demand is the work of all requests, sent what was sent to groups, and sentReturned the
	// part of it of callers that came back after a refusal.
	demand, sent, sentReturned average

	// share is the part of the pool's capacity and routeOver is true if the route has sent more
	// than its share, both at the last division.
	share     float64
	routeOver bool
}

// returnedFirst reports whether callers that came back precede the new ones of the flow.
func (flow *demandFlow) returnedFirst() bool {
	return flow.sentReturned.value <= returnedPart*flow.sent.value
}

// An average is an exponentially decaying rate.
type average struct {
	value float64
	at    time.Time
}

func (average *average) add(amount float64, now time.Time) {
	average.decay(now)
	average.value += amount / demandTimeConstant.Seconds()
}

func (average *average) decay(now time.Time) {
	if passed := now.Sub(average.at); passed > 0 {
		average.value *= math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
		average.at = now
	}
}

// A decayingMax is the largest value of the last one to two objectiveMemory.
type decayingMax struct {
	current, previous time.Duration
	since             time.Time
}

func (longest *decayingMax) add(value time.Duration, now time.Time) {
	if now.Sub(longest.since) > objectiveMemory {
		longest.current, longest.previous, longest.since = 0, longest.current, now
	}
	longest.current = max(longest.current, value)
}

// A rank orders the requests of a pool.
type rank struct {
	routeOver bool
	flowOver  bool
	urgency   int
	fresh     bool
}

// compare returns a negative number if the rank precedes the other one.
func (first rank) compare(second rank) int {
	return cmp.Or(compareBool(first.routeOver, second.routeOver), compareBool(first.flowOver, second.flowOver),
		cmp.Compare(first.urgency, second.urgency), compareBool(first.fresh, second.fresh))
}

func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case second:
		return -1
	}
	return 1
}

// An AdmissionRequest is a request to the groups of a pool.
type AdmissionRequest struct {
	Pool      string
	Route     string
	Workspace string

	// Urgency is the workspace's priority or else the route's, 0 first. A negative one comes
	// after all others.
	Urgency int

	// Objective is the time to the first event that the route aims at, 0 for none.
	Objective time.Duration

	// Timeout is the longest time that the route allows, 0 for none, and Left is the time until
	// the caller's deadline on arrival.
	Timeout time.Duration
	Left    time.Duration

	// Work is the expected time for which the request holds a place, and Size the size of its
	// answer in multiples of the pool's mean.
	Work time.Duration
	Size float64
}

// An AdmissionCandidate is a group that may serve a request.
type AdmissionCandidate struct {
	Group string

	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration

	// HalfFree is true if at least half of the group's places are free.
	HalfFree bool
}

// An Outlook is what a node expects of the groups of a pool.
type Outlook struct {
	// Bound is the longest predicted time to the first event at which a group takes requests,
	// and Idle that time at an idle group.
	Bound time.Duration
	Idle  time.Duration

	// Candidates are the groups that could take the request now, the preferred one first.
	Candidates iter.Seq[AdmissionCandidate]

	// Dealt is true if the places were dealt among the requests of all nodes by their
	// Position, and Candidates are what that left for this one.
	Dealt bool
}

// An AdmissionVerdict is SendNow, WaitForPlace or RefuseNow.
type AdmissionVerdict interface {
	admissionVerdict()

	// Reason names the verdict in logs and metrics.
	Reason() string
}

// SendNow means that the request is to be sent to a group.
type SendNow struct {
	Group  string
	reason string
}

// WaitForPlace means that a place is expected to come free: the decision is to be repeated
// after a time.
type WaitForPlace struct{ For time.Duration }

// RefuseNow means that waiting would not serve the caller better than a refusal.
type RefuseNow struct{ reason string }

func (SendNow) admissionVerdict()      {}
func (WaitForPlace) admissionVerdict() {}
func (RefuseNow) admissionVerdict()    {}

// Reason implements AdmissionVerdict.
func (verdict SendNow) Reason() string { return verdict.reason }

// Reason implements AdmissionVerdict.
func (WaitForPlace) Reason() string { return "wait" }

// Reason implements AdmissionVerdict.
func (verdict RefuseNow) Reason() string { return verdict.reason }

// NewAdmission returns an admission without requests.
func NewAdmission() *Admission { return &Admission{pools: map[string]*admissionPool{}} }

// An AdmissionTicket is a request between its arrival and its end.
type AdmissionTicket struct {
	admission *Admission
	request   AdmissionRequest
	arrivedAt time.Time

	// returned is true if the caller seems to have been refused before.
	returned bool
	sent     bool

	// ranked is true once the request counts towards the demand of its rank.
	ranked bool

	// rank is that of the last decision, allowed its bound.
	rank    rank
	allowed time.Duration
}

// Arrive records the arrival of a request. The caller must call End on the result.
func (admission *Admission) Arrive(request AdmissionRequest, now time.Time) *AdmissionTicket {
	if request.Urgency < 0 {
		request.Urgency = leastUrgent
	}
	ticket := &AdmissionTicket{admission: admission, request: request, arrivedAt: now}
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	pool := admission.pool(ticket, now)
	ticket.returned = pool.hasReturned(request, now)
	pool.flow(ticket, now).demand.add(request.Work.Seconds(), now)
	return ticket
}

// dropUnused drops the pools without a request lately. Callers name the models, so that the
// names have no bound.
func (admission *Admission) dropUnused(now time.Time) {
	for name, pool := range admission.pools {
		if now.Sub(pool.usedAt) > objectiveMemory && len(pool.waiting) == 0 {
			delete(admission.pools, name)
		}
	}
}

// hasReturned reports whether a caller has less time left than a first attempt would.
func (pool *admissionPool) hasReturned(request AdmissionRequest, now time.Time) bool {
	longest := pool.patience[request.Route]
	if longest == nil {
		longest = &decayingMax{since: now}
		pool.patience[request.Route] = longest
	}
	longest.add(request.Left, now)
	usual := max(longest.current, longest.previous)
	if request.Timeout > 0 {
		usual = min(usual, request.Timeout)
	}
	return request.Left < time.Duration(returnedFraction*float64(usual))
}

func (pool *admissionPool) flow(ticket *AdmissionTicket, now time.Time) *demandFlow {
	key := flowKey{ticket.request.Route, ticket.request.Workspace}
	found := pool.flows[key]
	if found == nil {
		pool.makeRoom(now)
		found = &demandFlow{key: key}
		pool.flows[key] = found
	}
	found.urgency = ticket.request.Urgency
	return found
}

// makeRoom drops the flow with the least demand if there are maxFlows.
func (pool *admissionPool) makeRoom(now time.Time) {
	if len(pool.flows) < maxFlows {
		return
	}
	var least *demandFlow
	for _, flow := range pool.flows {
		flow.demand.decay(now)
		if least == nil || flow.demand.value < least.demand.value {
			least = flow
		}
	}
	delete(pool.flows, least.key)
	if len(pool.patience) > maxFlows {
		clear(pool.patience)
	}
}

func (pool *admissionPool) contended(now time.Time) bool {
	return !pool.contendedAt.IsZero() && now.Sub(pool.contendedAt) <= contentionMemory
}

// divide sets the shares of all flows.
func (pool *admissionPool) divide(now time.Time) {
	capacity, demand := 0.0, 0.0
	for _, flow := range pool.flows {
		flow.demand.decay(now)
		flow.sent.decay(now)
		flow.sentReturned.decay(now)
		capacity += flow.sent.value
		demand += flow.demand.value
	}
	pool.excess = 0
	if demand == 0 {
		return
	}
	if capacity > 0 {
		pool.excess = max(0, demand/capacity-1)
	}
	floor := min(leastShare, leastPart*capacity/demand)
	byUrgency := map[int]map[string][]*demandFlow{}
	for _, flow := range pool.flows {
		flow.share = floor * flow.demand.value
		if byUrgency[flow.urgency] == nil {
			byUrgency[flow.urgency] = map[string][]*demandFlow{}
		}
		byUrgency[flow.urgency][flow.key.route] = append(byUrgency[flow.urgency][flow.key.route], flow)
	}
	left := capacity - floor*demand
	for _, urgency := range slices.Sorted(maps.Keys(byUrgency)) {
		left = divideAmongRoutes(left, byUrgency[urgency])
	}
}

// divideAmongRoutes raises the shares of equally urgent flows by max-min fair parts of an
// amount, by route and within it by workspace. It returns what is left.
func divideAmongRoutes(amount float64, routes map[string][]*demandFlow) float64 {
	names := slices.Sorted(maps.Keys(routes))
	wanted := make([]float64, len(names))
	held := make([]float64, len(names))
	for index, name := range names {
		for _, flow := range routes[name] {
			wanted[index] += flow.demand.value
			held[index] += flow.share
		}
	}
	granted := fillEvenly(amount, held, wanted)
	for index, name := range names {
		flows := routes[name]
		flowWanted, flowHeld, sent := make([]float64, len(flows)), make([]float64, len(flows)), 0.0
		for position, flow := range flows {
			flowWanted[position], flowHeld[position] = flow.demand.value, flow.share
			sent += flow.sent.value
		}
		for position, share := range fillEvenly(granted[index]-held[index], flowHeld, flowWanted) {
			flows[position].share = share
			flows[position].routeOver = sent >= granted[index]
		}
		amount -= granted[index] - held[index]
	}
	return max(0, amount)
}

// fillEvenly raises the lowest of the held amounts first, with an amount in all, none above
// what is wanted, and returns the amounts reached.
func fillEvenly(amount float64, held, wanted []float64) []float64 {
	// fillSteps halve the interval in which the level lies to a negligible part.
	const fillSteps = 30
	low, high := 0.0, slices.Max(wanted)
	reached := func(index int, level float64) float64 { return max(held[index], min(level, wanted[index])) }
	used := func(level float64) float64 {
		sum := 0.0
		for index := range held {
			sum += reached(index, level) - held[index]
		}
		return sum
	}
	if used(high) > amount {
		for range fillSteps {
			if middle := (low + high) / 2; used(middle) > amount {
				high = middle
			} else {
				low = middle
			}
		}
		high = low
	}
	result := make([]float64, len(held))
	for index := range held {
		result[index] = reached(index, high)
	}
	return result
}

// rankNow sets the rank of the ticket by a new division, and counts it once.
func (pool *admissionPool) rankNow(ticket *AdmissionTicket, now time.Time) {
	pool.divide(now)
	flow := pool.flow(ticket, now)
	ticket.rank = rank{
		routeOver: flow.routeOver, flowOver: flow.sent.value >= flow.share,
		urgency: ticket.request.Urgency, fresh: !ticket.returned || !flow.returnedFirst(),
	}
	if !ticket.ranked {
		ticket.ranked = true
		pool.demandOf(ticket.rank, now).arrived.add(1, now)
	}
}

// demandOf returns the demand of a rank. It drops ranks without any.
func (pool *admissionPool) demandOf(own rank, now time.Time) *rankDemand {
	found := pool.ranks[own]
	if found == nil {
		for other, demand := range pool.ranks {
			if now.Sub(demand.arrived.at) > objectiveMemory {
				delete(pool.ranks, other)
			}
		}
		found = &rankDemand{}
		pool.ranks[own] = found
	}
	return found
}

// requestsBefore returns the requests a second of the ranks before one, of that rank itself and
// of all.
func (pool *admissionPool) requestsBefore(own rank, count func(*rankDemand) *average, now time.Time) (before, equal, all float64) {
	for other, demand := range pool.ranks {
		requests := count(demand)
		requests.decay(now)
		switch order := other.compare(own); {
		case order < 0:
			before += requests.value
		case order == 0:
			equal += requests.value
		}
		all += requests.value
	}
	return before, equal, all
}

func (demand *rankDemand) arrivals() *average { return &demand.arrived }
func (demand *rankDemand) refusals() *average { return &demand.refused }

// allow sets the rank of the ticket and the bound on the predicted first event for it.
func (pool *admissionPool) allow(ticket *AdmissionTicket, outlook Outlook, now time.Time) {
	ticket.rank = rank{urgency: ticket.request.Urgency, fresh: !ticket.returned}
	ticket.allowed = outlook.Bound
	if !pool.contended(now) {
		return
	}
	pool.rankNow(ticket, now)
	pool.sent.decay(now)
	if pool.sent.value == 0 {
		return
	}
	returned := ticket.rank
	returned.fresh = false
	before, came, _ := pool.requestsBefore(returned, (*rankDemand).arrivals, now)
	if len(pool.flows) == 1 {
		// The better ranks are earlier ones of the same flow.
		before = 0
	}
	// The deviation of the arrivals grows with the root of their number.
	reserve := largestReserve * math.Sqrt(min(1, before/pool.sent.value))
	if ticket.rank.fresh {
		reserve = max(reserve, returnedReserve*math.Sqrt(min(1, (before+came)/pool.sent.value)))
	}
	reserve *= min(1, pool.excess/fullExcess)
	if pool.waitsBefore(ticket) {
		reserve = largestReserve
	}
	ticket.allowed = time.Duration((1 - reserve) * float64(outlook.Bound))
	ticket.allowed = min(outlook.Bound, max(ticket.allowed, time.Duration(idleFactor*float64(outlook.Idle))))
}

// waitsBefore reports whether a request of a better rank, or an earlier one, waits.
func (pool *admissionPool) waitsBefore(ticket *AdmissionTicket) bool {
	for waiting := range pool.waiting {
		if waiting == ticket {
			continue
		}
		if order := waiting.rank.compare(ticket.rank); order < 0 || order == 0 && waiting.arrivedAt.Before(ticket.arrivedAt) {
			return true
		}
	}
	return false
}

// Decide returns the verdict on a request that has not been sent, or whose attempts have not
// run. It may be called again.
func (ticket *AdmissionTicket) Decide(outlook Outlook, now time.Time) AdmissionVerdict {
	admission := ticket.admission
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	pool := admission.pool(ticket, now)
	pool.allow(ticket, outlook, now)
	contended := pool.contended(now)
	left := ticket.request.Left - now.Sub(ticket.arrivedAt)
	acceptable := min(ticket.allowed, left)
	var earliest AdmissionCandidate
	found := false
	for candidate := range outlook.Candidates {
		if candidate.HalfFree && candidate.FirstEvent <= min(outlook.Bound, left) {
			return pool.send(ticket, candidate, "places free")
		}
		if !found && candidate.FirstEvent <= acceptable && (!contended || ticket.request.Size < largeSize) {
			return pool.send(ticket, candidate, ticket.reason())
		}
		if !found || candidate.FirstEvent < earliest.FirstEvent {
			earliest, found = candidate, true
		}
	}
	switch {
	case !found && outlook.Dealt:
		delete(pool.waiting, ticket)
		pool.contendedAt = now
		return RefuseNow{reason: ticket.reason()}
	case !found:
		delete(pool.waiting, ticket)
		return RefuseNow{reason: "no group"}
	case earliest.FirstEvent <= acceptable:
		return pool.send(ticket, earliest, ticket.reason())
	}
	pool.contendedAt = now
	if need := max(earliest.FirstEvent-acceptable, minWait); ticket.mayWait(need, earliest.FirstEvent, left, now) && (pool.waiting[ticket] || len(pool.waiting) < maxWaiting) {
		pool.waiting[ticket] = true
		return WaitForPlace{For: need}
	}
	delete(pool.waiting, ticket)
	if until := now.Add(min(earliest.FirstEvent-acceptable, fullMemory)); until.After(pool.fullUntil) || ticket.rank.compare(pool.fullRank) < 0 {
		pool.fullUntil, pool.fullRank = until, ticket.rank
	}
	if earliest.FirstEvent > left {
		return RefuseNow{reason: "not by the deadline"}
	}
	return RefuseNow{reason: ticket.reason()}
}

// pool returns the pool of the ticket.
func (admission *Admission) pool(ticket *AdmissionTicket, now time.Time) *admissionPool {
	pool := admission.pools[ticket.request.Pool]
	if pool == nil {
		admission.dropUnused(now)
		pool = newAdmissionPool()
		admission.pools[ticket.request.Pool] = pool
	}
	pool.usedAt = now
	return pool
}

func (pool *admissionPool) send(ticket *AdmissionTicket, candidate AdmissionCandidate, reason string) SendNow {
	delete(pool.waiting, ticket)
	return SendNow{Group: candidate.Group, reason: reason}
}

// reason describes the rank of the ticket.
func (ticket *AdmissionTicket) reason() string {
	switch {
	case ticket.rank.routeOver && ticket.returned:
		return "route over its share, returned"
	case ticket.rank.routeOver:
		return "route over its share"
	case ticket.rank.flowOver && ticket.returned:
		return "workspace over its share, returned"
	case ticket.rank.flowOver:
		return "workspace over its share"
	case ticket.returned:
		return "returned"
	}
	return "within its share"
}

// mayWait reports whether a request may wait for a time, after which its first event is
// expected at the time first from now.
func (ticket *AdmissionTicket) mayWait(need, first, left time.Duration, now time.Time) bool {
	held := now.Sub(ticket.arrivedAt)
	if held+need > time.Duration(heldFraction*float64(ticket.request.Objective)) || first > left {
		return false
	}
	return ticket.returned || held+first <= ticket.request.Objective
}

// Allow returns the bound on the predicted first event for the request.
func (ticket *AdmissionTicket) Allow(outlook Outlook, now time.Time) time.Duration {
	ticket.admission.mutex.Lock()
	defer ticket.admission.mutex.Unlock()
	ticket.admission.pool(ticket, now).allow(ticket, outlook, now)
	return ticket.allowed
}

// Position returns the place of the request, in [0, 1), in the order of all requests that
// compete for the places of its pool now: draw, a random number in [0, 1), in calm, and
// otherwise behind the demand of better ranks.
func (ticket *AdmissionTicket) Position(draw float64, now time.Time) float64 {
	admission := ticket.admission
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	pool := admission.pool(ticket, now)
	if !pool.contended(now) {
		return draw
	}
	pool.rankNow(ticket, now)
	before, equal, all := pool.requestsBefore(ticket.rank, (*rankDemand).arrivals, now)
	return min((before+draw*equal)/all, lastPosition)
}

// lastPosition keeps positions below 1.
const lastPosition = 1 - 1e-9

// Full reports whether the request would be refused, without another look at the groups. It
// answers callers that repeat at once: their requests cost no more than their heads.
func (ticket *AdmissionTicket) Full(now time.Time) bool {
	admission := ticket.admission
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	pool := admission.pools[ticket.request.Pool]
	if pool == nil || !now.Before(pool.fullUntil) {
		return false
	}
	pool.rankNow(ticket, now)
	return pool.fullRank.compare(ticket.rank) <= 0
}

// Sent records that the request is sent to a group. It counts once.
func (ticket *AdmissionTicket) Sent(now time.Time) {
	admission := ticket.admission
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if !ticket.sent {
		ticket.sent = true
		pool := admission.pool(ticket, now)
		pool.sent.add(1, now)
		own, work := pool.flow(ticket, now), ticket.request.Work.Seconds()
		own.sent.add(work, now)
		if ticket.returned {
			own.sentReturned.add(work, now)
		}
	}
}

// End records that the request has ended, or needs no place any more.
func (ticket *AdmissionTicket) End() {
	ticket.admission.mutex.Lock()
	defer ticket.admission.mutex.Unlock()
	if pool := ticket.admission.pools[ticket.request.Pool]; pool != nil {
		delete(pool.waiting, ticket)
	}
}

// Returned reports whether the caller seems to have been refused before.
func (ticket *AdmissionTicket) Returned() bool { return ticket.returned }

// Allowed returns the bound on the predicted first event in the last decision.
func (ticket *AdmissionTicket) Allowed() time.Duration { return ticket.allowed }

// RetryAfter records the refusal of the request for lack of a place, and returns when the
// caller is to return. left is the time until its deadline, and draw a random number in [0, 1).
//
// Places come free one after the other, for better ranks first: the returns are spread over the
// time in which the requests that were refused lately get places, after those of better ranks.
// Without knowledge of either they are spread over the whole time that callers follow.
func (ticket *AdmissionTicket) RetryAfter(left time.Duration, draw float64, now time.Time) time.Duration {
	admission := ticket.admission
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	pool := admission.pool(ticket, now)
	pool.sent.decay(now)
	ahead, equal, _ := pool.requestsBefore(ticket.rank, (*rankDemand).refusals, now)
	pool.demandOf(ticket.rank, now).refused.add(1, now)
	longest := max(minRetryDelay, left/maxDelayDivisor)
	if pool.sent.value == 0 || ahead+equal == 0 {
		return RetryDelay(left, draw)
	}
	place := func(requests float64) time.Duration {
		return min(longest, minRetryDelay+time.Duration(requests/pool.sent.value*float64(demandTimeConstant)))
	}
	from, to := place(ahead), place(ahead+equal)
	if to-from < minRetryDelay {
		from, to = max(minRetryDelay, to-minRetryDelay), min(longest, to+minRetryDelay)
	}
	return from + time.Duration(draw*float64(to-from))
}
