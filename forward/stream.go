package forward

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// firstEventTimeoutFactor times the route's objective is the time after which
	// another group is tried if the first event has not arrived.
	firstEventTimeoutFactor = 4

	// minEventTimeout is the smallest time without an event after which another group is
	// tried: an engine that reads a long prompt sends nothing for some hundred
	// milliseconds.
	minEventTimeout = 1200 * time.Millisecond

	// callerPatience is the shortest time without an event after which callers
	// abandon a stream. It is longer for routes with long objectives, by
	// objectivePatience and gapPatience times their objectives.
	callerPatience    = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8

	// resumeStep is the time after which a started stream looks for a group again although
	// the table has not changed: a target with a limit takes requests again.
	resumeStep = 100 * time.Millisecond

	// minResumePause is the time after which a started stream is sent again to a target that
	// refused it or broke off. It doubles up to maxResumePause. A full group completes some
	// ten streams a second.
	minResumePause = 150 * time.Millisecond
	maxResumePause = time.Second

	// maxCalls is the number of calls of one stream at the same time: one that may have
	// stalled, and the one at which the stream may go on.
	maxCalls = 2
)

// A delivery is the state of the stream that is sent to a caller, over all calls.
//
// A call that may have stalled is not ended. The delivery looks for another group and reads
// the first event of either: the group may be silent for a moment only, and another one may
// have no place.
type delivery struct {
	exchange *exchange
	search   *search

	// calls are the calls in progress, the oldest first, and superseded those that were
	// ended because another one went on.
	calls      []*streamCall
	superseded []*streamCall

	// seeking is true while another group is looked for.
	seeking bool

	// events are those of the calls. suspicions are the calls that may have stalled.
	events     chan callEvent
	suspicions chan *streamCall

	// headerSent is true once the response header has been sent to the caller. contentType
	// is the type in it.
	headerSent  bool
	contentType string

	// lastEventID is the id of the last event that was delivered, deliveredAt when it was.
	lastEventID string
	deliveredAt time.Time

	// unnumbered is true once an event without an id was delivered. No other call can go on
	// after it.
	unnumbered bool

	// pauses hold when a started stream may be sent again to a target, by instance.
	pauses map[string]resumePause
}

// A resumePause is the time for which a target that refused a stream, or broke off, gets it
// no more.
type resumePause struct {
	until    time.Time
	duration time.Duration
}

// streams reports whether the answer to the request is a stream of events. The route says so,
// whatever the kind of its service.
func (exchange *exchange) streams() bool { return exchange.route.Kind == catalog.KindStream }

// countArrival counts a request to the groups of a model, and returns a function to be called
// at its end.
func (exchange *exchange) countArrival() (ended func()) {
	server, engine := exchange.server, exchange.service.Engine
	if engine == nil {
		return func() {}
	}
	// Callers name the models, so that other names have no bound. Every node would receive them.
	if _, configured := engine.Model(exchange.caller.Model); !configured {
		return func() {}
	}
	if exchange.streams() {
		// The objective of another route is no bound on the time to a first event.
		server.objectives.Use(exchange.pool(), exchange.route.Key(), exchange.receivedAt)
	}
	server.config.Traffic.Arrived(exchange.pool(), exchange.receivedAt)
	return func() {
		if len(exchange.attempts) == 0 {
			server.config.Traffic.Refused(exchange.pool(), server.config.Now())
		}
	}
}

// serveDelivery forwards a request to a serving group, or one whose answer is a stream to a
// runner of a plain service, and passes the answer on: a stream event by event, any other
// answer whole.
func (exchange *exchange) serveDelivery(ctx context.Context) {
	defer exchange.countArrival()()
	delivery := &delivery{
		exchange: exchange, lastEventID: exchange.caller.ResumeAfter, seeking: true,
		events: make(chan callEvent), suspicions: make(chan *streamCall, maxCalls), pauses: map[string]resumePause{},
	}
	delivery.search = newSearch(exchange, attemptPlan{
		next: func(excluded map[string]bool) (candidate, bool) {
			target, found := delivery.pick(excluded)
			return candidate{
				name: target.name,
				take: func() bool { return exchange.server.take(target.to.id) },
				try: func() attemptResult {
					delivery.beginCall(ctx, target)
					return nil
				},
			}, found
		},
		noTargetReason: exchange.noTargetReason,
	})
	defer delivery.awaitCalls()
	defer delivery.endCalls()
	delivery.serve(ctx)
}

