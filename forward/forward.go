// Package forward passes callers' HTTP requests to targets: whole requests to
// the runners of plain services, streams to rank 0 of serving groups.
//
// Method, path and body go on unchanged, and so do status, body and seal of the
// answer. What the headers say is read and written by a Codec, so that the
// package knows no names on the wire. Decisions come from the core packages:
// route picks targets, limit bounds retries, catalog names what may be
// repeated.
//
// # Outcomes
//
// 429 and 503 are sent only for a request that has not run and will not run. A
// request that may have run ends with 502 or 504, or a closed connection once a
// stream has begun. A stream whose group is lost goes on at another group
// after the last whole event, if its route allows it.
//
// # Usage
//
//	server, err := forward.New(forward.Config{
//		Publisher:     publisher,
//		Codec:         platform.Codec{},
//		FailureDomain: "mamaia-north",
//		Now:           clock.Now,
//		Confirmed:     feed.Confirmed,
//	})
//	httpServer := &http.Server{Handler: server}
//	…
//	server.Stop()            // new requests are refused as not run
//	httpServer.Shutdown(ctx) // waits for requests in progress
//	server.Close()
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
)

// A Demand is what a caller's headers say.
type Demand struct {
	// Attempt is the id that the caller gave to this attempt.
	Attempt string
	Key     string

	// Deadline is how long the caller waits, 0 for not given.
	Deadline time.Duration

	// Model, PromptTokens, MaxAnswerTokens and ExpectedTokens describe a
	// generation; counts are 0 when they are not given.
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	ExpectedTokens  int

	// ResumeAfter is the last event that the caller has of an earlier attempt.
	ResumeAfter string
}

// A Send is what a target is told beside the caller's own headers.
type Send struct {
	// Target is the name of the target that must answer.
	Target    string
	Workspace string

	// Deadline is the time that is left.
	Deadline time.Duration

	// ResumeAfter is the last event that was delivered, empty for none.
	ResumeAfter string

	// Urgency orders requests at the target, 0 first; -1 leaves it to the
	// target.
	Urgency int
}

// An Answer is what a target's headers say.
type Answer struct {
	// Attempt is the id that the answer belongs to, empty when it names none.
	Attempt string

	// Refused says that the target has not run the request and will not.
	Refused bool

	// Sealed says that the answer carries the target's seal.
	Sealed bool

	// Foreign says that the body is not the target's own.
	Foreign bool

	// Faulty names the target that a refusal blames, empty for none.
	Faulty string

	// Load is nil when the answer does not tell it.
	Load *Load
}

// A Load is what a target tells of its work.
type Load struct {
	group.Load

	// Slots is the number of requests that the target runs at once.
	Slots int
}

// A Codec reads and writes headers.
type Codec interface {
	// Demand reads a caller's headers. It returns an errors.NotValid error for
	// a malformed request.
	Demand(header http.Header) (Demand, error)

	// Outgoing returns the headers for a target.
	Outgoing(header http.Header, send Send) http.Header

	// Answer reads a target's headers.
	Answer(status int, header http.Header) Answer

	// Incoming returns a target's headers for the caller.
	Incoming(header http.Header) http.Header

	// Refusal returns the headers of an answer that the node gives itself.
	Refusal(attempt string, retryAfter time.Duration) http.Header
}

