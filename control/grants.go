package control

import (
	"time"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/peer"
)

// publishGrants takes in the grants of a domain that this node leads and
// sends them to the peers.
func (state *state) publishGrants(now time.Time, led *leadership, effect group.PublishGrants) {
	known := state.domain(led.domain)
	known.fence = max(known.fence, effect.Fence)
	known.grants = map[string]group.GroupGrant{}
	for _, granted := range effect.Grants {
		known.grants[granted.Grant.Group] = granted
	}
	state.dirty = true
	frame := peer.Grants{
		Origin:      state.config.Name,
		Incarnation: state.config.Incarnation,
		Version:     state.nextVersion(),
		Fence:       effect.Fence,
		Domain:      led.domain,
		Groups:      encodeGrants(now, effect.Grants),
	}
	state.config.Mesh.BroadcastComposed(frame, "", now)
}

// encodeGrants turns times on this node's clock into ages at now. Ages are
// rounded up and validities down, so that rounding never extends a grant.
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

// receiveGrants takes in the grants of a peer. Times are counted from
// SentAfter, which is not later than when the frame was sent, so a frame that
// was delayed on its way loses that delay from its validity.
func (state *state) receiveGrants(now time.Time, frame peer.Grants, sentAfter time.Time) bool {
	if sentAfter.IsZero() || state.grantsItself(frame) {
		return false
	}
	known := state.domain(frame.Domain)
	if frame.Fence < known.fence {
		state.metrics.staleFrames.Inc()
		return false
	}
	if !state.versions.Advance(frame.Origin+"/"+frame.Domain, frame.Incarnation, frame.Version) {
		state.metrics.staleFrames.Inc()
		return false
	}
	known.fence = frame.Fence
	known.grantedAt = now
	known.grants = map[string]group.GroupGrant{}
	for _, granted := range frame.Groups {
		known.grants[granted.Group] = decodeGrant(granted, sentAfter)
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

// forwardGrants sends grants on to other peers in a fleet that is not fully
// meshed. The ages are those at this node, so that each hop adds its delay.
func (state *state) forwardGrants(now time.Time, frame peer.Grants, except string) {
	if len(state.fleet.Nodes()) <= fleet.FullMeshNodes {
		return
	}
	known := state.domain(frame.Domain)
	grants := make([]group.GroupGrant, 0, len(known.grants))
	for _, granted := range frame.Groups {
		grants = append(grants, known.grants[granted.Group])
	}
	frame.Groups = encodeGrants(now, grants)
	state.config.Mesh.BroadcastComposed(frame, except, now)
}

// grantsItself reports whether this node publishes the grants of the frame's
// domain and the frame is not of a later leader.
func (state *state) grantsItself(frame peer.Grants) bool {
	led, found := state.led[frame.Domain]
	if !found {
		return false
	}
	return !led.severed || frame.Fence <= state.domain(frame.Domain).fence
}
