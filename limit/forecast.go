package limit

import (
	"math"
	"sync"
	"time"
)

// ForecastConfig holds the bounds of a Forecast.
type ForecastConfig struct {
	// GapMaxAge is how long a gap between two events of a stream counts as a
	// measurement of the target's pass time.
	GapMaxAge time.Duration
}

// A Pace describes the speed and capacity of a group's engine.
type Pace struct {
	// Pass is the time of a pass without other requests.
	Pass time.Duration

	// ReadPerToken is the time in which the engine reads one token of a
	// prompt.
	ReadPerToken time.Duration

	// Slots is the number of requests that run at once. Events is the mean
	// number of events of a response; each takes a pass.
	Slots  int
	Events int

	// OtherNodesShare is the fraction of the load that comes from other
	// nodes. The unread prompts of their requests are not known, so the next
	// pass is assumed to be lengthened by them as much as the previous passes
	// were.
	OtherNodesShare float64

	// MeanPromptTokens is the mean number of tokens of a prompt. It is assumed
	// for the predicted request instead of its actual size, so that large
	// requests are not starved.
	MeanPromptTokens int
}

// A Forecast predicts when the first event of a new stream will arrive. It uses
// the gaps between the events of the streams in progress. An engine works in
// passes: a pass writes one event of each stream and reads the prompts that
// have arrived. So the gap between two events is the pass time under the load
// of all nodes, independent of the load that the nodes announce to each other.
// A new request waits for the end of the current pass and receives its first
// event at the end of the next pass, which also reads its prompt.
//
// The forecast handles load that exceeds the capacity left after targets are
// lost. A group that accepts every request lengthens its passes until all
// events are late, while a group that refuses the requests that would be late
// keeps the others on time. If responses are long, the slots are full before
// the passes grow. Then requests of all nodes queue at the engine. The queue follows from the
// requests that all nodes have in progress there (OtherNodes). Where these are not known, it
// is estimated from the waits of this node's own requests.
//
// What first events take in addition, which no field of the pace contains, is measured for
// each pool and added (correction).
//
// It is safe for concurrent use.
type Forecast struct {
	config ForecastConfig

	mutex       sync.Mutex
	targets     map[string]*targetState
	corrections map[string]*correction
}

// OtherNodes is what the other nodes together have in progress at a target.
type OtherNodes struct {
	// Known is false if the sum is missing or too old. The other fields then do not count.
	Known bool

	// Waiting is the number of requests without a first event, and UnreadTokens the tokens of
	// their prompts.
	Waiting      int
	UnreadTokens int
}

// A Prediction is the predicted time to a first event.
type Prediction struct {
	FirstEvent time.Duration

	// modelled is the part that follows from the pace of the engine and its load. measures is
	// true if what differs from it shows a cost that the pace does not contain: no queue is
	// part of the prediction.
	modelled time.Duration
	measures bool
}

type targetState struct {
	averageGap time.Duration
	gapAt      time.Time

	// pending are this node's requests whose first event has not arrived, and
	// unreadTokens is the sum of their prompt tokens.
	pending      map[*PendingRequest]bool
	unreadTokens int

	// lastWait is the time to the first event of the request that last
	// received one, and lastWaitAt is when that event arrived.
	lastWait   time.Duration
	lastWaitAt time.Time
}

// A PendingRequest is a request whose first event has not arrived.
type PendingRequest struct {
	forecast     *Forecast
	target       string
	pool         string
	promptTokens int
	prediction   Prediction
	sentAt       time.Time
}

const (
	// currentPassFraction is the fraction of the current pass that a new
	// request is assumed to wait for: three of four requests wait for at most
	// this part. With the mean instead, half of the requests at the bound
	// would be late.
	currentPassFraction = 0.75

	// gapTimeConstant is the time constant of the moving average of the gaps.
	// It covers a few passes, so that the average follows the load and not
	// the prompts that a single pass reads. The gaps of streams that receive
	// an event in the same pass count once.
	gapTimeConstant = 500 * time.Millisecond

	// waitMaxAge is how long an observed wait is used to estimate the queue
	// of other nodes' requests at the target. It is about half of the time in
	// which the response to a request is written.
	waitMaxAge = 500 * time.Millisecond
)

// NewForecast returns a forecast without recorded targets.
func NewForecast(config ForecastConfig) *Forecast {
	return &Forecast{config: config, targets: map[string]*targetState{}, corrections: map[string]*correction{}}
}

func (forecast *Forecast) state(target string) *targetState {
	state := forecast.targets[target]
	if state == nil {
		state = &targetState{pending: map[*PendingRequest]bool{}}
		forecast.targets[target] = state
	}
	return state
}

// RecordGap records the time between two events of a stream.
func (forecast *Forecast) RecordGap(target string, gap time.Duration, now time.Time) {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	state := forecast.state(target)
	if state.gapAt.IsZero() || now.Sub(state.gapAt) > forecast.config.GapMaxAge {
		state.averageGap = gap
	} else {
		weight := 1 - math.Exp(-now.Sub(state.gapAt).Seconds()/gapTimeConstant.Seconds())
		state.averageGap += time.Duration(weight * float64(gap-state.averageGap))
	}
	state.gapAt = now
}

// Begin records a request of a pool that is sent to a target now, with its prediction. The
// caller must call FirstEventArrived or End on the result.
func (forecast *Forecast) Begin(target, pool string, tokens int, prediction Prediction, now time.Time) *PendingRequest {
	request := &PendingRequest{forecast: forecast, target: target, pool: pool, promptTokens: tokens, prediction: prediction, sentAt: now}
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	state := forecast.state(target)
	state.pending[request] = true
	state.unreadTokens += tokens
	return request
}

