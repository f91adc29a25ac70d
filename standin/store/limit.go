package store

import (
	"sort"
	"sync"
	"time"
)

// tokenBucket is a token bucket whose capacity is one second of its rate.
type tokenBucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64) *tokenBucket { return &tokenBucket{rate: rate, tokens: rate} }

// take removes amount tokens, or returns how long to wait and false. A rate of 0
// means no limit. An amount larger than the capacity is allowed when the bucket
// is full, and leaves a negative number of tokens.
func (bucket *tokenBucket) take(amount float64, now time.Time) (time.Duration, bool) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if bucket.rate == 0 {
		return 0, true
	}
	if !bucket.last.IsZero() {
		bucket.tokens += now.Sub(bucket.last).Seconds() * bucket.rate
	}
	bucket.tokens = min(bucket.tokens, bucket.rate)
	bucket.last = now
	needed := min(amount, bucket.rate)
	if bucket.tokens < needed {
		return time.Duration((needed - bucket.tokens) / bucket.rate * float64(time.Second)), false
	}
	bucket.tokens -= amount
	return 0, true
}

type counterKey struct{ kind, prefix string }

type counters struct {
	mu     sync.Mutex
	counts map[counterKey]Counter
}

func newCounters() *counters { return &counters{counts: map[counterKey]Counter{}} }

func (counters *counters) add(kind, prefix string, limited bool) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	key := counterKey{kind, prefix}
	count := counters.counts[key]
	count.Kind = kind
	count.Prefix = prefix
	count.Calls++
	if limited {
		count.Limited++
	}
	counters.counts[key] = count
}

func (counters *counters) list() []Counter {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	found := make([]Counter, 0, len(counters.counts))
	for _, count := range counters.counts {
		found = append(found, count)
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Kind != found[j].Kind {
			return found[i].Kind < found[j].Kind
		}
		return found[i].Prefix < found[j].Prefix
	})
	return found
}
