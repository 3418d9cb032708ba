package agent

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// rawLink is the entry's end of a link without a Pool, to send frame sequences that a Pool never sends.
type rawLink struct {
	t       *testing.T
	stream  linkpb.DRPCAgentLink_ConnectClient
	welcome *linkpb.Welcome
	frames  []*linkpb.AgentFrame
}

func (c *cluster) openRawLink(entry string, epoch uint64) *rawLink {
	conn, err := c.links.Dial(context.Background(), "tcp", agentAddr)
	if err != nil {
		c.t.Fatal(err)
	}
	d := drpcconn.New(conn)
	c.t.Cleanup(func() { d.Close() })
	stream, err := linkpb.NewDRPCAgentLinkClient(d).Connect(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	l := &rawLink{t: c.t, stream: stream}
	l.send(&linkpb.EntryFrame{Hello: &linkpb.Hello{EntryId: entry, Incarnation: "1", Epoch: epoch}})
	l.welcome = l.next(func(f *linkpb.AgentFrame) bool { return f.Welcome != nil }).Welcome
	return l
}

func (l *rawLink) send(frames ...*linkpb.EntryFrame) {
	l.t.Helper()
	if err := l.stream.Send(&linkpb.EntryFrames{Frames: frames}); err != nil {
		l.t.Fatal(err)
	}
}

// next receives frames up to the first one that matches, and returns it.
func (l *rawLink) next(match func(*linkpb.AgentFrame) bool) *linkpb.AgentFrame {
	l.t.Helper()
	for {
		for len(l.frames) > 0 {
			f := l.frames[0]
			l.frames = l.frames[1:]
			if match(f) {
				return f
			}
		}
		m, err := l.stream.Recv()
		if err != nil {
			l.t.Fatal(err)
		}
		l.frames = m.Frames
	}
}

// waitRefused waits for the refusal of a request.
func (l *rawLink) waitRefused(id string) *linkpb.Refused {
	l.t.Helper()
	return l.next(func(f *linkpb.AgentFrame) bool { return f.Refused != nil && f.Refused.RequestId == id }).Refused
}

func (l *rawLink) waitEnd(id string) *linkpb.End {
	l.t.Helper()
	return l.next(func(f *linkpb.AgentFrame) bool { return f.End != nil && f.End.RequestId == id }).End
}

// sendFence fences a request and returns the agent's verdict on it.
func (l *rawLink) sendFence(id, incarnation string) linkpb.Verdict {
	l.t.Helper()
	l.send(&linkpb.EntryFrame{Fence: &linkpb.Fence{RequestId: id, AgentIncarnation: incarnation}})
	return l.next(func(f *linkpb.AgentFrame) bool { return f.Fenced != nil }).Fenced.Verdict
}

func submitFrame(s *linkpb.Submit, epoch uint64) *linkpb.EntryFrame {
	s.Epoch = epoch
	return &linkpb.EntryFrame{Submit: s}
}

func serviceCluster(t *testing.T, s *service.Service) *cluster {
	return newCluster(t, Config{Incarnation: "incarnation-1", Backend: BackendConfig{Kind: KindService, Slots: 1}}, s)
}

// TestAtMostOnce sends frames for a request that is not repeatable in orders that a network can produce, and counts the
// arrivals at the service.
func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		name     string
		run      func(t *testing.T, c *cluster)
		arrivals int
	}{
		{"duplicated submit", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1), submitFrame(serviceCall("r1", "POST", "x"), 1))
			l.waitEnd("r1")
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			l.waitEnd("r1") // the outcome of the first is sent again
		}, 1},
		{"second attempt after a run", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			l.waitEnd("r1")
			again := serviceCall("r1", "POST", "x")
			again.Attempt = 2
			l.send(submitFrame(again, 1))
			wantRefused(t, l.waitRefused("r1"), linkpb.RefuseCode_REFUSE_CODE_INVALID, mayHaveRun)
		}, 1},
		{"cancel arrives before the submit", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(&linkpb.EntryFrame{Cancel: &linkpb.Cancel{RequestId: "r1"}}, submitFrame(serviceCall("r1", "POST", "x"), 1))
			wantRefused(t, l.waitRefused("r1"), linkpb.RefuseCode_REFUSE_CODE_CANCELLED, notRun)
		}, 0},
		{"fence of another entry arrives before the submit", func(t *testing.T, c *cluster) {
			if v := c.openRawLink("other", 1).sendFence("r1", "incarnation-1"); v != notRun {
				t.Errorf("fence: got verdict %v, want VERDICT_NOT_RUN", v)
			}
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			wantRefused(t, l.waitRefused("r1"), linkpb.RefuseCode_REFUSE_CODE_CANCELLED, notRun)
		}, 0},
		{"fence after the run", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			l.waitEnd("r1")
			if v := c.openRawLink("other", 1).sendFence("r1", "incarnation-1"); v != ran {
				t.Errorf("fence: got verdict %v, want VERDICT_RAN", v)
			}
		}, 1},
		{"fence after the answer is evicted", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			l.waitEnd("r1")
			time.Sleep(2 * defaultKeepFor) // virtual
			if v := c.openRawLink("other", 1).sendFence("r1", "incarnation-1"); v != mayHaveRun {
				t.Errorf("fence: got verdict %v, want VERDICT_MAY_HAVE_RUN", v)
			}
		}, 1},
		{"fence for an earlier incarnation of the agent", func(t *testing.T, c *cluster) {
			if v := c.openRawLink("e", 1).sendFence("r1", "incarnation-0"); v != mayHaveRun {
				t.Errorf("fence: got verdict %v, want VERDICT_MAY_HAVE_RUN", v)
			}
		}, 0},
		{"submit of an older epoch", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 2)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			wantRefused(t, l.waitRefused("r1"), linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, notRun)
		}, 0},
		{"submit delayed in a replaced link", func(t *testing.T, c *cluster) {
			c.openRawLink("e", 1)
			var old *link.Session
			find := func(time.Time) { old = c.agent.entries[entryKey{"e", "1"}].session }
			_ = c.agent.runInLoop(context.Background(), find)
			if welcome := c.openRawLink("e", 2).welcome; len(welcome.Known) != 0 || !welcome.Complete {
				t.Errorf("got welcome %v, want it complete without known requests", welcome)
			}
			c.agent.Frame(old, submitFrame(serviceCall("r1", "POST", "x"), 1))
		}, 0},
		{"submit for an earlier incarnation of the agent", func(t *testing.T, c *cluster) {
			s := serviceCall("r1", "POST", "x")
			s.AgentIncarnation = "incarnation-0"
			l := c.openRawLink("e", 1)
			l.send(submitFrame(s, 1))
			wantRefused(t, l.waitRefused("r1"), linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, notRun)
		}, 0},
		{"link lost while the request runs, then the same submit", func(t *testing.T, c *cluster) {
			l := c.openRawLink("e", 1)
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 1))
			synctest.Wait()
			c.links.Cut()
			l = c.openRawLink("e", 2)
			if len(l.welcome.Known) != 1 {
				t.Errorf("got welcome %v, want 1 known request", l.welcome)
			}
			l.send(submitFrame(serviceCall("r1", "POST", "x"), 2))
			l.waitEnd("r1")
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := service.New()
				tt.run(t, serviceCluster(t, s))
				synctest.Wait()
				total := 0
				for _, n := range s.Arrivals() {
					total += n
				}
				if total != tt.arrivals {
					t.Errorf("%d arrivals, want %d", total, tt.arrivals)
				}
			})
		})
	}
}

