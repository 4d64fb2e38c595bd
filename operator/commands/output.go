package commands

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

// asJSON tells whether the operator asked for JSON.
func asJSON(c *cli.Command) bool { return c.String(flagOutput) == outputJSON }

// show writes rows as a table, or as a JSON list.
func show[R any](c *cli.Command, rows []R, columns []table.Column[R]) error {
	if !asJSON(c) {
		return table.Write(c.Root().Writer, rows, columns)
	}
	if rows == nil {
		rows = []R{}
	}
	return showJSON(c, rows)
}

func showJSON(c *cli.Command, value any) error {
	j := json.NewEncoder(c.Root().Writer)
	j.SetIndent("", "  ")
	j.SetEscapeHTML(false)
	return j.Encode(value)
}

// say writes one line for a person.
func say(c *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(c.Root().Writer, format+"\n", args...)
	return err
}

// partial turns daemons that gave no answer into an error that names them.
func partial(misses []daemon.MemberError, all int) error {
	if len(misses) == 0 {
		return nil
	}
	names := make([]string, len(misses))
	for i, m := range misses {
		names[i] = string(m.Member.VM)
	}
	return tell(errPartial, "%d of %d daemons gave no answer (%s), the rest is shown: see snipeshift members; the first said: %v",
		len(misses), all, strings.Join(names, ", "), misses[0].Err)
}
