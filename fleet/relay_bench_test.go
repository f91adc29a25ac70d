package fleet

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingspoke.org/lacewingspoke/peer"
)

// The relay methods that docs/relay.md compares.
const (
	relayFlood  = "flood"
	relayTree   = "tree"
	relaySubset = "subset"
)

const (
	benchGroupsPerLeader = 8
	benchNodesPerLeader  = 6

	// benchSubset is the divisor of the number of groups that a node uses under
	// relaySubset.
	benchSubset = 4
)

// benchFleet holds the peer meshes of one benchmark on loopback.
type benchFleet struct {
	relay             string
	members           []*member
	links             map[*member]map[*member]bool
	nodes             map[string]*benchNode
	leaders           []string
	pendingDeliveries atomic.Int64
	allDelivered      chan struct{}
	usedGroups        map[string]map[string]bool

	// children[origin][node] holds the nodes to which a node relays the frames of
	// an origin.
	children map[string]map[string][]string
	// neededGroups[origin][node] holds the groups of an origin that the node or
	// a node below it in the tree uses.
	neededGroups map[string]map[string]map[string]bool
}

type benchNode struct {
	name     string
	mesh     *peer.Mesh
	registry *prometheus.Registry
	versions *Versions
}

// BenchmarkRelay measures how one publication of every leader reaches every
// node. Grants are measured as the bytes sent; the bytes of the digests are
// computed from the size of their encoding.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48} {
		for _, relay := range []string{relayFlood, relayTree, relaySubset} {
			b.Run(fmt.Sprintf("%s/%d", relay, size), func(b *testing.B) { benchRelay(b, relay, size) })
		}
	}
}

func benchRelay(b *testing.B, relay string, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := startBench(b, ctx, relay, size)
	var readers sync.WaitGroup
	for _, node := range fleet.nodes {
		readers.Go(func() { fleet.relayFrames(ctx, node) })
	}
	fleet.publish(b, 1)
	before, cpu := fleet.bytesSent(b, "grants"), cpuTime()
	version := uint64(1)
	for b.Loop() {
		version++
		fleet.publish(b, version)
	}
	spent := cpuTime() - cpu
	rounds := float64(version - 1)
	nodes := float64(size)
	groups := float64(len(fleet.leaders) * benchGroupsPerLeader)
	b.ReportMetric((fleet.bytesSent(b, "grants")-before)/rounds/nodes, "grant-B/node/round")
	b.ReportMetric((fleet.bytesSent(b, "grants")-before)/rounds/nodes/groups, "grant-B/group/node/round")
	b.ReportMetric(fleet.digestBytes(b)/nodes, "digest-B/node/round")
	b.ReportMetric(float64(spent.Microseconds())/rounds/nodes, "cpu-us/node/round")
	cancel()
	readers.Wait()
	for _, node := range fleet.nodes {
		require.NoError(b, <-node.mesh.Done())
	}
}

func startBench(b *testing.B, ctx context.Context, relay string, size int) *benchFleet {
	b.Helper()
	members := newMembers(size, 3)
	fleet := &benchFleet{
		relay:        relay,
		members:      members,
		links:        linksOf(members),
		nodes:        map[string]*benchNode{},
		allDelivered: make(chan struct{}, 1),
		usedGroups:   map[string]map[string]bool{},
		children:     map[string]map[string][]string{},
		neededGroups: map[string]map[string]map[string]bool{},
	}
	for index, member := range members {
		registry := prometheus.NewRegistry()
		mesh, err := peer.New(peer.Config{
			Name: member.node.Name, Incarnation: "1", FailureDomain: member.node.FailureDomain,
			Listen: "127.0.0.1:0", Registerer: registry,
		})
		require.NoError(b, err)
		fleet.nodes[member.node.Name] = &benchNode{
			name: member.node.Name, mesh: mesh, registry: registry, versions: NewVersions(),
		}
		if index%benchNodesPerLeader == 0 {
			fleet.leaders = append(fleet.leaders, member.node.Name)
		}
		go mesh.Run(ctx)
	}
	fleet.planTrees()
	for _, member := range members {
		var targets []peer.Target
		for _, picked := range pickPeers(member.node.Name, members) {
			targets = append(targets, peer.Target{
				Name: picked.node.Name, Address: fleet.nodes[picked.node.Name].mesh.Address(),
			})
		}
		fleet.nodes[member.node.Name].mesh.SetTargets(targets)
	}
	fleet.awaitLinks(b)
	return fleet
}

// awaitLinks waits until every node has as many links as planned.
func (fleet *benchFleet) awaitLinks(b *testing.B) {
	for _, member := range fleet.members {
		mesh := fleet.nodes[member.node.Name].mesh
		for len(mesh.Linked()) < len(fleet.links[member]) {
			event := <-mesh.Events()
			if down, ok := event.(peer.LinkDown); ok {
				b.Logf("%s lost its link to %s: %s", member.node.Name, down.Name, down.Reason)
			}
		}
	}
}

// planTrees computes the relay tree of every leader and the groups that are used
// at or below each node.
func (fleet *benchFleet) planTrees() {
	for _, member := range fleet.members {
		name := member.node.Name
		fleet.usedGroups[name] = map[string]bool{}
		for _, leader := range fleet.leaders {
			for _, group := range benchGroups(leader) {
				used := fleet.relay != relaySubset || score(member.hash, hashName(group))%benchSubset == 0
				fleet.usedGroups[name][group] = used
			}
		}
	}
	for _, leader := range fleet.leaders {
		fleet.children[leader] = map[string][]string{}
		fleet.neededGroups[leader] = map[string]map[string]bool{}
		fleet.planTree(leader)
	}
}

