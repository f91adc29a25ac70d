// Package entry implements the HTTP interface for callers.
//
// A Server authenticates a caller, selects the route by workspace and path,
// admits the request and relays it to a serving group or a plain service. It
// reads the current route.Table for each decision and holds no control state.
//
// # Drafts
//
// Pieces of a draft are delivered to the caller only while the group holds a
// grant for the attempt's epoch. The final marker is delayed until a grant
// confirms that the group was complete when the answer ended. If the group
// loses its grant before that, another group continues the answer after the
// last delivered piece, or confirms its end. A stream that cannot be completed
// is reset and never ended cleanly.
//
// If the grant expires and no other group is usable, the stream waits until
// the grant is renewed at the same epoch, because cancelling the attempt would
// discard its work without another group to continue it.
//
// # Services
//
// A request on a route that is not idempotent gets at most one attempt that
// may have sent bytes to a runner. Attempts that certainly sent none, and
// attempts that the service refused, may be retried at another runner. A
// request with an Idempotency-Key first takes a claim in the store, see package
// booking.
//
// # Outcomes
//
// Every response carries the header Lacewingspoke-Outcome; a stream carries it
// as a trailer. Statuses 429 and 503 are sent only for requests that were not
// run, 502 and 504 only for requests whose outcome is unknown.
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
//	httpServer := httpserve.New(httpserve.Config{Handler: server})
//	…
//	server.BeginStop(left) // refuses requests that may not end in the time left
//	server.Stop()          // refuses all new requests, as not run
//	httpServer.End(ctx)    // waits for requests in progress
//	server.EndRequests()   // answers those that are left when the time is over
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
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/service"
)

