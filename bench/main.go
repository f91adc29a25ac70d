// Command bench prints the measures of docs/measures.md as a table. Programs
// are taken from the directory --bin, which `make build` fills. Without --only
// it runs every section.
//
// # Usage
//
//	make bench
//	go run ./bench --only apply --only latency
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

// A measurement adds rows to the report.
type measurement func(ctx context.Context, out *report) error

// A section is a measurement that can be chosen by name.
type section struct {
	name string
	run  measurement
}

var sections = []section{
	{"latency", rowsOf(addedLatency)},
	{"relay", rowsOf(relayCost)},
	{"prefix", rowsOf(prefixReuse)},
	{"retries", rowsOf(domainRetries)},
	{"admission", benchAdmission},
	{"replay", benchReplay},
	{"window", benchWindow},
	{"repair", benchRepair},
	{"apply", benchApply},
	{"changes", benchChanges},
	{"control", benchControl},
}

// rowsOf returns a measurement that needs no deployment.
func rowsOf(measure func() ([]measure, error)) measurement {
	return func(_ context.Context, out *report) error {
		rows, err := measure()
		out.rows = append(out.rows, rows...)
		return errors.Trace(err)
	}
}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		os.Exit(1)
	}
	out := &report{bin: chosen.Bin}
	for _, section := range sections {
		if len(chosen.Only) > 0 && !slices.Contains(chosen.Only, section.name) {
			continue
		}
		if err := section.run(context.Background(), out); err != nil {
			fmt.Fprintln(os.Stderr, errors.Annotate(err, section.name))
			os.Exit(1)
		}
	}
	out.print()
}
