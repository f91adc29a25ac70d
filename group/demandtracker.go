package group

import (
	"slices"
	"time"
)

// Times of a DemandTracker.
const (
	// rateSettle is the time until counts that decay with a second show the requests, after the
	// first of them and after a pause of the counts.
	rateSettle = 2 * time.Second

	// leastMemory is the time over which the least work counts. It is longer than a burst of 6 s
	// shows in the counts, so that such a burst moves no replicas.
	leastMemory = 8 * time.Second

	// mostMemory is the time over which the most work counts. It is longer than waves of 13 s.
	mostMemory = 14 * time.Second

	// firstMemory is the time of observation that is enough after the first start of a fleet.
	// Nothing is known before, and the members still hold the weights of a second model.
	firstMemory = time.Second

	// maxReading bounds the part of the time in which a replica reads prompts.
	maxReading = 0.9

	// maxRefusedFactor bounds the factor for refused requests, of which some are repetitions.
	maxRefusedFactor = 2
)

// A ReplicaPace is how fast a replica of a model works.
type ReplicaPace struct {
	// Slots is the number of requests that it runs at once.
	Slots int

	// Step is the time of a step, to which each request adds SequenceStep.
	Step         time.Duration
	SequenceStep time.Duration

	// ReadRate is the number of prompt tokens that it reads in a second.
	ReadRate float64
}

func (pace ReplicaPace) step(requests float64) float64 {
	return pace.Step.Seconds() + pace.SequenceStep.Seconds()*requests
}

// A PoolLoad is what callers ask of a pool in the whole fleet.
type PoolLoad struct {
	// Spec is the name of the folder's group.
	Spec string

	// Arrivals and Refused are requests per second. Running is the mean number of those that
	// were sent to replicas and have not ended.
	Arrivals, Refused, Running float64

	// PromptTokens are those of the prompts that are sent to replicas in a second.
	PromptTokens float64

	// Replicas is the number of replicas that serve them.
	Replicas int
	Pace     ReplicaPace
}

// work returns the number of replicas that the load would keep busy all the time. A replica
// reads prompts in the part of the time that follows from their tokens. In the rest it makes
// steps for the running requests, which take longer the more there are.
func (load PoolLoad) work() float64 {
	replicas := float64(max(load.Replicas, 1))
	slots := float64(max(load.Pace.Slots, 1))
	reading := min(load.PromptTokens/replicas/max(load.Pace.ReadRate, 1), maxReading)
	running := load.Running / replicas
	work := reading
	if step := load.Pace.step(min(running, slots)); step > 0 {
		work += (1 - reading) * running / slots * load.Pace.step(slots) / step
	}
	factor := 1.0
	if load.Refused > 0 {
		factor = min(load.Arrivals/max(load.Arrivals-load.Refused, 1), maxRefusedFactor)
	}
	return replicas * work * factor
}

// demandSample is the work of the pools at a time.
type demandSample struct {
	at       time.Time
	work     map[string]float64
	arrivals map[string]float64
}

// A DemandTracker keeps the work of the pools of the last seconds, and derives from it what
// may move replicas. It is not safe for concurrent use.
//
// The load that it answers: requests come in waves of 11 to 13 s and in bursts of 3 to 6 s. A
// replica that is converted for one of them serves the other model too late.
type DemandTracker struct {
	memory  time.Duration
	samples []demandSample

	// since is the time from which the samples have no gap.
	since time.Time
}

// NewDemandTracker returns a tracker without samples. firstStart is set if the fleet is started
// for the first time, so that there was no demand before.
func NewDemandTracker(firstStart bool) *DemandTracker {
	memory := leastMemory
	if firstStart {
		memory = firstMemory
	}
	return &DemandTracker{memory: memory}
}

// Observe adds the loads of the pools at a time. It is to be called about every second.
func (tracker *DemandTracker) Observe(now time.Time, loads []PoolLoad) {
	if count := len(tracker.samples); count == 0 || now.Sub(tracker.samples[count-1].at) > rateSettle {
		if count > 0 {
			tracker.memory = leastMemory
		}
		tracker.samples = nil
		tracker.since = now
	}
	sample := demandSample{at: now, work: map[string]float64{}, arrivals: map[string]float64{}}
	for _, load := range loads {
		sample.work[load.Spec] = load.work()
		sample.arrivals[load.Spec] = load.Arrivals
	}
	tracker.samples = append(tracker.samples, sample)
	tracker.samples = slices.DeleteFunc(tracker.samples, func(old demandSample) bool { return now.Sub(old.at) > mostMemory })
}

// Demand returns the demand for the pools, or false if it has not been observed for long enough.
func (tracker *DemandTracker) Demand(now time.Time) (DemandObserved, bool) {
	if len(tracker.samples) == 0 || now.Sub(tracker.since) < rateSettle+tracker.memory {
		return DemandObserved{}, false
	}
	pools := map[string]*PoolDemand{}
	counts := map[string]int{}
	for _, sample := range tracker.samples {
		if sample.at.Sub(tracker.since) < rateSettle {
			continue
		}
		for spec, work := range sample.work {
			pool, found := pools[spec]
			if !found {
				pool = &PoolDemand{Spec: spec, Least: -1}
				pools[spec] = pool
			}
			pool.Most = max(pool.Most, work)
			pool.Mean += work
			pool.Arrivals += sample.arrivals[spec]
			counts[spec]++
			if now.Sub(sample.at) <= leastMemory && (pool.Least < 0 || work < pool.Least) {
				pool.Least = work
			}
		}
	}
	var observed DemandObserved
	for spec, pool := range pools {
		pool.Arrivals /= float64(counts[spec])
		pool.Mean /= float64(counts[spec])
		pool.Least = max(pool.Least, 0)
		observed.Pools = append(observed.Pools, *pool)
	}
	slices.SortFunc(observed.Pools, func(one, other PoolDemand) int {
		if one.Spec < other.Spec {
			return -1
		}
		return 1
	})
	return observed, true
}
