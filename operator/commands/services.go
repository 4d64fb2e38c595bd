package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

func init() { register(services) }

func services() *cli.Command {
	return &cli.Command{
		Name:  "services",
		Usage: "list the holder of each service and the statements of upstreams, as reported by VMs in relay mode",
		Description: "Queries the metrics address of each VM in relay mode that --daemon names. Where the rows of VMs differ, the one with\n" +
			"the later epoch is valid.",
		Action: runServices,
	}
}

func runServices(ctx context.Context, c *cli.Command) error {
	relays, err := askRelays(c, func(k *daemon.Client, address string) (answers.RelayStatus, error) {
		return daemon.Get[answers.RelayStatus](ctx, k, address, answers.PathServices)
	})
	if len(relays) == 0 {
		return err
	}
	if err := showRelays(c, relays); err != nil {
		return err
	}
	return err
}

// needRelays advises to name VMs in relay mode.
const needRelays = "name the metrics addresses of VMs in relay mode by --daemon or SNIPESHIFT_DAEMON, such as 10.0.0.7:9102"

// askRelays queries the VMs in relay mode that --daemon names. It returns the answers, and an error if any VM gave none.
func askRelays[A any](c *cli.Command, ask func(k *daemon.Client, address string) (A, error)) ([]A, error) {
	addresses := c.StringSlice(flagDaemon)
	if len(addresses) == 0 {
		return nil, usageError(needRelays)
	}
	k, err := newClient(c)
	if err != nil {
		return nil, err
	}
	var out []A
	var lastErr error
	for _, a := range addresses {
		x, err := ask(k, a)
		if err != nil {
			lastErr = err
			continue
		}
		out = append(out, x)
	}
	if len(out) == 0 || lastErr == nil {
		return out, lastErr
	}
	return out, withAdvice(errPartial, "%d of %d VMs gave no answer, the rest is shown; the last error: %v", len(addresses)-len(out), len(addresses), lastErr)
}

// showRelays prints a table of services and, if there are any, a table of the statements of upstreams.
func showRelays(c *cli.Command, relays []answers.RelayStatus) error {
	if asJSON(c) {
		return showJSON(c, relays)
	}
	var services []table.ServiceRow
	var statements []table.StatementRow
	for _, r := range relays {
		for _, s := range r.Services {
			services = append(services, table.ServiceRow{VM: r.VM, Era: r.Era, Evacuated: r.Evacuated, Service: s})
		}
		for _, s := range r.Statements {
			statements = append(statements, table.StatementRow{VM: r.VM, Statement: s})
		}
	}
	if err := showRows(c, services, table.Services); err != nil || len(statements) == 0 {
		return err
	}
	if err := printLine(c, ""); err != nil {
		return err
	}
	return showRows(c, statements, table.Statements)
}
