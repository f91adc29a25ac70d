package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/traffic"
)

// A groupCall is one call to a group, which reads the events of a stream in a goroutine of
// its own. The delivery that began it reads its events.
type groupCall struct {
	delivery *delivery
	attempt  *attempt
	target   route.GroupTarget
	cancel   context.CancelCauseFunc

	// resumed is true if the stream has started: the call must go on after lastEventID, with
	// an answer of contentType.
	resumed     bool
	contentType string
	lastEventID string

	// suspectedAt is when the call was last suspected, zero if it is not.
	// delivered is true once an event of the call was passed on.
	suspectedAt time.Time
	delivered   bool

	// done is closed at the end of the goroutine. result is the result of the call then, nil
	// if its delivery has ended it. failure is an error response that may be passed on to the
	// caller, and failureBody its body.
	done        chan struct{}
	result      attemptResult
	failure     *http.Response
	failureBody []byte

	// beganAt is when the call began, and predicted the time to its first event that was
	// predicted then.
	beganAt   time.Time
	predicted time.Duration

	// The goroutine's own state.
	stream      *route.MonitoredStream
	pending     *limit.PendingRequest
	use         *traffic.Use
	evidence    *quarantine.Attempt
	lastEventAt time.Time
}

// A callEvent is an event of a call's answer.
type callEvent struct {
	call     *groupCall
	response *http.Response
	received event

	// more is true if the next event has arrived too.
	more bool
}

// completed means that the whole stream has arrived.
type completed struct{}

func (completed) attemptResult() {}

// errNotNeeded is the cause of ending a call after another one has sent the next event, or
// after the end of the request.
var errNotNeeded = errors.New("the call is not needed any more")

// errNotTheStream is returned for an answer that does not go on with the stream after its
// last event.
var errNotTheStream = errors.New("answer does not go on with the stream")

// errEmptyStream is returned for a stream without any byte that ends with its connection. A
// target that ends right after the header sends the same.
var errEmptyStream = errors.New("stream without a byte ended with its connection")

// errNoEvent is returned for a complete stream without an event.
var errNoEvent = errors.New("stream ended without an event")

// beginCall begins a call to a group.
func (delivery *delivery) beginCall(ctx context.Context, target route.GroupTarget) {
	exchange := delivery.exchange
	server := exchange.server
	now := server.config.Now()
	exchange.load = server.picker.GroupLoad(target, now)
	prediction := exchange.predict(target, now)
	exchange.predicted = prediction.FirstEvent
	server.picker.Sent(target, exchange.groupRequest(nil), now)
	ctx, cancel := context.WithCancelCause(ctx)
	call := &groupCall{
		delivery: delivery, target: target, cancel: cancel, done: make(chan struct{}),
		resumed: delivery.headerSent, contentType: delivery.contentType, lastEventID: delivery.lastEventID,
	}
	to := destination{id: target.VM, instance: target.Instance(), address: target.Address, group: target.Name, epoch: target.Epoch, failureDomain: target.FailureDomain, resumeAfter: delivery.lastEventID}
	if exchange.route.Repeatable() {
		to.silent = call.suspect
	}
	call.attempt = exchange.begin(target.Name, target.Life(), to)
	call.evidence = server.config.Quarantine.Begin(call.attempt.life, exchange.parts, call.attempt.admission, func() { cancel(errQuarantined) })
	firstGap := max(firstEventTimeoutFactor*exchange.route.Objective, minEventTimeout)
	call.stream = server.stallDetector.Begin(target.Name, firstGap, now, call.suspect)
	call.predicted = prediction.FirstEvent
	call.pending = server.forecast.Begin(target.Name, exchange.pool(), exchange.caller.PromptTokens, prediction, now)
	call.use = server.config.Traffic.Begin(exchange.pool(), target.Name, exchange.caller.PromptTokens, now)
	call.beganAt = now
	delivery.calls = append(delivery.calls, call)
	go call.run(ctx, server.tracker.Start(target.Name, now))
}

// suspect informs the delivery that the call may have stalled. The call goes on.
func (call *groupCall) suspect() {
	select {
	case call.delivery.suspicions <- call:
	default:
		// The channel is full. The suspicion is repeated.
	}
}

// run makes the call. ended records its end in the tracker.
func (call *groupCall) run(ctx context.Context, ended func(time.Time)) {
	defer close(call.done)
	defer func() { ended(call.delivery.exchange.server.config.Now()) }()
	defer call.cancel(nil)
	defer call.evidence.Close()
	defer call.stream.End()
	defer call.pending.End()
	defer func() { call.use.End(call.delivery.exchange.server.config.Now()) }()
	call.forward(ctx)
	if call.ended(ctx) {
		call.result = nil
	}
}

// ended reports whether the delivery has ended the call.
func (call *groupCall) ended(ctx context.Context) bool { return context.Cause(ctx) == errNotNeeded }

