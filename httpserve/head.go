package httpserve

import (
	"bytes"
	"math"
)

const (
	// byteCost, lineCost and elementCost are what a head holds in its decoded form for each
	// byte, line and element of a list: strings, entries of maps, and their copies for a
	// target.
	byteCost    = 4
	lineCost    = 256
	elementCost = 64

	// headSlack is how many bytes beyond the limit of a head are read: what net/http adds to
	// the limit, and what it reads of a body together with the head.
	headSlack = 8 << 10

	// bufferBytes is the size of the buffer of net/http for a connection.
	bufferBytes = 4 << 10

	// maxEmptyBytes bounds the empty lines before a request, as in net/http.
	maxEmptyBytes = 4
)

// A headMeter counts what the head of a request holds when it is decoded. It does not decode
// anything: where the head ends is for net/http to say, and the meter only must not miss it.
type headMeter struct {
	bytes    int
	lines    int
	elements int

	// emptyBytes are those of empty lines before the first other line.
	emptyBytes int

	// lineBytes are those of the current line, carriageReturn is true if it is just one.
	lineBytes      int
	carriageReturn bool

	// unaligned is true until the next end of a line if bytes of the head were read with the
	// request before: that line may not be empty. The end of the head may then be missed.
	unaligned bool

	ended bool

	// bodyBytes are the bytes after the head, and tail is a meter of those in the last call
	// of add, with the single ones that follow: what net/http may have in its buffer when the
	// request ends.
	bodyBytes int64
	tail      *headMeter

	// chunksTail is a meter of those of them after the last chunk, nil if they do not contain it.
	chunksTail *headMeter
}

// lastChunk ends a body in chunks without trailers, after the data of another chunk. The first one
// in a read ends the body, or is a part of its data.
var lastChunk = []byte("\r\n0\r\n\r\n")

// add counts the next bytes that are read.
func (meter *headMeter) add(data []byte) {
	for len(data) > 0 && !meter.ended {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			meter.addPart(data)
			return
		}
		meter.addPart(data[:end])
		meter.endLine()
		data = data[end+1:]
	}
	if meter.ended && len(data) > 0 {
		meter.bodyBytes += int64(len(data))
		meter.addTail(data)
	}
}

// addTail counts bytes after the head. A single one is mostly what net/http reads while a handler
// runs, besides those that it has in its buffer.
func (meter *headMeter) addTail(data []byte) {
	if len(data) == backgroundBytes && meter.tail != nil && meter.tail.bytes < bufferBytes {
		meter.tail.grow(data)
		if meter.chunksTail != nil {
			meter.chunksTail.grow(data)
		}
		return
	}
	meter.tail, meter.chunksTail = &headMeter{}, nil
	if len(data) > bufferBytes {
		// net/http has read them around its buffer, which is empty then.
		return
	}
	meter.tail.grow(data)
	if _, rest, found := bytes.Cut(data, lastChunk); found {
		meter.chunksTail = &headMeter{}
		meter.chunksTail.grow(rest)
	}
}

// grow counts bytes without looking for the end of a head.
func (meter *headMeter) grow(data []byte) {
	meter.bytes += len(data)
	meter.lines += bytes.Count(data, []byte("\n"))
	meter.elements += bytes.Count(data, []byte(","))
}

// addPart counts a part of a line, without its end.
func (meter *headMeter) addPart(part []byte) {
	meter.bytes += len(part)
	meter.elements += bytes.Count(part, []byte(","))
	meter.carriageReturn = meter.lineBytes == 0 && len(part) == 1 && part[0] == '\r' || meter.carriageReturn && len(part) == 0
	meter.lineBytes += len(part)
}

func (meter *headMeter) endLine() {
	empty := meter.lineBytes == 0 || meter.carriageReturn
	meter.bytes++
	switch {
	case !empty || meter.unaligned:
		meter.lines++
		meter.unaligned = false
	case meter.lines == 0:
		meter.emptyBytes += meter.lineBytes + 1
	default:
		meter.ended = true
	}
	meter.lineBytes, meter.carriageReturn = 0, false
}

// endHead ends the head when net/http has decoded it.
func (meter *headMeter) endHead() {
	if !meter.ended {
		tail := *meter
		meter.ended, meter.bodyBytes, meter.tail = true, math.MaxInt32, &tail
	}
}

// cost returns the bytes that the head holds so far when it is decoded.
func (meter *headMeter) cost() int64 {
	return byteCost*int64(meter.bytes) + lineCost*int64(meter.lines) + elementCost*int64(meter.elements)
}

// next returns the meter of the next request on the connection. length is that of the body,
// -1 if it is unknown.
func (meter *headMeter) next(length int64) headMeter {
	if meter.tail == nil || length >= 0 && meter.bodyBytes <= length {
		return headMeter{}
	}
	tail := meter.tail
	if length < 0 && meter.chunksTail != nil {
		tail = meter.chunksTail
	}
	return headMeter{bytes: tail.bytes, lines: tail.lines, elements: tail.elements, unaligned: tail.bytes > 0}
}
