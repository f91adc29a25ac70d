package engine

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is the kind of a line of the record.
type Event string

// The events of a record.
const (
	// EventStart says that a request was admitted and runs from here on.
	EventStart Event = "start"

	// EventEnd says that a request ended, with End saying how.
	EventEnd Event = "end"

	// EventOrder says that an order was received, with End saying how it was
	// answered.
	EventOrder Event = "order"
)

// The ways in which a request ends.
const (
	EndDone         = "done"
	EndCancelled    = "cancelled"
	EndDisconnected = "disconnected"

	// EndCut says that an order took the VM's role away during the request.
	EndCut = "cut"
)

// A Line is one line of an engine's record.
type Line struct {
	Time        time.Time `json:"time"`
	Event       Event     `json:"event"`
	VM          string    `json:"vm"`
	Incarnation string    `json:"incarnation"`
	Group       string    `json:"group"`
	Epoch       uint64    `json:"epoch"`

	// Attempt and the fields below are of requests.
	Attempt   string `json:"attempt,omitempty"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`

	// From is the index of the first token; To is the index after the last
	// one that was sent.
	From     int `json:"from,omitempty"`
	To       int `json:"to,omitempty"`
	Priority int `json:"priority,omitempty"`

	// WrongResume says that the resume text was not the answer's beginning.
	WrongResume bool `json:"wrong-resume,omitempty"`

	// ReusedBlocks is the number of prompt blocks found in the cache.
	ReusedBlocks int    `json:"reused-blocks,omitempty"`
	End          string `json:"end,omitempty"`

	// Order is the id of an order.
	Order  string `json:"order,omitempty"`
	Action string `json:"action,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

type record struct {
	mu          sync.Mutex
	vm          string
	incarnation string
	out         io.Writer
	lines       []Line
}

func newRecord(vm, incarnation string, out io.Writer) *record {
	return &record{vm: vm, incarnation: incarnation, out: out}
}

func (record *record) add(line Line) {
	record.mu.Lock()
	defer record.mu.Unlock()
	line.Time = time.Now()
	line.VM = record.vm
	line.Incarnation = record.incarnation
	record.lines = append(record.lines, line)
	if record.out == nil {
		return
	}
	if err := json.NewEncoder(record.out).Encode(line); err != nil {
		// A record with holes would hide faults from the checker.
		panic(err)
	}
}

func (record *record) list() []Line {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]Line(nil), record.lines...)
}
