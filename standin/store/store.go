// Package store is a small stand-in for the platform's key-value store, VM
// list and weight store. It speaks the protocol of docs/design.md section 5.1
// and keeps everything in memory.
//
// # Usage
//
//	stand := store.New(store.Config{})
//	server := httptest.NewServer(stand)
//
// Faults are ordered over POST /control, see package fault. Besides those of
// the fault package, "lag" sets the lag of the VM list to the order's amount.
package store

import (
	"net/http"
	"time"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const (
	defaultHistory  = 10000
	defaultMaxValue = 1 << 20
	defaultMaxWait  = time.Minute
)

// A Config configures a Store. Zero limits are off.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit calls; calls over a limit are
	// answered with 429.
	WritesPerSecond float64
	ReadsPerSecond  float64

	// WeightBytesPerSecond is the rate of the weight store.
	WeightBytesPerSecond float64

	// VMLag is how long a change of the VM list takes to be visible.
	VMLag time.Duration

	// VMs is the initial list, visible at once.
	VMs []VM

	// History is the number of changes kept for watches, by default 10000.
	History int

	// Injector applies faults; by default the Store creates its own.
	Injector *fault.Injector
}

// A VM is one entry of the VM list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FabricDomain  string `json:"fabric-domain"`
	FailureDomain string `json:"failure-domain"`
	Accelerators  int    `json:"accelerators"`

	// State is "live" or "leaving".
	State string `json:"state"`
}

// A Counter counts the calls of one kind on keys with one first segment.
type Counter struct {
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Calls  int    `json:"calls"`

	// Limited is the number of these calls answered with 429.
	Limited int `json:"limited"`
}

// A Store is an http.Handler that serves the protocol.
type Store struct {
	config   Config
	injector *fault.Injector
	handler  http.Handler
	data     *data
	vms      *vmList
	reads    *bucket
	writes   *bucket
	weights  *bucket
	counters *counters
}

// New returns a Store.
func New(config Config) *Store {
	if config.History == 0 {
		config.History = defaultHistory
	}
	if config.Injector == nil {
		config.Injector = fault.New()
	}
	store := &Store{
		config:   config,
		injector: config.Injector,
		data:     newData(config.History),
		vms:      newVMList(config.VMs, config.VMLag),
		reads:    newBucket(config.ReadsPerSecond),
		writes:   newBucket(config.WritesPerSecond),
		weights:  newBucket(config.WeightBytesPerSecond),
		counters: newCounters(),
	}
	store.injector.Extend(store.applyFault)
	store.handler = store.injector.Wrap(store.routes())
	return store
}

// ServeHTTP serves the protocol.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector.
func (store *Store) Injector() *fault.Injector { return store.injector }

// SetVMs replaces the VM list; the change is visible after the lag.
func (store *Store) SetVMs(vms []VM) { store.vms.set(vms, time.Now()) }

// Counters returns the calls so far, ordered by kind and prefix.
func (store *Store) Counters() []Counter { return store.counters.list() }
