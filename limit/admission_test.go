package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The replays below play arrivals at nodes that share one pool of places. All nodes forecast the
// first event rightly: what is tested is who gets the places.

const (
	replayIdle      = 100 * time.Millisecond
	replayObjective = 400 * time.Millisecond
	replayTimeout   = 8 * time.Second
	replayLength    = 20 * time.Second
)

// A replayDemand is what callers of one workspace ask of one route.
type replayDemand struct {
	route, workspace string
	urgency          int
	hold             time.Duration

	// rate returns the first attempts a second, and zone the node that gets them, -1 for any.
	rate func(at time.Duration) float64
	zone int

	// repeats is how often callers send a refused request again without a pause.
	repeats int

	// size is the size of the answers, 0 for the pool's mean.
	size float64
}

// A result counts the requests of a demand.
type result struct{ asked, inTime, served int }

func (result result) share() float64       { return float64(result.served) / float64(result.asked) }
func (result result) inTimeShare() float64 { return float64(result.inTime) / float64(result.asked) }

type replayEvent struct {
	at  time.Duration
	run func()
}

type replayQueue []replayEvent

func (queue replayQueue) Len() int           { return len(queue) }
func (queue replayQueue) Less(a, b int) bool { return queue[a].at < queue[b].at }
func (queue replayQueue) Swap(a, b int)      { queue[a], queue[b] = queue[b], queue[a] }
func (queue *replayQueue) Push(pushed any)   { *queue = append(*queue, pushed.(replayEvent)) }
func (queue *replayQueue) Pop() (popped any) {
	last := len(*queue) - 1
	popped = (*queue)[last]
	*queue = (*queue)[:last]
	return
}

type replay struct {
	test    *testing.T
	demands []replayDemand
	places  func(at time.Duration) int
	nodes   []*Admission
	random  *rand.Rand

	queue   replayQueue
	now     time.Duration
	running int
	results []result

	// refusedFree counts refusals while half of the places were free, longestHeld is the
	// longest wait of a request, and plain replaces the admission by decidePlainly.
	refusedFree int
	plain       bool
	longestHeld time.Duration
}

// play returns the results by demand. Without nodes the requests compete plainly.
func play(test *testing.T, nodes int, places func(time.Duration) int, demands ...replayDemand) ([]result, *replay) {
	replay := &replay{test: test, plain: nodes == 0, demands: demands, places: places, random: rand.New(rand.NewPCG(1, 2)), results: make([]result, len(demands))}
	for range nodes {
		replay.nodes = append(replay.nodes, NewAdmission())
	}
	for index := range demands {
		replay.next(index)
	}
	for len(replay.queue) > 0 {
		event := heap.Pop(&replay.queue).(replayEvent)
		replay.now = event.at
		event.run()
	}
	for index, result := range replay.results {
		test.Logf("%s of %s: %d asked, %.2f in time, %.2f served", demands[index].route, demands[index].workspace, result.asked, result.inTimeShare(), result.share())
	}
	return replay.results, replay
}

func (replay *replay) at(at time.Duration, run func()) {
	heap.Push(&replay.queue, replayEvent{at, run})
}

