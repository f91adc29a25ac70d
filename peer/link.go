package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// silentHeartbeats is the number of heartbeat intervals after which a link
	// is closed when nothing arrives or nothing can be written.
	silentHeartbeats = 3

	// writeChunkBytes bounds the data that is written under one deadline. With
	// one deadline for a whole large frame, a peer that reads slowly but
	// steadily would count as silent.
	writeChunkBytes = 64 << 10

	// keepBufferBytes is the size of the largest read buffer that is kept for
	// the next frame.
	keepBufferBytes = 64 << 10
)

// A link is a connection on which hellos have been exchanged.
type link struct {
	mesh    *Mesh
	conn    net.Conn
	reader  *bufio.Reader
	hello   Hello
	dialled bool
	queue   *queue

	// ended is closed once LinkDown has been emitted and the link is
	// unregistered.
	ended chan struct{}

	mutex  sync.Mutex
	echoes echoTracker
	reason Reason
}

// name returns the name of the node at the other end.
func (link *link) name() string { return link.hello.Name }

// close closes the connection. The reason of the first call is recorded.
func (link *link) close(reason Reason) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.reason == "" {
		link.reason = reason
	}
	link.conn.Close()
}

func (link *link) closeReason() Reason {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.reason
}

// serve reads and writes frames until the link ends.
func (link *link) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { link.close(link.mesh.stopReason()) })
	defer stop()
	written := make(chan error, 1)
	go func() { written <- link.write(ctx) }()
	link.close(reasonOf(link.read(ctx)))
	cancel()
	<-written
}

// send puts a frame into the queue and reports whether it was queued. When the
// queue exceeds its limits, the link is closed instead of dropping a frame: a
// dropped frame would go unnoticed, whereas a new link starts with the complete
// state.
//
// Grants are preceded by a heartbeat with a current echo, because the receiver
// derives their ages from the time of the last echo. Without it, each hop could
// add up to one heartbeat interval to the age, and a relay over several hops
// more than the time for which a grant is valid.
func (link *link) send(packet packet, composed time.Time) bool {
	if packet.kind == kindGrants && link.queue.canAdvanceEcho(composed) {
		link.queueHeartbeat(composed)
	}
	switch link.queue.put(packet, composed) {
	case replaced:
		link.mesh.metrics.replaced.Inc()
	case outdated:
		link.mesh.metrics.outdated.Inc()
		return false
	case overflowed:
		link.close(ReasonSlow)
		return false
	}
	return true
}

// write sends heartbeats and queued frames until the link fails or the context
// ends.
func (link *link) write(ctx context.Context) error {
	heartbeats := link.mesh.timer.Every("heartbeat", link.mesh.config.HeartbeatInterval, 0)
	defer heartbeats.Cancel()
	link.queueHeartbeat(time.Time{})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeats.C():
			link.queueHeartbeat(time.Time{})
		case <-link.queue.wake:
		}
		if err := link.flush(); err != nil {
			link.close(reasonOf(err))
			return err
		}
	}
}

// queueHeartbeat queues a heartbeat. If composed is not zero, it is the time at
// which the packet to be queued next was composed.
func (link *link) queueHeartbeat(composed time.Time) {
	link.mutex.Lock()
	sequence := link.echoes.next(link.mesh.timer.Now())
	link.mutex.Unlock()
	link.queue.putHeartbeat(Heartbeat{
		Sequence:   sequence,
		Generation: link.mesh.generation.Load(),
	}, composed)
}

// flush writes all queued packets.
func (link *link) flush() error {
	packets := link.queue.take()
	var data []byte
	for _, packet := range packets {
		data = append(data, packet.data...)
		if len(data) < writeChunkBytes {
			continue
		}
		if err := link.writeAll(data); err != nil {
			return err
		}
		data = data[:0]
	}
	if err := link.writeAll(data); err != nil {
		return err
	}
	for _, packet := range packets {
		link.mesh.metrics.sent.count(packet.kind, len(packet.data))
	}
	return nil
}

// writeAll writes data in chunks, each under its own deadline.
func (link *link) writeAll(data []byte) error {
	for len(data) > 0 {
		chunk := data[:min(len(data), writeChunkBytes)]
		if err := link.conn.SetWriteDeadline(link.mesh.silenceDeadline()); err != nil {
			return err
		}
		if _, err := link.conn.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// read emits the received frames until the link fails. The time that this node
// spends on emitting them does not count toward the read timeout.
func (link *link) read(ctx context.Context) error {
	var buffer []byte
	generation := uint64(0)
	for {
		data, err := readFrame(link.reader, buffer, link.mesh.config.MaxFrameBytes)
		if err != nil {
			return err
		}
		frame, err := decode(data)
		if err != nil {
			return err
		}
		link.mesh.metrics.received.count(kindOf(frame), len(data)+headerBytes)
		if cap(data) <= keepBufferBytes {
			buffer = data
		}
		if heartbeat, isHeartbeat := frame.(Heartbeat); isHeartbeat {
			if err := link.receiveHeartbeat(heartbeat); err != nil {
				return err
			}
			if heartbeat.Generation == generation {
				continue
			}
			generation = heartbeat.Generation
		}
		switch frame.(type) {
		case Hello:
			return errors.NotValidf("second hello frame on a link")
		case unrecognized:
			continue
		}
		link.mesh.emit(ctx, Received{From: link.name(), Frame: frame, SentAfter: link.sentAfter()})
	}
}

// receiveHeartbeat records the arrival of a heartbeat and applies its echo.
func (link *link) receiveHeartbeat(heartbeat Heartbeat) error {
	now := link.mesh.timer.Now()
	link.queue.receive(heartbeat.Sequence, now)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.echoes.applyEcho(heartbeat.Echo, time.Duration(heartbeat.EchoAgeMicros)*time.Microsecond, now)
}

// sentAfter returns the value of Received.SentAfter for the next frame.
func (link *link) sentAfter() time.Time {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.echoes.bound
}

// reasonOf returns the reason for closing a link whose read or write returned
// err.
func reasonOf(err error) Reason {
	var failure net.Error
	switch {
	case errors.Is(err, errors.NotValid):
		return ReasonMalformed
	case errors.As(err, &failure) && failure.Timeout():
		return ReasonSilent
	default:
		return ReasonClosed
	}
}

// A readTimeoutConn fails a read when no data arrives within silentHeartbeats
// heartbeat intervals of the start of the read.
type readTimeoutConn struct {
	net.Conn
	mesh *Mesh
}

func (conn *readTimeoutConn) Read(data []byte) (int, error) {
	if err := conn.SetReadDeadline(conn.mesh.silenceDeadline()); err != nil {
		return 0, err
	}
	return conn.Conn.Read(data)
}
