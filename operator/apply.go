package operator

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// pollInterval is the interval at which a waiting command polls. Each poll reads
// the store once.
const pollInterval = 250 * time.Millisecond

// ApplyRequest holds the parameters of Apply.
type ApplyRequest struct {
	Directory string
	Author    string
	Reason    string

	// Based is true if the apply is valid only when Base is the current
	// generation.
	Based bool
	Base  uint64

	// Change is the GENERATION/ID printed by an earlier apply with an unknown
	// outcome. It is empty for a new apply.
	Change string

	// Wait bounds the wait for the configuration to be in force on every node.
	// If it is 0, Apply returns as soon as the configuration is accepted.
	Wait time.Duration
}

// changeID identifies an apply. The generation is 0 for a new one.
type changeID struct {
	generation uint64
	id         string
}

// newChangeID returns a new random id if the text is empty, and parses it as
// GENERATION/ID otherwise. It returns an errors.NotValid error if the text has
// another form.
func newChangeID(text string) (changeID, error) {
	if text == "" {
		return changeID{id: uuid.NewString()}, nil
	}
	number, id, found := strings.Cut(text, "/")
	generation, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || generation == 0 || uuid.Validate(id) != nil {
		return changeID{}, errors.NotValidf("change %q (want GENERATION/ID as apply printed it)", text)
	}
	return changeID{generation: generation, id: id}, nil
}

// Apply makes a folder the configuration of all nodes.
func (operator *Operator) Apply(ctx context.Context, request ApplyRequest) ExitCode {
	merged, files, code := operator.readFolder(request.Directory)
	if code != ExitDone {
		return code
	}
	change, err := newChangeID(request.Change)
	if err != nil {
		operator.warn("%v", err)
		return ExitRejected
	}
	apply := generation.NewApply(generation.ApplyConfig{
		Folder:    merged,
		Files:     files,
		Author:    request.Author,
		Reason:    request.Reason,
		Time:      operator.timers.Now(),
		Change:    change.id,
		Resume:    change.generation,
		Based:     request.Based,
		Base:      request.Base,
		NodeHeads: operator.sampleHeads(ctx),
	})
	outcome := operator.runApply(ctx, apply)
	head, code := operator.printOutcome(outcome)
	if code != ExitDone || request.Wait == 0 {
		return code
	}
	return operator.waitInForce(ctx, head, request.Wait)
}

// sampleHeads returns the heads that a sample of the nodes have, and those that
// their peers reported to them. Nodes that do not respond are left out: apply
// must work while nodes are down, and the response of a single node is enough to
// detect that the store was restored to an older state.
func (operator *Operator) sampleHeads(ctx context.Context) []generation.Head {
	addresses, err := operator.nodeAddresses(ctx)
	if err != nil {
		operator.warn("nodes in the store are not known: %v", err)
	}
	reports := operator.readStatuses(ctx, sample(addresses, sampleSize), headOnly)
	for _, report := range reports {
		if report.err != nil {
			operator.warn("node %s does not answer: %v", report.address, report.err)
		}
	}
	return reportedHeads(reports)
}

// runApply executes the steps of an apply until it has an outcome.
func (operator *Operator) runApply(ctx context.Context, apply *generation.Apply) generation.Outcome {
	step := apply.Start()
	for {
		switch current := step.(type) {
		case generation.ReadHead:
			operator.pause(ctx, current.Delay)
			step = apply.Next(operator.readHead(ctx))
		case generation.ReadBody:
			operator.pause(ctx, current.Delay)
			step = apply.Next(operator.readBody(ctx, current.Key))
		case generation.WriteBody:
			operator.pause(ctx, current.Delay)
			step = apply.Next(operator.put(ctx, current.Key, current.Value, kvstore.ExpectAbsent()))
		case generation.SwapHead:
			operator.pause(ctx, current.Delay)
			step = apply.Next(operator.put(ctx, generation.HeadKey, current.Value, current.Expect))
		case generation.Done:
			return current.Outcome
		}
	}
}

// pause waits for the delay or the end of the context.
func (operator *Operator) pause(ctx context.Context, delay time.Duration) {
	if delay == 0 {
		return
	}
	wake := operator.timers.After("operator", delay, 0)
	defer wake.Cancel()
	select {
	case <-wake.C():
	case <-ctx.Done():
	}
}

func (operator *Operator) readHead(ctx context.Context) generation.Event {
	entry, err := operator.store.Get(ctx, generation.HeadKey)
	if errors.Is(err, errors.NotFound) {
		return generation.HeadRead{}
	}
	if err != nil {
		return generation.ReadFailed{Err: errors.Trace(err)}
	}
	head, err := generation.DecodeHead(entry.Value)
	if err != nil {
		return generation.ReadFailed{Err: errors.Trace(err)}
	}
	return generation.HeadRead{Head: head, Revision: entry.Revision}
}

func (operator *Operator) readBody(ctx context.Context, key string) generation.Event {
	body, err := operator.getBody(ctx, key)
	if errors.Is(err, errors.NotFound) {
		return generation.BodyRead{}
	}
	if err != nil {
		return generation.ReadFailed{Err: errors.Trace(err)}
	}
	return generation.BodyRead{Body: body}
}

