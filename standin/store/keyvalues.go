package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// entry is one key as it is sent to clients. The value is base64 in JSON.
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
	resultWritten writeResult = iota
	resultConflict
	resultKeyMissing
	resultLeaseUnknown
)

// keyValues holds the keys, their leases and the history of changes. Expired
// leases are removed by the next call; a waiting watch makes such a call when
// the next lease expires.
type keyValues struct {
	mu           sync.Mutex
	revision     uint64
	entries      map[string]entry
	leases       map[string]*lease
	history      []change
	historyLimit int
	lastDropped  uint64
	changed      chan struct{}
}

func newKeyValues(history int) *keyValues {
	return &keyValues{
		entries:      map[string]entry{},
		leases:       map[string]*lease{},
		historyLimit: history,
		changed:      make(chan struct{}),
	}
}

func (values *keyValues) recordChange(key string) {
	values.history = append(values.history, change{values.revision, key})
	if len(values.history) > values.historyLimit {
		values.lastDropped = values.history[0].revision
		values.history = values.history[1:]
	}
	close(values.changed)
	values.changed = make(chan struct{})
}

// expireLeases removes the leases that have expired, with their keys.
func (values *keyValues) expireLeases(now time.Time) {
	for id, lease := range values.leases {
		if !now.Before(lease.expires) {
			values.endLease(id, lease)
		}
	}
}

func (values *keyValues) endLease(id string, lease *lease) {
	delete(values.leases, id)
	for key := range lease.keys {
		values.remove(key)
	}
}

func (values *keyValues) remove(key string) {
	values.detachFromLease(key)
	delete(values.entries, key)
	values.revision++
	values.recordChange(key)
}

func (values *keyValues) detachFromLease(key string) {
	if lease := values.leases[values.entries[key].Lease]; lease != nil {
		delete(lease.keys, key)
	}
}

func (values *keyValues) get(key string, now time.Time) (entry, bool) {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	found, exists := values.entries[key]
	return found, exists
}

// put writes a key. If expect is not nil, the key must have that revision, 0
// for a key that does not exist. The returned revision is the new one, or the
// current one if the key was not written.
func (values *keyValues) put(key string, value []byte, expect *uint64, leaseID string, now time.Time) (uint64, writeResult) {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	current := values.entries[key].Revision
	if expect != nil && *expect != current {
		return current, resultConflict
	}
	lease := values.leases[leaseID]
	if leaseID != "" && lease == nil {
		return current, resultLeaseUnknown
	}
	values.detachFromLease(key)
	if lease != nil {
		lease.keys[key] = true
	}
	values.revision++
	values.entries[key] = entry{Key: key, Value: value, Revision: values.revision, Lease: leaseID}
	values.recordChange(key)
	return values.revision, resultWritten
}

func (values *keyValues) delete(key string, expect *uint64, now time.Time) (uint64, writeResult) {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	current, exists := values.entries[key]
	if !exists {
		return 0, resultKeyMissing
	}
	if expect != nil && *expect != current.Revision {
		return current.Revision, resultConflict
	}
	values.remove(key)
	return values.revision, resultWritten
}

func (values *keyValues) list(prefix string, now time.Time) (uint64, []entry) {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	found := []entry{}
	for key, item := range values.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return values.revision, found
}

// changeSet holds the changes that a watch returns: for each changed key its
// current entry, or its name if it was deleted. tooOld means that the history
// does not cover the requested revision. wake is closed at the next change;
// nextExpiry is the time at which the next lease expires, zero without leases.
type changeSet struct {
	revision   uint64
	entries    []entry
	deleted    []string
	tooOld     bool
	wake       <-chan struct{}
	nextExpiry time.Time
}

func (found changeSet) empty() bool {
	return len(found.entries) == 0 && len(found.deleted) == 0 && !found.tooOld
}

func (values *keyValues) changesAfter(prefix string, revision uint64, now time.Time) changeSet {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	found := changeSet{
		revision:   values.revision,
		entries:    []entry{},
		deleted:    []string{},
		wake:       values.changed,
		nextExpiry: values.nextExpiry(),
	}
	if revision < values.lastDropped || revision > values.revision {
		found.tooOld = true
		return found
	}
	seen := map[string]bool{}
	start := sort.Search(len(values.history), func(i int) bool { return values.history[i].revision > revision })
	for _, item := range values.history[start:] {
		if seen[item.key] || !strings.HasPrefix(item.key, prefix) {
			continue
		}
		seen[item.key] = true
		if current, exists := values.entries[item.key]; exists {
			found.entries = append(found.entries, current)
		} else {
			found.deleted = append(found.deleted, item.key)
		}
	}
	return found
}

func (values *keyValues) nextExpiry() time.Time {
	var next time.Time
	for _, lease := range values.leases {
		if next.IsZero() || lease.expires.Before(next) {
			next = lease.expires
		}
	}
	return next
}

func (values *keyValues) grant(ttl time.Duration, now time.Time) string {
	values.mu.Lock()
	defer values.mu.Unlock()
	id := uuid.NewString()
	values.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	close(values.changed)
	values.changed = make(chan struct{})
	return id
}

func (values *keyValues) renew(id string, now time.Time) (time.Duration, bool) {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	lease := values.leases[id]
	if lease == nil {
		return 0, false
	}
	lease.expires = now.Add(lease.ttl)
	return lease.ttl, true
}

func (values *keyValues) revoke(id string, now time.Time) bool {
	values.mu.Lock()
	defer values.mu.Unlock()
	values.expireLeases(now)
	lease := values.leases[id]
	if lease == nil {
		return false
	}
	values.endLease(id, lease)
	return true
}
