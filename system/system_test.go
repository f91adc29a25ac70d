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
	// testTimeout limits one test. Conditions are usually met much earlier.
	testTimeout = 80 * time.Second

	// maxClusters is the number of clusters that run concurrently.
	maxClusters = 4

	loadCallers  = 3
	streamTokens = 400

	// earlyTokens and lateTokens are numbers of received tokens after which a
	// stream is disturbed. After lateTokens the engine needs much less time
	// for the rest of the answer than a grant needs to expire.
	earlyTokens = 5
	lateTokens  = streamTokens - 5
	tailLines   = 15
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

// test is a cluster and the test that uses it.
type test struct {
	*cluster
	t *testing.T
}

// start starts a cluster and waits until every node is healthy and has a grant
// for every replica.
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
			return len(started.grantedGroups(target)) == len(domains)
		})
	}
	test.await("all nodes are healthy", func() bool { return started.countHealthy() == nodes })
	return test
}

func (test test) await(what string, condition func() bool) {
	test.t.Helper()
	if poll(test.ctx, condition) {
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

// awaitMoreAnswers waits until the load has received five more whole answers of
// each kind.
func (test test) awaitMoreAnswers(load *load, kinds ...caller.Kind) {
	test.t.Helper()
	const more = 5
	for _, kind := range kinds {
		before := load.completed(kind)
		test.await(fmt.Sprintf("more answers to %ss", kind), func() bool { return load.completed(kind) >= before+more })
	}
}

func (test test) verify(results []caller.Result) {
	test.t.Helper()
	faults, err := test.checkResults(results)
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
	client := test.newCaller(address)
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

// awaitWholeAnswer waits for the end of the stream and asserts that its answer is
// whole.
func (test test) awaitWholeAnswer(stream *stream) caller.Result {
	test.t.Helper()
	result := <-stream.result
	assert.Equal(test.t, caller.OutcomeComplete, result.Outcome, "outcome of %s: %+v", stream.prompt, result.Error)
	assert.Equal(test.t, engine.Answer(stream.prompt, streamTokens), result.Text)
	return result
}

// recordLines returns the lines of one event in the engines' records that belong
// to a prompt. The lines of one engine are in order.
func (test test) recordLines(prompt string, event engine.Event) []engine.RecordLine {
	lines, err := test.engineLines()
	require.NoError(test.t, err)
	var found []engine.RecordLine
	for _, line := range lines {
		if line.Prompt == prompt && line.Event == event {
			found = append(found, line)
		}
	}
	return found
}

// groupStatus returns the status of one group at the first node.
func (test test) groupStatus(name string) admin.GroupStatus {
	status, err := test.status(test.nodes[0])
	require.NoError(test.t, err)
	for _, group := range status.Groups {
		if group.Name == name {
			return group
		}
	}
	require.Fail(test.t, "node does not report the group", name)
	return admin.GroupStatus{}
}

func (test test) vmByName(name string) *vm {
	for _, target := range test.engines {
		if target.name == name {
			return target
		}
	}
	require.Fail(test.t, "cluster has no such VM", name)
	return nil
}

// awaitLeaders waits until the given nodes lead all fabric domains.
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

// Guards against outcomes that contradict the records after a node is killed,
// and against a system that then stops serving requests.
func TestServingContinuesAfterNodeIsKilled(t *testing.T) {
	test := start(t, 3)
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.nodes[0].Kill()
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.awaitLeaders(test.nodes[1:])
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}

// Guards against a node that, after it was suspended, acts on a lease, grant or
// claim that has expired, and against one that does not become healthy again.
func TestSuspendedNodeBecomesHealthyAgain(t *testing.T) {
	test := start(t, 3)
	suspended := test.nodes[0]
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	require.NoError(t, suspended.Signal(syscall.SIGSTOP))
	test.awaitLeaders(test.nodes[1:])
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	require.NoError(t, suspended.Signal(syscall.SIGCONT))
	test.await("the node is healthy again", func() bool { return test.healthy(suspended) })
	direct := startLoad(test.cluster, suspended.callers, "direct", 1)
	test.awaitMoreAnswers(direct, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), direct.stop()...))
}

// Guards against an answer whose end was generated by a group with a failed
// member, whatever its rank, and against a group that is not repaired.
func TestStreamCompletesElsewhereAfterMemberIsKilled(t *testing.T) {
	tests := []struct {
		name     string
		rank     int
		received int
	}{
		{"generating member", 0, earlyTokens},
		{"other member", 1, earlyTokens},
		{"other member near the end", 1, lateTokens},
	}
	for _, kill := range tests {
		t.Run(kill.name, func(t *testing.T) {
			test := start(t, 2)
			for _, target := range test.engines {
				require.NoError(t, test.startFault(target.control, fault.Order{Fault: engine.FaultHold, Count: kill.received}))
			}
			stream := test.stream(test.balancerAddress, "long prompt", kill.received)
			broken := test.groupStatus(test.recordLines(stream.prompt, engine.EventStart)[0].Group)
			killed := test.vmByName(broken.Members[kill.rank])
			killed.Kill()
			for _, target := range test.engines {
				if target != killed {
					require.NoError(t, test.startFault(target.control, fault.Order{Fault: fault.Clear}))
				}
			}
			result := test.awaitWholeAnswer(stream)
			assert.True(t, test.completedElsewhere(stream.prompt, broken), "the broken group completed the answer")
			test.awaitRepaired(broken)
			test.verify([]caller.Result{result})
		})
	}
}

// completedElsewhere reports whether a group other than the broken one, or the
// broken one at a new epoch, generated the end of the answer.
func (test test) completedElsewhere(prompt string, broken admin.GroupStatus) bool {
	for _, run := range test.recordLines(prompt, engine.EventEnd) {
		if run.End == engine.EndDone && epochOf(run, broken.Name) != broken.Epoch {
			return true
		}
	}
	return false
}

func (test test) awaitRepaired(broken admin.GroupStatus) {
	test.t.Helper()
	test.await("the group has a grant at a new epoch", func() bool {
		for _, group := range test.grantedGroups(test.nodes[0]) {
			if group.Name == broken.Name && group.Epoch > broken.Epoch {
				return true
			}
		}
		return false
	})
}

// epochOf returns the epoch of a run on the group, or 0 if the run was on another
// group.
func epochOf(run engine.RecordLine, group string) uint64 {
	if run.Group != group {
		return 0
	}
	return run.Epoch
}

// Guards against drafts that fail during a store outage, bookings with a key
// that run without a claim, and a node that gets no configuration because it
// starts during the outage.
func TestServingContinuesDuringStoreOutage(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Refuse, fault.Pause} {
		t.Run(string(kind), func(t *testing.T) {
			test := start(t, 2)
			load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
			test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
			require.NoError(t, test.startFault(test.storeControl, fault.Order{Fault: kind}))
			client := test.newCaller(test.balancerAddress)
			var refused caller.Result
			test.await("a booking with a key has outcome not-run", func() bool {
				refused = client.Book(test.ctx, "outage", "outage")
				return refused.Outcome == caller.OutcomeNotRun
			})
			withoutKey := client.Book(test.ctx, "bare", "")
			assert.Equal(t, caller.OutcomeComplete, withoutKey.Outcome, withoutKey.Error)
			test.awaitMoreAnswers(load, caller.KindDraft)
			added, err := test.startNode()
			require.NoError(t, err)
			require.NoError(t, test.awaitStarted(added))
			test.await("a node started in the outage is healthy", func() bool { return test.healthy(added) })
			fresh := test.newCaller(added.callers).Draft(test.ctx, caller.Draft{Prompt: "fresh", MaxTokens: loadTokens})
			assert.Equal(t, caller.OutcomeComplete, fresh.Outcome, fresh.Error)
			require.NoError(t, test.startFault(test.storeControl, fault.Order{Fault: fault.Clear}))
			test.awaitMoreAnswers(load, caller.KindBooking)
			var again caller.Result
			test.await("the booking is complete after the outage", func() bool {
				again = client.Book(test.ctx, "outage", "outage")
				return again.Outcome == caller.OutcomeComplete
			})
			test.verify(append(load.stop(), refused, withoutKey, fresh, again))
		})
	}
}

