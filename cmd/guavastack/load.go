package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/guavastack/guavastack/internal/loadgen"
)

// loadCommand returns the commands that generate load and compare results.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send the requests of a scenario to entries and report latencies and outcomes",
		ArgsUsage: "SCENARIO",
		Description: "The scenario is a file in JSON with comments. Arrivals are open-loop, and latencies count from the\n" +
			"intended time of each request. Only loopback addresses are allowed without --remote.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write the result to `FILE` as JSON"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "remote", Usage: "allow addresses that are not loopback"},
		},
		Action: loadRun,
		Commands: []*cli.Command{{
			Name: "report", Usage: "print results side by side", ArgsUsage: "RESULT [RESULT...]",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE` (.png or .svg)"}},
			Action: loadReport,
		}},
	}
}

func loadRun(ctx context.Context, cmd *cli.Command) error {
	file, err := oneArg(cmd, "SCENARIO")
	if err != nil {
		return err
	}
	scenario, err := loadgen.ReadScenario(file)
	if err != nil {
		return err
	}
	result, err := loadgen.Run(ctx, scenario, loadgen.Options{Progress: progressWriter(), Remote: cmd.Bool("remote")})
	if err != nil {
		return err
	}
	if out := cmd.String("out"); out != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(out, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if cmd.Bool(flagJSON) {
		return printJSON(result)
	}
	return loadgen.WriteReport(os.Stdout, []string{resultName(file)}, []*loadgen.Result{result})
}

// progressWriter returns standard error if it is a terminal, and nil otherwise.
func progressWriter() io.Writer {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	return os.Stderr
}

// resultName returns the file name without its folder and extension.
func resultName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
}

func loadReport(_ context.Context, cmd *cli.Command) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usagef("%s takes at least one RESULT", cmd.FullName())
	}
	var names []string
	var results []*loadgen.Result
	for _, file := range files {
		r, err := loadgen.Open(file)
		if err != nil {
			return err
		}
		names = append(names, resultName(file))
		results = append(results, r)
	}
	if plot := cmd.String("plot"); plot != "" {
		if err := loadgen.SavePlot(plot, names, results); err != nil {
			return err
		}
	}
	return loadgen.WriteReport(os.Stdout, names, results)
}
