package control

import (
	"time"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A message is a result that a worker sends to the control thread.
type message interface{ message() }

// fleetResult is an event for the membership core.
type fleetResult struct {
	event fleet.Event

	// reached is true if the store answered the call.
	reached bool
}

// groupResult is an event for the leader of a fabric domain.
type groupResult struct {
	domain string

	// term is the term of leadership in which the worker was started. Results
	// of earlier terms are discarded.
	term  uint64
	event group.Event

	// orderCount is the number of orders that the engine has begun, updated with
	// the outcome of the order. It is empty for calls other than orders.
	orderCount orderCount
}

// keysListed is the complete content of a watched prefix.
type keysListed struct {
	prefix   string
	revision uint64
	entries  []kvstore.Entry
}

// keysChanged holds the changes below a watched prefix since the previous
// keysListed or keysChanged.
type keysChanged struct {
	prefix   string
	revision uint64
	entries  []kvstore.Entry
	deleted  []string
}

// watchFailed reports that a list or watch call of a watcher failed.
type watchFailed struct{ err error }

// headRead is the configuration head that the store returned.
type headRead struct {
	// sent is when the request was sent.
	sent time.Time

	// value is empty if the store has no head.
	value []byte
}

// headFailed reports that the configuration head could not be read.
type headFailed struct{}

// bodyRead is a configuration body that the store returned.
type bodyRead struct {
	head  generation.Head
	value []byte
}

// bodyFailed reports that a configuration body could not be read.
type bodyFailed struct{}

// vmsFailed reports that the platform's list of VMs could not be read.
type vmsFailed struct{}

// vmsRead is the platform's list of VMs.
type vmsRead struct{ vms []kvstore.VM }

// serviceRead is the report of a service runner.
type serviceRead struct {
	address string
	report  ServiceReport

	// failed is true if the runner did not report in time.
	failed bool
}

// drainRecorded is the outcome of writing the audit entry of a drain.
type drainRecorded struct {
	target  string
	outcome kvstore.PutOutcome
}

// leaseRevoked reports that a call to revoke the node's lease has ended, with
// or without success.
type leaseRevoked struct{}

// workerEnded reports the end of a worker that has no other result.
type workerEnded struct{}

func (fleetResult) message()   {}
func (groupResult) message()   {}
func (keysListed) message()    {}
func (keysChanged) message()   {}
func (watchFailed) message()   {}
func (headRead) message()      {}
func (headFailed) message()    {}
func (bodyRead) message()      {}
func (bodyFailed) message()    {}
func (vmsRead) message()       {}
func (vmsFailed) message()     {}
func (serviceRead) message()   {}
func (drainRecorded) message() {}
func (leaseRevoked) message()  {}
func (workerEnded) message()   {}

// A command is a request of another goroutine to the control thread.
type command interface{ command() }

// functionCall is a function to run on the control thread, which closes done
// when the function has returned.
type functionCall struct {
	call func(now time.Time)
	done chan struct{}
}

func (functionCall) command() {}
