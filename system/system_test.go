package system

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const (
	// testTimeout bounds one test; conditions are usually met much earlier.
	testTimeout = 80 * time.Second

	// maxClusters is how many clusters run at once.
	maxClusters = 4

	loadCallers  = 3
	streamTokens = 400
	tailLines    = 15
)

var (
	built    programs
	clusters = make(chan struct{}, maxClusters)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "system")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	output, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	built = programs{node: filepath.Join(dir, "lacewingspoke"), standin: filepath.Join(dir, "lacewingspoke-standin")}
	return m.Run()
}

// test is a cluster and the test that it belongs to.
type test struct {
	*cluster
	t *testing.T
}

// start starts a cluster in which every node has a grant for every replica.
func start(t *testing.T, nodes int) test {
	t.Parallel()
	clusters <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	started, err := newCluster(ctx, built, t.TempDir(), nodes)
	t.Cleanup(func() {
		cancel()
		started.stop()
		<-clusters
		if t.Failed() {
			for _, running := range started.nodes {
				t.Logf("%s:\n%s", running.name, running.tail(tailLines))
			}
		}
	})
	require.NoError(t, err)
	test := test{started, t}
	for _, target := range started.nodes {
		test.await("all replicas have a grant at "+target.name, func() bool {
			return len(started.granted(target)) == len(domains)
		})
	}
	test.await("all nodes are healthy", func() bool { return started.countHealthy() == nodes })
	return test
}

func (test test) await(what string, holds func() bool) {
	test.t.Helper()
	if poll(test.ctx, holds) {
		return
	}
	for _, target := range test.nodes {
		status, err := test.status(target)
		test.t.Logf("%s: %+v %v", target.name, status, err)
	}
	require.Fail(test.t, "timed out", what)
}

func (cluster *cluster) countHealthy() int {
	count := 0
	for _, target := range cluster.nodes {
		if cluster.healthy(target) {
			count++
		}
	}
	return count
}

// awaitMore waits until the load has had some more whole answers of each kind.
func (test test) awaitMore(load *load, kinds ...caller.Kind) {
	test.t.Helper()
	const more = 5
	for _, kind := range kinds {
		before := load.completed(kind)
		test.await(fmt.Sprintf("more answers to %ss", kind), func() bool { return load.completed(kind) >= before+more })
	}
}

func (test test) verify(results []caller.Result) {
	test.t.Helper()
	faults, err := test.check(results)
	require.NoError(test.t, err)
	for _, found := range faults {
		assert.Fail(test.t, found.String())
	}
}

// stream is a draft in progress.
type stream struct {
	prompt  string
	running chan struct{}
	result  chan caller.Result
}

// stream starts a long draft and waits until its caller has received some of
// it.
func (test test) stream(address, prompt string) *stream {
	started := &stream{prompt: prompt, running: make(chan struct{}), result: make(chan caller.Result, 1)}
	var once sync.Once
	client := test.callerOf(address)
	go func() {
		result := client.Draft(test.ctx, caller.Draft{
			Prompt: prompt, MaxTokens: streamTokens, Stream: true,
			Progress: func(events int) {
				if events >= 5 {
					once.Do(func() { close(started.running) })
				}
			},
		})
		started.result <- result
	}()
	select {
	case <-started.running:
	case result := <-started.result:
		require.Fail(test.t, "stream ended early", "%+v", result)
	}
	return started
}

// whole waits for the stream's end and requires a whole answer.
func (test test) whole(stream *stream) caller.Result {
	test.t.Helper()
	result := <-stream.result
	assert.Equal(test.t, caller.ToldComplete, result.Told, "told of %s: %+v", stream.prompt, result.Error)
	assert.Equal(test.t, engine.Answer(stream.prompt, streamTokens), result.Text)
	return result
}

