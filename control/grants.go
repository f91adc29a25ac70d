package control

import (
	"time"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/peer"
)

// publishGrants sets the grants of a fabric domain that this node leads and
// sends them to the peers.
func (state *state) publishGrants(now time.Time, leadership *leadership, effect group.PublishGrants) {
	domain := state.ensureDomain(leadership.domain)
	domain.fence = max(domain.fence, effect.Fence)
	domain.grantsFrame = peer.Grants{}
	domain.grants = map[string]group.GroupGrant{}
	for _, granted := range effect.Grants {
		domain.grants[granted.Grant.Group] = granted
	}
	state.dirty = true
	frame := peer.Grants{
		Origin:      state.config.Name,
		Incarnation: state.config.Incarnation,
		Version:     state.nextVersion(),
		Fence:       effect.Fence,
		Domain:      leadership.domain,
		Groups:      encodeGrants(now, effect.Grants),
	}
	state.sendGrants(now, frame, "")
}

// encodeGrants converts times on this node's clock to durations relative to
// now. Ages are rounded up and validities down, so that rounding never extends
// a grant.
func encodeGrants(now time.Time, grants []group.GroupGrant) []peer.GroupGrant {
	encoded := make([]peer.GroupGrant, 0, len(grants))
	for _, granted := range grants {
		encoded = append(encoded, peer.GroupGrant{
			Group:       granted.Grant.Group,
			Epoch:       granted.Grant.Epoch,
			AgeMillis:   now.Sub(granted.Grant.ReportedAt).Milliseconds() + 1,
			ValidMillis: granted.Grant.ValidUntil.Sub(now).Milliseconds(),
			Running:     granted.Load.Running,
			Queued:      granted.Load.Queued,
			FreeCache:   granted.Load.FreeCache,
		})
	}
	return encoded
}

// receiveGrants adopts the grants in a frame and reports whether they were
// accepted. Grants of an earlier leader, of an outdated frame version or of a
// link that has not yet measured sentAfter are discarded.
//
// Ages and validities are counted from sentAfter, a lower bound of the time at
// which the frame was sent, so that a delay in transit shortens the validity.
func (state *state) receiveGrants(now time.Time, frame peer.Grants, sentAfter time.Time) bool {
	if sentAfter.IsZero() || state.ownGrantsPrevail(frame) {
		return false
	}
	domain := state.ensureDomain(frame.Domain)
	if frame.Fence < domain.fence {
		state.metrics.staleFrames.Inc()
		return false
	}
	if !state.versions.Advance(frame.Origin+"/"+frame.Domain, frame.Incarnation, frame.Version) {
		state.metrics.staleFrames.Inc()
		return false
	}
	domain.fence = frame.Fence
	domain.grantsReceivedAt = now
	domain.grantsFrame = frame
	domain.grants = map[string]group.GroupGrant{}
	for _, granted := range frame.Groups {
		domain.grants[granted.Group] = decodeGrant(granted, sentAfter)
	}
	state.dirty = true
	return true
}

func decodeGrant(granted peer.GroupGrant, sentAfter time.Time) group.GroupGrant {
	return group.GroupGrant{
		Grant: group.Grant{
			Group:      granted.Group,
			Epoch:      granted.Epoch,
			ReportedAt: sentAfter.Add(-time.Duration(granted.AgeMillis) * time.Millisecond),
			ValidUntil: sentAfter.Add(time.Duration(granted.ValidMillis) * time.Millisecond),
		},
		Load: group.Load{
			Running:   granted.Running,
			Queued:    granted.Queued,
			FreeCache: granted.FreeCache,
		},
	}
}

// forwardGrants relays received grants to other peers if the fleet is too large
// for a full mesh.
func (state *state) forwardGrants(now time.Time, frame peer.Grants, except string) {
	if state.fleet.Size() <= fleet.FullMeshNodes {
		return
	}
	state.sendGrants(now, state.ensureDomain(frame.Domain).agedGrants(now), except)
}

// sendGrants sends grants to the next nodes of the relay tree of their origin,
// or to every peer in a full mesh. except is the peer that sent them to this
// node, if any.
func (state *state) sendGrants(now time.Time, frame peer.Grants, except string) {
	if state.fleet.Size() <= fleet.FullMeshNodes {
		state.config.Mesh.BroadcastComposed(frame, except, now)
		return
	}
	for _, name := range state.fleet.RelayTo(frame.Origin) {
		if name != except {
			state.config.Mesh.SendComposed(name, frame, now)
		}
	}
}

// agedGrants returns the received frame with ages and validities relative to
// now, so that each hop adds its delay.
func (domain *domainState) agedGrants(now time.Time) peer.Grants {
	grants := make([]group.GroupGrant, 0, len(domain.grants))
	for _, granted := range domain.grantsFrame.Groups {
		grants = append(grants, domain.grants[granted.Group])
	}
	frame := domain.grantsFrame
	frame.Groups = encodeGrants(now, grants)
	return frame
}

const (
	// missedGrantIntervals is the number of report intervals without grants after
	// which a node requests them from its peers.
	missedGrantIntervals = 2

	// reduceGrantRequestsAfter is the time without grants after which they are
	// requested only at intervals of reducedGrantRequestInterval, because the
	// domain then most likely has no complete group.
	reduceGrantRequestsAfter    = 10 * time.Second
	reducedGrantRequestInterval = 2 * time.Second
)

// requestGrants requests overdue grants of each fabric domain from the peers in
// turn. If this node has lost the link to the origin of the grants, other peers
// may still have one.
func (state *state) requestGrants(now time.Time) {
	linked := state.config.Mesh.Linked()
	if state.configuration.folder == nil || len(linked) == 0 {
		return
	}
	overdue := missedGrantIntervals * state.configuration.folder.Policy().ReportInterval
	for name, domain := range state.domains {
		if _, led := state.leaderships[name]; led || domain.placement == nil {
			continue
		}
		missing := now.Sub(later(domain.grantsReceivedAt, state.startedAt))
		if missing < overdue || missing > reduceGrantRequestsAfter && now.Sub(domain.grantsRequestedAt) < reducedGrantRequestInterval {
			continue
		}
		domain.grantsRequestedAt = now
		state.grantRequests++
		state.config.Mesh.Send(linked[state.grantRequests%len(linked)], peer.GrantsRequest{Domain: name})
	}
}

// sendRequestedGrants sends a peer the grants that another node published.
func (state *state) sendRequestedGrants(now time.Time, from string, request peer.GrantsRequest) {
	domain, found := state.domains[request.Domain]
	if !found || domain.grantsFrame.Origin == "" || domain.grantsFrame.Origin == from {
		return
	}
	state.config.Mesh.SendComposed(from, domain.agedGrants(now), now)
}

// ownGrantsPrevail reports whether a received frame must be discarded because
// this node publishes the grants of its domain. A node that publishes them
// without the lease accepts the frame of a later leader.
func (state *state) ownGrantsPrevail(frame peer.Grants) bool {
	leadership, found := state.leaderships[frame.Domain]
	if !found {
		return false
	}
	return !leadership.withoutLease || frame.Fence <= state.ensureDomain(frame.Domain).fence
}
