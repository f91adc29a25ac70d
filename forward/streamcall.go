package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

// A streamCall is one call to a target, which reads its answer in a goroutine of
// its own. The delivery that began it reads the events, or the whole answer.
type streamCall struct {
	delivery *delivery
	attempt  *attempt
	target   callTarget
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
	// if its delivery has ended it. whole is an answer that is no stream and that may be passed
	// on to the caller, and wholeBody its body.
	done      chan struct{}
	result    attemptResult
	whole     *http.Response
	wholeBody []byte

	// head is the head of a complete answer.
	head *http.Response

	// The goroutine's own state. stream is nil for an answer that is no stream, progress for a
	// plain runner.
	stream   *route.MonitoredStream
	progress *groupProgress
	evidence *quarantine.Attempt
}

// A callEvent is an event of a call's answer.
type callEvent struct {
	call     *streamCall
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

// errNoEvent is returned for a complete stream without an event, unless it goes on after one: the
// caller may have got the last one, but not the end.
var errNoEvent = errors.New("stream ended without an event")

// beginCall begins a call to a target.
func (delivery *delivery) beginCall(ctx context.Context, target callTarget) {
	exchange := delivery.exchange
	server := exchange.server
	now := server.config.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	call := &streamCall{
		delivery: delivery, target: target, cancel: cancel, done: make(chan struct{}),
		resumed: delivery.headerSent, contentType: delivery.contentType, lastEventID: delivery.lastEventID,
	}
	to := target.to
	to.resumeAfter = delivery.lastEventID
	if exchange.route.Repeatable() {
		to.silent = call.suspect
	}
	call.attempt = exchange.begin(target.name, target.observed.life, to)
	call.evidence = server.config.Quarantine.Begin(call.attempt.life, exchange.parts, call.attempt.admission, func() { cancel(errQuarantined) })
	if exchange.streams() {
		firstGap := max(firstEventTimeoutFactor*exchange.route.Objective, minEventTimeout)
		call.stream = server.stalls(target).Begin(target.name, firstGap, now, call.suspect)
	}
	call.progress = exchange.beginProgress(target, now)
	delivery.calls = append(delivery.calls, call)
	go call.run(ctx, server.tracker.Start(target.observed.name, now))
}

// suspect informs the delivery that the call may have stalled. The call goes on.
func (call *streamCall) suspect() {
	select {
	case call.delivery.suspicions <- call:
	default:
		// The channel is full. The suspicion is repeated.
	}
}

// run makes the call. ended records its end in the tracker.
func (call *streamCall) run(ctx context.Context, ended func(time.Time)) {
	defer close(call.done)
	defer func() { ended(call.delivery.exchange.server.config.Now()) }()
	defer call.cancel(nil)
	defer call.evidence.Close()
	if call.progress != nil {
		defer func() { call.progress.end(call.delivery.exchange.server.config.Now()) }()
	}
	if call.stream != nil {
		defer call.stream.End()
	}
	call.forward(ctx)
	if call.ended(ctx) {
		call.result = nil
	}
}

// ended reports whether the delivery has ended the call.
func (call *streamCall) ended(ctx context.Context) bool { return context.Cause(ctx) == errNotNeeded }

// forward sends the request, posts the events of the answer and sets the result.
func (call *streamCall) forward(ctx context.Context) {
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
	answer := server.parseAnswer(call.target.observed, exchange.sentRequest(sentAt), response)
	call.attempt.recordFailure(response, answer)
	switch {
	case answer.Refused:
		call.result = call.attempt.refused(response, answer)
		return
	case !isOwnResponse(exchange.sentRequest(sentAt), response, answer):
		response.discard()
		exchange.countAttempt("not-its-own")
		call.result = unknown{reason: "target " + call.target.name + " sent an answer that is not its own"}
		return
	case !call.streams(response.http):
		call.readWhole(ctx, response)
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
	call.succeeded(response)
}

// succeeded records the end of a complete answer.
func (call *streamCall) succeeded(response *response) {
	exchange := call.delivery.exchange
	server := exchange.server
	server.observeTrailer(call.target.observed, exchange.caller.Attempt, response.http)
	call.evidence.Completed(server.config.Now())
	server.suspects.Succeeded(call.target.name)
	call.head = response.http
	exchange.countAttempt("complete")
	call.result = completed{}
}

// streams reports whether an answer is read event by event. The route says so, and a target
// that answers with something else says that.
func (call *streamCall) streams(answer *http.Response) bool {
	if !call.delivery.exchange.streams() || answer.StatusCode != http.StatusOK {
		return false
	}
	name := mediaType(answer)
	return call.resumed || name == "" || name == eventStreamType
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// timeout returns the time after which the call ends without the next event. That of a
// stream that has started does not end for silence: its target may only be slow, and another
// call delivers the next event if it can. An answer that is no stream may take all the time.
func (call *streamCall) timeout() time.Duration {
	exchange := call.delivery.exchange
	if call.resumed || call.attempt.began || !exchange.streams() {
		return exchange.remaining()
	}
	return min(exchange.patience(), exchange.remaining())
}

// readWhole reads an answer that is no stream. A failure is passed on only if no other target
// gets the request.
func (call *streamCall) readWhole(ctx context.Context, response *response) {
	exchange := call.delivery.exchange
	call.result = unknown{reason: "target " + call.target.name + " answered " + response.http.Status}
	if err := response.setTimeout(exchange.remaining()); err != nil {
		response.discard()
		return
	}
	body, err := response.readAll(maxAnswerBytes)
	if err != nil {
		response.discard()
		if !call.ended(ctx) {
			call.result = call.attempt.broken(ctx, call.evidence, err)
		}
		return
	}
	response.release()
	call.whole, call.wholeBody = response.http, body
	if response.http.StatusCode < http.StatusMultipleChoices && !call.resumed {
		call.succeeded(response)
		return
	}
	exchange.countAttempt("failed")
}

// mediaType returns the type of an answer's body without parameters.
func mediaType(answer *http.Response) string {
	name, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// readEvents posts the events of an answer until its end. It returns nil at the end of a
// complete stream.
func (call *streamCall) readEvents(ctx context.Context, response *response) error {
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
		case err == io.EOF && empty && call.lastEventID == "":
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
func (call *streamCall) post(ctx context.Context, posted callEvent) bool {
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

// recordEvent records the arrival of an event.
func (call *streamCall) recordEvent(received event) {
	server := call.delivery.exchange.server
	now := server.config.Now()
	if received.id != "" {
		call.lastEventID = received.id
	}
	call.attempt.began = true
	call.stream.Event(now)
	call.evidence.EventArrived(now)
	if call.progress != nil {
		call.progress.event(now)
	}
	if direct := call.attempt.direct; direct != nil {
		direct.received(now)
		server.answered(direct.target, false)
	}
}
