package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/up"
)

// configVariable is the environment variable with the settings file, used without the flag --config.
const configVariable = "GUAVASTACK_CONFIG"

// upCommand returns the command that runs a whole system in one process on loopback addresses.
func upCommand() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "run all roles and stand-ins in this process, with a demonstration organisation and key",
		Description: "Prints one JSON line on stdout once everything serves; logs go to stderr.\n" +
			"Ends on SIGINT or SIGTERM after the requests in progress.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "`ADDRESS` for callers"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:8081", Usage: "`ADDRESS` for operators"},
			&cli.StringFlag{Name: "data", Usage: "`DIRECTORY` for the state (default: a temporary one)"},
			&cli.IntFlag{Name: "backends", Value: 2, Usage: "number of stand-in model engines"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			logger, err := telemetry.NewLogger(os.Stderr, cmd.String("log-level"))
			if err != nil {
				return usagef("--log-level: %v", err)
			}
			if cmd.Int("backends") < 1 {
				return usagef("--backends: %d; expected at least 1", cmd.Int("backends"))
			}
			return up.Run(ctx, up.Options{
				Listen:   cmd.String("listen"),
				Admin:    cmd.String("admin"),
				Data:     cmd.String("data"),
				Backends: cmd.Int("backends"),
				Stdout:   os.Stdout,
				Logger:   logger,
			})
		},
	}
}

// roleCommand returns the command that runs one role of a settings file, or all of them for the role "run".
func roleCommand(role, usage string) *cli.Command {
	return &cli.Command{
		Name:  role,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "config", Required: true, Usage: "settings `FILE` of the process",
				Sources: cli.EnvVars(configVariable),
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			hangups := notifyHangups()
			cfg, err := config.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			if err := selectRole(cfg, role); err != nil {
				return err
			}
			writer := telemetry.NewAsyncWriter(os.Stdout)
			defer writer.Close()
			logger, err := telemetry.NewLimitedLogger(writer, cfg.Log.Level)
			if err != nil {
				return err
			}
			err = runRoles(ctx, cmd.String("config"), hangups, cfg, logger, writer)
			logger.Info("stopped", "process", cfg.ID, "reason", stopReason(ctx, err))
			return err
		},
	}
}

// stopReason returns the reason for the end of the roles, for the log.
func stopReason(ctx context.Context, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case ctx.Err() != nil:
		return "signal"
	default:
		return "all roles ended"
	}
}

// selectRole removes all roles but one from the settings. The role "run" keeps them all; "control" includes the relay.
func selectRole(cfg *config.Config, role string) error {
	roles := map[string]bool{"entry": cfg.Entry != nil, "gateway": cfg.Gateway != nil, "agent": cfg.Agent != nil, "control": cfg.Control != nil}
	if role == "run" {
		return nil
	}
	roles["control"] = cfg.Control != nil || cfg.Relay != nil
	if !roles[role] {
		return usagef("the settings file has no %q section", role)
	}
	if role != "entry" {
		cfg.Entry = nil
	}
	if role != "gateway" {
		cfg.Gateway = nil
	}
	if role != "agent" {
		cfg.Agent = nil
	}
	if role != "control" {
		cfg.Control, cfg.Relay = nil, nil
	}
	return nil
}

// runRoles builds the roles of the settings and runs them until ctx is done or one fails. Their order is that of the shutdown:
// the roles that accept callers first.
func runRoles(ctx context.Context, file string, hangups <-chan os.Signal, cfg *config.Config, logger *slog.Logger, writer *telemetry.AsyncWriter) error {
	limitMemory(cfg.MemoryLimitMB)
	base, err := process.NewBase(cfg, logger)
	if err != nil {
		return err
	}
	base.Adapter = platformAdapter()
	base.Metrics.GaugeFunc("log_lines_left_out", writer.Dropped)
	var roles []process.Role
	if cfg.Entry != nil {
		r, err := process.BuildEntry(base)
		if err != nil {
			return err
		}
		roles = append(roles, r)
	}
	if cfg.Gateway != nil {
		r, err := process.BuildGateway(base)
		if err != nil {
			return err
		}
		roles = append(roles, r)
	}
	if cfg.Agent != nil {
		r, err := process.BuildAgent(base)
		if err != nil {
			return err
		}
		roles = append(roles, r)
	}
	if cfg.Relay != nil {
		r, err := process.BuildRelay(base)
		if err != nil {
			return err
		}
		roles = append(roles, r)
	}
	if cfg.Control != nil {
		r, err := process.BuildControl(base)
		if err != nil {
			return err
		}
		roles = append(roles, r)
	}
	logger.Info("starting", "process", cfg.ID, "incarnation", base.Incarnation, "roles", len(roles), "revision", revision())
	go watchSettings(ctx, file, hangups, roles, base.Logger)
	return process.Run(ctx, base, roles...)
}
