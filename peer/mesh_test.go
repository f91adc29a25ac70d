package peer

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingspoke.org/lacewingspoke/standin/seed"
)

const (
	testHeartbeat = 100 * time.Millisecond
	testPatience  = 20 * time.Second
)

func TestMain(m *testing.M) {
	seed.Fix()
	goleak.VerifyTestMain(m)
}

// startMesh runs a mesh until the test ends.
func startMesh(t *testing.T, config Config) *Mesh {
	t.Helper()
	config.Listen = "127.0.0.1:0"
	config.FailureDomain = "fd"
	if config.Incarnation == "" {
		config.Incarnation = config.Name + "-1"
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = testHeartbeat
	}
	mesh, err := New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go mesh.Run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-mesh.Done())
	})
	return mesh
}

// awaitEvent returns the first event that matches and drops those before it.
func awaitEvent(t *testing.T, mesh *Mesh, what string, match func(Event) bool) Event {
	t.Helper()
	patience := time.After(testPatience)
	for {
		select {
		case event := <-mesh.Events():
			if match(event) {
				return event
			}
		case <-patience:
			require.FailNow(t, "no event", what)
		}
	}
}

func awaitUp(t *testing.T, mesh *Mesh, name string) LinkUp {
	t.Helper()
	return awaitEvent(t, mesh, "link up to "+name, func(event Event) bool {
		up, is := event.(LinkUp)
		return is && up.Hello.Name == name
	}).(LinkUp)
}

func awaitDown(t *testing.T, mesh *Mesh, name string) LinkDown {
	t.Helper()
	return awaitEvent(t, mesh, "link down to "+name, func(event Event) bool {
		down, is := event.(LinkDown)
		return is && down.Name == name
	}).(LinkDown)
}

func awaitFrame(t *testing.T, mesh *Mesh, want Frame) Received {
	t.Helper()
	return awaitEvent(t, mesh, "frame", func(event Event) bool {
		received, is := event.(Received)
		return is && assert.ObjectsAreEqual(want, received.Frame)
	}).(Received)
}

// rawPeer speaks the wire format by hand.
type rawPeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func rawHello(name string) Hello {
	return Hello{Name: name, Incarnation: name + "-1", Protocol: Protocol}
}

func dialRaw(t *testing.T, mesh *Mesh, name string) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", mesh.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	raw := &rawPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
	raw.send(rawHello(name))
	return raw
}

func (raw *rawPeer) send(frame Frame) {
	raw.t.Helper()
	data, err := encode(frame)
	require.NoError(raw.t, err)
	raw.write(data)
}

func (raw *rawPeer) write(data []byte) {
	raw.t.Helper()
	_, err := raw.conn.Write(data)
	require.NoError(raw.t, err)
}

// awaitBeat returns the next heartbeat.
func (raw *rawPeer) awaitBeat() Heartbeat {
	raw.t.Helper()
	require.NoError(raw.t, raw.conn.SetReadDeadline(time.Now().Add(testPatience)))
	for {
		data, err := readFrame(raw.reader, nil, DefaultMaxFrameBytes)
		require.NoError(raw.t, err)
		frame, err := decode(data)
		require.NoError(raw.t, err)
		if heartbeat, is := frame.(Heartbeat); is {
			return heartbeat
		}
	}
}

// awaitClose reads until the mesh closes the connection.
func (raw *rawPeer) awaitClose() {
	raw.t.Helper()
	require.NoError(raw.t, raw.conn.SetReadDeadline(time.Now().Add(testPatience)))
	buffer := make([]byte, 64<<10)
	for {
		_, err := raw.reader.Read(buffer)
		if err == nil {
			continue
		}
		var failure net.Error
		if assert.NotErrorAs(raw.t, err, &failure) || !failure.Timeout() {
			return
		}
		require.NoError(raw.t, err)
	}
}

