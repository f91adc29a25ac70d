package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/remote"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

// oneSpareSize is the size of a deployment with one group and one spare VM.
var oneSpareSize = deploymentSize{nodes: 3, vms: 3, groupSize: 2, domains: 1, workspaces: 1}

// repairPause is the time for which the failed member does not answer.
const repairPause = time.Minute

// benchRepair measures the number of placement writes for the repair of one group
// and the time from the failure of a member until a node has a grant for the
// repaired group.
func benchRepair(ctx context.Context, table *table) error {
	running, err := deploy(ctx, table.bin, oneSpareSize)
	if err != nil {
		return errors.Trace(err)
	}
	defer running.stop()
	member, err := running.secondMember()
	if err != nil {
		return errors.Trace(err)
	}
	before, err := running.onlyGroup()
	if err != nil {
		return errors.Trace(err)
	}
	writes, err := running.placementWrites()
	if err != nil {
		return errors.Trace(err)
	}
	failed := time.Now()
	order := fault.Order{Fault: fault.Pause, Duration: fault.Duration(repairPause)}
	if err := running.post("http://"+member+"/control", order); err != nil {
		return errors.Trace(err)
	}
	if err := running.awaitRepair(before.Epoch); err != nil {
		return errors.Trace(err)
	}
	elapsed := time.Since(failed)
	after, err := running.placementWrites()
	if err != nil {
		return errors.Trace(err)
	}
	table.addRow("repair of one group with a spare",
		fmt.Sprintf("%d placement writes, %v from the member's failure to the grant", after-writes, elapsed.Round(10*time.Millisecond)),
		"one run; weights of 1 MiB, load time 50 ms")
	return nil
}

func (deployment *deployment) onlyGroup() (admin.GroupStatus, error) {
	status, err := deployment.status(deployment.nodes[0])
	if err != nil {
		return admin.GroupStatus{}, errors.Trace(err)
	}
	if len(status.Groups) == 0 {
		return admin.GroupStatus{}, errors.NotFoundf("group in the status of a node")
	}
	return status.Groups[0], nil
}

// awaitRepair waits until the first node has a grant for the group at a higher
// epoch.
func (deployment *deployment) awaitRepair(epoch uint64) error {
	for start := time.Now(); time.Since(start) < formTimeout; time.Sleep(pollInterval) {
		repaired, err := deployment.onlyGroup()
		if err == nil && repaired.Granted && repaired.Epoch > epoch {
			return nil
		}
	}
	return errors.Timeoutf("wait for a grant after the repair of the group")
}

// placementWrites returns the number of put calls for the keys of fabric domains
// that the store has counted.
func (deployment *deployment) placementWrites() (int, error) {
	var body struct {
		Counters []store.Counter `json:"counters"`
	}
	if err := remote.Get(deployment.client, "http://"+deployment.storeAddress+"/counters", &body); err != nil {
		return 0, errors.Trace(err)
	}
	for _, counter := range body.Counters {
		if counter.Kind == "put" && counter.Prefix == "domain" {
			return counter.Calls, nil
		}
	}
	return 0, nil
}
