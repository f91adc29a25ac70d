package peer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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

	// QueueFrames and QueueBytes bound the frames that wait for one peer; 0
	// means the defaults. A link over a bound is closed.
	QueueFrames int
	QueueBytes  int

	// Timer is optional; the mesh runs its own without it.
	Timer *timer.Service

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer

	// Random spreads redials. It is optional.
	Random *rand.Rand
}

// The defaults of a Config.
const (
	// DefaultMaxFrameBytes fits a configuration body of 1 MiB.
	DefaultMaxFrameBytes     = 1<<20 + 64<<10
	DefaultHeartbeatInterval = 250 * time.Millisecond

	// DefaultQueueFrames fits one frame of each subject at 730 nodes: their
	// usage, the placements and grants of 181 groups, and 420 leaving targets.
	DefaultQueueFrames = 4096
	DefaultQueueBytes  = 4 << 20
)

// Protocol is the version of the frame format.
const Protocol = 1

// eventBuffer lets readers go on while the owner handles an event.
const eventBuffer = 256

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
	config     Config
	logger     *zap.Logger
	listener   net.Listener
	timer      *timer.Service
	ownTimer   bool
	metrics    *metrics
	events     chan Event
	done       chan error
	generation atomic.Uint64

	// tasks are the dialers and the connections that were accepted.
	tasks sync.WaitGroup

	mutex   sync.Mutex
	random  *rand.Rand
	links   map[string]*link
	dialers map[Target]*dialer

	// running is the context of Run, nil before it; the goroutines that Run
	// starts read it without the mutex. stopped says that no dialer is started
	// any more.
	running context.Context
	stopped bool
}

// New binds the listening address. Run serves it; a mesh that is never run is
// closed with Close.
func New(config Config) (*Mesh, error) {
	if config.Name == "" || config.Incarnation == "" {
		return nil, errors.NotValidf("mesh without name or incarnation")
	}
	setDefaults(&config)
	metrics, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "peer address")
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

// Address returns the IP:port that other nodes dial.
func (mesh *Mesh) Address() string {
	if mesh.config.Advertise != "" {
		return mesh.config.Advertise
	}
	return mesh.listener.Addr().String()
}

// Close releases the listening address.
func (mesh *Mesh) Close() error { return errors.Trace(mesh.listener.Close()) }

// Run serves links until the context ends. It is called once.
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

func (mesh *Mesh) start(ctx context.Context) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.running = ctx
	for target := range mesh.dialers {
		mesh.startDialer(target)
	}
}

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

// Done reports the end of Run.
func (mesh *Mesh) Done() <-chan error { return mesh.done }

// Events returns the events, in order for each link. The owner reads them
// until Done; links wait while it does not.
func (mesh *Mesh) Events() <-chan Event { return mesh.events }

// SetGeneration sets the head generation that heartbeats carry.
func (mesh *Mesh) SetGeneration(generation uint64) { mesh.generation.Store(generation) }

// Send queues a frame for one peer. It returns false when there is no link to
// it or the frame is over the size limit. A queued frame of the same kind and
// subject is replaced.
func (mesh *Mesh) Send(name string, frame Frame) bool {
	return mesh.SendComposed(name, frame, time.Time{})
}

// SendComposed is Send for a frame with ages that were computed at composed.
// The frame is dropped, with false, when a heartbeat that was received after
// composed has been echoed already, because SentAfter would then be later than
// composed. Frames without ages are never dropped; Send and Broadcast are for
// those.
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

// Broadcast queues a frame for every linked peer except one, which may be
// empty.
func (mesh *Mesh) Broadcast(frame Frame, except string) {
	mesh.BroadcastComposed(frame, except, time.Time{})
}

// BroadcastComposed is Broadcast for a frame with ages that were computed at
// composed; see SendComposed.
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

func (mesh *Mesh) pack(frame Frame) (packet, bool) {
	data, err := encode(frame)
	if err != nil || len(data)-headerBytes > mesh.config.MaxFrameBytes {
		mesh.logger.Error("frame cannot be sent",
			zap.String("kind", kindNames[kindOf(frame)]), zap.Int("bytes", len(data)), zap.Error(err))
		return packet{}, false
	}
	return packet{kind: kindOf(frame), subject: subjectOf(frame), data: data}, true
}

func (mesh *Mesh) accept(ctx context.Context) error {
	for {
		conn, err := mesh.listener.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "peer listener")
		}
		mesh.tasks.Go(func() { mesh.serve(ctx, conn, nil) })
	}
}