// FirstEventArrived records that the first event has arrived.
func (request *PendingRequest) FirstEventArrived(now time.Time) {
	forecast := request.forecast
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	if state := request.remove(); state != nil {
		state.lastWait = now.Sub(request.sentAt)
		state.lastWaitAt = now
		if request.prediction.measures {
			forecast.observe(request.pool, state.lastWait-request.prediction.modelled, now)
		}
	}
}

// End records that the request has ended. It may be called after
// FirstEventArrived.
func (request *PendingRequest) End() {
	request.forecast.mutex.Lock()
	defer request.forecast.mutex.Unlock()
	request.remove()
}

// remove removes the request from the pending ones and returns the target's
// state, or nil if it has been removed before.
func (request *PendingRequest) remove() *targetState {
	state := request.forecast.targets[request.target]
	if state == nil || !state.pending[request] {
		return nil
	}
	delete(state.pending, request)
	state.unreadTokens -= request.promptTokens
	return state
}

// observedWait estimates the current wait at the target from this node's
// requests. It is the longer of two: the age of the oldest request without an
// event, and the last wait that ended, whose weight decreases to zero over
// waitMaxAge. The latter does not count if the requests of the other nodes are known: they
// show sooner that a queue has ended.
func (state *targetState) observedWait(now time.Time, othersKnown bool) time.Duration {
	longest := time.Duration(0)
	for request := range state.pending {
		longest = max(longest, now.Sub(request.sentAt))
	}
	if left := waitMaxAge - now.Sub(state.lastWaitAt); !othersKnown && left > 0 && left <= waitMaxAge {
		longest = max(longest, time.Duration(float64(state.lastWait)*float64(left)/float64(waitMaxAge)))
	}
	return longest
}

// PredictFirstEvent predicts the time to the first event of a request of a pool that is
// sent now to a target with the given load, in requests of all nodes.
func (forecast *Forecast) PredictFirstEvent(target, pool string, pace Pace, load int, others OtherNodes, now time.Time) Prediction {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	gap := pace.Pass
	unread := pace.MeanPromptTokens
	queued := time.Duration(0)
	waiting, waitingTokens := 0, 0
	if others.Known {
		waiting, waitingTokens = others.Waiting, others.UnreadTokens
	}
	if state := forecast.targets[target]; state != nil {
		waiting += len(state.pending)
		waitingTokens += state.unreadTokens
		queued = state.observedWait(now, others.Known)
		if now.Sub(state.gapAt) <= forecast.config.GapMaxAge {
			gap = max(gap, state.averageGap)
		}
	}
	passes := time.Duration(currentPassFraction*float64(gap)) + pace.Pass
	slotWait := pace.slotWait(load, gap)
	if others.Known {
		unread += pace.admittedTokens(waitingTokens, waiting, load)
		slotWait = pace.fullSlotWait(load, gap)
	} else {
		unread += waitingTokens
		passes += time.Duration(pace.OtherNodesShare * float64(gap-pace.Pass))
	}
	modelled := passes + time.Duration(unread)*pace.ReadPerToken + slotWait
	predicted := modelled + forecast.correction(pool, now)
	return Prediction{FirstEvent: max(queued, predicted), modelled: modelled, measures: slotWait == 0}
}

// admittedTokens returns the tokens of those of the waiting requests that have a slot. The
// prompts of the others are read when slots become free, which the wait for these contains.
func (pace Pace) admittedTokens(tokens, waiting, load int) int {
	if pace.Slots == 0 || load <= pace.Slots || waiting == 0 {
		return tokens
	}
	return tokens * max(0, waiting-(load-pace.Slots)) / waiting
}

// fullSlotWait is slotWait for a target whose passes this node may not have measured: each
// request that gets a slot also lengthens the passes by the time in which its prompt is read.
func (pace Pace) fullSlotWait(load int, gap time.Duration) time.Duration {
	if pace.Slots == 0 || load < pace.Slots {
		return 0
	}
	perSlot := time.Duration(pace.Events)*pace.Pass/time.Duration(pace.Slots) + time.Duration(pace.MeanPromptTokens)*pace.ReadPerToken
	return max(pace.slotWait(load, gap), time.Duration(load-pace.Slots+1)*perSlot)
}

// IdleFirstEvent predicts the time to the first event at a target without other requests.
func IdleFirstEvent(pace Pace) time.Duration {
	return time.Duration(currentPassFraction*float64(pace.Pass)) + pace.Pass + time.Duration(pace.MeanPromptTokens)*pace.ReadPerToken
}

// slotWait returns the expected time until a slot is free for a new request at
// the given load. If all slots are in use, one becomes free each time that the
// writing time of a response divided by the number of slots has passed.
func (pace Pace) slotWait(load int, gap time.Duration) time.Duration {
	if pace.Slots == 0 || load < pace.Slots {
		return 0
	}
	return time.Duration(load-pace.Slots+1) * time.Duration(pace.Events) * gap / time.Duration(pace.Slots)
}

// Retain drops the state of targets that keep does not contain, unless they
// have pending requests.
func (forecast *Forecast) Retain(keep map[string]bool) {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	for target, state := range forecast.targets {
		if !keep[target] && len(state.pending) == 0 {
			delete(forecast.targets, target)
		}
	}
}
