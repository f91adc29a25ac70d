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

// fault is what happens to one store call.
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

// fakeStore holds heads and bodies as values. Delayed writes take effect
// after the next call, late ones only in settle.
type fakeStore struct {
	head     generation.Head
	revision uint64
	bodies   map[string]*generation.Body
	delayed  []func()
	late     []func()

	// repeated is true when a read met a fault that has the same effect on
	// reads as faultRefused.
	repeated bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{bodies: map[string]*generation.Body{}}
}

// accept makes the body the store's configuration.
func (store *fakeStore) accept(body *generation.Body) {
	store.bodies[body.Head().BodyKey()] = body
	store.head = body.Head()
	store.revision += 2
}

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

// execute runs one step. Writes delayed by earlier steps land after it.
func (store *fakeStore) execute(step generation.Step, fault fault) generation.Event {
	landing := store.delayed
	store.delayed = nil
	defer func() {
		for _, write := range landing {
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
	store.repeated = store.repeated || fault > faultRefused
	return generation.Failed{Err: errTest}
}

// run executes an apply. Calls beyond faults meet the tail fault; before is
// called ahead of each call.
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
	require.Fail(t, "apply does not end", "faults %v", faults)
	return nil
}

// accepted reports whether the change can be reached from the head.
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

func (store *fakeStore) settle() {
	for _, write := range append(store.delayed, store.late...) {
		write()
	}
	store.delayed, store.late = nil, nil
}

func never(int) {}

// applyCase is one combination of faults and a concurrent apply.
type applyCase struct {
	faults []fault

	// tail is faultRefused when the store is down after the faults.
	tail fault

	// rivalAt is the call before which another apply is accepted, and
	// secondAt the call before a second one; -1 for none.
	rivalAt  int
	secondAt int

	// settleFirst lets late writes land before an unknown outcome is resolved
	// and not after.
	settleFirst bool
}

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
	if store.repeated {
		return
	}
	if unresolved, ok := outcome.(generation.Unresolved); ok {
		config.Resume = unresolved.Head.Generation
		if test.settleFirst {
			store.settle()
		}
		outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	}
	store.settle()
	test.compare(t, store, outcome)
}

// compare compares an outcome with the store's state after all writes have
// landed. An apply with the same change has resolved an unknown outcome.
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

// TestApplyFaults guards against a wrong report of what was accepted. It runs
// every combination of faults of the four calls after the first read, with a
// concurrent apply at every point and with the store up or down afterwards,
// and resolves unknown outcomes with a second apply.
func TestApplyFaults(t *testing.T) {
	const calls = 4
	first := testBody(t, generation.Head{}, "first", "900ms")
	rival := testBody(t, first.Head(), "rival", "800ms")
	merged, files := testFolder(t, "700ms")
	combinations := 1
	for range calls {
		combinations *= int(faultCount)
	}
	for number := range combinations {
		test := applyCase{faults: []fault{faultNone}, rivalAt: -1, secondAt: -1}
		for rest, call := number, 0; call < calls; call++ {
			test.faults = append(test.faults, fault(rest%int(faultCount)))
			rest /= int(faultCount)
		}
		for _, tail := range []fault{faultNone, faultRefused} {
			test.tail = tail
			test.settleFirst = !test.settleFirst
			test.checkRivals(t, merged, files, first, rival)
		}
	}
}

// checkRivals checks the faults without another apply, with one before each
// call, and with one that is based on this one.
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

// TestApplyNoAnswers guards against an apply that never ends, or that calls a
// swap without an answer a failure.
func TestApplyNoAnswers(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	down := make([]fault, 100)
	for index := range down {
		down[index] = faultLostRequest
	}
	outcome := newFakeStore().run(t, generation.NewApply(config), down, faultNone, never)
	assert.IsType(t, generation.NotApplied{}, outcome)

	down[0], down[1] = faultNone, faultNone
	store := newFakeStore()
	outcome = store.run(t, generation.NewApply(config), down, faultNone, never)
	require.IsType(t, generation.Unresolved{}, outcome)
	assert.Equal(t, uint64(1), outcome.(generation.Unresolved).Head.Generation)

	// The same content again after an unknown outcome that was a success.
	config.Change = "again"
	store.head = generation.Head{Generation: 1, Change: "own", Digest: merged.Digest()}
	store.revision = 3
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	assert.Equal(t, generation.Unchanged{Head: store.head}, outcome)
}

