// Package mirror lets most nodes of a large fleet read the store through a few
// other nodes, their sources.
//
// A Mirror performs List and Watch for a node. Without sources it calls the
// store and records the results in a Journal for each prefix, from which it
// serves other nodes. With sources it requests the keys from the first of them
// over HTTP, and falls back to the next source and finally to the store. The
// number of store calls therefore grows with the number of failure domains and
// not with the number of nodes.
//
// Each result has an Age: the longest time by which it may be out of date. A
// configuration that was read through a source was the newest one at the time at
// which the source sent its own call to the store, no matter how long the
// responses were delayed.
//
// The requests to sources and the replies also carry Notes, load figures that
// nodes share.
//
// # Usage
//
//	mirrored := mirror.New(mirror.Config{Store: client, Now: clock.Now, Logger: logger})
//	defer mirrored.Close()
//	adminServer.Handle(mirror.Path, mirrored.Handler())
//	mirrored.SetSources([]string{"10.1.0.7:7295", "10.1.0.9:7295"})
//	changes, err := mirrored.Watch(ctx, "servers/", revision, time.Second)
package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// maxSourceWait is the longest time for which a source may hold one request
	// while it waits for changes. A stopped or unreachable source is detected
	// within maxSourceWait plus responseTimeout.
	maxSourceWait = time.Second

	// responseTimeout is far longer than a response takes within a failure
	// domain, about 2 ms, and leaves time to retransmit a lost packet.
	responseTimeout = 400 * time.Millisecond

	// sourceBackoff is how long a source is not used after it failed.
	sourceBackoff = 500 * time.Millisecond

	// storeBackoff is how long a node with sources does not call the store after
	// such a call failed. When the store is down, all nodes fall back to it at
	// once, and each call has a price. The value is half of the time for which a
	// configuration counts as confirmed.
	storeBackoff = 2 * time.Second

	// maxStoreAge is the longest time since a source last reached the store at
	// which it still serves reads. Sources read the targets and the
	// configuration several times within it.
	maxStoreAge = 2500 * time.Millisecond

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

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// A Mirror reads the store directly or through other nodes. Its methods may be
// called from any goroutine.
type Mirror struct {
	config Config
	client *httpsend.Client
	reads  *prometheus.CounterVec

	mutex         sync.Mutex
	sources       []string
	sourceRetryAt map[string]time.Time
	journals      map[string]*Journal

	// notes holds the newest note of each key. onNote, if set, is called with the
	// notes of other nodes.
	notes  map[string]Note
	onNote func(note Note)

	// journalsChanged is closed and replaced when a journal changes.
	journalsChanged chan struct{}

	// storeRetryAt is the earliest time at which a node with sources may call the
	// store again.
	storeRetryAt time.Time

	// storeReachedAt is when the latest successful call to the store was sent.
	storeReachedAt time.Time
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
	mirror := &Mirror{
		config:          config,
		client:          httpsend.New(httpsend.Config{IdlePerAddress: idleConnections, DialTimeout: responseTimeout}),
		sourceRetryAt:   map[string]time.Time{},
		journals:        map[string]*Journal{},
		notes:           map[string]Note{},
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

// SetSources replaces the nodes to read through, given by their admin addresses,
// the preferred one first. Without sources the mirror reads the store itself.
func (mirror *Mirror) SetSources(addresses []string) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if slices.Equal(mirror.sources, addresses) {
		return
	}
	mirror.config.Logger.Info("sources of store reads changed", zap.Strings("sources", addresses))
	mirror.sources = slices.Clone(addresses)
	clear(mirror.sourceRetryAt)
}

// availableSource returns the first source that has not failed within
// sourceBackoff. It returns false if there is none.
func (mirror *Mirror) availableSource() (string, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	for _, address := range mirror.sources {
		if !now.Before(mirror.sourceRetryAt[address]) {
			return address, true
		}
	}
	return "", false
}

// recordSourceFailure excludes a source for sourceBackoff after a failed request.
func (mirror *Mirror) recordSourceFailure(address string, err error) {
	mirror.reads.WithLabelValues("source", "failed").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, failing := mirror.sourceRetryAt[address]; !failing {
		mirror.config.Logger.Warn("read through source failed", zap.String("source", address), zap.Error(err))
	}
	mirror.sourceRetryAt[address] = mirror.config.Now().Add(sourceBackoff)
}

// recordSourceResponse records a response from a source.
func (mirror *Mirror) recordSourceResponse(address string) {
	mirror.reads.WithLabelValues("source", "answered").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, failing := mirror.sourceRetryAt[address]; failing {
		mirror.config.Logger.Info("read through source succeeded again", zap.String("source", address))
		delete(mirror.sourceRetryAt, address)
	}
}

// List implements Reader.
func (mirror *Mirror) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	for {
		address, found := mirror.availableSource()
		if !found {
			return mirror.listStore(ctx, prefix)
		}
		read, err := mirror.readSource(ctx, address, readRequest{prefix: prefix, list: true})
		if err == nil {
			mirror.recordSourceResponse(address)
			return kvstore.Listing{Revision: read.Revision, Entries: read.Entries, Age: read.age()}, nil
		}
		if ctx.Err() != nil {
			return kvstore.Listing{}, errors.Trace(err)
		}
		mirror.recordSourceFailure(address, err)
	}
}

