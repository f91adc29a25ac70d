// Package fault injects faults into the HTTP servers of the stand-ins.
//
// An Injector wraps a handler. Faults are started with POST /control and an
// Order as JSON body. The paths /control, /record and /counters are exempt from
// faults, except that a Listener that refuses connections refuses them too. A
// stand-in with a separate control address stays reachable in that case.
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

// A Kind is the name of a fault.
type Kind string

// The faults that every Injector supports. A stand-in may define more, see
// Injector.Extend.
const (
	// Pause blocks every call and every write of a response.
	Pause Kind = "pause"

	// Delay blocks each call for Amount before it is handled.
	Delay Kind = "delay"

	// DropAnswer handles the next Count calls other than GET and then closes
	// their connections without a response.
	DropAnswer Kind = "drop-answer"

	// Silent blocks all traffic on the connections that are open when the
	// fault starts. New connections work.
	Silent Kind = "silent"

	// Outage responds to every call with status 503.
	Outage Kind = "outage"

	// Refuse closes all connections and refuses new ones. Without a Listener,
	// the connection of each call is reset instead.
	Refuse Kind = "refuse"

	// Clear ends all faults.
	Clear Kind = "clear"
)

// A Duration is a time.Duration that is encoded in the text form of
// time.ParseDuration.
type Duration time.Duration

// MarshalJSON encodes the duration in its text form.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON decodes the text form.
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

	// Duration is the duration of the fault. If it is 0, the fault lasts until
	// Clear.
	Duration Duration `json:"duration,omitempty"`

	// Amount is the length of a delay, a slowdown or a lag.
	Amount Duration `json:"amount,omitempty"`

	// Count is the number of calls that DropAnswer applies to, at least 1. The
	// faults of a stand-in may give it another meaning.
	Count int `json:"count,omitempty"`

	// Prefix limits DropAnswer to calls whose path or store key begins with
	// it.
	Prefix string `json:"prefix,omitempty"`
}
