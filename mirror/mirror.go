// Package mirror lets most nodes of a large fleet read the store through a few
// other nodes, their sources.
//
// A Mirror performs List and Watch for a node. Without sources it calls the
// store. With sources it requests the keys from one of them over HTTP, and falls
// back to the next source and finally to the store. In both cases it records the
// results in a Journal for each prefix, from which it serves other nodes, so that
// reads can pass through several nodes. The number of store calls therefore
// depends neither on the number of nodes nor on that of failure domains.
//
// Each result has an Age: the longest time by which it may be out of date. A
// configuration that was read through sources was the newest one at the time at
// which the last of them sent its own call to the store, no matter how many nodes
// it passed through and how long the responses were delayed. A node that has lost
// its way to the store stops serving. Two nodes that read from each other see the
// time since either reached the store grow, and stop as well.
//
// The prefixes that are confirmed more often than each ReadAge while all sources work are
// confirmed that often in any case: a node that has no confirmation of such a prefix for
// ReadAge reads it once from the store, whatever its sources answer. A source may answer from
// a state that is out of date, or be silent; neither must delay the removal of a key for
// longer than the node's bounds allow.
//
// A write that does not change the content of an entry, such as a heartbeat, is
// not passed on; the end of an entry is.
//
// # Usage
//
//	mirrored := mirror.New(mirror.Config{Store: client, Now: clock.Now, Logger: logger})
//	defer mirrored.Close()
//	adminServer.Handle(mirror.Path, mirrored.Handler())
//	mirrored.SetSources([]string{"10.1.0.7:7295", "10.1.0.9:7295"}, 1)
//	changes, err := mirrored.Watch(ctx, "servers/", revision, time.Second)
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// fallbackInterval is the shortest time between two watches of one prefix at
	// the store by a node with sources. Many nodes fall back at the same time.
	fallbackInterval = 300 * time.Millisecond

	// storeBackoff is how long a node with sources does not call the store after
	// such a call failed, ReadAge if that is shorter. When the store is down, all nodes
	// fall back to it at once, and each call has a price. The value is half of the time
	// for which a configuration counts as confirmed.
	storeBackoff = 2 * time.Second

	// maxStoreAge is the longest time since a node last reached the store at which
	// it still serves reads; nodes that read through others may be behind by
	// maxSourceWait in addition. A reader that is cut off from the store without a
	// word is then left by its followers. They do not rely on it where ages are bounded,
	// see Bounds.ReadAge. The watch of the configuration returns twice a second.
	maxStoreAge = 1100 * time.Millisecond

	// slowAnswerTime is the time of an answer of the store above which it counts as slow. All
	// followers would read a slow store in short intervals otherwise. It is above the time
	// in which the store's client finds that a connection is silent.
	slowAnswerTime = 500 * time.Millisecond

	// idleConnections allows one waiting request for each prefix.
	idleConnections = 4
)

// A Reader is the part of the store that is mirrored.
type Reader interface {
	List(ctx context.Context, prefix string) (kvstore.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error)
}