// serve begins calls and delivers their events until the stream has ended.
func (delivery *delivery) serve(ctx context.Context) {
	for {
		changed := delivery.exchange.server.config.Publisher.Changed()
		if delivery.seeking && !delivery.seek(ctx) {
			return
		}
		if !delivery.await(ctx, changed) {
			return
		}
	}
}

// await handles the next event, end or suspicion of a call. While another group is looked
// for, it also returns after a change of the table and after resumeStep. It returns false
// after the request has ended.
func (delivery *delivery) await(ctx context.Context, changed <-chan struct{}) bool {
	var again <-chan time.Time
	if delivery.seeking {
		alarm := delivery.exchange.server.config.Timers.After("resume", resumeStep, 0)
		defer alarm.Cancel()
		again = alarm.C()
	} else {
		changed = nil
	}
	var ends [maxCalls]<-chan struct{}
	for index, call := range delivery.calls {
		ends[index] = call.done
	}
	select {
	case received := <-delivery.events:
		return !slices.Contains(delivery.calls, received.call) || delivery.deliver(received)
	case <-ends[0]:
		return delivery.end(delivery.calls[0])
	case <-ends[1]:
		return delivery.end(delivery.calls[1])
	case call := <-delivery.suspicions:
		delivery.suspect(call)
	case <-changed:
	case <-again:
	case <-ctx.Done():
		for _, call := range delivery.calls {
			<-call.done
			if _, whole := call.result.(completed); whole {
				// All its events were delivered before the time was over.
				return delivery.end(call)
			}
		}
		delivery.awaitCalls()
		delivery.giveUp("the time is over; " + delivery.search.reason)
		return false
	}
	return true
}

// seek begins a call at another group, if there is one that takes the stream. Only a stream
// that has started waits for one. It returns false after it has ended the request.
func (delivery *delivery) seek(ctx context.Context) bool {
	exchange := delivery.exchange
	reason, final := "", true
	switch step := delivery.search.next(ctx).(type) {
	case chosen:
		delivery.seeking = false
		step.candidate.try()
		return true
	case quarantined:
		exchange.refuse(step.reason, quarantine.RetryAfter)
		return false
	case noTarget:
		reason, final = step.reason, !delivery.headerSent
	case exhausted:
		reason = step.reason
	default:
		panic(errors.Errorf("forward: search step %T is not handled", step))
	}
	if !final {
		return true
	}
	delivery.seeking = false
	if len(delivery.calls) > 0 {
		return true
	}
	delivery.giveUp(reason)
	return false
}

// suspect looks for another group for a call that may have stalled.
func (delivery *delivery) suspect(call *streamCall) {
	exchange := delivery.exchange
	now := exchange.server.config.Now()
	if !exchange.route.Repeatable() || delivery.unnumbered || !exchange.mayRepeat() || !slices.Contains(delivery.calls, call) || !call.suspectedAt.IsZero() && delivery.seeking {
		return
	}
	call.suspectedAt = now
	delivery.seeking = len(delivery.calls) < maxCalls
	if delivery.seeking {
		exchange.server.config.Logger.Info("looking for another target for a stream that may have stalled", zap.String("id", exchange.caller.Attempt),
			zap.String("target", call.target.name), zap.String("last-event", delivery.lastEventID))
	}
}

