package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// BlockBytes is the number of prompt bytes in a block of the prefix cache.
const BlockBytes = 64

const prefixKeyBytes = 8

// PrefixKey returns the key of a prompt's first blocks in cache events: the
// first 8 bytes of the SHA-256 digest of these blocks, in hexadecimal.
func PrefixKey(prompt string, blocks int) string {
	digest := sha256.Sum256([]byte(prompt[:blocks*BlockBytes]))
	return hex.EncodeToString(digest[:prefixKeyBytes])
}

// A CacheEvent reports that a prefix was stored or evicted.
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

// cache is a prefix cache of whole blocks that evicts the least recently used
// block.
type cache struct {
	mu           sync.Mutex
	capacity     int
	recency      *list.List
	blocks       map[string]*list.Element
	reused       uint64
	lag          time.Duration
	lossInterval uint64
	sequence     uint64
	events       []timedEvent
}

func newCache(capacity int, lag time.Duration, lossInterval uint64) *cache {
	return &cache{
		capacity:     capacity,
		recency:      list.New(),
		blocks:       map[string]*list.Element{},
		lag:          lag,
		lossInterval: lossInterval,
	}
}

// lookupAndStore returns the number of the prompt's leading blocks that were
// cached, and stores the remaining blocks.
func (cache *cache) lookupAndStore(prompt string, now time.Time) int {
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
		cache.recency.MoveToFront(element)
	}
	return cached
}

func (cache *cache) store(key string, now time.Time) {
	if cache.touch(key) {
		return
	}
	cache.blocks[key] = cache.recency.PushFront(key)
	cache.recordEvent(key, kindStored, now)
	if len(cache.blocks) <= cache.capacity {
		return
	}
	oldest := cache.recency.Back()
	evicted := cache.recency.Remove(oldest).(string)
	delete(cache.blocks, evicted)
	cache.recordEvent(evicted, kindEvicted, now)
}

func (cache *cache) recordEvent(key, kind string, now time.Time) {
	cache.sequence++
	if cache.lossInterval != 0 && cache.sequence%cache.lossInterval == 0 {
		return
	}
	cache.events = append(cache.events, timedEvent{now, CacheEvent{cache.sequence, key, kind}})
	if len(cache.events) > maxEvents {
		cache.events = cache.events[1:]
	}
}

// eventsAfter returns the delivered events with a higher sequence number, and
// the sequence number for the next call.
func (cache *cache) eventsAfter(sequence uint64, now time.Time) (uint64, []CacheEvent) {
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

// clear empties the cache. The blocks of one model and version are of no use
// for another.
func (cache *cache) clear(now time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for element := cache.recency.Front(); element != nil; element = element.Next() {
		cache.recordEvent(element.Value.(string), kindEvicted, now)
	}
	cache.recency.Init()
	cache.blocks = map[string]*list.Element{}
}

func (cache *cache) reusedBlocks() uint64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.reused
}