func (operator *Operator) getBody(ctx context.Context, key string) (*generation.Body, error) {
	entry, err := operator.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := generation.DecodeBody(entry.Value)
	return body, errors.Trace(err)
}

func (operator *Operator) put(ctx context.Context, key string, value []byte, expect kvstore.Expect) generation.Event {
	outcome := operator.store.Put(ctx, kvstore.PutRequest{Key: key, Value: value, Expect: expect})
	return generation.PutDone{Outcome: outcome}
}

// printOutcome prints an outcome. The returned head is the one to wait for if
// the caller waits until the configuration is in force.
func (operator *Operator) printOutcome(outcome generation.Outcome) (generation.Head, ExitCode) {
	switch outcome := outcome.(type) {
	case generation.Accepted:
		operator.print("accepted as generation %d, change %s, digest %s",
			outcome.Head.Generation, outcome.Head.Change, outcome.Head.Digest)
		if outcome.Current != outcome.Head {
			operator.print("replaced since by generation %d", outcome.Current.Generation)
		}
		return outcome.Head, ExitDone
	case generation.Unchanged:
		operator.print("generation %d already has this content, digest %s", outcome.Head.Generation, outcome.Head.Digest)
		return outcome.Head, ExitDone
	case generation.Lost:
		operator.warn("lost to %s", describeGeneration(outcome.Winner, outcome.Body))
		return outcome.Winner, ExitConflict
	case generation.Unresolved:
		operator.warn("outcome unknown: %v", outcome.Err)
		operator.warn("repeat the command with --change %d/%s to find out and complete it",
			outcome.Head.Generation, outcome.Head.Change)
		return outcome.Head, ExitUnknown
	case generation.NotApplied:
		operator.warn("not applied: %v", outcome.Err)
		return generation.Head{}, exitCodeOfNotApplied(outcome.Err)
	default:
		operator.warn("outcome %T is not known", outcome)
		return generation.Head{}, ExitUnknown
	}
}

func exitCodeOfNotApplied(err error) ExitCode {
	if errors.Is(err, errors.NotValid) || errors.Is(err, errors.QuotaLimitExceeded) {
		return ExitRejected
	}
	return ExitFailed
}

// describeGeneration returns the generation, author, time and reason of a
// configuration. The body is nil if it could not be read.
func describeGeneration(head generation.Head, body *generation.Body) string {
	text := "generation " + strconv.FormatUint(head.Generation, 10)
	if body == nil {
		return text + ", whose audit entry cannot be read"
	}
	return text + " by " + body.Author() + " at " + formatTime(body.Time()) + ": " + body.Reason()
}

// waitInForce waits until every node has the head or a later one.
func (operator *Operator) waitInForce(ctx context.Context, head generation.Head, wait time.Duration) ExitCode {
	deadline := operator.timers.After("wait in force", wait, 0)
	defer deadline.Cancel()
	progress := &applyProgress{head: head, current: map[string]bool{}}
	for {
		progress.update(ctx, operator)
		if progress.complete() {
			operator.print("in force on %d nodes", progress.nodes)
			return ExitDone
		}
		operator.pause(ctx, pollInterval)
		select {
		case <-deadline.C():
			operator.printBehind(progress)
			return ExitFailed
		case <-ctx.Done():
			operator.printBehind(progress)
			return ExitFailed
		default:
		}
	}
}

// applyProgress records which nodes have an applied configuration.
type applyProgress struct {
	head generation.Head

	// current contains the addresses of the nodes that have reported the head
	// or a later one. They are not polled again, because a node's generation
	// never decreases.
	current map[string]bool

	// nodes is the number of nodes at the last poll. behind contains a line for
	// each node that did not have the head. err is the failure to read the list
	// of nodes from the store.
	nodes  int
	behind []string
	err    error
}

func (progress *applyProgress) update(ctx context.Context, operator *Operator) {
	addresses, err := operator.nodeAddresses(ctx)
	progress.err = err
	progress.nodes = len(addresses)
	var pending []string
	for _, address := range addresses {
		if !progress.current[address] {
			pending = append(pending, address)
		}
	}
	progress.behind = nil
	for _, report := range operator.readStatuses(ctx, pending, headOnly) {
		line := behindLine(report, progress.head)
		if line != "" {
			progress.behind = append(progress.behind, line)
			continue
		}
		progress.current[report.address] = true
	}
}

func (progress *applyProgress) complete() bool {
	return progress.err == nil && progress.nodes > 0 && len(progress.behind) == 0
}

// behindLine returns a line that explains why the head is not in force on a
// node. It returns "" if the node has the head or a later one.
func behindLine(report nodeReport, head generation.Head) string {
	current := report.head()
	switch {
	case report.err != nil:
		return report.address + ": " + report.err.Error()
	case current.Generation < head.Generation:
		return report.status.Node + ": has generation " + strconv.FormatUint(current.Generation, 10)
	case current.Generation == head.Generation && head.Digest != "" && current.Digest != head.Digest:
		return report.status.Node + ": has another content for this generation"
	default:
		return ""
	}
}

func (operator *Operator) printBehind(progress *applyProgress) {
	operator.warn("accepted, but not in force on all of %d nodes", progress.nodes)
	for _, line := range progress.behind {
		operator.warn("%s", line)
	}
	if progress.err != nil {
		operator.warn("nodes in the store are not known: %v", progress.err)
	}
}
