// Package engine is a small stand-in for the model engine of one VM. It serves
// the protocol of docs/design.md section 5.2.
//
// Token i of an answer is a function of the prompt and i, so that a checker
// can verify that an answer is whole and belongs to its request. An engine
// does not communicate with the other members of its group, so it keeps
// generating after they have failed.
//
// # Usage
//
//	standIn := engine.New(engine.Config{VM: "vm-1"})
//	server := httptest.NewServer(standIn)
//
// Faults are started with POST /control, see package fault. In addition to the
// faults of that package, an engine supports:
//
//   - "slow" adds the order's amount to the interval between tokens.
//   - "lag" sets the age of the reported load figures to the order's amount.
//   - "die" ends the engine.
//   - "hold" blocks all streams before the token whose index is the order's
//     count, until "clear".
package engine

import (
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// Defaults of Config, and the number of tokens of a request that sets no limit.
const (
	DefaultTokenInterval   = 2 * time.Millisecond
	DefaultPrefillPerBlock = 500 * time.Microsecond
	DefaultBatchSize       = 16
	DefaultCacheBlocks     = 4096
	DefaultMaxTokens       = 16
)

// The faults that an engine supports in addition to those of package fault.
const (
	FaultSlow fault.Kind = "slow"
	FaultLag  fault.Kind = "lag"
	FaultDie  fault.Kind = "die"
	FaultHold fault.Kind = "hold"
)

// A Config configures an Engine. The zero value of a field selects its default
// or turns the feature off.
type Config struct {
	// VM is the VM's name.
	VM string

	// Incarnation identifies this start of the engine. The default is random.
	Incarnation string

	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration

	// PrefillPerBlock is the delay of the first token for each block of the
	// prompt, of BlockBytes each, that is not in the prefix cache.
	PrefillPerBlock time.Duration

	// BatchSize is the number of requests that run concurrently. Further
	// requests wait in a queue.
	BatchSize int

	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int

	// LoadTime is the duration of a load or version order.
	LoadTime time.Duration

	// ReportLag is the age of the load figures in reports.
	ReportLag time.Duration

	// EventLag is the delay after which a cache event is delivered. Events
	// whose sequence number is a multiple of EventGap are lost.
	EventLag time.Duration
	EventGap uint64

	// ChecksFencing makes the engine reject an order whose fencing number is
	// lower than that of the last accepted order.
	ChecksFencing bool

	// Record receives the record as JSON lines, in addition to the copy in
	// memory. Nil turns it off.
	Record io.Writer

	// Die ends the process. If it is nil, an engine with the fault "die"
	// resets the connection of every call instead.
	Die func()

	// Injector applies the faults. By default the Engine creates one.
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

// An Engine is an http.Handler that serves the engine protocol for one VM.
type Engine struct {
	config  Config
	handler http.Handler
	record  *record
	role    *role
	batch   *batch
	cache   *cache
	slow    tokenDelay
	hold    hold
}

// New returns an idle Engine, which has no model loaded.
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

// ServeHTTP serves the engine protocol and the control paths.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector of the engine.
func (engine *Engine) Injector() *fault.Injector { return engine.config.Injector }

// Record returns the lines recorded so far.
func (engine *Engine) Record() []RecordLine { return engine.record.list() }

// ReusedBlocks returns the total number of prompt blocks that were found in
// the prefix cache.
func (engine *Engine) ReusedBlocks() uint64 { return engine.cache.reusedBlocks() }
