package generation

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Step is what the caller of Apply does next. It is ReadHead, ReadBody,
// WriteBody, SwapHead or Done. The caller waits for Delay first.
type Step interface{ step() }

// ReadHead reads HeadKey. It is answered by HeadRead or Failed.
type ReadHead struct{ Delay time.Duration }

// ReadBody reads the key. It is answered by BodyRead or Failed.
type ReadBody struct {
	Key   string
	Delay time.Duration
}

// WriteBody writes the value create-only. It is answered by PutDone.
type WriteBody struct {
	Key   string
	Value []byte
	Delay time.Duration
}

// SwapHead writes HeadKey under the condition. It is answered by PutDone.
type SwapHead struct {
	Value  []byte
	Expect kvstore.Expect
	Delay  time.Duration
}

// Done ends the apply.
type Done struct{ Outcome Outcome }

func (ReadHead) step()  {}
func (ReadBody) step()  {}
func (WriteBody) step() {}
func (SwapHead) step()  {}
func (Done) step()      {}

// An Event is the answer to a step. It is HeadRead, BodyRead, Failed or
// PutDone.
type Event interface{ event() }

// HeadRead is the stored head. Head and Revision are zero when there is none.
type HeadRead struct {
	Head     Head
	Revision uint64
}

// BodyRead is a stored body, nil when there is none.
type BodyRead struct{ Body *Body }

// Failed says that a read got no answer.
type Failed struct{ Err error }

// PutDone is the result of a write.
type PutDone struct{ Outcome kvstore.PutOutcome }

func (HeadRead) event() {}
func (BodyRead) event() {}
func (Failed) event()   {}
func (PutDone) event()  {}
