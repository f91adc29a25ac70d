package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func Example() {
	now := time.Unix(0, 0)
	fleet := New(Config{
		Name:          "node-1",
		Incarnation:   "1",
		FailureDomain: "lj-a",
		PeerAddress:   "10.0.0.1:8081",
		AdminAddress:  "10.0.0.1:8082",
		Random:        rand.New(rand.NewPCG(1, 1)),
	})
	// The nodes are listed first, because the TTL of the lease depends on their
	// number.
	fleet.Handle(now, Tick{})
	for _, effect := range fleet.Handle(now, KeysListed{Prefix: NodePrefix}) {
		if grant, isGrant := effect.(GrantLease); isGrant {
			fmt.Println("ask the store for a lease of", grant.TTL)
		}
	}
	for _, effect := range fleet.Handle(now, LeaseGranted{Lease: "lease-1", TTL: DefaultLeaseMinimum, Sent: now}) {
		if write, isWrite := effect.(WriteNode); isWrite {
			fmt.Println("write", write.Key, "with", write.Lease)
		}
	}
	// Output:
	// ask the store for a lease of 9s
	// write node/node-1 with lease-1
}
