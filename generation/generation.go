// Package generation numbers the configurations of a fleet, decides which one a
// node adopts, and makes a new one current with a single compare-and-swap.
//
// The store holds one head, which identifies the current configuration, and
// one body for each configuration. A configuration is accepted when the
// compare-and-swap of the head succeeds. The body, which is also the audit
// entry, is written before the head under a key that only this change uses, so
// that a head always refers to an existing body. Each body names the head that
// it replaced. The bodies that are reachable from the head through these
// references are the accepted ones; an unreachable body belongs to an apply
// that lost the race against another apply.
//
// The package performs no I/O. Apply is a state machine: it returns steps, the
// caller executes them against the store and passes the results back as
// events. Adopter returns decisions.
//
// # Usage
//
// A node passes every head that it receives from the store or from a peer to
// its adopter:
//
//	switch decision := adopter.Offer(head).(type) {
//	case generation.Adopt:
//		// Fetch the body of decision.Head and pass it to adopter.Adopt.
//	case generation.Stale:
//		// The sender or the store has an older configuration; count it.
//	case generation.Conflict:
//		// Two configurations have the same generation; report it.
//	case generation.Same:
//		// The node already has the configuration.
//	}
//
// An operator command executes the steps of an apply until Done:
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

// HeadKey is the store key of the current head.
const HeadKey = "config/head"

// BodyPrefix is the prefix of the store keys of all bodies.
const BodyPrefix = "config/body/"

// maxHeadBytes is the size limit of a stored head, checked before decoding.
const maxHeadBytes = 4 << 10

// A Head identifies one configuration.
type Head struct {
	// Generation increases with every accepted configuration. It is 0 when
	// there is no configuration.
	Generation uint64 `json:"generation" msgpack:"generation"`

	// Change is the id of the apply that wrote the configuration.
	Change string `json:"change" msgpack:"change"`

	// Digest is the digest of the folder, as returned by folder.Digest.
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

// DecodeHead decodes a stored head. It returns an errors.NotValid error when the
// head is too large, malformed or incomplete.
func DecodeHead(stored []byte) (Head, error) {
	if len(stored) > maxHeadBytes {
		return Head{}, errors.NotValidf("stored head of %d bytes (over the size limit)", len(stored))
	}
	var head Head
	if err := json.Unmarshal(stored, &head); err != nil {
		return Head{}, errors.NewNotValid(err, "decode stored head")
	}
	if head.Generation == 0 || head.Change == "" || head.Digest == "" {
		return Head{}, errors.NotValidf("stored head without generation, change or digest")
	}
	return head, nil
}
