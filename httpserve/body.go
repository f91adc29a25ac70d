package httpserve

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/limit"
)

// FreeBodyBytes is the size up to which a body takes no room of its own: most are shorter, and
// the buffers of their connections are about as large.
const FreeBodyBytes = 16 << 10

// A body is the body of a request. Its connection may close for others while a handler waits
// for it.
type body struct {
	io.ReadCloser
	connection *connection
}

// Read implements io.Reader.
func (body *body) Read(buffer []byte) (int, error) {
	body.connection.beginBody()
	defer body.connection.endBody()
	return body.ReadCloser.Read(buffer)
}

// GrowBody grows the hold of a request's body to count bytes. If there is no room, other bodies
// that stand still make room, and it waits for that and for other releases. It returns false if
// there is no room in time.
func GrowBody(request *http.Request, hold *limit.Hold, count int64, wait time.Duration) bool {
	reading, served := request.Context().Value(connectionKey{}).(*connection)
	if served {
		reading.setBody(count)
		for missing := hold.Missing(count); missing > 0; {
			size, yields := reading.server.yieldFor(reading, shareBodies, causeBodies)
			if !yields {
				break
			}
			missing -= size
		}
	}
	ctx, cancel := context.WithTimeout(request.Context(), max(0, wait))
	defer cancel()
	return hold.Grow(ctx, count)
}

// ReadWhole reads a body of the given length, -1 if it is unknown, to its end. grow is called
// with the size of the buffer before it becomes larger than FreeBodyBytes. ReadWhole returns an
// errors.QuotaLimitExceeded error for a body of more than limit bytes, and ErrNoRoom if grow
// returns false.
func ReadWhole(reader io.Reader, length, limit int64, grow func(size int64) bool) ([]byte, error) {
	if length > limit {
		return nil, errors.QuotaLimitExceededf("body larger than %d bytes", limit)
	}
	// One byte more than the body: the end is read without another buffer.
	size := int64(FreeBodyBytes)
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
			return nil, ErrNoRoom
		}
		body = append(make([]byte, 0, size), body...)
	}
}
