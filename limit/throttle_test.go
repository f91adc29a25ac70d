package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/workload"
)

// Guards against an overload that moves into the engines' queues. There,
// requests are served that can no longer finish in time, and their callers
// learn only at the deadline that the outcome is unknown. Open dispatch
// finishes as many requests, but only short ones, because long ones are cut
// off.
func TestThrottleAgainstOpenDispatch(t *testing.T) {
	t.Logf("seed %d", workload.Seed)
	capacity := time.Duration(workload.EngineCapacity)
	show := func(name string, load float64, got workload.EngineResult) {
		t.Logf("load %.1f %-9s offered %d, in time %d, cut off %d, useful %.0f of %.0f engine seconds, wasted %.0f",
			load, name, got.Offered, got.InTime, got.Expired, got.Useful.Seconds(), capacity.Seconds(), got.Wasted.Seconds())
	}
	for _, load := range []float64{0.7, 1.2, 2, 4} {
		open, throttled := workload.SimulateEngines(load, false), workload.SimulateEngines(load, true)
		show("open", load, open)
		show("throttled", load, throttled)
		require.GreaterOrEqual(t, throttled.InTime, open.InTime*9/10)
		require.GreaterOrEqual(t, throttled.Useful, open.Useful)
		if load >= 2 {
			require.Greater(t, throttled.Useful, capacity*2/3)
			require.Less(t, throttled.Expired, open.Expired/2)
		}
	}
}

// Guards against a bound that is lowered twice on the same reports, that never
// recovers, or that reaches zero.
func TestThrottleBound(t *testing.T) {
	throttle := limit.NewThrottle(100)
	overload := limit.PoolLoad{Targets: 2, Running: 16, Queued: 84, Own: 50}
	require.Equal(t, 10, throttle.Observe(overload, workload.Start.Add(time.Hour)))
	require.Equal(t, 10, throttle.Observe(overload, workload.Start.Add(time.Hour+time.Millisecond)))
	require.Equal(t, 2, throttle.Observe(overload, workload.Start.Add(2*time.Hour)))
	require.Equal(t, 1, throttle.Observe(overload, workload.Start.Add(3*time.Hour)))
	require.Equal(t, 1, throttle.Observe(overload, workload.Start.Add(4*time.Hour)))
	require.Equal(t, 1, throttle.Observe(limit.PoolLoad{}, workload.Start.Add(5*time.Hour)))
	now := workload.Start.Add(5 * time.Hour)
	idle := limit.PoolLoad{Targets: 2, Running: 1}
	require.Equal(t, 1, throttle.Observe(idle, now), "the bound grows without demand")
	bound := 1
	for range 60 {
		now = now.Add(250 * time.Millisecond)
		bound = throttle.Observe(limit.PoolLoad{Targets: 2, Running: 1, Own: bound}, now)
		require.Equal(t, bound, throttle.Observe(limit.PoolLoad{Targets: 2, Running: 1, Own: bound}, now), "the bound grows more than once per interval")
	}
	require.Equal(t, 100, bound)
}
