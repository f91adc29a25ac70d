package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// FullMeshNodes is the size of the largest fleet in which every node links
	// to every other node.
	FullMeshNodes = 12

	// MirrorNodes is the size of the smallest fleet in which nodes read the store
	// through other nodes. In a smaller one the loss of two nodes is likely to be
	// that of both readers.
	MirrorNodes = 4

	// readerCount is the number of nodes that read the store for the others: one that
	// does, and one that takes its place.
	readerCount = 2

	// WatchersPerFailureDomain is the number of nodes in each failure domain
	// that watch the store.
	WatchersPerFailureDomain = 2
)

// watchSubject is the rendezvous-hashing subject by which the watchers of a
// failure domain are chosen.
var watchSubject = hashName("watch")

// applyMemberChanges updates the peers, the watches and the candidate ranks after
// the members or domains changed.
func (fleet *Fleet) applyMemberChanges() {
	if !fleet.membersChanged {
		return
	}
	fleet.membersChanged = false
	fleet.relayStale = true
	fleet.choosePeers()
	fleet.chooseWatch()
	fleet.rankCandidates()
	fleet.chooseSources()
}

func (fleet *Fleet) choosePeers() {
	targets := fleet.unknownSeeds()
	for _, peer := range pickPeers(fleet.self.Name, fleet.sortedMembers()) {
		targets = append(targets, Target{Name: peer.node.Name, Address: peer.node.PeerAddress})
	}
	slices.SortFunc(targets, func(left, right Target) int {
		return cmp.Or(cmp.Compare(left.Name, right.Name), cmp.Compare(left.Address, right.Address))
	})
	if slices.Equal(targets, fleet.peerTargets) {
		return
	}
	fleet.peerTargets = targets
	fleet.emit(SetPeers{Targets: slices.Clone(targets)})
}

// unknownSeeds returns the seeds that are not the address of a known node. Above
// FullMeshNodes it returns none while any link is up.
func (fleet *Fleet) unknownSeeds() []Target {
	if len(fleet.config.Seeds) == 0 {
		return nil
	}
	known := make(map[string]bool, len(fleet.members))
	linked := false
	for _, member := range fleet.members {
		known[member.node.PeerAddress] = true
		linked = linked || member.linked
	}
	if linked && len(fleet.members) > FullMeshNodes {
		return nil
	}
	var targets []Target
	for _, address := range fleet.config.Seeds {
		if !known[address] {
			targets = append(targets, Target{Address: address})
		}
	}
	return targets
}

func (fleet *Fleet) chooseWatch() {
	watching := fleet.nodesListed && (fleet.config.Mirrored || fleet.isWatcher())
	if watching == fleet.watching {
		return
	}
	fleet.watching = watching
	fleet.emit(SetWatching{Watching: watching})
}

func (fleet *Fleet) isWatcher() bool {
	own := score(fleet.members[fleet.self.Name].hash, watchSubject)
	before := 0
	for _, member := range fleet.members {
		if member.self || !member.recorded || member.node.FailureDomain != fleet.self.FailureDomain {
			continue
		}
		if score(member.hash, watchSubject) > own {
			before++
		}
	}
	return before < WatchersPerFailureDomain
}

// mirrorHold is how long nodes read through others after the fleet last had
// MirrorNodes members. Nodes that cannot reach the store lose their records;
// without the hold, the remaining nodes would all start to read the store, and the
// lost nodes would have no sources.
const mirrorHold = time.Minute

// Mirroring reports whether nodes read the store through other nodes.
func (fleet *Fleet) Mirroring(now time.Time) bool { return now.Before(fleet.mirroringUntil) }

