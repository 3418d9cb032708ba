package main

import (
	"context"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/strict"
)

// checkCommand returns the command that validates a file without starting a process.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a process's settings file or a settings document, and name every mistake with its line",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the mistakes as JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("check takes one FILE")
			}
			file := cmd.Args().First()
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			return printProblems(cmd, file, checkFile(file, data))
		},
	}
}

// printProblems prints the problems of a file and returns an error if there are any.
func printProblems(cmd *cli.Command, file string, problems strict.Problems) error {
	if cmd.Bool("json") {
		if problems == nil {
			problems = strict.Problems{}
		}
		if err := printJSON(problems); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Println(p)
		}
	}
	switch len(problems) {
	case 0:
		if !cmd.Bool("json") {
			fmt.Printf("%s: ok\n", file)
		}
		return nil
	case 1:
		return fmt.Errorf("%s: 1 mistake", file)
	default:
		return fmt.Errorf("%s: %d mistakes", file, len(problems))
	}
}

// checkFile validates a process's settings file or a settings document, depending on its fields.
func checkFile(file string, data []byte) strict.Problems {
	if isProcessFile(data) {
		_, problems := config.Parse(file, data)
		return problems
	}
	_, problems := settings.Parse(file, data)
	return problems
}

// isProcessFile reports whether data has a top-level field that only a process's settings file has. A file that can't be parsed
// is treated as a settings document.
func isProcessFile(data []byte) bool {
	root, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	for _, pointer := range []string{"/id", "/entry", "/agent", "/control", "/zone"} {
		if root.Find(pointer) != nil {
			return true
		}
	}
	return false
}
