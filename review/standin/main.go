// The standin program plays the cases of the review: it starts nodes as processes on
// loopback, with the command and the settings of the deploy file, and stands in for their
// clients, runners, operator and store.
//
//	standin CASE RECORD
//
// It exits with 0 if the rule of the case was kept, 1 if it was broken and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitKept = iota
	exitBroken
	exitNotRun
)

// maxTime is the longest time of a case.
const maxTime = 112 * time.Second

// A deployment is a small deployment that a case plays on.
type deployment struct {
	record  *record
	runs    *runs
	store   *store
	clients *clients
	folder  string
	nodes   []*node
	runners []*runner

	// troubled is false if the disruption is left out.
	troubled bool
}

var cases = map[string]func(*deployment) (broken int, err error){
	"pools":   playPools,
	"keys":    playKeys,
	"starved": playStarved,
	"uploads": playUploads,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		record.say("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	started, err := startStore()
	if err != nil {
		record.say("not run: %v", err)
		return exitNotRun
	}
	played := &deployment{
		record: record, runs: &runs{}, store: started, clients: newClients(record), folder: folder, troubled: os.Getenv("TROUBLE") != "0",
	}
	defer played.end()
	type result struct {
		broken int
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](played)
		results <- result{broken: broken, err: err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case ended := <-results:
		switch {
		case ended.err != nil:
			record.say("not run: %v", ended.err)
			return exitNotRun
		case ended.broken > 0:
			record.say("the rule was broken: %d times", ended.broken)
			return exitBroken
		}
		record.say("the rule was kept")
		return exitKept
	case <-signals:
		record.say("not run: interrupted")
	case <-time.After(maxTime):
		record.say("not run: the case took too long")
	}
	return exitNotRun
}

// end ends all processes.
func (played *deployment) end() {
	for _, ended := range played.nodes {
		ended.kill()
	}
}

// maxStarts is how often a node is prepared and started: another program may take one of its
// ports before it listens, and the process then ends at once.
const maxStarts = 5

// addNode starts a node and waits until it answers at its address for the health check.
func (played *deployment) addNode(name, zone string) error {
	for range maxStarts {
		added, err := newNode(played.record, played.folder, name, zone, played.store.address)
		if err != nil {
			return err
		}
		if err := added.start(); err != nil {
			return err
		}
		if added.awaitListening() {
			played.nodes = append(played.nodes, added)
			return nil
		}
		added.kill()
	}
	return fmt.Errorf("node %s does not start", name)
}

// awaitReady waits until all nodes are ready.
func (played *deployment) awaitReady() error {
	return await(15*time.Second, "nodes are ready", func() bool {
		for _, started := range played.nodes {
			if !started.isReady() {
				return false
			}
		}
		return true
	})
}

// addRunner starts a runner.
func (played *deployment) addRunner(config runnerConfig) (*runner, error) {
	config.store, config.record, config.runs = played.store, played.record, played.runs
	added, err := startRunner(config)
	if err != nil {
		return nil, err
	}
	played.runners = append(played.runners, added)
	return added, nil
}

// configure writes a configuration as the operator does, and returns the time of the
// acknowledgement.
func (played *deployment) configure(configuration map[string]any) time.Time {
	acknowledged := played.store.set("op/config", configuration)
	played.record.note("operator: configuration %v is acknowledged", configuration["version"])
	return acknowledged
}

// limits are those of the configuration in the pages.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