// deliver passes an event on to the caller and ends the other call. It returns false after
// the request has ended.
func (delivery *delivery) deliver(received callEvent) bool {
	delivery.countResumed(received.call)
	received.call.suspectedAt = time.Time{}
	delivery.seeking = false
	delivery.supersede(received.call)
	if delivery.write(received) != nil {
		delivery.abandon()
		return false
	}
	return true
}

// countResumed counts a started stream that goes on after a stall or at another group.
func (delivery *delivery) countResumed(call *streamCall) {
	resumed := delivery.exchange.server.metrics.resumed
	switch {
	case call.resumed && !call.delivered:
		resumed.WithLabelValues("moved").Inc()
	case delivery.headerSent && !call.suspectedAt.IsZero():
		resumed.WithLabelValues("kept").Inc()
	}
	call.delivered = true
}

// end handles the end of a call. It returns false after the request has ended.
func (delivery *delivery) end(ended *streamCall) bool {
	exchange := delivery.exchange
	delivery.calls = slices.DeleteFunc(delivery.calls, func(call *streamCall) bool { return call == ended })
	if ended.whole != nil && delivery.headerSent {
		// It is no end of the stream that has started.
		ended.result = unknown{reason: errNotTheStream.Error()}
	}
	if _, whole := ended.result.(completed); whole {
		delivery.supersede(nil)
		if ended.whole != nil {
			delivery.passOn(ended, "complete", "")
			return false
		}
		delivery.sendHeader(ended.head)
		if delivery.finish() != nil {
			delivery.abandon()
			return false
		}
		exchange.log("complete", http.StatusOK, "")
		return false
	}
	delivery.search.failed(ended.target.name, ended.attempt, ended.result)
	if delivery.headerSent {
		delivery.pause(ended)
	}
	if len(delivery.calls) > 0 {
		// The other call goes on. If it may have stalled, the search for a group does too.
		delivery.seeking = !delivery.calls[0].suspectedAt.IsZero()
		return true
	}
	switch {
	case ended.whole != nil && !delivery.headerSent && exchange.mayPassOn(ended.whole.StatusCode):
		delivery.passOn(ended, "failed", "target "+ended.target.name+" failed")
		return false
	case !delivery.search.mayRetry(), delivery.unnumbered, !delivery.headerSent && !exchange.mayReachAnother():
		delivery.giveUp(delivery.search.reason)
		return false
	}
	delivery.seeking = true
	return true
}

// passOn sends an answer that is no stream to the caller.
func (delivery *delivery) passOn(ended *streamCall, outcome, reason string) {
	exchange := delivery.exchange
	exchange.copyHeader(ended.whole)
	exchange.respond(ended.whole.StatusCode, ended.wholeBody)
	exchange.log(outcome, ended.whole.StatusCode, reason)
}

// pause keeps a started stream from a target for a while.
func (delivery *delivery) pause(failed *streamCall) {
	server, instance := delivery.exchange.server, failed.attempt.to.instance
	duration := min(max(2*delivery.pauses[instance].duration, minResumePause), maxResumePause)
	spread := time.Duration((0.5 + server.randomFraction()) * float64(duration))
	delivery.pauses[instance] = resumePause{until: server.config.Now().Add(spread), duration: duration}
	delete(delivery.search.excluded, failed.target.name)
	delete(delivery.search.unreached, failed.target.name)
}

// supersede ends all calls other than the one that goes on.
func (delivery *delivery) supersede(kept *streamCall) {
	if len(delivery.calls) == 1 && delivery.calls[0] == kept {
		return
	}
	for _, call := range delivery.calls {
		if call != kept {
			delivery.exchange.countAttempt("superseded")
			call.cancel(errNotNeeded)
			delivery.superseded = append(delivery.superseded, call)
		}
	}
	delivery.calls = slices.DeleteFunc(delivery.calls, func(call *streamCall) bool { return call != kept })
}

// endCalls ends all calls at the end of the request.
func (delivery *delivery) endCalls() {
	for _, call := range delivery.calls {
		call.cancel(errNotNeeded)
	}
}

