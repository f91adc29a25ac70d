// Package catalog holds one version of the configuration by which callers'
// HTTP requests are forwarded to targets: routes by host and path prefix,
// workspaces by key, and services with the performance of their engines.
//
// A Catalog is immutable and performs no I/O. It holds digests of the keys of
// workspaces, never the keys themselves.
//
// # Usage
//
//	current, err := catalog.New(catalog.Config{Version: 7, Routes: routes, Services: services})
//	if err != nil {
//		return err
//	}
//	route, found := current.Match("orders.example", "/planks/17")
//	workspace, known := current.Workspace(key)
package catalog

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind is the kind of a route. It determines whether a request may be sent to
// another target after a failure.
type Kind int

// The kinds of route.
const (
	// KindOnce is the kind of requests that may run at most once.
	KindOnce Kind = iota + 1

	// KindIdempotent is the kind of requests that may run more than once.
	KindIdempotent

	// KindStream is the kind of requests whose response is a stream of events.
	KindStream
)

// String returns the kind's name in logs and metrics.
func (kind Kind) String() string {
	switch kind {
	case KindOnce:
		return "once"
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "none"
	}
}

// A Route describes how requests of one host and path prefix are forwarded.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind

	// Timeout is the longest time that a request may take.
	Timeout time.Duration

	// Objective is the target latency of the response, or of the first event of
	// a stream.
	Objective time.Duration

	// GapObjective is the target for the longest pause between two events of a
	// stream; 0 means none.
	GapObjective time.Duration

	// Priority orders requests; 0 is the most urgent.
	Priority int

	// MaxAttempts is the largest number of targets to which one request may be
	// sent.
	MaxAttempts int

	// Public is true if requests need no key.
	Public bool

	// Resumable is true if a stream can be resumed at another target after the
	// last delivered event.
	Resumable bool
	Splits    []Split
}

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// Key identifies the route in all versions of the configuration.
func (route Route) Key() string { return strings.ToLower(route.Host) + route.Prefix }

// A Split is the share of a route's requests that is sent to one service, in
// proportion to its weight.
type Split struct {
	Service string
	Weight  int
}

// A Service is a set of targets of one kind.
type Service struct {
	Name           string
	MaxConnections int

	// ColdTime is how long a target is cold after its start, and ColdRate the number of
	// requests a second that it tolerates meanwhile, 0 for no bound.
	ColdTime time.Duration
	ColdRate float64

	// Engine is nil for a plain service.
	Engine *Engine
}

// An Engine describes the performance of the model engines of a service. Times
// are for a model with Pace 1.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int

	// CacheTokens is the capacity of a group's cache in tokens.
	CacheTokens int

	// KeepsPrompts is true if a group keeps prompts after their requests in the free part
	// of its cache, so that it need not read a beginning again.
	KeepsPrompts bool

	// Step is the time of a step, which generates one token for each running
	// request. Each request adds SequenceStep and each 1,000 tokens of its
	// context add ContextStep.
	Step         time.Duration
	SequenceStep time.Duration
	ContextStep  time.Duration

	// ReadRate is the number of prompt tokens that are read per second, and
	// ReadChunk the largest number that is read in one step.
	ReadRate  float64
	ReadChunk int

	// Stride is the number of steps in one pass that generates tokens.
	Stride int

	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of
	// the prompt and of the response of a request.
	MeanPromptTokens int
	MeanAnswerTokens int

	// Models holds the models that the engines can load.
	Models []Model

	// LoadRate is the number of loads from the weight store that may begin per
	// second. More than ParallelLoads at once slow each other down.
	LoadRate      float64
	ParallelLoads int

	// OpenTime is how long a group takes to open.
	OpenTime time.Duration
}

// Model returns the model with the given name and whether the engine has it.
func (engine *Engine) Model(name string) (Model, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// A Model describes the serving groups of one model.
type Model struct {
	Name string

	// Size is the number of VMs in a group.
	Size int

	// Share is the fraction of the targets that serve the model after the start
	// of the system.
	Share float64

	// Pace is the factor by which the times of the engine are multiplied.
	Pace float64

	// LoadTime is the duration of a load from the weight store, and WarmTime
	// that of a load of weights staged on the host.
	LoadTime time.Duration
	WarmTime time.Duration
}

// A Workspace is one customer business.
type Workspace struct {
	Name string

	// Priority overrides the priority of the route; -1 means that it does not.
	Priority int
}

// WorkspaceKeys is a workspace with its keys.
type WorkspaceKeys struct {
	Workspace Workspace
	Keys      []string
}

// Limits bounds the size of requests and the time in which they are sent.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config holds the content of a Catalog.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service

	// RequiresKey is true if requests on routes that are not public need the key of
	// a workspace, also if there is none. A configuration with Workspaces requires
	// keys in any case.
	RequiresKey bool
	Workspaces  []WorkspaceKeys
	Limits      Limits
}

