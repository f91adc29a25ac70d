package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["encoding"] = playEncoding
}

// playEncoding has one of three runners hand out wrong bytes in a small share of its answers. They
// have a Content-Encoding, which tells that the body is not the runner's.
func playEncoding(scenario *scenario) (bool, error) {
	scenario.configure(7)
	var faulty atomic.Bool
	var answers atomic.Int64
	for index, zone := range zones {
		started, err := scenario.startRunner([]string{"i-7f3a91c2", "i-02d9e6b4", "i-90c1aa07"}[index], zone)
		if err != nil {
			return false, err
		}
		started.handle = func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			attempt := request.Header.Get("Attempt-Id")
			body := ownBody(attempt)
			writer.Header().Set("Attempt-Id", attempt)
			writer.Header().Set("Response-Seal", "3e1b.07."+attempt)
			if index == 0 && faulty.Load() && answers.Add(1)%spoiledStep == 0 {
				body = strings.Repeat("?", len(body))
				writer.Header().Set("Content-Encoding", "identity")
				scenario.record.line("runner %s answers request %s with wrong bytes and a Content-Encoding", started.id, attempt)
			}
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(writer, body)
		}
	}
	if err := scenario.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	faulty.Store(scenario.trouble)
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	total, wrong := 0, 0
	for client := range 6 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for range 150 {
				got := scenario.send(scenario.nodes[client%len(scenario.nodes)], http.MethodPost, "/puxa403/2f", "plank 17")
				mutex.Lock()
				total++
				if got.err == nil && got.status == http.StatusOK && got.body != ownBody(got.attempt) {
					wrong++
					scenario.record.line("request %s is answered with success and a body that is not the runner's", got.attempt)
				}
				mutex.Unlock()
			}
		}()
	}
	waiting.Wait()
	scenario.record.line("%d bookings, %d of them answered with success and a body that is not the runner's", total, wrong)
	return wrong > 0, nil
}

// ownBody is the body that a runner makes for a request.
func ownBody(attempt string) string { return strings.Repeat(attempt, 50) }
