package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// firstEventTimeoutFactor times the route's objective is the time after which
	// another group is tried if the first event has not arrived.
	firstEventTimeoutFactor = 4

	// minEventTimeout is the smallest timeout for an event: an engine that reads a
	// long prompt sends nothing for some hundred milliseconds.
	minEventTimeout = 1200 * time.Millisecond

	// callerPatience is the shortest time without an event after which callers
	// abandon a stream. It is longer for routes with long objectives, by
	// objectivePatience and gapPatience times their objectives.
	callerPatience    = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8

	// resumeTimeout is how long a started stream waits for a group to resume at.
	// Callers abandon a stream after two seconds without an event.
	resumeTimeout = 1500 * time.Millisecond

	// resumeStep is the time after which such a stream looks for a group again although
	// the table has not changed: a target with a limit takes requests again.
	resumeStep = 100 * time.Millisecond
)

// A delivery is the state of the stream that is sent to a caller, over all
// attempts.
type delivery struct {
	exchange *exchange

	// headerSent is true once the response header has been sent to the caller. contentType
	// is the type in it.
	headerSent  bool
	contentType string

	// lastEventID is the id of the last event that was delivered.
	lastEventID string

	// pending tracks the current attempt until its first event arrives.
	// lastEventAt is when the last event of the current attempt arrived.
	pending     *limit.PendingRequest
	lastEventAt time.Time

	// attempt tracks the current attempt for the parts of its prompt.
	attempt *quarantine.Attempt

	// deliveredAt is when the last event of any attempt was delivered.
	deliveredAt time.Time
}

// recordEvent records the arrival of an event for stall detection and for the
// forecast.
func (delivery *delivery) recordEvent(target string, stream *route.MonitoredStream) {
	server := delivery.exchange.server
	delivery.exchange.began = true
	now := server.config.Now()
	if !delivery.deliveredAt.IsZero() {
		delivery.exchange.longestPause = max(delivery.exchange.longestPause, now.Sub(delivery.deliveredAt))
	}
	delivery.deliveredAt = now
	stream.Event(now)
	delivery.attempt.EventArrived(now)
	if direct := delivery.exchange.direct; direct != nil {
		direct.received(now)
		server.answered(direct.target, false)
	}
	if delivery.lastEventAt.IsZero() {
		delivery.pending.FirstEventArrived(now)
	} else {
		server.forecast.RecordGap(target, now.Sub(delivery.lastEventAt), now)
	}
	delivery.lastEventAt = now
}

// serveStream forwards a request to a serving group and streams the group's
// events back to the caller.
func (exchange *exchange) serveStream(ctx context.Context) {
	delivery := &delivery{exchange: exchange, lastEventID: exchange.caller.ResumeAfter}
	exchange.tryTargets(ctx, attemptPlan{
		next: func(excluded map[string]bool, mayWait bool) (candidate, bool) {
			target, found := exchange.pickGroup(ctx, delivery, excluded, mayWait)
			return candidate{
				name: target.Name,
				try:  func() attemptResult { return exchange.tryGroup(ctx, target, delivery) },
			}, found
		},
		noTargetReason: exchange.noGroupReason,
		giveUp:         delivery.giveUp,
	})
}

// pickGroup returns a group for the next attempt, or false. Until the stream has
// started, the group must be predicted to meet the objective. A started stream
// accepts any group, and with mayWait waits for one up to resumeTimeout.
func (exchange *exchange) pickGroup(ctx context.Context, delivery *delivery, excluded map[string]bool, mayWait bool) (route.GroupTarget, bool) {
	server := exchange.server
	resumeBy := server.config.Now().Add(resumeTimeout)
	for {
		changed := server.config.Publisher.Changed()
		now := server.config.Now()
		table := server.config.Publisher.Current()
		unavailable := exchange.unavailable(excluded, table, now)
		target, found := server.picker.PickGroup(table, route.GroupRequest{Spec: exchange.caller.Model, Excluded: unavailable}, now)
		if found && !delivery.headerSent && !exchange.meetsObjective(target, now) {
			target, found = exchange.earliestGroup(table, unavailable, now)
		}
		if found && server.config.Limits.Take(target.VM, now) {
			return target, true
		}
		if found {
			// Another request has taken the last place of the target.
			continue
		}
		if !delivery.headerSent || !mayWait || !now.Before(resumeBy) {
			return route.GroupTarget{}, false
		}
		waiting, cancel := context.WithTimeout(ctx, min(resumeBy.Sub(now), resumeStep))
		select {
		case <-changed:
		case <-waiting.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return route.GroupTarget{}, false
		}
	}
}

