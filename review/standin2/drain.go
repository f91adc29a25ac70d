package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Bounds of the deployment.
const (
	stableWindow = 3000 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
)

const (
	// calmTime is the time with load before the disruption.
	calmTime = 5 * time.Second

	// leaveAfter is when the runner leaves after the connections went silent, and lingerTime
	// how much longer than the drain bound it serves.
	leaveAfter = 1300 * time.Millisecond
	lingerTime = 1500 * time.Millisecond

	// tolerance covers the clocks of the record: what happens within it of a bound is not
	// counted.
	tolerance = 20 * time.Millisecond

	interval = 50 * time.Millisecond
)

// runDrain lets all open connections to the store go silent, as new ones work, and a runner
// leave soon after. It reports whether requests reached the runner later than the drain bound
// after the store's acknowledgement, by nodes that were in touch.
func runDrain(notes *record) (bool, error) {
	deployment, err := newDeployment()
	if err != nil {
		return false, err
	}
	defer deployment.end()
	deployment.configure(bookingRoute, plainService)
	for index, zone := range zones {
		runner, err := startRunner(deployment.store, fmt.Sprintf("i-00000%d", index+1), zone, deployment.arrived)
		if err != nil {
			return false, err
		}
		deployment.runners = append(deployment.runners, runner)
	}
	if err := deployment.startNodes(notes); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, node := range deployment.nodes {
		clients.Go(func() { newClient(node, "/book/2f", nil, deployment.ended).run(ctx, interval) })
	}
	time.Sleep(calmTime)
	silentAt := time.Now()
	for _, node := range deployment.nodes {
		if notes.trouble {
			notes.line(silentAt, "%d open connections of %s to the store go silent", node.store.silence(), node.name)
		}
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
