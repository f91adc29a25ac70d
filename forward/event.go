package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// An event is one whole event of a stream with its bytes as they came.
type event struct {
	id    string
	bytes []byte
}

// An eventReader splits a stream into whole events.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// errPartial says that a stream ended inside an event.
var errPartial = errors.New("stream ended inside an event")

// next returns the next whole event. It returns io.EOF at the end of a stream
// that ended after a whole event.
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
			return event{}, errors.QuotaLimitExceededf("event of more than %d bytes", maxEventBytes)
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

// waiting reports whether bytes have arrived that next has not returned.
func (events *eventReader) waiting() bool { return events.reader.Buffered() > 0 }
