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

// TestLinkFaults injects each fault of a link before or during a streamed answer, and checks what the caller receives.
func TestLinkFaults(t *testing.T) {
	tests := []struct {
		name     string
		warm     bool // open the link with an earlier request
		before   func(n *linktest.Network)
		atEvent  int
		fault    func(n *linktest.Network)
		complete bool
		verdict  verdict.Verdict
	}{
		{name: "none", complete: true, verdict: verdict.Ran},
		{name: "idle link cut before the submit", warm: true, before: (*linktest.Network).Cut, complete: true, verdict: verdict.Ran},
		{name: "idle link silent before the submit", warm: true, before: silence(linktest.Both), complete: true, verdict: verdict.Ran},
		{name: "no agent", before: refuseDials, verdict: verdict.NotRun},
		{name: "cut at the first event", atEvent: 1, fault: (*linktest.Network).Cut, complete: true, verdict: verdict.Ran},
		{name: "cut in the middle", atEvent: 20, fault: (*linktest.Network).Cut, complete: true, verdict: verdict.Ran},
		{name: "cut before the end", atEvent: 40, fault: (*linktest.Network).Cut, complete: true, verdict: verdict.Ran},
		{name: "silent to the agent", atEvent: 20, fault: silence(linktest.ToListener), complete: true, verdict: verdict.Ran},
		{name: "silent to the entry", atEvent: 20, fault: silence(linktest.ToDialler), complete: true, verdict: verdict.Ran},
		{name: "silent both ways", atEvent: 20, fault: silence(linktest.Both), complete: true, verdict: verdict.Ran},
		{name: "cut, dials fail for 5 s", atEvent: 20, fault: func(n *linktest.Network) {
			n.Refuse(true)
			n.Cut()
			time.Sleep(5 * time.Second) // virtual
			n.Refuse(false)
		}, complete: true, verdict: verdict.Ran},
		{name: "cut, all dials fail", atEvent: 20, fault: func(n *linktest.Network) { n.Refuse(true); n.Cut() }, verdict: verdict.MayHaveRun},
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
					time.Sleep(5 * time.Second) // virtual; the link becomes idle
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
					t.Errorf("request took %v, want at most 15 s", d)
				}
				if o.verdict != tt.verdict {
					t.Errorf("verdict %v, want %v: %v", o.verdict, tt.verdict, o)
				}
				if isComplete := o.end != nil && !o.end.Stopped && o.body == expectedBody(chat("r1", "40")); isComplete != tt.complete {
					t.Errorf("complete answer %v, want %v: %v", isComplete, tt.complete, o)
				}
			})
		})
	}
}

func refuseDials(n *linktest.Network) { n.Refuse(true) }

func silence(d linktest.Direction) func(*linktest.Network) {
	return func(n *linktest.Network) { n.Silence(d) }
}

// TestSilentLinkIsDetected measures in virtual time how long it takes to detect and replace a silent link.
func TestSilentLinkIsDetected(t *testing.T) {
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
		complete     bool
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
				first.Close() // the entry crashes
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
				if tt.complete {
					want := strings.SplitAfter(expectedBody(chat("r1", "40")), "\n\n")
					if o.body != strings.Join(want[tt.next:], "") || o.status != 200 || o.end == nil || o.end.Stopped {
						t.Errorf("got outcome %v, want status 200 and the complete answer from the requested event on", o)
					}
					return
				}
				if o.refused == nil || o.refused.Code != tt.code || o.body != "" || o.verdict == verdict.NotRun {
					t.Errorf("got outcome %v, want a refusal with the code of the case, 0 bytes and a verdict other than not_run", o)
				}
			})
		})
	}
}

// TestSlowReader checks that a caller that grants no credit does not block others, that its answer is buffered up to the
// limit, and that it is complete once the caller grants credit.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{})
		c := newCluster(t, Config{BufferBytes: 4 << 10}, h)
		p := c.pool("entry-1")
		slow := newRecorder()
		slow.withholdCredit = true
		s := chat("slow", "400")
		s.Credit = 100
		submit(t, p, agentAddr, s, slow)
		synctest.Wait()
		for _, id := range []string{"a", "b", "c"} {
			r := newRecorder()
			submit(t, p, agentAddr, chat(id, "400"), r)
			if o := <-r.done; o.end == nil || o.body != expectedBody(chat(id, "400")) {
				t.Errorf("%s: got outcome %v, want the complete answer", id, o)
			}
		}
		var kept int
		_ = c.agent.runInLoop(context.Background(), func(time.Time) { kept = c.agent.records["slow"].answer.size() })
		if kept > 4<<10 {
			t.Errorf("got %d bytes buffered, want at most %d", kept, 4<<10)
		}
		if n := len(slow.body); n > 300 {
			t.Errorf("received %d bytes for a credit of 100, want at most 300", n)
		}
		slow.call.Grant(1 << 30)
		if o := <-slow.done; o.end == nil || o.body != expectedBody(chat("slow", "400")) {
			t.Errorf("slow reader: got %d bytes, end %v; want the complete answer", len(o.body), o.end)
		}
	})
}

// TestCreditInAdvance grants all credit before the first event and none later.
func TestCreditInAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 10 * time.Millisecond}))
		r := newRecorder()
		r.withholdCredit = true
		s := chat("r1", "40")
		s.Credit, s.DeadlineMs = 1000, 60_000
		submit(t, c.pool("entry-1"), agentAddr, s, r)
		<-r.started
		r.call.Grant(1 << 20)
		if o := <-r.done; o.end == nil || o.body != expectedBody(chat("r1", "40")) {
			t.Errorf("got outcome %v, want the complete answer", o)
		}
	})
}