func (replay *replay) next(index int) {
	rate := replay.demands[index].rate(replay.now)
	pause := time.Duration(replay.random.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
	at := replay.now + pause
	if at > replayLength {
		return
	}
	replay.at(at, func() {
		if replay.demands[index].rate(at) > 0 {
			replay.results[index].asked++
			replay.arrive(index, at, 0)
		}
		replay.next(index)
	})
}

func (replay *replay) firstEvent() time.Duration {
	places := replay.places(replay.now)
	first := replayIdle + time.Duration(float64(replayIdle)*float64(min(replay.running, places))/float64(places))
	if over := replay.running - places + 1; over > 0 {
		first += time.Duration(over) * time.Second / time.Duration(places)
	}
	return first
}

func (replay *replay) arrive(index int, firstAt time.Duration, attempt int) {
	demand := replay.demands[index]
	node := demand.zone
	if node < 0 && !replay.plain {
		node = replay.random.IntN(len(replay.nodes))
	}
	if replay.plain {
		replay.decidePlainly(index, firstAt, attempt)
		return
	}
	now := time.Unix(1000, 0).Add(replay.now)
	left := replayTimeout - (replay.now - firstAt)
	ticket := replay.nodes[node].Arrive(AdmissionRequest{
		Pool: "pool", Route: demand.route, Workspace: demand.workspace, Urgency: demand.urgency,
		Objective: replayObjective, Timeout: replayTimeout, Left: left, Work: demand.hold, Size: max(1, demand.size),
	}, now)
	if ticket.Full(now) {
		replay.refused(index, firstAt, attempt, ticket)
		return
	}
	replay.decide(index, firstAt, attempt, ticket, replay.now)
}

func (replay *replay) decide(index int, firstAt time.Duration, attempt int, ticket *AdmissionTicket, arrived time.Duration) {
	first, places := replay.firstEvent(), replay.places(replay.now)
	now := time.Unix(1000, 0).Add(replay.now)
	outlook := Outlook{Bound: replayObjective, Idle: replayIdle, Candidates: slices.Values([]AdmissionCandidate{{Group: "group", FirstEvent: first, HalfFree: 2*replay.running < places}})}
	switch verdict := ticket.Decide(outlook, now).(type) {
	case SendNow:
		replay.longestHeld = max(replay.longestHeld, replay.now-arrived)
		ticket.Sent(now)
		ticket.End()
		replay.send(index, firstAt, first)
	case WaitForPlace:
		replay.at(replay.now+verdict.For, func() { replay.decide(index, firstAt, attempt, ticket, arrived) })
	case RefuseNow:
		replay.longestHeld = max(replay.longestHeld, replay.now-arrived)
		if 2*replay.running < places {
			replay.refusedFree++
		}
		ticket.End()
		replay.refused(index, firstAt, attempt, ticket)
	}
}

// decidePlainly sends what is predicted to be in time, whoever asks, and lets the others return
// once, spread over the time that callers wait. It is what admission is compared with.
func (replay *replay) decidePlainly(index int, firstAt time.Duration, attempt int) {
	if first := replay.firstEvent(); first <= replayObjective {
		replay.send(index, firstAt, first)
		return
	}
	replay.comeBack(index, firstAt, attempt, RetryDelay(replayTimeout-(replay.now-firstAt), replay.random.Float64()))
}

func (replay *replay) send(index int, firstAt, first time.Duration) {
	replay.running++
	replay.at(replay.now+first+replay.demands[index].hold, func() { replay.running-- })
	replay.results[index].served++
	if replay.now+first-firstAt <= replayObjective {
		replay.results[index].inTime++
	}
}

// refused ends a refused attempt.
func (replay *replay) refused(index int, firstAt time.Duration, attempt int, ticket *AdmissionTicket) {
	delay := ticket.RetryAfter(replayTimeout-(replay.now-firstAt), replay.random.Float64(), time.Unix(1000, 0).Add(replay.now))
	require.GreaterOrEqual(replay.test, delay, minRetryDelay)
	replay.comeBack(index, firstAt, attempt, delay)
}

// comeBack lets the caller return once after the delay, or at once as often as it repeats.
func (replay *replay) comeBack(index int, firstAt time.Duration, attempt int, delay time.Duration) {
	if repeats := replay.demands[index].repeats; repeats > 0 {
		delay = time.Millisecond
		if attempt >= repeats {
			return
		}
	} else if attempt > 0 {
		return
	}
	replay.at(replay.now+delay, func() { replay.arrive(index, firstAt, attempt+1) })
}

func always(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func burst(rate, factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return rate * factor
		}
		return rate
	}
}

