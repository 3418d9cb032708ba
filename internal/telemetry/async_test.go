package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestAsyncWriterDropsLinesWhileOutputBlocks checks that Write returns at once and drops lines while the output blocks.
func TestAsyncWriterDropsLinesWhileOutputBlocks(t *testing.T) {
	reader, writer := io.Pipe() // blocks, because nothing reads
	defer func() { _ = reader.Close() }()
	w := NewAsyncWriter(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 10 * maxBufferedBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no lines dropped, although more were written than the buffer holds")
	}
	w.Close()
}

// TestLimitedLoggerKeepsWarnings logs far more than the limits, and checks that the volume is limited, that all warnings
// are written, and that the dropped lines are reported.
func TestLimitedLoggerKeepsWarnings(t *testing.T) {
	out := &syncBuffer{}
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
			t.Fatalf("got line %q, want a JSON object: %v", line, err)
		}
		counts[record.Msg]++
	}
	if counts["refused"] != warnPerSecond/10 {
		t.Errorf("got %d warnings, want all %d", counts["refused"], warnPerSecond/10)
	}
	// The lines may be spread over two seconds.
	if n := counts["request ended"]; n > 2*infoPerSecond {
		t.Errorf("got %d of %d lines, want at most %d", n, many, 2*infoPerSecond)
	}
	if counts["log lines left out"] == 0 || w.Dropped() == 0 {
		t.Error("got no line about dropped lines or a count of 0, want both")
	}
}