// logTime returns the time at which a process logged a message, in seconds.
func (test test) logTime(running *process.Process, message string) float64 {
	var line struct {
		Time    float64 `json:"ts"`
		Message string  `json:"msg"`
	}
	for text := range strings.Lines(running.Tail(math.MaxInt)) {
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == message {
			return line.Time
		}
	}
	require.Fail(test.t, "process did not log the message", message)
	return 0
}

// Guards against a planned stop of a node that interrupts a request, or refuses
// one that the node could still serve.
func TestStoppingNodeCompletesRequests(t *testing.T) {
	test := start(t, 2)
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	stopping := test.nodes[0]
	stream := test.stream(stopping.callers, "long prompt", earlyTokens)
	require.NoError(t, stopping.Signal(syscall.SIGTERM))
	test.await("the health check fails", func() bool { return !test.healthy(stopping) })
	result := test.awaitWholeAnswer(stream)
	test.await("the node has ended", func() bool {
		select {
		case <-stopping.Ended():
			return true
		default:
			return false
		}
	})
	assert.NoError(t, stopping.Failure())
	notice := test.logTime(stopping.Process, "entry stopped accepting requests") - test.logTime(stopping.Process, "stopping")
	assert.GreaterOrEqual(t, notice, stopNotice.Seconds()-time.Millisecond.Seconds(), "time from the start of the stop until the listener was closed")
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	results := load.stop()
	for _, answer := range results {
		assert.Equal(t, caller.OutcomeComplete, answer.Outcome, "%+v", answer)
	}
	test.verify(append(results, result))
}

