package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// entry is one key as it is sent to clients; the value is base64 in JSON.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
}

type change struct {
	revision uint64
	key      string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

type writeResult int

const (
	written writeResult = iota
	conflict
	missing
	leaseUnknown
)

// data holds keys and leases. Expired leases are removed by the next call, and
// a waiting watch wakes when the next lease expires.
type data struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	history  []change
	limit    int
	dropped  uint64
	changed  chan struct{}
}

func newData(history int) *data {
	return &data{
		entries: map[string]entry{},
		leases:  map[string]*lease{},
		limit:   history,
		changed: make(chan struct{}),
	}
}

func (data *data) record(key string) {
	data.history = append(data.history, change{data.revision, key})
	if len(data.history) > data.limit {
		data.dropped = data.history[0].revision
		data.history = data.history[1:]
	}
	close(data.changed)
	data.changed = make(chan struct{})
}

// expire removes leases that ended by now.
func (data *data) expire(now time.Time) {
	for id, held := range data.leases {
		if !now.Before(held.expires) {
			data.endLease(id, held)
		}
	}
}

func (data *data) endLease(id string, held *lease) {
	delete(data.leases, id)
	for key := range held.keys {
		data.remove(key)
	}
}

func (data *data) remove(key string) {
	data.detach(key)
	delete(data.entries, key)
	data.revision++
	data.record(key)
}

func (data *data) detach(key string) {
	if held := data.leases[data.entries[key].Lease]; held != nil {
		delete(held.keys, key)
	}
}

func (data *data) get(key string, now time.Time) (entry, bool) {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	found, exists := data.entries[key]
	return found, exists
}

// put writes a key. A nil expect places no condition.
func (data *data) put(key string, value []byte, expect *uint64, leaseID string, now time.Time) (uint64, writeResult) {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	current := data.entries[key].Revision
	if expect != nil && *expect != current {
		return current, conflict
	}
	held := data.leases[leaseID]
	if leaseID != "" && held == nil {
		return current, leaseUnknown
	}
	data.detach(key)
	if held != nil {
		held.keys[key] = true
	}
	data.revision++
	data.entries[key] = entry{Key: key, Value: value, Revision: data.revision, Lease: leaseID}
	data.record(key)
	return data.revision, written
}

func (data *data) delete(key string, expect *uint64, now time.Time) (uint64, writeResult) {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	current, exists := data.entries[key]
	if !exists {
		return 0, missing
	}
	if expect != nil && *expect != current.Revision {
		return current.Revision, conflict
	}
	data.remove(key)
	return data.revision, written
}

func (data *data) list(prefix string, now time.Time) (uint64, []entry) {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	found := []entry{}
	for key, item := range data.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return data.revision, found
}

// changes is what a watch sees. When it is empty, wake is closed at the next
// change and next is when the next lease expires, zero without leases.
type changes struct {
	revision uint64
	entries  []entry
	deleted  []string
	tooOld   bool
	wake     <-chan struct{}
	next     time.Time
}

func (found changes) empty() bool {
	return len(found.entries) == 0 && len(found.deleted) == 0 && !found.tooOld
}

func (data *data) after(prefix string, revision uint64, now time.Time) changes {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	found := changes{
		revision: data.revision,
		entries:  []entry{},
		deleted:  []string{},
		wake:     data.changed,
		next:     data.nextExpiry(),
	}
	if revision < data.dropped || revision > data.revision {
		found.tooOld = true
		return found
	}
	seen := map[string]bool{}
	start := sort.Search(len(data.history), func(i int) bool { return data.history[i].revision > revision })
	for _, item := range data.history[start:] {
		if seen[item.key] || !strings.HasPrefix(item.key, prefix) {
			continue
		}
		seen[item.key] = true
		if current, exists := data.entries[item.key]; exists {
			found.entries = append(found.entries, current)
		} else {
			found.deleted = append(found.deleted, item.key)
		}
	}
	return found
}

func (data *data) nextExpiry() time.Time {
	var next time.Time
	for _, held := range data.leases {
		if next.IsZero() || held.expires.Before(next) {
			next = held.expires
		}
	}
	return next
}

func (data *data) grant(ttl time.Duration, now time.Time) string {
	data.mu.Lock()
	defer data.mu.Unlock()
	id := uuid.NewString()
	data.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	close(data.changed)
	data.changed = make(chan struct{})
	return id
}

func (data *data) renew(id string, now time.Time) (time.Duration, bool) {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	held := data.leases[id]
	if held == nil {
		return 0, false
	}
	held.expires = now.Add(held.ttl)
	return held.ttl, true
}

func (data *data) revoke(id string, now time.Time) bool {
	data.mu.Lock()
	defer data.mu.Unlock()
	data.expire(now)
	held := data.leases[id]
	if held == nil {
		return false
	}
	data.endLease(id, held)
	return true
}
