package peer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/timer"
)

// Config is the configuration of a Mesh.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// Listen is the IP:port to listen on; port 0 selects a free port.
	Listen string

	// Advertise is the IP:port that other nodes dial; empty means the address
	// on which the mesh listens.
	Advertise string

	// MaxHandshakes bounds the accepted connections on which the other node has not introduced
	// itself; 0 means DefaultMaxHandshakes.
	MaxHandshakes int

	// MaxFrameBytes bounds the size of a frame; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int

	// HeartbeatInterval is the time between heartbeats; 0 means
	// DefaultHeartbeatInterval. A link on which nothing arrives for three
	// intervals is closed.
	HeartbeatInterval time.Duration

	// QueueFrames and QueueBytes bound the frames that are queued for one peer;
	// 0 means the defaults. A link whose queue exceeds a bound is closed.
	QueueFrames int
	QueueBytes  int

	// Timer is optional; without it, the mesh runs its own timer service.
	Timer *timer.Service

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer

	// Random randomizes the time between dials. It is optional.
	Random *rand.Rand
}

// The defaults of a Config.
const (
	// DefaultMaxHandshakes is above the number of nodes that dial at once after an outage.
	DefaultMaxHandshakes = 256

	// DefaultMaxFrameBytes is enough for a configuration body of 1 MiB.
	DefaultMaxFrameBytes     = 1<<20 + 64<<10
	DefaultHeartbeatInterval = 250 * time.Millisecond

	// DefaultQueueFrames is enough for one frame of each subject at 730 nodes:
	// the usage of each node, the placements and grants of 181 groups, and 420
	// leaving targets.
	DefaultQueueFrames = 4096
	DefaultQueueBytes  = 4 << 20
)

// Protocol is the version of the frame format.
const Protocol = 1

// eventBuffer is the capacity of the channel of events. It lets links continue
// to read while the owner handles an event.
const eventBuffer = 256

// A Target is a node to dial.
type Target struct {
	// Name is empty for a seed, whose name is in its hello.
	Name string

	// Address is IP:port.
	Address string
}

// A Mesh maintains at most one link to each peer. Its methods are safe for
// concurrent use and never wait for a peer.
type Mesh struct {
	config     Config
	logger     *zap.Logger
	listener   net.Listener
	timer      *timer.Service
	ownTimer   bool
	metrics    *metrics
	events     chan Event
	done       chan error
	generation atomic.Uint64

	// handshakes is the number of accepted connections whose handshake has not ended.
	handshakes atomic.Int64

	// tasks counts the goroutines of the dialers and of accepted connections.
	tasks sync.WaitGroup

	mutex   sync.Mutex
	random  *rand.Rand
	links   map[string]*link
	dialers map[Target]*dialer

	// runCtx is the context of Run and nil before Run starts. The goroutines
	// that Run starts read it without the mutex. Once stopped is true, no more
	// dialers are started.
	runCtx  context.Context
	stopped bool
}

// New returns a mesh that is bound to its listening address and does not serve
// it before Run. A mesh that is never run must be closed with Close.
func New(config Config) (*Mesh, error) {
	if config.Name == "" || config.Incarnation == "" {
		return nil, errors.NotValidf("mesh configuration without name or incarnation")
	}
	setDefaults(&config)
	metrics, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen for peers")
	}
	mesh := &Mesh{
		config:   config,
		logger:   config.Logger,
		listener: listener,
		timer:    config.Timer,
		metrics:  metrics,
		events:   make(chan Event, eventBuffer),
		done:     make(chan error, 1),
		random:   config.Random,
		links:    make(map[string]*link),
		dialers:  make(map[Target]*dialer),
	}
	if mesh.timer == nil {
		mesh.timer = timer.New(timer.Config{})
		mesh.ownTimer = true
	}
	return mesh, nil
}

