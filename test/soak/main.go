// Command soak runs the programs of the project as separate processes on loopback addresses, loses control members one after another
// as a seed says, and checks from outside that nothing acknowledged is lost and that the system serves again.
//
//	go run ./test/soak --seeds 50 --first 1 --jobs 4
//	go run ./test/soak --binary OTHER/target/guavastack --deploy OTHER/deploy --seeds 50
//
// It exits with 0 if all seeds are ok, 1 if one is broken and 2 if one could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitBroken = 1
	exitCannot = 2
)

const (
	defaultSeeds = 10
	defaultJobs  = 4
	// maxJobs bounds the runs at the same time, each of which has up to sixteen processes.
	maxJobs = 6
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := exitOK
	if err := command(&code).Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		code = exitCannot
	}
	stop()
	os.Exit(code)
}

func command(code *int) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "lose control members of real processes one after another, and check what was acknowledged",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`FILE` of the program; built from the working directory if empty"},
			&cli.StringFlag{Name: "deploy", Value: "deploy", Usage: "`DIRECTORY` of the settings templates of that program"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the records of broken seeds; a new temporary one if empty"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "number of seeds"},
			&cli.BoolFlag{Name: "kept", Usage: "run the seeds that are kept in seeds.txt instead"},
			&cli.IntFlag{Name: "jobs", Value: defaultJobs, Usage: "runs at the same time"},
			&cli.DurationFlag{Name: "bound", Value: recoveryBound, Usage: "time for a new version after a loss, and for recovery"},
			&cli.IntFlag{Name: "members", Usage: "control members with a disk, 2 to 7; 0: by the seed"},
			&cli.IntFlag{Name: "tolerance", Usage: "control members that may be lost at the same time, 1 or 2; 0: by the seed"},
			&cli.IntFlag{Name: "rounds", Usage: "losses before the final fault; 0: by the seed"},
			&cli.StringFlag{Name: "seed-list", Usage: "seeds in the settings: listed or first; empty: by the seed"},
			&cli.StringFlag{Name: "leader", Usage: "leader when successors arrive: any or aged; empty: by the seed"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			exit, err := soak(ctx, cmd)
			*code = exit
			return err
		},
	}
}

// soak runs the seeds that the flags name and returns the exit code.
func soak(ctx context.Context, cmd *cli.Command) (int, error) {
	overrides := Overrides{
		Members: cmd.Int("members"), Tolerance: cmd.Int("tolerance"), Rounds: cmd.Int("rounds"),
		SeedList: SeedList(cmd.String("seed-list")), Leader: Leader(cmd.String("leader")),
	}
	if err := overrides.check(); err != nil {
		return exitCannot, err
	}
	p, remove, err := findProgram(ctx, cmd.String("binary"), cmd.String("deploy"))
	if err != nil {
		return exitCannot, err
	}
	defer remove()
	out := cmd.String("out")
	if out == "" {
		if out, err = os.MkdirTemp("", "soak-broken-"); err != nil {
			return exitCannot, errors.Trace(err)
		}
	}
	plans, err := keptPlans()
	if err != nil {
		return exitCannot, err
	}
	if !cmd.Bool("kept") {
		plans = nil
		for i := range cmd.Int("seeds") {
			plans = append(plans, NewPlan(cmd.Uint64("first")+uint64(i), overrides))
		}
	}
	s := &series{program: p, bound: cmd.Duration("bound"), out: out, jobs: min(max(cmd.Int("jobs"), 1), maxJobs), start: time.Now()}
	s.run(ctx, plans)
	fmt.Print(s.summary())
	return s.exitCode(), nil
}
