// Command bench prints the measures of docs/measures.md as a table. The
// measures are grouped into sections; without --only it runs every section.
//
// # Usage
//
//	make bench
//	go run ./bench --only apply --only latency
//
// Run it from the repository's root. The sections window, repair, apply,
// changes and control start the programs from the directory --bin, which
// `make build` fills.
//
// # Sections
//
//	latency    latency that the node adds to a stream
//	relay      processor time that the node takes to relay a token
//	prefix     share of requests that reach a group with their prefix cached
//	retries    retries while the node's own failure domain is unavailable
//	admission  requests answered in time, fairness and throttling under overload
//	replay     placement policy on recorded failure traces
//	window     time for which a group delivers after a member's failure
//	repair     cost and duration of the repair of a group
//	apply      time until a configuration is in force at every node
//	changes    cost of one change of configuration
//	control    cost of idle nodes over the size of a deployment
//
// The sections latency and relay run a node and an engine in this process. The
// sections prefix, retries, admission and replay are simulations on a virtual
// clock. The other sections start a deployment of real processes on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// options are the flags of the command.
type options struct {
	Bin  string   `long:"bin" default:"bin" value-name:"DIR" description:"Directory of the built programs"`
	Only []string `long:"only" value-name:"SECTION" description:"Run only this section; may be repeated"`
}

// A measurement adds rows to the table.
type measurement func(ctx context.Context, table *table) error

// A section is a measurement that --only selects by name.
type section struct {
	name string
	run  measurement
}

var sections = []section{
	{"latency", withoutDeployment(addedLatency)},
	{"relay", withoutDeployment(relayCost)},
	{"prefix", withoutDeployment(prefixReuse)},
	{"retries", withoutDeployment(domainRetries)},
	{"admission", benchAdmission},
	{"replay", benchReplay},
	{"window", benchWindow},
	{"repair", benchRepair},
	{"apply", benchApply},
	{"changes", benchChanges},
	{"control", benchControl},
}

// withoutDeployment adapts a function that returns rows and starts no deployment
// to a measurement.
func withoutDeployment(measure func() ([]tableRow, error)) measurement {
	return func(_ context.Context, table *table) error {
		rows, err := measure()
		table.rows = append(table.rows, rows...)
		return errors.Trace(err)
	}
}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		os.Exit(1)
	}
	table := &table{bin: chosen.Bin}
	for _, section := range sections {
		if len(chosen.Only) > 0 && !slices.Contains(chosen.Only, section.name) {
			continue
		}
		if err := section.run(context.Background(), table); err != nil {
			fmt.Fprintln(os.Stderr, errors.Annotate(err, section.name))
			os.Exit(1)
		}
	}
	table.print()
}
