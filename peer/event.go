package peer

import "time"

// An Event is a change of a link or a received frame. It is LinkUp, LinkDown or
// Received.
type Event interface{ event() }

// LinkUp means that a link to a node was established. There is at most one link
// to a node: between two LinkUp events of a node there is always a LinkDown.
type LinkUp struct{ Hello Hello }

// LinkDown means that the link to a node was closed.
type LinkDown struct {
	Name   string
	Reason Reason
}

// Received means that a frame arrived from a peer. Hello frames are not
// reported; a Heartbeat is reported only when its generation differs from that
// of the previous one.
type Received struct {
	// From is the name of the peer at the other end of the link. It is not
	// necessarily the frame's origin, because nodes relay frames.
	From  string
	Frame Frame

	// SentAfter is a lower bound, on this node's monotonic clock, of the time
	// at which the frame was sent or, for SendComposed, composed. It is the time
	// at which this node sent the last heartbeat that the peer echoed before the
	// frame on the same link, plus the age of the echo that the peer reported,
	// less a margin for clocks of different rates. It is zero when the peer has
	// not echoed a heartbeat.
	SentAfter time.Time
}

func (LinkUp) event()   {}
func (LinkDown) event() {}
func (Received) event() {}

// A Reason is the reason why a link was closed.
type Reason string

// The reasons why a link is closed.
const (
	// ReasonSilent means that no data arrived, or none could be written, for
	// three heartbeat intervals.
	ReasonSilent Reason = "silent"

	// ReasonClosed means that the peer closed the connection or that the
	// connection failed for a reason not listed here.
	ReasonClosed Reason = "closed"

	// ReasonMalformed means that the peer sent a malformed or oversized frame.
	ReasonMalformed Reason = "malformed"

	// ReasonSlow means that the frames queued for the peer exceeded the limits
	// of the queue.
	ReasonSlow Reason = "slow"

	// ReasonReplaced means that another connection to the same node replaced
	// this one.
	ReasonReplaced Reason = "replaced"

	// ReasonUnwanted means that the node is no longer a target.
	ReasonUnwanted Reason = "unwanted"

	// ReasonStopped means that this node is stopping.
	ReasonStopped Reason = "stopped"
)
