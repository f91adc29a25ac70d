// Package forward forwards callers' HTTP requests to targets: to rank 0 of serving
// groups for services with an engine, else to the runners of plain services. Whether
// the answer is a stream of events depends on the route only.
//
// The method, path and body of a request are forwarded unchanged, and so are
// the status, body and seal of the response. A Codec reads and writes the
// headers, so that this package does not depend on header names. Other packages
// make the decisions: route picks targets, limit bounds retries, and catalog
// defines which requests may be repeated.
//
// # Outcomes
//
// 429 and 503 are sent only for a request that has not run and will not run. A
// request that may have run ends with 502 or 504, or with a closed connection
// if its stream has already started. If a target fails during a stream and the
// route allows it, the stream resumes at another target after the last complete
// event.
//
// # Other nodes
//
// A node can lose its connections to targets that other nodes reach (route.Paths). It then
// sends requests through another node, which calls ServeRelayed with them: that node sends
// the request to the given target, never through a third one, and passes the answer on. The
// node that took the request from its caller routes, admits, counts and retries it in both
// cases. A request counts as not run only if the other node reports that nothing was sent,
// and an answer as complete only with its trailer.
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
//	httpServer := httpserve.New(httpserve.Config{Handler: server})
//	…
//	server.SetNodes(nodes)   // other nodes send requests to targets that this one does not reach
//	server.BeginStop(left)   // refuses requests that may not end in the time left
//	server.Stop()            // refuses all new requests, as not run
//	httpServer.End(ctx)      // waits for requests in progress
//	server.AwaitRelayed(ctx) // and for those of other nodes
//	server.EndRequests()     // answers those that are left when the time is over
//	server.Close()
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/traffic"
)

// CallerHeaders holds the values of a caller's request headers.
type CallerHeaders struct {
	// Attempt is the id that the caller assigned to this attempt.
	Attempt string
	Key     string

	// Deadline is how long the caller waits for the response, 0 if the headers
	// do not specify it.
	Deadline time.Duration

	// Model, PromptTokens, MaxAnswerTokens and ExpectedTokens describe a
	// text generation request; a count is 0 if the headers do not specify it.
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	ExpectedTokens  int

	// PromptParts are the ids of the parts of the prompt in their order. Requests
	// share parts; the last one belongs to this request or to its session.
	PromptParts []string

	// PartTokens are the numbers of tokens of PromptParts, 0 for one that the headers do
	// not specify.
	PartTokens []int

	// ResumeAfter is the id of the last event that the caller received in an
	// earlier attempt.
	ResumeAfter string
}

// OutgoingValues holds the values that the node adds to the caller's headers
// when it sends a request to a target.
type OutgoingValues struct {
	// Target is the name of the target that must handle the request.
	Target    string
	Workspace string

	// Deadline is the time that remains until the deadline.
	Deadline time.Duration

	// ResumeAfter is the id of the last event that was delivered to the caller,
	// empty for none.
	ResumeAfter string

	// Urgency orders requests at the target, 0 first; with -1 the target uses
	// its default order.
	Urgency int
}

// An Answer holds the values of a target's response headers.
type Answer struct {
	// Attempt is the id of the attempt that the response belongs to, empty if the
	// headers do not contain one.
	Attempt string

	// Refused is true if the target has not run the request and will not run it.
	Refused bool

	// Sealed is true if the response carries the target's seal.
	Sealed bool

	// Foreign is true if the body was not produced by the target itself.
	Foreign bool

	// Faulty is the name of the target that a refusal reports as its cause,
	// empty for none.
	Faulty string

	// RequestLimit is the number of requests a second that the target takes from all
	// nodes together, 0 if the response names none.
	RequestLimit float64

	// Rest is how long the target wants no requests from this node, 0 if the response does
	// ask for it.
	Rest time.Duration

	// Leaving is true if the target reports that it leaves.
	Leaving bool

	// Load is nil if the response does not report it.
	Load *Load
}

// A Load is the load that a target reports.
type Load struct {
	group.Load

	// Slots is the number of requests that the target runs concurrently.
	Slots int
}

