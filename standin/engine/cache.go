package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// BlockBytes is the size of a block of the prefix cache.
const BlockBytes = 64

const prefixKeyBytes = 8

// PrefixKey returns the key of a prompt's first blocks in cache events: the
// hexadecimal first 8 bytes of the SHA-256 digest of the blocks' bytes.
func PrefixKey(prompt string, blocks int) string {
	digest := sha256.Sum256([]byte(prompt[:blocks*BlockBytes]))
	return hex.EncodeToString(digest[:prefixKeyBytes])
}

// A CacheEvent says that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`

	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
}

const (
	kindStored  = "stored"
	kindEvicted = "evicted"
	maxEvents   = 4096
)

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// cache is a prefix cache of whole blocks with least recently used eviction.
type cache struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	blocks   map[string]*list.Element
	reused   uint64
	lag      time.Duration
	gap      uint64
	sequence uint64
	events   []timedEvent
}

func newCache(capacity int, lag time.Duration, gap uint64) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		blocks:   map[string]*list.Element{},
		lag:      lag,
		gap:      gap,
	}
}

// use returns how many of the prompt's leading blocks were cached, and stores
// the others.
func (cache *cache) use(prompt string, now time.Time) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	total := len(prompt) / BlockBytes
	found := 0
	for found < total && cache.touch(PrefixKey(prompt, found+1)) {
		found++
	}
	for block := found + 1; block <= total; block++ {
		cache.store(PrefixKey(prompt, block), now)
	}
	cache.reused += uint64(found)
	return found
}

func (cache *cache) touch(key string) bool {
	element, cached := cache.blocks[key]
	if cached {
		cache.order.MoveToFront(element)
	}
	return cached
}

func (cache *cache) store(key string, now time.Time) {
	if cache.touch(key) {
		return
	}
	cache.blocks[key] = cache.order.PushFront(key)
	cache.note(key, kindStored, now)
	if len(cache.blocks) <= cache.capacity {
		return
	}
	oldest := cache.order.Back()
	evicted := cache.order.Remove(oldest).(string)
	delete(cache.blocks, evicted)
	cache.note(evicted, kindEvicted, now)
}

func (cache *cache) note(key, kind string, now time.Time) {
	cache.sequence++
	if cache.gap != 0 && cache.sequence%cache.gap == 0 {
		return
	}
	cache.events = append(cache.events, timedEvent{now, CacheEvent{cache.sequence, key, kind}})
	if len(cache.events) > maxEvents {
		cache.events = cache.events[1:]
	}
}

// after returns the delivered events with a higher sequence number, and the
// sequence number to ask after next.
func (cache *cache) after(sequence uint64, now time.Time) (uint64, []CacheEvent) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	found := []CacheEvent{}
	for _, entry := range cache.events {
		if entry.event.Sequence > sequence && !entry.at.Add(cache.lag).After(now) {
			found = append(found, entry.event)
			sequence = entry.event.Sequence
		}
	}
	return sequence, found
}

// clear empties the cache, as a load of other weights does.
func (cache *cache) clear(now time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for element := cache.order.Front(); element != nil; element = element.Next() {
		cache.note(element.Value.(string), kindEvicted, now)
	}
	cache.order.Init()
	cache.blocks = map[string]*list.Element{}
}

func (cache *cache) reusedBlocks() uint64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.reused
}