// Watch implements Reader.
func (mirror *Mirror) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	began := mirror.config.Now()
	until := began.Add(wait)
	for {
		left := until.Sub(mirror.config.Now())
		address, found := mirror.availableSource()
		if !found {
			if err := mirror.catchUp(ctx, prefix, after); err != nil {
				return kvstore.Changes{}, errors.Trace(err)
			}
			return mirror.watchStore(ctx, prefix, after, max(left, 0))
		}
		request := readRequest{prefix: prefix, after: after, wait: max(0, min(left, maxSourceWait))}
		sent := mirror.config.Now()
		read, err := mirror.readSource(ctx, address, request)
		switch {
		case err == nil && (len(read.Entries) > 0 || len(read.Deleted) > 0 || left <= maxSourceWait):
			mirror.recordSourceResponse(address)
			changes := kvstore.Changes{Revision: max(after, read.Revision), Entries: read.Entries, Deleted: read.Deleted}
			changes.Age = read.age() - sent.Sub(began)
			return changes, nil
		case err == nil:
			after = max(after, read.Revision)
		case ctx.Err() != nil, errors.Is(err, errors.NotValid):
			return kvstore.Changes{}, errors.Trace(err)
		default:
			mirror.recordSourceFailure(address, err)
		}
	}
}

// catchUp lists a prefix if this node's journal ends before the revision, because
// the node read the changes up to it through sources. Without the listing the
// journal would have a gap before the next changes from the store. A node with
// sources does not list, because it serves no reads.
func (mirror *Mirror) catchUp(ctx context.Context, prefix string, after uint64) error {
	mirror.mutex.Lock()
	journal := mirror.journals[prefix]
	contiguous := len(mirror.sources) > 0 || journal != nil && journal.CanApply(after)
	mirror.mutex.Unlock()
	if contiguous {
		return nil
	}
	_, err := mirror.listStore(ctx, prefix)
	return errors.Trace(err)
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
	mirror.updateJournal(sent, prefix, func(journal *Journal) { journal.Replace(listing, sent) })
	return listing, nil
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
	mirror.updateJournal(sent, prefix, func(journal *Journal) { journal.Apply(after, changes, sent) })
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
	if err == nil || errors.Is(err, errors.NotValid) {
		mirror.reads.WithLabelValues("store", "answered").Inc()
		return
	}
	mirror.reads.WithLabelValues("store", "failed").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if len(mirror.sources) > 0 {
		mirror.storeRetryAt = mirror.config.Now().Add(storeBackoff)
	}
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

func (mirror *Mirror) updateJournal(sent time.Time, prefix string, update func(journal *Journal)) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if sent.After(mirror.storeReachedAt) {
		mirror.storeReachedAt = sent
	}
	journal := mirror.journals[prefix]
	if journal == nil {
		journal = NewJournal()
		mirror.journals[prefix] = journal
	}
	update(journal)
	close(mirror.journalsChanged)
	mirror.journalsChanged = make(chan struct{})
}
