package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["entry"] = playEntry
}

// playEntry has another program write one entry among those of the runners, without the fields
// "version", "coldRemainingMs" and "sequence". An ordinary HTTP server of that program listens
// at its address, which has none of the paths of the runners.
func playEntry(scenario *scenario) (bool, error) {
	scenario.configure(7)
	for index, zone := range zones {
		if _, err := scenario.startRunner([]string{"i-7f3a91c2", "i-02d9e6b4", "i-90c1aa07"}[index], zone); err != nil {
			return false, err
		}
	}
	if err := scenario.startNodes(3); err != nil {
		return false, err
	}
	if scenario.trouble {
		if err := scenario.writeForeignEntry(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	const perNode = 100
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	total, denied := 0, 0
	for _, node := range scenario.nodes {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for index := range perNode {
				method, path, body := http.MethodPost, "/puxa403/2f", "plank 17"
				if index%3 == 0 {
					method, path, body = http.MethodGet, "/cufi504/fi50/2f", ""
				}
				got := scenario.send(node, method, path, body)
				mutex.Lock()
				total++
				switch {
				case got.status < 300, got.status >= 500, got.sealed, got.err != nil:
				case got.status == http.StatusRequestTimeout, got.status == http.StatusMisdirectedRequest, got.status == http.StatusTooManyRequests:
				default:
					denied++
				}
				mutex.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	waiting.Wait()
	allowed := 5 + total/500
	scenario.record.line("%d proper requests, %d of them ended with a 3xx or 4xx that no runner gave, %d are allowed", total, denied, allowed)
	return denied > allowed, nil
}

func (scenario *scenario) writeForeignEntry() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			scenario.record.line("the server of another program gets %s %s, request %s of tenant %s", request.Method, request.RequestURI,
				request.Header.Get("Attempt-Id"), request.Header.Get("Tenant"))
			http.NotFound(writer, request)
		}))
	}()
	value, err := json.Marshal(map[string]any{
		"service": plainService, "address": listener.Addr().String(), "zone": zones[0], "slots": 6, "state": "ready", "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	scenario.store.set("servers/other-1", value)
	scenario.record.line("another program writes servers/other-1: %s", value)
	return nil
}
