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
	// storeDelay is the time that the store needs for a call.
	storeDelay = 4 * time.Millisecond

	// pageItems is the largest number of items on a page of a listing.
	pageItems = 500
)

// An item is the state of one key, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRevision,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// A lease removes its keys when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// A store is a stand-in for the platform's store.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	lastID   uint64

	// changed is closed at the next change.
	changed chan struct{}
}

func startStore() (*store, error) {
	started := &store{
		revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, lastID: 7000,
		changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(started.serve)) }()
	return started, nil
}

// set writes a key as the operator or a runner does. It returns the time of the
// acknowledgement.
func (store *store) set(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(key, data, 0)
	return time.Now()
}

func (store *store) put(key string, value []byte, lease uint64) {
	store.revision++
	created := store.revision
	if known, found := store.items[key]; found {
		created = known.Created
	}
	store.add(item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease})
}

func (store *store) remove(key string) {
	if _, found := store.items[key]; found {
		store.revision++
		store.add(item{Key: key, Revision: store.revision, Removed: true})
	}
}

func (store *store) add(change item) {
	if change.Removed {
		delete(store.items, change.Key)
	} else {
		store.items[change.Key] = change
	}
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	query := request.URL.Query()
	switch path := request.URL.Path; {
	case path == "/kv-key":
		store.serveKey(writer, query.Get("key"))
	case path == "/kv-range":
		store.serveRange(writer, query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		store.serveWatch(writer, request, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		store.serveTransaction(writer, request)
	case path == "/kv-lease":
		store.serveGrant(writer, request)
	case strings.HasPrefix(path, "/kv-keep/"):
		store.serveRenewal(writer, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		store.endLease(id)
		reply(writer, http.StatusOK, map[string]any{})
	default:
		http.NotFound(writer, request)
	}
}

func (store *store) serveKey(writer http.ResponseWriter, key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known, found := store.items[key]
	if !found {
		reply(writer, http.StatusNotFound, map[string]any{"storeRevision": store.revision})
		return
	}
	reply(writer, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{known, store.revision})
}

func (store *store) serveRange(writer http.ResponseWriter, prefix, after string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, known := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, known)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageItems
	if truncated {
		items = items[:pageItems]
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		store.mutex.Lock()
		events := []item{}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		answer := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			reply(writer, http.StatusOK, answer)
			return
		}
		ended := false
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-request.Context().Done():
			return
		}
		if ended {
			reply(writer, http.StatusOK, answer)
			return
		}
	}
}

func (store *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Drop     []string `json:"drop"`
	}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, holds := []item{}, true
	for _, expected := range transaction.Expected {
		known, found := store.items[expected.Key]
		if found {
			current = append(current, known)
		}
		holds = holds && known.Revision == expected.Revision
	}
	if !holds {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, written := range transaction.Puts {
		if _, found := store.leases[written.Lease]; written.Lease != 0 && !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, written := range transaction.Puts {
		store.put(written.Key, written.Value, written.Lease)
	}
	for _, key := range transaction.Drop {
		store.remove(key)
	}
	reply(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var grant struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(request.Body).Decode(&grant) != nil || grant.TTL < 1000 || grant.TTL > 600000 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastID++
	id, ttl := store.lastID, time.Duration(grant.TTL)*time.Millisecond
	store.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { store.endLease(id) })}
	reply(writer, http.StatusOK, map[string]any{"lease": id, "ttlMs": grant.TTL})
}

func (store *store) serveRenewal(writer http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known, found := store.leases[id]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	known.timer.Reset(known.ttl)
	reply(writer, http.StatusOK, map[string]any{"ttlMs": known.ttl.Milliseconds()})
}

func (store *store) endLease(id uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if known, found := store.leases[id]; found {
		known.timer.Stop()
		delete(store.leases, id)
	}
	for key, known := range store.items {
		if known.Lease == id && id != 0 {
			store.remove(key)
		}
	}
}
