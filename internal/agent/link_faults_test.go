package agent

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/link/linktest"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// TestLinkFaults causes each fault of a link while an answer is streamed, and compares what the caller gets.
func TestLinkFaults(t *testing.T) {
	tests := []struct {
		name    string
		warm    bool // another request opens the link before
		before  func(n *linktest.Network)
		atEvent int
		fault   func(n *linktest.Network)
		whole   bool
		verdict verdict.Verdict
	}{
		{name: "none", whole: true, verdict: verdict.Ran},
		{name: "idle link cut before the submit", warm: true, before: (*linktest.Network).Cut, whole: true, verdict: verdict.Ran},
		{name: "idle link silent before the submit", warm: true, before: silence(linktest.Both), whole: true, verdict: verdict.Ran},
		{name: "no agent", before: refuse1, verdict: verdict.NotRun},
		{name: "cut at the first event", atEvent: 1, fault: (*linktest.Network).Cut, whole: true, verdict: verdict.Ran},
		{name: "cut in the middle", atEvent: 20, fault: (*linktest.Network).Cut, whole: true, verdict: verdict.Ran},
		{name: "cut before the end", atEvent: 40, fault: (*linktest.Network).Cut, whole: true, verdict: verdict.Ran},
		{name: "silent to the agent", atEvent: 20, fault: silence(linktest.ToListener), whole: true, verdict: verdict.Ran},
		{name: "silent to the entry", atEvent: 20, fault: silence(linktest.ToDialler), whole: true, verdict: verdict.Ran},
		{name: "silent both ways", atEvent: 20, fault: silence(linktest.Both), whole: true, verdict: verdict.Ran},
		{name: "cut, and no dial for 5 s", atEvent: 20, fault: func(n *linktest.Network) {
			n.Refuse(true)
			n.Cut()
			time.Sleep(5 * time.Second) // virtual
			n.Refuse(false)
		}, whole: true, verdict: verdict.Ran},
		{name: "cut for good", atEvent: 20, fault: func(n *linktest.Network) { n.Refuse(true); n.Cut() }, verdict: verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				c := newCluster(t, Config{}, h)
				p := c.pool("entry-1")
				if tt.warm {
					r := newRecorder()
					submit(t, p, agentAddr, chat("r0", "1"), r)
					<-r.done
					time.Sleep(5 * time.Second) // virtual: the link sleeps
				}
				if tt.before != nil {
					tt.before(c.links)
				}
				r := newRecorder()
				r.onEvent = func(n int) {
					if n == tt.atEvent {
						go tt.fault(c.links)
					}
				}
				start := time.Now()
				submit(t, p, agentAddr, chat("r1", "40"), r)
				o := <-r.done
				if d := time.Since(start); d > 15*time.Second {
					t.Errorf("it took %v", d)
				}
				if o.verdict != tt.verdict {
					t.Errorf("verdict %v, want %v: %v", o.verdict, tt.verdict, o)
				}
				if isWhole := o.end != nil && !o.end.Stopped && o.body == wholeOf(chat("r1", "40")); isWhole != tt.whole {
					t.Errorf("whole %v, want %v: %v", isWhole, tt.whole, o)
				}
			})
		})
	}
}

func refuse1(n *linktest.Network) { n.Refuse(true) }

func silence(d linktest.Direction) func(*linktest.Network) {
	return func(n *linktest.Network) { n.Silence(d) }
}

// TestSilenceIsFound measures in virtual time how long a silent link goes unnoticed.
func TestSilenceIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		r := newRecorder()
		var silentAt, nextAt time.Time
		r.onEvent = func(n int) {
			if n == 20 {
				silentAt = time.Now()
				c.links.Silence(linktest.Both)
			}
			if n == 21 {
				nextAt = time.Now()
			}
		}
		submit(t, c.pool("entry-1"), agentAddr, chat("r1", "40"), r)
		<-r.done
		if gap := nextAt.Sub(silentAt); gap > 2*time.Second || gap < time.Second {
			t.Errorf("%v from silence to the next event, want about 1.5 s", gap)
		}
	})
}

