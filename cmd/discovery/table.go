package main

import (
	"io"
	"text/tabwriter"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// writeTable writes lines with tab-terminated cells as a table with aligned columns.
func writeTable(out io.Writer, lines string) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	if _, err := io.WriteString(table, lines); err != nil {
		return err
	}
	return table.Flush()
}