func wantRefused(t *testing.T, r *linkpb.Refused, code linkpb.RefuseCode, v linkpb.Verdict) {
	t.Helper()
	if r.Code != code || r.Verdict != v {
		t.Errorf("got refusal %v, want code %v, verdict %v", r, code, v)
	}
}

// TestCancel cancels waiting and running requests, with and without an answer that is kept.
func TestCancel(t *testing.T) {
	tests := []struct {
		name      string
		slots     int
		keep      bool
		reason    linkpb.CancelReason
		verdict   verdict.Verdict
		continues bool
	}{
		{name: "waiting", slots: 1, verdict: verdict.NotRun},
		{name: "running", slots: 2, verdict: verdict.Ran},
		{
			name: "running, answer kept for its caller", slots: 2, keep: true, continues: true,
			reason: linkpb.CancelReason_CANCEL_REASON_CALLER_GONE,
		},
		{
			name: "running, answer kept, key withdrawn", slots: 2, keep: true, verdict: verdict.Ran,
			reason: linkpb.CancelReason_CANCEL_REASON_KEY_WITHDRAWN,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				c := newCluster(t, Config{Backend: BackendConfig{Slots: tt.slots}}, h)
				p := c.pool("entry-1")
				other := newRecorder()
				submit(t, p, agentAddr, chat("r0", "100"), other)
				r := newRecorder()
				s := chat("r1", "100")
				s.KeepAnswer = tt.keep
				s.FloorShare = -1
				submit(t, p, agentAddr, s, r)
				time.Sleep(time.Second) // virtual
				r.call.Cancel(tt.reason)
				if tt.continues {
					if o := <-r.done; o.refused == nil || o.verdict != verdict.MayHaveRun {
						t.Errorf("got outcome %v, want a refusal with verdict may_have_run", o)
					}
					<-other.done
					synctest.Wait()
					fetched := newRecorder()
					call, err := c.pool("entry-2").Resume(context.Background(), agentAddr,
						&linkpb.Resume{RequestId: "r1", Organisation: "camurca", Credit: 1 << 20}, fetched)
					if err != nil {
						t.Fatal(err)
					}
					fetched.call = call
					close(fetched.ready)
					if o := <-fetched.done; o.end == nil || o.body != expectedBody(chat("r1", "100")) {
						t.Errorf("fetched answer: got outcome %v, want the complete answer", o)
					}
					return
				}
				if o := <-r.done; o.verdict != tt.verdict {
					t.Errorf("got outcome %v, want the verdict of the case", o)
				}
				if n := runningRequests(h); n != 1 {
					t.Errorf("engine runs %d requests, want 1 (r0)", n)
				}
			})
		})
	}
}

