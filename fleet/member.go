package fleet

import (
	"bytes"
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// member is a node that this node considers alive.
type member struct {
	node Node
	hash uint64
	self bool

	// recorded is set while the store has the node's record; revision is that of
	// the record.
	recorded bool
	revision uint64

	// linked is set while a link to the node is up; linkClosedAt is when the last
	// link closed.
	linked       bool
	linkClosedAt time.Time

	// recordDeleted is set when the record was deleted from the store and has not
	// been written again.
	recordDeleted bool
}

func (fleet *Fleet) applyListing(now time.Time, event KeysListed) {
	if fleet.startRevision == 0 {
		fleet.startRevision = event.Revision
	}
	switch {
	case strings.HasPrefix(NodePrefix, event.Prefix):
		fleet.applyNodeListing(now, event)
	case strings.HasPrefix(DomainPrefix, event.Prefix):
		fleet.leadersListed = true
		fleet.applyLeaderListing(now, event)
	}
}

func (fleet *Fleet) applyNodeListing(now time.Time, event KeysListed) {
	fleet.listPending = false
	fleet.membersChanged = fleet.membersChanged || !fleet.nodesListed
	fleet.nodesListed = true
	fleet.listFailures = 0
	present := make(map[string]bool, len(event.Entries))
	ownLease := ""
	for _, entry := range event.Entries {
		if name, ok := strings.CutPrefix(entry.Key, NodePrefix); ok {
			present[name] = true
			if name == fleet.self.Name && bytes.Equal(entry.Value, fleet.selfRecord) {
				ownLease = entry.Lease
			}
			fleet.recordNode(now, name, entry)
		}
	}
	fleet.confirmLease(now, event.Revision, ownLease)
	for name, member := range fleet.members {
		if !present[name] && reflectsRevision(member.revision, event.Revision) {
			fleet.removeNodeRecord(now, name)
		}
	}
	fleet.nextListAt = now.Add(fleet.pollWait())
}

func (fleet *Fleet) applyChanges(now time.Time, event KeysChanged) {
	// Deletions are applied first: a key that is both deleted and present in one
	// result was deleted and then created again.
	for _, key := range event.Deleted {
		if name, ok := strings.CutPrefix(key, NodePrefix); ok {
			member, found := fleet.members[name]
			if found && reflectsRevision(member.revision, event.Revision) {
				fleet.removeNodeRecord(now, name)
			}
		}
		if name, ok := leaderDomain(key); ok {
			fleet.recordLeaderDeleted(now, name, event.Revision)
		}
	}
	for _, entry := range event.Entries {
		if name, ok := strings.CutPrefix(entry.Key, NodePrefix); ok {
			fleet.recordNode(now, name, entry)
		}
		if name, ok := leaderDomain(entry.Key); ok {
			fleet.recordLeader(name, entry)
		}
	}
}

// reflectsRevision reports whether a result of the store is at least as recent as
// a key's revision. A result without a revision counts as recent.
func reflectsRevision(key, result uint64) bool { return result == 0 || key <= result }

func (fleet *Fleet) recordNode(now time.Time, name string, entry kvstore.Entry) {
	present, found := fleet.members[name]
	if found && present.recorded && entry.Revision <= present.revision {
		return
	}
	node, err := ParseNode(entry.Value)
	if err != nil || node.Name != name {
		return
	}
	if name == fleet.self.Name {
		fleet.recordSelf(now, node, entry)
		return
	}
	if !found {
		present = &member{hash: hashName(name)}
		fleet.members[name] = present
	}
	fleet.membersChanged = fleet.membersChanged || !present.recorded || present.node != node
	present.node = node
	present.recorded = true
	present.recordDeleted = false
	present.revision = entry.Revision
}

// recordSelf records this node's own record as read from the store. A record of
// another incarnation or lease was left from before a restart and is
// overwritten.
func (fleet *Fleet) recordSelf(now time.Time, node Node, entry kvstore.Entry) {
	present := fleet.members[fleet.self.Name]
	present.revision = entry.Revision
	present.recorded = node == fleet.self
	if node != fleet.self || entry.Lease != "" && entry.Lease != fleet.lease.id {
		fleet.scheduleRecordWrite(now)
	}
}

func (fleet *Fleet) scheduleRecordWrite(now time.Time) {
	if fleet.lease.recordWritten {
		fleet.lease.recordWritten = false
		fleet.lease.nextWriteAt = now.Add(fleet.backoff(1))
	}
}

func (fleet *Fleet) removeNodeRecord(now time.Time, name string) {
	present, found := fleet.members[name]
	if !found || !present.recorded {
		return
	}
	present.recorded = false
	present.recordDeleted = true
	fleet.removable[name] = present
	fleet.membersChanged = true
	if present.self {
		fleet.scheduleRecordWrite(now)
	}
}

func (fleet *Fleet) openLink(node Node) {
	if node.Name == fleet.self.Name {
		return
	}
	present, found := fleet.members[node.Name]
	if !found {
		present = &member{hash: hashName(node.Name)}
		fleet.members[node.Name] = present
	}
	// A hello frame is more recent than a record of another incarnation. It does
	// not contain the admin address.
	if present.node.Incarnation != node.Incarnation {
		present.node = node
	}
	present.linked = true
	fleet.membersChanged = true
}

func (fleet *Fleet) closeLink(now time.Time, name string) {
	present, found := fleet.members[name]
	if !found {
		return
	}
	present.linked = false
	present.linkClosedAt = now
	fleet.removable[name] = present
	fleet.membersChanged = true
}

// removeExpiredMembers removes members that are neither recorded nor linked: at
// once if their record was deleted, otherwise UnlinkedNodeTimeout after their
// link closed.
func (fleet *Fleet) removeExpiredMembers(now time.Time) {
	for name, member := range fleet.removable {
		if member.self || member.recorded || member.linked {
			delete(fleet.removable, name)
			continue
		}
		if member.recordDeleted || now.Sub(member.linkClosedAt) >= UnlinkedNodeTimeout {
			delete(fleet.members, name)
			delete(fleet.removable, name)
			fleet.membersChanged = true
		}
	}
}

const (
	// ListsPerSecond is the number of store reads per second that all nodes
	// without a watch together may use for listing nodes, and again for reading
	// leader keys.
	ListsPerSecond = 20

	// minimumPollInterval is the shortest average time between two polls of a
	// node.
	minimumPollInterval = 5 * time.Second
)

// pollWait returns a random time to wait before the next poll.
func (fleet *Fleet) pollWait() time.Duration {
	interval := time.Duration(len(fleet.members)) * time.Second / ListsPerSecond
	interval = max(interval, minimumPollInterval)
	return fleet.randomBetween(interval/2, interval+interval/2)
}

// listRetryWait returns the wait before the nodes are listed again after a
// failure. After one quick retry it limits the retries of a large fleet during
// an outage to about the rate of its polls.
func (fleet *Fleet) listRetryWait() time.Duration {
	wait := fleet.backoff(fleet.listFailures)
	if fleet.listFailures > 1 {
		wait = max(wait, fleet.pollWait())
	}
	return wait
}

// requestNodeList lists the nodes if a listing is due. Nodes without a watch poll
// the list; a watching node lists only until the first listing.
func (fleet *Fleet) requestNodeList(now time.Time) {
	if fleet.listPending || now.Before(fleet.nextListAt) || fleet.watching && fleet.nodesListed {
		return
	}
	fleet.listPending = true
	fleet.emit(ListNodes{})
}
