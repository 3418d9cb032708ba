package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
)

// buffer is an output that can be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestABlockedOutputStopsNobody logs to an output that takes nothing.
func TestABlockedOutputStopsNobody(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	defer func() { _ = reader.Close() }()
	w := NewAsyncWriter(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 10 * maxBufferedBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.LeftOut() == 0 {
		t.Error("more lines were kept than the bound allows")
	}
	w.Close()
}

// TestFailuresAreToldWhenEverythingIsTooMuch logs far more than the bounds: the volume is bounded, warnings come first, and
// what was left out is told.
func TestFailuresAreToldWhenEverythingIsTooMuch(t *testing.T) {
	out := &buffer{}
	w := NewAsyncWriter(out)
	logger, err := NewLimitedLogger(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	const many = 10 * infoPerSecond
	for range many {
		logger.Info("request ended")
	}
	for range warnPerSecond / 10 {
		logger.With("a", 1).Warn("refused")
	}
	w.Close()
	counts := make(map[string]int)
	for _, line := range out.lines() {
		var record struct{ Msg string }
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		counts[record.Msg]++
	}
	if counts["refused"] != warnPerSecond/10 {
		t.Errorf("%d warnings, want all %d", counts["refused"], warnPerSecond/10)
	}
	// The lines may fall into two seconds.
	if n := counts["request ended"]; n > 2*infoPerSecond {
		t.Errorf("%d lines of %d, want at most %d", n, many, 2*infoPerSecond)
	}
	if counts["log lines left out"] == 0 || w.LeftOut() == 0 {
		t.Error("nothing tells that lines were left out")
	}
}
