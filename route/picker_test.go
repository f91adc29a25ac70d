package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

var now = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

func newPicker(change func(*route.PickerConfig)) (*route.Picker, *route.Tracker) {
	tracker := route.NewTracker()
	config := route.PickerConfig{FailureDomain: "near", Source: rand.NewPCG(1, 2), Tracker: tracker, HoldingsSize: -1}
	if change != nil {
		change(&config)
	}
	return route.NewPicker(config), tracker
}

func target(name, domain string, running int) route.GroupTarget {
	return route.GroupTarget{
		Name: name, Spec: "copy", Epoch: 3, Address: name, FailureDomain: domain, Open: true,
		Grant: group.Grant{Group: name, Epoch: 3, ReportedAt: now, ValidUntil: now.Add(time.Second)},
		Load:  group.Load{Running: running},
	}
}

func table(targets ...route.GroupTarget) *route.Table {
	return route.NewTable(route.TableConfig{Groups: targets})
}

// Guards against a draft that is sent to a group without a valid grant, to one
// that is not open, or to one that was tried.
func TestPickerReturnsOnlyUsableGroups(t *testing.T) {
	expired, oldEpoch, foreign, closed := target("a", "near", 0), target("b", "near", 0), target("c", "near", 0), target("d", "near", 0)
	expired.Grant.ValidUntil = now
	oldEpoch.Grant.Epoch = 2
	foreign.Grant.Group = "x"
	closed.Open = false
	unusable := table(expired, oldEpoch, foreign, closed, target("e", "near", 0))
	picker, _ := newPicker(nil)
	_, found := picker.PickGroup(unusable, route.GroupRequest{Spec: "copy", Excluded: map[string]bool{"e": true}}, now)
	require.False(t, found)
	chosen, found := picker.PickGroup(unusable, route.GroupRequest{Spec: "copy"}, now)
	require.True(t, found)
	require.Equal(t, "e", chosen.Name)
}

// Guards against a load estimate that counts a request of the node twice or not
// at all.
func TestTrackerCorrectsLoad(t *testing.T) {
	tracker := route.NewTracker()
	load := group.Load{Running: 3, Queued: 1}
	require.Equal(t, 4, tracker.Load("a", load, now, now))
	early := tracker.Start("a", now.Add(-time.Second))
	late := tracker.Start("a", now.Add(time.Second))
	require.Equal(t, 5, tracker.Load("a", load, now, now), "the report does not include the late request")
	early(now.Add(2 * time.Second))
	early(now.Add(3 * time.Second))
	require.Equal(t, 4, tracker.Load("a", load, now, now), "the report includes the early request, which has ended")
	late(now.Add(3 * time.Second))
	require.Equal(t, 3, tracker.Load("a", load, now, now))
	require.Equal(t, 4, tracker.Load("a", load, now.Add(5*time.Second), now), "a newer report includes all requests")
	for range 9 {
		tracker.Start("a", now.Add(-time.Second))
	}
	require.Equal(t, 9, tracker.Load("a", load, now, now), "own requests are a lower bound")
	require.Equal(t, 9, tracker.Load("a", load, time.Time{}, now))
	tracker.Retain(nil)
	require.Equal(t, 9, tracker.InFlight("a"))
}

// Guards against a picker that sends all requests to the group with the lowest
// reported load until the next report, or that spreads them unevenly.
func TestPickerSpreadsLoadBetweenReports(t *testing.T) {
	picker, tracker := newPicker(nil)
	var targets []route.GroupTarget
	for index := range 8 {
		targets = append(targets, target(fmt.Sprint(index), "near", index%2))
	}
	snapshot := table(targets...)
	for range 80 {
		chosen, _ := picker.PickGroup(snapshot, route.GroupRequest{Spec: "copy"}, now)
		tracker.Start(chosen.Name, now.Add(time.Millisecond))
	}
	for _, target := range targets {
		require.InDelta(t, 10, tracker.InFlight(target.Name), 4, target.Name)
	}
}

// Guards against a target in another failure domain that is selected although the
// near one's load is within the distance cost, and against a near target that is
// selected at any load. A service's runner must be open and not excluded.
func TestPickerPrefersNearerDomainUpToCost(t *testing.T) {
	picker, _ := newPicker(nil)
	pick := func(nearLoad, farLoad int) string {
		chosen, _ := picker.PickGroup(table(target("n", "near", nearLoad), target("f", "far", farLoad)), route.GroupRequest{Spec: "copy"}, now)
		return chosen.Name
	}
	require.Equal(t, "n", pick(0, 0))
	require.Equal(t, "n", pick(2, 0))
	require.Equal(t, "f", pick(3, 0))
	services := route.NewTable(route.TableConfig{Services: []route.ServiceTarget{
		{Service: "s", Address: "closed", FailureDomain: "near"},
		{Service: "s", Address: "tried", FailureDomain: "near", Open: true},
		{Service: "s", Address: "far", FailureDomain: "far", Open: true},
	}})
	runner, found := picker.PickService(services, "s", map[string]bool{"tried": true}, now)
	require.True(t, found)
	require.Equal(t, "far", runner.Address)
	_, found = picker.PickService(services, "s", map[string]bool{"tried": true, "far": true}, now)
	require.False(t, found)
}

