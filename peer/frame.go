package peer

// A Frame is one message between two nodes. It is Hello, Heartbeat, Head,
// BodyRequest, Body, Placement, Grants, GrantsRequest, Usage or Leaving.
type Frame interface{ frame() }

// Hello is the first frame of a link.
type Hello struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// Address is the peer address of the sender, IP:port.
	Address  string
	Protocol int
}

// Heartbeat keeps a link alive and bounds the age of what came over it.
type Heartbeat struct {
	Sequence uint64

	// Echo is the highest sequence that the sender received on this link.
	Echo       uint64
	Generation uint64

	// EchoAgeMicros is for how long the echoed heartbeat had been here when the
	// frames behind this one were composed, or less.
	EchoAgeMicros int64
}

// Head announces a configuration.
type Head struct {
	Generation uint64
	Change     string
	Digest     string
}

// BodyRequest asks for the configuration body of a generation.
type BodyRequest struct{ Generation uint64 }

// Body is a stored configuration body.
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

// Grants lists the complete groups of a fabric domain.
type Grants struct {
	// Origin is the leading node and Incarnation its incarnation. Version
	// increases with every frame of that incarnation.
	Origin      string
	Incarnation string
	Version     uint64

	// Fence is the fencing number of the leader; a lower one is stale.
	Fence  uint64
	Domain string
	Groups []GroupGrant
}

// GroupGrant is the grant of one group inside Grants.
type GroupGrant struct {
	Group string
	Epoch uint64

	// AgeMillis is the age of the oldest member report when the frame was sent.
	AgeMillis int64

	// ValidMillis is the remaining validity when the frame was sent.
	ValidMillis int64
	Running     int
	Queued      int
	FreeCache   int
}

// GrantsRequest asks a peer for the grants of a fabric domain that it holds.
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

// Leaving says that a target takes no new work.
type Leaving struct {
	Target      string
	Incarnation string
	Author      string
	Reason      string
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
