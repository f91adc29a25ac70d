package limit

import "time"

// AllowanceConfig holds the bounds of an Allowance.
type AllowanceConfig struct {
	// Window is the span in which retries are bounded.
	Window time.Duration

	// Ratio is the number of retries for each request, and Slack the number
	// beside them, of all nodes together.
	Ratio float64
	Slack int

	// Safety is the part of the bound that is used, below 1 for what the nodes
	// cannot know of each other in time.
	Safety float64
}

// An Allowance bounds the retries of each service over all nodes: in any window
// there are at most Ratio times the requests plus Slack. Each live node uses
// its own requests and an equal part of the slack, so that the nodes need no
// word of each other for each retry. It answers the loss of a whole fabric
// domain, after which every stream in progress asks for another run at once.
//
// It is not safe for concurrent use.
type Allowance struct {
	config AllowanceConfig

	// nodes is the number that the slack is divided by. A lower number counts
	// from lowerAt on: until then the retries of the nodes that went are still in
	// the window.
	nodes    int
	lower    int
	lowerAt  time.Time
	services map[string]*allowanceCounts
}

type allowanceCounts struct {
	requests []time.Time
	retries  []time.Time
}

// NewAllowance returns an allowance for one node.
func NewAllowance(config AllowanceConfig) *Allowance {
	return &Allowance{config: config, nodes: 1, services: map[string]*allowanceCounts{}}
}

// SetNodes sets the number of live nodes, at least 1. Fewer nodes count after a
// window.
func (allowance *Allowance) SetNodes(nodes int, now time.Time) {
	nodes = max(1, nodes)
	switch {
	case nodes >= allowance.nodes:
		allowance.nodes = nodes
		allowance.lower = 0
	case nodes != allowance.lower:
		allowance.lower = nodes
		allowance.lowerAt = now.Add(allowance.config.Window)
	case !now.Before(allowance.lowerAt):
		allowance.nodes = nodes
		allowance.lower = 0
	}
}

// SetConfig changes the bounds.
func (allowance *Allowance) SetConfig(config AllowanceConfig) { allowance.config = config }

// Request counts a request for a service.
func (allowance *Allowance) Request(service string, now time.Time) {
	counts := allowance.counts(service, now)
	counts.requests = append(counts.requests, now)
}

// Retry takes a retry. It returns false when there is none left.
func (allowance *Allowance) Retry(service string, now time.Time) bool {
	counts := allowance.counts(service, now)
	bound := allowance.config.Ratio*float64(len(counts.requests)) + float64(allowance.config.Slack)/float64(allowance.nodes)
	if float64(len(counts.retries)+1) > bound*allowance.config.Safety {
		return false
	}
	counts.retries = append(counts.retries, now)
	return true
}

func (allowance *Allowance) counts(service string, now time.Time) *allowanceCounts {
	counts := allowance.services[service]
	if counts == nil {
		counts = &allowanceCounts{}
		allowance.services[service] = counts
	}
	counts.requests = since(counts.requests, now.Add(-allowance.config.Window))
	counts.retries = since(counts.retries, now.Add(-allowance.config.Window))
	return counts
}

// since drops the times that are not after the start.
func since(times []time.Time, start time.Time) []time.Time {
	kept := 0
	for kept < len(times) && !times[kept].After(start) {
		kept++
	}
	return times[kept:]
}
