package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// A report collects the rows of the table.
type report struct {
	bin  string
	rows []measure
}

// A measure is one row of the table.
type measure struct {
	name  string
	value string
	note  string
}

// line prints a measured point at once, because a whole run takes minutes.
func (out *report) line(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
}

// row adds a row. The note gives conditions or the target.
func (out *report) row(name, value, note string) {
	out.rows = append(out.rows, measure{name: name, value: value, note: note})
}

// print writes the table.
func (out *report) print() {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "measure\tvalue\tconditions or target")
	for _, row := range out.rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\n", row.name, row.value, row.note)
	}
	writer.Flush()
}
