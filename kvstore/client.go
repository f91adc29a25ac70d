package kvstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingspoke.org/lacewingspoke/httpsend"
)

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Addresses are the IP:port of the platform's endpoints, in order of
	// preference.
	Addresses []string

	// Timeout bounds one call to one endpoint; a watch may take its wait in
	// addition. 0 means DefaultTimeout.
	Timeout time.Duration

	// Registerer is optional.
	Registerer prometheus.Registerer
}

// DefaultTimeout is the default time limit of one call to one endpoint.
const DefaultTimeout = 2 * time.Second

const (
	// maxEntryBytes bounds a reply that contains one entry: a key and a value of
	// MaxValueBytes in base64.
	maxEntryBytes = 2 << 20

	// maxListingBytes bounds a reply that contains a listing. The entries of 730
	// nodes and 181 placement records take a few megabytes.
	maxListingBytes = 16 << 20

	// maxAnswerBytes bounds the reply to a write or a lease call.
	maxAnswerBytes = 64 << 10

	// idleConnections is enough for each watch, renewal and booking of a node to
	// keep a connection open.
	idleConnections = 16
)

// A Client implements the platform's HTTP protocol. It makes each call at most
// once to an endpoint and leaves further retries to its owner. Its methods may be
// called from any goroutine.
type Client struct {
	addresses []string
	timeout   time.Duration
	sender    *httpsend.Client
	calls     *prometheus.CounterVec

	// preferred is the index of the endpoint to try first.
	preferred atomic.Uint32

	// cached is the last list of VMs, or nil if it had no entity tag.
	cached atomic.Pointer[cachedVMs]
}

// cachedVMs is a list of VMs with its entity tag.
type cachedVMs struct {
	tag string
	vms []VM
}

var (
	_ Store  = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// NewClient returns a client. It returns an errors.NotValid error for a
// configuration without usable addresses.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, errors.NotValidf("platform client without addresses")
	}
	for _, address := range config.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.NewNotValid(err, "parse platform address")
		}
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	client := &Client{
		addresses: config.Addresses,
		timeout:   config.Timeout,
		sender:    httpsend.New(httpsend.Config{IdlePerAddress: idleConnections}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_platform_calls_total",
			Help: "Calls to the platform by kind and result.",
		}, []string{"call", "result"}),
	}
	if config.Registerer == nil {
		return client, nil
	}
	if err := config.Registerer.Register(client.calls); err != nil {
		return nil, errors.Trace(err)
	}
	return client, nil
}

// Close closes idle connections.
func (client *Client) Close() { client.sender.Close() }

// Get implements Store.
func (client *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := checkKey(key); err != nil {
		return Entry{}, err
	}
	var entry entryMessage
	_, err := client.readJSON(ctx, "get", httpsend.Request{Path: "/v1/kv/" + key, MaxReplyBytes: maxEntryBytes}, &entry)
	if err != nil {
		return Entry{}, errors.Annotatef(err, "key %s", key)
	}
	return Entry(entry), nil
}

// List implements Store.
func (client *Client) List(ctx context.Context, prefix string) (Listing, error) {
	request := httpsend.Request{
		Path:          "/v1/list",
		Query:         url.Values{"prefix": {prefix}},
		MaxReplyBytes: maxListingBytes,
	}
	var listing changesMessage
	if _, err := client.readJSON(ctx, "list", request, &listing); err != nil {
		return Listing{}, errors.Annotatef(err, "list keys with prefix %s", prefix)
	}
	return Listing{Revision: listing.Revision, Entries: listing.entries()}, nil
}

// Watch implements Store. Without a response it returns only after wait plus the
// client's timeout. An owner that has to end it sooner cancels the context.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	request := httpsend.Request{
		Path: "/v1/watch",
		Query: url.Values{
			"prefix": {prefix},
			"after":  {strconv.FormatUint(after, 10)},
			"wait":   {wait.String()},
		},
		Timeout:       wait + client.timeout,
		MaxReplyBytes: maxListingBytes,
	}
	var changes changesMessage
	status, err := client.readJSON(ctx, "watch", request, &changes)
	if err != nil {
		return Changes{}, errors.Annotatef(err, "watch prefix %s", prefix)
	}
	if status == http.StatusNoContent {
		return Changes{Revision: after}, nil
	}
	return Changes{Revision: changes.Revision, Entries: changes.entries(), Deleted: changes.Deleted}, nil
}

