// Command guavastack routes language-model traffic with service levels and priorities.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args)) }

// run runs one command line and returns its exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "guavastack: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// usageError is a mistake in the command line.
type usageError struct{ message string }

// Error returns what is wrong.
func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// root returns the command with all its sub-commands.
func root() *cli.Command {
	cmd := &cli.Command{
		Name:  "guavastack",
		Usage: "route language-model traffic with service levels and priorities",
		Commands: []*cli.Command{
			upCommand(),
			roleCommand("entry", "serve callers"),
			roleCommand("gateway", "serve callers by the routes of the catalog"),
			roleCommand("agent", "guard one backend server"),
			roleCommand("control", "keep the system's state as a member of the control group, or relay calls to one"),
			roleCommand("run", "run every role that the settings file names"),
			checkCommand(),
			settingsCommand(),
			organisationCommand(),
			keyCommand(),
			explainCommand(),
			loadCommand(),
			groupCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
	}
	cmd.Commands = append(cmd.Commands, statusCommands()...)
	cmd.Commands = append(cmd.Commands, standinCommand())
	prepare(cmd)
	return cmd
}

// prepare makes mistakes in the command line usage errors throughout.
func prepare(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	if cmd.Action == nil {
		cmd.Action = unknownCommand
	}
	for _, sub := range cmd.Commands {
		prepare(sub)
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usagef("%v", err)
}

func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usagef("%s has no command %q; see %s --help", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	_ = cli.ShowSubcommandHelp(cmd)
	return usagef("%s needs a command", cmd.FullName())
}