// Defaults of Config.
const (
	defaultCapacity        = 1024
	defaultQueueLimit      = 1024
	defaultMaxBodyBytes    = 1 << 20
	defaultMaxBodies       = 32 << 20
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

// Config configures a Server. Publisher and Node are required; a bound of zero
// selects its default.
type Config struct {
	Publisher *route.Publisher

	// Quarantine keeps drafts with messages that end engines from them. If it is nil,
	// the server makes one of its own, which no other node's decisions reach.
	Quarantine *quarantine.Tracker

	// Store holds the claims of bookings. Without a store, bookings with an
	// idempotency key are refused.
	Store         kvstore.Store
	Node          string
	FailureDomain string

	// Capacity bounds the requests in progress, default 1024.
	Capacity int

	// QueueLimit bounds the waiting requests, default 1024.
	QueueLimit int

	// MaxBodyBytes bounds a request's body, default 1 MiB.
	MaxBodyBytes int64

	// MaxBodies bounds the bytes of the bodies of all requests that the server holds at a
	// time, default 32 MiB.
	MaxBodies int64

	// MaxAnswerBytes bounds the text of a draft, default 1 MiB.
	MaxAnswerBytes int

	// MaxAttempts bounds the consecutive attempts of one request that deliver
	// no piece, default 8.
	MaxAttempts int

	// WriteTimeout bounds one write to a caller, default 10 s. A caller that
	// accepts no bytes for longer is disconnected.
	WriteTimeout time.Duration

	// BodyTimeout bounds the reading of a request's body, default 10 s.
	BodyTimeout time.Duration

	// TargetWait bounds the wait for a usable target before the first piece
	// was delivered, default 2 s.
	TargetWait time.Duration

	// AttemptTimeout is the time after which an attempt of a service request that may
	// be repeated is given up for another runner, default 5 s. An attempt that must not
	// be repeated, or for which there is no other runner or no retry, is bounded by the
	// request's deadline only.
	AttemptTimeout time.Duration

	// StoreTimeout bounds one call of the store, default 1 s.
	StoreTimeout time.Duration

	// MaxDeadline bounds the time until the deadline that a caller may request,
	// default 10 min.
	MaxDeadline time.Duration

	// Generator holds the timeouts of engine streams.
	Generator engine.GeneratorConfig

	// Service holds the bounds of the service client.
	Service service.Config

	// Seed is the seed of the random target selection, 0 for a random seed.
	Seed uint64

	// Now returns the current time, time.Now by default.
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
	if config.MaxBodies <= 0 {
		config.MaxBodies = defaultMaxBodies
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

// A Server handles the requests of callers.
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
	gate      *grantGate
	leases    *claimLeases
	bodies    *limit.Bytes

	// requests bounds the requests of a stopping node.
	requests *httpserve.Requests

	stopping atomic.Bool
	inFlight atomic.Int64

	// background counts the short calls that continue after their request was
	// answered: cancels of attempts, and writes and removals of claims.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	watchDone  chan struct{}
}

// New returns a server and starts the goroutine that watches the route table.
// The owner must call Close.
func New(config Config) (*Server, error) {
	if config.Publisher == nil {
		return nil, errors.NotValidf("entry configuration without publisher")
	}
	if config.Node == "" {
		return nil, errors.NotValidf("entry configuration without node name")
	}
	config.setDefaults()
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker()
	}
	registered, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tracker := route.NewTracker()
	suspects := route.NewSuspects()
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		requests:  httpserve.NewRequests(config.Now),
		config:    config,
		metrics:   registered,
		tracker:   tracker,
		suspects:  suspects,
		generator: engine.NewGenerator(config.Generator),
		services:  service.New(config.Service),
		admission: newAdmission(config),
		gate:      newGrantGate(config.Publisher, config.Now),
		leases:    newClaimLeases(config),
		bodies:    limit.NewBytes(config.MaxBodies),
		ctx:       ctx,
		cancel:    cancel,
		watchDone: make(chan struct{}),
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

// watch applies each new route table until the server is closed.
func (server *Server) watch() {
	defer close(server.watchDone)
	server.gate.run(server.ctx, server.applyTable)
}

// applyTable updates admission from a new table and drops the records of
// targets that are no longer in it.
func (server *Server) applyTable(table *route.Table) {
	if table.Folder() == nil {
		return
	}
	keep := map[string]bool{}
	for _, spec := range table.Folder().Groups() {
		for _, target := range table.Groups("", spec.Name) {
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
	server.picker.Retain(keep)
	server.admission.applyTable(table)
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.router.ServeHTTP(writer, request)
}

// BeginStop begins a planned stop at whose end, after the time left, all requests must have
// ended. From then on the server refuses, as not run, requests that may run only once and
// may last longer.
func (server *Server) BeginStop(left time.Duration) { server.requests.BeginStop(left) }

// EndRequests ends the requests in progress. Each gets its last answer.
func (server *Server) EndRequests() { server.requests.End() }

// Stop makes the server refuse new requests with the outcome not-run. Requests
// accepted before, including queued ones, are still served.
func (server *Server) Stop() {
	if !server.stopping.Swap(true) {
		server.config.Logger.Info("entry stopped accepting requests", zap.Int64("in-flight", server.inFlight.Load()))
	}
}

// InFlight returns the number of requests in progress, including store calls for
// claims that continue in the background.
func (server *Server) InFlight() int { return int(server.inFlight.Load()) }

// Close stops the server's goroutines and waits for them. Call it after the
// last request has been answered.
func (server *Server) Close() {
	server.requests.End()
	server.cancel()
	<-server.watchDone
	server.background.Wait()
	server.services.Close()
}

// Usage returns this node's demand for each workspace.
func (server *Server) Usage() []limit.Usage { return server.admission.usage() }

// SetUsage replaces the demand of the other live nodes. others includes nodes
// without demand, with an empty list of workspaces.
func (server *Server) SetUsage(others []limit.NodeUsage) {
	server.admission.setOthers(others, server.config.Now())
	server.picker.SetNodes(len(others) + 1)
}

// serve counts the request as in flight and refuses it if the server is
// stopping. The count is incremented before the check, so that InFlight, called
// after Stop, includes every request that is served.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	exchange := newExchange(server, writer, request)
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
		exchange.refuse(http.StatusServiceUnavailable, outcome.NotRun{Reason: "node is stopping", RetryAfter: time.Second})
		return
	}
	exchange.serve()
}

// retryClassOf returns the retry class of a route: whether its requests may be
// resumed, repeated or run only once. Drafts can always be resumed, because
// generation has no effect besides its answer.
func retryClassOf(target folder.Route) outcome.RetryClass {
	switch {
	case target.Kind == folder.KindDraft:
		return outcome.Resumable
	case target.Idempotent:
		return outcome.Repeatable
	default:
		return outcome.RunOnce
	}
}
