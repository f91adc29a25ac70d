package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultLoadFactor allows a preferred group a load of 25 % above the mean.
	defaultLoadFactor = 1.25

	// defaultDistanceCost is the load by which a target in the node's own failure
	// domain may exceed one in another domain and still be selected.
	defaultDistanceCost = 2

	// loadSlack is added to the load bound of a preferred group. Without it, one
	// request would exceed the bound while the mean load is near zero.
	loadSlack = 2
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

	// HistorySize bounds the recorded prefixes, 0 for the default. A negative
	// size disables prefix affinity.
	HistorySize int

	// LoadFactor bounds the load of a preferred group relative to the mean load,
	// 0 for the default 1.25.
	LoadFactor float64

	// DistanceCost is the load by which a target in the node's own failure domain
	// may exceed one in another domain, 0 for the default 2, negative for none.
	DistanceCost int
}

// A Picker selects the target of each attempt: the one with the lower load of
// two random candidates, with preferences for the group that probably has the
// prompt's prefix cached and for the node's own failure domain. It is safe for
// concurrent use.
type Picker struct {
	failureDomain string
	tracker       *Tracker
	suspects      *Suspects
	otherNodes    func(group string, now time.Time) (int, bool)
	history       *History
	loadFactor    float64
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
		loadFactor:    config.LoadFactor,
		distanceCost:  config.DistanceCost,
		random:        rand.New(config.Source),
	}
	if picker.loadFactor <= 0 {
		picker.loadFactor = defaultLoadFactor
	}
	if picker.distanceCost == 0 {
		picker.distanceCost = defaultDistanceCost
	}
	if picker.distanceCost < 0 {
		picker.distanceCost = 0
	}
	if config.HistorySize >= 0 {
		picker.history = NewHistory(config.HistorySize)
	}
	return picker
}

// A GroupRequest describes the group that a draft needs.
type GroupRequest struct {
	// Service and Spec are those of the group targets.
	Service string
	Spec    string
	Prompt  string

	// Excluded holds the names of groups that must not be selected, usually
	// because they were tried.
	Excluded map[string]bool
}

// PickGroup selects a group that is open and whose grant is valid at now. It
// returns false if there is none.
func (picker *Picker) PickGroup(table *Table, request GroupRequest, now time.Time) (GroupTarget, bool) {
	targets := table.Groups(request.Service, request.Spec)
	candidates := make([]candidate, 0, len(targets))
	for index, target := range targets {
		if request.Excluded[target.Name] || !target.Usable(now) {
			continue
		}
		candidates = append(candidates, picker.newCandidate(index, target.Name, target.FailureDomain, picker.GroupLoad(target, now), now))
	}
	candidates = withoutSuspects(candidates)
	if len(candidates) == 0 {
		return GroupTarget{}, false
	}
	chosen := targets[picker.chooseGroup(targets, candidates, request).index]
	picker.MarkChosen(chosen.Name, now)
	return chosen, true
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

// chooseGroup selects the group that the longest recorded prefix of the prompt was
// sent to, unless its load exceeds the bound. Otherwise it selects a group by cost
// and records it for the prompt's prefixes.
func (picker *Picker) chooseGroup(targets []GroupTarget, candidates []candidate, request GroupRequest) candidate {
	if picker.history == nil {
		return picker.pickLeastCost(candidates)
	}
	keys := picker.history.prefixKeys(groupSpec{request.Service, request.Spec}, request.Prompt)
	preferred := picker.history.lookup(keys)
	for _, candidate := range candidates {
		if targets[candidate.index].Name == preferred && picker.withinBound(candidate, candidates) {
			return candidate
		}
	}
	chosen := picker.pickLeastCost(candidates)
	picker.history.record(keys, targets[chosen.index].Name)
	return chosen
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

// MarkChosen records in the suspects that a target was selected for a request.
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
	targets := table.Services(service)
	candidates := make([]candidate, 0, len(targets))
	for index, target := range targets {
		if !target.Open || excluded[target.ID()] {
			continue
		}
		load := picker.tracker.Load(target.ID(), target.Load, time.Time{}, now)
		candidates = append(candidates, picker.newCandidate(index, target.ID(), target.FailureDomain, load, now))
	}
	candidates = withoutSuspects(candidates)
	if len(candidates) == 0 {
		return ServiceTarget{}, false
	}
	chosen := targets[picker.pickLeastCost(candidates).index]
	picker.MarkChosen(chosen.ID(), now)
	return chosen, true
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

// withinBound reports whether the load of a preferred candidate is within the
// bound relative to the mean load.
func (picker *Picker) withinBound(preferred candidate, candidates []candidate) bool {
	total := 0
	for _, candidate := range candidates {
		total += candidate.load
	}
	mean := float64(total) / float64(len(candidates))
	return float64(preferred.load) <= mean*picker.loadFactor+loadSlack
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
