package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bookingDeadline is the time that a client gives a booking.
const bookingDeadline = 2500 * time.Millisecond

// A booking is one client attempt.
type booking struct {
	attempt string
	node    string
	sentAt  time.Time
	endedAt time.Time
	status  int
	err     error
}

// A client sends bookings, or prompts, to one node at a steady rate.
type client struct {
	node   *node
	path   string
	header map[string]string
	http   http.Client
	note   func(booking)
	wait   sync.WaitGroup
}

// promptHeader are the headers of a request for a stream.
var promptHeader = map[string]string{"Model": engineModel, "Token-Count": "400,21", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:360"}

func newClient(node *node, path string, header map[string]string, note func(booking)) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{node: node, path: path, header: header, note: note, http: http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}}
}

// run sends bookings until the context ends, and waits for their answers.
func (client *client) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			client.wait.Wait()
			return
		case <-ticker.C:
		}
		client.wait.Add(1)
		go func() {
			defer client.wait.Done()
			client.note(client.send(fmt.Sprintf("%s-%05d", client.node.name, number)))
		}()
	}
}

func (client *client) send(attempt string) booking {
	sent := booking{attempt: attempt, node: client.node.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), bookingDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.node.callers+client.path, strings.NewReader("plank 12\n"))
	if err != nil {
		panic(err)
	}
	request.Host = "planks.example"
	request.GetBody = nil
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Key", "key-of-tenant-1")
	request.Header.Set("Deadline-Ms", fmt.Sprint(bookingDeadline.Milliseconds()))
	for name, value := range client.header {
		request.Header.Set(name, value)
	}
	answer, err := client.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		sent.status = answer.StatusCode
	}
	sent.endedAt, sent.err = time.Now(), err
	return sent
}
