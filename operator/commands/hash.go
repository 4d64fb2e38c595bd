package commands

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/document"
)

func init() { register(hash) }

func hash() *cli.Command {
	return &cli.Command{
		Name:  "hash",
		Usage: "read an API key from the input and print its hash for the configuration document",
		Description: "A key is read from the input and not from the arguments, which other users of the machine could see. " +
			"To make one: head -c 32 /dev/urandom | base64",
		Action: runHash,
	}
}

// Bounds of a key. The hash is fast and has no salt, so a short key could be
// found from it by trying.
const (
	minKey = 20
	maxKey = 512
)

func runHash(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("give the key as input, not as an argument: snipeshift hash < FILE")
	}
	input, err := io.ReadAll(io.LimitReader(c.Root().Reader, maxKey+2))
	if err != nil {
		return err
	}
	key := strings.TrimRight(string(input), "\r\n")
	if len(key) < minKey || len(key) > maxKey || strings.ContainsAny(key, " \t\r\n") {
		return usageError("a key has %d to %d characters and no spaces: make one by head -c 32 /dev/urandom | base64", minKey, maxKey)
	}
	return say(c, "%s", document.HashKey(key))
}
