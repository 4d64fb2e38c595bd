package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/route"
	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

func init() { register(where) }

// Names of the flags of where.
const (
	flagService   = "service"
	flagModel     = "model"
	flagKind      = "kind"
	flagHost      = "host"
	flagPath      = "path"
	flagWorkspace = "workspace"
	flagPrompt    = "prompt"
	flagTokens    = "output" // hides the flag of the same name that all commands have
	flagPart      = "part"
	flagDeadline  = "deadline"
	flagAim       = "aim"
	flagUrgency   = "urgency"
	flagFile      = "file"
	flagID        = "id"
	flagJSON      = "json"
)

// maxQuery bounds the file that describes a request, in bytes.
const maxQuery = 16 << 10

func where() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "tell where a request would be placed now, and why, without sending it",
		Description: "Queries the metrics address of each VM in relay mode that --daemon names, which asks the owner of the service; for a\n" +
			"model of OpenAI's API the operator address of each daemon. The request is described by flags, or by a JSON file with\n" +
			"fields of the same names; what is absent is that of the route, or of the kind.",
		Action: runWhere,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: flagModel, Usage: "`NAME` of the model of OpenAI's API, in place of a service"},
			&cli.StringFlag{Name: flagKind, Usage: "`KIND` of the request to a model; the document's first one if absent"},
			&cli.StringFlag{Name: flagHost, Usage: "`HOST` of the route, in place of a service"},
			&cli.StringFlag{Name: flagPath, Usage: "`PATH` of the route", Value: "/"},
			&cli.StringFlag{Name: flagWorkspace, Usage: "`ID` of the workspace"},
			&cli.IntFlag{Name: flagPrompt, Usage: "length of the prompt in `TOKENS`"},
			&cli.IntFlag{Name: flagTokens, Usage: "longest response in `TOKENS`"},
			&cli.StringSliceFlag{Name: flagPart, Usage: "`PART` of the prompt, as snipeshift parts shows it; repeatable"},
			&cli.Int64Flag{Name: flagDeadline, Usage: "time until the whole response is due, in `MILLISECONDS`"},
			&cli.Int64Flag{Name: flagAim, Usage: "time until the first byte is due, in `MILLISECONDS`"},
			&cli.Uint8Flag{Name: flagUrgency, Usage: "`URGENCY`, 0 is served first"},
			&cli.StringFlag{Name: flagFile, Usage: "JSON `FILE` that describes the request, in place of the flags; - for the standard input"},
			&cli.StringFlag{Name: flagID, Usage: "`ID` by which the owner knows a request of the service that is queued now"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
	}
}

func runWhere(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("unknown argument %q: snipeshift where takes none", c.Args().First())
	}
	path, err := wherePath(c)
	if err != nil {
		return err
	}
	if len(c.StringSlice(flagDaemon)) == 0 && c.IsSet(flagModel) {
		return usageError(needDaemon)
	}
	rows, err := askRelays(c, func(k *daemon.Client, address string) (answers.Where, error) {
		return daemon.Get[answers.Where](ctx, k, address, path)
	})
	if len(rows) == 0 {
		return whereError(err)
	}
	if err := showWhere(c, rows); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	return verdictError(rows)
}

// whereError returns the error for a description that names something unknown as one in the command line.
func whereError(err error) error {
	var rejected *daemon.RejectedError
	if errors.As(err, &rejected) {
		return usageError("%s", rejected.Text)
	}
	return err
}

// wherePath returns the path of the page with the description of the request.
func wherePath(c *cli.Command) (string, error) {
	q, err := whereQuery(c)
	if err != nil {
		return "", err
	}
	if q.Service == "" && q.Host == "" && q.Model == "" {
		return "", usageError("name a service by --%s, or a route by --%s and --%s, or a model by --%s", flagService, flagHost, flagPath, flagModel)
	}
	text, err := json.Marshal(q)
	return answers.PathWhere + "?" + url.Values{answers.ParamWhere: {string(text)}}.Encode(), err
}

