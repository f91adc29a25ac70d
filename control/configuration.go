package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
)

// bodyRetry is the time after which a body that has not arrived is requested
// again. The request or the body is lost if the link to the peer closes.
const bodyRetry = 500 * time.Millisecond

// configuration is the configuration in force, together with the generations
// that the peers and the store have reported.
type configuration struct {
	adopter *generation.Adopter
	folder  *folder.Folder

	// data is the encoded body, as stored in the store and sent to peers.
	data []byte

	// adoptedAt is when the configuration came into force at this node.
	adoptedAt time.Time

	// requested is the generation whose body was last requested, and
	// requestedAt the time of that request.
	requested   uint64
	requestedAt time.Time

	// storeBehind is true while the store holds a lower generation than the one
	// in force.
	storeBehind bool

	// generations is the generation in force at each peer, by name.
	generations map[string]uint64
}

func newConfiguration() configuration {
	return configuration{
		adopter:     generation.NewAdopter(),
		generations: map[string]uint64{},
	}
}

func (configuration *configuration) head() generation.Head { return configuration.adopter.Head() }

func (configuration *configuration) headFrame() peer.Head {
	return encodeHead(configuration.head())
}

func encodeHead(head generation.Head) peer.Head {
	return peer.Head{Generation: head.Generation, Change: head.Change, Digest: head.Digest}
}

func decodeHead(frame peer.Head) generation.Head {
	return generation.Head{Generation: frame.Generation, Change: frame.Change, Digest: frame.Digest}
}

// beginBodyRequest reports whether the body of a generation should be
// requested now, and if so records the request.
func (configuration *configuration) beginBodyRequest(now time.Time, number uint64) bool {
	if number <= configuration.head().Generation {
		return false
	}
	if number <= configuration.requested && now.Sub(configuration.requestedAt) < bodyRetry {
		return false
	}
	configuration.requested = number
	configuration.requestedAt = now
	return true
}

// offerHead handles a configuration head received from a peer. It requests the
// body of a newer generation and sends its own head to a peer with an older
// one.
func (state *state) offerHead(now time.Time, from string, head generation.Head) {
	state.configuration.generations[from] = head.Generation
	switch state.configuration.adopter.Offer(head).(type) {
	case generation.Adopt:
		state.requestBody(now, from, head.Generation)
	case generation.Stale:
		state.config.Mesh.Send(from, state.configuration.headFrame())
	case generation.Conflict:
		state.reportConflict(head, from)
	}
}

// observeGeneration handles the generation in a peer's heartbeat. Every
// heartbeat carries it, so a head or body that was lost when a link closed is
// requested again.
func (state *state) observeGeneration(now time.Time, from string, number uint64) {
	state.configuration.generations[from] = number
	state.requestBody(now, from, number)
}

// requestMissingBodies requests the bodies of newer generations that peers have
// reported and that have not arrived.
func (state *state) requestMissingBodies(now time.Time) {
	for name, number := range state.configuration.generations {
		state.requestBody(now, name, number)
	}
}

func (state *state) requestBody(now time.Time, from string, number uint64) {
	if state.configuration.beginBodyRequest(now, number) {
		state.config.Mesh.Send(from, peer.BodyRequest{Generation: number})
	}
}

func (state *state) reportConflict(head generation.Head, source string) {
	state.metrics.conflicts.Inc()
	state.logger.Error("ignored a different configuration with the generation in force",
		zap.Uint64("generation", head.Generation),
		zap.String("offered-change", head.Change),
		zap.String("held-change", state.configuration.head().Change),
		zap.String("source", source))
}

// sendBody sends the body in force to a peer that requested its generation or
// an older one.
func (state *state) sendBody(from string, request peer.BodyRequest) {
	if state.configuration.folder == nil || request.Generation > state.configuration.head().Generation {
		return
	}
	state.config.Mesh.Send(from, peer.Body{Head: state.configuration.headFrame(), Data: state.configuration.data})
}

