package folder

import "time"

// Kind is the kind of target that a route has.
type Kind int

// The kinds of route.
const (
	// KindDraft is a route to serving groups, which run a model.
	KindDraft Kind = iota + 1

	// KindService is a route to a plain HTTP service.
	KindService
)

// String returns the kind as it is written in the folder.
func (kind Kind) String() string {
	switch kind {
	case KindDraft:
		return "draft"
	case KindService:
		return "service"
	default:
		return "unknown"
	}
}

// A Workspace is one customer business that sends requests.
type Workspace struct {
	Name string

	// KeyDigests are lower-case hexadecimal SHA-256 digests of the caller keys.
	KeyDigests []string

	// Weight is the workspace's relative share of capacity under contention,
	// at least 1.
	Weight int

	// MaxInFlight is the maximum number of requests in progress at all nodes
	// together.
	MaxInFlight int

	// Deadline is the default time limit of one request.
	Deadline time.Duration
}

// A Route directs requests of one workspace to one model group or service.
type Route struct {
	Name      string
	Workspace string

	// PathPrefix is the prefix of the paths of the route's requests.
	PathPrefix string
	Kind       Kind

	// Group names the model group of a draft route.
	Group string

	// Service names the service of a service route.
	Service string

	// Idempotent is true when a request may run more than once.
	Idempotent bool

	// MinReplicas is the minimum number of replicas that keep serving during
	// a planned stop.
	MinReplicas int
}

// A Group describes the replicas of one model. Each replica is a serving
// group that spans Size VMs of one fabric domain.
type Group struct {
	Name    string
	Model   string
	Version string

	// Service is the service whose VMs the replicas consist of, empty if VMs belong to
	// none.
	Service string

	// Size is the number of VMs in each replica.
	Size int

	// Replicas is the desired number of replicas.
	Replicas int

	// Share is the part of each fabric domain that the replicas use, in
	// thousandths. If it is above 0, as many replicas are formed as the VMs
	// allow, and Replicas is not used.
	Share int

	// Value is the priority of the group when weights are loaded; groups with
	// a higher value load first.
	Value int

	// WeightBytes is the size of the weights that one VM loads.
	WeightBytes int64

	// TargetClass names the class of engine.
	TargetClass string
}

// A Service is a plain HTTP service.
type Service struct {
	Name        string
	Addresses   []ServiceAddress
	TargetClass string
}

// A ServiceAddress is the address of one runner of a service.
type ServiceAddress struct {
	// Address is IP:port.
	Address       string
	FailureDomain string
}

// A TargetClass describes the guarantees of a class of targets.
type TargetClass struct {
	Name string

	// ChecksFencing is true when the target refuses an order with an outdated
	// fencing number.
	ChecksFencing bool

	// OrderDelay is the maximum time between sending an order and its arrival
	// at the target.
	OrderDelay time.Duration

	// OpenedByOrder is true when rank 0 of a group accepts requests only after
	// an open order, and then continues to accept them until a close order,
	// even when a member is lost.
	OpenedByOrder bool

	// ChecksSequence is true when the target refuses an order whose expected
	// number of started orders differs from the target's own count.
	ChecksSequence bool

	// OpenTime is the time that an open order takes to complete.
	OpenTime time.Duration
}

// Policy holds the operators' weights and bounds.
type Policy struct {
	// DowntimeWeight is the cost of one replica being down for one second.
	DowntimeWeight float64

	// StrandedWeight is the cost of one stranded accelerator for one second.
	StrandedWeight float64

	// ReportInterval is the time between two consecutive reads of a VM's
	// report.
	ReportInterval time.Duration

	// GrantBound is the validity of a grant, counted from the time of the
	// report that it is based on.
	GrantBound time.Duration

	// WeightRate is the maximum number of bytes per second that are loaded
	// from the weight store.
	WeightRate int64

	// RetryPercent is the number of retries allowed per 100 requests.
	RetryPercent int

	// BookingRetention is the time for which a finished claim is kept.
	BookingRetention time.Duration

	// SpreadTime is the time after which every node has received the closing
	// of a gate or the drain of a target.
	SpreadTime time.Duration
}
