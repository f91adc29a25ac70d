package route

import (
	"hash/maphash"
	"sync"
)

// prefixLengths lists the lengths in bytes of the recorded prefixes of a prompt.
// The longest match is used, because a longer cached prefix saves more work.
var prefixLengths = [...]int{64, 256, 1024, 4096, 16384}

// defaultHistorySize is the default number of entries, which occupy about 2 MB.
const defaultHistorySize = 32768

// A History records the group to which this node last sent each prompt prefix. It
// is used instead of the engines' cache events, because those are late and
// incomplete while the node's own choices are available immediately. A History is
// safe for concurrent use.
//
// The entries are kept in two maps. When the current map is full, it replaces the
// previous one, whose entries are dropped. This bounds memory without a list in
// order of use.
type History struct {
	mutex    sync.Mutex
	seed     maphash.Seed
	limit    int
	current  map[prefixKey]string
	previous map[prefixKey]string
}

type prefixKey struct {
	spec   groupSpec
	length int
	sum    uint64
}

// NewHistory returns an empty history of at most size entries, 0 for the default
// size.
func NewHistory(size int) *History {
	if size <= 0 {
		size = defaultHistorySize
	}
	return &History{
		seed:     maphash.MakeSeed(),
		limit:    max(1, size/2),
		current:  map[prefixKey]string{},
		previous: map[prefixKey]string{},
	}
}

// prefixKeys returns the keys of the prompt's prefixes, the longest first.
func (history *History) prefixKeys(spec groupSpec, prompt string) []prefixKey {
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

// lookup returns the group of the longest recorded prefix, empty if none is
// recorded. It moves a match in the previous map to the current one.
func (history *History) lookup(keys []prefixKey) string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, key := range keys {
		if name, found := history.current[key]; found {
			return name
		}
		if name, found := history.previous[key]; found {
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
		history.previous = history.current
		history.current = make(map[prefixKey]string, history.limit)
	}
	history.current[key] = name
}
