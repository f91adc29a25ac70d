package route

import (
	"math"
	"sync"
	"time"
)

// A Pace describes the engines of a group by times, so that what a target holds can be
// weighed against the load there. A field of 0 is one that is not known.
type Pace struct {
	// ReadPerToken is the time in which an engine reads a token of a prompt.
	ReadPerToken time.Duration

	// PlaceTime is the time for which a request holds a place, and Slots the number of
	// places of a target.
	PlaceTime time.Duration
	Slots     int

	// TokensPerCacheUnit is the number of tokens in the unit in which targets report their
	// free memory, 0 for one. Room is the number of tokens that a target without such a
	// report has memory for.
	TokensPerCacheUnit int
	Room               int
}

const (
	// assumedReadPerToken is 31,000 tokens/s, and assumedPlaceTime the time for a short
	// answer. They count until requests have shown others.
	assumedReadPerToken = 32 * time.Microsecond
	assumedPlaceTime    = time.Second

	// batchSlowdown is the part of its time by which a request at a target whose places are
	// all in use takes longer than alone: each request in progress lengthens the steps.
	batchSlowdown = 0.25

	// assumedSlots is the number of places of an engine that does not name it.
	assumedSlots = 16

	// paceDecay is the weight of an observation after the next one. A hundred requests
	// count.
	paceDecay = 0.99

	// assumedReadTokens is the size of the two observations that stand for
	// assumedReadPerToken at first.
	assumedReadTokens = 2048

	// minReadVariance is the smallest variance of read tokens from which a read time
	// follows.
	minReadVariance = 64 * 64

	// maxReadPerToken bounds the observed read time, because a first event that is late for
	// another reason must not make a held prompt worth more than any wait.
	maxReadPerToken = time.Millisecond

	// maxPaces bounds the models whose pace is observed.
	maxPaces = 1024
)

// paceObserver estimates the pace of the engines of each model. It is safe for concurrent
// use.
type paceObserver struct {
	mutex sync.Mutex
	paces map[groupSpec]*observedPace
}

// observedPace fits the time to the first event as a line over the tokens that the target
// was believed to read. If targets do not hold what they are believed to, the first events
// are late for small numbers too: the line becomes flat and held prompts count less.
type observedPace struct {
	// The sums of the fit, of tokens and seconds. Older observations count less.
	count, tokens, seconds, tokensSquared, product float64

	// readPerToken is the slope of the fit when the tokens last varied enough.
	readPerToken time.Duration
	placeTime    time.Duration
	slots        int
}

func newPaceObserver() *paceObserver { return &paceObserver{paces: map[groupSpec]*observedPace{}} }

func (observer *paceObserver) pace(spec groupSpec) *observedPace {
	pace := observer.paces[spec]
	if pace != nil {
		return pace
	}
	if len(observer.paces) >= maxPaces {
		clear(observer.paces)
	}
	pace = &observedPace{readPerToken: assumedReadPerToken, placeTime: assumedPlaceTime, slots: assumedSlots}
	pace.add(0, 0)
	pace.add(assumedReadTokens, assumedReadTokens*assumedReadPerToken)
	observer.paces[spec] = pace
	return pace
}

func (pace *observedPace) add(unread int, firstEvent time.Duration) {
	tokens, seconds := float64(unread), firstEvent.Seconds()
	pace.count = pace.count*paceDecay + 1
	pace.tokens = pace.tokens*paceDecay + tokens
	pace.seconds = pace.seconds*paceDecay + seconds
	pace.tokensSquared = pace.tokensSquared*paceDecay + tokens*tokens
	pace.product = pace.product*paceDecay + tokens*seconds
	pace.fit()
}

// fit sets the read time from the observations, unless all are of about as many tokens.
func (pace *observedPace) fit() {
	mean := pace.tokens / pace.count
	variance := pace.tokensSquared/pace.count - mean*mean
	if variance < minReadVariance {
		return
	}
	slope := (pace.product/pace.count - mean*pace.seconds/pace.count) / variance
	pace.readPerToken = min(maxReadPerToken, max(0, time.Duration(slope*float64(time.Second))))
}

