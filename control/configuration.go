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

// bodyRetry is how long a requested body may take before it is requested
// again. The request or the body is lost when a link closes.
const bodyRetry = 500 * time.Millisecond

// configuration is the configuration in force and what is known of newer ones.
type configuration struct {
	adopter *generation.Adopter
	folder  *folder.Folder

	// data is the stored form of the body, as it is relayed to peers.
	data []byte

	// adoptedAt is when the configuration came into force at this node.
	adoptedAt time.Time

	// requested is the highest generation whose body was requested, and
	// requestedAt the time of the request.
	requested   uint64
	requestedAt time.Time

	// behind is true while the store holds a lower generation.
	behind bool

	// generations is the generation at each peer.
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

// mayRequest reports whether the body of a generation should be requested
// now, and remembers the request.
func (configuration *configuration) mayRequest(now time.Time, wanted uint64) bool {
	if wanted <= configuration.head().Generation {
		return false
	}
	if wanted <= configuration.requested && now.Sub(configuration.requestedAt) < bodyRetry {
		return false
	}
	configuration.requested = wanted
	configuration.requestedAt = now
	return true
}

// offerHead takes in the head that a peer holds.
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

// observeGeneration takes in the generation of a peer's heartbeat, which
// repeats a head whose frame or body was lost with a link.
func (state *state) observeGeneration(now time.Time, from string, known uint64) {
	state.configuration.generations[from] = known
	state.requestBody(now, from, known)
}

// requestMissing requests the body of a generation that a peer holds and that
// has not arrived.
func (state *state) requestMissing(now time.Time) {
	for name, known := range state.configuration.generations {
		state.requestBody(now, name, known)
	}
}

func (state *state) requestBody(now time.Time, from string, wanted uint64) {
	if state.configuration.mayRequest(now, wanted) {
		state.config.Mesh.Send(from, peer.BodyRequest{Generation: wanted})
	}
}

func (state *state) reportConflict(head generation.Head, source string) {
	state.metrics.conflicts.Inc()
	state.logger.Error("two configurations with the same generation",
		zap.Uint64("generation", head.Generation),
		zap.String("offered-change", head.Change),
		zap.String("held-change", state.configuration.head().Change),
		zap.String("source", source))
}

// answerBody sends the body in force to a peer that asked for its generation
// or an older one.
func (state *state) answerBody(from string, request peer.BodyRequest) {
	if state.configuration.folder == nil || request.Generation > state.configuration.head().Generation {
		return
	}
	state.config.Mesh.Send(from, peer.Body{Head: state.configuration.headFrame(), Data: state.configuration.data})
}

// pollHead reads the store's head, in case that watches and relay missed it.
func (state *state) pollHead() {
	state.start(func(ctx context.Context) message {
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

// offerStoredHead takes in the store's head; an empty value is an empty store.
// sent is when the store was asked, zero when that is not known.
func (state *state) offerStoredHead(now, sent time.Time, value []byte) {
	var head generation.Head
	if len(value) > 0 {
		var err error
		head, err = generation.DecodeHead(value)
		if err != nil {
			state.metrics.badRecords.Inc()
			state.logger.Error("configuration head in the store is not valid", zap.Error(err))
			return
		}
	}
	switch state.configuration.adopter.Offer(head).(type) {
	case generation.Adopt:
		state.fetchBody(now, head)
	case generation.Stale:
		// An answer that was sent before the adoption is only late.
		if sent.After(state.configuration.adoptedAt) {
			state.setBehind(true, head)
		}
	case generation.Same:
		state.setBehind(false, head)
	case generation.Conflict:
		state.reportConflict(head, "store")
	}
}

// setBehind reports a store that came back with a lower head than the one in
// force. The node keeps its configuration.
func (state *state) setBehind(behind bool, head generation.Head) {
	if behind == state.configuration.behind {
		return
	}
	state.configuration.behind = behind
	if !behind {
		state.metrics.behind.Set(0)
		state.logger.Info("store holds the generation in force again")
		return
	}
	state.metrics.behind.Set(1)
	state.logger.Warn("store holds a lower generation than the one in force",
		zap.Uint64("store-generation", head.Generation),
		zap.Uint64("generation", state.configuration.head().Generation))
}

func (state *state) fetchBody(now time.Time, head generation.Head) {
	if !state.configuration.mayRequest(now, head.Generation) {
		return
	}
	state.start(func(ctx context.Context) message {
		entry, err := state.config.Platform.Get(ctx, head.BodyKey())
		if err != nil {
			return bodyFailed{}
		}
		return bodyRead{head: head, value: entry.Value}
	})
}

// adopt brings a body into force if it is newer than the one in force, and
// tells the peers.
func (state *state) adopt(now time.Time, head generation.Head, data []byte, source string) {
	decision, err := state.configuration.adopter.AdoptData(head, data)
	if err != nil {
		state.metrics.badRecords.Inc()
		state.logger.Error("configuration body is not valid", zap.String("source", source), zap.Error(err))
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
	for _, led := range state.led {
		state.handleGroup(now, led, state.folderEvent())
	}
}

// folderEvent returns the configuration in force for a leader.
func (state *state) folderEvent() group.FolderAdopted {
	folder := state.configuration.folder
	return group.FolderAdopted{
		Groups:  folder.Groups(),
		Routes:  folder.Routes(),
		Classes: folder.TargetClasses(),
		Policy:  folder.Policy(),
	}
}
