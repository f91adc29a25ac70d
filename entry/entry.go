// Package entry is the HTTP interface for callers.
//
// A Server authenticates a caller, finds the route by workspace and path,
// admits the request and relays it to a serving group or a plain service. It
// reads a route.Table for each decision and owns no control state.
//
// # Drafts
//
// Pieces of a draft reach the caller only while the grant for the attempt's
// epoch holds. The final marker is held until a grant confirms that the group
// was complete at the answer's end. If the group is lost before that, the
// answer goes on, or is verified, at another group from the last delivered
// piece. An answer that cannot be completed is reset and never ended cleanly.
//
// When the grant lapses and no other group can take over, the stream waits
// for the grant to return at the same epoch: cancelling would only discard
// work.
//
// # Services
//
// A route that is not idempotent gets one attempt that may have written a
// byte. Attempts that certainly wrote none, or that the service itself
// refused, may move to another runner. With an Idempotency-Key the request
// first takes a claim in the store, see package booking.
//
// # Outcomes
//
// Every response carries Lacewingspoke-Outcome; a stream carries it as a
// trailer. 429 and 503 are sent only for a request that was not run, 502 and
// 504 only for one whose outcome is unknown.
//
// # Usage
//
//	server, err := entry.New(entry.Config{
//		Publisher:     publisher,
//		Store:         store,
//		Node:          "entry-1",
//		FailureDomain: "mamaia-north",
//		Logger:        logger,
//		Registerer:    registry,
//	})
//	httpServer := &http.Server{Handler: server}
//	…
//	server.Stop()           // new requests are refused as not run
//	httpServer.Shutdown(ctx) // waits for requests in progress
//	server.Close()
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/service"
)

// Defaults of Config.
const (
	defaultCapacity        = 1024
	defaultQueueLimit      = 1024
	defaultMaxBodyBytes    = 1 << 20
	defaultMaxAnswerBytes  = 1 << 20
	defaultMaxAttempts     = 8
	defaultWriteTimeout    = 10 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultTargetWait      = 2 * time.Second
	defaultAttemptTimeout  = 5 * time.Second
	defaultStoreTimeout    = time.Second
	defaultDeadline        = time.Minute
	defaultMaxDeadline     = 10 * time.Minute
	defaultRetentionPeriod = 24 * time.Hour
)

