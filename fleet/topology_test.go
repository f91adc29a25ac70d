package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// newMembers returns members in ring order, spread unevenly over failure
// domains.
func newMembers(count, failureDomains int) []*member {
	var members []*member
	for index := range count {
		name := fmt.Sprint("node-", index)
		failureDomain := index % failureDomains
		if index%5 == 0 {
			failureDomain = 0
		}
		members = append(members, &member{
			node: Node{Name: name, FailureDomain: fmt.Sprint("fd-", failureDomain), PeerAddress: name},
			hash: hashName(name),
		})
	}
	slices.SortFunc(members, func(left, right *member) int { return cmp.Compare(left.hash, right.hash) })
	return members
}

// linksOf returns the links of every node, no matter which end dials.
func linksOf(members []*member) map[*member]map[*member]bool {
	links := make(map[*member]map[*member]bool)
	for _, node := range members {
		links[node] = make(map[*member]bool)
	}
	for _, node := range members {
		for _, peer := range pickPeers(node.node.Name, members) {
			links[node][peer] = true
			links[peer][node] = true
		}
	}
	return links
}

// floodReach returns the number of nodes that a flood from the first live node
// reaches, and the number of hops that it takes.
func floodReach(members []*member, links map[*member]map[*member]bool, failed map[*member]bool) (nodes, hops int) {
	seen := make(map[*member]bool)
	var level []*member
	for _, node := range members {
		if !failed[node] {
			level = append(level, node)
			seen[node] = true
			break
		}
	}
	for ; len(level) > 0; hops++ {
		var next []*member
		for _, node := range level {
			for peer := range links[node] {
				if !failed[peer] && !seen[peer] {
					seen[peer] = true
					next = append(next, peer)
				}
			}
		}
		level = next
	}
	return len(seen), hops - 1
}

// Every node of the largest full mesh links to every other node.
func TestFullMesh(t *testing.T) {
	members := newMembers(FullMeshNodes, 3)
	for _, links := range linksOf(members) {
		assert.Len(t, links, FullMeshNodes-1)
	}
}

// Above FullMeshNodes the mesh connects all nodes. A node has about 8 links, at
// least two of them outside its failure domain and, in larger fleets, most of
// them inside.
func TestSparseMeshConnectsAllNodes(t *testing.T) {
	for _, size := range []int{13, 24, 48, 100, 730} {
		failureDomains := 3
		if size == 730 {
			failureDomains = 7
		}
		members := newMembers(size, failureDomains)
		links := linksOf(members)
		nodes, hops := floodReach(members, links, nil)
		assert.Equal(t, size, nodes)
		total, inside, most := 0, 0, 0
		for member, peers := range links {
			outside := 0
			for peer := range peers {
				if peer.node.FailureDomain == member.node.FailureDomain {
					inside++
				} else {
					outside++
				}
			}
			assert.GreaterOrEqual(t, outside, 2, member.node.Name)
			total += len(peers)
			most = max(most, len(peers))
		}
		t.Logf("%d nodes: %.1f links each, %.1f inside, at most %d, %d hops",
			size, float64(total)/float64(size), float64(inside)/float64(size), most, hops)
		assert.Less(t, total, 10*size)
		if size >= 48 {
			assert.Greater(t, 2*inside, total)
		}
	}
}

// If a fifth of the nodes fails at once, nearly all others stay connected before
// any node chooses new peers. If a failure domain fails, all others do.
func TestSparseMeshSurvivesFailures(t *testing.T) {
	members := newMembers(730, 7)
	links := linksOf(members)
	random := rand.New(rand.NewPCG(3, 4))
	failed := make(map[*member]bool)
	for _, index := range random.Perm(len(members))[:146] {
		failed[members[index]] = true
	}
	nodes, _ := floodReach(members, links, failed)
	t.Logf("%d of %d live nodes are connected", nodes, 730-146)
	assert.GreaterOrEqual(t, nodes, 580)

	for failureDomain := range 7 {
		clear(failed)
		for _, member := range members {
			if member.node.FailureDomain == fmt.Sprint("fd-", failureDomain) {
				failed[member] = true
			}
		}
		nodes, _ = floodReach(members, links, failed)
		assert.Equal(t, 730-len(failed), nodes)
	}
}

// Removing a node must not move links between other nodes, except as many as
// replace its own.
func TestSparseMeshIsStable(t *testing.T) {
	members := newMembers(730, 7)
	before := linksOf(members)
	removed := members[100]
	after := linksOf(slices.Delete(slices.Clone(members), 100, 101))
	moved := 0
	for member, peers := range after {
		for peer := range peers {
			if !before[member][peer] {
				moved++
			}
		}
	}
	t.Logf("%d new link ends after the loss of a node with %d links", moved, len(before[removed]))
	assert.LessOrEqual(t, moved, 2*len(before[removed]))
}