// pollHead reads the configuration head from the store, for nodes that missed
// it in their watch and in the frames of their peers.
func (state *state) pollHead() {
	state.startWorker(func(ctx context.Context) message {
		sent := state.now()
		entry, err := state.config.Platform.Get(ctx, generation.HeadKey)
		switch {
		case err == nil:
			return headRead{sent: sent, value: entry.Value}
		case errors.Is(err, errors.NotFound):
			return headRead{sent: sent}
		default:
			return headFailed{}
		}
	})
}

func (state *state) handleHeadEntries(now time.Time, entries []kvstore.Entry) {
	for _, entry := range entries {
		if entry.Key == generation.HeadKey {
			state.offerStoredHead(now, time.Time{}, entry.Value)
		}
	}
}

// offerStoredHead handles the configuration head read from the store. value is
// empty if the store has no head. sent is when the read was sent, and zero for
// a head that a watch delivered.
func (state *state) offerStoredHead(now, sent time.Time, value []byte) {
	var head generation.Head
	if len(value) > 0 {
		var err error
		head, err = generation.DecodeHead(value)
		if err != nil {
			state.metrics.badRecords.Inc()
			state.logger.Error("failed to decode configuration head from the store", zap.Error(err))
			return
		}
	}
	switch state.configuration.adopter.Offer(head).(type) {
	case generation.Adopt:
		state.fetchBody(now, head)
	case generation.Stale:
		// A read that was sent before the configuration was adopted may return
		// the previous head although the store holds the current one.
		if sent.After(state.configuration.adoptedAt) {
			state.setStoreBehind(true, head)
		}
	case generation.Same:
		state.setStoreBehind(false, head)
	case generation.Conflict:
		state.reportConflict(head, "store")
	}
}

// setStoreBehind records whether the store holds a lower generation than the
// one in force, as after the loss of recent writes. The node keeps its
// configuration.
func (state *state) setStoreBehind(behind bool, head generation.Head) {
	if behind == state.configuration.storeBehind {
		return
	}
	state.configuration.storeBehind = behind
	if !behind {
		state.metrics.storeBehind.Set(0)
		state.logger.Info("store holds the generation in force again")
		return
	}
	state.metrics.storeBehind.Set(1)
	state.logger.Warn("store holds a lower generation than the one in force",
		zap.Uint64("store-generation", head.Generation),
		zap.Uint64("generation", state.configuration.head().Generation))
}

func (state *state) fetchBody(now time.Time, head generation.Head) {
	if !state.configuration.beginBodyRequest(now, head.Generation) {
		return
	}
	state.startWorker(func(ctx context.Context) message {
		entry, err := state.config.Platform.Get(ctx, head.BodyKey())
		if err != nil {
			return bodyFailed{}
		}
		return bodyRead{head: head, value: entry.Value}
	})
}

// adopt puts a body into force if it is newer than the current one, and
// announces its head to the peers.
func (state *state) adopt(now time.Time, head generation.Head, data []byte, source string) {
	decision, err := state.configuration.adopter.AdoptData(head, data)
	if err != nil {
		state.metrics.badRecords.Inc()
		state.logger.Error("failed to adopt configuration body", zap.String("source", source), zap.Error(err))
		return
	}
	if _, adopted := decision.(generation.Adopt); !adopted {
		return
	}
	state.configuration.data = data
	state.configuration.adoptedAt = now
	state.configuration.folder = state.configuration.adopter.Body().Folder()
	state.dirty = true
	state.metrics.generation.Set(float64(head.Generation))
	state.logger.Info("configuration in force",
		zap.Uint64("generation", head.Generation),
		zap.String("change", head.Change),
		zap.String("source", source))
	state.config.Mesh.SetGeneration(head.Generation)
	state.config.Mesh.Broadcast(encodeHead(head), source)
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, state.folderEvent())
	}
}

// folderEvent returns the configuration in force as an event for a leader.
func (state *state) folderEvent() group.FolderAdopted {
	folder := state.configuration.folder
	return group.FolderAdopted{
		Groups:  folder.Groups(),
		Routes:  folder.Routes(),
		Classes: folder.TargetClasses(),
		Policy:  folder.Policy(),
	}
}