// complete fills in what a request's pace does not name.
func (observer *paceObserver) complete(spec groupSpec, pace Pace) Pace {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observed := observer.pace(spec)
	if pace.ReadPerToken <= 0 {
		pace.ReadPerToken = observed.readPerToken
	}
	if pace.PlaceTime <= 0 {
		pace.PlaceTime = observed.placeTime
	}
	if pace.Slots <= 0 {
		pace.Slots = observed.slots
	}
	return pace
}

// report takes the number of places from the reports of the groups. One at which requests wait
// has as many as it runs; any has as many.
func (observer *paceObserver) report(spec groupSpec, targets []GroupTarget) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	pace := observer.pace(spec)
	for index := range targets {
		load := targets[index].Load
		if targets[index].LoadUnreported || load.Running == 0 {
			continue
		}
		if load.Queued > 0 || load.Running > pace.slots {
			pace.slots = load.Running
		}
	}
}

// A Reading is a request that a group reads. It is used by one goroutine.
type Reading struct {
	paces   *paceObserver
	spec    groupSpec
	tokens  int
	held    int
	sentAt  time.Time
	firstAt time.Time

	// waits is true if the request had to wait for a place, which says nothing about the
	// time to read.
	waits bool
}

// Held returns the number of tokens of the prompt that the group was believed to hold.
func (reading *Reading) Held() int { return reading.held }

// Unread returns the number of the other tokens of the prompt.
func (reading *Reading) Unread() int { return max(0, reading.tokens-reading.held) }

// FirstEventArrived records the first event of the answer.
func (reading *Reading) FirstEventArrived(now time.Time) {
	reading.firstAt = now
	if reading.tokens == 0 || reading.waits {
		return
	}
	reading.paces.mutex.Lock()
	defer reading.paces.mutex.Unlock()
	reading.paces.pace(reading.spec).add(reading.Unread(), now.Sub(reading.sentAt))
}

// Ended records the end of a whole answer. The time that the request held its place counts from
// the first event, because the time before may include a wait.
func (reading *Reading) Ended(now time.Time) {
	if reading.firstAt.IsZero() {
		return
	}
	reading.paces.mutex.Lock()
	defer reading.paces.mutex.Unlock()
	pace := reading.paces.pace(reading.spec)
	pace.placeTime = max(time.Millisecond, time.Duration(paceDecay*float64(pace.placeTime)+(1-paceDecay)*float64(now.Sub(reading.firstAt))))
}

// placeWait returns the expected wait for a place at a target with a load, by Sakasegawa's
// approximation below Slots, where it matters only near them. Above, a place becomes free
// every PlaceTime/Slots.
func (pace Pace) placeWait(load int) time.Duration {
	between := float64(pace.PlaceTime) / float64(pace.Slots)
	if load >= pace.Slots {
		return time.Duration(between * float64(load-pace.Slots+1))
	}
	exponent := math.Sqrt(2 * float64(pace.Slots+1))
	return time.Duration(between * math.Pow(float64(load)/float64(pace.Slots), exponent))
}

// addedWait returns the wait that the time to read adds for the requests that come meanwhile:
// by Little's law as many as the load. The place itself is needed at any target.
func (pace Pace) addedWait(load int, read time.Duration) time.Duration {
	added := float64(load) * float64(pace.placeWait(load+1)-pace.placeWait(load))
	return time.Duration(added * float64(read) / float64(pace.PlaceTime))
}

// slowdown returns the time by which the requests in progress lengthen a new one.
func (pace Pace) slowdown(load int) time.Duration {
	return time.Duration(batchSlowdown * float64(pace.PlaceTime) * float64(min(load, pace.Slots)) / float64(pace.Slots))
}

// readTime returns the time in which an engine reads a number of tokens.
func (pace Pace) readTime(tokens int) time.Duration { return time.Duration(tokens) * pace.ReadPerToken }