// TestApplyOlderStore guards against a generation that nodes ignore, because
// the store came back with an older state than they hold.
func TestApplyOlderStore(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	store.accept(first)
	held := generation.Head{Generation: 6, Change: "c6", Digest: merged.Digest()}
	config := generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", Held: []generation.Head{{Generation: 5}, held},
	}
	outcome := store.run(t, generation.NewApply(config), nil, faultNone, never)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, uint64(7), store.head.Generation)
	assert.Equal(t, held, store.bodies[store.head.BodyKey()].Base())

	// The base that the operator saw is the nodes' one.
	store = newFakeStore()
	store.accept(first)
	config.Based, config.Base = true, 1
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	assert.Equal(t, generation.Lost{Winner: held}, outcome)

	// Only the generation of the nodes' head is known.
	config.Held = []generation.Head{{Generation: 6}}
	outcome = store.run(t, generation.NewApply(config), nil, faultRefused, never)
	assert.IsType(t, generation.NotApplied{}, outcome)
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	assert.Equal(t, generation.Lost{Winner: config.Held[0]}, outcome)

	// The nodes hold this change, which the store has forgotten.
	config.Based = false
	config.Resume, config.Held = 6, []generation.Head{{Generation: 6}}
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	assert.IsType(t, generation.Unresolved{}, outcome, "the node may hold this change")
	held.Change = "own"
	config.Held = append(config.Held, held)
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, generation.Head{Generation: 6, Change: "own", Digest: merged.Digest()}, store.head)
}

// TestApplyConflictingNodes guards against nodes that keep another content for
// the store's generation for ever, because applying the store's content again
// changes nothing.
func TestApplyConflictingNodes(t *testing.T) {
	merged, files := testFolder(t, "900ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	store.accept(first)
	config := generation.ApplyConfig{Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own"}
	config.Held = []generation.Head{first.Head(), {Generation: 1, Change: "x", Digest: "y"}}
	outcome := store.run(t, generation.NewApply(config), nil, faultNone, never)
	require.IsType(t, generation.Accepted{}, outcome)
	assert.Equal(t, uint64(2), store.head.Generation)

	config.Change, config.Held = "again", []generation.Head{store.head, first.Head()}
	outcome = store.run(t, generation.NewApply(config), nil, faultNone, never)
	assert.Equal(t, generation.Unchanged{Head: store.head}, outcome)
}

// TestApplyBase guards against an apply that overwrites a change that its
// author has not seen.
func TestApplyBase(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	store := newFakeStore()
	first := testBody(t, generation.Head{}, "first", "900ms")
	second := testBody(t, first.Head(), "second", "800ms")
	store.accept(first)
	store.accept(second)
	outcome := store.run(t, generation.NewApply(generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", Based: true, Base: 1,
	}), nil, faultNone, never)
	assert.Equal(t, generation.Lost{Winner: second.Head(), Body: second}, outcome)
	assert.Equal(t, second.Head(), store.head)
}

// TestApplyRace guards against a loser that does not learn who won, and
// against a swap that is repeated under a later condition.
func TestApplyRace(t *testing.T) {
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

// TestApplyStoreGoesBack guards against calling a change lost that nodes may
// have adopted before the store came back with an older state.
func TestApplyStoreGoesBack(t *testing.T) {
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

// TestApplyResumeWithoutStore guards against calling an earlier apply failed
// when the store cannot be read.
func TestApplyResumeWithoutStore(t *testing.T) {
	merged, files := testFolder(t, "700ms")
	config := generation.ApplyConfig{
		Folder: merged, Files: files, Author: "a", Reason: "r", Time: testTime, Change: "own", Resume: 2,
	}
	outcome := newFakeStore().run(t, generation.NewApply(config), nil, faultRefused, never)
	assert.IsType(t, generation.Unresolved{}, outcome)
}