// runs returns the runs of a prompt in order.
func (test test) runs(prompt string, event engine.Event) []engine.Line {
	lines, err := test.engineLines()
	require.NoError(test.t, err)
	var found []engine.Line
	for _, line := range lines {
		if line.Prompt == prompt && line.Event == event {
			found = append(found, line)
		}
	}
	return found
}

// group returns a node's view of one group.
func (test test) group(name string) admin.GroupStatus {
	for _, group := range test.granted(test.nodes[0]) {
		if group.Name == name {
			return group
		}
	}
	require.Fail(test.t, "group has no grant", name)
	return admin.GroupStatus{}
}

func (test test) vm(name string) *vm {
	for _, target := range test.engines {
		if target.name == name {
			return target
		}
	}
	require.Fail(test.t, "VM is unknown", name)
	return nil
}

// Guards against callers who are told something untrue when their node dies,
// and against a system that stops serving.
func TestNodeIsKilled(t *testing.T) {
	test := start(t, 3)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.nodes[0].kill()
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.await("another node leads both fabric domains", func() bool {
		led := 0
		for _, target := range test.nodes[1:] {
			if status, err := test.status(target); err == nil {
				led += len(status.Leads)
			}
		}
		return led == len(domains)
	})
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}

// Guards against a node that acts on an old lease, grant or claim after it was
// frozen, and against one that never becomes healthy again.
func TestNodeIsFrozen(t *testing.T) {
	test := start(t, 3)
	frozen := test.nodes[0]
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	require.NoError(t, frozen.signal(syscall.SIGSTOP))
	test.await("the other nodes lead the fabric domains", func() bool {
		led := 0
		for _, target := range test.nodes[1:] {
			if status, err := test.status(target); err == nil {
				led += len(status.Leads)
			}
		}
		return led == len(domains)
	})
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	require.NoError(t, frozen.signal(syscall.SIGCONT))
	test.await("the node is healthy again", func() bool { return test.healthy(frozen) })
	direct := startLoad(test.cluster, frozen.callers, "direct", 1)
	test.awaitMore(direct, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), direct.stop()...))
}

// Guards against an answer that ends on the output of a group that is missing
// a member, whichever member it is, and against a group that is not repaired.
func TestMemberIsKilledMidStream(t *testing.T) {
	for rank := range groupSize {
		t.Run(fmt.Sprintf("rank %d", rank), func(t *testing.T) {
			test := start(t, 2)
			stream := test.stream(test.balancer, "long prompt")
			broken := test.group(test.runs(stream.prompt, engine.EventStart)[0].Group)
			test.vm(broken.Members[rank]).kill()
			result := test.whole(stream)
			for _, run := range test.runs(stream.prompt, engine.EventEnd) {
				if run.End == engine.EndDone {
					assert.NotEqual(t, broken.Epoch, epochOf(run, broken.Name), "the broken group completed the answer")
				}
			}
			test.await("the group is repaired with the spare", func() bool {
				for _, group := range test.granted(test.nodes[0]) {
					if group.Name == broken.Name && group.Epoch > broken.Epoch {
						return true
					}
				}
				return false
			})
			test.verify([]caller.Result{result})
		})
	}
}

// epochOf returns the epoch of a run on the group, 0 for another group.
func epochOf(run engine.Line, group string) uint64 {
	if run.Group != group {
		return 0
	}
	return run.Epoch
}