// awaitCalls waits for the ends of all calls, and updates the request from their results.
func (delivery *delivery) awaitCalls() {
	for _, call := range delivery.superseded {
		<-call.done
	}
	for _, call := range delivery.calls {
		<-call.done
		if call.result != nil {
			delivery.search.failed(call.target.name, call.attempt, call.result)
		}
	}
	delivery.calls, delivery.superseded = nil, nil
}

// pick returns a target for the next call, or false.
func (delivery *delivery) pick(excluded map[string]bool) (callTarget, bool) {
	if delivery.exchange.service.Engine == nil {
		target, found := delivery.exchange.pickRunner(delivery.withoutRunners(excluded))
		return callRunner(target), found
	}
	target, found := delivery.pickGroup(excluded)
	return callGroup(target), found
}

// pickGroup returns a group for the next call, or false. Until the stream has started, the
// group must be predicted to meet the objective. A started stream accepts any group, also one
// that has refused it or has broken off.
func (delivery *delivery) pickGroup(excluded map[string]bool) (route.GroupTarget, bool) {
	exchange := delivery.exchange
	server := exchange.server
	now := server.config.Now()
	table := server.config.Publisher.Current()
	decision := delivery.decideGroup(excluded, table, now)
	if decision.preferred != "" {
		server.picker.MarkChosen(decision.preferred, now)
	}
	return decision.target, decision.found
}

// groups returns the groups that serve the request's model for its service.
func (exchange *exchange) groups(table *route.Table) []route.GroupTarget {
	return table.Groups(exchange.service.Name, exchange.caller.Model)
}

// pool is the name of these groups in the objectives.
func (exchange *exchange) pool() string {
	return group.ServiceSpec(exchange.service.Name, exchange.caller.Model)
}

// unavailable adds the groups that take no further call of this stream now to the excluded
// ones.
func (delivery *delivery) unavailable(excluded map[string]bool, table *route.Table, now time.Time) map[string]bool {
	if len(delivery.exchange.attempts) == 0 {
		return excluded
	}
	extended, takes := maps.Clone(excluded), delivery.takers(now)
	for _, target := range delivery.exchange.groups(table) {
		if !takes(target.Instance()) {
			extended[target.Name] = true
		}
	}
	return extended
}

// withoutRunners is unavailable for the runners of a plain service.
func (delivery *delivery) withoutRunners(excluded map[string]bool) map[string]bool {
	exchange := delivery.exchange
	if len(exchange.attempts) == 0 {
		return excluded
	}
	server := exchange.server
	extended, takes := maps.Clone(excluded), delivery.takers(server.config.Now())
	for _, target := range server.config.Publisher.Current().Services(exchange.service.Name) {
		if !takes(target.Instance()) {
			extended[target.ID()] = true
		}
	}
	return extended
}

// takers returns a function that reports whether an instance of a target may get a further call:
// it has none, does not pause, and is one of the targets to which the request may be sent.
func (delivery *delivery) takers(now time.Time) func(instance string) bool {
	runners, another := delivery.exchange.runners(), delivery.exchange.mayReachAnother()
	return func(instance string) bool {
		calling := slices.ContainsFunc(delivery.calls, func(call *streamCall) bool { return call.attempt.to.instance == instance })
		return !calling && (another || runners[instance]) && !now.Before(delivery.pauses[instance].until)
	}
}

// firstEventBound returns the longest predicted time to the first event at which the request
// is sent to a group. Without an objective that can be met, it is the time for which the
// caller waits.
func (exchange *exchange) firstEventBound(now time.Time) time.Duration {
	server := exchange.server
	routes := server.config.Publisher.Current().Catalog().Objectives()
	idle := limit.IdleFirstEvent(exchange.pace()) + server.forecast.Correction(exchange.pool(), now)
	if bound := server.objectives.Bound(exchange.pool(), routes, idle, now); bound > 0 {
		return bound
	}
	return min(exchange.remaining(), exchange.patience())
}

