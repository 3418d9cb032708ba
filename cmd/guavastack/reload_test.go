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

// reloaded is a role that takes settings.
type reloaded struct {
	process.Role
	seen chan []string
}

func (r reloaded) Reload(cfg *config.Config) { r.seen <- cfg.ControlMembers }

// TestHangups sends SIGHUP while a process runs and while it shuts down. The second one ended a gateway that still served: by
// default the signal ends a process, this test's included.
func TestHangups(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(members string) {
		text := `{"id": "g", "zone": "a", "control_members": [` + members + `], "gateway": {"listen": "127.0.0.1:0"}}`
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`"10.0.0.1:1"`)
	hangups := catchHangups()
	role := reloaded{seen: make(chan []string, 16)}
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
	for seen := <-role.seen; len(seen) != 2; seen = <-role.seen {
	}

	write(`{`) // a file with mistakes changes nothing
	hangup()
	time.Sleep(10 * time.Millisecond)

	cancel()
	<-done
	hangup()
	hangup()
}
