package fleet

import (
	"slices"
	"time"
)

// relayTrees holds the links among all nodes, as every node computes them from
// the members, and for each origin the peers to which this node relays its
// frames.
type relayTrees struct {
	members  []*member
	indexes  map[string]int
	links    [][]int
	children map[string][]string
}

// RelayTo returns the names of the peers to which this node relays the frames of
// an origin. Every node computes the same tree of shortest paths over the links,
// so a frame reaches each node once as long as the nodes agree on which nodes
// are alive. A node that misses frames requests them from its other peers.
//
// In a full mesh the origin sends to every node itself. The frames of an unknown
// origin are relayed to every peer that this node links to.
func (fleet *Fleet) RelayTo(origin string) []string {
	if fleet.relay == nil {
		fleet.relay = newRelayTrees(fleet.sortedMembers())
	}
	return fleet.relay.cachedChildrenOf(fleet.self.Name, origin)
}

// relayRefreshInterval limits how often the trees are recomputed when many nodes
// change at once. Computing the trees of 181 origins takes tens of milliseconds
// at 730 nodes. Until the trees are recomputed, nodes that are missing from them
// request the frames that they did not receive.
const relayRefreshInterval = 2 * time.Second

// refreshRelay drops the trees after the members changed, so that the next
// RelayTo recomputes them.
func (fleet *Fleet) refreshRelay(now time.Time) {
	if !fleet.relayStale || now.Before(fleet.relayRefreshAt) {
		return
	}
	fleet.relay = nil
	fleet.relayStale = false
	fleet.relayRefreshAt = now.Add(relayRefreshInterval)
}

func newRelayTrees(members []*member) *relayTrees {
	relay := &relayTrees{
		members:  members,
		indexes:  make(map[string]int, len(members)),
		links:    make([][]int, len(members)),
		children: make(map[string][]string),
	}
	for index, member := range members {
		relay.indexes[member.node.Name] = index
	}
	rings := newRings(members)
	for index, member := range members {
		for _, peer := range rings.pickPeers(member) {
			other := relay.indexes[peer.node.Name]
			relay.links[index] = append(relay.links[index], other)
			relay.links[other] = append(relay.links[other], index)
		}
	}
	for index := range relay.links {
		slices.Sort(relay.links[index])
		relay.links[index] = slices.Compact(relay.links[index])
	}
	return relay
}

func (relay *relayTrees) cachedChildrenOf(self, origin string) []string {
	if children, found := relay.children[origin]; found {
		return children
	}
	children := relay.childrenOf(self, origin)
	relay.children[origin] = children
	return children
}

func (relay *relayTrees) childrenOf(self, origin string) []string {
	index, found := relay.indexes[self]
	if !found {
		return nil
	}
	root, known := relay.indexes[origin]
	var children []string
	if !known {
		for _, other := range relay.links[index] {
			children = append(children, relay.members[other].node.Name)
		}
		return children
	}
	for other, parent := range relay.parents(root) {
		if parent == index && other != root {
			children = append(children, relay.members[other].node.Name)
		}
	}
	return children
}

// parents returns the parent of each node in the tree of an origin. The origin is
// its own parent; an unreachable node has -1.
//
// Among the peers that are one step closer to the origin, a node chooses its
// parent by rendezvous hashing with the origin, so that the trees of different
// origins load different nodes.
func (relay *relayTrees) parents(root int) []int {
	parents := slices.Repeat([]int{-1}, len(relay.members))
	steps := slices.Repeat([]int{-1}, len(relay.members))
	parents[root], steps[root] = root, 0
	subject := relay.members[root].hash
	level := []int{root}
	for len(level) > 0 {
		next := relay.nextLevel(level, steps)
		for _, index := range next {
			parents[index] = relay.chooseParent(index, steps, subject)
		}
		level = next
	}
	return parents
}

func (relay *relayTrees) nextLevel(level []int, steps []int) []int {
	var next []int
	for _, index := range level {
		for _, other := range relay.links[index] {
			if steps[other] < 0 {
				steps[other] = steps[index] + 1
				next = append(next, other)
			}
		}
	}
	return next
}

func (relay *relayTrees) chooseParent(index int, steps []int, subject uint64) int {
	best, most := -1, uint64(0)
	for _, other := range relay.links[index] {
		if steps[other] != steps[index]-1 {
			continue
		}
		if weight := score(relay.members[other].hash, subject); best < 0 || weight > most {
			best, most = other, weight
		}
	}
	return best
}
