package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	applyRounds = 10

	// unreachableStore is a store address on which no process listens.
	unreachableStore = "127.0.0.1:1"

	// applyTarget is the target that docs/measures.md states.
	applyTarget = "at most 1 s; at scale 5 s"
)

// applyNodeCounts are the numbers of nodes for which the time of an apply is
// measured. Above 12 nodes most nodes receive a change through other nodes.
var applyNodeCounts = []int{6, 24, 48}

// benchApply measures the time from the acceptance of a configuration until it
// is in force at all nodes, both with the store reachable from every node and
// with one more node that cannot reach it.
func benchApply(ctx context.Context, table *table) error {
	for _, nodes := range applyNodeCounts {
		size := defaultSize
		size.nodes = nodes
		if err := benchApplySize(ctx, table, size); err != nil {
			return errors.Annotatef(err, "%d nodes", nodes)
		}
	}
	return nil
}

func benchApplySize(ctx context.Context, table *table, size deploymentSize) error {
	running, err := deploy(ctx, table.bin, size)
	if err != nil {
		return errors.Trace(err)
	}
	defer running.stop()
	if err := benchApplyTimes(ctx, table, running, fmt.Sprintf("%d nodes", size.nodes)); err != nil {
		return errors.Trace(err)
	}
	if err := running.startNode(ctx, len(running.nodes), unreachableStore); err != nil {
		return errors.Trace(err)
	}
	if err := awaitGeneration(running, 1+applyRounds, time.Now()); err != nil {
		return errors.Trace(err)
	}
	return benchApplyTimes(ctx, table, running, fmt.Sprintf("%d nodes and one without the store", size.nodes))
}

func benchApplyTimes(ctx context.Context, table *table, running *deployment, name string) error {
	var times []time.Duration
	for round := range applyRounds {
		elapsed, err := measureApply(ctx, running, fmt.Sprintf("%s %d", name, round))
		if err != nil {
			return errors.Trace(err)
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	table.addRow("apply accepted to in force, "+name,
		fmt.Sprintf("median %v, highest %v", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond)),
		applyTarget)
	return nil
}

// measureApply applies a configuration and returns the time until it is in force
// at all nodes. The time starts before the apply command and so includes the
// command's own run time.
func measureApply(ctx context.Context, running *deployment, version string) (time.Duration, error) {
	before, err := running.status(running.nodes[0])
	if err != nil {
		return 0, errors.Trace(err)
	}
	start := time.Now()
	if err := running.apply(ctx, version, false); err != nil {
		return 0, errors.Trace(err)
	}
	if err := awaitGeneration(running, before.Generation+1, start); err != nil {
		return 0, errors.Trace(err)
	}
	return time.Since(start), nil
}

// awaitGeneration waits until every node reports the generation or a higher one.
func awaitGeneration(running *deployment, generation uint64, start time.Time) error {
	for _, node := range running.nodes {
		for {
			status, err := running.status(node)
			if err == nil && status.Generation >= generation {
				break
			}
			if time.Since(start) > formTimeout {
				return errors.Timeoutf("wait for generation %d at every node", generation)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
