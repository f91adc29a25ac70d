package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerTime is the time of one answer of the platform's store.
	answerTime = 4 * time.Millisecond

	// maxWatchWait bounds the wait of one watch.
	maxWatchWait = 30 * time.Second

	// pageItems is the number of items in one page of a listing.
	pageItems = 500
)

// An item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRevision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// A store is a stand-in of the platform's metadata store. It is sound: it loses nothing that
// it has acknowledged, and its answers are linearizable.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{}

	// readers holds when each address last watched the entries of runners.
	readers map[string]time.Time
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, lastID: 70000, changed: make(chan struct{}), readers: map[string]time.Time{}}
}

// notify wakes the watches. The caller holds the mutex.
func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// set writes a key as the operator or a runner does, and returns when it was acknowledged.
func (store *store) set(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.put(key, encoded, 0)
	store.notify()
	return time.Now()
}

// remove deletes a key as the platform does, and returns when that was acknowledged.
func (store *store) remove(key string) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.drop(key)
	store.notify()
	return time.Now()
}

func (store *store) put(key string, value []byte, lease uint64) {
	created := store.revision
	if known, found := store.items[key]; found {
		created = known.Created
	}
	written := item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease}
	store.items[key] = written
	store.history = append(store.history, written)
}

func (store *store) drop(key string) {
	if _, found := store.items[key]; found {
		delete(store.items, key)
		store.history = append(store.history, item{Key: key, Revision: store.revision, Removed: true})
	}
}

// endLease removes the keys of a lease. The caller holds the mutex.
func (store *store) endLease(id uint64) {
	delete(store.leases, id)
	store.revision++
	for key, known := range store.items {
		if known.Lease == id {
			store.drop(key)
		}
	}
	store.notify()
}

// expire ends the leases that were not renewed, until the process ends.
func (store *store) expire() {
	for range time.Tick(10 * time.Millisecond) {
		store.mutex.Lock()
		for id, held := range store.leases {
			if time.Now().After(held.end) {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

func (store *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", store.serveKey)
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	mux.HandleFunc("POST /kv-txn", store.serveTransaction)
	mux.HandleFunc("POST /kv-lease", store.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", store.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", store.serveLeaseEnd)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(writer, request)
	})}
	_ = server.Serve(listener)
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

type fields map[string]any

func (store *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	known, found := store.items[request.URL.Query().Get("key")]
	revision := store.revision
	store.mutex.Unlock()
	if !found {
		reply(writer, http.StatusNotFound, fields{"storeRevision": revision})
		return
	}
	reply(writer, http.StatusOK, fields{"key": known.Key, "value": known.Value, "revision": known.Revision,
		"createRevision": known.Created, "lease": known.Lease, "storeRevision": revision})
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	listed := []item{}
	for key, known := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			listed = append(listed, known)
		}
	}
	revision := store.revision
	store.mutex.Unlock()
	sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
	truncated := len(listed) > pageItems
	if truncated {
		listed = listed[:pageItems]
	}
	reply(writer, http.StatusOK, fields{"items": listed, "truncated": truncated, "storeRevision": revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		reply(writer, http.StatusBadRequest, fields{})
		return
	}
	if host, _, err := net.SplitHostPort(request.RemoteAddr); err == nil && strings.HasPrefix(prefix, "servers/") {
		store.mutex.Lock()
		store.readers[host] = time.Now()
		store.mutex.Unlock()
	}
	timer := time.NewTimer(min(maxWatchWait, time.Duration(millis)*time.Millisecond))
	defer timer.Stop()
	for {
		store.mutex.Lock()
		events := []item{}
		for index := len(store.history) - 1; index >= 0 && store.history[index].Revision > after; index-- {
			if event := store.history[index]; strings.HasPrefix(event.Key, prefix) {
				events = append([]item{event}, events...)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, fields{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(writer, http.StatusOK, fields{"events": events, "storeRevision": revision})
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
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		reply(writer, http.StatusBadRequest, fields{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held, current := true, []item{}
	for _, expected := range asked.Expected {
		known, found := store.items[expected.Key]
		held = held && known.Revision == expected.Revision
		if found {
			current = append(current, known)
		}
	}
	if !held {
		reply(writer, http.StatusPreconditionFailed, fields{"items": current})
		return
	}
	for _, put := range asked.Puts {
		if put.Lease != 0 && store.leases[put.Lease] == nil {
			reply(writer, http.StatusNotFound, fields{})
			return
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(writer, http.StatusForbidden, fields{})
			return
		}
	}
	store.revision++
	for _, put := range asked.Puts {
		store.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range asked.Drop {
		store.drop(key)
	}
	store.notify()
	reply(writer, http.StatusOK, fields{"revision": store.revision})
}

func (store *store) serveLease(writer http.ResponseWriter, request *http.Request) {
	var asked struct {
		Millis int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		reply(writer, http.StatusBadRequest, fields{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastID++
	ttl := max(time.Second, time.Duration(asked.Millis)*time.Millisecond)
	store.leases[store.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(writer, http.StatusOK, fields{"lease": store.lastID, "ttlMs": ttl.Milliseconds()})
}

func (store *store) serveKeep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held := store.leases[id]
	if held == nil {
		reply(writer, http.StatusNotFound, fields{})
		return
	}
	held.end = time.Now().Add(held.ttl)
	reply(writer, http.StatusOK, fields{"ttlMs": held.ttl.Milliseconds()})
}

func (store *store) serveLeaseEnd(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] == nil {
		reply(writer, http.StatusNotFound, fields{})
		return
	}
	store.endLease(id)
	reply(writer, http.StatusOK, fields{})
}
