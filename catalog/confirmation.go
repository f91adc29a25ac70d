package catalog

import (
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// rewriteTime is how long after the return of a store from an older copy the operator may
// need to write again what the copy lacks.
const rewriteTime = 2 * time.Second

// A Reading is what the store says of its configuration.
type Reading struct {
	// Version is 0 for an invalid configuration, or if the store has none.
	Version uint64

	// Revision is that of the configuration, see kvstore.JoinRevision.
	Revision uint64

	// Written is set if the configuration was written after an earlier reading.
	Written bool

	// At is a time at which the store is known to have said this.
	At time.Time
}

// A Confirmation holds when the newest configuration that a node has read was last known
// to be the newest one. A store that returns from an older copy confirms nothing while its
// configuration is older than that. After a longer outage it confirms nothing at once
// either, unless the operator has written the configuration since: the copy may lack one
// that the node has not read. It is not safe for concurrent use.
type Confirmation struct {
	revocation time.Duration
	at         time.Time

	// newest is the newest version, last read at revision.
	newest   uint64
	revision uint64

	// copied is true while the configuration may be that of an older copy, which was
	// first read at copiedAt.
	copied   bool
	copiedAt time.Time
}

// NewConfirmation returns a confirmation without a reading. revocation is the time after
// which a revoked key must be out of use.
func NewConfirmation(revocation time.Duration) *Confirmation {
	return &Confirmation{revocation: revocation}
}

// At returns the latest time at which the newest configuration is known to have been the
// newest one, or the zero time.
func (confirmation *Confirmation) At() time.Time { return confirmation.at }

// Read records a reading that arrived at now.
func (confirmation *Confirmation) Read(now time.Time, reading Reading) {
	if reading.Version < confirmation.newest || reading.Version == 0 {
		return
	}
	era, changes := kvstore.SplitRevision(reading.Revision)
	lastEra, lastChanges := kvstore.SplitRevision(confirmation.revision)
	switch {
	case era > lastEra && lastEra != 0:
		// A copy has the revisions of before.
		rewritten := reading.Version == confirmation.newest && changes != lastChanges
		confirmation.copied = !rewritten
		confirmation.copiedAt = now
	case reading.Written:
		confirmation.copied = false
	}
	confirmation.newest, confirmation.revision = reading.Version, reading.Revision
	// What the copy lacks is written again, after rewriteTime, before a key that it revokes
	// must be out of use.
	long := now.Sub(confirmation.at)+rewriteTime > confirmation.revocation
	if confirmation.copied && long && now.Sub(confirmation.copiedAt) < rewriteTime {
		return
	}
	if reading.At.After(confirmation.at) {
		confirmation.at = reading.At
	}
}
