package limit

import (
	"context"
	"sync"
)

// Bytes bounds the bytes of all bodies that a node holds at a time, of requests and
// answers. It is safe for concurrent use.
//
// It is shared by owners, for example targets. An owner gets more while it then holds no
// more than what is left, so that the share of an owner falls with the number of those
// that hold much, and a part stays free for those that hold little: with one target that
// sends bytes without end half of the bound is free for the others, with nine of them a
// tenth.
type Bytes struct {
	mutex  sync.Mutex
	bound  int64
	used   int64
	owners map[string]int64

	// released is closed at the next release, nil if nothing waits for one.
	released chan struct{}
}

// NewBytes returns a bound of which nothing is used.
func NewBytes(bound int64) *Bytes { return &Bytes{bound: bound, owners: map[string]int64{}} }

// Used returns the number of bytes that are held.
func (bytes *Bytes) Used() int64 {
	bytes.mutex.Lock()
	defer bytes.mutex.Unlock()
	return bytes.used
}

// Hold returns a hold of no bytes for an owner. The caller must call Release.
func (bytes *Bytes) Hold(owner string) *Hold { return &Hold{bytes: bytes, owner: owner} }

// take takes more bytes for an owner. If it cannot, it returns a channel that is closed
// after the next release.
func (bytes *Bytes) take(owner string, count int64) (<-chan struct{}, bool) {
	bytes.mutex.Lock()
	defer bytes.mutex.Unlock()
	if bytes.owners[owner]+count <= bytes.bound-bytes.used-count {
		bytes.used += count
		bytes.owners[owner] += count
		return nil, true
	}
	if bytes.released == nil {
		bytes.released = make(chan struct{})
	}
	return bytes.released, false
}

func (bytes *Bytes) release(owner string, count int64) {
	bytes.mutex.Lock()
	defer bytes.mutex.Unlock()
	bytes.used -= count
	bytes.owners[owner] -= count
	if bytes.owners[owner] == 0 {
		delete(bytes.owners, owner)
	}
	if bytes.released != nil {
		close(bytes.released)
		bytes.released = nil
	}
}

// A Hold is what one body of an owner holds. It is used by one goroutine at a time.
type Hold struct {
	bytes *Bytes
	owner string
	count int64
}

// Grow makes the hold one of count bytes if it is smaller. It waits for other holds to be
// released until the context ends, and then returns false.
func (hold *Hold) Grow(ctx context.Context, count int64) bool {
	for hold.count < count {
		released, taken := hold.bytes.take(hold.owner, count-hold.count)
		if taken {
			hold.count = count
			return true
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Missing returns how many bytes of others must be released before the hold can have count
// bytes, 0 if it can have them now.
func (hold *Hold) Missing(count int64) int64 {
	bytes, more := hold.bytes, count-hold.count
	if more <= 0 {
		return 0
	}
	bytes.mutex.Lock()
	defer bytes.mutex.Unlock()
	return max(0, bytes.owners[hold.owner]+more-(bytes.bound-bytes.used-more))
}

// Release releases all bytes. The hold may be used again.
func (hold *Hold) Release() {
	if hold.count > 0 {
		hold.bytes.release(hold.owner, hold.count)
		hold.count = 0
	}
}
