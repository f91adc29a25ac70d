package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

// cancelTimeout bounds one cancel call, because the engine may not answer.
const cancelTimeout = time.Second

// errAnswerTooLong ends a draft whose text exceeds Config.MaxAnswerBytes.
var errAnswerTooLong = errors.New("draft is over its size bound")

// A draftRelay copies the answer of one draft from serving groups to a sink. It
// starts a new attempt when one fails and may be retried or resumed.
type draftRelay struct {
	exchange  *exchange
	server    *Server
	draft     draft
	sink      sink
	assembler *outcome.Assembler
	excluded  map[string]bool
	attempts  int
	result    outcome.Outcome

	// prompt is what the group has to read.
	prompt route.Prompt

	// replaced is true if the latest attempt was given up before its first piece for
	// another group, which mayContinue has allowed then.
	replaced bool

	// admission is the decision on the parts of the draft for the next attempt.
	admission quarantine.Admission
}

func newDraftRelay(exchange *exchange, parsed draft, answer sink) *draftRelay {
	return &draftRelay{
		exchange:  exchange,
		server:    exchange.server,
		draft:     parsed,
		sink:      answer,
		assembler: outcome.NewAssembler(),
		excluded:  map[string]bool{},
		prompt:    route.NewTextPrompt(parsed.prompt),
		result:    outcome.NotRun{Reason: "no group can serve the request", RetryAfter: time.Second},
	}
}

// run relays the draft and returns the request's outcome.
func (relay *draftRelay) run(ctx context.Context) outcome.Outcome {
	for relay.attempts < relay.server.config.MaxAttempts {
		relay.admission = relay.server.config.Quarantine.Admit(relay.draft.parts, relay.server.config.Now())
		if part := relay.admission.Refused(); part != "" {
			return outcome.Combine(relay.result, outcome.NotRun{Reason: "message " + part + " is in quarantine", RetryAfter: quarantine.RetryAfter})
		}
		target, found := relay.pick(ctx)
		if !found {
			return relay.markTimeout(ctx)
		}
		relay.attempts++
		relay.replaced = false
		delivered := relay.assembler.Next()
		result, err := relay.attempt(ctx, target)
		var refused *engine.RefusedError
		switch {
		case relay.assembler.Next() > delivered:
			// MaxAttempts counts only consecutive attempts without progress. A draft
			// that progresses too slowly is ended by its deadline.
			relay.attempts = 0
		case delivered > 0 && errors.As(err, &refused) && refused.Status != http.StatusBadRequest:
			// A draft in progress has no other way out than a group that takes it. The
			// groups are tried again only after a change of the table.
			relay.attempts--
		}
		relay.result = outcome.Combine(relay.result, result)
		relay.recordResult(ctx, target, err)
		if outcome.IsComplete(result) {
			return result
		}
		if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) || errors.Is(err, errAnswerTooLong) {
			return relay.markTimeout(ctx)
		}
		relay.excluded[target.Name] = true
		if !relay.replaced && !relay.mayContinue(err) {
			return relay.result
		}
	}
	return relay.result
}

// recordResult records a success or a failure of the group in the suspects, and that a group
// which broke off or refused the draft may have lost what it held.
// Three errors are not recorded as failures: the loss of a grant is already in
// the table, a refusal results from an outdated table, and the disconnect of a
// caller is not a fault of the group.
func (relay *draftRelay) recordResult(ctx context.Context, target route.GroupTarget, err error) {
	var broken *engine.StreamError
	var refused *engine.RefusedError
	switch {
	case err == nil:
		relay.server.suspects.Succeeded(target.Name)
	case errors.As(err, &refused) && refused.Status != http.StatusBadRequest:
		relay.server.picker.Forget(target.Name)
	case errors.As(err, &broken) && ctx.Err() == nil:
		relay.server.suspects.Failed(target.Name, relay.server.config.Now())
		relay.server.picker.Forget(target.Name)
	}
}

