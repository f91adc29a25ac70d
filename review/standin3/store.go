package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRevision,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// A store is the platform's metadata store: linearizable, in memory, and without a limit on
// the rate of calls.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{}

	// downSince is when the store stopped answering, zero if it answers.
	downSince time.Time
}

func newStore() *store {
	created := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, lastID: 7000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			created.expire()
		}
	}()
	return created
}

func (store *store) expire() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.downSince.IsZero() {
		return
	}
	for id, granted := range store.leases {
		if time.Now().After(granted.end) {
			store.endLease(id)
		}
	}
}

func (store *store) endLease(id uint64) {
	delete(store.leases, id)
	for key, stored := range store.items {
		if stored.Lease == id {
			store.revision++
			store.remove(key)
		}
	}
}

// put and remove change one key at the current revision. The caller holds the mutex.
func (store *store) put(key string, value []byte, lease uint64) {
	created := store.revision
	if known, found := store.items[key]; found {
		created = known.Created
	}
	stored := item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease}
	store.items[key] = stored
	store.record(stored)
}

func (store *store) remove(key string) {
	if _, found := store.items[key]; found {
		delete(store.items, key)
		store.record(item{Key: key, Revision: store.revision, Removed: true})
	}
}

func (store *store) record(event item) {
	store.history = append(store.history, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

// set writes a key as the operator or a runner does.
func (store *store) set(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.put(key, value, 0)
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if store.isDown() {
		<-request.Context().Done()
		return
	}
	path := request.URL.Path
	switch {
	case path == "/kv-key":
		store.serveKey(writer, request)
	case path == "/kv-range":
		store.serveRange(writer, request)
	case path == "/kv-watch":
		store.serveWatch(writer, request)
	case path == "/kv-txn":
		store.serveTransaction(writer, request)
	case path == "/kv-lease":
		store.serveGrant(writer, request)
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		store.serveLease(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, found := store.items[request.URL.Query().Get("key")]
	if !found {
		reply(writer, http.StatusNotFound, map[string]any{})
		return
	}
	reply(writer, http.StatusOK, map[string]any{
		"key": stored.Key, "value": stored.Value, "revision": stored.Revision, "createRevision": stored.Created,
		"lease": stored.Lease, "storeRevision": store.revision,
	})
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	query := request.URL.Query()
	items := []item{}
	for key, stored := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, stored)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(millis) * time.Millisecond)
	for {
		store.mutex.Lock()
		events := []item{}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if store.isDown() {
			<-request.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(writer, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Drop []string `json:"drop"`
}

func (store *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var asked transaction
	if json.NewDecoder(request.Body).Decode(&asked) != nil {
		reply(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	holds := true
	current := []item{}
	for _, condition := range asked.Expected {
		stored, found := store.items[condition.Key]
		holds = holds && stored.Revision == condition.Revision
		if found {
			current = append(current, stored)
		}
	}
	if !holds {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range asked.Puts {
		if _, found := store.leases[put.Lease]; put.Lease != 0 && !found {
			reply(writer, http.StatusNotFound, map[string]any{})
			return
		}
	}
	store.revision++
	for _, put := range asked.Puts {
		store.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range asked.Drop {
		store.remove(key)
	}
	reply(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var asked struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(request.Body).Decode(&asked) != nil || asked.TTL < 1000 || asked.TTL > 600_000 {
		reply(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastID++
	ttl := time.Duration(asked.TTL) * time.Millisecond
	store.leases[store.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(writer, http.StatusOK, map[string]any{"lease": store.lastID, "ttlMs": asked.TTL})
}

func (store *store) serveLease(writer http.ResponseWriter, request *http.Request) {
	parts := strings.Split(request.URL.Path, "/")
	id, _ := strconv.ParseUint(parts[len(parts)-1], 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	granted, found := store.leases[id]
	switch {
	case !found:
		reply(writer, http.StatusNotFound, map[string]any{})
	case request.Method == http.MethodDelete:
		store.endLease(id)
		reply(writer, http.StatusOK, map[string]any{})
	default:
		granted.end = time.Now().Add(granted.ttl)
		reply(writer, http.StatusOK, map[string]any{"ttlMs": granted.ttl.Milliseconds()})
	}
}
