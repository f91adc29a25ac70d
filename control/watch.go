package control

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/timer"
)

// placementSuffix follows the name of a fabric domain in the key of its
// placement record.
const (
	placementSuffix = "/placement"
)

const (
	// watchWait is how long one watch call waits at the store for a change.
	watchWait = 20 * time.Second

	// feedWatchWait is that of a node that follows a feed, where a few nodes watch the store
	// for all others. A silent connection that no other call uses is found after it.
	feedWatchWait = 5 * time.Second

	// watchRetry is the delay after the first failure. It doubles with each
	// further one, up to watchRetryMax, and a random part of watchRetryJitter is
	// added, so that the calls of all nodes after a store outage are spread.
	watchRetry       = 250 * time.Millisecond
	watchRetryMax    = 4 * time.Second
	watchRetryJitter = time.Second
)

// setWatching starts or stops the watches of the store.
func (state *state) setWatching(watching bool) {
	if !watching {
		if state.stopWatch != nil {
			state.stopWatch()
			state.stopWatch = nil
		}
		return
	}
	if state.stopWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(state.workers)
	state.stopWatch = cancel
	prefixes := []string{generation.HeadKey, fleet.NodePrefix, fleet.DomainPrefix, admin.DrainPrefix}
	if state.feeding() {
		prefixes = []string{fleet.NodePrefix, fleet.DomainPrefix}
	}
	for _, prefix := range prefixes {
		watcher := &watcher{
			store:   state.config.Platform,
			timers:  state.config.Timers,
			prefix:  prefix,
			results: state.controller.results,
			random:  rand.New(rand.NewPCG(state.config.Random.Uint64(), state.config.Random.Uint64())),

			storeReturned: state.storeReturned,
		}
		watcher.wait, watcher.pause = state.watchTimes()
		state.pendingWorkers++
		go func(ctx context.Context, results chan<- message) {
			watcher.run(ctx)
			results <- workerEnded{}
		}(ctx, state.controller.results)
	}
}

// A watcher follows one prefix of the store.
type watcher struct {
	store    kvstore.Store
	timers   *timer.Service
	prefix   string
	results  chan<- message
	random   *rand.Rand
	failures int

	// wait is how long one watch call waits for a change.
	wait time.Duration

	// pause is the delay between two watch calls, which batches changes; 0 means
	// none.
	pause time.Duration

	// storeReturned ends the wait after a failure.
	storeReturned *notification
}

// run lists the prefix and then watches it until the context ends. After a
// failure it starts again with a listing.
func (watcher *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		returned := watcher.storeReturned.next()
		err := watcher.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.send(ctx, watchFailed{err: err})
		watcher.backOff(ctx, returned)
	}
}

func (watcher *watcher) follow(ctx context.Context) error {
	listing, err := watcher.store.List(ctx, watcher.prefix)
	if err != nil {
		return errors.Trace(err)
	}
	watcher.failures = 0
	watcher.send(ctx, keysListed{prefix: watcher.prefix, revision: listing.Revision, entries: listing.Entries})
	revision := listing.Revision
	for {
		changes, err := watcher.store.Watch(ctx, watcher.prefix, revision, watcher.wait)
		if err != nil {
			return errors.Trace(err)
		}
		revision = max(revision, changes.Revision)
		watcher.send(ctx, keysChanged{
			prefix:   watcher.prefix,
			revision: revision,
			entries:  changes.Entries,
			deleted:  changes.Deleted,
		})
		if watcher.pause > 0 {
			pause(ctx, watcher.timers, watcher.pause)
		}
	}
}

// feedWatchPause batches the placement records that several leaders write after
// the same loss.
const feedWatchPause = 60 * time.Millisecond

// watchTimes returns how long a watch call waits, and the delay between two calls.
func (state *state) watchTimes() (wait, pause time.Duration) {
	if state.feeding() {
		return feedWatchWait, feedWatchPause
	}
	return watchWait, 0
}

func (watcher *watcher) send(ctx context.Context, result message) {
	select {
	case watcher.results <- result:
	case <-ctx.Done():
	}
}

// backOff waits after a failure, at most until the store has returned since the failed call
// began. The load: a node that starts in an outage of seconds has no placement records, and
// serves nobody until this watch lists them.
func (watcher *watcher) backOff(ctx context.Context, returned <-chan struct{}) {
	delay := min(watchRetry<<min(watcher.failures, 8), watchRetryMax)
	watcher.failures++
	delay += time.Duration(watcher.random.Int64N(int64(watchRetryJitter)))
	alarm := watcher.timers.After("pause", delay, 0)
	defer alarm.Cancel()
	select {
	case <-alarm.C():
	case <-returned:
	case <-ctx.Done():
	}
}

func (state *state) handleListed(now time.Time, result keysListed) {
	if result.prefix == fleet.DomainPrefix {
		state.replaceRecords(now, result)
	}
	if state.handleEntries(now, result.prefix, result.entries) {
		state.handleFleet(now, fleet.KeysListed{
			Prefix:   result.prefix,
			Revision: result.revision,
			Entries:  result.entries,
		})
	}
}

func (state *state) handleChanged(now time.Time, result keysChanged) {
	if result.prefix == fleet.DomainPrefix {
		state.changeRecords(now, result.revision, result.entries, result.deleted)
	}
	if state.handleEntries(now, result.prefix, result.entries) {
		state.handleFleet(now, fleet.KeysChanged{
			Revision: result.revision,
			Entries:  result.entries,
			Deleted:  result.deleted,
		})
	}
}

// handleEntries handles the entries of a watched prefix and reports whether the
// membership core must receive them too.
func (state *state) handleEntries(now time.Time, prefix string, entries []kvstore.Entry) bool {
	switch prefix {
	case generation.HeadKey:
		state.handleHeadEntries(now, entries)
		return false
	case admin.DrainPrefix:
		state.handleDrainEntries(now, entries)
		return false
	default:
		state.handlePlacementEntries(now, entries)
		return true
	}
}

func (state *state) handlePlacementEntries(now time.Time, entries []kvstore.Entry) {
	for _, entry := range entries {
		name, found := strings.CutPrefix(entry.Key, fleet.DomainPrefix)
		if !found {
			continue
		}
		name, found = strings.CutSuffix(name, placementSuffix)
		if !found {
			continue
		}
		state.setPlacement(now, name, entry.Revision, entry.Value)
	}
}
