package telemetry

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushInterval is how long lines are buffered before they are written in one batch.
	flushInterval = 50 * time.Millisecond
	// maxBufferedBytes bounds the lines buffered for a slow output.
	maxBufferedBytes = 256 << 10
	// closeTimeout bounds the final flush in Close.
	closeTimeout = 200 * time.Millisecond
	// infoPerSecond and warnPerSecond bound the lines logged in one second below the level warn, and at warn or above. All lines
	// of a second may come in one burst.
	infoPerSecond = 300
	warnPerSecond = 600
)

// AsyncWriter writes lines in batches and never blocks its callers. Lines that exceed its buffer are dropped and
// counted. It is safe for concurrent use.
type AsyncWriter struct {
	out        io.Writer
	unreported atomic.Int64 // dropped lines that have not been reported in the log yet
	dropped    atomic.Int64 // all dropped lines

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out. Close flushes it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or the writer is closed. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxBufferedBytes {
		w.countDropped()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.wakeWriter()
	return len(line), nil
}

func (w *AsyncWriter) wakeWriter() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// countDropped counts a dropped line.
func (w *AsyncWriter) countDropped() {
	w.unreported.Add(1)
	w.dropped.Add(1)
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// run writes batches until the writer is closed and its last batch is written.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		<-w.wake
		time.Sleep(flushInterval)
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		closed := w.closed
		w.mu.Unlock()
		if n := w.unreported.Swap(0); n > 0 {
			batch = append(batch, droppedLinesRecord(n)...)
		}
		_, _ = w.out.Write(batch) // a failure of the log output can't be logged
		if closed {
			return
		}
	}
}

// droppedLinesRecord returns the log record of n dropped lines.
func droppedLinesRecord(n int64) string {
	return `{"time":"` + time.Now().Format(time.RFC3339Nano) + `","level":"WARN","msg":"log lines left out","lines":` +
		strconv.FormatInt(n, 10) + "}\n"
}

// Close writes the buffered lines, and returns after closeTimeout if the output blocks. Lines passed to Write later are dropped.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.wakeWriter()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// limitedHandler bounds the number of lines per second. Warnings and errors have a bound of their own, so that a flood
// of other lines does not suppress them.
type limitedHandler struct {
	slog.Handler
	limits *limits
}

// limits holds the limits of a handler and of all handlers derived from it.
type limits struct {
	writer *AsyncWriter
	info   PerSecondLimiter
	warn   PerSecondLimiter
}

// NewLimitedLogger returns a logger that writes JSON lines of the given level or above to w, with a limit on the lines
// per second. Lines beyond the limit are counted as dropped by w.
func NewLimitedLogger(w *AsyncWriter, level string) (*slog.Logger, error) {
	logger, err := NewLogger(w, level)
	if err != nil {
		return nil, err
	}
	return slog.New(limitedHandler{logger.Handler(), &limits{writer: w}}), nil
}

// Handle implements slog.Handler.
func (h limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limits.allow(r.Level, r.Time) {
		h.limits.writer.countDropped()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitedHandler{h.Handler.WithAttrs(attrs), h.limits}
}

// WithGroup implements slog.Handler.
func (h limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{h.Handler.WithGroup(name), h.limits}
}

// allow counts a line and reports whether it is within the limit of its level for the second of at.
func (l *limits) allow(level slog.Level, at time.Time) bool {
	if level >= slog.LevelWarn {
		return l.warn.Allow(at, warnPerSecond)
	}
	return l.info.Allow(at, infoPerSecond)
}