// Config holds what a Server needs. Publisher and Node are required; a zero
// bound takes its default.
type Config struct {
	Publisher *route.Publisher

	// Store holds claims. Without a store, keyed bookings are refused.
	Store         kvstore.Store
	Node          string
	FailureDomain string

	// Capacity is the number of requests in progress, default 1024.
	Capacity int

	// QueueLimit is the number of waiting requests, default 1024.
	QueueLimit int

	// MaxBodyBytes bounds a request's body, default 1 MiB.
	MaxBodyBytes int64

	// MaxAnswerBytes bounds the text of a draft, default 1 MiB.
	MaxAnswerBytes int

	// MaxAttempts bounds the attempts of one request that bring it no piece,
	// default 8.
	MaxAttempts int

	// WriteTimeout bounds one write to a caller, default 10 s. A caller that
	// takes no bytes for longer is cut off.
	WriteTimeout time.Duration

	// BodyTimeout bounds the reading of a request's body, default 10 s.
	BodyTimeout time.Duration

	// TargetWait bounds the wait for a usable target while nothing was
	// delivered, default 2 s.
	TargetWait time.Duration

	// AttemptTimeout bounds one attempt at a service that may be repeated,
	// default 5 s. An attempt that must not be repeated has until the deadline.
	AttemptTimeout time.Duration

	// StoreTimeout bounds one call of the store, default 1 s.
	StoreTimeout time.Duration

	// MaxDeadline bounds the deadline that a caller may ask for, default 10
	// min.
	MaxDeadline time.Duration

	// Generator holds the timeouts of engine streams.
	Generator engine.GeneratorConfig

	// Service holds the bounds of the service client.
	Service service.Config

	// Seed makes target choices reproducible, 0 for a random seed.
	Seed uint64

	// Now is the clock, time.Now by default.
	Now func() time.Time

	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

func (config *Config) setDefaults() {
	setInt(&config.Capacity, defaultCapacity)
	setInt(&config.QueueLimit, defaultQueueLimit)
	setInt(&config.MaxAnswerBytes, defaultMaxAnswerBytes)
	setInt(&config.MaxAttempts, defaultMaxAttempts)
	setDuration(&config.WriteTimeout, defaultWriteTimeout)
	setDuration(&config.BodyTimeout, defaultBodyTimeout)
	setDuration(&config.TargetWait, defaultTargetWait)
	setDuration(&config.AttemptTimeout, defaultAttemptTimeout)
	setDuration(&config.StoreTimeout, defaultStoreTimeout)
	setDuration(&config.MaxDeadline, defaultMaxDeadline)
	if config.MaxBodyBytes <= 0 {
		config.MaxBodyBytes = defaultMaxBodyBytes
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
}

func setInt(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// A Server is the handler of callers' requests.
type Server struct {
	config    Config
	router    *mux.Router
	metrics   *metrics
	tracker   *route.Tracker
	suspects  *route.Suspects
	picker    *route.Picker
	generator *engine.Generator
	services  *service.Client
	admission *admission
	gate      *gate
	leases    *claimLeases

	stopping atomic.Bool
	inFlight atomic.Int64

	// background counts short calls that outlive their request: cancels and
	// completions of claims.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	watched    chan struct{}
}

// New returns a server and starts its watch of the route table. The owner
// calls Close.
func New(config Config) (*Server, error) {
	if config.Publisher == nil {
		return nil, errors.NotValidf("entry without publisher")
	}
	if config.Node == "" {
		return nil, errors.NotValidf("entry without node name")
	}
	config.setDefaults()
	registered, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tracker := route.NewTracker()
	suspects := route.NewSuspects()
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		config:    config,
		metrics:   registered,
		tracker:   tracker,
		suspects:  suspects,
		generator: engine.NewGenerator(config.Generator),
		services:  service.New(config.Service),
		admission: newAdmission(config),
		gate:      newGate(config.Publisher, config.Now),
		leases:    newClaimLeases(config),
		ctx:       ctx,
		cancel:    cancel,
		watched:   make(chan struct{}),
		picker: route.NewPicker(route.PickerConfig{
			FailureDomain: config.FailureDomain,
			Source:        rand.NewPCG(config.Seed, config.Seed),
			Tracker:       tracker,
			Suspects:      suspects,
		}),
	}
	server.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	server.router.PathPrefix("/").HandlerFunc(server.serve)
	server.router.NotFoundHandler = http.HandlerFunc(server.serve)
	go server.watch()
	return server, nil
}

// watch follows the route table until the server is closed.
func (server *Server) watch() {
	defer close(server.watched)
	server.gate.run(server.ctx, server.adopt)
}

// adopt takes what admission and the tracker need from a new table.
func (server *Server) adopt(table *route.Table) {
	if table.Folder() == nil {
		return
	}
	keep := map[string]bool{}
	for _, spec := range table.Folder().Groups() {
		for _, target := range table.Groups(spec.Name) {
			keep[target.Name] = true
		}
	}
	for _, target := range table.Folder().Services() {
		for _, runner := range table.Services(target.Name) {
			keep[runner.Address] = true
		}
	}
	server.tracker.Retain(keep)
	server.suspects.Retain(keep)
	server.admission.adopt(table)
}

// ServeHTTP answers one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.router.ServeHTTP(writer, request)
}

// Stop refuses requests that arrive from now on as not run. Accepted requests,
// including waiting ones, are served.
func (server *Server) Stop() {
	if !server.stopping.Swap(true) {
		server.config.Logger.Info("entry stopped accepting requests", zap.Int64("in-flight", server.inFlight.Load()))
	}
}

// InFlight returns the number of accepted requests that are not answered yet.
func (server *Server) InFlight() int { return int(server.inFlight.Load()) }

// Close ends the server's goroutines and waits for them. It is called after
// the last request was answered.
func (server *Server) Close() {
	server.cancel()
	<-server.watched
	server.background.Wait()
	server.services.Close()
}

// Usage returns this node's demand for each workspace.
func (server *Server) Usage() []limit.Usage { return server.admission.usage() }

// SetUsage replaces the demand of the other live nodes. A node without demand
// is listed without workspaces.
func (server *Server) SetUsage(others []limit.NodeUsage) {
	server.admission.setOthers(others, server.config.Now())
}

// serve counts the request and refuses it when the server is stopping. The
// count is raised first, so that Stop followed by InFlight misses no request.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	exchange := newExchange(server, writer, request)
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
		exchange.refuse(http.StatusServiceUnavailable, outcome.NotRun{Reason: "node is stopping", RetryAfter: time.Second})
		return
	}
	exchange.authenticate()
}

// natureOf returns what may be done again with requests of a route. Generating
// has no effect outside the answer, so that every draft can be resumed.
func natureOf(target folder.Route) outcome.Nature {
	switch {
	case target.Kind == folder.KindDraft:
		return outcome.Resumable
	case target.Idempotent:
		return outcome.Repeatable
	default:
		return outcome.RunOnce
	}
}
