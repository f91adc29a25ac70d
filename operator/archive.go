package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// archiveRecordKey is the store key of the record of the last archive: up to
// which generation bodies were archived, by whom and why.
const archiveRecordKey = "config/archived"

// MinimumKept is the smallest number of generations that an archive leaves in
// the store. An apply whose write had an unknown outcome reads recent bodies to
// find out whether its own configuration was accepted.
const MinimumKept = 100

// ArchiveRequest holds the parameters of Archive.
type ArchiveRequest struct {
	// Directory is the existing directory to which one file per body is
	// written.
	Directory string

	// Keep is the number of generations that stay in the store, counted from
	// the newest.
	Keep   int
	Author string
	Reason string
	Time   time.Time
}

// archivedRecord is the value of archiveRecordKey.
type archivedRecord struct {
	Generation uint64    `json:"generation"`
	Author     string    `json:"author"`
	Reason     string    `json:"reason"`
	Time       time.Time `json:"time"`
}

// Archive moves the bodies of old generations from the store to files. A body
// is removed only after its file has been synced to disk, so that no body is
// lost if the command fails and is repeated.
func (operator *Operator) Archive(ctx context.Context, request ArchiveRequest) ExitCode {
	if request.Keep < MinimumKept {
		operator.warn("keep %d is below %d generations", request.Keep, MinimumKept)
		return ExitRejected
	}
	heads, err := operator.oldHeads(ctx, request.Keep)
	if err != nil {
		operator.warn("%v", err)
		return ExitFailed
	}
	if len(heads) == 0 {
		operator.print("nothing to archive")
		return ExitDone
	}
	if err := operator.moveBodies(ctx, request, heads); err != nil {
		operator.warn("%v", err)
		return ExitFailed
	}
	operator.print("archived %d generations up to generation %d", len(heads), heads[0].Generation)
	return ExitDone
}

// oldHeads returns the heads of the stored bodies, newest first, without the
// newest keep of them.
func (operator *Operator) oldHeads(ctx context.Context, keep int) ([]generation.Head, error) {
	var heads []generation.Head
	err := operator.walkHistory(ctx, func(body *generation.Body) bool {
		keep--
		if keep < 0 {
			heads = append(heads, body.Head())
		}
		return true
	})
	return heads, errors.Trace(err)
}

// moveBodies writes the files, then the archive record, and then removes the
// bodies from the store. If a body is missing, an audit therefore always finds
// a record that explains why.
func (operator *Operator) moveBodies(ctx context.Context, request ArchiveRequest, heads []generation.Head) error {
	for _, head := range heads {
		if err := operator.writeBodyFile(ctx, request.Directory, head); err != nil {
			return errors.Annotatef(err, "file of generation %d", head.Generation)
		}
	}
	if err := operator.putArchiveRecord(ctx, request, heads[0].Generation); err != nil {
		return errors.Annotate(err, "record of the archive")
	}
	// The oldest body is removed first, so that after a failure the remaining
	// bodies can still be reached from the head.
	for index := len(heads) - 1; index >= 0; index-- {
		key := heads[index].BodyKey()
		switch outcome := operator.store.Delete(ctx, key, kvstore.ExpectAny()).(type) {
		case kvstore.Written:
		case kvstore.Refused:
			return errors.Annotate(outcome.Err, key)
		case kvstore.Unknown:
			return errors.Annotatef(outcome.Err, "%s may be removed or not; run the command again", key)
		}
	}
	return nil
}

func (operator *Operator) writeBodyFile(ctx context.Context, directory string, head generation.Head) error {
	entry, err := operator.store.Get(ctx, head.BodyKey())
	if err != nil {
		return errors.Trace(err)
	}
	name := fmt.Sprintf("%08d-%s.body", head.Generation, head.Change)
	file, err := os.OpenFile(filepath.Join(directory, name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if _, err := file.Write(entry.Value); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (operator *Operator) putArchiveRecord(ctx context.Context, request ArchiveRequest, highest uint64) error {
	value, err := json.Marshal(archivedRecord{
		Generation: highest,
		Author:     request.Author,
		Reason:     request.Reason,
		Time:       request.Time.UTC(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	switch outcome := operator.store.Put(ctx, kvstore.PutRequest{Key: archiveRecordKey, Value: value, Expect: kvstore.ExpectAny()}).(type) {
	case kvstore.Written:
		return nil
	case kvstore.Refused:
		return errors.Trace(outcome.Err)
	case kvstore.Unknown:
		return errors.Annotate(outcome.Err, "not known whether it was written; run the command again")
	default:
		return errors.NotSupportedf("write outcome %T", outcome)
	}
}

// getArchiveRecord returns the record of the last archive, or the zero value if
// nothing has been archived.
func (operator *Operator) getArchiveRecord(ctx context.Context) (archivedRecord, error) {
	var record archivedRecord
	entry, err := operator.store.Get(ctx, archiveRecordKey)
	switch {
	case errors.Is(err, errors.NotFound):
		return record, nil
	case err != nil:
		return record, errors.Trace(err)
	default:
		return record, errors.Annotate(json.Unmarshal(entry.Value, &record), archiveRecordKey)
	}
}
