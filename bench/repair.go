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

// withSpare is a deployment of one group with one spare VM.
var withSpare = scale{nodes: 3, vms: 3, groupSize: 2, domains: 1, workspaces: 1}

// repairPause is how long the failed member stays silent.
const repairPause = time.Minute

// benchRepair measures what the repair of one group costs the store and how
// long the group is without a grant at a node.
func benchRepair(ctx context.Context, out *report) error {
	running, err := deploy(ctx, out.bin, withSpare)
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
	out.row("repair of one group with a spare",
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
		return admin.GroupStatus{}, errors.NotFoundf("group")
	}
	return status.Groups[0], nil
}

// awaitRepair waits until the group is granted at a higher epoch.
func (deployment *deployment) awaitRepair(epoch uint64) error {
	for start := time.Now(); time.Since(start) < formBound; time.Sleep(pollInterval) {
		repaired, err := deployment.onlyGroup()
		if err == nil && repaired.Granted && repaired.Epoch > epoch {
			return nil
		}
	}
	return errors.Timeoutf("repair")
}

// placementWrites counts the writes of keys of fabric domains.
func (deployment *deployment) placementWrites() (int, error) {
	var body struct {
		Counters []store.Counter `json:"counters"`
	}
	if err := remote.Get(deployment.client, "http://"+deployment.address+"/counters", &body); err != nil {
		return 0, errors.Trace(err)
	}
	for _, counter := range body.Counters {
		if counter.Kind == "put" && counter.Prefix == "domain" {
			return counter.Calls, nil
		}
	}
	return 0, nil
}