// Both nodes dial: exactly one link must be left, on which frames pass both
// ways. Guards against a pair that keeps replacing its links.
func TestMutualDialLeavesOneLink(t *testing.T) {
	one := startMesh(t, Config{Name: "one"})
	two := startMesh(t, Config{Name: "two"})
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	two.SetTargets([]Target{{Name: "one", Address: one.Address()}})
	awaitUp(t, one, "two")
	awaitUp(t, two, "one")
	head := Head{Generation: 7, Change: "change", Digest: "digest"}
	require.Eventually(t, func() bool { return one.Send("two", head) }, testPatience, time.Millisecond)
	assert.Equal(t, "one", awaitFrame(t, two, head).From)
	leaving := Leaving{Target: "vm-1", Incarnation: "3", Author: "operator", Reason: "disk"}
	require.Eventually(t, func() bool { return two.Send("one", leaving) }, testPatience, time.Millisecond)
	awaitFrame(t, one, leaving)
	assert.Equal(t, []string{"two"}, one.Linked())
	assert.False(t, one.Send("three", head))
}

// When both nodes dialled, both ends must keep the connection that the lesser
// name dialled. Guards against ends that each close the one the other keeps.
func TestDuplicateLinkTieBreak(t *testing.T) {
	for _, test := range []struct {
		mesh, raw string
		dialled   bool
		interval  time.Duration
	}{{"a", "b", true, time.Minute}, {"b", "a", false, time.Second}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		mesh := startMesh(t, Config{Name: test.mesh, HeartbeatInterval: test.interval})
		mesh.SetTargets([]Target{{Name: test.raw, Address: listener.Addr().String()}})
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
		dialled := &rawPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
		dialled.send(rawHello(test.raw))
		awaitUp(t, mesh, test.raw)
		accepted := dialRaw(t, mesh, test.raw)
		if test.dialled {
			accepted.awaitClose()
			dialled.awaitBeat()
			assert.Empty(t, mesh.Events())
			continue
		}
		assert.Equal(t, ReasonReplaced, awaitDown(t, mesh, test.raw).Reason)
		awaitUp(t, mesh, test.raw)
		dialled.awaitClose()
		accepted.awaitBeat()
	}
}

// A seed has no name; the link is known by the name of its hello, and a node
// that is its own seed makes no link.
func TestSeed(t *testing.T) {
	one := startMesh(t, Config{Name: "one"})
	two := startMesh(t, Config{Name: "two"})
	one.SetTargets([]Target{{Address: two.Address()}, {Address: one.Address()}})
	up := awaitUp(t, one, "two")
	assert.Equal(t, Hello{
		Name: "two", Incarnation: "two-1", FailureDomain: "fd", Address: two.Address(), Protocol: Protocol,
	}, up.Hello)
	one.SetTargets(nil)
	assert.Equal(t, ReasonUnwanted, awaitDown(t, one, "two").Reason)
	assert.Empty(t, one.Linked())
}

// Guards against a link to a silent node that never ends, and against one that
// is not dialled again.
func TestSilentPeerIsDialledAnew(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	mesh := startMesh(t, Config{Name: "one"})
	mesh.SetTargets([]Target{{Name: "two", Address: listener.Addr().String()}})
	for range 2 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
		(&rawPeer{t: t, conn: conn}).send(rawHello("two"))
		awaitUp(t, mesh, "two")
		assert.Equal(t, ReasonSilent, awaitDown(t, mesh, "two").Reason)
	}
}

// A new incarnation of a node takes over from a link that went silent without
// waiting for three heartbeats.
func TestNewIncarnationReplacesLink(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", HeartbeatInterval: time.Minute})
	dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	second := dialRaw(t, mesh, "two")
	assert.Equal(t, ReasonReplaced, awaitDown(t, mesh, "two").Reason)
	awaitUp(t, mesh, "two")
	second.awaitBeat()
}

