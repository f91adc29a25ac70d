package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Bounds of the deployment.
const (
	stableWindow = 3000 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
)

const (
	startTime = 20 * time.Second

	// calmTime is the time with load before the disruption.
	calmTime = 5 * time.Second

	// leaveAfter is when the runner leaves after the connections went silent, and lingerTime
	// how much longer than the drain bound it serves.
	leaveAfter = 1300 * time.Millisecond
	lingerTime = 1500 * time.Millisecond

	// tolerance covers the clocks of the record: what happens within it of a bound is not
	// counted.
	tolerance = 100 * time.Millisecond

	interval = 50 * time.Millisecond
)

var zones = []string{"constanta-port", "mamaia-north", "eforie-south"}

// A deployment is a small deployment with one plain service.
type deployment struct {
	store   *store
	proxy   *proxy
	runners []*runner
	nodes   []*node
	folder  string

	mutex    sync.Mutex
	arrivals []arrival
	bookings []booking
}

func startDeployment(notes *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	started := &deployment{store: newStore(), folder: folder}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return started, err
	}
	go started.store.serve(listener)
	go started.store.expire()
	if started.proxy, err = startProxy(listener.Addr().String()); err != nil {
		return started, err
	}
	started.store.set("op/config", fields{
		"version": 7,
		"routes": []fields{{"name": "book", "host": "planks.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 2500,
			"targetLatencyMs": 150, "priority": 1, "service": "ledger", "maxAttempts": 2, "public": false}},
		"services": []fields{{"name": "ledger", "healthCheck": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   fields{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []fields{{"name": "tenant-1", "apiKeys": []string{"key-of-tenant-1"}, "priority": 1}},
	})
	for index, zone := range zones {
		runner, err := startRunner(started.store, fmt.Sprintf("i-00000%d", index+1), zone, started.arrived)
		if err != nil {
			return started, err
		}
		started.runners = append(started.runners, runner)
	}
	for index := range 2 * len(zones) {
		zone := zones[index%len(zones)]
		node, err := startNode(folder, fmt.Sprintf("edge-%s-%d", zone, index/len(zones)+1), zone, started.proxy.address())
		if err != nil {
			return started, err
		}
		started.nodes = append(started.nodes, node)
		notes.line(time.Now(), "node %s started as process %d", node.name, node.process.Process.Pid)
	}
	return started, started.awaitReady()
}

func (deployment *deployment) awaitReady() error {
	for began := time.Now(); time.Since(began) < startTime; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, node := range deployment.nodes {
			if node.isReady() {
				ready++
			}
		}
		if ready == len(deployment.nodes) {
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

func (deployment *deployment) arrived(arrived arrival) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.arrivals = append(deployment.arrivals, arrived)
}

func (deployment *deployment) ended(ended booking) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.bookings = append(deployment.bookings, ended)
}

func (deployment *deployment) end() {
	for _, node := range deployment.nodes {
		node.end()
	}
	if folder := os.Getenv("KEEP"); folder == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("logs are in", deployment.folder)
	}
}

// runDrain lets all open connections to the store go silent, as new ones work, and a runner
// leave soon after. It reports whether requests reached the runner later than the drain bound
// after the store's acknowledgement, by nodes that were in touch.
func runDrain(notes *record) (bool, error) {
	deployment, err := startDeployment(notes)
	defer deployment.end()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, node := range deployment.nodes {
		clients.Go(func() { newClient(node, deployment.ended).run(ctx, interval) })
	}
	time.Sleep(calmTime)
	silentAt := time.Now()
	if notes.trouble {
		notes.line(silentAt, "%d open connections to the store go silent", deployment.proxy.silence())
	}
	time.Sleep(leaveAfter)
	leaver := deployment.runners[0]
	acknowledged := leaver.removeEntry()
	notes.line(acknowledged, "the store removes the entry of runner %s, which goes on serving", leaver.id)
	time.Sleep(time.Until(acknowledged.Add(drainBound + lingerTime)))
	leaver.exit()
	notes.line(time.Now(), "runner %s exits", leaver.id)
	time.Sleep(2 * time.Second)
	cancel()
	clients.Wait()
	return deployment.judgeDrain(notes, leaver, silentAt, acknowledged)
}

func (deployment *deployment) judgeDrain(notes *record, leaver *runner, silentAt, acknowledged time.Time) (bool, error) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	sent := map[string]booking{}
	statuses := map[int]int{}
	for _, booking := range deployment.bookings {
		sent[booking.attempt] = booking
		statuses[booking.status]++
		notes.line(booking.sentAt, "booking %s sent to %s, ended %.3f s later with status %d, error %v", booking.attempt, booking.node,
			booking.endedAt.Sub(booking.sentAt).Seconds(), booking.status, booking.err)
	}
	inTouch, late := silentAt.Add(stableWindow+tolerance), map[string]int{}
	for _, arrived := range deployment.arrivals {
		notes.line(arrived.at, "booking %s reaches runner %s, status %d", arrived.attempt, arrived.runner, arrived.status)
		booking, known := sent[arrived.attempt]
		if !known {
			return false, errors.New("a request that no client sent")
		}
		isLate := arrived.at.After(acknowledged.Add(drainBound+tolerance)) && booking.sentAt.After(inTouch)
		if arrived.runner == leaver.id && arrived.status != 421 && isLate {
			late[booking.node]++
			notes.line(arrived.at, "LATE: booking %s reaches %s %.3f s after the acknowledgement, %.3f s after the connections went silent",
				arrived.attempt, arrived.runner, arrived.at.Sub(acknowledged).Seconds(), arrived.at.Sub(silentAt).Seconds())
		}
	}
	summary := fmt.Sprintf("answers by status %v; late arrivals at %s by node %v", statuses, leaver.id, late)
	notes.line(time.Now(), "%s", summary)
	fmt.Println(summary)
	if statuses[200]*10 < len(deployment.bookings)*5 {
		return false, errors.New("less than half of the bookings were served")
	}
	return len(late) > 0, nil
}