// Guards against drafts that stop in a store outage, keyed bookings that run
// without a claim, and a configuration that is lost.
func TestStoreOutage(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Refuse, fault.Pause} {
		t.Run(string(kind), func(t *testing.T) {
			test := start(t, 2)
			load := startLoad(test.cluster, test.balancer, "load", loadCallers)
			test.awaitMore(load, caller.KindDraft, caller.KindBooking)
			require.NoError(t, test.order(test.storeControl, fault.Order{Fault: kind}))
			client := test.callerOf(test.balancer)
			var refused caller.Result
			test.await("a keyed booking is told not-run", func() bool {
				refused = client.Book(test.ctx, "outage", "outage")
				return refused.Told == caller.ToldNotRun
			})
			bare := client.Book(test.ctx, "bare", "")
			assert.Equal(t, caller.ToldComplete, bare.Told, bare.Error)
			test.awaitMore(load, caller.KindDraft)
			added, err := test.startNode()
			require.NoError(t, err)
			require.NoError(t, test.awaitStarted(added))
			test.await("a node started in the outage is healthy", func() bool { return test.healthy(added) })
			fresh := test.callerOf(added.callers).Draft(test.ctx, caller.Draft{Prompt: "fresh", MaxTokens: loadTokens})
			assert.Equal(t, caller.ToldComplete, fresh.Told, fresh.Error)
			require.NoError(t, test.order(test.storeControl, fault.Order{Fault: fault.Clear}))
			test.awaitMore(load, caller.KindBooking)
			var again caller.Result
			test.await("the booking is complete after the outage", func() bool {
				again = client.Book(test.ctx, "outage", "outage")
				return again.Told == caller.ToldComplete
			})
			test.verify(append(load.stop(), refused, bare, fresh, again))
		})
	}
}

// Guards against planned stops of a node that cut off a request or refuse one
// that could have been served.
func TestNodeStops(t *testing.T) {
	test := start(t, 2)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	stopping := test.nodes[0]
	stream := test.stream(stopping.callers, "long prompt")
	require.NoError(t, stopping.signal(syscall.SIGTERM))
	test.await("the health check fails", func() bool { return !test.healthy(stopping) })
	result := test.whole(stream)
	test.await("the node has ended", func() bool {
		select {
		case <-stopping.ended:
			return true
		default:
			return false
		}
	})
	assert.NoError(t, stopping.failure)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	results := load.stop()
	for _, told := range results {
		assert.Equal(t, caller.ToldComplete, told.Told, "%+v", told)
	}
	test.verify(append(results, result))
}

// Guards against a drain that cuts off a request, and against new work for a
// target that is leaving.
func TestTargetIsDrained(t *testing.T) {
	test := start(t, 2)
	stream := test.stream(test.balancer, "long prompt")
	drained := test.group(test.runs(stream.prompt, engine.EventStart)[0].Group)
	require.NoError(t, test.operate("drain", drained.Members[0], "--reason", "test"))
	test.await("every node has closed the gate", func() bool {
		for _, target := range test.nodes {
			status, err := test.status(target)
			if err != nil || len(status.Leaving) == 0 {
				return false
			}
		}
		return true
	})
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft)
	result := test.whole(stream)
	ends := test.runs(stream.prompt, engine.EventEnd)
	require.Len(t, ends, 1, "the stream was moved")
	test.await("the group serves without the drained VM", func() bool {
		for _, group := range test.granted(test.nodes[0]) {
			if group.Name == drained.Name && group.Epoch > drained.Epoch {
				return true
			}
		}
		return false
	})
	results := load.stop()
	for _, told := range results {
		assert.Equal(t, caller.ToldComplete, told.Told, "%+v", told)
	}
	lines, err := test.engineLines()
	require.NoError(t, err)
	for _, line := range lines {
		assert.NotEqual(t, engine.EndCut, line.End, "%+v", line)
		if line.Event == engine.EventStart && line.Prompt != stream.prompt {
			assert.NotEqual(t, drained.Epoch, epochOf(line, drained.Name), "new work for a leaving target: %+v", line)
		}
	}
	test.verify(append(results, result))
}

// Guards against callers who wait for a connection that went silent.
func TestEngineConnectionsGoSilent(t *testing.T) {
	test := start(t, 2)
	stream := test.stream(test.balancer, "long prompt")
	silent := test.group(test.runs(stream.prompt, engine.EventStart)[0].Group)
	require.NoError(t, test.order(test.vm(silent.Members[0]).control, fault.Order{Fault: fault.Silent}))
	result := test.whole(stream)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), result))
}
