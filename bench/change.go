package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// changeRounds is the number of changes over which the cost of one is averaged.
const changeRounds = 20

// workspaceCounts are the numbers of workspaces in the configuration for which
// the cost of a change is measured.
var workspaceCounts = []int{10, 100, 400}

// benchChanges measures the cost of one change of configuration to a node and to
// the store for different numbers of workspaces.
func benchChanges(ctx context.Context, table *table) error {
	for _, workspaces := range workspaceCounts {
		size := defaultSize
		size.workspaces = workspaces
		if err := benchChange(ctx, table, size); err != nil {
			return errors.Annotatef(err, "%d workspaces", workspaces)
		}
	}
	return nil
}

func benchChange(ctx context.Context, table *table, size deploymentSize) error {
	running, err := deploy(ctx, table.bin, size)
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
	each := elapsed.Seconds() / changeRounds
	table.addRow(fmt.Sprintf("one change of configuration, %d workspaces", size.workspaces),
		fmt.Sprintf("%.1f ms processor, %.0f B sent, %.0f B received a node; %.1f store reads, %.1f writes",
			(busy.processor-idle.processor)*10*each,
			(busy.sent-idle.sent)*each, (busy.received-idle.received)*each,
			(busy.reads-idle.reads)*each, (busy.writes-idle.writes)*each),
		fmt.Sprintf("mean of %d on %d nodes, above the idle cost", changeRounds, size.nodes))
	return nil
}

func applyChanges(ctx context.Context, running *deployment) error {
	for change := range changeRounds {
		if err := running.apply(ctx, fmt.Sprintf("change %d", change), false); err != nil {
			return errors.Trace(err)
		}
	}
	return awaitGeneration(running, 1+changeRounds, time.Now())
}