func TestResumeThroughAnotherEntry(t *testing.T) {
	tests := []struct {
		name         string
		organisation string
		next         uint64
		whole        bool
		code         linkpb.RefuseCode
	}{
		{"from the beginning", "camurca", 0, true, 0},
		{"from the middle", "camurca", 20, true, 0},
		{"other organisation", "fjordslag", 0, false, linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST},
		{"beyond the end", "camurca", 99, false, linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				c := newCluster(t, Config{}, h)
				first := c.pool("entry-1")
				r := newRecorder()
				at20 := make(chan struct{})
				r.onEvent = func(n int) {
					if n == 20 {
						close(at20)
					}
				}
				submit(t, first, agentAddr, chat("r1", "40"), r)
				<-at20
				first.Close() // the entry dies
				<-r.done

				again := newRecorder()
				call, err := c.pool("entry-2").Resume(context.Background(), agentAddr, &linkpb.Resume{
					RequestId: "r1", Organisation: tt.organisation, NextSeq: tt.next, Credit: 1 << 16,
				}, again)
				if err != nil {
					t.Fatal(err)
				}
				again.call = call
				close(again.ready)
				o := <-again.done
				if tt.whole {
					want := strings.SplitAfter(wholeOf(chat("r1", "40")), "\n\n")
					if o.body != strings.Join(want[tt.next:], "") || o.status != 200 || o.end == nil || o.end.Stopped {
						t.Errorf("outcome %v", o)
					}
					return
				}
				if o.refused == nil || o.refused.Code != tt.code || o.body != "" || o.verdict == verdict.NotRun {
					t.Errorf("outcome %v", o)
				}
			})
		})
	}
}

// TestSlowReader lets one caller take nothing: the others are served, its answer stays bounded, and whole in the end.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{})
		c := newCluster(t, Config{BufferBytes: 4 << 10}, h)
		p := c.pool("entry-1")
		slow := newRecorder()
		slow.hold = true
		s := chat("slow", "400")
		s.Credit = 100
		submit(t, p, agentAddr, s, slow)
		synctest.Wait()
		for _, id := range []string{"a", "b", "c"} {
			r := newRecorder()
			submit(t, p, agentAddr, chat(id, "400"), r)
			if o := <-r.done; o.end == nil || o.body != wholeOf(chat(id, "400")) {
				t.Errorf("%s: outcome %v", id, o)
			}
		}
		var kept int
		_ = c.agent.ask(context.Background(), func(time.Time) { kept = c.agent.records["slow"].answer.size() })
		if kept > 4<<10 {
			t.Errorf("%d bytes are buffered, the limit is %d", kept, 4<<10)
		}
		if n := len(slow.body); n > 300 {
			t.Errorf("%d bytes came for a credit of 100", n)
		}
		slow.call.Grant(1 << 30)
		if o := <-slow.done; o.end == nil || o.body != wholeOf(chat("slow", "400")) {
			t.Errorf("slow reader: %d bytes, %v", len(o.body), o.end)
		}
	})
}

// TestCreditInAdvance grants all before the first event came, and nothing later.
func TestCreditInAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 10 * time.Millisecond}))
		r := newRecorder()
		r.hold = true
		s := chat("r1", "40")
		s.Credit, s.DeadlineMs = 1000, 60_000
		submit(t, c.pool("entry-1"), agentAddr, s, r)
		<-r.started
		r.call.Grant(1 << 20)
		if o := <-r.done; o.end == nil || o.body != wholeOf(chat("r1", "40")) {
			t.Errorf("outcome %v", o)
		}
	})
}

// TestAgentKilled kills the agent at each step and starts another one in its place.
func TestAgentKilled(t *testing.T) {
	tests := []struct {
		name    string
		slots   int // of the engine: with 1 the request waits behind another
		atEvent int
		verdict verdict.Verdict
	}{
		{"while it waits at the agent", 1, 0, verdict.MayHaveRun}, // true, but nothing proves more
		{"while it runs", 8, 5, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				links, engines := linktest.New(), linktest.New()
				serveMemory(t, engines, h)
				cfg := Config{
					ID: "agent-1", Listener: links.Listen(agentAddr), Dial: engines.Dial,
					Backend: BackendConfig{Kind: KindEngine, URL: "http://" + engineAddr, Slots: tt.slots},
				}
				_, kill := runAgent(t, cfg)
				p := newPool(t, "entry-1", links.Dial)
				if tt.slots == 1 {
					submit(t, p, agentAddr, chat("r0", "1000"), newRecorder())
				}
				r := newRecorder()
				reached := make(chan struct{})
				r.onEvent = func(n int) {
					if n == tt.atEvent {
						close(reached)
					}
				}
				submit(t, p, agentAddr, chat("r1", "40"), r)
				if tt.atEvent > 0 {
					<-reached
				} else {
					synctest.Wait()
				}
				cfg.Listener = links.Listen(agentAddr)
				kill()
				startAgent(t, cfg)
				if o := <-r.done; o.verdict != tt.verdict || o.lost == nil {
					t.Errorf("outcome %v", o)
				}
				synctest.Wait()
				if n := runningAt(h); n != 0 {
					t.Errorf("engine still runs %d requests of the agent's old life", n)
				}
			})
		})
	}
}

