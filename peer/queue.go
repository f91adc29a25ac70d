package peer

import (
	"container/list"
	"sync"
	"time"
)

// packet is an encoded frame.
type packet struct {
	kind    kind
	subject string
	data    []byte
}

// queueResult is what became of a packet that was put into a queue.
type queueResult int

const (
	queued queueResult = iota + 1
	replaced
	outdated
	overflowed
)

// queue holds the packets that wait for one peer.
//
// Packets leave in the order in which they were put, because a heartbeat's
// echo vouches for every packet behind it: the receiver takes such a packet to
// have been composed no earlier than the echo's age after the echoed heartbeat
// arrived here. Two rules follow. A packet may take the place of an older one of
// its subject, but a heartbeat only moves to the end, or its newer echo would
// vouch for packets composed before. And a packet composed before the time that
// the echo vouches for is not put behind it.
type queue struct {
	maxPackets int
	maxBytes   int
	wake       chan struct{}

	mutex    sync.Mutex
	packets  *list.List
	subjects map[string]*list.Element
	bytes    int

	// received is the highest heartbeat sequence of the peer and when it
	// arrived; echoed is the latest time that an echo vouched for.
	received   uint64
	receivedAt time.Time
	echoed     time.Time
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

// receive notes the arrival of a heartbeat of the peer.
func (queue *queue) receive(sequence uint64, now time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if sequence > queue.received {
		queue.received = sequence
		queue.receivedAt = now
	}
}

// put adds a packet that was composed at a time. The zero time stands for a
// packet without ages, which is composed by being put and never outdated.
func (queue *queue) put(packet packet, composed time.Time) queueResult {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	older, found := queue.subjects[packet.subject]
	if found && composed.IsZero() {
		composed = older.Value.(*waiting).composed
	}
	if found {
		return queue.replace(older.Value.(*waiting), packet, composed)
	}
	if composed.IsZero() {
		composed = queue.echoed
	}
	if composed.Before(queue.echoed) {
		return outdated
	}
	queue.add(packet, composed)
	return queue.result(queued)
}

// putHeartbeat adds a heartbeat with the echo as of now. It replaces one that
// is still queued. With the time at which the next packet was composed, the echo
// vouches for that time instead of the arrival of the echoed heartbeat, which
// may be an interval earlier.
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
	vouched := queue.receivedAt.Add(time.Duration(heartbeat.EchoAgeMicros) * time.Microsecond)
	if vouched.After(queue.echoed) {
		queue.echoed = vouched
	}
	queue.add(packet{kind: kindHeartbeat, subject: heartbeatSubject, data: data}, queue.echoed)
	return queue.result(queued)
}

// mayEcho reports whether an echo can vouch for a packet composed at a time
// better than those before.
func (queue *queue) mayEcho(composed time.Time) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.received > 0 && composed.After(queue.echoed) && !composed.Before(queue.receivedAt)
}

// take removes every packet.
func (queue *queue) take() []packet {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	packets := make([]packet, 0, queue.packets.Len())
	for element := queue.packets.Front(); element != nil; element = element.Next() {
		packets = append(packets, element.Value.(*waiting).packet)
	}
	queue.packets.Init()
	clear(queue.subjects)
	queue.bytes = 0
	return packets
}

// waiting is the value of the list's elements.
type waiting struct {
	packet
	composed time.Time
}

// replace keeps the place of the older packet, which the newer one may take
// only when it was not composed before it.
func (queue *queue) replace(older *waiting, newer packet, composed time.Time) queueResult {
	if composed.Before(older.composed) {
		return outdated
	}
	queue.bytes += len(newer.data) - len(older.data)
	older.packet = newer
	older.composed = composed
	return queue.result(replaced)
}

func (queue *queue) add(packet packet, composed time.Time) {
	queue.subjects[packet.subject] = queue.packets.PushBack(&waiting{packet, composed})
	queue.bytes += len(packet.data)
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

func (queue *queue) drop(element *list.Element) {
	packet := queue.packets.Remove(element).(*waiting).packet
	delete(queue.subjects, packet.subject)
	queue.bytes -= len(packet.data)
}

func (queue *queue) result(result queueResult) queueResult {
	if queue.packets.Len() > queue.maxPackets || queue.bytes > queue.maxBytes {
		return overflowed
	}
	return result
}
