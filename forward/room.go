package forward

import (
	"io"
	"time"

	"github.com/juju/errors"
)

const (
	// defaultMaxBodies bounds the bytes of all bodies if the configuration of the server does
	// not.
	defaultMaxBodies = 32 << 20

	// freeBytes is the size up to which a head, body or event does not count. Most are
	// shorter, and the buffers of their connections are about as large.
	freeBytes = 16 << 10

	// roomWait is how long the reading of a body pauses while the node holds as much as it may.
	roomWait = 250 * time.Millisecond
)

// errNoRoom is returned for a body that is not read because the node holds as many bytes of
// bodies as it may.
var errNoRoom = errors.New("the node holds as many bytes of bodies as it may")

// readWhole reads a body of the given length, -1 if it is unknown, to its end. grow is called
// with the size of the buffer before it becomes larger than freeBytes. readWhole returns an
// errors.QuotaLimitExceeded error for a body of more than limit bytes, and errNoRoom if grow
// returns false.
func readWhole(reader io.Reader, length, limit int64, grow func(size int64) bool) ([]byte, error) {
	if length > limit {
		return nil, errors.QuotaLimitExceededf("body larger than %d bytes", limit)
	}
	// One byte more than the body: the end is read without another buffer.
	size := int64(freeBytes)
	if length >= 0 && length < size {
		size = length + 1
	}
	body := make([]byte, 0, size)
	for {
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, errors.QuotaLimitExceededf("body larger than %d bytes", limit)
		case len(body) < cap(body):
			continue
		}
		size = min(2*int64(cap(body)), limit+1)
		if length >= 0 {
			size = length + 1
		}
		if !grow(size) {
			return nil, errNoRoom
		}
		body = append(make([]byte, 0, size), body...)
	}
}
