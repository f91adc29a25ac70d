package fleet

import (
	"cmp"
	"slices"
)

// relay is the links among all nodes as the topology chooses them, and the
// peers to which this node passes on the frames of each origin.
type relay struct {
	members  []*member
	places   map[string]int
	links    [][]int
	children map[string][]string
}

// RelayTo returns the names of the peers to which this node passes on the
// frames of an origin. Every node computes the same tree of shortest paths over
// the links, so that a frame reaches each node once while the nodes agree on
// who is alive. A node that misses frames asks its other peers.
//
// In a full mesh the origin sends to every node itself. The frames of an origin
// that is not known go to every peer that this node links to.
func (fleet *Fleet) RelayTo(origin string) []string {
	if fleet.relay == nil {
		fleet.relay = newRelay(fleet.sortedMembers())
	}
	return fleet.relay.to(fleet.self.Name, origin)
}

func newRelay(members []*member) *relay {
	relay := &relay{
		members:  members,
		places:   make(map[string]int, len(members)),
		links:    make([][]int, len(members)),
		children: make(map[string][]string),
	}
	for place, member := range members {
		relay.places[member.node.Name] = place
	}
	rings := newRings(members)
	for place, member := range members {
		for _, peer := range rings.pick(member) {
			other := relay.places[peer.node.Name]
			relay.links[place] = append(relay.links[place], other)
			relay.links[other] = append(relay.links[other], place)
		}
	}
	for place := range relay.links {
		slices.Sort(relay.links[place])
		relay.links[place] = slices.Compact(relay.links[place])
	}
	return relay
}

func (relay *relay) to(self, origin string) []string {
	if children, found := relay.children[origin]; found {
		return children
	}
	children := relay.childrenOf(self, origin)
	relay.children[origin] = children
	return children
}

func (relay *relay) childrenOf(self, origin string) []string {
	place, found := relay.places[self]
	if !found {
		return nil
	}
	root, known := relay.places[origin]
	var children []string
	if !known {
		for _, other := range relay.links[place] {
			children = append(children, relay.members[other].node.Name)
		}
		return children
	}
	for other, parent := range relay.parents(root) {
		if parent == place && other != root {
			children = append(children, relay.members[other].node.Name)
		}
	}
	return children
}

// parents returns the parent of each node in the tree of an origin, which is
// its own. A node that cannot be reached has -1.
//
// A node chooses among the peers that are one step nearer by rendezvous with
// the origin, so that the trees of different origins load different nodes.
func (relay *relay) parents(root int) []int {
	parents := slices.Repeat([]int{-1}, len(relay.members))
	steps := slices.Repeat([]int{-1}, len(relay.members))
	parents[root], steps[root] = root, 0
	subject := relay.members[root].hash
	wave := []int{root}
	for len(wave) > 0 {
		next := relay.nextWave(wave, steps)
		for _, place := range next {
			parents[place] = relay.nearest(place, steps, subject)
		}
		wave = next
	}
	return parents
}

func (relay *relay) nextWave(wave []int, steps []int) []int {
	var next []int
	for _, place := range wave {
		for _, other := range relay.links[place] {
			if steps[other] < 0 {
				steps[other] = steps[place] + 1
				next = append(next, other)
			}
		}
	}
	return next
}

func (relay *relay) nearest(place int, steps []int, subject uint64) int {
	var nearer []int
	for _, other := range relay.links[place] {
		if steps[other] == steps[place]-1 {
			nearer = append(nearer, other)
		}
	}
	return slices.MaxFunc(nearer, func(left, right int) int {
		return cmp.Compare(score(relay.members[left].hash, subject), score(relay.members[right].hash, subject))
	})
}