func constant(places int) func(time.Duration) int { return func(time.Duration) int { return places } }

// Guards against a kind of request with four times its demand that takes the places of others,
// against a refusal while half of the places are free, and against requests that are held long.
func TestBurstOfOneKindDoesNotTakeThePlacesOfOthers(test *testing.T) {
	demands := []replayDemand{
		{route: "burst", workspace: "w", urgency: 1, hold: 2 * time.Second, zone: -1, rate: burst(30, 4, 4*time.Second, 16*time.Second)},
		{route: "other", workspace: "w", urgency: 1, hold: time.Second, zone: -1, rate: always(20)},
	}
	plain, _ := play(test, 0, constant(100), demands...)
	require.Less(test, plain[1].inTimeShare(), 0.6, "the load is no burst")
	results, replay := play(test, 4, constant(100), demands...)
	require.Greater(test, results[1].inTimeShare(), 0.85)
	require.Greater(test, results[0].share(), results[1].share()/4, "the burst is starved")
	require.Zero(test, replay.refusedFree)
	require.LessOrEqual(test, replay.longestHeld, time.Duration(heldFraction*float64(replayObjective)))
}

// Guards against callers of low urgency that are served as often as urgent ones after a failure
// domain was lost under a burst, and against their starvation.
func TestUrgentKindsKeepTheirPlacesAfterALoss(test *testing.T) {
	places := func(at time.Duration) int {
		if at >= 8*time.Second && at < 16*time.Second {
			return 60
		}
		return 100
	}
	results, _ := play(test, 4, places,
		replayDemand{route: "urgent", workspace: "w", urgency: 0, hold: time.Second, zone: -1, rate: burst(20, 1.5, 6*time.Second, 16*time.Second)},
		replayDemand{route: "usual", workspace: "w", urgency: 1, hold: time.Second, zone: -1, rate: burst(30, 2, 6*time.Second, 16*time.Second)},
		replayDemand{route: "last", workspace: "w", urgency: 2, hold: time.Second, zone: -1, rate: burst(30, 2, 6*time.Second, 16*time.Second)})
	require.Greater(test, results[0].share(), 0.95)
	require.Greater(test, results[0].inTimeShare(), 0.8)
	for index := range 2 {
		require.GreaterOrEqual(test, results[index].share()+0.05, results[index+1].share(), "a less urgent kind is served more often")
		require.GreaterOrEqual(test, results[index].inTimeShare()+0.15, results[index+1].inTimeShare())
	}
	require.Greater(test, results[2].share(), 0.25, "the least urgent kind is starved")
}

// Guards against callers that repeat at once and take the places of those that wait.
func TestRepeatsAtOnceGainNothing(test *testing.T) {
	results, _ := play(test, 4, constant(60),
		replayDemand{route: "kind", workspace: "patient", urgency: 1, hold: time.Second, zone: -1, rate: always(40)},
		replayDemand{route: "kind", workspace: "hasty", urgency: 1, hold: time.Second, zone: -1, rate: always(40), repeats: 4})
	require.GreaterOrEqual(test, results[0].share()+0.05, results[1].share())
}

// Guards against a key with much of the demand that takes the places of other workspaces of the
// same route, and against small workspaces that starve beside a large one.
func TestHotKeyAndLargeWorkspacePayFirst(test *testing.T) {
	demands := []replayDemand{{route: "kind", workspace: "large", urgency: 1, hold: time.Second, zone: -1, rate: burst(30, 4, 5*time.Second, 15*time.Second)}}
	for index := range 6 {
		demands = append(demands, replayDemand{route: "kind", workspace: fmt.Sprint("small-", index), urgency: 1, hold: time.Second, zone: -1, rate: always(5)})
	}
	results, _ := play(test, 2, constant(80), demands...)
	for _, small := range results[1:] {
		require.Greater(test, small.share(), 0.9)
		require.Greater(test, small.inTimeShare(), 0.7)
	}
	require.Greater(test, results[0].share(), 0.25)
}

