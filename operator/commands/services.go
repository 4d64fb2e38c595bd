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
		Usage: "list who decides for each service and what upstreams say of themselves, as relaying VMs know it",
		Description: "Asks the metrics address of each relaying VM that --daemon names. Where their rows differ, the VMs do not know the same:\n" +
			"the later epoch holds.",
		Action: runServices,
	}
}

func runServices(ctx context.Context, c *cli.Command) error {
	addresses := c.StringSlice(flagDaemon)
	if len(addresses) == 0 {
		return usageError("name the metrics addresses of relaying VMs by --daemon or SNIPESHIFT_DAEMON, such as 10.0.0.7:9102")
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	relays := []answers.RelayStatus{}
	var silent error
	for _, a := range addresses {
		r, err := daemon.Get[answers.RelayStatus](ctx, k, a, answers.PathServices)
		if err != nil {
			silent = err
			continue
		}
		relays = append(relays, r)
	}
	if len(relays) == 0 {
		return silent
	}
	if err := showRelays(c, relays); err != nil {
		return err
	}
	if silent != nil {
		return tell(errPartial, "%d of %d VMs gave no answer, the rest is shown; the last said: %v", len(addresses)-len(relays), len(addresses), silent)
	}
	return nil
}

// showRelays writes a table of services and, where upstreams have said anything, one of that.
func showRelays(c *cli.Command, relays []answers.RelayStatus) error {
	if asJSON(c) {
		return showJSON(c, relays)
	}
	var services []table.ServiceRow
	var statements []table.StatementRow
	for _, r := range relays {
		for _, s := range r.Services {
			services = append(services, table.ServiceRow{VM: r.VM, Era: r.Era, Service: s})
		}
		for _, s := range r.Statements {
			statements = append(statements, table.StatementRow{VM: r.VM, Statement: s})
		}
	}
	if err := show(c, services, table.Services); err != nil || len(statements) == 0 {
		return err
	}
	if err := say(c, ""); err != nil {
		return err
	}
	return show(c, statements, table.Statements)
}
