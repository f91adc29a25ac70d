package peer

import "time"

// An Event is something that happened on the mesh. It is LinkUp, LinkDown or
// Received.
type Event interface{ event() }

// LinkUp says that a link carries frames from now on. A node has at most one
// link; LinkDown comes between two LinkUp of the same node.
type LinkUp struct{ Hello Hello }

// LinkDown says that the link to a node is closed.
type LinkDown struct {
	Name   string
	Reason Reason
}

// Received is a frame from a peer other than Hello. A Heartbeat is passed on
// when its generation is not that of the one before.
type Received struct {
	// From is the name of the peer at the other end of the link, which is not
	// always the frame's origin.
	From  string
	Frame Frame

	// SentAfter is on this node's monotonic clock and not later than when the
	// frame was sent, or composed for SendComposed. It is when this node sent
	// the heartbeat that the peer echoed last before the frame on the same link,
	// plus the age that the peer gave the echo, less a margin for the rate of
	// the clocks. It is zero when the peer echoed none.
	SentAfter time.Time
}

func (LinkUp) event()   {}
func (LinkDown) event() {}
func (Received) event() {}

// A Reason is why a link was closed.
type Reason string

// The reasons why a link is closed.
const (
	// ReasonSilent: no frame arrived, or none could be sent, for three
	// heartbeats.
	ReasonSilent Reason = "silent"

	// ReasonClosed: the peer closed the connection.
	ReasonClosed Reason = "closed"

	// ReasonMalformed: the peer sent a frame that is malformed or oversized.
	ReasonMalformed Reason = "malformed"

	// ReasonSlow: more frames waited for the peer than the queue holds.
	ReasonSlow Reason = "slow"

	// ReasonReplaced: another connection to the same node took over.
	ReasonReplaced Reason = "replaced"

	// ReasonUnwanted: the node is not among the targets any more.
	ReasonUnwanted Reason = "unwanted"

	// ReasonStopped: this node stops.
	ReasonStopped Reason = "stopped"
)
