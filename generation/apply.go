package generation

import (
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxFailures is the number of steps without a usable result after which an apply
// stops. Together with retryDelay it covers a store outage of a few seconds.
const maxFailures = 6

// retryDelay is the delay after the first step without a usable result. It
// doubles with each further one.
const retryDelay = 100 * time.Millisecond

// ApplyConfig holds the parameters of an Apply.
type ApplyConfig struct {
	Folder *folder.Folder
	Files  []folder.File
	Author string
	Reason string
	Time   time.Time

	// Change is the id of the apply: a new unique id, or, together with Resume,
	// the id of an earlier apply with an unknown outcome.
	Change string

	// Resume is the generation of the earlier apply, 0 for a new apply.
	Resume uint64

	// Based restricts the apply to replacing generation Base. When another
	// generation is current, nothing is written.
	Based bool
	Base  uint64

	// NodeHeads are the heads that nodes have adopted. They are above the store's
	// head when the store was restored to an older state. Change and Digest are
	// empty when only the generation is known.
	NodeHeads []Head
}

// An Apply makes one configuration the current one. It is a state machine: Start
// returns the first step, and Next returns the step that follows an event.
type Apply struct {
	config ApplyConfig
	phase  phase

	// current and revision are the store's head at the last read.
	current  Head
	revision uint64

	// body is the proposed configuration, and expectedRevision the revision
	// of the head that it replaces, which is the condition of the swap.
	body             *Body
	expectedRevision uint64

	// cursor is the head that walkHistory has reached, winner the head from
	// which it started, and winnerBody the body of winner.
	cursor     Head
	winner     Head
	winnerBody *Body

	// swapUncertain is true after a swap without a response, in this apply or
	// in the one that it resumes: such a swap may have taken effect or may
	// still do so. From then on, the apply reports that nothing was applied
	// only after reading a head that rules out the success of that swap.
	swapUncertain bool

	// failures is the number of steps without a usable result: reads and
	// writes that failed, and writes that were read back as not done.
	failures int
}

// phase is the operation whose result an Apply waits for.
type phase int

const (
	phaseReadHead phase = iota + 1
	phaseWriteBody
	phaseCheckBody
	phaseSwapHead
	phaseCheckSwap
	phaseWalk
	phaseDone
)

// NewApply returns an apply that is ready for Start.
func NewApply(config ApplyConfig) *Apply {
	return &Apply{config: config, swapUncertain: config.Resume > 0}
}

// Start returns the first step.
func (apply *Apply) Start() Step {
	apply.phase = phaseReadHead
	return ReadHead{}
}

// Next handles the result of the last step and returns the next step.
func (apply *Apply) Next(event Event) Step {
	switch event := event.(type) {
	case HeadRead:
		return apply.onHead(event)
	case BodyRead:
		return apply.onBody(event)
	case PutDone:
		return apply.onPut(event)
	case ReadFailed:
		return apply.retry(event.Err)
	default:
		return apply.fail(errors.NotSupportedf("event %T", event))
	}
}

// proposal returns the head that the apply proposes. Its generation is 0
// before a new apply has read the store's head.
func (apply *Apply) proposal() Head {
	if apply.body != nil {
		return apply.body.Head()
	}
	return Head{
		Generation: apply.config.Resume,
		Change:     apply.config.Change,
		Digest:     apply.config.Folder.Digest(),
	}
}

func (apply *Apply) onHead(event HeadRead) Step {
	apply.current = event.Head
	apply.revision = event.Revision
	if apply.current.Change == apply.config.Change {
		return apply.done(Accepted{Head: apply.current, Current: apply.current})
	}
	if apply.phase == phaseCheckSwap {
		return apply.checkSwap()
	}
	return apply.propose()
}

// propose handles the first read of the head: it starts writing the proposed
// configuration, or finds that there is nothing to write.
func (apply *Apply) propose() Step {
	base := apply.base()
	if apply.config.Resume > 0 && base.Generation >= apply.config.Resume {
		return apply.walkHistory(base)
	}
	if apply.config.Based && base.Generation != apply.config.Base {
		return apply.walkHistory(base)
	}
	if base == apply.current && base.Digest == apply.proposal().Digest && !apply.conflictsWithNode() {
		return apply.done(Unchanged{Head: base})
	}
	if err := apply.build(base); err != nil {
		return apply.fail(errors.Trace(err))
	}
	return apply.writeBody()
}

// base returns the highest head of the store and the nodes. Heads of this change
// do not count. A node can have one when the swap took effect before the store
// was restored to an older state, and a change cannot be its own base.
func (apply *Apply) base() Head {
	own := apply.ownGeneration()
	base := apply.current
	for _, nodeHead := range apply.config.NodeHeads {
		isOwn := nodeHead.Change == apply.config.Change || nodeHead.Change == "" && nodeHead.Generation == own
		higher := nodeHead.Generation > base.Generation || nodeHead.Generation == base.Generation && base.Change == ""
		if higher && !isOwn {
			base = nodeHead
		}
	}
	return base
}

// ownGeneration returns the generation under which a node has adopted this
// change, or 0 when no node has.
func (apply *Apply) ownGeneration() uint64 {
	for _, nodeHead := range apply.config.NodeHeads {
		if nodeHead.Change == apply.config.Change {
			return nodeHead.Generation
		}
	}
	return 0
}

// conflictsWithNode reports whether a node has a different configuration with the
// generation of the store's head. Such a node adopts the store's configuration
// only under a higher generation, so an apply of the same content is not
// Unchanged.
func (apply *Apply) conflictsWithNode() bool {
	for _, nodeHead := range apply.config.NodeHeads {
		if nodeHead.Generation == apply.current.Generation && nodeHead.Digest != "" && nodeHead.Digest != apply.current.Digest {
			return true
		}
	}
	return false
}

// build creates the proposed configuration, which replaces base.
func (apply *Apply) build(base Head) error {
	next := base.Generation + 1
	if apply.config.Resume > 0 {
		next = apply.config.Resume
	}
	body, err := NewBody(BodyConfig{
		Generation: next,
		Change:     apply.config.Change,
		Base:       base,
		Author:     apply.config.Author,
		Reason:     apply.config.Reason,
		Time:       apply.config.Time,
		Folder:     apply.config.Folder,
		Files:      apply.config.Files,
	})
	if err != nil {
		return errors.Trace(err)
	}
	apply.body = body
	apply.expectedRevision = apply.revision
	return nil
}

func (apply *Apply) writeBody() Step {
	value, err := apply.body.Encode()
	if err != nil {
		return apply.fail(errors.Trace(err))
	}
	apply.phase = phaseWriteBody
	return WriteBody{Key: apply.body.Head().BodyKey(), Value: value, Delay: apply.delay()}
}

// swapHead writes the head on the condition that the stored head still has the
// revision that the proposal replaces. A repeated swap has the same condition,
// so at most one of them succeeds.
func (apply *Apply) swapHead() Step {
	value, err := apply.body.Head().Encode()
	if err != nil {
		return apply.fail(errors.Trace(err))
	}
	expect := kvstore.ExpectRevision(apply.expectedRevision)
	if apply.expectedRevision == 0 {
		expect = kvstore.ExpectAbsent()
	}
	apply.phase = phaseSwapHead
	return SwapHead{Value: value, Expect: expect, Delay: apply.delay()}
}

func (apply *Apply) onPut(event PutDone) Step {
	switch outcome := event.Outcome.(type) {
	case kvstore.Written:
		return apply.onWritten()
	case kvstore.Conflict:
		return apply.readBack()
	case kvstore.Refused:
		return apply.retry(outcome.Err)
	case kvstore.Unknown:
		return apply.onUnknown(outcome.Err)
	default:
		return apply.fail(errors.NotSupportedf("put outcome %T", outcome))
	}
}

func (apply *Apply) onWritten() Step {
	if apply.phase == phaseWriteBody {
		return apply.swapHead()
	}
	return apply.done(Accepted{Head: apply.body.Head(), Current: apply.body.Head()})
}

func (apply *Apply) onUnknown(err error) Step {
	if apply.phase == phaseSwapHead {
		apply.swapUncertain = true
	}
	if apply.recordFailure() {
		return apply.fail(err)
	}
	return apply.readBack()
}

// readBack reads the key of the last write, whose outcome is not known.
func (apply *Apply) readBack() Step {
	if apply.phase == phaseWriteBody {
		apply.phase = phaseCheckBody
		return ReadBody{Key: apply.body.Head().BodyKey(), Delay: apply.delay()}
	}
	apply.phase = phaseCheckSwap
	return ReadHead{Delay: apply.delay()}
}

// checkSwap handles the read after a swap that is not known to have succeeded,
// when the head belongs to another change.
func (apply *Apply) checkSwap() Step {
	if apply.revision != apply.expectedRevision {
		return apply.walkHistory(apply.current)
	}
	if apply.recordFailure() {
		return apply.fail(errors.Errorf("swap of the head failed: head is still at revision %d", apply.revision))
	}
	return apply.swapHead()
}

func (apply *Apply) onBody(event BodyRead) Step {
	if apply.phase == phaseCheckBody {
		return apply.checkBody(event.Body)
	}
	if apply.cursor == apply.winner {
		apply.winnerBody = event.Body
	}
	return apply.visitBody(event.Body)
}

// checkBody handles the read after a write of the body that is not known to have
// succeeded. Stored is nil when the body was not written.
func (apply *Apply) checkBody(stored *Body) Step {
	if stored == nil {
		return apply.retryWrite()
	}
	if stored.Head() != apply.body.Head() {
		return apply.fail(errors.AlreadyExistsf("body of change %q with different content", apply.config.Change))
	}
	apply.body = stored
	return apply.swapHead()
}

// retryWrite writes the body again, or ends the apply after maxFailures.
func (apply *Apply) retryWrite() Step {
	if apply.recordFailure() {
		return apply.fail(errors.NotFoundf("body %q", apply.body.Head().BodyKey()))
	}
	return apply.writeBody()
}

// walkHistory starts a search for this change among the accepted ones. The search
// follows the bases of accepted bodies, starting with the winner's, and ends at
// this change or at a generation that is not above it.
func (apply *Apply) walkHistory(winner Head) Step {
	apply.phase = phaseWalk
	apply.winner = winner
	apply.cursor = winner
	return apply.readCursor()
}

// readCursor reads the body at the cursor. The zero head, which is the base of the
// first configuration, has no body, and a head of which nodes reported only the
// generation has no known key.
func (apply *Apply) readCursor() Step {
	if apply.cursor.Change == "" {
		return apply.visitBody(nil)
	}
	return ReadBody{Key: apply.cursor.BodyKey(), Delay: apply.delay()}
}

// visitBody handles the body at the cursor, which is nil when it is missing.
func (apply *Apply) visitBody(reached *Body) Step {
	proposal := apply.proposal()
	if apply.cursor.Generation <= proposal.Generation || proposal.Generation == 0 {
		return apply.finishNotAccepted()
	}
	if reached == nil {
		return apply.abortWalk(errors.NotFoundf("body %q", apply.cursor.BodyKey()))
	}
	if reached.Base().Change == proposal.Change {
		return apply.done(Accepted{Head: reached.Base(), Current: apply.winner})
	}
	apply.cursor = reached.Base()
	if apply.cursor.Generation <= proposal.Generation {
		return apply.finishNotAccepted()
	}
	return apply.readCursor()
}

// abortWalk ends a walk that cannot continue. Unless a swap is uncertain, the swap
// is known not to have succeeded.
func (apply *Apply) abortWalk(err error) Step {
	if apply.swapUncertain {
		return apply.fail(err)
	}
	return apply.finishNotAccepted()
}

// finishNotAccepted ends an apply whose change is not among the accepted ones. After
// an uncertain swap, two cases stay unresolved: a store that was restored to a
// head below the proposal may have lost this change although nodes have adopted
// it, and a head of which only the generation is known may be this change.
func (apply *Apply) finishNotAccepted() Step {
	proposal := apply.proposal()
	if apply.swapUncertain && (apply.winner.Generation < proposal.Generation || apply.winner.Change == "") {
		return apply.fail(errors.Errorf("store has generation %d, but nodes may have adopted this change", apply.current.Generation))
	}
	if apply.winner == apply.current && apply.winner.Digest == proposal.Digest {
		return apply.done(Unchanged{Head: apply.winner})
	}
	return apply.done(Lost{Winner: apply.winner, Body: apply.winnerBody})
}

// retry repeats a read that failed or a write that was not executed, or ends the
// apply after maxFailures.
func (apply *Apply) retry(err error) Step {
	if apply.recordFailure() {
		return apply.stopRetrying(err)
	}
	switch apply.phase {
	case phaseReadHead, phaseCheckSwap:
		return ReadHead{Delay: apply.delay()}
	case phaseWriteBody:
		return apply.writeBody()
	case phaseCheckBody:
		return ReadBody{Key: apply.body.Head().BodyKey(), Delay: apply.delay()}
	case phaseSwapHead:
		return apply.swapHead()
	case phaseWalk:
		return apply.readCursor()
	default:
		return apply.fail(err)
	}
}

// stopRetrying ends an apply after maxFailures.
func (apply *Apply) stopRetrying(err error) Step {
	if apply.phase == phaseWalk {
		return apply.abortWalk(err)
	}
	return apply.fail(err)
}

// recordFailure counts a step without a usable result and reports whether
// maxFailures is reached.
func (apply *Apply) recordFailure() bool {
	apply.failures++
	return apply.failures >= maxFailures
}

// fail ends the apply with NotApplied, or with Unresolved when a swap may have
// succeeded.
func (apply *Apply) fail(err error) Step {
	if apply.swapUncertain {
		return apply.done(Unresolved{Head: apply.proposal(), Err: err})
	}
	return apply.done(NotApplied{Err: err})
}

func (apply *Apply) done(outcome Outcome) Step {
	apply.phase = phaseDone
	return Done{Outcome: outcome}
}

// delay returns the delay before the next step: 0 without failures, otherwise
// doubled with each failure.
func (apply *Apply) delay() time.Duration {
	if apply.failures == 0 {
		return 0
	}
	return retryDelay << (apply.failures - 1)
}