// Guards against nodes whose demand peaks at different times, so that each refuses in its own
// peak what the others have places for, or one zone's callers are starved.
func TestWavesOfUnevenZones(test *testing.T) {
	wave := func(rate float64, phase time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if (at+phase)%(12*time.Second) < 6*time.Second {
				return 1.6 * rate
			}
			return 0.4 * rate
		}
	}
	demands := []replayDemand{
		{route: "kind", workspace: "w", urgency: 1, hold: time.Second, zone: 0, rate: wave(30, 0)},
		{route: "kind", workspace: "w", urgency: 1, hold: time.Second, zone: 1, rate: wave(30, 4*time.Second)},
		{route: "kind", workspace: "w", urgency: 1, hold: time.Second, zone: 2, rate: wave(50, 8*time.Second)},
	}
	plain, _ := play(test, 0, constant(100), demands...)
	results, replay := play(test, 3, constant(100), demands...)
	for index := range results {
		require.Greater(test, results[index].share(), plain[index].share()-0.1)
	}
	require.Zero(test, replay.refusedFree)
}

// Guards against large requests that are served less than half as often as their kind.
func TestLargeRequestsAreNotStarved(test *testing.T) {
	results, _ := play(test, 4, constant(60),
		replayDemand{route: "kind", workspace: "w", urgency: 1, hold: time.Second, zone: -1, rate: always(70)},
		replayDemand{route: "kind", workspace: "w", urgency: 1, hold: 4 * time.Second, zone: -1, rate: always(7), size: 4})
	require.Greater(test, results[1].share(), results[0].share()/2)
}

// Guards against other decisions than before in calm, against a refusal that promises a place
// before those that are refused earlier, and against a deadline that the first event misses.
func TestAdmissionInCalm(test *testing.T) {
	now := time.Unix(1000, 0)
	admission := NewAdmission()
	request := AdmissionRequest{Pool: "pool", Route: "route", Objective: replayObjective, Timeout: replayTimeout, Left: replayTimeout, Work: time.Second, Size: 1}
	decide := func(request AdmissionRequest, first ...time.Duration) AdmissionVerdict {
		var candidates []AdmissionCandidate
		for index, predicted := range first {
			candidates = append(candidates, AdmissionCandidate{Group: fmt.Sprint(index), FirstEvent: predicted})
		}
		return admission.Arrive(request, now).Decide(Outlook{Bound: replayObjective, Idle: replayIdle, Candidates: slices.Values(candidates)}, now)
	}
	require.Equal(test, "0", decide(request, replayObjective, replayIdle).(SendNow).Group, "the picker's choice is kept")
	require.Equal(test, "2", decide(request, time.Second, 300*time.Millisecond, 200*time.Millisecond).(SendNow).Group)
	require.IsType(test, RefuseNow{}, decide(request))
	hurried := request
	hurried.Left = replayIdle
	require.IsType(test, RefuseNow{}, decide(hurried, 2*replayIdle))
}

// Guards against memory that grows with the names that callers send.
func TestAdmissionStateIsBounded(test *testing.T) {
	admission := NewAdmission()
	now := time.Unix(1000, 0)
	for index := range 4 * maxFlows {
		now = now.Add(10 * time.Millisecond)
		admission.Arrive(AdmissionRequest{Pool: "pool", Route: fmt.Sprint(index), Workspace: "w", Work: time.Second}, now).End()
		admission.Arrive(AdmissionRequest{Pool: fmt.Sprint(index), Route: "route", Work: time.Second}, now).End()
	}
	require.LessOrEqual(test, len(admission.pools["pool"].flows), maxFlows)
	require.LessOrEqual(test, len(admission.pools["pool"].patience), maxFlows+1)
	require.LessOrEqual(test, len(admission.pools), int(objectiveMemory/(10*time.Millisecond))+2)
}
