package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
)

// handleFleet passes an event to the membership core and carries out the
// effects that it returns.
func (state *state) handleFleet(now time.Time, event fleet.Event) {
	for _, effect := range state.fleet.Handle(now, event) {
		state.runFleetEffect(now, effect)
	}
	if changesNodes(event) {
		state.setNodes(now)
	}
	state.holdUnasked(now)
}

// changesNodes reports whether an event may add or remove nodes. Requests go through a new
// node as soon as it is known.
func changesNodes(event fleet.Event) bool {
	isNode := func(key string) bool { return strings.HasPrefix(key, fleet.NodePrefix) }
	switch event := event.(type) {
	case fleet.KeysListed:
		return event.Prefix == fleet.NodePrefix
	case fleet.KeysChanged:
		return slices.ContainsFunc(event.Deleted, isNode) || slices.ContainsFunc(event.Entries, func(entry kvstore.Entry) bool { return isNode(entry.Key) })
	default:
		return false
	}
}

func (state *state) runFleetEffect(now time.Time, effect fleet.Effect) {
	switch effect := effect.(type) {
	case fleet.ListNodes:
		state.startWorker(state.listNodes)
	case fleet.SetWatching:
		// A node that follows a feed has no peer links over which others could
		// relay changes, so it always watches the store.
		state.setWatching(effect.Watching || state.feeding())
	case fleet.GrantLease:
		state.startWorker(func(ctx context.Context) message { return state.grantLease(ctx, effect) })
	case fleet.RenewLease:
		state.startWorker(func(ctx context.Context) message { return state.renewLease(ctx, effect) })
	case fleet.RevokeLease:
		state.pendingRevocations++
		state.startWorker(func(ctx context.Context) message { return state.revokeLease(ctx, effect) })
	case fleet.WriteNode:
		state.startWorker(func(ctx context.Context) message { return state.writeNode(ctx, effect) })
	case fleet.ClaimDomain:
		state.startWorker(func(ctx context.Context) message { return state.claimDomain(ctx, effect) })
	case fleet.ReadLeader:
		state.startWorker(func(ctx context.Context) message { return state.readLeader(ctx, effect) })
	case fleet.ReleaseDomain:
		state.startWorker(func(ctx context.Context) message { return state.releaseDomain(ctx, effect) })
	case fleet.SetPeers:
		// A node that follows a feed needs no peer links: it reads all data from
		// the store.
		if !state.feeding() {
			state.setPeers(effect.Targets)
		}
	case fleet.LeadershipHeld:
		state.beginOrExtendTerm(now, effect)
	case fleet.LeadershipLost:
		state.loseLeadership(now, effect.Domain)
	default:
		panic(errors.Errorf("control: fleet effect %T is not handled", effect))
	}
}

func (state *state) listNodes(ctx context.Context) message {
	listing, err := state.config.Platform.List(ctx, fleet.NodePrefix)
	if err != nil {
		return fleetResult{event: fleet.ListFailed{}}
	}
	return fleetResult{
		event:   fleet.KeysListed{Prefix: fleet.NodePrefix, Revision: listing.Revision, Entries: listing.Entries},
		reached: true,
	}
}

func (state *state) grantLease(ctx context.Context, effect fleet.GrantLease) message {
	sent := state.now()
	lease, err := state.config.Platform.Grant(ctx, effect.TTL)
	if err != nil {
		return fleetResult{event: fleet.LeaseGrantFailed{}}
	}
	return fleetResult{
		event:   fleet.LeaseGranted{Lease: lease, TTL: effect.TTL, Sent: sent},
		reached: true,
	}
}

func (state *state) renewLease(ctx context.Context, effect fleet.RenewLease) message {
	sent := state.now()
	era, err := state.config.Platform.Renew(ctx, effect.Lease)
	switch {
	case err == nil:
		return fleetResult{event: fleet.LeaseRenewed{Lease: effect.Lease, Sent: sent, Era: era}, reached: true}
	case errors.Is(err, errors.NotFound):
		return fleetResult{event: fleet.LeaseMissing(effect), reached: true}
	default:
		state.logger.Warn("renewal of the node's lease failed", zap.String("lease", effect.Lease), zap.Error(err))
		return fleetResult{event: fleet.LeaseRenewFailed(effect)}
	}
}

func (state *state) revokeLease(ctx context.Context, effect fleet.RevokeLease) message {
	// The error can be ignored: a lease that is not revoked expires.
	_ = state.config.Platform.Revoke(ctx, effect.Lease)
	return leaseRevoked{}
}

func (state *state) writeNode(ctx context.Context, effect fleet.WriteNode) message {
	outcome := state.config.Platform.Put(ctx, kvstore.PutRequest{
		Key:    effect.Key,
		Value:  effect.Value,
		Expect: kvstore.ExpectAny(),
		Lease:  effect.Lease,
	})
	return fleetResult{
		event:   fleet.NodeWritten{Lease: effect.Lease, Outcome: outcome},
		reached: storeAnswered(outcome),
	}
}

func (state *state) claimDomain(ctx context.Context, effect fleet.ClaimDomain) message {
	outcome := state.putBefore(ctx, effect.Deadline, kvstore.PutRequest{
		Key:    effect.Key,
		Value:  effect.Value,
		Expect: kvstore.ExpectAbsent(),
		Lease:  effect.Lease,
	})
	return fleetResult{
		event:   fleet.ClaimDone{Domain: effect.Domain, Lease: effect.Lease, Outcome: outcome},
		reached: storeAnswered(outcome),
	}
}

// putBefore sends a write unless its deadline on the monotonic clock has
// passed.
func (state *state) putBefore(ctx context.Context, deadline time.Time, request kvstore.PutRequest) kvstore.PutOutcome {
	if !state.now().Before(deadline) {
		return kvstore.Refused{Err: errors.Timeoutf("write of key %s", request.Key)}
	}
	return state.config.Platform.Put(ctx, request)
}

func (state *state) readLeader(ctx context.Context, effect fleet.ReadLeader) message {
	entry, err := state.config.Platform.Get(ctx, effect.Key)
	if errors.Is(err, errors.NotFound) {
		return fleetResult{event: fleet.LeaderRead{Domain: effect.Domain}, reached: true}
	}
	return fleetResult{
		event:   fleet.LeaderRead{Domain: effect.Domain, Entry: entry, Err: err},
		reached: err == nil,
	}
}

func (state *state) releaseDomain(ctx context.Context, effect fleet.ReleaseDomain) message {
	state.config.Platform.Delete(ctx, effect.Key, kvstore.ExpectRevision(effect.Revision))
	return workerEnded{}
}

// storeAnswered reports whether the outcome of a write came from the store.
func storeAnswered(outcome kvstore.PutOutcome) bool {
	switch outcome.(type) {
	case kvstore.Written, kvstore.Conflict:
		return true
	default:
		return false
	}
}

func (state *state) setPeers(targets []fleet.Target) {
	dialled := make([]peer.Target, 0, len(targets))
	for _, target := range targets {
		dialled = append(dialled, peer.Target{Name: target.Name, Address: target.Address})
	}
	state.config.Mesh.SetTargets(dialled)
}