// Put implements Store.
func (client *Client) Put(ctx context.Context, request PutRequest) PutOutcome {
	if err := checkKey(request.Key); err != nil {
		return Refused{Err: err}
	}
	if len(request.Value) > MaxValueBytes {
		return Refused{Err: errors.NotValidf("value of %d bytes", len(request.Value))}
	}
	query := expectQuery(request.Expect)
	if request.Lease != "" {
		query.Set("lease", request.Lease)
	}
	reply, err := client.write(ctx, "put", httpsend.Request{
		Method:      http.MethodPut,
		Path:        "/v1/kv/" + request.Key,
		Query:       query,
		Body:        request.Value,
		ContentType: "application/octet-stream",
	})
	return newPutOutcome(reply, err)
}

// Delete implements Store. A key that does not exist is a Conflict with
// revision 0.
func (client *Client) Delete(ctx context.Context, key string, expect Expect) PutOutcome {
	if err := checkKey(key); err != nil {
		return Refused{Err: err}
	}
	reply, err := client.write(ctx, "delete", httpsend.Request{
		Method: http.MethodDelete,
		Path:   "/v1/kv/" + key,
		Query:  expectQuery(expect),
	})
	if err == nil && reply.Status == http.StatusNotFound {
		return Conflict{}
	}
	return newPutOutcome(reply, err)
}

// Grant implements Store.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (lease string, err error) {
	reply, err := client.write(ctx, "grant", httpsend.Request{
		Method: http.MethodPost,
		Path:   "/v1/lease",
		Query:  url.Values{"ttl": {ttl.String()}},
	})
	if err != nil {
		return "", errors.Annotate(err, "grant lease")
	}
	if err := statusError(reply); err != nil {
		return "", errors.Annotate(err, "grant lease")
	}
	var answer leaseMessage
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return "", errors.NewNotValid(err, "decode grant response")
	}
	if answer.Lease == "" {
		return "", errors.NotValidf("grant response without a lease id")
	}
	return answer.Lease, nil
}

// Renew implements Store.
func (client *Client) Renew(ctx context.Context, lease string) (era uint64, err error) {
	reply, err := client.write(ctx, "renew", httpsend.Request{
		Method: http.MethodPost,
		Path:   "/v1/lease/" + lease + "/renew",
	})
	if err == nil {
		err = statusError(reply)
	}
	return 0, errors.Annotatef(err, "renew lease %s", lease)
}

// Revoke implements Store. A lease that does not exist is no error.
func (client *Client) Revoke(ctx context.Context, lease string) error {
	reply, err := client.write(ctx, "revoke", httpsend.Request{
		Method: http.MethodDelete,
		Path:   "/v1/lease/" + lease,
	})
	if err == nil {
		err = statusError(reply)
	}
	if errors.Is(err, errors.NotFound) {
		return nil
	}
	return errors.Annotatef(err, "revoke lease %s", lease)
}

// VMs implements VMList. If the platform sends entity tags, a list that has not
// changed since the last call is not transferred again: a list of 5,800 VMs is
// over 1 MB and changes only a few hundred times a day. The caller must not
// modify the slice, which further calls may return too.
func (client *Client) VMs(ctx context.Context) ([]VM, error) {
	request := httpsend.Request{Method: http.MethodGet, Path: "/v1/vms", MaxReplyBytes: maxListingBytes}
	last := client.cached.Load()
	if last != nil {
		request.IfNoneMatch = last.tag
	}
	reply, err := client.callEndpoints(ctx, "vms", request, func(error) bool { return true })
	if err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	if reply.Status == http.StatusNotModified && last != nil {
		return last.vms, nil
	}
	return client.decodeVMs(reply)
}

