package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultDistanceCost is the load by which a target in the node's own failure
	// domain may exceed one in another domain and still be selected.
	defaultDistanceCost = 2

	// distanceTime is the time that a request to another failure domain takes longer.
	distanceTime = 2 * time.Millisecond
)

// PickerConfig configures a Picker.
type PickerConfig struct {
	// FailureDomain is the node's own failure domain.
	FailureDomain string

	// Source is the source of randomness. A fixed seed makes the selection
	// reproducible in tests.
	Source rand.Source

	// Tracker counts the node's own requests. The user of the picker records
	// their start and end.
	Tracker *Tracker

	// OtherNodes returns the number of requests that all other nodes have in progress at a
	// group, or false if it is not known. It takes the place of reported loads. It may be
	// nil.
	OtherNodes func(group string, now time.Time) (int, bool)

	// Suspects holds the targets to avoid. The user of the picker records
	// successes and failures. With nil no target is avoided.
	Suspects *Suspects

	// HoldingsSize bounds the recorded prefixes of prompts, 0 for the default. With a
	// negative size none are recorded.
	HoldingsSize int

	// DistanceCost is the load by which a target in the node's own failure domain
	// may exceed one in another domain, 0 for the default 2, negative for none.
	DistanceCost int
}

// A Picker selects the target of each attempt: the one with the lower load of
// two random candidates, with a preference for the node's own failure domain, or a
// group that holds a part of the prompt if that saves more time than the load there
// costs. It is safe for concurrent use.
type Picker struct {
	failureDomain string
	tracker       *Tracker
	suspects      *Suspects
	otherNodes    func(group string, now time.Time) (int, bool)
	holdings      *Holdings
	paces         *paceObserver
	distanceCost  int

	mutex  sync.Mutex
	random *rand.Rand
}

// NewPicker returns a picker.
func NewPicker(config PickerConfig) *Picker {
	picker := &Picker{
		failureDomain: config.FailureDomain,
		tracker:       config.Tracker,
		suspects:      config.Suspects,
		otherNodes:    config.OtherNodes,
		paces:         newPaceObserver(),
		distanceCost:  config.DistanceCost,
		random:        rand.New(config.Source),
	}
	if picker.distanceCost == 0 {
		picker.distanceCost = defaultDistanceCost
	}
	if picker.distanceCost < 0 {
		picker.distanceCost = 0
	}
	if config.HoldingsSize >= 0 {
		picker.holdings = NewHoldings(config.HoldingsSize)
	}
	return picker
}

// A GroupRequest describes the group that a draft needs.
type GroupRequest struct {
	// Service and Spec are those of the group targets.
	Service string
	Spec    string

	// Prompt is what the group has to read. With the zero Prompt no group is preferred for
	// what it holds. Pace is what is known of the groups' speed; the picker fills in the
	// rest from the requests that it has observed.
	Prompt Prompt
	Pace   Pace

	// Excluded holds the names of groups that must not be selected, usually
	// because they were tried.
	Excluded map[string]bool

	// Reasons is true if the placement is to contain all candidates.
	Reasons bool
}

// PickGroup selects a group that is open and whose grant is valid at now. It
// returns false if there is none.
func (picker *Picker) PickGroup(table *Table, request GroupRequest, now time.Time) (GroupTarget, bool) {
	placement := picker.PlaceGroup(table, request, now)
	if placement.Found {
		picker.MarkChosen(placement.Target.Name, now)
	}
	return placement.Target, placement.Found
}

// A GroupPlacement is the decision on the group of a request, with its reasons.
type GroupPlacement struct {
	// Target is the selected group, if Found.
	Target GroupTarget
	Found  bool

	// Candidates are all groups of the model, if the request asks for reasons.
	Candidates []GroupCandidate

	// holder is true if the target was selected for what it holds.
	holder bool
}

// Reason describes why the target was selected.
func (placement GroupPlacement) Reason() string {
	if placement.holder {
		return "holds a part of the prompt, which saves more time than its load costs"
	}
	return reasonLeastLoad
}

