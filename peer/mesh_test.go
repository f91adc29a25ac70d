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
	testTimeout   = 20 * time.Second
)

func TestMain(m *testing.M) {
	seed.SetDefault()
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

// awaitEvent returns the first event that matches and discards those before it.
func awaitEvent(t *testing.T, mesh *Mesh, what string, match func(Event) bool) Event {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case event := <-mesh.Events():
			if match(event) {
				return event
			}
		case <-timeout:
			require.FailNow(t, "no event", what)
		}
	}
}

func awaitUp(t *testing.T, mesh *Mesh, name string) LinkUp {
	t.Helper()
	return awaitEvent(t, mesh, "link up to "+name, func(event Event) bool {
		up, isUp := event.(LinkUp)
		return isUp && up.Hello.Name == name
	}).(LinkUp)
}

func awaitDown(t *testing.T, mesh *Mesh, name string) LinkDown {
	t.Helper()
	return awaitEvent(t, mesh, "link down to "+name, func(event Event) bool {
		down, isDown := event.(LinkDown)
		return isDown && down.Name == name
	}).(LinkDown)
}

func awaitFrame(t *testing.T, mesh *Mesh, want Frame) Received {
	t.Helper()
	return awaitEvent(t, mesh, "frame", func(event Event) bool {
		received, isReceived := event.(Received)
		return isReceived && assert.ObjectsAreEqual(want, received.Frame)
	}).(Received)
}

// A rawPeer is a connection to a mesh on which the test writes and reads frames
// itself.
type rawPeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// rawHello returns the hello of a node's first incarnation.
func rawHello(name string) Hello {
	return Hello{Name: name, Incarnation: name + "-1", Protocol: Protocol}
}

// dialRaw dials a mesh and sends the hello of the named node.
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

// awaitHeartbeat returns the next heartbeat.
func (raw *rawPeer) awaitHeartbeat() Heartbeat {
	raw.t.Helper()
	require.NoError(raw.t, raw.conn.SetReadDeadline(time.Now().Add(testTimeout)))
	for {
		data, err := readFrame(raw.reader, nil, DefaultMaxFrameBytes)
		require.NoError(raw.t, err)
		frame, err := decode(data)
		require.NoError(raw.t, err)
		if heartbeat, isHeartbeat := frame.(Heartbeat); isHeartbeat {
			return heartbeat
		}
	}
}

// awaitClose reads until the mesh closes the connection.
func (raw *rawPeer) awaitClose() {
	raw.t.Helper()
	require.NoError(raw.t, raw.conn.SetReadDeadline(time.Now().Add(testTimeout)))
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

// Guards against two nodes that dial each other and keep replacing their link:
// exactly one link must remain and carry frames in both directions.
func TestMutualDialLeavesOneLink(t *testing.T) {
	one := startMesh(t, Config{Name: "one"})
	two := startMesh(t, Config{Name: "two"})
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	two.SetTargets([]Target{{Name: "one", Address: one.Address()}})
	awaitUp(t, one, "two")
	awaitUp(t, two, "one")
	head := Head{Generation: 7, Change: "change", Digest: "digest"}
	require.Eventually(t, func() bool { return one.Send("two", head) }, testTimeout, time.Millisecond)
	assert.Equal(t, "one", awaitFrame(t, two, head).From)
	leaving := Leaving{Target: "vm-1", Incarnation: "3", Author: "operator", Reason: "disk"}
	require.Eventually(t, func() bool { return two.Send("one", leaving) }, testTimeout, time.Millisecond)
	awaitFrame(t, one, leaving)
	assert.Equal(t, []string{"two"}, one.Linked())
	assert.False(t, one.Send("three", head))
}

// When both nodes dialled, both must keep the connection that the node with the
// lesser name dialled. Guards against nodes that each close the connection that
// the other one keeps.
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
			dialled.awaitHeartbeat()
			assert.Empty(t, mesh.Events())
			continue
		}
		assert.Equal(t, ReasonReplaced, awaitDown(t, mesh, test.raw).Reason)
		awaitUp(t, mesh, test.raw)
		dialled.awaitClose()
		accepted.awaitHeartbeat()
	}
}

