// Package mirror lets the nodes of a large fleet read the store through a few of
// them.
//
// A Mirror stands between a node and the store for List and Watch. A node
// without sources asks the store and remembers what it was told: a Journal for
// each prefix. A node with sources asks one of them over HTTP and falls back to
// the next one, and at last to the store. So the calls to the store grow with
// the number of failure domains and not with that of nodes.
//
// A result says how old it may be (Age). A configuration that is read through a
// source is proved to be the newest as of the time at which the source's own
// call to the store was sent, whatever delayed the answers.
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
	// sourceWait is how long one request waits at a source. A source that has
	// stopped or can't be reached is noticed within this and answerTime.
	sourceWait = time.Second

	// answerTime is far above the time of an answer within a failure domain,
	// about 2 ms, and covers a lost packet.
	answerTime = 400 * time.Millisecond

	// sourceRest is how long a source that failed is left alone.
	sourceRest = 500 * time.Millisecond

	// storeRest is how long a node that has sources leaves the store alone after
	// it failed too. All nodes ask it at once when it is down, and each call is
	// priced. It is half of the time for which a configuration counts as proved.
	storeRest = 2 * time.Second

	// staleBound is how long ago a source may have reached the store. The targets
	// and the configuration are read several times in that time.
	staleBound = 2500 * time.Millisecond

	// idleConnections fits one waiting request for each prefix.
	idleConnections = 4
)

// A Reader is the part of the store that is mirrored.
type Reader interface {
	List(ctx context.Context, prefix string) (kvstore.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error)
}

// Config holds what a Mirror needs.
type Config struct {
	Store Reader

	// Now is the clock that ages are judged by. It must not stop while the
	// machine is suspended.
	Now func() time.Time

	// Logger and Registerer are optional.
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// A Mirror reads the store, or nodes that do. Its methods may be called from any
// goroutine.
type Mirror struct {
	config Config
	caller *httpsend.Caller
	reads  *prometheus.CounterVec

	mutex    sync.Mutex
	sources  []string
	resting  map[string]time.Time
	journals map[string]*Journal

	// notes are the newest figures of all nodes by key; noted takes those that
	// come from others.
	notes map[string]Note
	noted func(note Note)

	// changed is closed and replaced when a journal changes.
	changed chan struct{}

	// storeAt is when a node with sources may ask the store again.
	storeAt time.Time

	// reachedAt is when the last call to the store that was answered was sent.
	reachedAt time.Time
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
		config:   config,
		caller:   httpsend.New(httpsend.Config{IdlePerAddress: idleConnections, DialTimeout: answerTime}),
		resting:  map[string]time.Time{},
		journals: map[string]*Journal{},
		notes:    map[string]Note{},
		changed:  make(chan struct{}),
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
func (mirror *Mirror) Close() { mirror.caller.Close() }

// SetSources replaces the nodes to read through, the preferred one first. None
// means the store itself.
func (mirror *Mirror) SetSources(addresses []string) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if slices.Equal(mirror.sources, addresses) {
		return
	}
	mirror.config.Logger.Info("store is read through other nodes", zap.Strings("sources", addresses))
	mirror.sources = slices.Clone(addresses)
	clear(mirror.resting)
}

// source returns the first source that is not resting, false for none.
func (mirror *Mirror) source() (string, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	for _, address := range mirror.sources {
		if !now.Before(mirror.resting[address]) {
			return address, true
		}
	}
	return "", false
}

// rest leaves a source alone that failed.
func (mirror *Mirror) rest(address string, err error) {
	mirror.reads.WithLabelValues("source", "failed").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, failing := mirror.resting[address]; !failing {
		mirror.config.Logger.Warn("source of the store's keys lost", zap.String("source", address), zap.Error(err))
	}
	mirror.resting[address] = mirror.config.Now().Add(sourceRest)
}

// answered notes an answer of a source.
func (mirror *Mirror) answered(address string) {
	mirror.reads.WithLabelValues("source", "answered").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, failing := mirror.resting[address]; failing {
		mirror.config.Logger.Info("source of the store's keys reached again", zap.String("source", address))
		delete(mirror.resting, address)
	}
}

// List implements Reader.
func (mirror *Mirror) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	for {
		address, found := mirror.source()
		if !found {
			return mirror.listStore(ctx, prefix)
		}
		read, err := mirror.ask(ctx, address, question{prefix: prefix, list: true})
		if err == nil {
			mirror.answered(address)
			return kvstore.Listing{Revision: read.Revision, Entries: read.Entries, Age: read.age()}, nil
		}
		if ctx.Err() != nil {
			return kvstore.Listing{}, errors.Trace(err)
		}
		mirror.rest(address, err)
	}
}

