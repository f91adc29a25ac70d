package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// leaseRotationInterval is the time for which finished claims are attached
	// to the same lease. They are removed together when it expires.
	leaseRotationInterval = time.Hour

	// leaseRetryInterval is the wait before another lease is requested after the
	// store refused one, or refused a write under one.
	leaseRetryInterval = time.Second
)

// claimLeases provides the leases of finished claims. The leases are never
// renewed, so that the store removes the claims after their retention;
// removing each claim would be a third write per booking. An unfinished claim
// has no lease, because it must stay until an operator settles it.
type claimLeases struct {
	config Config

	mutex     sync.Mutex
	lease     string
	retention time.Duration
	rotateAt  time.Time
	retryAt   time.Time
}

func newClaimLeases(config Config) *claimLeases { return &claimLeases{config: config} }

// current returns a lease that lasts at least for the retention, empty if the
// store grants none. A claim without a lease is not removed, which is safe.
func (leases *claimLeases) current(ctx context.Context, retention time.Duration) string {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	now := leases.config.Now()
	if leases.lease != "" && leases.retention == retention && now.Before(leases.rotateAt) {
		return leases.lease
	}
	if now.Before(leases.retryAt) {
		return ""
	}
	callCtx, cancel := context.WithTimeout(ctx, leases.config.StoreTimeout)
	defer cancel()
	lease, err := leases.config.Store.Grant(callCtx, retention+leaseRotationInterval)
	if err != nil {
		leases.retryAt = now.Add(leaseRetryInterval)
		return ""
	}
	leases.lease = lease
	leases.retention = retention
	leases.rotateAt = now.Add(leaseRotationInterval)
	return lease
}

// discard drops a lease under which the store refused a write, because the
// lease may no longer exist in the store.
func (leases *claimLeases) discard(lease string) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	if leases.lease == lease {
		leases.lease = ""
		leases.retryAt = leases.config.Now().Add(leaseRetryInterval)
	}
}