// reasonLeastLoad describes the selection by pickLeastCost.
const reasonLeastLoad = "the least load of two random targets in each of the own and the other failure domains"

// A GroupCandidate is a group as the decision has weighed it. Target is in the table.
type GroupCandidate struct {
	Target    *GroupTarget
	Exclusion Exclusion
	Load      int
	Near      bool

	// Held is the number of tokens of the prompt that the group is believed to hold. Full
	// is true if a request would wait there for a place. Time is the sum by which the groups
	// that hold a part of the prompt are compared with the one of the least load.
	Held int
	Full bool
	Time time.Duration
}

// PlaceGroup decides like PickGroup. It changes nothing but the state of the source of
// randomness.
func (picker *Picker) PlaceGroup(table *Table, request GroupRequest, now time.Time) GroupPlacement {
	targets := table.Groups(request.Service, request.Spec)
	var placement GroupPlacement
	if request.Reasons {
		placement.Candidates = make([]GroupCandidate, len(targets))
	}
	candidates := make([]candidate, 0, len(targets))
	for index := range targets {
		target := &targets[index]
		exclusion := target.exclusion(request.Excluded, now)
		if request.Reasons {
			placement.Candidates[index] = GroupCandidate{Target: target, Exclusion: exclusion}
		}
		if exclusion != "" {
			continue
		}
		candidates = append(candidates, picker.newCandidate(index, target.Name, target.FailureDomain, picker.GroupLoad(*target, now), now))
	}
	trusted := withoutSuspects(candidates)
	if request.Reasons {
		for _, candidate := range candidates {
			placement.Candidates[candidate.index].see(candidate, len(trusted) < len(candidates))
		}
	}
	if len(trusted) == 0 {
		return placement
	}
	least := picker.pickLeastCost(trusted).index
	chosen, found := picker.betterHolder(targets, trusted, placement.Candidates, least, request, now)
	placement.Target, placement.Found, placement.holder = targets[chosen], true, found
	return placement
}

// see records a candidate. Suspects are excluded if there are others.
func (weighed *GroupCandidate) see(seen candidate, trusted bool) {
	weighed.Load, weighed.Near = seen.load, seen.near
	if seen.suspect && trusted {
		weighed.Exclusion = ExcludedSuspect
	}
}

// GroupLoad returns the number of requests at a group: those of this node and the other nodes
// if the latter are known, else the estimate of the tracker.
func (picker *Picker) GroupLoad(target GroupTarget, now time.Time) int {
	if picker.otherNodes != nil {
		if others, known := picker.otherNodes(target.Name, now); known {
			return others + picker.tracker.InFlight(target.Name)
		}
	}
	return picker.tracker.Load(target.Name, target.Load, target.LoadReportedAt(), now)
}

// exclusion returns why the group itself cannot receive a request.
func (target *GroupTarget) exclusion(excluded map[string]bool, now time.Time) Exclusion {
	switch {
	case !target.Open:
		return ExcludedClosed
	case !target.Usable(now):
		return ExcludedGrant
	case excluded[target.Name]:
		return ExcludedByRequest
	}
	return ""
}

// betterHolder returns a candidate that holds a part of the prompt and takes less time by
// that than the one of the least load. It answers many requests with the same beginning: they
// go to its holder until the load there costs more than reading the beginning elsewhere,
// where it is held from then on. A group at which a request would wait for a place is not
// preferred to one at which it would not, whatever it holds.
func (picker *Picker) betterHolder(targets []GroupTarget, trusted []candidate, reasons []GroupCandidate, least int, request GroupRequest, now time.Time) (int, bool) {
	if picker.holdings == nil {
		return least, false
	}
	held := picker.holdings.held(request.Prompt, now)
	if len(held) == 0 {
		return least, false
	}
	spec := groupSpec{request.Service, request.Spec}
	picker.paces.report(spec, targets)
	pace := picker.paces.complete(spec, request.Pace)
	weigh := func(seen candidate) GroupCandidate {
		weighed := GroupCandidate{Target: &targets[seen.index], Load: seen.load, Near: seen.near}
		picker.weigh(&weighed, held, request, pace)
		if reasons != nil {
			reasons[seen.index] = weighed
		}
		return weighed
	}
	var best GroupCandidate
	for _, seen := range trusted {
		if seen.index == least {
			best = weigh(seen)
		}
	}
	leastFull, chosen := best.Full, least
	for _, seen := range trusted {
		if seen.index == least || held[targets[seen.index].Name] == nil {
			continue
		}
		weighed := weigh(seen)
		if weighed.Held == 0 || weighed.Full && !leastFull || weighed.Time >= best.Time {
			continue
		}
		best, chosen = weighed, seen.index
	}
	return chosen, chosen != least
}

