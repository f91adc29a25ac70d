// Package timer provides a timer service that sends ticks to components.
//
// One goroutine serves all subscriptions, so that components need no timers of
// their own and stop with their owner. A tick is dropped while the previous one
// is still in the subscription's channel. A slow component therefore receives
// fewer ticks, and never a burst of old ones.
//
// # Usage
//
//	service := timer.New(timer.Config{Logger: logger})
//	go service.Run(ctx)
//	renewals := service.Every("renewals", 3*time.Second, time.Second)
//	defer renewals.Cancel()
//	for {
//		select {
//		case now := <-renewals.C():
//			renew(now)
//		case err := <-service.Done():
//			return err
//		}
//	}
package timer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Config is the configuration of a Service.
type Config struct {
	// Logger is optional.
	Logger *zap.Logger

	// Random is the source of the jitter. It is optional; tests pass a source
	// with a fixed seed.
	Random *rand.Rand

	// Clock returns the current time. nil means time.Now.
	Clock func() time.Time
}

// A Service sends ticks to its subscriptions. It is safe for concurrent use, and
// its methods may be called before and after Run.
type Service struct {
	logger *zap.Logger
	done   chan error
	wake   chan struct{}
	clock  func() time.Time

	mutex    sync.Mutex
	random   *rand.Rand
	schedule schedule
}

// New returns a service that sends ticks while Run is running.
func New(config Config) *Service {
	service := &Service{
		logger: config.Logger,
		random: config.Random,
		done:   make(chan error, 1),
		wake:   make(chan struct{}, 1),
		clock:  config.Clock,
	}
	if service.clock == nil {
		service.clock = time.Now
	}
	if service.logger == nil {
		service.logger = zap.NewNop()
	}
	if service.random == nil {
		service.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return service
}

// Now returns the time of the service's clock.
func (service *Service) Now() time.Time { return service.clock() }

// Every returns a subscription that ticks repeatedly. Each interval is extended
// by a random duration shorter than jitter. Every panics if interval is not
// positive.
func (service *Service) Every(name string, interval, jitter time.Duration) *Subscription {
	if interval <= 0 {
		panic("timer: interval of " + name + " is not positive")
	}
	return service.subscribe(name, interval, jitter, true)
}

// After returns a subscription that ticks once, after delay plus a random
// duration shorter than jitter.
func (service *Service) After(name string, delay, jitter time.Duration) *Subscription {
	return service.subscribe(name, delay, jitter, false)
}

// Done returns a channel that receives one nil when Run returns.
func (service *Service) Done() <-chan error { return service.done }

// Run sends ticks until the context ends.
func (service *Service) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(service.tickDue(service.Now()))
		select {
		case <-timer.C:
		case <-service.wake:
		case <-ctx.Done():
			service.logger.Info("timer service stopped")
			service.done <- nil
			return
		}
	}
}

func (service *Service) subscribe(name string, interval, jitter time.Duration, repeats bool) *Subscription {
	subscription := &Subscription{
		service:  service,
		name:     name,
		interval: interval,
		jitter:   jitter,
		repeats:  repeats,
		ticks:    make(chan time.Time, 1),
	}
	service.mutex.Lock()
	subscription.due = service.Now().Add(service.delay(subscription))
	heap.Push(&service.schedule, subscription)
	service.mutex.Unlock()
	service.notify()
	return subscription
}

func (service *Service) delay(subscription *Subscription) time.Duration {
	if subscription.jitter <= 0 {
		return subscription.interval
	}
	return subscription.interval + time.Duration(service.random.Int64N(int64(subscription.jitter)))
}

// tickDue delivers a tick to each subscription that is due and returns the time
// until the next one is due.
func (service *Service) tickDue(now time.Time) time.Duration {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for len(service.schedule) > 0 {
		next := service.schedule[0]
		if next.due.After(now) {
			return next.due.Sub(now)
		}
		next.deliver(now)
		if !next.repeats {
			heap.Pop(&service.schedule)
			continue
		}
		next.due = service.nextDue(next, now)
		heap.Fix(&service.schedule, next.index)
	}
	return time.Hour
}

// nextDue returns the time of the next tick, one interval with jitter after the
// last due time. If that time has passed because the process was paused for
// longer than an interval, the interval starts at now and the missed ticks are
// skipped.
func (service *Service) nextDue(subscription *Subscription, now time.Time) time.Time {
	delay := service.delay(subscription)
	due := subscription.due.Add(delay)
	if due.After(now) {
		return due
	}
	return now.Add(delay)
}

func (service *Service) cancel(subscription *Subscription) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if subscription.index >= 0 {
		heap.Remove(&service.schedule, subscription.index)
	}
}

func (service *Service) notify() {
	select {
	case service.wake <- struct{}{}:
	default:
	}
}
