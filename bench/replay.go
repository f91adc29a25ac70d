package main

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/replay"
)

// traceFiles is the pattern of the paths of the recorded failure traces.
const traceFiles = "group/testdata/*.txt"

// benchReplay replays the recorded failure traces with the policy and with
// both baselines.
func benchReplay(_ context.Context, table *table) error {
	paths, err := filepath.Glob(traceFiles)
	if err != nil {
		return errors.Trace(err)
	}
	if len(paths) == 0 {
		return errors.NotFoundf("traces %s (run from the repository's root)", traceFiles)
	}
	for _, path := range paths {
		trace, err := replay.ReadTrace(path)
		if err != nil {
			return errors.Trace(err)
		}
		for _, row := range replay.Compare(trace) {
			table.addRow(replayName(row), fmt.Sprintf("downtime %.0f replica-s (unavoidable %.0f), stranded %.0f accelerator-s, loads %d",
				row.Result.Downtime, row.Result.Unavoidable, row.Result.Stranded, row.Result.Loads),
				"at most half of the better baseline on the heavier measure, no worse on the other")
		}
	}
	return nil
}

func replayName(row replay.Row) string {
	if row.Policy != replay.PolicyPlan {
		return fmt.Sprintf("replay %s, %v", row.Trace, row.Policy)
	}
	return fmt.Sprintf("replay %s, policy with downtime-weight %g, stranded-weight %g",
		row.Trace, row.DowntimeWeight, row.StrandedWeight)
}
