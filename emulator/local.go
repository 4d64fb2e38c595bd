package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/local"
)

func init() {
	register(&cli.Command{
		Name:  "local",
		Usage: "run a small deployment on loopback until Ctrl-C",
		Flags: append(localFlags(),
			&cli.StringFlag{Name: "deployment", Value: string(local.Directorate), Usage: "directorate or indus"},
			&cli.StringSliceFlag{Name: "set", Usage: "one setting for every engine, `FIELD=VALUE`; may be repeated"},
		),
		Action: runLocal,
	})
}

// localFlags are common to the commands that start a deployment.
func localFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the daemon's program"},
		&cli.IntFlag{Name: "engines", Value: 6, Usage: "how many engines of the example run"},
		&cli.IntFlag{Name: "services", Value: 2, Usage: "how many plain services of the example run"},
		&cli.IntFlag{Name: "daemons", Value: 3, Usage: "how many daemons run"},
		&cli.BoolFlag{Name: "packed", Usage: "run all engines and services in one process"},
		&cli.StringFlag{Name: "caller", Usage: "`HOST:PORT` of the first daemon for callers; the system chooses by default"},
		&cli.StringFlag{Name: "logs", Usage: "existing `DIR` that keeps the logs"},
	}
}

func localOptions(c *cli.Command) (local.Options, error) {
	program, err := os.Executable()
	return local.Options{
		Deployment:      local.Deployment(c.String("deployment")),
		BinDir:          c.String("bin"),
		EmulatorProgram: program,
		Engines:         c.Int("engines"),
		Services:        c.Int("services"),
		Daemons:         c.Int("daemons"),
		SingleProcess:   c.Bool("packed"),
		ClientAddress:   c.String("caller"),
		LogDir:          c.String("logs"),
	}, err
}

func runLocal(ctx context.Context, c *cli.Command) error {
	o, err := localOptions(c)
	if err != nil {
		return err
	}
	o.EngineSettings = c.StringSlice("set")
	return local.Run(ctx, o, os.Stdout)
}
