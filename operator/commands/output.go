package commands

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

// asJSON reports whether the output format is JSON.
func asJSON(c *cli.Command) bool { return c.String(flagOutput) == outputJSON }

// showRows prints rows as a table or as a JSON list.
func showRows[R any](c *cli.Command, rows []R, columns []table.Column[R]) error {
	if !asJSON(c) {
		return table.Write(c.Root().Writer, rows, columns)
	}
	if rows == nil {
		rows = []R{}
	}
	return showJSON(c, rows)
}

// showJSON prints value as indented JSON.
func showJSON(c *cli.Command, value any) error {
	j := json.NewEncoder(c.Root().Writer)
	j.SetIndent("", "  ")
	j.SetEscapeHTML(false)
	return j.Encode(value)
}

// printLine prints one formatted line.
func printLine(c *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(c.Root().Writer, format+"\n", args...)
	return err
}

// partialError returns an error that names the daemons that could not be queried, nil if there are none.
func partialError(failures []daemon.MemberError, all int) error {
	if len(failures) == 0 {
		return nil
	}
	names := make([]string, len(failures))
	for i, m := range failures {
		names[i] = string(m.Member.VM)
	}
	return withAdvice(errPartial, "%d of %d daemons gave no answer (%s), the rest is shown: see snipeshift members; the first error: %v",
		len(failures), all, strings.Join(names, ", "), failures[0].Err)
}