// A Codec reads and writes headers.
type Codec interface {
	// ParseRequest parses the headers of a caller's request. It returns an
	// errors.NotValid error for a malformed request.
	ParseRequest(header http.Header) (CallerHeaders, error)

	// Outgoing converts a caller's request headers to those for a target.
	Outgoing(header http.Header, values OutgoingValues) http.Header

	// ParseAnswer parses the headers of a target's response.
	ParseAnswer(status int, header http.Header) Answer

	// Incoming converts a target's response headers to those for the caller.
	Incoming(header http.Header) http.Header

	// Refusal returns the headers of a response that the node generates itself.
	Refusal(attempt string, retryAfter time.Duration) http.Header
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	Publisher     *route.Publisher
	Codec         Codec
	FailureDomain string

	// Node is the name of this node among those of SetNodes.
	Node string

	// AskReached returns which of the targets the node at an admin address reaches. It may
	// be nil.
	AskReached func(ctx context.Context, address string, targets []string) ([]string, error)

	// Now returns the current time, from which deadlines and the age of the
	// configuration are computed.
	Now func() time.Time

	// Confirmed returns the last time at which the configuration was confirmed
	// to be the newest.
	Confirmed func() time.Time

	// MaxConfirmedAge is the age of that confirmation from which requests
	// that need a key, and requests that match no route, are refused as not
	// run. It is below the time within which a revoked key must stop working.
	MaxConfirmedAge time.Duration

	// Retries bounds the attempts beyond the first of each request.
	Retries limit.RetryAllowanceConfig

	// MinNodes is the smallest number of nodes that the retries are divided
	// by. It applies while the node has not discovered the other nodes.
	MinNodes int

	// MaxBodies bounds the bytes of the bodies of all requests and answers that the server
	// holds at a time, 0 for 32 MiB.
	MaxBodies int64

	// Limits keeps the requests to targets within the limits that they name. If it is
	// nil, the server makes one for a single node.
	Limits *limit.TargetLimits

	// Traffic counts the requests of this node and has the sums of the others. If it is nil,
	// the server makes one of its own, which no other node's counts reach.
	Traffic *traffic.Exchange

	// Cold keeps the requests to cold targets within their bounds. If it is nil, the server
	// makes one without cold targets.
	Cold *limit.ColdTargets

	// Quarantine keeps requests with parts that end targets from them. If it is nil,
	// the server makes one of its own, which no other node's decisions reach.
	Quarantine *quarantine.Tracker

	// Timers trigger the periodic check for stalled streams.
	Timers *timer.Service

	// Seed makes target choices reproducible, 0 for a random seed.
	Seed       uint64
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// A Server is the HTTP handler of callers' requests.
type Server struct {
	config        Config
	bodies        *limit.Bytes
	metrics       *metrics
	client        *client
	tracker       *route.Tracker
	suspects      *route.Suspects
	closures      *route.Closures
	paths         *route.Paths
	nodes         *nodes
	direct        *directCalls
	picker        *route.Picker
	stallDetector *route.StallDetector
	runnerStalls  *route.StallDetector
	forecast      *limit.Forecast
	objectives    *limit.Objectives
	cancel        context.CancelFunc
	watchDone     chan error

	mutex   sync.Mutex
	random  *rand.Rand
	retries *limit.RetryAllowance

	// liveNodes is the number of live nodes, which share the load.
	liveNodes int

	// relayed is the number of requests that this node sends for others now. relayedEnded
	// is closed when there are none, nil if nothing waits for that.
	relayed      int
	relayedEnded chan struct{}

	// leaving contains the targets that reported that they leave since the last call of
	// TakeLeaving.
	leaving []route.LeavingTarget

	// stalled contains the groups whose streams have stalled since the last call
	// of StalledGroups.
	stalled map[string]bool

	// requests bounds the requests of a stopping node.
	requests *httpserve.Requests

	stopping        atomic.Bool
	requestReceived atomic.Bool
	inFlight        atomic.Int64
}

// New returns a server, which the caller must Close. It returns an
// errors.NotValid error if a required field of the config is missing.
func New(config Config) (*Server, error) {
	switch {
	case config.Publisher == nil, config.Codec == nil:
		return nil, errors.NotValidf("forward.Config without Publisher or Codec")
	case config.Now == nil, config.Confirmed == nil, config.Timers == nil:
		return nil, errors.NotValidf("forward.Config without Now, Confirmed or Timers")
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.MaxBodies == 0 {
		config.MaxBodies = defaultMaxBodies
	}
	if config.Limits == nil {
		config.Limits = limit.NewTargetLimits("")
	}
	if config.Traffic == nil {
		config.Traffic = traffic.New(traffic.Config{Node: config.Node})
	}
	if config.Cold == nil {
		config.Cold = limit.NewColdTargets(limit.ColdTargetsConfig{})
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker()
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
	bodies := limit.NewBytes(config.MaxBodies)
	registered, err := newMetrics(config, bodies)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tracker := route.NewTracker()
	suspects := route.NewSuspects()
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		requests:   httpserve.NewRequests(config.Now),
		stalled:    map[string]bool{},
		objectives: limit.NewObjectives(),
		liveNodes:  1,
		closures:   route.NewClosures(),
		paths:      route.NewPaths(),
		direct:     newDirectCalls(),
		nodes: newNodes(route.PickerConfig{
			FailureDomain: config.FailureDomain,
			Source:        rand.NewPCG(config.Seed, config.Seed+2),
			HoldingsSize:  -1,
		}),
		config:   config,
		bodies:   bodies,
		metrics:  registered,
		client:   newClient(registered),
		tracker:  tracker,
		suspects: suspects,
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		retries:  limit.NewRetryAllowance(config.Retries),
		picker: route.NewPicker(route.PickerConfig{
			FailureDomain: config.FailureDomain,
			Source:        rand.NewPCG(config.Seed, config.Seed),
			Tracker:       tracker,
			Suspects:      suspects,
			OtherNodes: func(group string, now time.Time) (int, bool) {
				use, _, fresh := config.Traffic.Group(group, now)
				return use.Running, fresh
			},
		}),
		stallDetector: route.NewStallDetector(route.StallDetectorConfig{MinEventGap: minEventGap, MinFirstEventGap: minFirstEventGap, MaxEventGap: minEventTimeout}),
		runnerStalls:  route.NewStallDetector(route.StallDetectorConfig{MinEventGap: minEventTimeout, MinFirstEventGap: minEventTimeout, MaxEventGap: minEventTimeout}),
		forecast:      limit.NewForecast(limit.ForecastConfig{GapMaxAge: gapMaxAge}),
		cancel:        cancel,
		watchDone:     make(chan error, 1),
	}
	go server.watch(ctx)
	return server, nil
}

const (
	// stallCheckInterval is the interval between checks for stalled streams.
	stallCheckInterval = 50 * time.Millisecond

	// minEventGap exceeds the longest pass of an engine that meets its objectives.
	// minFirstEventGap exceeds the time to the first event at an engine with a
	// short queue.
	minEventGap      = 350 * time.Millisecond
	minFirstEventGap = 900 * time.Millisecond

	// gapMaxAge exceeds the time between two requests of one node at a group.
	gapMaxAge = time.Second
)

// watch periodically suspects the streams of targets that have stalled, and drops the state
// of targets that a new route table does not contain.
func (server *Server) watch(ctx context.Context) {
	ticks := server.config.Timers.Every("streams", stallCheckInterval, 0)
	defer ticks.Cancel()
	var lastTable *route.Table
	probed := make(chan probeResult, maxProbes)
	for {
		select {
		case <-ctx.Done():
			server.watchDone <- nil
			return
		case result := <-probed:
			server.handleProbe(result)
			continue
		case <-ticks.C():
		}
		now := server.config.Now()
		server.startProbes(ctx, server.paths.DueProbes(maxProbes, now), probed)
		server.startProbes(ctx, server.direct.reportSilent(server.paths.Lost, now), probed)
		for _, stalled := range server.stallDetector.SuspectStalled(now) {
			server.suspects.Failed(stalled.Name, now)
			server.recordStalled(stalled)
			server.recordSilent(stalled.Name)
		}
		for _, stalled := range server.runnerStalls.SuspectStalled(now) {
			server.suspects.Failed(stalled.Name, now)
			server.config.Logger.Info("streams of runner stalled", zap.String("target", stalled.Name),
				zap.Int("streams", stalled.Streams), zap.Duration("silence", stalled.Silence))
		}
		if table := server.config.Publisher.Current(); table != lastTable {
			server.logClosedGroups(lastTable, table)
			lastTable = table
			server.retainTargets(table)
		}
	}
}

// recordStalled records a group whose streams have stalled. The control thread
// reads the record with StalledGroups.
func (server *Server) recordStalled(stalled route.StalledTarget) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.stalled[stalled.Name] {
		server.stalled[stalled.Name] = true
		server.config.Logger.Info("streams of group stalled", zap.String("group", stalled.Name),
			zap.Int("streams", stalled.Streams), zap.Duration("silence", stalled.Silence))
	}
}

// logClosedGroups logs the groups with requests of this node in progress that a new table
// does not open to new ones.
func (server *Server) logClosedGroups(previous, table *route.Table) {
	if previous == nil {
		return
	}
	now := server.config.Now()
	for _, target := range previous.AllGroups() {
		running := server.tracker.InFlight(target.Name)
		if current, found := table.Group(target.Name); running == 0 || !target.Usable(now) || found && current.Usable(now) {
			continue
		}
		server.config.Logger.Info("group with requests in progress takes no new ones", zap.String("group", target.Name),
			zap.Uint64("epoch", target.Epoch), zap.String("target", target.VM), zap.Int("requests", running))
	}
}

// TakeLeaving returns the targets that reported that they leave since the last call.
func (server *Server) TakeLeaving() []route.LeavingTarget {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	leaving := server.leaving
	server.leaving = nil
	return leaving
}

// recordSilent records that the VM that serves a group is silent towards this node.
func (server *Server) recordSilent(name string) {
	if target, found := server.config.Publisher.Current().Group(name); found {
		server.unreached(target.VM, true)
	}
}

// StalledGroups returns the groups whose streams have stalled since the last
// call.
func (server *Server) StalledGroups() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var names []string
	for name := range server.stalled {
		names = append(names, name)
	}
	clear(server.stalled)
	return names
}

