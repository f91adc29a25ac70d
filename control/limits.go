package control

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/peer"
)

// hexBase is the base of the hashes in keys.
const hexBase = 16

// limitKey returns the key of the record of a target's limit. The names of targets come
// from the platform, so the key contains a hash.
func limitKey(target string) string {
	return limitPrefix + strconv.FormatUint(xxhash.Sum64String(target), hexBase)
}

// tellLimits writes the limits that this node publishes.
func (state *state) tellLimits(now time.Time) {
	for _, change := range state.config.Limits.TakeChanges(now) {
		key := limitKey(change.Target)
		known := state.records.known[key]
		if change.Rate == 0 {
			if known.Revision == 0 {
				continue
			}
			state.startWorker(func(ctx context.Context) message {
				outcome := state.config.Platform.Delete(ctx, key, kvstore.ExpectRevision(known.Revision))
				return limitTold{change: change, outcome: outcome}
			})
			continue
		}
		value, err := json.Marshal(change)
		if err != nil {
			panic(errors.Annotate(err, "control: encode limit"))
		}
		state.startWorker(func(ctx context.Context) message {
			outcome := state.config.Platform.Put(ctx, kvstore.PutRequest{Key: key, Value: value, Expect: kvstore.ExpectRevision(known.Revision)})
			return limitTold{change: change, outcome: outcome}
		})
	}
}

// limitTold is the outcome of writing the record of a limit.
type limitTold struct {
	change  limit.SharedLimit
	outcome kvstore.PutOutcome
}

func (limitTold) message() {}

// handleLimitTold logs the outcome. A limit that was not written is published again with a
// later answer. For an end that was not, other nodes with a share try, and those without
// one ask the target in turns.
func (state *state) handleLimitTold(result limitTold) {
	_, written := result.outcome.(kvstore.Written)
	state.logger.Info("told the nodes of a limit", zap.String("target", result.change.Target), zap.Float64("requests-per-second", result.change.Rate),
		zap.Bool("written", written))
}

// adoptLimit applies a changed record of a limit. known is the record before.
func (state *state) adoptLimit(now time.Time, frame, known peer.Record) {
	value := frame.Value
	if len(value) == 0 {
		value = known.Value
	}
	var shared limit.SharedLimit
	if err := json.Unmarshal(value, &shared); err != nil || shared.Target == "" {
		state.metrics.badRecords.Inc()
		state.logger.Warn("invalid record of a limit", zap.String("key", frame.Key), zap.Error(err))
		return
	}
	if len(frame.Value) == 0 {
		shared.Rate = 0
	}
	state.config.Limits.Share(shared, now)
}

// setNodes passes on which nodes are alive.
func (state *state) setNodes(now time.Time) {
	nodes := state.fleet.Nodes()
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	state.config.Traffic.SetNodes(nodes)
	state.config.Limits.SetNodes(names, now)
	if state.config.Feed.SetHubs != nil {
		state.config.Feed.SetHubs(state.fleet.Hubs(now), len(nodes))
	}
	state.setColdNodes(now, names)
}
