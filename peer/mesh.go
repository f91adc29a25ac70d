package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Config is the configuration of a Mesh.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// Listen is IP:port; port 0 picks one.
	Listen string

	// Advertise is the IP:port that other nodes dial; empty means the address
	// that the mesh listens on.
	Advertise string

	// MaxFrameBytes is the largest frame; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int

	// HeartbeatInterval is the time between heartbeats; 0 means
	// DefaultHeartbeatInterval. A link that is silent for three is closed.
	HeartbeatInterval time.Duration

	// QueueFrames bounds the frames that wait for one peer; 0 means
	// DefaultQueueFrames.
	QueueFrames int

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer

	// Random spreads redials. It is optional.
	Random *rand.Rand
}

// The defaults of a Config.
const (
	DefaultMaxFrameBytes     = 1<<20 + 64<<10
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultQueueFrames       = 512
)

// Protocol is the version of the frame format.
const Protocol = 1

// A Target is a node to dial.
type Target struct {
	// Name is empty for a seed, whose name is not known yet.
	Name string

	// Address is IP:port.
	Address string
}

// A Mesh keeps one link to each peer. Its methods may be called from any
// goroutine and never wait for a peer.
type Mesh struct {
	config   Config
	listener net.Listener
	events   chan Event
	done     chan error
}

// New binds the listening address. Run serves it.
func New(config Config) (*Mesh, error) { return nil, nil }

// Address returns the IP:port that other nodes dial.
func (mesh *Mesh) Address() string { return "" }

// Run serves links until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {}

// Done reports the end of Run.
func (mesh *Mesh) Done() <-chan error { return mesh.done }

// Events returns the events, in order for each link. The owner reads them
// until Done.
func (mesh *Mesh) Events() <-chan Event { return mesh.events }

// SetTargets replaces the nodes to dial. Links that the peer dialled stay.
func (mesh *Mesh) SetTargets(targets []Target) {}

// SetGeneration sets the head generation that heartbeats carry.
func (mesh *Mesh) SetGeneration(generation uint64) {}

// Send queues a frame for one peer. It returns false when there is no link to
// it. A queued frame of the same kind and subject is replaced.
func (mesh *Mesh) Send(name string, frame Frame) bool { return false }

// Broadcast queues a frame for every linked peer except one, which may be
// empty.
func (mesh *Mesh) Broadcast(frame Frame, except string) {}

// SendComposed is Send for a frame with ages that were computed at composed.
// The frame is dropped when a heartbeat that was received after composed has
// been echoed already, because SentAfter would then be later than composed.
func (mesh *Mesh) SendComposed(name string, frame Frame, composed time.Time) bool { return false }

// BroadcastComposed is Broadcast for a frame with ages that were computed at
// composed.
func (mesh *Mesh) BroadcastComposed(frame Frame, except string, composed time.Time) {}

// Linked returns the names of the linked peers, sorted.
func (mesh *Mesh) Linked() []string { return nil }
