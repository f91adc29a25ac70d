package httpserve

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A countingReader counts the bytes that are read, one at a time.
type countingReader struct {
	reader io.Reader
	count  int
}

// Read implements io.Reader.
func (reader *countingReader) Read(buffer []byte) (int, error) {
	count, err := reader.reader.Read(buffer[:1])
	reader.count += count
	return count, err
}

// Guards against a head that net/http decodes and the meter does not see: it must find the
// same end, and count each line and byte before it, however the bytes arrive.
func FuzzHeadMeterCountsWhatIsDecoded(fuzz *testing.F) {
	fuzz.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\na:\r\n\r\nbody\r\n\r\n"), uint8(3))
	fuzz.Add([]byte("POST / HTTP/1.1\nHost: a\n b\n\tc\r\n\nx"), uint8(1))
	fuzz.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\n\r\r\n\r\n"), uint8(7))
	fuzz.Fuzz(func(test *testing.T, data []byte, step uint8) {
		counting := &countingReader{reader: bytes.NewReader(data)}
		// A buffer of this size is filled byte by byte, so that nothing is read ahead.
		request, err := http.ReadRequest(bufio.NewReaderSize(counting, len(data)+16))
		if err != nil {
			return
		}
		whole := headMeter{}
		whole.add(data)
		require.True(test, whole.ended, "%q", data)
		require.Equal(test, int64(len(data)-counting.count), whole.bodyBytes, "%q", data)
		values := 0
		for _, list := range request.Header {
			values += len(list)
		}
		require.GreaterOrEqual(test, whole.lines, values)
		parts := headMeter{}
		for rest := data; len(rest) > 0; {
			size := min(len(rest), int(step)%64+1)
			parts.add(rest[:size])
			rest = rest[size:]
		}
		whole.tail, parts.tail, whole.chunksTail, parts.chunksTail = nil, nil, nil, nil
		require.Equal(test, whole, parts)
	})
}

// Guards against a head that counts for less than it holds, and against empty lines without
// end that count as no bytes.
func TestHeadMeterCounts(test *testing.T) {
	meter := headMeter{}
	meter.add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4000)))
	require.False(test, meter.ended)
	require.Equal(test, 4001, meter.lines)
	require.EqualValues(test, 4*(16+16000)+256*4001, meter.cost())
	meter = headMeter{}
	meter.add([]byte(strings.Repeat("\r\n", 100)))
	require.Equal(test, 200, meter.emptyBytes)
	require.Equal(test, 200, meter.bytes)
}

// Guards against pipelined heads that are decoded from the buffer of net/http without being
// counted, and against ordinary bodies that count as heads.
func TestHeadMeterCountsWhatWasReadAhead(test *testing.T) {
	const first = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
	meter := headMeter{}
	meter.add([]byte(first + "\n\n"))
	require.Equal(test, headMeter{}, meter.next(2))
	meter.add([]byte("GET / HTTP/1.1\r\na: b,c\r\n\r"))
	next := meter.next(2)
	require.Equal(test, 2, next.lines)
	next.add([]byte("\nbody"))
	require.False(test, next.ended)
	require.Equal(test, 3, next.lines)
	next.endHead()
	require.Equal(test, 3, next.next(0).lines)
}

// Guards against the data of a body in chunks that counts as the head of a next request: an idle
// connection then holds room for heads.
func TestChunksDoNotCountAsAHead(test *testing.T) {
	meter := headMeter{}
	meter.add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n1,2,3\n,4\r\n0\r\n\r\n"))
	require.Equal(test, headMeter{}, meter.next(-1))
	meter.add([]byte("1\r\nx\r\n0\r\n\r\nGET / HTTP/1.1\r\na: b,c\r\n\r\n"))
	next := meter.next(-1)
	require.Equal(test, 3, next.lines)
	require.Equal(test, 1, next.elements)
}

// Guards against a head in the buffer of net/http that is not counted because another byte was
// read while the handler of the request before ran.
func TestByteReadInAHandlerAddsToWhatWasReadAhead(test *testing.T) {
	meter := headMeter{}
	meter.add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\na: b,c\r\n"))
	meter.add([]byte("\n"))
	next := meter.next(1)
	require.Equal(test, 3, next.lines)
	require.Equal(test, 1, next.elements)
}
