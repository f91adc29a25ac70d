// Package generation numbers configurations, decides which one a node adopts,
// and brings a new one into force with one compare-and-swap.
//
// A configuration is accepted when the compare-and-swap of the store's head
// succeeds. The body, which is also the audit entry, is written before the
// head under a key that only this change uses, so that a head always refers
// to a body that exists. Each body names the head that it replaced; the
// bodies that can be reached from the head are the accepted ones, and a body
// that cannot be reached belongs to an apply that lost its race.
//
// The package performs no I/O. Apply returns steps, the caller executes them
// against the store and passes the events back. Adopter returns decisions.
//
// # Usage
//
// A node offers every head that it hears of to its adopter:
//
//	switch decision := adopter.Offer(head).(type) {
//	case generation.Adopt:
//		// Fetch the body of decision.Head and pass it to adopter.Adopt.
//	case generation.Stale:
//		// The sender or the store is behind; count it.
//	case generation.Conflict:
//		// Two contents claim one generation; report it.
//	case generation.Same:
//	}
//
// An operator command runs an apply until it is done:
//
//	step := apply.Start()
//	for {
//		switch current := step.(type) {
//		case generation.ReadHead:
//			step = apply.Next(readHead(current))
//		case generation.ReadBody:
//			step = apply.Next(readBody(current))
//		case generation.WriteBody:
//			step = apply.Next(writeBody(current))
//		case generation.SwapHead:
//			step = apply.Next(swapHead(current))
//		case generation.Done:
//			return current.Outcome
//		}
//	}
package generation

import (
	"encoding/json"
	"strconv"

	"github.com/juju/errors"
)

// HeadKey is the store key of the accepted head.
const HeadKey = "config/head"

// BodyPrefix is the prefix of the store keys of all bodies.
const BodyPrefix = "config/body/"

// maxHeadBytes bounds a stored head before it is decoded.
const maxHeadBytes = 4 << 10

// A Head identifies one configuration.
type Head struct {
	// Generation increases with every accepted configuration. It is 0 when
	// there is no configuration.
	Generation uint64 `json:"generation" msgpack:"generation"`

	// Change is the id of the apply that wrote the configuration.
	Change string `json:"change" msgpack:"change"`

	// Digest is the digest of the folder.
	Digest string `json:"digest" msgpack:"digest"`
}

// BodyKey returns the store key of the head's body.
func (head Head) BodyKey() string {
	return BodyPrefix + strconv.FormatUint(head.Generation, 10) + "/" + head.Change
}

// Encode returns the stored form of the head.
func (head Head) Encode() ([]byte, error) {
	stored, err := json.Marshal(head)
	return stored, errors.Trace(err)
}

// DecodeHead reads a stored head. It returns an errors.NotValid error for a
// malformed one.
func DecodeHead(stored []byte) (Head, error) {
	if len(stored) > maxHeadBytes {
		return Head{}, errors.NotValidf("stored head of %d bytes", len(stored))
	}
	var head Head
	if err := json.Unmarshal(stored, &head); err != nil {
		return Head{}, errors.NewNotValid(err, "stored head")
	}
	if head.Generation == 0 || head.Change == "" || head.Digest == "" {
		return Head{}, errors.NotValidf("stored head without generation, change or digest")
	}
	return head, nil
}