// Each malformed input must close the link, be counted, and leave the mesh in
// service.
func TestMalformedFrames(t *testing.T) {
	negativeAge, err := encode(Grants{Origin: "o", Incarnation: "i", Domain: "d", Groups: []GroupGrant{{AgeMillis: -1}}})
	require.NoError(t, err)
	unsentEcho, err := encode(Heartbeat{Sequence: 1, Echo: 1 << 40})
	require.NoError(t, err)
	hello, err := encode(rawHello("two"))
	require.NoError(t, err)
	cases := map[string][]byte{
		"oversized":         {0xff, 0xff, 0xff, 0xff},
		"no-array":          {0, 0, 0, 1, 0x07},
		"empty":             {0, 0, 0, 0},
		"unknown-truncated": {0, 0, 0, 3, 0x92, 0x7f, 0x91},
		"truncated-body":    {0, 0, 0, 3, 0x92, byte(kindHead), 0x93},
		"bytes-after-frame": {0, 0, 0, 5, 0x92, byte(kindBodyRequest), 0x91, 0x01, 0x00},
		"endless-list":      {0, 0, 0, 8, 0x92, byte(kindBody), 0x92, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"negative-age":      negativeAge,
		"unsent-echo":       unsentEcho,
		"second-hello":      hello,
	}
	registry := prometheus.NewRegistry()
	mesh := startMesh(t, Config{Name: "one", Registerer: registry})
	for name, data := range cases {
		raw := dialRaw(t, mesh, name)
		awaitUp(t, mesh, name)
		raw.write(data)
		assert.Equal(t, ReasonMalformed, awaitDown(t, mesh, name).Reason, name)
		raw.awaitClose()
	}
	counted := testutil.ToFloat64(mesh.metrics.closed.WithLabelValues(string(ReasonMalformed)))
	assert.EqualValues(t, len(cases), counted)
	dialRaw(t, mesh, "well-formed")
	awaitUp(t, mesh, "well-formed")
}

// A later release's frame kind must not close the link, or every new kind
// would cut the fleet in two while nodes are replaced.
func TestUnknownKind(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	raw := dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	raw.write([]byte{0, 0, 0, 3, 0x92, 0x7f, 0x90})
	raw.send(BodyRequest{Generation: 7})
	for {
		received, is := (<-mesh.Events()).(Received)
		require.True(t, is, "the link went down")
		if request, is := received.Frame.(BodyRequest); is {
			assert.EqualValues(t, 7, request.Generation)
			break
		}
	}
	assert.EqualValues(t, 1, testutil.ToFloat64(mesh.metrics.received.frames[kindUnknown]))
}

// A connection that does not begin with a hello makes no link.
func TestMalformedHello(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	for _, frame := range []Frame{
		Hello{Name: "two", Incarnation: "1", Protocol: Protocol + 1},
		Hello{Protocol: Protocol},
		Head{Generation: 1},
		Hello{Name: "one", Incarnation: "1", Protocol: Protocol},
	} {
		conn, err := net.Dial("tcp", mesh.Address())
		require.NoError(t, err)
		raw := &rawPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
		raw.send(frame)
		raw.awaitClose()
		conn.Close()
	}
	assert.Empty(t, mesh.Linked())
	assert.Empty(t, mesh.Events())
}

// A paused peer reads nothing: Send must return at once, the link must end,
// and another peer must still receive.
func TestPausedPeer(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", QueueBytes: 1 << 30})
	paused := dialRaw(t, mesh, "paused")
	awaitUp(t, mesh, "paused")
	other := startMesh(t, Config{Name: "other"})
	other.SetTargets([]Target{{Name: "one", Address: mesh.Address()}})
	awaitUp(t, mesh, "other")
	stop := make(chan struct{})
	beating := make(chan struct{})
	go func() {
		defer close(beating)
		data, _ := encode(Heartbeat{Sequence: 1})
		ticker := time.NewTicker(testHeartbeat / 2)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				paused.conn.Write(data)
			}
		}
	}()
	record := make([]byte, 1<<20)
	for index := range 64 {
		mesh.Send("paused", Placement{Domain: string(rune('A' + index)), Record: record})
	}
	assert.Equal(t, ReasonSilent, awaitDown(t, mesh, "paused").Reason)
	close(stop)
	<-beating
	head := Head{Generation: 1}
	require.Eventually(t, func() bool { return mesh.Send("other", head) }, testPatience, time.Millisecond)
	awaitFrame(t, other, head)
}

// More frames than the queue holds must close the link and not lose a frame
// unnoticed.
func TestSlowPeerLosesItsLink(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", QueueBytes: 1 << 20, HeartbeatInterval: time.Minute})
	dialRaw(t, mesh, "slow")
	awaitUp(t, mesh, "slow")
	record := make([]byte, 1<<20)
	for index := range 64 {
		mesh.Send("slow", Placement{Domain: string(rune('A' + index)), Record: record})
	}
	assert.Equal(t, ReasonSlow, awaitDown(t, mesh, "slow").Reason)
}

