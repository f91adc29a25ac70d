package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// kind is the number of a frame's type on the wire.
type kind uint8

const (
	// kindUnknown stands for the kinds of a later release.
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
	kindEnd
)

// kindNames are the values of the metrics' label kind.
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
}

const (
	headerBytes = 4

	// envelopeElements is the length of the array [kind, body].
	envelopeElements = 2

	// maxHelloBytes bounds the first frame of a connection, whose sender is not
	// known yet.
	maxHelloBytes = 4 << 10
)

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
	case unrecognized:
		return kindUnknown
	default:
		panic(errors.Errorf("peer: frame of type %T", frame))
	}
}

// subjectOf returns what a frame is the newest state of. A queued frame is
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
	default:
		panic(errors.Errorf("peer: frame of type %T cannot be queued", frame))
	}
}

const heartbeatSubject = "heartbeat"

// encode returns the frame with its length header. Structs are encoded as
// arrays, without field names, because grants and usage repeat several times a
// second.
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

// readFrame reads the bytes of one frame into buffer, which it grows as
// needed. It returns an errors.NotValid error for a frame over the limit.
func readFrame(reader io.Reader, buffer []byte, limit int) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.NotValidf("frame of %d bytes", size)
	}
	if uint64(size) > uint64(cap(buffer)) {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	_, err := io.ReadFull(reader, buffer)
	return buffer, err
}

// decode reads a frame without its header. It returns an errors.NotValid error
// for a malformed one.
func decode(data []byte) (Frame, error) {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, errors.NewNotValid(err, "envelope")
	}
	if length != envelopeElements {
		return nil, errors.NotValidf("envelope of %d elements", length)
	}
	number, err := decoder.DecodeUint8()
	if err != nil {
		return nil, errors.NewNotValid(err, "kind")
	}
	frame, err := decodeBody(decoder, kind(number))
	if err != nil {
		return nil, errors.NewNotValid(err, "body")
	}
	if reader.Len() != 0 {
		return nil, errors.NotValidf("%d bytes after the frame", reader.Len())
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
	default:
		// While nodes are being replaced by a later release, its new kinds must
		// not close the links to earlier ones.
		return unrecognized{}, decoder.Skip()
	}
}

// unrecognized is a well-formed frame of an unknown kind. It is counted and
// dropped.
type unrecognized struct{}

func (unrecognized) frame() {}

// check rejects frames that decode but cannot come from a correct node.
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
	default:
		return nil
	}
}

func checkNamed(what string, names ...string) error {
	for _, name := range names {
		if name == "" {
			return errors.NotValidf("%s without a name", what)
		}
	}
	return nil
}

// checkGrants rejects a negative age: it would move the report time of a grant
// forward and so prove a group complete that is not.
func checkGrants(frame Grants) error {
	for _, grant := range frame.Groups {
		if grant.AgeMillis < 0 {
			return errors.NotValidf("age of %d ms", grant.AgeMillis)
		}
	}
	return checkNamed("grants", frame.Origin, frame.Incarnation, frame.Domain)
}
