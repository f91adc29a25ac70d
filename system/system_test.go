package system

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	"lacewingspoke.org/lacewingspoke/standin/process"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

const (
	// testTimeout bounds one test; conditions are usually met much earlier.
	testTimeout = 80 * time.Second

	// maxClusters is how many clusters run at once.
	maxClusters = 4

	loadCallers  = 3
	streamTokens = 400

	// beginning and nearEnd are received tokens at which a stream is
	// disturbed. From nearEnd the engine is done long before a grant expires.
	beginning = 5
	nearEnd   = streamTokens - 5
	tailLines = 15
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
				t.Logf("%s:\n%s", running.Name(), running.Tail(tailLines))
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

// stream starts a long draft and waits until its caller has received a number
// of tokens.
func (test test) stream(address, prompt string, received int) *stream {
	started := &stream{prompt: prompt, running: make(chan struct{}), result: make(chan caller.Result, 1)}
	var once sync.Once
	client := test.callerOf(address)
	go func() {
		result := client.Draft(test.ctx, caller.Draft{
			Prompt: prompt, MaxTokens: streamTokens, Stream: true,
			Progress: func(events int) {
				if events >= received {
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
	status, err := test.status(test.nodes[0])
	require.NoError(test.t, err)
	for _, group := range status.Groups {
		if group.Name == name {
			return group
		}
	}
	require.Fail(test.t, "group is unknown", name)
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

// awaitLeaders waits until the nodes lead all fabric domains.
func (test test) awaitLeaders(nodes []*node) {
	test.t.Helper()
	test.await("the nodes lead all fabric domains", func() bool {
		led := 0
		for _, target := range nodes {
			if status, err := test.status(target); err == nil {
				led += len(status.Leads)
			}
		}
		return led == len(domains)
	})
}

// Guards against callers who are told something untrue when their node dies,
// and against a system that stops serving.
func TestNodeIsKilled(t *testing.T) {
	test := start(t, 3)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.nodes[0].Kill()
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.awaitLeaders(test.nodes[1:])
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
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	test.awaitLeaders(test.nodes[1:])
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	test.await("the node is healthy again", func() bool { return test.healthy(frozen) })
	direct := startLoad(test.cluster, frozen.callers, "direct", 1)
	test.awaitMore(direct, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), direct.stop()...))
}

// Guards against an answer that ends on the output of a group that is missing
// a member, whichever member it is, and against a group that is not repaired.
func TestMemberIsKilledMidStream(t *testing.T) {
	tests := []struct {
		name     string
		rank     int
		received int
	}{
		{"generating member", 0, beginning},
		{"other member", 1, beginning},
		{"other member near the end", 1, nearEnd},
	}
	for _, kill := range tests {
		t.Run(kill.name, func(t *testing.T) {
			test := start(t, 2)
			for _, target := range test.engines {
				require.NoError(t, test.order(target.control, fault.Order{Fault: engine.FaultHold, Count: kill.received}))
			}
			stream := test.stream(test.balancer, "long prompt", kill.received)
			broken := test.group(test.runs(stream.prompt, engine.EventStart)[0].Group)
			killed := test.vm(broken.Members[kill.rank])
			killed.Kill()
			for _, target := range test.engines {
				if target != killed {
					require.NoError(t, test.order(target.control, fault.Order{Fault: fault.Clear}))
				}
			}
			result := test.whole(stream)
			assert.True(t, test.completedElsewhere(stream.prompt, broken), "the broken group completed the answer")
			test.awaitRepaired(broken)
			test.verify([]caller.Result{result})
		})
	}
}

// completedElsewhere reports whether a group other than the broken one took
// part in the answer up to its end.
func (test test) completedElsewhere(prompt string, broken admin.GroupStatus) bool {
	for _, run := range test.runs(prompt, engine.EventEnd) {
		if run.End == engine.EndDone && epochOf(run, broken.Name) != broken.Epoch {
			return true
		}
	}
	return false
}

func (test test) awaitRepaired(broken admin.GroupStatus) {
	test.t.Helper()
	test.await("the group has a grant at a new epoch", func() bool {
		for _, group := range test.granted(test.nodes[0]) {
			if group.Name == broken.Name && group.Epoch > broken.Epoch {
				return true
			}
		}
		return false
	})
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

// logged returns when a process logged a message, in seconds.
func (test test) logged(running *process.Process, message string) float64 {
	var line struct {
		Time    float64 `json:"ts"`
		Message string  `json:"msg"`
	}
	for text := range strings.Lines(running.Tail(math.MaxInt)) {
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == message {
			return line.Time
		}
	}
	require.Fail(test.t, "message is not in the log", message)
	return 0
}

// Guards against planned stops of a node that cut off a request or refuse one
// that could have been served.
func TestNodeStops(t *testing.T) {
	test := start(t, 2)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	stopping := test.nodes[0]
	stream := test.stream(stopping.callers, "long prompt", beginning)
	require.NoError(t, stopping.Signal(syscall.SIGTERM))
	test.await("the health check fails", func() bool { return !test.healthy(stopping) })
	result := test.whole(stream)
	test.await("the node has ended", func() bool {
		select {
		case <-stopping.Ended():
			return true
		default:
			return false
		}
	})
	assert.NoError(t, stopping.Failure())
	notice := test.logged(stopping.Process, "entry stopped accepting requests") - test.logged(stopping.Process, "stopping")
	assert.GreaterOrEqual(t, notice, stopNotice.Seconds()-time.Millisecond.Seconds(), "time in which the listener was open")
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
	stream := test.stream(test.balancer, "long prompt", beginning)
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
	test.awaitRepaired(drained)
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

// Guards against a drain that is lost because the platform's list still has an
// earlier incarnation of the VM.
func TestTargetIsDrainedWhileListLags(t *testing.T) {
	test := start(t, 2)
	require.NoError(t, test.publishVMs("earlier-"))
	test.awaitListRead()
	status, err := test.status(test.nodes[0])
	require.NoError(t, err)
	drained := status.Groups[0]
	require.NoError(t, test.operate("drain", drained.Members[0], "--reason", "test"))
	test.awaitRepaired(drained)
	assert.NotContains(t, test.group(drained.Name).Members, drained.Members[0])
}

// awaitListRead waits until every node has read the VM list once more.
func (test test) awaitListRead() {
	test.t.Helper()
	before := test.listReads()
	// The nodes read at one interval, so that twice as many reads include one
	// of each node that began after now.
	enough := before + 2*len(test.nodes) + 1
	test.await("every node has read the VM list", func() bool { return test.listReads() >= enough })
}

func (test test) listReads() int {
	var counters struct{ Counters []store.Counter }
	require.NoError(test.t, test.get("http://"+test.storeControl+"/counters", &counters))
	for _, counter := range counters.Counters {
		if counter.Kind == "vms" {
			return counter.Calls
		}
	}
	return 0
}

// Guards against callers who wait for a connection that went silent.
func TestEngineConnectionsGoSilent(t *testing.T) {
	test := start(t, 2)
	stream := test.stream(test.balancer, "long prompt", beginning)
	silent := test.group(test.runs(stream.prompt, engine.EventStart)[0].Group)
	require.NoError(t, test.order(test.vm(silent.Members[0]).control, fault.Order{Fault: fault.Silent}))
	result := test.whole(stream)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), result))
}

// Guards against bookings that run twice because the answer of a service or of
// the store was lost after the effect.
func TestBookingAnswersAreLost(t *testing.T) {
	const lost = 10
	test := start(t, 2)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindBooking)
	for _, address := range test.addresses {
		require.NoError(t, test.order(address, fault.Order{Fault: fault.DropAnswer, Count: lost}))
	}
	test.awaitMore(load, caller.KindBooking)
	claims := fault.Order{Fault: fault.DropAnswer, Count: lost, Prefix: "booking/"}
	require.NoError(t, test.order(test.storeControl, claims))
	test.awaitMore(load, caller.KindBooking)
	results := load.stop()
	unknown := 0
	for _, result := range results {
		if result.Kind == caller.KindBooking && result.Told == caller.ToldUnknown {
			unknown++
		}
	}
	assert.NotZero(t, unknown, "no service answer was lost")
	test.verify(results)
}

// Guards against a system that stops serving when all VMs of one failure
// domain and a node there are lost at once.
func TestFailureDomainIsLost(t *testing.T) {
	test := start(t, 3)
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.nodes[0].Kill()
	for _, target := range test.engines {
		if target.domain == domains[0] {
			target.Kill()
		}
	}
	test.services[0].Kill()
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}

// Guards against a node that a SIGHUP ends, and against settings with faults
// that replace sound ones.
func TestNodeReadsItsSettingsAgain(t *testing.T) {
	test := start(t, 1)
	node := test.nodes[0]
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft)
	require.NoError(t, node.Signal(syscall.SIGHUP))
	_, err := node.AwaitLine(test.ctx, `"settings read again"`)
	require.NoError(t, err)
	file := filepath.Join(test.dir, node.name+".ini")
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = \n"), 0o600))
	require.NoError(t, node.Signal(syscall.SIGHUP))
	_, err = node.AwaitLine(test.ctx, `"settings rejected"`)
	require.NoError(t, err)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}