// Guards against prompts with a common prefix that are sent to different groups,
// and against a preference that overloads its group.
func TestPickerPrefersGroupWithCachedPrefix(t *testing.T) {
	picker, tracker := newPicker(func(config *route.PickerConfig) { config.HoldingsSize = 100 })
	var targets []route.GroupTarget
	for index := range 6 {
		targets = append(targets, target(fmt.Sprint(index), "near", 0))
	}
	snapshot := table(targets...)
	shared := strings.Repeat("system prompt ", 40)
	send := func(prompt string) string {
		request := route.GroupRequest{Spec: "copy", Prompt: route.NewTextPrompt(prompt)}
		chosen, found := picker.PickGroup(snapshot, request, now)
		require.True(t, found)
		picker.Sent(chosen, request, now)
		return chosen.Name
	}
	pick := func(suffix string) string { return send(shared + suffix) }
	first := pick("first")
	for index := range 20 {
		require.Equal(t, first, pick(fmt.Sprint(index)))
	}
	for range 5 {
		tracker.Start(first, now.Add(time.Millisecond))
	}
	second := pick("over the bound")
	require.NotEqual(t, first, second)
	require.Equal(t, second, pick("the preference moved"))
	for index := range 1000 {
		send(strings.Repeat(fmt.Sprint(index), 64))
	}
	require.NotEmpty(t, send("short"))
}

// Guards against an unreachable target that every request tries, against one that
// is never tried again, and against a request that finds no target because all are
// suspects.
func TestPickerAvoidsSuspects(t *testing.T) {
	suspects := route.NewSuspects()
	picker, _ := newPicker(func(config *route.PickerConfig) { config.Suspects = suspects })
	pick := func(after time.Duration) string {
		both := table(target("a", "near", 0), target("b", "near", 50))
		chosen, _ := picker.PickGroup(both, route.GroupRequest{Spec: "copy"}, now.Add(after))
		return chosen.Name
	}
	require.Equal(t, "a", pick(0))
	suspects.Failed("a", now)
	suspects.Failed("a", now.Add(500*time.Millisecond))
	require.Equal(t, "b", pick(900*time.Millisecond))
	suspects.Failed("b", now)
	require.Equal(t, "a", pick(900*time.Millisecond), "both are suspects")
	suspects.Succeeded("b")
	again := table(target("a", "near", 0), target("b", "near", 50))
	for index := range again.Groups("", "copy") {
		again.Groups("", "copy")[index].Grant.ValidUntil = now.Add(time.Hour)
	}
	later := now.Add(1500 * time.Millisecond)
	first, _ := picker.PickGroup(again, route.GroupRequest{Spec: "copy"}, later)
	second, _ := picker.PickGroup(again, route.GroupRequest{Spec: "copy"}, later)
	require.Equal(t, "a b", first.Name+" "+second.Name, "only one request probes a suspect")
	suspects.Failed("a", later)
	third, _ := picker.PickGroup(again, route.GroupRequest{Spec: "copy"}, later.Add(1900*time.Millisecond))
	require.Equal(t, "b", third.Name, "the time of avoidance doubles")
	suspects.Succeeded("a")
	fourth, _ := picker.PickGroup(again, route.GroupRequest{Spec: "copy"}, later)
	require.Equal(t, "a", fourth.Name)
}

// Guards against an observed load that is discarded at each renewal of a grant
// without a load. Each node would then continue to send requests to an engine
// whose slots are all in use by requests of other nodes.
func TestObservedLoadOutlivesGrantRenewals(test *testing.T) {
	picker, tracker := newPicker(nil)
	for _, name := range []string{"full", "free"} {
		ended := tracker.Start(name, now)
		defer ended(now.Add(time.Hour))
	}
	tracker.Observe("full", group.Load{Running: 26, Queued: 4}, 4*time.Second, now.Add(100*time.Millisecond))
	full, free := target("full", "d1", 0), target("free", "d1", 0)
	full.LoadUnreported, free.LoadUnreported = true, true
	for step := range 20 {
		at := now.Add(time.Duration(step+2) * 100 * time.Millisecond)
		full.Grant.ReportedAt, free.Grant.ReportedAt = at, at
		full.Grant.ValidUntil, free.Grant.ValidUntil = at.Add(time.Second), at.Add(time.Second)
		picked, found := picker.PickGroup(table(full, free), route.GroupRequest{Spec: "copy"}, at)
		require.True(test, found)
		require.Equal(test, "free", picked.Name)
		require.Equal(test, 30, tracker.Load("full", full.Load, full.LoadReportedAt(), at))
	}
}

// Guards against a load that another node observed earlier and that replaces a
// newer one.
func TestOlderObservedLoadIsIgnored(test *testing.T) {
	tracker := route.NewTracker()
	tracker.Observe("g", group.Load{Running: 20}, time.Minute, now.Add(time.Second))
	tracker.Observe("g", group.Load{Running: 3}, time.Minute, now)
	require.Equal(test, 20, tracker.Load("g", group.Load{}, time.Time{}, now.Add(time.Second)))
}