// TestAgentKilled kills the agent while a request waits or runs, and starts another one in its place.
func TestAgentKilled(t *testing.T) {
	tests := []struct {
		name    string
		slots   int // of the agent; with 1 the request waits behind another
		atEvent int
		verdict verdict.Verdict
	}{
		{"request waiting at the agent", 1, 0, verdict.MayHaveRun}, // it did not run, but nothing proves that
		{"request running", 8, 5, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				links, engines := linktest.New(), linktest.New()
				serveInMemory(t, engines, h)
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
					t.Errorf("got outcome %v, want a lost call with the verdict of the case", o)
				}
				synctest.Wait()
				if n := runningRequests(h); n != 0 {
					t.Errorf("engine still runs %d requests of the agent's earlier incarnation, want 0", n)
				}
			})
		})
	}
}

// TestWelcomeIncompleteAfterEviction checks that a Welcome is not marked complete once a request that ran was evicted
// before its entry acknowledged the end.
func TestWelcomeIncompleteAfterEviction(t *testing.T) {
	for _, acked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, Config{KeepFor: time.Second}, engine.New(engine.Config{}))
			l := c.openRawLink("e", 1)
			l.send(submitFrame(chat("r1", "4"), 1))
			l.waitEnd("r1")
			if acked {
				l.send(&linkpb.EntryFrame{Ack: &linkpb.Ack{RequestId: "r1"}})
				synctest.Wait()
			}
			c.links.Cut()
			time.Sleep(5 * time.Second) // virtual
			if w := c.openRawLink("e", 2).welcome; w.Complete != acked || len(w.Known) > 0 {
				t.Errorf("acked %v: got welcome %v, want it complete only if acked, and no known requests", acked, w)
			}
		})
	}
}

// TestReplacedLinkIsIgnored checks that frames of a link that was replaced by a newer one have no effect.
func TestReplacedLinkIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		c.openRawLink("e", 1)
		var old *link.Session
		find := func(time.Time) { old = c.agent.entries[entryKey{"e", "1"}].session }
		_ = c.agent.runInLoop(context.Background(), find)
		l := c.openRawLink("e", 2)
		l.send(submitFrame(chat("r1", "4"), 2))
		synctest.Wait()
		c.agent.Frame(old, &linkpb.EntryFrame{Resume: &linkpb.Resume{RequestId: "r1", Organisation: "camurca", Credit: 1 << 20}})
		c.agent.Frame(old, &linkpb.EntryFrame{Cancel: &linkpb.Cancel{RequestId: "r1"}})
		if end := l.waitEnd("r1"); end.Stopped {
			t.Errorf("got end %v, want one that is not stopped", end)
		}
	})
}

// TestRunsOfEarlierIncarnationAreCancelled checks that a started agent cancels the work of its killed predecessor at the
// engine, and not that of another agent whose name has the same prefix.
func TestRunsOfEarlierIncarnationAreCancelled(t *testing.T) {
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
		if n, other := runningRequestsOf(h, "agent-1/"), runningRequestsOf(h, "agent-10/"); n != 0 || other != 1 {
			t.Errorf("engine runs %d requests of the killed incarnation, want 0, and %d of another agent, want 1", n, other)
		}
		<-done
	})
}

// TestResumeReplacesCall resumes a request through the entry that already receives its answer: the newer call gets the
// answer, and the older one ends as superseded.
func TestResumeReplacesCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		p := c.pool("entry-1")
		first, second := newRecorder(), newRecorder()
		submit(t, p, agentAddr, chat("r1", "40"), first)
		time.Sleep(time.Second) // virtual
		resume := &linkpb.Resume{RequestId: "r1", Organisation: "camurca", Credit: 1 << 16, Unattended: true}
		if _, err := p.Resume(context.Background(), agentAddr, resume, second); verdict.Of(err) != verdict.MayHaveRun || err == nil {
			t.Errorf("unattended resume: got error %v, want one with verdict may_have_run", err)
		}
		resume.Unattended = false
		call, err := p.Resume(context.Background(), agentAddr, resume, second)
		if err != nil {
			t.Fatal(err)
		}
		second.call = call
		close(second.ready)
		if o := <-first.done; o.lost == nil || o.verdict != verdict.MayHaveRun {
			t.Errorf("first call: got %v, want it lost with verdict may_have_run", o)
		}
		if o := <-second.done; o.end == nil || o.end.Stopped || o.body != expectedBody(chat("r1", "40")) {
			t.Errorf("second call: got %v, want the complete answer", o)
		}
	})
}

// TestUndeliveredAnswerIsKept checks that an answer whose delivery is still in progress is not evicted, neither by the
// limit on kept bytes nor by its age.
func TestUndeliveredAnswerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{KeepBytes: 1, KeepFor: time.Second}, engine.New(engine.Config{}))
		p := c.pool("entry-1")
		late := newRecorder()
		late.withholdCredit = true
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
		if o := <-late.done; o.end == nil || o.body != expectedBody(chat("late", "4")) {
			t.Errorf("got outcome %v, want the complete answer", o)
		}
		synctest.Wait()
		left := 0
		_ = c.agent.runInLoop(context.Background(), func(time.Time) { left = len(c.agent.records) })
		if left > 1 {
			t.Errorf("got %d records kept, want at most 1", left)
		}
	})
}
