package commands

import (
	"context"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/door"
	"snipeshift.example/lib/platform"
	"snipeshift.example/operator/daemon"
)

// Names of the flags that all commands have.
const (
	flagStore       = "store"
	flagDaemon      = "daemon"
	flagOutput      = "output"
	flagTimeout     = "timeout"
	flagAuthority   = "authority"
	flagCertificate = "certificate"
	flagKey         = "key"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

const defaultTimeout = 5 * time.Second

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagStore, Usage: "`ADDRESS` of the platform's store, IP address and port", Sources: cli.EnvVars("SNIPESHIFT_STORE")},
		&cli.StringSliceFlag{Name: flagDaemon, Usage: "operator `ADDRESS` of any daemon, more than one to try one after the other", Sources: cli.EnvVars("SNIPESHIFT_DAEMON")},
		&cli.StringFlag{Name: flagOutput, Usage: "`FORMAT` of what is shown: text or json", Value: outputText},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest wait for one answer", Value: defaultTimeout},
		&cli.StringFlag{Name: flagAuthority, Usage: "`FILE` with the certificates of the authority that signs those of daemons", Sources: cli.EnvVars("SNIPESHIFT_AUTHORITY")},
		&cli.StringFlag{Name: flagCertificate, Usage: "`FILE` with the operator's certificate", Sources: cli.EnvVars("SNIPESHIFT_CERTIFICATE")},
		&cli.StringFlag{Name: flagKey, Usage: "`FILE` with the key of the certificate", Sources: cli.EnvVars("SNIPESHIFT_KEY")},
	}
}

// checkOutput rejects an invalid --output before the command runs.
func checkOutput(ctx context.Context, c *cli.Command) (context.Context, error) {
	switch o := c.String(flagOutput); o {
	case outputText, outputJSON:
		return ctx, nil
	default:
		return ctx, usageError("--output %s: use text or json", o)
	}
}

// newStore returns a client of the platform's store.
func newStore(c *cli.Command) (*platform.Client, error) {
	a := c.String(flagStore)
	if _, err := netip.ParseAddrPort(a); err != nil {
		return nil, usageError("name the platform's store by --store or SNIPESHIFT_STORE, such as 10.0.0.5:7070")
	}
	t := platform.DefaultTimeouts
	limit := clock.Of(c.Duration(flagTimeout))
	t.Read, t.Write = limit, limit
	return platform.NewClient(a, t), nil
}

// newClient returns a client of daemons.
func newClient(c *cli.Command) (*daemon.Client, error) {
	endpoint, err := door.New(door.Files{
		Authority:   c.String(flagAuthority),
		Certificate: c.String(flagCertificate),
		Key:         c.String(flagKey),
	}, func(error) {})
	if err != nil {
		return nil, withAdvice(errUsage, "%v", err)
	}
	return daemon.New(endpoint.Transport(), c.Duration(flagTimeout)), nil
}

// needDaemon advises to name a daemon of OpenAI's API.
const needDaemon = "name the operator address of a daemon by --daemon or SNIPESHIFT_DAEMON, such as 10.0.0.7:7002"

// newFleet lists all daemons by querying those named by --daemon.
func newFleet(ctx context.Context, c *cli.Command) (*daemon.Fleet, error) {
	addresses := c.StringSlice(flagDaemon)
	if len(addresses) == 0 {
		return nil, usageError(needDaemon)
	}
	k, err := newClient(c)
	if err != nil {
		return nil, err
	}
	return daemon.Find(ctx, k, addresses)
}
