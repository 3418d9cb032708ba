package main

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/explain"
)

// explainCommand returns the command that prints the log lines of one request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "print one request's timeline from the logs of several processes",
		ArgsUsage:   "REQUEST-ID FILE...",
		Description: "Reads log lines of any number of processes, in any order, and prints those that name the request in order of\ntime, and the state of its processes during the request. A FILE of - is standard input. Fails when no line names the request.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) < 2 {
				return usagef("explain takes a REQUEST-ID and at least one FILE")
			}
			var reader explain.Reader
			for _, file := range args[1:] {
				if err := readLog(&reader, file); err != nil {
					return err
				}
			}
			timeline, err := reader.Timeline(args[0])
			if err != nil {
				return err
			}
			if n := reader.Skipped(); n > 0 {
				fmt.Fprintf(os.Stderr, "guavastack: skipped %d lines that are not log lines\n", n)
			}
			return timeline.Write(os.Stdout)
		},
	}
}

// readLog reads the lines of one file, or of standard input for "-".
func readLog(reader *explain.Reader, file string) error {
	if file == "-" {
		return reader.Read(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return errors.Annotate(reader.Read(f), file)
}