// markTimeout returns the outcome so far. An unknown outcome is marked as timed
// out if the deadline has passed.
func (relay *draftRelay) markTimeout(ctx context.Context) outcome.Outcome {
	unknown, isUnknown := relay.result.(outcome.Unknown)
	if isUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		unknown.TimedOut = true
		return unknown
	}
	return relay.result
}

// mayContinue reports whether another attempt is allowed. Only attempts after a
// failure without progress are charged to the retry budget. An attempt after
// delivered pieces, or after the loss of the group's grant, replaces a cancelled
// attempt whose work was in progress, and therefore does not add load.
func (relay *draftRelay) mayContinue(err error) bool {
	tracker := relay.server.config.Quarantine
	if relay.admission.Probe() || !tracker.MayRetry(relay.draft.parts, relay.server.config.Now()) {
		return false
	}
	retryClass := retryClassOf(relay.exchange.route)
	if relay.assembler.Next() > 0 || errors.Is(err, errGroupLost) {
		relay.server.metrics.resumptions.WithLabelValues(errorLabel(err)).Inc()
		return outcome.MayResume(retryClass, relay.result)
	}
	if !outcome.MayRetry(retryClass, relay.result) {
		return false
	}
	return relay.server.mayRetry(relay.exchange.workspace.Name)
}

// mayReplace reports whether an attempt without a piece may be given up: it is not the last
// one, another group can take the draft, and another attempt is allowed. Otherwise a group
// with a long queue still answers.
func (relay *draftRelay) mayReplace(target route.GroupTarget) bool {
	if relay.attempts >= relay.server.config.MaxAttempts {
		return false
	}
	now := relay.server.config.Now()
	for _, other := range relay.server.config.Publisher.Current().Groups("", relay.exchange.route.Group) {
		if other.Name == target.Name || relay.excluded[other.Name] || !other.Usable(now) || relay.server.suspects.Avoided(other.Name, now) {
			continue
		}
		relay.replaced = relay.mayContinue(errReplaced)
		return relay.replaced
	}
	return false
}

// errReplaced labels a retry of an attempt without a piece, because another group can take the
// draft.
var errReplaced = errors.New("no piece within the first timeout, and another group can take the draft")

// mayRetry takes a token from the workspace's retry budget and counts the
// decision.
func (server *Server) mayRetry(workspace string) bool {
	allowed := server.admission.retry(workspace)
	decision := "allowed"
	if !allowed {
		decision = "over-budget"
	}
	server.metrics.retries.WithLabelValues(decision).Inc()
	return allowed
}

// pick returns a usable group and waits for one if there is none: for TargetWait,
// or until the deadline if an engine may have begun the answer, because a refusal
// would not be true then and an unknown outcome helps no caller. Groups that were
// tried become candidates again when a new table is published during the wait.
func (relay *draftRelay) pick(ctx context.Context) (route.GroupTarget, bool) {
	waitCtx := ctx
	if _, begun := relay.result.(outcome.Unknown); !begun {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithTimeout(ctx, relay.server.config.TargetWait)
		defer cancel()
	}
	for {
		changed := relay.server.config.Publisher.Changed()
		table := relay.server.config.Publisher.Current()
		target, found := relay.server.picker.PickGroup(table, relay.groupRequest(), relay.server.config.Now())
		if found {
			return target, true
		}
		select {
		case <-waitCtx.Done():
			return route.GroupTarget{}, false
		case <-changed:
			clear(relay.excluded)
		}
	}
}

// cacheUnitTokens is the number of tokens in the unit in which engines report their free
// cache: a block of 64 bytes of a prompt.
const cacheUnitTokens = 16

// groupRequest returns the request for a group that was not tried.
func (relay *draftRelay) groupRequest() route.GroupRequest {
	return newGroupRequest(relay.exchange.route, relay.prompt, relay.excluded)
}

func newGroupRequest(target folder.Route, prompt route.Prompt, excluded map[string]bool) route.GroupRequest {
	return route.GroupRequest{Spec: target.Group, Prompt: prompt, Pace: route.Pace{TokensPerCacheUnit: cacheUnitTokens}, Excluded: excluded}
}

