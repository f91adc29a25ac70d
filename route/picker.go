package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultLoadFactor lets a preferred group carry a quarter more than the
	// mean before it loses the preference.
	defaultLoadFactor = 1.25

	// defaultDistanceCost is the load by which a target in the own failure
	// domain may exceed one in another domain and still be chosen.
	defaultDistanceCost = 2

	// loadSlack keeps the preference usable while the mean load is near zero.
	loadSlack = 2
)

// PickerConfig holds what a Picker needs.
type PickerConfig struct {
	// FailureDomain is the node's own failure domain.
	FailureDomain string

	// Source makes the choices reproducible in tests.
	Source rand.Source

	// Tracker counts the node's own requests; the caller of the picker starts
	// and ends them.
	Tracker *Tracker

	// Suspects holds the targets to avoid; the caller of the picker reports to
	// it. Nil avoids none.
	Suspects *Suspects

	// HistorySize bounds the remembered prefixes, 0 for the default. A negative
	// size turns prefix affinity off.
	HistorySize int

	// LoadFactor bounds the load of a preferred group relative to the mean, 0
	// for the default 1.25.
	LoadFactor float64

	// DistanceCost is the load that a nearer target may exceed a farther one
	// by, 0 for the default 2, negative for none.
	DistanceCost int
}

// A Picker chooses the target of each attempt: the better of two random
// candidates by load, with preferences for the group that probably has the
// prompt's prefix cached and for the own failure domain. It is safe for
// concurrent use.
type Picker struct {
	failureDomain string
	tracker       *Tracker
	suspects      *Suspects
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

// GroupRequest says what a draft needs.
type GroupRequest struct {
	// Spec is the name of the folder's group.
	Spec   string
	Prompt string

	// Excluded are names of groups that were tried.
	Excluded map[string]bool
}

// PickGroup returns a group that is open and has a grant that holds at now.
// It returns false when there is none.
func (picker *Picker) PickGroup(table *Table, request GroupRequest, now time.Time) (GroupTarget, bool) {
	targets := table.Groups(request.Spec)
	candidates := make([]candidate, 0, len(targets))
	for index, target := range targets {
		if request.Excluded[target.Name] || !target.Usable(now) {
			continue
		}
		load := picker.tracker.Load(target.Name, target.Load, target.LoadAt())
		candidates = append(candidates, picker.candidate(index, target.Name, target.FailureDomain, load, now))
	}
	candidates = withoutSuspects(candidates)
	if len(candidates) == 0 {
		return GroupTarget{}, false
	}
	chosen := targets[picker.chooseGroup(targets, candidates, request).index]
	picker.tryAgain(chosen.Name, now)
	return chosen, true
}

// chooseGroup prefers the group of the prompt's longest known prefix.
func (picker *Picker) chooseGroup(targets []GroupTarget, candidates []candidate, request GroupRequest) candidate {
	if picker.history == nil {
		return picker.choose(candidates)
	}
	keys := picker.history.keys(request.Spec, request.Prompt)
	preferred := picker.history.lookup(keys)
	for _, candidate := range candidates {
		if targets[candidate.index].Name == preferred && picker.withinBound(candidate, candidates) {
			return candidate
		}
	}
	chosen := picker.choose(candidates)
	picker.history.record(keys, targets[chosen.index].Name)
	return chosen
}

// withoutSuspects returns the candidates that are not suspects, or all of them
// when there are no others.
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

// tryAgain tells the suspects that a target gets a request.
func (picker *Picker) tryAgain(target string, now time.Time) {
	if picker.suspects != nil {
		picker.suspects.chosen(target, now)
	}
}

// Usable reports whether the group may receive a new request at now.
func (target GroupTarget) Usable(now time.Time) bool {
	return target.Open && target.Grant.Group == target.Name && target.Grant.Holds(target.Epoch, now)
}

// PickService returns an open runner of a service. It returns false when there
// is none.
func (picker *Picker) PickService(table *Table, service string, excluded map[string]bool, now time.Time) (ServiceTarget, bool) {
	targets := table.Services(service)
	candidates := make([]candidate, 0, len(targets))
	for index, target := range targets {
		if !target.Open || excluded[target.ID()] {
			continue
		}
		load := picker.tracker.Load(target.ID(), target.Load, time.Time{})
		candidates = append(candidates, picker.candidate(index, target.ID(), target.FailureDomain, load, now))
	}
	candidates = withoutSuspects(candidates)
	if len(candidates) == 0 {
		return ServiceTarget{}, false
	}
	chosen := targets[picker.choose(candidates).index]
	picker.tryAgain(chosen.ID(), now)
	return chosen, true
}

// A candidate is a usable target with its load and its cost, which is the
// load and the distance.
type candidate struct {
	index int
	load  int
	cost  int
	near  bool

	// suspect is true for a target that is used only when there is no other.
	suspect bool
}

func (picker *Picker) candidate(index int, target, failureDomain string, load int, now time.Time) candidate {
	near := failureDomain == picker.failureDomain
	cost := load
	if !near {
		cost += picker.distanceCost
	}
	suspect := picker.suspects != nil && picker.suspects.avoided(target, now)
	return candidate{index: index, load: load, cost: cost, near: near, suspect: suspect}
}

func (picker *Picker) withinBound(preferred candidate, candidates []candidate) bool {
	total := 0
	for _, candidate := range candidates {
		total += candidate.load
	}
	mean := float64(total) / float64(len(candidates))
	return float64(preferred.load) <= mean*picker.loadFactor+loadSlack
}

// choose compares two random candidates of the own failure domain and two of
// the others. Two from all would seldom contain a near one when there are
// many domains.
func (picker *Picker) choose(candidates []candidate) candidate {
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