// Config is the configuration of a Mirror.
type Config struct {
	Store Reader

	// Now returns the time by which ages are computed. The clock must not stop
	// while the machine is suspended.
	Now func() time.Time

	// Content returns a hash of the parts of an entry whose changes other nodes
	// need. Writes that do not change it are not passed on. If it is nil, every
	// write is.
	Content func(entry kvstore.Entry) uint64

	// Follows reports whether an entry was written after another one of its key, by what
	// its value says. Nodes that start after the store returned from an older copy then
	// get the later one from this node. If it is nil, they get the copy's.
	Follows func(entry, earlier kvstore.Entry) bool

	// HoldTime is how long reads wait for the first call of SetSources, so that the
	// nodes of a large fleet that start together do not all read the store. Reads of
	// the prefix Discovery, by which nodes find each other, do not wait.
	HoldTime  time.Duration
	Discovery string

	// Bounds bounds the age of what this node reads through others.
	Bounds Bounds

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Bounds holds the bounds of the age of what a node reads through others.
type Bounds struct {
	// ReadAge is the age of the last confirmation of a prefix at which a node that reads
	// through the readers of the store reads the prefix from the store itself, and
	// RelayedReadAge that of a node that reads through such nodes. 0 means that the age is
	// not bounded. Prefixes that reach this age while all sources work, because their
	// watches wait for long, are not concerned.
	ReadAge        time.Duration
	RelayedReadAge time.Duration

	// SourceWait is how long a source may hold one request while it waits for changes, 0 for
	// maxSourceWait. SourceAnswer is how long the answer of a source that does not wait may
	// take.
	SourceWait   time.Duration
	SourceAnswer time.Duration
}

// A Mirror reads the store directly or through other nodes. Its methods may be
// called from any goroutine.
type Mirror struct {
	config Config
	client *httpsend.Client
	reads  *prometheus.CounterVec

	mutex    sync.Mutex
	sources  []string
	depth    int
	failures map[string]sourceFailure
	journals map[string]*Journal

	// preferred is the source that answered last, which is read from until
	// preferredUntil.
	preferred      string
	preferredUntil time.Time

	// decided is closed by the first call of SetSources. heldUntil is when reads no
	// longer wait for it, and startUntil when they no longer wait for the sources.
	decided    chan struct{}
	heldUntil  time.Time
	startUntil time.Time

	// journalsChanged is closed and replaced when a journal changes.
	journalsChanged chan struct{}

	// storeRetryAt is the earliest time at which a node with sources may call the
	// store again.
	storeRetryAt time.Time

	// storeReachedAt is when the latest response of the store arrived, at this node
	// or at a node that it reads through.
	storeReachedAt time.Time

	// storeFailed is true if the last call to the store failed. A node without
	// sources then stops serving, so that its followers read through another one
	// before its data is out of date.
	storeFailed bool

	// watchedAt is when this node last sent a watch of a prefix to the store.
	watchedAt map[string]time.Time

	// confirmRetryAt is when a prefix may again be read from the store because of its age.
	confirmRetryAt map[string]time.Time
}

var _ Reader = (*Mirror)(nil)

// New returns a mirror without sources.
func New(config Config) (*Mirror, error) {
	if config.Store == nil || config.Now == nil {
		return nil, errors.NotValidf("mirror without store or clock")
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Bounds.SourceWait == 0 {
		config.Bounds.SourceWait = maxSourceWait
	}
	mirror := &Mirror{
		config:          config,
		client:          httpsend.New(httpsend.Config{IdlePerAddress: idleConnections, DialTimeout: responseTimeout}),
		failures:        map[string]sourceFailure{},
		journals:        map[string]*Journal{},
		watchedAt:       map[string]time.Time{},
		confirmRetryAt:  map[string]time.Time{},
		decided:         make(chan struct{}),
		heldUntil:       config.Now().Add(config.HoldTime),
		journalsChanged: make(chan struct{}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_mirror_reads_total",
			Help: "Reads of the store by who answered: the store itself, or a source.",
		}, []string{"from", "outcome"}),
	}
	if config.Registerer == nil {
		return mirror, nil
	}
	return mirror, errors.Trace(config.Registerer.Register(mirror.reads))
}

// Close closes the connections to sources.
func (mirror *Mirror) Close() { mirror.client.Close() }

// List implements Reader.
func (mirror *Mirror) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	for {
		address, found := mirror.awaitSources(ctx, prefix)
		if !found {
			return mirror.listStore(ctx, prefix)
		}
		sent := mirror.config.Now()
		read, err := mirror.readSource(ctx, address, readRequest{prefix: prefix, list: true})
		if err == nil && mirror.isAhead(prefix, read.Revision) {
			err = errors.NotYetAvailablef("listing of source at revision %d, which is older than what this node has,", read.Revision)
		}
		if err == nil {
			mirror.recordSourceResponse(address)
			listing := kvstore.Listing{Revision: read.Revision, Entries: read.Entries, Age: read.age()}
			mirror.applySourceReply(prefix, sent, read, func(journal *Journal, confirmed time.Time) { mirror.replace(journal, prefix, listing, confirmed) })
			return listing, nil
		}
		if ctx.Err() != nil {
			return kvstore.Listing{}, errors.Trace(err)
		}
		mirror.recordSourceFailure(address, err)
	}
}

// isAhead reports whether this node has read a later state of a prefix than that of a revision.
func (mirror *Mirror) isAhead(prefix string, revision uint64) bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	journal := mirror.journals[prefix]
	return journal != nil && journal.loaded() && revision < journal.revision
}

