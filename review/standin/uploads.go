package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is the limit of a process in the settings of the pages.
	memoryMB = 284

	// bodyBytes is the length of an upload. The configuration allows 4,194,304 bytes.
	bodyBytes = 4_000_000

	// usersPerNode is the usual number of users at a node, each with one upload at a time, and
	// usersInBurst their number while 1.7 times as many come at once.
	usersPerNode = 9
	usersInBurst = 15

	bursts        = 6
	uploadBurst   = 3 * time.Second
	calmInterval  = 5 * time.Second
	restartDelay  = 500 * time.Millisecond
	memoryTick    = 20 * time.Millisecond
	maxUploadTime = 2500 * time.Millisecond
)

// playUploads sends bookings with long bodies, now and then from 1.7 times as many users. The
// platform ends a process that takes more memory than its limit, and starts it again.
func playUploads(played *deployment) (int, error) {
	for index, zone := range []string{"lj-a", "lj-b"} {
		if err := played.addNode("edge-"+zone+"-1", zone); err != nil {
			return 0, err
		}
		for number := range 2 {
			config := runnerConfig{id: fmt.Sprintf("i-desk-%d-%d", index, number), service: "ledger-desk", zone: zone, slots: 6, queue: 24, work: 30 * time.Millisecond}
			if _, err := played.addRunner(config); err != nil {
				return 0, err
			}
		}
	}
	played.configure(keysConfiguration(7, []any{map[string]any{"name": "hule930", "apiKeys": []string{heldKey}, "priority": 1}}))
	if err := played.awaitReady(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	watches := make(chan memoryWatch, len(played.nodes))
	for _, watched := range played.nodes {
		go func() { watches <- played.watchMemory(watched, stop) }()
	}
	var users sync.WaitGroup
	played.addUsers(usersPerNode, stop, &users)
	time.Sleep(calmInterval)
	for range bursts {
		left := make(chan struct{})
		if played.troubled {
			played.record.note("more users come at once")
			played.addUsers(usersInBurst-usersPerNode, left, &users)
		}
		time.Sleep(uploadBurst)
		close(left)
		played.record.note("they have left")
		time.Sleep(calmInterval)
	}
	close(stop)
	users.Wait()
	machines := 0
	for range played.nodes {
		watched := <-watches
		played.record.say("%s: most memory %d MB, ended %d times for more than %d MB", watched.node, watched.most, watched.ends, memoryMB)
		if watched.ends >= 3 {
			machines++
		}
	}
	played.record.say("answers: %s", played.clients.summary())
	if machines < 2 {
		return 0, nil
	}
	return machines, nil
}

// addUsers starts users at each node, who upload until they leave.
func (played *deployment) addUsers(number int, leave <-chan struct{}, users *sync.WaitGroup) {
	body := make([]byte, bodyBytes)
	for _, to := range played.nodes {
		for range number {
			users.Add(1)
			go func() {
				defer users.Done()
				for {
					select {
					case <-leave:
						return
					default:
					}
					if played.clients.request(to, "POST", keysHost, bookPrefix+"2f", heldKey, maxUploadTime, nil, body) != 200 {
						time.Sleep(restartDelay)
					}
				}
			}()
		}
	}
}

// A memoryWatch is what the platform saw of the memory of a node.
type memoryWatch struct {
	node       string
	most, ends int
}

// watchMemory ends the process of a node each time that it has more memory than its limit, and
// starts it again.
func (played *deployment) watchMemory(watched *node, stop <-chan struct{}) memoryWatch {
	seen := memoryWatch{node: watched.name}
	for {
		select {
		case <-stop:
			return seen
		case <-time.After(memoryTick):
		}
		used := memoryOf(watched.pid())
		seen.most = max(seen.most, used)
		if used <= memoryMB {
			continue
		}
		seen.ends++
		played.record.note("%s has %d MB of memory: the platform ends and restarts it", watched.name, used)
		watched.kill()
		time.Sleep(restartDelay)
		if err := watched.start(); err != nil {
			played.record.note("%s does not start: %v", watched.name, err)
			return seen
		}
	}
}

// memoryOf returns the memory of a process in MB, without the pages of its program file.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		rest, found := strings.CutPrefix(line, "RssAnon:")
		if fields := strings.Fields(rest); found && len(fields) > 0 {
			kilobytes, _ := strconv.Atoi(fields[0])
			return kilobytes / 1024
		}
	}
	return 0
}
