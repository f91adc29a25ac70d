package peer

import (
	"time"

	"github.com/juju/errors"
)

// maxUnechoed bounds the heartbeats remembered until their echo, 16 s at the
// default interval. A link that echoes nothing for longer keeps its last bound.
const maxUnechoed = 64

// beats are the heartbeats that this node sent on a link and that were not
// echoed yet.
type beats struct {
	last    uint64
	pending []beat

	// echo is the last echo and base when its heartbeat was sent.
	echo uint64
	base time.Time

	// bound is not later than when the next frame on the link was composed.
	bound time.Time
}

// driftDivisor takes one percent off an echo's age, which was measured on the
// peer's clock.
const driftDivisor = 100

type beat struct {
	sequence uint64
	sent     time.Time
}

// next returns the sequence of a heartbeat that is sent at now or later.
func (beats *beats) next(now time.Time) uint64 {
	beats.last++
	if len(beats.pending) == maxUnechoed {
		beats.pending = beats.pending[1:]
	}
	beats.pending = append(beats.pending, beat{sequence: beats.last, sent: now})
	return beats.last
}

// echoed takes in an echo of the peer and its age. An echo of a heartbeat that
// was never sent, or with an age that ends in the future, is an errors.NotValid
// error.
func (beats *beats) echoed(echo uint64, age time.Duration, now time.Time) error {
	if echo > beats.last {
		return errors.NotValidf("echo of heartbeat %d", echo)
	}
	for len(beats.pending) > 0 && beats.pending[0].sequence <= echo {
		beats.echo = beats.pending[0].sequence
		beats.base = beats.pending[0].sent
		beats.pending = beats.pending[1:]
	}
	if beats.echo == 0 {
		return nil
	}
	bound := beats.base
	if echo == beats.echo {
		bound = bound.Add(age - age/driftDivisor)
	}
	if age < 0 || bound.After(now) {
		return errors.NotValidf("echo age of %s", age)
	}
	if bound.After(beats.bound) {
		beats.bound = bound
	}
	return nil
}
