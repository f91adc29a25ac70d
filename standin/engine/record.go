package engine

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// An Event is the kind of a line in the record.
type Event string

// The events of a record.
const (
	// EventStart records that a request was admitted and begins to run.
	EventStart Event = "start"

	// EventEnd records that a request ended. RecordLine.End is one of the End
	// constants.
	EventEnd Event = "end"

	// EventOrder records that an order was received. RecordLine.End is its
	// result: "accepted", "old-fence" or "expired".
	EventOrder Event = "order"
)

// The ways in which a request ends.
const (
	EndDone         = "done"
	EndCancelled    = "cancelled"
	EndDisconnected = "disconnected"

	// EndCut means that an order changed the VM's role during the request.
	EndCut = "cut"
)

// A RecordLine is one line of an engine's record.
type RecordLine struct {
	Time        time.Time `json:"time"`
	Event       Event     `json:"event"`
	VM          string    `json:"vm"`
	Incarnation string    `json:"incarnation"`
	Group       string    `json:"group"`
	Epoch       uint64    `json:"epoch"`

	// Attempt and the fields up to ReusedBlocks are set for requests.
	Attempt   string `json:"attempt,omitempty"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`

	// From is the index of the first token of this run. To is the index
	// after the last token that was sent.
	From     int `json:"from,omitempty"`
	To       int `json:"to,omitempty"`
	Priority int `json:"priority,omitempty"`

	// WrongResume reports that the resume text was not the beginning of the
	// answer.
	WrongResume bool `json:"wrong-resume,omitempty"`

	// ReusedBlocks is the number of prompt blocks found in the prefix cache.
	ReusedBlocks int `json:"reused-blocks,omitempty"`

	// End is how a request ended, or the result of an order.
	End string `json:"end,omitempty"`

	// Order, Action and Fence are the id, the action and the fencing number
	// of an order.
	Order  string `json:"order,omitempty"`
	Action string `json:"action,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

type record struct {
	mu          sync.Mutex
	vm          string
	incarnation string
	out         io.Writer
	lines       []RecordLine
}

func newRecord(vm, incarnation string, out io.Writer) *record {
	return &record{vm: vm, incarnation: incarnation, out: out}
}

func (record *record) add(line RecordLine) {
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
		// An incomplete record would hide faults from the checker.
		panic(err)
	}
}

func (record *record) list() []RecordLine {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]RecordLine(nil), record.lines...)
}
