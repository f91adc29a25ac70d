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

// clockTicks is the number of units of processor time in /proc per second,
// USER_HZ on Linux.
const clockTicks = 100

// usage holds the resources that a process has used since its start.
type usage struct {
	processor time.Duration

	// sent and received are the bytes of the process's write and read calls. On
	// a node these are the bytes of its connections.
	sent     int64
	received int64

	// memory is the resident memory in bytes.
	memory int64
}

// readUsage reads the usage of the process with the id from /proc.
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
	return 0, errors.NotFoundf("field %s in %s", name, path)
}

func parseInt(text string) int64 {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// rates holds the mean control cost of a node of a deployment and the store
// calls of the whole deployment.
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

	// reads and writes are the store calls a second of the whole deployment. A
	// watch that waits for changes counts as one read.
	reads  float64
	writes float64
}

// sample measures an idle deployment over a duration.
func (deployment *deployment) sample(duration time.Duration) (rates, error) {
	measured, _, err := deployment.sampleDuring(func() error {
		time.Sleep(duration)
		return nil
	})
	return measured, errors.Trace(err)
}

// sampleDuring measures a deployment while work runs. It also returns the
// measured duration.
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
	measured := meanRates(before, after, elapsed.Seconds())
	measured.reads = float64(callsAfter.reads-callsBefore.reads) / elapsed.Seconds()
	measured.writes = float64(callsAfter.writes-callsBefore.writes) / elapsed.Seconds()
	return measured, elapsed, nil
}

func (deployment *deployment) snapshot() ([]usage, storeCallCounts, error) {
	usages, err := deployment.usages()
	if err != nil {
		return nil, storeCallCounts{}, errors.Trace(err)
	}
	counted, err := deployment.storeCalls()
	return usages, counted, errors.Trace(err)
}

func (deployment *deployment) usages() ([]usage, error) {
	usages := make([]usage, 0, len(deployment.nodes))
	for _, node := range deployment.nodes {
		read, err := readUsage(node.ID())
		if err != nil {
			return nil, errors.Trace(err)
		}
		usages = append(usages, read)
	}
	return usages, nil
}

func meanRates(before, after []usage, elapsed float64) rates {
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

// storeCallCounts holds the numbers of store calls since the store's start.
type storeCallCounts struct{ reads, writes int }

// writeKinds are the kinds of store call that count as writes. All other kinds
// count as reads.
var writeKinds = map[string]bool{"put": true, "delete": true, "grant": true, "renew": true, "revoke": true}

func (deployment *deployment) storeCalls() (storeCallCounts, error) {
	var body struct {
		Counters []store.Counter `json:"counters"`
	}
	response, err := deployment.client.Get("http://" + deployment.storeAddress + "/counters")
	if err != nil {
		return storeCallCounts{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return storeCallCounts{}, errors.Trace(err)
	}
	var sum storeCallCounts
	for _, counter := range body.Counters {
		if writeKinds[counter.Kind] {
			sum.writes += counter.Calls
		} else {
			sum.reads += counter.Calls
		}
	}
	return sum, nil
}
