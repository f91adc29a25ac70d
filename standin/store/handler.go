package store

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const maxVMListBytes = 4 << 20

type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

type listAnswer struct {
	Revision uint64  `json:"revision"`
	Entries  []entry `json:"entries"`
}

type watchAnswer struct {
	Revision uint64   `json:"revision"`
	Entries  []entry  `json:"entries"`
	Deleted  []string `json:"deleted"`
}

type leaseAnswer struct {
	Lease string         `json:"lease"`
	TTL   fault.Duration `json:"ttl"`
}

type vmsBody struct {
	VMs []VM `json:"vms"`
}

type countersAnswer struct {
	Counters []Counter `json:"counters"`
}

func (store *Store) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	store.route(router, http.MethodGet, "/v1/kv/{key:.+}", "get", store.reads, store.get)
	store.route(router, http.MethodPut, "/v1/kv/{key:.+}", "put", store.writes, store.put)
	store.route(router, http.MethodDelete, "/v1/kv/{key:.+}", "delete", store.writes, store.delete)
	store.route(router, http.MethodGet, "/v1/list", "list", store.reads, store.list)
	store.route(router, http.MethodGet, "/v1/watch", "watch", store.reads, store.watch)
	store.route(router, http.MethodPost, "/v1/lease", "grant", store.writes, store.grant)
	store.route(router, http.MethodPost, "/v1/lease/{lease}/renew", "renew", store.writes, store.renew)
	store.route(router, http.MethodDelete, "/v1/lease/{lease}", "revoke", store.writes, store.revoke)
	store.route(router, http.MethodGet, "/v1/vms", "vms", store.reads, store.getVMs)
	store.route(router, http.MethodPost, "/v1/weights/acquire", "weights", nil, store.acquireWeights)
	router.Methods(http.MethodPost).Path("/v1/vms").HandlerFunc(store.postVMs)
	router.Methods(http.MethodGet).Path("/counters").HandlerFunc(store.getCounters)
	return router
}

// route registers a handler whose calls are counted under kind and subject to
// limit. A nil limit applies no rate limit.
func (store *Store) route(router *mux.Router, method, path, kind string, limit *tokenBucket, handle http.HandlerFunc) {
	router.Methods(method).Path(path).HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		wait, allowed := time.Duration(0), true
		if limit != nil {
			wait, allowed = limit.take(1, time.Now())
		}
		store.counters.add(kind, firstSegment(request), !allowed)
		if !allowed {
			writeLimited(writer, wait)
			return
		}
		handle(writer, request)
	})
}

func firstSegment(request *http.Request) string {
	key, found := mux.Vars(request)["key"]
	if !found {
		key = request.URL.Query().Get("prefix")
	}
	segment, _, _ := strings.Cut(key, "/")
	return segment
}

