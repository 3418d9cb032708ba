package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// reloadInterval is the time between looks at the settings file, which may change without a signal.
const reloadInterval = time.Second

// fileState tells whether a file changed.
type fileState struct {
	size    int64
	changed time.Time
}

func stateOf(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{} // a file that is being replaced; the next look finds the new one
	}
	return fileState{info.Size(), info.ModTime()}
}

// catchHangups keeps SIGHUP from ending the process, from now until its end: also while it starts and shuts down.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reads the settings file again after SIGHUP and after each change, until ctx ends. A file with mistakes
// changes nothing.
func watchSettings(ctx context.Context, file string, hangups <-chan os.Signal, roles []process.Role, logger *slog.Logger) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	known := stateOf(file)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
			if stateOf(file) == known {
				continue
			}
			reason = "file changed"
		}
		known = stateOf(file)
		reload(file, roles, logger.With("reason", reason))
	}
}

// reload gives the settings of a file to the roles.
func reload(file string, roles []process.Role, logger *slog.Logger) {
	cfg, err := config.Load(file)
	if err != nil {
		logger.Error("settings not reloaded", telemetry.KeyError, err.Error())
		return
	}
	for _, role := range roles {
		if r, ok := role.(process.Reloader); ok {
			r.Reload(cfg)
		}
	}
	logger.Info("settings reloaded", "control_members", cfg.ControlMembers)
}
