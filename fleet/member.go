package fleet

import (
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// member is a node that this node knows of.
type member struct {
	node Node
	hash uint64
	self bool

	// recorded says that the store has the node's record, at the revision.
	recorded bool
	revision uint64

	// linked says that a link to the node is up; closedAt is when it went down.
	linked   bool
	closedAt time.Time

	// removed says that the store's record was there and went.
	removed bool
}

func (fleet *Fleet) takeListing(now time.Time, event KeysListed) {
	switch {
	case strings.HasPrefix(NodePrefix, event.Prefix):
		fleet.listNodes(now, event)
	case strings.HasPrefix(DomainPrefix, event.Prefix):
		fleet.listLeaders(now, event)
	}
}

func (fleet *Fleet) listNodes(now time.Time, event KeysListed) {
	fleet.listing = false
	fleet.changed = fleet.changed || !fleet.listed
	fleet.listed = true
	fleet.listErrors = 0
	present := make(map[string]bool, len(event.Entries))
	for _, entry := range event.Entries {
		if name, is := strings.CutPrefix(entry.Key, NodePrefix); is {
			present[name] = true
			fleet.recordNode(now, name, entry)
		}
	}
	for name, member := range fleet.members {
		if !present[name] && older(member.revision, event.Revision) {
			fleet.unrecordNode(now, name)
		}
	}
	fleet.listAt = now.Add(fleet.pollWait())
}

func (fleet *Fleet) takeChanges(now time.Time, event KeysChanged) {
	// Deletions come first: a key that is both deleted and present in one
	// result was created again.
	for _, key := range event.Deleted {
		if name, is := strings.CutPrefix(key, NodePrefix); is {
			member, found := fleet.members[name]
			if found && older(member.revision, event.Revision) {
				fleet.unrecordNode(now, name)
			}
		}
		if name, is := leaderDomain(key); is {
			fleet.leaderDeleted(now, name, event.Revision)
		}
	}
	for _, entry := range event.Entries {
		if name, is := strings.CutPrefix(entry.Key, NodePrefix); is {
			fleet.recordNode(now, name, entry)
		}
		if name, is := leaderDomain(entry.Key); is {
			fleet.leaderSeen(name, entry)
		}
	}
}

// older reports whether a result of the store, at its revision, is not from
// before a key's revision. A result without a revision is taken as new.
func older(key, result uint64) bool { return result == 0 || key <= result }

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
	fleet.changed = fleet.changed || !present.recorded || present.node != node
	present.node = node
	present.recorded = true
	present.removed = false
	present.revision = entry.Revision
}

// recordSelf notes this node's own record. One of another incarnation or lease
// is overwritten: it is left from before a restart.
func (fleet *Fleet) recordSelf(now time.Time, node Node, entry kvstore.Entry) {
	present := fleet.members[fleet.self.Name]
	present.revision = entry.Revision
	present.recorded = node == fleet.self
	if node != fleet.self || entry.Lease != "" && entry.Lease != fleet.lease.id {
		fleet.rewriteSelf(now)
	}
}

func (fleet *Fleet) rewriteSelf(now time.Time) {
	if fleet.lease.written {
		fleet.lease.written = false
		fleet.lease.writeAt = now.Add(fleet.backoff(1))
	}
}

func (fleet *Fleet) unrecordNode(now time.Time, name string) {
	present, found := fleet.members[name]
	if !found || !present.recorded {
		return
	}
	present.recorded = false
	present.removed = true
	fleet.loose[name] = present
	fleet.changed = true
	if present.self {
		fleet.rewriteSelf(now)
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
	// A hello is newer than a record of another incarnation. It lacks the
	// admin address.
	if present.node.Incarnation != node.Incarnation {
		present.node = node
	}
	present.linked = true
	fleet.changed = true
}

func (fleet *Fleet) closeLink(now time.Time, name string) {
	present, found := fleet.members[name]
	if !found {
		return
	}
	present.linked = false
	present.closedAt = now
	fleet.loose[name] = present
	fleet.changed = true
}

// forget drops nodes that are neither recorded nor linked.
func (fleet *Fleet) forget(now time.Time) {
	for name, member := range fleet.loose {
		if member.self || member.recorded || member.linked {
			delete(fleet.loose, name)
			continue
		}
		if member.removed || now.Sub(member.closedAt) >= ForgetNode {
			delete(fleet.members, name)
			delete(fleet.loose, name)
			fleet.changed = true
		}
	}
}

const (
	// ListsPerSecond is the part of the store's reads that the polls of nodes
	// without a watch may take, each for listing nodes and reading leaders.
	ListsPerSecond = 20

	// pollMinimum is the shortest time between two polls of a node.
	pollMinimum = 5 * time.Second
)

// pollWait returns the time until the next poll.
func (fleet *Fleet) pollWait() time.Duration {
	interval := time.Duration(len(fleet.members)) * time.Second / ListsPerSecond
	interval = max(interval, pollMinimum)
	return fleet.between(interval/2, interval+interval/2)
}

// listRetry keeps the retries of a large fleet during an outage near the rate
// of its polls, after a first quick retry.
func (fleet *Fleet) listRetry() time.Duration {
	wait := fleet.backoff(fleet.listErrors)
	if fleet.listErrors > 1 {
		wait = max(wait, fleet.pollWait())
	}
	return wait
}

// list asks for the nodes, which a node without a watch polls.
func (fleet *Fleet) list(now time.Time) {
	if fleet.listing || now.Before(fleet.listAt) || fleet.watching && fleet.listed {
		return
	}
	fleet.listing = true
	fleet.emit(ListNodes{})
}
