package limit

import "time"

// RetryAllowanceConfig holds the bounds of a RetryAllowance.
type RetryAllowanceConfig struct {
	// Window is the length of the time window in which retries are bounded.
	Window time.Duration

	// Ratio is the number of retries allowed for each request. Slack is the
	// number allowed in addition, for all nodes together.
	Ratio float64
	Slack float64

	// Safety is the fraction of the bound that is used. It is below 1 because
	// nodes see each other with a delay.
	Safety float64

	// SlackFrom is the time from which the node uses its part of the slack. A process that
	// follows another one has no account of the retries of the last window and has to
	// assume that the part was used right before its start: otherwise each restart gives
	// it away once more.
	SlackFrom time.Time
}

// A RetryAllowance bounds the retries of each service over all nodes: in any
// window there are at most Ratio times the requests plus Slack. Each live node
// counts its own requests and uses an equal part of the slack, so that no
// communication between nodes is needed for a retry. The bound limits the load
// after the loss of a whole fabric domain, when every stream in progress is
// retried at once.
//
// It is not safe for concurrent use.
type RetryAllowance struct {
	config RetryAllowanceConfig

	// nodes is the number by which the slack is divided. A reduced number
	// applies from reducedFrom on, because until then the retries of the
	// removed nodes are still in the window.
	nodes        int
	reducedNodes int
	reducedFrom  time.Time
	services     map[string]*retryCounts
}

type retryCounts struct {
	requests []time.Time
	retries  []time.Time
}

// NewRetryAllowance returns an allowance for a single node.
func NewRetryAllowance(config RetryAllowanceConfig) *RetryAllowance {
	return &RetryAllowance{config: config, nodes: 1, services: map[string]*retryCounts{}}
}

// SetNodes sets the number of live nodes, at least 1. A lower number takes
// effect after one window.
func (allowance *RetryAllowance) SetNodes(nodes int, now time.Time) {
	nodes = max(1, nodes)
	switch {
	case nodes >= allowance.nodes:
		allowance.nodes = nodes
		allowance.reducedNodes = 0
	case nodes != allowance.reducedNodes:
		allowance.reducedNodes = nodes
		allowance.reducedFrom = now.Add(allowance.config.Window)
	case !now.Before(allowance.reducedFrom):
		allowance.nodes = nodes
		allowance.reducedNodes = 0
	}
}

// SetConfig changes the bounds. SlackFrom stays as it is.
func (allowance *RetryAllowance) SetConfig(config RetryAllowanceConfig) {
	config.SlackFrom = allowance.config.SlackFrom
	allowance.config = config
}

// Request counts a request to a service.
func (allowance *RetryAllowance) Request(service string, now time.Time) {
	counts := allowance.counts(service, now)
	counts.requests = append(counts.requests, now)
}

// Retry takes one retry of a service. It returns false if none is left.
func (allowance *RetryAllowance) Retry(service string, now time.Time) bool {
	counts := allowance.counts(service, now)
	bound := allowance.config.Ratio * float64(len(counts.requests))
	if !now.Before(allowance.config.SlackFrom) {
		bound += allowance.config.Slack / float64(allowance.nodes)
	}
	if float64(len(counts.retries)+1) > bound*allowance.config.Safety {
		return false
	}
	counts.retries = append(counts.retries, now)
	return true
}

func (allowance *RetryAllowance) counts(service string, now time.Time) *retryCounts {
	counts := allowance.services[service]
	if counts == nil {
		counts = &retryCounts{}
		allowance.services[service] = counts
	}
	counts.requests = timesAfter(counts.requests, now.Add(-allowance.config.Window))
	counts.retries = timesAfter(counts.retries, now.Add(-allowance.config.Window))
	return counts
}

// timesAfter returns the times that are after start. times must be sorted.
func timesAfter(times []time.Time, start time.Time) []time.Time {
	kept := 0
	for kept < len(times) && !times[kept].After(start) {
		kept++
	}
	return times[kept:]
}
