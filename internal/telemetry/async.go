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
	// flushInterval is how long lines gather before they are written together.
	flushInterval = 50 * time.Millisecond
	// maxBufferedBytes bounds the lines that wait for a slow output.
	maxBufferedBytes = 256 << 10
	// closeTimeout bounds the last write of a process.
	closeTimeout = 200 * time.Millisecond
	// infoPerSecond and warnPerSecond bound the lines of a level; one second's worth may come at once.
	infoPerSecond = 300
	warnPerSecond = 600
)

// AsyncWriter writes lines in batches and never blocks its callers: lines that find no room are left out and counted.
type AsyncWriter struct {
	out     io.Writer
	leftOut atomic.Int64 // since the last line that told of them
	total   atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out. Close writes what is left.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxBufferedBytes {
		w.leaveOut()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.poke()
	return len(line), nil
}

func (w *AsyncWriter) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// leaveOut counts a line that is not written.
func (w *AsyncWriter) leaveOut() {
	w.leftOut.Add(1)
	w.total.Add(1)
}

// LeftOut returns the number of lines that were not written.
func (w *AsyncWriter) LeftOut() int64 { return w.total.Load() }

// run writes batches until Close.
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
		if n := w.leftOut.Swap(0); n > 0 {
			batch = append(batch, leftOutLine(n)...)
		}
		_, _ = w.out.Write(batch) // there is nowhere to tell that the output failed
		if closed {
			return
		}
	}
}

func leftOutLine(n int64) string {
	return `{"time":"` + time.Now().Format(time.RFC3339Nano) + `","level":"WARN","msg":"log lines left out","lines":` +
		strconv.FormatInt(n, 10) + "}\n"
}

// Close writes what is left, unless the output takes nothing.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.poke()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// limitedHandler bounds the lines of each level. Warnings have a bound of their own, so that failures are told when
// everything else is too much.
type limitedHandler struct {
	slog.Handler
	limits *limits
}

// limits are shared by all handlers that derive from one.
type limits struct {
	writer *AsyncWriter
	info   PerSecond
	warn   PerSecond
}

// NewLimitedLogger returns a logger of JSON lines that is bounded in volume.
func NewLimitedLogger(w *AsyncWriter, level string) (*slog.Logger, error) {
	logger, err := NewLogger(w, level)
	if err != nil {
		return nil, err
	}
	return slog.New(limitedHandler{logger.Handler(), &limits{writer: w}}), nil
}

// Handle implements slog.Handler.
func (h limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limits.take(r.Level, r.Time) {
		h.limits.writer.leaveOut()
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

// take reports whether a line of the level fits into its second.
func (l *limits) take(level slog.Level, at time.Time) bool {
	if level >= slog.LevelWarn {
		return l.warn.Take(at, warnPerSecond)
	}
	return l.info.Take(at, infoPerSecond)
}
