package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// An event is one complete event of a stream. bytes holds it as received,
// including the empty line at its end.
type event struct {
	id    string
	bytes []byte
}

// An eventReader splits a stream into complete events.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// errPartial is returned if a stream ends inside an event.
var errPartial = errors.New("stream ended inside an event")

// next returns the next complete event. It returns io.EOF if the stream ends
// after a complete event, and errPartial if it ends inside one.
func (events *eventReader) next() (event, error) {
	var current event
	for {
		line, err := events.reader.ReadBytes('\n')
		current.bytes = append(current.bytes, line...)
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(current.bytes)) > 0 {
				err = errPartial
			}
			return event{}, err
		}
		if len(current.bytes) > maxEventBytes {
			return event{}, errors.QuotaLimitExceededf("stream event larger than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return current, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			current.id = string(bytes.TrimSpace(id))
		}
	}
}

// buffered reports whether the whole next event has arrived after the last one that
// next returned. A part of it does not count, because the rest may come late.
func (events *eventReader) buffered() bool {
	arrived, err := events.reader.Peek(events.reader.Buffered())
	return err == nil && bytes.Contains(arrived, []byte("\n\n"))
}
