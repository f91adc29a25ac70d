package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// A table collects the rows that the command prints at its end.
type table struct {
	bin  string
	rows []tableRow
}

// A tableRow is one row of the table.
type tableRow struct {
	name  string
	value string
	note  string
}

// printLine prints an intermediate result immediately, because a whole run
// takes minutes.
func (table *table) printLine(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
}

// addRow adds a row. The note gives the conditions or the target.
func (table *table) addRow(name, value, note string) {
	table.rows = append(table.rows, tableRow{name: name, value: value, note: note})
}

// print writes the table to the standard output.
func (table *table) print() {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "measure\tvalue\tconditions or target")
	for _, row := range table.rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\n", row.name, row.value, row.note)
	}
	writer.Flush()
}
