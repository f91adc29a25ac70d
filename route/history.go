package route

import (
	"hash/maphash"
	"sync"
)

// prefixLengths are the lengths in bytes at which a prompt's prefix is
// remembered. A longer common prefix saves more work, so that the longest
// match wins.
var prefixLengths = [...]int{64, 256, 1024, 4096, 16384}

// defaultHistorySize is about 2 MB of history.
const defaultHistorySize = 32768

// A History remembers which group this node last sent a prompt prefix to. The
// engines' cache events are late and incomplete; the node's own choices are
// known at once. It is safe for concurrent use.
//
// It keeps two generations of entries and drops the older one when the newer
// is full, which bounds memory without an order list.
type History struct {
	mutex   sync.Mutex
	seed    maphash.Seed
	limit   int
	current map[prefixKey]string
	older   map[prefixKey]string
}

type prefixKey struct {
	spec   string
	length int
	sum    uint64
}

// NewHistory returns an empty history of at most size entries, 0 for the
// default.
func NewHistory(size int) *History {
	if size <= 0 {
		size = defaultHistorySize
	}
	return &History{
		seed:    maphash.MakeSeed(),
		limit:   max(1, size/2),
		current: map[prefixKey]string{},
		older:   map[prefixKey]string{},
	}
}

// keys returns the keys of the prompt's prefixes, the longest first.
func (history *History) keys(spec, prompt string) []prefixKey {
	keys := make([]prefixKey, 0, len(prefixLengths))
	for index := len(prefixLengths) - 1; index >= 0; index-- {
		length := prefixLengths[index]
		if length > len(prompt) {
			continue
		}
		sum := maphash.String(history.seed, prompt[:length])
		keys = append(keys, prefixKey{spec: spec, length: length, sum: sum})
	}
	return keys
}

// lookup returns the group of the longest known prefix, empty when none is
// known.
func (history *History) lookup(keys []prefixKey) string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, key := range keys {
		if name, found := history.current[key]; found {
			return name
		}
		if name, found := history.older[key]; found {
			history.store(key, name)
			return name
		}
	}
	return ""
}

func (history *History) record(keys []prefixKey, name string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, key := range keys {
		history.store(key, name)
	}
}

func (history *History) store(key prefixKey, name string) {
	if len(history.current) >= history.limit {
		history.older = history.current
		history.current = make(map[prefixKey]string, history.limit)
	}
	history.current[key] = name
}
