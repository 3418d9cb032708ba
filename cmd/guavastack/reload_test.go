package main

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/process"
)

// reloadRecorder is a role that records the control members of each reload.
type reloadRecorder struct {
	process.Role
	reloads chan []string
}

func (r reloadRecorder) Reload(cfg *config.Config) { r.reloads <- cfg.ControlMembers }

// TestSIGHUPDoesNotEndProcess sends SIGHUP to the test process while settings are watched and after that, as during a shutdown.
// By default SIGHUP ends a process; it once ended a gateway that still served requests during its shutdown.
func TestSIGHUPDoesNotEndProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(members string) {
		text := `{"id": "g", "zone": "a", "control_members": [` + members + `], "gateway": {"listen": "127.0.0.1:0"}}`
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`"10.0.0.1:1"`)
	hangups := notifyHangups()
	role := reloadRecorder{reloads: make(chan []string, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watchSettings(ctx, file, hangups, []process.Role{role}, slog.New(slog.DiscardHandler))
	}()
	write(`"10.0.0.1:1", "10.0.0.2:1"`)
	hangup := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangup()
	for seen := <-role.reloads; len(seen) != 2; seen = <-role.reloads {
	}

	write(`{`) // an invalid file changes nothing
	hangup()
	time.Sleep(10 * time.Millisecond)

	cancel()
	<-done
	hangup()
	hangup()
}
