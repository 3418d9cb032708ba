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

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args)) }

// run executes a command line and returns the exit code. SIGINT and SIGTERM cancel the context of the command.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand().Run(ctx, args)
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

// usageError is an error in the command line. The process exits with exitUsage.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// rootCommand returns the command with all its subcommands.
func rootCommand() *cli.Command {
	cmd := &cli.Command{
		Name:  "guavastack",
		Usage: "route language-model traffic with service levels and priorities",
		Commands: []*cli.Command{
			upCommand(),
			roleCommand("entry", "serve callers"),
			roleCommand("gateway", "serve callers by the routes of the catalog"),
			roleCommand("agent", "run the agent of one backend server"),
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
	setUsageErrors(cmd)
	return cmd
}

// setUsageErrors makes cmd and its subcommands return a usageError for invalid flags and unknown subcommands.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	if cmd.Action == nil {
		cmd.Action = unknownCommand
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
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