// TestDeadline checks that waiting and running requests end at their deadline.
func TestDeadline(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		verdict verdict.Verdict
	}{
		{"waiting", 1, verdict.NotRun},
		{"running", 2, verdict.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
				c := newCluster(t, Config{Backend: BackendConfig{Slots: tt.slots}}, h)
				p := c.pool("entry-1")
				other, r := newRecorder(), newRecorder()
				submit(t, p, agentAddr, chat("r0", "100"), other)
				synctest.Wait()
				s := chat("r1", "100")
				s.DeadlineMs, s.FloorShare = 3000, -1
				start := time.Now()
				submit(t, p, agentAddr, s, r)
				o := <-r.done
				if late := time.Since(start); late > 3500*time.Millisecond {
					t.Errorf("request ended after %v, want at most 3.5 s", late)
				}
				if o.verdict != tt.verdict || (o.end != nil && !o.end.Stopped) {
					t.Errorf("got outcome %v, want the verdict of the case and no complete answer", o)
				}
				if n := runningRequests(h); n != 1 {
					t.Errorf("engine runs %d requests, want 1 (r0)", n)
				}
				<-other.done
			})
		})
	}
}

// TestOrphanedRequestIsCancelled checks that a request whose entry has disconnected is cancelled after OrphanTimeout, and
// not before.
func TestOrphanedRequestIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
		c := newCluster(t, Config{OrphanTimeout: 10 * time.Second}, h)
		p := c.pool("entry-1")
		submit(t, p, agentAddr, chat("r1", "1000"), newRecorder())
		time.Sleep(time.Second) // virtual
		p.Close()
		time.Sleep(9 * time.Second)
		if n := runningRequests(h); n != 1 {
			t.Errorf("engine runs %d requests after 9 s, want 1", n)
		}
		time.Sleep(2 * time.Second)
		if n := runningRequests(h); n != 0 {
			t.Errorf("engine runs %d requests after 11 s, want 0", n)
		}
	})
}

