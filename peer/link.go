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
	// silentHeartbeats is how many heartbeat intervals a link may be silent.
	silentHeartbeats = 3

	// writeChunkBytes is how much is written under one deadline, so that a
	// large frame is not taken for a silent peer.
	writeChunkBytes = 64 << 10

	// keepBufferBytes is the largest read buffer kept between frames.
	keepBufferBytes = 64 << 10
)

// link is a connection after the exchange of hellos.
type link struct {
	mesh    *Mesh
	conn    net.Conn
	reader  *bufio.Reader
	hello   Hello
	dialled bool
	queue   *queue

	// ended is closed after LinkDown was emitted.
	ended chan struct{}

	mutex  sync.Mutex
	beats  beats
	reason Reason
}

// name returns the name of the node at the other end.
func (link *link) name() string { return link.hello.Name }

// close ends the link; the first reason counts.
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

// serve reads and writes until the link ends.
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

// send puts a frame into the queue. A peer that is too slow for the bounds of
// the queue loses its link, because a lost frame would go unnoticed while a
// new link begins with the complete state.
//
// Grants are sent behind a fresh echo: the receiver counts their ages from the
// heartbeat echoed last and the echo's age. Without them each hop would add up
// to a heartbeat interval, and a relay of several hops more than a grant's bound.
//
// It reports whether the frame was queued.
func (link *link) send(packet packet, composed time.Time) bool {
	if packet.kind == kindGrants && link.queue.mayEcho(composed) {
		link.beat(composed)
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

func (link *link) write(ctx context.Context) error {
	heartbeats := link.mesh.timer.Every("heartbeat", link.mesh.config.HeartbeatInterval, 0)
	defer heartbeats.Cancel()
	link.beat(time.Time{})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeats.C():
			link.beat(time.Time{})
		case <-link.queue.wake:
		}
		if err := link.flush(); err != nil {
			link.close(reasonOf(err))
			return err
		}
	}
}

// beat queues a heartbeat, in front of a packet that was composed at a time
// unless it is zero.
func (link *link) beat(composed time.Time) {
	link.mutex.Lock()
	sequence := link.beats.next(link.mesh.timer.Now())
	link.mutex.Unlock()
	link.queue.putHeartbeat(Heartbeat{
		Sequence:   sequence,
		Generation: link.mesh.generation.Load(),
	}, composed)
}

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

func (link *link) writeAll(data []byte) error {
	for len(data) > 0 {
		chunk := data[:min(len(data), writeChunkBytes)]
		if err := link.conn.SetWriteDeadline(link.mesh.silentAt()); err != nil {
			return err
		}
		if _, err := link.conn.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// read delivers frames until the link fails. Time that this node spends on
// delivering them does not count as silence.
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
		if heartbeat, is := frame.(Heartbeat); is {
			if err := link.receiveBeat(heartbeat); err != nil {
				return err
			}
			if heartbeat.Generation == generation {
				continue
			}
			generation = heartbeat.Generation
		}
		switch frame.(type) {
		case Hello:
			return errors.NotValidf("second hello")
		case unrecognized:
			continue
		}
		link.mesh.emit(ctx, Received{From: link.name(), Frame: frame, SentAfter: link.sentAfter()})
	}
}

func (link *link) receiveBeat(heartbeat Heartbeat) error {
	now := link.mesh.timer.Now()
	link.queue.receive(heartbeat.Sequence, now)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.beats.echoed(heartbeat.Echo, time.Duration(heartbeat.EchoAgeMicros)*time.Microsecond, now)
}

func (link *link) sentAfter() time.Time {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.beats.bound
}

// reasonOf returns why a link with this error is closed.
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

// silenceConn fails a read when nothing arrives for three heartbeats. The
// deadline starts with the read.
type silenceConn struct {
	net.Conn
	mesh *Mesh
}

func (conn *silenceConn) Read(data []byte) (int, error) {
	if err := conn.SetReadDeadline(conn.mesh.silentAt()); err != nil {
		return 0, err
	}
	return conn.Conn.Read(data)
}