// Watch implements Reader.
func (mirror *Mirror) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	began := mirror.config.Now()
	until := began.Add(wait)
	for {
		left := until.Sub(mirror.config.Now())
		dueIn, bounded := mirror.confirmationDue(prefix, wait)
		if bounded && dueIn <= 0 {
			changes, err := mirror.confirm(ctx, prefix, after, began)
			if err == nil || errors.Is(err, errors.NotValid) || ctx.Err() != nil {
				return changes, errors.Trace(err)
			}
			continue
		}
		address, found := mirror.awaitSources(ctx, prefix)
		if !found {
			return mirror.watchFallback(ctx, prefix, after, left)
		}
		bounds := mirror.config.Bounds
		request := readRequest{prefix: prefix, after: after, wait: max(0, min(left, bounds.SourceWait))}
		if bounded {
			request.wait = max(0, min(request.wait, dueIn-bounds.SourceAnswer))
			request.timeout = max(bounds.SourceAnswer, min(request.wait+responseTimeout, dueIn))
		}
		mirror.setWatchWait(prefix, request.wait)
		sent := mirror.config.Now()
		read, err := mirror.readSource(ctx, address, request)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, errors.NotValid) {
				return kvstore.Changes{}, errors.Trace(err)
			}
			mirror.recordSourceFailure(address, err)
			continue
		}
		mirror.recordSourceResponse(address)
		if after != 0 && kvstore.Era(read.Revision) > kvstore.Era(after) {
			// The caller has to see the older copy as a listing, not as changes.
			return kvstore.Changes{}, errors.NotValidf("watch of prefix %s across the end of an era of the store", prefix)
		}
		changes := kvstore.Changes{Revision: max(after, read.Revision), Entries: read.Entries, Deleted: read.Deleted}
		changes.Age = read.age() - sent.Sub(began)
		mirror.applySourceReply(prefix, sent, read, func(journal *Journal, confirmed time.Time) { journal.Apply(after, changes, confirmed) })
		if len(read.Entries) > 0 || len(read.Deleted) > 0 || left <= bounds.SourceWait {
			return changes, nil
		}
		after = changes.Revision
	}
}

// confirmationDue returns when a prefix has to be read from the store because of the age of its
// last confirmation. It returns false for a prefix whose age is not bounded now.
func (mirror *Mirror) confirmationDue(prefix string, wait time.Duration) (time.Duration, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	journal, bounds := mirror.journals[prefix], mirror.config.Bounds
	readAge, usualAge := bounds.ReadAge, wait+bounds.SourceWait
	if mirror.depth > 1 {
		readAge = bounds.RelayedReadAge
		usualAge += bounds.SourceWait
	}
	if usualAge >= readAge || len(mirror.sources) == 0 || journal == nil || !journal.loaded() {
		return 0, false
	}
	now := mirror.config.Now()
	if now.Before(mirror.confirmRetryAt[prefix]) {
		return 0, false
	}
	return journal.confirmedAt.Add(readAge).Sub(now), true
}

// confirm reads the changes of a prefix from the store once, for a watch that began at the given
// time. If that takes long, fails or confirms nothing, the sources alone are read for a while.
func (mirror *Mirror) confirm(ctx context.Context, prefix string, after uint64, began time.Time) (kvstore.Changes, error) {
	sent := mirror.config.Now()
	var changes kvstore.Changes
	err := mirror.catchUp(ctx, prefix, after)
	if err == nil {
		changes, err = mirror.watchStore(ctx, prefix, after, 0)
	}
	changes.Age = began.Sub(sent)
	mirror.mutex.Lock()
	journal := mirror.journals[prefix]
	age := sent.Sub(journal.confirmedAt)
	if err != nil || age > 0 || mirror.config.Now().Sub(sent) > slowAnswerTime {
		mirror.confirmRetryAt[prefix] = mirror.config.Now().Add(mirror.storeBackoff())
	}
	mirror.mutex.Unlock()
	mirror.config.Logger.Info("prefix read from the store because its sources did not confirm it", zap.String("prefix", prefix),
		zap.Duration("took", mirror.config.Now().Sub(sent)), zap.Int("changed", len(changes.Entries)), zap.Strings("deleted", changes.Deleted), zap.Error(err))
	return changes, errors.Trace(err)
}

// watchFallback reads changes from the store on a node that has no source or cannot
// reach any.
func (mirror *Mirror) watchFallback(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	if err := mirror.checkStoreBackoff(); err != nil {
		return kvstore.Changes{}, errors.Trace(err)
	}
	if err := mirror.catchUp(ctx, prefix, after); err != nil {
		return kvstore.Changes{}, errors.Trace(err)
	}
	if err := mirror.awaitFallback(ctx, prefix); err != nil {
		return kvstore.Changes{}, errors.Trace(err)
	}
	return mirror.watchStore(ctx, prefix, after, max(wait, 0))
}

// catchUp lists a prefix if this node's journal ends before the revision. Without
// the listing the journal would have a gap before the next changes from the store.
// A node with sources that has not listed the prefix yet has nothing to continue.
func (mirror *Mirror) catchUp(ctx context.Context, prefix string, after uint64) error {
	mirror.mutex.Lock()
	journal := mirror.journals[prefix]
	contiguous := len(mirror.sources) > 0
	if journal != nil {
		contiguous = journal.CanApply(after)
	}
	mirror.mutex.Unlock()
	if contiguous {
		return nil
	}
	_, err := mirror.listStore(ctx, prefix)
	return errors.Trace(err)
}

