package process

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/config"
)

// startControl runs a group of one member with its data in dir until the returned function is called.
func startControl(t *testing.T, dir, bootstrap string) (*Control, func()) {
	t.Helper()
	cfg := &config.Config{ID: "control-1", Zone: "a", Control: &config.Control{
		Member: 1, Group: 1, Listen: "127.0.0.1:0", DataDir: dir, Bootstrap: bootstrap,
		Peers: []config.Peer{{ID: 1, Address: "127.0.0.1:0"}},
	}}
	base, err := NewBase(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c, err := BuildControl(base)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return c, func() {
		cancel()
		<-done
	}
}

func writeDocument(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestBootstrapAppliesOnlyToEmptyGroup checks that the bootstrap document is applied to an empty group and has no effect
// on a group that has settings.
func TestBootstrapAppliesOnlyToEmptyGroup(t *testing.T) {
	dir := t.TempDir()
	c, stop := startControl(t, dir, writeDocument(t, `{"organisations": {"first": {}}}`))
	for !c.hasSettings() {
		time.Sleep(time.Millisecond)
	}
	if !c.state.Settings.Tree().HasOrganisation("first") {
		t.Error("bootstrap document was not applied to an empty group")
	}
	stop()

	c, stop = startControl(t, dir, writeDocument(t, `{"organisations": {"second": {}}}`))
	for !c.hasSettings() {
		time.Sleep(time.Millisecond)
	}
	if err := c.putBootstrap(t.Context()); err != nil {
		t.Error(err)
	}
	tree := c.service.Tree()
	if tree.HasOrganisation("second") || !tree.HasOrganisation("first") {
		t.Errorf("bootstrap document replaced existing settings: organisations %v, want only first", tree.Organisations())
	}
	stop()
}

func TestCheckBootstrapRejectsBadDocuments(t *testing.T) {
	for name, file := range map[string]string{
		"missing": filepath.Join(t.TempDir(), "none.json"),
		"invalid": writeDocument(t, `{"classes": {"chat": {"teir": 0}}}`),
	} {
		if err := checkBootstrap(file); err == nil {
			t.Errorf("%s document: got no error, want one", name)
		}
	}
}
