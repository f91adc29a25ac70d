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

// The relays that are compared in docs/relay.md.
const (
	relayFlood  = "flood"
	relayTree   = "tree"
	relaySubset = "subset"
)

const (
	benchGroupsPerLeader = 8
	benchNodesPerLeader  = 6

	// benchSubset is the part of the groups that a node uses under relaySubset,
	// as a divisor.
	benchSubset = 4
)

// benchFleet is the meshes of one benchmark on loopback.
type benchFleet struct {
	relay   string
	members []*member
	links   map[*member]map[*member]bool
	nodes   map[string]*benchNode
	leaders []string
	missing atomic.Int64
	arrived chan struct{}
	wants   map[string]map[string]bool

	// children[origin][node] is where a node sends the frames of an origin.
	children map[string]map[string][]string
	// needs[origin][node] is what the node and those below it use.
	needs map[string]map[string]map[string]bool
}

type benchNode struct {
	name     string
	mesh     *peer.Mesh
	registry *prometheus.Registry
	versions *Versions
}

// BenchmarkRelay measures one publication of every leader until every node has
// it. Grants are counted as encoded, digests by the size of their encoding.
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
		readers.Go(func() { fleet.read(ctx, node) })
	}
	fleet.publish(b, 1)
	before, cpu := fleet.counted(b, "grants"), cpuTime()
	version := uint64(1)
	for b.Loop() {
		version++
		fleet.publish(b, version)
	}
	spent := cpuTime() - cpu
	rounds := float64(version - 1)
	nodes := float64(size)
	groups := float64(len(fleet.leaders) * benchGroupsPerLeader)
	b.ReportMetric((fleet.counted(b, "grants")-before)/rounds/nodes, "grant-B/node/round")
	b.ReportMetric((fleet.counted(b, "grants")-before)/rounds/nodes/groups, "grant-B/group/node/round")
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
		relay:    relay,
		members:  members,
		links:    linksOf(members),
		nodes:    map[string]*benchNode{},
		arrived:  make(chan struct{}, 1),
		wants:    map[string]map[string]bool{},
		children: map[string]map[string][]string{},
		needs:    map[string]map[string]map[string]bool{},
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
	fleet.plan()
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

// awaitLinks waits until every link is up, and long enough for duplicate ones
// to be gone.
func (fleet *benchFleet) awaitLinks(b *testing.B) {
	for _, member := range fleet.members {
		mesh := fleet.nodes[member.node.Name].mesh
		for len(mesh.Linked()) < len(fleet.links[member]) {
			event := <-mesh.Events()
			if down, is := event.(peer.LinkDown); is {
				b.Logf("%s lost its link to %s: %s", member.node.Name, down.Name, down.Reason)
			}
		}
	}
}

// plan takes the relay tree of every leader and computes what is used below
// each node.
func (fleet *benchFleet) plan() {
	for _, member := range fleet.members {
		name := member.node.Name
		fleet.wants[name] = map[string]bool{}
		for _, leader := range fleet.leaders {
			for _, group := range benchGroups(leader) {
				wanted := fleet.relay != relaySubset || score(member.hash, hashName(group))%benchSubset == 0
				fleet.wants[name][group] = wanted
			}
		}
	}
	for _, leader := range fleet.leaders {
		fleet.children[leader] = map[string][]string{}
		fleet.needs[leader] = map[string]map[string]bool{}
		fleet.planTree(leader)
	}
}

func (fleet *benchFleet) planTree(leader string) {
	trees := newRelay(fleet.members)
	root := trees.places[leader]
	parents := trees.parents(root)
	for place := range parents {
		for below, node := place, fleet.members[place].node.Name; ; below = parents[below] {
			needs := fleet.need(leader, fleet.members[below].node.Name)
			for _, group := range benchGroups(leader) {
				needs[group] = needs[group] || fleet.wants[node][group]
			}
			if below == root {
				break
			}
		}
	}
	for place, parent := range parents {
		node := fleet.members[place].node.Name
		if place != root && slices.ContainsFunc(benchGroups(leader), func(group string) bool { return fleet.needs[leader][node][group] }) {
			above := fleet.members[parent].node.Name
			fleet.children[leader][above] = append(fleet.children[leader][above], node)
		}
	}
}

func (fleet *benchFleet) need(leader, node string) map[string]bool {
	if fleet.needs[leader][node] == nil {
		fleet.needs[leader][node] = map[string]bool{}
	}
	return fleet.needs[leader][node]
}

func benchGroups(leader string) []string {
	var groups []string
	for index := range benchGroupsPerLeader {
		groups = append(groups, fmt.Sprintf("%s-draft-%d", leader, index))
	}
	return groups
}

// publish lets every leader publish once and waits for all nodes.
func (fleet *benchFleet) publish(b *testing.B, version uint64) {
	fleet.missing.Store(fleet.deliveries())
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
	case <-fleet.arrived:
	case <-time.After(30 * time.Second):
		b.Fatalf("%d deliveries of version %d are missing", fleet.missing.Load(), version)
	}
}

// deliveries is the number of first arrivals in a round.
func (fleet *benchFleet) deliveries() int64 {
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

func (fleet *benchFleet) read(ctx context.Context, node *benchNode) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-node.mesh.Events():
			received, is := event.(peer.Received)
			if !is {
				continue
			}
			frame, is := received.Frame.(peer.Grants)
			if !is || !node.versions.Advance(frame.Origin, frame.Incarnation, frame.Version) || frame.Origin == node.name {
				continue
			}
			fleet.forward(node, frame, received.From)
			if fleet.missing.Add(-1) == 0 {
				fleet.arrived <- struct{}{}
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
		node.mesh.Send(child, fleet.part(frame, child))
	}
}

// part returns the groups of a frame that are used at or below a child.
func (fleet *benchFleet) part(frame peer.Grants, child string) peer.Grants {
	if fleet.relay == relayTree {
		return frame
	}
	needs := fleet.needs[frame.Origin][child]
	frame.Groups = slices.DeleteFunc(slices.Clone(frame.Groups), func(group peer.GroupGrant) bool { return !needs[group.Group] })
	return frame
}

// benchDigest is what would go over a link outside the tree: the newest version
// of each origin, by its number in the sorted list of nodes.
type benchDigest struct {
	Origin  uint16
	Version uint64
}

// digestBytes returns the bytes of the digests of one round over the links that
// are not in the tree, in both directions.
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

// counted returns the bytes sent of a kind by all nodes.
func (fleet *benchFleet) counted(b *testing.B, kind string) float64 {
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
