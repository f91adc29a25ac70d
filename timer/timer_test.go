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

// startService returns a service that runs until the test ends. It must be
// called in a synctest bubble.
func startService(t *testing.T) *Service {
	service := New(Config{Random: rand.New(rand.NewPCG(1, 2))})
	ctx, cancel := context.WithCancel(t.Context())
	go service.Run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-service.Done())
	})
	return service
}

// Guards against ticks that drift, and against subscriptions that delay each
// other.
func TestEveryTicksAtFixedInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startService(t)
		start := service.Now()
		slow := service.Every("slow", 3*time.Second, 0)
		fast := service.Every("fast", time.Second, 0)
		for count := 1; count <= 5; count++ {
			assert.Equal(t, time.Duration(count)*time.Second, (<-fast.C()).Sub(start))
		}
		assert.Equal(t, 3*time.Second, (<-slow.C()).Sub(start))
	})
}

// Guards against queued ticks: a subscriber that does not read must receive one
// tick, not one for each interval.
func TestSlowSubscriberReceivesOneTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startService(t)
		subscription := service.Every("slow", time.Second, 0)
		time.Sleep(time.Minute + time.Millisecond)
		assert.Len(t, subscription.C(), 1)
	})
}

// Guards against a burst of renewals and polls after a pause of the process: the
// interval must restart at the end of the pause, without the missed ticks.
func TestTicksMissedDuringPauseAreSkipped(t *testing.T) {
	service := New(Config{})
	subscription := service.Every("paused", time.Second, 0)
	resumed := subscription.due.Add(time.Hour + time.Second/2)
	assert.Equal(t, time.Second, service.tickDue(resumed))
	assert.Equal(t, resumed, <-subscription.C())
	service.tickDue(resumed.Add(time.Millisecond))
	assert.Empty(t, subscription.C())
}

// Guards against a subscription of After that ticks early or repeatedly.
func TestAfterTicksOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startService(t)
		start := service.Now()
		subscription := service.After("once", 2*time.Second, 0)
		assert.Equal(t, 2*time.Second, (<-subscription.C()).Sub(start))
		time.Sleep(time.Minute)
		assert.Empty(t, subscription.C())
		subscription.Cancel()
	})
}

// Guards against ticks after Cancel, and against a cancellation that changes the
// schedule of other subscriptions.
func TestCancelledSubscriptionDoesNotTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startService(t)
		start := service.Now()
		first := service.After("first", time.Second, 0)
		second := service.After("second", 2*time.Second, 0)
		first.Cancel()
		first.Cancel()
		assert.Equal(t, 2*time.Second, (<-second.C()).Sub(start))
		assert.Empty(t, first.C())
	})
}

// Guards against ticks before the end of the interval, and against jitter that
// does not cover its whole range.
func TestJitterExtendsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startService(t)
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
