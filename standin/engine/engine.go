// Package engine is a small stand-in for the model engine of one VM. It speaks
// the protocol of docs/design.md section 5.2.
//
// Token i of an answer is a function of the prompt and i, so that a checker
// can tell whether an answer is whole and belongs to its caller. An engine
// keeps generating when other members of its group are dead.
//
// # Usage
//
//	stand := engine.New(engine.Config{VM: "vm-1"})
//	server := httptest.NewServer(stand)
//
// Faults are ordered over POST /control, see package fault. Besides those of
// the fault package, "slow" adds the order's amount to each token's interval,
// "lag" sets the lag of load figures, "die" ends the engine and "hold" keeps
// streams from passing the token with the index of the order's count until
// "clear".
package engine

import (
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// The defaults of Config.
const (
	DefaultTokenInterval   = 2 * time.Millisecond
	DefaultPrefillPerBlock = 500 * time.Microsecond
	DefaultBatchSize       = 16
	DefaultCacheBlocks     = 4096
	DefaultMaxTokens       = 16
)

// The faults of an engine besides those of package fault.
const (
	FaultSlow fault.Kind = "slow"
	FaultLag  fault.Kind = "lag"
	FaultDie  fault.Kind = "die"
	FaultHold fault.Kind = "hold"
)

// A Config configures an Engine. The zero value of each field means its
// default, or off.
type Config struct {
	// VM is the VM's name.
	VM string

	// Incarnation identifies this start of the engine; random by default.
	Incarnation string

	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration

	// PrefillPerBlock is the time that each uncached block of BlockBytes of
	// the prompt adds to the first token.
	PrefillPerBlock time.Duration

	// BatchSize is the number of requests that run at once; others queue.
	BatchSize int

	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int

	// LoadTime is how long a load or version order takes.
	LoadTime time.Duration

	// ReportLag is the age of the load figures in reports.
	ReportLag time.Duration

	// EventLag is how late cache events are delivered; every event whose
	// sequence number is a multiple of EventGap is lost.
	EventLag time.Duration
	EventGap uint64

	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool

	// Record receives the record as JSON lines; it is kept in memory as well.
	Record io.Writer

	// Die ends the process. Without it a dead engine resets every call.
	Die func()

	// Injector applies faults; by default the Engine creates its own.
	Injector *fault.Injector
}

func (config *Config) setDefaults() {
	if config.Incarnation == "" {
		config.Incarnation = uuid.NewString()
	}
	if config.TokenInterval == 0 {
		config.TokenInterval = DefaultTokenInterval
	}
	if config.PrefillPerBlock == 0 {
		config.PrefillPerBlock = DefaultPrefillPerBlock
	}
	if config.BatchSize == 0 {
		config.BatchSize = DefaultBatchSize
	}
	if config.CacheBlocks == 0 {
		config.CacheBlocks = DefaultCacheBlocks
	}
	if config.Injector == nil {
		config.Injector = fault.New()
	}
}

// An Engine is an http.Handler that serves the protocol for one VM.
type Engine struct {
	config  Config
	handler http.Handler
	record  *record
	role    *role
	batch   *batch
	cache   *cache
	slow    slowdown
	hold    hold
}

// New returns an idle Engine.
func New(config Config) *Engine {
	config.setDefaults()
	cache := newCache(config.CacheBlocks, config.EventLag, config.EventGap)
	engine := &Engine{
		config: config,
		record: newRecord(config.VM, config.Incarnation, config.Record),
		role:   newRole(config.LoadTime, config.ChecksFencing),
		batch:  newBatch(config.BatchSize, config.CacheBlocks, config.ReportLag),
		cache:  cache,
	}
	config.Injector.Extend(engine.applyFault)
	engine.handler = config.Injector.Wrap(engine.routes())
	return engine
}

// ServeHTTP serves the protocol.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector.
func (engine *Engine) Injector() *fault.Injector { return engine.config.Injector }

// Record returns what the engine ran so far.
func (engine *Engine) Record() []Line { return engine.record.list() }

// ReusedBlocks returns the number of prompt blocks that were found in the
// prefix cache so far.
func (engine *Engine) ReusedBlocks() uint64 { return engine.cache.reusedBlocks() }
