package control

import (
	"time"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A message is the result of a worker.
type message interface{ message() }

// fleetResult is an event for the membership core. Reached says whether the
// store answered.
type fleetResult struct {
	event   fleet.Event
	reached bool
}

// groupResult is an event for the leader of a domain. Term tells results for
// an earlier term of leadership apart.
type groupResult struct {
	domain string
	term   uint64
	event  group.Event

	// counted is what an order taught about the engine's orders.
	counted orderCount
}

// listed is the content of a watched prefix.
type listed struct {
	prefix   string
	revision uint64
	entries  []kvstore.Entry
}

// changed is a change below a watched prefix.
type changed struct {
	prefix   string
	revision uint64
	entries  []kvstore.Entry
	deleted  []string
}

// storeFailed says that a watch got no answer.
type storeFailed struct{ err error }

// headRead is the configuration head of the store.
type headRead struct {
	// sent is when the request was sent.
	sent  time.Time
	value []byte
}

// headFailed says that the head could not be read.
type headFailed struct{}

// bodyRead is a configuration body of the store.
type bodyRead struct {
	head  generation.Head
	value []byte
}

// bodyFailed says that a body could not be read.
type bodyFailed struct{}

// vmsFailed says that the list of VMs could not be read.
type vmsFailed struct{}

// vmsRead is the platform's list of VMs.
type vmsRead struct{ vms []kvstore.VM }

// serviceRead is the report of a service runner. Failed is set when it did
// not report.
type serviceRead struct {
	address string
	report  ServiceReport
	failed  bool
}

// drainRecorded is the outcome of writing the audit entry of a drain.
type drainRecorded struct {
	target  string
	outcome kvstore.PutOutcome
}

// leaseRevoked says that the call that revokes the node's lease has ended.
type leaseRevoked struct{}

// workerEnded says that a long-running worker ended.
type workerEnded struct{}

func (fleetResult) message()   {}
func (groupResult) message()   {}
func (listed) message()        {}
func (changed) message()       {}
func (storeFailed) message()   {}
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

// A command is a request from another goroutine.
type command interface{ command() }

// run asks the control thread to call a function with its state.
type run struct {
	call func(now time.Time)
	done chan struct{}
}

func (run) command() {}