// retainTargets drops the state of targets and the idle connections to targets
// that the table does not contain.
func (server *Server) retainTargets(table *route.Table) {
	names := map[string]bool{}
	limited := map[string]bool{}
	instances := map[string]bool{}
	connections := map[string]bool{}
	for _, target := range table.AllGroups() {
		names[target.Name] = true
		limited[target.VM] = true
		instances[target.Instance()] = true
		connections[connectionKey(target.Address, target.VM)] = true
	}
	for _, target := range table.AllServices() {
		names[target.Name] = true
		limited[target.ID()] = true
		instances[target.Instance()] = true
		connections[connectionKey(target.Address, target.Name)] = true
	}
	for _, node := range server.nodes.all() {
		connections[connectionKey(node.Address, "")] = true
	}
	server.paths.SetTargets(pathTargets(table))
	server.tracker.Retain(names)
	server.suspects.Retain(names)
	server.picker.Retain(names)
	server.closures.Retain(instances, server.config.Now())
	server.forecast.Retain(names)
	server.config.Limits.Retain(limited, server.config.Now())
	server.config.Cold.Retain(limited, server.config.Now())
	server.client.retain(connections)
}

// ServeHTTP handles one request of a caller.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	server.requestReceived.Store(true)
	exchange := newExchange(server, writer, request)
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
		exchange.refuse("node is stopping", shortRetryAfter)
		return
	}
	exchange.serve()
}

