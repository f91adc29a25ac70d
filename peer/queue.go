package peer

import (
	"container/list"
	"sync"
	"time"
)

// A packet is an encoded frame.
type packet struct {
	kind    kind
	subject string
	data    []byte
}

// queueResult is the result of putting a packet into a queue.
type queueResult int

const (
	// queued means that the packet was added.
	queued queueResult = iota + 1

	// replaced means that the packet replaced a queued one of its subject.
	replaced

	// outdated means that the packet was dropped because it was composed before
	// the echo time of a heartbeat in front of it, or before the queued packet
	// of its subject.
	outdated

	// overflowed means that the queue exceeds its limits.
	overflowed
)

// A queue holds the packets to be sent to one peer.
//
// The echo time of a heartbeat is the arrival of the echoed heartbeat at this
// node plus the echo's age. The receiver assumes that every packet behind a
// heartbeat was composed at or after its echo time. The queue therefore keeps
// the order in which packets were put and follows two rules. A packet may
// replace an older one of its subject in place, but a newer heartbeat moves to
// the end, because its later echo time could be after the composing of packets
// that are already queued. And a packet that was composed before the echo time
// of a heartbeat is not put behind that heartbeat.
type queue struct {
	maxPackets int
	maxBytes   int
	wake       chan struct{}

	mutex    sync.Mutex
	packets  *list.List
	subjects map[string]*list.Element
	bytes    int

	// received is the highest heartbeat sequence of the peer and receivedAt the
	// time of its arrival; echoTime is the latest echo time of a heartbeat that
	// was put into the queue.
	received   uint64
	receivedAt time.Time
	echoTime   time.Time
}

func newQueue(maxPackets, maxBytes int) *queue {
	return &queue{
		maxPackets: maxPackets,
		maxBytes:   maxBytes,
		wake:       make(chan struct{}, 1),
		packets:    list.New(),
		subjects:   make(map[string]*list.Element),
	}
}

// receive records the arrival of a heartbeat from the peer.
func (queue *queue) receive(sequence uint64, now time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if sequence > queue.received {
		queue.received = sequence
		queue.receivedAt = now
	}
}

// put adds a packet that was composed at the given time. A zero time means that
// the packet contains no ages; it counts as composed now and is never outdated.
func (queue *queue) put(packet packet, composed time.Time) queueResult {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	older, found := queue.subjects[packet.subject]
	if found && composed.IsZero() {
		composed = older.Value.(*queuedPacket).composed
	}
	if found {
		return queue.replace(older.Value.(*queuedPacket), packet, composed)
	}
	if composed.IsZero() {
		composed = queue.echoTime
	}
	if composed.Before(queue.echoTime) {
		return outdated
	}
	queue.add(packet, composed)
	return queue.result(queued)
}

// putHeartbeat sets the echo of a heartbeat, removes a heartbeat that is still
// queued, and adds the new one at the end. If composed is not zero, it is the
// time at which the next packet was composed. The age of the echo then makes
// that time the echo time, instead of the arrival of the echoed heartbeat, which
// may be one heartbeat interval earlier.
func (queue *queue) putHeartbeat(heartbeat Heartbeat, composed time.Time) queueResult {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	heartbeat.Echo = queue.received
	if queue.received > 0 && composed.After(queue.receivedAt) {
		heartbeat.EchoAgeMicros = composed.Sub(queue.receivedAt).Microseconds()
	}
	data, err := encode(heartbeat)
	if err != nil {
		return outdated
	}
	if older, found := queue.subjects[heartbeatSubject]; found {
		queue.drop(older)
	}
	echoTime := queue.receivedAt.Add(time.Duration(heartbeat.EchoAgeMicros) * time.Microsecond)
	if echoTime.After(queue.echoTime) {
		queue.echoTime = echoTime
	}
	queue.add(packet{kind: kindHeartbeat, subject: heartbeatSubject, data: data}, queue.echoTime)
	return queue.result(queued)
}

// canAdvanceEcho reports whether a new heartbeat in front of a packet composed
// at the given time would have a later echo time than those before it, without
// making the packet outdated.
func (queue *queue) canAdvanceEcho(composed time.Time) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.received > 0 && composed.After(queue.echoTime) && !composed.Before(queue.receivedAt)
}

// take removes all packets and returns them in order.
func (queue *queue) take() []packet {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	packets := make([]packet, 0, queue.packets.Len())
	for element := queue.packets.Front(); element != nil; element = element.Next() {
		packets = append(packets, element.Value.(*queuedPacket).packet)
	}
	queue.packets.Init()
	clear(queue.subjects)
	queue.bytes = 0
	return packets
}

// A queuedPacket is the value of an element of queue.packets.
type queuedPacket struct {
	packet
	composed time.Time
}

// replace puts the newer packet in the place of the older one, unless it was
// composed before the older one.
func (queue *queue) replace(older *queuedPacket, newer packet, composed time.Time) queueResult {
	if composed.Before(older.composed) {
		return outdated
	}
	queue.bytes += len(newer.data) - len(older.data)
	older.packet = newer
	older.composed = composed
	return queue.result(replaced)
}

// add appends a packet and wakes the writer.
func (queue *queue) add(packet packet, composed time.Time) {
	queue.subjects[packet.subject] = queue.packets.PushBack(&queuedPacket{packet, composed})
	queue.bytes += len(packet.data)
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

func (queue *queue) drop(element *list.Element) {
	packet := queue.packets.Remove(element).(*queuedPacket).packet
	delete(queue.subjects, packet.subject)
	queue.bytes -= len(packet.data)
}

// result returns the given result, or overflowed when the queue exceeds its
// limits.
func (queue *queue) result(result queueResult) queueResult {
	if queue.packets.Len() > queue.maxPackets || queue.bytes > queue.maxBytes {
		return overflowed
	}
	return result
}
