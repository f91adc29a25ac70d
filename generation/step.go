package generation

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Step is an operation that the caller of Apply executes next, after waiting
// for its Delay. It is ReadHead, ReadBody, WriteBody, SwapHead or Done.
type Step interface{ step() }

// ReadHead reads HeadKey. Its result is HeadRead or ReadFailed.
type ReadHead struct{ Delay time.Duration }

// ReadBody reads the body with the key. Its result is BodyRead or ReadFailed.
type ReadBody struct {
	Key   string
	Delay time.Duration
}

// WriteBody writes the value on the condition that the key does not exist. Its
// result is PutDone.
type WriteBody struct {
	Key   string
	Value []byte
	Delay time.Duration
}

// SwapHead writes HeadKey on the condition Expect. Its result is PutDone.
type SwapHead struct {
	Value  []byte
	Expect kvstore.Expect
	Delay  time.Duration
}

// Done reports the end of the apply; no further step follows.
type Done struct{ Outcome Outcome }

func (ReadHead) step()  {}
func (ReadBody) step()  {}
func (WriteBody) step() {}
func (SwapHead) step()  {}
func (Done) step()      {}

// An Event is the result of a step. It is HeadRead, BodyRead, ReadFailed or PutDone.
type Event interface{ event() }

// HeadRead contains the stored head. Head and Revision are zero when there is
// none.
type HeadRead struct {
	Head     Head
	Revision uint64
}

// BodyRead contains the stored body, or nil when there is none.
type BodyRead struct{ Body *Body }

// ReadFailed means that a read failed, so that the stored value is not known.
type ReadFailed struct{ Err error }

// PutDone contains the outcome of a write.
type PutDone struct{ Outcome kvstore.PutOutcome }

func (HeadRead) event()   {}
func (BodyRead) event()   {}
func (ReadFailed) event() {}
func (PutDone) event()    {}
