package main

import (
	"fmt"
	"time"
)

const (
	// cutInterval is the time between two moments at which the store cuts its waiting watches.
	cutInterval = time.Second

	// releaseInterval is the time between two runners that leave, and releases their number.
	releaseInterval = 1700 * time.Millisecond
	releases        = 30

	// deskLinger is the little longer for which a leaving runner serves.
	deskLinger = 300 * time.Millisecond
)

// playDrain replaces the runners of a plain service one after the other, while the store cuts
// its waiting watches now and then. The leaving runners do not report it: their entries are
// removed.
func playDrain(played *deployment) (int, error) {
	zones := []string{"lj-a", "lj-b", "lj-c"}
	for _, zone := range zones {
		if err := played.addNode("edge-"+zone+"-1", zone); err != nil {
			return 0, err
		}
	}
	count := 0
	addRunner := func() (*runner, error) {
		count++
		return played.addRunner(runnerConfig{
			id: fmt.Sprintf("i-desk-%02d", count), service: "ledger-desk", zone: zones[count%len(zones)], slots: 6,
			work: 100 * time.Millisecond, linger: deskLinger,
		})
	}
	var serving []*runner
	for range 4 {
		added, err := addRunner()
		if err != nil {
			return 0, err
		}
		serving = append(serving, added)
	}
	played.configure(keysConfiguration(7, []any{map[string]any{"name": "hule930", "apiKeys": []string{heldKey}, "priority": 1}}))
	if err := played.awaitReady(); err != nil {
		return 0, err
	}
	stop, sent := make(chan struct{}), make(chan struct{})
	go func() {
		played.sendSteadily(stop)
		close(sent)
	}()
	if played.troubled {
		go played.cutWatches(stop)
	}
	time.Sleep(3 * time.Second)
	for range releases {
		added, err := addRunner()
		if err != nil {
			return 0, err
		}
		time.Sleep(releaseInterval)
		leaving := serving[0]
		serving = append(serving[1:], added)
		leaving.leave(false)
		played.record.note("runner %s leaves: its entry is removed, as the store acknowledges", leaving.id)
	}
	time.Sleep(drainTime + deskLinger + time.Second)
	close(stop)
	<-sent
	played.clients.ended.Wait()
	return played.judgeDrain(), nil
}

// sendSteadily sends 60 bookings a second to the nodes in turn.
func (played *deployment) sendSteadily(stop <-chan struct{}) {
	for index := 0; ; index++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / 60):
		}
		played.clients.send(played.nodes[index%len(played.nodes)], "POST", keysHost, bookPrefix+"2f", heldKey, 2500*time.Millisecond, nil, []byte("a plank"))
	}
}

func (played *deployment) cutWatches(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(cutInterval):
		}
		played.record.note("the store cuts its waiting watches: %d", played.store.cutWatches())
	}
}

// judgeDrain counts the requests that reached a runner later than the drain time after the
// store had acknowledged that it is gone.
func (played *deployment) judgeDrain() int {
	gone := map[string]time.Time{}
	for _, known := range played.runners {
		gone[known.id] = known.goneAt()
	}
	broken, runners := 0, map[string]bool{}
	var latest time.Duration
	for _, seen := range played.runs.list() {
		at := gone[seen.runner]
		if at.IsZero() || seen.at.Sub(at) <= drainTime {
			continue
		}
		broken++
		runners[seen.runner] = true
		latest = max(latest, seen.at.Sub(at))
		played.record.note("DRAIN: %s reached runner %s %v after the store acknowledged that it is gone", seen.attempt, seen.runner, seen.at.Sub(at))
	}
	played.record.say("answers: %s", played.clients.summary())
	played.record.say("requests that reached a runner later than %v after it was gone: %d at %d runners, the latest after %v", drainTime, broken, len(runners), latest)
	return broken
}