// predictFirstEvent predicts the time to the first event at a group.
func (exchange *exchange) predictFirstEvent(target route.GroupTarget, now time.Time) time.Duration {
	return exchange.predict(target, now).FirstEvent
}

func (exchange *exchange) predict(target route.GroupTarget, now time.Time) limit.Prediction {
	server := exchange.server
	use, _, known := server.config.Traffic.Group(target.Name, now)
	others := limit.OtherNodes{
		Known: known, Waiting: use.Waiting, UnreadTokens: use.UnreadTokens,
	}
	return server.forecast.PredictFirstEvent(target.Name, exchange.pool(), exchange.pace(), server.picker.GroupLoad(target, now), others, now)
}

// spread returns a group that is predicted to be in time, by the requests of all nodes and those
// that are expected within the horizon. It returns false if there is none, or none for this
// one of the requests.
func (exchange *exchange) spread(table *route.Table, excluded map[string]bool, arrivals float64, horizon time.Duration, now time.Time) (route.GroupTarget, bool) {
	server := exchange.server
	bound, pace := exchange.firstEventBound(now), exchange.pace()
	targets := exchange.trustedGroups(table, excluded, now)
	places := make([]limit.Place, len(targets))
	for index, target := range targets {
		load := server.picker.GroupLoad(target, now)
		places[index] = limit.Place{
			Room: pace.Room(load, exchange.predictFirstEvent(target, now), bound, horizon),
			Left: pace.Left(load, horizon),
		}
		if target.FailureDomain != server.config.FailureDomain {
			places[index].Left += farCost
		}
	}
	index, found := limit.Spread(places, arrivals*horizon.Seconds(), exchange.draw)
	exchange.withoutRoom = !found && slices.ContainsFunc(places, func(place limit.Place) bool { return place.Room > 0 })
	if !found {
		return route.GroupTarget{}, false
	}
	return targets[index], true
}

// farCost is the load by which a group of this node's failure domain may exceed another one
// and still get more requests, as in route.PickerConfig.
const farCost = 2

// earliestGroup returns the group with the earliest predicted first event among
// those whose prediction is within the bound. Like the picker it returns a suspect only
// if there is no other group.
func (exchange *exchange) earliestGroup(table *route.Table, excluded map[string]bool, bound time.Duration, now time.Time) (route.GroupTarget, bool) {
	return exchange.earliestOf(exchange.trustedGroups(table, excluded, now), bound, now)
}

// trustedGroups returns the groups that may be chosen, or the suspects among them if there are
// no others.
func (exchange *exchange) trustedGroups(table *route.Table, excluded map[string]bool, now time.Time) []route.GroupTarget {
	var trusted, suspects []route.GroupTarget
	for _, target := range exchange.groups(table) {
		switch {
		case excluded[target.Name] || !target.Usable(now):
		case exchange.server.suspects.Avoided(target.Name, now):
			suspects = append(suspects, target)
		default:
			trusted = append(trusted, target)
		}
	}
	if len(trusted) == 0 {
		trusted = suspects
	}
	return trusted
}

func (exchange *exchange) earliestOf(targets []route.GroupTarget, bound time.Duration, now time.Time) (route.GroupTarget, bool) {
	var best route.GroupTarget
	earliest := bound
	found := false
	for _, target := range targets {
		first := exchange.predictFirstEvent(target, now)
		if first < earliest || !found && first == earliest {
			best, earliest, found = target, first, true
		}
	}
	return best, found
}

// noTargetReason describes why no target was chosen.
func (exchange *exchange) noTargetReason() string {
	if exchange.service.Engine == nil {
		return exchange.noRunnerReason()
	}
	return exchange.noGroupReason()
}

// noGroupReason describes why no group of the model was chosen.
func (exchange *exchange) noGroupReason() string {
	if exchange.withoutRoom {
		return "the groups have no room for all expected requests: " + exchange.places()
	}
	return "no group has a place: " + exchange.places()
}

