// Package explain collects the log lines of several processes that concern one request, in order of time.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/telemetry"
)

const (
	// maxLineBytes bounds the length of a line. Reading fails at a longer one.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter bound the time before the first and after the last line of the request in which other
	// lines are shown. The clocks of processes differ, and causes precede their effects.
	contextBefore = 3 * time.Second
	contextAfter  = 500 * time.Millisecond
)

// ErrNotFound means that no line has the id of the request.
const ErrNotFound = errors.ConstError("no log line has the request id")

// Line is one log line.
type Line struct {
	At      time.Time
	Process string
	Message string
	Fields  map[string]any // all other fields
	order   int            // position in the input, which orders the lines of a process with equal times
}

// Reader collects log lines.
type Reader struct {
	lines   []Line
	skipped int
}

// Read reads the lines of one input. Lines that are not log lines are skipped and counted. A prefix before the JSON object, as
// log collectors add it, is allowed.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			r.skipped++
			continue
		}
		line.order = len(r.lines)
		r.lines = append(r.lines, line)
	}
	return errors.Annotate(scanner.Err(), "read log lines")
}

// Skipped returns the number of lines that were not log lines.
func (r *Reader) Skipped() int { return r.skipped }

func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[at:]))
	decoder.UseNumber() // large integers, such as window numbers, must keep all their digits
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	stamp, _ := fields["time"].(string)
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
		return Line{}, false
	}
	line.Process, _ = fields["process"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "process", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	RequestID string
	Lines     []Line // with the id of the request
	Context   []Line // other lines of its processes, or about its backend servers, at about the same time
}

// Timeline returns the log lines that concern a request. Its error is ErrNotFound if there are none.
func (r *Reader) Timeline(requestID string) (*Timeline, error) {
	t := &Timeline{RequestID: requestID}
	processes := make(map[string]bool)
	for _, l := range r.lines {
		if l.Fields[telemetry.KeyRequestID] == requestID {
			t.Lines = append(t.Lines, l)
			processes[l.Process] = true
		}
	}
	if len(t.Lines) == 0 {
		return nil, errors.Annotatef(ErrNotFound, "%q among %d lines", requestID, len(r.lines))
	}
	sortLines(t.Lines)
	from := t.Lines[0].At.Add(-contextBefore)
	until := t.Lines[len(t.Lines)-1].At.Add(contextAfter)
	servers := t.servers()
	for _, l := range r.lines {
		if l.At.Before(from) || l.At.After(until) || l.Fields[telemetry.KeyRequestID] != nil {
			continue
		}
		server, _ := l.Fields[telemetry.KeyBackendServer].(string)
		if server != "" && !servers[server] {
			continue
		}
		if processes[l.Process] || server != "" {
			t.Context = append(t.Context, l)
		}
	}
	t.Context = append(t.Context, t.coldBefore(r.lines, from, processes, servers)...)
	sortLines(t.Context)
	return t, nil
}

// servers returns the backend servers that the request was sent to.
func (t *Timeline) servers() map[string]bool {
	out := make(map[string]bool)
	for _, l := range t.Lines {
		if server, ok := l.Fields[telemetry.KeyBackendServer].(string); ok {
			out[server] = true
		}
	}
	return out
}

// sortLines sorts lines by time, and lines of equal time by their position in the input.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.order, b.order))
	})
}

// Write writes the request's own lines to w, followed by their context. Times are relative to the first line, in seconds.
func (t *Timeline) Write(w io.Writer) error {
	start := t.Lines[0].At
	if _, err := fmt.Fprintf(w, "request %s, from %s on\n", t.RequestID, start.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, l := range t.Lines {
		if err := writeLine(w, start, l); err != nil {
			return err
		}
	}
	if len(t.Context) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, "meanwhile"); err != nil {
		return err
	}
	for _, l := range t.Context {
		if err := writeLine(w, start, l); err != nil {
			return err
		}
	}
	return nil
}

func writeLine(w io.Writer, start time.Time, l Line) error {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != telemetry.KeyRequestID {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields strings.Builder
	for _, name := range names {
		if v := l.Fields[name]; v != "" {
			fmt.Fprintf(&fields, " %s=%v", name, v)
		}
	}
	_, err := fmt.Fprintf(w, "  %+9.3f s  %-24s %s%s\n", l.At.Sub(start).Seconds(), l.Process, l.Message, fields.String())
	return err
}
