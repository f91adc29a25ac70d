package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that keeps the leadership of a fabric domain whose VMs it does not
// reach, or claims it again before it reaches them (incident inc1 of RECOVER).
func TestDomainThatIsNotReachedIsHandedOver(test *testing.T) {
	now := time.Unix(1000, 0)
	node := New(Config{Name: "one", Incarnation: "1", FailureDomain: "z", Random: rand.New(rand.NewPCG(1, 1))})
	node.Handle(now, DomainsListed{Domains: []Domain{{Name: "d0", FailureDomain: "z"}}})
	domain := node.domains["d0"]
	domain.ownsKey, domain.revision, domain.leadershipReported = true, 7, true
	effects := node.Handle(now, DomainReached{Domain: "d0"})
	require.Contains(test, effects, Effect(LeadershipLost{Domain: "d0"}))
	require.Contains(test, effects, Effect(ReleaseDomain{Domain: "d0", Key: LeaderKey("d0"), Revision: 7}))

	node.lease = lease{id: "l", safeUntil: now.Add(time.Hour), recordWritten: true}
	node.recordWrittenAt = now.Add(-time.Hour)
	domain.keyState, domain.absentSince, domain.nextReadAt = leaderKeyAbsent, now.Add(-time.Hour), now.Add(time.Hour)
	claims := func(effects []Effect) bool {
		for _, effect := range effects {
			if _, claim := effect.(ClaimDomain); claim {
				return true
			}
		}
		return false
	}
	require.False(test, claims(node.Handle(now, Tick{})))
	require.True(test, claims(node.Handle(now, DomainReached{Domain: "d0", Reached: true})))
}
