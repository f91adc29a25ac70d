package peer

import (
	"time"

	"github.com/juju/errors"
)

// maxPendingEchoes bounds the sent heartbeats that are recorded until the peer
// echoes them, 16 s at the default interval. While the peer echoes none of
// these, the link keeps its last bound.
const maxPendingEchoes = 64

// An echoTracker records the heartbeats that this node sent on a link. From the
// echoes of the peer it derives a lower bound of the time at which the frames
// that arrive on the link were composed.
type echoTracker struct {
	// last is the sequence of the last heartbeat that was sent.
	last uint64

	// pending lists the heartbeats that the peer has not echoed yet.
	pending []sentHeartbeat

	// echo is the sequence of the last echoed heartbeat and base the time at
	// which this node sent it.
	echo uint64
	base time.Time

	// bound is a lower bound of the time at which the next frame to arrive on
	// the link was composed.
	bound time.Time
}

// driftDivisor determines the part of an echo's age, one percent, that is
// subtracted from it. The peer measured the age on its own clock, which may run
// faster than the clock of this node.
const driftDivisor = 100

type sentHeartbeat struct {
	sequence uint64
	sent     time.Time
}

// next records a heartbeat that is sent at now or later and returns its
// sequence.
func (tracker *echoTracker) next(now time.Time) uint64 {
	tracker.last++
	if len(tracker.pending) == maxPendingEchoes {
		tracker.pending = tracker.pending[1:]
	}
	tracker.pending = append(tracker.pending, sentHeartbeat{sequence: tracker.last, sent: now})
	return tracker.last
}

// applyEcho updates the bound from an echo of the peer and the echo's age. It
// returns an errors.NotValid error when the echoed heartbeat was never sent, or
// when the age is negative or would move the bound past now.
func (tracker *echoTracker) applyEcho(echo uint64, age time.Duration, now time.Time) error {
	if echo > tracker.last {
		return errors.NotValidf("echo of unsent heartbeat %d", echo)
	}
	for len(tracker.pending) > 0 && tracker.pending[0].sequence <= echo {
		tracker.echo = tracker.pending[0].sequence
		tracker.base = tracker.pending[0].sent
		tracker.pending = tracker.pending[1:]
	}
	if tracker.echo == 0 {
		return nil
	}
	bound := tracker.base
	if echo == tracker.echo {
		bound = bound.Add(age - age/driftDivisor)
	}
	if age < 0 || bound.After(now) {
		return errors.NotValidf("heartbeat with echo age of %s", age)
	}
	if bound.After(tracker.bound) {
		tracker.bound = bound
	}
	return nil
}
