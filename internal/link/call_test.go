package link

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link/linkenc"
	"github.com/guavastack/guavastack/proto/linkpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventLog is a Handler that logs the calls of its methods.
type eventLog struct{ lines []string }

func (l *eventLog) add(format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf(format, args...))
}

func (l *eventLog) Started(*linkpb.Started)   { l.add("started") }
func (l *eventLog) Event(e *linkpb.Event)     { l.add("%s", e.Data) }
func (l *eventLog) End(e *linkpb.End)         { l.add("end") }
func (l *eventLog) Refused(r *linkpb.Refused) { l.add("refused") }
func (l *eventLog) Lost(v verdict.Verdict, _ error) {
	l.add("lost %v", v)
}
func (l *eventLog) Load(string, *linkpb.Load) {}

func event(id string, attempt uint32, seq uint64, data string) *linkpb.AgentFrame {
	return &linkpb.AgentFrame{Event: &linkpb.Event{
		RequestId: id, Attempt: attempt, Seq: seq, Data: []byte(data), Count: uint32(len(data)),
	}}
}

func end(attempt uint32, events uint64, text string) *linkpb.AgentFrame {
	return &linkpb.AgentFrame{End: &linkpb.End{
		RequestId: "r", Attempt: attempt, Events: events, Digest: xxhash.Sum64String(text),
	}}
}

func testPeer(c *Call) *peer {
	p := newPeer(NewPool(Config{}), "agent")
	c.peer = p
	c.inFlight, c.sent = true, true
	p.calls[c.id] = c
	return p
}

// TestDelivery delivers frames to one call in sequences that a faulty network or agent can produce. Each letter is one
// event.
func TestDelivery(t *testing.T) {
	tests := []struct {
		name    string
		frames  []*linkpb.AgentFrame
		want    string
		resumes int // number of queued Resumes
	}{
		{"in order", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), event("r", 2, 2, "c"), end(2, 3, "abc")}, "ab c end", 0},
		{"empty answer", []*linkpb.AgentFrame{end(2, 0, "")}, "end", 0},
		{"duplicated", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), event("r", 2, 0, "ab"), event("r", 2, 2, "c"), end(2, 3, "abc")}, "ab c end", 0},
		{"late", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), event("r", 2, 2, "c"), event("r", 2, 1, "b"), end(2, 3, "abc")}, "ab c end", 0},
		{
			"out of order: a Resume is queued for the gap",
			[]*linkpb.AgentFrame{event("r", 2, 2, "c"), event("r", 2, 0, "ab"), event("r", 2, 2, "c"), end(2, 3, "abc")},
			"ab c end", 1,
		},
		{"overlapping", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), event("r", 2, 1, "bc")}, "ab", 1},
		{"end before the last event", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), end(2, 3, "abc"), event("r", 2, 2, "c"), end(2, 3, "abc")}, "ab c end", 1},
		{"of another request", []*linkpb.AgentFrame{event("x", 2, 0, "zz"), event("r", 2, 0, "a"), end(2, 1, "a")}, "a end", 0},
		{"of an earlier attempt", []*linkpb.AgentFrame{event("r", 1, 0, "zz"), end(1, 2, "zz"), event("r", 2, 0, "a"), end(2, 1, "a")}, "a end", 0},
		{"after the end", []*linkpb.AgentFrame{end(2, 0, ""), event("r", 2, 0, "a"), end(2, 1, "a")}, "end", 0},
		{"wrong digest", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), end(2, 2, "ax")}, "ab lost ran", 0},
		{"fewer events than received", []*linkpb.AgentFrame{event("r", 2, 0, "ab"), end(2, 1, "a")}, "ab lost ran", 0},
		{"refused, and an event after it", []*linkpb.AgentFrame{
			{Refused: &linkpb.Refused{RequestId: "r", Attempt: 2}}, event("r", 2, 0, "a"),
		}, "refused", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &eventLog{}
			c := &Call{id: "r", submit: &linkpb.Submit{}, handler: l}
			c.attempt.Store(2)
			p := testPeer(c)
			for _, f := range tt.frames {
				p.deliver(f)
			}
			if got := strings.Join(l.lines, " "); got != tt.want {
				t.Errorf("got calls %q, want %q", got, tt.want)
			}
			resumes := 0
			for _, it := range p.queue {
				if it.kind == itemResume {
					resumes++
				}
			}
			if resumes != tt.resumes {
				t.Errorf("got %d resumes, want %d", resumes, tt.resumes)
			}
		})
	}
}

