package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/outcome"
)

const (
	// maxClaimCalls bounds the store calls for one claim.
	maxClaimCalls = 8

	// firstBackoff is the wait after the first unresolved store call; it
	// doubles with each one, up to maxBackoff.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second

	// inProgressRetry is the advice for a repeat of a request in progress.
	inProgressRetry = time.Second
)

// Response headers of bookings.
const (
	// headerReplay is "true" on the first answer to a repeated request.
	headerReplay = "Lacewingspoke-Replay"

	// headerBodyDigest is the SHA-256 of a first answer whose body was too long
	// to keep.
	headerBodyDigest = "Lacewingspoke-Body-Digest"
)

// serveBooking answers a request with an idempotency key on a route that is
// not idempotent.
func (exchange *exchange) serveBooking(ctx context.Context, key string, call *serviceCall) {
	if len(key) > booking.MaxKeyBytes {
		reason := "idempotency key is longer than " + strconv.Itoa(booking.MaxKeyBytes) + " bytes"
		exchange.refuse(http.StatusBadRequest, outcome.NotRun{Reason: reason})
		return
	}
	now := exchange.server.config.Now()
	claim := &claimCalls{
		server: exchange.server,
		ticket: booking.NewTicket(booking.TicketConfig{
			Workspace:      exchange.workspace.Name,
			IdempotencyKey: key,
			Route:          exchange.route.Name,
			Node:           exchange.server.config.Node,
			Attempt:        newAttemptID(),
			RequestDigest:  booking.RequestDigest(exchange.request.Method, exchange.request.URL.RequestURI(), call.body),
			Validity:       exchange.deadline.Sub(now),
		}, now),
	}
	switch step := claim.create(ctx).(type) {
	case booking.Send:
		exchange.runBooking(ctx, claim, call)
	case booking.Reply:
		exchange.replyEarlier(step.Reply)
	case booking.Reject:
		exchange.countBooking("rejected")
		claim.removeLater()
		exchange.refuse(http.StatusServiceUnavailable, outcome.NotRun{Reason: step.Err.Error(), RetryAfter: time.Second})
	}
}

// runBooking sends the request under its claim and completes the claim before
// it answers, so that a repeat that follows the answer finds it.
func (exchange *exchange) runBooking(ctx context.Context, claim *claimCalls, call *serviceCall) {
	call.maySend = func() bool { return claim.ticket.MaySend(exchange.server.config.Now()) }
	result, decided := call.run(ctx)
	exchange.countBooking(decided.String())
	switch decided.(type) {
	case outcome.Complete:
		claim.finish(booking.NewAnswer(result.Status, result.Header, result.Body), exchange.retention())
	case outcome.NotRun:
		claim.remove()
	}
	exchange.answerService(result, decided)
}

func (exchange *exchange) retention() time.Duration {
	retention := time.Duration(defaultRetentionPeriod)
	if config := exchange.server.config.Publisher.Current().Folder(); config != nil && config.Policy().BookingRetention > 0 {
		retention = config.Policy().BookingRetention
	}
	return retention
}

func (exchange *exchange) countBooking(result string) {
	exchange.server.metrics.bookings.WithLabelValues(result).Inc()
}

// replyEarlier answers a request whose key was used before. This request was
// not run, but its outcome is the one of the first request.
func (exchange *exchange) replyEarlier(reply booking.EarlierReply) {
	switch reply := reply.(type) {
	case booking.Replay:
		exchange.countBooking("replayed")
		exchange.replay(reply.Answer)
	case booking.InProgress:
		exchange.countBooking("in-progress")
		seconds := strconv.Itoa(int(inProgressRetry / time.Second))
		exchange.writer.Header().Set("Retry-After", seconds)
		exchange.fail(http.StatusConflict, outcome.Unknown{}, "in progress: the first request with this key has not finished")
	case booking.Unresolved:
		exchange.countBooking("unresolved")
		exchange.fail(http.StatusBadGateway, outcome.Unknown{}, "the first request with this key has an unknown outcome until an operator settles it")
	case booking.Settled:
		exchange.countBooking("settled")
		exchange.replySettled(reply.Settlement)
	case booking.Mismatch:
		exchange.countBooking("mismatch")
		exchange.refuse(http.StatusUnprocessableEntity, outcome.NotRun{Reason: "the idempotency key was used for a different request"})
	}
}

func (exchange *exchange) replay(answer booking.Answer) {
	header := exchange.writer.Header()
	header.Set(headerReplay, "true")
	if answer.Location != "" {
		header.Set("Location", answer.Location)
	}
	if answer.BodyDigest == "" {
		exchange.respond(answer.Status, outcome.Complete{}, answer.ContentType, answer.Body)
		return
	}
	header.Set(headerBodyDigest, "sha-256="+answer.BodyDigest)
	exchange.respond(answer.Status, outcome.Complete{}, "", nil)
}

// replySettled reports an operator's decision. The answer itself is not known.
func (exchange *exchange) replySettled(settlement booking.Settlement) {
	if settlement.Ran {
		exchange.fail(http.StatusConflict, outcome.Complete{}, "an operator settled that the first request with this key ran")
		return
	}
	exchange.refuse(http.StatusConflict, outcome.NotRun{Reason: "an operator settled that the first request with this key did not run; use a new key"})
}

