package mirror

import (
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxChanges bounds what a journal remembers: some 20 s of the announcements of
// 220 targets. A node that is farther behind lists again.
const maxChanges = 4096

// A Journal is the state of the keys of one prefix with their latest changes. It
// is not safe for concurrent use.
type Journal struct {
	entries  map[string]kvstore.Entry
	revision uint64

	// changes are those after the revision since, in order.
	changes []change
	since   uint64

	// confirmedAt is when the call was sent whose answer the state follows from.
	confirmedAt time.Time

	// wait is how long the present call for changes may wait at the store.
	wait time.Duration
}

// A change is one key as of a revision. An entry without a key was deleted.
type change struct {
	key      string
	revision uint64
	entry    kvstore.Entry
}

// NewJournal returns a journal that knows nothing.
func NewJournal() *Journal { return &Journal{entries: map[string]kvstore.Entry{}} }

// Replace takes a complete listing. What differs from the known state counts as
// changed at the listing's revision.
func (journal *Journal) Replace(listing kvstore.Listing, sent time.Time) {
	if journal.known() && listing.Revision < journal.revision {
		return
	}
	first := !journal.known()
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		if journal.entries[entry.Key].Revision != entry.Revision {
			journal.note(change{key: entry.Key, revision: listing.Revision, entry: entry})
		}
	}
	for key := range journal.entries {
		if !present[key] {
			journal.note(change{key: key, revision: listing.Revision})
		}
	}
	journal.revision = listing.Revision
	journal.confirm(sent)
	if first {
		journal.changes = nil
		journal.since = listing.Revision
	}
}

// Apply takes the changes after a revision. Changes that do not join up with the
// known state are dropped.
func (journal *Journal) Apply(after uint64, changes kvstore.Changes, sent time.Time) {
	if !journal.Joins(after) {
		return
	}
	for _, key := range changes.Deleted {
		if entry, found := journal.entries[key]; found && entry.Revision <= changes.Revision {
			journal.note(change{key: key, revision: changes.Revision})
		}
	}
	for _, entry := range changes.Entries {
		if entry.Revision > journal.entries[entry.Key].Revision {
			journal.note(change{key: entry.Key, revision: entry.Revision, entry: entry})
		}
	}
	journal.revision = max(journal.revision, changes.Revision)
	journal.confirm(sent)
}

// Joins reports whether changes after a revision join up with the known state.
func (journal *Journal) Joins(after uint64) bool {
	return journal.known() && after <= journal.revision
}

// Current reports whether the state was the store's not longer than a bound ago,
// beside the time for which a call for changes waits.
func (journal *Journal) Current(now time.Time, bound time.Duration) bool {
	return journal.known() && now.Sub(journal.confirmedAt) <= journal.wait+bound
}

func (journal *Journal) note(changed change) {
	if changed.entry.Key == "" {
		delete(journal.entries, changed.key)
	} else {
		journal.entries[changed.key] = changed.entry
	}
	journal.changes = append(journal.changes, changed)
	if len(journal.changes) > maxChanges {
		dropped := len(journal.changes) - maxChanges
		for _, old := range journal.changes[:dropped] {
			journal.since = max(journal.since, old.revision)
		}
		journal.changes = slices.Clone(journal.changes[dropped:])
	}
}

func (journal *Journal) confirm(sent time.Time) {
	if sent.After(journal.confirmedAt) {
		journal.confirmedAt = sent
	}
}

func (journal *Journal) known() bool { return !journal.confirmedAt.IsZero() }

// Listing returns the state.
func (journal *Journal) Listing() kvstore.Listing {
	listing := kvstore.Listing{Revision: journal.revision, Entries: make([]kvstore.Entry, 0, len(journal.entries))}
	for _, entry := range journal.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing
}

// After returns the last change of each key that changed after a revision. It
// returns false when these are no longer known.
func (journal *Journal) After(revision uint64) (kvstore.Changes, bool) {
	if !journal.known() || revision < journal.since {
		return kvstore.Changes{}, false
	}
	changes := kvstore.Changes{Revision: journal.revision}
	seen := map[string]bool{}
	for index := len(journal.changes) - 1; index >= 0; index-- {
		changed := journal.changes[index]
		if changed.revision <= revision || seen[changed.key] {
			continue
		}
		seen[changed.key] = true
		if changed.entry.Key == "" {
			changes.Deleted = append(changes.Deleted, changed.key)
		} else {
			changes.Entries = append(changes.Entries, changed.entry)
		}
	}
	return changes, true
}
