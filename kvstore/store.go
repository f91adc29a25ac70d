package kvstore

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// An Entry is one key of the store.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64

	// Lease is empty for a key without a lease.
	Lease string
}

// A Listing is the result of List.
type Listing struct {
	Revision uint64
	Entries  []Entry

	// Age is how long before the call the listing was the store's, 0 when the
	// store itself answered.
	Age time.Duration
}

// Changes is the result of Watch.
type Changes struct {
	// Revision is the revision to pass to the next Watch.
	Revision uint64
	Entries  []Entry
	Deleted  []string

	// Age is how long before the call the changes were the newest, 0 when the
	// store itself answered. It is negative when they were so later.
	Age time.Duration
}

// Expect is the condition of a write.
type Expect struct {
	any      bool
	revision uint64
}

// ExpectAny places no condition on a write.
func ExpectAny() Expect { return Expect{any: true} }

// ExpectAbsent requires that the key does not exist.
func ExpectAbsent() Expect { return Expect{} }

// ExpectRevision requires that the key is at the revision.
func ExpectRevision(revision uint64) Expect { return Expect{revision: revision} }

// Any reports whether there is no condition.
func (expect Expect) Any() bool { return expect.any }

// Revision returns the required revision, 0 for absent.
func (expect Expect) Revision() uint64 { return expect.revision }

// PutRequest is one write.
type PutRequest struct {
	Key    string
	Value  []byte
	Expect Expect

	// Lease attaches the key to a lease when it is not empty.
	Lease string
}

// PutOutcome is what is known of a write. It is Written, Conflict, Refused or
// Unknown.
type PutOutcome interface{ putOutcome() }

// Written says that the write took effect.
type Written struct{ Revision uint64 }

// Conflict says that the condition did not hold; nothing was written.
type Conflict struct {
	// Revision is the key's current revision, 0 when it does not exist.
	Revision uint64
}

// Refused says that the store did not run the write, for example because it
// was over its rate or could not be reached.
type Refused struct{ Err error }

// Unknown says that the write may or may not have taken effect; the caller
// reads back to find out.
type Unknown struct{ Err error }

func (Written) putOutcome()  {}
func (Conflict) putOutcome() {}
func (Refused) putOutcome()  {}
func (Unknown) putOutcome()  {}

// A Store is the platform's key-value service.
//
// Get returns an errors.NotFound error for a key that does not exist. Watch
// waits at most wait and returns empty Changes when nothing changed; it
// returns an errors.NotValid error when the revision is too old, after which
// the caller lists again. Renew returns an errors.NotFound error for a lease
// that has lapsed.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	Put(ctx context.Context, request PutRequest) PutOutcome
	Delete(ctx context.Context, key string, expect Expect) PutOutcome
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
}

// VMState is what the platform's list says of a VM.
type VMState int

// The states of a VM in the platform's list.
const (
	VMLive VMState = iota + 1
	VMLeaving
)

// A VM is one entry of the platform's lagging list.
type VM struct {
	Name string

	// Address is IP:port of the engine on the VM.
	Address       string
	Incarnation   string
	FabricDomain  string
	FailureDomain string
	Accelerators  int
	State         VMState
}

// A VMList reads the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