// Two nodes of each failure domain watch the store, even if the nodes have no
// links and find each other only in the store.
func TestTwoWatchersPerFailureDomain(t *testing.T) {
	sim := newSimulation(1)
	for index := range 12 {
		sim.add(fmt.Sprint("node-", index), "1", fmt.Sprint("fd-", index%3))
	}
	sim.advance(30e9)
	watchers := make(map[string]int)
	for _, node := range sim.nodes {
		if node.fleet.Watching() {
			watchers[node.fleet.self.FailureDomain]++
		}
	}
	require.Equal(t, map[string]int{"fd-0": 2, "fd-1": 2, "fd-2": 2}, watchers)
}

// While the nodes agree on who is alive, a frame of any origin reaches every
// node exactly once, over links that exist.
func TestRelayReachesEveryNodeOnce(t *testing.T) {
	for _, size := range []int{2, FullMeshNodes, FullMeshNodes + 1, 48, 730} {
		members := newMembers(size, 5)
		links := linksOf(members)
		trees := newRelayTrees(members)
		for _, origin := range members[:min(size, 20)] {
			root := trees.indexes[origin.node.Name]
			parents := trees.parents(root)
			childCounts := make([]int, size)
			for index, parent := range parents {
				if index == root {
					continue
				}
				require.True(t, links[members[parent]][members[index]])
				childCounts[parent]++
				up, steps := index, 0
				for ; up != root; up = parents[up] {
					steps++
					require.Less(t, steps, size)
				}
			}
			if size <= FullMeshNodes {
				assert.Equal(t, size-1, childCounts[root])
			}
			sent := 0
			for _, member := range members[:min(size, 60)] {
				index := trees.indexes[member.node.Name]
				children := trees.childrenOf(member.node.Name, origin.node.Name)
				assert.Len(t, children, childCounts[index])
				sent += len(children)
			}
			if size <= 60 {
				assert.Equal(t, size-1, sent)
			}
		}
	}
}

// The relay trees are recomputed after the members change, but at most once per
// relayRefreshInterval.
func TestRelayFollowsMembers(t *testing.T) {
	now := time.Now()
	fleet := New(Config{Name: "a", Incarnation: "1", PeerAddress: "a:1", Random: newSimulation(1).random})
	fleet.Handle(now, Tick{})
	fleet.Handle(now, Tick{})
	assert.Empty(t, fleet.RelayTo("a"))
	fleet.Handle(now, LinkOpened{Node: Node{Name: "b", Incarnation: "1", PeerAddress: "b:1"}})
	fleet.Handle(now.Add(relayRefreshInterval-1), Tick{})
	assert.Empty(t, fleet.RelayTo("a"))
	fleet.Handle(now.Add(relayRefreshInterval), Tick{})
	assert.Equal(t, []string{"b"}, fleet.RelayTo("a"))
	assert.Empty(t, fleet.RelayTo("b"))
}

// The frames of a node that this node has not yet listed must still be relayed.
func TestUnknownOriginIsRelayedToAllPeers(t *testing.T) {
	members := newMembers(48, 3)
	children := newRelayTrees(members).childrenOf(members[0].node.Name, "stranger")
	assert.Len(t, children, len(linksOf(members)[members[0]]))
}