// IdleLimit returns how long callers may use a connection without a request again, by the
// configuration in force, 0 if there is none.
func (server *Server) IdleLimit() time.Duration {
	current := server.config.Publisher.Current().Catalog()
	if current == nil {
		return 0
	}
	return current.Limits().IdleTimeout
}

// HeadLimit returns the bound of a request's head by the configuration in force, 0 if there is
// none.
func (server *Server) HeadLimit() int {
	current := server.config.Publisher.Current().Catalog()
	if current == nil {
		return 0
	}
	return current.Limits().MaxHeaderBytes
}

// RequestReceived reports whether the server has received a request.
func (server *Server) RequestReceived() bool { return server.requestReceived.Load() }

// BeginStop begins a planned stop at whose end, after the time left, all requests must have
// ended. From then on the server refuses, as not run, requests that may last longer.
func (server *Server) BeginStop(left time.Duration) { server.requests.BeginStop(left) }

// Stop makes the server refuse, as not run, all requests that arrive after the
// call.
func (server *Server) Stop() { server.stopping.Store(true) }

// EndRequests ends the requests in progress: each gets its last answer, as not run or with
// an unknown outcome.
func (server *Server) EndRequests() { server.requests.End() }

// InProgress returns the number of requests of this node that are in progress at the targets
// of a failure domain.
func (server *Server) InProgress(failureDomain string) int {
	count := 0
	table := server.config.Publisher.Current()
	for _, target := range table.AllGroups() {
		if target.FailureDomain == failureDomain {
			count += server.tracker.InFlight(target.Name)
		}
	}
	for _, target := range table.AllServices() {
		if target.FailureDomain == failureDomain {
			count += server.tracker.InFlight(target.ID())
		}
	}
	return count
}

// Close stops the server's goroutine and closes the idle connections to targets.
func (server *Server) Close() {
	server.requests.End()
	server.cancel()
	<-server.watchDone
	server.client.close()
}

// SetNodes sets the live nodes, which share the retries and send requests for each other.
func (server *Server) SetNodes(nodes []fleet.Node) {
	others := slices.DeleteFunc(slices.Clone(nodes), func(node fleet.Node) bool { return node.Name == server.config.Node })
	server.nodes.set(others)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.liveNodes = max(1, len(nodes))
	server.retries.SetNodes(max(len(nodes), server.config.MinNodes), server.config.Now())
}

// SetRetries changes the bounds on retries.
func (server *Server) SetRetries(config limit.RetryAllowanceConfig) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.retries.SetConfig(config)
}

func (server *Server) countRequest(service string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.retries.Request(service, server.config.Now())
}

// takeRetry takes one retry from the allowance of the service. It reports
// whether one was left.
func (server *Server) takeRetry(service string) bool {
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

// otherNodesShare returns the fraction of the load that comes from other nodes,
// assuming that all nodes send the same load.
func (server *Server) otherNodesShare() float64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return 1 - 1/float64(server.liveNodes)
}

func (server *Server) randomFraction() float64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.random.Float64()
}
