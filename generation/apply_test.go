package generation_test

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// fault is an injected fault of one store call.
type fault int

const (
	faultNone fault = iota
	faultRefused
	faultLostRequest
	faultLostAnswer
	faultDelayed
	faultLate
	faultCount
)

var errTest = errors.New("test fault")

// fakeStore is a store in memory. Delayed writes take effect after the next call,
// late ones only in settle.
type fakeStore struct {
	head     generation.Head
	revision uint64
	bodies   map[string]*generation.Body
	delayed  []func()
	late     []func()

	// redundant is true when a read had a fault that differs from faultRefused
	// only for writes, so that another combination covers the same case.
	redundant bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{bodies: map[string]*generation.Body{}}
}

// accept makes the body the current configuration.
func (store *fakeStore) accept(body *generation.Body) {
	store.bodies[body.Head().BodyKey()] = body
	store.head = body.Head()
	store.revision += 2
}

// swap executes a compare-and-swap of the head.
func (store *fakeStore) swap(step generation.SwapHead) kvstore.PutOutcome {
	if !step.Expect.Any() && step.Expect.Revision() != store.revision {
		return kvstore.Conflict{Revision: store.revision}
	}
	head, err := generation.DecodeHead(step.Value)
	if err != nil {
		return kvstore.Refused{Err: err}
	}
	store.head = head
	store.revision += 2
	return kvstore.Written{Revision: store.revision}
}

func (store *fakeStore) write(step generation.WriteBody) kvstore.PutOutcome {
	if store.bodies[step.Key] != nil {
		return kvstore.Conflict{Revision: 1}
	}
	body, err := generation.DecodeBody(step.Value)
	if err != nil {
		return kvstore.Refused{Err: err}
	}
	store.bodies[step.Key] = body
	return kvstore.Written{Revision: 1}
}

// put returns the result of a write with the fault. effect executes the write.
func (store *fakeStore) put(fault fault, effect func() kvstore.PutOutcome) generation.Event {
	switch fault {
	case faultRefused:
		return generation.PutDone{Outcome: kvstore.Refused{Err: errTest}}
	case faultLostAnswer:
		effect()
		return generation.PutDone{Outcome: kvstore.Unknown{Err: errTest}}
	case faultDelayed:
		store.delayed = append(store.delayed, func() { effect() })
		return generation.PutDone{Outcome: kvstore.Unknown{Err: errTest}}
	case faultLate:
		store.late = append(store.late, func() { effect() })
		return generation.PutDone{Outcome: kvstore.Unknown{Err: errTest}}
	case faultLostRequest:
		return generation.PutDone{Outcome: kvstore.Unknown{Err: errTest}}
	default:
		return generation.PutDone{Outcome: effect()}
	}
}

// execute runs one step with the fault. Writes that earlier steps delayed take
// effect after it.
func (store *fakeStore) execute(step generation.Step, fault fault) generation.Event {
	due := store.delayed
	store.delayed = nil
	defer func() {
		for _, write := range due {
			write()
		}
	}()
	switch step := step.(type) {
	case generation.ReadHead:
		if fault == faultNone {
			return generation.HeadRead{Head: store.head, Revision: store.revision}
		}
	case generation.ReadBody:
		if fault == faultNone {
			return generation.BodyRead{Body: store.bodies[step.Key]}
		}
	case generation.WriteBody:
		return store.put(fault, func() kvstore.PutOutcome { return store.write(step) })
	case generation.SwapHead:
		return store.put(fault, func() kvstore.PutOutcome { return store.swap(step) })
	}
	store.redundant = store.redundant || fault > faultRefused
	return generation.ReadFailed{Err: errTest}
}

// run executes an apply until Done. faults are the faults of the first calls, tail
// is that of all later calls, and before is called before each call.
func (store *fakeStore) run(t testing.TB, apply *generation.Apply, faults []fault, tail fault, before func(call int)) generation.Outcome {
	step := apply.Start()
	for call := 0; call < 100; call++ {
		if done, ok := step.(generation.Done); ok {
			return done.Outcome
		}
		before(call)
		fault := tail
		if call < len(faults) {
			fault = faults[call]
		}
		step = apply.Next(store.execute(step, fault))
	}
	require.Fail(t, "apply did not end within 100 calls", "faults %v", faults)
	return nil
}

// accepted reports whether the change is reachable from the head.
func (store *fakeStore) accepted(change string) bool {
	head := store.head
	for head.Generation > 0 {
		if head.Change == change {
			return true
		}
		head = store.bodies[head.BodyKey()].Base()
	}
	return false
}

// settle lets all delayed and late writes take effect.
func (store *fakeStore) settle() {
	for _, write := range append(store.delayed, store.late...) {
		write()
	}
	store.delayed, store.late = nil, nil
}

// noRival is the hook for a run without a concurrent apply.
func noRival(int) {}

