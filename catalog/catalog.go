// Package catalog is one version of the configuration under which callers'
// HTTP requests are passed to targets: routes by host and path prefix,
// workspaces by key, services and what their engines can do.
//
// A Catalog is immutable and does no input or output. It keeps digests of keys
// and never the keys themselves.
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

// Kind says what may be repeated with the requests of a route.
type Kind int

// The kinds of route.
const (
	// KindOnce is a request that may run at most once.
	KindOnce Kind = iota + 1

	// KindIdempotent is a request that may run more than once.
	KindIdempotent

	// KindStream is answered by a stream of events.
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

// A Route carries the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind

	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration

	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration

	// GapObjective is the longest pause between events of a stream that is on
	// time, 0 for none.
	GapObjective time.Duration

	// Priority orders requests; 0 is the most urgent.
	Priority int

	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int

	// Public routes need no key.
	Public bool

	// Resumable streams may go on at another target after the last delivered
	// event.
	Resumable bool
	Splits    []Split
}

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// A Split sends a part of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// A Service is a set of targets of one kind.
type Service struct {
	Name           string
	MaxConnections int

	// Engine is nil for a plain service.
	Engine *Engine
}

// An Engine is what the model engines of a service can do. Times are those of
// a model with pace 1.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int

	// CacheTokens is the memory of a group in tokens.
	CacheTokens int

	// Step is the time of one token for each running request, SequenceStep and
	// ContextStep what each request and each 1,000 tokens of its context add.
	Step         time.Duration
	SequenceStep time.Duration
	ContextStep  time.Duration

	// ReadRate is the number of prompt tokens read in a second, ReadChunk how
	// many are read at most in a step.
	ReadRate  float64
	ReadChunk int

	// Stride is the number of steps in a pass that writes.
	Stride int

	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request.
	UsualPrompt int
	UsualAnswer int

	// Models are the models that groups can hold.
	Models []Model

	// LoadRate is the number of loads from the weight store that may begin in a
	// second; more than ParallelLoads at once slow each other down.
	LoadRate      float64
	ParallelLoads int

	// OpenTime is how long a group takes to open.
	OpenTime time.Duration
}

// Model returns one of the engine's models.
func (engine *Engine) Model(name string) (Model, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// A Model is what a serving group of one model needs.
type Model struct {
	Name string

	// Size is the number of VMs in a group.
	Size int

	// Share is the model's part of the targets at the start.
	Share float64

	// Pace multiplies the engine's times.
	Pace float64

	// LoadTime is a load from the weight store, WarmTime one from the host.
	LoadTime time.Duration
	WarmTime time.Duration
}

// Workspace is one customer business.
type Workspace struct {
	Name string

	// Priority goes before the route's priority; it is -1 for none.
	Priority int
}

// A Tenancy is a workspace with its keys.
type Tenancy struct {
	Workspace Workspace
	Keys      []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config holds the content of a Catalog.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Tenancy
	Limits     Limits
}

// A Catalog is one version of the configuration.
type Catalog struct {
	version  uint64
	routes   map[string][]Route
	services map[string]Service
	names    []string
	keys     map[[sha256.Size]byte]Workspace
	keyed    bool
	limits   Limits
}

// New returns a catalog. It returns an errors.NotValid error for a
// configuration whose routes name unknown services.
func New(config Config) (*Catalog, error) {
	catalog := &Catalog{
		version:  config.Version,
		routes:   map[string][]Route{},
		services: map[string]Service{},
		keys:     map[[sha256.Size]byte]Workspace{},
		keyed:    len(config.Workspaces) > 0,
		limits:   config.Limits,
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
	}
	for _, routes := range catalog.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, tenancy := range config.Workspaces {
		for _, key := range tenancy.Keys {
			catalog.keys[sha256.Sum256([]byte(key))] = tenancy.Workspace
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

// Limits returns the bounds of what callers may send.
func (catalog *Catalog) Limits() Limits { return catalog.limits }

// Services returns the services in the order of their names.
func (catalog *Catalog) Services() []Service {
	services := make([]Service, 0, len(catalog.names))
	for _, name := range catalog.names {
		services = append(services, catalog.services[name])
	}
	return services
}

// Service returns one service.
func (catalog *Catalog) Service(name string) (Service, bool) {
	service, found := catalog.services[name]
	return service, found
}

// Match returns the route of the host with the longest prefix of the path.
func (catalog *Catalog) Match(host, path string) (Route, bool) {
	for _, route := range catalog.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Keyed reports whether requests need a key, but on public routes.
func (catalog *Catalog) Keyed() bool { return catalog.keyed }

// Workspace returns the workspace that holds the key. The digest is looked up,
// so that the time taken says nothing about keys that are known.
func (catalog *Catalog) Workspace(key string) (Workspace, bool) {
	workspace, found := catalog.keys[sha256.Sum256([]byte(key))]
	return workspace, found
}

// Choose returns the service of a route for a draw of 0 up to 1.
func (route Route) Choose(draw float64) string {
	total := 0
	for _, split := range route.Splits {
		total += split.Weight
	}
	left := draw * float64(total)
	for _, split := range route.Splits {
		left -= float64(split.Weight)
		if left < 0 {
			return split.Service
		}
	}
	return route.Splits[len(route.Splits)-1].Service
}