func (client *Client) decodeVMs(reply httpsend.Reply) ([]VM, error) {
	if err := statusError(reply); err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	var list vmsMessage
	if err := json.Unmarshal(reply.Body, &list); err != nil {
		return nil, errors.NewNotValid(err, "decode list of VMs")
	}
	vms, err := list.vms()
	if err != nil {
		return nil, errors.Trace(err)
	}
	client.cached.Store(nil)
	if tag := reply.Header.Get("ETag"); tag != "" {
		client.cached.Store(&cachedVMs{tag: tag, vms: vms})
	}
	return vms, nil
}

// AcquireWeights requests permission from the weight store to read a number of
// bytes. If it is not granted, retry is the time to wait before the next request.
func (client *Client) AcquireWeights(ctx context.Context, bytes int64) (granted bool, retry time.Duration, err error) {
	reply, err := client.write(ctx, "weights", httpsend.Request{
		Method: http.MethodPost,
		Path:   "/v1/weights/acquire",
		Query:  url.Values{"bytes": {strconv.FormatInt(bytes, 10)}},
	})
	if err != nil {
		return false, 0, errors.Annotate(err, "acquire weights")
	}
	if reply.Status == http.StatusTooManyRequests {
		return false, retryAfter(reply), nil
	}
	if err := statusError(reply); err != nil {
		return false, 0, errors.Annotate(err, "acquire weights")
	}
	return true, 0, nil
}

// readJSON sends a read to the endpoints in turn until one responds, and decodes
// the response into target.
func (client *Client) readJSON(ctx context.Context, call string, request httpsend.Request, target any) (int, error) {
	request.Method = http.MethodGet
	reply, err := client.callEndpoints(ctx, call, request, func(error) bool { return true })
	if err != nil {
		return 0, err
	}
	if reply.Status == http.StatusNoContent {
		return reply.Status, nil
	}
	if err := statusError(reply); err != nil {
		return 0, err
	}
	if err := json.Unmarshal(reply.Body, target); err != nil {
		return 0, errors.NewNotValid(err, "decode response")
	}
	return reply.Status, nil
}

// write sends a write to one endpoint. It tries the next one only if no byte can
// have been sent to the endpoint before.
func (client *Client) write(ctx context.Context, call string, request httpsend.Request) (httpsend.Reply, error) {
	request.MaxReplyBytes = maxAnswerBytes
	return client.callEndpoints(ctx, call, request, func(err error) bool { return !httpsend.MayHaveBeenSent(err) })
}

// callEndpoints sends a request to the endpoints in turn, beginning with the
// preferred one, until one responds. It stops when mayRetry returns false for the
// error of an endpoint.
func (client *Client) callEndpoints(ctx context.Context, call string, request httpsend.Request, mayRetry func(error) bool) (httpsend.Reply, error) {
	if request.Timeout == 0 {
		request.Timeout = client.timeout
	}
	first := client.preferred.Load()
	var failure error
	for offset := range uint32(len(client.addresses)) {
		index := (first + offset) % uint32(len(client.addresses))
		request.Address = client.addresses[index]
		reply, err := client.sender.Do(ctx, request)
		if err == nil {
			client.calls.WithLabelValues(call, strconv.Itoa(reply.Status)).Inc()
			client.preferred.Store(index)
			return reply, nil
		}
		failure = err
		client.calls.WithLabelValues(call, failureLabel(err)).Inc()
		client.preferred.Store((index + 1) % uint32(len(client.addresses)))
		if ctx.Err() != nil || !mayRetry(err) {
			break
		}
	}
	return httpsend.Reply{}, failure
}

func failureLabel(err error) string {
	switch {
	case !httpsend.MayHaveBeenSent(err):
		return "not-sent"
	case errors.Is(err, errors.Timeout):
		return "timeout"
	default:
		return "failed"
	}
}

// checkKey rejects keys that an HTTP path cannot carry unchanged.
func checkKey(key string) error {
	for _, segment := range strings.Split(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return errors.NotValidf("key %q", key)
		}
	}
	return nil
}

func expectQuery(expect Expect) url.Values {
	if expect.Any() {
		return url.Values{}
	}
	return url.Values{"expect": {strconv.FormatUint(expect.Revision(), 10)}}
}
