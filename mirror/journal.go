package mirror

import (
	"slices"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxChanges is the largest number of changes that a journal keeps. A node that is
// further behind must list the prefix again.
const maxChanges = 4096

// A Journal holds the keys of one prefix and their latest changes. It is not safe
// for concurrent use.
type Journal struct {
	entries  map[string]kvstore.Entry
	revision uint64

	// content returns the content of an entry, see Config.Content. contents holds
	// it for each entry. Both are nil if every write counts as a change.
	content  func(entry kvstore.Entry) uint64
	contents map[string]uint64

	// lost holds the keys of which the journal has later values than the older copy from
	// which the store returned, until they are written again.
	lost map[string]bool

	// follows compares two entries of a key, see Config.Follows. It may be nil.
	follows func(entry, earlier kvstore.Entry) bool

	// changes holds all changes after the revision changesAfter, in order.
	changes      []change
	changesAfter uint64

	// confirmedAt is when the latest call to the store was sent whose result is
	// part of the state. It is zero before the first listing.
	confirmedAt time.Time

	// refreshedAt is when the latest request was sent, to the store or to a
	// source, whose result is part of the state.
	refreshedAt time.Time

	// watchWait is how long the current watch may wait for a response.
	watchWait time.Duration
}

// A change is the state of one key at a revision. If entry has no key, the key
// was deleted.
type change struct {
	key      string
	revision uint64
	entry    kvstore.Entry
}

// NewJournal returns an empty journal, which needs a listing before it can apply
// changes.
func NewJournal() *Journal {
	return &Journal{entries: map[string]kvstore.Entry{}, lost: map[string]bool{}}
}

// newContentJournal returns a journal that records a write as a change only if it
// changes the content of the entry.
func newContentJournal(content func(entry kvstore.Entry) uint64, follows func(entry, earlier kvstore.Entry) bool) *Journal {
	journal := NewJournal()
	journal.follows = follows
	if content != nil {
		journal.content = content
		journal.contents = map[string]uint64{}
	}
	return journal
}

// Replace replaces the state with a complete listing from a call sent at the
// given time. Keys that differ from the previous state are recorded as changed at
// the listing's revision. An outdated listing is ignored; Replace then returns
// false. Of a listing of a later era, which is an older copy, the values that the journal
// already had later ones of are ignored.
func (journal *Journal) Replace(listing kvstore.Listing, sent time.Time) bool {
	if journal.loaded() && listing.Revision < journal.revision {
		return false
	}
	first := !journal.loaded()
	copied := kvstore.Era(listing.Revision) > kvstore.Era(journal.revision)
	if copied {
		clear(journal.lost)
	}
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		if (copied || journal.lost[entry.Key]) && journal.hasLater(entry) {
			entry.Value = journal.entries[entry.Key].Value
			journal.lost[entry.Key] = true
		} else {
			delete(journal.lost, entry.Key)
		}
		if journal.entries[entry.Key].Revision != entry.Revision {
			journal.applyChange(change{key: entry.Key, revision: listing.Revision, entry: entry})
		}
	}
	for key := range journal.entries {
		if !present[key] {
			journal.applyChange(change{key: key, revision: listing.Revision})
		}
	}
	journal.revision = listing.Revision
	journal.confirm(sent)
	if first {
		journal.changes = nil
		journal.changesAfter = listing.Revision
	}
	if copied {
		// The listing is an older copy. The next write of each entry shows that the entry
		// still holds, although its content is the same.
		clear(journal.contents)
	}
	return true
}

// hasLater reports whether the journal has a later value than that of an entry.
func (journal *Journal) hasLater(entry kvstore.Entry) bool {
	known, found := journal.entries[entry.Key]
	return found && journal.follows != nil && journal.follows(known, entry)
}

// Apply applies the changes after a revision, from a call sent at the given time.
// Changes that would leave a gap after the current state are discarded.
func (journal *Journal) Apply(after uint64, changes kvstore.Changes, sent time.Time) {
	if !journal.CanApply(after) {
		return
	}
	for _, key := range changes.Deleted {
		if entry, found := journal.entries[key]; found && entry.Revision <= changes.Revision {
			journal.applyChange(change{key: key, revision: changes.Revision})
		}
	}
	for _, entry := range changes.Entries {
		if entry.Revision > journal.entries[entry.Key].Revision {
			delete(journal.lost, entry.Key)
			journal.applyChange(change{key: entry.Key, revision: entry.Revision, entry: entry})
		}
	}
	journal.revision = max(journal.revision, changes.Revision)
	journal.confirm(sent)
}

// CanApply reports whether changes after a revision can be applied without a gap.
func (journal *Journal) CanApply(after uint64) bool {
	return journal.loaded() && after <= journal.revision
}

// Refresh records that a request sent at the given time brought the state up to
// date.
func (journal *Journal) Refresh(sent time.Time) {
	if sent.After(journal.refreshedAt) {
		journal.refreshedAt = sent
	}
}

// Current reports whether the state was refreshed within the bound, plus the time
// for which the current watch may wait.
func (journal *Journal) Current(now time.Time, bound time.Duration) bool {
	return journal.loaded() && now.Sub(journal.refreshedAt) <= journal.watchWait+bound
}

func (journal *Journal) applyChange(changed change) {
	if changed.entry.Key == "" {
		delete(journal.entries, changed.key)
		delete(journal.lost, changed.key)
		delete(journal.contents, changed.key)
	} else {
		journal.entries[changed.key] = changed.entry
		if !journal.updateContent(changed.entry) {
			return
		}
	}
	journal.changes = append(journal.changes, changed)
	if len(journal.changes) > maxChanges {
		dropped := len(journal.changes) - maxChanges
		for _, old := range journal.changes[:dropped] {
			journal.changesAfter = max(journal.changesAfter, old.revision)
		}
		journal.changes = slices.Clone(journal.changes[dropped:])
	}
}

// updateContent records the content of an entry and reports whether it changed.
func (journal *Journal) updateContent(entry kvstore.Entry) bool {
	if journal.content == nil {
		return true
	}
	content := journal.content(entry)
	previous, found := journal.contents[entry.Key]
	journal.contents[entry.Key] = content
	return !found || previous != content
}

// confirm records that the state was the newest one when a call was sent. Values that the
// store does not have are not confirmed by it.
func (journal *Journal) confirm(sent time.Time) {
	journal.Refresh(sent)
	if len(journal.lost) > 0 {
		return
	}
	if sent.After(journal.confirmedAt) {
		journal.confirmedAt = sent
	}
}

func (journal *Journal) loaded() bool { return !journal.confirmedAt.IsZero() }

// Listing returns all keys of the journal.
func (journal *Journal) Listing() kvstore.Listing {
	listing := kvstore.Listing{Revision: journal.revision, Entries: make([]kvstore.Entry, 0, len(journal.entries))}
	for _, entry := range journal.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing
}

// After returns the last change of each key that changed after a revision. It
// returns false if the journal no longer has all of these changes.
func (journal *Journal) After(revision uint64) (kvstore.Changes, bool) {
	if !journal.loaded() || revision < journal.changesAfter {
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
