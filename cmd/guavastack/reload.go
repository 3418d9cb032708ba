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

// reloadInterval is the polling interval of the settings file, which may change without a SIGHUP.
const reloadInterval = time.Second

// fileState is compared to detect that a file changed.
type fileState struct {
	size    int64
	changed time.Time
}

// statFile returns the state of a file, or the zero state if the file does not exist or can't be examined.
func statFile(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{} // the file may be just being replaced; the next poll reads the new one
	}
	return fileState{info.Size(), info.ModTime()}
}

// notifyHangups returns a channel of SIGHUP signals. It is never stopped, so that SIGHUP doesn't end the process during startup
// or shutdown.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reloads the settings file after each SIGHUP and each change of the file, until ctx is done. An invalid file is
// logged and changes nothing.
func watchSettings(ctx context.Context, file string, hangups <-chan os.Signal, roles []process.Role, logger *slog.Logger) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	previous := statFile(file)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
			if statFile(file) == previous {
				continue
			}
			reason = "file changed"
		}
		previous = statFile(file)
		reload(file, roles, logger.With("reason", reason))
	}
}

// reload loads a settings file and applies it to the roles that support reloading.
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