// places describes the groups of the model.
func (exchange *exchange) places() string {
	server := exchange.server
	now := server.config.Now()
	usable, avoided, full, resting := 0, 0, 0, 0
	earliest := time.Duration(0)
	for _, target := range exchange.groups(server.config.Publisher.Current()) {
		first := exchange.predictFirstEvent(target, now)
		_, closed := server.closures.Closed(target.Instance(), now)
		switch {
		case !target.Usable(now):
			continue
		case closed:
			resting++
		case server.suspects.Avoided(target.Name, now):
			avoided++
		case server.full(target.VM, now):
			full++
		case earliest == 0 || first < earliest:
			earliest = first
		}
		usable++
	}
	return fmt.Sprintf("%d serve, %d of them avoided, %d at their limit, %d resting, earliest first event in %v for a bound of %v",
		usable, avoided, full, resting, earliest.Round(time.Millisecond), exchange.firstEventBound(now).Round(time.Millisecond))
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

// targetRetryDelay returns the Retry-After of a request that no target took.
func (exchange *exchange) targetRetryDelay() time.Duration {
	if exchange.service.Engine == nil {
		return exchange.runnerRetryDelay()
	}
	return exchange.refusalDelay()
}

// patience returns the time without an event after which the caller abandons the stream.
func (exchange *exchange) patience() time.Duration {
	return max(callerPatience, objectivePatience*exchange.route.Objective, gapPatience*exchange.route.GapObjective)
}

// errCallerNotReading is returned if a write to the caller fails.
var errCallerNotReading = errors.New("caller does not read")

// write writes an event to the caller, and flushes it unless the next one has arrived.
func (delivery *delivery) write(received callEvent) error {
	exchange := delivery.exchange
	now := exchange.server.config.Now()
	if !delivery.deliveredAt.IsZero() {
		exchange.longestPause = max(exchange.longestPause, now.Sub(delivery.deliveredAt))
	}
	delivery.deliveredAt = now
	delivery.sendHeader(received.response)
	exchange.extendWriteDeadline()
	if _, err := exchange.writer.Write(received.received.bytes); err != nil {
		return errCallerNotReading
	}
	if received.received.id != "" {
		delivery.lastEventID = received.received.id
	}
	delivery.unnumbered = delivery.unnumbered || received.received.id == "" && !received.received.comment
	if received.more {
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

// finish flushes a complete stream.
func (delivery *delivery) finish() error {
	// The end is written after this, perhaps long after the last event.
	delivery.exchange.extendWriteDeadline()
	return delivery.flush()
}

// abandon ends the request of a caller that does not read.
func (delivery *delivery) abandon() {
	exchange := delivery.exchange
	exchange.log("caller-left", 0, "caller does not read")
	httpserve.Abort(exchange.writer, exchange.request)
}

// giveUp ends a request that no group completed. It aborts a started stream, so
// that the caller does not take it for complete.
func (delivery *delivery) giveUp(reason string) {
	if !delivery.headerSent {
		delivery.exchange.giveUp(reason, delivery.exchange.restEndsIn()+delivery.exchange.targetRetryDelay())
		return
	}
	exchange := delivery.exchange
	if exchange.request.Context().Err() != nil {
		exchange.log("caller-left", http.StatusOK, reason)
		httpserve.Abort(exchange.writer, exchange.request)
	}
	places := exchange.noTargetReason()
	exchange.server.metrics.resumed.WithLabelValues("aborted").Inc()
	exchange.log("cut", http.StatusOK, reason)
	exchange.server.config.Logger.Info("stream to the caller aborted", zap.String("id", exchange.caller.Attempt), zap.String("last-event", delivery.lastEventID),
		zap.Duration("silence", exchange.server.config.Now().Sub(delivery.deliveredAt)), zap.Duration("remaining", exchange.remaining()), zap.String("places", places))
	httpserve.Abort(exchange.writer, exchange.request)
}
