package folder

import "time"

// Kind is what a route carries.
type Kind int

// The kinds of route.
const (
	// KindDraft routes to serving groups that hold a model.
	KindDraft Kind = iota + 1

	// KindService routes to plain services.
	KindService
)

// String returns the folder's word for the kind.
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

	// Weight is the workspace's share under contention, at least 1.
	Weight int

	// MaxInFlight bounds the requests in progress over all nodes.
	MaxInFlight int

	// Deadline is the default time for one request.
	Deadline time.Duration
}

// A Route carries requests of one workspace to one model group or service.
type Route struct {
	Name      string
	Workspace string

	// PathPrefix selects the requests of the route.
	PathPrefix string
	Kind       Kind

	// Group names the model group of a draft route.
	Group string

	// Service names the service of a service route.
	Service string

	// Idempotent says whether a request may run more than once.
	Idempotent bool

	// MinReplicas is the number of replicas that a planned stop leaves serving.
	MinReplicas int
}

// A Group describes the replicas of one model. Each replica is a serving
// group that spans Size VMs of one fabric domain.
type Group struct {
	Name    string
	Model   string
	Version string

	// Size is the number of VMs in each replica.
	Size int

	// Replicas is the wanted number of replicas.
	Replicas int

	// Share is the part of each fabric domain that the replicas take, in
	// thousandths. With a share, as many replicas are formed as the VMs hold and
	// Replicas is not used.
	Share int

	// Value orders groups when weights are loaded; higher loads first.
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

// A ServiceAddress is one runner of a service.
type ServiceAddress struct {
	// Address is IP:port.
	Address       string
	FailureDomain string
}

// A TargetClass describes what a kind of target guarantees.
type TargetClass struct {
	Name string

	// ChecksFencing says that the target refuses an order with an old fencing
	// number.
	ChecksFencing bool

	// OrderDelay is the longest time an order can spend on its way.
	OrderDelay time.Duration

	// OpenedByOrder says that rank 0 of a group accepts requests only after an
	// open order, and until a close order even when a member is lost.
	OpenedByOrder bool

	// ChecksSequence says that the target refuses an order that expects another
	// number of begun orders than it has.
	ChecksSequence bool

	// OpenTime is how long an open order takes.
	OpenTime time.Duration
}

// Policy holds the operators' weights and bounds.
type Policy struct {
	// DowntimeWeight is the cost of one replica being down for one second.
	DowntimeWeight float64

	// StrandedWeight is the cost of one stranded accelerator for one second.
	StrandedWeight float64

	// ReportInterval is the time between two reads of a VM's report.
	ReportInterval time.Duration

	// GrantBound is how long a grant is valid after its report time.
	GrantBound time.Duration

	// WeightRate bounds the bytes loaded from the weight store per second.
	WeightRate int64

	// RetryPercent is the number of retries allowed for 100 requests.
	RetryPercent int

	// BookingRetention is how long a finished claim is kept.
	BookingRetention time.Duration

	// SpreadTime is how long a closed gate or a leaving target takes to be
	// known at every node.
	SpreadTime time.Duration
}