// Sources returns the admin addresses of the nodes through which this node reads
// the store, the preferred one first. It returns none if this node reads the
// store itself: in a fleet that had fewer than MirrorNodes members for
// mirrorHold, and if it is the first of the store's readers.
//
// Two readers serve the leaders and the relays of all failure domains, and the
// second reader reads through the first one. The relays serve the other nodes of
// their failure domain. The number of store calls is therefore the same for a
// fleet of any size.
func (fleet *Fleet) Sources(now time.Time) []string {
	if !fleet.nodesListed || !fleet.Mirroring(now) {
		return nil
	}
	self := fleet.members[fleet.self.Name]
	if index := slices.Index(fleet.readers, self); index >= 0 {
		return adminAddresses(fleet.readers[:index])
	}
	if !fleet.readsThroughRelays(now) {
		return adminAddresses(fleet.readers)
	}
	addresses := adminAddresses(fleet.relays)
	// Half of the nodes prefer each relay, which balances the load.
	if self.hash%2 != 0 {
		slices.Reverse(addresses)
	}
	return addresses
}

// SourceDepth returns through how many nodes in a row this node reads the store while all of
// its sources work: 1 for a node that reads through the readers, 2 for one that reads through
// the relays.
func (fleet *Fleet) SourceDepth(now time.Time) int {
	if fleet.readsThroughRelays(now) {
		return 2
	}
	return 1
}

func (fleet *Fleet) readsThroughRelays(now time.Time) bool {
	self := fleet.members[fleet.self.Name]
	return len(fleet.relays) > 0 && !slices.Contains(fleet.readers, self) && !slices.Contains(fleet.relays, self) && len(fleet.Led(now)) == 0
}

// hubCandidates is the number of nodes of a failure domain that may add up the counts of
// traffic: one that does, and two that take its place.
const hubCandidates = 3

// Hubs returns, for each failure domain, the nodes that may add up the counts of traffic of
// its members, the preferred one first, and this node's own failure domain first. They are
// ranked like the readers. It returns none in a fleet of at most FullMeshNodes, or that does
// not read the store through other nodes: there a node sees enough of each group's load in
// the answers to its own requests.
func (fleet *Fleet) Hubs(now time.Time) [][]Node {
	if !fleet.nodesListed || !fleet.Mirroring(now) || len(fleet.members) <= FullMeshNodes {
		return nil
	}
	byFailureDomain := map[string][]Node{}
	for _, member := range fleet.rankReaders() {
		name := member.node.FailureDomain
		if len(byFailureDomain[name]) < hubCandidates {
			byFailureDomain[name] = append(byFailureDomain[name], member.node)
		}
	}
	own := fleet.self.FailureDomain
	domains := [][]Node{byFailureDomain[own]}
	for _, name := range slices.Sorted(maps.Keys(byFailureDomain)) {
		if name != own {
			domains = append(domains, byFailureDomain[name])
		}
	}
	return domains
}

// Readers returns the nodes that read the store for the others, or would in a larger
// fleet: two in different failure domains, if there are any.
func (fleet *Fleet) Readers() []Node {
	var nodes []Node
	for _, member := range fleet.readers {
		nodes = append(nodes, member.node)
	}
	return nodes
}

func adminAddresses(members []*member) []string {
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.node.AdminAddress)
	}
	return addresses
}

// chooseSources chooses the nodes that other nodes read the store through. The readers
// are the first of the ranked members and the next one of another failure domain, if
// there is one. The relays are the next WatchersPerFailureDomain members of this
// node's failure domain; a fleet of at most FullMeshNodes has none, and all nodes read
// through the readers.
func (fleet *Fleet) chooseSources() {
	ranked := fleet.rankReaders()
	fleet.readers = ranked[:min(len(ranked), readerCount)]
	other := slices.IndexFunc(ranked, func(member *member) bool {
		return member.node.FailureDomain != ranked[0].node.FailureDomain
	})
	if other > 0 {
		fleet.readers = []*member{ranked[0], ranked[other]}
	}
	fleet.relays = nil
	if len(fleet.members) <= FullMeshNodes {
		return
	}
	for _, member := range ranked {
		near := member.node.FailureDomain == fleet.self.FailureDomain
		if near && !slices.Contains(fleet.readers, member) && len(fleet.relays) < WatchersPerFailureDomain {
			fleet.relays = append(fleet.relays, member)
		}
	}
}

