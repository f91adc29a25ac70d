package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// A sentRequest is a request of a client.
type sentRequest struct {
	attempt, node, method, host, path, key string
	at                                     time.Time
}

// clients sends requests and remembers them.
type clients struct {
	record *record
	client *http.Client
	last   atomic.Uint64
	ended  sync.WaitGroup

	mutex    sync.Mutex
	sent     map[string]sentRequest
	statuses map[string]map[int]int
}

func newClients(record *record) *clients {
	return &clients{
		record: record, sent: map[string]sentRequest{}, statuses: map[string]map[int]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// send sends a request on a new connection, in a goroutine of its own.
func (clients *clients) send(to *node, method, host, path, key string, deadline time.Duration, header map[string]string, body []byte) {
	clients.ended.Add(1)
	go func() {
		defer clients.ended.Done()
		clients.request(to, method, host, path, key, deadline, header, body)
	}()
}

// request sends a request and returns the status, 0 for none.
func (clients *clients) request(to *node, method, host, path, key string, deadline time.Duration, header map[string]string, body []byte) (status int) {
	attempt := fmt.Sprintf("%016x", 0xa000000000000000+clients.last.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Key", key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	clients.mutex.Lock()
	clients.sent[attempt] = sentRequest{attempt: attempt, node: to.name, method: method, host: host, path: path, key: key, at: time.Now()}
	clients.mutex.Unlock()
	clients.record.note("client sends %s to %s: %s %s%s key %q", attempt, to.name, method, host, path, key)
	size, seal := 0, ""
	response, err := clients.client.Do(request)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
		status, size, seal = response.StatusCode, len(answer), response.Header.Get("Response-Seal")
	}
	clients.record.note("client gets for %s: status %d, seal %q, %d bytes, error %v", attempt, status, seal, size, err)
	clients.mutex.Lock()
	if clients.statuses[path] == nil {
		clients.statuses[path] = map[int]int{}
	}
	clients.statuses[path][status]++
	clients.mutex.Unlock()
	return status
}

// lookup returns what a client sent, and whether any client did.
func (clients *clients) lookup(attempt string) (sentRequest, bool) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	found, known := clients.sent[attempt]
	return found, known
}

// counts returns the numbers of answers by path and status, 0 for none. It is called after the
// last request has ended.
func (clients *clients) counts() map[string]map[int]int {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.statuses
}

func (clients *clients) summary() string {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return fmt.Sprint(clients.statuses)
}