// Guards against a seed whose link is not registered under the name in its
// hello, and against a node that links to itself as its own seed.
func TestSeedIsLinkedUnderNameOfHello(t *testing.T) {
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

// Guards against a link that stays up although its peer sends nothing, and
// against a peer that is not dialled again after its link was closed.
func TestSilentPeerIsDialledAgain(t *testing.T) {
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

// A second connection that the same node dials must replace the link at once,
// without waiting for three heartbeat intervals. Guards against a restarted node
// that cannot link while its old connection has not timed out. Both connections
// carry the same incarnation, so the comparison of incarnations is not covered.
func TestSecondDialReplacesLink(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", HeartbeatInterval: time.Minute})
	dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	second := dialRaw(t, mesh, "two")
	assert.Equal(t, ReasonReplaced, awaitDown(t, mesh, "two").Reason)
	awaitUp(t, mesh, "two")
	second.awaitHeartbeat()
}

// Guards against malformed input that does not close the link or is not counted,
// and against a mesh that accepts no connections after it.
func TestMalformedFrameClosesLink(t *testing.T) {
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

// Guards against an upgrade that partitions the fleet: a frame of a kind that
// only a later release defines must not close the link.
func TestUnknownKindKeepsLink(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	raw := dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	raw.write([]byte{0, 0, 0, 3, 0x92, 0x7f, 0x90})
	raw.send(BodyRequest{Generation: 7})
	for {
		received, isReceived := (<-mesh.Events()).(Received)
		require.True(t, isReceived, "the link went down")
		if request, isRequest := received.Frame.(BodyRequest); isRequest {
			assert.EqualValues(t, 7, request.Generation)
			break
		}
	}
	assert.EqualValues(t, 1, testutil.ToFloat64(mesh.metrics.received.frames[kindUnknown]))
}

// Guards against a link to a peer that does not start with a hello, or whose
// hello has another protocol version, no name or the name of this node.
func TestInvalidHelloMakesNoLink(t *testing.T) {
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

// Guards against a peer that has stopped reading and blocks the mesh: Send must
// return at once, the link must be closed, and another peer must still receive
// frames.
func TestPausedPeerDoesNotBlockMesh(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", QueueBytes: 1 << 30})
	paused := dialRaw(t, mesh, "paused")
	awaitUp(t, mesh, "paused")
	other := startMesh(t, Config{Name: "other"})
	other.SetTargets([]Target{{Name: "one", Address: mesh.Address()}})
	awaitUp(t, mesh, "other")
	stop := make(chan struct{})
	heartbeatsEnded := make(chan struct{})
	go func() {
		defer close(heartbeatsEnded)
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
	<-heartbeatsEnded
	head := Head{Generation: 1}
	require.Eventually(t, func() bool { return mesh.Send("other", head) }, testTimeout, time.Millisecond)
	awaitFrame(t, other, head)
}

// Guards against a frame that is dropped unnoticed: when the queue exceeds its
// limits, the link must be closed.
func TestQueueOverflowClosesLink(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one", QueueBytes: 1 << 20, HeartbeatInterval: time.Minute})
	dialRaw(t, mesh, "slow")
	awaitUp(t, mesh, "slow")
	record := make([]byte, 1<<20)
	for index := range 64 {
		mesh.Send("slow", Placement{Domain: string(rune('A' + index)), Record: record})
	}
	assert.Equal(t, ReasonSlow, awaitDown(t, mesh, "slow").Reason)
}

// A frame's SentAfter is the time at which the receiver sent the echoed
// heartbeat, and zero before the first echo. Guards against a SentAfter that is
// later than the sending of the frame.
func TestSentAfterIsTheEchoedHeartbeat(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	raw := dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	raw.send(Head{Generation: 1})
	assert.True(t, awaitFrame(t, mesh, Head{Generation: 1}).SentAfter.IsZero())

	first := raw.awaitHeartbeat()
	received := time.Now()
	raw.send(Heartbeat{Sequence: 1, Echo: first.Sequence})
	second := raw.awaitHeartbeat()
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

// Guards against an echo age that is negative or would move the bound into the
// future and is accepted: the ages of grants would then be computed too low. A
// valid age advances the bound by slightly less than the age.
func TestEchoAgeAdvancesBound(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		age  time.Duration
		want time.Duration
	}{{0, 0}, {time.Second, 990 * time.Millisecond}, {-1, -1}, {11 * time.Second, -1}} {
		var tracker echoTracker
		first := tracker.next(now)
		err := tracker.applyEcho(first, test.age, now.Add(10*time.Second))
		if test.want < 0 {
			assert.ErrorIs(t, err, errors.NotValid)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, now.Add(test.want), tracker.bound)
		require.NoError(t, tracker.applyEcho(first, 0, now.Add(10*time.Second)))
		assert.Equal(t, now.Add(test.want), tracker.bound, "a later bound is kept")
	}
}

// Guards against a relay of which each hop adds up to one heartbeat interval to
// the age of grants: the SentAfter of grants that are sent long after the last
// heartbeat must be close to the time at which they were composed, and never
// after it.
func TestGrantsHaveATightBound(t *testing.T) {
	one := startMesh(t, Config{Name: "one", HeartbeatInterval: time.Minute})
	two := startMesh(t, Config{Name: "two", HeartbeatInterval: time.Minute})
	start := time.Now()
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	awaitUp(t, one, "two")
	awaitUp(t, two, "one")
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for version := uint64(1); ; version++ {
		composed := <-ticker.C
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

// Guards against a Send that records the time of a frame before the frame is
// queued: an echo between the two would make the frame outdated, and it would be
// dropped.
func TestSendIsNeverOutdated(t *testing.T) {
	mesh := startMesh(t, Config{Name: "one"})
	dialRaw(t, mesh, "two")
	awaitUp(t, mesh, "two")
	queue := mesh.links["two"].queue
	queue.mutex.Lock()
	queue.echoTime = time.Now().Add(time.Hour)
	queue.mutex.Unlock()
	assert.True(t, mesh.Send("two", Head{Generation: 1}))
	mesh.Broadcast(Head{Generation: 2}, "")
	assert.False(t, mesh.SendComposed("two", Leaving{Target: "t"}, time.Now()))
	assert.EqualValues(t, 1, testutil.ToFloat64(mesh.metrics.outdated))
}

// Guards against a changed generation in the heartbeats of a peer that is not
// reported as an event.
func TestHeartbeatWithNewGenerationIsReported(t *testing.T) {
	one := startMesh(t, Config{Name: "one"})
	two := startMesh(t, Config{Name: "two"})
	one.SetGeneration(41)
	one.SetTargets([]Target{{Name: "two", Address: two.Address()}})
	match := func(generation uint64) func(Event) bool {
		return func(event Event) bool {
			received, isReceived := event.(Received)
			if !isReceived {
				return false
			}
			heartbeat, isHeartbeat := received.Frame.(Heartbeat)
			return isHeartbeat && heartbeat.Generation == generation
		}
	}
	awaitEvent(t, two, "generation 41", match(41))
	one.SetGeneration(42)
	awaitEvent(t, two, "generation 42", match(42))
}