// Watch implements Reader.
func (mirror *Mirror) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	began := mirror.config.Now()
	until := began.Add(wait)
	for {
		left := until.Sub(mirror.config.Now())
		address, found := mirror.source()
		if !found {
			if err := mirror.catchUp(ctx, prefix, after); err != nil {
				return kvstore.Changes{}, errors.Trace(err)
			}
			return mirror.watchStore(ctx, prefix, after, max(left, 0))
		}
		asked := question{prefix: prefix, after: after, wait: max(0, min(left, sourceWait))}
		sent := mirror.config.Now()
		read, err := mirror.ask(ctx, address, asked)
		switch {
		case err == nil && (len(read.Entries) > 0 || len(read.Deleted) > 0 || left <= sourceWait):
			mirror.answered(address)
			changes := kvstore.Changes{Revision: max(after, read.Revision), Entries: read.Entries, Deleted: read.Deleted}
			changes.Age = read.age() - sent.Sub(began)
			return changes, nil
		case err == nil:
			after = max(after, read.Revision)
		case ctx.Err() != nil, errors.Is(err, errors.NotValid):
			return kvstore.Changes{}, errors.Trace(err)
		default:
			mirror.rest(address, err)
		}
	}
}

// catchUp lists a prefix whose changes this node has read elsewhere, so that what
// it remembers of them has no gap before the changes after the revision.
func (mirror *Mirror) catchUp(ctx context.Context, prefix string, after uint64) error {
	mirror.mutex.Lock()
	journal := mirror.journals[prefix]
	joins := len(mirror.sources) > 0 || journal != nil && journal.Joins(after)
	mirror.mutex.Unlock()
	if joins {
		return nil
	}
	_, err := mirror.listStore(ctx, prefix)
	return errors.Trace(err)
}

// listStore asks the store and remembers the answer.
func (mirror *Mirror) listStore(ctx context.Context, prefix string) (kvstore.Listing, error) {
	if err := mirror.mayCall(); err != nil {
		return kvstore.Listing{}, errors.Trace(err)
	}
	sent := mirror.config.Now()
	listing, err := mirror.config.Store.List(ctx, prefix)
	mirror.count(err)
	if err != nil {
		return listing, errors.Trace(err)
	}
	mirror.record(sent, prefix, func(journal *Journal) { journal.Replace(listing, sent) })
	return listing, nil
}

// watchStore asks the store and remembers the answer.
func (mirror *Mirror) watchStore(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	if err := mirror.mayCall(); err != nil {
		return kvstore.Changes{}, errors.Trace(err)
	}
	mirror.expect(prefix, wait)
	sent := mirror.config.Now()
	changes, err := mirror.config.Store.Watch(ctx, prefix, after, wait)
	mirror.count(err)
	if err != nil {
		return changes, errors.Trace(err)
	}
	mirror.record(sent, prefix, func(journal *Journal) { journal.Apply(after, changes, sent) })
	return changes, nil
}

// expect notes how long the next call for changes may wait: the state counts as
// current for that time.
func (mirror *Mirror) expect(prefix string, wait time.Duration) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if journal := mirror.journals[prefix]; journal != nil {
		journal.wait = wait
	}
}

// count takes in the outcome of a call to the store.
func (mirror *Mirror) count(err error) {
	if err == nil || errors.Is(err, errors.NotValid) {
		mirror.reads.WithLabelValues("store", "answered").Inc()
		return
	}
	mirror.reads.WithLabelValues("store", "failed").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if len(mirror.sources) > 0 {
		mirror.storeAt = mirror.config.Now().Add(storeRest)
	}
}

// mayCall returns an error when the store failed a moment ago, and this node is
// one of many that would ask it.
func (mirror *Mirror) mayCall() error {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if len(mirror.sources) > 0 && mirror.config.Now().Before(mirror.storeAt) {
		return errors.Timeoutf("sources and store")
	}
	return nil
}

func (mirror *Mirror) record(sent time.Time, prefix string, note func(journal *Journal)) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if sent.After(mirror.reachedAt) {
		mirror.reachedAt = sent
	}
	journal := mirror.journals[prefix]
	if journal == nil {
		journal = NewJournal()
		mirror.journals[prefix] = journal
	}
	note(journal)
	close(mirror.changed)
	mirror.changed = make(chan struct{})
}