// awaitFallback delays a watch of the store by a node with sources until
// fallbackInterval after its previous one.
func (mirror *Mirror) awaitFallback(ctx context.Context, prefix string) error {
	mirror.mutex.Lock()
	now := mirror.config.Now()
	delay := time.Duration(0)
	if len(mirror.sources) > 0 {
		delay = mirror.watchedAt[prefix].Add(fallbackInterval).Sub(now)
	}
	mirror.watchedAt[prefix] = now.Add(max(delay, 0))
	mirror.mutex.Unlock()
	mirror.wait(ctx, nil, delay)
	return errors.Trace(ctx.Err())
}

// listStore lists a prefix in the store and records the result in its journal.
func (mirror *Mirror) listStore(ctx context.Context, prefix string) (kvstore.Listing, error) {
	if err := mirror.checkStoreBackoff(); err != nil {
		return kvstore.Listing{}, errors.Trace(err)
	}
	sent := mirror.config.Now()
	listing, err := mirror.config.Store.List(ctx, prefix)
	mirror.recordStoreCall(err)
	if err != nil {
		return listing, errors.Trace(err)
	}
	mirror.updateJournal(mirror.config.Now(), prefix, func(journal *Journal) { mirror.replace(journal, prefix, listing, sent) })
	return listing, nil
}

// replace replaces the state of a journal with a listing.
func (mirror *Mirror) replace(journal *Journal, prefix string, listing kvstore.Listing, sent time.Time) {
	if !journal.Replace(listing, sent) {
		mirror.config.Logger.Warn("ignored a listing older than the journal", zap.String("prefix", prefix),
			zap.Uint64("revision", listing.Revision), zap.Uint64("journal-revision", journal.revision))
	}
}

// watchStore reads changes from the store and records them in the prefix's
// journal.
func (mirror *Mirror) watchStore(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	if err := mirror.checkStoreBackoff(); err != nil {
		return kvstore.Changes{}, errors.Trace(err)
	}
	mirror.setWatchWait(prefix, wait)
	sent := mirror.config.Now()
	changes, err := mirror.config.Store.Watch(ctx, prefix, after, wait)
	mirror.recordStoreCall(err)
	if err != nil {
		return changes, errors.Trace(err)
	}
	mirror.updateJournal(mirror.config.Now(), prefix, func(journal *Journal) { journal.Apply(after, changes, sent) })
	return changes, nil
}

// setWatchWait records how long the watch that is about to start may wait at the
// store. The journal counts as current for that time.
func (mirror *Mirror) setWatchWait(prefix string, wait time.Duration) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if journal := mirror.journals[prefix]; journal != nil {
		journal.watchWait = wait
	}
}

// recordStoreCall records the outcome of a call to the store. After a failure, a
// node with sources backs off.
func (mirror *Mirror) recordStoreCall(err error) {
	failed := err != nil && !errors.Is(err, errors.NotValid)
	outcome := "answered"
	if failed {
		outcome = "failed"
	}
	mirror.reads.WithLabelValues("store", outcome).Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.storeFailed = failed
	if failed && len(mirror.sources) > 0 {
		mirror.storeRetryAt = mirror.config.Now().Add(mirror.storeBackoff())
	}
}

func (mirror *Mirror) storeBackoff() time.Duration {
	if readAge := mirror.config.Bounds.ReadAge; readAge > 0 {
		return min(storeBackoff, readAge)
	}
	return storeBackoff
}

// checkStoreBackoff returns an error if this node has sources and its last call
// to the store failed within storeBackoff. Many other nodes would call the store
// at the same time.
func (mirror *Mirror) checkStoreBackoff() error {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if len(mirror.sources) > 0 && mirror.config.Now().Before(mirror.storeRetryAt) {
		return errors.Timeoutf("read: no source is available and store calls are suspended after a failure:")
	}
	return nil
}

// updateJournal updates the journal of a prefix with a result that shows that the
// store was reached at the given time.
func (mirror *Mirror) updateJournal(reached time.Time, prefix string, update func(journal *Journal)) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if reached.After(mirror.storeReachedAt) {
		mirror.storeReachedAt = reached
	}
	journal := mirror.journals[prefix]
	if journal == nil {
		journal = newContentJournal(mirror.config.Content, mirror.config.Follows)
		mirror.journals[prefix] = journal
	}
	update(journal)
	close(mirror.journalsChanged)
	mirror.journalsChanged = make(chan struct{})
}