// meetsObjective reports whether a group is predicted to send the first event
// within the objective.
func (exchange *exchange) meetsObjective(target route.GroupTarget, now time.Time) bool {
	return exchange.predictFirstEvent(target, now) <= exchange.server.objective(exchange.caller.Model, exchange.route.Objective)
}

// predictFirstEvent predicts the time to the first event at a group.
func (exchange *exchange) predictFirstEvent(target route.GroupTarget, now time.Time) time.Duration {
	server := exchange.server
	load := server.tracker.Load(target.Name, target.Load, target.LoadReportedAt())
	return server.forecast.PredictFirstEvent(target.Name, exchange.pace(), load, now)
}

// earliestGroup returns the group with the earliest predicted first event among
// those that meet the objective.
func (exchange *exchange) earliestGroup(table *route.Table, excluded map[string]bool, now time.Time) (route.GroupTarget, bool) {
	var best route.GroupTarget
	earliest := exchange.server.objective(exchange.caller.Model, exchange.route.Objective)
	found := false
	for _, target := range table.Groups(exchange.caller.Model) {
		if excluded[target.Name] || !target.Usable(now) || exchange.server.suspects.Avoided(target.Name, now) {
			continue
		}
		first := exchange.predictFirstEvent(target, now)
		if first < earliest || !found && first == earliest {
			best, earliest, found = target, first, true
		}
	}
	return best, found
}

// noGroupReason describes why no group of the model was chosen.
func (exchange *exchange) noGroupReason() string {
	server := exchange.server
	now := server.config.Now()
	usable, avoided, full, resting := 0, 0, 0, 0
	earliest := time.Duration(0)
	for _, target := range server.config.Publisher.Current().Groups(exchange.caller.Model) {
		first := exchange.predictFirstEvent(target, now)
		_, closed := server.closures.Closed(target.Instance(), now)
		switch {
		case !target.Usable(now):
			continue
		case closed:
			resting++
		case server.suspects.Avoided(target.Name, now):
			avoided++
		case server.config.Limits.Full(target.VM, now):
			full++
		case earliest == 0 || first < earliest:
			earliest = first
		}
		usable++
	}
	return fmt.Sprintf("no group has a place: %d serve, %d of them avoided, %d at their limit, %d resting, earliest first event in %v for an objective of %v",
		usable, avoided, full, resting, earliest.Round(time.Millisecond), server.objective(exchange.caller.Model, exchange.route.Objective))
}

// pace returns the speed of the engine for the request's model.
func (exchange *exchange) pace() limit.Pace {
	engine := exchange.service.Engine
	factor := 1.0
	if model, found := engine.Model(exchange.caller.Model); found && model.Pace > 0 {
		factor = model.Pace
	}
	pace := limit.Pace{
		Pass:             time.Duration(factor * float64(engine.Step) * float64(max(1, engine.Stride))),
		MeanPromptTokens: engine.MeanPromptTokens,
		Slots:            engine.Slots,
		Events:           engine.MeanAnswerTokens / max(1, engine.Stride),
		OtherNodesShare:  exchange.server.otherNodesShare(),
	}
	if engine.ReadRate > 0 {
		pace.ReadPerToken = time.Duration(factor * float64(time.Second) / engine.ReadRate)
	}
	return pace
}

