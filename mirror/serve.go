package mirror

import (
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

// Path is where a node answers others.
const Path = "/v1/mirror"

// The keys of a question's query.
const (
	queryPrefix = "prefix"
	queryAfter  = "after"
	queryWait   = "wait-ms"
)

// maxNotesBytes bounds the notes of a question: those of a thousand targets.
const maxNotesBytes = 64 << 10

const contentType = "application/msgpack"

// maxReplyBytes bounds a reply: the entries of some thousand targets.
const maxReplyBytes = 16 << 20

// A question asks for the keys of a prefix, or for their changes.
type question struct {
	prefix string
	list   bool
	after  uint64
	wait   time.Duration
}

// A reply is the answer to a question.
type reply struct {
	Revision uint64          `msgpack:"revision"`
	Entries  []kvstore.Entry `msgpack:"entries"`
	Deleted  []string        `msgpack:"deleted"`

	// AgeMicros is how long before the arrival of the question the state was the
	// store's; it is negative when it was so while the question waited.
	AgeMicros int64 `msgpack:"age-us"`

	Notes []noteMessage `msgpack:"notes"`
}

// notesMessage is the body of a question.
type notesMessage struct {
	Notes []noteMessage `msgpack:"notes"`
}

func (reply reply) age() time.Duration { return time.Duration(reply.AgeMicros) * time.Microsecond }

// ask asks a source once. It returns an errors.NotValid error when the source no
// longer knows the changes.
func (mirror *Mirror) ask(ctx context.Context, address string, asked question) (reply, error) {
	query := url.Values{queryPrefix: {asked.prefix}}
	if !asked.list {
		query.Set(queryAfter, strconv.FormatUint(asked.after, 10))
		query.Set(queryWait, strconv.FormatInt(asked.wait.Milliseconds(), 10))
	}
	body, err := msgpack.Marshal(notesMessage{Notes: mirror.fresh()})
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	sent := mirror.config.Now()
	answer, err := mirror.caller.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          Path,
		Query:         query,
		Body:          body,
		ContentType:   contentType,
		Timeout:       asked.wait + answerTime,
		MaxReplyBytes: maxReplyBytes,
	})
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	switch answer.Status {
	case http.StatusOK:
	case http.StatusGone:
		return reply{}, errors.NotValidf("revision %d of %s", asked.after, asked.prefix)
	default:
		return reply{}, errors.Errorf("status %d", answer.Status)
	}
	var read reply
	if err := msgpack.Unmarshal(answer.Body, &read); err != nil {
		return reply{}, errors.Annotate(err, "reply of a source")
	}
	mirror.take(read.Notes, sent)
	return read, nil
}

// Handler answers the questions of other nodes out of what this one was told by
// the store. 410 says that the changes are not known any more, 503 that this
// node does not follow the prefix or has not reached the store for a while.
func (mirror *Mirror) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked, err := parseQuestion(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		arrived := mirror.config.Now()
		var noted notesMessage
		body := http.MaxBytesReader(writer, request.Body, maxNotesBytes)
		if err := msgpack.NewDecoder(body).Decode(&noted); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		mirror.take(noted.Notes, arrived)
		answer, status := mirror.answer(request.Context(), asked)
		if status != http.StatusOK {
			http.Error(writer, http.StatusText(status), status)
			return
		}
		answer.Notes = mirror.fresh()
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			mirror.config.Logger.Error("reply to a node cannot be encoded", zap.Error(err))
			http.Error(writer, "reply", http.StatusInternalServerError)
			return
		}
		// A node that does not take its answer asks again.
		_, _ = writer.Write(encoded)
	})
}

// maxWait bounds the wait that another node may ask for.
const maxWait = 30 * time.Second

func parseQuestion(query url.Values) (question, error) {
	asked := question{prefix: query.Get(queryPrefix), list: !query.Has(queryAfter)}
	if asked.prefix == "" {
		return question{}, errors.NotValidf("question without prefix")
	}
	if asked.list {
		return asked, nil
	}
	after, err := strconv.ParseUint(query.Get(queryAfter), 10, 64)
	if err != nil {
		return question{}, errors.NewNotValid(err, queryAfter)
	}
	millis, err := strconv.ParseInt(query.Get(queryWait), 10, 64)
	if err != nil {
		return question{}, errors.NewNotValid(err, queryWait)
	}
	asked.after = after
	asked.wait = min(max(0, time.Duration(millis)*time.Millisecond), maxWait)
	return asked, nil
}

// answer waits for changes when the question allows it.
func (mirror *Mirror) answer(ctx context.Context, asked question) (reply, int) {
	arrived := mirror.config.Now()
	waiting, cancel := context.WithTimeout(ctx, asked.wait)
	defer cancel()
	for {
		answer, status, changed := mirror.look(arrived, asked)
		ready := asked.list || len(answer.Entries) > 0 || len(answer.Deleted) > 0
		if status != http.StatusOK || ready {
			return answer, status
		}
		select {
		case <-changed:
		case <-waiting.Done():
			answer, status, _ = mirror.look(arrived, asked)
			return answer, status
		}
	}
}

// look answers from the present state. The channel is closed when it changes.
func (mirror *Mirror) look(arrived time.Time, asked question) (reply, int, <-chan struct{}) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	journal := mirror.journals[asked.prefix]
	now := mirror.config.Now()
	following := len(mirror.sources) == 0 && journal != nil && journal.Current(now, staleBound)
	if !following || now.Sub(mirror.reachedAt) > staleBound {
		return reply{}, http.StatusServiceUnavailable, mirror.changed
	}
	age := arrived.Sub(journal.confirmedAt).Microseconds()
	if asked.list {
		listing := journal.Listing()
		return reply{Revision: listing.Revision, Entries: listing.Entries, AgeMicros: age}, http.StatusOK, mirror.changed
	}
	changes, known := journal.After(asked.after)
	if !known {
		return reply{}, http.StatusGone, mirror.changed
	}
	return reply{Revision: changes.Revision, Entries: changes.Entries, Deleted: changes.Deleted, AgeMicros: age}, http.StatusOK, mirror.changed
}
