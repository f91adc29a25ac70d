package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/limit"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// An event is one complete event of a stream. bytes holds it as received,
// including the empty line at its end.
type event struct {
	id    string
	bytes []byte

	// comment is true if the event has no field.
	comment bool
}

// follows reports whether the event may come after the one with the id last: ids increase,
// and a stream that has them has them in all events. Ids that are not numbers are not
// compared.
func (received event) follows(last string) bool {
	if last == "" || received.comment {
		return true
	}
	if received.id == "" {
		return false
	}
	number, err := strconv.ParseUint(received.id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || number > lastNumber
}

// An eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader

	// hold is what the event holds of the bytes of all bodies, and grow makes it larger or
	// returns false.
	hold *limit.Hold
	grow func(size int64) bool
}

func newEventReader(body io.Reader, hold *limit.Hold, grow func(size int64) bool) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, readBufferBytes), hold: hold, grow: grow}
}

// errPartial is returned if a stream ends inside an event.
var errPartial = errors.New("stream ended inside an event")

// next returns the next complete event. It returns io.EOF if the stream ends
// after a complete event, and errPartial if it ends inside one.
func (events *eventReader) next() (event, error) {
	events.hold.Release()
	current := event{comment: true}
	for {
		start := len(current.bytes)
		var err error
		current.bytes, err = events.appendLine(current.bytes)
		line := current.bytes[start:]
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(current.bytes)) > 0 {
				err = errPartial
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return current, nil
		}
		current.comment = current.comment && text[0] == ':'
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			current.id = string(bytes.TrimSpace(id))
		}
	}
}

// appendLine appends the next line with its end to the bytes of an event.
func (events *eventReader) appendLine(received []byte) ([]byte, error) {
	for {
		part, err := events.reader.ReadSlice('\n')
		size := len(received) + len(part)
		if size > maxEventBytes {
			return received, errors.QuotaLimitExceededf("stream event larger than %d bytes", maxEventBytes)
		}
		if size > freeBytes && size > cap(received) && !events.grow(2*int64(size)) {
			return received, errNoRoom
		}
		received = append(received, part...)
		if err != bufio.ErrBufferFull {
			return received, err
		}
	}
}

// buffered reports whether the whole next event has arrived after the last one that
// next returned. A part of it does not count, because the rest may come late.
func (events *eventReader) buffered() bool {
	arrived, err := events.reader.Peek(events.reader.Buffered())
	return err == nil && bytes.Contains(arrived, []byte("\n\n"))
}