// recordSent records that a group reads the prompt.
func (relay *draftRelay) recordSent(target route.GroupTarget, now time.Time) *route.Reading {
	reading := relay.server.picker.Sent(target, relay.groupRequest(), now)
	relay.server.metrics.promptTokens.WithLabelValues("held").Add(float64(reading.Held()))
	relay.server.metrics.promptTokens.WithLabelValues("unread").Add(float64(reading.Unread()))
	return reading
}

// attempt makes one attempt at a group. The error is the reason for which the
// attempt did not complete the answer.
func (relay *draftRelay) attempt(ctx context.Context, target route.GroupTarget) (outcome.Outcome, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	registered := relay.server.gate.register(target, cancel)
	defer relay.server.gate.unregister(registered)
	tracked := relay.server.config.Quarantine.Begin(target.Life(), relay.draft.parts, relay.admission, func() { cancel(errQuarantined) })
	defer tracked.Close()
	sentAt := relay.server.config.Now()
	reading := relay.recordSent(target, sentAt)
	finish := relay.server.tracker.Start(target.Name, sentAt)
	defer func() { finish(relay.server.config.Now()) }()

	attempt := outcome.NewAttempt(newAttemptID())
	relay.assembler.Start(attempt.ID())
	stream, err := relay.server.generator.Generate(attemptCtx, target.Address, engine.Generate{
		Attempt:     attempt.ID(),
		Group:       target.Name,
		Epoch:       target.Epoch,
		Prompt:      relay.draft.prompt,
		MaxTokens:   relay.draft.maxTokens,
		ResumeIndex: relay.assembler.Next(),
		ResumeText:  relay.assembler.Text(),
		Priority:    relay.exchange.priority,
		Sampling:    relay.draft.sampling,
	}, func() bool { return relay.mayReplace(target) })
	if err != nil {
		relay.checkTarget(attemptCtx, tracked, target, err)
		return relay.startFailed(attemptCtx, target, attempt, err)
	}
	defer stream.Close()
	attempt = attempt.Apply(outcome.Sent{})
	if err := relay.copyPieces(attemptCtx, registered, tracked, stream, reading); err != nil {
		relay.checkTarget(attemptCtx, tracked, target, err)
		err = cancelCauseOr(attemptCtx, err)
		relay.cancelAttempt(target, attempt)
		attempt = attempt.Apply(outcome.Broken{Reason: err.Error()})
		relay.countAttempt(errorLabel(err))
		return attempt.Outcome(), err
	}
	relay.countAttempt("complete")
	reading.Ended(relay.server.config.Now())
	tracked.Completed(relay.server.config.Now())
	return attempt.Apply(outcome.Answered{}).Outcome(), nil
}

// errQuarantined ends an attempt after a message of its draft was put in quarantine.
var errQuarantined = errors.New("a message of the draft was put in quarantine")

// checkTarget records that an attempt broke off, and if needed finds out whether the
// engine has ended. The end of a group that takes no new drafts is no evidence against
// those that were there.
func (relay *draftRelay) checkTarget(ctx context.Context, tracked *quarantine.Attempt, target route.GroupTarget, err error) {
	var broken *engine.StreamError
	if ctx.Err() != nil || !errors.As(err, &broken) || !broken.Sent || broken.Stalled {
		return
	}
	if !relay.server.config.Publisher.Current().GroupOpen(target.Name, target.VM, target.Epoch) {
		return
	}
	if tracked.Broken(relay.server.config.Now()) {
		relay.server.config.Quarantine.TargetProbed(target.Life(), !httpsend.Accepts(ctx, target.Address))
	}
}

