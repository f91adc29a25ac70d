package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/group"
)

// A heldScene is a picker beside engines that read 31,000 tokens/s at 8 places, each held for
// 800 ms.
type heldScene struct {
	picker  *Picker
	tracker *Tracker
	targets []GroupTarget
	now     time.Time
}

var heldPace = Pace{ReadPerToken: 32 * time.Microsecond, PlaceTime: 800 * time.Millisecond, Slots: 8}

func newHeldScene(names ...string) *heldScene {
	scene := &heldScene{tracker: NewTracker(), now: time.Unix(1000, 0)}
	scene.picker = NewPicker(PickerConfig{FailureDomain: "d", Source: rand.NewPCG(1, 2), Tracker: scene.tracker})
	for _, name := range names {
		scene.targets = append(scene.targets, GroupTarget{
			Name: name, Spec: "s", Epoch: 1, VM: "vm-" + name, Incarnation: "1", FailureDomain: "d", Open: true, LoadUnreported: true,
			Grant: group.Grant{Group: name, Epoch: 1, ValidUntil: scene.now.Add(time.Hour)},
		})
	}
	return scene
}

// sharedPrompt returns a prompt of 4,096 shared tokens (131 ms) and an end of its own.
func sharedPrompt(shared, end string) Prompt {
	return NewTextPrompt(strings.Repeat(fmt.Sprintf("%-8s", shared), 2048) + end)
}

func (scene *heldScene) request(prompt Prompt) GroupRequest {
	return GroupRequest{Spec: "s", Prompt: prompt, Pace: heldPace}
}

func (scene *heldScene) pick(prompt Prompt) GroupTarget {
	chosen, _ := scene.picker.PickGroup(NewTable(TableConfig{Groups: scene.targets}), scene.request(prompt), scene.now)
	return chosen
}

func (scene *heldScene) send(prompt Prompt) GroupTarget {
	chosen := scene.pick(prompt)
	scene.picker.Sent(chosen, scene.request(prompt), scene.now)
	return chosen
}

func (scene *heldScene) load(name string, count int) {
	for range count {
		scene.tracker.Start(name, scene.now)
	}
}

// Guards against a shared beginning that is read again although its holder has room, against
// one that is worth more than its read time, and against prompts of which only the first bytes
// are equal.
func TestHeldBeginningIsWeighedAgainstLoad(test *testing.T) {
	scene := newHeldScene("a", "b", "c", "d")
	holder := scene.send(sharedPrompt("x", "1")).Name
	scene.load(holder, 3)
	require.Equal(test, holder, scene.pick(sharedPrompt("x", "2")).Name, "3 requests cost 75 ms, the beginning 131 ms")
	require.NotEqual(test, holder, scene.pick(NewTextPrompt(strings.Repeat("x       ", 256)+strings.Repeat("y", 16384))).Name, "2,048 equal bytes cost 16 ms")
	require.NotEqual(test, holder, scene.pick(sharedPrompt("z", "")).Name)
	scene.load(holder, 3)
	require.NotEqual(test, holder, scene.pick(sharedPrompt("x", "3")).Name, "6 requests cost more than 131 ms")
}

// Replays a key in such demand that its holder would be the only busy target, at two thirds of
// the places. Guards against
// a hot target, and against a request that waits for a place although another target has one.
func TestHotPromptSpreadsBeforeItsHolderIsFull(test *testing.T) {
	scene := newHeldScene("a", "b", "c", "d", "e", "f")
	for number := range 4 * heldPace.Slots {
		chosen := scene.send(NewTextPrompt(strings.Repeat("hot     ", 8192)))
		require.Less(test, scene.tracker.InFlight(chosen.Name), heldPace.Slots, "request %d waits at %s", number, chosen.Name)
		scene.load(chosen.Name, 1)
		scene.now = scene.now.Add(time.Millisecond)
	}
}

// Guards against a preference for a target whose memory no longer holds the beginning: its
// running requests need the memory, or it has read other prompts since, also for other nodes.
func TestBeliefEndsUnderMemoryPressure(test *testing.T) {
	scene := newHeldScene("a", "b")
	first := sharedPrompt("x", "")
	holder := scene.send(first)
	target := func(free, running int) *GroupTarget {
		loaded := holder
		loaded.LoadUnreported, loaded.Load = false, group.Load{FreeCache: free, Running: running}
		return &loaded
	}
	held := func(target *GroupTarget) int {
		return believedTokens(target, scene.picker.holdings.held(first, scene.now)[target.Name], target.room(heldPace))
	}
	require.Equal(test, 4096, held(target(10000, 3)))
	require.Less(test, held(target(5000, 3)), 2000)
	require.Zero(test, held(target(4000, 3)))
	require.Zero(test, held(target(0, 3)), "no memory is free")
	require.Equal(test, 4096, held(target(0, 0)), "an idle target does not report its memory")
	for number := range 4 {
		scene.picker.Sent(holder, scene.request(sharedPrompt(fmt.Sprint("other", number), "")), scene.now)
	}
	require.Zero(test, held(target(20000, 0)), "16,384 tokens were read since")
	require.Positive(test, held(target(30000, 0)))
	scene.picker.SetNodes(2)
	require.Zero(test, held(target(30000, 0)), "the other node sends as much")
}

