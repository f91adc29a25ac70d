package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["unmarked"] = playUnmarked
}

// failingStep makes the runner fail every third of its requests, less than the share of 0.45 in the
// site file.
const failingStep = 3

// failingTime is for how long, below the 6.5 s of the site file.
const failingTime = 6 * time.Second

// runnerCount makes one runner a share of 0.125, below the 0.14 of the site file.
const runnerCount = 8

// playUnmarked has one of eight runners fail a third of the bookings that it has run, with 503
// and without Not-Executed. A client sends a booking again after 503 or 429 only, because these
// promise that it has not run and never will.
func playUnmarked(scenario *scenario) (bool, error) {
	scenario.configure(7)
	var runs sync.Map
	var runners []*runner
	for index := range runnerCount {
		started, err := scenario.startRunner(fmt.Sprintf("i-7f3a91c%d", index), zones[index%len(zones)])
		if err != nil {
			return false, err
		}
		started.ran = func(attempt string) { runs.Store(attempt, started.id) }
		runners = append(runners, started)
	}
	if err := scenario.startNodes(3); err != nil {
		return false, err
	}
	if scenario.trouble {
		time.AfterFunc(failingTime, func() { runners[0].setFailure(nil) })
		var count atomic.Int64
		runners[0].setFailure(func(attempt string) int {
			if count.Add(1)%failingStep != 0 {
				return 0
			}
			return http.StatusServiceUnavailable
		})
	}
	const perNode = 60
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	total, refusedAfterRun, doubled := 0, 0, 0
	for _, node := range scenario.nodes {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for range perNode {
				first := scenario.send(node, http.MethodPost, "/puxa403/2f", "plank 17")
				_, firstRan := runs.Load(first.attempt)
				promised := first.status == http.StatusServiceUnavailable || first.status == http.StatusTooManyRequests ||
					first.status == http.StatusRequestTimeout || first.status == http.StatusMisdirectedRequest
				secondRan := false
				if promised {
					second := scenario.send(node, http.MethodPost, "/puxa403/2f", "plank 17")
					_, secondRan = runs.Load(second.attempt)
				}
				mutex.Lock()
				total++
				if promised && firstRan {
					refusedAfterRun++
					scenario.record.line("request %s is answered %d, and has run", first.attempt, first.status)
				}
				if promised && firstRan && secondRan {
					doubled++
				}
				mutex.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	waiting.Wait()
	scenario.record.line("%d bookings, %d of them answered as not run although they had run, %d of these were made twice by their clients", total, refusedAfterRun, doubled)
	return refusedAfterRun > 0, nil
}
