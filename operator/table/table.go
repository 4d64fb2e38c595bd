// Package table writes lists and events as text tables.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Column is one column of a table: its title and the function that formats the cell of a row.
type Column[R any] struct {
	Title string
	Cell  func(R) string
}

// Write writes a line of titles and a line for each row.
func Write[R any](out io.Writer, rows []R, columns []Column[R]) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = c.Title
	}
	line(w, cells)
	for _, r := range rows {
		for i, c := range columns {
			cells[i] = c.Cell(r)
		}
		line(w, cells)
	}
	return w.Flush()
}

// line writes one line. It writes empty cells as a dash, so that scripts can split lines into columns.
func line(w io.Writer, cells []string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // Flush reports errors
}
