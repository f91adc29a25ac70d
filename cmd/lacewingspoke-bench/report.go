package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// A report collects the rows of the measures table.
type report struct {
	bin  string
	rows []row
}

// A row is one measured value with its target.
type row struct{ measure, value, target string }

// line prints a measured point at once, because a whole run takes minutes.
func (out *report) line(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
}

// row adds a row to the table.
func (out *report) row(measure, value, target string) {
	out.rows = append(out.rows, row{measure: measure, value: value, target: target})
}

// print writes the table.
func (out *report) print() {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "MEASURE\tRESULT\tTARGET")
	for _, row := range out.rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\n", row.measure, row.value, row.target)
	}
	writer.Flush()
}