// TestShutdown checks that a planned stop completes running requests, returns waiting ones, and refuses new ones.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes atomic.Int32
		cfg := Config{Backend: BackendConfig{Slots: 1}, OnLifecycle: func() { changes.Add(1) }}
		c := newCluster(t, cfg, engine.New(engine.Config{TokenInterval: 100 * time.Millisecond}))
		p := c.pool("entry-1")
		runs, waits := newRecorder(), newRecorder()
		submit(t, p, agentAddr, chat("runs", "100"), runs)
		synctest.Wait()
		s := chat("waits", "100")
		s.FloorShare = -1
		submit(t, p, agentAddr, s, waits)
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- c.agent.Shutdown(context.Background()) }()
		o := <-waits.done
		if o.refused == nil || o.refused.Code != linkpb.RefuseCode_REFUSE_CODE_LEAVING || o.verdict != verdict.NotRun {
			t.Errorf("waiting request: got %v, want refusal REFUSE_CODE_LEAVING with verdict not_run", o)
		}
		arriving := newRecorder()
		submit(t, p, agentAddr, chat("arriving", "100"), arriving)
		if o := <-arriving.done; o.refused == nil || o.refused.Code != linkpb.RefuseCode_REFUSE_CODE_LEAVING {
			t.Errorf("arriving request: got %v, want refusal REFUSE_CODE_LEAVING", o)
		}
		select {
		case err := <-stopped:
			t.Fatalf("Shutdown returned %v while a request runs, want it to wait for the request", err)
		default:
		}
		if o := <-runs.done; o.end == nil || o.end.Stopped || o.body != expectedBody(chat("runs", "100")) {
			t.Errorf("running request: got %v, want the complete answer", o)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		if n := changes.Load(); n != 2 {
			t.Errorf("got %d lifecycle changes, want 2: joining to ready to leaving", n)
		}
	})
}

// TestShutdownUnderLoad shuts agents down over real sockets while two entries keep sending. Each request must end with a
// complete answer or the verdict NotRun.
func TestShutdownUnderLoad(t *testing.T) {
	s := service.New()
	url := serveHTTP(t, s)
	for round := range 20 {
		a, err := New(Config{ID: "agent-1", Listen: "127.0.0.1:0", Backend: BackendConfig{Kind: KindService, URL: url}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- a.Run(ctx) }()
		waitBackendUp(t, a)
		outcomes := make(chan outcome)
		served := make(chan struct{}, 1)
		for i := range 2 {
			p := newPool(t, fmt.Sprintf("entry-%d-%d", i, round), nil)
			go func() {
				for k := 0; ; k++ {
					r := newRecorder()
					id := fmt.Sprintf("r%d-%d-%d", round, i, k)
					submit(t, p, a.Addr().String(), serviceCall(id, "POST", id), r)
					o := <-r.done
					outcomes <- o
					if o.lost != nil {
						return
					}
					select {
					case served <- struct{}{}:
					default:
					}
				}
			}()
		}
		go func() {
			<-served
			if err := a.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			cancel()
		}()
		for lost := 0; lost < 2; {
			o := <-outcomes
			if o.verdict == verdict.MayHaveRun || (o.end != nil && o.end.Stopped) {
				t.Errorf("round %d: got %v, want neither verdict may_have_run nor a stopped end", round, o)
			}
			if o.lost != nil {
				lost++
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}
}

// TestPreemption checks that a request of a higher tier preempts one of a lower tier, which resumes afterwards and
// completes.
func TestPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
		c := newCluster(t, Config{Backend: BackendConfig{Slots: 1, Resumable: true}}, h)
		p := c.pool("entry-1")
		low, high := newRecorder(), newRecorder()
		s := chat("low", "300")
		s.Tier, s.Preemptible, s.FloorShare = 3, true, -1
		submit(t, p, agentAddr, s, low)
		time.Sleep(5 * time.Second) // virtual
		s = chat("high", "10")
		s.Tier, s.FirstTokenTargetMs, s.FloorShare = 0, 1000, -1
		submit(t, p, agentAddr, s, high)
		if o := <-high.done; o.end == nil {
			t.Errorf("request of the higher tier: got %v, want an end", o)
		}
		if len(low.done) > 0 || c.agent.meters.preempted.Count() == 0 {
			t.Errorf("request of the lower tier ended first or was not preempted, want it preempted")
		}
		if o := <-low.done; o.end == nil || o.body != expectedBody(chat("low", "300")) {
			t.Errorf("request of the lower tier: got %v, want the complete answer", o)
		}
	})
}