// TestMissingEventsEndTheCall checks that a call ends if the agent never sends the missing events.
func TestMissingEventsEndTheCall(t *testing.T) {
	l := &eventLog{}
	c := &Call{id: "r", submit: &linkpb.Submit{}, handler: l}
	c.attempt.Store(2)
	p := testPeer(c)
	for range 2 * maxResumes {
		p.deliver(end(2, 3, "abc"))
	}
	if got := strings.Join(l.lines, " "); got != "lost ran" {
		t.Errorf("got calls %q, want \"lost ran\"", got)
	}
}

// TestReconcileAfterWelcome checks how calls of an older link continue or end according to the agent's Welcome.
func TestReconcileAfterWelcome(t *testing.T) {
	tests := []struct {
		name    string
		sent    bool
		sentTo  string
		welcome *linkpb.Welcome
		want    string
		queued  itemKind
	}{
		{"known", true, "1", &linkpb.Welcome{Incarnation: "1", Known: []string{"r"}}, "", itemResume},
		{"unknown, complete list", true, "1", &linkpb.Welcome{Incarnation: "1", Complete: true}, "", itemSubmit},
		{"unknown, incomplete list", true, "1", &linkpb.Welcome{Incarnation: "1"}, "lost may_have_run", itemPing},
		{"agent restarted", true, "1", &linkpb.Welcome{Incarnation: "2", Complete: true}, "lost may_have_run", itemPing},
		{"never sent", false, "", &linkpb.Welcome{Incarnation: "2", Complete: true}, "", itemSubmit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &eventLog{}
			c := &Call{id: "r", submit: &linkpb.Submit{}, handler: l}
			p := testPeer(c)
			c.sent, c.sentTo = tt.sent, tt.sentTo
			if !tt.sent {
				p.push(item{kind: itemSubmit, call: c})
			}
			p.reconcile(tt.welcome)
			if got := strings.Join(l.lines, " "); got != tt.want {
				t.Errorf("got calls %q, want %q", got, tt.want)
			}
			queued := itemPing
			if len(p.queue) > 0 {
				queued = p.queue[0].kind
			}
			if queued != tt.queued {
				t.Errorf("got queued item kind %v, want %v", queued, tt.queued)
			}
		})
	}
}

// TestByeEndsUnacceptedCalls checks that the Bye of a stopping agent ends the calls that it has not accepted as not run.
func TestByeEndsUnacceptedCalls(t *testing.T) {
	for _, tt := range []struct {
		name  string
		sent  bool
		known []string
		want  string
	}{
		{"sent and not accepted", true, nil, "lost not_run"},
		{"sent and known", true, []string{"r"}, ""},
		{"not sent", false, nil, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := &eventLog{}
			c := &Call{id: "r", submit: &linkpb.Submit{}, handler: l}
			p := testPeer(c)
			c.sent = tt.sent
			p.handleBye(&conn{}, &linkpb.Bye{Known: tt.known})
			if got := strings.Join(l.lines, " "); got != tt.want {
				t.Errorf("got calls %q, want %q", got, tt.want)
			}
		})
	}
}

// FuzzFrames decodes arbitrary bytes as frames of both directions. Frames that decode must survive a round trip, and a
// call must end at most once.
func FuzzFrames(f *testing.F) {
	seed := &linkpb.AgentFrames{Frames: []*linkpb.AgentFrame{event("r", 2, 0, "ab"), end(2, 2, "ab")}}
	if b, err := linkenc.Marshal(seed); err == nil {
		f.Add(b)
	}
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in linkpb.EntryFrames
		_ = linkenc.Unmarshal(data, &in)
		var m, again linkpb.AgentFrames
		if linkenc.Unmarshal(data, &m) != nil {
			return
		}
		b, err := linkenc.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		if err := linkenc.Unmarshal(b, &again); err != nil || len(again.Frames) != len(m.Frames) {
			t.Fatalf("round trip: got error %v or another number of frames, want no error and as many frames as before", err)
		}
		l := &eventLog{}
		c := &Call{id: "r", submit: &linkpb.Submit{}, handler: l}
		c.attempt.Store(2)
		p := testPeer(c)
		finals := 0
		for _, frame := range m.Frames {
			p.deliver(frame)
		}
		for _, line := range l.lines {
			if line == "end" || line == "refused" || strings.HasPrefix(line, "lost ") {
				finals++
			}
		}
		if finals > 1 {
			t.Fatalf("got %d final calls, want at most 1: %q", finals, l.lines)
		}
	})
}