// Guards against a drain that interrupts a request, and against new requests for
// a target that is draining.
func TestDrainedTargetCompletesRequests(t *testing.T) {
	test := start(t, 2)
	stream := test.stream(test.balancerAddress, "long prompt", earlyTokens)
	drained := test.groupStatus(test.recordLines(stream.prompt, engine.EventStart)[0].Group)
	require.NoError(t, test.runOperatorCommand("drain", drained.Members[0], "--reason", "test"))
	test.await("every node reports the drained target as leaving", func() bool {
		for _, target := range test.nodes {
			status, err := test.status(target)
			if err != nil || len(status.Leaving) == 0 {
				return false
			}
		}
		return true
	})
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft)
	result := test.awaitWholeAnswer(stream)
	ends := test.recordLines(stream.prompt, engine.EventEnd)
	require.Len(t, ends, 1, "the stream was moved")
	test.awaitRepaired(drained)
	results := load.stop()
	for _, answer := range results {
		assert.Equal(t, caller.OutcomeComplete, answer.Outcome, "%+v", answer)
	}
	lines, err := test.engineLines()
	require.NoError(t, err)
	for _, line := range lines {
		assert.NotEqual(t, engine.EndCut, line.End, "%+v", line)
		if line.Event == engine.EventStart && line.Prompt != stream.prompt {
			assert.NotEqual(t, drained.Epoch, epochOf(line, drained.Name), "new request for a draining target: %+v", line)
		}
	}
	test.verify(append(results, result))
}

// Guards against a drain that is ignored because the platform's VM list still
// contains an earlier incarnation of the VM.
func TestTargetIsDrainedWithStaleVMList(t *testing.T) {
	test := start(t, 2)
	require.NoError(t, test.publishVMs("earlier-"))
	test.awaitVMListRead()
	status, err := test.status(test.nodes[0])
	require.NoError(t, err)
	drained := status.Groups[0]
	require.NoError(t, test.runOperatorCommand("drain", drained.Members[0], "--reason", "test"))
	test.awaitRepaired(drained)
	assert.NotContains(t, test.groupStatus(drained.Name).Members, drained.Members[0])
}

// awaitVMListRead waits until every node has begun and finished one more read of
// the VM list.
func (test test) awaitVMListRead() {
	test.t.Helper()
	before := test.vmListReads()
	// All nodes read the list at the same interval, so twice as many reads as
	// nodes include one read of each node that begins after this moment.
	enough := before + 2*len(test.nodes) + 1
	test.await("every node has read the VM list", func() bool { return test.vmListReads() >= enough })
}

func (test test) vmListReads() int {
	var counters struct{ Counters []store.Counter }
	require.NoError(test.t, test.get("http://"+test.storeControl+"/counters", &counters))
	for _, counter := range counters.Counters {
		if counter.Kind == "vms" {
			return counter.Calls
		}
	}
	return 0
}

// Guards against callers that wait for an engine whose open connections are
// silent.
func TestStreamCompletesAfterEngineGoesSilent(t *testing.T) {
	test := start(t, 2)
	stream := test.stream(test.balancerAddress, "long prompt", earlyTokens)
	silent := test.groupStatus(test.recordLines(stream.prompt, engine.EventStart)[0].Group)
	require.NoError(t, test.startFault(test.vmByName(silent.Members[0]).control, fault.Order{Fault: fault.Silent}))
	result := test.awaitWholeAnswer(stream)
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.verify(append(load.stop(), result))
}

// Guards against bookings that run twice because the response of a service or of
// the store was lost after the call had taken effect.
func TestBookingsRunOnceWhenResponsesAreLost(t *testing.T) {
	const lost = 10
	test := start(t, 2)
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindBooking)
	for _, address := range test.serviceAddresses {
		require.NoError(t, test.startFault(address, fault.Order{Fault: fault.DropAnswer, Count: lost}))
	}
	test.awaitMoreAnswers(load, caller.KindBooking)
	claims := fault.Order{Fault: fault.DropAnswer, Count: lost, Prefix: "booking/"}
	require.NoError(t, test.startFault(test.storeControl, claims))
	test.awaitMoreAnswers(load, caller.KindBooking)
	results := load.stop()
	unknown := 0
	for _, result := range results {
		if result.Kind == caller.KindBooking && result.Outcome == caller.OutcomeUnknown {
			unknown++
		}
	}
	assert.NotZero(t, unknown, "no service answer was lost")
	test.verify(results)
}

// Guards against a system that stops serving requests when a node, a service and
// all VMs of one failure domain fail at the same time.
func TestServingContinuesAfterFailureDomainIsLost(t *testing.T) {
	test := start(t, 3)
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.nodes[0].Kill()
	for _, target := range test.engines {
		if target.domain == domains[0] {
			target.Kill()
		}
	}
	test.services[0].Kill()
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}

// Guards against a node that ends on SIGHUP, and against invalid settings that
// replace the valid ones in use.
func TestNodeReloadsSettingsOnSIGHUP(t *testing.T) {
	test := start(t, 1)
	node := test.nodes[0]
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft)
	require.NoError(t, node.Signal(syscall.SIGHUP))
	_, err := node.AwaitLine(test.ctx, `"settings read again"`)
	require.NoError(t, err)
	file := filepath.Join(test.dir, node.name+".ini")
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = \n"), 0o600))
	require.NoError(t, node.Signal(syscall.SIGHUP))
	_, err = node.AwaitLine(test.ctx, `"settings rejected"`)
	require.NoError(t, err)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	test.verify(load.stop())
}
