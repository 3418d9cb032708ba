package meter

import (
	"testing"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// fakeSink is a Sink with a fixed open window.
type fakeSink struct {
	Sink
	open uint64
}

func (d *fakeSink) OpenWindow() uint64 { return d.open }

// TestUsageDuringReportIsKept adds usage between a report and its acknowledgement, before the sink's open window has
// advanced.
func TestUsageDuringReportIsKept(t *testing.T) {
	d := &fakeSink{open: 3}
	m := New(Config{ID: "e", Incarnation: "1"}, d)
	x := Key{Organisation: "o", Class: "c", Model: "m"}
	m.Add(x, Amounts{Requests: 1, OutputTokens: 10})
	report := m.snapshot(3)
	m.Add(x, Amounts{Requests: 1, OutputTokens: 5})
	m.acknowledge(&controlpb.UsageReport{}, &controlpb.UsageAck{Session: 1})
	m.acknowledge(report, &controlpb.UsageAck{Session: 1, OpenWindow: 4, Accepted: true, SettledWindow: 3})
	m.Add(x, Amounts{Requests: 1, OutputTokens: 2})

	tokens := make(map[uint64]uint64)
	for _, c := range m.snapshot(3).Counters {
		tokens[c.Window] += c.OutputTokens
	}
	if tokens[3] != 15 || tokens[4] != 2 {
		t.Errorf("got tokens by window %v, want 15 in window 3 and 2 in window 4", tokens)
	}
	m.acknowledge(m.snapshot(4), &controlpb.UsageAck{Session: 1, OpenWindow: 5, Accepted: true, SettledWindow: 4})
	if r := m.snapshot(5); r != nil {
		t.Errorf("got counters %v after all were settled, want no report", r.Counters)
	}
}

// TestNewSessionGetsEveryCounter reports to a collector that fails before it has committed the counters it received.
func TestNewSessionGetsEveryCounter(t *testing.T) {
	m := New(Config{ID: "e", Incarnation: "1"}, &fakeSink{open: 1})
	add := func(class string) {
		m.Add(Key{Organisation: "o", Class: class, Model: "m"}, Amounts{Requests: 1})
	}
	report := func(session, settled uint64) int {
		r := m.snapshot(1)
		if r == nil {
			return -1
		}
		m.acknowledge(r, &controlpb.UsageAck{OpenWindow: 2, Accepted: true, Session: session, SettledWindow: settled})
		return len(r.Counters)
	}
	steps := []struct {
		name             string
		add              string
		session, settled uint64
		want             int
	}{
		{"first report", "a", 7, 0, 1},
		{"only the changed counter", "b", 7, 0, 1},
		{"nothing changed", "", 7, 0, 0},
		{"new session, which settles counters that it has not received", "", 8, 9, 0},
		{"all counters for the new session", "", 8, 0, 2},
		{"settled", "", 8, 9, 0},
		{"nothing is kept", "", 8, 9, -1},
	}
	for _, step := range steps {
		if step.add != "" {
			add(step.add)
		}
		if got := report(step.session, step.settled); got != step.want {
			t.Errorf("%s: got %d reported counters, want %d (-1: no report)", step.name, got, step.want)
		}
	}
}

// TestUsageAheadOfOpenWindowIsDelayed counts usage by a clock that is ahead of the control group's.
func TestUsageAheadOfOpenWindowIsDelayed(t *testing.T) {
	m := New(Config{ID: "e", Incarnation: "1"}, &fakeSink{open: 7})
	m.Add(Key{Window: 8, Organisation: "o"}, Amounts{Requests: 1})
	if r := m.snapshot(7); len(r.Counters) != 0 {
		t.Errorf("reported %v, want nothing of window 8 while 7 is open", r.Counters)
	}
	r := m.snapshot(8)
	if len(r.Counters) != 1 || r.Counters[0].Window != 8 {
		t.Errorf("reported %v, want the counter of window 8", r.Counters)
	}
}