// Guards against store calls that grow with the number of nodes, failure domains
// or leaders, against nodes that read from each other, and against traffic between
// failure domains that grows with the number of nodes.
func TestOneNodeReadsTheStoreForAll(t *testing.T) {
	const nodes, domains = 60, 5
	listing := KeysListed{Prefix: NodePrefix, Revision: 1}
	domainOf := map[string]string{}
	for index := range nodes {
		node := Node{
			Name: fmt.Sprint("node-", index), Incarnation: "1", FailureDomain: fmt.Sprint("fd-", index%domains), AdminAddress: fmt.Sprint("admin-", index),
		}
		value, err := json.Marshal(node)
		require.NoError(t, err)
		domainOf[node.AdminAddress] = node.FailureDomain
		listing.Entries = append(listing.Entries, kvstore.Entry{Key: NodeKey(node.Name), Value: value, Revision: 1})
	}
	newFleet := func(index int) *Fleet {
		return New(Config{
			Name: fmt.Sprint("node-", index), Incarnation: "1", FailureDomain: fmt.Sprint("fd-", index%domains),
			AdminAddress: fmt.Sprint("admin-", index), Mirrored: true, Random: rand.New(rand.NewPCG(1, 1)),
		})
	}
	sources := map[string][]string{}
	served := map[string]int{}
	hubsOf := map[string][]Node{}
	for index := range nodes {
		fleet := newFleet(index)
		require.Empty(t, fleet.Sources(time.Unix(1, 0)), "a node has sources before the first listing")
		fleet.Handle(time.Unix(1, 0), listing)
		require.True(t, fleet.Watching())
		hubs := fleet.Hubs(time.Unix(1, 0))
		require.Len(t, hubs, domains)
		require.Equal(t, fmt.Sprint("fd-", index%domains), hubs[0][0].FailureDomain, "the own failure domain is not the first")
		for _, ranked := range hubs {
			require.Len(t, ranked, hubCandidates)
			domain := ranked[0].FailureDomain
			if known := hubsOf[domain]; known != nil {
				require.Equal(t, known, ranked, "nodes rank the hubs of a failure domain differently")
			}
			hubsOf[domain] = ranked
		}
		read := fleet.Sources(time.Unix(1, 0))
		sources[fmt.Sprint("admin-", index)] = read
		for _, source := range read {
			served[source]++
		}
	}
	var first []string
	across := 0
	for node, read := range sources {
		if len(read) == 0 {
			first = append(first, node)
		}
		if len(read) > 0 && domainOf[read[0]] != domainOf[node] {
			across++
		}
		hops := 0
		for at := node; len(sources[at]) > 0; at = sources[at][len(sources[at])-1] {
			hops++
			require.LessOrEqual(t, hops, 3, "node %s reads in a circle or through too many nodes", node)
		}
	}
	require.Len(t, first, 1, "nodes that read the store")
	require.LessOrEqual(t, across, 1+domains*WatchersPerFailureDomain, "nodes that read from another failure domain")
	require.LessOrEqual(t, len(served), 2+domains*WatchersPerFailureDomain, "nodes that serve others")

	leader, err := json.Marshal(Leader{Node: "node-27", Incarnation: "1"})
	require.NoError(t, err)
	led := KeysListed{Prefix: DomainPrefix, Revision: 2, Entries: []kvstore.Entry{{Key: LeaderKey("fabric-0"), Value: leader, Revision: 2, Lease: "1"}}}
	for index := range nodes {
		fleet := newFleet(index)
		fleet.Handle(time.Unix(1, 0), DomainsListed{Domains: testDomains(3)})
		fleet.Handle(time.Unix(1, 0), listing)
		fleet.Handle(time.Unix(1, 0), led)
		require.Equal(t, sources[fmt.Sprint("admin-", index)], fleet.Sources(time.Unix(1, 0)), "a leader elsewhere changes who reads the store")
	}
	// Larger machines read for the others and lead, whatever their names.
	for _, index := range []int{7, 13} {
		node := Node{Name: fmt.Sprint("node-", index), Incarnation: "1", FailureDomain: fmt.Sprint("fd-", index%domains), AdminAddress: fmt.Sprint("admin-", index), ProcessorShare: 0.8}
		value, err := json.Marshal(node)
		require.NoError(t, err)
		listing.Entries[index].Value = value
	}
	fleet := newFleet(20)
	fleet.Handle(time.Unix(1, 0), listing)
	fleet.Handle(time.Unix(1, 0), led)
	var readers []string
	for _, reader := range fleet.readers {
		readers = append(readers, reader.node.Name)
	}
	require.ElementsMatch(t, []string{"node-7", "node-13"}, readers)

	small := newFleet(0)
	small.Handle(time.Unix(1, 0), KeysListed{Prefix: NodePrefix, Revision: 1, Entries: listing.Entries[:MirrorNodes-1]})
	require.Empty(t, small.Sources(time.Unix(1, 0)))
	small.Handle(time.Unix(2, 0), KeysListed{Prefix: NodePrefix, Revision: 2, Entries: listing.Entries[:FullMeshNodes]})
	require.NotEmpty(t, small.Sources(time.Unix(2, 0)))
	require.Empty(t, small.Hubs(time.Unix(2, 0)), "a small fleet exchanges counts")

	// Nodes that cannot reach the store lose their records. The others must not all
	// begin to read the store.
	shrunk := newFleet(20)
	shrunk.Handle(time.Unix(1, 0), listing)
	shrunk.Handle(time.Unix(2, 0), KeysListed{Prefix: NodePrefix, Revision: 5, Entries: listing.Entries[:2]})
	shrunk.Handle(time.Unix(2, 0), Tick{})
	require.NotEmpty(t, shrunk.Sources(time.Unix(60, 0)))
	require.Empty(t, shrunk.Sources(time.Unix(62, 0).Add(mirrorHold)))
}