// whereQuery reads the description of the request from the file or the flags.
func whereQuery(c *cli.Command) (q answers.WhereQuery, err error) {
	if c.IsSet(flagFile) {
		return readQuery(c)
	}
	q = answers.WhereQuery{
		Service: route.ServiceID(c.String(flagService)), Model: c.String(flagModel), Kind: c.String(flagKind), Host: c.String(flagHost), Path: c.String(flagPath), Workspace: decide.WorkspaceID(c.String(flagWorkspace)),
		Prompt: decide.Tokens(c.Int(flagPrompt)), Output: decide.Tokens(c.Int(flagTokens)), Parts: c.StringSlice(flagPart),
		Deadline: clock.Milli(c.Int64(flagDeadline)), Aim: clock.Milli(c.Int64(flagAim)), ID: decide.RequestID(c.String(flagID)),
	}
	if q.Model != "" {
		q.Path = ""
	}
	if c.IsSet(flagUrgency) {
		u := decide.Urgency(c.Uint8(flagUrgency))
		q.Urgency = &u
	}
	return q, checkQuery(&q)
}

// readQuery reads the description of the request from a file.
func readQuery(c *cli.Command) (q answers.WhereQuery, err error) {
	for _, f := range c.LocalFlagNames() {
		if f != flagFile && f != flagJSON && c.IsSet(f) {
			return q, usageError("--%s and --%s: describe the request by the file or by flags", flagFile, f)
		}
	}
	name := c.String(flagFile)
	var text []byte
	if name == "-" {
		text, err = io.ReadAll(io.LimitReader(c.Root().Reader, maxQuery))
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return q, usageError("%v", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return q, usageError("%s does not describe a request: %v", name, err)
	}
	if q.Path == "" && q.Model == "" {
		q.Path = "/"
	}
	return q, checkQuery(&q)
}

// checkQuery rejects numbers that no request has, and what belongs to a request to another kind of daemon.
func checkQuery(q *answers.WhereQuery) error {
	if q.Model != "" && (q.Service != "" || q.Host != "" || q.Aim != 0) {
		return usageError("--%s excludes --%s, --%s and --%s, which are for VMs in relay mode", flagModel, flagService, flagHost, flagAim)
	}
	if q.Model == "" && q.Kind != "" {
		return usageError("--%s is for a --%s of OpenAI's API", flagKind, flagModel)
	}
	for name, n := range map[string]int64{flagPrompt: int64(q.Prompt), flagTokens: int64(q.Output), flagDeadline: int64(q.Deadline), flagAim: int64(q.Aim)} {
		if n < 0 {
			return usageError("%s %d: use a positive number", name, n)
		}
	}
	return nil
}

// showWhere prints a line for each answer, and a table of the other upstreams.
func showWhere(c *cli.Command, rows []answers.Where) error {
	if c.Bool(flagJSON) || c.Root().String(flagOutput) == outputJSON {
		return showJSON(c, rows)
	}
	columns := table.Where
	if rows[0].Model != "" {
		columns = table.WhereModel
	}
	if err := table.Write(c.Root().Writer, rows, columns); err != nil {
		return err
	}
	var others []table.WhereOtherRow
	for _, r := range rows {
		for _, x := range r.Others {
			others = append(others, table.WhereOtherRow{VM: r.VM, WhereOther: x})
		}
	}
	if len(others) > 0 {
		if err := printLine(c, ""); err != nil {
			return err
		}
		if err := table.Write(c.Root().Writer, others, table.WhereOthers); err != nil {
			return err
		}
	}
	return showOwnerErrors(c, rows)
}

// showOwnerErrors tells which VMs answered in place of owners, and why.
func showOwnerErrors(c *cli.Command, rows []answers.Where) error {
	for _, r := range rows {
		if r.OwnerError == "" {
			continue
		}
		text := "\n%s answers from its own records, since the owner gave no answer: %s"
		if r.From != r.VM {
			text = "\n%s answers in place of the owner, which gave no answer: %s"
		}
		if err := printLine(c, text, r.From, r.OwnerError); err != nil {
			return err
		}
	}
	return nil
}

// verdictError returns the error whose exit code tells the worst of the verdicts, nil if all are placed.
func verdictError(rows []answers.Where) error {
	var err error
	for _, r := range rows {
		switch r.Verdict {
		case answers.Refused:
			return errRefused
		case answers.Queued:
			err = errQueued
		case answers.Placed:
		}
	}
	return err
}
