package forward

import (
	"time"

	"lacewingspoke.org/lacewingspoke/httpserve"
)

const (
	// defaultMaxBodies bounds the bytes of all bodies if the configuration of the server does
	// not.
	defaultMaxBodies = 32 << 20

	// freeBytes is the size up to which a head, body or event does not count. Most are
	// shorter, and the buffers of their connections are about as large.
	freeBytes = httpserve.FreeBodyBytes

	// roomWait is how long the reading of a body pauses while the node holds as much as it may.
	roomWait = 250 * time.Millisecond
)

// errNoRoom is returned for a body that is not read because the node holds as many bytes of
// bodies as it may.
var errNoRoom = httpserve.ErrNoRoom
