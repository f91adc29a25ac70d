package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/store"
)

// clockTicks is the unit of processor time in /proc, USER_HZ on Linux.
const clockTicks = 100

// usage is what a process has used since its start.
type usage struct {
	processor time.Duration

	// sent and received are the bytes of its write and read calls, which on a
	// node are those of its connections.
	sent     int64
	received int64

	// memory is the resident memory in bytes.
	memory int64
}

// readUsage reads the usage of a process from /proc.
func readUsage(id int) (usage, error) {
	var read usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return read, errors.Trace(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	ticks := parseInt(fields[userField]) + parseInt(fields[systemField])
	read.processor = time.Duration(ticks) * time.Second / clockTicks
	read.received, err = readField(fmt.Sprintf("/proc/%d/io", id), "rchar:")
	if err != nil {
		return read, errors.Trace(err)
	}
	read.sent, err = readField(fmt.Sprintf("/proc/%d/io", id), "wchar:")
	if err != nil {
		return read, errors.Trace(err)
	}
	kilobytes, err := readField(fmt.Sprintf("/proc/%d/status", id), "VmRSS:")
	read.memory = kilobytes << 10
	return read, errors.Trace(err)
}

func readField(path, name string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Trace(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, name); found {
			return parseInt(strings.Fields(rest)[0]), nil
		}
	}
	return 0, errors.NotFoundf("field %s of %s", name, path)
}

func parseInt(text string) int64 {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// rates is the control cost of a node, the mean over the nodes of a
// deployment, and the calls of the whole deployment to the store.
type rates struct {
	// processor is the share of one core in percent.
	processor float64

	// sent and received are in bytes a second.
	sent     float64
	received float64

	// memory is in MiB.
	memory float64

	// highest is the processor share of the busiest node in percent.
	highest float64

	// reads and writes are store calls a second of the whole fleet. A waiting
	// watch counts as one read.
	reads  float64
	writes float64
}

// sample measures an idle deployment for a duration.
func (deployment *deployment) sample(duration time.Duration) (rates, error) {
	measured, _, err := deployment.sampleDuring(func() error {
		time.Sleep(duration)
		return nil
	})
	return measured, errors.Trace(err)
}

// sampleDuring measures a deployment while work is done and returns how long
// that took.
func (deployment *deployment) sampleDuring(work func() error) (rates, time.Duration, error) {
	before, callsBefore, err := deployment.snapshot()
	if err != nil {
		return rates{}, 0, errors.Trace(err)
	}
	start := time.Now()
	if err := work(); err != nil {
		return rates{}, 0, errors.Trace(err)
	}
	after, callsAfter, err := deployment.snapshot()
	if err != nil {
		return rates{}, 0, errors.Trace(err)
	}
	elapsed := time.Since(start)
	measured := mean(before, after, elapsed.Seconds())
	measured.reads = float64(callsAfter.reads-callsBefore.reads) / elapsed.Seconds()
	measured.writes = float64(callsAfter.writes-callsBefore.writes) / elapsed.Seconds()
	return measured, elapsed, nil
}

func (deployment *deployment) snapshot() ([]usage, calls, error) {
	usages, err := deployment.usages()
	if err != nil {
		return nil, calls{}, errors.Trace(err)
	}
	counted, err := deployment.storeCalls()
	return usages, counted, errors.Trace(err)
}

func (deployment *deployment) usages() ([]usage, error) {
	usages := make([]usage, 0, len(deployment.nodes))
	for _, target := range deployment.nodes {
		read, err := readUsage(target.ID())
		if err != nil {
			return nil, errors.Trace(err)
		}
		usages = append(usages, read)
	}
	return usages, nil
}

func mean(before, after []usage, elapsed float64) rates {
	var sum rates
	count := float64(len(after))
	for index := range after {
		processor := 100 * (after[index].processor - before[index].processor).Seconds() / elapsed
		sum.processor += processor / count
		sum.highest = max(sum.highest, processor)
		sum.sent += float64(after[index].sent-before[index].sent) / elapsed / count
		sum.received += float64(after[index].received-before[index].received) / elapsed / count
		sum.memory += float64(after[index].memory) / (1 << 20) / count
	}
	return sum
}

// calls are store calls since the store's start.
type calls struct{ reads, writes int }

// writeKinds are the kinds of call that count as writes.
var writeKinds = map[string]bool{"put": true, "delete": true, "grant": true, "renew": true, "revoke": true}

func (deployment *deployment) storeCalls() (calls, error) {
	var body struct {
		Counters []store.Counter `json:"counters"`
	}
	response, err := deployment.client.Get("http://" + deployment.address + "/counters")
	if err != nil {
		return calls{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return calls{}, errors.Trace(err)
	}
	var sum calls
	for _, counter := range body.Counters {
		if writeKinds[counter.Kind] {
			sum.writes += counter.Calls
		} else {
			sum.reads += counter.Calls
		}
	}
	return sum, nil
}
