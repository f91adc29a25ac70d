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
	known.received = peer.Grants{}
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
	state.sendGrants(now, frame, "")
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
	known.received = frame
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
// meshed.
func (state *state) forwardGrants(now time.Time, frame peer.Grants, except string) {
	if state.fleet.Size() <= fleet.FullMeshNodes {
		return
	}
	state.sendGrants(now, state.domain(frame.Domain).aged(now), except)
}

// sendGrants sends grants along the relay tree of their origin, except to the
// peer that they came from. In a full mesh the origin sends them to every peer.
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

// aged returns the received grants with their ages at this node, so that each
// hop adds its delay.
func (known *domain) aged(now time.Time) peer.Grants {
	grants := make([]group.GroupGrant, 0, len(known.grants))
	for _, granted := range known.received.Groups {
		grants = append(grants, known.grants[granted.Group])
	}
	frame := known.received
	frame.Groups = encodeGrants(now, grants)
	return frame
}

const (
	// missedGrants is the number of report intervals without grants after
	// which a node asks its other peers for them.
	missedGrants = 2

	// askLater is the interval of the requests after askSoon without grants:
	// the domain then most likely has no complete group.
	askSoon  = 10 * time.Second
	askLater = 2 * time.Second
)

// requestGrants asks a peer, each time another one, for grants that do not
// arrive. The link to the origin may be cut while other peers still have it.
func (state *state) requestGrants(now time.Time) {
	linked := state.config.Mesh.Linked()
	if state.configuration.folder == nil || len(linked) == 0 {
		return
	}
	patience := missedGrants * state.configuration.folder.Policy().ReportInterval
	for name, known := range state.domains {
		if _, led := state.led[name]; led || known.placement == nil {
			continue
		}
		missing := now.Sub(later(known.grantedAt, state.startedAt))
		if missing < patience || missing > askSoon && now.Sub(known.askedAt) < askLater {
			continue
		}
		known.askedAt = now
		state.asked++
		state.config.Mesh.Send(linked[state.asked%len(linked)], peer.GrantsRequest{Domain: name})
	}
}

// answerGrants sends a peer the grants that another node published.
func (state *state) answerGrants(now time.Time, from string, request peer.GrantsRequest) {
	known, found := state.domains[request.Domain]
	if !found || known.received.Origin == "" || known.received.Origin == from {
		return
	}
	state.config.Mesh.SendComposed(from, known.aged(now), now)
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
