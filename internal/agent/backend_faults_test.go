package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// serviceCall is a call of a service that may not be repeated.
func serviceCall(id, method, body string) *linkpb.Submit {
	return &linkpb.Submit{
		RequestId:    id,
		Attempt:      1,
		Organisation: "camurca",
		Method:       method,
		Path:         "/place?shop=7",
		Headers:      []*linkpb.Header{{Name: "Idempotency-Key", Value: "k1"}, {Name: "Authorization", Value: "Bearer secret"}},
		Body:         []byte(body),
		Credit:       1 << 16,
	}
}

// TestServiceFaults injects each fault of a service over real sockets, after one successful call, and checks that the
// second call arrives exactly once.
func TestServiceFaults(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		body     string
		fault    service.FaultKind
		verdict  verdict.Verdict
		complete bool
	}{
		{"none", "POST", "hides", "", verdict.Ran, true},
		{"closes after reading", "POST", "hides", service.CloseAfterReading, verdict.MayHaveRun, false},
		{"closes after reading a call without body", "POST", "", service.CloseAfterReading, verdict.MayHaveRun, false},
		{"closes after reading a GET", "GET", "", service.CloseAfterReading, verdict.MayHaveRun, false},
		{"closes in the middle of the reply", "POST", "hides", service.CloseMidReply, verdict.Ran, false},
		{"never replies", "POST", "hides", service.Silent, verdict.MayHaveRun, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := service.New()
			a := startAgent(t, Config{Backend: BackendConfig{
				Kind: KindService, URL: serveHTTP(t, s), StallTimeout: 200 * time.Millisecond,
			}})
			p := newPool(t, "entry-1", nil)
			first := newRecorder()
			submit(t, p, a.Addr().String(), serviceCall("r0", "POST", "first"), first)
			if o := <-first.done; o.end == nil {
				t.Fatal(o)
			}
			if tt.fault != "" {
				s.Inject(service.Fault{Kind: tt.fault})
			}
			r := newRecorder()
			submit(t, p, a.Addr().String(), serviceCall("r1", tt.method, tt.body), r)
			o := <-r.done
			if isComplete := o.end != nil && !o.end.Stopped; isComplete != tt.complete || o.verdict != tt.verdict {
				t.Errorf("got outcome %v, want the verdict of the case and a complete answer only if the case has one", o)
			}
			for digest, n := range s.Arrivals() {
				if n != 1 {
					t.Errorf("body %s arrived %d times, want once", digest, n)
				}
			}
			if len(s.Arrivals()) != 2 {
				t.Errorf("got arrivals %v, want 2 bodies", s.Arrivals())
			}
		})
	}
}

// TestEngineFaults injects each fault of an engine, with and without resumable streams, and checks that an incomplete
// answer is never reported as complete.
func TestEngineFaults(t *testing.T) {
	const complete, stopped, refused = "complete", "stopped", "refused"
	tests := []struct {
		fault           engine.Fault
		plain, resuming string // outcome without and with resume
	}{
		{engine.Fault{Kind: engine.Slow, DelayMs: 300}, complete, complete},
		{engine.Fault{Kind: engine.Cut, After: 5}, stopped, complete},
		{engine.Fault{Kind: engine.Cut}, refused, complete},
		{engine.Fault{Kind: engine.Silent, After: 5}, stopped, complete},
		{engine.Fault{Kind: engine.Silent}, refused, complete},
		{engine.Fault{Kind: engine.Short, After: 5}, stopped, complete},
		{engine.Fault{Kind: engine.Stall, After: 5}, stopped, stopped},
		{engine.Fault{Kind: engine.Crash, After: 5}, stopped, stopped},
		{engine.Fault{Kind: engine.Garbage, After: 5}, stopped, stopped},
		{engine.Fault{Kind: engine.Endless, After: 5}, stopped, complete},
		{engine.Fault{Kind: engine.Reject}, refused, refused},
	}
	for _, tt := range tests {
		for _, resumable := range []bool{false, true} {
			name, want := string(tt.fault.Kind), tt.plain
			if resumable {
				name, want = name+" resumable", tt.resuming
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := engine.New(engine.Config{TokenInterval: 100 * time.Millisecond})
					h.Inject(tt.fault)
					c := newCluster(t, Config{Backend: BackendConfig{Resumable: resumable}}, h)
					r := newRecorder()
					s := chat("r1", "20")
					s.DeadlineMs = 60_000
					start := time.Now()
					submit(t, c.pool("entry-1"), agentAddr, s, r)
					o := <-r.done
					if tt.fault.Kind == engine.Silent && resumable && time.Since(start) > 10*time.Second {
						t.Errorf("silent stream was resumed after %v, want less than 10 s", time.Since(start))
					}
					got := complete
					switch {
					case o.refused != nil:
						got = refused
					case o.end == nil || o.end.Stopped:
						got = stopped
					case o.body != expectedBody(chat("r1", "20")):
						got = "incomplete"
					}
					if got != want || (got != complete && o.verdict == verdict.NotRun) {
						t.Errorf("got %s, want %s: %v", got, want, o)
					}
					synctest.Wait()
					if n := runningRequests(h); n != 0 {
						t.Errorf("engine still runs %d requests, want 0", n)
					}
				})
			})
		}
	}
}

// TestAnswerShorterThanContentLength checks that an unstreamed answer shorter than its Content-Length is reported as
// stopped.
func TestAnswerShorterThanContentLength(t *testing.T) {
	h := engine.New(engine.Config{})
	h.Inject(engine.Fault{Kind: engine.WrongLength})
	a := startAgent(t, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(t, h)}})
	s := chat("r1", "20")
	s.Stream = false
	s.Body = []byte(`{"model":"standin","max_tokens":20,"prompt":"count"}`)
	r := newRecorder()
	submit(t, newPool(t, "entry-1", nil), a.Addr().String(), s, r)
	if o := <-r.done; o.end == nil || !o.end.Stopped {
		t.Errorf("got outcome %v, want a stopped end", o)
	}
}

// TestBackendDown checks that requests are refused with the verdict NotRun while the backend server is unreachable, and
// accepted again afterwards.
func TestBackendDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{}))
		p := c.pool("entry-1")
		c.engine.Refuse(true)
		c.engine.Cut()
		for _, id := range []string{"r1", "r2"} {
			r := newRecorder()
			submit(t, p, agentAddr, chat(id, "5"), r)
			o := <-r.done
			if o.refused == nil || o.refused.Code != linkpb.RefuseCode_REFUSE_CODE_BACKEND_DOWN || o.verdict != verdict.NotRun {
				t.Errorf("%s: got outcome %v, want refusal REFUSE_CODE_BACKEND_DOWN with verdict not_run", id, o)
			}
		}
		c.engine.Refuse(false)
		time.Sleep(2 * probeInterval) // virtual
		waitBackendUp(t, c.agent)
		r := newRecorder()
		submit(t, p, agentAddr, chat("r3", "5"), r)
		if o := <-r.done; o.end == nil {
			t.Errorf("got outcome %v, want an end", o)
		}
	})
}