func setDefaults(config *Config) {
	if config.MaxHandshakes == 0 {
		config.MaxHandshakes = DefaultMaxHandshakes
	}
	if config.MaxFrameBytes == 0 {
		config.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if config.QueueFrames == 0 {
		config.QueueFrames = DefaultQueueFrames
	}
	if config.QueueBytes == 0 {
		config.QueueBytes = DefaultQueueBytes
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Address returns the IP:port at which other nodes dial this node.
func (mesh *Mesh) Address() string {
	if mesh.config.Advertise != "" {
		return mesh.config.Advertise
	}
	return mesh.listener.Addr().String()
}

// Close releases the listening address.
func (mesh *Mesh) Close() error { return errors.Trace(mesh.listener.Close()) }

// Run dials targets, accepts connections and serves links until the context
// ends or the listener fails. It must be called only once.
func (mesh *Mesh) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if mesh.ownTimer {
		go mesh.timer.Run(ctx)
	}
	mesh.start(ctx)
	accepted := make(chan error, 1)
	go func() { accepted <- mesh.accept(ctx) }()
	select {
	case <-ctx.Done():
		mesh.listener.Close()
		<-accepted
		mesh.stop(cancel)
		mesh.done <- nil
	case err := <-accepted:
		mesh.listener.Close()
		mesh.stop(cancel)
		mesh.done <- err
	}
}

// start starts the dialers of the targets that were set before Run.
func (mesh *Mesh) start(ctx context.Context) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.runCtx = ctx
	for target := range mesh.dialers {
		mesh.startDialer(target)
	}
}

// stop ends all goroutines of the mesh and waits for them.
func (mesh *Mesh) stop(cancel context.CancelFunc) {
	mesh.mutex.Lock()
	mesh.stopped = true
	mesh.mutex.Unlock()
	cancel()
	mesh.tasks.Wait()
	if mesh.ownTimer {
		<-mesh.timer.Done()
	}
}

// Done returns a channel that receives the result of Run: the error of the
// listener, or nil when the context ended.
func (mesh *Mesh) Done() <-chan error { return mesh.done }

// Events returns the channel of events. The events of each link are in order.
// The owner must read them until Done: while it does not, links block.
func (mesh *Mesh) Events() <-chan Event { return mesh.events }

// SetGeneration sets the head generation that heartbeats carry.
func (mesh *Mesh) SetGeneration(generation uint64) { mesh.generation.Store(generation) }

// Send queues a frame for one peer, in place of a queued frame of the same
// subject. It returns false when there is no link to the peer, when the frame
// exceeds the size limit, or when the queue exceeds its limits.
func (mesh *Mesh) Send(name string, frame Frame) bool {
	return mesh.SendComposed(name, frame, time.Time{})
}

// SendComposed is like Send for a frame that contains ages, which were computed
// at the time composed. It drops the frame and returns false when a heartbeat
// that was received after composed has already been echoed, because SentAfter
// would then be later than composed. Use Send and Broadcast for frames without
// ages, which are never dropped for this reason.
func (mesh *Mesh) SendComposed(name string, frame Frame, composed time.Time) bool {
	packet, fits := mesh.pack(frame)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	link, found := mesh.links[name]
	if !found || !fits {
		return false
	}
	return link.send(packet, composed)
}

// Broadcast queues a frame for every linked peer except the one named except,
// which may be empty.
func (mesh *Mesh) Broadcast(frame Frame, except string) {
	mesh.BroadcastComposed(frame, except, time.Time{})
}

// BroadcastComposed is like Broadcast for a frame that contains ages, which were
// computed at the time composed; see SendComposed.
func (mesh *Mesh) BroadcastComposed(frame Frame, except string, composed time.Time) {
	packet, fits := mesh.pack(frame)
	if !fits {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name, link := range mesh.links {
		if name != except {
			link.send(packet, composed)
		}
	}
}

// Linked returns the names of the linked peers, sorted.
func (mesh *Mesh) Linked() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	names := make([]string, 0, len(mesh.links))
	for name := range mesh.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pack encodes a frame. It returns false when the frame cannot be encoded or
// exceeds the size limit.
func (mesh *Mesh) pack(frame Frame) (packet, bool) {
	data, err := encode(frame)
	if err != nil || len(data)-headerBytes > mesh.config.MaxFrameBytes {
		mesh.logger.Error("cannot send frame: encoding failed or size limit exceeded",
			zap.String("kind", kindNames[kindOf(frame)]), zap.Int("bytes", len(data)), zap.Error(err))
		return packet{}, false
	}
	return packet{kind: kindOf(frame), subject: subjectOf(frame), data: data}, true
}

// acceptPause is the pause after a connection could not be accepted because the process has no
// descriptor left. Others come free within milliseconds.
const acceptPause = 50 * time.Millisecond

func (mesh *Mesh) accept(ctx context.Context) error {
	for {
		conn, err := mesh.listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			mesh.logger.Warn("a connection of another node was not accepted", zap.Error(err))
			mesh.pause(ctx, acceptPause)
			continue
		case err != nil:
			return errors.Annotate(err, "accept peer connection")
		}
		if mesh.handshakes.Add(1) > int64(mesh.config.MaxHandshakes) {
			mesh.handshakes.Add(-1)
			conn.Close()
			continue
		}
		mesh.tasks.Go(func() { mesh.serve(ctx, conn, nil) })
	}
}

func (mesh *Mesh) pause(ctx context.Context, duration time.Duration) {
	delay := mesh.timer.After("accept pause", duration, 0)
	defer delay.Cancel()
	select {
	case <-delay.C():
	case <-ctx.Done():
	}
}

// serve exchanges hellos on a connection and serves the link until it ends.
// The target is nil for an accepted connection. It reports whether a link was
// established.
func (mesh *Mesh) serve(ctx context.Context, conn net.Conn, target *Target) bool {
	defer conn.Close()
	link, err := mesh.handshake(ctx, conn, target)
	if target == nil {
		mesh.handshakes.Add(-1)
	}
	if err != nil {
		mesh.metrics.closed.WithLabelValues(string(reasonOf(err))).Inc()
		mesh.logger.Debug("handshake with peer failed", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		return false
	}
	if !mesh.register(ctx, link) {
		mesh.metrics.closed.WithLabelValues(string(ReasonReplaced)).Inc()
		return false
	}
	mesh.logger.Info("link up", zap.String("node", link.name()), zap.Bool("dialled", link.dialled))
	mesh.metrics.links.Inc()
	mesh.emit(mesh.runCtx, LinkUp{Hello: link.hello})
	link.serve(ctx)
	mesh.metrics.links.Dec()
	mesh.metrics.closed.WithLabelValues(string(link.closeReason())).Inc()
	mesh.logger.Info("link down", zap.String("node", link.name()), zap.String("reason", string(link.closeReason())))
	mesh.emit(mesh.runCtx, LinkDown{Name: link.name(), Reason: link.closeReason()})
	mesh.unregister(link)
	return true
}

// handshake exchanges hellos on a connection and returns the link, which is not
// registered yet.
func (mesh *Mesh) handshake(ctx context.Context, conn net.Conn, target *Target) (*link, error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	hello, err := encode(Hello{
		Name:          mesh.config.Name,
		Incarnation:   mesh.config.Incarnation,
		FailureDomain: mesh.config.FailureDomain,
		Address:       mesh.Address(),
		Protocol:      Protocol,
	})
	if err != nil {
		return nil, err
	}
	if err := conn.SetWriteDeadline(mesh.silenceDeadline()); err != nil {
		return nil, err
	}
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	mesh.metrics.sent.count(kindHello, len(hello))
	reader := bufio.NewReader(&readTimeoutConn{Conn: conn, mesh: mesh})
	remote, err := mesh.readHello(reader, target)
	if err != nil {
		return nil, err
	}
	return &link{
		mesh:    mesh,
		conn:    conn,
		reader:  reader,
		hello:   remote,
		dialled: target != nil,
		queue:   newQueue(mesh.config.QueueFrames, mesh.config.QueueBytes),
		ended:   make(chan struct{}),
	}, nil
}

// readHello reads the first frame of a connection. It fails unless the frame is
// a hello of the same protocol version from the target, or from any other node
// if the target is nil or a seed.
func (mesh *Mesh) readHello(reader *bufio.Reader, target *Target) (Hello, error) {
	data, err := readFrame(reader, nil, min(maxHelloBytes, mesh.config.MaxFrameBytes))
	if err != nil {
		return Hello{}, err
	}
	frame, err := decode(data)
	if err != nil {
		return Hello{}, err
	}
	hello, isHello := frame.(Hello)
	if !isHello {
		return Hello{}, errors.NotValidf("first frame of type %T instead of hello", frame)
	}
	mesh.metrics.received.count(kindHello, len(data)+headerBytes)
	if hello.Protocol != Protocol {
		return Hello{}, errors.NotValidf("hello with protocol version %d", hello.Protocol)
	}
	if hello.Name == mesh.config.Name {
		return Hello{}, errors.Errorf("peer has the same name as this node: %s", hello.Name)
	}
	if target != nil && target.Name != "" && target.Name != hello.Name {
		return Hello{}, errors.Errorf("node %s responded at the address of node %s", hello.Name, target.Name)
	}
	return hello, nil
}

// register registers a link as the only one to its node and closes an existing
// link to the node. It returns false when the existing link is kept or the
// context ends.
func (mesh *Mesh) register(ctx context.Context, fresh *link) bool {
	for ctx.Err() == nil {
		existing := mesh.add(fresh)
		if existing == nil {
			return true
		}
		if mesh.keepsExisting(existing, fresh) {
			return false
		}
		existing.close(ReasonReplaced)
		select {
		case <-existing.ended:
		case <-ctx.Done():
		}
	}
	return false
}

// add registers a link and returns nil, or returns the existing link to its
// node if there is one.
func (mesh *Mesh) add(fresh *link) *link {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	existing, found := mesh.links[fresh.name()]
	if !found {
		mesh.links[fresh.name()] = fresh
	}
	return existing
}

// keepsExisting reports whether an existing link is kept when a second
// connection to its node is established. When both nodes dialled, both keep the
// connection that the node with the lesser name dialled. A second connection
// dialled by the same node, or one of a new incarnation, means that the existing
// link has already ended at the other node.
func (mesh *Mesh) keepsExisting(existing, fresh *link) bool {
	if existing.hello.Incarnation != fresh.hello.Incarnation {
		return false
	}
	if existing.dialled == fresh.dialled {
		return false
	}
	lesser := mesh.config.Name < existing.name()
	return existing.dialled == lesser
}

func (mesh *Mesh) unregister(link *link) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	delete(mesh.links, link.name())
	close(link.ended)
}

// linkTo returns the link to a target, or nil if there is none. The link to a
// seed is found by the address that its node advertises.
func (mesh *Mesh) linkTo(target Target) *link {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if target.Name != "" {
		return mesh.links[target.Name]
	}
	for _, link := range mesh.links {
		if link.hello.Address == target.Address {
			return link
		}
	}
	return nil
}

// emit sends an event to the owner. It blocks while the buffer of events is
// full, until the context ends.
func (mesh *Mesh) emit(ctx context.Context, event Event) {
	select {
	case mesh.events <- event:
	case <-ctx.Done():
	}
}

// stopReason returns the reason for closing a link whose context has ended.
func (mesh *Mesh) stopReason() Reason {
	if mesh.runCtx.Err() != nil {
		return ReasonStopped
	}
	return ReasonUnwanted
}

// silenceDeadline returns the deadline of a read or write that starts now.
func (mesh *Mesh) silenceDeadline() time.Time {
	return mesh.timer.Now().Add(silentHeartbeats * mesh.config.HeartbeatInterval)
}

func (mesh *Mesh) randomUpTo(limit time.Duration) time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return time.Duration(mesh.random.Int64N(int64(limit) + 1))
}