// applyCase is one combination of faults and a concurrent apply.
type applyCase struct {
	faults []fault

	// tail is the fault of all later calls: faultRefused when the store is
	// down, faultNone otherwise.
	tail fault

	// rivalAt is the call before which a rival apply replaces the first
	// configuration, if that is still the current one. secondAt is the call
	// before which an apply replaces the configuration that is current then.
	// Both are -1 for none.
	rivalAt  int
	secondAt int

	// settleFirst lets late writes take effect before an unknown outcome is
	// resolved instead of after that.
	settleFirst bool
}

// check runs the case and resolves an unknown outcome with a second apply.
func (test applyCase) check(t *testing.T, merged *folder.Folder, files []folder.File, first, rival *generation.Body) {
	store := newFakeStore()
	store.accept(first)
	before := func(call int) {
		if call == test.rivalAt && store.head == first.Head() {
			store.accept(rival)
		}
		if call == test.secondAt {
			store.accept(testBody(t, store.head, "second", "600ms"))
		}
	}
	config := generation.ApplyConfig{
		Folder: merged, Files: files, Author: "ana", Reason: "r", Time: testTime, Change: "own",
	}
	outcome := store.run(t, generation.NewApply(config), test.faults, test.tail, before)
	if store.redundant {
		return
	}
	if unresolved, ok := outcome.(generation.Unresolved); ok {
		config.Resume = unresolved.Head.Generation
		if test.settleFirst {
			store.settle()
		}
		outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	}
	store.settle()
	test.compare(t, store, outcome)
}

// compare checks an outcome against the store's state after all writes have taken
// effect. Unresolved is not expected here: check resolves it before.
func (test applyCase) compare(t *testing.T, store *fakeStore, outcome generation.Outcome) {
	switch outcome := outcome.(type) {
	case generation.Accepted:
		require.True(t, store.accepted("own"), "%+v: accepted", test)
		require.Equal(t, "own", outcome.Head.Change)
	case generation.Lost:
		require.False(t, store.accepted("own"), "%+v: lost", test)
		require.NotEqual(t, "own", outcome.Winner.Change)
	case generation.NotApplied:
		require.False(t, store.accepted("own"), "%+v: not applied", test)
	default:
		require.Fail(t, "unexpected outcome", "%+v: %T", test, outcome)
	}
}

// TestApplyReportsCorrectOutcomeUnderFaults guards against a wrong report of what
// was accepted. It runs every combination of faults in the four calls after the
// first read, with a concurrent apply at every point and with the store up or
// down afterwards, and resolves unknown outcomes with a second apply.
func TestApplyReportsCorrectOutcomeUnderFaults(t *testing.T) {
	const calls = 4
	first := testBody(t, generation.Head{}, "first", "900ms")
	rival := testBody(t, first.Head(), "rival", "800ms")
	merged, files := testFolder(t, "700ms")
	combinations := 1
	for range calls {
		combinations *= int(faultCount)
	}
	for combination := range combinations {
		test := applyCase{faults: []fault{faultNone}, rivalAt: -1, secondAt: -1}
		for remaining, call := combination, 0; call < calls; call++ {
			test.faults = append(test.faults, fault(remaining%int(faultCount)))
			remaining /= int(faultCount)
		}
		for _, tail := range []fault{faultNone, faultRefused} {
			test.tail = tail
			test.settleFirst = !test.settleFirst
			test.checkRivals(t, merged, files, first, rival)
		}
	}
}

// checkRivals checks the faults without another apply, with a rival apply before
// each call, and with an apply that replaces the current configuration after this
// apply may have been accepted.
func (test applyCase) checkRivals(t *testing.T, merged *folder.Folder, files []folder.File, first, rival *generation.Body) {
	test.check(t, merged, files, first, rival)
	for test.rivalAt = 1; test.rivalAt <= len(test.faults); test.rivalAt++ {
		test.check(t, merged, files, first, rival)
	}
	test.rivalAt = -1
	for test.secondAt = 3; test.secondAt <= len(test.faults); test.secondAt++ {
		test.check(t, merged, files, first, rival)
	}
}

// TestApplyEndsWithoutResponses guards against an apply that never ends when the
// store does not respond, or that reports a swap without a response as a failure.
func TestApplyEndsWithoutResponses(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	faults := make([]fault, 100)
	for index := range faults {
		faults[index] = faultLostRequest
	}
	outcome := newFakeStore().run(t, generation.NewApply(config), faults, faultNone, noRival)
	assert.IsType(t, generation.NotApplied{}, outcome)

	faults[0], faults[1] = faultNone, faultNone
	store := newFakeStore()
	outcome = store.run(t, generation.NewApply(config), faults, faultNone, noRival)
	require.IsType(t, generation.Unresolved{}, outcome)
	assert.Equal(t, uint64(1), outcome.(generation.Unresolved).Head.Generation)

	// The same content is applied again after an apply with an unknown outcome
	// that did succeed.
	config.Change = "again"
	store.head = generation.Head{Generation: 1, Change: "own", Digest: merged.Digest()}
	store.revision = 3
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	assert.Equal(t, generation.Unchanged{Head: store.head}, outcome)
}

