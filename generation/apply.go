package generation

import (
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxFailures is the number of store calls without an answer after which an
// apply stops. With retryDelay it covers an outage of a few seconds.
const maxFailures = 6

// retryDelay is the wait after the first call without an answer; it doubles
// with each further one.
const retryDelay = 100 * time.Millisecond

// ApplyConfig holds the parameters of an Apply.
type ApplyConfig struct {
	Folder *folder.Folder
	Files  []folder.File
	Author string
	Reason string
	Time   time.Time

	// Change is a new unique id, or the id of an earlier apply with an unknown
	// outcome together with Resume.
	Change string

	// Resume is the generation of the earlier apply, 0 for a new one.
	Resume uint64

	// Based says that the apply is only valid on generation Base.
	Based bool
	Base  uint64

	// Held are the heads that nodes hold. They are above the store's head
	// when the store came back with an older state. Change and Digest are
	// empty when only the generation is known.
	Held []Head
}

// An Apply brings one configuration into force. It is a state machine: Start
// returns the first step and Next the step after an event.
type Apply struct {
	config ApplyConfig
	phase  phase

	// current and revision are the store's head as read last.
	current  Head
	revision uint64

	// body is the proposed configuration, and expected the revision of the
	// head that it was built on.
	body     *Body
	expected uint64

	// walked is the head that the walk towards the base has reached, winner
	// the head where it began and winnerBody the body of that head.
	walked     Head
	winner     Head
	winnerBody *Body

	// uncertain is true after a swap whose answer was lost. From then on the
	// apply cannot say that nothing was applied unless it sees the head move
	// past the condition of the swap.
	uncertain bool
	failures  int
}

// phase says which answer an Apply waits for.
type phase int

const (
	phaseReadHead phase = iota + 1
	phaseWriteBody
	phaseCheckBody
	phaseSwapHead
	phaseResolve
	phaseWalk
	phaseDone
)

// NewApply returns an apply that has not started.
func NewApply(config ApplyConfig) *Apply {
	return &Apply{config: config, uncertain: config.Resume > 0}
}

// Start returns the first step.
func (apply *Apply) Start() Step {
	apply.phase = phaseReadHead
	return ReadHead{}
}

// Next returns the step after an event.
func (apply *Apply) Next(event Event) Step {
	switch event := event.(type) {
	case HeadRead:
		return apply.onHead(event)
	case BodyRead:
		return apply.onBody(event)
	case PutDone:
		return apply.onPut(event)
	case Failed:
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
	if apply.phase == phaseResolve {
		return apply.resolve()
	}
	return apply.propose()
}

// propose decides what to write after the first read of the head.
func (apply *Apply) propose() Step {
	base := apply.base()
	if apply.config.Resume > 0 && base.Generation >= apply.config.Resume {
		return apply.walk(base)
	}
	if apply.config.Based && base.Generation != apply.config.Base {
		return apply.walk(base)
	}
	if base == apply.current && base.Digest == apply.proposal().Digest && !apply.contradicted() {
		return apply.done(Unchanged{Head: base})
	}
	if err := apply.build(base); err != nil {
		return apply.fail(errors.Trace(err))
	}
	return apply.writeBody()
}

// base returns the highest of the heads that store and nodes hold. A node
// that holds this very change is no base for it: the swap had taken effect
// before the store came back with an older state.
func (apply *Apply) base() Head {
	own := apply.heldGeneration()
	base := apply.current
	for _, held := range apply.config.Held {
		isOwn := held.Change == apply.config.Change || held.Change == "" && held.Generation == own
		higher := held.Generation > base.Generation || held.Generation == base.Generation && base.Change == ""
		if higher && !isOwn {
			base = held
		}
	}
	return base
}

// heldGeneration returns the generation at which a node holds this change, 0
// when none does.
func (apply *Apply) heldGeneration() uint64 {
	for _, held := range apply.config.Held {
		if held.Change == apply.config.Change {
			return held.Generation
		}
	}
	return 0
}

// contradicted reports whether a node holds another content for the store's
// generation. It will not adopt the store's content before a higher
// generation has it.
func (apply *Apply) contradicted() bool {
	for _, held := range apply.config.Held {
		if held.Generation == apply.current.Generation && held.Digest != "" && held.Digest != apply.current.Digest {
			return true
		}
	}
	return false
}

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
	apply.expected = apply.revision
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

// swapHead writes the head under the revision that the proposal was built on.
// A repeated swap has the same condition, so at most one of them succeeds.
func (apply *Apply) swapHead() Step {
	value, err := apply.body.Head().Encode()
	if err != nil {
		return apply.fail(errors.Trace(err))
	}
	expect := kvstore.ExpectRevision(apply.expected)
	if apply.expected == 0 {
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
		apply.uncertain = true
	}
	if apply.giveUp() {
		return apply.fail(err)
	}
	return apply.readBack()
}

// readBack reads the key of the last write.
func (apply *Apply) readBack() Step {
	if apply.phase == phaseWriteBody {
		apply.phase = phaseCheckBody
		return ReadBody{Key: apply.body.Head().BodyKey(), Delay: apply.delay()}
	}
	apply.phase = phaseResolve
	return ReadHead{Delay: apply.delay()}
}

// resolve decides after a swap without a known success, when the head is not
// this change.
func (apply *Apply) resolve() Step {
	if apply.revision != apply.expected {
		return apply.walk(apply.current)
	}
	if apply.giveUp() {
		return apply.fail(errors.Errorf("head is still at revision %d", apply.revision))
	}
	return apply.swapHead()
}

func (apply *Apply) onBody(event BodyRead) Step {
	if apply.phase == phaseCheckBody {
		return apply.checkBody(event.Body)
	}
	if apply.walked == apply.winner {
		apply.winnerBody = event.Body
	}
	return apply.follow(event.Body)
}

// checkBody decides after a write of the body without a known success.
func (apply *Apply) checkBody(stored *Body) Step {
	if stored == nil {
		return apply.retryWrite()
	}
	if stored.Head() != apply.body.Head() {
		return apply.fail(errors.AlreadyExistsf("change %q with another content", apply.config.Change))
	}
	apply.body = stored
	return apply.swapHead()
}

func (apply *Apply) retryWrite() Step {
	if apply.giveUp() {
		return apply.fail(errors.NotFoundf("body %q", apply.body.Head().BodyKey()))
	}
	return apply.writeBody()
}

// walk follows the bases of accepted bodies from a head until it finds this
// change or passes its generation.
func (apply *Apply) walk(winner Head) Step {
	apply.phase = phaseWalk
	apply.winner = winner
	apply.walked = winner
	return apply.readWalked()
}

// readWalked reads the body that the walk has reached. There is none before
// the first configuration, and none is known for a head of which nodes only
// told the generation.
func (apply *Apply) readWalked() Step {
	if apply.walked.Change == "" {
		return apply.follow(nil)
	}
	return ReadBody{Key: apply.walked.BodyKey(), Delay: apply.delay()}
}

// follow decides at one body of the walk, nil when it is missing.
func (apply *Apply) follow(reached *Body) Step {
	proposal := apply.proposal()
	if apply.walked.Generation <= proposal.Generation || proposal.Generation == 0 {
		return apply.lose()
	}
	if reached == nil {
		return apply.endWalk(errors.NotFoundf("body %q", apply.walked.BodyKey()))
	}
	if reached.Base().Change == proposal.Change {
		return apply.done(Accepted{Head: reached.Base(), Current: apply.winner})
	}
	apply.walked = reached.Base()
	if apply.walked.Generation <= proposal.Generation {
		return apply.lose()
	}
	return apply.readWalked()
}

// endWalk ends a walk that cannot go on. Without a lost answer the apply is
// certain that its swap did not succeed.
func (apply *Apply) endWalk(err error) Step {
	if apply.uncertain {
		return apply.fail(err)
	}
	return apply.lose()
}

// lose ends an apply whose change is not among the accepted ones. A store
// that came back with a head below the proposal may have forgotten it while
// nodes hold it, and a head of which only the generation is known may be this
// change itself.
func (apply *Apply) lose() Step {
	proposal := apply.proposal()
	if apply.uncertain && (apply.winner.Generation < proposal.Generation || apply.winner.Change == "") {
		return apply.fail(errors.Errorf("store has generation %d, nodes may hold this change", apply.current.Generation))
	}
	if apply.winner == apply.current && apply.winner.Digest == proposal.Digest {
		return apply.done(Unchanged{Head: apply.winner})
	}
	return apply.done(Lost{Winner: apply.winner, Body: apply.winnerBody})
}

// retry repeats the step that was not executed, or stops.
func (apply *Apply) retry(err error) Step {
	if apply.giveUp() {
		return apply.stop(err)
	}
	switch apply.phase {
	case phaseReadHead, phaseResolve:
		return ReadHead{Delay: apply.delay()}
	case phaseWriteBody:
		return apply.writeBody()
	case phaseCheckBody:
		return ReadBody{Key: apply.body.Head().BodyKey(), Delay: apply.delay()}
	case phaseSwapHead:
		return apply.swapHead()
	case phaseWalk:
		return apply.readWalked()
	default:
		return apply.fail(err)
	}
}

func (apply *Apply) stop(err error) Step {
	if apply.phase == phaseWalk {
		return apply.endWalk(err)
	}
	return apply.fail(err)
}

// giveUp counts a step without a usable answer and reports whether it was one
// too many.
func (apply *Apply) giveUp() bool {
	apply.failures++
	return apply.failures >= maxFailures
}

func (apply *Apply) fail(err error) Step {
	if apply.uncertain {
		return apply.done(Unresolved{Head: apply.proposal(), Err: err})
	}
	return apply.done(NotApplied{Err: err})
}

func (apply *Apply) done(outcome Outcome) Step {
	apply.phase = phaseDone
	return Done{Outcome: outcome}
}

// delay returns the wait before the next step, which doubles with each step
// without a usable answer.
func (apply *Apply) delay() time.Duration {
	if apply.failures == 0 {
		return 0
	}
	return retryDelay << (apply.failures - 1)
}
