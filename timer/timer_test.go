package timer

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// run serves a service in a synctest bubble until the test ends.
func run(t *testing.T) *Service {
	service := New(Config{Random: rand.New(rand.NewPCG(1, 2))})
	ctx, cancel := context.WithCancel(t.Context())
	go service.Run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-service.Done())
	})
	return service
}

func TestEveryKeepsItsCadence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := run(t)
		start := service.Now()
		slow := service.Every("slow", 3*time.Second, 0)
		fast := service.Every("fast", time.Second, 0)
		for count := 1; count <= 5; count++ {
			assert.Equal(t, time.Duration(count)*time.Second, (<-fast.C()).Sub(start))
		}
		assert.Equal(t, 3*time.Second, (<-slow.C()).Sub(start))
	})
}

// A subscriber that does not read must get one tick, not one for each interval.
func TestSlowSubscriberGetsOneTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := run(t)
		subscription := service.Every("slow", time.Second, 0)
		time.Sleep(time.Minute + time.Millisecond)
		assert.Len(t, subscription.C(), 1)
	})
}

// After a pause of the process the cadence starts anew: the ticks of the pause
// are not made up for, which would be a burst of renewals and polls.
func TestPauseIsNotMadeUpFor(t *testing.T) {
	service := New(Config{})
	subscription := service.Every("paused", time.Second, 0)
	resumed := subscription.due.Add(time.Hour + time.Second/2)
	assert.Equal(t, time.Second, service.fire(resumed))
	assert.Equal(t, resumed, <-subscription.C())
	service.fire(resumed.Add(time.Millisecond))
	assert.Empty(t, subscription.C())
}

func TestAfterTicksOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := run(t)
		start := service.Now()
		subscription := service.After("once", 2*time.Second, 0)
		assert.Equal(t, 2*time.Second, (<-subscription.C()).Sub(start))
		time.Sleep(time.Minute)
		assert.Empty(t, subscription.C())
		subscription.Cancel()
	})
}

// A cancelled subscription must not tick, and cancelling must not disturb the
// others' schedule.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := run(t)
		start := service.Now()
		first := service.After("first", time.Second, 0)
		second := service.After("second", 2*time.Second, 0)
		first.Cancel()
		first.Cancel()
		assert.Equal(t, 2*time.Second, (<-second.C()).Sub(start))
		assert.Empty(t, first.C())
	})
}

// Jitter must spread the ticks over its whole width and never come early.
func TestJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := run(t)
		subscription := service.Every("jitter", time.Second, time.Second)
		shortest, longest := time.Hour, time.Duration(0)
		last := service.Now()
		for range 200 {
			now := <-subscription.C()
			shortest = min(shortest, now.Sub(last))
			longest = max(longest, now.Sub(last))
			last = now
		}
		assert.GreaterOrEqual(t, shortest, time.Second)
		assert.Less(t, shortest, 1200*time.Millisecond)
		assert.Less(t, longest, 2*time.Second)
		assert.Greater(t, longest, 1800*time.Millisecond)
	})
}