// rankReaders returns the members with a record: those with the largest processor
// share first, and among them the one with the highest score for watchSubject.
func (fleet *Fleet) rankReaders() []*member {
	var ranked []*member
	for _, member := range fleet.members {
		if member.self || member.recorded {
			ranked = append(ranked, member)
		}
	}
	slices.SortFunc(ranked, func(left, right *member) int {
		return cmp.Or(
			cmp.Compare(right.node.ProcessorShare, left.node.ProcessorShare),
			cmp.Compare(score(right.hash, watchSubject), score(left.hash, watchSubject)),
			cmp.Compare(left.node.Name, right.node.Name),
		)
	})
	return ranked
}

// sortedMembers returns this node and the members with a peer address, in ring
// order.
func (fleet *Fleet) sortedMembers() []*member {
	members := make([]*member, 0, len(fleet.members))
	for _, member := range fleet.members {
		if member.node.PeerAddress != "" || member.self {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(left, right *member) int {
		if left.hash != right.hash {
			return cmp.Compare(left.hash, right.hash)
		}
		return cmp.Compare(left.node.Name, right.node.Name)
	})
	return members
}

// pickPeers returns the members that a node dials. A node has links to these and
// to the members that dial it.
//
// Above FullMeshNodes, a node dials three members of its own failure domain: its
// successor on the ring and the successors of the points a third and two thirds
// of the ring away. The first link connects all nodes of the failure domain, the
// others keep the paths short. The node also dials its successor in the next
// failure domain and its predecessor in the previous one, which connects the
// failure domains. Adding or removing a node moves only the links adjacent to
// it.
func pickPeers(name string, members []*member) []*member {
	index := slices.IndexFunc(members, func(member *member) bool { return member.node.Name == name })
	return newRings(members).pickPeers(members[index])
}

// ringThird is a third of the ring.
const ringThird = ^uint64(0) / 3

// rings holds the members of each failure domain in ring order.
type rings struct {
	members         []*member
	byFailureDomain map[string][]*member

	// failureDomains holds the names of the failure domains, sorted.
	failureDomains []string
}

func newRings(members []*member) *rings {
	rings := &rings{members: members, byFailureDomain: make(map[string][]*member)}
	for _, member := range members {
		failureDomain := member.node.FailureDomain
		if rings.byFailureDomain[failureDomain] == nil {
			rings.failureDomains = append(rings.failureDomains, failureDomain)
		}
		rings.byFailureDomain[failureDomain] = append(rings.byFailureDomain[failureDomain], member)
	}
	slices.Sort(rings.failureDomains)
	return rings
}

func (rings *rings) pickPeers(self *member) []*member {
	picked := slices.Clone(rings.members)
	if len(picked) > FullMeshNodes {
		picked = rings.pickSparsePeers(self)
	}
	return slices.DeleteFunc(picked, func(member *member) bool { return member == self })
}

func (rings *rings) pickSparsePeers(self *member) []*member {
	ring := rings.byFailureDomain[self.node.FailureDomain]
	picked := []*member{
		successor(ring, self.hash+1),
		successor(ring, self.hash+ringThird),
		successor(ring, self.hash+2*ringThird),
	}
	if count := len(rings.failureDomains); count > 1 {
		own := slices.Index(rings.failureDomains, self.node.FailureDomain)
		after := rings.byFailureDomain[rings.failureDomains[(own+1)%count]]
		before := rings.byFailureDomain[rings.failureDomains[(own+count-1)%count]]
		picked = append(picked, successor(after, self.hash), predecessor(before, self.hash))
	}
	slices.SortFunc(picked, func(left, right *member) int { return cmp.Compare(left.node.Name, right.node.Name) })
	return slices.Compact(picked)
}

// successor returns the first member at or after a point of the ring.
func successor(ring []*member, point uint64) *member {
	index := sort.Search(len(ring), func(index int) bool { return ring[index].hash >= point })
	return ring[index%len(ring)]
}

// predecessor returns the last member before a point of the ring.
func predecessor(ring []*member, point uint64) *member {
	index := sort.Search(len(ring), func(index int) bool { return ring[index].hash >= point })
	return ring[(index+len(ring)-1)%len(ring)]
}
