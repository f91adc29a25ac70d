package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// maxSourceWait is the longest time for which a source may hold one request
	// while it waits for changes, unless Bounds says less. A stopped or unreachable source
	// is detected within maxSourceWait plus responseTimeout.
	maxSourceWait = 400 * time.Millisecond

	// responseTimeout is far longer than a response takes within a failure
	// domain, about 2 ms, and leaves time to retransmit a lost packet.
	responseTimeout = 400 * time.Millisecond

	// minSourceBackoff is how long a source is not used after it failed. The time
	// doubles with each further failure up to maxSourceBackoff: a machine without
	// power stays in the list of nodes until its lease ends, and each attempt to
	// read from it delays all changes by a timeout.
	minSourceBackoff = 500 * time.Millisecond
	maxSourceBackoff = 16 * time.Second

	// returnInterval is the time between two reads of a source that answers but has lost the
	// store, while this node's own calls to the store fail as well. The source returns with the
	// store, not with time, and a read of it costs the store nothing.
	returnInterval = 250 * time.Millisecond

	// startTime is how long a node that has just got its sources waits for them
	// before it reads the store itself, and startRetry is the time between two
	// requests. After a power failure the sources start at the same time as their
	// followers.
	startTime  = 1500 * time.Millisecond
	startRetry = 60 * time.Millisecond

	// preferenceTime is how long a node keeps reading from the source that
	// answered it after the preferred one had failed.
	preferenceTime = 10 * time.Second
)

// A sourceFailure records that the latest requests to a source failed.
type sourceFailure struct {
	retryAt time.Time
	backoff time.Duration

	// withoutStore is true if the source answered that it has lost the store. triedAt is when
	// the last request to it failed.
	withoutStore bool
	triedAt      time.Time
}

// mayHaveReturned reports whether a source that had lost the store is due to be read again.
func (failure sourceFailure) mayHaveReturned(now time.Time) bool {
	return failure.withoutStore && !now.Before(failure.triedAt.Add(returnInterval))
}

// SetSources replaces the nodes to read through, given by their admin addresses,
// the preferred one first. Without sources the mirror reads the store itself. The depth is
// the number of nodes through which it reads in a row: 1 if its sources read the store.
func (mirror *Mirror) SetSources(addresses []string, depth int) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	select {
	case <-mirror.decided:
	default:
		close(mirror.decided)
		if mirror.config.HoldTime > 0 && len(addresses) > 0 {
			mirror.startUntil = mirror.config.Now().Add(startTime)
		}
	}
	mirror.depth = depth
	if slices.Equal(mirror.sources, addresses) {
		return
	}
	mirror.config.Logger.Info("sources of store reads changed", zap.Strings("sources", addresses))
	mirror.sources = slices.Clone(addresses)
	for address := range mirror.failures {
		if !slices.Contains(addresses, address) {
			delete(mirror.failures, address)
		}
	}
}

// availableSource returns the source to read from: the one that answered last, or
// the first one that is not excluded after a failure. While this node cannot reach the store
// either, a source that lost it is not excluded for long: in an outage of seconds the growing
// backoff would keep all nodes from serving for seconds after the return. It returns false if
// there is none.
func (mirror *Mirror) availableSource() (string, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	if now.Before(mirror.preferredUntil) && slices.Contains(mirror.sources, mirror.preferred) {
		return mirror.preferred, true
	}
	for _, address := range mirror.sources {
		if !now.Before(mirror.failures[address].retryAt) {
			return address, true
		}
	}
	for _, address := range mirror.sources {
		if mirror.storeFailed && mirror.failures[address].mayHaveReturned(now) {
			return address, true
		}
	}
	return "", false
}

// awaitSources waits until the sources are known and, if none can be reached right
// after the start, until they are to be tried again. It returns false if the caller
// must read the store.
func (mirror *Mirror) awaitSources(ctx context.Context, prefix string) (string, bool) {
	if prefix != mirror.config.Discovery {
		mirror.wait(ctx, mirror.decided, mirror.heldUntil.Sub(mirror.config.Now()))
	}
	for {
		address, found := mirror.availableSource()
		mirror.mutex.Lock()
		starting := len(mirror.sources) > 0 && mirror.config.Now().Before(mirror.startUntil)
		mirror.mutex.Unlock()
		if found || !starting || ctx.Err() != nil {
			return address, found
		}
		mirror.wait(ctx, nil, startRetry)
	}
}

// wait blocks until a channel is closed, a time has passed or the context ends.
func (mirror *Mirror) wait(ctx context.Context, closed <-chan struct{}, limit time.Duration) {
	if limit <= 0 {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordSourceFailure excludes a source after a failed request. Requests that
// were sent before the source was excluded do not prolong the time.
func (mirror *Mirror) recordSourceFailure(address string, err error) {
	mirror.reads.WithLabelValues("source", "failed").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	failure, failing := mirror.failures[address]
	failure.withoutStore, failure.triedAt = errors.Is(err, errors.NotYetAvailable), now
	if failing && now.Before(failure.retryAt) {
		mirror.failures[address] = failure
		return
	}
	if !failing {
		mirror.config.Logger.Warn("read through source failed", zap.String("source", address), zap.Error(err))
	}
	failure.backoff = min(max(2*failure.backoff, minSourceBackoff), maxSourceBackoff)
	if now.Before(mirror.startUntil) {
		failure.backoff = startRetry
	}
	failure.retryAt = now.Add(failure.backoff)
	mirror.failures[address] = failure
	if mirror.preferred == address {
		mirror.preferredUntil = time.Time{}
	}
}

// recordSourceResponse records a response from a source. While another source is
// excluded, this one stays preferred for preferenceTime.
func (mirror *Mirror) recordSourceResponse(address string) {
	mirror.reads.WithLabelValues("source", "answered").Inc()
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, failing := mirror.failures[address]; failing {
		mirror.config.Logger.Info("read through source succeeded again", zap.String("source", address))
		delete(mirror.failures, address)
	}
	mirror.startUntil = time.Time{}
	now := mirror.config.Now()
	if len(mirror.failures) > 0 && (mirror.preferred != address || !now.Before(mirror.preferredUntil)) {
		mirror.preferred = address
		mirror.preferredUntil = now.Add(preferenceTime)
	}
}

// applySourceReply records the reply to a request that was sent to a source at the
// given time. apply receives the time of the call to the store that confirmed the
// reply.
func (mirror *Mirror) applySourceReply(prefix string, sent time.Time, read reply, apply func(journal *Journal, confirmed time.Time)) {
	mirror.updateJournal(mirror.config.Now().Add(-read.storeAge()), prefix, func(journal *Journal) {
		apply(journal, sent.Add(-read.age()))
		if journal.revision >= read.Revision {
			journal.Refresh(sent)
		}
	})
}
