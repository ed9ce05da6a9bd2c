package experiment

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// minColumnWidth is the minimum width of a column: the three dashes of the delimiter row in Markdown.
const minColumnWidth = 3

// table is a Markdown table. Its columns are padded so that it is also readable as plain text.
type table struct {
	header []string
	rows   [][]string
}

// newTable returns a table without rows.
func newTable(header ...string) *table { return &table{header: header} }

// addRow adds a row with a cell for each column.
func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// write writes the table.
func (t *table) write(out *bytes.Buffer) {
	widths := t.columnWidths()
	rule := make([]string, len(t.header))
	for column, width := range widths {
		rule[column] = strings.Repeat("-", width)
	}
	writeRow(out, widths, t.header)
	writeRow(out, widths, rule)
	for _, row := range t.rows {
		writeRow(out, widths, row)
	}
}

// columnWidths returns the widths of the columns, in characters.
func (t *table) columnWidths() []int {
	widths := make([]int, len(t.header))
	for column, cell := range t.header {
		widths[column] = max(minColumnWidth, utf8.RuneCountInString(cell))
	}
	for _, row := range t.rows {
		for column, cell := range row {
			widths[column] = max(widths[column], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

// writeRow writes a row with its cells padded to the widths of their columns.
func writeRow(out *bytes.Buffer, widths []int, cells []string) {
	for column, cell := range cells {
		fmt.Fprintf(out, "| %-*s ", widths[column], cell)
	}
	fmt.Fprintln(out, "|")
}
