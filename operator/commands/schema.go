package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/document"
)

func init() { register(schema) }

func schema() *cli.Command {
	return &cli.Command{
		Name:   "schema",
		Usage:  "print the JSON Schema of the configuration document",
		Action: runSchema,
	}
}

func runSchema(_ context.Context, c *cli.Command) error {
	s, err := document.Schema()
	if err != nil {
		return err
	}
	return showJSON(c, s)
}
