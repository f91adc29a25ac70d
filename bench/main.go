// Command bench measures the system and prints the measures as a table.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// A measure is one row of the table.
type measure struct {
	name  string
	value string
	note  string
}

// A measurement produces rows. Its error ends the command.
type measurement func() ([]measure, error)

func main() {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tvalue\tconditions")
	for _, run := range []measurement{addedLatency, relayCost, prefixReuse, domainRetries} {
		rows, err := run()
		if err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
		for _, row := range rows {
			fmt.Fprintf(table, "%s\t%s\t%s\n", row.name, row.value, row.note)
		}
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
