// Package fault injects faults into the HTTP servers of the stand-ins.
//
// An Injector wraps a handler. Faults are ordered over POST /control with an
// Order as JSON body. The control, record and counter paths are never subject
// to faults, except when the listener refuses connections; a stand-in started
// with a separate control address stays reachable then.
//
// # Usage
//
//	injector := fault.New()
//	server := httptest.NewServer(injector.Wrap(handler))
//	injector.Apply(fault.Order{Fault: fault.Pause, Duration: fault.Duration(time.Second)})
package fault

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Kind names a fault.
type Kind string

// The faults that an Injector understands. A stand-in may define more.
const (
	// Pause holds every call and every write of an answer.
	Pause Kind = "pause"

	// Delay holds each call for Amount before it is handled.
	Delay Kind = "delay"

	// DropAnswer runs the next Count writes and then closes their connections
	// without an answer.
	DropAnswer Kind = "drop-answer"

	// Silent holds all traffic on the connections that are open now; new
	// connections work.
	Silent Kind = "silent"

	// Outage answers every call with 503.
	Outage Kind = "outage"

	// Refuse closes all connections and refuses new ones. Without a Listener
	// each call is reset instead.
	Refuse Kind = "refuse"

	// Clear ends all faults.
	Clear Kind = "clear"
)

// Duration is a time.Duration with the text form of time.ParseDuration.
type Duration time.Duration

// MarshalJSON returns the text form.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON reads the text form.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Annotate(err, "duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.NewNotValid(err, "duration")
	}
	*duration = Duration(parsed)
	return nil
}

// An Order starts a fault.
type Order struct {
	Fault Kind `json:"fault"`

	// Duration is how long the fault lasts; 0 lasts until Clear.
	Duration Duration `json:"duration,omitempty"`

	// Amount is the size of a delay, a slowdown or a lag.
	Amount Duration `json:"amount,omitempty"`

	// Count is the number of calls that the fault applies to, at least 1 for
	// DropAnswer.
	Count int `json:"count,omitempty"`

	// Prefix limits DropAnswer to paths or store keys with the prefix.
	Prefix string `json:"prefix,omitempty"`
}
