// Command lacewingspoke-bench prints the measures of docs/measures.md as a
// table. Programs are taken from the directory --bin, which `make build`
// fills. Without --only it runs every section.
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

// A section measures one part of the table.
type section struct {
	name string
	run  func(ctx context.Context, out *report) error
}

var sections = []section{
	{"apply", benchApply},
	{"control", benchControl},
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
