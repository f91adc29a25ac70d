package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// cutTime is how long the node is partitioned from the store, and removeAfter when the
	// head leaves after the partition began.
	cutTime     = 4 * time.Second
	removeAfter = 20 * time.Millisecond

	formWait = 25 * time.Second

	// findWait bounds the search for the node that reads the store, and a group that it leads.
	findWait = 10 * time.Second

	// promptInterval is the time between two prompts to one node.
	promptInterval = 20 * time.Millisecond

	domainsOfZone  = 4
	enginesOfGroup = 3
)

// runLapse partitions one node from the store, the one that reads it for the others and leads a
// fabric domain. The head of a group of that domain leaves then. It reports whether requests
// reached the head later than the drain bound after the store's acknowledgement, by the other
// nodes.
func runLapse(notes *record) (bool, error) {
	deployment, err := newDeployment()
	if err != nil {
		return false, err
	}
	defer deployment.end()
	deployment.configure(streamRoute, engineService)
	for domain := range domainsOfZone + 2 {
		zone := zones[max(0, domain-domainsOfZone+1)]
		for index := range enginesOfGroup {
			engine, err := startEngine(deployment.store, fmt.Sprintf("i-%02d%02d", domain, index), zone, fmt.Sprintf("%s-d%d", zone, domain), deployment.arrived)
			if err != nil {
				return false, err
			}
			deployment.engines = append(deployment.engines, engine)
		}
	}
	if err := deployment.startNodes(notes); err != nil {
		return false, err
	}
	if err := deployment.awaitGroups(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, node := range deployment.nodes {
		clients.Go(func() { newClient(node, "/draft/2f", promptHeader, deployment.ended).run(ctx, promptInterval) })
	}
	time.Sleep(calmTime)
	reader, head, err := deployment.readerAndHead()
	for began := time.Now(); err != nil && time.Since(began) < findWait; time.Sleep(200 * time.Millisecond) {
		reader, head, err = deployment.readerAndHead()
	}
	if err != nil {
		return false, err
	}
	cutAt := time.Now()
	if notes.trouble {
		reader.store.cut()
		notes.line(cutAt, "%s is partitioned from the store", reader.name)
	}
	time.Sleep(removeAfter)
	acknowledged := head.removeEntry()
	notes.line(acknowledged, "the store removes the entry of %s, the head of a group in %s, which goes on serving", head.id, head.domain)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if notes.trouble {
		reader.store.heal()
	}
	cancel()
	clients.Wait()
	return deployment.judgeLapse(notes, head, reader, acknowledged)
}

// awaitGroups waits until each fabric domain has an open group.
func (deployment *deployment) awaitGroups() error {
	for began := time.Now(); time.Since(began) < formWait; time.Sleep(100 * time.Millisecond) {
		open := 0
		for _, engine := range deployment.engines {
			if engine.heads() {
				open++
			}
		}
		if open >= domainsOfZone+2 {
			return nil
		}
	}
	return errors.New("the groups did not open")
}

// readerAndHead returns the node that watches the runners' entries at the store, and a head of
// an open group in a fabric domain that it leads.
func (deployment *deployment) readerAndHead() (*node, *engine, error) {
	deployment.store.mutex.Lock()
	defer deployment.store.mutex.Unlock()
	leaders := map[string]string{}
	for key, known := range deployment.store.items {
		var leader struct {
			Node string `json:"node"`
		}
		if domain, found := strings.CutSuffix(key, "/leader"); found && json.Unmarshal(known.Value, &leader) == nil {
			leaders[domain[strings.LastIndexByte(domain, '/')+1:]] = leader.Node
		}
	}
	for _, node := range deployment.nodes {
		if time.Since(deployment.store.readers[node.source]) < time.Second {
			for _, engine := range deployment.engines {
				if leaders[engine.domain] == node.name && engine.heads() {
					return node, engine, nil
				}
			}
		}
	}
	return nil, nil, fmt.Errorf("no reader that leads a fabric domain: %v", leaders)
}

func (deployment *deployment) judgeLapse(notes *record, head *engine, reader *node, acknowledged time.Time) (bool, error) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	sent := map[string]booking{}
	statuses, late := map[int]int{}, map[string]int{}
	for _, booking := range deployment.bookings {
		sent[booking.attempt] = booking
		statuses[booking.status]++
		notes.line(booking.sentAt, "prompt %s sent to %s, ended %.3f s later with status %d, error %v", booking.attempt, booking.node,
			booking.endedAt.Sub(booking.sentAt).Seconds(), booking.status, booking.err)
	}
	longest := time.Duration(0)
	for _, arrived := range deployment.arrivals {
		notes.line(arrived.at, "prompt %s reaches runner %s, status %d", arrived.attempt, arrived.runner, arrived.status)
		if arrived.runner != head.id || sent[arrived.attempt].node == reader.name {
			continue
		}
		after := arrived.at.Sub(acknowledged)
		longest = max(longest, after)
		if after > drainBound+tolerance {
			late[sent[arrived.attempt].node]++
			notes.line(arrived.at, "LATE: prompt %s reaches %s %.3f s after the acknowledgement", arrived.attempt, head.id, after.Seconds())
		}
	}
	summary := fmt.Sprintf("answers by status %v; last arrival at %s through a node other than %s %.3f s after the acknowledgement; late by node %v",
		statuses, head.id, reader.name, longest.Seconds(), late)
	notes.line(time.Now(), "%s", summary)
	fmt.Println(summary)
	if statuses[200]*10 < len(deployment.bookings)*5 {
		return false, errors.New("less than half of the prompts were served")
	}
	return len(late) > 0, nil
}
