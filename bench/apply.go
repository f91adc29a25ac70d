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

	// unreachableStore is an address at which nothing listens.
	unreachableStore = "127.0.0.1:1"

	// forceTarget is the target of docs/measures.md.
	forceTarget = "at most 1 s; at scale 5 s"
)

// applyNodes are the fleets that the time to be in force is measured on. Above
// 12 nodes most nodes learn of a change by relay.
var applyNodes = []int{6, 24, 48}

// benchApply measures the time from the acceptance of a configuration until
// it is in force at all nodes, and with one node cut off from the store.
func benchApply(ctx context.Context, out *report) error {
	for _, nodes := range applyNodes {
		size := today
		size.nodes = nodes
		if err := benchApplySize(ctx, out, size); err != nil {
			return errors.Annotatef(err, "%d nodes", nodes)
		}
	}
	return nil
}

func benchApplySize(ctx context.Context, out *report, size scale) error {
	running, err := deploy(ctx, out.bin, size)
	if err != nil {
		return errors.Trace(err)
	}
	defer running.stop()
	if err := benchForce(ctx, out, running, fmt.Sprintf("%d nodes", size.nodes)); err != nil {
		return errors.Trace(err)
	}
	if err := running.startNode(ctx, len(running.nodes), unreachableStore); err != nil {
		return errors.Trace(err)
	}
	if err := awaitGeneration(running, 1+applyRounds, time.Now()); err != nil {
		return errors.Trace(err)
	}
	return benchForce(ctx, out, running, fmt.Sprintf("%d nodes and one without the store", size.nodes))
}

func benchForce(ctx context.Context, out *report, running *deployment, name string) error {
	var times []time.Duration
	for round := range applyRounds {
		elapsed, err := forceOnce(ctx, running, fmt.Sprintf("%s %d", name, round))
		if err != nil {
			return errors.Trace(err)
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	out.row("apply accepted to in force, "+name,
		fmt.Sprintf("median %v, highest %v", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond)),
		forceTarget)
	return nil
}

// forceOnce counts from before the apply command starts, so it includes the
// command's own time.
func forceOnce(ctx context.Context, running *deployment, version string) (time.Duration, error) {
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

// awaitGeneration waits until every node has the generation or a higher one.
func awaitGeneration(running *deployment, generation uint64, start time.Time) error {
	for _, target := range running.nodes {
		for {
			status, err := running.status(target)
			if err == nil && status.Generation >= generation {
				break
			}
			if time.Since(start) > formBound {
				return errors.Timeoutf("generation %d", generation)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
