// Package admin is the HTTP interface of a node for operators and monitoring.
//
// It serves the node's metrics, its health for the platform's load balancer and
// its status, and accepts requests to drain a target. It must listen on an
// address that callers cannot reach; only ReadyHandler is meant for other
// addresses.
//
// # Usage
//
//	server := admin.New(admin.Config{
//		Node:     controller,
//		Gatherer: registry,
//	})
//	http.Serve(listener, server.Handler())
package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/mirror"
	"lacewingspoke.org/lacewingspoke/trafficsync"
)

// A status request whose query parameter QueryGroups is GroupsNo receives a
// response without the groups, which make up most of it: about 300 KB with 181
// groups of 32 members.
const (
	QueryGroups = "groups"
	GroupsNo    = "no"
)

// MaxRequestBytes is the maximum length of the body of a drain request.
const MaxRequestBytes = 64 << 10

// A Node is the node that the admin interface reports on and controls.
type Node interface {
	// Status returns the node's view of the fleet.
	Status(ctx context.Context) (Status, error)

	// Healthy returns nil if the load balancer should send callers to the node,
	// and otherwise the reason why not.
	Healthy() error

	// Drain stops new work for a target. It returns an errors.NotFound error
	// for an unknown target and an errors.NotValid error for an incomplete
	// request.
	Drain(ctx context.Context, request DrainRequest) (DrainResult, error)

	// Release ends the quarantine of a part. Its errors are those of Drain.
	Release(ctx context.Context, request ReleaseRequest) (ReleaseResult, error)
}

// Status is a node's view of the fleet.
type Status struct {
	Node          string        `json:"node"`
	Incarnation   string        `json:"incarnation"`
	FailureDomain string        `json:"failure-domain"`
	Generation    uint64        `json:"generation"`
	Change        string        `json:"change"`
	Digest        string        `json:"digest"`
	Ready         bool          `json:"ready"`
	Stopping      bool          `json:"stopping"`
	StoreReached  bool          `json:"store-reached"`
	Peers         []PeerStatus  `json:"peers"`
	Leads         []string      `json:"leads"`
	Groups        []GroupStatus `json:"groups"`
	Leaving       []string      `json:"leaving"`

	// Quarantined are the parts of requests in quarantine.
	Quarantined []string `json:"quarantined"`

	// Evacuated are the failure domains to whose targets the operators want no requests.
	Evacuated []EvacuationStatus `json:"evacuated,omitempty"`
}

// EvacuationStatus is the status of an evacuated failure domain.
type EvacuationStatus struct {
	FailureDomain string `json:"failure-domain"`

	// Stopped is true once the node sends no new requests there.
	Stopped bool `json:"stopped"`

	// InProgress is the number of requests of the node that are in progress there.
	InProgress int `json:"in-progress"`
}

