package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestLoads() *LoadLimiter {
	return NewLoadLimiter(LoadLimiterConfig{Window: WindowConfig{Length: 5 * time.Second, Bound: 20}, Parallel: 6, ReportDelay: 500 * time.Millisecond})
}

// simulateLoads simulates the loads of broken groups from a weight store that
// serves six loads at once without slowing down. Each group lacks one member.
// parallel bounds the concurrent loads, 0 for no bound. It returns when each
// group was complete.
func simulateLoads(groups, parallel int) []time.Duration {
	const loadTime, step = 16 * time.Second, 50 * time.Millisecond
	loads := NewLoadLimiter(LoadLimiterConfig{Window: WindowConfig{Length: 5 * time.Second, Bound: 1000}, Parallel: parallel, ReportDelay: 100 * time.Millisecond})
	left := map[string]time.Duration{}
	started := map[string]bool{}
	var complete []time.Duration
	begin := time.Unix(1000, 0)
	for now := begin; len(complete) < groups; now = now.Add(step) {
		loading := map[string]bool{}
		for name := range left {
			loading[name] = true
		}
		for index := range groups {
			name := fmt.Sprint(index)
			if !started[name] && loads.Take(now, name, false, loading) == 0 {
				started[name] = true
				left[name] = loadTime
			}
		}
		slowdown := max(1, float64(len(left))/6)
		for name := range left {
			left[name] -= time.Duration(float64(step) / slowdown)
			if left[name] <= 0 {
				delete(left, name)
				complete = append(complete, now.Sub(begin))
			}
		}
	}
	return complete
}

func mean(times []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, at := range times {
		total += at
	}
	return total / time.Duration(len(times))
}

// Guards against concurrent loads that slow each other down until no group is
// complete. After the loss of a fabric domain, 12 broken groups request a load
// at once. One such loss led to 13 concurrent loads, and no group of four was
// complete for 10 s.
func TestBoundedLoadsCompleteGroupsSooner(test *testing.T) {
	bounded := simulateLoads(12, 6)
	unbounded := simulateLoads(12, 0)
	require.Less(test, bounded[0], 17*time.Second)
	require.Greater(test, unbounded[0], 30*time.Second)
	require.Less(test, mean(bounded).Seconds(), 0.8*mean(unbounded).Seconds())
	require.InDelta(test, unbounded[11].Seconds(), bounded[11].Seconds(), 1, "the last group is complete later")
}

// Guards against preloads that take the places of groups which lack a member.
func TestPreloadsLeavePlacesForGroups(test *testing.T) {
	loads := newTestLoads()
	now := time.Unix(1000, 0)
	for index := range 3 {
		require.Zero(test, loads.Take(now, fmt.Sprint("preload-", index), true, nil))
	}
	require.Positive(test, loads.Take(now, "preload-3", true, nil))
	for index := range 3 {
		require.Zero(test, loads.Take(now, fmt.Sprint("member-", index), false, nil))
	}
	require.Positive(test, loads.Take(now, "member-3", false, nil))
}

// Guards against loads that are counted twice, as granted and as reported, or
// that are not counted between the grant and the report.
func TestGrantedLoadsCountUntilTheyAreReported(test *testing.T) {
	loads := newTestLoads()
	now := time.Unix(1000, 0)
	loading := map[string]bool{}
	for index := range 6 {
		name := fmt.Sprint(index)
		require.Zero(test, loads.Take(now, name, false, loading))
		loading[name] = true
	}
	require.Positive(test, loads.Take(now, "more", false, nil), "granted loads are not counted")
	require.Positive(test, loads.Take(now.Add(time.Second), "more", false, loading), "reported loads are not counted")
	require.Zero(test, loads.Take(now.Add(time.Second), "more", false, nil), "ended loads are counted")
}
