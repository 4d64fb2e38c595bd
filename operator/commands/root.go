// Package commands implements the command line of snipeshift, with one file for each command. Each file
// registers its command when the program starts.
package commands

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// Version is set by the linker on releases.
var Version = "dev"

// constructors build the registered commands, anew for each run.
var constructors []func() *cli.Command

// register adds the constructor of a command; it is called from init functions.
func register(newCommand func() *cli.Command) { constructors = append(constructors, newCommand) }

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errors io.Writer) int {
	root := newRoot(in, out, errors)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if text := oneLine(err); text != "" {
		_, _ = fmt.Fprintln(errors, "snipeshift: "+text)
	}
	return codeOf(err)
}

func newRoot(in io.Reader, out, errors io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                            "snipeshift",
		Usage:                           "configure and watch a snipeshift deployment",
		Description:                     exitHelp(),
		Version:                         version(),
		Flags:                           flags(),
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Reader:                          in,
		Writer:                          out,
		ErrWriter:                       errors,
		// Run prints errors and returns exit codes; the library must not exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Before:         checkOutput,
		Action:         runWithoutCommand,
	}
	for _, construct := range constructors {
		root.Commands = append(root.Commands, construct())
	}
	slices.SortFunc(root.Commands, func(a, b *cli.Command) int { return strings.Compare(a.Name, b.Name) })
	eachCommand(root, func(c *cli.Command) { c.OnUsageError = onUsageError })
	return root
}

// eachCommand calls do for a command and all its subcommands.
func eachCommand(c *cli.Command, do func(*cli.Command)) {
	do(c)
	for _, sub := range c.Commands {
		eachCommand(sub, do)
	}
}

// onUsageError returns an error in the command line as a one-line message, without the help text.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError("%v", err)
}

// runWithoutCommand is the action for a missing or unknown command: help or an error.
func runWithoutCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("no command %q: run %s --help for the commands", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// version returns the version set by the linker, otherwise that of the module if it is a release.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if Version == "dev" && ok && strings.HasPrefix(b.Main.Version, "v") {
		return b.Main.Version
	}
	return Version
}
