// Package trafficsync exchanges the counts of package traffic with other nodes: it sends the
// posts that are due and serves those of others.
//
// # Usage
//
//	link, err := trafficsync.New(trafficsync.Config{Exchange: exchange, Now: clock.Now, Timers: timers})
//	adminServer.Handle(trafficsync.Path, link.Handler())
//	go link.Run(ctx)
//	…
//	<-link.Done()
package trafficsync

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/traffic"
)

// Path is the path on the admin address at which a node receives posts.
const Path = "/v1/traffic"

const (
	// postTimeout is far above the time of a call within a failure domain, about 2 ms. A hub
	// that does not answer is replaced after it.
	postTimeout = 200 * time.Millisecond

	// maxBodyBytes bounds a post and its answer. The counts of 181 groups take 5 KB.
	maxBodyBytes = 256 << 10

	// dueInterval is the time between two looks for due posts. It divides the intervals of
	// the exchange, and is short so that another hub is tried soon after a failure.
	dueInterval = 100 * time.Millisecond

	// idleConnections is one for each address: there is one post to it at a time.
	idleConnections = 1
)

// Config is the configuration of a Link.
type Config struct {
	Exchange *traffic.Exchange
	Now      func() time.Time
	Timers   *timer.Service

	// Logger and Registerer may be nil.
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// A Link connects the exchange of a node with those of others.
type Link struct {
	config Config
	client *httpsend.Client
	done   chan error
	posts  *prometheus.CounterVec
	bytes  *prometheus.CounterVec

	// failing are the addresses to which the last post failed.
	mutex   sync.Mutex
	failing map[string]bool
}

// New returns a link. It returns an errors.NotValid error if a required field of the config
// is missing.
func New(config Config) (*Link, error) {
	if config.Exchange == nil || config.Now == nil || config.Timers == nil {
		return nil, errors.NotValidf("trafficsync.Config without Exchange, Now or Timers")
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
	link := &Link{
		config:  config,
		client:  httpsend.New(httpsend.Config{DialTimeout: postTimeout, IdlePerAddress: idleConnections}),
		done:    make(chan error, 1),
		failing: map[string]bool{},
		posts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_traffic_posts_total", Help: "Counts of traffic sent to other nodes or received from them.",
		}, []string{"direction", "result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_traffic_bytes_total", Help: "Bytes of the bodies of counts of traffic.",
		}, []string{"direction"}),
	}
	for _, collector := range []prometheus.Collector{link.posts, link.bytes} {
		if err := config.Registerer.Register(collector); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return link, nil
}

// Done delivers nil when Run has ended.
func (link *Link) Done() <-chan error { return link.done }

// Run sends the posts that are due until the context ends.
func (link *Link) Run(ctx context.Context) {
	ticks := link.config.Timers.Every("traffic", dueInterval, 0)
	defer ticks.Cancel()
	var running sync.WaitGroup
	defer func() {
		running.Wait()
		link.client.Close()
		link.done <- nil
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		for _, post := range link.config.Exchange.Due(link.config.Now()) {
			running.Add(1)
			go func() {
				defer running.Done()
				link.send(ctx, post)
			}()
		}
	}
}

// send sends one post and records its answer.
func (link *Link) send(ctx context.Context, post traffic.Post) {
	sentAt := link.config.Now()
	answer, err := link.call(ctx, post)
	if err != nil {
		link.config.Exchange.Failed(post, link.config.Now())
		link.posts.WithLabelValues("sent", "failed").Inc()
		if ctx.Err() == nil && link.setFailing(post.Address, true) {
			link.config.Logger.Info("post of traffic counts failed", zap.String("address", post.Address), zap.Error(err))
		}
		return
	}
	link.config.Exchange.Answered(post, answer, sentAt, link.config.Now())
	link.posts.WithLabelValues("sent", "answered").Inc()
	if link.setFailing(post.Address, false) {
		link.config.Logger.Info("post of traffic counts succeeded again", zap.String("address", post.Address))
	}
}

// setFailing records the result of the last post to an address and reports whether it changed.
func (link *Link) setFailing(address string, failing bool) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	changed := link.failing[address] != failing
	if failing {
		link.failing[address] = true
	} else {
		delete(link.failing, address)
	}
	return changed
}

func (link *Link) call(ctx context.Context, post traffic.Post) (traffic.Message, error) {
	body, err := encode(post.Message)
	if err != nil {
		return traffic.Message{}, errors.Trace(err)
	}
	reply, err := link.client.Do(ctx, httpsend.Request{
		Method: http.MethodPost, Address: post.Address, Path: Path, Body: body, ContentType: "application/msgpack",
		Timeout: postTimeout, MaxReplyBytes: maxBodyBytes,
	})
	if err != nil {
		return traffic.Message{}, errors.Trace(err)
	}
	if reply.Status != http.StatusOK {
		return traffic.Message{}, errors.Errorf("status %d", reply.Status)
	}
	link.bytes.WithLabelValues("sent").Add(float64(len(body)))
	link.bytes.WithLabelValues("received").Add(float64(len(reply.Body)))
	var answer traffic.Message
	return answer, errors.Trace(msgpack.Unmarshal(reply.Body, &answer))
}

// encode encodes a message as nested arrays, which take a third of the bytes of maps.
func encode(message traffic.Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), errors.Trace(err)
}

// Handler serves the posts of other nodes.
func (link *Link) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
		var message traffic.Message
		if err == nil {
			err = msgpack.Unmarshal(body, &message)
		}
		if err != nil {
			link.posts.WithLabelValues("received", "invalid").Inc()
			http.Error(writer, "post of traffic counts is not valid", http.StatusBadRequest)
			return
		}
		encoded, err := encode(link.config.Exchange.Receive(message, link.config.Now()))
		if err != nil {
			link.config.Logger.Error("encoding the answer to traffic counts failed", zap.Error(err))
			http.Error(writer, "answer", http.StatusInternalServerError)
			return
		}
		link.posts.WithLabelValues("received", "answered").Inc()
		// The sender posts again after a failed write.
		_, _ = writer.Write(encoded)
	})
}
