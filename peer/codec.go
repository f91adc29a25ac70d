package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// kind is the number that identifies the type of a frame on the wire.
type kind uint8

const (
	// kindUnknown stands for every kind that this release does not define.
	kindUnknown kind = iota
	kindHello
	kindHeartbeat
	kindHead
	kindBodyRequest
	kindBody
	kindPlacement
	kindGrants
	kindUsage
	kindLeaving
	kindGrantsRequest
	kindRecord
	kindEnd
)

// kindNames lists the values of the label "kind" of the metrics.
var kindNames = [kindEnd]string{
	kindUnknown:       "unknown",
	kindHello:         "hello",
	kindHeartbeat:     "heartbeat",
	kindHead:          "head",
	kindBodyRequest:   "body-request",
	kindBody:          "body",
	kindPlacement:     "placement",
	kindGrants:        "grants",
	kindUsage:         "usage",
	kindLeaving:       "leaving",
	kindGrantsRequest: "grants-request",
	kindRecord:        "record",
}

const (
	headerBytes = 4

	// envelopeElements is the length of the array [kind, body].
	envelopeElements = 2

	// maxHelloBytes bounds the first frame of a connection, because its sender
	// has not been identified yet.
	maxHelloBytes = 4 << 10
)

// kindOf returns the kind of a frame. It panics on a type without a kind, which
// is a programming error.
func kindOf(frame Frame) kind {
	switch frame.(type) {
	case Hello:
		return kindHello
	case Heartbeat:
		return kindHeartbeat
	case Head:
		return kindHead
	case BodyRequest:
		return kindBodyRequest
	case Body:
		return kindBody
	case Placement:
		return kindPlacement
	case Grants:
		return kindGrants
	case Usage:
		return kindUsage
	case Leaving:
		return kindLeaving
	case GrantsRequest:
		return kindGrantsRequest
	case Record:
		return kindRecord
	case unrecognized:
		return kindUnknown
	default:
		panic(errors.Errorf("peer: no frame kind for type %T", frame))
	}
}

// subjectOf returns the subject whose state a frame carries. A queued frame is
// replaced by a later one with the same subject.
func subjectOf(frame Frame) string {
	switch frame := frame.(type) {
	case Heartbeat:
		return heartbeatSubject
	case Head:
		return "head"
	case BodyRequest:
		return "body-request"
	case Body:
		return "body"
	case Placement:
		return "placement/" + frame.Domain
	case Grants:
		return "grants/" + frame.Origin + "/" + frame.Domain
	case Usage:
		return "usage/" + frame.Origin
	case GrantsRequest:
		return "grants-request/" + frame.Domain
	case Leaving:
		return "leaving/" + frame.Target + "/" + frame.Incarnation
	case Record:
		return "record/" + frame.Key
	default:
		panic(errors.Errorf("peer: frame of type %T cannot be queued", frame))
	}
}

const heartbeatSubject = "heartbeat"

// encode returns the encoded frame, preceded by its length header. Structs are
// encoded as arrays without field names to save bandwidth, because grants and
// usage are sent several times a second.
func encode(frame Frame) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerBytes))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.EncodeArrayLen(envelopeElements); err != nil {
		return nil, errors.Trace(err)
	}
	if err := encoder.EncodeUint(uint64(kindOf(frame))); err != nil {
		return nil, errors.Trace(err)
	}
	if err := encoder.Encode(frame); err != nil {
		return nil, errors.Trace(err)
	}
	data := buffer.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-headerBytes))
	return data, nil
}

// readFrame reads the bytes of one frame, without its header, into buffer or,
// when they do not fit, into a new buffer. It returns an errors.NotValid error
// for a frame of more than limit bytes.
func readFrame(reader io.Reader, buffer []byte, limit int) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.NotValidf("oversized frame of %d bytes", size)
	}
	if uint64(size) > uint64(cap(buffer)) {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	_, err := io.ReadFull(reader, buffer)
	return buffer, err
}

// decode decodes a frame from data, which does not include the length header.
// It returns an errors.NotValid error when the frame is malformed or fails
// check.
func decode(data []byte) (Frame, error) {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, errors.NewNotValid(err, "decode frame envelope")
	}
	if length != envelopeElements {
		return nil, errors.NotValidf("frame envelope of %d elements", length)
	}
	number, err := decoder.DecodeUint8()
	if err != nil {
		return nil, errors.NewNotValid(err, "decode frame kind")
	}
	frame, err := decodeBody(decoder, kind(number))
	if err != nil {
		return nil, errors.NewNotValid(err, "decode frame body")
	}
	if reader.Len() != 0 {
		return nil, errors.NotValidf("frame with %d bytes after its body", reader.Len())
	}
	return frame, check(frame)
}

func decodeBody(decoder *msgpack.Decoder, number kind) (Frame, error) {
	switch number {
	case kindHello:
		var frame Hello
		err := decoder.Decode(&frame)
		return frame, err
	case kindHeartbeat:
		var frame Heartbeat
		err := decoder.Decode(&frame)
		return frame, err
	case kindHead:
		var frame Head
		err := decoder.Decode(&frame)
		return frame, err
	case kindBodyRequest:
		var frame BodyRequest
		err := decoder.Decode(&frame)
		return frame, err
	case kindBody:
		var frame Body
		err := decoder.Decode(&frame)
		return frame, err
	case kindPlacement:
		var frame Placement
		err := decoder.Decode(&frame)
		return frame, err
	case kindGrants:
		var frame Grants
		err := decoder.Decode(&frame)
		return frame, err
	case kindUsage:
		var frame Usage
		err := decoder.Decode(&frame)
		return frame, err
	case kindLeaving:
		var frame Leaving
		err := decoder.Decode(&frame)
		return frame, err
	case kindGrantsRequest:
		var frame GrantsRequest
		err := decoder.Decode(&frame)
		return frame, err
	case kindRecord:
		var frame Record
		err := decoder.Decode(&frame)
		return frame, err
	default:
		// During an upgrade, nodes of a later release may send new kinds to
		// nodes of this release. These frames must not close the links.
		return unrecognized{}, decoder.Skip()
	}
}

// unrecognized is a well-formed frame of a kind that this release does not
// define. It is counted and dropped.
type unrecognized struct{}

func (unrecognized) frame() {}

// check rejects a decoded frame that lacks a required name or has an invalid
// age, which a correct node never sends.
func check(frame Frame) error {
	switch frame := frame.(type) {
	case Hello:
		return checkNamed("hello", frame.Name, frame.Incarnation)
	case Placement:
		return checkNamed("placement", frame.Domain)
	case Grants:
		return checkGrants(frame)
	case Usage:
		return checkNamed("usage", frame.Origin, frame.Incarnation)
	case Leaving:
		return checkNamed("leaving", frame.Target)
	case GrantsRequest:
		return checkNamed("grants request", frame.Domain)
	case Record:
		return checkNamed("record", frame.Key)
	default:
		return nil
	}
}

// checkNamed rejects a frame when one of its names, such as that of its origin,
// incarnation or fabric domain, is empty.
func checkNamed(what string, names ...string) error {
	for _, name := range names {
		if name == "" {
			return errors.NotValidf("%s frame with an empty name", what)
		}
	}
	return nil
}

// checkGrants rejects a negative age, because it would make the report time of
// a grant too late, so that a group would count as complete when it is not.
func checkGrants(frame Grants) error {
	for _, grant := range frame.Groups {
		if grant.AgeMillis < 0 {
			return errors.NotValidf("grant with age of %d ms", grant.AgeMillis)
		}
	}
	return checkNamed("grants", frame.Origin, frame.Incarnation, frame.Domain)
}
