package limit

import (
	"math"
	"sync"
	"time"
)

// ForecastConfig holds the bounds of a Forecast.
type ForecastConfig struct {
	// Memory is how long the gaps of a target's streams tell its pass time.
	Memory time.Duration
}

// A Pace is what a group's engine can do.
type Pace struct {
	// Pass is the time of a pass without other requests.
	Pass time.Duration

	// Read is the time in which a prompt token is read.
	Read time.Duration

	// Slots is the number of requests that run at once, and Events the usual
	// number of events of an answer, each of which takes a pass.
	Slots  int
	Events int

	// Others is the part of the load that comes from other nodes, whose unread
	// prompts are not known and lengthen the next pass as they did the last ones.
	Others float64

	// UsualPrompt stands for the prompt of the request that is asked for. All
	// sizes count alike, so that large requests are not starved.
	UsualPrompt int
}

// A Forecast predicts the first event of a new stream from the gaps between the
// events of the streams in progress. An engine works in passes: a pass writes
// an event of each stream and reads what has arrived, so the gap between two
// events is the pass time under the load of all nodes, whatever they tell of
// each other. A newcomer waits for the end of the present pass and gets its
// event at the end of the next one, which also reads its prompt.
//
// It answers a load above the capacity that is left after a loss: a group that
// takes every request lengthens its passes until all events are late, while
// one that refuses what would be late keeps the others on time. Where answers are
// long, the slots are full before the passes grow: then requests wait, of all
// nodes, and the waits of this node's own tell how long. It is safe for
// concurrent use.
type Forecast struct {
	config ForecastConfig

	mutex   sync.Mutex
	targets map[string]*passState
}

type passState struct {
	gap time.Duration
	at  time.Time

	// readings are this node's requests that have not brought an event, unread
	// the number of their prompt tokens.
	readings map[*Reading]bool
	unread   int

	// wait is the time to the first event of the request whose event came last,
	// at waitedAt.
	wait     time.Duration
	waitedAt time.Time
}

// A Reading is a request whose first event has not come.
type Reading struct {
	forecast *Forecast
	target   string
	tokens   int
	sent     time.Time
}

const (
	// presentPass is the part of the present pass that three of four requests
	// wait for at most. With the mean, half of those at the bound would be late.
	presentPass = 0.75

	// gapTime is the time constant of the average gap: a few passes, so that it
	// follows the load and not the prompts that a single pass reads. The gaps of
	// the streams that get an event in the same pass count once.
	gapTime = 500 * time.Millisecond

	// waitTime is how long a wait that was seen tells of the requests of other
	// nodes at the target: about half of the time that a request is written for.
	waitTime = 500 * time.Millisecond
)

// NewForecast returns a forecast that knows no target.
func NewForecast(config ForecastConfig) *Forecast {
	return &Forecast{config: config, targets: map[string]*passState{}}
}

func (forecast *Forecast) state(target string) *passState {
	state := forecast.targets[target]
	if state == nil {
		state = &passState{readings: map[*Reading]bool{}}
		forecast.targets[target] = state
	}
	return state
}

// Gap takes the time between two events of a stream.
func (forecast *Forecast) Gap(target string, gap time.Duration, now time.Time) {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	state := forecast.state(target)
	if state.at.IsZero() || now.Sub(state.at) > forecast.config.Memory {
		state.gap = gap
	} else {
		weight := 1 - math.Exp(-now.Sub(state.at).Seconds()/gapTime.Seconds())
		state.gap += time.Duration(weight * float64(gap-state.gap))
	}
	state.at = now
}

// Begin counts a request that is sent to a target now. The caller ends it with
// Arrived or End.
func (forecast *Forecast) Begin(target string, tokens int, now time.Time) *Reading {
	reading := &Reading{forecast: forecast, target: target, tokens: tokens, sent: now}
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	state := forecast.state(target)
	state.readings[reading] = true
	state.unread += tokens
	return reading
}

// Arrived says that the first event has come.
func (reading *Reading) Arrived(now time.Time) {
	forecast := reading.forecast
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	if state := reading.end(); state != nil {
		state.wait = now.Sub(reading.sent)
		state.waitedAt = now
	}
}

// End says that the request has ended. It may be called after Arrived.
func (reading *Reading) End() {
	reading.forecast.mutex.Lock()
	defer reading.forecast.mutex.Unlock()
	reading.end()
}

// end returns the target's state, nil when the reading has ended before.
func (reading *Reading) end() *passState {
	state := reading.forecast.targets[reading.target]
	if state == nil || !state.readings[reading] {
		return nil
	}
	delete(state.readings, reading)
	state.unread -= reading.tokens
	return state
}

// queued returns the wait that requests at the target show now: the age of the
// oldest that has no event, or the wait of the last one that has, which tells
// less as time goes on.
func (state *passState) queued(now time.Time) time.Duration {
	longest := time.Duration(0)
	for reading := range state.readings {
		longest = max(longest, now.Sub(reading.sent))
	}
	if left := waitTime - now.Sub(state.waitedAt); left > 0 && left <= waitTime {
		longest = max(longest, time.Duration(float64(state.wait)*float64(left)/float64(waitTime)))
	}
	return longest
}

// First returns the time to the first event of a request that is sent now to a
// target with a load of requests.
func (forecast *Forecast) First(target string, pace Pace, load int, now time.Time) time.Duration {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	gap := pace.Pass
	unread := pace.UsualPrompt
	queued := time.Duration(0)
	if state := forecast.targets[target]; state != nil {
		unread += state.unread
		queued = state.queued(now)
		if now.Sub(state.at) <= forecast.config.Memory {
			gap = max(gap, state.gap)
		}
	}
	others := time.Duration(pace.Others * float64(gap-pace.Pass))
	passes := time.Duration(presentPass*float64(gap)) + pace.Pass + others
	return max(queued, passes+time.Duration(unread)*pace.Read+pace.turn(load, gap))
}

// turn returns the time until a slot is free: with all slots in use, one comes
// free each time that a slot's part of an answer is written.
func (pace Pace) turn(load int, gap time.Duration) time.Duration {
	if pace.Slots == 0 || load < pace.Slots {
		return 0
	}
	return time.Duration(load-pace.Slots+1) * time.Duration(pace.Events) * gap / time.Duration(pace.Slots)
}

// Retain forgets the targets that keep does not contain.
func (forecast *Forecast) Retain(keep map[string]bool) {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	for target, state := range forecast.targets {
		if !keep[target] && len(state.readings) == 0 {
			delete(forecast.targets, target)
		}
	}
}