func (fleet *benchFleet) planTree(leader string) {
	trees := newRelayTrees(fleet.members)
	root := trees.indexes[leader]
	parents := trees.parents(root)
	for index := range parents {
		for ancestor, node := index, fleet.members[index].node.Name; ; ancestor = parents[ancestor] {
			needed := fleet.neededBy(leader, fleet.members[ancestor].node.Name)
			for _, group := range benchGroups(leader) {
				needed[group] = needed[group] || fleet.usedGroups[node][group]
			}
			if ancestor == root {
				break
			}
		}
	}
	for index, parent := range parents {
		node := fleet.members[index].node.Name
		if index != root && slices.ContainsFunc(benchGroups(leader), func(group string) bool { return fleet.neededGroups[leader][node][group] }) {
			sender := fleet.members[parent].node.Name
			fleet.children[leader][sender] = append(fleet.children[leader][sender], node)
		}
	}
}

func (fleet *benchFleet) neededBy(leader, node string) map[string]bool {
	if fleet.neededGroups[leader][node] == nil {
		fleet.neededGroups[leader][node] = map[string]bool{}
	}
	return fleet.neededGroups[leader][node]
}

func benchGroups(leader string) []string {
	var groups []string
	for index := range benchGroupsPerLeader {
		groups = append(groups, fmt.Sprintf("%s-draft-%d", leader, index))
	}
	return groups
}

// publish makes every leader publish once and waits until all deliveries have
// arrived.
func (fleet *benchFleet) publish(b *testing.B, version uint64) {
	fleet.pendingDeliveries.Store(fleet.deliveriesPerRound())
	for _, leader := range fleet.leaders {
		frame := peer.Grants{Origin: leader, Incarnation: "1", Version: version, Fence: 1000 + version, Domain: "fabric-" + leader}
		for index, group := range benchGroups(leader) {
			frame.Groups = append(frame.Groups, peer.GroupGrant{
				Group: group, Epoch: 100, AgeMillis: 120, ValidMillis: 880, Running: 20 + index, Queued: 3, FreeCache: 40,
			})
		}
		fleet.forward(fleet.nodes[leader], frame, "")
	}
	select {
	case <-fleet.allDelivered:
	case <-time.After(30 * time.Second):
		b.Fatalf("%d deliveries of version %d did not arrive within 30 s", fleet.pendingDeliveries.Load(), version)
	}
}

// deliveriesPerRound returns the number of frames received for the first time in
// one round.
func (fleet *benchFleet) deliveriesPerRound() int64 {
	total := 0
	for _, leader := range fleet.leaders {
		if fleet.relay == relayFlood {
			total += len(fleet.members) - 1
			continue
		}
		for _, children := range fleet.children[leader] {
			total += len(children)
		}
	}
	return int64(total)
}

func (fleet *benchFleet) relayFrames(ctx context.Context, node *benchNode) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-node.mesh.Events():
			received, ok := event.(peer.Received)
			if !ok {
				continue
			}
			frame, ok := received.Frame.(peer.Grants)
			if !ok || !node.versions.Advance(frame.Origin, frame.Incarnation, frame.Version) || frame.Origin == node.name {
				continue
			}
			fleet.forward(node, frame, received.From)
			if fleet.pendingDeliveries.Add(-1) == 0 {
				fleet.allDelivered <- struct{}{}
			}
		}
	}
}

func (fleet *benchFleet) forward(node *benchNode, frame peer.Grants, from string) {
	if fleet.relay == relayFlood {
		node.mesh.Broadcast(frame, from)
		return
	}
	for _, child := range fleet.children[frame.Origin][node.name] {
		node.mesh.Send(child, fleet.filterGroups(frame, child))
	}
}

// filterGroups returns the frame with only the groups that are used at or below
// a child.
func (fleet *benchFleet) filterGroups(frame peer.Grants, child string) peer.Grants {
	if fleet.relay == relayTree {
		return frame
	}
	needed := fleet.neededGroups[frame.Origin][child]
	frame.Groups = slices.DeleteFunc(slices.Clone(frame.Groups), func(group peer.GroupGrant) bool { return !needed[group.Group] })
	return frame
}

// benchDigest is the message that would be sent over a link outside the tree: the
// newest version of an origin, which is given by its index in the sorted list of
// nodes.
type benchDigest struct {
	Origin  uint16
	Version uint64
}

// digestBytes returns the size of the digests that one round sends over the links
// outside the tree, in both directions.
func (fleet *benchFleet) digestBytes(b *testing.B) float64 {
	if fleet.relay == relayFlood {
		return 0
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	require.NoError(b, encoder.Encode(benchDigest{Origin: 400, Version: 100_000}))
	ends := 0
	for _, peers := range fleet.links {
		ends += len(peers)
	}
	total := 0
	for range fleet.leaders {
		tree := 2 * (len(fleet.members) - 1)
		total += (ends - tree) * buffer.Len()
	}
	return float64(total)
}

// bytesSent returns the bytes of frames of a kind that all nodes have sent.
func (fleet *benchFleet) bytesSent(b *testing.B, kind string) float64 {
	total := 0.0
	for _, node := range fleet.nodes {
		families, err := node.registry.Gather()
		require.NoError(b, err)
		for _, family := range families {
			if family.GetName() != "lacewingspoke_peer_bytes_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				var labels []string
				for _, label := range metric.GetLabel() {
					labels = append(labels, label.GetValue())
				}
				if strings.Join(labels, " ") == "sent "+kind {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
