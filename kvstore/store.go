package kvstore

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// An Entry is a key of the store with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64

	// Lease is empty for a key without a lease.
	Lease string

	// Created is the revision at which the key began to exist, 0 if it is not known.
	Created uint64
}

// A Listing is the result of List.
type Listing struct {
	Revision uint64
	Entries  []Entry

	// Age is how long before the call the listing was read from the store. It is 0
	// when the store itself responded.
	Age time.Duration
}

// Changes is the result of Watch.
type Changes struct {
	// Revision is the revision to pass to the next Watch.
	Revision uint64
	Entries  []Entry
	Deleted  []string

	// Age is how long before the call the changes were known to be the newest. It
	// is 0 when the store itself responded, and negative when that time is after
	// the start of the call.
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

// ExpectRevision requires that the key has the revision.
func ExpectRevision(revision uint64) Expect { return Expect{revision: revision} }

// Any reports whether the write has no condition.
func (expect Expect) Any() bool { return expect.any }

// Revision returns the required revision, or 0 if the key must not exist.
func (expect Expect) Revision() uint64 { return expect.revision }

// PutRequest is one write.
type PutRequest struct {
	Key    string
	Value  []byte
	Expect Expect

	// Lease attaches the key to a lease when it is not empty.
	Lease string
}

// A PutOutcome is the outcome of a Put or a Delete. It is Written, Conflict,
// Refused or Unknown.
type PutOutcome interface{ putOutcome() }

// Written means that the write took effect.
type Written struct{ Revision uint64 }

// Conflict means that the condition did not hold and nothing was written.
type Conflict struct {
	// Revision is the key's current revision, 0 when it does not exist.
	Revision uint64
}

// Refused means that the store did not run the write, for example because its
// rate limit was exceeded or it was unreachable.
type Refused struct{ Err error }

// Unknown means that the write may or may not have taken effect. The caller must
// read the key to find out.
type Unknown struct{ Err error }

func (Written) putOutcome()  {}
func (Conflict) putOutcome() {}
func (Refused) putOutcome()  {}
func (Unknown) putOutcome()  {}

// A Store is the platform's key-value service.
//
// Get returns an errors.NotFound error for a key that does not exist. Watch
// waits at most wait and returns empty Changes when nothing changed; it
// returns an errors.NotValid error when the revision is too old or of an earlier
// era (JoinRevision), after which the caller lists again. A condition on a revision
// of an earlier era does not hold. Renew returns the era of the store, 0 if it has
// none, and an errors.NotFound error for a lease that has expired.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	Put(ctx context.Context, request PutRequest) PutOutcome
	Delete(ctx context.Context, key string, expect Expect) PutOutcome
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	Renew(ctx context.Context, lease string) (era uint64, err error)
	Revoke(ctx context.Context, lease string) error
}

// VMState is the state of a VM in the platform's list.
type VMState int

// The states of a VM in the platform's list.
const (
	VMLive VMState = iota + 1
	VMLeaving

	// VMUnlisted is a VM that was removed from the list but still responds.
	VMUnlisted
)

// A VM is one entry of the platform's list of VMs, which lags behind changes.
type VM struct {
	Name string

	// Address is IP:port of the engine on the VM.
	Address       string
	Incarnation   string
	FabricDomain  string
	FailureDomain string
	Accelerators  int
	State         VMState

	// Service is the service that the engine on the VM belongs to, empty if VMs belong
	// to none.
	Service string
}

// A VMList reads the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
