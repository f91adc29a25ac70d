package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/route"
)

// cancelTimeout bounds the cancel of an attempt, whose engine may be silent.
const cancelTimeout = time.Second

// errLongAnswer says that a draft is over its size bound.
var errLongAnswer = errors.New("draft is over its size bound")

// A relay brings one draft from serving groups to a sink, over as many
// attempts as it takes.
type relay struct {
	exchange  *exchange
	server    *Server
	draft     draft
	sink      sink
	assembler *outcome.Assembler
	excluded  map[string]bool
	attempts  int
	result    outcome.Outcome
}

func newRelay(exchange *exchange, parsed draft, answer sink) *relay {
	return &relay{
		exchange:  exchange,
		server:    exchange.server,
		draft:     parsed,
		sink:      answer,
		assembler: outcome.NewAssembler(),
		excluded:  map[string]bool{},
		result:    outcome.NotRun{Reason: "no group can serve the request", RetryAfter: time.Second},
	}
}

// run returns the request's outcome.
func (relay *relay) run(ctx context.Context) outcome.Outcome {
	for relay.attempts < relay.server.config.MaxAttempts {
		target, found := relay.pick(ctx)
		if !found {
			return relay.withTimeout(ctx)
		}
		relay.attempts++
		delivered := relay.assembler.Next()
		result, err := relay.attempt(ctx, target)
		if relay.assembler.Next() > delivered {
			// An attempt that brought the answer forward is not one of those that
			// MaxAttempts bounds; the deadline ends a draft that goes on too slowly.
			relay.attempts = 0
		}
		relay.result = outcome.Combine(relay.result, result)
		relay.judge(ctx, target, err)
		if outcome.IsComplete(result) {
			return result
		}
		if ctx.Err() != nil || errors.Is(err, errCaller) || errors.Is(err, errLongAnswer) {
			return relay.withTimeout(ctx)
		}
		relay.excluded[target.Name] = true
		if !relay.mayGoOn(err) {
			return relay.result
		}
	}
	return relay.result
}

// judge tells the suspects how an attempt went. A lost grant is known to all
// through the table, a refusal comes from a table that was out of date, and a
// caller that leaves says nothing about the group.
func (relay *relay) judge(ctx context.Context, target route.GroupTarget, err error) {
	var broken *engine.StreamError
	switch {
	case err == nil:
		relay.server.suspects.Succeeded(target.Name)
	case errors.As(err, &broken) && ctx.Err() == nil:
		relay.server.suspects.Failed(target.Name, relay.server.config.Now())
	}
}

// withTimeout marks an unknown outcome as out of time when the deadline has
// passed.
func (relay *relay) withTimeout(ctx context.Context) outcome.Outcome {
	unknown, isUnknown := relay.result.(outcome.Unknown)
	if isUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		unknown.TimedOut = true
		return unknown
	}
	return relay.result
}

// mayGoOn decides on another attempt. Going on after delivered pieces, or after
// the loss of the group while another one is usable, moves work that is in
// progress: the first attempt is cancelled, so that the load does not grow.
// Only other retries are charged to the retry budget.
func (relay *relay) mayGoOn(err error) bool {
	nature := natureOf(relay.exchange.route)
	if relay.assembler.Next() > 0 || errors.Is(err, errGroupLost) {
		relay.server.metrics.resumed.WithLabelValues(causeOf(err)).Inc()
		return outcome.MayResume(nature, relay.result)
	}
	if !outcome.MayRetry(nature, relay.result) {
		return false
	}
	return relay.server.mayRetry(relay.exchange.workspace.Name)
}

// mayRetry takes a token of the retry budget and counts the decision.
func (server *Server) mayRetry(workspace string) bool {
	allowed := server.admission.retry(workspace)
	decision := "allowed"
	if !allowed {
		decision = "over-budget"
	}
	server.metrics.retries.WithLabelValues(decision).Inc()
	return allowed
}