// weigh sets what the group holds and its time: the wait for a place, the wait that the
// request adds for others, the slowdown by the requests in progress, the time to read what
// the group does not hold, the time to read again what that displaces, and the distance.
func (picker *Picker) weigh(weighed *GroupCandidate, held map[string][]heldPrefix, request GroupRequest, pace Pace) {
	target := weighed.Target
	room := target.room(pace)
	weighed.Held = believedTokens(target, held[target.Name], room)
	weighed.Full = target.full(weighed.Load, pace)
	unread := pace.readTime(request.Prompt.Tokens() - weighed.Held)
	again := time.Duration(float64(unread) * picker.holdings.displaced(target, room))
	weighed.Time = pace.placeWait(weighed.Load) + pace.addedWait(weighed.Load, unread) + pace.slowdown(weighed.Load) + unread + again
	if !weighed.Near {
		weighed.Time += distanceTime
	}
}

// Sent records that a group is sent a request. Call it before Tracker.Start.
func (picker *Picker) Sent(target GroupTarget, request GroupRequest, now time.Time) *Reading {
	reading := &Reading{paces: picker.paces, spec: target.groupSpec(), sentAt: now, tokens: request.Prompt.Tokens()}
	if picker.holdings == nil || len(request.Prompt.prefixes) == 0 {
		return reading
	}
	pace := picker.paces.complete(reading.spec, request.Pace)
	reading.waits = target.full(picker.GroupLoad(target, now), pace)
	reading.held = picker.holdings.sent(&target, request.Prompt, target.room(pace), now)
	return reading
}

// full reports whether a request waits for a place at a group with a load.
func (target *GroupTarget) full(load int, pace Pace) bool {
	return load >= pace.Slots || !target.LoadUnreported && target.Load.Queued > 0
}

// Forget records that a group may have lost what it held.
func (picker *Picker) Forget(target string) {
	if picker.holdings != nil {
		picker.holdings.Forget(target)
	}
}

// SetNodes sets the number of nodes that send requests to the targets, this one included.
func (picker *Picker) SetNodes(nodes int) {
	if picker.holdings != nil {
		picker.holdings.SetNodes(nodes)
	}
}

// Retain forgets what targets held that keep does not contain.
func (picker *Picker) Retain(keep map[string]bool) {
	if picker.holdings != nil {
		picker.holdings.Retain(keep)
	}
}

// withoutSuspects returns the candidates that are not suspects, or all candidates
// if all are suspects.
func withoutSuspects(candidates []candidate) []candidate {
	trusted := make([]candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.suspect {
			trusted = append(trusted, candidate)
		}
	}
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}

// MarkChosen records in the suspects that a target was selected for a request. PickGroup and
// PickService call it.
func (picker *Picker) MarkChosen(target string, now time.Time) {
	if picker.suspects != nil {
		picker.suspects.startProbe(target, now)
	}
}

// Usable reports whether the group may receive a new request at now.
func (target GroupTarget) Usable(now time.Time) bool {
	return target.Open && target.Grant.Group == target.Name && target.Grant.Holds(target.Epoch, now)
}

// PickService selects an open runner of a service. It returns false if there is
// none.
func (picker *Picker) PickService(table *Table, service string, excluded map[string]bool, now time.Time) (ServiceTarget, bool) {
	placement := picker.PlaceService(table, ServiceRequest{Service: service, Excluded: excluded}, now)
	if placement.Found {
		picker.MarkChosen(placement.Target.ID(), now)
	}
	return placement.Target, placement.Found
}