// TestOrderFencing checks that the agent refuses orders with stale fencing tokens for an engine that ignores them.
func TestOrderFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{}))
		load := func(fencing uint64) *linkpb.EngineOrderResult {
			r, err := c.agent.Order(context.Background(), &linkpb.EngineOrder{
				Fencing: fencing, Kind: linkpb.EngineOrderKind_ENGINE_ORDER_KIND_LOAD_MODEL, Model: "m2",
			})
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		if r := load(7); r.Accepted {
			t.Error("order was accepted before the first fencing token, want it refused")
		}
		c.agent.ObserveFencing(7)
		for _, tt := range []struct {
			fencing  uint64
			accepted bool
		}{{6, false}, {7, true}, {9, true}, {8, false}, {9, true}} {
			if r := load(tt.fencing); r.Accepted != tt.accepted || r.Stale == tt.accepted {
				t.Errorf("order with fencing token %d: got %v, want it stale if a higher token was observed before, else accepted", tt.fencing, r)
			}
		}
		m := &linkpb.LifecycleRequest{Fencing: 8, Lifecycle: linkpb.Lifecycle_LIFECYCLE_LEAVING}
		if r, err := c.agent.SetLifecycle(context.Background(), m); err != nil || r.Accepted {
			t.Errorf("lifecycle request with a stale fencing token: got %v, %v, want refused", r, err)
		}
	})
}

// TestUndeliveredAnswerCountsAsRunning drains an agent whose engine has finished while a slow caller still reads. The
// leader stops the server once no request runs, so the undelivered answer must count as running.
func TestUndeliveredAnswerCountsAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{}))
		r := newRecorder()
		r.withholdCredit = true
		s := chat("r1", "40")
		s.Credit = 100
		submit(t, c.pool("entry-1"), agentAddr, s, r)
		time.Sleep(time.Second) // virtual; the engine finishes
		c.agent.ObserveFencing(1)
		leave := &linkpb.LifecycleRequest{Fencing: 1, Lifecycle: linkpb.Lifecycle_LIFECYCLE_LEAVING}
		reply, err := c.agent.SetLifecycle(context.Background(), leave)
		if err != nil || reply.Running != 1 {
			t.Errorf("while the caller reads: got %v, %v; want 1 running", reply, err)
		}
		r.call.Grant(1 << 20)
		if o := <-r.done; o.end == nil {
			t.Errorf("got outcome %v, want an end", o)
		}
		time.Sleep(time.Second) // virtual; the entry acknowledges the end
		if reply, err = c.agent.SetLifecycle(context.Background(), leave); err != nil || reply.Running != 0 {
			t.Errorf("after delivery: got %v, %v; want 0 running", reply, err)
		}
	})
}