// pick returns a group, waiting for one when none is usable. Groups that were
// tried become candidates again with a new table.
func (relay *relay) pick(ctx context.Context) (route.GroupTarget, bool) {
	waitCtx := ctx
	if relay.assembler.Next() == 0 {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithTimeout(ctx, relay.server.config.TargetWait)
		defer cancel()
	}
	for {
		changed := relay.server.config.Publisher.Changed()
		table := relay.server.config.Publisher.Current()
		target, found := relay.server.picker.PickGroup(table, route.GroupRequest{
			Spec:     relay.exchange.route.Group,
			Prompt:   relay.draft.prompt,
			Excluded: relay.excluded,
		}, relay.server.config.Now())
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

// attempt makes one attempt at a group. Its error says why the attempt did not
// complete the answer.
func (relay *relay) attempt(ctx context.Context, target route.GroupTarget) (outcome.Outcome, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	entered := relay.server.gate.enter(target, cancel)
	defer relay.server.gate.leave(entered)
	ended := relay.server.tracker.Start(target.Name, relay.server.config.Now())
	defer func() { ended(relay.server.config.Now()) }()

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
	})
	if err != nil {
		return relay.notStarted(attemptCtx, target, attempt, err)
	}
	defer stream.Close()
	attempt = attempt.Apply(outcome.Sent{})
	if err := relay.copy(attemptCtx, entered, stream); err != nil {
		err = causeOr(attemptCtx, err)
		relay.cancelAttempt(target, attempt)
		attempt = attempt.Apply(outcome.Broken{Reason: err.Error()})
		relay.countAttempt(causeOf(err))
		return attempt.Outcome(), err
	}
	relay.countAttempt("complete")
	return attempt.Apply(outcome.Answered{}).Outcome(), nil
}

// causeOr returns why ctx was cancelled, or err when it was not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (relay *relay) notStarted(ctx context.Context, target route.GroupTarget, attempt outcome.Attempt, err error) (outcome.Outcome, error) {
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
	err = causeOr(ctx, err)
	relay.countAttempt(causeOf(err))
	return attempt.Apply(outcome.Broken{Reason: err.Error()}).Outcome(), err
}

// copy delivers the pieces of one stream and returns nil when the answer is
// complete and confirmed.
func (relay *relay) copy(ctx context.Context, entered *pass, stream *engine.Stream) error {
	for {
		piece, err := stream.Next()
		if err != nil {
			return err
		}
		// A piece is accepted only under a grant: an accepted piece counts as
		// delivered and is not asked for again.
		if err := relay.server.gate.hold(ctx, entered); err != nil {
			return err
		}
		switch verdict := relay.assembler.Accept(piece).(type) {
		case outcome.Deliver:
			if err := relay.deliver(verdict.Texts, !stream.Ready()); err != nil {
				return err
			}
		case outcome.Drop:
			relay.server.metrics.dropped.WithLabelValues(string(verdict.Cause)).Inc()
		case outcome.Missing:
			return errors.Errorf("piece %d is missing", verdict.Index)
		case outcome.End:
			return relay.confirm(ctx, entered)
		}
	}
}

func (relay *relay) deliver(texts []string, flush bool) error {
	if relay.assembler.Bytes() > relay.server.config.MaxAnswerBytes {
		return errLongAnswer
	}
	relay.server.metrics.pieces.Add(float64(len(texts)))
	return relay.sink.write(texts, flush)
}

func (relay *relay) confirm(ctx context.Context, entered *pass) error {
	end := relay.server.config.Now()
	if relay.sink.started() {
		// Pieces that were kept to be written together do not wait for the grant.
		if err := relay.sink.write(nil, true); err != nil {
			return err
		}
	}
	err := relay.server.gate.confirm(ctx, entered, end)
	relay.server.metrics.held.Observe(relay.server.config.Now().Sub(end).Seconds())
	return err
}

// cancelAttempt tells the engine to stop, without making the caller wait for
// an engine that may be silent.
func (relay *relay) cancelAttempt(target route.GroupTarget, attempt outcome.Attempt) {
	server := relay.server
	server.metrics.cancelled.Inc()
	server.background.Go(func() {
		ctx, cancel := context.WithTimeout(server.ctx, cancelTimeout)
		defer cancel()
		// A cancel that fails changes nothing: the engine ends the attempt when
		// its connection closes.
		_ = server.generator.Cancel(ctx, target.Address, attempt.ID())
	})
}

func (relay *relay) countAttempt(result string) {
	relay.server.metrics.attempts.WithLabelValues("draft", result).Inc()
}

// causeOf returns the metric label of an attempt's error.
func causeOf(err error) string {
	var refused *engine.RefusedError
	var broken *engine.StreamError
	switch {
	case errors.Is(err, errGroupLost):
		return "group-lost"
	case errors.Is(err, errCaller), errors.Is(err, context.Canceled):
		return "caller"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &broken) && broken.Silent:
		return "silent"
	case errors.As(err, &broken) && !broken.Sent:
		return "not-sent"
	default:
		return "broken"
	}
}
