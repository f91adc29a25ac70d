package peer

// A Frame is one message between two nodes. It is Hello, Heartbeat, Head,
// BodyRequest, Body, Placement, Grants, GrantsRequest, Usage, Leaving or Record.
type Frame interface{ frame() }

// Hello is the first frame of a link.
type Hello struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// Address is the IP:port at which other nodes dial the sender.
	Address  string
	Protocol int
}

// Heartbeat keeps a link alive. Its echo bounds the age of the frames that
// follow it on the link.
type Heartbeat struct {
	Sequence uint64

	// Echo is the highest heartbeat sequence that the sender received on this
	// link.
	Echo       uint64
	Generation uint64

	// EchoAgeMicros is a lower bound of the time between the arrival of the
	// echoed heartbeat at the sender and the composing of the frames that follow
	// this one.
	EchoAgeMicros int64
}

// Head announces a configuration generation.
type Head struct {
	Generation uint64
	Change     string
	Digest     string
}

// BodyRequest requests the configuration body of a generation.
type BodyRequest struct{ Generation uint64 }

// Body is a configuration body as it is stored.
type Body struct {
	Head Head
	Data []byte
}

// Placement is a committed placement record.
type Placement struct {
	Domain   string
	Revision uint64
	Record   []byte
}

// Grants lists the grants of the complete groups of a fabric domain.
type Grants struct {
	// Origin is the leader's node and Incarnation the incarnation of that node.
	// Version increases with every frame of the incarnation.
	Origin      string
	Incarnation string
	Version     uint64

	// Fence is the fencing number of the leader. Grants with a lower number
	// than others of the domain are stale.
	Fence  uint64
	Domain string
	Groups []GroupGrant
}

// GroupGrant is the grant of one group inside Grants.
type GroupGrant struct {
	Group string
	Epoch uint64

	// AgeMillis is the age of the oldest member report at the time at which the
	// frame was sent.
	AgeMillis int64

	// ValidMillis is the remaining validity at that time.
	ValidMillis int64
	Running     int
	Queued      int
	FreeCache   int
}

// GrantsRequest requests the grants of a fabric domain that the peer has stored.
type GrantsRequest struct{ Domain string }

// Usage is the demand of each workspace at one node.
type Usage struct {
	Origin      string
	Incarnation string
	Version     uint64
	Workspaces  []WorkspaceUsage
}

// WorkspaceUsage is the demand of one workspace.
type WorkspaceUsage struct {
	Workspace string
	InFlight  int
	Queued    int
}

// Leaving announces that a target accepts no new work.
type Leaving struct {
	Target      string
	Incarnation string
	Author      string
	Reason      string
}

// Record is a change of a record that all nodes follow, for nodes that do not watch the
// store.
type Record struct {
	Key string

	// Revision is that of the write, or of the deletion if Value is empty.
	Revision uint64
	Value    []byte
}

func (Hello) frame()         {}
func (Heartbeat) frame()     {}
func (Head) frame()          {}
func (BodyRequest) frame()   {}
func (Body) frame()          {}
func (Placement) frame()     {}
func (Grants) frame()        {}
func (GrantsRequest) frame() {}
func (Usage) frame()         {}
func (Leaving) frame()       {}
func (Record) frame()        {}
