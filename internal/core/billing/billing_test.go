package billing

import (
	"bytes"
	"encoding/json"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// apply encodes a command and applies it to every module. All of them must return the same outcome.
func apply(t fataler, c Command, modules ...*Module) Result {
	t.Helper()
	data, err := Encode(c, "test", 5)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	var cmd state.Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		t.Fatalf("command: %v", err)
	}
	var first json.RawMessage
	for _, m := range modules {
		out, err := m.Apply(1, cmd)
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		if first != nil && !bytes.Equal(first, out) {
			t.Fatalf("outcomes differ: %s, %s", first, out)
		}
		first = out
	}
	var result Result
	if err := json.Unmarshal(first, &result); err != nil {
		t.Fatalf("result: %v", err)
	}
	return result
}

func counter(window, tokens uint64) Counter {
	return Counter{Window: window, Key: Key{Organisation: "o", Class: "c", Model: "m"}, Figures: Figures{Requests: 1, OutputTokens: tokens}}
}

// closeDue closes the due window and returns its report.
func closeDue(t fataler, modules ...*Module) Report {
	t.Helper()
	closing, err := modules[0].PrepareClose(9)
	if err != nil {
		t.Fatalf("close: %v", err)
	}
	if r := apply(t, Command{Close: &closing}, modules...); r.Code != CodeOK {
		t.Fatalf("close of window %d: %s", closing.Window, r.Code)
	}
	report, err := ParseReport(closing.Report)
	if err != nil {
		t.Fatalf("report: %v", err)
	}
	return report
}

func TestLateUsageBecomesACorrection(t *testing.T) {
	m := NewModule()
	c := NewCollector(m, 1)
	c.Report("e", "1", []Counter{counter(1, 100)})
	apply(t, Command{Record: &Record{Counters: c.Pending(10)}}, m)
	apply(t, Command{Advance: &Advance{Window: 1}}, m)
	if r := closeDue(t, m); len(r.Lines) != 1 || r.Lines[0].OutputTokens != 100 {
		t.Fatalf("got report %+v of window 1, want one line of 100 tokens", r)
	}
	c.Report("e", "1", []Counter{counter(1, 130), counter(2, 7)})
	apply(t, Command{Record: &Record{Counters: c.Pending(10)}}, m)
	apply(t, Command{Advance: &Advance{Window: 2}}, m)
	r := closeDue(t, m)
	if len(r.Corrections) != 1 || r.Corrections[0].Window != 1 || r.Corrections[0].OutputTokens != 30 || r.Corrections[0].Requests != 0 {
		t.Errorf("got corrections %+v, want one of 30 tokens and no request for window 1", r.Corrections)
	}
	if len(r.Lines) != 1 || r.Lines[0].OutputTokens != 7 {
		t.Errorf("got lines %+v, want one of 7 tokens", r.Lines)
	}
}

func TestOutdatedCommandsAreRefused(t *testing.T) {
	m := NewModule()
	apply(t, Command{Advance: &Advance{Window: 1}}, m)
	closing, err := m.PrepareClose(9)
	if err != nil {
		t.Fatal(err)
	}
	if r := apply(t, Command{Advance: &Advance{Window: 1}}, m); r.Code != CodeMismatch || r.Open != 2 {
		t.Errorf("second advance of window 1: got %+v, want a mismatch and window 2 open", r)
	}
	apply(t, Command{Record: &Record{Counters: []Counter{counter(1, 5)}}}, m)
	if r := apply(t, Command{Close: &closing}, m); r.Code != CodeStale {
		t.Errorf("close prepared before the last counters: got %+v, want stale", r)
	}
	first := closeDue(t, m)
	if r := apply(t, Command{Close: &closing}, m); r.Code != CodeMismatch {
		t.Errorf("second close of window %d: got %+v, want a mismatch", first.Window, r)
	}
	if _, err := m.PrepareClose(9); err == nil {
		t.Error("closing the open window was accepted")
	}
	apply(t, Command{Confirm: &Confirm{Window: 1, Status: Reported}}, m)
	apply(t, Command{Confirm: &Confirm{Window: 1, Status: Disputed}}, m)
	if w := m.Windows()[0]; w.Status != Reported {
		t.Errorf("a reported window became %s", w.Status)
	}
}

func TestOlderCounterIsIgnored(t *testing.T) {
	m := NewModule()
	apply(t, Command{Record: &Record{Counters: []Counter{counter(1, 5)}}}, m)
	apply(t, Command{Record: &Record{Counters: []Counter{counter(1, 3)}}}, m)
	if got := m.CommittedUsage(1); len(got) != 1 || got[0].OutputTokens != 5 {
		t.Errorf("got committed usage %+v, want 5 tokens", got)
	}
}

func TestUsageOfPrunedWindowIsRefused(t *testing.T) {
	m := NewModule()
	apply(t, Command{Record: &Record{Counters: []Counter{counter(1, 5)}}}, m)
	for window := uint64(1); window <= KeptWindows+1; window++ {
		apply(t, Command{Advance: &Advance{Window: window}}, m)
		closeDue(t, m)
	}
	ack := NewCollector(m, 1).Report("e", "1", []Counter{counter(1, 900)})
	if ack.Accepted {
		t.Error("usage of a window whose counters are deleted was accepted: it would be billed again")
	}
	apply(t, Command{Record: &Record{Counters: []Counter{counter(1, 900)}}}, m)
	if got := m.CommittedUsage(1); len(got) != 0 {
		t.Errorf("got committed usage %+v, want none", got)
	}
}

