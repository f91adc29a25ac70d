package fleet

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// FullMeshNodes is the largest fleet in which every node links to every
	// other.
	FullMeshNodes = 12

	// WatchersPerFailureDomain is how many nodes of a failure domain hold the
	// store's watches.
	WatchersPerFailureDomain = 2
)

// watchSubject is what the nodes of a failure domain are ordered for to find
// its watchers.
var watchSubject = hashName("watch")

// choose sets peers and watches after the members changed.
func (fleet *Fleet) choose() {
	if !fleet.changed {
		return
	}
	fleet.changed = false
	fleet.relayStale = true
	fleet.choosePeers()
	fleet.chooseWatch()
	fleet.chooseCandidates()
}

func (fleet *Fleet) choosePeers() {
	targets := fleet.seeds()
	for _, peer := range pickPeers(fleet.self.Name, fleet.sortedMembers()) {
		targets = append(targets, Target{Name: peer.node.Name, Address: peer.node.PeerAddress})
	}
	slices.SortFunc(targets, func(left, right Target) int {
		return cmp.Or(cmp.Compare(left.Name, right.Name), cmp.Compare(left.Address, right.Address))
	})
	if slices.Equal(targets, fleet.targets) {
		return
	}
	fleet.targets = targets
	fleet.emit(SetPeers{Targets: slices.Clone(targets)})
}

// seeds returns the seeds that no known node has as its address. A large fleet
// needs them only while no link is up.
func (fleet *Fleet) seeds() []Target {
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
	watching := fleet.listed && (fleet.config.Mirrored || fleet.isWatcher())
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

// Sources returns the admin addresses of the nodes that this node reads the
// store through, the preferred one first; none when it reads the store itself:
// in a small fleet, as one of these nodes, and as long as it leads a fabric
// domain.
func (fleet *Fleet) Sources(now time.Time) []string {
	if !fleet.listed || len(fleet.members) <= FullMeshNodes || len(fleet.Led(now)) > 0 {
		return nil
	}
	var addresses []string
	for _, member := range fleet.readers() {
		if member.self {
			return nil
		}
		addresses = append(addresses, member.node.AdminAddress)
	}
	// The nodes prefer one or the other alike.
	if fleet.members[fleet.self.Name].hash%2 != 0 {
		slices.Reverse(addresses)
	}
	return addresses
}

// readers returns the nodes of the own failure domain that read the store: those
// that lead one of its fabric domains, which read it anyway, and as many of the
// first in the choice of watchers as are missing.
func (fleet *Fleet) readers() []*member {
	var members []*member
	for _, member := range fleet.members {
		if member.node.FailureDomain == fleet.self.FailureDomain && (member.self || member.recorded) {
			members = append(members, member)
		}
	}
	leads := map[string]bool{}
	for _, domain := range fleet.ordered {
		if domain.failureDomain == fleet.self.FailureDomain && domain.state == leaderPresent {
			leads[domain.leader.Node] = true
		}
	}
	slices.SortFunc(members, func(left, right *member) int {
		if leads[left.node.Name] != leads[right.node.Name] {
			if leads[left.node.Name] {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(right.hash, watchSubject), score(left.hash, watchSubject))
	})
	return members[:min(len(members), WatchersPerFailureDomain)]
}

// sortedMembers returns the members with a peer address by their place on the
// ring.
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

// pickPeers returns the members that a node dials. Together with those that
// dial it they are its links.
//
// Above FullMeshNodes a node dials in its own failure domain its successor on
// the ring and the successors of the points at a third and two thirds of the
// ring from it. The first makes the domain connected, the others make its
// paths short. It also dials its successor in the next failure domain and its
// predecessor in the one before, which gives it a link into both and connects
// the failure domains. A change of one node moves only the links next to it.
func pickPeers(name string, members []*member) []*member {
	place := slices.IndexFunc(members, func(member *member) bool { return member.node.Name == name })
	return newRings(members).pick(members[place])
}

// ringThird is a third of the ring.
const ringThird = ^uint64(0) / 3

// rings are the members of each failure domain in ring order.
type rings struct {
	members []*member
	domains map[string][]*member

	// order is the failure domains by name.
	order []string
}

func newRings(members []*member) *rings {
	rings := &rings{members: members, domains: make(map[string][]*member)}
	for _, member := range members {
		failureDomain := member.node.FailureDomain
		if rings.domains[failureDomain] == nil {
			rings.order = append(rings.order, failureDomain)
		}
		rings.domains[failureDomain] = append(rings.domains[failureDomain], member)
	}
	slices.Sort(rings.order)
	return rings
}

func (rings *rings) pick(self *member) []*member {
	picked := slices.Clone(rings.members)
	if len(picked) > FullMeshNodes {
		picked = rings.pickSome(self)
	}
	return slices.DeleteFunc(picked, func(member *member) bool { return member == self })
}

func (rings *rings) pickSome(self *member) []*member {
	ring := rings.domains[self.node.FailureDomain]
	picked := []*member{
		successor(ring, self.hash+1),
		successor(ring, self.hash+ringThird),
		successor(ring, self.hash+2*ringThird),
	}
	if count := len(rings.order); count > 1 {
		own := slices.Index(rings.order, self.node.FailureDomain)
		after := rings.domains[rings.order[(own+1)%count]]
		before := rings.domains[rings.order[(own+count-1)%count]]
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
