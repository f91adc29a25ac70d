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

// The store keys that the control thread watches beside those of the fleet.
const (
	placementSuffix = "/placement"
)

const (
	// watchWait is how long one watch call waits at the store.
	watchWait = 20 * time.Second

	// watchRetry and watchRetryJitter spread the calls of all nodes after a
	// store outage.
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
			pause:   state.watchPause(),
			random:  rand.New(rand.NewPCG(state.config.Random.Uint64(), state.config.Random.Uint64())),
		}
		state.pending++
		go func(ctx context.Context, results chan<- message) {
			watcher.run(ctx)
			results <- workerEnded{}
		}(ctx, state.controller.results)
	}
}

// A watcher follows one prefix of the store.
type watcher struct {
	store   kvstore.Store
	timers  *timer.Service
	prefix  string
	results chan<- message
	random  *rand.Rand
	failed  int

	// pause gathers changes between two calls, 0 for none.
	pause time.Duration
}

// run lists the prefix and then watches it, again from the start after a
// failure, until the context ends.
func (watcher *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := watcher.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.send(ctx, storeFailed{err: err})
		watcher.wait(ctx)
	}
}

func (watcher *watcher) follow(ctx context.Context) error {
	listing, err := watcher.store.List(ctx, watcher.prefix)
	if err != nil {
		return errors.Trace(err)
	}
	watcher.failed = 0
	watcher.send(ctx, listed{prefix: watcher.prefix, revision: listing.Revision, entries: listing.Entries})
	revision := listing.Revision
	for {
		changes, err := watcher.store.Watch(ctx, watcher.prefix, revision, watchWait)
		if err != nil {
			return errors.Trace(err)
		}
		revision = max(revision, changes.Revision)
		watcher.send(ctx, changed{
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

// feedWatchPause gathers the placement records that several leaders write after
// one loss.
const feedWatchPause = 60 * time.Millisecond

func (state *state) watchPause() time.Duration {
	if state.feeding() {
		return feedWatchPause
	}
	return 0
}

func (watcher *watcher) send(ctx context.Context, result message) {
	select {
	case watcher.results <- result:
	case <-ctx.Done():
	}
}

func (watcher *watcher) wait(ctx context.Context) {
	delay := min(watchRetry<<min(watcher.failed, 8), watchRetryMax)
	watcher.failed++
	delay += time.Duration(watcher.random.Int64N(int64(watchRetryJitter)))
	pause(ctx, watcher.timers, delay)
}

func (state *state) handleListed(now time.Time, result listed) {
	if state.handleEntries(now, result.prefix, result.entries) {
		state.handleFleet(now, fleet.KeysListed{
			Prefix:   result.prefix,
			Revision: result.revision,
			Entries:  result.entries,
		})
	}
}

func (state *state) handleChanged(now time.Time, result changed) {
	if state.handleEntries(now, result.prefix, result.entries) {
		state.handleFleet(now, fleet.KeysChanged{
			Revision: result.revision,
			Entries:  result.entries,
			Deleted:  result.deleted,
		})
	}
}

// handleEntries takes in the entries of a watched prefix and reports whether
// the membership core follows the prefix too.
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