// cancelCauseOr returns the cause of ctx if it is done, and err otherwise.
func cancelCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (relay *draftRelay) startFailed(ctx context.Context, target route.GroupTarget, attempt outcome.Attempt, err error) (outcome.Outcome, error) {
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		relay.countAttempt("refused")
		return attempt.Apply(outcome.Refused{
			Reason:  refused.Error(),
			Invalid: refused.Status == http.StatusBadRequest,
		}).Outcome(), err
	}
	var broken *engine.StreamError
	if errors.As(err, &broken) && broken.Sent {
		attempt = attempt.Apply(outcome.Sent{})
		relay.cancelAttempt(target, attempt)
	}
	err = cancelCauseOr(ctx, err)
	relay.countAttempt(errorLabel(err))
	return attempt.Apply(outcome.Broken{Reason: err.Error()}).Outcome(), err
}

// copyPieces delivers the pieces of one stream. It returns nil when the answer is
// complete and a grant has confirmed its end. It records the arrival of the first piece in the
// reading.
func (relay *draftRelay) copyPieces(ctx context.Context, registered *groupAttempt, tracked *quarantine.Attempt, stream *engine.Stream, reading *route.Reading) error {
	for first := true; ; first = false {
		piece, err := stream.Next()
		if err != nil {
			return err
		}
		if first {
			reading.FirstEventArrived(relay.server.config.Now())
		}
		tracked.EventArrived(relay.server.config.Now())
		// Wait for the grant before Accept: an accepted piece counts as delivered
		// and is not requested again by a later attempt.
		if err := relay.server.gate.waitGrant(ctx, registered); err != nil {
			return err
		}
		switch verdict := relay.assembler.Accept(piece).(type) {
		case outcome.Deliver:
			if err := relay.deliver(verdict.Texts, !stream.EventBuffered()); err != nil {
				return err
			}
		case outcome.Drop:
			relay.server.metrics.droppedPieces.WithLabelValues(string(verdict.Cause)).Inc()
		case outcome.Missing:
			return errors.Errorf("piece %d is missing", verdict.Index)
		case outcome.End:
			return relay.waitConfirmation(ctx, registered)
		}
	}
}

func (relay *draftRelay) deliver(texts []string, flush bool) error {
	if relay.assembler.Bytes() > relay.server.config.MaxAnswerBytes {
		return errAnswerTooLong
	}
	relay.server.metrics.pieces.Add(float64(len(texts)))
	return relay.sink.write(texts, flush)
}

func (relay *draftRelay) waitConfirmation(ctx context.Context, registered *groupAttempt) error {
	end := relay.server.config.Now()
	if relay.sink.started() {
		// Flush the buffered pieces: only the final marker must wait for the
		// confirmation.
		if err := relay.sink.write(nil, true); err != nil {
			return err
		}
	}
	err := relay.server.gate.waitConfirmation(ctx, registered, end)
	relay.server.metrics.confirmationWait.Observe(relay.server.config.Now().Sub(end).Seconds())
	return err
}

// cancelAttempt sends a cancel to the engine in the background, so that the
// caller does not wait for an engine that may not answer.
func (relay *draftRelay) cancelAttempt(target route.GroupTarget, attempt outcome.Attempt) {
	server := relay.server
	server.metrics.cancels.Inc()
	server.background.Go(func() {
		ctx, cancel := context.WithTimeout(server.ctx, cancelTimeout)
		defer cancel()
		// A failed cancel needs no handling: the engine ends the attempt when its
		// connection closes.
		_ = server.generator.Cancel(ctx, target.Address, attempt.ID())
	})
}

func (relay *draftRelay) countAttempt(result string) {
	relay.server.metrics.attempts.WithLabelValues("draft", result).Inc()
}

// errorLabel returns the metric label of an attempt's error.
func errorLabel(err error) string {
	var refused *engine.RefusedError
	var broken *engine.StreamError
	switch {
	case errors.Is(err, errGroupLost):
		return "group-lost"
	case errors.Is(err, errQuarantined):
		return "quarantined"
	case errors.Is(err, errCallerDisconnected), errors.Is(err, context.Canceled):
		return "caller"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.As(err, &refused):
		return "refused"
	case errors.Is(err, errReplaced), errors.As(err, &broken) && broken.Stalled:
		return "silent"
	case errors.As(err, &broken) && !broken.Sent:
		return "not-sent"
	default:
		return "broken"
	}
}