// serve exchanges hellos on a connection and serves the link until it ends.
// The target is nil for a connection that was accepted. It reports whether a
// link came up.
func (mesh *Mesh) serve(ctx context.Context, conn net.Conn, target *Target) bool {
	defer conn.Close()
	link, err := mesh.greet(ctx, conn, target)
	if err != nil {
		mesh.metrics.closed.WithLabelValues(string(reasonOf(err))).Inc()
		mesh.logger.Debug("no link", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		return false
	}
	if !mesh.register(ctx, link) {
		mesh.metrics.closed.WithLabelValues(string(ReasonReplaced)).Inc()
		return false
	}
	mesh.logger.Info("link up", zap.String("node", link.name()), zap.Bool("dialled", link.dialled))
	mesh.metrics.links.Inc()
	mesh.emit(mesh.running, LinkUp{Hello: link.hello})
	link.serve(ctx)
	mesh.metrics.links.Dec()
	mesh.metrics.closed.WithLabelValues(string(link.closeReason())).Inc()
	mesh.logger.Info("link down", zap.String("node", link.name()), zap.String("reason", string(link.closeReason())))
	mesh.emit(mesh.running, LinkDown{Name: link.name(), Reason: link.closeReason()})
	mesh.unregister(link)
	return true
}

// greet exchanges hellos.
func (mesh *Mesh) greet(ctx context.Context, conn net.Conn, target *Target) (*link, error) {
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
	if err := conn.SetWriteDeadline(mesh.silentAt()); err != nil {
		return nil, err
	}
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	mesh.metrics.sent.count(kindHello, len(hello))
	reader := bufio.NewReader(&silenceConn{Conn: conn, mesh: mesh})
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

func (mesh *Mesh) readHello(reader *bufio.Reader, target *Target) (Hello, error) {
	data, err := readFrame(reader, nil, min(maxHelloBytes, mesh.config.MaxFrameBytes))
	if err != nil {
		return Hello{}, err
	}
	frame, err := decode(data)
	if err != nil {
		return Hello{}, err
	}
	hello, is := frame.(Hello)
	if !is {
		return Hello{}, errors.NotValidf("first frame of type %T", frame)
	}
	mesh.metrics.received.count(kindHello, len(data)+headerBytes)
	if hello.Protocol != Protocol {
		return Hello{}, errors.NotValidf("protocol %d", hello.Protocol)
	}
	if hello.Name == mesh.config.Name {
		return Hello{}, errors.Errorf("node %s has the name of this node", hello.Name)
	}
	if target != nil && target.Name != "" && target.Name != hello.Name {
		return Hello{}, errors.Errorf("node %s answered for %s", hello.Name, target.Name)
	}
	return hello, nil
}

// register makes a link the one of its node. It reports false when the present
// link stays.
func (mesh *Mesh) register(ctx context.Context, fresh *link) bool {
	for ctx.Err() == nil {
		present := mesh.add(fresh)
		if present == nil {
			return true
		}
		if mesh.stays(present, fresh) {
			return false
		}
		present.close(ReasonReplaced)
		select {
		case <-present.ended:
		case <-ctx.Done():
		}
	}
	return false
}

// add registers a link unless its node has one, which it returns.
func (mesh *Mesh) add(fresh *link) *link {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	present, found := mesh.links[fresh.name()]
	if !found {
		mesh.links[fresh.name()] = fresh
	}
	return present
}

// stays reports whether a present link is kept when a second connection to its
// node comes up. When both nodes dialled, both keep the one that the lesser
// name dialled. A second connection of the same dialler, or of a new
// incarnation, means that the present one is dead at the other end.
func (mesh *Mesh) stays(present, fresh *link) bool {
	if present.hello.Incarnation != fresh.hello.Incarnation {
		return false
	}
	if present.dialled == fresh.dialled {
		return false
	}
	lesser := mesh.config.Name < present.name()
	return present.dialled == lesser
}

func (mesh *Mesh) unregister(link *link) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	delete(mesh.links, link.name())
	close(link.ended)
}

// linkTo returns the link to a target, nil without one. A seed is found by the
// address that its node advertises.
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

// emit waits for the owner.
func (mesh *Mesh) emit(ctx context.Context, event Event) {
	select {
	case mesh.events <- event:
	case <-ctx.Done():
	}
}

// stopReason is why a link is closed whose context ended.
func (mesh *Mesh) stopReason() Reason {
	if mesh.running.Err() != nil {
		return ReasonStopped
	}
	return ReasonUnwanted
}

func (mesh *Mesh) silentAt() time.Time {
	return mesh.timer.Now().Add(silentHeartbeats * mesh.config.HeartbeatInterval)
}

func (mesh *Mesh) randomUpTo(limit time.Duration) time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return time.Duration(mesh.random.Int64N(int64(limit) + 1))
}
