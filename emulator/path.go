package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/experiment"
	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
)

func init() {
	register(&cli.Command{
		Name:  "path",
		Usage: "measure what a request through a daemon costs, in a deployment of its own",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the daemon's program"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "how many daemons run"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second"},
			&cli.DurationFlag{Name: "slice", Value: defaultSlice, Usage: "how long each side runs at a time"},
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "how often both run"},
			&cli.IntFlag{Name: "tokens", Value: 1000, Usage: "length of the prompt"},
			&cli.IntFlag{Name: "output", Value: 4, Usage: "length of the answer in tokens"},
			&cli.DurationFlag{Name: "settle", Value: settleTime, Usage: "time from ready to the measure"},
			&cli.DurationFlag{Name: "idle", Value: pathIdle, Usage: "how long the daemons are watched without requests"},
		},
		Action: runPath,
	})
}

// quickEngine are settings under which the engine's own steps do not hide what a daemon adds.
var quickEngine = []string{"decode=20000", "prefill=50000000", "slots=256", "lag=50", "notice=1"}

// pathIdle is long against the period of heartbeats.
const pathIdle = 5 * time.Second

func runPath(ctx context.Context, c *cli.Command) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	rows, err := experiment.MeasureRequestCost(ctx, experiment.RequestCostOptions{
		Local: local.Options{
			Deployment:      local.Directorate,
			BinDir:          c.String("bin"),
			EmulatorProgram: program,
			Engines:         1,
			Services:        1,
			Daemons:         c.Int("daemons"),
			EngineSettings:  quickEngine,
		},
		Model: load.Comparison{
			Rate:   c.Float("rate"),
			Slice:  c.Duration("slice"),
			Rounds: c.Int("rounds"),
			Key:    local.APIKey("thiruvananthapuram"),
			Model:  "notice-drafter",
			Kind:   "ward-notice",
			Tokens: c.Int("tokens"),
			Output: c.Int("output"),
			Seed:   1,
		},
		Engine:  "notice-1",
		Service: "alert-1",
		Name:    "alert-desk",
		Kind:    "alert-lookup",
		Settle:  c.Duration("settle"),
		Idle:    c.Duration("idle"),
	})
	if err != nil {
		return err
	}
	if err := experiment.RequestCostTable(rows, os.Stderr); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Compared.Wrong() > 0 {
			return errWrong
		}
	}
	return nil
}
