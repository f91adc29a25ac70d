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
	// maxClaimCalls bounds the tries of one store operation of a claim.
	maxClaimCalls = 8

	// minBackoff is the wait after the first store call without a result. The
	// wait doubles with each further one, up to maxBackoff.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second

	// inProgressRetryAfter is the Retry-After of a repeated request whose first
	// request is still in progress.
	inProgressRetryAfter = time.Second
)

// Response headers of bookings.
const (
	// headerReplay is "true" on a response that repeats the stored answer of the
	// first request with the same key.
	headerReplay = "Lacewingspoke-Replay"

	// headerBodyDigest is the SHA-256 digest of the stored answer's body when
	// the body was too long to be stored.
	headerBodyDigest = "Lacewingspoke-Body-Digest"
)

// serveBooking serves a request with an idempotency key on a route that is not
// idempotent.
func (exchange *exchange) serveBooking(ctx context.Context, key string, call *serviceCall) {
	if len(key) > booking.MaxKeyBytes {
		reason := "idempotency key is longer than " + strconv.Itoa(booking.MaxKeyBytes) + " bytes"
		exchange.refuse(http.StatusBadRequest, outcome.NotRun{Reason: reason})
		return
	}
	now := exchange.server.config.Now()
	claim := &claimClient{
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
		exchange.respondEarlier(step.Reply)
	case booking.Reject:
		exchange.countBooking("rejected")
		claim.removeInBackground()
		exchange.refuse(http.StatusServiceUnavailable, outcome.NotRun{Reason: step.Err.Error(), RetryAfter: time.Second})
	}
}