// forward sends the request, posts the events of the answer and sets the result.
func (call *groupCall) forward(ctx context.Context) {
	exchange := call.delivery.exchange
	server := exchange.server
	sentAt := server.config.Now()
	response, err := call.attempt.send(ctx, call.timeout())
	if err != nil && call.ended(ctx) {
		return
	}
	if err != nil {
		call.attempt.checkTarget(ctx, call.evidence, err)
		call.result = call.attempt.failed(err)
		return
	}
	answer := server.config.Codec.ParseAnswer(response.http.StatusCode, response.http.Header)
	observed := observedGroup(call.target)
	server.observeAnswer(observed, exchange.caller.Attempt, response.http, answer, sentAt)
	call.attempt.recordFailure(response, answer)
	switch {
	case answer.Refused:
		call.result = call.attempt.refused(response, answer)
		return
	case !isOwnResponse(exchange.caller.Attempt, response.http, answer):
		response.discard()
		call.result = unknown{reason: "group " + call.target.Name + " sent an answer that is not its own"}
		return
	case response.http.StatusCode != http.StatusOK:
		call.readFailure(response)
		return
	}
	err = call.readEvents(ctx, response)
	if err != nil {
		response.discard()
	}
	if err != nil && call.ended(ctx) {
		return
	}
	if err != nil {
		call.result = call.attempt.broken(ctx, call.evidence, err)
		return
	}
	response.release()
	server.observeTrailer(observed, exchange.caller.Attempt, response.http)
	call.evidence.Completed(server.config.Now())
	server.suspects.Succeeded(call.target.Name)
	exchange.countAttempt("complete")
	call.result = completed{}
}

// timeout returns the time after which the call ends without the next event. That of a
// stream that has started does not end for silence: its group may only be slow, and another
// call delivers the next event if it can.
func (call *groupCall) timeout() time.Duration {
	exchange := call.delivery.exchange
	if call.resumed || call.attempt.began {
		return exchange.remaining()
	}
	return min(exchange.patience(), exchange.remaining())
}

// readFailure reads the body of a group's error response.
func (call *groupCall) readFailure(response *response) {
	call.result = unknown{reason: "group " + call.target.Name + " answered " + response.http.Status}
	body, err := response.readAll(maxAnswerBytes)
	if err != nil {
		response.discard()
		return
	}
	response.release()
	call.failure, call.failureBody = response.http, body
}

// mediaType returns the type of an answer's body without parameters.
func mediaType(answer *http.Response) string {
	name, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// readEvents posts the events of an answer until its end. It returns nil at the end of a
// complete stream.
func (call *groupCall) readEvents(ctx context.Context, response *response) error {
	if call.resumed && mediaType(response.http) != call.contentType {
		return errNotTheStream
	}
	events := newEventReader(response.http.Body, response.hold, response.grow)
	empty := true
	for {
		if err := response.setTimeout(call.timeout()); err != nil {
			return errors.Trace(response.cause(err))
		}
		response.expectBody(maxEventBytes)
		received, err := events.next()
		switch {
		case err == io.EOF && empty && response.untilClose():
			return errEmptyStream
		case err == io.EOF && empty && !call.resumed:
			return errNoEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Annotate(response.cause(err), "read stream event")
		case !received.follows(call.lastEventID):
			return errNotTheStream
		}
		empty = false
		call.recordEvent(received)
		if !call.post(ctx, callEvent{call: call, response: response.http, received: received, more: events.buffered()}) {
			return errors.Trace(context.Cause(ctx))
		}
	}
}

// post passes an event to the delivery. It returns false if the call's context ends before.
func (call *groupCall) post(ctx context.Context, posted callEvent) bool {
	select {
	case call.delivery.events <- posted:
		return true
	default:
	}
	call.stream.Hold()
	defer func() { call.stream.Await(call.delivery.exchange.server.config.Now()) }()
	select {
	case call.delivery.events <- posted:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordEvent records the arrival of an event for stall detection and for the forecast.
func (call *groupCall) recordEvent(received event) {
	server := call.delivery.exchange.server
	now := server.config.Now()
	if received.id != "" {
		call.lastEventID = received.id
	}
	call.attempt.began = true
	call.stream.Event(now)
	call.evidence.EventArrived(now)
	if direct := call.attempt.direct; direct != nil {
		direct.received(now)
		server.answered(direct.target, false)
	}
	if call.lastEventAt.IsZero() {
		call.pending.FirstEventArrived(now)
		call.use.FirstEvent(now)
		server.metrics.predictionError.Observe((call.predicted - now.Sub(call.beganAt)).Seconds())
	} else {
		server.forecast.RecordGap(call.target.Name, now.Sub(call.lastEventAt), now)
	}
	call.lastEventAt = now
}
