package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testPacket(t require.TestingT, frame Frame) packet {
	data, err := encode(frame)
	require.NoError(t, err)
	return packet{kind: kindOf(frame), subject: subjectOf(frame), data: data}
}

func frames(t require.TestingT, packets []packet) []Frame {
	var decoded []Frame
	for _, packet := range packets {
		frame, err := decode(packet.data[headerBytes:])
		require.NoError(t, err)
		decoded = append(decoded, frame)
	}
	return decoded
}

// Guards against a queue that grows while a peer is slow.
func TestQueueKeepsNewestOfSubject(t *testing.T) {
	now := time.Now()
	queue := newQueue(10, 1<<20)
	queue.put(testPacket(t, Usage{Origin: "a", Incarnation: "1", Version: 1}), now)
	queue.put(testPacket(t, Usage{Origin: "b", Incarnation: "1", Version: 1}), now)
	assert.Equal(t, replaced, queue.put(testPacket(t, Usage{Origin: "a", Incarnation: "1", Version: 2}), now))
	assert.Equal(t, []Frame{
		Usage{Origin: "a", Incarnation: "1", Version: 2},
		Usage{Origin: "b", Incarnation: "1", Version: 1},
	}, frames(t, queue.take()))
	assert.Empty(t, queue.take())
	assert.Zero(t, queue.bytes)
}

// A frame without ages must not be dropped because a heartbeat arrived and was
// echoed between the call of Send and the queue: a lost configuration head or
// leaving target would go unnoticed.
func TestFrameWithoutAgesIsNotOutdated(t *testing.T) {
	now := time.Now()
	queue := newQueue(10, 1<<20)
	queue.receive(1, now)
	queue.putHeartbeat(Heartbeat{}, now.Add(time.Second))
	assert.Equal(t, outdated, queue.put(testPacket(t, Head{Generation: 1}), now.Add(time.Second-1)))
	assert.Equal(t, queued, queue.put(testPacket(t, Head{Generation: 2}), time.Time{}))
	assert.Equal(t, replaced, queue.put(testPacket(t, Head{Generation: 3}), time.Time{}))
	assert.Equal(t, Head{Generation: 3}, frames(t, queue.take())[1])
}

// A heartbeat that arrived after a frame was composed must not be echoed in
// front of it, or the frame is dropped.
func TestNoFreshEchoForEarlierFrame(t *testing.T) {
	now := time.Now()
	queue := newQueue(10, 1<<20)
	assert.False(t, queue.mayEcho(now), "nothing to echo")
	queue.receive(1, now)
	queue.putHeartbeat(Heartbeat{}, time.Time{})
	queue.receive(2, now.Add(time.Second))
	composed := now.Add(time.Second / 2)
	assert.False(t, queue.mayEcho(composed))
	assert.Equal(t, queued, queue.put(testPacket(t, Head{Generation: 1}), composed))
	assert.True(t, queue.mayEcho(now.Add(time.Second)))
}

// For any order of arrivals, heartbeats and frames, also with a process that
// was paused between composing a frame and queueing it, no heartbeat in front
// of a frame vouches for a time after the frame was composed.
// Otherwise the receiver would take the ages in the frame for younger than
// they are, and a grant for longer than it is valid.
func TestQueueNeverEchoesAheadOfFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		queue := newQueue(1000, 1<<30)
		arrivals := map[uint64]int{}
		composedAt := map[uint64]int{}
		sequence, generation := uint64(0), uint64(0)
		vouched := 0
		verify := func() {
			for _, frame := range frames(t, queue.take()) {
				switch frame := frame.(type) {
				case Heartbeat:
					if frame.Echo > 0 {
						age := time.Duration(frame.EchoAgeMicros) * time.Microsecond
						vouched = max(vouched, arrivals[frame.Echo]+int(age/time.Second))
					}
				case Placement:
					if vouched > composedAt[frame.Revision] {
						t.Fatalf("frame composed at %d behind an echo that vouches for %d",
							composedAt[frame.Revision], vouched)
					}
				}
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				sequence++
				arrivals[sequence] = step
				queue.receive(sequence, now)
			case 1:
				queue.putHeartbeat(Heartbeat{}, time.Time{})
			case 2:
				composed := rapid.IntRange(max(0, step-5), step).Draw(t, "vouched")
				if at := start.Add(time.Duration(composed) * time.Second); queue.mayEcho(at) {
					queue.putHeartbeat(Heartbeat{}, at)
				}
			case 3:
				generation++
				composed := rapid.IntRange(max(0, step-5), step).Draw(t, "composed")
				composedAt[generation] = composed
				domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
				frame := testPacket(t, Placement{Domain: domain, Revision: generation})
				queue.put(frame, start.Add(time.Duration(composed)*time.Second))
			case 4:
				verify()
			}
		}
		verify()
	})
}

// Every kind survives the wire.
func TestCodecRoundTrip(t *testing.T) {
	for _, frame := range []Frame{
		Hello{Name: "n", Incarnation: "i", FailureDomain: "f", Address: "127.0.0.1:1", Protocol: 1},
		Heartbeat{Sequence: 1 << 40, Echo: 3, Generation: 9, EchoAgeMicros: 70},
		Head{Generation: 1, Change: "c", Digest: "d"},
		BodyRequest{Generation: 4},
		Body{Head: Head{Generation: 1, Change: "c", Digest: "d"}, Data: []byte("body")},
		Placement{Domain: "d", Revision: 5, Record: []byte{1, 2}},
		Grants{Origin: "o", Incarnation: "i", Version: 6, Fence: 7, Domain: "d", Groups: []GroupGrant{
			{Group: "g", Epoch: 8, AgeMillis: 9, ValidMillis: -1, Running: 10, Queued: 11, FreeCache: 12},
		}},
		Usage{Origin: "o", Incarnation: "i", Version: 6, Workspaces: []WorkspaceUsage{{Workspace: "w", InFlight: 1, Queued: 2}}},
		Leaving{Target: "t", Incarnation: "i", Author: "a", Reason: "r"},
	} {
		data, err := encode(frame)
		require.NoError(t, err)
		decoded, err := decode(data[headerBytes:])
		require.NoError(t, err)
		assert.Equal(t, frame, decoded)
	}
}

// No input may panic the decoder or make it accept a frame that fails its own
// checks.
func FuzzDecode(f *testing.F) {
	for _, frame := range []Frame{
		Hello{Name: "n", Incarnation: "i"},
		Grants{Origin: "o", Incarnation: "i", Domain: "d", Groups: []GroupGrant{{Group: "g"}}},
		Body{Data: []byte("body")},
	} {
		data, err := encode(frame)
		require.NoError(f, err)
		f.Add(data[headerBytes:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decode(data)
		if err == nil {
			require.NoError(t, check(frame))
		}
	})
}