// A Catalog is one version of the configuration.
type Catalog struct {
	version  uint64
	routes   map[string][]Route
	services map[string]Service

	// objectives holds the objectives of the routes by their keys.
	objectives map[string]time.Duration

	// names holds the names of the services in order.
	names []string

	// workspaces holds the workspaces by the digests of their keys.
	workspaces map[[sha256.Size]byte]Workspace

	requiresKey bool
	limits      Limits
}

// New returns a Catalog. It returns an errors.NotValid error if a route has no
// kind, no service or an unknown service.
func New(config Config) (*Catalog, error) {
	catalog := &Catalog{
		version:     config.Version,
		routes:      map[string][]Route{},
		services:    map[string]Service{},
		objectives:  map[string]time.Duration{},
		workspaces:  map[[sha256.Size]byte]Workspace{},
		requiresKey: config.RequiresKey || len(config.Workspaces) > 0,
		limits:      config.Limits,
	}
	for _, service := range config.Services {
		catalog.services[service.Name] = service
		catalog.names = append(catalog.names, service.Name)
	}
	sort.Strings(catalog.names)
	for _, route := range config.Routes {
		if err := catalog.checkRoute(route); err != nil {
			return nil, errors.Trace(err)
		}
		host := strings.ToLower(route.Host)
		catalog.routes[host] = append(catalog.routes[host], route)
		catalog.objectives[route.Key()] = route.Objective
	}
	for _, routes := range catalog.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, entry := range config.Workspaces {
		for _, key := range entry.Keys {
			if key == "" {
				// A request without a key has the same value.
				continue
			}
			catalog.workspaces[sha256.Sum256([]byte(key))] = entry.Workspace
		}
	}
	return catalog, nil
}

func (catalog *Catalog) checkRoute(route Route) error {
	if route.Kind == 0 {
		return errors.NotValidf("route %q without kind", route.Name)
	}
	if len(route.Splits) == 0 {
		return errors.NotValidf("route %q without service", route.Name)
	}
	for _, split := range route.Splits {
		if _, found := catalog.services[split.Service]; !found {
			return errors.NotValidf("route %q to unknown service %q", route.Name, split.Service)
		}
	}
	return nil
}

// Version returns the version of the configuration.
func (catalog *Catalog) Version() uint64 { return catalog.version }

// Limits returns the limits on callers' requests.
func (catalog *Catalog) Limits() Limits { return catalog.limits }

// Objectives returns the objectives of the routes by their keys, 0 for none. The
// caller must not modify the map.
func (catalog *Catalog) Objectives() map[string]time.Duration { return catalog.objectives }

// Services returns the services, sorted by name.
func (catalog *Catalog) Services() []Service {
	services := make([]Service, 0, len(catalog.names))
	for _, name := range catalog.names {
		services = append(services, catalog.services[name])
	}
	return services
}

// Service returns the service with the given name and whether it exists.
func (catalog *Catalog) Service(name string) (Service, bool) {
	service, found := catalog.services[name]
	return service, found
}

// Match returns the route of the host with the longest prefix of the path, and
// whether there is one. Hosts are compared without case.
func (catalog *Catalog) Match(host, path string) (Route, bool) {
	for _, route := range catalog.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// RequiresKey reports whether requests on a route need the key of a workspace.
func (catalog *Catalog) RequiresKey(route Route) bool { return catalog.requiresKey && !route.Public }

// HasWorkspace reports whether a workspace has any key.
func (catalog *Catalog) HasWorkspace(name string) bool {
	for _, workspace := range catalog.workspaces {
		if workspace.Name == name {
			return true
		}
	}
	return false
}

// Workspace returns the workspace with the given key and whether there is one.
// It looks up the digest of the key, so that the duration of the lookup reveals
// nothing about the stored keys.
func (catalog *Catalog) Workspace(key string) (Workspace, bool) {
	workspace, found := catalog.workspaces[sha256.Sum256([]byte(key))]
	return workspace, found
}

// Choose returns the name of the service for a request, given a random number
// from 0 up to but not including 1. It is empty if no service has a positive
// weight.
func (route Route) Choose(draw float64) string {
	total := 0
	for _, split := range route.Splits {
		total += max(0, split.Weight)
	}
	remaining := draw * float64(total)
	chosen := ""
	for _, split := range route.Splits {
		if split.Weight <= 0 {
			continue
		}
		chosen = split.Service
		remaining -= float64(split.Weight)
		if remaining < 0 {
			break
		}
	}
	return chosen
}