// A frame's SentAfter is when the echoed heartbeat was sent, on the clock of
// the receiver, and zero before the first echo. Guards against a bound that is
// later than the sending.
func TestSentAfterIsTheEchoedHeartbeat(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	raw := dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	raw.send(Head{Generation: 1})
	assert.True(t, awaitFrame(t, mesh, Head{Generation: 1}).SentAfter.IsZero())

	first := raw.awaitBeat()
	received := time.Now()
	raw.send(Heartbeat{Sequence: 1, Echo: first.Sequence})
	second := raw.awaitBeat()
	assert.EqualValues(t, 1, second.Echo)
	raw.send(Head{Generation: 2})
	bound := awaitFrame(t, mesh, Head{Generation: 2}).SentAfter
	assert.False(t, bound.IsZero())
	assert.False(t, bound.After(received), "bound of the first heartbeat")

	raw.send(Heartbeat{Sequence: 2, Echo: second.Sequence})
	raw.send(Head{Generation: 3})
	later := awaitFrame(t, mesh, Head{Generation: 3}).SentAfter
	assert.True(t, later.After(bound))
	assert.False(t, later.After(time.Now()))
}

// The age of an echo moves SentAfter forward, by a little less than the age. An
// age that is negative or ends in the future closes the link: it would make
// grants look younger than they are.
func TestEchoAge(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		age  time.Duration
		want time.Duration
	}{{0, 0}, {time.Second, 990 * time.Millisecond}, {-1, -1}, {11 * time.Second, -1}} {
		var beats beats
		first := beats.next(now)
		err := beats.echoed(first, test.age, now.Add(10*time.Second))
		if test.want < 0 {
			assert.ErrorIs(t, err, errors.NotValid)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, now.Add(test.want), beats.bound)
		require.NoError(t, beats.echoed(first, 0, now.Add(10*time.Second)))
		assert.Equal(t, now.Add(test.want), beats.bound, "a bound that holds is kept")
	}
}

// Grants that are sent long after the last heartbeat have a bound near the time
// at which they were composed, and never after it. Otherwise a relay of several
// hops adds a heartbeat interval of age at each.
func TestGrantsHaveATightBound(t *testing.T) {
	one := startMesh(t, Config{Name: "one", HeartbeatInterval: time.Minute})
	two := startMesh(t, Config{Name: "two", HeartbeatInterval: time.Minute})
	start := time.Now()
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	awaitUp(t, one, "two")
	awaitUp(t, two, "one")
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for version := uint64(1); ; version++ {
		composed := <-pace.C
		grants := Grants{Origin: "one", Incarnation: "1", Version: version, Domain: "d", Groups: []GroupGrant{}}
		if !one.SendComposed("two", grants, composed) {
			continue
		}
		bound := awaitFrame(t, two, grants).SentAfter
		require.False(t, bound.After(composed))
		if composed.Sub(start) > 2*time.Second {
			assert.Less(t, composed.Sub(bound), time.Second)
			return
		}
	}
}

// Send must not take the time of a frame before the queue does: an echo in
// between would make the frame outdated.
func TestSendIsNeverOutdated(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	queue := mesh.links["two"].queue
	queue.mutex.Lock()
	queue.echoed = time.Now().Add(time.Hour)
	queue.mutex.Unlock()
	assert.True(t, mesh.Send("two", Head{Generation: 1}))
	mesh.Broadcast(Head{Generation: 2}, "")
	assert.False(t, mesh.SendComposed("two", Leaving{Target: "t"}, time.Now()))
	assert.EqualValues(t, 1, testutil.ToFloat64(mesh.metrics.outdated))
}

// Heartbeats carry the generation, which is passed on when it changes.
func TestHeartbeatGeneration(t *testing.T) {
	one := startMesh(t, Config{Name: "one"})
	two := startMesh(t, Config{Name: "two"})
	one.SetGeneration(41)
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	match := func(generation uint64) func(Event) bool {
		return func(event Event) bool {
			received, is := event.(Received)
			if !is {
				return false
			}
			heartbeat, is := received.Frame.(Heartbeat)
			return is && heartbeat.Generation == generation
		}
	}
	awaitEvent(t, two, "generation 41", match(41))
	one.SetGeneration(42)
	awaitEvent(t, two, "generation 42", match(42))
}
