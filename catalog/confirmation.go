package catalog

import "time"

const (
	// rewriteTime is how long after the return of a store from an older copy the operator
	// may need to write again what the copy lacks.
	rewriteTime = 2 * time.Second

	// shortOutage is the longest time since the last confirmation for which a copy confirms
	// a configuration at once. What the copy lacks is then written again, after rewriteTime,
	// before a key that it revokes must be out of use.
	shortOutage = 2500 * time.Millisecond
)

// A Reading is what the store says of its configuration.
type Reading struct {
	// Version is 0 for an invalid configuration, or if the store has none.
	Version uint64

	// Era is the era of the store, see kvstore.JoinRevision.
	Era uint64

	// Written is set if the configuration was written after an earlier reading.
	Written bool

	// At is a time at which the store is known to have said this.
	At time.Time
}

// A Confirmation holds when the newest configuration that a node has read was last known
// to be the newest one. A store that returns from an older copy confirms nothing while its
// configuration is older than that, and nothing at once after a longer outage: the copy
// may lack a configuration that the node has not read either. The zero value is ready to
// use. It is not safe for concurrent use.
type Confirmation struct {
	at     time.Time
	newest uint64
	era    uint64

	// copied is true while the configuration may be that of an older copy, which was
	// first read at copiedAt.
	copied   bool
	copiedAt time.Time
}

// At returns the latest time at which the newest configuration is known to have been the
// newest one, or the zero time.
func (confirmation *Confirmation) At() time.Time { return confirmation.at }

// Read records a reading that arrived at now.
func (confirmation *Confirmation) Read(now time.Time, reading Reading) {
	if reading.Era > confirmation.era {
		confirmation.copied = confirmation.era != 0
		confirmation.copiedAt = now
		confirmation.era = reading.Era
	} else if reading.Written {
		confirmation.copied = false
	}
	confirmation.newest = max(confirmation.newest, reading.Version)
	if reading.Version < confirmation.newest || reading.Version == 0 {
		return
	}
	long := now.Sub(confirmation.at) > shortOutage
	if confirmation.copied && long && now.Sub(confirmation.copiedAt) < rewriteTime {
		return
	}
	if reading.At.After(confirmation.at) {
		confirmation.at = reading.At
	}
}
