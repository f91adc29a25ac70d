package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// leaseSpan is the time for which one lease takes new claims. All claims of
	// a span are removed together.
	leaseSpan = time.Hour

	// leaseRetry bounds the rate of grants while the store refuses them.
	leaseRetry = time.Second
)

// claimLeases attaches finished claims to leases that are never renewed, so
// that the store itself removes them after their retention. Removing each
// claim would be a third write per booking. An unfinished claim has no lease:
// it stays until an operator settles it.
type claimLeases struct {
	config Config

	mutex     sync.Mutex
	lease     string
	retention time.Duration
	until     time.Time
	nextTry   time.Time
}

func newClaimLeases(config Config) *claimLeases { return &claimLeases{config: config} }

// current returns a lease that lasts at least for the retention, empty when
// the store grants none. A claim without a lease is kept for longer, which is
// safe.
func (leases *claimLeases) current(ctx context.Context, retention time.Duration) string {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	now := leases.config.Now()
	if leases.lease != "" && leases.retention == retention && now.Before(leases.until) {
		return leases.lease
	}
	if now.Before(leases.nextTry) {
		return ""
	}
	callCtx, cancel := context.WithTimeout(ctx, leases.config.StoreTimeout)
	defer cancel()
	lease, err := leases.config.Store.Grant(callCtx, retention+leaseSpan)
	if err != nil {
		leases.nextTry = now.Add(leaseRetry)
		return ""
	}
	leases.lease = lease
	leases.retention = retention
	leases.until = now.Add(leaseSpan)
	return lease
}

// drop forgets a lease under which the store refused a write: it may no longer
// know it.
func (leases *claimLeases) drop(lease string) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	if leases.lease == lease {
		leases.lease = ""
		leases.nextTry = leases.config.Now().Add(leaseRetry)
	}
}