// TestApplyBuildsOnNodesAheadOfStore guards against a new generation that nodes
// ignore because it is not above theirs, after the store was restored to an older
// state.
func TestApplyBuildsOnNodesAheadOfStore(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	store.accept(first)
	nodeHead := generation.Head{Generation: 6, Change: "c6", Digest: merged.Digest()}
	config := generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", NodeHeads: []generation.Head{{Generation: 5}, nodeHead},
	}
	outcome := store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, uint64(7), store.head.Generation)
	assert.Equal(t, nodeHead, store.bodies[store.head.BodyKey()].Base())

	// The required base is compared with the nodes' generation, not with the
	// store's.
	store = newFakeStore()
	store.accept(first)
	config.Based, config.Base = true, 1
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	assert.Equal(t, generation.Lost{Winner: nodeHead}, outcome)

	// Only the generation of the nodes' head is known, not its change.
	config.NodeHeads = []generation.Head{{Generation: 6}}
	outcome = store.run(t, generation.NewApply(config), nil, faultRefused, noRival)
	assert.IsType(t, generation.NotApplied{}, outcome)
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	assert.Equal(t, generation.Lost{Winner: config.NodeHeads[0]}, outcome)

	// The nodes have adopted this change, but the store has lost it.
	config.Based = false
	config.Resume, config.NodeHeads = 6, []generation.Head{{Generation: 6}}
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	assert.IsType(t, generation.Unresolved{}, outcome, "the node may have adopted this change")
	nodeHead.Change = "own"
	config.NodeHeads = append(config.NodeHeads, nodeHead)
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, generation.Head{Generation: 6, Change: "own", Digest: merged.Digest()}, store.head)
}

// TestApplyRaisesGenerationOverConflict guards against nodes that permanently keep
// a different configuration with the store's generation, because applying the
// store's content again is reported as Unchanged.
func TestApplyRaisesGenerationOverConflict(t *testing.T) {
	merged, files := testFolder(t, "900ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	store.accept(first)
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	config.NodeHeads = []generation.Head{first.Head(), {Generation: 1, Change: "x", Digest: "y"}}
	outcome := store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, uint64(2), store.head.Generation)

	config.Change, config.NodeHeads = "again", []generation.Head{store.head, first.Head()}
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, noRival)
	assert.Equal(t, generation.Unchanged{Head: store.head}, outcome)
}

// TestApplyRejectsOutdatedBase guards against an apply that overwrites a
// configuration that was accepted after the one its author has reviewed.
func TestApplyRejectsOutdatedBase(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	second := testBody(t, first.Head(), "second", "800ms")
	store.accept(first)
	store.accept(second)
	outcome := store.run(t, generation.NewApply(generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", Based: true, Base: 1,
	}), nil, faultNone, noRival)
	assert.Equal(t, generation.Lost{Winner: second.Head(), Body: second}, outcome)
	assert.Equal(t, second.Head(), store.head)
}

// TestApplyReportsWinnerOfRace guards against a lost race whose report does not
// contain the winner, and against a swap that is retried with the revision of the
// winner as its condition, which would overwrite it.
func TestApplyReportsWinnerOfRace(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	first := testBody(t, generation.Head{}, "first", "900ms")
	rival := testBody(t, first.Head(), "rival", "800ms")
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	for _, swap := range []fault{faultNone, faultLostRequest} {
		store := newFakeStore()
		store.accept(first)
		faults := []fault{faultNone, faultNone, swap}
		outcome := store.run(t, generation.NewApply(config), faults, faultNone, func(call int) {
			if call == 2 {
				store.accept(rival)
			}
		})
		assert.Equal(t, generation.Lost{Winner: rival.Head(), Body: rival}, outcome)
	}
}

// TestApplyUnresolvedAfterStoreRestore guards against reporting a change as lost
// although nodes may have adopted it before the store was restored to an older
// state.
func TestApplyUnresolvedAfterStoreRestore(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	first := testBody(t, generation.Head{}, "first", "900ms")
	second := testBody(t, first.Head(), "second", "800ms")
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	store := newFakeStore()
	store.accept(first)
	older := *store
	store.accept(second)
	faults := []fault{faultNone, faultNone, faultLostAnswer}
	outcome := store.run(t, generation.NewApply(config), faults, faultNone, func(call int) {
		if call == 3 {
			store.head, store.revision = older.head, older.revision
		}
	})
	assert.IsType(t, generation.Unresolved{}, outcome)
}

// TestApplyResumeUnresolvedWithoutStore guards against reporting a resumed apply
// as not applied when the store cannot be read.
func TestApplyResumeUnresolvedWithoutStore(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	config := generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", Resume: 2,
	}
	outcome := newFakeStore().run(t, generation.NewApply(config), nil, faultRefused, noRival)
	assert.IsType(t, generation.Unresolved{}, outcome)
}