// Config holds what a Server needs.
type Config struct {
	Publisher     *route.Publisher
	Codec         Codec
	FailureDomain string

	// Now is the clock that freshness is judged by.
	Now func() time.Time

	// Confirmed returns when the configuration was last known to be the newest.
	Confirmed func() time.Time

	// FreshFor is how old that may be for a request with a key. It is below the
	// time within which a key that was taken away must not pass.
	FreshFor time.Duration

	// Told is called with the load that a target told in an answer, in requests;
	// nil for nobody to tell.
	Told func(target string, load int)

	// Retries bounds the attempts beyond the first of each request.
	Retries limit.AllowanceConfig

	// LeastNodes is the number of nodes that share the retries at least, for
	// the time in which a node does not know the others.
	LeastNodes int

	// Timers wake the watch of standing streams.
	Timers *timer.Service

	// Seed makes target choices reproducible, 0 for a random seed.
	Seed       uint64
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// A Server is the handler of callers' requests.
type Server struct {
	config   Config
	metrics  *metrics
	client   *client
	tracker  *route.Tracker
	suspects *route.Suspects
	picker   *route.Picker
	pulse    *route.StallDetector
	forecast *limit.Forecast
	cancel   context.CancelFunc
	watched  chan error

	mutex   sync.Mutex
	random  *rand.Rand
	retries *limit.Allowance

	// nodes is the number of live nodes, which share the load.
	nodes int

	// objectives is the strictest objective of each model's routes.
	objectives map[string]time.Duration

	// standing are the groups whose streams stood still since they were asked
	// for.
	standing map[string]bool

	stopping atomic.Bool
	begun    atomic.Bool
	inFlight atomic.Int64
}

// New returns a server. The owner calls Close. It returns an errors.NotValid
// error for a config without a required part.
func New(config Config) (*Server, error) {
	switch {
	case config.Publisher == nil, config.Codec == nil:
		return nil, errors.NotValidf("forward server without publisher or codec")
	case config.Now == nil, config.Confirmed == nil, config.Timers == nil:
		return nil, errors.NotValidf("forward server without clock, freshness or timers")
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
	registered, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tracker := route.NewTracker()
	suspects := route.NewSuspects()
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		standing:   map[string]bool{},
		objectives: map[string]time.Duration{},
		nodes:      1,
		config:     config,
		metrics:    registered,
		client:     newClient(registered),
		tracker:    tracker,
		suspects:   suspects,
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		retries:    limit.NewAllowance(config.Retries),
		picker: route.NewPicker(route.PickerConfig{
			FailureDomain: config.FailureDomain,
			Source:        rand.NewPCG(config.Seed, config.Seed),
			Tracker:       tracker,
			Suspects:      suspects,
			HistorySize:   -1,
		}),
		pulse:    route.NewStallDetector(route.StallDetectorConfig{MinEventGap: writeGap, MinFirstEventGap: readGap}),
		forecast: limit.NewForecast(limit.ForecastConfig{Memory: paceMemory}),
		cancel:   cancel,
		watched:  make(chan error, 1),
	}
	go server.watch(ctx)
	return server, nil
}

const (
	// watchInterval is how often standing streams are looked for.
	watchInterval = 50 * time.Millisecond

	// writeGap is above the longest pass of an engine that keeps its objectives,
	// readGap above the time to the first event at an engine whose queue is
	// short.
	writeGap = 350 * time.Millisecond
	readGap  = 900 * time.Millisecond

	// paceMemory covers the time between two requests of one node at a group.
	paceMemory = time.Second
)

// watch ends the attempts at targets whose streams stand still, and keeps what
// is remembered of targets to those in the route table.
func (server *Server) watch(ctx context.Context) {
	ticks := server.config.Timers.Every("streams", watchInterval, 0)
	defer ticks.Cancel()
	var adopted *route.Table
	for {
		select {
		case <-ctx.Done():
			server.watched <- nil
			return
		case <-ticks.C():
		}
		now := server.config.Now()
		for _, name := range server.pulse.CancelStalled(now) {
			server.suspects.Failed(name, now)
			server.suspect(name)
		}
		if table := server.config.Publisher.Current(); table != adopted {
			adopted = table
			server.adopt(table)
		}
	}
}

// suspect remembers a group whose streams stand still for the control thread.
func (server *Server) suspect(name string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.standing[name] {
		server.standing[name] = true
		server.config.Logger.Info("streams stand still", zap.String("group", name))
	}
}

// Suspected returns the groups whose streams stood still since the last call.
func (server *Server) Suspected() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var names []string
	for name := range server.standing {
		names = append(names, name)
	}
	clear(server.standing)
	return names
}

// adopt forgets the targets that a new table does not hold.
func (server *Server) adopt(table *route.Table) {
	names := map[string]bool{}
	connections := map[string]bool{}
	for _, target := range table.AllGroups() {
		names[target.Name] = true
		connections[connectionKey(target.Address, target.VM)] = true
	}
	for _, target := range table.AllServices() {
		names[target.Name] = true
		connections[connectionKey(target.Address, target.Name)] = true
	}
	server.tracker.Retain(names)
	server.suspects.Retain(names)
	server.forecast.Retain(names)
	server.client.retain(connections)
}

// ServeHTTP answers one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	server.begun.Store(true)
	exchange := newExchange(server, writer, request)
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
		exchange.refuse("node is stopping", retrySoon)
		return
	}
	exchange.serve()
}

// Begun reports whether a request has arrived.
func (server *Server) Begun() bool { return server.begun.Load() }

// Stop refuses requests that arrive from now on as not run.
func (server *Server) Stop() { server.stopping.Store(true) }

// Close ends the server's goroutine and closes the idle connections to targets.
func (server *Server) Close() {
	server.cancel()
	<-server.watched
	server.client.close()
}

// SetNodes sets the number of live nodes, which share the retries.
func (server *Server) SetNodes(nodes int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.nodes = max(1, nodes)
	server.retries.SetNodes(max(nodes, server.config.LeastNodes), server.config.Now())
}

// SetRetries changes the bounds of the retries.
func (server *Server) SetRetries(config limit.AllowanceConfig) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.retries.SetConfig(config)
}

func (server *Server) countRequest(service string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.retries.Request(service, server.config.Now())
}

// mayRetry takes one of the retries that are left.
func (server *Server) mayRetry(service string) bool {
	server.mutex.Lock()
	allowed := server.retries.Retry(service, server.config.Now())
	server.mutex.Unlock()
	decision := "allowed"
	if !allowed {
		decision = "over-budget"
	}
	server.metrics.retries.WithLabelValues(decision).Inc()
	return allowed
}

// objective returns the strictest objective of the routes that use a model: the
// passes of a group serve all of them, so one with more time does not push the
// others out.
func (server *Server) objective(model string, own time.Duration) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	known, found := server.objectives[model]
	if !found || own > 0 && own < known {
		server.objectives[model] = own
		return own
	}
	return known
}

// others returns the part of the load that comes from other nodes.
func (server *Server) others() float64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return 1 - 1/float64(server.nodes)
}

func (server *Server) draw() float64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.random.Float64()
}
