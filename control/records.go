package control

import (
	"bytes"
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// limitPrefix is the prefix of the records of limits that targets name. It is below the
// prefix of the fabric domains for the reason that quarantine.Prefix is.
const limitPrefix = "domain/*/limits/"

// maxEndedRecords bounds the ended records that a node remembers. Frames about them arrive
// within seconds, and records end a few times a day.
const maxEndedRecords = 1024

// sharedRecords are the records in the store that all nodes follow: parts in quarantine
// and limits of targets. Nodes that do not watch the store receive them from their peers.
type sharedRecords struct {
	known map[string]peer.Record

	// ended holds the last values of records with the revisions at which they were
	// deleted. Frames about earlier ones may arrive late.
	ended map[string]peer.Record

	// era is the era of the store in which the records were last listed, 0 before that.
	era uint64
}

func newSharedRecords() sharedRecords {
	return sharedRecords{known: map[string]peer.Record{}, ended: map[string]peer.Record{}}
}

func isSharedRecord(key string) bool {
	return strings.HasPrefix(key, quarantine.Prefix) || strings.HasPrefix(key, limitPrefix)
}

// replaceRecords adopts a complete listing of the records.
func (state *state) replaceRecords(now time.Time, result keysListed) {
	era := kvstore.Era(result.revision)
	copied := state.records.era != 0 && era > state.records.era
	state.records.era = era
	if copied {
		state.restorePlacements(era, result.entries)
		state.changeRecords(now, result.revision, state.recoverRecords(result.entries), nil)
		return
	}
	listed := map[string]bool{}
	for _, entry := range result.entries {
		listed[entry.Key] = true
	}
	var deleted []string
	for key := range state.records.known {
		if !listed[key] {
			deleted = append(deleted, key)
		}
	}
	state.changeRecords(now, result.revision, result.entries, deleted)
}

// recoverRecords restores what the store lost when it returned from an older copy: it
// writes records again that are missing or older in the copy, and deletes those again that
// had been deleted. It returns the entries of the copy that still hold.
func (state *state) recoverRecords(copied []kvstore.Entry) []kvstore.Entry {
	var holding []kvstore.Entry
	listed := map[string]bool{}
	for _, entry := range copied {
		if !isSharedRecord(entry.Key) {
			continue
		}
		listed[entry.Key] = true
		known, found := state.records.known[entry.Key]
		ended, deleted := state.records.ended[entry.Key]
		switch {
		case found && !bytes.Equal(known.Value, entry.Value):
			state.restoreRecord(known, kvstore.ExpectRevision(entry.Revision))
		case !found && deleted && bytes.Equal(ended.Value, entry.Value):
			state.restoreRecord(peer.Record{Key: entry.Key}, kvstore.ExpectRevision(entry.Revision))
		default:
			holding = append(holding, entry)
		}
	}
	for key, known := range state.records.known {
		if !listed[key] {
			state.restoreRecord(known, kvstore.ExpectAbsent())
		}
	}
	return holding
}

// restorePlacements writes the placement records again that are missing or older in the
// copy. The domain's leader may be the node that failed, and without the record the next
// one would close the groups.
func (state *state) restorePlacements(era uint64, copied []kvstore.Entry) {
	listed := map[string]kvstore.Entry{}
	for _, entry := range copied {
		listed[entry.Key] = entry
	}
	for name, domain := range state.domains {
		key := placementKey(name)
		if entry := listed[key]; domain.outlives(era, entry.Value) {
			state.restoreRecord(peer.Record{Key: key, Value: domain.record}, kvstore.ExpectRevision(entry.Revision))
		}
	}
}

// restoreRecord writes a record again, or deletes one without a value, until the store
// answers. In a large fleet only the nodes that decide on parts do, so that the store is
// not called by all nodes at once; the others have the record.
func (state *state) restoreRecord(record peer.Record, expect kvstore.Expect) {
	restores := state.isOneOf(state.endingReceivers())
	state.logger.Info("the store lost a change of a record", zap.String("key", record.Key), zap.Bool("deleted", len(record.Value) == 0), zap.Bool("restores", restores))
	if !restores {
		return
	}
	state.startWorker(func(ctx context.Context) message {
		state.repeatWrite(ctx, func() kvstore.PutOutcome {
			if len(record.Value) == 0 {
				return state.config.Platform.Delete(ctx, record.Key, expect)
			}
			return state.config.Platform.Put(ctx, kvstore.PutRequest{Key: record.Key, Value: record.Value, Expect: expect})
		})
		return workerEnded{}
	})
}

// repeatWrite makes a write until the store has answered or the context ends, and returns
// the last outcome.
func (state *state) repeatWrite(ctx context.Context, write func() kvstore.PutOutcome) kvstore.PutOutcome {
	for {
		outcome := write()
		if storeAnswered(outcome) || !pause(ctx, state.config.Timers, recordRetry) {
			return outcome
		}
	}
}

// changeRecords adopts changes in the store. revision is that of the store when it sent
// them.
func (state *state) changeRecords(now time.Time, revision uint64, entries []kvstore.Entry, deleted []string) {
	for _, entry := range entries {
		if isSharedRecord(entry.Key) {
			state.receiveRecord(now, peer.Record{Key: entry.Key, Revision: entry.Revision, Value: entry.Value}, "")
		}
	}
	for _, key := range deleted {
		if isSharedRecord(key) {
			state.receiveRecord(now, peer.Record{Key: key, Revision: revision}, "")
		}
	}
}

// receiveRecord adopts a record that is newer than the known one, and passes it on to all
// peers except from.
func (state *state) receiveRecord(now time.Time, frame peer.Record, from string) {
	known, found := state.records.known[frame.Key]
	if found && known.Revision >= frame.Revision || frame.Revision <= state.records.ended[frame.Key].Revision {
		return
	}
	if len(frame.Value) == 0 {
		if len(state.records.ended) >= maxEndedRecords {
			clear(state.records.ended)
		}
		state.records.ended[frame.Key] = peer.Record{Key: frame.Key, Revision: frame.Revision, Value: known.Value}
		delete(state.records.known, frame.Key)
	} else {
		state.records.known[frame.Key] = frame
	}
	if strings.HasPrefix(frame.Key, limitPrefix) {
		state.adoptLimit(now, frame, known)
	} else {
		state.adoptQuarantine(now, frame)
	}
	state.config.Mesh.Broadcast(frame, from)
}