// Guards against a belief that outlives the memory of its target: a restart, a new placement,
// a conversion to another model (each a new epoch or incarnation), an attempt that broke off,
// or a long time.
func TestBeliefEndsWithTheLifeOfItsTarget(test *testing.T) {
	changes := map[string]func(scene *heldScene, target *GroupTarget){
		"incarnation": func(_ *heldScene, target *GroupTarget) { target.Incarnation = "2" },
		"epoch":       func(_ *heldScene, target *GroupTarget) { target.Epoch, target.Grant.Epoch = 2, 2 },
		"broken":      func(scene *heldScene, target *GroupTarget) { scene.picker.Forget(target.Name) },
		"removed":     func(scene *heldScene, target *GroupTarget) { scene.picker.Retain(map[string]bool{}) },
		"age":         func(scene *heldScene, _ *GroupTarget) { scene.now = scene.now.Add(heldHalfLife) },
		"model":       func(_ *heldScene, target *GroupTarget) { target.VM = "vm-other" },
	}
	for name, change := range changes {
		scene := newHeldScene("a", "b")
		holder := scene.send(sharedPrompt("x", "")).Name
		scene.load(holder, 3)
		require.Equal(test, holder, scene.pick(sharedPrompt("x", "")).Name, name)
		for index := range scene.targets {
			if scene.targets[index].Name == holder {
				change(scene, &scene.targets[index])
			}
		}
		require.NotEqual(test, holder, scene.pick(sharedPrompt("x", "")).Name, name)
	}
}

// Replays targets that lose their memory without a sign. Guards against a wrong belief that
// costs more than one read of the beginning: the request that finds it missing reads it.
func TestWrongBeliefCostsOneRead(test *testing.T) {
	scene := newHeldScene("a", "b", "c")
	holder := scene.send(sharedPrompt("x", "")).Name
	lost := holder // The target has lost its memory now.
	reads := 0
	for number := range 20 {
		chosen := scene.send(sharedPrompt("x", fmt.Sprint(number))).Name
		if chosen == lost {
			reads++
			lost = ""
		} else {
			require.Equal(test, holder, chosen)
		}
	}
	require.Equal(test, 1, reads)
}

// Guards against a preference for targets that do not hold prompts after all: the observed
// first events then do not depend on the belief.
func TestHeldPromptsThatSaveNothingCountForNothing(test *testing.T) {
	observer, spec := newPaceObserver(), groupSpec{"", "s"}
	require.InDelta(test, float64(assumedReadPerToken), float64(observer.complete(spec, Pace{}).ReadPerToken), 1000)
	for number := range 500 {
		observer.pace(spec).add(number%2*4096, 150*time.Millisecond)
	}
	require.Less(test, observer.complete(spec, Pace{}).ReadPerToken, time.Microsecond)
	for number := range 500 {
		observer.pace(spec).add(number%2*4096, time.Duration(number%2)*100*time.Millisecond)
	}
	require.InDelta(test, 24.4, observer.complete(spec, Pace{}).ReadPerToken.Seconds()*1e6, 1)
}

// Replays an overload, in which all requests wait for places. Guards against waits that are taken
// for the time to read, by which beginnings would count for nothing or for too much.
func TestWaitsDoNotChangeTheReadTime(test *testing.T) {
	scene, spec := newHeldScene("a"), groupSpec{"", "s"}
	for number := range 200 {
		prompt := sharedPrompt("x", "")
		if number%2 == 0 {
			prompt = NewTextPrompt(strings.Repeat(fmt.Sprint("new", number), 2048))
		}
		scene.load("a", 1)
		reading := scene.picker.Sent(scene.targets[0], scene.request(prompt), scene.now)
		if number >= heldPace.Slots {
			reading.FirstEventArrived(scene.now.Add(5 * time.Second))
		}
	}
	require.Equal(test, assumedReadPerToken, scene.picker.paces.complete(spec, Pace{}).ReadPerToken)
}

// Guards against places that are assumed although a report shows how many there are.
func TestPlacesFollowFromReports(test *testing.T) {
	observer, spec := newPaceObserver(), groupSpec{"", "s"}
	for _, step := range []struct {
		load group.Load
		want int
	}{{group.Load{Running: 3}, assumedSlots}, {group.Load{Running: 8, Queued: 2}, 8}, {group.Load{Running: 9}, 9}, {group.Load{}, 9}} {
		observer.report(spec, []GroupTarget{{Load: step.load}})
		require.Equal(test, step.want, observer.complete(spec, Pace{}).Slots)
	}
}

// Guards against records that grow with the targets or prompts, at the size of the largest
// deployment.
func TestHoldingsAreBounded(test *testing.T) {
	holdings := NewHoldings(1000)
	for number := range 20000 {
		target := GroupTarget{Name: fmt.Sprint(number % 9000), VM: "v", Incarnation: fmt.Sprint(number)}
		holdings.sent(&target, NewTextPrompt(fmt.Sprintf("%-64d", number/7)), defaultRoom, time.Unix(int64(number), 0))
	}
	require.LessOrEqual(test, len(holdings.current)+len(holdings.previous), 1000)
	require.LessOrEqual(test, len(holdings.holders), maxHolders)
	for _, known := range holdings.current {
		require.LessOrEqual(test, len(known), maxHoldersPerPrefix)
	}
}

// Guards against choices that change where targets keep no prompts: without a prompt, the
// picker chooses as one without holdings.
func TestRequestsWithoutPromptAreChosenAsWithoutHoldings(test *testing.T) {
	with, without := newHeldScene("a", "b", "c", "d"), newHeldScene("a", "b", "c", "d")
	without.picker = NewPicker(PickerConfig{FailureDomain: "d", Source: rand.NewPCG(1, 2), Tracker: without.tracker, HoldingsSize: -1})
	for range 200 {
		chosen := with.send(Prompt{}).Name
		require.Equal(test, without.send(Prompt{}).Name, chosen)
		with.load(chosen, 1)
		without.load(chosen, 1)
	}
	require.Empty(test, with.picker.holdings.current)
}