// claimCalls makes the store calls of one claim.
type claimCalls struct {
	server *Server
	ticket *booking.Ticket
}

// create stores the claim. It returns booking.Send, booking.Reply or
// booking.Reject.
func (claim *claimCalls) create(ctx context.Context) booking.Step {
	if claim.server.config.Store == nil {
		return booking.Reject{Err: errors.New("no store for claims")}
	}
	var step booking.Step = booking.CreateAgain{}
	for calls := 0; calls < maxClaimCalls; calls++ {
		if calls > 0 && !claim.pause(ctx, calls) {
			break
		}
		switch step.(type) {
		case booking.CreateAgain:
			step = claim.ticket.AfterCreate(claim.put(ctx, claim.ticket.CreateRequest()))
		case booking.Read:
		default:
			return step
		}
		if _, read := step.(booking.Read); read {
			step = claim.resolveCreate(ctx)
		}
	}
	if isFinal(step) {
		return step
	}
	return booking.Reject{Err: errors.New("the store does not answer")}
}

func isFinal(step booking.Step) bool {
	switch step.(type) {
	case booking.Send, booking.Reply, booking.Reject:
		return true
	default:
		return false
	}
}

func (claim *claimCalls) resolveCreate(ctx context.Context) booking.Step {
	entry, found, err := claim.get(ctx)
	if err != nil {
		return booking.Read{}
	}
	return claim.ticket.AfterRead(entry, found, claim.server.config.Now())
}

func (claim *claimCalls) put(ctx context.Context, request kvstore.PutRequest) kvstore.PutOutcome {
	callCtx, cancel := context.WithTimeout(ctx, claim.server.config.StoreTimeout)
	defer cancel()
	return claim.server.config.Store.Put(callCtx, request)
}

func (claim *claimCalls) get(ctx context.Context) (kvstore.Entry, bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, claim.server.config.StoreTimeout)
	defer cancel()
	entry, err := claim.server.config.Store.Get(callCtx, claim.ticket.Key())
	if errors.Is(err, errors.NotFound) {
		return kvstore.Entry{}, false, nil
	}
	return entry, err == nil, err
}

// pause waits before the next call. It returns false when ctx ends.
func (claim *claimCalls) pause(ctx context.Context, calls int) bool {
	wait := min(firstBackoff<<(calls-1), maxBackoff)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// finish stores the answer. If the store does not take it at once, the writes
// go on in the background and the caller is answered.
func (claim *claimCalls) finish(answer booking.Answer, retention time.Duration) {
	again := func(ctx context.Context) bool {
		request := claim.ticket.FinishRequest(answer, claim.server.config.Now(), retention)
		request.Lease = claim.server.leases.current(ctx, retention)
		return claim.finishOnce(ctx, request)
	}
	if again(claim.server.ctx) {
		return
	}
	claim.later(again)
}

// finishOnce returns true when nothing is left to do.
func (claim *claimCalls) finishOnce(ctx context.Context, request kvstore.PutRequest) bool {
	put := claim.put(ctx, request)
	if _, refused := put.(kvstore.Refused); refused {
		claim.server.leases.drop(request.Lease)
	}
	step := claim.ticket.AfterFinish(put)
	if _, read := step.(booking.Read); read {
		entry, found, err := claim.get(ctx)
		if err != nil {
			return false
		}
		step = claim.ticket.AfterFinishRead(entry, found)
	}
	switch step.(type) {
	case booking.Done:
		claim.count("stored")
		return true
	case booking.Lost:
		claim.count("lost")
		return true
	default:
		return false
	}
}

// remove deletes a claim under which nothing reached a service.
func (claim *claimCalls) remove() {
	if !claim.removeOnce(claim.server.ctx) {
		claim.removeLater()
	}
}

func (claim *claimCalls) removeLater() {
	if claim.ticket.MayRemove(claim.server.config.Now()) {
		claim.later(claim.removeOnce)
	}
}

// removeOnce returns true when nothing is left to do.
func (claim *claimCalls) removeOnce(ctx context.Context) bool {
	if !claim.ticket.MayRemove(claim.server.config.Now()) {
		return true
	}
	entry, found, err := claim.get(ctx)
	if err != nil {
		return false
	}
	remove, isRemove := claim.ticket.AfterRemoveRead(entry, found).(booking.Remove)
	if !isRemove {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, claim.server.config.StoreTimeout)
	defer cancel()
	deleted := claim.server.config.Store.Delete(callCtx, claim.ticket.Key(), kvstore.ExpectRevision(remove.Revision))
	if _, written := deleted.(kvstore.Written); written {
		claim.count("removed")
		return true
	}
	return false
}

// later repeats a store call in the background with growing waits. What could
// not be stored leaves a claim that reads Unknown.
func (claim *claimCalls) later(again func(context.Context) bool) {
	server := claim.server
	// A graceful stop waits for the write as it waits for a request.
	server.inFlight.Add(1)
	server.background.Go(func() {
		defer server.inFlight.Add(-1)
		for calls := 1; calls <= maxClaimCalls; calls++ {
			if !claim.pause(server.ctx, calls) {
				break
			}
			if again(server.ctx) {
				return
			}
		}
		claim.count("given-up")
	})
}

func (claim *claimCalls) count(result string) {
	claim.server.metrics.finishes.WithLabelValues(result).Inc()
}