// tryGroup makes one attempt at a group.
func (exchange *exchange) tryGroup(ctx context.Context, target route.GroupTarget, delivery *delivery) attemptResult {
	server := exchange.server
	exchange.load = server.tracker.Load(target.Name, target.Load, target.LoadReportedAt())
	exchange.predicted = exchange.predictFirstEvent(target, server.config.Now())
	ended := server.tracker.Start(target.Name, server.config.Now())
	defer func() { ended(server.config.Now()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	life := target.Life()
	delivery.attempt = server.config.Quarantine.Begin(life, exchange.parts, exchange.admission, func() { cancel(errQuarantined) })
	defer delivery.attempt.Close()
	last := exchange.isLastAttempt()
	to := destination{id: target.VM, instance: target.Instance(), address: target.Address, group: target.Name, epoch: target.Epoch, resumeAfter: delivery.lastEventID}
	if !last {
		to.cancel = cancel
	}
	stream := server.stallDetector.Begin(target.Name, server.config.Now(), func() {
		if !last {
			cancel(errGroupStalled)
		}
	})
	defer stream.End()
	delivery.pending = server.forecast.Begin(target.Name, exchange.caller.PromptTokens, server.config.Now())
	delivery.lastEventAt = time.Time{}
	exchange.began = false
	defer delivery.pending.End()
	firstTimeout := max(firstEventTimeoutFactor*exchange.route.Objective, minEventTimeout)
	timeout := minEventTimeout
	if last {
		timeout = exchange.patience()
		firstTimeout = timeout
	}
	firstTimeout = min(firstTimeout, exchange.remaining())
	sentAt := server.config.Now()
	response, err := exchange.send(ctx, to, firstTimeout)
	if err != nil {
		exchange.checkTarget(ctx, delivery.attempt, life, to, err)
		return exchange.classifyFailure(target.Name, err)
	}
	exchange.recordAttempt(target.Name)
	answer := server.config.Codec.ParseAnswer(response.http.StatusCode, response.http.Header)
	observed := observedGroup(target)
	server.observeAnswer(observed, exchange.caller.Attempt, response.http, answer, sentAt)
	switch {
	case answer.Refused && !exchange.isOwnRefusal(response, answer):
		response.discard()
		return unknown{reason: "group " + target.Name + " sent a refusal that is not its own"}
	case answer.Refused:
		response.discard()
		server.suspects.Failed(target.Name, server.config.Now())
		exchange.countAttempt("refused")
		return notRun{reason: "group " + target.Name + " refused: " + response.http.Status}
	case !isOwnResponse(exchange.caller.Attempt, response.http, answer):
		response.discard()
		return unknown{reason: "group " + target.Name + " sent an answer that is not its own"}
	case response.http.StatusCode != http.StatusOK:
		return exchange.forwardFailure(target, response, delivery)
	}
	if err := delivery.forwardEvents(response, target.Name, stream, firstTimeout, timeout); err != nil {
		response.discard()
		if errors.Is(err, errCallerNotReading) {
			exchange.log("caller-left", 0, "caller does not read")
			httpserve.Abort(exchange.writer, exchange.request)
		}
		failure := &callError{cause: err, sent: true, outcome: outcomeOf(err)}
		exchange.checkTarget(ctx, delivery.attempt, life, to, failure)
		return exchange.classifyFailure(target.Name, failure)
	}
	response.release()
	server.observeTrailer(observed, exchange.caller.Attempt, response.http)
	delivery.attempt.Completed(server.config.Now())
	server.suspects.Succeeded(target.Name)
	exchange.countAttempt("complete")
	exchange.log("complete", http.StatusOK, "")
	return answered{}
}

// isLastAttempt reports whether the request may not be sent to another target after
// the attempt that is about to begin.
func (exchange *exchange) isLastAttempt() bool {
	return !exchange.route.Repeatable() || len(exchange.attempts)+1 >= exchange.route.MaxAttempts
}

// patience returns the time without an event after which the caller abandons the
// stream. A last attempt is not ended before: a slow group still completes it.
func (exchange *exchange) patience() time.Duration {
	return max(callerPatience, objectivePatience*exchange.route.Objective, gapPatience*exchange.route.GapObjective)
}

// forwardFailure sends a group's error response to the caller, unless the stream
// has started or another group may succeed.
func (exchange *exchange) forwardFailure(target route.GroupTarget, response *response, delivery *delivery) attemptResult {
	body, err := response.readAll(maxAnswerBytes)
	if err != nil || delivery.headerSent || exchange.shouldRetryStatus(response.http.StatusCode) {
		response.discard()
		return unknown{reason: "group " + target.Name + " answered " + response.http.Status}
	}
	response.release()
	exchange.copyHeader(response.http)
	exchange.respond(response.http.StatusCode, body)
	exchange.log("failed", response.http.StatusCode, "group "+target.Name+" failed")
	return answered{}
}

// errGroupStalled is the cause of cancelling an attempt at a group all of whose
// streams have stalled.
var errGroupStalled = errors.New("streams of the group stalled")

// errCallerNotReading is returned if a write to the caller fails.
var errCallerNotReading = errors.New("caller does not read")

// errNotTheStream is returned for an answer that does not go on with the stream after its
// last event.
var errNotTheStream = errors.New("answer does not go on with the stream")

// errEmptyStream is returned for a stream without any byte that ends with its connection. A
// target that ends right after the header sends the same.
var errEmptyStream = errors.New("stream without a byte ended with its connection")

// mediaType returns the type of an answer's body without parameters.
func mediaType(answer *http.Response) string {
	name, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// forwardEvents sends the events of one attempt to the caller. Each event must
// arrive within timeout, the first one within firstTimeout. It returns nil at the
// end of a complete stream, and errCallerNotReading if the caller does not read.
func (delivery *delivery) forwardEvents(response *response, target string, stream *route.MonitoredStream, firstTimeout, timeout time.Duration) error {
	if delivery.headerSent && mediaType(response.http) != delivery.contentType {
		return errNotTheStream
	}
	events := newEventReader(response.http.Body)
	empty := true
	for limit := firstTimeout; ; limit = timeout {
		if err := response.setTimeout(limit); err != nil {
			return errors.Trace(response.cause(err))
		}
		response.expectBody(maxEventBytes)
		received, err := events.next()
		if err == io.EOF && empty && response.untilClose() {
			return errEmptyStream
		}
		if err == io.EOF {
			return delivery.finish()
		}
		if err != nil {
			return errors.Annotate(response.cause(err), "read stream event")
		}
		empty = false
		if !received.follows(delivery.lastEventID) {
			return errNotTheStream
		}
		delivery.recordEvent(target, stream)
		if err := delivery.write(response.http, received, !events.buffered()); err != nil {
			return err
		}
	}
}

// write writes one event to the caller, and flushes it if flush is set. The caller
// of write sets flush unless the next event has already arrived.
func (delivery *delivery) write(answer *http.Response, received event, flush bool) error {
	exchange := delivery.exchange
	delivery.sendHeader(answer)
	exchange.extendWriteDeadline()
	if _, err := exchange.writer.Write(received.bytes); err != nil {
		return errCallerNotReading
	}
	if received.id != "" {
		delivery.lastEventID = received.id
	}
	if !flush {
		return nil
	}
	return delivery.flush()
}

func (delivery *delivery) flush() error {
	if err := delivery.exchange.control.Flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// sendHeader sends the status and headers of the first attempt's response to the
// caller. Later calls do nothing.
func (delivery *delivery) sendHeader(answer *http.Response) {
	if delivery.headerSent {
		return
	}
	delivery.headerSent = true
	delivery.contentType = mediaType(answer)
	exchange := delivery.exchange
	exchange.copyHeader(answer)
	exchange.writer.WriteHeader(answer.StatusCode)
	exchange.firstEventAfter = exchange.server.config.Now().Sub(exchange.receivedAt)
	exchange.server.metrics.firstEvent.Observe(exchange.firstEventAfter.Seconds())
}

// finish flushes a complete stream. A stream without any event is an error.
func (delivery *delivery) finish() error {
	if delivery.headerSent {
		// The end is written after this, perhaps long after the last event.
		delivery.exchange.extendWriteDeadline()
		return delivery.flush()
	}
	return errors.New("stream ended without an event")
}

// giveUp ends a request that no group completed. It aborts a started stream, so
// that the caller does not take it for complete.
func (delivery *delivery) giveUp(reason string) {
	if !delivery.headerSent {
		delay := limit.RetryDelay(delivery.exchange.remaining(), delivery.exchange.server.randomFraction())
		delivery.exchange.giveUp(reason, delivery.exchange.restEndsIn()+delay)
		return
	}
	exchange := delivery.exchange
	places := exchange.noGroupReason()
	exchange.log("cut", http.StatusOK, reason)
	exchange.server.config.Logger.Info("stream to the caller aborted", zap.String("id", exchange.caller.Attempt), zap.String("last-event", delivery.lastEventID),
		zap.Duration("silence", exchange.server.config.Now().Sub(delivery.deliveredAt)), zap.Duration("remaining", exchange.remaining()), zap.String("places", places))
	httpserve.Abort(exchange.writer, exchange.request)
}
