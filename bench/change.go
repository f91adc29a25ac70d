package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// changes is the number of configurations that the cost of one is the mean of.
const changes = 20

// workspaceCounts are the sizes of the configuration over which the cost of a
// change is measured.
var workspaceCounts = []int{10, 100, 400}

// benchChanges measures what one change of configuration costs a node and the
// store, over the number of workspaces.
func benchChanges(ctx context.Context, out *report) error {
	for _, workspaces := range workspaceCounts {
		size := today
		size.workspaces = workspaces
		if err := benchChange(ctx, out, size); err != nil {
			return errors.Annotatef(err, "%d workspaces", workspaces)
		}
	}
	return nil
}

func benchChange(ctx context.Context, out *report, size scale) error {
	running, err := deploy(ctx, out.bin, size)
	if err != nil {
		return errors.Trace(err)
	}
	defer running.stop()
	idle, err := running.sample(samplePeriod)
	if err != nil {
		return errors.Trace(err)
	}
	busy, elapsed, err := running.sampleDuring(func() error { return applyChanges(ctx, running) })
	if err != nil {
		return errors.Trace(err)
	}
	each := elapsed.Seconds() / changes
	out.row(fmt.Sprintf("one change of configuration, %d workspaces", size.workspaces),
		fmt.Sprintf("%.1f ms processor, %.0f B sent, %.0f B received a node; %.1f store reads, %.1f writes",
			(busy.processor-idle.processor)*10*each,
			(busy.sent-idle.sent)*each, (busy.received-idle.received)*each,
			(busy.reads-idle.reads)*each, (busy.writes-idle.writes)*each),
		fmt.Sprintf("mean of %d on %d nodes, above the idle cost", changes, size.nodes))
	return nil
}

func applyChanges(ctx context.Context, running *deployment) error {
	for change := range changes {
		if err := running.apply(ctx, fmt.Sprintf("change %d", change), false); err != nil {
			return errors.Trace(err)
		}
	}
	return awaitGeneration(running, 1+changes, time.Now())
}
