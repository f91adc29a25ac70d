package mirror

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Path is the path at which a node serves the reads of other nodes.
const Path = "/v1/mirror"

// Query keys of a read request.
const (
	queryPrefix = "prefix"
	queryAfter  = "after"
	queryWait   = "wait-ms"
)

// maxReplyBytes limits a reply: the entries of some thousand targets.
const maxReplyBytes = 16 << 20

// A readRequest requests the keys of a prefix, or their changes after a revision.
type readRequest struct {
	prefix string
	list   bool
	after  uint64
	wait   time.Duration

	// timeout bounds the request, 0 for responseTimeout after the wait.
	timeout time.Duration
}

// A reply is the response to a read request.
type reply struct {
	Revision uint64          `msgpack:"revision"`
	Entries  []kvstore.Entry `msgpack:"entries"`
	Deleted  []string        `msgpack:"deleted"`

	// AgeMicros is the time from the call that confirmed the state to the arrival
	// of the read request. It is negative if the state was confirmed while the
	// request waited for changes.
	AgeMicros int64 `msgpack:"age-us"`

	// StoreAgeMicros is the time since the latest response of the store arrived.
	StoreAgeMicros int64 `msgpack:"store-age-us"`
}

func (reply reply) age() time.Duration { return time.Duration(reply.AgeMicros) * time.Microsecond }

func (reply reply) storeAge() time.Duration {
	return time.Duration(reply.StoreAgeMicros) * time.Microsecond
}

// readSource sends a read request to a source once. It returns an errors.NotValid
// error if the source no longer has all changes after the requested revision, and an
// errors.NotYetAvailable error if it has lost the store.
func (mirror *Mirror) readSource(ctx context.Context, address string, request readRequest) (reply, error) {
	query := url.Values{queryPrefix: {request.prefix}}
	if !request.list {
		query.Set(queryAfter, strconv.FormatUint(request.after, 10))
		query.Set(queryWait, strconv.FormatInt(request.wait.Milliseconds(), 10))
	}
	answer, err := mirror.client.Do(ctx, httpsend.Request{
		Method:        http.MethodGet,
		Address:       address,
		Path:          Path,
		Query:         query,
		Timeout:       cmp.Or(request.timeout, request.wait+responseTimeout),
		MaxReplyBytes: maxReplyBytes,
	})
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	switch answer.Status {
	case http.StatusOK:
	case http.StatusGone:
		return reply{}, errors.NotValidf("read of changes from source: revision %d of %s", request.after, request.prefix)
	case http.StatusServiceUnavailable:
		return reply{}, errors.NotYetAvailablef("read from source without the store, status %d:", answer.Status)
	default:
		return reply{}, errors.Errorf("read from source: status %d", answer.Status)
	}
	var decoded reply
	if err := msgpack.Unmarshal(answer.Body, &decoded); err != nil {
		return reply{}, errors.Annotate(err, "decode response of source")
	}
	return decoded, nil
}

// Handler serves the reads of other nodes from this node's journals. Status 410
// means that the journal no longer has all of the requested changes. Status 503
// means that this node does not read the prefix, or that the store was not reached
// within maxStoreAge.
func (mirror *Mirror) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		query, err := parseReadRequest(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		answer, status := mirror.waitForReply(request.Context(), query)
		if status != http.StatusOK {
			http.Error(writer, http.StatusText(status), status)
			return
		}
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			mirror.config.Logger.Error("encoding the reply to another node failed", zap.Error(err))
			http.Error(writer, "reply", http.StatusInternalServerError)
			return
		}
		// A failed write is ignored: the node that did not receive its reply sends
		// the request again.
		_, _ = writer.Write(encoded)
	})
}

// maxRequestedWait limits the wait that another node may request.
const maxRequestedWait = 30 * time.Second

func parseReadRequest(values url.Values) (readRequest, error) {
	request := readRequest{prefix: values.Get(queryPrefix), list: !values.Has(queryAfter)}
	if request.prefix == "" {
		return readRequest{}, errors.NotValidf("question without prefix")
	}
	if request.list {
		return request, nil
	}
	after, err := strconv.ParseUint(values.Get(queryAfter), 10, 64)
	if err != nil {
		return readRequest{}, errors.NewNotValid(err, queryAfter)
	}
	millis, err := strconv.ParseInt(values.Get(queryWait), 10, 64)
	if err != nil {
		return readRequest{}, errors.NewNotValid(err, queryWait)
	}
	request.after = after
	request.wait = min(max(0, time.Duration(millis)*time.Millisecond), maxRequestedWait)
	return request, nil
}

// waitForReply returns the reply to a read request and its status. If there are
// no changes, it waits for them as long as the request allows.
func (mirror *Mirror) waitForReply(ctx context.Context, request readRequest) (reply, int) {
	arrived := mirror.config.Now()
	waiting, cancel := context.WithTimeout(ctx, request.wait)
	defer cancel()
	for {
		answer, status, changed := mirror.currentReply(arrived, request)
		ready := request.list || len(answer.Entries) > 0 || len(answer.Deleted) > 0
		if status != http.StatusOK || ready {
			return answer, status
		}
		select {
		case <-changed:
		case <-waiting.Done():
			answer, status, _ = mirror.currentReply(arrived, request)
			return answer, status
		}
	}
}

// currentReply returns the reply from the current state, its status, and a
// channel that is closed when a journal changes.
func (mirror *Mirror) currentReply(arrived time.Time, request readRequest) (reply, int, <-chan struct{}) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	journal := mirror.journals[request.prefix]
	now := mirror.config.Now()
	serving, bound := !mirror.storeFailed, maxStoreAge
	if len(mirror.sources) > 0 {
		serving, bound = true, maxStoreAge+maxSourceWait
	}
	serving = serving && journal != nil && journal.Current(now, bound)
	if !serving || now.Sub(mirror.storeReachedAt) > bound {
		return reply{}, http.StatusServiceUnavailable, mirror.journalsChanged
	}
	answer := reply{
		AgeMicros:      arrived.Sub(journal.confirmedAt).Microseconds(),
		StoreAgeMicros: now.Sub(mirror.storeReachedAt).Microseconds(),
	}
	if request.list {
		listing := journal.Listing()
		answer.Revision, answer.Entries = listing.Revision, listing.Entries
		return answer, http.StatusOK, mirror.journalsChanged
	}
	changes, known := journal.After(request.after)
	if !known {
		return reply{}, http.StatusGone, mirror.journalsChanged
	}
	answer.Revision, answer.Entries, answer.Deleted = changes.Revision, changes.Entries, changes.Deleted
	return answer, http.StatusOK, mirror.journalsChanged
}
