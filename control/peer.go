package control

import (
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/peer"
)

// handlePeer handles an event of the mesh.
func (state *state) handlePeer(now time.Time, event peer.Event) {
	switch event := event.(type) {
	case peer.LinkUp:
		state.handleLinkUp(now, event.Hello)
	case peer.LinkDown:
		state.logger.Info("link closed", zap.String("peer", event.Name), zap.String("reason", string(event.Reason)))
		delete(state.usage, event.Name)
		delete(state.configuration.generations, event.Name)
		state.handleFleet(now, fleet.LinkClosed{Name: event.Name})
	case peer.Received:
		state.handleFrame(now, event)
	default:
		panic(errors.Errorf("control: peer event %T is not handled", event))
	}
}

// handleLinkUp sends a newly linked peer the data that it may have missed: the
// configuration head, the placements, the drain notices, and the shared records with those
// that have ended, because a peer without the store receives an end from its links only.
func (state *state) handleLinkUp(now time.Time, hello peer.Hello) {
	state.logger.Info("link opened", zap.String("peer", hello.Name))
	state.handleFleet(now, fleet.LinkOpened{Node: fleet.Node{
		Name:          hello.Name,
		Incarnation:   hello.Incarnation,
		FailureDomain: hello.FailureDomain,
		PeerAddress:   hello.Address,
	}})
	if state.configuration.folder != nil {
		state.config.Mesh.Send(hello.Name, state.configuration.headFrame())
	}
	for name, domain := range state.domains {
		if domain.placement != nil {
			state.config.Mesh.Send(hello.Name, domain.frame(name))
		}
	}
	for key, notice := range state.drains {
		state.config.Mesh.Send(hello.Name, notice.frame(key))
	}
	for _, known := range state.records.known {
		state.config.Mesh.Send(hello.Name, known)
	}
	for key, ended := range state.records.ended {
		state.config.Mesh.Send(hello.Name, peer.Record{Key: key, Revision: ended.Revision})
	}
}

func (domain *domainState) frame(name string) peer.Placement {
	return peer.Placement{Domain: name, Revision: domain.revision, Record: domain.record}
}

func (state *state) handleFrame(now time.Time, received peer.Received) {
	switch frame := received.Frame.(type) {
	case peer.Heartbeat:
		state.observeGeneration(now, received.From, frame.Generation)
	case peer.Head:
		state.offerHead(now, received.From, decodeHead(frame))
	case peer.BodyRequest:
		state.sendBody(received.From, frame)
	case peer.Body:
		state.adopt(now, decodeHead(frame.Head), frame.Data, received.From)
	case peer.Placement:
		state.setPlacement(now, frame.Domain, frame.Revision, frame.Record)
	case peer.Grants:
		if state.receiveGrants(now, frame, received.SentAfter) {
			state.forwardGrants(now, frame, received.From)
		}
	case peer.GrantsRequest:
		state.sendRequestedGrants(now, received.From, frame)
	case peer.Usage:
		state.receiveUsage(frame)
	case peer.Leaving:
		state.markDraining(now, frame, received.From)
	case peer.Record:
		state.receiveRecord(now, frame, received.From)
	default:
		state.metrics.unknownFrames.Inc()
	}
}

// publishUsage sends the demand of each workspace at this node to the peers.
func (state *state) publishUsage() {
	state.config.Mesh.Broadcast(peer.Usage{
		Origin:      state.config.Name,
		Incarnation: state.config.Incarnation,
		Version:     state.nextVersion(),
		Workspaces:  state.config.Traffic.Usage(),
	}, "")
}

func (state *state) receiveUsage(frame peer.Usage) {
	if !state.versions.Advance("usage/"+frame.Origin, frame.Incarnation, frame.Version) {
		state.metrics.staleFrames.Inc()
		return
	}
	state.usage[frame.Origin] = frame
	others := make([]peer.Usage, 0, len(state.usage))
	for _, usage := range state.usage {
		others = append(others, usage)
	}
	state.config.Traffic.SetUsage(others)
}
