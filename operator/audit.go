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
	// printed. If it is 0, the audit entries are listed.
	Generation uint64

	// Limit is the number of generations to list, newest first.
	Limit int

	// Drains selects the list of drains instead of generations.
	Drains bool
}

// Audit prints the audit entries in the store. It follows the chain of accepted
// configurations from the head, so that it does not list the body of an apply
// that was not accepted because another one came first.
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

// walkHistory calls visit for the accepted configurations, newest first, until
// visit returns false or the next generation is archived. It returns an
// errors.NotFound error if the chain is broken: a body is missing that was not
// archived, or a configuration is based on a generation that only nodes had.
func (operator *Operator) walkHistory(ctx context.Context, visit func(body *generation.Body) bool) error {
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
			return operator.reportArchived(ctx, head)
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

// reportArchived prints by whom and why a missing body was archived. It returns
// an errors.NotFound error if the body was not archived.
func (operator *Operator) reportArchived(ctx context.Context, head generation.Head) error {
	record, err := operator.getArchiveRecord(ctx)
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
	return operator.walkHistory(ctx, func(body *generation.Body) bool {
		operator.print("%s", describeGeneration(body.Head(), body))
		limit--
		return limit > 0
	})
}

func (operator *Operator) auditGeneration(ctx context.Context, number uint64) error {
	var found, base *generation.Body
	err := operator.walkHistory(ctx, func(body *generation.Body) bool {
		if found != nil {
			base = body
			return false
		}
		if body.Head().Generation == number {
			found = body
		}
		return body.Head().Generation >= number
	})
	if found == nil {
		return notFoundError(err, number)
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

// notFoundError returns the reason why a generation was not found: err, or an
// errors.NotFound error if the history was read without an error.
func notFoundError(err error, number uint64) error {
	if err != nil {
		return errors.Trace(err)
	}
	return errors.NotFoundf("generation %d", number)
}

func (operator *Operator) printEntry(body *generation.Body) {
	operator.print("%s", describeGeneration(body.Head(), body))
	operator.print("change %s, digest %s, base generation %d", body.Head().Change, body.Head().Digest, body.Base().Generation)
	for _, file := range body.Files() {
		operator.print("file %s, %d bytes", file.Name, len(file.Data))
	}
}

// printDifference prints the keys whose values differ from the base. The base is
// nil for the first configuration.
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
			orDash(entry.Incarnation), entry.Author, formatTime(entry.Time), entry.Reason)
	}
	return nil
}
