package commands

import (
	"context"
	"fmt"
	"regexp"
	"strconv"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/peer"
	"snipeshift.example/operator/store"
)

func init() { register(showDocument) }

func showDocument() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the newest configuration document, its revision in the first line",
		Description: "Edit the output and pass it to apply. Its first line names the revision that was edited, so that apply " +
			"refuses the edit if another operator has changed the document in the meantime.",
		Action: runShow,
	}
}

// documentOutput is the JSON output of the document.
type documentOutput struct {
	Revision peer.Revision `json:"revision"`
	Text     string        `json:"text"`
}

func runShow(ctx context.Context, c *cli.Command) error {
	s, err := newStore(c)
	if err != nil {
		return err
	}
	d, err := store.Read(ctx, s)
	if err != nil {
		return readError(err)
	}
	if asJSON(c) {
		return showJSON(c, documentOutput{d.Revision, string(d.Text)})
	}
	if d.Revision == 0 {
		return fmt.Errorf("there is no document yet: write one and give it to snipeshift apply")
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s%d\n%s", revisionPrefix, d.Revision, d.Text)
	return err
}

// readError returns the error message for a failed read of the store.
func readError(err error) error {
	return withAdvice(err, "the store could not be read, nothing was changed: try again, or check --store (%v)", err)
}

// revisionPrefix begins the line with the revision that show prints before the document.
const revisionPrefix = "// snipeshift document revision "

var revisionLine = regexp.MustCompile(`^` + revisionPrefix + `(\d{1,19})\r?\n`)

// cutRevisionLine removes the line with the revision from a text, if there is one, and returns its
// revision.
func cutRevisionLine(text []byte) (rest []byte, base peer.Revision, marked bool) {
	m := revisionLine.FindSubmatch(text)
	if m == nil {
		return text, 0, false
	}
	n, err := strconv.ParseUint(string(m[1]), 10, 64)
	if err != nil {
		return text, 0, false
	}
	return text[len(m[0]):], peer.Revision(n), true
}
