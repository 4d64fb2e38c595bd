package commands

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/document"
)

func init() { register(check) }

func check() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check configuration documents and print every problem with file, line and field",
		ArgsUsage: "FILE...",
		Action:    runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	names := c.Args().Slice()
	if len(names) == 0 {
		return usageError("name the files to check: snipeshift check FILE")
	}
	problems := document.Problems{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		_, ps := document.Parse(text, name)
		problems = append(problems, ps...)
	}
	if err := showProblems(c, problems); err != nil {
		return err
	}
	if len(problems) > 0 {
		return withAdvice(errInvalid, "%d problems: mend them and check again", len(problems))
	}
	return nil
}

// showProblems prints problems, one on each line or as JSON.
func showProblems(c *cli.Command, ps document.Problems) error {
	if asJSON(c) {
		return showJSON(c, ps)
	}
	for _, p := range ps {
		if err := printLine(c, "%s", p); err != nil {
			return err
		}
	}
	return nil
}

// loadDocument reads a document from a file and checks it. It prints the problems and returns an
// error if there are any.
func loadDocument(c *cli.Command, name string) ([]byte, *document.Document, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, err
	}
	d, ps := document.Parse(text, name)
	if len(ps) == 0 {
		return text, d, nil
	}
	if err := showProblems(c, ps); err != nil {
		return nil, nil, err
	}
	return nil, nil, withAdvice(errInvalid, "%d problems in %s, nothing was changed: mend them and try again", len(ps), name)
}