// entryModel is an entry incarnation that follows the acknowledgement protocol.
type entryModel struct {
	name     string
	open     uint64
	held     map[uint64]uint64 // tokens by window
	reported map[uint64]uint64 // tokens by window, as reported to the session
	total    uint64

	session uint64
}

// counters returns the counters changed since they were last reported to the session.
func (e *entryModel) counters() []Counter {
	var counters []Counter
	for _, window := range slices.Sorted(maps.Keys(e.held)) {
		if e.held[window] != e.reported[window] {
			counters = append(counters, counter(window, e.held[window]))
		}
	}
	return counters
}

// handleAck handles the acknowledgement of a report.
func (e *entryModel) handleAck(reported []Counter, ack Ack) {
	e.open = max(e.open, ack.OpenWindow)
	changed := ack.Session != e.session
	if changed {
		e.session = ack.Session
		e.reported = make(map[uint64]uint64)
	}
	for _, c := range reported {
		e.reported[c.Window] = c.OutputTokens
	}
	for window := range e.held {
		if !changed && window <= ack.Settled && e.held[window] == e.reported[window] {
			delete(e.held, window)
		}
	}
}

// TestEveryTokenIsBilledOnce runs random sequences of served tokens, leader changes, lost and repeated reports, and then
// delivers everything: the reports must sum to the served tokens, and a committed report must never change.
func TestEveryTokenIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, replica := NewModule(), NewModule()
		session := uint64(1)
		c := NewCollector(m, session)
		var entries []*entryModel
		for _, name := range []string{"a", "b"} {
			entries = append(entries, &entryModel{name: name, open: 1, held: map[uint64]uint64{}, reported: map[uint64]uint64{}})
		}
		inTransit := make(map[string][]Counter) // copies of earlier reports, still in transit
		committed := make(map[uint64][]byte)
		entry := func() *entryModel { return entries[rapid.IntRange(0, 1).Draw(t, "entry")] }
		record := func() { apply(t, Command{Record: &Record{Counters: c.Pending(100)}}, m, replica) }
		advance := func() { apply(t, Command{Advance: &Advance{Window: m.Open()}}, m, replica) }
		closeOne := func() {
			if _, due := m.NextToClose(); due {
				closeDue(t, m, replica)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				e, n := entry(), uint64(rapid.IntRange(1, 50).Draw(t, "tokens"))
				e.held[e.open] += n
				e.total += n
			},
			"report": func(*rapid.T) {
				e := entry()
				inTransit[e.name] = e.counters()
				e.handleAck(inTransit[e.name], c.Report(e.name, "1", inTransit[e.name]))
			},
			"acknowledgement lost": func(*rapid.T) {
				e := entry()
				c.Report(e.name, "1", e.counters())
			},
			"report repeated": func(*rapid.T) {
				e := entry()
				c.Report(e.name, "1", inTransit[e.name])
			},
			"record":  func(*rapid.T) { record() },
			"advance": func(*rapid.T) { advance() },
			"close":   func(*rapid.T) { closeOne() },
			"skip": func(*rapid.T) {
				if window, due := m.NextToClose(); due {
					apply(t, Command{Skip: &Skip{Window: window}}, m, replica)
				}
			},
			"leader change": func(*rapid.T) {
				data, err := replica.Snapshot()
				if err != nil {
					t.Fatalf("snapshot: %v", err)
				}
				m = NewModule()
				if err := m.Restore(data); err != nil {
					t.Fatalf("restore: %v", err)
				}
				session++
				c = NewCollector(m, session)
			},
			"": func(t *rapid.T) {
				for _, w := range m.Windows() {
					if held, ok := committed[w.Window]; ok && !bytes.Equal(held, w.Report) {
						t.Fatalf("report of window %d changed", w.Window)
					}
					committed[w.Window] = w.Report
				}
			},
		})
		served := uint64(0)
		for _, e := range entries {
			for range 2 { // after a session change, only the second report has all counters that are left
				reported := e.counters()
				e.handleAck(reported, c.Report(e.name, "1", reported))
			}
			served += e.total
		}
		record()
		advance()
		for _, due := m.NextToClose(); due; _, due = m.NextToClose() {
			closeDue(t, m, replica)
		}
		billed := uint64(0)
		for _, w := range m.Windows() {
			if w.Status == Skipped {
				continue
			}
			r, err := ParseReport(w.Report)
			if err != nil {
				t.Fatalf("report: %v", err)
			}
			billed += r.Total().OutputTokens
		}
		if billed != served {
			t.Fatalf("billed %d tokens of %d served", billed, served)
		}
		a, _ := m.Snapshot()
		b, _ := replica.Snapshot()
		if !bytes.Equal(a, b) {
			t.Fatalf("replicas differ")
		}
	})
}
