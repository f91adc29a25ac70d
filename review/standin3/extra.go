package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["extra"] = playExtra
}

// spoiledStep is the number of answers of a faulty runner of which one has bytes after it: the
// share is just below 0.03, the largest one of the site file and of its days.
const spoiledStep = 35

// spoiledTime is for how long, below the 5 s of late extra answers in the site file.
const spoiledTime = 4900 * time.Millisecond

// extraBytes are what some servers write of themselves after a complete answer, as if another
// request had begun that they cannot read. They have no Attempt-Id and no seal.
const extraBytes = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nBad Request\n"

// playExtra has one of three runners send bytes after a small share of its complete answers. They
// arrive late, where the next answer on the connection is expected.
func playExtra(scenario *scenario) (bool, error) {
	scenario.configure(7)
	var runners []*rawRunner
	for index, zone := range zones {
		started, err := scenario.startRawRunner([]string{"i-7f3a91c2", "i-02d9e6b4", "i-90c1aa07"}[index], zone)
		if err != nil {
			return false, err
		}
		runners = append(runners, started)
	}
	if err := scenario.startNodes(3); err != nil {
		return false, err
	}
	began := time.Now()
	runners[0].faulty.Store(scenario.trouble)
	time.AfterFunc(spoiledTime, func() { runners[0].faulty.Store(false) })
	const clients = 15
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	total, denied := 0, 0
	for client := range clients {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			node := scenario.nodes[client%len(scenario.nodes)]
			for time.Since(began) < spoiledTime {
				got := scenario.send(node, http.MethodGet, "/cufi504/fi50/2f", "")
				mutex.Lock()
				total++
				if got.err == nil && !got.sealed && got.status >= 300 && got.status < 500 && got.status != http.StatusRequestTimeout &&
					got.status != http.StatusMisdirectedRequest && got.status != http.StatusTooManyRequests {
					denied++
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	waiting.Wait()
	allowed := 5 + total/500
	scenario.record.line("%d proper requests, %d of them ended with a 4xx that is no runner's answer to them, %d are allowed", total, denied, allowed)
	return denied > allowed, nil
}

// A rawRunner is a runner that writes its answers byte by byte.
type rawRunner struct {
	runner
	faulty  atomic.Bool
	answers atomic.Int64
}

func (scenario *scenario) startRawRunner(id, zone string) (*rawRunner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &rawRunner{runner: runner{scenario: scenario, id: id, address: listener.Addr().String(), zone: zone, born: time.Now().UnixMilli()}}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go started.serve(accepted)
		}
	}()
	started.announce()
	go func() {
		for range time.Tick(heartbeat) {
			started.announce()
		}
	}()
	return started, nil
}

func (runner *rawRunner) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	late := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != runner.id {
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n", runner.id)
			continue
		}
		if late && runner.faulty.Load() {
			runner.scenario.record.line("runner %s sends bytes after an earlier answer, request %s is next on the connection", runner.id, attempt)
			if _, err := io.WriteString(connection, extraBytes); err != nil {
				return
			}
		}
		runner.scenario.record.line("runner %s runs request %s: %s %s", runner.id, attempt, request.Method, request.RequestURI)
		time.Sleep(10 * time.Millisecond)
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: 3e1b.07.%s\r\nRunner-Load: 1,0,6\r\nKeep-Alive: timeout=10\r\nContent-Length: 800\r\n\r\n%s",
			attempt, attempt, strings.Repeat("x", 800))
		if err != nil {
			return
		}
		late = runner.faulty.Load() && runner.answers.Add(1)%spoiledStep == 0
	}
}
