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

// archivedKey is the store key that says up to which generation bodies were
// archived, by whom and why.
const archivedKey = "config/archived"

// MinimumKept is the smallest number of generations that an archive leaves in
// the store. An apply with an unknown outcome walks back over recent ones.
const MinimumKept = 100

// ArchiveRequest holds the parameters of Archive.
type ArchiveRequest struct {
	// Directory receives one file for each body. It must exist.
	Directory string

	// Keep is the number of newest generations that stay in the store.
	Keep   int
	Author string
	Reason string
	Time   time.Time
}

// archivedRecord is the value of archivedKey.
type archivedRecord struct {
	Generation uint64    `json:"generation"`
	Author     string    `json:"author"`
	Reason     string    `json:"reason"`
	Time       time.Time `json:"time"`
}

// Archive moves the bodies of old generations from the store to files. A body
// is removed only after its file is on disk, so that a repeat after a failure
// loses nothing.
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
	if err := operator.archive(ctx, request, heads); err != nil {
		operator.warn("%v", err)
		return ExitFailed
	}
	operator.print("archived %d generations up to generation %d", len(heads), heads[0].Generation)
	return ExitDone
}

// oldHeads returns the heads of the stored bodies beyond the newest ones,
// newest first.
func (operator *Operator) oldHeads(ctx context.Context, keep int) ([]generation.Head, error) {
	var heads []generation.Head
	err := operator.history(ctx, func(body *generation.Body) bool {
		keep--
		if keep < 0 {
			heads = append(heads, body.Head())
		}
		return true
	})
	return heads, errors.Trace(err)
}

// archive writes the files, then the record and only then removes the bodies,
// so that an audit never meets a gap that the record does not explain.
func (operator *Operator) archive(ctx context.Context, request ArchiveRequest, heads []generation.Head) error {
	for _, head := range heads {
		if err := operator.writeFile(ctx, request.Directory, head); err != nil {
			return errors.Annotatef(err, "file of generation %d", head.Generation)
		}
	}
	if err := operator.recordArchive(ctx, request, heads[0].Generation); err != nil {
		return errors.Annotate(err, "record of the archive")
	}
	// The oldest goes first: the rest stays reachable from the head.
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

func (operator *Operator) writeFile(ctx context.Context, directory string, head generation.Head) error {
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

func (operator *Operator) recordArchive(ctx context.Context, request ArchiveRequest, highest uint64) error {
	value, err := json.Marshal(archivedRecord{
		Generation: highest,
		Author:     request.Author,
		Reason:     request.Reason,
		Time:       request.Time.UTC(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	switch outcome := operator.store.Put(ctx, kvstore.PutRequest{Key: archivedKey, Value: value, Expect: kvstore.ExpectAny()}).(type) {
	case kvstore.Written:
		return nil
	case kvstore.Refused:
		return errors.Trace(outcome.Err)
	case kvstore.Unknown:
		return errors.Annotate(outcome.Err, "not known whether it was written; run the command again")
	default:
		return errors.NotSupportedf("outcome %T", outcome)
	}
}

// archived returns the record of the last archive, the zero value when there
// was none.
func (operator *Operator) archived(ctx context.Context) (archivedRecord, error) {
	var record archivedRecord
	entry, err := operator.store.Get(ctx, archivedKey)
	switch {
	case errors.Is(err, errors.NotFound):
		return record, nil
	case err != nil:
		return record, errors.Trace(err)
	default:
		return record, errors.Annotate(json.Unmarshal(entry.Value, &record), archivedKey)
	}
}