// TestForgottenRequest checks that a welcome does not claim to be complete once a request that ran is forgotten before
// its entry had the end.
func TestForgottenRequest(t *testing.T) {
	for _, acked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, Config{KeepFor: time.Second}, engine.New(engine.Config{}))
			l := c.raw("e", 1)
			l.send(submitFrame(chat("r1", "4"), 1))
			l.ended("r1")
			if acked {
				l.send(&linkpb.EntryFrame{Ack: &linkpb.Ack{RequestId: "r1"}})
				synctest.Wait()
			}
			c.links.Cut()
			time.Sleep(5 * time.Second) // virtual
			if w := c.raw("e", 2).welcome; w.Complete != acked || len(w.Known) > 0 {
				t.Errorf("acked %v: welcome %v", acked, w)
			}
		})
	}
}

// TestReplacedLinkIsIgnored sends frames on behalf of a link that a newer one has replaced.
func TestReplacedLinkIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		c.raw("e", 1)
		var old *link.Session
		find := func(time.Time) { old = c.agent.entries[entryKey{"e", "1"}].session }
		_ = c.agent.ask(context.Background(), find)
		l := c.raw("e", 2)
		l.send(submitFrame(chat("r1", "4"), 2))
		synctest.Wait()
		c.agent.Frame(old, &linkpb.EntryFrame{Resume: &linkpb.Resume{RequestId: "r1", Organisation: "camurca", Credit: 1 << 20}})
		c.agent.Frame(old, &linkpb.EntryFrame{Cancel: &linkpb.Cancel{RequestId: "r1"}})
		if end := l.ended("r1"); end.Stopped {
			t.Errorf("end %v", end)
		}
	})
}

// TestEarlierLifeIsCancelled leaves work of an agent that was killed at the engine, beside that of another agent.
func TestEarlierLifeIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
		done := make(chan struct{}, 2)
		for _, owner := range []string{"agent-1/killed", "agent-10/alive"} {
			go func() {
				s := chat(owner, "100")
				r := httptest.NewRequest(s.Method, s.Path, strings.NewReader(string(s.Body)))
				r.Header.Set("X-Request-Id", owner)
				r.Header.Set("X-Request-Owner", owner)
				h.ServeHTTP(httptest.NewRecorder(), r)
				done <- struct{}{}
			}()
		}
		synctest.Wait()
		newCluster(t, Config{ID: "agent-1"}, h)
		<-done
		if n, other := runningOf(h, "agent-1/"), runningOf(h, "agent-10/"); n != 0 || other != 1 {
			t.Errorf("engine runs %d requests of the killed life, want 0, and %d of another agent, want 1", n, other)
		}
		<-done
	})
}

// TestResumeReplacesCall resumes a request through the entry that follows it already: the newer call gets the answer.
func TestResumeReplacesCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		p := c.pool("entry-1")
		first, second := newRecorder(), newRecorder()
		submit(t, p, agentAddr, chat("r1", "40"), first)
		time.Sleep(time.Second) // virtual
		resume := &linkpb.Resume{RequestId: "r1", Organisation: "camurca", Credit: 1 << 16, Unattended: true}
		if _, err := p.Resume(context.Background(), agentAddr, resume, second); verdict.Of(err) != verdict.MayHaveRun || err == nil {
			t.Errorf("unattended: %v", err)
		}
		resume.Unattended = false
		call, err := p.Resume(context.Background(), agentAddr, resume, second)
		if err != nil {
			t.Fatal(err)
		}
		second.call = call
		close(second.ready)
		if o := <-first.done; o.lost == nil || o.verdict != verdict.MayHaveRun {
			t.Errorf("first: %v", o)
		}
		if o := <-second.done; o.end == nil || o.end.Stopped || o.body != wholeOf(chat("r1", "40")) {
			t.Errorf("second: %v", o)
		}
	})
}

// TestUndeliveredAnswerIsKept finishes an answer that its caller takes late: neither the bound on kept bytes nor the
// time may drop it before.
func TestUndeliveredAnswerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{KeepBytes: 1, KeepFor: time.Second}, engine.New(engine.Config{}))
		p := c.pool("entry-1")
		late := newRecorder()
		late.hold = true
		s := chat("late", "4")
		s.Credit = 100
		submit(t, p, agentAddr, s, late)
		for _, id := range []string{"a", "b"} {
			r := newRecorder()
			s := chat(id, "1")
			submit(t, p, agentAddr, s, r)
			<-r.done
			time.Sleep(3 * time.Second) // virtual
		}
		late.call.Grant(1 << 20)
		if o := <-late.done; o.end == nil || o.body != wholeOf(chat("late", "4")) {
			t.Errorf("outcome %v", o)
		}
		synctest.Wait()
		left := 0
		_ = c.agent.ask(context.Background(), func(time.Time) { left = len(c.agent.records) })
		if left > 1 {
			t.Errorf("%d records are kept beyond the bound", left)
		}
	})
}
