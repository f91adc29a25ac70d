package operator

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
)

// AuditRequest holds the parameters of Audit.
type AuditRequest struct {
	// Generation selects one generation, whose differences from its base are
	// printed. 0 lists the entries.
	Generation uint64

	// Limit is the number of generations to list, newest first.
	Limit int

	// Drains lists the drains in place of the generations.
	Drains bool
}

// Audit prints the audit entries in the store. It follows the accepted
// configurations from the head, so that an apply that lost its race is not
// listed.
func (operator *Operator) Audit(ctx context.Context, request AuditRequest) ExitCode {
	var err error
	switch {
	case request.Drains:
		err = operator.auditDrains(ctx)
	case request.Generation > 0:
		err = operator.auditGeneration(ctx, request.Generation)
	default:
		err = operator.auditList(ctx, request.Limit)
	}
	if err != nil {
		operator.warn("%v", err)
		return ExitFailed
	}
	return ExitDone
}

// history visits the accepted configurations, newest first, until visit
// returns false. It ends at the generations that were archived, and returns an
// errors.NotFound error when another body is missing.
func (operator *Operator) history(ctx context.Context, visit func(body *generation.Body) bool) error {
	head, err := operator.currentHead(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for head.Generation > 0 {
		if head.Change == "" {
			return errors.NotFoundf("audit entry of generation %d, which only nodes held,", head.Generation)
		}
		body, err := operator.getBody(ctx, head.BodyKey())
		if errors.Is(err, errors.NotFound) {
			return operator.explainMissing(ctx, head)
		}
		if err != nil {
			return errors.Annotatef(err, "audit entry of generation %d", head.Generation)
		}
		if !visit(body) {
			return nil
		}
		head = body.Base()
	}
	return nil
}

// explainMissing says that a body was archived. It returns an errors.NotFound
// error when it was not.
func (operator *Operator) explainMissing(ctx context.Context, head generation.Head) error {
	record, err := operator.archived(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if head.Generation > record.Generation {
		return errors.NotFoundf("audit entry of generation %d", head.Generation)
	}
	operator.warn("generations up to %d were archived by %s at %s: %s",
		record.Generation, record.Author, formatTime(record.Time), record.Reason)
	return nil
}

func (operator *Operator) currentHead(ctx context.Context) (generation.Head, error) {
	switch event := operator.readHead(ctx).(type) {
	case generation.HeadRead:
		return event.Head, nil
	case generation.ReadFailed:
		return generation.Head{}, errors.Annotate(event.Err, "head")
	default:
		return generation.Head{}, errors.NotSupportedf("event %T", event)
	}
}

func (operator *Operator) auditList(ctx context.Context, limit int) error {
	return operator.history(ctx, func(body *generation.Body) bool {
		operator.print("%s", describe(body.Head(), body))
		limit--
		return limit > 0
	})
}

func (operator *Operator) auditGeneration(ctx context.Context, wanted uint64) error {
	var found, base *generation.Body
	err := operator.history(ctx, func(body *generation.Body) bool {
		if found != nil {
			base = body
			return false
		}
		if body.Head().Generation == wanted {
			found = body
		}
		return body.Head().Generation >= wanted
	})
	if found == nil {
		return joinNotFound(err, wanted)
	}
	operator.printEntry(found)
	if err != nil {
		return errors.Annotate(err, "differences")
	}
	if base == nil && found.Base().Generation > 0 {
		return errors.NotFoundf("generation %d, without which the differences are not known,", found.Base().Generation)
	}
	operator.printDifference(base, found)
	return nil
}

// joinNotFound returns why a generation was not found.
func joinNotFound(err error, wanted uint64) error {
	if err != nil {
		return errors.Trace(err)
	}
	return errors.NotFoundf("generation %d", wanted)
}

func (operator *Operator) printEntry(body *generation.Body) {
	operator.print("%s", describe(body.Head(), body))
	operator.print("change %s, digest %s, base generation %d", body.Head().Change, body.Head().Digest, body.Base().Generation)
	for _, file := range body.Files() {
		operator.print("file %s, %d bytes", file.Name, len(file.Data))
	}
}

// printDifference prints the keys that changed. Base is nil for the first
// configuration.
func (operator *Operator) printDifference(base, body *generation.Body) {
	var before *folder.Folder
	if base != nil {
		before = base.Folder()
	}
	for _, change := range folder.Difference(before, body.Folder()) {
		operator.print("%s", change)
	}
}

func (operator *Operator) auditDrains(ctx context.Context) error {
	listing, err := operator.store.List(ctx, admin.DrainPrefix)
	if err != nil {
		return errors.Annotate(err, "list drains")
	}
	for _, stored := range listing.Entries {
		var entry admin.DrainRecord
		if err := json.Unmarshal(stored.Value, &entry); err != nil {
			operator.warn("%s: %v", stored.Key, err)
			continue
		}
		operator.print("%s (incarnation %s) by %s at %s: %s", entry.Target,
			dash(entry.Incarnation), entry.Author, formatTime(entry.Time), entry.Reason)
	}
	return nil
}
