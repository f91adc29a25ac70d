package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// firstPatience is how many objectives the first event of a stream may take
	// before another group is tried.
	firstPatience = 4

	// leastPatience bounds the patience from below: an engine that reads a long
	// prompt is silent for some hundred milliseconds.
	leastPatience = 1200 * time.Millisecond

	// groupWait is how long a stream that has begun waits for a group to go on
	// at; callers abandon a stream after two seconds of silence.
	groupWait = 1500 * time.Millisecond
)

// A delivery is the state of a stream towards its caller.
type delivery struct {
	exchange *exchange

	// begun says that the head of the answer was sent.
	begun bool

	// last is the id of the last event that was delivered.
	last string

	// reading is the attempt whose first event has not come; lastAt is when its
	// last event came.
	reading *limit.Reading
	lastAt  time.Time

	// deliveredAt is when the caller last got an event.
	deliveredAt time.Time
}

// noteEvent tells pulse and forecast of an event.
func (delivery *delivery) noteEvent(target string, stroke *route.MonitoredStream) {
	server := delivery.exchange.server
	now := server.config.Now()
	if !delivery.deliveredAt.IsZero() {
		delivery.exchange.pause = max(delivery.exchange.pause, now.Sub(delivery.deliveredAt))
	}
	delivery.deliveredAt = now
	stroke.Event(now)
	if delivery.lastAt.IsZero() {
		delivery.reading.Arrived(now)
	} else {
		server.forecast.Gap(target, now.Sub(delivery.lastAt), now)
	}
	delivery.lastAt = now
}

// serveStream passes a request to a serving group and its events back.
func (exchange *exchange) serveStream(ctx context.Context) {
	delivery := &delivery{exchange: exchange, last: exchange.demand.ResumeAfter}
	exchange.run(ctx, course{
		next: func(excluded map[string]bool) (candidate, bool) {
			target, found := exchange.pickGroup(ctx, delivery, excluded)
			return candidate{
				name: target.Name,
				try:  func() verdict { return exchange.tryGroup(ctx, target, delivery) },
			}, found
		},
		none:   exchange.whyNoGroup,
		giveUp: delivery.giveUp,
	})
}