// PeerStatus is the status of a peer to which the node is connected.
type PeerStatus struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// GroupStatus is the status of a serving group.
type GroupStatus struct {
	Name    string   `json:"name"`
	Spec    string   `json:"spec"`
	Epoch   uint64   `json:"epoch"`
	State   string   `json:"state"`
	Granted bool     `json:"granted"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Members []string `json:"members"`
}

// DrainRequest is the request to send no new work to a target.
type DrainRequest struct {
	Target string `json:"target"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// StalledPath is the path at which a leader receives a StalledReport.
const StalledPath = "/v1/stalled"

// StalledReport is sent to the leader of a fabric domain when the streams of one of its
// groups have stalled at another node.
type StalledReport struct {
	Group string `json:"group"`
}

// Paths of the calls between nodes about parts of prompts that end targets, see package
// quarantine.
const (
	EndingsPath  = "/v1/endings"
	PartsPath    = "/v1/parts"
	DecisionPath = "/v1/decision"
)

// EndingsReport lists the targets that have ended under parts at another node.
type EndingsReport struct {
	Endings []EndingReport `json:"endings"`
}

// EndingReport is the end of one target. AgeMillis is the time since then.
type EndingReport struct {
	Target    string   `json:"target"`
	Parts     []string `json:"parts"`
	AgeMillis int64    `json:"age-ms"`
}

// PartsQuestion asks a node when it last saw parts succeed.
type PartsQuestion struct {
	Parts []string `json:"parts"`
}

// PartsReply holds, for each part that succeeded at the node, the time since then.
type PartsReply struct {
	AgesMillis map[string]int64 `json:"ages-ms"`
}

// ReachedPath is the path of the question which targets a node reaches, for a node that does
// not reach them.
const ReachedPath = "/v1/reached"

// ReachedQuestion names targets.
type ReachedQuestion struct {
	Targets []string `json:"targets"`
}

// ReachedReply names the targets of the question that the node reaches.
type ReachedReply struct {
	Targets []string `json:"targets"`
}

// ReleasePath is the path of a ReleaseRequest.
const ReleasePath = "/v1/release"

// ReleaseRequest is the request to end the quarantine of a part.
type ReleaseRequest struct {
	Part   string `json:"part"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// ReleaseResult holds the targets that ended under the part.
type ReleaseResult struct {
	Targets []string `json:"targets"`
}

// DrainResult reports how far a drain has spread.
type DrainResult struct {
	// Recorded is true if the audit entry is stored. Otherwise the node keeps
	// retrying the write.
	Recorded bool `json:"recorded"`

	// Peers is the number of connected peers to which the drain is sent.
	Peers int `json:"peers"`
}

// Config is the configuration of a Server.
type Config struct {
	Node     Node
	Gatherer prometheus.Gatherer

	// GroupStalled is called when another node reports that the streams of a group
	// have stalled. It is optional.
	GroupStalled func(ctx context.Context, group string) error

	// TakeEndings, PartAges and TakeDecision serve the calls at EndingsPath, PartsPath and
	// DecisionPath. They are optional. TakeDecision takes a quarantine record.
	TakeEndings  func(ctx context.Context, endings []EndingReport) error
	TakeDecision func(ctx context.Context, record []byte) error
	PartAges     func(parts []string) map[string]time.Duration

	// Reached serves the call at ReachedPath: it returns those of the targets that the node
	// reaches. It is optional.
	Reached func(ctx context.Context, targets []string) ([]string, error)

	// Explain returns where a request would go now, at ExplainPath. It returns an
	// errors.NotValid error for an unknown route or workspace. It is optional.
	Explain func(question explanation.Question) (explanation.Answer, error)

	// Relay sends requests to targets for other nodes, at forward.RelayPath. It is
	// optional.
	Relay http.Handler

	// Mirror serves other nodes that read the store through this node. It is
	// optional.
	Mirror http.Handler

	// Traffic receives the counts of traffic of other nodes, at trafficsync.Path. It is
	// optional.
	Traffic http.Handler

	// MaxBodies bounds the bytes of the bodies of all requests that the server holds at a time,
	// 0 means DefaultMaxBodies.
	MaxBodies int64
}

// A Server is the admin interface of one node.
type Server struct {
	node         Node
	groupStalled func(ctx context.Context, group string) error
	takeEndings  func(ctx context.Context, endings []EndingReport) error
	takeDecision func(ctx context.Context, record []byte) error
	partAges     func(parts []string) map[string]time.Duration
	reached      func(ctx context.Context, targets []string) ([]string, error)
	explain      func(question explanation.Question) (explanation.Answer, error)
	router       *mux.Router
	bodies       *limit.Bytes
}

// New returns a server for the node in config.
func New(config Config) *Server {
	server := &Server{
		node:         config.Node,
		groupStalled: config.GroupStalled,
		takeEndings:  config.TakeEndings,
		takeDecision: config.TakeDecision,
		partAges:     config.PartAges,
		reached:      config.Reached,
		explain:      config.Explain,
		router:       mux.NewRouter(),
		bodies:       limit.NewBytes(cmp.Or(config.MaxBodies, DefaultMaxBodies)),
	}
	server.router.Use(server.boundBodies)
	server.router.Handle("/metrics", promhttp.HandlerFor(config.Gatherer, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	server.router.HandleFunc("/healthz", server.serveHealth).Methods(http.MethodGet)
	server.router.HandleFunc("/v1/status", server.serveStatus).Methods(http.MethodGet)
	server.router.HandleFunc("/v1/drain", server.serveDrain).Methods(http.MethodPost)
	server.router.HandleFunc(ReleasePath, server.serveRelease).Methods(http.MethodPost)
	if config.GroupStalled != nil {
		server.router.HandleFunc(StalledPath, server.serveStalled).Methods(http.MethodPost)
	}
	if config.TakeEndings != nil && config.PartAges != nil {
		server.router.HandleFunc(EndingsPath, server.serveEndings).Methods(http.MethodPost)
		server.router.HandleFunc(PartsPath, server.serveParts).Methods(http.MethodPost)
	}
	if config.TakeDecision != nil {
		server.router.HandleFunc(DecisionPath, server.serveDecision).Methods(http.MethodPost)
	}
	if config.Reached != nil {
		server.router.HandleFunc(ReachedPath, server.serveReached).Methods(http.MethodPost)
	}
	if config.Explain != nil {
		server.router.HandleFunc(ExplainPath, server.serveExplain).Methods(http.MethodPost)
	}
	if config.Relay != nil {
		server.router.Handle(forward.RelayPath, config.Relay).Methods(http.MethodPost)
	}
	if config.Mirror != nil {
		server.router.Handle(mirror.Path, config.Mirror).Methods(http.MethodGet)
	}
	if config.Traffic != nil {
		server.router.Handle(trafficsync.Path, config.Traffic).Methods(http.MethodPost)
	}
	return server
}

// Handler returns the handler of the whole admin interface.
func (server *Server) Handler() http.Handler { return server.router }

func (server *Server) serveHealth(writer http.ResponseWriter, request *http.Request) {
	if err := server.node.Healthy(); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, healthBody{Healthy: true})
}

// ReadyHandler returns a handler that only reports whether the node should
// receive callers. It may be served on an address that is reachable by clients
// other than operators.
func (server *Server) ReadyHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", server.serveHealth).Methods(http.MethodGet)
	return router
}

type healthBody struct {
	Healthy bool `json:"healthy"`
}

func (server *Server) serveStatus(writer http.ResponseWriter, request *http.Request) {
	status, err := server.node.Status(request.Context())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if request.URL.Query().Get(QueryGroups) == GroupsNo {
		status.Groups = nil
	}
	writeJSON(writer, http.StatusOK, status)
}

func (server *Server) serveDrain(writer http.ResponseWriter, request *http.Request) {
	var drain DrainRequest
	if err := decodeBody(writer, request, &drain); err != nil {
		http.Error(writer, "drain request is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	result, err := server.node.Drain(request.Context(), drain)
	if err != nil {
		http.Error(writer, err.Error(), errorStatus(err))
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

func (server *Server) serveRelease(writer http.ResponseWriter, request *http.Request) {
	var release ReleaseRequest
	if err := decodeBody(writer, request, &release); err != nil {
		http.Error(writer, "release request is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	result, err := server.node.Release(request.Context(), release)
	if err != nil {
		http.Error(writer, err.Error(), errorStatus(err))
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

func (server *Server) serveStalled(writer http.ResponseWriter, request *http.Request) {
	var report StalledReport
	if err := decodeBody(writer, request, &report); err != nil || report.Group == "" {
		http.Error(writer, "report of a stalled group is not valid", http.StatusBadRequest)
		return
	}
	if err := server.groupStalled(request.Context(), report.Group); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) serveEndings(writer http.ResponseWriter, request *http.Request) {
	var report EndingsReport
	if err := decodeBody(writer, request, &report); err != nil {
		http.Error(writer, "report of ended targets is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := server.takeEndings(request.Context(), report.Endings); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) serveDecision(writer http.ResponseWriter, request *http.Request) {
	var record json.RawMessage
	if err := decodeBody(writer, request, &record); err != nil {
		http.Error(writer, "decision is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := server.takeDecision(request.Context(), record); err != nil {
		http.Error(writer, err.Error(), errorStatus(err))
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) serveParts(writer http.ResponseWriter, request *http.Request) {
	var question PartsQuestion
	if err := decodeBody(writer, request, &question); err != nil {
		http.Error(writer, "question about parts is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply := PartsReply{AgesMillis: map[string]int64{}}
	for part, age := range server.partAges(question.Parts) {
		reply.AgesMillis[part] = age.Milliseconds()
	}
	writeJSON(writer, http.StatusOK, reply)
}

func (server *Server) serveReached(writer http.ResponseWriter, request *http.Request) {
	var question ReachedQuestion
	if err := decodeBody(writer, request, &question); err != nil {
		http.Error(writer, "question about targets is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	reached, err := server.reached(request.Context(), question.Targets)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, ReachedReply{Targets: reached})
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, errors.NotFound):
		return http.StatusNotFound
	case errors.Is(err, errors.NotValid):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// decodeBody decodes a request body of at most MaxRequestBytes.
func decodeBody(writer http.ResponseWriter, request *http.Request, body any) error {
	return decodeBodyOf(writer, request, MaxRequestBytes, body)
}

func decodeBodyOf(writer http.ResponseWriter, request *http.Request, bound int64, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, bound))
	decoder.DisallowUnknownFields()
	return errors.Trace(decoder.Decode(body))
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write error means that the client has disconnected, so the error cannot
	// be reported to it.
	_ = json.NewEncoder(writer).Encode(body)
}
