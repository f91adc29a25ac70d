package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/timer"
)

// lists is a store that reports each listing and fails it.
type lists struct {
	kvstore.Store
	called chan struct{}
}

func (store lists) List(context.Context, string) (kvstore.Listing, error) {
	store.called <- struct{}{}
	return kvstore.Listing{}, errors.New("down")
}

// Guards against watches that sleep in a backoff of seconds after the store has returned, also
// when it returns while a call fails.
func TestWatchesResumeWhenTheStoreReturns(test *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan message, 16)
	store := lists{called: make(chan struct{})}
	watcher := &watcher{
		store: store, timers: timer.New(timer.Config{}), results: results, random: rand.New(rand.NewPCG(1, 1)),
		failures: 8, storeReturned: newNotification(),
	}
	done := make(chan struct{})
	go func(ctx context.Context, done chan<- struct{}) {
		watcher.run(ctx)
		close(done)
	}(ctx, done)
	began := time.Now()
	<-store.called
	<-results
	watcher.storeReturned.notify()
	<-store.called
	require.Less(test, time.Since(began), watchRetryMax)
	cancel()
	<-done
}

// Guards against interruptions of one call that count as an outage, and against an outage that
// is counted once for each of the feed's watches.
func TestOutageOfTheFeedEndsOnce(test *testing.T) {
	now := time.Now()
	state := newTestFeed(test, now)
	interrupted := FeedInterrupted{Err: errors.New("down")}
	listed := TargetsChanged{}
	state.handleFeed(now, interrupted)
	state.handleFeed(now.Add(outageMinimum/2), listed)
	require.Zero(test, state.feed.outage.ended)

	returned := state.storeReturned.next()
	state.handleFeed(now, interrupted)
	state.handleFeed(now.Add(4*time.Second), interrupted)
	require.Zero(test, state.feed.outage.ended)
	ended := now.Add(5 * time.Second)
	state.handleFeed(ended, listed)
	require.Equal(test, ended, state.feed.outage.ended)
	<-returned
	state.handleFeed(ended.Add(time.Second), listed)
	require.Equal(test, ended, state.feed.outage.ended)
}
