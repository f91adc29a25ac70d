// Package store is a small stand-in for the platform's key-value store, VM
// list and weight store. It serves the protocol of docs/design.md section 5.1
// and keeps all data in memory.
//
// # Usage
//
//	standIn := store.New(store.Config{})
//	server := httptest.NewServer(standIn)
//
// Faults are started with POST /control, see package fault. In addition to the
// faults of that package, "lag" sets the lag of the VM list to the order's
// amount.
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

// A Config configures a Store. A limit of 0 means no limit.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls. A call over
	// its limit gets status 429.
	WritesPerSecond float64
	ReadsPerSecond  float64

	// WeightBytesPerSecond limits the rate at which weights are read from the
	// weight store.
	WeightBytesPerSecond float64

	// VMLag is the time until a change of the VM list becomes visible.
	VMLag time.Duration

	// VMs is the initial VM list, which is visible immediately.
	VMs []VM

	// History is the number of changes kept for watches, by default 10000. A
	// watch from an older revision gets status 410.
	History int

	// Injector applies the faults. By default the Store creates one.
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

// A Counter counts the calls of one kind on keys with the same first segment,
// which is Prefix.
type Counter struct {
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Calls  int    `json:"calls"`

	// Limited is the number of these calls that got status 429.
	Limited int `json:"limited"`
}

// A Store is an http.Handler that serves the store protocol.
type Store struct {
	config    Config
	injector  *fault.Injector
	handler   http.Handler
	keyValues *keyValues
	vms       *vmList
	reads     *tokenBucket
	writes    *tokenBucket
	weights   *tokenBucket
	counters  *counters
}

// New returns a Store without keys.
func New(config Config) *Store {
	if config.History == 0 {
		config.History = defaultHistory
	}
	if config.Injector == nil {
		config.Injector = fault.New()
	}
	store := &Store{
		config:    config,
		injector:  config.Injector,
		keyValues: newKeyValues(config.History),
		vms:       newVMList(config.VMs, config.VMLag),
		reads:     newTokenBucket(config.ReadsPerSecond),
		writes:    newTokenBucket(config.WritesPerSecond),
		weights:   newTokenBucket(config.WeightBytesPerSecond),
		counters:  newCounters(),
	}
	store.injector.Extend(store.applyFault)
	store.handler = store.injector.Wrap(store.routes())
	return store
}

// ServeHTTP serves the store protocol and the control paths.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector of the store.
func (store *Store) Injector() *fault.Injector { return store.injector }

// SetVMs replaces the VM list. The change becomes visible after the lag.
func (store *Store) SetVMs(vms []VM) { store.vms.set(vms, time.Now()) }

// Counters returns the counters of all calls, ordered by kind and prefix.
func (store *Store) Counters() []Counter { return store.counters.list() }
