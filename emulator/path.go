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
		Usage: "measure the cost of a request through a daemon, in a local deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the daemon's executable"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "number of daemons"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second"},
			&cli.DurationFlag{Name: "slice", Value: defaultSlice, Usage: "time on each path before switching to the other"},
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "number of slices of each path"},
			&cli.IntFlag{Name: "tokens", Value: 1000, Usage: "length of the prompt in tokens"},
			&cli.IntFlag{Name: "output", Value: 4, Usage: "length of the answer in tokens"},
			&cli.DurationFlag{Name: "settle", Value: defaultSettle, Usage: "wait between readiness and the measurement"},
			&cli.DurationFlag{Name: "idle", Value: defaultPathIdle, Usage: "how long the daemons are measured without requests"},
		},
		Action: runPath,
	})
}

// fastEngine holds engine settings with such short steps that they do not hide the latency that a
// daemon adds.
var fastEngine = []string{"decode=20000", "prefill=50000000", "slots=256", "lag=50", "notice=1"}

// defaultPathIdle is long compared to the heartbeat period.
const defaultPathIdle = 5 * time.Second

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
			EngineSettings:  fastEngine,
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
			return errWrongAnswers
		}
	}
	return nil
}