func writeLimited(writer http.ResponseWriter, wait time.Duration) {
	seconds := int(wait/time.Second) + 1
	writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	http.Error(writer, "over the rate limit", http.StatusTooManyRequests)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	found, exists := store.keyValues.get(mux.Vars(request)["key"], time.Now())
	if !exists {
		http.Error(writer, "key does not exist", http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

func expectedRevision(request *http.Request) (*uint64, error) {
	text := request.URL.Query().Get("expect")
	if text == "" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errors.NotValidf("expect %q", text)
	}
	return &revision, nil
}

func (store *Store) put(writer http.ResponseWriter, request *http.Request) {
	expect, err := expectedRevision(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(request.Body, defaultMaxValue+1))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > defaultMaxValue {
		http.Error(writer, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	key := mux.Vars(request)["key"]
	lease := request.URL.Query().Get("lease")
	revision, result := store.keyValues.put(key, value, expect, lease, time.Now())
	writeResultAnswer(writer, revision, result)
}

func (store *Store) delete(writer http.ResponseWriter, request *http.Request) {
	expect, err := expectedRevision(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	revision, result := store.keyValues.delete(mux.Vars(request)["key"], expect, time.Now())
	writeResultAnswer(writer, revision, result)
}

func writeResultAnswer(writer http.ResponseWriter, revision uint64, result writeResult) {
	switch result {
	case resultWritten:
		writeJSON(writer, http.StatusOK, revisionAnswer{revision})
	case resultConflict:
		writeJSON(writer, http.StatusConflict, revisionAnswer{revision})
	case resultKeyMissing:
		http.Error(writer, "key does not exist", http.StatusNotFound)
	case resultLeaseUnknown:
		http.Error(writer, "lease is unknown", http.StatusPreconditionFailed)
	}
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	revision, entries := store.keyValues.list(request.URL.Query().Get("prefix"), time.Now())
	writeJSON(writer, http.StatusOK, listAnswer{revision, entries})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		http.Error(writer, "wait is not a duration", http.StatusBadRequest)
		return
	}
	found := store.awaitChanges(request, query.Get("prefix"), after, min(wait, defaultMaxWait))
	switch {
	case found.tooOld:
		http.Error(writer, "revision is too old", http.StatusGone)
	case found.empty():
		writer.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(writer, http.StatusOK, watchAnswer{found.revision, found.entries, found.deleted})
	}
}

// awaitChanges waits for changes until the client disconnects or wait has
// passed.
func (store *Store) awaitChanges(request *http.Request, prefix string, after uint64, wait time.Duration) changeSet {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		found := store.keyValues.changesAfter(prefix, after, now)
		if !found.empty() || !now.Before(deadline) {
			return found
		}
		end := deadline
		if !found.nextExpiry.IsZero() && found.nextExpiry.Before(end) {
			end = found.nextExpiry
		}
		clock := time.NewTimer(end.Sub(now))
		select {
		case <-request.Context().Done():
			clock.Stop()
			return found
		case <-found.wake:
		case <-clock.C:
		}
		clock.Stop()
	}
}

func (store *Store) grant(writer http.ResponseWriter, request *http.Request) {
	ttl, err := time.ParseDuration(request.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(writer, "ttl is not a positive duration", http.StatusBadRequest)
		return
	}
	id := store.keyValues.grant(ttl, time.Now())
	writeJSON(writer, http.StatusOK, leaseAnswer{id, fault.Duration(ttl)})
}

func (store *Store) renew(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["lease"]
	ttl, found := store.keyValues.renew(id, time.Now())
	if !found {
		http.Error(writer, "lease is unknown", http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, leaseAnswer{id, fault.Duration(ttl)})
}

func (store *Store) revoke(writer http.ResponseWriter, request *http.Request) {
	if !store.keyValues.revoke(mux.Vars(request)["lease"], time.Now()) {
		http.Error(writer, "lease is unknown", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// getVMs sends the VM list with an entity tag, so that a client that already
// has the list receives 304 without a body.
func (store *Store) getVMs(writer http.ResponseWriter, request *http.Request) {
	body := vmsBody{store.vms.visible(time.Now())}
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%x", sha256.Sum256(data)))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(writer, http.StatusOK, body)
}

func (store *Store) postVMs(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxVMListBytes))
	decoder.DisallowUnknownFields()
	var body vmsBody
	if err := decoder.Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.SetVMs(body.VMs)
	writer.WriteHeader(http.StatusNoContent)
}

func (store *Store) acquireWeights(writer http.ResponseWriter, request *http.Request) {
	bytes, err := strconv.ParseUint(request.URL.Query().Get("bytes"), 10, 63)
	if err != nil {
		http.Error(writer, "bytes is not a number", http.StatusBadRequest)
		return
	}
	wait, allowed := store.weights.take(float64(bytes), time.Now())
	if !allowed {
		writeLimited(writer, wait)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (store *Store) getCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, countersAnswer{store.Counters()})
}

func (store *Store) applyFault(order fault.Order) error {
	switch order.Fault {
	case "lag":
		store.vms.setLag(time.Duration(order.Amount))
		return nil
	case fault.Clear:
		store.vms.setLag(store.config.VMLag)
		return nil
	default:
		return errors.NotValidf("fault %q", order.Fault)
	}
}
