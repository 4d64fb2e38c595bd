package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/local"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/expect"
)

func init() {
	register(&cli.Command{
		Name:  "call",
		Usage: "send one request, check its answer and print what became of it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true, Usage: "`HOST:PORT` of a daemon"},
			&cli.StringFlag{Name: "key", Value: local.APIKey("thiruvananthapuram"), Usage: "API key"},
			&cli.StringFlag{Name: "model", Value: "notice-drafter", Usage: "model"},
			&cli.StringFlag{Name: "service", Usage: "plain service to call in place of a model"},
			&cli.StringFlag{Name: "kind", Usage: "request kind"},
			&cli.StringFlag{Name: "prompt", Value: "ward 7", Usage: "prompt, or a service's body"},
			&cli.IntFlag{Name: "tokens", Usage: "repeat the prompt up to so many tokens"},
			&cli.IntFlag{Name: "output", Value: expect.DefaultTokens, Usage: "length of the answer in tokens"},
			&cli.BoolFlag{Name: "whole", Usage: "ask for a whole answer in place of a stream"},
			&cli.IntFlag{Name: "deadline", Usage: "allowed time in `MILLISECONDS`, sent along"},
			&cli.IntFlag{Name: "wait", Value: 60_000, Usage: "longest wait in `MILLISECONDS`"},
			&cli.StringFlag{Name: "once", Usage: "idempotency key"},
			&cli.BoolFlag{Name: "direct", Usage: "the address is an engine or a service itself"},
		},
		Action: runCall,
	})
}

// Exit statuses of call, beside 0 for a whole and right answer and 1 for a wrong one.
const (
	statusRefused = 2 // did not run
	statusFailed  = 3 // ran or may have run, without a whole answer
)

func runCall(ctx context.Context, c *cli.Command) error {
	r := caller.New().Do(ctx, requestOf(c), time.Now())
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	switch r.Outcome {
	case caller.Finished:
		return nil
	case caller.Wrong:
		return errWrong
	case caller.Refused:
		return cli.Exit("", statusRefused)
	default:
		return cli.Exit("", statusFailed)
	}
}

func requestOf(c *cli.Command) caller.Request {
	prompt := c.String("prompt")
	if n := c.Int("tokens") * expect.TokenBytes; n > len(prompt) {
		prompt = strings.Repeat(prompt+" ", n/(len(prompt)+1)+1)[:n]
	}
	q := caller.Request{
		Address:        c.String("address"),
		Path:           caller.ChatPath,
		Key:            c.String("key"),
		Kind:           c.String("kind"),
		IdempotencyKey: c.String("once"),
		Prompt:         prompt,
		PromptTokens:   expect.Tokens(prompt),
		OutputTokens:   c.Int("output"),
		Stream:         !c.Bool("whole"),
		Deadline:       clock.Milli(c.Int("deadline")),
		TimeLimit:      clock.Milli(c.Int("wait")),
		Direct:         c.Bool("direct"),
		ID:             fmt.Sprintf("call-%d", time.Now().UnixNano()),
	}
	if s := c.String("service"); s != "" {
		q.Service, q.Stream = true, false
		q.Path = fmt.Sprintf("/services/%s/lookup", s)
		q.Body = []byte(prompt)
		return q
	}
	q.Body = caller.ChatBody(c.String("model"), prompt, q.OutputTokens, q.Stream)
	return q
}