// runBooking sends the request under its claim. It stores the answer in the
// claim before it responds to the caller, so that a repeat sent after the
// response finds the answer.
func (exchange *exchange) runBooking(ctx context.Context, claim *claimClient, call *serviceCall) {
	call.maySend = func() bool { return claim.ticket.MaySend(exchange.server.config.Now()) }
	result, decided := call.run(ctx)
	exchange.countBooking(decided.String())
	switch decided.(type) {
	case outcome.Complete:
		claim.finish(booking.NewAnswer(result.Status, result.Header, result.Body), exchange.retention())
	case outcome.NotRun:
		claim.remove()
	}
	exchange.respondService(result, decided)
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

// respondEarlier responds to a request whose key was used before. This request
// was not sent; the response carries the outcome of the first request.
func (exchange *exchange) respondEarlier(reply booking.EarlierReply) {
	switch reply := reply.(type) {
	case booking.Replay:
		exchange.countBooking("replayed")
		exchange.respondStored(reply.Answer)
	case booking.InProgress:
		exchange.countBooking("in-progress")
		seconds := strconv.Itoa(int(inProgressRetryAfter / time.Second))
		exchange.writer.Header().Set("Retry-After", seconds)
		exchange.respondError(http.StatusConflict, outcome.Unknown{}, "in progress: the first request with this key has not finished")
	case booking.Unresolved:
		exchange.countBooking("unresolved")
		exchange.respondError(http.StatusBadGateway, outcome.Unknown{}, "the first request with this key has an unknown outcome until an operator settles it")
	case booking.Settled:
		exchange.countBooking("settled")
		exchange.respondSettled(reply.Settlement)
	case booking.Mismatch:
		exchange.countBooking("mismatch")
		exchange.refuse(http.StatusUnprocessableEntity, outcome.NotRun{Reason: "the idempotency key was used for a different request"})
	}
}

func (exchange *exchange) respondStored(answer booking.Answer) {
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

// respondSettled responds with the outcome that an operator recorded for the
// first request. Its answer was never stored.
func (exchange *exchange) respondSettled(settlement booking.Settlement) {
	if settlement.Ran {
		exchange.respondError(http.StatusConflict, outcome.Complete{}, "an operator settled that the first request with this key ran")
		return
	}
	exchange.refuse(http.StatusConflict, outcome.NotRun{Reason: "an operator settled that the first request with this key did not run; use a new key"})
}

// A claimClient makes the store calls of one claim.
type claimClient struct {
	server *Server
	ticket *booking.Ticket
}

// create stores the claim. It returns booking.Send, booking.Reply or
// booking.Reject.
func (claim *claimClient) create(ctx context.Context) booking.Step {
	if claim.server.config.Store == nil {
		return booking.Reject{Err: errors.New("no store for claims")}
	}
	var step booking.Step = booking.CreateAgain{}
	for calls := 0; calls < maxClaimCalls; calls++ {
		if calls > 0 && !claim.backOff(ctx, calls) {
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

func (claim *claimClient) resolveCreate(ctx context.Context) booking.Step {
	entry, found, err := claim.get(ctx)
	if err != nil {
		return booking.Read{}
	}
	return claim.ticket.AfterRead(entry, found, claim.server.config.Now())
}

func (claim *claimClient) put(ctx context.Context, request kvstore.PutRequest) kvstore.PutOutcome {
	callCtx, cancel := context.WithTimeout(ctx, claim.server.config.StoreTimeout)
	defer cancel()
	return claim.server.config.Store.Put(callCtx, request)
}

func (claim *claimClient) get(ctx context.Context) (kvstore.Entry, bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, claim.server.config.StoreTimeout)
	defer cancel()
	entry, err := claim.server.config.Store.Get(callCtx, claim.ticket.Key())
	if errors.Is(err, errors.NotFound) {
		return kvstore.Entry{}, false, nil
	}
	return entry, err == nil, err
}

// backOff waits before the next store call. It returns false when ctx is done.
func (claim *claimClient) backOff(ctx context.Context, calls int) bool {
	wait := min(minBackoff<<(calls-1), maxBackoff)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// finish stores the answer in the claim. If the first write fails, it is retried
// in the background, so that the caller's response does not wait for the store.
func (claim *claimClient) finish(answer booking.Answer, retention time.Duration) {
	write := func(ctx context.Context) bool {
		request := claim.ticket.FinishRequest(answer, claim.server.config.Now(), retention)
		request.Lease = claim.server.leases.current(ctx, retention)
		return claim.tryFinish(ctx, request)
	}
	if write(claim.server.ctx) {
		return
	}
	claim.retryInBackground(write)
}

// tryFinish writes the answer once. It returns false if the write must be
// retried.
func (claim *claimClient) tryFinish(ctx context.Context, request kvstore.PutRequest) bool {
	put := claim.put(ctx, request)
	if _, refused := put.(kvstore.Refused); refused {
		claim.server.leases.discard(request.Lease)
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

// remove deletes a claim whose request was not run, so that its key can be used
// again.
func (claim *claimClient) remove() {
	if !claim.tryRemove(claim.server.ctx) {
		claim.removeInBackground()
	}
}

// removeInBackground deletes the claim without waiting for the store, unless the
// ticket no longer permits the removal.
func (claim *claimClient) removeInBackground() {
	if claim.ticket.MayRemove(claim.server.config.Now()) {
		claim.retryInBackground(claim.tryRemove)
	}
}

// tryRemove deletes the claim once. It returns false if the deletion must be
// retried.
func (claim *claimClient) tryRemove(ctx context.Context) bool {
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

// retryInBackground retries a store operation in the background with increasing
// waits until it returns true. If all tries fail, the claim stays as it is and
// its outcome is reported as unknown once it has expired.
func (claim *claimClient) retryInBackground(operation func(context.Context) bool) {
	server := claim.server
	// Count the operation as a request in flight, so that a graceful stop waits
	// for it.
	server.inFlight.Add(1)
	server.background.Go(func() {
		defer server.inFlight.Add(-1)
		for calls := 1; calls <= maxClaimCalls; calls++ {
			if !claim.backOff(server.ctx, calls) {
				break
			}
			if operation(server.ctx) {
				return
			}
		}
		claim.count("given-up")
	})
}

func (claim *claimClient) count(result string) {
	claim.server.metrics.claimWrites.WithLabelValues(result).Inc()
}