// A ServiceRequest describes the runner that a request needs.
type ServiceRequest struct {
	Service string

	// Excluded holds the identifiers of runners that must not be selected.
	Excluded map[string]bool

	// Reasons is true if the placement is to contain all candidates.
	Reasons bool
}

// A ServicePlacement is the decision on the runner of a request, with its reasons.
type ServicePlacement struct {
	// Target is the selected runner, if Found.
	Target ServiceTarget
	Found  bool

	// Candidates are all runners of the service, if the request asks for reasons.
	Candidates []ServiceCandidate
}

// Reason describes why the target was selected.
func (placement ServicePlacement) Reason() string { return reasonLeastLoad }

// A ServiceCandidate is a runner as the decision has seen it. Target is in the table.
type ServiceCandidate struct {
	Target    *ServiceTarget
	Exclusion Exclusion
}

// PlaceService decides like PickService. It changes nothing but the state of the source of
// randomness.
func (picker *Picker) PlaceService(table *Table, request ServiceRequest, now time.Time) ServicePlacement {
	targets := table.Services(request.Service)
	var placement ServicePlacement
	if request.Reasons {
		placement.Candidates = make([]ServiceCandidate, len(targets))
	}
	candidates := make([]candidate, 0, len(targets))
	for index := range targets {
		target := &targets[index]
		exclusion := target.exclusion(request.Excluded)
		if request.Reasons {
			placement.Candidates[index] = ServiceCandidate{Target: target, Exclusion: exclusion}
		}
		if exclusion != "" {
			continue
		}
		load := picker.tracker.Load(target.ID(), target.Load, time.Time{}, now)
		candidates = append(candidates, picker.newCandidate(index, target.ID(), target.FailureDomain, load, now))
	}
	trusted := withoutSuspects(candidates)
	for _, candidate := range candidates {
		if request.Reasons && candidate.suspect && len(trusted) < len(candidates) {
			placement.Candidates[candidate.index].Exclusion = ExcludedSuspect
		}
	}
	if len(trusted) == 0 {
		return placement
	}
	placement.Target, placement.Found = targets[picker.pickLeastCost(trusted).index], true
	return placement
}

// exclusion returns why the runner itself cannot receive a request.
func (target *ServiceTarget) exclusion(excluded map[string]bool) Exclusion {
	switch {
	case !target.Open:
		return ExcludedClosed
	case excluded[target.ID()]:
		return ExcludedByRequest
	}
	return ""
}

// A candidate is a usable target. Its cost is its load plus the distance cost of a
// target in another failure domain.
type candidate struct {
	index int
	load  int
	cost  int
	near  bool

	// suspect is true for a target that is selected only if all candidates are
	// suspects.
	suspect bool
}

func (picker *Picker) newCandidate(index int, target, failureDomain string, load int, now time.Time) candidate {
	near := failureDomain == picker.failureDomain
	cost := load
	if !near {
		cost += picker.distanceCost
	}
	suspect := picker.suspects != nil && picker.suspects.avoided(target, now)
	return candidate{index: index, load: load, cost: cost, near: near, suspect: suspect}
}

// pickLeastCost selects the candidate with the least cost among two random
// candidates of the node's own failure domain and two of the other domains. With
// many domains, two random candidates of all would rarely include a near one.
func (picker *Picker) pickLeastCost(candidates []candidate) candidate {
	var near, far []candidate
	for _, candidate := range candidates {
		if candidate.near {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	switch {
	case len(near) == 0:
		return picker.betterOfTwo(far)
	case len(far) == 0:
		return picker.betterOfTwo(near)
	}
	nearer := picker.betterOfTwo(near)
	farther := picker.betterOfTwo(far)
	if farther.cost < nearer.cost {
		return farther
	}
	return nearer
}

func (picker *Picker) betterOfTwo(candidates []candidate) candidate {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first := picker.random.IntN(len(candidates))
	second := picker.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].cost < candidates[first].cost {
		return candidates[second]
	}
	return candidates[first]
}
