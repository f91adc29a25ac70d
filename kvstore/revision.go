package kvstore

import "github.com/juju/errors"

// revisionBits is the number of bits of a revision that count the changes of one era.
// At a million changes a second they last for eight years.
const revisionBits = 48

// FirstEra is the era of a store that has never returned from an older copy.
const FirstEra = 1

// JoinRevision returns the revision of a change in an era of the store.
//
// A store that returns from an older copy begins a new era and gives out the revisions
// after that copy again. Revisions that include the era keep increasing. The revision 0,
// of a key that does not exist, is the same in all eras. JoinRevision returns an
// errors.NotValid error for an era or a number of changes that is too large.
func JoinRevision(era, changes uint64) (uint64, error) {
	if changes == 0 {
		return 0, nil
	}
	if changes >= 1<<revisionBits || era >= 1<<(64-revisionBits) {
		return 0, errors.NotValidf("change %d in era %d of the store", changes, era)
	}
	return era<<revisionBits | changes, nil
}

// SplitRevision returns the era of a revision and the number of changes in it.
func SplitRevision(revision uint64) (era, changes uint64) {
	return revision >> revisionBits, revision & (1<<revisionBits - 1)
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> revisionBits }