// pickGroup returns a group with a free place. A stream that has begun waits
// for one.
func (exchange *exchange) pickGroup(ctx context.Context, delivery *delivery, excluded map[string]bool) (route.GroupTarget, bool) {
	server := exchange.server
	until := server.config.Now().Add(groupWait)
	for {
		changed := server.config.Publisher.Changed()
		now := server.config.Now()
		table := server.config.Publisher.Current()
		target, found := server.picker.PickGroup(table, route.GroupRequest{Spec: exchange.demand.Model, Excluded: excluded}, now)
		if found && (delivery.begun || exchange.timely(target, now)) {
			return target, true
		}
		if found {
			if target, found = exchange.timeliest(table, excluded, now); found {
				return target, true
			}
		}
		if !delivery.begun || !now.Before(until) {
			return route.GroupTarget{}, false
		}
		waiting, cancel := context.WithTimeout(ctx, until.Sub(now))
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

// timely reports whether a group brings the first event within the objective.
func (exchange *exchange) timely(target route.GroupTarget, now time.Time) bool {
	return exchange.first(target, now) <= exchange.server.objective(exchange.demand.Model, exchange.route.Objective)
}

// first predicts the time to the first event at a group.
func (exchange *exchange) first(target route.GroupTarget, now time.Time) time.Duration {
	server := exchange.server
	load := server.tracker.Load(target.Name, target.Load, target.LoadReportedAt())
	return server.forecast.First(target.Name, exchange.pace(), load, now)
}

// timeliest returns the group with the earliest first event of those that are
// timely.
func (exchange *exchange) timeliest(table *route.Table, excluded map[string]bool, now time.Time) (route.GroupTarget, bool) {
	var best route.GroupTarget
	earliest := exchange.server.objective(exchange.demand.Model, exchange.route.Objective)
	found := false
	for _, target := range table.Groups(exchange.demand.Model) {
		if excluded[target.Name] || !target.Usable(now) || exchange.server.suspects.Avoided(target.Name, now) {
			continue
		}
		first := exchange.first(target, now)
		if first < earliest || !found && first == earliest {
			best, earliest, found = target, first, true
		}
	}
	return best, found
}

// whyNoGroup says what the groups of the model offered.
func (exchange *exchange) whyNoGroup() string {
	server := exchange.server
	now := server.config.Now()
	usable, avoided := 0, 0
	earliest := time.Duration(0)
	for _, target := range server.config.Publisher.Current().Groups(exchange.demand.Model) {
		first := exchange.first(target, now)
		switch {
		case !target.Usable(now):
			continue
		case server.suspects.Avoided(target.Name, now):
			avoided++
		case earliest == 0 || first < earliest:
			earliest = first
		}
		usable++
	}
	return fmt.Sprintf("no group has a place: %d serve, %d of them avoided, earliest first event in %v for an objective of %v",
		usable, avoided, earliest.Round(time.Millisecond), server.objective(exchange.demand.Model, exchange.route.Objective))
}

// pace returns what the engine does for the request's model.
func (exchange *exchange) pace() limit.Pace {
	engine := exchange.service.Engine
	factor := 1.0
	if model, found := engine.Model(exchange.demand.Model); found && model.Pace > 0 {
		factor = model.Pace
	}
	pace := limit.Pace{
		Pass:        time.Duration(factor * float64(engine.Step) * float64(max(1, engine.Stride))),
		UsualPrompt: engine.UsualPrompt,
		Slots:       engine.Slots,
		Events:      engine.UsualAnswer / max(1, engine.Stride),
		Others:      exchange.server.others(),
	}
	if engine.ReadRate > 0 {
		pace.Read = time.Duration(factor * float64(time.Second) / engine.ReadRate)
	}
	return pace
}

// tryGroup makes one attempt.
func (exchange *exchange) tryGroup(ctx context.Context, target route.GroupTarget, delivery *delivery) verdict {
	server := exchange.server
	exchange.load = server.tracker.Load(target.Name, target.Load, target.LoadReportedAt())
	exchange.predicted = exchange.first(target, server.config.Now())
	ended := server.tracker.Start(target.Name, server.config.Now())
	defer func() { ended(server.config.Now()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stroke := server.pulse.Begin(target.Name, server.config.Now(), func() { cancel(errStill) })
	defer stroke.End()
	delivery.reading = server.forecast.Begin(target.Name, exchange.demand.PromptTokens, server.config.Now())
	delivery.lastAt = time.Time{}
	defer delivery.reading.End()
	patience := min(max(firstPatience*exchange.route.Objective, leastPatience), exchange.left())
	response, err := server.client.do(ctx, exchange.call(target.VM, target.Address, delivery.last), patience)
	if err != nil {
		return exchange.broken(target.Name, err)
	}
	exchange.note(target.Name)
	answer := server.config.Codec.Answer(response.answer.StatusCode, response.answer.Header)
	exchange.observe(target.Name, answer)
	switch {
	case answer.Refused:
		response.discard()
		server.suspects.Failed(target.Name, server.config.Now())
		return notRun{reason: "group " + target.Name + " refused: " + response.answer.Status}
	case !exchange.trusted(response.answer, answer):
		response.discard()
		return unknown{reason: "group " + target.Name + " sent an answer that is not its own"}
	case response.answer.StatusCode != http.StatusOK:
		return exchange.passFailure(target, response, delivery)
	}
	if err := delivery.pass(response, target.Name, stroke, patience); err != nil {
		response.discard()
		if errors.Is(err, errCaller) {
			exchange.log("caller-left", 0, "caller does not read")
			panic(http.ErrAbortHandler)
		}
		return exchange.broken(target.Name, &callError{cause: err, sent: true})
	}
	response.finish()
	server.suspects.Succeeded(target.Name)
	exchange.log("complete", http.StatusOK, "")
	return answered{}
}

// passFailure passes a group's own failure on, unless another group may do
// better.
func (exchange *exchange) passFailure(target route.GroupTarget, response *response, delivery *delivery) verdict {
	body, err := response.readAll(maxAnswerBytes)
	if err != nil || delivery.begun || exchange.worthRepeating(response.answer.StatusCode) {
		response.discard()
		return unknown{reason: "group " + target.Name + " answered " + response.answer.Status}
	}
	response.finish()
	exchange.copyHeader(response.answer)
	exchange.respond(response.answer.StatusCode, body)
	exchange.log("failed", response.answer.StatusCode, "group "+target.Name+" failed")
	return answered{}
}

// errStill says that all streams of the group stand still.
var errStill = errors.New("streams of the group stand still")

// errCaller says that the caller takes no bytes.
var errCaller = errors.New("caller does not read")

// pass delivers the events of one attempt. It returns nil at the end of a whole
// stream and errCaller when the caller does not read.
func (delivery *delivery) pass(response *response, target string, stroke *route.MonitoredStream, patience time.Duration) error {
	events := newEventReader(response.answer.Body)
	for {
		if err := response.wait(patience); err != nil {
			return errors.Trace(response.cause(err))
		}
		received, err := events.next()
		if err == io.EOF {
			return delivery.finish()
		}
		if err != nil {
			return errors.Annotate(response.cause(err), "stream")
		}
		delivery.noteEvent(target, stroke)
		if err := delivery.write(response.answer, received, !events.waiting()); err != nil {
			return err
		}
		patience = leastPatience
	}
}

// write sends one event on, at once unless more have arrived.
func (delivery *delivery) write(answer *http.Response, received event, flush bool) error {
	exchange := delivery.exchange
	delivery.begin(answer)
	exchange.extendWrite()
	if _, err := exchange.writer.Write(received.bytes); err != nil {
		return errCaller
	}
	if received.id != "" {
		delivery.last = received.id
	}
	if !flush {
		return nil
	}
	return delivery.flush()
}

func (delivery *delivery) flush() error {
	if err := delivery.exchange.control.Flush(); err != nil {
		return errCaller
	}
	return nil
}

// begin sends the head of the first attempt's answer.
func (delivery *delivery) begin(answer *http.Response) {
	if delivery.begun {
		return
	}
	delivery.begun = true
	exchange := delivery.exchange
	exchange.copyHeader(answer)
	exchange.writer.WriteHeader(answer.StatusCode)
	exchange.firstAt = exchange.server.config.Now().Sub(exchange.started)
	exchange.server.metrics.first.Observe(exchange.firstAt.Seconds())
}

// finish ends a whole stream.
func (delivery *delivery) finish() error {
	if delivery.begun {
		return delivery.flush()
	}
	return errors.New("stream without an event")
}

// giveUp ends a request that no group completed. A stream that has begun is cut
// off, so that it does not look complete.
func (delivery *delivery) giveUp(reason string) {
	if !delivery.begun {
		delivery.exchange.giveUp(reason, limit.Return(delivery.exchange.left(), delivery.exchange.server.draw()))
		return
	}
	delivery.exchange.log("cut", http.StatusOK, reason)
	delivery.exchange.server.config.Logger.Info("stream cut", zap.String("id", delivery.exchange.demand.Attempt), zap.String("last-event", delivery.last))
	panic(http.ErrAbortHandler)
}
